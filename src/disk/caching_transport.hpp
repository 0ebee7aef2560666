// A transport that wraps another one and caches on disk: it answers an attempt from the disk tier where a
// usable copy is held, forwards it otherwise, and offers the answers that it receives to the tier. Without a
// tier it forwards everything. Runs on the event loop's thread.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "../core/request_dispatcher.hpp"
#include "../settings/disk.hpp"
#include "link_pacer.hpp"
#include "tier.hpp"

namespace lotuslead::disk {

// `bus`: an event bus is configured.
TierOptions tierOptions(const settings::DiskSettings& settings, bool bus);

// How a front's payloads are cached.
struct PayloadTraits {
    std::function<bool(const Key&, const core::Payload&)>
        storable;                                           // whether the payload may be cached at all
    std::function<std::uint64_t(const Metadata&)> version;  // as Tier::Callbacks::version
    const char* tagMetadataName = nullptr;  // name of the metadata entry that is compared with
                                            // `Request::knownTag`; null: the front compares by itself
    bool datedByGatewayClock =
        false;  // copies carry the date of this gateway's wall clock, not of their origin's
};

class CachingTransport : public core::AttemptTransport {
public:
    using Micros = core::Micros;
    struct Counters {
        std::uint64_t lookups = 0, served = 0, unchanged = 0, slowReads = 0, linkFull = 0, notStorable = 0;
    };

    CachingTransport(core::AttemptTransport& inner, Micros unixAhead, PayloadTraits traits)
        : inner_(inner), unixAhead_(unixAhead), traits_(std::move(traits)) {}

    void listen(std::function<void(core::AttemptResult)> ended) { ended_ = std::move(ended); }
    // Without a tier (nullptr), attempts are forwarded.
    void attachTier(Tier* tier, const settings::DiskSettings& settings, const LinkPacer& pacer);
    // `variant`: the value of Key::variant for objects that are fetched in parts.
    void reconfigure(const std::vector<ClassSettings>* classes, std::uint64_t variant,
                     const LinkPacer& pacer);

    void send(Micros now, const core::Request& request, const core::Decision& send) override;
    bool cancel(Micros now, RequestId request, int attempt) override;
    // Called with each result of the inner transport.
    void ended(Micros now, core::AttemptResult end);

    void turn(Micros now);  // gives up disk reads that exceed the read timeout and forwards their attempts
    Micros nextTurn() const;
    ClockReading clockReadingAt(Micros now) const;
    const PayloadTraits& traits() const { return traits_; }
    const Counters& counters() const { return counters_; }

private:
    struct PendingLookup {
        const core::Request* request;  // outlives the attempt
        core::Decision send;
        Key key;
        std::uint64_t lookupId = 0;
        Micros deadline{};
    };
    struct PendingFetch {
        Key key;
        int attempt = 0;
        int rank = 0;
    };

    bool isCacheable(const core::Request& request) const;
    std::int64_t maxCopyAgeMs(const core::Request& request, const core::Decision& send) const;
    void forward(Micros now, const core::Request& request, const core::Decision& send, Key key);
    void lookupDone(RequestId id, std::optional<Copy> copy);
    bool moveUsableCopy(const core::Request& request, const Key& key, Copy&& copy, core::Payload& payload);

    core::AttemptTransport& inner_;
    Micros unixAhead_;
    PayloadTraits traits_;
    std::function<void(core::AttemptResult)> ended_;
    Tier* tier_ = nullptr;
    const std::vector<ClassSettings>* classes_ = nullptr;
    std::uint64_t keyVariant_ = 0;
    Micros readTimeout_{};
    LinkPacer pacer_{0, 0};
    Micros now_{};  // time of the current call
    std::unordered_map<RequestId, PendingLookup> lookups_;
    std::multimap<Micros, RequestId> lookupDeadlines_;
    std::unordered_map<RequestId, PendingFetch> fetches_;
    Counters counters_;
};

}  // namespace lotuslead::disk
