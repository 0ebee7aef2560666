// Tests of agents that come back: no instance may be started by what an agent knew before, while the others
// have moved or deleted it, and each agent's own instances start again soon.
#include "raft_cluster.hpp"

namespace {

using namespace lotuslead::testing;

constexpr const char* kWaiting = "waiting for the agreed configuration";
// Longer than the waits of an agent until it counts as out of contact or has asked the others.
constexpr auto kObservation = 2500ms;
constexpr int kManyEntries = 60, kOftenSnapshot = 16, kNoSnapshot = 1'000'000;

json put(const std::string& key, const json& value) { return {{"do", {{{"key", key}, {"value", value}}}}}; }

// Three agents that run real gateways.
class Site {
public:
    explicit Site(int snapshotEvery, int size = 3)
        : cluster(size, {{"snapshot_every", snapshotEvery}, {"program", LOTUSLEAD_PROGRAM}}),
          leader(cluster.awaitLeader()),
          follower(leader % size + 1),
          other(follower % size + 1) {}

    void putInstance(const std::string& name, int agent, int memoryMb = 192) const {
        json settings = configuration({});
        settings["limits"]["memory_mb"] = memoryMb;
        call("PUT", "/instances/" + name, json{{"agent", agent}, {"configuration", settings}}.dump());
    }
    void call(const std::string& method, const std::string& target, const std::string& body = "") const {
        for (int i = 0; i < kWaitLimitSeconds * 10; ++i, std::this_thread::sleep_for(100ms))
            if (cluster.client(leader).callAny(method, target, body).status == 200) return;
        std::fprintf(stderr, "%s %s\n", method.c_str(), target.c_str());
        std::abort();
    }
    void commitManyEntries() const {
        for (int i = 0; i < kManyEntries; ++i)
            assert(cluster.client(leader).commit(put("files/a", i)).status == 200);
    }
    int starts(int agent, const std::string& name) const {
        std::ifstream in(cluster.folder(agent) + "/instances/" + name + ".log");
        const std::string text{std::istreambuf_iterator<char>(in), {}};
        const std::string line = ": serving on ";
        int count = 0;
        for (std::size_t at = 0; (at = text.find(line, at)) != std::string::npos; at += line.size()) ++count;
        return count;
    }
    void awaitStarts(int agent, const std::string& name, int count) const {
        for (int i = 0; i < kWaitLimitSeconds * 50; ++i, std::this_thread::sleep_for(20ms))
            if (starts(agent, name) >= count) return;
        std::fprintf(stderr, "%s at agent %d: %d starts\n%s\n", name.c_str(), agent, starts(agent, name),
                     cluster.log(agent).c_str());
        std::abort();
    }
    void awaitEnd(int agent, const std::string& name) const {
        cluster.await(agent, [&](const json& s) {
            return !s["instances"].contains(name) || !s["instances"][name].contains("pid");
        });
    }
    void awaitConfiguration(int agent, const std::string& what) const {
        cluster.await(agent, [&](const json& s) { return s.value("configuration", "") == what; });
    }

