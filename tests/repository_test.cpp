// The repository front, with stand-ins for a repository server, its caches and the event bus.
#include <set>

#include "loopback.hpp"

namespace {

using namespace lotuslead::testing;

// A repository server that knows GET and single ranges. The index says which version it is; a file is `size`
// bytes of a pattern. `hold` is called before each answer.
class Repository {
public:
    using Hold = std::function<void(const std::string& path, const std::string& head)>;
    explicit Repository(std::size_t size, Hold hold = {})
        : file(size, '\0'), hold_(std::move(hold)), peer_([this](Connection& c) { serve(c); }) {
        for (std::size_t i = 0; i < size; ++i) file[i] = static_cast<char>('a' + i * 7 % 26 + i / 4096 % 3);
    }
    std::string address() const { return peer_.address(); }
    int requests(const std::string& path) {
        const std::lock_guard lock(mutex_);
        return static_cast<int>(paths_.count(path));
    }

    std::string file;
    std::atomic<int> version{1};

private:
    void serve(Connection& c) {
        for (std::string head; !(head = c.readHead()).empty();) {
            const std::string path = head.substr(4, head.find(' ', 4) - 4);
            {
                const std::lock_guard lock(mutex_);
                paths_.insert(path);
            }
            // The copy is taken when the request comes; what is answered later is as old as that.
            const std::string index = "version " + std::to_string(version) + "\n";
            if (hold_) hold_(path, head);
            answer(c, path, head, index);
        }
    }
    void answer(Connection& c, const std::string& path, const std::string& head, const std::string& index) {
        const auto send = [&](const std::string& status, const std::string& fields, const std::string& body) {
            c.send("HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
                   "\r\n\r\n" + body);
        };
        const std::string dated = "Last-Modified: Tue, 01 Dec 2026 10:00:00 GMT\r\n";
        if (path == "/index/plugins.json") {
            const std::string tag = "\"i" + index.substr(8, index.size() - 9) + "\"";
            if (fieldOf(head, "If-None-Match") == tag)
                return send("304 Not Modified", "ETag: " + tag + "\r\n", "");
            return send("200 OK", "Content-Type: application/json\r\nETag: " + tag + "\r\n" + dated, index);
        }
        if (path == "/index/broken") return send("500 Internal Server Error", "", "");
        if (path != "/files/tool.bin") return send("404 Not Found", "", "");
        std::size_t first = 0, last = 0;
        const std::string range = fieldOf(head, "Range");
        const std::string total = std::to_string(file.size());
        const bool read = std::sscanf(range.c_str(), "bytes=%zu-%zu", &first, &last) == 2;
        assert(read);  // files are fetched in parts
        if (first >= file.size())
            return send("416 Range Not Satisfiable", "Content-Range: bytes */" + total + "\r\n", "");
        last = std::min(last, file.size() - 1);
        send("206 Partial Content",
             "ETag: \"f1\"\r\n" + dated + "Content-Range: bytes " + std::to_string(first) + "-" +
                 std::to_string(last) + "/" + total + "\r\n",
             file.substr(first, last - first + 1));
    }

