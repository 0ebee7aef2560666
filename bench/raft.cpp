// Benchmark of agents as real processes on loopback: writes and reads per second, time without a leader,
// fan-out to gateways, size on disk. bench_raft [writes|leaderless|fanout|size ...]; without arguments it
// runs all. If LOTUSLEAD_OLD_AGENT names the program of an earlier agent, its writes are the baseline.
#include <algorithm>
#include <chrono>
#include <cstdlib>

#include "raft_cluster.hpp"

namespace {

using namespace lotuslead;
using namespace lotuslead::testing;
using Clock = std::chrono::steady_clock;

double since(Clock::time_point begin) { return std::chrono::duration<double>(Clock::now() - begin).count(); }

json put(const std::string& key, const json& value) { return {{"key", key}, {"value", value}}; }

double writesPerSecond(const Cluster& cluster, int leader, int threads, int batch, int each) {
    std::vector<std::thread> all;
    std::atomic<int> done{0};
    const auto begin = Clock::now();
    for (int t = 0; t < threads; ++t)
        all.emplace_back([&, t] {
            for (int i = 0; i < each; ++i) {
                json changes = json::array();
                for (int b = 0; b < batch; ++b)
                    changes.push_back(put("files/" + std::to_string(t) + "-" + std::to_string(b), i));
                const auto r = ctl::Client::callAgent(cluster.control(leader), "POST", "/config",
                                                      json{{"do", changes}}.dump());
                if (r && r->status == 200) done += batch;
            }
        });
    for (auto& thread : all) thread.join();
    return done / since(begin);
}

// Puts of instances by 8 clients, which earlier agents support as well.
double putsPerSecond(const std::string& leader) {
    const std::string body = json{{"agent", 3}, {"configuration", configuration({})}}.dump();
    std::atomic<int> done{0};
    std::vector<std::thread> all;
    const auto begin = Clock::now();
    for (int t = 0; t < 8; ++t)
        all.emplace_back([&, t] {
            for (int i = 0; i < 40; ++i) {
                const auto r =
                    ctl::Client::callAgent(leader, "PUT", "/instances/g-" + std::to_string(t), body);
                done += r && r->status == 200;
            }
        });
    for (auto& thread : all) thread.join();
    return done / since(begin);
}

void writes() {
    double base = 0;
    if (const char* old = std::getenv("LOTUSLEAD_OLD_AGENT")) {
        char folder[] = "/tmp/lotuslead-bench-XXXXXX";
        const std::string path = ::mkdtemp(folder), host = "127.99.1.1";
        json agents = json::array();
        for (int id = 1; id <= 3; ++id)
            agents.push_back({{"id", id},
                              {"raft", host + ":" + std::to_string(9000 + id)},
                              {"control", host + ":" + std::to_string(9100 + id)}});
        std::vector<pid_t> pids;
        for (int id = 1; id <= 3; ++id) {
            const std::string file = path + "/" + std::to_string(id) + ".json";
            std::ofstream(file) << json{{"id", id},
                                        {"folder", path + "/" + std::to_string(id)},
                                        {"program", "/bin/true"},
                                        {"agents", agents}};
            pids.push_back(::fork());
            if (pids.back() == 0) {
                ::prctl(PR_SET_PDEATHSIG, SIGKILL);
                if (!std::freopen("/dev/null", "w", stderr)) ::_exit(126);
                ::execl(old, old, file.c_str(), nullptr);
                ::_exit(127);
            }
        }
        std::string leader;
        for (int i = 0; i < 200 && leader.empty(); ++i, std::this_thread::sleep_for(50ms))
            for (int id = 1; id <= 3; ++id) {
                const auto r =
                    ctl::Client::callAgent(host + ":" + std::to_string(9100 + id), "GET", "/status");
                if (r && json::parse(r->body)["leader"] == id)
                    leader = host + ":" + std::to_string(9100 + id);
            }
        base = putsPerSecond(leader);
        for (const pid_t pid : pids) ::kill(pid, SIGKILL), ::waitpid(pid, nullptr, 0);
        std::filesystem::remove_all(path);
        std::printf("previous agent, 3, 8 clients: %.0f writes a second (1.00)\n", base);
    }
    Cluster cluster(3, {{"election_ms", 1000}, {"heartbeat_ms", 100}});
    const int leader = cluster.awaitLeader();
    if (base > 0) {
        const double rate = putsPerSecond(cluster.control(leader));
        std::printf("3 agents, the same: %.0f writes a second (%.2f)\n", rate, rate / base);
    }
    for (const auto& [threads, batch] : {std::pair{1, 1}, {8, 1}, {32, 1}, {8, 10}, {8, 100}}) {
        const double rate = writesPerSecond(cluster, leader, threads, batch, batch == 1 ? 100 : 30);
        std::printf("3 agents, %2d clients, %3d documents a transaction: %8.0f documents a second", threads,
                    batch, rate);
        if (base > 0) std::printf(" (%.2f)", rate / base);
        std::printf("\n");
    }
    for (const char* how : {"", "?stale=1"}) {
        std::vector<std::thread> all;
        std::atomic<int> done{0};
        const auto begin = Clock::now();
        for (int t = 0; t < 16; ++t)
            all.emplace_back([&] {
                for (int i = 0; i < 200; ++i) {
                    const auto r = ctl::Client::callAgent(cluster.control(leader), "GET",
                                                          std::string("/config/files/0-0") + how);
                    done += r && r->status == 200;
                }
            });
        for (auto& thread : all) thread.join();
        std::printf("3 agents, 16 clients: %.0f %s reads a second\n", done / since(begin),
                    *how ? "stale" : "current");
    }
}

void leaderless() {
    std::vector<double> ms;
    Cluster cluster(3);
    for (int i = 0; i < 100; ++i) {
        const int leader = cluster.awaitLeader();
        for (int id = 1; id <= 3; ++id) cluster.await(id, [](const json& s) { return s["leader"] != 0; });
        const auto begin = Clock::now();
        cluster.kill(leader);
        while (true) {
            const int other = leader % 3 + 1 + static_cast<int>(ms.size() % 2);
            const auto r = ctl::Client::callAgent(cluster.control((other - 1) % 3 + 1), "POST", "/config",
                                                  json{{"do", {put("files/a", i)}}}.dump());
            if (r && (r->status == 200 ||
                      (r->status == 307 && r->location.find(cluster.control(leader)) == std::string::npos)))
                break;
            std::this_thread::sleep_for(5ms);
        }
        ms.push_back(1000 * since(begin));
        cluster.start(leader);
    }
    std::sort(ms.begin(), ms.end());
    std::printf("without a leader after its kill, election_ms 200: median %.0f ms, worst of 100 %.0f ms\n",
                ms[50], ms.back());
}

void fanout() {
    for (const int readers : {100, 1000}) {
        Cluster cluster(3, {{"election_ms", 1000}, {"heartbeat_ms", 100}});
        const int leader = cluster.awaitLeader();
        const int agent = leader % 3 + 1;  // a follower
        std::vector<std::unique_ptr<Connection>> all;
        std::vector<double> ms;
        for (int round = 0; round < 10; ++round) {
            all.clear();
            const std::string address = cluster.bus(agent);
            for (int i = 0; i < readers; ++i) {
                sockaddr_in to{};
                to.sin_family = AF_INET;
                to.sin_port = htons(static_cast<std::uint16_t>(9200 + agent));
                ::inet_pton(AF_INET, address.substr(0, address.find(':')).c_str(), &to.sin_addr);
                const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
                if (::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) std::abort();
                all.push_back(std::make_unique<Connection>(fd));
                all.back()->send("GET /bus/read?from=" + std::to_string(round) +
                                 "&hold=5000 HTTP/1.1\r\nHost: x\r\n\r\n");
            }
            std::this_thread::sleep_for(300ms);
            const auto begin = Clock::now();
            const auto r = ctl::Client::callAgent(
                cluster.control(leader), "POST", "/config",
                json{{"do", {put("purges/group/" + std::to_string(round), {{"ts", 5}})}}}.dump());
            const auto committed = Clock::now();
            if (!r || r->status != 200) std::abort();
            for (auto& connection : all)
                if (connection->readHead().find("200 OK") == std::string::npos) std::abort();
            (void)begin;
            ms.push_back(1000 * since(committed));
        }
        std::sort(ms.begin(), ms.end());
        std::printf(
            "%4d readers at one follower: last one had it %.1f ms after the commit's answer (median of 10), "
            "worst %.1f ms\n",
            readers, ms[5], ms.back());
    }
}

void size() {
    Cluster cluster(1, {{"snapshot_every", 50}});
    const int leader = cluster.awaitLeader();
    const auto begin = Clock::now();
    for (int i = 0; i < 100; ++i) {
        json changes = json::array();
        for (int k = 0; k < 1000; ++k)
            changes.push_back(put("purges/object//files/tool-" + std::to_string(i * 1000 + k),
                                  {{"ts", 1796147346304 + i}}));
        const auto r =
            ctl::Client::callAgent(cluster.control(leader), "POST", "/config", json{{"do", changes}}.dump());
        if (!r || r->status != 200) std::abort();
    }
    std::uint64_t bytes = 0;
    for (const auto& entry : std::filesystem::directory_iterator(cluster.folder(leader) + "/raft"))
        if (entry.path().filename().string().find("open") == std::string::npos)
            bytes += std::filesystem::file_size(entry.path());
    std::printf("100,000 purges in %.1f s; closed log segments and snapshots %.1f MB", since(begin),
                static_cast<double>(bytes) / 1e6);
    cluster.kill(1);
    const auto again = Clock::now();
    cluster.start(1);
    cluster.await(1, [](const json& s) { return s["documents"] == 100'000; });
    std::printf("; back after a kill in %.2f s\n", since(again));
}

}  // namespace

int main(int argumentCount, char** arguments) {
    const std::vector<std::pair<std::string, void (*)()>> parts{
        {"writes", writes}, {"leaderless", leaderless}, {"fanout", fanout}, {"size", size}};
    for (const auto& [name, run] : parts) {
        bool wanted = argumentCount == 1;
        for (int i = 1; i < argumentCount; ++i) wanted = wanted || name == arguments[i];
        if (wanted) run();
        std::fflush(stdout);
    }
}
