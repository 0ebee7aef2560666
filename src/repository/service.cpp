#include "service.hpp"

#include <string_view>

#include "../support/hash.hpp"
#include "validators.hpp"

namespace lotuslead::repository {

using core::findMetadata;

namespace {

// Only complete responses for the requested part can be stored: a server without support for ranges sends the
// whole file. A part without a strong validator could not be joined with any other.
bool storable(const disk::Key& key, const core::Payload& payload) {
    const std::string status = findMetadata(payload.metadata, kStatus);
    const bool inParts = key.variant != 0;
    if (status == "200") return !inParts || key.part == 0;
    if (status != "206" || !inParts) return false;
    const bool wholeFile = findMetadata(payload.metadata, kTotal) == std::to_string(payload.body.size());
    if (!wholeFile && !Validators::of(payload.metadata).isStrong()) return false;
    return findMetadata(payload.metadata, kFirst) ==
           std::to_string(static_cast<std::uint64_t>(key.part) * key.variant);
}

// Equal only for parts that may be joined; zero without a strong validator.
std::uint64_t versionOf(const disk::Metadata& metadata) {
    const Validators validators = Validators::of(metadata);
    if (!validators.isStrong()) return 0;
    const std::string& version = validators.hasStrongTag() ? validators.etag : validators.lastModified;
    return fingerprint(version + "\n" + findMetadata(metadata, kTotal));
}

}  // namespace

Service::Service(net::Loop& loop, Source source)
    : FrontService(loop, std::move(source), "repository front",
                   core::RequestDispatcher::PurgeDuringFetch::refetch, {storable, versionOf, nullptr, true}) {
    front_.setDropCopies([this](const std::string& path) { dropCopies(path); });
}

void Service::printFrontCounters(const std::string& name) const {
    const auto& f = front_.counters();
    const auto& u = transport_.counters();
    core::printCounterLine(name, "repository",
                           {{"connections", f.connections},
                            {"turned_away", f.rejectedConnections},
                            {"indexes", f.indexes},
                            {"files", f.files},
                            {"bad_requests", f.badRequests},
                            {"not_found", f.notFound},
                            {"refused", f.refused},
                            {"upstream_failed", f.upstreamFailed},
                            {"late", f.late},
                            {"broken_off", f.truncatedResponses},
                            {"other_version", f.otherVersions},
                            {"single_response", f.singleResponses},
                            {"drained", f.drained},
                            {"closed_idle", f.closedIdle},
                            {"half_requests", f.closedMidRequest}});
    core::printCounterLine(name, "upstreams",
                           {{"connects", u.connects},
                            {"connect_failures", u.connectFailures},
                            {"resets", u.resets},
                            {"malformed", u.malformed},
                            {"too_old", u.tooOld},
                            {"held_back", u.notBegun}});
}

}  // namespace lotuslead::repository
