// Hit ratios on synthetic traces, with a simulated disk: Zipf popularity, scans of large installers, one-off
// objects, drift.
#include <cmath>
#include <cstdio>
#include <list>
#include <random>
#include <unordered_map>
#include <vector>

#include "disk.hpp"
#include "simulated_disk.hpp"
#include "support/lru_map.hpp"

namespace lotuslead::bench {

namespace {

using namespace lotuslead::disk;

constexpr std::uint64_t kCapacityBytes = std::uint64_t{1} << 30;
constexpr std::size_t kFilterObjects = 20'000;  // objects that the decision module's LRU filter remembers

struct TraceRequest {
    std::uint64_t part = 0, object = 0;
    std::uint32_t bytes = 0;
};

// A small version of the decision module's filter: an object that it does not know gets rank zero.
class RankFilter {
public:
    int of(std::uint64_t object) {
        const auto [record, found] = filter_.touch(object);
        return found ? 1 : 0;
    }

private:
    LruMap<std::uint64_t, char> filter_{kFilterObjects};
};

class Lru {
public:
    virtual ~Lru() = default;
    bool request(const TraceRequest& a, int rank) {
        touched(a.part);
        const auto found = index_.find(a.part);
        if (found != index_.end()) {
            order_.splice(order_.begin(), order_, found->second);
            return true;
        }
        if (rank <= 0 || !admits(a)) return false;
        order_.push_front(a);
        index_[a.part] = order_.begin();
        bytes_ += a.bytes;
        while (bytes_ > kCapacityBytes) {
            bytes_ -= order_.back().bytes;
            index_.erase(order_.back().part);
            order_.pop_back();
        }
        return false;
    }

protected:
    virtual void touched(std::uint64_t) {}
    virtual bool admits(const TraceRequest&) { return true; }
    bool full(std::uint32_t bytes) const { return bytes_ + bytes > kCapacityBytes; }
    const TraceRequest& victim() const { return order_.back(); }

private:
    std::list<TraceRequest> order_;
    std::unordered_map<std::uint64_t, std::list<TraceRequest>::iterator> index_;
    std::uint64_t bytes_ = 0;
};

// A new part must be more popular than the one that would be evicted for it (TinyLFU, 3.1).
class TinyLfu : public Lru {
    void touched(std::uint64_t part) override { sketch_.add(part); }
    bool admits(const TraceRequest& a) override {
        return !full(a.bytes) || sketch_.estimate(a.part) > sketch_.estimate(victim().part);
    }
    FrequencySketch sketch_{1 << 16};
};

std::vector<TraceRequest> trace(bool scans, bool oneOff, bool drift, std::uint64_t seed) {
    constexpr std::size_t kObjects = 30'000, kRequests = 1'500'000;
    std::vector<double> cumulativeWeight(kObjects);
    double sum = 0;
    for (std::size_t i = 0; i < kObjects; ++i)
        cumulativeWeight[i] = sum += 1 / std::pow(static_cast<double>(i + 1), 0.9);
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::vector<TraceRequest> all;
    std::uint64_t fresh = 1;
    while (all.size() < kRequests) {
        const double kind = uniform(random);
        if (scans && kind < 0.0005) {  // one client downloads one large installer once
            const std::uint64_t object = mix(0xabcdef + ++fresh);
            for (std::uint64_t part = 0; part < 1000; ++part)
                all.push_back({combine(object, part), object, 256 << 10});
        } else if (oneOff && kind < 0.3) {
            const std::uint64_t object = mix(0x123456 + ++fresh);
            all.push_back({combine(object, 0), object, 64 << 10});
        } else {
            auto i = static_cast<std::uint64_t>(
                std::lower_bound(cumulativeWeight.begin(), cumulativeWeight.end(), uniform(random) * sum) -
                cumulativeWeight.begin());
            if (drift)
                i = (i + all.size() / 50) % kObjects;  // every 50 requests another object is the most popular
            const std::uint64_t object = mix(i + 1);
            const std::uint64_t part = random() % (1 + object % 8);
            all.push_back(
                {combine(object, part), object, static_cast<std::uint32_t>(16'000 + object % 100'000)});
        }
    }
    return all;
}

template <class Cache>
double ratio(const std::vector<TraceRequest>& trace, bool filtered, Cache request) {
    RankFilter ranks;
    std::size_t hits = 0, counted = 0, number = 0;
    for (const TraceRequest& a : trace) {
        const int rank = ranks.of(a.object);
        const bool hit = request(a, filtered ? rank : 1);
        if (++number <= trace.size() / 3) continue;  // warm-up
        ++counted;
        hits += hit;
    }
    return static_cast<double>(hits) / static_cast<double>(counted);
}

}  // namespace

void benchHitRatios() {
    std::printf("hit ratio at 1 GiB (ratio to plain LRU), bytes written for a byte admitted\n");
    std::printf("%-22s %8s %16s %16s %22s %22s %22s\n", "trace", "LRU", "LRU+filter", "TinyLFU+filter",
                "segments plain", "segments ghost", "segments sketch");
    const struct {
        const char* name;
        bool scans, oneOff, drift;
    } traces[] = {{"zipf", false, false, false},
                  {"zipf+scans", true, false, false},
                  {"zipf+one-off", false, true, false},
                  {"zipf+drift", false, false, true},
                  {"zipf+scans+one-off", true, true, false}};
    for (const auto& kind : traces) {
        const auto all = trace(kind.scans, kind.oneOff, kind.drift, 17);
        Lru lru, filtered;
        TinyLfu tiny;
        const double base =
            ratio(all, false, [&](const TraceRequest& a, int rank) { return lru.request(a, rank); });
        std::printf("%-22s %8.4f", kind.name, base);
        const auto show = [&](double r) { std::printf("  %.4f (%.3f)", r, r / base); };
        show(ratio(all, true, [&](const TraceRequest& a, int rank) { return filtered.request(a, rank); }));
        show(ratio(all, true, [&](const TraceRequest& a, int rank) { return tiny.request(a, rank); }));
        for (const AdmissionHistory admissionHistory :
             {AdmissionHistory::none, AdmissionHistory::ghost, AdmissionHistory::sketch}) {
            SegmentCatalogOptions options;
            options.capacityBytes = kCapacityBytes;
            options.segmentBytes = 16 << 20;
            options.maxParts = 1 << 16;
            options.admissionHistory = admissionHistory;
            SimulatedDisk disk(options);
            show(ratio(all, true,
                       [&](const TraceRequest& a, int rank) { return disk.request(a.part, rank, a.bytes); }));
            std::printf(" %.2f", static_cast<double>(disk.written) /
                                     static_cast<double>(disk.catalog.counters().admittedBytes));
        }
        std::printf("\n");
    }
}

}  // namespace lotuslead::bench