    Hold hold_;
    std::mutex mutex_;
    std::multiset<std::string> paths_;
    Peer peer_;
};

json repository(const std::vector<json>& hosts) {
    json settings = configuration(hosts);
    settings["part_bytes"] = 65536;
    settings["routes"] = {{{"prefix", "/index/"}, {"class", "page"}, {"group", 5}},
                          {{"prefix", "/files/"}, {"class", "installer"}, {"group", 6}}};
    return settings;
}
json repository(Repository& cache, Repository& origin) {
    return repository({host("cache-1", cache.address()), host("parent-1", origin.address(), "parent"),
                       host("origin-1", origin.address(), "origin")});
}

struct Got {
    int status = 0;
    std::string head, body;
    bool whole = false;
};
Got read(Connection& c, bool bodiless = false) {
    Got got;
    got.head = c.readHead();
    if (got.head.empty()) return got;
    got.status = std::atoi(got.head.c_str() + 9);
    const std::size_t size = bodiless || got.status == 304
                                 ? 0
                                 : std::strtoul(fieldOf(got.head, "Content-Length").c_str(), nullptr, 10);
    got.body = c.exactly(size);
    got.whole = got.body.size() == size;
    return got;
}
void ask(Connection& c, const std::string& path, const std::string& fields = "",
         const std::string& method = "GET") {
    c.send(method + " " + path + " HTTP/1.1\r\nHost: packages.test\r\n" + fields + "\r\n");
}
Got get(Connection& c, const std::string& path, const std::string& fields = "") {
    ask(c, path, fields);
    return read(c);
}

void indexesAndFilesAreServedAsTheSpecificationsSay() {
    Repository server(300'000);
    Program program(repository(server, server), "LB_REPOSITORY");
    const std::uint16_t port = program.port();
    Connection c(port);  // one connection for all that does not end it
    Got got = get(c, "/index/plugins.json");
    assert(got.status == 200 && got.body == "version 1\n");
    assert(fieldOf(got.head, "ETag") == "\"i1\"" && fieldOf(got.head, "Content-Type") == "application/json");
    assert(get(c, "/index/%70lugins.json?x=1", "If-None-Match: \"i1\"\r\n").status == 304);
    assert(get(c, "/index/plugins.json", "If-Modified-Since: Tue, 01 Dec 2026 10:00:00 GMT\r\n").status ==
           304);

    got = get(c, "/files/tool.bin");
    assert(got.status == 200 && got.body == server.file);
    assert(server.requests("/files/tool.bin") >= 5);  // in parts of 65,536 bytes
    const auto ranged = [&](const std::string& range, std::size_t first, std::size_t size) {
        const Got part = get(c, "/files/tool.bin", "Range: bytes=" + range + "\r\n");
        return part.status == 206 && part.body == server.file.substr(first, size) &&
               fieldOf(part.head, "Content-Range") ==
                   "bytes " + std::to_string(first) + "-" + std::to_string(first + size - 1) + "/300000";
    };
    assert(ranged("65530-65540", 65530, 11) && ranged("299999-", 299999, 1) &&
           ranged("-70000", 230000, 70000));
    assert(ranged("0-999999", 0, 300000));
    got = get(c, "/files/tool.bin", "Range: bytes=300000-\r\n");
    assert(got.status == 416 && fieldOf(got.head, "Content-Range") == "bytes */300000");
    assert(get(c, "/files/tool.bin", "Range: bytes=5-9\r\nIf-Range: \"other\"\r\n").status == 200);
    assert(get(c, "/files/tool.bin", "Range: bytes=5-9\r\nIf-Range: \"f1\"\r\n").body.size() == 5);
    ask(c, "/files/tool.bin", "", "HEAD");
    got = read(c, true);
    assert(got.status == 200 && fieldOf(got.head, "Content-Length") == "300000");

    assert(get(c, "/elsewhere").status == 404 && get(c, "/files/none").status == 404);
    ask(c, "/index/plugins.json", "", "DELETE");
    got = read(c);
    assert(got.status == 405 && fieldOf(got.head, "Allow") == "GET, HEAD");
    got = get(c, "/index/broken");
    assert(got.status == 502);
    got = get(c, "/index/../secret");
    assert(got.status == 400 && c.closed());
    Connection wild(port), fat(port);
    wild.send("nonsense\r\n\r\n");
    assert(read(wild).status == 400 && wild.closed());
    fat.send("GET /index/ HTTP/1.1\r\nHost: x\r\nFill: " + std::string(20'000, 'x'));
    assert(read(fat).status == 431 && fat.closed());
}

// No index older than a purge once it was told, also while a large file is in transfer.
void aPurgeMidFetchLeavesNoOldIndex() {
    Mark fetching, inTransfer, purged;
    Repository server(4'000'000, [&](const std::string& path, const std::string&) {
        if (path != "/index/plugins.json") return inTransfer.raise();
        fetching.raise();
        if (fetching.count() == 1) purged.await(1);  // the first fetch is under way when the purge is told
    });
    Bus bus;
    json settings = repository(server, server);
    settings["bus"] = bus.address();
    Program program(settings, "LB_REPOSITORY");
    const std::uint16_t port = program.port();
    Connection download(port), early(port);
    ask(download, "/files/tool.bin");
    inTransfer.await(1);
    ask(early, "/index/plugins.json");
    // Behind the file on one connection: it is answered last, and must be no older for it.
    ask(download, "/index/plugins.json");
    fetching.await(1);
    server.version = 2;
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    bus.tell({{"ban", {{"url", "/index/plugins.json"}, {"ts", ms}}}});
    purged.raise();
    Got got = read(early);
    assert(got.status == 200 && got.body == "version 2\n");
    for (int i = 0; i < 20; ++i) {
        Connection c(port);
        got = get(c, "/index/plugins.json");
        assert(got.status == 200 && got.body == "version 2\n");
    }
    got = read(download);
    assert(got.status == 200 && got.whole && got.body == server.file);
    got = read(download);
    assert(got.status == 200 && got.body == "version 2\n");
}

void aDrainMidDownloadIsRefusedCleanly() {
    Mark parts, drained;
    Repository box(4'000'000, [&](const std::string&, const std::string&) {
        parts.raise();
        if (parts.count() == 2) drained.await(1);
    });
    Repository origin(10);
    Bus bus;
    json settings = repository(box, origin);
    settings["bus"] = bus.address();
    Program program(settings, "LB_REPOSITORY");
    Connection download(program.port());
    ask(download, "/files/tool.bin");
    parts.await(2);
    bus.tell(topology({host("cache-1", box.address(), "small", "draining")}));
    drained.raise();
    const Got got = read(download);
    assert(got.status == 200 && !got.whole && got.body.size() == 2 * 65536);  // shows as incomplete
    assert(got.body == box.file.substr(0, got.body.size()) && download.closed());
    Connection again(program.port());
    const Got refused = get(again, "/files/tool.bin", "Range: bytes=131072-\r\n");
    assert(refused.status == 503 && fieldOf(refused.head, "Retry-After") == "1" && refused.whole);
    assert(get(again, "/index/plugins.json").status == 503);  // and the connection goes on
    assert(parts.count() == 2);                               // nothing new went to the box
}

void aSilentServerEndsAtTheDeadline() {
    Mark over;
    Repository server(10, [&](const std::string&, const std::string&) { over.await(1); });
    json settings = repository(server, server);
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

void badClientsEndSoonAndKeepNobodyOut() {
    Repository server(10);
    json settings = repository(server, server);
    settings["limits"]["sockets"] = 192;  // 64 of them for clients
    Program program(settings, "LB_REPOSITORY");
    const std::uint16_t port = program.port();
    std::vector<std::unique_ptr<Connection>> idle;
    for (int i = 0; i < 80; ++i) {  // each is served, though those before stay
        idle.push_back(std::make_unique<Connection>(port));
        assert(get(*idle.back(), "/index/plugins.json").status == 200);
    }
    idle.resize(40);
    idle.erase(idle.begin(), idle.begin() + 30);
    Connection greedy(port), usual(port);
    std::string many;
    for (int i = 0; i < 3000; ++i) many += "GET /nothing HTTP/1.1\r\nHost: here\r\n\r\n";
    greedy.send(many);
    assert(get(usual, "/index/plugins.json").status == 200);
    const auto begin = std::chrono::steady_clock::now();
    Connection silent(port), half(port);
    half.send("GET /index/plugins.json HTTP/1.1\r\nHo");
    assert(half.readHead().rfind("HTTP/1.1 408 ", 0) == 0);
    assert(silent.closed());
    assert(std::chrono::steady_clock::now() - begin < 6s);
    assert(get(usual, "/index/plugins.json").status == 200);  // at rest it stays
    for (int i = 0; i < 3000; ++i) {
        assert(greedy.readHead().rfind("HTTP/1.1 404 ", 0) == 0);
        assert(greedy.exactly(10) == "Not Found\n");
    }
}

}  // namespace

int main() {
    badClientsEndSoonAndKeepNobodyOut();
    indexesAndFilesAreServedAsTheSpecificationsSay();
    aPurgeMidFetchLeavesNoOldIndex();
    aDrainMidDownloadIsRefusedCleanly();
    aSilentServerEndsAtTheDeadline();
}
