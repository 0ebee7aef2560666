// Gateways that read boxes and purges from agents, through partitions and lost agents; and the agents'
// membership.
#include "raft_cluster.hpp"
#include "repository_server.hpp"

namespace {

using namespace lotuslead;
using namespace lotuslead::testing;

std::int64_t unixMs() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

json putting(const std::string& key, const json& value) {
    return {{"do", {{{"key", key}, {"value", value}}}}};
}

int connectedTo(const std::string& address) {
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

void must(const ctl::Client& client, const json& transaction) {
    const auto answer = client.change(transaction);
    if (answer.status != 200) std::fprintf(stderr, "%d %s\n", answer.status, answer.body.c_str());
    assert(answer.status == 200);
}

// The front's file, without a box of its own: all comes from the agents.
json gatewayFile(const Cluster& cluster, std::initializer_list<int> agents) {
    json file = repositoryConfiguration({});
    file["known"] = {{"offset", 0}, {"batch", json::array()}};
    file["bus"] = json::array();
    for (const int id : agents) file["bus"].push_back(cluster.bus(id));
    return file;
}

json boxOf(const std::string& name, const std::string& address, const char* type) {
    json box = host(name, address, type);
    box.erase("name");
    return box;
}

// Two gateways on two agents, one of them cut off with a minority: each serves what was told before the cut,
// and no index from before a purge once the purge was agreed on and the cut-off agent's election timeout has
// passed.
void aPurgeReachesBothSidesOfAPartition() {
    Cluster cluster(3);
    const int leader = cluster.awaitLeader();
    const int lonely = leader % 3 + 1, third = lonely % 3 + 1;
    Repository server(100'000);
    const auto client = cluster.client(leader);
    must(client, putting("boxes/cache-1", boxOf("cache-1", server.address(), "small")));
    must(client, putting("boxes/parent-1", boxOf("parent-1", server.address(), "parent")));
    must(client, putting("boxes/origin-1", boxOf("origin-1", server.address(), "origin")));
    cluster.await(lonely, [](const json& s) { return s["last_event"] == 3; });
    char folder[] = "/tmp/lotuslead-shared-XXXXXX";
    const std::string disk = ::mkdtemp(folder);
    std::ofstream(disk + "/disk.json") << json{{"repository",
                                                {{"folder", disk + "/tier"},
                                                 {"capacity_mb", 64},
                                                 {"bus_keeps_positions", true},
                                                 {"purge_slack_ms", 0}}}};
    {
        Program a(gatewayFile(cluster, {leader, third}), "LB_REPOSITORY");
        // Keeps copies of its own, and begins at the agent that will be cut off.
        Program b(gatewayFile(cluster, {lonely, third}), "LB_REPOSITORY", 1024,
                  {{"LB_DISK", disk + "/disk.json"}});
        b.awaitLog(" segments at ");
        for (int i = 0; i < 4; ++i)
            for (Program* program : {&a, &b}) {
                Connection c(program->port());
                assert(get(c, "/index/plugins.json").body == "version 1\n");
            }
        for (const int id : {leader, third}) {
            cluster.relay.cut(id, lonely, true);
            cluster.relay.cut(lonely, id, true);
        }
        server.version = 2;
        must(client, putting("purges/object//index/plugins.json", {{"ts", unixMs()}}));
        const auto purged = std::chrono::steady_clock::now();
        // Behind a leader that heard the purge: at once, within the limit of 500 ms.
        std::this_thread::sleep_for(500ms);
        {
            Connection c(a.port());
            assert(get(c, "/index/plugins.json").body == "version 2\n");
        }
        // Behind the agent that was cut off: as soon as that knows itself alone, two election timeouts (400
        // ms) and what is left of a hold (1 s) at most.
        std::int64_t last = 0;
        for (int i = 0; i < 400; ++i, std::this_thread::sleep_for(10ms)) {
            Connection c(b.port());
            if (get(c, "/index/plugins.json").body == "version 1\n") last = i * 10;
            if (i * 10 > last + 1500) break;
        }
        const auto passed =
            std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - purged)
                .count();
        std::fprintf(stderr,
                     "the old index came for the last time %lld ms after the purge, of %lld ms looked at\n",
                     static_cast<long long>(500 + last), static_cast<long long>(passed));
        if (500 + last > 2400) {
            b.awaitCounters(" bus ");
            std::fprintf(stderr, "%s\n%s\n", b.log().c_str(), cluster.log(lonely).c_str());
        }
        assert(500 + last <= 2400);
        // A box that comes now is known to both, also behind the agent that was cut off, once the links are
        // back.
        must(client, putting("boxes/cache-2", boxOf("cache-2", server.address(), "small")));
        cluster.relay.heal();
        const auto healed = std::chrono::steady_clock::now();
        cluster.await(lonely, [](const json& s) { return s["last_event"] == 5; });
        std::fprintf(stderr, "the agent that was cut off had all %lld ms after the links came back\n",
                     static_cast<long long>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                                std::chrono::steady_clock::now() - healed)
                                                .count()));
    }
    std::filesystem::remove_all(disk);
}

