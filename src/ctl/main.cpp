// lotusleadctl: command-line client for the agents' control addresses.
// Exit codes: 0 success; 1 failure, or no agent answered; 2 bad arguments, or rejected as malformed;
// 3 a condition failed because somebody else made a change first.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "../settings/settings.hpp"
#include "client.hpp"

namespace {

using namespace lotuslead;
using namespace lotuslead::ctl;
using nlohmann::json;

enum Exit { kDone = 0, kFailed = 1, kMalformed = 2, kConflict = 3 };

struct Arguments {
    std::string agents, output = "table", name, file, key, value, prefix, by, raft, control;
    std::uint64_t id = 0, from = 0;
    std::optional<std::uint64_t> revision;
    bool stale = false, once = false;
};

int printError(const std::string& text) {
    std::fprintf(stderr, "lotusleadctl: %s", text.c_str());
    return kFailed;
}

int exitCodeOf(const Response& response) {
    if (response.status == 200) return kDone;
    if (response.status == 400) return kMalformed;
    if (response.status == 409 && response.body.find("\"conflict\"") != std::string::npos) return kConflict;
    return kFailed;
}

// For calls that answer with plain text.
int printResponse(const Response& response) {
    if (response.status != 200) return printError(response.body), kFailed;
    std::fputs(response.body.c_str(), stdout);
    return kDone;
}

json readFile(const std::string& path) {
    std::ostringstream text;
    if (path == "-") {
        text << std::cin.rdbuf();
    } else {
        std::ifstream file(path);
        if (!file) throw settings::DecodeError("cannot read '" + path + "'");
        text << file.rdbuf();
    }
    json value = json::parse(text.str(), nullptr, false);
    if (value.is_discarded()) throw settings::DecodeError("'" + path + "' is no JSON file");
    return value;
}

std::string authorOf(const Arguments& a) {
    if (!a.by.empty()) return a.by;
    const char* user = std::getenv("USER");
    return user ? user : "";
}

int commitTransaction(const Client& client, const Arguments& a, json transaction) {
    transaction["by"] = authorOf(a);
    const Response response = client.commit(std::move(transaction));
    if (response.status != 200 && response.status != 409)
        return printError(response.body), exitCodeOf(response);
    const json body = json::parse(response.body);
    if (a.output == "json") {
        std::fputs(response.body.c_str(), stdout);
    } else if (response.status == 200) {
        std::printf("revision %s\n", body.at("revision").dump().c_str());
    } else if (body.contains("key")) {
        const std::uint64_t now = body.at("revision");
        printError("'" + body["key"].get<std::string>() + "' " +
                   (now == 0 ? "is not there" : "was changed first, at revision " + std::to_string(now)) +
                   "\n");
    } else {
        printError(body.at("word").get<std::string>() + "\n");
    }
    return exitCodeOf(response);
}

// Prints a single document in full, and a list with one line per document.
int get(const Client& client, const Arguments& a) {
    const std::string stale = a.stale ? "stale=1" : "";
    const Response response =
        a.key.empty() || a.key.back() == '/'
            ? client.callAny("GET", "/config?prefix=" + percentEncode(a.key) + (a.stale ? "&" + stale : ""))
            : client.callAny("GET", "/config/" + percentEncode(a.key) + (a.stale ? "?" + stale : ""));
    if (response.status == 404) return printError("no document '" + a.key + "'\n");
    if (response.status != 200) return printError(response.body), exitCodeOf(response);
    const json body = json::parse(response.body);
    if (a.output == "json") {
        std::fputs(response.body.c_str(), stdout);
        return kDone;
    }
    if (!body["current"])
        std::fprintf(stderr, "stale: revision %s, %s ms old at least, leader %s\n",
                     body["revision"].dump().c_str(), body["age_ms"].dump().c_str(),
                     body["leader"].dump().c_str());
    const bool one = !a.key.empty() && a.key.back() != '/';
    for (const json& d : body["documents"]) {
        if (one)
            std::printf("%s\n", d["value"].dump(2).c_str());
        else
            std::printf("%-8s %-32s %s\n", d["revision"].dump().c_str(), d["key"].get<std::string>().c_str(),
                        d["value"].dump().substr(0, 100).c_str());
    }
    return kDone;
}

std::optional<json> fetchDocument(const Client& client, const std::string& key) {
    const Response response = client.callAny("GET", "/config/" + percentEncode(key));
    if (response.status == 404) return {};
    if (response.status != 200) throw std::runtime_error(response.body);
    return json::parse(response.body).at("documents").at(0);
}

// Opens the document in an editor and writes it back unless it has been changed meanwhile.
int edit(const Client& client, const Arguments& a) {
    const auto before = fetchDocument(client, a.key);
    char path[] = "/tmp/lotusleadctl-XXXXXX.json";
    const int fd = ::mkstemps(path, 5);
    if (fd < 0) return printError("no temporary file is to be had\n");
    ::close(fd);
    std::ofstream(path) << (before ? before->at("value").dump(2) : "{}") << "\n";
    const char* editor = std::getenv("EDITOR");
    const int ended = std::system((std::string(editor && *editor ? editor : "vi") + " " + path).c_str());
    const json after = ended == 0 ? readFile(path) : json();
    std::remove(path);
    if (ended != 0) return printError("the editor failed; nothing is changed\n");
    if (before && after == before->at("value")) return std::printf("nothing is changed\n"), kDone;
    const std::uint64_t revision = before ? before->at("revision").get<std::uint64_t>() : 0;
    return commitTransaction(
        client, a,
        {{"if", {{{"key", a.key}, {"revision", revision}}}}, {"do", {{{"key", a.key}, {"value", after}}}}});
}

int put(const Client& client, const Arguments& a) {
    json transaction = {{"do", {{{"key", a.key}, {"value", readFile(a.file)}}}}};
    if (a.revision) transaction["if"] = {{{"key", a.key}, {"revision", *a.revision}}};
    return commitTransaction(client, a, std::move(transaction));
}

int deleteDocument(const Client& client, const Arguments& a) {
    json transaction = {{"do", {{{"key", a.key}}}}};
    if (a.revision) transaction["if"] = {{{"key", a.key}, {"revision", *a.revision}}};
    return commitTransaction(client, a, std::move(transaction));
}

void printHistoryEntry(const Arguments& a, const json& entry) {
    if (a.output == "json") {
        std::printf("%s\n", entry.dump().c_str());
        return;
    }
    for (const json& c : entry["changes"])
        std::printf("%-8s %-14s %-12s %-32s %s\n", entry["revision"].dump().c_str(),
                    entry["at"].dump().c_str(), entry["by"].get<std::string>().c_str(),
                    c["key"].get<std::string>().c_str(),
                    c.contains("value") ? c["value"].dump().substr(0, 80).c_str() : "(deleted)");
}

int history(const Client& client, const Arguments& a) {
    const Response response = client.callAny(
        "GET", "/history?from=" + std::to_string(a.from) + "&prefix=" + percentEncode(a.prefix));
    if (response.status != 200) return printError(response.body);
    const json body = json::parse(response.body);
    for (const json& entry : body.at("history")) printHistoryEntry(a, entry);
    return kDone;
}

int watch(const Client& client, const Arguments& a) {
    std::uint64_t from = a.from;
    if (from == 0) {
        const Response now = client.callAny("GET", "/config?prefix=none&stale=1");
        if (now.status != 200) return printError(now.body);
        from = json::parse(now.body).at("revision");
    }
    while (true) {
        const Response response = client.callAny(
            "GET", "/watch?from=" + std::to_string(from) + "&hold=8000&prefix=" + percentEncode(a.prefix));
        if (response.status == 410)
            return printError("the changes behind revision " + std::to_string(from) +
                              " are not held any more; read all and watch from there\n");
        if (response.status != 200) return printError(response.body);
        const json body = json::parse(response.body);
        for (const json& entry : body["history"]) printHistoryEntry(a, entry);
        std::fflush(stdout);
        from = std::max<std::uint64_t>(from, body["revision"]);
        if (a.once && !body["history"].empty()) return kDone;
    }
}

// Prints the differences between a document at a revision and its current value.
int diff(const Client& client, const Arguments& a) {
    const Response response = client.callAny("GET", "/history?prefix=" + percentEncode(a.key));
    if (response.status != 200) return printError(response.body);
    const json body = json::parse(response.body);
    if (a.from + 1 < body.at("oldest").get<std::uint64_t>())
        return printError("the history begins at revision " + body["oldest"].dump() + "\n");
    json before, after;
    bool found = false;
    for (const json& entry : body["history"])
        for (const json& c : entry["changes"]) {
            if (c["key"] != a.key) continue;
            after = c.value("value", json());
            if (entry["revision"].get<std::uint64_t>() <= a.from) before = after, found = true;
        }
    if (!found && a.from > 0) before = json();
    const json patch = json::diff(before, after);
    for (const json& step : patch)
        std::printf("%-8s %-32s %s\n", step["op"].get<std::string>().c_str(),
                    step["path"].get<std::string>().c_str(),
                    step.contains("value") ? step["value"].dump().c_str() : "");
    return kDone;
}

int members(const Client& client, const Arguments& a) {
    const Response response = client.callAny("GET", "/members");
    if (response.status != 200) return printError(response.body);
    if (a.output == "json") return printResponse(response);
    std::printf("%-6s %-9s %-6s %-22s %s\n", "id", "role", "leads", "raft", "control");
    const json body = json::parse(response.body);
    for (const json& m : body.at("members"))
        std::printf("%-6s %-9s %-6s %-22s %s\n", m["id"].dump().c_str(), m["role"].get<std::string>().c_str(),
                    m["leads"] ? "yes" : "", m["raft"].get<std::string>().c_str(),
                    m["control"].get<std::string>().c_str());
    return kDone;
}

int status(const Client& client) {
    int reached = 0;
    for (const std::string& agent : client.agents()) {
        const auto response = Client::callAgent(agent, "GET", "/status");
        reached += response ? 1 : 0;
        std::printf("%s\n%s", agent.c_str(), response ? response->body.c_str() : "cannot be reached\n");
    }
    return reached > 0 ? kDone : kFailed;
}

}  // namespace

