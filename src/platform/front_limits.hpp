// Times, sizes and counts by which the platform's front treats its clients. They are the platform's figures,
// in no setting.
#pragma once

#include <chrono>
#include <cstddef>

#include "../core/decision_facade.hpp"

namespace lotuslead::platform::limits {

using core::Micros;
using namespace std::chrono_literals;

inline constexpr std::size_t kMaxAnswerBytes = 240'000;
inline constexpr std::size_t kProcessBaseBytes =
    8 * 1024 * 1024;  // of a process at rest, with all that it knows
inline constexpr std::size_t kMaxClientBacklogBytes =
    2 * 1024 * 1024;                                      // unread answers at which a client is not read from
inline constexpr std::size_t kClientsAtFullBacklog = 16;  // of them may be so far behind
inline constexpr std::size_t kSlowReaderBytes = 256 * 1024;  // unread answers of one that reads slowly
inline constexpr double kAnswerSizeDeviations = 3;           // of answers' sizes, above their mean
inline constexpr Micros kAnswerTransitTime =
    10ms;  // the client counts from when it sent; so long an answer is under way
inline constexpr Micros kNoMemoryRetryAfter = 200ms;
// Bad clients: each is owed a refusal, an error or a close within 3 s of connecting.
inline constexpr Micros kFirstMessageTimeout = 2800ms;  // from connecting to the first whole message
inline constexpr Micros kMessageTimeout = 2800ms;       // from the first byte of a later one to its last
inline constexpr Micros kCloseLinger = 500ms;           // for what was answered to be read before the close
inline constexpr Micros kSilentGrace = 200ms;           // a new connection may still be about to ask
inline constexpr Micros kPartialMessageGrace = 50ms;    // and one that writes may be between two pieces
inline constexpr Micros kPartialMessageShutdownGrace =
    200ms;                                           // and before the process ends it has so long to go on
inline constexpr Micros kStartupBacklogWindow = 1s;  // what comes so soon may have waited for this process
inline constexpr Micros kMaxUnreadWait = 5s;
inline constexpr Micros kImmediateCancel = 20ms;  // no client that waits for its answer does so
// Operators send clients away: 4 s after that nobody is to be held.
inline constexpr Micros kDrainSweepInterval = 50ms;
inline constexpr Micros kDrainRefuseAfter = 1900ms;
// Where a connection has been refusing for so long, what is still open on it is failed: one slow request
// would have hundreds refused behind it.
inline constexpr Micros kDrainFailAfter = 2300ms;
inline constexpr Micros kDrainSilentGrace = 500ms;        // one that connects still has so long to ask
inline constexpr std::size_t kMaxOpenPerConnection = 32;  // the protocol's bound
inline constexpr int kMaxMessagesPerTurn = 16;            // of one client; then the others have their turn
inline constexpr int kMaxUselessMessages = 12;  // useless messages in a row that a connection may bring

}  // namespace lotuslead::platform::limits
