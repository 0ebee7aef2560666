// Thousands of seeded schedules in one process: a cluster in memory, clients with sessions, faults; after
// each event the state machines are compared, at the end nothing answered for may be missing. Any seed
// replays exactly.
//
//   raft_schedules --seeds N --first S    last line: seeds=N committed=... reads=... crashes=... failed=...
#include <cstdio>
#include <cstdlib>
#include <set>

#include "raft_simulation.hpp"

namespace {

using namespace lotuslead;
using namespace lotuslead::testing;
using config::Outcome;

struct Result {
    std::uint64_t trace = 0, committed = 0, reads = 0, crashes = 0;
    std::vector<std::string> faults;
};

class Schedule {
public:
    explicit Schedule(std::uint64_t seed) : simulation_(seed % 2 ? 5 : 3, seed) {
        simulation_.applied = [this](raft_id, std::uint64_t number, std::string_view command) {
            const auto [at, isNew] = log_.emplace(number, command);
            if (!isNew && at->second != command)
                fault("two servers applied different commands as number " + std::to_string(number));
        };
    }

    Result run() {
        for (int i = 0; i < 3; ++i) clients_.push_back({});
        for (std::size_t i = 0; i < clients_.size(); ++i) act(i);
        for (int i = 0; i < 12; ++i) {
            weather();
            simulation_.runFor(200 + static_cast<int>(simulation_.randomBelow(600)));
        }
        over_ = true;
        simulation_.heal();
        for (std::size_t i = 0; i < simulation_.size(); ++i) simulation_.server(i).start();
        simulation_.runFor(8000);
        end();
        result_.trace = simulation_.trace();
        return result_;
    }

private:
    struct Client {
        std::uint64_t session = 0, sequence = 0, tries = 0;
        std::string key;  // of the command that is being tried
    };

    void fault(const std::string& action) {
        if (result_.faults.size() < 5) result_.faults.push_back(action);
    }

    void weather() {
        const std::size_t size = simulation_.size(), one = simulation_.randomBelow(size);
        switch (simulation_.randomBelow(7)) {
            case 0:
                simulation_.heal();
                break;
            case 1:  // one way, or both
                for (std::size_t other = 0; other < size; ++other) {
                    if (simulation_.randomBelow(2)) simulation_.cut(one, other, true);
                    if (simulation_.randomBelow(2)) simulation_.cut(other, one, true);
                }
                break;
            case 2: {  // a minority and a majority
                const std::size_t other = (one + 1) % size;
                for (std::size_t a = 0; a < size; ++a)
                    for (std::size_t b = 0; b < size; ++b)
                        if ((a == one || a == other) != (b == one || b == other))
                            simulation_.cut(a, b, size > 3);
                break;
            }
            case 3:
                simulation_.setNetworkFaults(static_cast<int>(simulation_.randomBelow(30)),
                                             10 + static_cast<int>(simulation_.randomBelow(150)));
                break;
            case 4:  // the leader, in the middle of whatever it does
                for (std::size_t i = 0; i < size; ++i)
                    if (simulation_.server(i).isLeader()) crash(i);
                break;
            case 5:
                crash(one);
                break;
            default:
                if (simulation_.randomBelow(3) == 0)
                    for (std::size_t i = 0; i < size; ++i) crash(i);
                break;
        }
    }
    void crash(std::size_t i) {
        if (!simulation_.server(i).isRunning()) return;
        ++result_.crashes;
        simulation_.server(i).crash();
        simulation_.after(20 + static_cast<int>(simulation_.randomBelow(500)),
                          [this, i] { simulation_.server(i).start(); });
    }

    // A server that believes that it leads, not always the same, where there are two.
    RaftSimulation::Server* leader() {
        std::vector<RaftSimulation::Server*> all;
        for (std::size_t i = 0; i < simulation_.size(); ++i)
            if (simulation_.server(i).isLeader()) all.push_back(&simulation_.server(i));
        return all.empty() ? nullptr : all[simulation_.randomBelow(all.size())];
    }

