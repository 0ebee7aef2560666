// Tracks the open requests: each gets exactly one final answer and has at most one attempt in flight.
// Independent of any protocol.
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

#include "metadata.hpp"
#include "rules.hpp"

namespace lotuslead::core {

// Content of a served attempt.
struct Payload {
    std::string body;
    bool unchanged = false;  // the client's own copy is still valid: no body
    Metadata metadata;
    std::int64_t createdMs = 0;  // Unix milliseconds; the content is of this time or later; zero: not known
};

// Final answer to a request.
struct Reply {
    enum class Kind { served, refused, failed } kind = Kind::failed;
    Micros retryAfter{};                 // for refused
    bool deadlineExceeded = false;       // the deadline passed before an answer
    std::optional<Outcome> lastOutcome;  // of its last attempt, if there was one
    std::string host;                    // that served it; empty: a local copy
    Payload payload;
};

// How an attempt ended, as the transport reports it.
struct AttemptResult {
    RequestId request = 0;
    int attempt = 0;
    Outcome outcome = Outcome::error;
    CacheStatus cacheStatus = CacheStatus::none;
    bool ignoreForHealth = false;  // tells nothing new about the host's health
    bool servedLocally = false;    // from a local copy: no host was asked
    Payload payload;
};

// Sends attempts to the hosts. Results are reported through RequestDispatcher::attemptEnded, never from
// within these calls.
class AttemptTransport {
public:
    virtual ~AttemptTransport() = default;
    virtual void send(Micros now, const Request& request, const Decision& send) = 0;
    // Gives the attempt up; its result is not reported any more. Returns true if no byte of it was written.
    virtual bool cancel(Micros now, RequestId request, int attempt) = 0;
};

inline constexpr std::size_t kOutcomeCount = 9;
inline constexpr std::size_t kGiveUpReasonCount = 5;
const char* nameOf(Outcome outcome);
const char* nameOf(GiveUpReason why);

struct Counters {
    std::uint64_t submitted = 0, served = 0, unchanged = 0, refused = 0, failed = 0, clientsGone = 0,
                  deadlineExceeded = 0;
    std::uint64_t servedLocally = 0;  // from a local copy
    std::uint64_t sent = 0, cancelled = 0;
    std::array<std::uint64_t, kOutcomeCount> outcomes{};  // indexed by Outcome
    // Refused or failed without an answer, indexed by GiveUpReason.
    std::array<std::uint64_t, kGiveUpReasonCount> gaveUp{};
};

// Executes the decisions for the open requests and answers each of them once.
class RequestDispatcher {
public:
    using AnswerCallback = std::function<void(RequestId, Reply&&)>;

    // An answer that was requested before a purge and arrives after it may be older than the purge. The
    // platform's rule counts from the send; a front that promises more has such answers fetched again.
    enum class PurgeDuringFetch { serve, refetch };

    RequestDispatcher(DecisionFacade& decisions, AttemptTransport& transport,
                      PurgeDuringFetch purgeDuringFetch = PurgeDuringFetch::serve)
        : decisions_(decisions), transport_(transport), purgeDuringFetch_(purgeDuringFetch) {}

    void submit(Micros now, Request request, AnswerCallback answer);
    void clientGone(Micros now, RequestId request);  // no answer is owed any more
    void attemptEnded(Micros now, AttemptResult result);
    void runTimers(Micros now);  // handles due timeouts and timers
    Micros nextTimerAt() const;

    // Whether the attempt, decided on earlier, may still be started; asked right before its first byte is
    // sent.
    bool mayBegin(Micros now, RequestId request, int attempt);

    RuleChecks& checks() { return checks_; }
    const RuleChecks& checks() const { return checks_; }
    std::size_t openCount() const { return openCount_; }
    const Counters& counters() const { return counters_; }

private:
    struct RequestState {
        Request request;
        ClassSettings classSettings;  // as they were at submission
        AnswerCallback answer;
        Decision send;
        Micros sentAt{};
        bool attemptInFlight = false;
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
    PurgeDuringFetch purgeDuringFetch_;
    std::unordered_map<RequestId, RequestState> states_;
    std::set<std::tuple<Micros, RequestId, int>> timeouts_;
    std::size_t openCount_ = 0;
    RuleChecks checks_;
    Counters counters_;
};

}  // namespace lotuslead::core
