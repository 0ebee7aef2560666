// Protocol rules on what may be started, one pure function each: whether a request may be admitted, an
// attempt sent or repeated, a refusal answered, a connection closed, the service opened. Callers ask right
// before the step. The decision module follows the same rules in its choices; where it does not, the step is
// not taken and RuleChecks counts a violation.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "decision_facade.hpp"

namespace lotuslead::core {

// Why a step is denied; `none`: it is allowed.
enum class Denial : std::uint8_t {
    none,
    answered,                   // the request has its final answer, or its client has left
    attemptInFlight,            // another attempt of the request is in flight
    deadlinePassed,             // the client's deadline has passed
    hostNotReady,               // draining or gone
    sourceNotReady,             // the source of the fill is draining or gone
    purgedSincePick,            // a purge arrived after the age limit was chosen
    mayRunTwice,                // an attempt may have run, and the class allows no second one
    deduplicationWindowPassed,  // the server no longer knows the key of the attempt that may have run
    outsideDeduplicationScope,  // the key is known in another zone or cell only
    mayHaveTakenEffect,         // a refusal would promise no effect, but an attempt may have run
    copyNotNamed,               // no server has confirmed the tag of the client's copy
    shuttingDown,               // the process completes open requests and admits no new ones
    draining,                   // operators have told clients to go elsewhere
    connectionClosing,          // further input on this connection is unreadable or useless
    tooManyOpen,                // on one connection
    noMemory,                   // for the answer
    cancelUnread,               // input that may hold a cancellation has waited unread for too long
    requestOpen,                // an answer is owed on the connection
    unreadBytes,                // another request may have arrived
    unsentAnswer,               // closing could discard the answer
    notReady,                   // host lists or purges have not been received yet
    count_
};
const char* nameOf(Denial denial);

// Where an attempt went, as far as retries of a keyed class are bound to it.
struct Locality {
    int zone = 0;
    std::int64_t cell = 0;
};

// The first attempt of a request that may have run.
struct EarlierRun {
    Micros sentAt{};
    Locality at;
};

Denial mayRepeat(const ClassSettings& rules, const std::optional<EarlierRun>& earlier, Micros now,
                 Locality to);

struct SendFacts {
    bool answered = false;
    bool attemptInFlight = false;
    Micros now{}, deadline{};
    Readiness host = Readiness::gone;
    Readiness source = Readiness::ready;  // ready if there is no source
    bool purgedSincePick = false;
    Locality to;
};
Denial maySend(const ClassSettings& rules, const SendFacts& facts, const std::optional<EarlierRun>& earlier);

// A refusal promises that the request had no effect and may be retried.
Denial mayRefuse(const ClassSettings& rules, bool mayHaveRun);

struct AnswerFacts {
    bool answered = false;
    bool unchanged = false;    // tells the client that its own copy is still valid
    bool copyIsNamed = false;  // both the client and the answering server named its tag
};
Denial mayAnswer(const AnswerFacts& facts);

struct AdmissionFacts {
    bool shuttingDown = false, draining = false;
    bool connectionClosing = false;
    std::size_t openOnConnection = 0, maxOnConnection = 0;
    bool mayHaveCancelled = false;  // in input that has waited unread for too long
    bool hasRoom = true;
};
Denial mayAdmit(const AdmissionFacts& facts);

// For a connection that this process closes on its own initiative.
struct CloseFacts {
    std::size_t openRequests = 0;
    bool unreadBytes = false;
    std::size_t unsentBytes = 0;
};
Denial mayClose(const CloseFacts& facts);

struct StartFacts {
    bool initialSyncComplete = false;  // host lists and purges are up to date with the event bus
    bool awaitsHandOver = false;       // of a predecessor's state
    bool waitedLongEnough = false;
};
Denial mayServe(const StartFacts& facts);

// Counts denied steps by reason, and violations: steps that would have broken a rule.
class RuleChecks {
public:
    using Counts = std::array<std::uint64_t, static_cast<std::size_t>(Denial::count_)>;

    // For a step that was valid when it was chosen and may no longer be. Returns whether it may be taken.
    bool allows(Denial denial);
    // For a step that has just been chosen: a denial is a bug in this program. Returns whether it may be
    // taken.
    bool require(Denial denial, const char* step, const std::string& subject);

    std::uint64_t violations() const { return violations_; }
    const Counts& denials() const { return denials_; }

private:
    Counts denials_{};
    std::uint64_t violations_ = 0;
};

}  // namespace lotuslead::core
