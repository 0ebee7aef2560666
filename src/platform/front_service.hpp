// Joins the parts behind either front: decisions, requests, the transport to the hosts, the disk tier and the
// event bus.
#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <utility>

#include "../core/service.hpp"
#include "../disk/caching_transport.hpp"
#include "../net/system_errors.hpp"
#include "bus_reader.hpp"

namespace lotuslead::platform {

inline const settings::Configuration& baseConfiguration(const settings::Configuration& c) { return c; }
inline const settings::Configuration& baseConfiguration(const settings::RepositoryConfiguration& c) {
    return c.base;
}
// Makes `updated` a continuation of `before`: classes keep their indexes.
inline void continueFrom(const settings::Configuration& before, settings::Configuration& updated) {
    updated.decoded = settings::mergeReloaded(before.decoded, updated.decoded);
}
inline void continueFrom(const settings::RepositoryConfiguration& before,
                         settings::RepositoryConfiguration& updated) {
    continueFrom(before.base, updated.base);
    for (settings::Route& route : updated.routes)
        route.classIndex = updated.base.decoded.classes.at(route.className);
}

// Distinguishes keys of copies further: parts of another size are different parts.
inline std::uint64_t keyVariantOf(const settings::Configuration&) { return 0; }
inline std::uint64_t keyVariantOf(const settings::RepositoryConfiguration& c) { return c.partBytes; }

// One front with its transport, decisions, event bus reader and, if configured, disk tier.
template <class Configuration, class Front, class Transport>
class FrontService : public core::Service, private net::Handler {
public:
    using Source = std::function<Configuration()>;  // throws settings::DecodeError
    // Empty: there is no disk tier.
    using DiskSource = std::function<std::optional<settings::DiskSettings>()>;

    ~FrontService() override { closeTier(); }

