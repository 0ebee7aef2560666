// Tests of the repository front, with stand-ins for a repository server, its caches and the event bus.
#include "repository_server.hpp"

namespace {

using namespace lotuslead::testing;

void servesIndexesAndFilesByTheStandards() {
    Repository server(300'000);
    Program program(repositoryConfiguration(server, server), "LB_REPOSITORY");
    const std::uint16_t port = program.port();
    Connection c(port);  // reused by all requests that keep the connection open
    Response response = get(c, "/index/plugins.json");
    assert(response.status == 200 && response.body == "version 1\n");
    assert(fieldOf(response.head, "ETag") == "\"i1\"" &&
           fieldOf(response.head, "Content-Type") == "application/json");
    assert(get(c, "/index/%70lugins.json?x=1", "If-None-Match: \"i1\"\r\n").status == 304);
    assert(get(c, "/index/plugins.json", "If-Modified-Since: Tue, 01 Dec 2026 10:00:00 GMT\r\n").status ==
           304);

    response = get(c, "/files/tool.bin");
    assert(response.status == 200 && response.body == server.file);
    assert(server.requests("/files/tool.bin") >= 5);  // in parts of 65,536 bytes
    const auto ranged = [&](const std::string& range, std::size_t first, std::size_t size) {
        const Response part = get(c, "/files/tool.bin", "Range: bytes=" + range + "\r\n");
        return part.status == 206 && part.body == server.file.substr(first, size) &&
               fieldOf(part.head, "Content-Range") ==
                   "bytes " + std::to_string(first) + "-" + std::to_string(first + size - 1) + "/300000";
    };
    assert(ranged("65530-65540", 65530, 11) && ranged("299999-", 299999, 1) &&
           ranged("-70000", 230000, 70000));
    assert(ranged("0-999999", 0, 300000));
    response = get(c, "/files/tool.bin", "Range: bytes=300000-\r\n");
    assert(response.status == 416 && fieldOf(response.head, "Content-Range") == "bytes */300000");
    assert(get(c, "/files/tool.bin", "Range: bytes=5-9\r\nIf-Range: \"other\"\r\n").status == 200);
    assert(get(c, "/files/tool.bin", "Range: bytes=5-9\r\nIf-Range: \"f1\"\r\n").body.size() == 5);
    ask(c, "/files/tool.bin", "", "HEAD");
    response = read(c, true);
    assert(response.status == 200 && fieldOf(response.head, "Content-Length") == "300000");

    assert(get(c, "/elsewhere").status == 404 && get(c, "/files/none").status == 404);
    ask(c, "/index/plugins.json", "", "DELETE");
    response = read(c);
    assert(response.status == 405 && fieldOf(response.head, "Allow") == "GET, HEAD");
    response = get(c, "/index/broken");
    assert(response.status == 502);
    response = get(c, "/index/../secret");
    assert(response.status == 400 && c.closed());
    Connection malformed(port), oversized(port);
    malformed.send("nonsense\r\n\r\n");
    assert(read(malformed).status == 400 && malformed.closed());
    oversized.send("GET /index/ HTTP/1.1\r\nHost: x\r\nFill: " + std::string(20'000, 'x'));
    assert(read(oversized).status == 431 && oversized.closed());
}

// Closing a connection with unread input resets it, and the client may lose the response; it must not.
void aRejectionReachesAClientThatStillSends() {
    Repository server(1000);
    Program program(repositoryConfiguration(server, server), "LB_REPOSITORY");
    const std::uint16_t port = program.port();
    constexpr int kTries = 20;
    int read413 = 0;
    for (int i = 0; i < kTries; ++i) {
        Connection c(port);
        c.send("POST /index/x HTTP/1.1\r\nHost: x\r\nContent-Length: 4000000\r\n\r\n");
        c.send(std::string(300'000, 'b'));
        std::this_thread::sleep_for(5ms);
        c.send(std::string(10'000, 'b'));
        std::this_thread::sleep_for(20ms);
        read413 += read(c).status == 413 ? 1 : 0;
    }
    std::fprintf(stderr, "%d of %d refusals read\n", read413, kTries);
    assert(read413 == kTries);
}

// The server's close and the next request are both pending when the gateway resumes.
void aClosedIdleConnectionIsNotReused() {
    EventCounter close, closed;
    std::atomic<int> connections{0};
    Peer server([&](Connection& c) {
        const int here = ++connections;
        if (c.readHead().empty()) return;
        c.send("HTTP/1.1 200 OK\r\nETag: \"a\"\r\nContent-Length: 4\r\n\r\nhere");
        close.await(here);
        c.shut();
        closed.raise();
    });
    json settings = repositoryConfiguration({host("cache-1", server.address()),
                                             host("parent-1", server.address(), "parent"),
                                             host("origin-1", server.address(), "origin")});
    settings["settings"]["allowed"]["mostTries"] = 1;
    Program program(settings, "LB_REPOSITORY");
    const std::uint16_t port = program.port();
    for (int i = 1; i <= 10; ++i) {
        Connection client(port);
        assert(get(client, "/elsewhere").status == 404);
        if (i > 1) {
            program.suspend();
            close.raise();
            closed.await(i - 1);
        }
        ask(client, "/index/plugins.json");
        if (i > 1) program.resume();
        const Response response = read(client);
        assert(response.status == 200 && response.body == "here");
    }
    close.raise();
}

// A server may send an unsolicited response before it closes (RFC 9110, 15.5.9). It must not be taken for the
// answer to the next request.
void anUnsolicitedResponseIsNotUsed() {
    EventCounter sendUnsolicited, sentUnsolicited;
    std::atomic<int> connections{0};
    Peer server([&](Connection& c) {
        const bool first = ++connections == 1;
        while (!c.readHead().empty()) {
            c.send("HTTP/1.1 200 OK\r\nETag: \"a\"\r\nContent-Length: 4\r\n\r\nhere");
            if (!first) continue;
            sendUnsolicited.await(1);
            c.send("HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n");
            sentUnsolicited.raise();
        }
    });
    json settings = repositoryConfiguration({host("cache-1", server.address()),
                                             host("parent-1", server.address(), "parent"),
                                             host("origin-1", server.address(), "origin")});
    settings["settings"]["allowed"]["mostTries"] = 1;
    Program program(settings, "LB_REPOSITORY");
    Connection before(program.port()), after(program.port());
    for (Connection* c : {&before, &after}) assert(get(*c, "/elsewhere").status == 404);
    assert(get(before, "/index/plugins.json").status == 200);
    program.suspend();
    ask(before, "/index/plugins.json");
    sendUnsolicited.raise();
    sentUnsolicited.await(1);
    ask(after, "/index/plugins.json");
    program.resume();
    assert(read(before).status == 200);
    assert(read(after).status == 200);
}

// A 304 without a matching If-None-Match is invalid; the request is retried.
void anUnrequested304IsRetried() {
    std::atomic<int> asked{0};
    Peer server([&](Connection& c) {
        while (!c.readHead().empty())
            c.send(++asked % 2 == 1 ? "HTTP/1.1 304 Not Modified\r\nETag: \"b\"\r\n\r\n"
                                    : "HTTP/1.1 200 OK\r\nETag: \"c\"\r\nContent-Length: 4\r\n\r\nhere");
    });
    Program program(
        repositoryConfiguration({host("cache-1", server.address()), host("cache-2", server.address()),
                                 host("parent-1", server.address(), "parent"),
                                 host("origin-1", server.address(), "origin")}),
        "LB_REPOSITORY");
    Connection client(program.port());
    for (const char* known : {"", "If-None-Match: \"a\"\r\n"}) {
        const Response response = get(client, "/index/plugins.json", known);
        assert(response.status == 200 && response.body == "here");
    }
    assert(asked == 4);
}

// When the process must stop, open requests are aborted or refused in a way that the client can see.
void openRequestsEndBeforeSigkill() {
    EventCounter asked, go;
    Repository server(4'000'000, [&](const std::string& path, const std::string& head) {
        if (path == "/files/tool.bin" && head.find("bytes=0-") != std::string::npos) return;
        asked.raise();
        go.await(1);
    });
    json settings = repositoryConfiguration(server, server);
    settings["settings"]["allowed"]["mostTries"] = 1;
    Program program(settings, "LB_REPOSITORY");
    Connection index(program.port()), file(program.port());
    ask(index, "/index/plugins.json");
    ask(file, "/files/tool.bin");
    asked.await(2);
    const auto begin = std::chrono::steady_clock::now();
    program.signal(SIGTERM);
    const Response refused = read(index), aborted = read(file);
    assert(refused.status == 503 || refused.status == 504);
    assert(aborted.status == 200 && !aborted.complete);
    program.awaitLog("lotuslead: stopped, 0 requests open");
    // The longest deadline, 9 s, counts as 3 s; plus 0.7 s, and slack for a slow machine.
    assert(std::chrono::steady_clock::now() - begin < 4300ms);
    assert(program.exitCode() == 0);
    go.raise();
}

// Once a purge is known, no older index is served, also during the transfer of a large file.
void aPurgeDuringAFetchLeavesNoOldIndex() {
    EventCounter fetching, inTransfer, purged;
    Repository server(4'000'000, [&](const std::string& path, const std::string&) {
        if (path != "/index/plugins.json") return inTransfer.raise();
        fetching.raise();
        if (fetching.count() == 1) purged.await(1);  // the first fetch is open when the purge arrives
    });
    Bus bus;
    json settings = repositoryConfiguration(server, server);
    settings["bus"] = bus.address();
    Program program(settings, "LB_REPOSITORY");
    const std::uint16_t port = program.port();
    Connection download(port), early(port);
    ask(download, "/files/tool.bin");
    inTransfer.await(1);
    ask(early, "/index/plugins.json");
    // Pipelined behind the file: it is answered last and must not be outdated.
    ask(download, "/index/plugins.json");
    fetching.await(1);
    server.version = 2;
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    bus.publish({{"ban", {{"url", "/index/plugins.json"}, {"ts", ms}}}});
    purged.raise();
    Response response = read(early);
    assert(response.status == 200 && response.body == "version 2\n");
    for (int i = 0; i < 20; ++i) {
        Connection c(port);
        response = get(c, "/index/plugins.json");
        assert(response.status == 200 && response.body == "version 2\n");
    }
    response = read(download);
    assert(response.status == 200 && response.complete && response.body == server.file);
    response = read(download);
    assert(response.status == 200 && response.body == "version 2\n");
}

void aDrainDuringADownloadShowsAsIncomplete() {
    EventCounter parts, drained;
    Repository store(4'000'000, [&](const std::string&, const std::string&) {
        parts.raise();
        if (parts.count() == 2) drained.await(1);
    });
    Repository origin(10);
    Bus bus;
    json settings = repositoryConfiguration(store, origin);
    settings["bus"] = bus.address();
    Program program(settings, "LB_REPOSITORY");
    Connection download(program.port());
    ask(download, "/files/tool.bin");
    parts.await(2);
    bus.publish(topology({host("cache-1", store.address(), "small", "draining")}));
    drained.raise();
    const Response response = read(download);
    assert(response.status == 200 && !response.complete &&
           response.body.size() == 2 * 65536);  // shows as incomplete
    assert(response.body == store.file.substr(0, response.body.size()) && download.closed());
    Connection again(program.port());
    const Response refused = get(again, "/files/tool.bin", "Range: bytes=131072-\r\n");
    assert(refused.status == 503 && fieldOf(refused.head, "Retry-After") == "1" && refused.complete);
    assert(get(again, "/index/plugins.json").status == 503);  // the connection stays open
    assert(parts.count() == 2);                               // no new request went to the draining store
}

void aSilentServerCausesATimeoutAtTheDeadline() {
    EventCounter over;
    Repository server(10, [&](const std::string&, const std::string&) { over.await(1); });
    json settings = repositoryConfiguration(server, server);
    for (json& category : settings["settings"]["categories"]) {
        category["aim"] = 200'000'000;
        category["hardLimit"] = 300'000'000;
    }
    Program program(settings, "LB_REPOSITORY");
    Connection c(program.port());
    assert(get(c, "/index/plugins.json").status == 504);
    over.raise();
    program.signal(SIGTERM);
    assert(program.exitCode() == 0);
    assert(program.log().find("repository connections=1") != std::string::npos);
}

void badClientsAreClosedAndBlockNobody() {
    Repository server(10);
    json settings = repositoryConfiguration(server, server);
    settings["limits"]["sockets"] = 192;  // 64 of them for clients
    Program program(settings, "LB_REPOSITORY");
    const std::uint16_t port = program.port();
    std::vector<std::unique_ptr<Connection>> idle;
    for (int i = 0; i < 80; ++i) {  // each is served, though earlier clients stay connected
        idle.push_back(std::make_unique<Connection>(port));
        assert(get(*idle.back(), "/index/plugins.json").status == 200);
    }
    idle.resize(40);
    idle.erase(idle.begin(), idle.begin() + 30);
    Connection pipeliningClient(port), normalClient(port);
    std::string many;
    for (int i = 0; i < 3000; ++i) many += "GET /nothing HTTP/1.1\r\nHost: here\r\n\r\n";
    pipeliningClient.send(many);
    assert(get(normalClient, "/index/plugins.json").status == 200);
    const auto begin = std::chrono::steady_clock::now();
    Connection silent(port), half(port);
    half.send("GET /index/plugins.json HTTP/1.1\r\nHo");
    assert(half.readHead().rfind("HTTP/1.1 408 ", 0) == 0);
    assert(silent.closed());
    assert(std::chrono::steady_clock::now() - begin < 6s);
    assert(get(normalClient, "/index/plugins.json").status == 200);  // an idle connection stays open
    for (int i = 0; i < 3000; ++i) {
        assert(pipeliningClient.readHead().rfind("HTTP/1.1 404 ", 0) == 0);
        assert(pipeliningClient.exactly(10) == "Not Found\n");
    }
}

}  // namespace

int main() {
    aRejectionReachesAClientThatStillSends();
    aClosedIdleConnectionIsNotReused();
    anUnsolicitedResponseIsNotUsed();
    anUnrequested304IsRetried();
    openRequestsEndBeforeSigkill();
    badClientsAreClosedAndBlockNobody();
    servesIndexesAndFilesByTheStandards();
    aPurgeDuringAFetchLeavesNoOldIndex();
    aDrainDuringADownloadShowsAsIncomplete();
    aSilentServerCausesATimeoutAtTheDeadline();
}
