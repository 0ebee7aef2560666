#include "service.hpp"

#include <algorithm>

namespace lotuslead::platform {

Service::Service(net::Loop& loop, settings::Configuration configuration)
    : loop_(loop),
      configuration_(std::move(configuration)),
      stores_(loop_, configuration_.words),
      decisions_(configuration_.words, configuration_.seed, loop_.now(), core::unixAhead(loop_.now())),
      requests_(decisions_, stores_),
      front_(loop_, requests_, configuration_) {
    stores_.listen({[this](RequestId request, int attempt) { return requests_.holds(request, attempt); },
                    [this](core::AttemptEnd end) { requests_.ended(loop_.now(), std::move(end)); }});
}

void Service::open() {
    const settings::BusBatch known = settings::readBatch(configuration_.known);
    std::int64_t offset = known.offset;
    for (const settings::BusEvent& event : known.events) {
        apply(event);
        offset = std::max(offset, event.offset);
    }
    if (configuration_.bus) {
        bus_ = std::make_unique<BusReader>(loop_, *configuration_.bus, offset,
                                           [this](const settings::BusEvent& event) { apply(event); });
        bus_->start();
    }
    front_.open();
    std::fprintf(stderr, "%s: serving on %s:%u\n", configuration_.name.c_str(),
                 configuration_.listen.host.c_str(), front_.port());
}

void Service::apply(const settings::BusEvent& event) {
    if (!event.isList) return decisions_.purge(loop_.now(), event);
    // First the decisions: attempts that end with a store's connections are then not sent to it again.
    decisions_.list(loop_.now(), event);
    stores_.list(event);
}

core::Micros Service::longestDeadline() const { return core::longestGiveUp(configuration_.words.settings); }

void Service::printCounters() const {
    const std::string& name = configuration_.name;
    const auto& f = front_.counters();
    const auto& s = stores_.counters();
    core::printRequestCounters(name, requests_);
    core::printFigures(name, "front",
                       {{"connections", f.connections},
                        {"turned_away", f.turnedAway},
                        {"closed_idle", f.closedIdle},
                        {"malformed", f.malformed},
                        {"unusable", f.unusable},
                        {"no_room", f.noRoom},
                        {"checks", f.checks},
                        {"clients", front_.clients()}});
    core::printFigures(name, "stores",
                       {{"connects", s.connects},
                        {"connect_failures", s.connectFailures},
                        {"resets", s.resets},
                        {"malformed", s.malformed},
                        {"late_answers", s.lateAnswers},
                        {"held_back", s.heldBack},
                        {"connections", stores_.connections()}});
    if (!bus_) return;
    const auto& b = bus_->counters();
    core::printFigures(name, "bus", {{"polls", b.polls}, {"events", b.events}, {"reconnects", b.reconnects}});
}

}  // namespace lotuslead::platform
