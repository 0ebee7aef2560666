// What the gateway asks of each of its fronts, with all that stands behind it.
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
    virtual void prepare() = 0;         // asks for what is needed before clients are taken
    virtual bool prepared() const = 0;  // it is there
    // The event bus has said that there is more than was applied since the start.
    virtual bool catchingUp() const = 0;
    virtual void open() = 0;  // begins to listen
    // Reads its configuration again; what can't be used changes nothing, and is told. False, where it may be
    // tried again: the file can't be read now, for want of descriptors or memory.
    virtual bool reload(bool mayTryAgain) = 0;
    virtual void runTimers(Micros now) = 0;  // what is due by the clock
    virtual Micros nextTimerAt() const = 0;
    // Sends clients away, until it is taken back.
    virtual void drain() = 0;
    virtual void undrain() = 0;
    virtual void leave() = 0;  // the process is to end: health checks are told
    // As that, but another process serves at the same address: nobody need be told.
    virtual void leaveToSuccessor() = 0;
    virtual bool hasNoClients() const = 0;  // no client is connected
    // So many processes are one gateway now, and keep to its limits together.
    virtual void setProcessCount(int processes) = 0;
    // What a successor should know, under this name; it throws where it is not of that form.
    virtual const char* stateKey() const = 0;
    virtual nlohmann::json exportState() = 0;
    virtual void importState(const nlohmann::json& known) = 0;
    // The end is near: what is open is answered at once, and what still comes is refused.
    virtual void failOpenRequests() = 0;
    virtual std::size_t openRequests() const = 0;
    // No answer is owed, all are with the kernel, and nothing that has come is unread. It takes in whoever
    // still waits at the door.
    virtual bool settled() = 0;
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
                     {{"taken", r.taken},
                      {"served", r.served},
                      {"unchanged", r.unchanged},
                      {"refused", r.refused},
                      {"failed", r.failed},
                      {"gone", r.clientsGone},
                      {"overdue", r.deadlineExceeded},
                      {"own", r.servedLocally},
                      {"open", requests.openCount()}});
    std::vector<CounterValue> attempts{{"sent", r.sent}};
    for (std::size_t i = 0; i < kOutcomes; ++i)
        attempts.emplace_back(nameOf(static_cast<Outcome>(i)), r.outcomes[i]);
    printCounterLine(name, "attempts", attempts);
    std::vector<CounterValue> gaveUp;
    for (std::size_t i = 0; i < kGiveUps; ++i)
        gaveUp.emplace_back(nameOf(static_cast<GiveUpReason>(i)), r.gaveUp[i]);
    printCounterLine(name, "gave_up", gaveUp);
    std::vector<CounterValue> rules{{"violations", requests.checks().violations()}};
    const RuleChecks::Counts& heldBack = requests.checks().heldBack();
    for (std::size_t i = 0; i < heldBack.size(); ++i)
        if (heldBack[i] > 0) rules.emplace_back(nameOf(static_cast<Denial>(i)), heldBack[i]);
    printCounterLine(name, "rules", rules);
}

// Beyond the monotonic clock: the Unix clock stands on the wire only, and by this one offset. Between two
// looks at the clocks the process may be held up, by its own start or by others: the least difference is the
// nearest.
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