    void useDisk(DiskSource source) {
        diskSource_ = std::move(source);
        diskSettings_ = diskSource_();
        if (diskSettings_) openTier();
    }
    void startInitialSync() override {
        busReader_.applyBatch(settings::readBatch(baseConfiguration(configuration_).initialEvents));
        busReader_.setDrainGrace(drainGrace());
        busReader_.setEndpoints(baseConfiguration(configuration_).bus);
    }
    bool initialSyncComplete() const override {
        return busReader_.caughtUp() &&
               (!tier_ || tier_->startupComplete(cachingTransport_.clockReadingAt(loop_.now())));
    }
    bool catchingUp() const override { return busReader_.catchingUp(); }
    void open() override {
        const settings::Configuration& base = baseConfiguration(configuration_);
        front_.open();
        isOpen_ = true;
        decisions_.initialListsComplete(loop_.now());
        std::fprintf(stderr, "%s: %s on %s:%u\n", base.name.c_str(), listenLabel_, base.listen.host.c_str(),
                     front_.port());
    }
    // Everything that can fail comes first; after that the new configuration applies as a whole.
    bool reload(bool mayRetry) override {
        const std::string name = baseConfiguration(configuration_).name;
        try {
            Configuration updated = source_();
            const auto reloadedDisk = diskSource_ ? diskSource_() : std::nullopt;
            settings::requireSameFields(baseConfiguration(configuration_).paths,
                                        baseConfiguration(updated).paths);
            const settings::BusBatch initialEvents =
                settings::readBatch(baseConfiguration(updated).initialEvents);
            continueFrom(configuration_, updated);
            front_.reconfigure(updated);
            transport_.reconfigure(updated);
            decisions_.reconfigure(baseConfiguration(updated).decoded);
            configuration_ = std::move(updated);
            reloadTier(reloadedDisk);
            busReader_.setDrainGrace(drainGrace());
            busReader_.applyBatch(initialEvents);  // skips events already received from the bus
            busReader_.setEndpoints(baseConfiguration(configuration_).bus);
            std::fprintf(stderr, "%s: configuration read again\n", name.c_str());
        } catch (const std::system_error& problem) {
            if (mayRetry && net::isResourceShortage(problem.code().value())) return false;
            std::fprintf(stderr, "%s: configuration not taken, the old one stays: %s\n", name.c_str(),
                         problem.what());
        } catch (const std::exception& problem) {
            std::fprintf(stderr, "%s: configuration not taken, the old one stays: %s\n", name.c_str(),
                         problem.what());
        }
        return true;
    }
    void runTimers(core::Micros now) override {
        cachingTransport_.turn(now);
        requests_.runTimers(now);
    }
    core::Micros nextTimerAt() const override {
        return std::min(requests_.nextTimerAt(), cachingTransport_.nextTurn());
    }
    void drain() override { front_.drain(); }
    void undrain() override { front_.undrain(); }
    void startShutdown() override { front_.startShutdown(); }
    void stopAcceptingForSuccessor() override {
        front_.stopAcceptingForSuccessor();
        if (tier_) tier_->close();  // the successor waits for the folder
    }
    const char* stateKey() const override { return listenLabel_; }
    nlohmann::json exportState() override { return decisions_.exportState(loop_.now()); }
    void importState(const nlohmann::json& state) override { decisions_.importState(loop_.now(), state); }
    bool hasNoClients() const override { return front_.hasNoClients(); }
    void setProcessCount(int processes) override {
        front_.setProcessCount(processes);
        transport_.setProcessCount(processes);
        decisions_.setProcessCount(processes);
    }
    void failOpenRequests() override { front_.failOpenRequests(); }
    std::size_t openRequests() const override { return requests_.openCount(); }
    bool isQuiescent() override { return requests_.openCount() == 0 && front_.isQuiescent(); }
    core::Micros longestRequestTimeout() const override {
        return core::longestClientTimeout(baseConfiguration(configuration_).decoded.settings);
    }
    std::optional<settings::Endpoint> operatorAddress() const override {
        return baseConfiguration(configuration_).operatorAddress;
    }
    void printCounters() const override {
        const std::string& name = baseConfiguration(configuration_).name;
        core::printRequestCounters(name, requests_);
        printFrontCounters(name);
        if (tier_) printTierCounters(name);
        const auto& b = busReader_.counters();
        core::printCounterLine(name, "bus",
                               {{"polls", b.polls},
                                {"moves", b.endpointSwitches},
                                {"late", b.lateAnswers},
                                {"bytes", b.bytes},
                                {"events", b.events},
                                {"reconnects", b.reconnects}});
    }

protected:
    FrontService(net::Loop& loop, Source source, const char* listenLabel,
                 core::RequestDispatcher::PurgeDuringFetch purgeDuringFetch, disk::PayloadTraits traits)
        : loop_(loop),
          source_(std::move(source)),
          configuration_(source_()),
          listenLabel_(listenLabel),
          transport_(loop_, configuration_),
          decisions_(baseConfiguration(configuration_).decoded, baseConfiguration(configuration_).seed,
                     loop_.now(), core::unixClockOffset()),
          cachingTransport_(transport_, core::unixClockOffset(), std::move(traits)),
          requests_(decisions_, cachingTransport_, purgeDuringFetch),
          front_(loop_, requests_, configuration_),
          busReader_(loop_, [this](const settings::BusEvent& event) { applyEvent(event); }) {
        transport_.setCallbacks({[this](RequestId request, int attempt) {
                                     return requests_.mayBegin(loop_.now(), request, attempt);
                                 },
                                 [this](core::AttemptResult result) {
                                     cachingTransport_.ended(loop_.now(), std::move(result));
                                 }});
        cachingTransport_.listen(
            [this](core::AttemptResult result) { requests_.attemptEnded(loop_.now(), std::move(result)); });
        cachingTransport_.reconfigure(&baseConfiguration(configuration_).decoded.settings.classes,
                                      keyVariantOf(configuration_), pacer());
        busReader_.setObserver({[this](core::Micros upToDateAt, std::int64_t from, std::int64_t last,
                                       const std::vector<std::int64_t>& offsets, bool complete) {
                                    if (!tier_) return;
                                    tier_->busBatchReceived(
                                        cachingTransport_.clockReadingAt(loop_.now()), from, last, offsets,
                                        complete, cachingTransport_.clockReadingAt(upToDateAt).monotonicMs);
                                },
                                [this] { return !tier_ || tier_->purgesPersisted(); }});
    }
    virtual void printFrontCounters(const std::string& name) const = 0;
    // Makes all copies of the object that were made before this call unusable, as a purge does.
    void dropCopies(const std::string& object) {
        settings::BusEvent purge;
        purge.purgedObject = object;
        purge.purgedMs = decisions_.unixMsOf(loop_.now());
        if (tier_) purgeTier(purge);
        decisions_.applyPurge(loop_.now(), purge, false);
    }

    net::Loop& loop_;
    Source source_;
    Configuration configuration_;
    const char* listenLabel_;
    Transport transport_;
    core::DecisionFacade decisions_;
    disk::CachingTransport cachingTransport_;
    core::RequestDispatcher requests_;
    Front front_;

private:
    core::Micros drainGrace() const {
        return std::chrono::duration_cast<core::Micros>(
            baseConfiguration(configuration_).decoded.settings.drainGrace);
    }
    void applyEvent(const settings::BusEvent& event) {
        const bool receivedLive = isOpen_ && busReader_.caughtUp();
        if (!event.isStoreList) {
            if (tier_) purgeTier(event);
            return decisions_.applyPurge(loop_.now(), event, receivedLive);
        }
        // Decisions first: an attempt that ends with a host's connections is then not sent to that host
        // again.
        decisions_.applyHostList(loop_.now(), event, receivedLive);
        transport_.applyHostList(event);
    }

    // ----- the disk tier -----

