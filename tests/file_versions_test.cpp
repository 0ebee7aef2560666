// Tests of files that are replaced during a download: no whole answer may hold bytes of two versions, and a
// whole one must be had again soon.
#include <cstring>
#include <filesystem>

#include "disk_tier_harness.hpp"
#include "repository/upstreams.hpp"
#include "repository_server.hpp"

namespace {

using namespace lotuslead::testing;

constexpr std::size_t kPartBytes = 65536, kParts = 8, kFileBytes = kParts * kPartBytes - 1000;
constexpr const char* kPath = "/files/tool.bin";

enum class Validator { tag, weakTag, date, dateOfThisSecond, none };
constexpr Validator kAllValidators[] = {Validator::tag, Validator::weakTag, Validator::date,
                                        Validator::dateOfThisSecond, Validator::none};

std::string httpDate(std::time_t at) {
    char text[40];
    std::tm parts{};
    ::gmtime_r(&at, &parts);
    return {text, std::strftime(text, sizeof text, "%a, %d %b %Y %H:%M:%S GMT", &parts)};
}

struct ServerOptions {
    Validator validator = Validator::date;
    std::size_t size = kFileBytes;
    int replaceAtPart = 0;      // the response, counted from 1, that is the first of version 2; 0: none
    bool rollback = false;      // version 2 has the older date
    std::time_t changedAt = 0;  // when both versions were made; 0: days apart
    std::set<int> oldParts;     // as a cache holds them: of version 1, unless a fresh copy is asked for
    bool ignoresRanges = false;
    bool slowBeyondOnePart = false;  // larger responses take longer than a request may
    int serverNumber = 0;            // tells apart the validators of servers whose bytes are equal
    std::function<void()> onReplaced;
};

// A repository server with one file, whose bytes are all the digit of the version.
class VersionedServer {
public:
    explicit VersionedServer(ServerOptions options)
        : options_(std::move(options)), peer_([this](Connection& c) { serve(c); }) {}
    std::string address() const { return peer_.address(); }
    int responses() const { return responses_; }
    void replace() { version_ = 2; }
    static constexpr std::time_t kEarlierChange = 1'764'000'000, kLaterChange = 1'764'200'000;

private:
    void serve(Connection& c) {
        for (std::string head; !(head = c.readHead()).empty();) {
            if (++responses_ == options_.replaceAtPart) {
                version_ = 2;
                if (options_.onReplaced) options_.onReplaced();
            }
            answer(c, head);
        }
    }
    void answer(Connection& c, const std::string& head) {
        std::size_t first = 0, last = options_.size - 1;
        const bool ranged =
            std::sscanf(fieldOf(head, "Range").c_str(), "bytes=%zu-%zu", &first, &last) == 2 &&
            !options_.ignoresRanges;
        if (!ranged) first = 0;
        last = ranged ? std::min(last, options_.size - 1) : options_.size - 1;
        const std::string control = fieldOf(head, "Cache-Control");
        const bool wantsFresh =
            control.find("no-cache") != std::string::npos || control.find("max-age") != std::string::npos;
        const bool fromCache = !wantsFresh && options_.oldParts.count(static_cast<int>(first / kPartBytes));
        const int version = fromCache ? 1 : version_.load();
        const std::string body(last - first + 1, static_cast<char>('0' + version));
        if (options_.slowBeyondOnePart && body.size() > kPartBytes) std::this_thread::sleep_for(700ms);
        c.send(std::string(ranged ? "HTTP/1.1 206 Partial Content" : "HTTP/1.1 200 OK") + "\r\n" +
               validatorFields(version) + (fromCache ? ageField() : "") +
               (ranged ? "Content-Range: bytes " + std::to_string(first) + "-" + std::to_string(last) + "/" +
                             std::to_string(options_.size) + "\r\n"
                       : "") +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    std::string ageField() const {
        const std::time_t age = options_.changedAt ? std::time(nullptr) - options_.changedAt : 600;
        return "Age: " + std::to_string(age) + "\r\n";
    }
    std::string validatorFields(int version) const {
        const std::time_t now = std::time(nullptr);
        const bool older = (version == 2) == options_.rollback;
        const std::time_t changed = options_.changedAt
                                        ? options_.changedAt
                                        : (older ? kEarlierChange : kLaterChange) + options_.serverNumber;
        const std::string tag = "\"v" + std::to_string(version) + "-" +
                                std::to_string(options_.serverNumber) + "\"",
                          date = "Date: " + httpDate(now) + "\r\n";
        switch (options_.validator) {
            case Validator::tag:
                return date + "ETag: " + tag + "\r\n";
            case Validator::weakTag:
                return date + "ETag: W/" + tag + "\r\n";
            case Validator::date:
                return date + "Last-Modified: " + httpDate(changed) + "\r\n";
            case Validator::dateOfThisSecond:
                return date + "Last-Modified: " + httpDate(now) + "\r\n";
            default:
                return date;
        }
    }

    ServerOptions options_;
    std::atomic<int> version_{1}, responses_{0};
    Peer peer_;
};

bool isUniform(const std::string& body) { return body.find_first_not_of(body[0]) == std::string::npos; }

struct Result {
    int attempts = 0;  // until a whole answer
    std::string body;
};

// Downloads until an answer is whole, three times at most. Every whole answer must be of one version.
Result download(Program& program, const std::string& fields = "", const std::string& path = kPath) {
    Result result;
    while (++result.attempts <= 3) {
        Connection c(program.port());
        const Response response = get(c, path, fields);
        assert(response.status == 200 || response.status == 206);
        assert(isUniform(response.body));
        result.body = response.body;
        if (response.complete) return result;
    }
    assert(!"no answer was whole");
    return result;
}

json configurationOf(const std::vector<const VersionedServer*>& servers) {
    std::vector<json> hosts;
    for (const VersionedServer* server : servers) {
        const std::string number = std::to_string(hosts.size());
        hosts.push_back(host("parent-" + number, server->address(), "parent"));
        hosts.push_back(host("cache-" + number, server->address()));
    }
    hosts.push_back(host("origin-1", servers.front()->address(), "origin"));
    return repositoryConfiguration(hosts);
}

// A settings file for a disk tier in a folder of its own.
class DiskTier {
public:
    DiskTier() {
        char name[] = "/tmp/lotuslead-versions-XXXXXX";
        folder_ = ::mkdtemp(name);
        std::ofstream(folder_ + "/disk.json")
            << json{{"repository", {{"folder", folder_ + "/tier"}, {"capacity_mb", 64}}}}.dump();
    }
    ~DiskTier() { std::filesystem::remove_all(folder_); }
    Program::Variables variables() const { return {{"LB_DISK", folder_ + "/disk.json"}}; }
    // Keeps the first part of version 1 as the program did that knew of no dates of responses.
    void keepFirstPartWithoutDate(std::size_t fileBytes) const {
        namespace disk = lotuslead::disk;
        namespace repository = lotuslead::repository;
        disk::TierOptions options;
        options.folder = folder_ + "/tier";
        options.catalog.capacityBytes = 64 << 20;
        options.purges = {false, true, 2000};
        disk::TierHarness harness(options);
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        harness.now.unixMs = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
        const disk::Key key{kPath, "installer", 6, 0, kPartBytes};
        const disk::Metadata metadata{{repository::kStatus, "206"},
                                      {repository::kFirst, "0"},
                                      {repository::kTotal, std::to_string(fileBytes)},
                                      {"last-modified", httpDate(VersionedServer::kEarlierChange)}};
        harness.tier.offer(harness.now, key, 1, {harness.now.unixMs, metadata, std::string(kPartBytes, '1')});
        const bool kept = harness.turnUntil([&] { return harness.tier.queuedBytes() == 0; }) &&
                          harness.tier.catalog().contains(key.fingerprint());
        assert(kept);
    }

private:
    std::string folder_;
};

struct Play {
    Validator validator;
    int replaceAtPart;
    bool purged, onDisk, rollback;
};

void playReplacement(const Play& play) {
    Bus bus;
    ServerOptions options;
    options.validator = play.validator;
    options.replaceAtPart = play.replaceAtPart;
    options.rollback = play.rollback;
    options.onReplaced = [&] {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
        if (play.purged) bus.publishWithoutWaiting({{"ban", {{"url", kPath}, {"ts", ms}}}});
    };
    VersionedServer server(options);
    DiskTier disk;
    json settings = configurationOf({&server});
    settings["bus"] = bus.address();
    Program program(settings, "LB_REPOSITORY", 1024, play.onDisk ? disk.variables() : Program::Variables{});
    const Result result = download(program);
    std::fprintf(stderr,
                 "validator %d, replaced at part %d, purged %d, disk %d, rollback %d: whole at attempt %d\n",
                 static_cast<int>(play.validator), play.replaceAtPart, play.purged, play.onDisk,
                 play.rollback, result.attempts);
    assert(result.attempts <= 2);
    server.replace();
    assert(download(program).body == std::string(kFileBytes, '2'));
}

// Guards against joining parts of two versions of a file that is replaced during its download.
void replacedDuringADownload() {
    for (const Validator validator : kAllValidators)
        for (const int part : {2, 4, static_cast<int>(kParts)})
            for (const bool purged : {false, true})
                for (const bool onDisk : {false, true})
                    playReplacement({validator, part, purged, onDisk, part == 4});
}

// Guards against breaking off, or fetching more often than once, what was not replaced.
void whatIsNotReplacedIsWholeAtOnce() {
    for (const Validator validator : kAllValidators) {
        ServerOptions options;
        options.validator = validator;
        VersionedServer server(options);
        Program program(configurationOf({&server}), "LB_REPOSITORY");
        for (int i = 0; i < 3; ++i) assert(download(program).attempts == 1);
        const bool isStrong = validator == Validator::tag || validator == Validator::date;
        assert(server.responses() == 3 * (isStrong ? static_cast<int>(kParts) : 2));
    }
}

// Guards against old copies in caches before the origin that break off each later download.
void oldCopiesInCachesDoNotLast() {
    for (const Validator validator : {Validator::tag, Validator::date}) {
        for (const bool firstPartIsOld : {false, true}) {
            ServerOptions options;
            options.validator = validator;
            options.oldParts = firstPartIsOld ? std::set<int>{0, 2} : std::set<int>{3, 5};
            VersionedServer server(options);
            server.replace();
            Program program(configurationOf({&server}), "LB_REPOSITORY");
            const Result result = download(program);
            assert(result.body == std::string(kFileBytes, '2'));
            assert(result.attempts == (firstPartIsOld ? 2 : 1));
        }
    }
}

// Guards against joining two versions of one second, where a cache puts its own Date on the first one.
void cachesThatSendTheirOwnDate() {
    constexpr std::time_t kCopyAge = 10;
    for (const bool firstPartIsOld : {false, true}) {
        ServerOptions options;
        options.changedAt = std::time(nullptr) - kCopyAge;
        options.oldParts = firstPartIsOld ? std::set<int>{0, 2} : std::set<int>{3, 5};
        VersionedServer server(options);
        server.replace();
        Program program(configurationOf({&server}), "LB_REPOSITORY");
        for (int i = 0; i < 3; ++i) download(program);
    }
}

// Guards against downloads that are broken off since the servers' validators differ for equal bytes.
void serversWithDifferentValidatorsAreServedFromOne() {
    for (const Validator validator : {Validator::tag, Validator::date}) {
        for (const std::size_t count : {1, 2, 3}) {
            std::vector<std::unique_ptr<VersionedServer>> servers;
            std::vector<const VersionedServer*> all;
            for (std::size_t i = 0; i < count; ++i) {
                ServerOptions options;
                options.validator = validator;
                options.serverNumber = static_cast<int>(i);
                servers.push_back(std::make_unique<VersionedServer>(options));
                all.push_back(servers.back().get());
            }
            // All in each role, and then each role of its own server.
            const json apart = repositoryConfiguration({host("cache-1", all.front()->address()),
                                                        host("parent-1", all[count / 2]->address(), "parent"),
                                                        host("origin-1", all.back()->address(), "origin")});
            for (const json& settings : {configurationOf(all), apart}) {
                Program program(settings, "LB_REPOSITORY");
                for (int i = 0; i < 20; ++i)
                    assert(download(program, "", "/files/" + std::to_string(i / 2)).attempts == 1);
            }
        }
    }
}

// Guards against ranges and If-Range that join two versions, here or at the client.
void rangesAreOfOneVersion() {
    const std::string range = "Range: bytes=1000-300000\r\n";
    for (const Validator validator : kAllValidators) {
        ServerOptions options;
        options.validator = validator;
        options.replaceAtPart = 3;
        VersionedServer server(options);
        Program program(configurationOf({&server}), "LB_REPOSITORY");
        assert(download(program, range).body.size() == 299'001);
        server.replace();
        assert(download(program, range).body == std::string(299'001, '2'));
    }
    const auto sizeWithIfRange = [](Validator validator,
                                    const std::function<std::string(const Response&)>& condition) {
        ServerOptions options;
        options.validator = validator;
        VersionedServer server(options);
        Program program(configurationOf({&server}), "LB_REPOSITORY");
        Connection c(program.port());
        const std::string value = condition(get(c, kPath));
        return get(c, kPath, "Range: bytes=5-9\r\nIf-Range: " + value + "\r\n").body.size();
    };
    const auto tag = [](const Response& r) { return fieldOf(r.head, "ETag"); };
    const auto date = [](const Response& r) { return fieldOf(r.head, "Last-Modified"); };
    assert(sizeWithIfRange(Validator::tag, tag) == 5);
    assert(sizeWithIfRange(Validator::date, date) == 5);
    assert(sizeWithIfRange(Validator::weakTag, tag) == kFileBytes);
    assert(sizeWithIfRange(Validator::dateOfThisSecond, date) == kFileBytes);
}

// Guards against two answers of a server without ranges, each of the whole file, being joined.
void aServerWithoutRanges() {
    for (const Validator validator : kAllValidators) {
        ServerOptions options;
        options.validator = validator;
        options.ignoresRanges = true;
        options.replaceAtPart = 2;
        VersionedServer server(options);
        Program program(configurationOf({&server}), "LB_REPOSITORY");
        for (int i = 0; i < 3; ++i) assert(download(program).attempts == 1);
        assert(download(program, "Range: bytes=200000-400000\r\n").body == std::string(200'001, '2'));
    }
}

// Guards against a file without validators that fills the memory, or is refused for ever: it comes in pieces.
void aLargeFileWithoutValidatorsIsBrokenOff() {
    ServerOptions options;
    options.validator = Validator::none;
    options.size = 8'000'000;
    VersionedServer server(options);
    json settings = configurationOf({&server});
    settings["limits"]["memory_mb"] = 12;
    Program program(settings, "LB_REPOSITORY");
    std::size_t received = 0;
    int tries = 0;
    for (; received < options.size && tries < 10; ++tries) {
        Connection c(program.port());
        const Response response = get(c, kPath, "Range: bytes=" + std::to_string(received) + "-\r\n");
        assert(response.status == 206 && !response.body.empty());
        received += response.body.size();
        assert(response.complete == (received == options.size));
    }
    assert(received == options.size && tries > 1);
}

// Guards against parts from before an upgrade, without a Date, for which each download asks the servers
// again.
void aPartThatWasKeptWithoutItsDate() {
    ServerOptions options;
    VersionedServer server(options);
    DiskTier disk;
    disk.keepFirstPartWithoutDate(options.size);
    Program program(configurationOf({&server}), "LB_REPOSITORY", 1024, disk.variables());
    for (int i = 0; i < 3; ++i) assert(download(program).attempts == 1);
    const int responses = server.responses();
    assert(download(program).attempts == 1);
    assert(server.responses() == responses);
}

// Guards against a file that is never served since one response with all of it takes too long.
void aResponseThatTakesTooLongIsReplacedByParts() {
    for (const Validator validator : {Validator::date, Validator::none}) {
        ServerOptions options;
        options.validator = validator;
        options.replaceAtPart = 3;
        options.slowBeyondOnePart = true;
        VersionedServer server(options);
        json settings = configurationOf({&server});
        for (json& category : settings["settings"]["categories"]) {
            category["aim"] = 200'000'000;
            category["hardLimit"] = 400'000'000;
        }
        Program program(settings, "LB_REPOSITORY");
        if (validator == Validator::date) {
            assert(download(program).attempts == 2);
            continue;
        }
        Connection c(program.port());
        const Response response = get(c, kPath);
        assert(response.status == 200 && !response.complete && response.body.size() == kPartBytes);
    }
}

}  // namespace

int main(int count, char** arguments) {
    const std::map<std::string, void (*)()> stories{
        {"replaced", replacedDuringADownload},
        {"not-replaced", whatIsNotReplacedIsWholeAtOnce},
        {"old-copies", oldCopiesInCachesDoNotLast},
        {"caches-with-own-date", cachesThatSendTheirOwnDate},
        {"different-validators", serversWithDifferentValidatorsAreServedFromOne},
        {"ranges", rangesAreOfOneVersion},
        {"no-ranges", aServerWithoutRanges},
        {"slow", aResponseThatTakesTooLongIsReplacedByParts},
        {"large", aLargeFileWithoutValidatorsIsBrokenOff},
        {"kept-without-date", aPartThatWasKeptWithoutItsDate}};
    assert(count == 2);
    stories.at(arguments[1])();
}
