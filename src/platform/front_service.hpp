// What stands behind either front: decisions, requests, a carrier to the hosts, and the event bus.
#pragma once

#include <algorithm>
#include <functional>
#include <string>

#include "../core/service.hpp"
#include "bus.hpp"

namespace lotuslead::platform {

inline const settings::Configuration& baseOf(const settings::Configuration& c) { return c; }
inline const settings::Configuration& baseOf(const settings::RepositoryConfiguration& c) { return c.base; }
// What follows a configuration at the same instance: classes keep their places.
inline void continueFrom(const settings::Configuration& before, settings::Configuration& fresh) {
    fresh.words = settings::continued(before.words, fresh.words);
}
inline void continueFrom(const settings::RepositoryConfiguration& before,
                         settings::RepositoryConfiguration& fresh) {
    continueFrom(before.base, fresh.base);
    for (settings::Route& route : fresh.routes)
        route.classIndex = fresh.base.words.classes.at(route.className);
}

template <class Configuration, class Front, class Carrier>
class FrontService : public core::Service {
public:
    using Source = std::function<Configuration()>;  // throws settings::Malformed

    void prepare() override {
        bus_.take(settings::readBatch(baseOf(configuration_).known));
        bus_.moveTo(baseOf(configuration_).bus);
    }
    bool prepared() const override { return bus_.heard(); }
    void open() override {
        const settings::Configuration& base = baseOf(configuration_);
        front_.open();
        std::fprintf(stderr, "%s: %s on %s:%u\n", base.name.c_str(), opened_, base.listen.host.c_str(),
                     front_.port());
    }
    // All that can fail comes first; from there on the new file applies whole.
    void reload() override {
        const std::string name = baseOf(configuration_).name;
        try {
            Configuration fresh = source_();
            settings::requireContinued(baseOf(configuration_).paths, baseOf(fresh).paths);
            const settings::BusBatch known = settings::readBatch(baseOf(fresh).known);
            continueFrom(configuration_, fresh);
            front_.reconfigure(fresh);
            carrier_.reconfigure(fresh);
            decisions_.reconfigure(baseOf(fresh).words);
            configuration_ = std::move(fresh);
            bus_.take(known);  // events that came by the event bus already are not applied again
            bus_.moveTo(baseOf(configuration_).bus);
            std::fprintf(stderr, "%s: configuration read again\n", name.c_str());
        } catch (const std::exception& problem) {
            std::fprintf(stderr, "%s: configuration not taken, the old one stays: %s\n", name.c_str(),
                         problem.what());
        }
    }
    void turn(core::Micros now) override { requests_.turn(now); }
    core::Micros nextTurn() const override { return requests_.nextTurn(); }
    void drain() override { front_.drain(); }
    void undrain() override { front_.undrain(); }
    void leave() override { front_.leave(); }
    void yield() override { front_.yield(); }
    const char* part() const override { return opened_; }
    nlohmann::json handOver() override { return decisions_.handOver(loop_.now()); }
    void takeOver(const nlohmann::json& known) override { decisions_.takeOver(loop_.now(), known); }
    bool deserted() const override { return front_.deserted(); }
    void share(int processes) override {
        front_.share(processes);
        carrier_.share(processes);
        decisions_.share(processes);
    }
    void stopListening() override { front_.stopListening(); }
    std::size_t openRequests() const override { return requests_.open(); }
    bool settled() const override { return requests_.open() == 0 && front_.idle(); }
    core::Micros longestDeadline() const override {
        return core::longestGiveUp(baseOf(configuration_).words.settings);
    }
    std::optional<settings::Endpoint> operatorDoor() const override {
        return baseOf(configuration_).operatorDoor;
    }
    void printCounters() const override {
        const std::string& name = baseOf(configuration_).name;
        core::printRequestCounters(name, requests_);
        printOwnCounters(name);
        const auto& b = bus_.counters();
        core::printFigures(name, "bus",
                           {{"polls", b.polls}, {"events", b.events}, {"reconnects", b.reconnects}});
    }

protected:
    FrontService(net::Loop& loop, Source source, const char* opened, core::Requests::PurgedMeanwhile purged)
        : loop_(loop),
          source_(std::move(source)),
          configuration_(source_()),
          opened_(opened),
          carrier_(loop_, configuration_),
          decisions_(baseOf(configuration_).words, baseOf(configuration_).seed, loop_.now(),
                     core::unixAhead(loop_.now())),
          requests_(decisions_, carrier_, purged),
          front_(loop_, requests_, configuration_),
          bus_(loop_, [this](const settings::BusEvent& event) { apply(event); }) {
        carrier_.listen({[this](RequestId request, int attempt) { return requests_.holds(request, attempt); },
                         [this](core::AttemptEnd end) { requests_.ended(loop_.now(), std::move(end)); }});
    }
    virtual void printOwnCounters(const std::string& name) const = 0;

    net::Loop& loop_;
    Source source_;
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

    BusReader bus_;
};

}  // namespace lotuslead::platform
