// Helpers for tests of the disk tier with real files and threads. The test sets the time, and every file
// system call can be made to fail. Waits end with an event of the tier; their time limit only ends a test
// that has failed.
#pragma once

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <condition_variable>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "disk/tier.hpp"

namespace lotuslead::disk {

// Injects faults into calls on files whose path contains a given text.
class FaultyFiles : public FileCalls {
public:
    struct Faults {
        int write = 0, read = 0, sync = 0, open = 0, truncate = 0;  // an errno value; zero: no fault
        std::size_t writeAtMost = 0;                                // largest write in bytes; zero: no limit
        long writesUntilFault = 0;                                  // writes that succeed before the fault
        bool holdWrites = false;                                    // blocks writes until it is cleared
    };
    void set(const std::string& names, const Faults& faults) {
        const std::lock_guard lock(mutex_);
        faults_[names] = faults;
        changed_.notify_all();
    }
    // Makes each sync of a folder, but not of a file, fail with this errno; zero: no fault.
    void failFolderSyncs(int error) {
        const std::lock_guard lock(mutex_);
        folderSync_ = error;
    }
    int failedFolderSyncs() {
        const std::lock_guard lock(mutex_);
        return failedFolderSyncs_;
    }
    void clear() {
        const std::lock_guard lock(mutex_);
        folderSync_ = 0;
        faults_.clear();
        changed_.notify_all();
    }

    IoResult open(const std::string& path, int flags) override {
        {
            const std::lock_guard lock(mutex_);
            if (Faults* f = of(path); f && f->open) return {0, f->open};
        }
        const IoResult opened = FileCalls::open(path, flags);
        if (opened.error == 0) {
            const std::lock_guard lock(mutex_);
            paths_[static_cast<int>(opened.bytes)] = path;
            folders_.erase(static_cast<int>(opened.bytes));
            if ((flags & O_DIRECTORY) != 0) folders_.insert(static_cast<int>(opened.bytes));
        }
        return opened;
    }
    IoResult write(int fd, std::span<const char> bytes, std::uint64_t at) override {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [&] {
            const Faults* f = of(paths_[fd]);
            return !f || !f->holdWrites;
        });
        if (Faults* f = of(paths_[fd])) {
            if (f->write && f->writesUntilFault-- <= 0) return {0, f->write};
            if (f->writeAtMost) bytes = bytes.first(std::min(bytes.size(), f->writeAtMost));
        }
        lock.unlock();
        return FileCalls::write(fd, bytes, at);
    }
    IoResult read(int fd, std::span<char> bytes, std::uint64_t at) override {
        {
            const std::lock_guard lock(mutex_);
            if (Faults* f = of(paths_[fd]); f && f->read) return {0, f->read};
        }
        return FileCalls::read(fd, bytes, at);
    }
    int sync(int fd) override {
        const std::lock_guard lock(mutex_);
        if (folderSync_ != 0 && folders_.count(fd) > 0) {
            ++failedFolderSyncs_;
            return folderSync_;
        }
        if (Faults* f = of(paths_[fd]); f && f->sync) return f->sync;
        return 0;  // no sync needed: these tests never lose the page cache
    }
    int truncate(int fd, std::uint64_t size) override {
        {
            const std::lock_guard lock(mutex_);
            if (Faults* f = of(paths_[fd]); f && f->truncate) return f->truncate;
        }
        return FileCalls::truncate(fd, size);
    }

private:
    Faults* of(const std::string& path) {
        for (auto& [names, faults] : faults_)
            if (path.find(names) != std::string::npos) return &faults;
        return nullptr;
    }
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Faults> faults_;
    std::map<int, std::string> paths_;
    std::set<int> folders_;
    int folderSync_ = 0, failedFolderSyncs_ = 0;
};

