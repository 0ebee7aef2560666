// Works around two faults of libraft 0.15 in the handling of AppendEntries requests.
//
// First, a follower's reply reports the end of its log (`last_log_index`). In Raft this is the last entry
// that the request has proved to match: prev_log_index plus the request's entries (Ongaro and Ousterhout,
// "In search of an understandable consensus algorithm", figure 2). If the request carries nothing new, as a
// heartbeat does, libraft reports the end of the whole log instead. Entries of an older term behind the
// matching part, which the new leader has not overwritten yet, are then counted as replicas of the new
// leader's entries: the leader may commit entries that no majority has, and never sends them to that
// follower again. `raft_schedules` finds both failures without this guard.
//
// Second, libraft rejects a request that begins before the follower's own snapshot, because the term at
// that index is no longer known. If the leader's snapshot is older than the follower's, leader and follower
// reject each other forever. Everything in a snapshot is committed and the same on all agents, so the guard
// skips that part of the request.
//
// The guard wraps the core's raft_io: while a request is being handled, a reply reports no more than the
// request has proved. Replies that follow a write need no correction, since the write begins at the first
// differing entry and truncates everything behind it. Used on the loop's thread only, like the core.
#pragma once

#include <algorithm>
#include <cstddef>
#include <type_traits>

extern "C" {
#include <raft.h>
}

namespace lotuslead::agent {

struct AppendEntriesGuard {
    raft_io io{};  // first member: the core passes its address, from which the guard is recovered

    // Wraps the functions of `io`. Call after they are set and before raft_init.
    void install() {
        start_ = io.start;
        send_ = io.send;
        io.start = [](raft_io* self, unsigned ms, raft_io_tick_cb tick, raft_io_recv_cb receive) {
            fromIo(self).receive_ = receive;
            return fromIo(self).start_(self, ms, tick, [](raft_io* here, raft_message* message) {
                AppendEntriesGuard& guarded = fromIo(here);
                guarded.handlingAppendEntries_ = message->type == RAFT_IO_APPEND_ENTRIES;
                if (guarded.handlingAppendEntries_)
                    skipSnapshotEntries(*static_cast<raft*>(here->data), message->append_entries);
                if (guarded.handlingAppendEntries_)
                    guarded.lastMatchingIndex_ =
                        message->append_entries.prev_log_index + message->append_entries.n_entries;
                guarded.receive_(here, message);
                guarded.handlingAppendEntries_ = false;
            });
        };
        io.send = [](raft_io* self, raft_io_send* request, const raft_message* message,
                     raft_io_send_cb done) {
            const AppendEntriesGuard& guarded = fromIo(self);
            if (!guarded.handlingAppendEntries_ || message->type != RAFT_IO_APPEND_ENTRIES_RESULT ||
                message->append_entries_result.rejected != 0)
                return guarded.send_(self, request, message, done);
            raft_message bounded = *message;
            raft_index& last = bounded.append_entries_result.last_log_index;
            last = std::min(last, guarded.lastMatchingIndex_);
            return guarded.send_(self, request, &bounded, done);
        };
    }

    // ----- internal; public only to keep the standard layout -----

    // Makes the request begin right after the follower's snapshot.
    static void skipSnapshotEntries(const raft& core, raft_append_entries& request) {
        const raft_index snapshot = core.log.snapshot.last_index;
        if (request.prev_log_index >= snapshot || request.term < core.current_term) return;
        const auto coveredEntries =
            static_cast<unsigned>(std::min<raft_index>(snapshot - request.prev_log_index, request.n_entries));
        dropEntries(request, coveredEntries);
        request.prev_log_index = snapshot;
        request.prev_log_term = core.log.snapshot.last_term;
    }
    // Frees the first `count` entries and moves the others up.
    static void dropEntries(raft_append_entries& request, unsigned count) {
        if (count == 0) return;
        // Frees a batch's memory unless a remaining entry shares it.
        void* keptBatch = count < request.n_entries ? request.entries[count].batch : nullptr;
        for (unsigned i = 0; i < count; ++i) {
            void* batch = request.entries[i].batch;
            const bool shared = i + 1 < count && request.entries[i + 1].batch == batch;
            if (batch != keptBatch && !shared) raft_free(batch);
        }
        request.n_entries -= count;
        if (request.n_entries == 0) {
            raft_free(request.entries);
            request.entries = nullptr;
        } else {
            std::copy(request.entries + count, request.entries + count + request.n_entries, request.entries);
        }
    }
    static AppendEntriesGuard& fromIo(raft_io* io) { return *reinterpret_cast<AppendEntriesGuard*>(io); }

    decltype(raft_io::start) start_ = nullptr;
    decltype(raft_io::send) send_ = nullptr;
    raft_io_recv_cb receive_ = nullptr;
    bool handlingAppendEntries_ = false;  // the message being handled is an AppendEntries
    raft_index lastMatchingIndex_ = 0;  // the last entry that the request proves to match, if it is accepted
};
static_assert(std::is_standard_layout_v<AppendEntriesGuard>);

}  // namespace lotuslead::agent
