// What stands behind either front: decisions, requests, a carrier to the hosts, and the event bus.
#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <utility>

#include "../core/service.hpp"
#include "../disk/caching_carrier.hpp"
#include "../net/system_errors.hpp"
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

// What else a copy's key must agree in: parts of another size are other parts.
inline std::uint64_t formOf(const settings::Configuration&) { return 0; }
inline std::uint64_t formOf(const settings::RepositoryConfiguration& c) { return c.partBytes; }

template <class Configuration, class Front, class Carrier>
class FrontService : public core::Service, private net::Handler {
public:
    using Source = std::function<Configuration()>;  // throws settings::Malformed
    // None: no tier.
    using DiskSource = std::function<std::optional<settings::DiskSettings>()>;

    ~FrontService() override { closeTier(); }

    void useDisk(DiskSource source) {
        diskSource_ = std::move(source);
        disk_ = diskSource_();
        if (disk_) openTier();
    }
    void prepare() override {
        bus_.take(settings::readBatch(baseOf(configuration_).known));
        bus_.obeyWithin(drainGrace());
        bus_.moveTo(baseOf(configuration_).bus);
    }
    bool prepared() const override {
        return bus_.caughtUp() &&
               (!tier_ || tier_->startupComplete(cachingCarrier_.clockReadingAt(loop_.now())));
    }
    bool catchingUp() const override { return bus_.catchingUp(); }
    void open() override {
        const settings::Configuration& base = baseOf(configuration_);
        front_.open();
        isOpen_ = true;
        std::fprintf(stderr, "%s: %s on %s:%u\n", base.name.c_str(), opened_, base.listen.host.c_str(),
                     front_.port());
    }
    // All that can fail comes first; from there on the new file applies whole.
    bool reload(bool mayTryAgain) override {
        const std::string name = baseOf(configuration_).name;
        try {
            Configuration fresh = source_();
            const auto freshDisk = diskSource_ ? diskSource_() : std::nullopt;
            settings::requireContinued(baseOf(configuration_).paths, baseOf(fresh).paths);
            const settings::BusBatch known = settings::readBatch(baseOf(fresh).known);
            continueFrom(configuration_, fresh);
            front_.reconfigure(fresh);
            carrier_.reconfigure(fresh);
            decisions_.reconfigure(baseOf(fresh).words);
            configuration_ = std::move(fresh);
            reloadTier(freshDisk);
            bus_.obeyWithin(drainGrace());
            bus_.take(known);  // events that came by the event bus already are not applied again
            bus_.moveTo(baseOf(configuration_).bus);
            std::fprintf(stderr, "%s: configuration read again\n", name.c_str());
        } catch (const std::system_error& problem) {
            if (mayTryAgain && net::isShortage(problem.code().value())) return false;
            std::fprintf(stderr, "%s: configuration not taken, the old one stays: %s\n", name.c_str(),
                         problem.what());
        } catch (const std::exception& problem) {
            std::fprintf(stderr, "%s: configuration not taken, the old one stays: %s\n", name.c_str(),
                         problem.what());
        }
        return true;
    }
    void turn(core::Micros now) override {
        cachingCarrier_.turn(now);
        requests_.turn(now);
    }
    core::Micros nextTurn() const override {
        return std::min(requests_.nextTurn(), cachingCarrier_.nextTurn());
    }
    void drain() override { front_.drain(); }
    void undrain() override { front_.undrain(); }
    void leave() override { front_.leave(); }
    void yield() override {
        front_.yield();
        if (tier_) tier_->close();  // the successor waits for the folder
    }
    const char* part() const override { return opened_; }
    nlohmann::json handOver() override { return decisions_.handOver(loop_.now()); }
    void takeOver(const nlohmann::json& known) override { decisions_.takeOver(loop_.now(), known); }
    bool deserted() const override { return front_.deserted(); }
    void share(int processes) override {
        front_.share(processes);
        carrier_.share(processes);
        decisions_.share(processes);
    }
    void lastCall() override { front_.lastCall(); }
    std::size_t openRequests() const override { return requests_.open(); }
    bool settled() override { return requests_.open() == 0 && front_.settled(); }
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
        if (tier_) printTierCounters(name);
        const auto& b = bus_.counters();
        core::printFigures(name, "bus",
                           {{"polls", b.polls},
                            {"moves", b.moves},
                            {"bytes", b.bytes},
                            {"events", b.events},
                            {"reconnects", b.reconnects}});
    }

