#include "service.hpp"

#include <string_view>

#include "../support/hash.hpp"

namespace lotuslead::repository {

namespace {

std::string factOf(const disk::Facts& facts, std::string_view name) {
    for (const auto& [key, value] : facts)
        if (key == name) return value;
    return {};
}

// Whole answers, and the very part that was asked for: a server that knows no ranges sends all of a file.
bool storable(const disk::Key& key, const core::Payload& payload) {
    const std::string status = factOf(payload.facts, kStatus);
    const bool inParts = key.variant != 0;
    if (status == "200") return !inParts || key.part == 0;
    if (status != "206" || !inParts) return false;
    return factOf(payload.facts, kFirst) ==
           std::to_string(static_cast<std::uint64_t>(key.part) * key.variant);
}

// What the front compares before it joins two parts.
std::uint64_t versionOf(const disk::Facts& facts) {
    return fingerprint(factOf(facts, "etag") + "\n" + factOf(facts, kTotal));
}

}  // namespace

Service::Service(net::Loop& loop, Source source)
    : FrontService(loop, std::move(source), "repository front", core::Requests::PurgedMeanwhile::fetchAnew,
                   {storable, versionOf, nullptr, true}) {}

void Service::printOwnCounters(const std::string& name) const {
    const auto& f = front_.counters();
    const auto& u = carrier_.counters();
    core::printFigures(name, "repository",
                       {{"connections", f.connections},
                        {"turned_away", f.turnedAway},
                        {"indexes", f.indexes},
                        {"files", f.files},
                        {"bad_requests", f.badRequests},
                        {"not_found", f.notFound},
                        {"refused", f.refused},
                        {"upstream_failed", f.upstreamFailed},
                        {"late", f.late},
                        {"broken_off", f.brokenOff},
                        {"drained", f.drained},
                        {"closed_idle", f.closedIdle},
                        {"half_requests", f.halfRequests}});
    core::printFigures(name, "upstreams",
                       {{"connects", u.connects},
                        {"connect_failures", u.connectFailures},
                        {"resets", u.resets},
                        {"malformed", u.malformed},
                        {"too_old", u.tooOld},
                        {"held_back", u.heldBack}});
}

}  // namespace lotuslead::repository
