// The tier before a carrier: an attempt that a copy of the gateway's own can answer does not go out, and what
// comes back is offered to the tier. Without a tier it passes everything on. Used on the loop's thread.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "../core/requests.hpp"
#include "../settings/disk.hpp"
#include "link_pacer.hpp"
#include "tier.hpp"

namespace lotuslead::disk {

TierOptions tierOptions(const settings::DiskSettings& settings, bool bus);

// What a front knows of its payloads.
struct PayloadTraits {
    std::function<bool(const Key&, const core::Payload&)> storable;  // may it be kept at all?
    std::function<std::uint64_t(const Facts&)> version;              // as Tier::Users has it
    const char* tagFact =
        nullptr;  // the fact that `Request::known` is compared with; none: the front compares
    bool datedByGatewayClock = false;  // copies are dated by this gateway's wall clock, not by their origin's
};

class CachingCarrier : public core::Carrier {
public:
    using Micros = core::Micros;
    struct Counters {
        std::uint64_t asked = 0, served = 0, unchanged = 0, slowReads = 0, linkFull = 0;
    };

    CachingCarrier(core::Carrier& inner, Micros unixAhead, PayloadTraits traits)
        : inner_(inner), unixAhead_(unixAhead), traits_(std::move(traits)) {}

    void listen(std::function<void(core::AttemptEnd)> ended) { ended_ = std::move(ended); }
    // None: what is out goes on without it. `form`: what else a key must agree in.
    void attachTier(Tier* tier, const settings::DiskSettings& settings, const LinkPacer& pacer);
    void reconfigure(const std::vector<ClassSettings>* classes, std::uint64_t variant,
                     const LinkPacer& pacer);

    void send(Micros now, const core::Request& request, const core::Verdict& send) override;
    bool cancel(Micros now, RequestId request, int attempt) override;
    // From the inner carrier.
    void ended(Micros now, core::AttemptEnd end);

    void turn(Micros now);  // reads that take too long are given up, and the attempt goes out
    Micros nextTurn() const;
    ClockReading clockReadingAt(Micros now) const;
    const PayloadTraits& traits() const { return traits_; }
    const Counters& counters() const { return counters_; }

private:
    struct PendingLookup {
        const core::Request* request;  // lives at least as long as the attempt is out
        core::Verdict send;
        Key key;
        std::uint64_t ticket = 0;
        Micros deadline{};
    };
    struct PendingFetch {
        Key key;
        int attempt = 0;
        int rank = 0;
    };

    bool isCacheable(const core::Request& request) const;
    std::int64_t maxAgeMs(const core::Request& request, const core::Verdict& send) const;
    void forward(Micros now, const core::Request& request, const core::Verdict& send, Key key);
    void lookupDone(RequestId id, std::optional<Copy> copy);

    core::Carrier& inner_;
    Micros unixAhead_;
    PayloadTraits traits_;
    std::function<void(core::AttemptEnd)> ended_;
    Tier* tier_ = nullptr;
    const std::vector<ClassSettings>* classes_ = nullptr;
    std::uint64_t keyVariant_ = 0;
    Micros readTimeout_{};
    LinkPacer pacer_{0, 0};
    Micros now_{};  // of the turn in hand
    std::unordered_map<RequestId, PendingLookup> lookups_;
    std::multimap<Micros, RequestId> lookupDeadlines_;
    std::unordered_map<RequestId, PendingFetch> fetches_;
    Counters counters_;
};

}  // namespace lotuslead::disk