// A gateway goes on with the next agent, and asks for what it lacks by number: no purge is lost in between.
void aLostAgentCostsNoPurge() {
    Cluster cluster(3);
    cluster.awaitLeader();
    Repository server(1000);
    const auto client = cluster.client(2);
    for (const char* type : {"small", "parent", "origin"})
        must(client, putting(std::string("boxes/") + type, boxOf("x", server.address(), type)));
    cluster.await(1, [](const json& s) { return s["last_event"] == 3; });
    Program gateway(gatewayFile(cluster, {1, 2, 3}), "LB_REPOSITORY");
    Connection c(gateway.port());
    assert(get(c, "/index/plugins.json").status == 200);
    cluster.kill(1);
    must(client, putting("purges/object//index/plugins.json", {{"ts", unixMs()}}));
    must(client, putting("purges/group/5", {{"ts", unixMs()}}));
    for (int i = 0; i < 400; ++i, std::this_thread::sleep_for(10ms)) {
        gateway.signal(SIGUSR1);
        if (gateway.log().find("events=5") != std::string::npos) return;
    }
    std::fprintf(stderr, "%s\n", gateway.log().c_str());
    assert(!"the purges never came");
}

// In service: a fourth agent joins, catches up, gets a vote; a dead one is replaced by one command.
void membersComeAndGo() {
    Cluster cluster(3, {{"snapshot_every", 16}});
    cluster.awaitLeader();
    const auto client = cluster.client();
    for (int i = 0; i < 60; ++i) must(client, putting("files/a", i));
    const auto all = cluster.control(1) + "," + cluster.control(2) + "," + cluster.control(3);
    const auto ctl = [&](const std::string& words) {
        const std::string command = std::string(LOTUSLEAD_CTL) + " --agents " + all + " " + words + " 2>&1";
        std::FILE* pipe = ::popen(command.c_str(), "r");
        std::string text;
        for (int c; (c = std::fgetc(pipe)) != EOF;) text += static_cast<char>(c);
        ::pclose(pipe);
        return text;
    };
    cluster.relay.open(4, cluster.raft(4), cluster.inner(4));
    cluster.start(4, true);
    assert(ctl("members add 4 " + cluster.raft(4) + " " + cluster.control(4)) == "done\n");
    // Whichever agent answers: it hears of it soon.
    const auto listed = [&](const std::string& row) {
        for (int i = 0; i < 400; ++i, std::this_thread::sleep_for(10ms))
            if (ctl("members list").find(row) != std::string::npos) return true;
        return false;
    };
    assert(listed("4      spare"));
    assert(ctl("members promote 4") == "done\n");
    cluster.await(4, [](const json& s) { return s["revision"] >= 61; });
    assert(listed("4      voter"));
    // Now a majority is three of four: with one dead the fourth one's vote counts.
    const int leader = cluster.awaitLeader();
    const int dead = leader == 3 ? 2 : 3;
    cluster.kill(dead);
    must(client, putting("files/a", "still"));
    cluster.relay.open(5, cluster.raft(5), cluster.inner(5));
    cluster.start(5, true);
    const std::string replaced =
        ctl("members replace " + std::to_string(dead) + " 5 " + cluster.raft(5) + " " + cluster.control(5));
    if (replaced != "done\n") std::fprintf(stderr, "%s\n", replaced.c_str());
    assert(replaced == "done\n");
    cluster.await(5, [](const json& s) { return s["revision"] >= 62; });
    // One that was removed and comes back unasked disturbs nobody.
    const json before = cluster.status(leader);
    cluster.start(dead);
    std::this_thread::sleep_for(1500ms);
    assert(cluster.leader() == leader);
    must(client, putting("files/a", "undisturbed"));
    assert(cluster.status(leader)["applied"] > before["applied"]);
}