    mutable Cluster cluster;
    int leader, follower, other;
};

enum class Change { move, remove, moveWhileAway, removeWhileAway };

void playRestart(int snapshotEvery, Change change) {
    Site site(snapshotEvery);
    site.putInstance("gate-1", site.follower);
    site.putInstance("own", site.follower);
    site.awaitStarts(site.follower, "gate-1", 1);
    site.awaitStarts(site.follower, "own", 1);
    site.commitManyEntries();
    const bool whileAway = change == Change::moveWhileAway || change == Change::removeWhileAway;
    const bool isMove = change == Change::move || change == Change::moveWhileAway;
    if (whileAway) site.cluster.kill(site.follower);
    if (isMove)
        site.putInstance("gate-1", site.other);
    else
        site.call("DELETE", "/instances/gate-1");
    if (isMove) site.awaitStarts(site.other, "gate-1", 1);
    if (!whileAway) {
        site.awaitEnd(site.follower, "gate-1");
        site.cluster.kill(site.follower);
    }
    site.cluster.start(site.follower);
    site.awaitStarts(site.follower, "own", 2);
    std::this_thread::sleep_for(500ms);
    assert(site.starts(site.follower, "gate-1") == 1);
    assert(site.starts(site.follower, "own") == 2);
    const json status = site.cluster.status(site.follower);
    assert(status.value("configuration", "agreed") == "agreed");
}

// Guards against an instance that is started from a snapshot although it was moved or deleted since.
void movedOrDeletedSinceTheSnapshot() {
    for (const Change change : {Change::move, Change::remove, Change::moveWhileAway, Change::removeWhileAway})
        playRestart(kOftenSnapshot, change);
}

// Guards against an instance that is started while the log is replayed entry by entry.
void movedOrDeletedInTheLog() {
    for (const Change change : {Change::move, Change::remove, Change::moveWhileAway, Change::removeWhileAway})
        playRestart(kNoSnapshot, change);
}

// Guards against an instance that is started with a configuration from before the snapshot and then replaced.
void anInstanceStartsOnceWithItsNewestConfiguration() {
    Site site(kOftenSnapshot);
    site.putInstance("gate-1", site.follower);
    site.awaitStarts(site.follower, "gate-1", 1);
    site.commitManyEntries();
    site.cluster.kill(site.follower);
    site.putInstance("gate-1", site.follower, 96);
    site.cluster.start(site.follower);
    site.awaitStarts(site.follower, "gate-1", 2);
    std::this_thread::sleep_for(500ms);
    assert(site.starts(site.follower, "gate-1") == 2);
    std::ifstream in(site.cluster.folder(site.follower) + "/instances/gate-1.json");
    assert(json::parse(in)["limits"]["memory_mb"] == 96);
}

// Guards against an agent that acts, or answers gateways, on what it knew before it was cut off.
void anAgentThatComesBackCutOffWaits() {
    for (const int snapshotEvery : {kOftenSnapshot, kNoSnapshot}) {
        Site site(snapshotEvery);
        site.putInstance("gate-1", site.follower);
        site.awaitStarts(site.follower, "gate-1", 1);
        site.commitManyEntries();
        site.cluster.kill(site.follower);
        for (const int id : {site.leader, site.other}) {
            site.cluster.relay.cut(id, site.follower, true);
            site.cluster.relay.cut(site.follower, id, true);
        }
        site.putInstance("gate-1", site.other);
        site.cluster.start(site.follower);
        site.awaitConfiguration(site.follower, kWaiting);
        std::this_thread::sleep_for(kObservation);
        const json status = site.cluster.status(site.follower);
        assert(status.value("configuration", "") == kWaiting && status["age_ms"].is_null());
        if (status["instances"].contains("gate-1"))
            assert(status["instances"]["gate-1"]["phase"] == kWaiting);
        const auto feed =
            lotuslead::ctl::Client::callAgent(site.cluster.bus(site.follower), "GET", "/bus/read?from=0");
        assert(feed && feed->status == 503);
        assert(site.starts(site.follower, "gate-1") == 1);
        site.cluster.relay.heal();
        site.awaitConfiguration(site.follower, "agreed");
        std::this_thread::sleep_for(500ms);
        assert(site.starts(site.follower, "gate-1") == 1);
    }
}

// Guards against instances of a stale agent while the others are suspended, and against a wait without end.
void theOthersAreSuspended() {
    Site site(kOftenSnapshot);
    site.putInstance("gate-1", site.follower);
    site.putInstance("own", site.follower);
    site.awaitStarts(site.follower, "own", 1);
    site.commitManyEntries();
    site.putInstance("gate-1", site.other);
    site.awaitEnd(site.follower, "gate-1");
    site.cluster.kill(site.follower);
    for (const int id : {site.leader, site.other}) ::kill(site.cluster.pid(id), SIGSTOP);
    site.cluster.start(site.follower);
    std::this_thread::sleep_for(kObservation);
    assert(site.starts(site.follower, "own") == 1);
    for (const int id : {site.leader, site.other}) ::kill(site.cluster.pid(id), SIGCONT);
    site.awaitStarts(site.follower, "own", 2);
    assert(site.starts(site.follower, "gate-1") == 1);
}

// Guards against instances at an agent that was removed and hears of no change any more.
void aRemovedAgentRunsNothing() {
    for (const bool restarted : {true, false}) {
        Site site(kOftenSnapshot);
        site.putInstance("gate-1", site.follower);
        site.awaitStarts(site.follower, "gate-1", 1);
        site.commitManyEntries();
        if (restarted) site.cluster.kill(site.follower);
        site.call("DELETE", "/members/" + std::to_string(site.follower));
        if (restarted) site.cluster.start(site.follower);
        site.awaitConfiguration(site.follower, "not a member of the cluster");
        site.awaitEnd(site.follower, "gate-1");
        assert(site.starts(site.follower, "gate-1") == 1);
    }
}

// Guards against waits that outlast a restart of the whole site, or of a lone agent.
void wholeSitesServeAgain() {
    for (const int size : {1, 3}) {
        Site site(kOftenSnapshot, size);
        for (int id = 1; id <= size; ++id) {
            site.putInstance("gate-" + std::to_string(id), id);
            site.awaitStarts(id, "gate-" + std::to_string(id), 1);
        }
        site.commitManyEntries();
        for (int id = 1; id <= size; ++id) site.cluster.kill(id);
        for (int id = 1; id <= size; ++id) site.cluster.start(id);
        for (int id = 1; id <= size; ++id) site.awaitStarts(id, "gate-" + std::to_string(id), 2);
    }
}

// Guards against an agent that serves without a majority, or does not after --recover-alone.
void aMajorityIsLost() {
    Site site(kOftenSnapshot);
    site.putInstance("gate-1", site.follower);
    site.awaitStarts(site.follower, "gate-1", 1);
    site.commitManyEntries();
    for (int id = 1; id <= 3; ++id) site.cluster.kill(id);
    site.cluster.start(site.follower);
    std::this_thread::sleep_for(kObservation);
    assert(site.cluster.status(site.follower).value("configuration", "") == kWaiting);
    assert(site.starts(site.follower, "gate-1") == 1);
    site.cluster.kill(site.follower);
    const std::string recover = std::string(LOTUSLEAD_AGENT) + " --recover-alone " +
                                site.cluster.folder(site.follower) + ".json 2>/dev/null";
    assert(std::system(recover.c_str()) == 0);
    site.cluster.start(site.follower);
    site.awaitStarts(site.follower, "gate-1", 2);
}

}  // namespace

int main(int count, char** arguments) {
    const std::map<std::string, void (*)()> stories{
        {"snapshot", movedOrDeletedSinceTheSnapshot},
        {"log", movedOrDeletedInTheLog},
        {"newest-configuration", anInstanceStartsOnceWithItsNewestConfiguration},
        {"cut-off", anAgentThatComesBackCutOffWaits},
        {"suspended", theOthersAreSuspended},
        {"removed", aRemovedAgentRunsNothing},
        {"whole-site", wholeSitesServeAgain},
        {"lost-majority", aMajorityIsLost}};
    assert(count == 2);
    stories.at(arguments[1])();
}
