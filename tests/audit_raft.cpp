// Runs five agents as real processes whose links pass through a relay. Links are cut, delayed and healed,
// and agents killed and restarted, in an order given by a seed. Clients append to lists and read them
// throughout. Afterwards a checker verifies that no acknowledged append is lost, that none was applied
// against its answer, that all agents report the same history, and that the operations were linearizable.
//
//   audit_raft --rounds N --seed S
//   last line: rounds=N committed=... lost=... twice=... disordered=... nonlinear=...
//
// With --folder-faults there are three agents, and in each round the folders of one, two or all three of
// them fail in addition: fallocate, writes, syncs, renames, opens and removals, chosen by the seed, for 0.1
// to 30 s. The last line then ends with stuck=... (rounds without a leader 10 s after the last fault ended)
// and crashed=... (agents that exited unexpectedly).
#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <iterator>
#include <random>

#include "faults.hpp"
#include "raft_cluster.hpp"

namespace {

using namespace lotuslead;
using namespace lotuslead::testing;

constexpr int kAgents = 5, kAgentsWithFolderFaults = 3;
constexpr int kWriters = 3, kReaders = 2, kListLength = 200;
constexpr auto kNewLeaderTimeout = 10s;
constexpr double kMinFaultSeconds = 0.1, kMaxFaultSeconds = 30;  // chosen on a logarithmic scale

// One rule per system call and error; each round enables a random subset. A rule fails every call or every
// second one.
constexpr const char* kFolderRules[] = {"fallocate=ENOSPC:1", "pwrite=ENOSPC:1", "pwrite=EIO:-2",
                                        "sync=EIO:1",         "rename=EIO:1",    "open_file=EIO:1",
                                        "unlink=EIO:1"};

std::string folderRules() {
    std::string all;
    for (const char* rule : kFolderRules) all += (all.empty() ? "" : ";") + std::string(rule);
    return all;
}

std::int64_t monotonicUs() {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

// An operation on a list: an append has an id, a read has the ids that it returned.
struct Operation {
    std::int64_t beginUs = 0, endUs = 0;
    std::string list;
    std::string id;  // empty for a read
    std::vector<std::string> seenIds;
    enum class Result { done, conflict, unknown, gone } result = Result::unknown;
};

class Audit {
public:
    Audit(int rounds, std::uint64_t seed, bool folderFaults)
        : rounds_(rounds),
          agents_(folderFaults ? kAgentsWithFolderFaults : kAgents),
          folderFaults_(folderFaults),
          random_(seed),
          cluster_(agents_, {{"snapshot_every", 40}}, [this](int id) { return environmentOf(id); }) {}

    int run() {
        cluster_.awaitLeader();
        std::vector<std::thread> clients;
        for (int i = 0; i < kWriters; ++i) clients.emplace_back([this, i] { write(i); });
        for (int i = 0; i < kReaders; ++i) clients.emplace_back([this, i] { read(i); });
        for (int i = 1; i <= agents_; ++i) clients.emplace_back([this, i] { watchAgent(i); });
        for (int i = 0; i < rounds_; ++i) folderFaults_ ? runRoundWithFolderFaults() : runRound();
        healAndAwaitLeader();
        std::this_thread::sleep_for(1500ms);
        stopping_ = true;
        for (auto& thread : clients) thread.join();
        checkHistory();
        const bool enough = committed_ >= static_cast<std::uint64_t>(rounds_) * 3;
        if (!enough) std::printf("too few commits for a meaningful result\n");
        std::printf(
            "reads=%llu unknown=%llu conflicts=%llu leaders_killed=%d all_killed=%d splits=%d one_way=%d\n",
            static_cast<unsigned long long>(reads_), static_cast<unsigned long long>(unknown_),
            static_cast<unsigned long long>(conflicts_), killedLeaders_, killedAll_, splits_, oneWay_);
        if (folderFaults_ && !leaderlessMs_.empty()) {
            std::sort(leaderlessMs_.begin(), leaderlessMs_.end());
            std::printf("without a leader after the last fault of a round: median %lld ms, worst %lld ms\n",
                        static_cast<long long>(leaderlessMs_[leaderlessMs_.size() / 2]),
                        static_cast<long long>(leaderlessMs_.back()));
        }
        std::printf("rounds=%d committed=%llu lost=%llu twice=%llu disordered=%llu nonlinear=%llu", rounds_,
                    static_cast<unsigned long long>(committed_), static_cast<unsigned long long>(lost_),
                    static_cast<unsigned long long>(twice_), static_cast<unsigned long long>(disordered_),
                    static_cast<unsigned long long>(nonlinear_));
        if (folderFaults_) std::printf(" stuck=%d crashed=%d", stuck_, crashed_);
        std::printf("\n");
        return enough && lost_ + twice_ + disordered_ + nonlinear_ == 0 && stuck_ + crashed_ == 0 ? 0 : 1;
    }

private:
    // ----- faults -----

    Program::Variables environmentOf(int id) const {
        if (!folderFaults_) return {};
        return folders_[static_cast<std::size_t>(id)].variables(folderRules());
    }
    void heal() {
        cluster_.relay.heal();
        for (int id = 1; id <= agents_; ++id)
            if (!cluster_.runs(id)) cluster_.start(id);
    }
    void healAndAwaitLeader() {
        heal();
        cluster_.awaitLeader();
    }
    // Makes folders fail, injects another fault meanwhile, and then heals everything.
    void runRoundWithFolderFaults() {
        const int failing = 1 + static_cast<int>(random_() % static_cast<unsigned>(agents_));
        const int first = static_cast<int>(random_() % static_cast<unsigned>(agents_));
        std::string mask;
        for (std::size_t i = 0; i < std::size(kFolderRules); ++i) mask += random_() % 2 == 0 ? '1' : '0';
        for (int i = 0; i < failing; ++i)
            folders_[static_cast<std::size_t>(1 + (first + i) % agents_)].set(true, 0, mask);
        const double part = std::uniform_real_distribution<double>(0, 1)(random_);
        const double seconds = kMinFaultSeconds * std::pow(kMaxFaultSeconds / kMinFaultSeconds, part);
        const auto until = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
        injectFault();
        heal();
        std::this_thread::sleep_until(until);
        for (int id = 1; id <= agents_; ++id) folders_[static_cast<std::size_t>(id)].set(false);
        recordCrashes();
        heal();
        measureLeaderlessTime();
        pauseRandomly(50, 250);
        recordCrashes();
    }
    void recordCrashes() {
        for (int id = 1; id <= agents_; ++id) {
            const auto status = cluster_.takeUnexpectedExit(id);
            if (!status) continue;
            ++crashed_;
            std::printf("agent %d exited unexpectedly, wait status %d:\n%s\n", id, *status,
                        cluster_.log(id).c_str());
        }
    }
    void measureLeaderlessTime() {
        const auto begin = std::chrono::steady_clock::now();
        while (cluster_.leader() == 0) {
            if (std::chrono::steady_clock::now() - begin > kNewLeaderTimeout) {
                ++stuck_;
                cluster_.awaitLeader();
                return;
            }
            std::this_thread::sleep_for(5ms);
        }
        const auto waited = std::chrono::steady_clock::now() - begin;
        leaderlessMs_.push_back(std::chrono::duration_cast<std::chrono::milliseconds>(waited).count());
    }
    void pauseRandomly(int least, int most) {
        std::this_thread::sleep_for(std::chrono::milliseconds{
            least + static_cast<int>(random_() % static_cast<unsigned>(most - least))});
    }
    void split(std::vector<int> some) {
        for (int a = 1; a <= agents_; ++a)
            for (int b = 1; b <= agents_; ++b) {
                const bool inA = std::count(some.begin(), some.end(), a) > 0;
                const bool inB = std::count(some.begin(), some.end(), b) > 0;
                if (inA != inB) cluster_.relay.cut(a, b, true);
            }
    }
    void runRound() {
        injectFault();
        healAndAwaitLeader();
        pauseRandomly(50, 250);
    }
    void injectFault() {
        const int leader = cluster_.leader();
        const int other = 1 + static_cast<int>(random_() % static_cast<unsigned>(agents_));
        switch (random_() % 6) {
            case 0:  // the leader and one other agent in a minority
                ++splits_;
                if (leader != 0) split({leader, leader % agents_ + 1});
                pauseRandomly(300, 900);
                break;
            case 1:  // two other agents in a minority
                ++splits_;
                split({other, other % agents_ + 1});
                pauseRandomly(200, 600);
                break;
            case 2:  // links from or to the leader cut in one direction each
                ++oneWay_;
                for (int id = 1; id <= kAgents && leader != 0; ++id)
                    random_() % 2 ? cluster_.relay.cut(leader, id, true)
                                  : cluster_.relay.cut(id, leader, true);
                pauseRandomly(200, 800);
                break;
            case 3:  // during writes: clients never pause
                ++killedLeaders_;
                if (leader != 0) cluster_.kill(leader);
                pauseRandomly(150, 600);
                break;
            case 4:
                if (random_() % 2 == 0) {
                    ++killedAll_;
                    for (int id = 1; id <= agents_; ++id) cluster_.kill(id);
                } else {
                    cluster_.kill(other);
                    cluster_.kill(other % agents_ + 1);
                }
                pauseRandomly(20, 200);
                break;
            default:
                cluster_.relay.delay(5 + static_cast<int>(random_() % 60));
                pauseRandomly(200, 500);
                break;
        }
    }

    // ----- clients -----

    static std::string listOf(std::uint64_t number) { return "files/list-" + std::to_string(number); }

    // Returns nothing unless an agent gave a linearizable answer.
    std::optional<json> readDocument(const ctl::Client& client, const std::string& key) {
        const auto response = client.callAny("GET", "/config/" + key);
        if (response.status != 200 && response.status != 404) return {};
        const json body = json::parse(response.body, nullptr, false);
        if (!body.is_object() || !body.contains("documents")) return {};
        return body["documents"].empty() ? json{{"revision", 0}, {"value", json::array()}}
                                         : body["documents"][0];
    }
    void recordOperation(Operation operation) {
        const std::lock_guard lock(mutex_);
        operations_.push_back(std::move(operation));
    }
    void write(int writer) {
        std::uint64_t session = 0, sequence = 0, appendCount = 0;
        std::mt19937_64 random(static_cast<std::uint64_t>(writer) + 100);
        while (!stopping_) {
            const auto client =
                cluster_.client(1 + static_cast<int>(random() % static_cast<unsigned>(agents_)));
            if (session == 0) {
                const auto opened = client.callAny("POST", "/sessions");
                if (opened.status != 200) {
                    std::this_thread::sleep_for(20ms);
                    continue;
                }
                session = json::parse(opened.body)["revision"];
                sequence = 0;
            }
            const std::uint64_t list = currentList_;
            const auto before = readDocument(client, listOf(list));
            if (!before) continue;
            if ((*before)["value"].size() >= kListLength) {
                std::uint64_t expected = list;
                currentList_.compare_exchange_strong(expected, list + 1);
                continue;
            }
            Operation operation;
            operation.list = listOf(list);
            operation.id = std::to_string(writer) + "-" + std::to_string(++appendCount);
            json after = (*before)["value"];
            after.push_back(operation.id);
            const json transaction = {
                {"if", {{{"key", operation.list}, {"revision", (*before)["revision"]}}}},
                {"do", {{{"key", operation.list}, {"value", after}}}},
                {"session", session},
                {"sequence", ++sequence}};
            operation.beginUs = monotonicUs();
            const auto answer = client.commit(transaction);  // retried until answered
            operation.endUs = monotonicUs();
            const json body = json::parse(answer.body, nullptr, false);
            const std::string status = body.is_object() ? body.value("word", "") : "";
            operation.result = answer.status == 200   ? Operation::Result::done
                               : status == "conflict" ? Operation::Result::conflict
                               : status == "session gone" || status == "out of turn"
                                   ? Operation::Result::gone
                                   : Operation::Result::unknown;
            if (operation.result == Operation::Result::gone) session = 0;
            recordOperation(std::move(operation));
        }
    }
    void read(int reader) {
        std::mt19937_64 random(static_cast<std::uint64_t>(reader) + 200);
        while (!stopping_) {
            const auto client =
                cluster_.client(1 + static_cast<int>(random() % static_cast<unsigned>(agents_)));
            Operation operation;
            operation.list = listOf(currentList_);
            operation.beginUs = monotonicUs();
            const auto found = readDocument(client, operation.list);
            operation.endUs = monotonicUs();
            if (!found) continue;
            for (const json& id : (*found)["value"]) operation.seenIds.push_back(id);
            operation.result = Operation::Result::done;
            recordOperation(std::move(operation));
        }
    }
    // Follows the changes as this agent reports them, whether it is the leader or not.
    void watchAgent(int agent) {
        std::uint64_t from = 0;
        while (!stopping_) {
            const auto response =
                ctl::Client::callAgent(cluster_.control(agent), "GET",
                                       "/watch?from=" + std::to_string(from) + "&hold=200&prefix=files/");
            if (!response || response->status != 200) {
                std::this_thread::sleep_for(20ms);
                continue;
            }
            const json body = json::parse(response->body);
            const std::lock_guard lock(mutex_);
            for (const json& entry : body["history"]) {
                const std::uint64_t revision = entry["revision"];
                disordered_ += revision <= from;
                from = std::max(from, revision);
                const auto [at, isNew] = changesByRevision_.emplace(revision, entry["changes"]);
                if (!isNew && at->second != entry["changes"]) ++disordered_;
            }
            from = std::max<std::uint64_t>(from, body["revision"]);
        }
    }

    // ----- checker -----

    void checkHistory() {
        const auto client = cluster_.client();
        std::map<std::string, std::vector<std::string>> finalLists;
        for (std::uint64_t list = 0; list <= currentList_; ++list)
            for (int i = 0; i < 100; ++i) {
                const auto found = readDocument(client, listOf(list));
                if (!found) continue;
                for (const json& id : (*found)["value"]) finalLists[listOf(list)].push_back(id);
                break;
            }
        std::map<std::string, std::map<std::string, std::size_t>> positions;
        for (const auto& [list, ids] : finalLists)
            for (std::size_t i = 0; i < ids.size(); ++i) {
                const auto [at, isNew] = positions[list].emplace(ids[i], i + 1);
                twice_ += !isNew;
            }
        std::map<std::string, std::vector<std::pair<const Operation*, std::size_t>>> positionedOperations;
        for (const Operation& o : operations_) {
            const auto& where = positions[o.list];
            if (o.id.empty()) {
                ++reads_;
                const auto& all = finalLists[o.list];
                const bool prefix = o.seenIds.size() <= all.size() &&
                                    std::equal(o.seenIds.begin(), o.seenIds.end(), all.begin());
                nonlinear_ += !prefix;
                if (prefix) positionedOperations[o.list].emplace_back(&o, o.seenIds.size());
                continue;
            }
            const auto found = where.find(o.id);
            const bool there = found != where.end();
            if (o.result == Operation::Result::done) {
                ++committed_;
                lost_ += !there;
            }
            conflicts_ += o.result == Operation::Result::conflict;
            unknown_ += o.result == Operation::Result::unknown;
            // No session is evicted in this test; with this answer the outcome of the command would be
            // unknown.
            if (o.result == Operation::Result::gone) ++twice_;
            // Answered with a conflict but applied: the answer belongs to a second application.
            if (o.result == Operation::Result::conflict && there) ++twice_;
            if (there) positionedOperations[o.list].emplace_back(&o, found->second);
        }
        // An operation that ended before another began must not come after it in the list. A read comes
        // right after the last append that it saw, so it may have the same position.
        for (auto& [list, all] : positionedOperations) {
            std::vector<std::pair<std::int64_t, std::size_t>> ends;
            for (const auto& [o, position] : all)
                if (o->result != Operation::Result::unknown) ends.emplace_back(o->endUs, position);
            std::sort(ends.begin(), ends.end());
            std::sort(all.begin(), all.end(),
                      [](const auto& a, const auto& b) { return a.first->beginUs < b.first->beginUs; });
            std::size_t next = 0, highest = 0;
            for (const auto& [o, position] : all) {
                for (; next < ends.size() && ends[next].first < o->beginUs; ++next)
                    highest = std::max(highest, ends[next].second);
                const bool isRead = o->id.empty();
                nonlinear_ += isRead ? position < highest : position <= highest;
            }
        }
    }

    int rounds_, agents_;
    bool folderFaults_;
    std::array<FaultSwitch, kAgentsWithFolderFaults + 1> folders_;  // by the agent's id
    std::vector<std::int64_t> leaderlessMs_;
    int stuck_ = 0, crashed_ = 0;
    std::mt19937_64 random_;
    Cluster cluster_;
    std::atomic<bool> stopping_{false};
    std::atomic<std::uint64_t> currentList_{0};
    std::mutex mutex_;
    std::vector<Operation> operations_;
    std::map<std::uint64_t, json> changesByRevision_;
    std::uint64_t committed_ = 0, lost_ = 0, twice_ = 0, disordered_ = 0, nonlinear_ = 0;
    std::uint64_t reads_ = 0, unknown_ = 0, conflicts_ = 0;
    int killedLeaders_ = 0, killedAll_ = 0, splits_ = 0, oneWay_ = 0;
};

}  // namespace

int main(int argumentCount, char** arguments) {
    int rounds = 0;
    std::uint64_t seed = 0;
    bool folderFaults = false;
    for (int i = 1; i < argumentCount; ++i) {
        const std::string argument = arguments[i];
        if (argument == "--folder-faults") folderFaults = true;
        if (argument == "--rounds" && i + 1 < argumentCount) rounds = std::atoi(arguments[i + 1]);
        if (argument == "--seed" && i + 1 < argumentCount)
            seed = std::strtoull(arguments[i + 1], nullptr, 10);
    }
    if (rounds <= 0) {
        std::fprintf(stderr, "audit_raft --rounds N --seed S [--folder-faults]\n");
        return 2;
    }
    return Audit(rounds, seed, folderFaults).run();
}