    // Copies that we date ourselves are compared with our own time of the purge, if that is the later one.
    void purgeTier(const settings::BusEvent& event) {
        std::int64_t atMs = event.purgedMs;
        if (cachingTransport_.traits().datedByGatewayClock)
            atMs = std::max(atMs, decisions_.unixMsOf(loop_.now()));
        if (event.purgedObject.empty())
            tier_->purgeGroup(event.purgedGroup, atMs);
        else
            tier_->purgeObject(event.purgedObject, atMs);
    }

    disk::LinkPacer pacer() const {
        return {baseConfiguration(configuration_).flowBytesPerSecond,
                baseConfiguration(configuration_).linkBytesPerSecond};
    }
    void openTier() {
        const bool bus = !baseConfiguration(configuration_).bus.empty();
        tier_ = std::make_unique<disk::Tier>(
            fileCalls_, disk::tierOptions(*diskSettings_, bus),
            disk::Tier::Callbacks{[this](const std::string& line) {
                                      std::fprintf(stderr, "%s: %s\n",
                                                   baseConfiguration(configuration_).name.c_str(),
                                                   line.c_str());
                                  },
                                  [this](std::int64_t position) { busReader_.rewindTo(position); },
                                  cachingTransport_.traits().version});
        tierHandlerId_ = loop_.add(tier_->wakeDescriptor(), EPOLLIN, *this);
        cachingTransport_.attachTier(tier_.get(), *diskSettings_, pacer());
        scheduleTierRetry();
    }
    void closeTier() {
        if (tierTimer_) loop_.cancel(*tierTimer_);
        if (!tier_) return;
        loop_.remove(tierHandlerId_, tier_->wakeDescriptor());
        tier_->close();
    }
    // Limits apply at once; the settings that the folder was opened with stay for the life of the process.
    void reloadTier(const std::optional<settings::DiskSettings>& updated) {
        const auto& base = baseConfiguration(configuration_);
        cachingTransport_.reconfigure(&base.decoded.settings.classes, keyVariantOf(configuration_), pacer());
        if (!tier_ || !updated) {
            if (updated || tier_)
                std::fprintf(stderr, "%s: disk tier: it is switched on and off at a start only\n",
                             base.name.c_str());
            if (!tier_) return;
        }
        if (updated) {
            diskSettings_->readTimeoutMs = updated->readTimeoutMs;
            diskSettings_->purgeClockSkewMs = updated->purgeClockSkewMs;
            diskSettings_->maxBusSilenceMs = updated->maxBusSilenceMs;
        }
        tier_->reconfigure(disk::tierOptions(*diskSettings_, !base.bus.empty()));
        cachingTransport_.attachTier(tier_.get(), *diskSettings_, pacer());
    }
    void scheduleTierRetry() {
        tierTimer_ = loop_.after(std::chrono::seconds{1}, [this] {
            tier_->retryOpen();
            scheduleTierRetry();
        });
    }
    std::uint32_t ready(std::uint32_t) override {
        cachingTransport_.turn(loop_.now());
        return 0;
    }
    void printTierCounters(const std::string& name) const {
        const auto& t = tier_->counters();
        const auto& s = tier_->catalog().counters();
        const auto& b = cachingTransport_.counters();
        core::printCounterLine(name, "disk",
                               {{"asked", b.lookups},
                                {"hits", t.hits},
                                {"misses", t.misses},
                                {"hit_bytes", t.hitBytes},
                                {"unchanged", b.unchanged},
                                {"slow_reads", b.slowReads},
                                {"link_full", b.linkFull},
                                {"not_storable", b.notStorable},
                                {"purged", t.purged + s.purged},
                                {"expired", t.expired},
                                {"unproved", t.unprovable},
                                {"torn", t.damagedRecords + t.tornTails},
                                {"read_errors", t.readErrors},
                                {"busy", t.readQueueFull}});
        core::printCounterLine(name, "disk_kept",
                               {{"parts", tier_->catalog().parts()},
                                {"bytes", tier_->catalog().bytes()},
                                {"live_bytes", tier_->catalog().liveBytes()},
                                {"segments", tier_->catalog().segments()},
                                {"offered", t.offered},
                                {"admitted", s.admitted},
                                {"to_main", s.toMain},
                                {"unranked", s.unranked},
                                {"full", s.full},
                                {"queue_full", t.writeQueueFull},
                                {"paused", t.paused},
                                {"evicted", s.evicted},
                                {"moved", s.moved},
                                {"reclaimed", s.reclaimed},
                                {"queue", tier_->queuedBytes()},
                                {"write_errors", t.writeErrors},
                                {"marks", tier_->tombstoneCount()},
                                {"log_errors", t.logErrors},
                                {"floors", t.watermarksRaised},
                                {"superseded", t.superseded}});
    }

    bool isOpen_ = false;
    BusReader busReader_;
    DiskSource diskSource_;
    std::optional<settings::DiskSettings> diskSettings_;
    disk::FileCalls fileCalls_;
    std::unique_ptr<disk::Tier> tier_;
    net::Loop::HandlerId tierHandlerId_ = 0;
    std::optional<net::Loop::TimerKey> tierTimer_;
};

}  // namespace lotuslead::platform
