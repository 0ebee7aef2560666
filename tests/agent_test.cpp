// Runs three agents and exercises them with the command-line tool, as an operator does.
#include "agents.hpp"

namespace {

using namespace lotuslead::testing;

void instancesRunOnTheirAgentsAcrossALeaderCrash() {
    Agents agents;
    const auto leads = [](const json& s) { return s["leader"] > 0; };
    const auto runs = [](const std::string& name) {
        return [name](const json& s) {
            return s["instances"].contains(name) && s["instances"][name].value("phase", "") == "running";
        };
    };
    for (int id = 1; id <= 3; ++id) agents.await(id, leads);
    const std::string good = agents.file("good.json", configuration({}));
    // Agents that are not the leader redirect the tool to it.
    for (int id = 1; id <= 3; ++id)
        assert(agents.ctl("put gate-" + std::to_string(id) + " " + std::to_string(id) + " " + good, 1) ==
               "agreed\n");
    for (int id = 1; id <= 3; ++id) agents.await(id, runs("gate-" + std::to_string(id)));

    // An instance that crashes is restarted.
    const int pid = agents.status(2)["instances"]["gate-2"]["pid"];
    ::kill(pid, SIGKILL);
    agents.await(2, [&](const json& s) {
        const json& gate = s["instances"]["gate-2"];
        return gate["phase"] == "running" && gate["pid"] != pid && gate["restarts"] == 1;
    });

    // An invalid configuration is rejected before it is proposed.
    json wrong = configuration({});
    wrong["listen"] = "nowhere";
    const std::string bad = agents.file("bad.json", wrong);
    assert(agents.ctl("put gate-9 1 " + bad) ==
           "lotusleadctl: bad configuration: field 'listen' is not address:port: "
           "'nowhere'\n");
    assert(agents.ctl("put gate-9 7 " + good) == "lotusleadctl: no agent 7\n");
    assert(agents.ctl("delete gate-9") == "lotusleadctl: no instance 'gate-9'\n");

    // The leader is killed: the other two go on, and it catches up after its restart.
    const int leader = agents.status(1)["leader"];
    const int other = leader % 3 + 1;
    agents.stop(leader, SIGKILL);
    agents.await(other, [&](const json& s) { return s["leader"] > 0 && s["leader"] != leader; });
    assert(agents.ctl("delete gate-" + std::to_string(other), other) == "agreed\n");
    agents.await(other,
                 [&](const json& s) { return !s["instances"].contains("gate-" + std::to_string(other)); });
    agents.start(leader);
    agents.await(leader,
                 [&](const json& s) { return !s["instances"].contains("gate-" + std::to_string(other)); });
    agents.await(leader, runs("gate-" + std::to_string(leader)));
    assert(agents.stop(leader, SIGTERM) == 0);
}

void anInstanceIsDrainedAndReplacedByTheTool() {
    Agents agents;
    for (int id = 1; id <= 3; ++id) agents.await(id, [](const json& s) { return s["leader"] > 0; });
    json settings = configuration({});
    settings["operator"] = agents.host() + ":15000";
    const std::string file = agents.file("gate.json", settings);
    assert(agents.ctl("put gate-1 2 " + file) == "agreed\n");
    const auto says = [&](const std::string& command, const std::string& text) {
        std::string said;
        for (int i = 0; i < kWaitLimitSeconds * 20; ++i, std::this_thread::sleep_for(50ms))
            // The tool is redirected to the agent that runs the instance.
            if ((said = agents.ctl(command, 1)) == text) return;
        std::fprintf(stderr, "%s: %s\n", command.c_str(), said.c_str());
        std::abort();
    };
    says("ready gate-1", "serving\n");
    says("drain gate-1", "draining\n");
    says("ready gate-1", "lotusleadctl: draining\n");
    says("undrain gate-1", "serving\n");
    assert(agents.ctl("drain gate-9") == "lotusleadctl: no instance 'gate-9'\n");

    // A new process takes over, on request and for a new configuration; this does not count as a restart.
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
    // An invalid configuration is rejected, and the running process stays.
    json occupied = settings;
    occupied["bus"] = "nowhere";
    pid = agents.status(2)["instances"]["gate-1"]["pid"];
    assert(agents.ctl("put gate-1 2 " + agents.file("bad.json", occupied)).find("field 'bus'") !=
           std::string::npos);
    assert(agents.status(2)["instances"]["gate-1"]["pid"] == pid);
}

}  // namespace

int main() {
    anInstanceIsDrainedAndReplacedByTheTool();
    instancesRunOnTheirAgentsAcrossALeaderCrash();
}
