#include "service.hpp"

#include <algorithm>

namespace lotuslead::repository {

Service::Service(net::Loop& loop, settings::RepositoryConfiguration configuration)
    : loop_(loop),
      configuration_(std::move(configuration)),
      upstreams_(loop_, configuration_),
      decisions_(configuration_.base.words, configuration_.base.seed, loop_.now(),
                 core::unixAhead(loop_.now())),
      requests_(decisions_, upstreams_, core::Requests::PurgedMeanwhile::fetchAnew),
      front_(loop_, requests_, configuration_) {
    upstreams_.listen({[this](RequestId request, int attempt) { return requests_.holds(request, attempt); },
                       [this](core::AttemptEnd end) { requests_.ended(loop_.now(), std::move(end)); }});
}

void Service::open() {
    const settings::Configuration& base = configuration_.base;
    const settings::BusBatch known = settings::readBatch(base.known);
    std::int64_t offset = known.offset;
    for (const settings::BusEvent& event : known.events) {
        apply(event);
        offset = std::max(offset, event.offset);
    }
    if (base.bus) {
        bus_ = std::make_unique<platform::BusReader>(
            loop_, *base.bus, offset, [this](const settings::BusEvent& event) { apply(event); });
        bus_->start();
    }
    front_.open();
    std::fprintf(stderr, "%s: repository front on %s:%u\n", base.name.c_str(), base.listen.host.c_str(),
                 front_.port());
}

void Service::apply(const settings::BusEvent& event) {
    if (!event.isList) return decisions_.purge(loop_.now(), event);
    decisions_.list(loop_.now(), event);
    upstreams_.list(event);
}

core::Micros Service::longestDeadline() const {
    return core::longestGiveUp(configuration_.base.words.settings);
}

void Service::printCounters() const {
    const std::string& name = configuration_.base.name;
    const auto& f = front_.counters();
    const auto& u = upstreams_.counters();
    core::printRequestCounters(name, requests_);
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
                        {"broken_off", f.brokenOff}});
    core::printFigures(name, "upstreams",
                       {{"connects", u.connects},
                        {"connect_failures", u.connectFailures},
                        {"resets", u.resets},
                        {"malformed", u.malformed},
                        {"too_old", u.tooOld},
                        {"held_back", u.heldBack}});
}

}  // namespace lotuslead::repository
