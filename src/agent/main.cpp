// One agent: runs instances of the gateway as the agents together have agreed.
#include <sys/signalfd.h>
#include <sys/stat.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <system_error>

#include "../net/call.hpp"
#include "../net/calls.hpp"
#include "consensus.hpp"
#include "supervisor.hpp"

namespace {

using namespace lotuslead;
using namespace lotuslead::agent;
using nlohmann::json;
using namespace std::chrono_literals;

struct AgentConfiguration {
    std::uint64_t id = 0;
    std::string folder, program;
    std::vector<Member> members;
};

AgentConfiguration readAgentConfiguration(const std::string& path) {
    std::ifstream file(path);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) throw settings::Malformed("cannot read '" + path + "'");
    const json root = json::parse(text.str(), nullptr, false);
    if (!root.is_object()) throw settings::Malformed("the configuration is no JSON object");
    const auto need = [](const json& object, const char* key, bool fits) -> const json& {
        if (!object.contains(key) || !fits)
            throw settings::Malformed("field '" + std::string(key) + "' is missing or unusable");
        return object[key];
    };
    const auto text_ = [&](const json& object, const char* key) -> std::string {
        return need(object, key, object.contains(key) && object[key].is_string());
    };
    const auto id = [&](const json& object) -> std::uint64_t {
        return need(object, "id",
                    object.contains("id") && object["id"].is_number_unsigned() && object["id"] > 0);
    };
    AgentConfiguration result;
    result.id = id(root);
    result.folder = text_(root, "folder");
    result.program = text_(root, "program");
    for (const json& item : need(root, "agents", root.contains("agents") && root["agents"].is_array())) {
        if (!item.is_object()) throw settings::Malformed("field 'agents' is not a list of objects");
        result.members.push_back({id(item), text_(item, "raft"), text_(item, "control")});
        settings::readEndpoint(result.members.back().raft, "raft");
        settings::readEndpoint(result.members.back().control, "control");
    }
    const bool named = std::any_of(result.members.begin(), result.members.end(),
                                   [&](const Member& m) { return m.id == result.id; });
    if (!named) throw settings::Malformed("field 'agents' does not name this agent's id");
    return result;
}

bool isName(const std::string& name) {
    return !name.empty() && name.size() <= 64 && std::all_of(name.begin(), name.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
    });
}

class Agent : private net::Handler {
public:
    enum class Phase { running, stopping, stopped };

    explicit Agent(AgentConfiguration configuration)
        : configuration_(std::move(configuration)),
          self_(*std::find_if(configuration_.members.begin(), configuration_.members.end(),
                              [&](const Member& m) { return m.id == configuration_.id; })),
          signals_(watchSignals()),
          signalsId_(loop_.add(signals_.get(), EPOLLIN, *this)),
          supervisor_(loop_, configuration_.program, folder("instances")),
          consensus_(loop_, configuration_.members, configuration_.id, folder("raft"), state_,
                     [this] {
                         if (phase_ == Phase::running)
                             supervisor_.want(state_.instances(), configuration_.id);
                     }),
          control_(loop_, settings::readEndpoint(self_.control, "control"), net::CallServer::Limits{},
                   net::Priority::usual,
                   [this](const net::HttpHead& head, const std::string& body, net::CallServer::Reply reply) {
                       handle(head, body, std::move(reply));
                   }) {}
    ~Agent() override { loop_.remove(signalsId_, signals_.get()); }

