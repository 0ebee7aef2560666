// Gateways that read boxes and purges from agents, during partitions and after agents are lost; and changes
// of the agents' membership.
#include "raft_cluster.hpp"
#include "repository_server.hpp"

namespace {

using namespace lotuslead;
using namespace lotuslead::testing;

std::int64_t unixMs() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

json putTransaction(const std::string& key, const json& value) {
    return {{"do", {{{"key", key}, {"value", value}}}}};
}

int connectTo(const std::string& address) {
    const std::size_t colon = address.find(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const bool up = ::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0;
    assert(up);
    return fd;
}

void commitOrFail(const ctl::Client& client, const json& transaction) {
    const auto answer = client.commit(transaction);
    if (answer.status != 200) std::fprintf(stderr, "%d %s\n", answer.status, answer.body.c_str());
    assert(answer.status == 200);
}

// A gateway configuration without boxes: all come from the agents.
json gatewayFile(const Cluster& cluster, std::initializer_list<int> agents) {
    json file = repositoryConfiguration({});
    file["known"] = {{"offset", 0}, {"batch", json::array()}};
    file["bus"] = json::array();
    for (const int id : agents) file["bus"].push_back(cluster.bus(id));
    return file;
}

json boxDocument(const std::string& name, const std::string& address, const char* type) {
    json box = host(name, address, type);
    box.erase("name");
    return box;
}

// Two gateways read from two agents, one of which is cut off in a minority. Each gateway serves what it had
// before the partition, but no index from before a purge once the purge is committed and the isolated
// agent's election timeout has passed.
void aPurgeReachesBothSidesOfAPartition() {
    Cluster cluster(3);
    const int leader = cluster.awaitLeader();
    const int isolated = leader % 3 + 1, third = isolated % 3 + 1;
    Repository server(100'000);
    const auto client = cluster.client(leader);
    commitOrFail(client, putTransaction("boxes/cache-1", boxDocument("cache-1", server.address(), "small")));
    commitOrFail(client,
                 putTransaction("boxes/parent-1", boxDocument("parent-1", server.address(), "parent")));
    commitOrFail(client,
                 putTransaction("boxes/origin-1", boxDocument("origin-1", server.address(), "origin")));
    cluster.await(isolated, [](const json& s) { return s["last_event"] == 3; });
    char folder[] = "/tmp/lotuslead-shared-XXXXXX";
    const std::string disk = ::mkdtemp(folder);
    std::ofstream(disk + "/disk.json") << json{{"repository",
                                                {{"folder", disk + "/tier"},
                                                 {"capacity_mb", 64},
                                                 {"bus_keeps_positions", true},
                                                 {"purge_slack_ms", 0}}}};
    {
        Program a(gatewayFile(cluster, {leader, third}), "LB_REPOSITORY");
        // Has a disk tier, and reads first from the agent that will be isolated.
        Program b(gatewayFile(cluster, {isolated, third}), "LB_REPOSITORY", 1024,
                  {{"LB_DISK", disk + "/disk.json"}});
        b.awaitLog(" segments at ");
        for (int i = 0; i < 4; ++i)
            for (Program* program : {&a, &b}) {
                Connection c(program->port());
                assert(get(c, "/index/plugins.json").body == "version 1\n");
            }
        for (const int id : {leader, third}) {
            cluster.relay.cut(id, isolated, true);
            cluster.relay.cut(isolated, id, true);
        }
        server.version = 2;
        commitOrFail(client, putTransaction("purges/object//index/plugins.json", {{"ts", unixMs()}}));
        const auto purged = std::chrono::steady_clock::now();
        // Reading from the majority's side: within the limit of 500 ms.
        std::this_thread::sleep_for(500ms);
        {
            Connection c(a.port());
            assert(get(c, "/index/plugins.json").body == "version 2\n");
        }
        // Reading from the isolated agent: once that has noticed its isolation, after two election timeouts
        // (400 ms) and the remaining hold of a read (1 s) at most.
        std::int64_t last = 0;
        for (int i = 0; i < 400; ++i, std::this_thread::sleep_for(10ms)) {
            Connection c(b.port());
            if (get(c, "/index/plugins.json").body == "version 1\n") last = i * 10;
            if (i * 10 > last + 1500) break;
        }
        const auto passed =
            std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - purged)
                .count();
        std::fprintf(stderr, "the old index was last served %lld ms after the purge (observed for %lld ms)\n",
                     static_cast<long long>(500 + last), static_cast<long long>(passed));
        if (500 + last > 2400) {
            b.awaitCounters(" bus ");
            std::fprintf(stderr, "%s\n%s\n", b.log().c_str(), cluster.log(isolated).c_str());
        }
        assert(500 + last <= 2400);
        // A box that is added now reaches the isolated agent once the links are restored.
        commitOrFail(client,
                     putTransaction("boxes/cache-2", boxDocument("cache-2", server.address(), "small")));
        cluster.relay.heal();
        const auto healed = std::chrono::steady_clock::now();
        cluster.await(isolated, [](const json& s) { return s["last_event"] == 5; });
        std::fprintf(stderr, "the isolated agent had caught up %lld ms after the links were restored\n",
                     static_cast<long long>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                                std::chrono::steady_clock::now() - healed)
                                                .count()));
    }
    std::filesystem::remove_all(disk);
}

