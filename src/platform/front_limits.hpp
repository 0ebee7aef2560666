// Timeouts, sizes and counts of the platform's front. The platform prescribes them; they are no settings.
#pragma once

#include <chrono>
#include <cstddef>

#include "../core/decision_facade.hpp"

namespace lotuslead::platform::limits {

using core::Micros;
using namespace std::chrono_literals;

inline constexpr std::size_t kMaxAnswerBytes = 240'000;
// Memory of an idle process with all its state.
inline constexpr std::size_t kProcessBaseBytes = 8 * 1024 * 1024;
// Unread answers at which input of the client is no longer read.
inline constexpr std::size_t kMaxClientBacklogBytes = 2 * 1024 * 1024;
inline constexpr std::size_t kClientsAtFullBacklog = 16;     // that many clients may reach that limit
inline constexpr std::size_t kSlowReaderBytes = 256 * 1024;  // unread answers that mark a slow reader
inline constexpr std::size_t kMaxMessageBytes = 80 * 1024;   // of one message of a client
inline constexpr std::size_t kOpenCallBytes = 3 * 1024;      // of an open call without its body and answer
inline constexpr std::size_t kBodyCopies = 2;                // the call's, and the one on its way to a store
inline constexpr Micros kInputResumeInterval = 1ms;          // for clients whose input waits for memory
inline constexpr Micros kMemoryTrimDelay = 500ms;            // after a burst of clients
// No attempt may begin more than 0.1 s after its client has closed or cancelled.
inline constexpr Micros kMaxCancelDelay = 90ms;
inline constexpr double kAnswerSizeDeviations = 3;  // deviations of the answer size above its mean
// Time for the answer to reach the client, whose own deadline counts from when it sent the call.
inline constexpr Micros kAnswerTransitTime = 10ms;
inline constexpr Micros kRefusalRetryAfter = 200ms;
// Misbehaving clients: each is owed a refusal, an error or a close within 3 s of connecting.
inline constexpr Micros kFirstMessageTimeout = 2800ms;  // from connecting to the first complete message
inline constexpr Micros kMessageTimeout = 2800ms;       // from the first byte of a later message to its last
inline constexpr Micros kCloseLinger = 500ms;           // for the client to read its answers before the close
inline constexpr int kMaxCloseExtensions = 8;           // by that time, while its input waits to be read
inline constexpr Micros kSilentGrace = 200ms;           // a new connection may be about to send a request
inline constexpr Micros kPartialMessageGrace = 50ms;    // a sender may be between two writes
// For a partial message to continue before the process exits.
inline constexpr Micros kPartialMessageShutdownGrace = 200ms;
inline constexpr Micros kStartupBacklogWindow = 1s;  // such early input may have waited for us
inline constexpr Micros kMaxUnreadWait = 5s;
inline constexpr Micros kImmediateCancel = 20ms;  // no client that waits for its answer cancels this early
// Drain: 4 s after its start no client may be left.
inline constexpr Micros kDrainSweepInterval = 50ms;
inline constexpr Micros kDrainRefuseAfter = 1900ms;
// A connection that has refused calls for this long has its open requests failed: a single slow request could
// otherwise cause hundreds of refusals behind it.
inline constexpr Micros kDrainFailAfter = 2300ms;
inline constexpr Micros kDrainSilentGrace = 500ms;        // for a new connection to send its first request
inline constexpr std::size_t kMaxOpenPerConnection = 32;  // fixed by the protocol
inline constexpr int kMaxMessagesPerTurn = 16;            // of one client, before the others get their turn
inline constexpr int kMaxUselessMessages = 12;            // consecutive, on one connection

}  // namespace lotuslead::platform::limits