    void act(std::size_t number) {
        Client& client = clients_[number];
        const auto again = [this, number](int ms) { simulation_.after(ms, [this, number] { act(number); }); };
        if (over_ && client.key.empty()) return;
        RaftSimulation::Server* server = leader();
        if (!server) return again(20);
        if (client.session == 0) {
            const bool begun = server->propose(config::encode({0, 0, true, {}}),
                                               [this, number, again](bool known, const Outcome& o) {
                                                   if (known) clients_[number].session = o.revision;
                                                   again(1);
                                               });
            if (!begun) again(20);
            return;
        }
        if (client.key.empty() && simulation_.randomBelow(3) == 0) return read(*server, again);
        if (client.key.empty()) {
            ++client.sequence;
            client.key = "files/" + std::to_string(number) + "-" + std::to_string(client.sequence);
        }
        // Whoever is applied twice finds its own document there.
        config::Command command{client.session,
                                client.sequence,
                                false,
                                {{{client.key, 0}}, {{client.key, client.sequence}}, 0, ""}};
        // An answer that never comes must not hold the client up: it tries again elsewhere, with the same
        // words.
        const std::uint64_t attempt = ++client.tries;
        const bool begun = server->propose(config::encode(command),
                                           [this, number, attempt, again](bool known, const Outcome& o) {
                                               if (clients_[number].tries != attempt) return;
                                               if (known) answered(number, o);
                                               ++clients_[number].tries;
                                               again(1 + static_cast<int>(simulation_.randomBelow(30)));
                                           });
        if (!begun) return again(20);
        simulation_.after(400, [this, number, attempt, again] {
            if (clients_[number].tries != attempt) return;
            ++clients_[number].tries;
            again(1);
        });
    }
    void answered(std::size_t number, const Outcome& outcome) {
        Client& client = clients_[number];
        simulation_.addToTrace(outcome.revision);
        if (outcome.status != Outcome::Status::done)
            fault(client.key + " was answered '" + config::nameOf(outcome.status) + "'");
        kept_.emplace(client.key, outcome.revision);
        highest_ = std::max(highest_, outcome.revision);
        ++result_.committed;
        client.key.clear();
    }
    template <class Again>
    void read(RaftSimulation::Server& server, Again again) {
        const config::Revision before = highest_;
        const bool begun = server.barrier([this, &server, before, again](bool holds) {
            if (holds) {
                ++result_.reads;
                if (server.store().revision() < before)
                    fault("a read behind a barrier was older than an answer");
            }
            again(1);
        });
        if (!begun) again(20);
    }

    void end() {
        std::string first;
        for (std::size_t i = 0; i < simulation_.size(); ++i) {
            const config::Store& store = simulation_.server(i).store();
            if (i == 0) first = store.dump();
            if (store.dump() != first) fault("the servers do not end with one state");
            for (const auto& [key, revision] : kept_) {
                const auto* loaded = store.find(key);
                if (!loaded || loaded->revision != revision)
                    fault(key + " was answered for and is not there");
            }
        }
        for (const Client& client : clients_)
            if (!client.key.empty()) fault(client.key + " was never answered");
    }

    RaftSimulation simulation_;
    Result result_;
    std::vector<Client> clients_;
    std::map<std::uint64_t, std::string> log_;
    std::map<std::string, config::Revision> kept_;
    config::Revision highest_ = 0;
    bool over_ = false;
};

}  // namespace

int main(int count, char** words) {
    std::uint64_t seeds = 0, first = 1;
    for (int i = 1; i + 1 < count; i += 2) {
        if (std::string(words[i]) == "--seeds") seeds = std::strtoull(words[i + 1], nullptr, 10);
        if (std::string(words[i]) == "--first") first = std::strtoull(words[i + 1], nullptr, 10);
    }
    if (seeds == 0) {
        std::fprintf(stderr, "raft_schedules --seeds N --first S\n");
        return 2;
    }
    Result all;
    std::uint64_t failed = 0;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        Result one = Schedule(seed).run();
        // Each hundredth is played twice, and each that fails: a run that can't be had again proves little.
        if (seed % 100 == 0 || !one.faults.empty())
            if (Schedule(seed).run().trace != one.trace) one.faults.push_back("it does not replay");
        for (const std::string& fault : one.faults)
            std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), fault.c_str());
        failed += !one.faults.empty();
        all.committed += one.committed;
        all.reads += one.reads;
        all.crashes += one.crashes;
    }
    const bool enough = all.committed >= seeds * 20 && all.reads >= seeds;
    if (!enough) std::printf("too little was committed to mean anything\n");
    std::printf("seeds=%llu committed=%llu reads=%llu crashes=%llu failed=%llu\n",
                static_cast<unsigned long long>(seeds), static_cast<unsigned long long>(all.committed),
                static_cast<unsigned long long>(all.reads), static_cast<unsigned long long>(all.crashes),
                static_cast<unsigned long long>(failed));
    return failed == 0 && enough ? 0 : 1;
}
