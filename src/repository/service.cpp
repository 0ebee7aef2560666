#include "service.hpp"

namespace lotuslead::repository {

Service::Service(net::Loop& loop, Source source)
    : FrontService(loop, std::move(source), "repository front", core::Requests::PurgedMeanwhile::fetchAnew) {}

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