protected:
    FrontService(net::Loop& loop, Source source, const char* opened, core::Requests::PurgedMeanwhile purged,
                 disk::PayloadTraits traits)
        : loop_(loop),
          source_(std::move(source)),
          configuration_(source_()),
          opened_(opened),
          carrier_(loop_, configuration_),
          decisions_(baseOf(configuration_).words, baseOf(configuration_).seed, loop_.now(),
                     core::unixAhead()),
          cachingCarrier_(carrier_, core::unixAhead(), std::move(traits)),
          requests_(decisions_, cachingCarrier_, purged),
          front_(loop_, requests_, configuration_),
          bus_(loop_, [this](const settings::BusEvent& event) { apply(event); }) {
        carrier_.listen(
            {[this](RequestId request, int attempt) {
                 return requests_.mayBegin(loop_.now(), request, attempt);
             },
             [this](core::AttemptEnd end) { cachingCarrier_.ended(loop_.now(), std::move(end)); }});
        cachingCarrier_.listen(
            [this](core::AttemptEnd end) { requests_.ended(loop_.now(), std::move(end)); });
        cachingCarrier_.reconfigure(&baseOf(configuration_).words.settings.classes, formOf(configuration_),
                                    pacer());
        bus_.listen({[this](std::int64_t from, std::int64_t last, const std::vector<std::int64_t>& numbers,
                            bool complete) {
                         if (tier_)
                             tier_->busBatchReceived(cachingCarrier_.clockReadingAt(loop_.now()), from, last,
                                                     numbers, complete);
                     },
                     [this] { return !tier_ || tier_->purgesPersisted(); }});
    }
    virtual void printOwnCounters(const std::string& name) const = 0;

    net::Loop& loop_;
    Source source_;
    Configuration configuration_;
    const char* opened_;
    Carrier carrier_;
    core::Decisions decisions_;
    disk::CachingCarrier cachingCarrier_;
    core::Requests requests_;
    Front front_;

