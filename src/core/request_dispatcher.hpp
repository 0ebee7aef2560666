// The requests in hand: each has one final answer and at most one attempt out. It knows no wire.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "rules.hpp"

namespace lotuslead::core {

// What an attempt brought back, where it was served.
struct Payload {
    std::string body;
    bool unchanged = false;  // the client's own copy is the one: no bytes
    std::vector<std::pair<std::string, std::string>> metadata;
    std::int64_t mintedMs = 0;  // Unix milliseconds: it is of then or later; zero: not told
};

struct Reply {
    enum class Kind { served, refused, failed } kind = Kind::failed;
    Micros retryAfter{};                 // with a refusal
    bool deadlineExceeded = false;       // the deadline ended it
    std::optional<Outcome> lastOutcome;  // of its last attempt, if it had one
    Payload payload;
};

struct AttemptResult {
    RequestId request = 0;
    int attempt = 0;
    Outcome outcome = Outcome::error;
    CacheStatus note = CacheStatus::none;
    bool ignoreForHealth = false;  // it says nothing of its host that another end has not said
    bool servedLocally = false;    // served from a copy of the gateway's own: no host was asked
    Payload payload;
};

// Whoever carries attempts to the hosts. Outcomes come back by RequestDispatcher::attemptEnded, never from
// within these calls.
class AttemptTransport {
public:
    virtual ~AttemptTransport() = default;
    virtual void send(Micros now, const Request& request, const Decision& send) = 0;
    // Gives the attempt up; its outcome is not told any more. True: not a byte of it was written.
    virtual bool cancel(Micros now, RequestId request, int attempt) = 0;
};

inline constexpr std::size_t kOutcomes = 9;
inline constexpr std::size_t kGiveUps = 5;
const char* nameOf(Outcome outcome);
const char* nameOf(GiveUpReason why);

struct Counters {
    std::uint64_t taken = 0, served = 0, unchanged = 0, refused = 0, failed = 0, clientsGone = 0,
                  deadlineExceeded = 0;
    std::uint64_t servedLocally = 0;  // served from a copy of the gateway's own
    std::uint64_t sent = 0, cancelled = 0;
    std::array<std::uint64_t, kOutcomes> outcomes{};  // by Outcome
    std::array<std::uint64_t, kGiveUps> gaveUp{};     // refused or failed without an answer, by GiveUpReason
};

class RequestDispatcher {
public:
    using AnswerCallback = std::function<void(RequestId, Reply&&)>;

    // What was asked for before a purge was told and comes in after it may be older than the purge. The
    // platform's rule counts from the send; a front that promises more has such answers fetched anew.
    enum class PurgeDuringFetch { serve, refetch };

    RequestDispatcher(DecisionFacade& decisions, AttemptTransport& transport,
                      PurgeDuringFetch purged = PurgeDuringFetch::serve)
        : decisions_(decisions), transport_(transport), purged_(purged) {}

    void submit(Micros now, Request request, AnswerCallback answer);
    void clientGone(Micros now, RequestId request);  // the client has gone: no answer is owed
    void attemptEnded(Micros now, AttemptResult end);
    void runTimers(Micros now);  // what is due by the clock
    Micros nextTimerAt() const;

    // Whether the attempt, picked earlier, may still be begun; asked right before its first byte.
    bool mayBegin(Micros now, RequestId request, int attempt);

    RuleChecks& checks() { return checks_; }
    const RuleChecks& checks() const { return checks_; }
    std::size_t openCount() const { return openCount_; }
    const Counters& counters() const { return counters_; }

private:
    struct RequestState {
        Request request;
        ClassSettings classSettings;  // as they were when it was taken
        AnswerCallback answer;
        Decision send;
        Micros sentAt{};
        bool attemptInFlight = false;  // an attempt is
        bool answered = false;
        std::optional<Outcome> lastOutcome;
        Locality sentTo;
        std::optional<EarlierRun> earlier;
    };

    void execute(Micros now, std::vector<Decision> decisions);
    std::vector<Decision> startAttempt(Micros now, RequestState& state, Decision&& send);
    Denial denialOf(Micros now, const RequestState& state, const Decision& send) const;
    Locality localityOf(const std::string& host) const;
    void giveUp(Micros now, RequestState& state, const Decision& decision);
    void finish(RequestState& state, Reply&& reply);
    std::vector<Decision> endAttempt(Micros now, RequestState& state, AttemptReport report);
    void forgetIfDone(RequestId request);

    DecisionFacade& decisions_;
    AttemptTransport& transport_;
    PurgeDuringFetch purged_;
    std::unordered_map<RequestId, RequestState> states_;
    std::set<std::tuple<Micros, RequestId, int>> timeouts_;
    std::size_t openCount_ = 0;
    RuleChecks checks_;
    Counters counters_;
};

}  // namespace lotuslead::core