int main(int argumentCount, char** arguments) {
    Arguments a;
    CLI::App app{"Talks to lotuslead's agents: the shared configuration, their members, and instances."};
    app.set_version_flag("--version", "lotusleadctl " LOTUSLEAD_VERSION);
    app.require_subcommand(1);
    app.footer(
        "Exit codes: 0 done; 1 it could not be done, or no agent answers; 2 bad arguments, or refused as\n"
        "malformed; 3 a condition did not hold: somebody else was first.");
    app.add_option("--agents", a.agents, "control addresses, ADDRESS:PORT[,ADDRESS:PORT...]")
        ->envname("LOTUSLEAD_AGENTS")
        ->required();
    app.add_option("--output", a.output, "how to print")->check(CLI::IsMember({"table", "json"}));
    app.add_option("--by", a.by, "who changes, for the history; $USER, where it is not given");
    app.fallthrough();
    const auto addInstanceName = [&](CLI::App* sub) {
        sub->add_option("name", a.name, "the instance")->required();
        return sub;
    };
    CLI::App* statusCommand = app.add_subcommand("status", "each agent: its leader, and the instances");
    CLI::App* putCommand =
        addInstanceName(app.add_subcommand("put", "runs the instance on that agent with that file"));
    putCommand->add_option("agent", a.id, "the agent's id")->required();
    putCommand->add_option("file", a.file, "the configuration")->required();
    CLI::App* deleteCommand = addInstanceName(app.add_subcommand("delete", "stops the instance"));
    CLI::App* readyCommand = addInstanceName(app.add_subcommand("ready", "whether it takes clients"));
    CLI::App* drainCommand = addInstanceName(app.add_subcommand("drain", "sends its clients away"));
    CLI::App* undrainCommand = addInstanceName(app.add_subcommand("undrain", "takes clients again"));
    CLI::App* replaceCommand =
        addInstanceName(app.add_subcommand("replace", "a new process beside it takes over"));

    CLI::App* config = app.add_subcommand("config", "the shared configuration");
    config->require_subcommand(1);
    const auto addWithKey = [&](const char* name, const char* what) {
        CLI::App* sub = config->add_subcommand(name, what);
        sub->add_option("key", a.key, "such as boxes/s-1 or purges/group/17")->required();
        return sub;
    };
    CLI::App* configGet = config->add_subcommand("get", "a document; all below a key that ends with /");
    configGet->add_option("key", a.key, "the key; none: all");
    configGet->add_flag("--stale", a.stale, "from whichever agent answers, and say how old it is");
    CLI::App* configPut = addWithKey("put", "writes a document");
    configPut->add_option("file", a.file, "JSON; - for standard input")->required();
    CLI::App* configDelete = addWithKey("delete", "removes a document");
    for (CLI::App* sub : {configPut, configDelete})
        sub->add_option("--revision", a.revision, "only if it is at this one; 0: only if it is not there");
    CLI::App* configEdit = addWithKey("edit", "opens $EDITOR; refused if somebody else is first");
    CLI::App* configTxn = config->add_subcommand("txn", "a transaction, all or nothing");
    configTxn->add_option("file", a.file, R"({"if":[{"key":K,"revision":N}],"do":[{"key":K,"value":V}]})")
        ->required();
    CLI::App* configHistory = config->add_subcommand("history", "what was changed, when and by whom");
    CLI::App* configWatch = config->add_subcommand("watch", "changes as they come");
    configWatch->add_flag("--once", a.once, "end after the first");
    for (CLI::App* sub : {configHistory, configWatch}) {
        sub->add_option("prefix", a.prefix, "only keys that begin so");
        sub->add_option("--from", a.from, "behind this revision");
    }
    CLI::App* configDiff = addWithKey("diff", "what has changed in a document behind a revision");
    configDiff->add_option("from", a.from, "the revision")->required();

    CLI::App* membersCommand = app.add_subcommand("members", "the agents that agree");
    membersCommand->require_subcommand(1);
    CLI::App* membersList = membersCommand->add_subcommand("list", "who they are, and who leads");
    CLI::App* membersAdd = membersCommand->add_subcommand("add", "takes an agent in; it has no vote yet");
    CLI::App* membersPromote =
        membersCommand->add_subcommand("promote", "gives it a vote once it has caught up");
    CLI::App* membersRemove = membersCommand->add_subcommand("remove", "takes it out");
    CLI::App* membersReplace = membersCommand->add_subcommand(
        "replace", "a dead one out, another in with a vote: remove, add, promote");
    std::uint64_t deadAgent = 0;
    membersReplace->add_option("dead", deadAgent, "the dead agent's id")->required();
    for (CLI::App* sub : {membersAdd, membersPromote, membersRemove, membersReplace})
        sub->add_option("id", a.id, "the agent's id")->required();
    for (CLI::App* sub : {membersAdd, membersReplace}) {
        sub->add_option("raft", a.raft, "its address for the other agents")->required();
        sub->add_option("control", a.control, "its address for this tool")->required();
    }
    CLI::App* membersRecover =
        membersCommand->add_subcommand("recover", "how to go on when a majority is lost for good");
    try {
        app.parse(argumentCount, arguments);
    } catch (const CLI::ParseError& problem) {
        return app.exit(problem) == 0 ? kDone : kMalformed;
    }
    try {
        std::vector<std::string> agents;
        std::istringstream list(a.agents);
        for (std::string one; std::getline(list, one, ',');) {
            settings::readEndpoint(one, "--agents");
            agents.push_back(one);
        }
        const Client client(std::move(agents));
        const std::string instance = "/instances/" + percentEncode(a.name),
                          member = "/members/" + std::to_string(a.id);
        const std::string addresses = json{{"raft", a.raft}, {"control", a.control}}.dump();
        if (statusCommand->parsed()) return status(client);
        if (putCommand->parsed())
            return printResponse(client.callAny(
                "PUT", instance, json{{"agent", a.id}, {"configuration", readFile(a.file)}}.dump()));
        if (deleteCommand->parsed()) return printResponse(client.callAny("DELETE", instance));
        if (readyCommand->parsed()) return printResponse(client.callAny("GET", instance + "/ready"));
        for (const auto& [sub, what] :
             {std::pair{drainCommand, "/drain"}, std::pair{undrainCommand, "/undrain"},
              std::pair{replaceCommand, "/replace"}})
            if (sub->parsed()) return printResponse(client.callAny("POST", instance + what));
        if (configGet->parsed()) return get(client, a);
        if (configPut->parsed()) return put(client, a);
        if (configDelete->parsed()) return deleteDocument(client, a);
        if (configEdit->parsed()) return edit(client, a);
        if (configTxn->parsed()) return commitTransaction(client, a, readFile(a.file));
        if (configHistory->parsed()) return history(client, a);
        if (configWatch->parsed()) return watch(client, a);
        if (configDiff->parsed()) return diff(client, a);
        if (membersList->parsed()) return members(client, a);
        if (membersAdd->parsed()) return printResponse(client.callAny("POST", member, addresses));
        if (membersPromote->parsed()) return printResponse(client.callAny("POST", member + "/promote"));
        if (membersRemove->parsed()) return printResponse(client.callAny("DELETE", member));
        if (membersReplace->parsed()) {
            const Response removed = client.callAny("DELETE", "/members/" + std::to_string(deadAgent));
            if (removed.status != 200) return printResponse(removed);
            const Response added = client.callAny("POST", member, addresses);
            if (added.status != 200) return printResponse(added);
            return printResponse(client.callAny("POST", member + "/promote"));
        }
        if (membersRecover->parsed()) {
            std::printf(
                "Stop every agent that is left. On the one with the highest 'applied' (status):\n"
                "  lotuslead_agent --recover-alone ITS-FILE\n"
                "It refuses while any agent answers. Start it, empty the folders of the others, start them "
                "with\n"
                "\"join\": true, and bring them in with: members add, members promote.\n");
            return kDone;
        }
    } catch (const settings::DecodeError& problem) {
        std::fprintf(stderr, "lotusleadctl: %s\n", problem.what());
        return kMalformed;
    } catch (const std::exception& problem) {
        return printError(std::string(problem.what()) + "\n");
    }
    return kMalformed;
}
