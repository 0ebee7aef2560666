// The rules of the protocol on what may be begun, each in one function over plain facts: whether a request
// may be taken, an attempt sent or repeated, a refusal worded, a connection closed, the service opened.
// Everybody who is about to take such a step asks here right before it. The decision module keeps the same
// rules by its choices; where it has not, the step is not taken and RuleChecks counts a violation.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "decision_facade.hpp"

namespace lotuslead::core {

// Why a step may not be taken; `none`: it may.
enum class Denial : std::uint8_t {
    none,
    answered,            // the request has its final answer, or its client has left
    attemptInFlight,     // another attempt of the request is out
    deadlinePassed,      // the client waits no longer
    hostNotReady,        // draining or gone
    sourceNotReady,      // likewise, as the source of a fill
    purgedSincePick,     // the limit on age does not know of a purge
    mayRunTwice,         // an attempt may have run, and the class allows no other
    keyWindowPassed,     // the server no longer knows the key of the attempt that may have run
    otherRepeatGroup,    // the key is known in another zone or cell
    mayHaveTakenEffect,  // a refusal would, and an attempt may have run
    copyNotNamed,        // no server has named the client's copy
    shuttingDown,        // the process answers what it has, and takes nothing more
    draining,            // operators send clients away
    connectionClosing,   // what follows on this connection can't be told apart or is useless
    tooManyOpen,         // on one connection
    noMemory,            // for the answer
    requestOpen,         // an answer is owed on the connection
    unreadBytes,         // a further request may have come
    unsentAnswer,        // a close could take it back
    notReady,            // lists or purges are still to be heard
    count_
};
const char* nameOf(Denial denial);

// Where an attempt went, as far as the repeats of a keyed class are bound to it.
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
    Readiness source = Readiness::ready;  // where there is none it is in nobody's way
    bool purgedSincePick = false;
    Locality to;
};
Denial maySend(const ClassSettings& rules, const SendFacts& facts, const std::optional<EarlierRun>& earlier);

// A refusal says that nothing has happened and that the client may come again.
Denial mayRefuse(const ClassSettings& rules, bool mayHaveRun);

struct AnswerFacts {
    bool answered = false;
    bool unchanged = false;    // tells the client that its own copy holds
    bool copyIsNamed = false;  // by the client, and by the server that answered
};
Denial mayAnswer(const AnswerFacts& facts);

struct AdmissionFacts {
    bool shuttingDown = false, draining = false;
    bool connectionClosing = false;
    std::size_t openOnConnection = 0, maxOnConnection = 0;
    bool hasRoom = true;
};
Denial mayAdmit(const AdmissionFacts& facts);

// Of a connection that this process closes of its own accord.
struct CloseFacts {
    std::size_t openRequests = 0;
    bool unreadBytes = false;
    std::size_t unsentBytes = 0;
};
Denial mayClose(const CloseFacts& facts);

struct StartFacts {
    bool prepared = false;        // lists and purges are as the event bus has them
    bool awaitsHandOver = false;  // of a predecessor
    bool waitedLongEnough = false;
};
Denial mayServe(const StartFacts& facts);

// Counts what was held back by reason, and steps that would have broken a rule.
class RuleChecks {
public:
    using Counts = std::array<std::uint64_t, static_cast<std::size_t>(Denial::count_)>;

    // A step that was right when it was chosen and may be so no longer. True: it may be taken.
    bool allows(Denial denial);
    // A step that has just been chosen: a denial is a fault of this program. True: it may be taken.
    bool require(Denial denial, const char* step, const std::string& subject);

    std::uint64_t violations() const { return violations_; }
    const Counts& heldBack() const { return heldBack_; }

private:
    Counts heldBack_{};
    std::uint64_t violations_ = 0;
};

}  // namespace lotuslead::core
