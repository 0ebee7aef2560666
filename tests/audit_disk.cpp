// Repeatedly kills a process that writes to a disk tier, and checks every part that its successors serve: it
// must be complete, have the right key, and be newer than every purge that applies. The process is this
// program with --child; it reports what it serves over a pipe, and the parent checks it. Purges come from a
// stand-in for the event bus (a file that only the parent writes), both while the child runs and while it is
// down, and from the child itself, which reports its own purges once they are on disk. After a kill some
// bytes that were never synced are removed, as in a power failure.
//
//   audit_disk --kills N --seed S      last line: kills=N served=... torn=... stale=...
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <random>
#include <sstream>
#include <thread>

#include "disk/inspect.hpp"
#include "disk_tier_harness.hpp"

namespace {

using namespace lotuslead;
using namespace lotuslead::disk;

constexpr int kObjects = 60, kParts = 6, kGroups = 9;
constexpr std::int64_t kBusPurgeGraceMs =
    500;  // after this time a published purge must hold, whether or not the child has read it

std::int64_t unixMs() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}
std::int64_t monotonicMs() {
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

std::string nameOf(int object) { return "/files/tool-" + std::to_string(object); }
Key auditKey(int object, int part) { return {nameOf(object), "installer", object % kGroups, part, 65536}; }
// The bodies of any two copies differ in every block.
std::string auditBody(int object, int part, std::int64_t createdMs) {
    std::uint64_t state =
        combine(static_cast<std::uint64_t>(object * kParts + part), static_cast<std::uint64_t>(createdMs));
    std::string body(500 + state % 24'000, '\0');
    for (std::size_t at = 0; at < body.size(); at += 8) {
        state = mix(state + at + 1);
        std::memcpy(&body[at], &state, std::min<std::size_t>(8, body.size() - at));
    }
    return body;
}

// ----- the event bus, as a file: the number up to which events are forgotten, then one event per line -----

struct BusEvent {
    std::int64_t number = 0;
    bool group = false;
    int name = 0;
    std::int64_t atMs = 0;
};

void writeBus(const std::string& path, std::int64_t forgotten, const std::vector<BusEvent>& events) {
    std::ofstream file(path + ".new");
    file << forgotten << "\n";
    for (const BusEvent& e : events)
        if (e.number > forgotten)
            file << e.number << " " << e.group << " " << e.name << " " << e.atMs << "\n";
    file << "end\n";
    file.close();
    std::rename((path + ".new").c_str(), path.c_str());
}

// ----- a slow disk that loses unsynced data in a power failure -----

// The inode of the purge log's file and its size at the last sync.
struct SyncedSize {
    std::uint64_t inode = 0, bytes = 0;
};

class SlowFiles : public FileCalls {
public:
    SlowFiles(const std::string& syncLog, std::uint64_t seed)
        : syncNotesFd_(static_cast<int>(FileCalls::open(syncLog, O_WRONLY | O_CREAT | O_APPEND).bytes)),
          random_(seed) {}

    IoResult open(const std::string& path, int flags) override {
        const IoResult opened = FileCalls::open(path, flags);
        if (opened.error == 0 && path.find("/purges") != std::string::npos)
            log_ = static_cast<int>(opened.bytes);
        return opened;
    }
    IoResult write(int fd, std::span<const char> bytes, std::uint64_t at) override {
        if (fd == log_) pause();
        return FileCalls::write(fd, bytes, at);
    }
    int sync(int fd) override {
        if (fd != log_) return 0;  // segments are never synced here, so any of their data may be lost
        pause();
        struct stat about {};
        ::fstat(fd, &about);
        const SyncedSize synced{about.st_ino, static_cast<std::uint64_t>(about.st_size)};
        (void)!::write(syncNotesFd_, &synced, sizeof synced);
        return 0;
    }

private:
    // Used by the writer thread only.
    void pause() { std::this_thread::sleep_for(std::chrono::microseconds{random_() % 2000}); }

    int syncNotesFd_;
    int log_ = -1;
    std::mt19937_64 random_;
};

// ----- the child -----

class TierProcess {
public:
    TierProcess(const std::string& folder, std::string bus, std::uint64_t seed, bool last)
        : bus_(std::move(bus)),
          random_(seed),
          last_(last),
          calls_(bus_ + ".synced", seed),
          tier_(calls_, options(folder), callbacks()) {}

    int run() {
        std::size_t next = 0;  // next part of the scan over all parts that may be held
        while (true) {
            tier_.turn(now());
            readBus();
            reportPersistedPurges();
            const bool ready = tier_.state() == Tier::State::ready;
            if (ready && !std::exchange(reportedReady_, true)) report("ready");
            const bool scanning = next < kObjects * kParts;
            for (int i = 0; i < 6 && ready; ++i) {
                if (next < kObjects * kParts) {
                    lookUp(static_cast<int>(next) / kParts, static_cast<int>(next) % kParts, true);
                    ++next;
                } else if (!last_) {
                    doRandomWork();
                }
            }
            if (last_ && ready && !scanning && pendingLookups_ == 0) return 0;
            if (::getppid() == 1) return 1;
            pollfd waits{tier_.wakeDescriptor(), POLLIN, 0};
            ::poll(&waits, 1, 1);
        }
    }

private:
    static TierOptions options(const std::string& folder) {
        TierOptions options;
        options.folder = folder;
        options.catalog.capacityBytes = 6 << 20;
        options.catalog.segmentBytes = 256 << 10;
        options.catalog.maxParts = 4096;
        options.worker.queueBytes = 512 << 10;
        options.worker.sync = SyncPolicy::never;
        options.maxTombstones = 40;  // few, so that the watermark is raised now and then
        options.purgeClockSkewMs = 0;
        options.purges = {true, true, 2000};
        return options;
    }
    Tier::Callbacks callbacks() {
        return {[](const std::string&) {}, [this](std::int64_t position) { busPosition_ = position; },
                [](const Metadata&) { return std::uint64_t{0}; }};
    }
    static ClockReading now() { return {monotonicMs(), unixMs()}; }
    void report(const std::string& line) {
        const std::string whole = line + "\n";  // a single write, so that a kill leaves no partial line
        (void)!::write(STDOUT_FILENO, whole.data(), whole.size());
    }

    // The bus is not read before the folder is opened: opening it may send the reader back.
    void readBus() {
        if (tier_.state() == Tier::State::opening) return;
        std::ifstream file(bus_);
        std::int64_t forgotten = 0;
        file >> forgotten;
        std::vector<std::int64_t> numbers;
        std::int64_t last = forgotten;
        BusEvent e;
        while (file >> e.number >> e.group >> e.name >> e.atMs) {
            last = std::max(last, e.number);
            if (e.number <= busPosition_) continue;
            numbers.push_back(e.number);
            e.group ? tier_.purgeGroup(e.name, e.atMs) : tier_.purgeObject(nameOf(e.name), e.atMs);
        }
        const std::int64_t from = std::exchange(busPosition_, std::max(busPosition_, last));
        tier_.busBatchReceived(now(), from, last, numbers);
        if (!numbers.empty()) unacknowledged_ = last;
    }

    void reportPersistedPurges() {
        if (!tier_.purgesPersisted()) return;
        if (unacknowledged_ > 0) report("ack " + std::to_string(std::exchange(unacknowledged_, 0)));
        for (const auto& [object, ms] : std::exchange(ownPurges_, {}))
            report("purged " + std::to_string(object) + " " + std::to_string(ms));
    }

    void lookUp(int object, int part, bool scan) {
        const auto requestedMs = unixMs();
        const auto lookupId =
            tier_.lookUp(now(), auditKey(object, part), 0, [=, this](std::optional<Copy> copy) {
                --pendingLookups_;
                if (copy) {
                    const bool whole = copy->body == auditBody(object, part, copy->createdMs);
                    report(std::string(whole ? "served " : "torn ") + std::to_string(object) + " " +
                           std::to_string(part) + " " + std::to_string(copy->createdMs) + " " +
                           std::to_string(requestedMs));
                } else if (!scan) {
                    fetch(object, part);
                }
            });
        pendingLookups_ += lookupId != 0;
        if (lookupId == 0 && !scan) fetch(object, part);
    }
    void fetch(int object, int part) {
        const std::int64_t createdMs = unixMs();
        tier_.offer(now(), auditKey(object, part), 1 + static_cast<int>(random_() % 2),
                    {createdMs, {{"etag", "\"a\""}}, auditBody(object, part, createdMs)});
    }
    void doRandomWork() {
        const auto object = static_cast<int>(random_() % kObjects);
        const auto part = static_cast<int>(random_() % kParts);
        if (random_() % 400 == 0) {
            ownPurges_.emplace_back(object, unixMs());
            tier_.purgeObject(nameOf(object), ownPurges_.back().second);
        } else if (random_() % 8 == 0) {
            fetch(object, part);  // fetch a newer copy
        } else {
            lookUp(object, part, false);
        }
    }

    std::string bus_;
    std::mt19937_64 random_;
    bool last_;
    std::int64_t busPosition_ = 0, unacknowledged_ = 0;
    std::vector<std::pair<int, std::int64_t>> ownPurges_;
    int pendingLookups_ = 0;
    bool reportedReady_ = false;
    SlowFiles calls_;
    Tier tier_;
};

// ----- the parent -----

class Audit {
public:
    Audit(int kills, std::uint64_t seed, std::string program)
        : kills_(kills), program_(std::move(program)), random_(seed) {}

    int run() {
        for (int i = 0; i < kills_; ++i) {
            runChild(false);
            changeWhileDown();
        }
        runChild(true);
        const bool enough = served_ >= static_cast<std::uint64_t>(kills_) * 20;
        if (!enough) std::printf("too few parts were served for a meaningful result\n");
        std::printf("lives=%d acknowledged=%llu own_purges=%zu bus_gaps=%d damaged=%d unsynced_marks=%d\n",
                    kills_ + 1, static_cast<unsigned long long>(acknowledgements_), childPurges_.size(),
                    busGaps_, damagedSegments_, purgeLogsTruncated_);
        std::printf("kills=%d served=%llu torn=%llu stale=%llu\n", kills_,
                    static_cast<unsigned long long>(served_), static_cast<unsigned long long>(torn_),
                    static_cast<unsigned long long>(stale_));
        return torn_ == 0 && stale_ == 0 && enough ? 0 : 1;
    }

private:
    struct Purge {
        BusEvent event;
        std::int64_t publishedMs = 0;
    };

    void publishPurge() {
        const bool group = random_() % 4 == 0;
        BusEvent e{++lastEvent_, group, static_cast<int>(random_() % (group ? kGroups : kObjects)), unixMs()};
        events_.push_back(e);
        purges_.push_back({e, e.atMs});
        writeBus(bus(), forgotten_, events_);
    }
    std::string bus() const { return folder_.path + "/bus"; }

    void runChild(bool last) {
        int pipes[2];
        if (::pipe(pipes) != 0) std::abort();
        writeBus(bus(), forgotten_, events_);
        childStartedMs_ = unixMs();
        const std::string seed = std::to_string(random_());
        const pid_t pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::dup2(pipes[1], STDOUT_FILENO);
            ::close(pipes[0]);
            ::close(pipes[1]);
            ::execl(program_.c_str(), program_.c_str(), "--child", folder_.tier().c_str(), bus().c_str(),
                    seed.c_str(), last ? "last" : "go", nullptr);
            ::_exit(127);
        }
        ::close(pipes[1]);
        // Some children are killed while they load, within the time that the last load took. The others are
        // killed some time after they are ready and have served a few parts, so that a slow machine tests as
        // much as a fast one.
        const std::int64_t startedMs = monotonicMs();
        const bool diesLoading = random_() % 10 == 0;
        const auto lifeMs = static_cast<std::int64_t>(
            diesLoading ? random_() % static_cast<std::uint64_t>(lastLoadMs_) : 15 + random_() % 110);
        const std::uint64_t enoughServed = served_ + random_() % 80;
        std::int64_t readyMs = 0;
        std::int64_t nextPurge = startedMs + static_cast<std::int64_t>(random_() % 40);
        bool alive = true;
        std::string text;
        while (true) {
            const std::int64_t now = monotonicMs();
            const bool over = diesLoading ? now >= startedMs + lifeMs
                                          : readyMs > 0 && now >= readyMs + lifeMs && served_ >= enoughServed;
            if (alive && !last && over) {
                ::kill(pid, SIGKILL);
                alive = false;
            }
            if (alive && !last && now >= nextPurge) {
                publishPurge();
                nextPurge = now + 5 + static_cast<std::int64_t>(random_() % 60);
            }
            pollfd waits{pipes[0], POLLIN, 0};
            if (::poll(&waits, 1, 1) <= 0) continue;
            char chunk[65536];
            const ssize_t got = ::read(pipes[0], chunk, sizeof chunk);
            if (got <= 0) break;
            text.append(chunk, static_cast<std::size_t>(got));
            for (std::size_t end; (end = text.find('\n')) != std::string::npos; text.erase(0, end + 1)) {
                const std::string line = text.substr(0, end);
                if (line == "ready") {
                    readyMs = monotonicMs();
                    lastLoadMs_ = 1 + readyMs - startedMs;
                } else {
                    checkLine(line);
                }
            }
        }
        ::close(pipes[0]);
        int status = 0;
        ::waitpid(pid, &status, 0);
        if (last ? !WIFEXITED(status) || WEXITSTATUS(status) != 0 : !WIFSIGNALED(status)) {
            std::printf("a child ended without being killed, status %d\n", status);
            ++torn_;
        }
    }

    void checkLine(const std::string& line) {
        std::istringstream fields(line);
        std::string kind;
        fields >> kind;
        if (kind == "ack") {
            fields >> acknowledged_;
            ++acknowledgements_;
        } else if (kind == "purged") {
            int object = 0;
            std::int64_t ms = 0;
            fields >> object >> ms;
            childPurges_.emplace_back(object, ms);
        } else {
            int object = 0, part = 0;
            std::int64_t createdMs = 0, requestedMs = 0;
            fields >> object >> part >> createdMs >> requestedMs;
            ++served_;
            if (kind == "torn") {
                ++torn_;
                std::printf("torn: object %d part %d minted %lld\n", object, part,
                            static_cast<long long>(createdMs));
            }
            checkAge(object, createdMs, requestedMs);
        }
    }
    // Counts the copy as stale if it is older than a purge that was acknowledged, was published before this
    // child started, or was published long enough ago.
    void checkAge(int object, std::int64_t createdMs, std::int64_t requestedMs) {
        const auto stale = [&](const char* by, std::int64_t ms) {
            ++stale_;
            std::printf("stale: object %d minted %lld, %s at %lld\n", object,
                        static_cast<long long>(createdMs), by, static_cast<long long>(ms));
        };
        for (const Purge& purge : purges_) {
            const BusEvent& e = purge.event;
            if ((e.group ? object % kGroups : object) != e.name || createdMs > e.atMs) continue;
            const bool holds = e.number <= acknowledged_ || purge.publishedMs < childStartedMs_ ||
                               purge.publishedMs + kBusPurgeGraceMs <= requestedMs;
            if (holds) return stale("purged by the bus", e.atMs);
        }
        for (const auto& [name, ms] : childPurges_)
            if (name == object && createdMs <= ms) return stale("purged by the process", ms);
    }

    // Changes between a kill and the next start.
    void changeWhileDown() {
        for (auto n = random_() % 3; n > 0; --n) publishPurge();
        // The bus forgets events that were acknowledged, and sometimes later ones as well.
        if (random_() % 2 == 0) forgotten_ = std::max(forgotten_, acknowledged_);
        if (random_() % 25 == 0 && lastEvent_ > acknowledged_) {
            forgotten_ = lastEvent_;
            ++busGaps_;
        }
        std::erase_if(events_, [&](const BusEvent& e) { return e.number <= forgotten_; });
        if (random_() % 3 == 0) damageSegment();
        dropUnsyncedPurges();
        if (random_() % 5 == 0)  // a partial entry at the end of the purge log
            std::ofstream(folder_.tier() + "/purges", std::ios::app | std::ios::binary) << "LLM1";
    }
    // Simulates a power failure: truncates the purge log to its synced size.
    void dropUnsyncedPurges() {
        const std::string log = folder_.tier() + "/purges";
        struct stat about {};
        if (::stat(log.c_str(), &about) != 0) return;
        std::uint64_t kept = 0;
        std::ifstream syncLog(bus() + ".synced", std::ios::binary);
        for (SyncedSize one; syncLog.read(reinterpret_cast<char*>(&one), sizeof one);)
            if (one.inode == about.st_ino) kept = one.bytes;
        if (static_cast<std::uint64_t>(about.st_size) <= kept) return;
        std::filesystem::resize_file(log, kept);
        ++purgeLogsTruncated_;
    }
    // Segments are never synced here, so any of their bytes may be lost: zeroed, or cut off at the end.
    void damageSegment() {
        std::vector<std::string> segments;
        for (const char* end : {".main", ".probation"})
            for (const std::string& path : folder_.files(end)) segments.push_back(path);
        if (segments.empty()) return;
        const std::string path = segments[random_() % segments.size()];
        const std::uint64_t size = std::filesystem::file_size(path);
        if (size < 8192) return;
        ++damagedSegments_;
        if (random_() % 3 == 0) {
            std::filesystem::resize_file(path, random_() % size);
        } else {
            std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
            file.seekp(static_cast<std::streamoff>(random_() % (size / 4096) * 4096));
            file.write(std::string(4096, '\0').data(), 4096);
        }
    }

    int kills_;
    std::string program_;
    std::mt19937_64 random_;
    TemporaryFolder folder_;
    std::vector<BusEvent> events_;
    std::vector<Purge> purges_;
    std::vector<std::pair<int, std::int64_t>> childPurges_;
    std::int64_t lastEvent_ = 0, forgotten_ = 0, acknowledged_ = 0, childStartedMs_ = 0;
    std::int64_t lastLoadMs_ = 15;  // time from the last start to ready
    std::uint64_t served_ = 0, torn_ = 0, stale_ = 0, acknowledgements_ = 0;
    int busGaps_ = 0, damagedSegments_ = 0, purgeLogsTruncated_ = 0;
};

}  // namespace

int main(int argumentCount, char** arguments) {
    const std::vector<std::string> all(arguments, arguments + argumentCount);
    if (all.size() == 6 && all[1] == "--child")
        return TierProcess(all[2], all[3], std::strtoull(all[4].c_str(), nullptr, 10), all[5] == "last")
            .run();
    int kills = 0;
    std::uint64_t seed = 0;
    for (std::size_t i = 1; i + 1 < all.size(); i += 2) {
        if (all[i] == "--kills") kills = std::atoi(all[i + 1].c_str());
        if (all[i] == "--seed") seed = std::strtoull(all[i + 1].c_str(), nullptr, 10);
    }
    if (kills <= 0) {
        std::fprintf(stderr, "audit_disk --kills N --seed S\n");
        return 2;
    }
    return Audit(kills, seed, "/proc/self/exe").run();
}
