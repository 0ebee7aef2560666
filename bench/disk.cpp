// Benchmark of the disk tier: bench_disk [hits|lookups|reads|recovery|turns ...]; runs all sections without
// arguments.
#include "disk.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "disk_tier_harness.hpp"
#ifdef LOTUSLEAD_LMDB
#include <lmdb.h>
#endif

namespace lotuslead::bench {

namespace {

using namespace lotuslead::disk;
using Clock = std::chrono::steady_clock;

double secondsFor(const std::function<void()>& work) {
    const auto begin = Clock::now();
    work();
    return std::chrono::duration<double>(Clock::now() - begin).count();
}

std::string textKey(std::uint64_t i) {
    return "/files/tool-" + std::to_string(i / 32) + "#" + std::to_string(i % 32);
}

// ----- index lookups -----

void benchLookups() {
    constexpr std::uint64_t kParts = 1'000'000, kLookups = 4'000'000;
    std::printf("lookups a second among 1,000,000 parts, random order\n");
    PartIndex index(kParts);
    std::unordered_map<std::string, Part> plain;
    for (std::uint64_t i = 0; i < kParts; ++i) {
        Part part;
        part.fingerprint = lotuslead::fingerprint(textKey(i));
        (void)index.insert(part);
        plain.emplace(textKey(i), part);
    }
    std::vector<std::uint64_t> order(kLookups);
    std::vector<std::string> names(kLookups);
    for (std::uint64_t i = 0; i < kLookups; ++i) {
        order[i] = mix(i) % kParts;
        names[i] = textKey(order[i]);
    }
    std::uint64_t found = 0;
    const double map = secondsFor([&] {
        for (const auto& name : names) found += plain.count(name);
    });
    // Includes the computation of the fingerprint, which each request pays for.
    const double ours = secondsFor([&] {
        for (const auto& name : names) found += index.find(lotuslead::fingerprint(name)) != PartIndex::kNone;
    });
    std::printf("  unordered_map of names %10.0f (1.00)\n", kLookups / map);
    std::printf("  index                  %10.0f (%.2f), %.1f bytes a part\n", kLookups / ours, map / ours,
                static_cast<double>(index.memoryBytes()) / kParts);
#ifdef LOTUSLEAD_LMDB
    TemporaryFolder folder;
    MDB_env* env = nullptr;
    MDB_txn* txn = nullptr;
    MDB_dbi db = 0;
    mdb_env_create(&env);
    mdb_env_set_mapsize(env, std::size_t{1} << 30);
    if (mdb_env_open(env, folder.path.c_str(), MDB_NOSYNC, 0640) != 0) return;
    mdb_txn_begin(env, nullptr, 0, &txn);
    mdb_dbi_open(txn, nullptr, 0, &db);
    RecordLocation location;
    for (std::uint64_t i = 0; i < kParts; ++i) {
        std::string name = textKey(i);
        MDB_val key{name.size(), name.data()}, value{sizeof location, &location};
        mdb_put(txn, db, &key, &value, 0);
    }
    mdb_txn_commit(txn);
    mdb_txn_begin(env, nullptr, MDB_RDONLY, &txn);
    const double lmdb = secondsFor([&] {
        for (auto& name : names) {
            MDB_val key{name.size(), name.data()}, value{};
            found += mdb_get(txn, db, &key, &value) == 0;
        }
    });
    mdb_txn_abort(txn);
    mdb_env_close(env);
    std::printf("  LMDB, mapped, cached   %10.0f (%.2f)\n", kLookups / lmdb, map / lmdb);
#endif
    if (found < 2 * kLookups) std::printf("  lookups failed\n");
}

// ----- reads and writes of parts -----

Copy copyOf(std::uint64_t i, std::size_t bytes) {
    Copy copy{1000, {{"etag", "\"v1\""}, {"status", "206"}}, std::string(bytes, '\0')};
    std::uint64_t state = i;
    for (std::size_t at = 0; at + 8 <= bytes; at += 8) {
        state = state * 6364136223846793005ULL + 1;
        std::memcpy(&copy.body[at], &state, 8);
    }
    return copy;
}
Key benchKey(std::uint64_t i) {
    return {"/files/tool-" + std::to_string(i / 32), "installer", 1, static_cast<std::int64_t>(i % 32),
            65536};
}

TierOptions benchOptions(const TemporaryFolder& folder, std::uint64_t capacity, std::size_t parts) {
    TierOptions options = optionsFor(folder);
    options.catalog.capacityBytes = capacity;
    options.catalog.segmentBytes = 64 << 20;
    options.catalog.maxParts = parts;
    options.worker.queueBytes = 32 << 20;
    options.worker.maxQueuedReads = 64;
    return options;
}

void fill(TierHarness& harness, std::uint64_t parts, std::size_t bytes) {
    for (std::uint64_t i = 0; i < parts; ++i) {
        while (harness.tier.queuedBytes() > (24U << 20)) {
            harness.tier.turn(harness.now);
            ::usleep(200);
        }
        harness.tier.offer(harness.now, benchKey(i), 1, copyOf(i, bytes));
        if (i % 64 == 0) harness.tier.turn(harness.now);
    }
    harness.turnUntil([&] { return harness.tier.queuedBytes() == 0; });
}

void benchReads() {
    constexpr std::uint64_t kParts = 4000, kReads = 20'000;
    constexpr std::size_t kBytes = 64 * 1024;
    std::printf("parts of 64 KB a second, in the page cache\n");
    TemporaryFolder folder, files;
    TierHarness harness(benchOptions(folder, std::uint64_t{4} << 30, 65536));
    const double filled = secondsFor([&] { fill(harness, kParts, kBytes); });
    const double wrote = secondsFor([&] {
        for (std::uint64_t i = 0; i < kParts; ++i) {
            const std::string path = files.path + "/" + std::to_string(i);
            std::ofstream(path + ".new", std::ios::binary) << copyOf(i, kBytes).body;
            std::rename((path + ".new").c_str(), path.c_str());
        }
    });
    std::uint64_t bytes = 0;
    const double plain = secondsFor([&] {
        std::string body(kBytes, '\0');
        for (std::uint64_t i = 0; i < kReads; ++i) {
            std::ifstream file(files.path + "/" + std::to_string(mix(i) % kParts), std::ios::binary);
            file.read(body.data(), static_cast<std::streamsize>(kBytes));
            bytes += static_cast<std::uint64_t>(file.gcount());
        }
    });
    std::uint64_t done = 0, asked = 0;
    const double ours = secondsFor([&] {
        while (done < kReads) {
            while (asked < kReads && asked - done < 32) {
                const auto lookupId = harness.tier.lookUp(harness.now, benchKey(mix(asked) % kParts), 0,
                                                          [&](std::optional<Copy> copy) {
                                                              ++done;
                                                              bytes += copy ? copy->body.size() : 0;
                                                          });
                ++asked;
                done += lookupId == 0;
            }
            pollfd waits{harness.tier.wakeDescriptor(), POLLIN, 0};
            ::poll(&waits, 1, 100);
            harness.tier.turn(harness.now);
        }
    });
    std::printf("  write: one file a part %8.0f (1.00), tier %8.0f (%.2f)\n", kParts / wrote, kParts / filled,
                wrote / filled);
    std::printf("  read:  one file a part %8.0f (1.00), tier %8.0f (%.2f), each with its checksum\n",
                kReads / plain, kReads / ours, plain / ours);
    if (bytes != 2 * kReads * kBytes) std::printf("  some reads were misses\n");
}

// ----- recovery -----

void benchRecovery() {
    std::printf("seconds until all parts are served after a start\n");
    for (const std::uint64_t parts : {std::uint64_t{100'000}, std::uint64_t{1'000'000}}) {
        TemporaryFolder folder;
        TierOptions options = benchOptions(folder, std::uint64_t{8} << 30, parts + parts / 4);
        {
            TierHarness harness(options);
            fill(harness, parts, 1000);
        }
        const auto start = [&](bool tables) {
            options.worker.tables = tables;
            std::size_t found = 0;
            const double seconds = secondsFor([&] {
                TierHarness harness(options);
                found = harness.tier.catalog().parts();
            });
            if (found != parts)
                std::printf("  only %zu of %llu parts came back\n", found,
                            static_cast<unsigned long long>(parts));
            return seconds;
        };
        const double scanned = start(false), loaded = start(true);
        std::printf("  %8llu parts: walked %.3f s (1.00), by tables %.3f s (%.3f)\n",
                    static_cast<unsigned long long>(parts), scanned, loaded, loaded / scanned);
    }
}

// ----- a turn of the event loop while the writer is saturated -----

void benchTurns() {
    constexpr int kTurns = 20'000;
    constexpr std::size_t kBytes = 64 * 1024;
    std::printf("one turn of the loop (offer a part of 64 KB, look one up), microseconds\n");
    TemporaryFolder folder, files;
    std::vector<double> ours, plain;
    const Copy copy = copyOf(1, kBytes);
    {
        TierHarness harness(benchOptions(folder, std::uint64_t{1} << 30, 65536));
        for (int i = 0; i < kTurns; ++i)
            ours.push_back(1e6 * secondsFor([&] {
                               harness.tier.offer(harness.now, benchKey(static_cast<std::uint64_t>(i)), 1,
                                                  copy);
                               (void)harness.tier.lookUp(harness.now,
                                                         benchKey(mix(static_cast<std::uint64_t>(i)) % 1000),
                                                         0, [](std::optional<Copy>) {});
                               harness.tier.turn(harness.now);
                           }));
        std::printf("  offered %d, dropped as the queue was full %llu\n", kTurns,
                    static_cast<unsigned long long>(harness.tier.counters().writeQueueFull));
    }
    for (int i = 0; i < kTurns / 10; ++i)
        plain.push_back(1e6 * secondsFor([&] {
                            const std::string path = files.path + "/" + std::to_string(i);
                            FileCalls calls;
                            const File file(static_cast<int>(calls.open(path, O_RDWR | O_CREAT).bytes));
                            (void)writeAll(calls, file.get(), copy.body, 0);
                            (void)calls.sync(file.get());
                        }));
    const auto at = [](std::vector<double>& all, double share) {
        std::sort(all.begin(), all.end());
        return all[std::min(all.size() - 1,
                            static_cast<std::size_t>(share * static_cast<double>(all.size())))];
    };
    const double plainHigh = at(plain, 0.99), oursHigh = at(ours, 0.99);
    std::printf("  synced file a part on the loop: p50 %8.1f p99 %8.1f max %8.1f (1.000)\n", at(plain, 0.5),
                plainHigh, plain.back());
    std::printf("  tier, writer saturated:         p50 %8.1f p99 %8.1f max %8.1f (%.4f at p99)\n",
                at(ours, 0.5), oursHigh, ours.back(), oursHigh / plainHigh);
}

}  // namespace

}  // namespace lotuslead::bench

int main(int argumentCount, char** arguments) {
    using namespace lotuslead::bench;
    const std::vector<std::pair<std::string, void (*)()>> parts{{"hits", benchHitRatios},
                                                                {"lookups", benchLookups},
                                                                {"reads", benchReads},
                                                                {"recovery", benchRecovery},
                                                                {"turns", benchTurns}};
    for (const auto& [name, run] : parts) {
        bool wanted = argumentCount == 1;
        for (int i = 1; i < argumentCount; ++i) wanted = wanted || name == arguments[i];
        if (wanted) run();
        std::fflush(stdout);
    }
}
