// Three agents and the command-line tool, as an operator uses them.
#include <sys/prctl.h>

#include "loopback.hpp"

namespace {

using namespace lotuslead::testing;

std::string run(const std::string& command) {
    std::FILE* pipe = ::popen((command + " 2>&1").c_str(), "r");
    std::string text;
    for (int c; (c = std::fgetc(pipe)) != EOF;) text += static_cast<char>(c);
    ::pclose(pipe);
    return text;
}

class Agents {
public:
    Agents() {
        char folder[] = "/tmp/lotuslead-test-XXXXXX";
        folder_ = ::mkdtemp(folder);
        // The agents must know each other's ports beforehand: an address of this
        // process's own has all free.
        const int pid = ::getpid();
        host_ = "127." + std::to_string(64 + (pid >> 14) % 64) + "." + std::to_string((pid >> 7) % 128) +
                "." + std::to_string(1 + pid % 128);
        for (int id = 1; id <= 3; ++id)
            members_.push_back(
                {{"id", id}, {"raft", host_ + ":" + std::to_string(9000 + id)}, {"control", control(id)}});
        for (int id = 1; id <= 3; ++id) start(id);
    }
    ~Agents() {
        for (int id = 1; id <= 3; ++id) end(id, SIGTERM);
        run("rm -r " + folder_);
    }
    void start(int id) {
        const std::string base = folder_ + "/" + std::to_string(id);
        std::ofstream(base + ".json")
            << json{{"id", id}, {"folder", base}, {"program", LOTUSLEAD_PROGRAM}, {"agents", members_}};
        pids_[id] = ::fork();
        if (pids_[id] != 0) return;
        ::prctl(PR_SET_PDEATHSIG, SIGTERM);  // also when an assert ends this story
        if (!std::freopen((base + ".log").c_str(), "a", stderr)) ::_exit(126);
        ::execl(LOTUSLEAD_AGENT, LOTUSLEAD_AGENT, (base + ".json").c_str(), nullptr);
        ::_exit(127);
    }
    int end(int id, int signal) {
        if (pids_[id] == 0) return 0;
        int status = 0;
        ::kill(pids_[id], signal);
        ::waitpid(pids_[id], &status, 0);
        pids_[id] = 0;
        return WIFEXITED(status) ? WEXITSTATUS(status) : 128;
    }
    const std::string& host() const { return host_; }
    std::string log(int id, const std::string& instance) const {
        std::ifstream in(folder_ + "/" + std::to_string(id) + "/instances/" + instance + ".log");
        return {std::istreambuf_iterator<char>(in), {}};
    }
    std::string control(int id) const { return host_ + ":" + std::to_string(9100 + id); }
    std::string ctl(const std::string& words, int id = 0) const {
        const std::string agents = id > 0 ? control(id) : control(1) + "," + control(2) + "," + control(3);
        return run(std::string(LOTUSLEAD_CTL) + " --agents " + agents + " " + words);
    }
    json status(int id) const {
        const std::string text = ctl("status", id);
        return json::parse(text.substr(text.find('\n') + 1), nullptr, false);
    }
    // What is agreed and started comes soon, but not at once.
    void await(int id, const std::function<bool(const json&)>& holds) const {
        for (int i = 0; i < kPatience * 20; ++i, std::this_thread::sleep_for(50ms)) {
            const json now = status(id);
            if (now.is_object() && holds(now)) return;
        }
        std::fprintf(stderr, "agent %d: %s\n", id, ctl("status", id).c_str());
        std::abort();
    }
    std::string file(const std::string& name, const json& content) const {
        std::ofstream(folder_ + "/" + name) << content;
        return folder_ + "/" + name;
    }

private:
    std::string folder_, host_;
    std::vector<json> members_;
    pid_t pids_[4] = {};
};

void instancesRunWhereAgreedAndOutliveALeader() {
    Agents agents;
    const auto leads = [](const json& s) { return s["leader"] > 0; };
    const auto runs = [](const std::string& name) {
        return [name](const json& s) {
            return s["instances"].contains(name) && s["instances"][name].value("phase", "") == "running";
        };
    };
    for (int id = 1; id <= 3; ++id) agents.await(id, leads);
    const std::string good = agents.file("good.json", configuration({}));
    // Through an agent that doesn't lead the tool is sent on to the one that
    // does.
    for (int id = 1; id <= 3; ++id)
        assert(agents.ctl("put gate-" + std::to_string(id) + " " + std::to_string(id) + " " + good, 1) ==
               "agreed\n");
    for (int id = 1; id <= 3; ++id) agents.await(id, runs("gate-" + std::to_string(id)));

    // An instance that dies is started again.
    const int pid = agents.status(2)["instances"]["gate-2"]["pid"];
    ::kill(pid, SIGKILL);
    agents.await(2, [&](const json& s) {
        const json& gate = s["instances"]["gate-2"];
        return gate["phase"] == "running" && gate["pid"] != pid && gate["restarts"] == 1;
    });

    // What can't be used is refused before it is agreed.
    json wrong = configuration({});
    wrong["listen"] = "nowhere";
    const std::string bad = agents.file("bad.json", wrong);
    assert(agents.ctl("put gate-9 1 " + bad) ==
           "lotusleadctl: bad configuration: field 'listen' is not address:port: "
           "'nowhere'\n");
    assert(agents.ctl("put gate-9 7 " + good) == "lotusleadctl: no agent 7\n");
    assert(agents.ctl("delete gate-9") == "lotusleadctl: no instance 'gate-9'\n");

    // The leader is killed: the other two go on, and it learns later what it has
    // missed.
    const int leader = agents.status(1)["leader"];
    const int other = leader % 3 + 1;
    agents.end(leader, SIGKILL);
    agents.await(other, [&](const json& s) { return s["leader"] > 0 && s["leader"] != leader; });
    assert(agents.ctl("delete gate-" + std::to_string(other), other) == "agreed\n");
    agents.await(other,
                 [&](const json& s) { return !s["instances"].contains("gate-" + std::to_string(other)); });
    agents.start(leader);
    agents.await(leader,
                 [&](const json& s) { return !s["instances"].contains("gate-" + std::to_string(other)); });
    agents.await(leader, runs("gate-" + std::to_string(leader)));
    assert(agents.end(leader, SIGTERM) == 0);
}

void anInstanceIsDrainedAndReplacedFromTheTool() {
    Agents agents;
    for (int id = 1; id <= 3; ++id) agents.await(id, [](const json& s) { return s["leader"] > 0; });
    json settings = configuration({});
    settings["operator"] = agents.host() + ":15000";
    const std::string file = agents.file("gate.json", settings);
    assert(agents.ctl("put gate-1 2 " + file) == "agreed\n");
    const auto says = [&](const std::string& command, const std::string& text) {
        std::string said;
        for (int i = 0; i < kPatience * 20; ++i, std::this_thread::sleep_for(50ms))
            if ((said = agents.ctl(command, 1)) == text) return;  // sent on to the agent that runs it
        std::fprintf(stderr, "%s: %s\n", command.c_str(), said.c_str());
        std::abort();
    };
    says("ready gate-1", "serving\n");
    says("drain gate-1", "draining\n");
    says("ready gate-1", "lotusleadctl: draining\n");
    says("undrain gate-1", "serving\n");
    assert(agents.ctl("drain gate-9") == "lotusleadctl: no instance 'gate-9'\n");

    // A new process takes over, by hand and with a new configuration; nothing is
    // started again.
    int pid = agents.status(2)["instances"]["gate-1"]["pid"];
    const auto replaced = [&](const json& s) {
        const json& gate = s["instances"]["gate-1"];
        return gate["phase"] == "running" && gate["pid"] != pid && gate["restarts"] == 0;
    };
    assert(agents.ctl("replace gate-1") == "replacing\n");
    agents.await(2, replaced);
    says("ready gate-1", "serving\n");
    pid = agents.status(2)["instances"]["gate-1"]["pid"];
    settings["limits"]["memory_mb"] = 96;
    agents.file("gate.json", settings);
    assert(agents.ctl("put gate-1 2 " + file) == "agreed\n");
    agents.await(2, replaced);
    says("ready gate-1", "serving\n");
    const std::string log = agents.log(2, "gate-1");
    assert(log.find("leaving to a successor") != log.rfind("leaving to a successor"));
    // What can't be used is refused, and the process stays.
    json taken = settings;
    taken["bus"] = "nowhere";
    pid = agents.status(2)["instances"]["gate-1"]["pid"];
    assert(agents.ctl("put gate-1 2 " + agents.file("bad.json", taken)).find("field 'bus'") !=
           std::string::npos);
    assert(agents.status(2)["instances"]["gate-1"]["pid"] == pid);
}

}  // namespace

int main() {
    anInstanceIsDrainedAndReplacedFromTheTool();
    instancesRunWhereAgreedAndOutliveALeader();
}
