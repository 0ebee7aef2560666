// Replacement of a gateway process while other events interfere: further changes, a successor that exits, a
// failed fork, a full disk.
#include "agents.hpp"
#include "faults.hpp"
#include "scenarios.hpp"

namespace {

using namespace lotuslead::testing;

constexpr auto kCheckTimeout = 1s;  // longer than any expected gap in service
constexpr auto kCheckInterval = 20ms;
constexpr int kPutsWhileDiskFull = 150;
constexpr std::size_t kPaddingBytes = 200'000;  // all puts together exceed two log segments of 8 MB
constexpr const char* kOperatorPortSuffix = ":15000";
constexpr int kSuccessorOperatorPort = 15001;

std::uint16_t freePort() { return Peer(nullptr).port(); }

// Sends health checks to the gateway, each on a new connection, until stopped.
class HealthChecks {
public:
    explicit HealthChecks(std::uint16_t port) : port_(port), thread_([this] { run(); }) {}
    ~HealthChecks() { end(); }
    int unanswered() {
        end();
        return unanswered_;
    }
    int answered() const { return answered_; }

private:
    void run() {
        while (!stopping_) {
            Connection client(port_);
            client.waitAtMost(kCheckTimeout);
            client.sendResp({"CHECK", "1", ""});
            ++(client.readResp().empty() ? unanswered_ : answered_);
            std::this_thread::sleep_for(kCheckInterval);
        }
    }
    void end() {
        stopping_ = true;
        if (thread_.joinable()) thread_.join();
    }

    std::uint16_t port_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> answered_{0}, unanswered_{0};
    std::thread thread_;
};

struct Instance {
    explicit Instance(const Agents& agents, const std::vector<json>& stores = {})
        : agents_(agents), port(freePort()) {
        settings = configuration(stores);
        settings["operator"] = agents.host() + kOperatorPortSuffix;
        settings["listen"] = "127.0.0.1:" + std::to_string(port);
    }
    void put(int megabytes) {
        settings["limits"]["memory_mb"] = megabytes;
        assert(agents_.ctl("put gate-1 2 " + agents_.file("gate.json", settings)) == "agreed\n");
    }
    json status() const { return agents_.status(2)["instances"].value("gate-1", json::object()); }
    void awaitRunning(int notPid = 0) const {
        agents_.await(2, [&](const json& s) {
            const json gate = s["instances"].value("gate-1", json::object());
            return gate.value("phase", "") == "running" && gate.value("pid", 0) != notPid;
        });
    }
    void awaitReady() const {
        for (int i = 0; i < kWaitLimitSeconds * 20; ++i, std::this_thread::sleep_for(50ms))
            if (agents_.ctl("ready gate-1", 2) == "serving\n") return;
        std::abort();
    }

    const Agents& agents_;
    std::uint16_t port;
    json settings;
};

// Other changes, of the same instance and of others, arrive while the successor starts and the old process
// drains. No health check may go unanswered.
void checksAreAnsweredWhileAReplacementIsChanged() {
    Agents agents;
    agents.awaitLeader();
    EventCounter pulled, release;
    Fleet fleet;
    Peer slow(store(servingAfter(pulled, release, "bytes")));
    Instance gate(agents, fleet.with({host("cache-1", slow.address())}));
    gate.put(192);
    gate.awaitReady();
    const int pid = gate.status()["pid"];
    Connection client(gate.port);
    call(client, "1");  // the old process drains until this call is answered
    pulled.await(1);
    HealthChecks checks(gate.port);
    gate.put(96);
    const std::string other = agents.file("other.json", configuration({}));
    for (int i = 1; i <= 3; ++i)
        assert(agents.ctl("put other-" + std::to_string(i) + " 1 " + other) == "agreed\n");
    gate.put(128);
    gate.put(160);
    std::this_thread::sleep_for(2s);
    release.raise();
    assert((client.readResp() == std::vector<std::string>{"1", "SERVED", "-", "bytes"}));
    gate.awaitRunning(pid);
    gate.awaitReady();
    std::this_thread::sleep_for(1s);
    const int unanswered = checks.unanswered();
    std::fprintf(stderr, "%d checks answered, %d not\n", checks.answered(), unanswered);
    assert(unanswered == 0 && checks.answered() > 0);
    assert(gate.status()["restarts"] == 0);
}

// The committed configuration takes effect although its first process could not start.
void aSuccessorThatExitsIsRestarted() {
    Agents agents;
    agents.awaitLeader();
    Instance gate(agents);
    gate.put(192);
    gate.awaitReady();
    const int pid = gate.status()["pid"];
    const std::uint64_t before = gate.status()["revision"];
    {
        // The successor's operator address is in use, so it exits.
        OccupiedPort occupied(agents.host(), kSuccessorOperatorPort);
        gate.put(96);
        agents.awaitLog(2, "the successor of gate-1 has ended");
    }
    gate.awaitRunning(pid);
    assert(gate.status()["revision"] > before);
    gate.awaitReady();
}

void aFailedForkIsRetried() {
    Agents agents(faultVariables("fork=EAGAIN:1:1:1"));
    agents.awaitLeader();
    Instance gate(agents);
    gate.put(192);
    gate.awaitRunning();
    gate.awaitReady();
}

// The disks of all agents are full for a while. Once there is room again, new changes are committed without
// an operator's help.
void agentsRecoverAfterAFullDisk() {
    FaultSwitch faults;
    Agents agents(faults.variables("fallocate=ENOSPC:1;pwrite=ENOSPC:1;sync=EIO:1"));
    agents.awaitLeader();
    json padded = configuration({});
    padded["padding"] = std::string(kPaddingBytes, 'x');
    const std::string big = agents.file("big.json", padded);
    assert(agents.ctl("put gate-0 1 " + big) == "agreed\n");
    faults.set(true);
    // More data than two log segments hold, so that preallocated segments would be used up, too.
    for (int i = 1; i <= kPutsWhileDiskFull; ++i) agents.ctl("put gate-0 1 " + big);
    std::this_thread::sleep_for(2s);
    faults.set(false);
    for (int i = 0; i < kWaitLimitSeconds; ++i, std::this_thread::sleep_for(1s))
        if (agents.ctl("put gate-0 2 " + big) == "agreed\n") return;
    for (int id = 1; id <= 3; ++id) std::fprintf(stderr, "%s\n", agents.ctl("status", id).c_str());
    std::abort();
}

}  // namespace

int main(int argumentCount, char** arguments) {
    const Scenario scenarios[] = {
        {"change-during-replacement", checksAreAnsweredWhileAReplacementIsChanged},
        {"successor-ends", aSuccessorThatExitsIsRestarted},
        {"fork-fails", aFailedForkIsRetried},
        {"no-room", agentsRecoverAfterAFullDisk},
    };
    runScenarios(scenarios, argumentCount, arguments);
    return 0;
}