// A gateway goes on with the next agent from its last offset, so that no purge is lost.
void noPurgeIsLostWithAnAgent() {
    Cluster cluster(3);
    cluster.awaitLeader();
    Repository server(1000);
    const auto client = cluster.client(2);
    for (const char* type : {"small", "parent", "origin"})
        commitOrFail(client,
                     putTransaction(std::string("boxes/") + type, boxDocument("x", server.address(), type)));
    cluster.await(1, [](const json& s) { return s["last_event"] == 3; });
    Program gateway(gatewayFile(cluster, {1, 2, 3}), "LB_REPOSITORY");
    Connection c(gateway.port());
    assert(get(c, "/index/plugins.json").status == 200);
    cluster.kill(1);
    commitOrFail(client, putTransaction("purges/object//index/plugins.json", {{"ts", unixMs()}}));
    commitOrFail(client, putTransaction("purges/group/5", {{"ts", unixMs()}}));
    for (int i = 0; i < 400; ++i, std::this_thread::sleep_for(10ms)) {
        gateway.signal(SIGUSR1);
        if (gateway.log().find("events=5") != std::string::npos) return;
    }
    std::fprintf(stderr, "%s\n", gateway.log().c_str());
    assert(!"the purges did not reach the gateway");
}

// A fourth agent joins the running cluster, catches up and becomes a voter; a dead one is replaced by one
// command.
void membersAreAddedPromotedAndReplaced() {
    Cluster cluster(3, {{"snapshot_every", 16}});
    cluster.awaitLeader();
    const auto client = cluster.client();
    for (int i = 0; i < 60; ++i) commitOrFail(client, putTransaction("files/a", i));
    const auto all = cluster.control(1) + "," + cluster.control(2) + "," + cluster.control(3);
    const auto ctl = [&](const std::string& commandLine) {
        const std::string command =
            std::string(LOTUSLEAD_CTL) + " --agents " + all + " " + commandLine + " 2>&1";
        std::FILE* pipe = ::popen(command.c_str(), "r");
        std::string text;
        for (int c; (c = std::fgetc(pipe)) != EOF;) text += static_cast<char>(c);
        ::pclose(pipe);
        return text;
    };
    cluster.relay.open(4, cluster.raft(4), cluster.raftListen(4));
    cluster.start(4, true);
    assert(ctl("members add 4 " + cluster.raft(4) + " " + cluster.control(4)) == "done\n");
    // Any agent may answer, so the change may take a moment to show.
    const auto listed = [&](const std::string& row) {
        for (int i = 0; i < 400; ++i, std::this_thread::sleep_for(10ms))
            if (ctl("members list").find(row) != std::string::npos) return true;
        return false;
    };
    assert(listed("4      spare"));
    assert(ctl("members promote 4") == "done\n");
    cluster.await(4, [](const json& s) { return s["revision"] >= 61; });
    assert(listed("4      voter"));
    // Three of four are a majority now: with one agent dead, the fourth one's vote is needed.
    const int leader = cluster.awaitLeader();
    const int dead = leader == 3 ? 2 : 3;
    cluster.kill(dead);
    commitOrFail(client, putTransaction("files/a", "still"));
    cluster.relay.open(5, cluster.raft(5), cluster.raftListen(5));
    cluster.start(5, true);
    const std::string replaced =
        ctl("members replace " + std::to_string(dead) + " 5 " + cluster.raft(5) + " " + cluster.control(5));
    if (replaced != "done\n") std::fprintf(stderr, "%s\n", replaced.c_str());
    assert(replaced == "done\n");
    cluster.await(5, [](const json& s) { return s["revision"] >= 62; });
    // A removed agent that is started again does not disturb the cluster.
    const json before = cluster.status(leader);
    cluster.start(dead);
    std::this_thread::sleep_for(1500ms);
    assert(cluster.leader() == leader);
    commitOrFail(client, putTransaction("files/a", "undisturbed"));
    assert(cluster.status(leader)["applied"] > before["applied"]);
}

json readFeed(Connection& reader, std::int64_t from) {
    reader.send("GET /bus/read?from=" + std::to_string(from) + "&hold=2000 HTTP/1.1\r\nHost: agent\r\n\r\n");
    const std::string head = reader.readHead();
    assert(head.rfind("HTTP/1.1 200 ", 0) == 0 && head.find("Connection: close") == std::string::npos);
    return json::parse(reader.exactly(std::strtoul(fieldOf(head, "Content-Length").c_str(), nullptr, 10)));
}

