// What stands behind either front: decisions, requests, a carrier to the hosts, and the event bus.
#pragma once

#include <algorithm>
#include <memory>
#include <string>

#include "../core/service.hpp"
#include "bus.hpp"

namespace lotuslead::platform {

inline const settings::Configuration& baseOf(const settings::Configuration& c) { return c; }
inline const settings::Configuration& baseOf(const settings::RepositoryConfiguration& c) { return c.base; }

template <class Configuration, class Front, class Carrier>
class FrontService : public core::Service {
public:
    void open() override {
        const settings::Configuration& base = baseOf(configuration_);
        const settings::BusBatch known = settings::readBatch(base.known);
        std::int64_t offset = known.offset;
        for (const settings::BusEvent& event : known.events) {
            apply(event);
            offset = std::max(offset, event.offset);
        }
        if (base.bus) {
            bus_ = std::make_unique<BusReader>(loop_, *base.bus, offset,
                                               [this](const settings::BusEvent& event) { apply(event); });
            bus_->start();
        }
        front_.open();
        std::fprintf(stderr, "%s: %s on %s:%u\n", base.name.c_str(), opened_, base.listen.host.c_str(),
                     front_.port());
    }
    void turn(core::Micros now) override { requests_.turn(now); }
    core::Micros nextTurn() const override { return requests_.nextTurn(); }
    void leave() override { front_.leave(); }
    void stopListening() override { front_.stopListening(); }
    std::size_t openRequests() const override { return requests_.open(); }
    bool settled() const override { return requests_.open() == 0 && front_.idle(); }
    core::Micros longestDeadline() const override {
        return core::longestGiveUp(baseOf(configuration_).words.settings);
    }
    void printCounters() const override {
        const std::string& name = baseOf(configuration_).name;
        core::printRequestCounters(name, requests_);
        printOwnCounters(name);
        if (!bus_) return;
        const auto& b = bus_->counters();
        core::printFigures(name, "bus",
                           {{"polls", b.polls}, {"events", b.events}, {"reconnects", b.reconnects}});
    }

protected:
    FrontService(net::Loop& loop, Configuration configuration, const char* opened,
                 core::Requests::PurgedMeanwhile purged)
        : loop_(loop),
          configuration_(std::move(configuration)),
          opened_(opened),
          carrier_(loop_, configuration_),
          decisions_(baseOf(configuration_).words, baseOf(configuration_).seed, loop_.now(),
                     core::unixAhead(loop_.now())),
          requests_(decisions_, carrier_, purged),
          front_(loop_, requests_, configuration_) {
        carrier_.listen({[this](RequestId request, int attempt) { return requests_.holds(request, attempt); },
                         [this](core::AttemptEnd end) { requests_.ended(loop_.now(), std::move(end)); }});
    }
    virtual void printOwnCounters(const std::string& name) const = 0;

    net::Loop& loop_;
    Configuration configuration_;
    const char* opened_;
    Carrier carrier_;
    core::Decisions decisions_;
    core::Requests requests_;
    Front front_;

private:
    void apply(const settings::BusEvent& event) {
        if (!event.isList) return decisions_.purge(loop_.now(), event);
        // First the decisions: attempts that end with a host's connections are then not sent to it again.
        decisions_.list(loop_.now(), event);
        carrier_.list(event);
    }

    std::unique_ptr<BusReader> bus_;
};

}  // namespace lotuslead::platform
