// Interface between the gateway and each of its fronts, and helpers to print counters.
#pragma once

#include <cstdint>
#include <cstdio>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "request_dispatcher.hpp"

namespace lotuslead::core {

class Service {
public:
    virtual ~Service() = default;
    virtual void startInitialSync() = 0;  // requests the host lists and purges that serving needs
    virtual bool initialSyncComplete() const = 0;
    // The event bus has reported more events than have been applied since the start.
    virtual bool catchingUp() const = 0;
    virtual void open() = 0;  // starts to listen
    // Reads the configuration again. An unusable one is logged and changes nothing. Returns false if the
    // caller may retry: the file could not be read for lack of descriptors or memory.
    virtual bool reload(bool mayRetry) = 0;
    virtual void runTimers(Micros now) = 0;  // handles what is due
    virtual Micros nextTimerAt() const = 0;
    // Moves clients to other gateways, until undrain().
    virtual void drain() = 0;
    virtual void undrain() = 0;
    virtual void startShutdown() = 0;  // the process will exit, which health checks report
    // As startShutdown(), but another process serves the same address, so clients need not move.
    virtual void stopAcceptingForSuccessor() = 0;
    virtual bool hasNoClients() const = 0;
    // Sets the number of processes that form this gateway and share its limits.
    virtual void setProcessCount(int processes) = 0;
    // State for a successor process, stored under this key. importState() throws if the form is invalid.
    virtual const char* stateKey() const = 0;
    virtual nlohmann::json exportState() = 0;
    virtual void importState(const nlohmann::json& state) = 0;
    // Last step of the shutdown: open requests are answered at once, and new ones refused.
    virtual void failOpenRequests() = 0;
    virtual std::size_t openRequests() const = 0;
    // True if no answer is owed, all answers have been handed to the kernel, and all input has been read.
    // Accepts the connections that are still in the backlog.
    virtual bool isQuiescent() = 0;
    virtual Micros longestRequestTimeout() const = 0;
    virtual std::optional<settings::Endpoint> operatorAddress() const = 0;
    virtual void printCounters() const = 0;
};

using CounterValue = std::pair<const char*, std::uint64_t>;

inline void printCounterLine(const std::string& name, const char* what,
                             const std::vector<CounterValue>& values) {
    std::string text = name + ": " + what;
    for (const auto& [key, value] : values) text += " " + std::string(key) + "=" + std::to_string(value);
    std::fprintf(stderr, "%s\n", text.c_str());
}

inline void printRequestCounters(const std::string& name, const RequestDispatcher& requests) {
    const Counters& r = requests.counters();
    printCounterLine(name, "requests",
                     {{"taken", r.submitted},
                      {"served", r.served},
                      {"unchanged", r.unchanged},
                      {"refused", r.refused},
                      {"failed", r.failed},
                      {"gone", r.clientsGone},
                      {"overdue", r.deadlineExceeded},
                      {"own", r.servedLocally},
                      {"open", requests.openCount()}});
    std::vector<CounterValue> attempts{{"sent", r.sent}};
    for (std::size_t i = 0; i < kOutcomeCount; ++i)
        attempts.emplace_back(nameOf(static_cast<Outcome>(i)), r.outcomes[i]);
    printCounterLine(name, "attempts", attempts);
    std::vector<CounterValue> gaveUp;
    for (std::size_t i = 0; i < kGiveUpReasonCount; ++i)
        gaveUp.emplace_back(nameOf(static_cast<GiveUpReason>(i)), r.gaveUp[i]);
    printCounterLine(name, "gave_up", gaveUp);
    std::vector<CounterValue> rules{{"violations", requests.checks().violations()}};
    const RuleChecks::Counts& denials = requests.checks().denials();
    for (std::size_t i = 0; i < denials.size(); ++i)
        if (denials[i] > 0) rules.emplace_back(nameOf(static_cast<Denial>(i)), denials[i]);
    printCounterLine(name, "rules", rules);
}

// The Unix clock minus the monotonic clock. Unix time appears on the wire only, converted by this one offset.
// The process may be delayed between reading the two clocks, so the smallest of several differences is the
// most accurate.
inline Micros unixClockOffset() {
    Micros least = Micros::max();
    for (int i = 0; i < 8; ++i) {
        const auto now = std::chrono::steady_clock::now().time_since_epoch();
        const auto unixNow = std::chrono::system_clock::now().time_since_epoch();
        least = std::min(
            least, std::chrono::duration_cast<Micros>(unixNow) - std::chrono::duration_cast<Micros>(now));
    }
    return least;
}

inline Micros longestClientTimeout(const Settings& settings) {
    Micros longest{};
    for (const ClassSettings& c : settings.classes)
        longest = std::max(longest, std::chrono::duration_cast<Micros>(c.clientTimeout));
    return longest;
}

}  // namespace lotuslead::core