// Readers reuse one connection, and of many purges in a row several share an answer.
void theFeedKeepsConnectionsAndBatchesEvents() {
    constexpr int kPurges = 40;
    Cluster cluster(1);
    cluster.awaitLeader();
    const auto client = cluster.client();
    commitOrFail(client, putTransaction("purges/object/first", {{"ts", unixMs()}}));
    Connection reader(connectTo(cluster.bus(1)));
    assert(readFeed(reader, 0)["offset"] == 1);
    std::thread writer([&] {
        for (int i = 0; i < kPurges; ++i) {
            commitOrFail(client, putTransaction("purges/object/o" + std::to_string(i), {{"ts", unixMs()}}));
            std::this_thread::sleep_for(20ms);
        }
    });
    std::int64_t from = 1;
    int answers = 0;
    for (; from < kPurges + 1; ++answers) from = readFeed(reader, from)["offset"];
    writer.join();
    assert(answers <= kPurges / 4);
    // Sending another request before the answer is a protocol violation.
    Connection hasty(connectTo(cluster.bus(1)));
    const std::string ask = "GET /bus/read?from=41&hold=2000 HTTP/1.1\r\nHost: agent\r\n\r\n";
    hasty.send(ask + ask);
    assert(hasty.closed());
}

// Many purges evict neither other changes nor their revisions from `history`.
void purgesDoNotEvictTheHistoryOfOtherChanges() {
    constexpr int kPurges = 4200;  // more than the 4,096 transactions of the purge history
    Cluster cluster(1);
    cluster.awaitLeader();
    const auto client = cluster.client();
    commitOrFail(client, putTransaction("files/a", "kept"));
    std::vector<std::thread> writers;
    for (int w = 0; w < 8; ++w)
        writers.emplace_back([&, w] {
            for (int i = w; i < kPurges; i += 8) {
                const json change = putTransaction("purges/object/o" + std::to_string(i), {{"ts", unixMs()}});
                const auto answer =
                    ctl::Client::callAgent(cluster.control(1), "POST", "/config", change.dump());
                assert(answer && answer->status == 200);
            }
        });
    for (auto& writer : writers) writer.join();
    const auto history = ctl::Client::callAgent(cluster.control(1), "GET", "/history");
    assert(history && json::parse(history->body)["history"][0]["changes"][0]["key"] == "files/a");
    // The history of a document that was first changed late still begins at revision 1, which `diff` relies
    // on.
    commitOrFail(client, putTransaction("files/late", 1));
    const auto late = ctl::Client::callAgent(cluster.control(1), "GET", "/history?from=5&prefix=files/late");
    assert(late && json::parse(late->body)["oldest"] == 1);
}

// After the permanent loss of a majority, --recover-alone refuses while any agent answers, and then makes
// one agent a cluster of its own.
void oneAgentRecoversAloneAfterALostMajority() {
    Cluster cluster(3);
    cluster.awaitLeader();
    commitOrFail(cluster.client(), putTransaction("files/a", "kept"));
    for (int id = 1; id <= 3; ++id) cluster.await(id, [](const json& s) { return s["revision"] == 1; });
    const auto recover = [&] {
        return std::system(
            (std::string(LOTUSLEAD_AGENT) + " --recover-alone " + cluster.folder(1) + ".json 2>/dev/null")
                .c_str());
    };
    cluster.kill(2);
    assert(WEXITSTATUS(recover()) == 1);
    cluster.kill(3);
    assert(WEXITSTATUS(recover()) == 1);  // this agent is still running
    cluster.kill(1);
    assert(recover() == 0);
    cluster.start(1);
    cluster.await(1, [](const json& s) { return s["leader"] == 1 && s["revision"] == 1; });
    commitOrFail(cluster.client(), putTransaction("files/a", "alone"));
}

void anotherClustersFolderIsRefused() {
    Cluster cluster(1);
    cluster.awaitLeader();
    cluster.kill(1);
    json other = cluster.settings(1);
    other["cluster"] = "elsewhere";
    const std::string file = cluster.folder(1) + ".other.json";
    std::ofstream(file) << other;
    const std::string command = std::string(LOTUSLEAD_AGENT) + " " + file + " 2>" + file + ".log";
    assert(WEXITSTATUS(std::system(command.c_str())) == 2);
    std::ifstream in(file + ".log");
    const std::string said{std::istreambuf_iterator<char>(in), {}};
    assert(said ==
           "lotuslead_agent: bad configuration: field 'folder': it belongs to cluster and agent "
           "'lotuslead 1'\n");
}

}  // namespace

int main() {
    anotherClustersFolderIsRefused();
    theFeedKeepsConnectionsAndBatchesEvents();
    purgesDoNotEvictTheHistoryOfOtherChanges();
    noPurgeIsLostWithAnAgent();
    aPurgeReachesBothSidesOfAPartition();
    membersAreAddedPromotedAndReplaced();
    oneAgentRecoversAloneAfterALostMajority();
}