json askFeed(Connection& reader, std::int64_t from) {
    reader.send("GET /bus/read?from=" + std::to_string(from) + "&hold=2000 HTTP/1.1\r\nHost: agent\r\n\r\n");
    const std::string head = reader.readHead();
    assert(head.rfind("HTTP/1.1 200 ", 0) == 0 && head.find("Connection: close") == std::string::npos);
    return json::parse(reader.exactly(std::strtoul(fieldOf(head, "Content-Length").c_str(), nullptr, 10)));
}

// Readers ask again and again on one connection, and of many purges in a row several come with one answer.
void theFeedKeepsConnectionsAndGathersEvents() {
    constexpr int kPurges = 40;
    Cluster cluster(1);
    cluster.awaitLeader();
    const auto client = cluster.client();
    must(client, putting("purges/object/first", {{"ts", unixMs()}}));
    Connection reader(connectedTo(cluster.bus(1)));
    assert(askFeed(reader, 0)["offset"] == 1);
    std::thread writer([&] {
        for (int i = 0; i < kPurges; ++i) {
            must(client, putting("purges/object/o" + std::to_string(i), {{"ts", unixMs()}}));
            std::this_thread::sleep_for(20ms);
        }
    });
    std::int64_t from = 1;
    int answers = 0;
    for (; from < kPurges + 1; ++answers) from = askFeed(reader, from)["offset"];
    writer.join();
    assert(answers <= kPurges / 4);
    // Whoever sends more while its answer is due has broken the form.
    Connection hasty(connectedTo(cluster.bus(1)));
    const std::string ask = "GET /bus/read?from=41&hold=2000 HTTP/1.1\r\nHost: agent\r\n\r\n";
    hasty.send(ask + ask);
    assert(hasty.closed());
}

// Many purges push neither an operator's change nor its revision out of what `history` tells of all.
void purgesLeaveTheHistoryOfOtherChanges() {
    constexpr int kPurges = 4200;  // the history of purges holds 4,096 transactions
    Cluster cluster(1);
    cluster.awaitLeader();
    const auto client = cluster.client();
    must(client, putting("files/a", "kept"));
    std::vector<std::thread> writers;
    for (int w = 0; w < 8; ++w)
        writers.emplace_back([&, w] {
            for (int i = w; i < kPurges; i += 8) {
                const json change = putting("purges/object/o" + std::to_string(i), {{"ts", unixMs()}});
                const auto answer = ctl::Client::ask(cluster.control(1), "POST", "/config", change.dump());
                assert(answer && answer->status == 200);
            }
        });
    for (auto& writer : writers) writer.join();
    const auto told = ctl::Client::ask(cluster.control(1), "GET", "/history");
    assert(told && json::parse(told->body)["history"][0]["changes"][0]["key"] == "files/a");
    // That a document was changed late says nothing of where its history begins, by which `diff` goes.
    must(client, putting("files/late", 1));
    const auto late = ctl::Client::ask(cluster.control(1), "GET", "/history?from=5&prefix=files/late");
    assert(late && json::parse(late->body)["oldest"] == 1);
}

// A majority lost for good: the command refuses while anybody answers, and then goes on with one log alone.
void aLostMajorityIsLeftBehindDeliberately() {
    Cluster cluster(3);
    cluster.awaitLeader();
    must(cluster.client(), putting("files/a", "kept"));
    for (int id = 1; id <= 3; ++id) cluster.await(id, [](const json& s) { return s["revision"] == 1; });
    const auto recover = [&] {
        return std::system(
            (std::string(LOTUSLEAD_AGENT) + " --recover-alone " + cluster.folder(1) + ".json 2>/dev/null")
                .c_str());
    };
    cluster.kill(2);
    assert(WEXITSTATUS(recover()) == 1);
    cluster.kill(3);
    assert(WEXITSTATUS(recover()) == 1);  // itself still runs
    cluster.kill(1);
    assert(recover() == 0);
    cluster.start(1);
    cluster.await(1, [](const json& s) { return s["leader"] == 1 && s["revision"] == 1; });
    must(cluster.client(), putting("files/a", "alone"));
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
    theFeedKeepsConnectionsAndGathersEvents();
    purgesLeaveTheHistoryOfOtherChanges();
    aLostAgentCostsNoPurge();
    aPurgeReachesBothSidesOfAPartition();
    membersComeAndGo();
    aLostMajorityIsLeftBehindDeliberately();
}