    int run() {
        std::fprintf(stderr, "agent %llu: control on %s, raft on %s\n",
                     static_cast<unsigned long long>(self_.id), self_.control.c_str(), self_.raft.c_str());
        while (phase_ != Phase::stopped) {
            loop_.turn(consensus_.nextTurn());
            consensus_.turn();
            if (phase_ == Phase::stopping && supervisor_.empty()) phase_ = Phase::stopped;
        }
        return 0;
    }

private:
    std::string folder(const char* name) const {
        ::mkdir(configuration_.folder.c_str(), 0755);
        const std::string path = configuration_.folder + "/" + name;
        if (::mkdir(path.c_str(), 0755) != 0 && errno != EEXIST)
            throw settings::Malformed("field 'folder': cannot make '" + path + "'");
        return path;
    }
    static net::Descriptor watchSignals() {
        std::signal(SIGPIPE, SIG_IGN);
        sigset_t set;
        sigemptyset(&set);
        for (const int number : {SIGTERM, SIGINT, SIGCHLD}) sigaddset(&set, number);
        sigprocmask(SIG_BLOCK, &set, nullptr);
        net::Descriptor fd(::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
        if (!fd) throw std::system_error(errno, std::generic_category(), "signalfd");
        return fd;
    }
    std::uint32_t ready(std::uint32_t) override {
        signalfd_siginfo info{};
        while (::read(signals_.get(), &info, sizeof info) == static_cast<ssize_t>(sizeof info)) {
            if (info.ssi_signo == SIGCHLD || phase_ != Phase::running) continue;
            phase_ = Phase::stopping;
            supervisor_.stopAll();
        }
        supervisor_.reap();  // several children may have ended by one signal
        return 0;
    }

    void handle(const net::HttpHead& head, const std::string& body, net::CallServer::Reply reply) {
        if (head.method == "GET" && head.target == "/status")
            return reply({200, status().dump(2) + "\n", {}});
        const std::string prefix = "/instances/";
        if (head.target.rfind(prefix, 0) != 0) return reply({404, "no such thing\n", {}});
        std::string name = head.target.substr(prefix.size());
        if (const std::size_t slash = name.find('/'); slash != std::string::npos)
            return operate(name.substr(0, slash), name.substr(slash + 1), head, reply);
        if (!isName(name)) return reply({400, "a name is 1 to 64 of a-z, 0-9 and -\n", {}});
        std::string command;
        if (head.method == "DELETE") {
            if (state_.instances().count(name) == 0) return reply({404, "no instance '" + name + "'\n", {}});
            command = State::remove(name);
        } else if (head.method == "PUT") {
            const json wanted = json::parse(body, nullptr, false);
            const bool formed = wanted.is_object() && wanted.contains("agent") &&
                                wanted["agent"].is_number_unsigned() && wanted.contains("configuration");
            if (!formed) return reply({400, "'agent' and 'configuration' are wanted\n", {}});
            const std::uint64_t agent = wanted["agent"];
            const bool known = std::any_of(configuration_.members.begin(), configuration_.members.end(),
                                           [&](const Member& m) { return m.id == agent; });
            if (!known) return reply({400, "no agent " + std::to_string(agent) + "\n", {}});
            const std::string configuration = wanted["configuration"].dump();
            try {
                settings::readConfiguration(configuration);  // a bad one would only end at its start
            } catch (const settings::Malformed& problem) {
                return reply({400, std::string("bad configuration: ") + problem.what() + "\n", {}});
            }
            command = State::put(name, agent, configuration);
        } else {
            return reply({405, "PUT and DELETE only\n", {}});
        }
        if (!consensus_.leads()) return toLeader(head.target, reply);
        consensus_.propose(command, [reply](bool agreed) {
            reply(agreed ? net::CallServer::Answer{200, "agreed\n", {}}
                         : net::CallServer::Answer{503, "not agreed\n", {}});
        });
    }
    // What the door of one instance is asked, by the agent that runs it.
    void operate(const std::string& name, const std::string& what, const net::HttpHead& head,
                 const net::CallServer::Reply& reply) {
        const bool ready = what == "ready";
        if (!ready && what != "drain" && what != "undrain" && what != "replace")
            return reply({404, "no such thing\n", {}});
        if (head.method != (ready ? "GET" : "POST")) return reply({405, "GET ready, POST the others\n", {}});
        const auto found = state_.instances().find(name);
        if (found == state_.instances().end()) return reply({404, "no instance '" + name + "'\n", {}});
        if (found->second.agent != self_.id) {
            for (const Member& m : configuration_.members)
                if (m.id == found->second.agent)
                    return reply({307, "", {"Location", "http://" + m.control + head.target}});
            return reply({503, "its agent is not known\n", {}});
        }
        if (what == "replace") {
            const bool begun = supervisor_.replace(name);
            return reply({begun ? 200 : 409,
                          begun ? "replacing\n" : "it does not run, is being replaced, or has no door\n",
                          {}});
        }
        const auto door = supervisor_.door(name);
        if (!door) return reply({409, "it has no operators' door\n", {}});
        net::call(loop_, *door, head.method, "/" + what, std::chrono::seconds{2},
                  [reply](int status, std::string body) {
                      reply(status != 0 ? net::CallServer::Answer{status, std::move(body), {}}
                                        : net::CallServer::Answer{503, "its door does not answer\n", {}});
                  });
    }
    void toLeader(const std::string& target, const net::CallServer::Reply& reply) {
        const std::uint64_t leader = consensus_.leader();
        for (const Member& m : configuration_.members)
            if (m.id == leader && m.id != self_.id)
                return reply({307, "", {"Location", "http://" + m.control + target}});
        reply({503, "the agents have no leader now\n", {}});
    }
    json status() {
        json instances = json::object();
        for (const auto& [name, i] : state_.instances()) {
            instances[name] = {{"agent", i.agent}, {"revision", i.revision}};
            if (const auto here = supervisor_.status(name))
                instances[name].update(
                    {{"phase", here->phase}, {"pid", here->pid}, {"restarts", here->restarts}});
        }
        return {{"agent", self_.id},
                {"leader", consensus_.leader()},
                {"applied", consensus_.applied()},
                {"instances", instances}};
    }

    AgentConfiguration configuration_;
    Member self_;
    net::Loop loop_;
    net::Descriptor signals_;
    net::Loop::HandlerId signalsId_;
    Phase phase_ = Phase::running;
    State state_;
    Supervisor supervisor_;
    Consensus consensus_;
    net::CallServer control_;
};

}  // namespace

int main(int count, char** words) {
    if (count != 2) {
        std::fprintf(stderr, "usage: lotuslead_agent CONFIGURATION\n");
        return 2;
    }
    try {
        return Agent(readAgentConfiguration(words[1])).run();
    } catch (const settings::Malformed& problem) {
        std::fprintf(stderr, "lotuslead_agent: bad configuration: %s\n", problem.what());
        return 2;
    } catch (const std::exception& problem) {
        std::fprintf(stderr, "lotuslead_agent: %s\n", problem.what());
        return 1;
    }
}