private:
    core::Micros drainGrace() const {
        return std::chrono::duration_cast<core::Micros>(baseOf(configuration_).words.settings.drainGrace);
    }
    void apply(const settings::BusEvent& event) {
        if (!event.isList) {
            if (tier_) purgeTier(event);
            return decisions_.purge(loop_.now(), event);
        }
        // First the decisions: attempts that end with a host's connections are then not sent to it again.
        decisions_.list(loop_.now(), event, isOpen_ && bus_.caughtUp());
        carrier_.list(event);
    }

    // ----- the disk tier -----

    // Copies that carry our own date are compared with our own date of the purge, if that is the later one.
    void purgeTier(const settings::BusEvent& event) {
        std::int64_t atMs = event.purgedMs;
        if (cachingCarrier_.traits().datedByGatewayClock)
            atMs = std::max(atMs, decisions_.unixMsOf(loop_.now()));
        if (event.purgedObject.empty())
            tier_->purgeGroup(event.purgedGroup, atMs);
        else
            tier_->purgeObject(event.purgedObject, atMs);
    }

    disk::LinkPacer pacer() const {
        return {baseOf(configuration_).flowBytes, baseOf(configuration_).linkBytes};
    }
    void openTier() {
        const bool bus = !baseOf(configuration_).bus.empty();
        tier_ = std::make_unique<disk::Tier>(
            fileCalls_, disk::tierOptions(*disk_, bus),
            disk::Tier::Callbacks{
                [this](const std::string& line) {
                    std::fprintf(stderr, "%s: %s\n", baseOf(configuration_).name.c_str(), line.c_str());
                },
                [this](std::int64_t position) { bus_.goBack(position); }, cachingCarrier_.traits().version});
        tierId_ = loop_.add(tier_->wakeDescriptor(), EPOLLIN, *this);
        cachingCarrier_.attachTier(tier_.get(), *disk_, pacer());
        tryTierAgain();
    }
    void closeTier() {
        if (tierTimer_) loop_.cancel(*tierTimer_);
        if (!tier_) return;
        loop_.remove(tierId_, tier_->wakeDescriptor());
        tier_->close();
    }
    // Limits hold at once; what the folder was opened with holds for the life of the process.
    void reloadTier(const std::optional<settings::DiskSettings>& fresh) {
        const auto& base = baseOf(configuration_);
        cachingCarrier_.reconfigure(&base.words.settings.classes, formOf(configuration_), pacer());
        if (!tier_ || !fresh) {
            if (fresh || tier_)
                std::fprintf(stderr, "%s: disk tier: it is switched on and off at a start only\n",
                             base.name.c_str());
            if (!tier_) return;
        }
        if (fresh) {
            disk_->readWaitMs = fresh->readWaitMs;
            disk_->purgeSlackMs = fresh->purgeSlackMs;
            disk_->busSilenceMs = fresh->busSilenceMs;
        }
        tier_->reconfigure(disk::tierOptions(*disk_, !base.bus.empty()));
        cachingCarrier_.attachTier(tier_.get(), *disk_, pacer());
    }
    void tryTierAgain() {
        tierTimer_ = loop_.after(std::chrono::seconds{1}, [this] {
            tier_->retryOpen();
            tryTierAgain();
        });
    }
    std::uint32_t ready(std::uint32_t) override {
        cachingCarrier_.turn(loop_.now());
        return 0;
    }
    void printTierCounters(const std::string& name) const {
        const auto& t = tier_->counters();
        const auto& s = tier_->catalog().counters();
        const auto& b = cachingCarrier_.counters();
        core::printFigures(name, "disk",
                           {{"asked", b.asked},
                            {"hits", t.hits},
                            {"misses", t.misses},
                            {"hit_bytes", t.hitBytes},
                            {"unchanged", b.unchanged},
                            {"slow_reads", b.slowReads},
                            {"link_full", b.linkFull},
                            {"purged", t.purged + s.purged},
                            {"expired", t.expired},
                            {"unproved", t.unproved},
                            {"torn", t.torn + t.truncatedTails},
                            {"read_errors", t.readErrors},
                            {"busy", t.busy}});
        core::printFigures(name, "disk_kept",
                           {{"parts", tier_->catalog().parts()},
                            {"bytes", tier_->catalog().bytes()},
                            {"live_bytes", tier_->catalog().liveBytes()},
                            {"segments", tier_->catalog().segments()},
                            {"offered", t.offered},
                            {"admitted", s.admitted},
                            {"to_main", s.toMain},
                            {"unranked", s.unranked},
                            {"full", s.full},
                            {"queue_full", t.queueFull},
                            {"paused", t.paused},
                            {"evicted", s.evicted},
                            {"moved", s.moved},
                            {"reclaimed", s.reclaimed},
                            {"queue", tier_->queuedBytes()},
                            {"write_errors", t.writeErrors},
                            {"marks", tier_->tombstoneCount()},
                            {"log_errors", t.logErrors},
                            {"floors", t.floors},
                            {"superseded", t.superseded}});
    }

    bool isOpen_ = false;
    BusReader bus_;
    DiskSource diskSource_;
    std::optional<settings::DiskSettings> disk_;
    disk::FileCalls fileCalls_;
    std::unique_ptr<disk::Tier> tier_;
    net::Loop::HandlerId tierId_ = 0;
    std::optional<net::Loop::TimerKey> tierTimer_;
};

}  // namespace lotuslead::platform
