// Tests of the disk tier in the gateway program: warm up, kill, restart, with purges in between.
#include <filesystem>

#include "repository_server.hpp"

namespace {

using namespace lotuslead::testing;

class Folder {
public:
    Folder() {
        char name[] = "/tmp/lotuslead-disk-XXXXXX";
        path = ::mkdtemp(name);
    }
    ~Folder() { std::filesystem::remove_all(path); }
    std::vector<std::string> segments() const {
        std::vector<std::string> found;
        for (const auto& entry : std::filesystem::directory_iterator(path + "/tier")) {
            const std::string end = entry.path().extension();
            if (end == ".main" || end == ".probation") found.push_back(entry.path());
        }
        return found;
    }
    // Writes the settings file for LB_DISK and returns its path.
    std::string file(const json& more = json::object(), const char* front = "repository") const {
        json section = {{"folder", path + "/tier"}, {"capacity_mb", 64}, {"bus_keeps_positions", true}};
        section.update(more);
        std::ofstream(path + "/disk.json") << json{{front, section}}.dump();
        return path + "/disk.json";
    }
    std::string path;
};

long counter(const Program& program, const std::string& line, const std::string& name) {
    const std::string log = program.log();
    const std::size_t row = log.rfind(" " + line + " ");
    if (row == std::string::npos) return -1;
    const std::size_t at = log.find(" " + name + "=", row);
    return at == std::string::npos ? -1 : std::atol(log.c_str() + at + name.size() + 2);
}

std::int64_t unixMs() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

struct RepositorySetup {
    explicit RepositorySetup(std::size_t size = 3'000'000) : server(size) {
        settings = repositoryConfiguration(server, server);
        settings["bus"] = bus.address();
    }
    Repository server;
    Bus bus;
    json settings;
    Folder folder;
};

void warmUp(Program& program, Repository& server) {
    for (int i = 0; i < 3; ++i) {
        Connection c(program.port());
        const Response file = get(c, "/files/tool.bin");
        assert(file.status == 200 && file.body == server.file);
        assert(get(c, "/index/plugins.json").status == 200);
    }
}

// Waits until all admitted copies are written, so that a kill loses none of them.
void awaitWritesDone(Program& program) {
    for (int i = 0; i < 400; ++i) {
        program.signal(SIGUSR1);
        std::this_thread::sleep_for(10ms);
        if (counter(program, "disk_kept", "queue") == 0 && counter(program, "disk_kept", "parts") > 0) return;
    }
    assert(!"the writer did not become idle");
}

// The bytes that one download fetches from the servers after a kill and a restart.
std::size_t bytesFetchedAfterRestart(RepositorySetup& site, const std::string& disk) {
    const Program::Variables variables =
        disk.empty() ? Program::Variables{} : Program::Variables{{"LB_DISK", disk}};
    {
        Program program(site.settings, "LB_REPOSITORY", 1024, variables);
        warmUp(program, site.server);
        if (!disk.empty()) awaitWritesDone(program);
        program.signal(SIGKILL);
        program.exitCode();
    }
    Program program(site.settings, "LB_REPOSITORY", 1024, variables);
    if (!disk.empty()) program.awaitLog(" segments at ");
    const std::size_t before = site.server.bytesSent();
    Connection c(program.port());
    const Response file = get(c, "/files/tool.bin");
    assert(file.status == 200 && file.complete && file.body == site.server.file);
    return site.server.bytesSent() - before;
}

void restartRefetchesLittle() {
    RepositorySetup without, with;
    const std::size_t cold = bytesFetchedAfterRestart(without, "");
    const std::size_t warmed = bytesFetchedAfterRestart(with, with.folder.file());
    std::fprintf(stderr, "fetched after a restart: %zu bytes without the tier, %zu with it\n", cold, warmed);
    assert(cold >= without.server.file.size() && warmed * 10 <= cold);
}

// Runs a gateway that is killed once its copies are on disk.
void warmUpAndKill(RepositorySetup& site, const Program::Variables& variables) {
    Program program(site.settings, "LB_REPOSITORY", 1024, variables);
    warmUp(program, site.server);
    awaitWritesDone(program);
    program.signal(SIGKILL);
    program.exitCode();
}

void purgeWhileDownTakesEffect() {
    RepositorySetup site;
    const Program::Variables variables{{"LB_DISK", site.folder.file()}};
    warmUpAndKill(site, variables);
    site.server.version = 2;
    site.bus.publishWithoutWaiting({{"ban", {{"url", "/index/plugins.json"}, {"ts", unixMs() + 2000}}}});
    Program program(site.settings, "LB_REPOSITORY", 1024, variables);
    program.awaitLog(" segments at ");
    const std::size_t before = site.server.bytesSent();
    Connection c(program.port());
    assert(get(c, "/index/plugins.json").body == "version 2\n");
    // Copies that were not purged are still served from disk.
    assert(get(c, "/files/tool.bin").body == site.server.file);
    assert(site.server.bytesSent() - before <= 2 * 65536);
}

void missingBusEventsDropAllCopies() {
    RepositorySetup site;
    const Program::Variables variables{{"LB_DISK", site.folder.file()}};
    warmUpAndKill(site, variables);
    // The bus no longer has the event with the purge: it is unknown which copies were purged, so all are
    // dropped.
    site.server.version = 2;
    site.bus.publishWithoutWaiting({{"ban", {{"url", "/index/plugins.json"}, {"ts", unixMs()}}}});
    site.bus.dropEvents();
    site.bus.publishWithoutWaiting(topology({host("cache-1", site.server.address())}));
    Program program(site.settings, "LB_REPOSITORY", 1024, variables);
    program.awaitLog("events of the bus are missing");
    Connection c(program.port());
    assert(get(c, "/index/plugins.json").body == "version 2\n");
    const std::size_t before = site.server.bytesSent();
    assert(get(c, "/files/tool.bin").body == site.server.file);
    assert(site.server.bytesSent() - before >= site.server.file.size());
}

void damagedRecordIsRefetched() {
    RepositorySetup site;
    const Program::Variables variables{{"LB_DISK", site.folder.file()}};
    {
        Program program(site.settings, "LB_REPOSITORY", 1024, variables);
        warmUp(program, site.server);
        awaitWritesDone(program);
        program.signal(SIGTERM);
        assert(program.exitCode() == 0);
    }
    for (const std::string& path : site.folder.segments()) {
        std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
        file.seekp(100'000);  // within a body
        file.put('\x7f');
        file.put('\x01');
    }
    Program program(site.settings, "LB_REPOSITORY", 1024, variables);
    program.awaitLog(" segments at ");
    Connection c(program.port());
    assert(get(c, "/files/tool.bin").body == site.server.file);
    program.awaitLog("is not as it was written");
    program.signal(SIGUSR1);
    program.awaitLog(" disk_kept ");
    assert(counter(program, "disk", "torn") >= 1 && counter(program, "disk", "hits") > 30);
}

// Parts of two versions must not be combined in one download, also when this process has seen only one of
// them.
void newVersionReplacesOldParts() {
    RepositorySetup site;
    const Program::Variables variables{{"LB_DISK", site.folder.file()}};
    {
        Program program(site.settings, "LB_REPOSITORY", 1024, variables);
        Connection c(
            program.port());  // one download only: the first part had no rank yet and was not admitted
        assert(get(c, "/files/tool.bin").body == site.server.file);
        awaitWritesDone(program);
        program.signal(SIGTERM);
        program.exitCode();
    }
    site.server.fileVersion = 2;
    for (char& byte : site.server.file) byte = static_cast<char>(byte ^ 1);
    Program program(site.settings, "LB_REPOSITORY", 1024, variables);
    program.awaitLog(" segments at ");
    Connection c(program.port());
    const Response got = get(c, "/files/tool.bin");
    assert(got.status == 200 && got.complete && got.body == site.server.file);
    program.signal(SIGUSR1);
    program.awaitLog(" disk_kept ");
    assert(counter(program, "disk_kept", "superseded") >= 1);
}

void onlyOneProcessHoldsTheFolder() {
    RepositorySetup site;
    const Program::Variables variables{{"LB_DISK", site.folder.file()}};
    auto first = std::make_unique<Program>(site.settings, "LB_REPOSITORY", 1024, variables);
    first->awaitLog(" segments at ");
    Program second(site.settings, "LB_REPOSITORY", 1024, variables);
    second.awaitLog("another process holds");
    warmUp(second, site.server);
    warmUp(*first, site.server);
    awaitWritesDone(*first);
    first->signal(SIGTERM);
    assert(first->exitCode() == 0);
    second.awaitLog(" segments at ");
    const std::size_t before = site.server.bytesSent();
    Connection c(second.port());
    assert(get(c, "/files/tool.bin").body == site.server.file);
    assert((site.server.bytesSent() - before) * 10 <= site.server.file.size());
}

// The platform front uses the disk tier as well, and applies purges to it. On the hosted platform itself the
// tier is off, since there is no lasting disk, but the front supports it for other deployments.
void platformFrontServesFromDisk() {
    Folder folder;
    std::atomic<int> pulled{0};
    Peer box(store([&](Connection& c, const std::vector<std::string>& w) {
        ++pulled;
        c.sendResp({w[1], "ok", "tag=4be0c1927d55a6f3,minted=" + std::to_string(unixMs()) + ",remark=local",
                    "the object"});
    }));
    Fleet fleet;
    Bus bus;
    json settings = configuration(fleet.with({host("s-1", box.address())}));
    settings["bus"] = bus.address();
    const Program::Variables variables{{"LB_DISK", folder.file({{"purge_slack_ms", 0}}, "platform")}};
    const auto ask = [&](Program& program, const char* more = "") {
        Connection c(program.port());
        call(c, "1", more);
        return c.readResp();
    };
    {
        Program program(settings, "LB_CONFIG", 1024, variables);
        for (int i = 0; i < 3; ++i) assert(ask(program).at(3) == "the object");
        awaitWritesDone(program);
        const int before = pulled;
        assert(ask(program).at(3) == "the object" && pulled == before);
        const auto current = ask(program, ",cached=4be0c1927d55a6f3");
        assert(current.at(1) == "SERVED" && current.at(2).find("keep=1") != std::string::npos);
        assert(pulled == before);
        program.signal(SIGKILL);
        program.exitCode();
    }
    Program program(settings, "LB_CONFIG", 1024, variables);
    program.awaitLog(" segments at ");
    const int before = pulled;
    assert(ask(program).at(3) == "the object" && pulled == before);
    std::this_thread::sleep_for(2ms);
    bus.publish({{"ban", {{"url", kEntity}, {"ts", unixMs()}}}});
    assert(ask(program).at(3) == "the object" && pulled == before + 1);
}

// In a hand-over the successor also takes over the folder.
void successorTakesOverTheFolder() {
    Folder folder, meeting;
    Fleet fleet;
    std::atomic<int> pulled{0};
    Peer box(store([&](Connection& c, const std::vector<std::string>& w) {
        ++pulled;
        c.sendResp({w[1], "ok", "tag=4be0c1927d55a6f3,minted=" + std::to_string(unixMs()) + ",remark=local",
                    "the object"});
    }));
    Bus bus;
    Peer socket{nullptr};
    json settings = configuration(fleet.with({host("s-1", box.address())}));
    settings["bus"] = bus.address();
    settings["listen"] = socket.address();
    const Program::Variables variables{{"LB_DISK", folder.file({{"purge_slack_ms", 0}}, "platform")},
                                       {"TMPDIR", meeting.path}};
    const auto start = [&] {
        return std::make_unique<Program>(settings, "LB_CONFIG", 1024, variables, socket.descriptor());
    };
    auto older = start();
    older->awaitLog(" segments at ");
    older->awaitLog("serving on");
    for (int i = 0; i < 3; ++i) {
        Connection c(socket.port());
        call(c, "1");
        assert(c.readResp().at(1) == "SERVED");
    }
    awaitWritesDone(*older);
    auto newer = start();
    newer->awaitLog("another process holds");
    newer->awaitLog("serving on");
    older->signal(SIGTERM);
    newer->awaitLog(" segments at ");
    assert(older->exitCode() == 0);
    const int before = pulled;
    Connection c(socket.port());
    call(c, "1");
    assert(c.readResp().at(3) == "the object" && pulled == before);
}

void invalidDiskFilesAreRefused() {
    RepositorySetup site(10);
    const std::vector<std::pair<json, std::string>> bad{
        {{{"folder", ""}}, "field 'repository.folder'"},
        {{{"capacity_mb", 1}}, "field 'repository.capacity_mb'"},
        {{{"segment_mb", 64}}, "field 'repository.segment_mb'"},
        {{{"rewrite_share", 1.5}}, "field 'repository.rewrite_share'"},
        {{{"sync", "sometimes"}}, "field 'repository.sync'"},
        {{{"reads", "many"}}, "field 'repository.reads'"},
        {{{"bus_keeps_positions", 1}}, "field 'repository.bus_keeps_positions'"},
        {{{"capacity", 5}}, "field 'repository.capacity'"}};
    for (const auto& [more, field] : bad) {
        Program program(site.settings, "LB_REPOSITORY", 1024, {{"LB_DISK", site.folder.file(more)}});
        assert(program.exitCode() == 2);
        const std::string log = program.log();
        assert(log.find(field) != std::string::npos && std::count(log.begin(), log.end(), '\n') == 1);
    }
}

}  // namespace

int main() {
    invalidDiskFilesAreRefused();
    restartRefetchesLittle();
    purgeWhileDownTakesEffect();
    missingBusEventsDropAllCopies();
    damagedRecordIsRefetched();
    newVersionReplacesOldParts();
    onlyOneProcessHoldsTheFolder();
    platformFrontServesFromDisk();
    successorTakesOverTheFolder();
}
