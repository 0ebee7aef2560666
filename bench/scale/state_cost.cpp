#include "state_cost.hpp"

#include <unistd.h>

#include <algorithm>

#include "config/store.hpp"
#include "scale_measures.hpp"

namespace lotuslead::scale {

namespace {

constexpr std::int64_t kStartMs = 1'764'576'000'000, kPurgeIntervalMs = 77;  // 13 purges per second

std::string purgeCommand(std::size_t number) {
    const std::int64_t atMs = kStartMs + static_cast<std::int64_t>(number) * kPurgeIntervalMs;
    config::Command command;
    command.transaction.atMs = atMs;
    command.transaction.changes = {
        {"purges/object/scale-purge-" + std::to_string(number), nlohmann::json{{"ts", atMs}}}};
    return config::encode(command);
}

std::string storeCommand(std::size_t number) {
    config::Command command;
    command.transaction.atMs = kStartMs;
    command.transaction.changes = {{"boxes/store-" + std::to_string(number),
                                    nlohmann::json{{"address", "127.0.0.1:1"}, {"type", "small"}}}};
    return config::encode(command);
}

double msSince(std::int64_t beginUs) { return static_cast<double>(monotonicUs() - beginUs) / 1000; }

}  // namespace

StateCost measureStateCost(std::size_t purges, std::size_t stores) {
    StateCost cost;
    cost.purges = purges;
    const std::int64_t residentKb = usageOf(::getpid()).residentKb;
    config::Store store;
    for (std::size_t i = 0; i < stores; ++i) store.apply(storeCommand(i));
    double sumMs = 0;
    for (std::size_t i = 0; i < purges; ++i) {
        const std::string command = purgeCommand(i);
        const std::int64_t begin = monotonicUs();
        store.apply(command);
        const double ms = msSince(begin);
        sumMs += ms;
        cost.worstApplyMs = std::max(cost.worstApplyMs, ms);
    }
    cost.applyUs = sumMs * 1000 / static_cast<double>(purges);
    cost.residentMb = static_cast<double>(usageOf(::getpid()).residentKb - residentKb) / 1024;
    std::int64_t begin = monotonicUs();
    const std::string snapshot = store.dump();
    cost.dumpMs = msSince(begin);
    cost.snapshotMb = static_cast<double>(snapshot.size()) / 1e6;
    config::Store other;
    begin = monotonicUs();
    other.load(snapshot);
    cost.loadMs = msSince(begin);
    begin = monotonicUs();
    (void)store.eventLog().read(store.lastEvent() - 2 * config::EventLog::kPageEvents);
    cost.pageMs = msSince(begin);
    return cost;
}

}  // namespace lotuslead::scale
