// Judges a soak run by the protocol's invariants. Clients report what they sent and received, stores what
// arrived and how it ended, the schedule what it did to whom. Used by all threads.
//
// A violation is reported unless the protocol's pages excuse it; excuses are counted by reason (Excuse).
// A gateway that was stopped (SIGSTOP) has so much more time, and what the event bus could not deliver counts
// as delivered 7 s later.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "wire.hpp"

namespace lotuslead::soak {

// Classes of the soak's configuration, by effect.
enum class RequestClass : std::uint8_t { page, checkout, order };
inline constexpr std::array<const char*, 3> kClassNames{"page", "checkout", "order"};

enum class Rule : std::uint8_t {
    lost,            // no final answer in time, or a close without one
    secondAnswer,    // to one request
    afterCancel,     // an answer long after CANCEL
    lateAttempt,     // an attempt long after the client's end
    twoAttemptsOut,  // at one time
    duplicate,       // what may have run was sent again, or refused as if it had not
    drainedStore,    // a send to a draining or removed store, or with such a source
    longDeadline,    // a store was given more time than the client had left
    staleCopy,       // older than a purge that counts as delivered
    wrongContent,    // bytes that no store made for this request
    unnamedCopy,     // 'keep' without a store's answer
    coldBudget,      // a server in slow start got more than its budget
    crash,           // a process ended by itself, or with another code than 0
    slowEnd,         // SIGTERM was not followed by an end in time
    slowStart,       // a restarted gateway was not ready in time
    internalCheck,   // the gateway's own count of violations
    count_
};
const char* nameOf(Rule rule);

// Why a request without an answer is no violation, each with the page that says so.
enum class Excuse : std::uint8_t {
    gatewayKilled,   // DEPLOY, Life: gateways may be killed outright; it was open at, or sent to, a dead one
    lateConnection,  // PROTOCOL, planned restarts: new connections come for up to 0.4 s after SIGTERM, not
                     // later
    crossedAClose,   // PROTOCOL, clients: a request that crosses a close within 50 ms goes again
    gatewayStopped,  // an answer after CANCEL, of a gateway that was stopped (SIGSTOP) between the two
    neverSent,       // the system took back its last byte: it never left the client
    count_
};
const char* nameOf(Excuse excuse);

enum class AttemptEnd : std::uint8_t { out, neverRan, mayHaveRun };

class Judge {
public:
    // `timeline`: what is done to whom is printed, too.
    Judge(TimePoint begun, bool timeline) : begun_(begun), timeline_(timeline) {}
    void note(const std::string& event) const;

    // ----- clients -----
    // `connectedAt`: its connection's beginning.
    void sent(const std::string& trace, int gateway, RequestClass kind, Millis patience, bool namedCopy,
              TimePoint connectedAt);
    void countsFromNow(const std::string& trace);  // its last byte is sent now
    void clientEnded(const std::string& trace);    // by CANCEL or a close
    void answered(const std::string& trace, const RespElements& answer, const std::string& expectedPrefix);
    // The connection has ended, or the time is over, with no answer.
    void unanswered(const std::string& trace, const char* how);
    void goesAgain(const std::string& trace, Excuse why);  // within 50 ms, on a connection at rest

    Millis age(const std::string& trace) const;  // since it was sent

    // ----- stores -----
    // `seenLate`: the store was hung, and can't say when it arrived.
    int attemptArrived(const std::string& trace, const std::string& store, std::int64_t maxMs,
                       const std::string& source, bool seenLate);
    // `seenLate`: the store was hung, and can't say when it was given up.
    void attemptEnded(const std::string& trace, int attempt, AttemptEnd end, bool seenLate = false);
    void answeredCurrent(const std::string& trace);

    // ----- the world -----
    void killed(int gateway);  // SIGKILL: what comes until it serves again waits in its socket, or is refused
    void leaves(int gateway);  // SIGTERM, without a successor
    void servesAgain(int gateway);                     // after either
    void stopped(int gateway, Millis time);            // SIGSTOP that is over
    void stalled(Millis time);                         // this whole program, by its machine
    void withdrawnFromList(const std::string& store);  // draining or removed from now on
    void listedAgain(const std::string& store);
    bool busMayBeLate() const;
    void busFault(Millis time);  // from now on
    void purged(const std::string& entity, std::int64_t purgeMs);
    void violation(Rule rule, const std::string& what);

    struct Totals {
        std::uint64_t requests = 0, served = 0, unchanged = 0, refused = 0, failed = 0, attempts = 0;
        std::array<std::uint64_t, static_cast<std::size_t>(Excuse::count_)> excused{};
        std::array<std::uint64_t, static_cast<std::size_t>(Rule::count_)> violations{};
    };
    Totals totals() const;
    std::uint64_t violations() const;

private:
    struct Attempt {
        std::string store;
        TimePoint arrivedAt, endedAt;
        AttemptEnd end = AttemptEnd::out;
        bool arrivalSeenLate = false;
    };
    struct Request {
        int gateway = 0;
        RequestClass kind = RequestClass::page;
        TimePoint sentAt, connectedAt;
        Millis patience{};
        bool namedCopy = false, answeredCurrent = false;
        int answers = 0;
        std::optional<TimePoint> clientEndedAt;
        std::vector<Attempt> attempts;
    };
    struct Period {
        TimePoint since;
        TimePoint until = TimePoint::max();
    };
    struct Purge {
        std::int64_t atMs = 0;
        TimePoint binds;
    };
    struct Stop {
        TimePoint endedAt;
        Millis time{};
    };

    // All with the lock held.
    void report(Rule rule, const std::string& what);
    Millis stoppedTime(int gateway, TimePoint since) const;
    std::optional<Excuse> excuseOf(const Request& request) const;
    void excuse(Excuse why) { ++totals_.excused[static_cast<std::size_t>(why)]; }
    TimePoint latestBusDelivery() const;
    void checkTimes(const std::string& trace, const Request& request, const std::string& store,
                    std::int64_t maxMs, const std::string& source, TimePoint now);
    void checkRepeat(const std::string& trace, const Request& request, TimePoint now, bool seenLate);
    void checkAfterCancel(const std::string& trace, const Request& request, const RespElements& answer,
                          TimePoint now, Millis held);
    void checkRefusal(const std::string& trace, const Request& request);
    void checkServed(const std::string& trace, const Request& request, const RespElements& answer,
                     const std::string& expectedPrefix);

    mutable std::mutex mutex_;
    TimePoint begun_;
    bool timeline_;
    std::unordered_map<std::string, Request> requests_;
    std::map<int, std::vector<Period>> dead_;     // from a kill until it serves again
    std::map<int, std::vector<Period>> leaving_;  // from SIGTERM until it serves again
    std::map<int, std::deque<Stop>> stops_;
    std::deque<Stop> stalls_;
    std::map<std::string, TimePoint> withdrawnAt_;  // from when on nothing may be sent
    std::map<std::string, Purge> purges_;
    TimePoint busFaultUntil_{};
    Totals totals_;
};

}  // namespace lotuslead::soak