class TemporaryFolder {
public:
    TemporaryFolder() {
        char name[] = "/tmp/lotuslead-tier-XXXXXX";
        path = ::mkdtemp(name);
    }
    ~TemporaryFolder() { std::filesystem::remove_all(path); }
    std::string tier() const { return path + "/tier"; }
    std::vector<std::string> files(const std::string& end) const {
        std::vector<std::string> found;
        for (const auto& entry : std::filesystem::directory_iterator(tier()))
            if (entry.path().string().ends_with(end)) found.push_back(entry.path());
        std::sort(found.begin(), found.end());
        return found;
    }
    std::uint64_t bytes() const {
        std::uint64_t all = 0;
        for (const char* end : {".main", ".probation"})
            for (const std::string& file : files(end)) all += std::filesystem::file_size(file);
        return all;
    }
    std::string path;
};

inline TierOptions optionsFor(const TemporaryFolder& folder) {
    TierOptions options;
    options.folder = folder.tier();
    options.catalog.capacityBytes = 4 << 20;
    options.catalog.segmentBytes = 128 << 10;
    options.catalog.maxParts = 4096;
    options.worker.queueBytes = 1 << 20;
    options.purgeClockSkewMs = 0;
    options.purges = {false, true, 2000};
    return options;
}

inline Key keyOf(int i) { return {"/files/" + std::to_string(i), "installer", i % 7, 3, 65536}; }
inline std::string bodyOf(int i, std::int64_t createdMs) {
    std::string body(2000 + static_cast<std::size_t>(i) * 37 % 3000, '\0');
    std::uint64_t state = static_cast<std::uint64_t>(i) * 1'000'003 + static_cast<std::uint64_t>(createdMs);
    for (char& byte : body) byte = static_cast<char>(state = mix(state + 1));
    return body;
}

// A tier, with an event loop and clocks that the test drives.
class TierHarness {
public:
    explicit TierHarness(const TierOptions& options, FileCalls* calls = nullptr, bool awaitReady = true)
        : tier(calls ? *calls : realFiles_, options,
               {[this](const std::string& line) { logLines.push_back(line); },
                [this](std::int64_t position) { resumeBusFrom = position; },
                [](const Metadata&) { return std::uint64_t{0}; }}) {
        if (awaitReady) turnUntil([&] { return tier.state() == Tier::State::ready; });
    }
    bool turnUntil(const std::function<bool()>& done) {
        for (int i = 0; i < 2000; ++i) {
            tier.turn(now);
            if (done()) return true;
            pollfd waits{tier.wakeDescriptor(), POLLIN, 0};
            ::poll(&waits, 1, 10);
        }
        return done();
    }
    bool store(int i, std::int64_t createdMs, int rank = 1) {
        const auto before = tier.catalog().counters().admitted;
        tier.offer(now, keyOf(i), rank, {createdMs, {{"etag", "v"}}, bodyOf(i, createdMs)});
        return tier.catalog().counters().admitted > before &&
               turnUntil([&] { return tier.queuedBytes() == 0; }) &&
               tier.catalog().contains(keyOf(i).fingerprint());
    }
    std::optional<Copy> load(int i, std::int64_t maxCopyAgeMs = 0) {
        std::optional<Copy> result;
        bool completed = false;
        const auto lookupId = tier.lookUp(now, keyOf(i), maxCopyAgeMs, [&](std::optional<Copy> copy) {
            completed = true;
            result = std::move(copy);
        });
        if (lookupId != 0) turnUntil([&] { return completed; });
        return result;
    }
    // Whether the tier serves this copy with the same bytes.
    bool has(int i, std::int64_t createdMs) {
        const auto copy = load(i);
        return copy && copy->createdMs == createdMs && copy->body == bodyOf(i, createdMs);
    }
    bool logged(const std::string& text) const {
        for (const std::string& line : logLines)
            if (line.find(text) != std::string::npos) return true;
        return false;
    }

    std::vector<std::string> logLines;
    std::optional<std::int64_t> resumeBusFrom;
    ClockReading now{10'000, 1'000'000};

private:
    FileCalls realFiles_;

public:
    Tier tier;
};

}  // namespace lotuslead::disk
