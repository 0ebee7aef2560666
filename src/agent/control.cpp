#include "control.hpp"

#include <algorithm>
#include <chrono>

#include "../net/http_client.hpp"
#include "instances.hpp"
#include "member_addresses.hpp"

namespace lotuslead::agent {

using nlohmann::json;
using Answer = net::HttpServer::Response;

namespace {

constexpr std::int64_t kMaxHoldMs = 10'000;
constexpr net::HttpServer::Limits kLimits{1024, 2 * config::kMaxTransactionBytes, std::chrono::seconds{15}};

Answer jsonAnswer(int status, const json& body) { return {status, body.dump() + "\n", {}}; }

std::int64_t unixMs() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

Answer proposalAnswer(Consensus::ProposalResult result, const config::Outcome& outcome) {
    using ProposalResult = Consensus::ProposalResult;
    using Status = config::Outcome::Status;
    if (result == ProposalResult::refused)
        return jsonAnswer(503, {{"word", "refused"}, {"why", "no leader that can write its log now"}});
    if (result == ProposalResult::unknown)
        return jsonAnswer(503, {{"word", "unknown"}, {"why", "it may be applied yet, or never"}});
    json body = {{"word", config::nameOf(outcome.status)}, {"revision", outcome.revision}};
    if (!outcome.key.empty()) body["key"] = outcome.key;
    return jsonAnswer(outcome.status == Status::done ? 200 : 409, body);
}

json toJson(const config::HistoryEntry& entry, const std::string& prefix) {
    json changes = json::array();
    for (const config::Change& change : entry.changes) {
        if (change.key.rfind(prefix, 0) != 0) continue;
        json one = {{"key", change.key}};
        if (change.value) one["value"] = *change.value;
        changes.push_back(std::move(one));
    }
    return {{"revision", entry.revision}, {"at", entry.atMs}, {"by", entry.author}, {"changes", changes}};
}

// Lists the entries that changed something under the prefix.
json historyToJson(const std::vector<const config::HistoryEntry*>& entries, const std::string& prefix) {
    json list = json::array();
    for (const auto* entry : entries) {
        json one = toJson(*entry, prefix);
        if (!one["changes"].empty()) list.push_back(std::move(one));
    }
    return list;
}

}  // namespace

Control::Control(net::Loop& loop, const AgentConfiguration& configuration, const config::Store& store,
                 Consensus& consensus, const CatchUp& catchUp, Supervisor& supervisor)
    : loop_(loop),
      configuration_(configuration),
      store_(store),
      consensus_(consensus),
      catchUp_(catchUp),
      supervisor_(supervisor),
      server_(loop, settings::readEndpoint(configuration.self().control, "control"), kLimits,
              net::Priority::normal, [this](const net::HttpHead& head, const std::string& body, Reply reply) {
                  handle(head, body, std::move(reply));
              }) {}

Control::~Control() {
    for (const Watch& watch : watches_) loop_.cancel(watch.timer);
}

void Control::handle(const net::HttpHead& head, const std::string& body, Reply reply) {
    const RequestTarget target(head.target);
    const auto under = [&](const std::string& prefix) { return target.path.rfind(prefix, 0) == 0; };
    if (target.path == "/status") return reply({200, status().dump(2) + "\n", {}});
    if (target.path == "/config" && head.method == "POST") return commitTransaction(head, body, reply);
    if (target.path == "/config" || under("/config/")) return readDocuments(head, target, reply);
    if (target.path == "/history") return history(target, reply);
    if (target.path == "/watch") return watch(target, std::move(reply));
    if (target.path == "/sessions") return openSession(head, reply);
    if (target.path == "/members" || under("/members/"))
        return members(head, target.path.size() > 9 ? target.path.substr(9) : "", body, reply);
    if (under("/instances/")) return instances(head, target.path.substr(11), body, reply);
    reply({404, "no such path\n", {}});
}

void Control::redirectToLeader(const std::string& target, const Reply& reply) {
    const std::uint64_t leader = consensus_.leader();
    const std::string control =
        leader == configuration_.id ? std::string{} : controlAddressOf(store_, configuration_, leader);
    if (control.empty()) return reply({503, "the agents have no leader now\n", {}});
    reply({307, "", {"Location", "http://" + control + target}});
}

// ----- documents -----

json Control::documents(const RequestTarget& target) const {
    json list = json::array();
    const auto add = [&](const std::string& key, const config::Document& d) {
        list.push_back(
            {{"key", key}, {"revision", d.revision}, {"created", d.createdRevision}, {"value", d.value}});
        return list.size() < 100'000;
    };
    if (target.path.size() > 8) {
        const std::string key = target.path.substr(8);
        if (const auto* found = store_.find(key)) add(key, *found);
    } else {
        store_.forEach(target.parameter("prefix"), add);
    }
    return list;
}

void Control::readDocuments(const net::HttpHead& head, const RequestTarget& target, const Reply& reply) {
    if (head.method != "GET") return reply({405, "GET only; POST /config changes\n", {}});
    const auto answer = [this, target, reply](bool current) {
        json body = {{"revision", store_.revision()},
                     {"current", current},
                     {"leader", consensus_.leader()},
                     {"age_ms", current ? json(0) : ageMs()},
                     {"documents", documents(target)}};
        const bool one = target.path.size() > 8;
        reply(jsonAnswer(one && body["documents"].empty() ? 404 : 200, body));
    };
    if (!target.parameter("stale").empty()) return answer(false);
    if (!consensus_.isLeader()) return redirectToLeader(head.target, reply);
    consensus_.barrier([answer, reply](bool holds) {
        if (holds) return answer(true);
        reply({503, "this agent no longer leads\n", {}});
    });
}

void Control::history(const RequestTarget& target, const Reply& reply) {
    const auto from = static_cast<config::Revision>(target.integerParameter("from").value_or(0));
    const std::string prefix = target.parameter("prefix");
    const json list = historyToJson(store_.retainedSince(from, prefix), prefix);
    // first revision of the complete history
    const config::Revision oldest = store_.historyCompleteFrom(prefix) + 1;
    reply(jsonAnswer(
        200, {{"revision", store_.revision()}, {"age_ms", ageMs()}, {"oldest", oldest}, {"history", list}}));
}

void Control::watch(const RequestTarget& target, Reply reply) {
    const auto from = target.integerParameter("from");
    if (!from || *from < 0) return reply({400, "'from' is not a revision\n", {}});
    const std::int64_t hold =
        std::clamp<std::int64_t>(target.integerParameter("hold").value_or(0), 0, kMaxHoldMs);
    Watch watch{static_cast<config::Revision>(*from), target.parameter("prefix"), std::move(reply), {}};
    if (answerWatch(watch, hold == 0)) return;
    const auto at = watches_.insert(watches_.end(), std::move(watch));
    at->timer = loop_.after(std::chrono::milliseconds{hold}, [this, at] {
        const Watch ended = std::move(*at);
        watches_.erase(at);
        answerWatch(ended, true);
    });
}

// Returns false if there is nothing to report yet.
bool Control::answerWatch(const Watch& watch, bool expired) {
    if (watch.from > store_.revision()) {
        watch.reply({503, "this agent is behind\n", {}});
        return true;
    }
    const auto entries = store_.changesSince(watch.from, watch.prefix);
    if (!entries) {
        watch.reply(jsonAnswer(410, {{"word", "compacted"}, {"revision", store_.revision()}}));
        return true;
    }
    const json list = historyToJson(*entries, watch.prefix);
    if (list.empty() && !expired) return false;
    watch.reply(jsonAnswer(200, {{"revision", store_.revision()}, {"age_ms", ageMs()}, {"history", list}}));
    return true;
}

void Control::changed() {
    for (auto at = watches_.begin(); at != watches_.end();) {
        if (!answerWatch(*at, false)) {
            ++at;
            continue;
        }
        loop_.cancel(at->timer);
        at = watches_.erase(at);
    }
}

void Control::propose(const net::HttpHead& head, const config::Command& command, const Reply& reply) {
    if (!consensus_.isLeader()) return redirectToLeader(head.target, reply);
    consensus_.propose(config::encode(command),
                       [reply](Consensus::ProposalResult result, const config::Outcome& outcome) {
                           reply(proposalAnswer(result, outcome));
                       });
}

void Control::commitTransaction(const net::HttpHead& head, const std::string& body, const Reply& reply) {
    if (!consensus_.isLeader()) return redirectToLeader(head.target, reply);
    if (!consensus_.acceptsProposals()) return reply(proposalAnswer(Consensus::ProposalResult::refused, {}));
    const json text = json::parse(body, nullptr, false);
    config::Command command;
    try {
        command.transaction = config::readTransaction(text);
        if (text.contains("session")) {
            const bool isValid = text["session"].is_number_unsigned() && text.contains("sequence") &&
                                 text["sequence"].is_number_unsigned() && text["sequence"] > 0;
            if (!isValid) throw settings::DecodeError("field 'session' or 'sequence' is not a number");
            command.session = text["session"];
            command.sequence = text["sequence"];
        }
        if (text.contains("by") && text["by"].is_string())
            command.transaction.author = text["by"].get<std::string>().substr(0, 128);
    } catch (const settings::DecodeError& problem) {
        return reply({400, std::string(problem.what()) + "\n", {}});
    }
    command.transaction.atMs = unixMs();
    propose(head, command, reply);
}

void Control::openSession(const net::HttpHead& head, const Reply& reply) {
    if (head.method != "POST") return reply({405, "POST only\n", {}});
    config::Command command;
    command.opensSession = true;
    propose(head, command, reply);
}

// ----- members -----

void Control::members(const net::HttpHead& head, const std::string& rest, const std::string& body,
                      const Reply& reply) {
    if (rest.empty()) {
        json list = json::array();
        for (const auto& member : consensus_.members())
            list.push_back({{"id", member.id},
                            {"raft", member.address},
                            {"role", member.role},
                            {"control", controlAddressOf(store_, configuration_, member.id)},
                            {"leads", member.id == consensus_.leader()}});
        return reply(jsonAnswer(200, {{"members", list}, {"age_ms", consensus_.leaderContactAgeMs()}}));
    }
    const std::size_t slash = rest.find('/');
    const std::uint64_t id = std::strtoull(rest.c_str(), nullptr, 10);
    if (id == 0) return reply({400, "an agent's id is a number above 0\n", {}});
    if (!consensus_.isLeader()) return redirectToLeader(head.target, reply);
    const auto done = [reply](const std::string& problem) {
        reply(problem.empty() ? Answer{200, "done\n", {}} : Answer{409, problem + "\n", {}});
    };
    if (head.method == "POST" && slash != std::string::npos && rest.substr(slash) == "/promote")
        return consensus_.promote(id, done);
    if (head.method == "DELETE") return consensus_.remove(id, done);
    if (head.method != "POST") return reply({405, "POST and DELETE only\n", {}});
    const json wanted = json::parse(body, nullptr, false);
    std::string raft;
    config::Command command;
    try {
        if (!wanted.is_object()) throw settings::DecodeError("'raft' and 'control' are wanted");
        raft = wanted.value("raft", "");
        settings::readEndpoint(raft, "raft");
        command.transaction.changes.push_back(
            {kAgentPrefix + std::to_string(id), json{{"control", wanted.value("control", "")}}});
        config::validate(command.transaction);
    } catch (const std::exception& problem) {
        return reply({400, std::string(problem.what()) + "\n", {}});
    }
    command.transaction.atMs = unixMs();
    // Store the control address before the membership change: any agent that sees the member can then
    // redirect to it.
    consensus_.propose(
        config::encode(command),
        [this, id, raft, done, reply](Consensus::ProposalResult result, const config::Outcome& outcome) {
            if (result != Consensus::ProposalResult::applied) return reply(proposalAnswer(result, outcome));
            consensus_.add(id, raft, done);
        });
}

// ----- instances -----

void Control::instances(const net::HttpHead& head, const std::string& rest, const std::string& body,
                        const Reply& reply) {
    if (const std::size_t slash = rest.find('/'); slash != std::string::npos)
        return forwardToOperatorAddress(rest.substr(0, slash), rest.substr(slash + 1), head, reply);
    // Checked before the body is parsed, which takes long for a large one.
    if (!consensus_.isLeader()) return redirectToLeader(head.target, reply);
    if (!consensus_.acceptsProposals()) return reply({503, "not agreed\n", {}});
    if (catchUp_.caughtUp()) return changeInstance(head.method, rest, body, reply);
    // A new leader has applied everything only after a barrier.
    consensus_.barrier([this, method = head.method, rest, body, reply](bool holds) {
        holds ? changeInstance(method, rest, body, reply) : reply({503, "not agreed\n", {}});
    });
}

void Control::changeInstance(const std::string& method, const std::string& name, const std::string& body,
                             const Reply& reply) {
    const std::string key = kInstancePrefix + name;
    config::Command command;
    config::Change& change = command.transaction.changes.emplace_back();
    change.key = key;
    if (method == "DELETE") {
        if (!store_.find(key)) return reply({404, "no instance '" + name + "'\n", {}});
    } else if (method == "PUT") {
        const json wanted = json::parse(body, nullptr, false);
        const bool isValid = wanted.is_object() && wanted.contains("agent") &&
                             wanted["agent"].is_number_unsigned() && wanted.contains("configuration");
        if (!isValid) return reply({400, "'agent' and 'configuration' are wanted\n", {}});
        const std::uint64_t agent = wanted["agent"];
        if (controlAddressOf(store_, configuration_, agent).empty())
            return reply({400, "no agent " + std::to_string(agent) + "\n", {}});
        change.value = json{{"agent", agent}, {"configuration", wanted["configuration"]}};
        try {
            settings::readConfiguration(
                wanted["configuration"].dump());  // an invalid one would only fail when the instance starts
        } catch (const settings::DecodeError& problem) {
            return reply({400, std::string("bad configuration: ") + problem.what() + "\n", {}});
        }
    } else {
        return reply({405, "PUT and DELETE only\n", {}});
    }
    try {
        config::validate(command.transaction);
    } catch (const settings::DecodeError& problem) {
        return reply({400, std::string(problem.what()) + "\n", {}});
    }
    command.transaction.atMs = unixMs();
    consensus_.propose(config::encode(command),
                       [reply](Consensus::ProposalResult result, const config::Outcome&) {
                           reply(result == Consensus::ProposalResult::applied ? Answer{200, "agreed\n", {}}
                                 : result == Consensus::ProposalResult::refused
                                     ? Answer{503, "not agreed\n", {}}
                                     : Answer{503, "unknown: it may be agreed on yet\n", {}});
                       });
}

void Control::forwardToOperatorAddress(const std::string& name, const std::string& operation,
                                       const net::HttpHead& head, const Reply& reply) {
    const bool ready = operation == "ready";
    if (!ready && operation != "drain" && operation != "undrain" && operation != "replace")
        return reply({404, "no such path\n", {}});
    if (head.method != (ready ? "GET" : "POST")) return reply({405, "GET ready, POST the others\n", {}});
    const auto* found = store_.find(kInstancePrefix + name);
    if (!catchUp_.caughtUp() && !supervisor_.status(name))
        return reply({503, std::string(catchUp_.description()) + "\n", {}});
    if (!found) return reply({404, "no instance '" + name + "'\n", {}});
    const std::uint64_t agent = found->value.at("agent");
    if (agent != configuration_.id) {
        const std::string control = controlAddressOf(store_, configuration_, agent);
        if (control.empty()) return reply({503, "its agent is not known\n", {}});
        return reply({307, "", {"Location", "http://" + control + head.target}});
    }
    if (operation == "replace") {
        const bool begun = supervisor_.replace(name);
        return reply(
            {begun ? 200 : 409,
             begun ? "replacing\n" : "it does not run, is being replaced, or has no operator address\n",
             {}});
    }
    const auto operatorAddress = supervisor_.operatorAddress(name);
    if (!operatorAddress) return reply({409, "it has no operator address\n", {}});
    net::sendHttpRequest(loop_, *operatorAddress, head.method, "/" + operation, std::chrono::seconds{2},
                         [reply](int status, std::string body) {
                             reply(status != 0 ? Answer{status, std::move(body), {}}
                                               : Answer{503, "its operator address does not answer\n", {}});
                         });
}

json Control::ageMs() const {
    const auto age = catchUp_.age();
    return age ? json(age->count()) : json(nullptr);
}

json Control::status() {
    json running = json::object();
    for (const auto& [name, i] : instancesOf(store_)) {
        running[name] = {{"agent", i.agent}, {"revision", i.revision}};
        if (const auto here = supervisor_.status(name))
            running[name].update({{"phase", here->phase}, {"pid", here->pid}, {"restarts", here->restarts}});
        else if (!catchUp_.caughtUp() && i.agent == configuration_.id)
            running[name]["phase"] = catchUp_.description();
    }
    const auto toMs = [](net::Micros time) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    };
    const auto awaited = catchUp_.awaitedRevision();
    const json waiting = {{"revision", awaited ? json(*awaited) : json(nullptr)},
                          {"for_ms", toMs(catchUp_.waitingFor())},
                          {"waits", catchUp_.counters().waits},
                          {"last_wait_ms", toMs(catchUp_.counters().lastWait)}};
    return {{"agent", configuration_.id},
            {"leader", consensus_.leader()},
            {"configuration", catchUp_.description()},
            {"awaited", waiting},
            {"applied", consensus_.lastAppliedIndex()},
            {"revision", store_.revision()},
            {"documents", store_.size()},
            {"last_event", store_.lastEvent()},
            {"age_ms", ageMs()},
            {"storage_failing_ms", consensus_.storageFailingFor().count()},
            {"instances", running}};
}

}  // namespace lotuslead::agent
