// Keeps libraft 0.15 from counting entries that nobody has compared.
//
// A follower answers an AppendEntries with the end of its log (`last_log_index`). Raft means: the last entry
// that this request has shown to match (prev_log_index and the entries behind it; Ongaro and Ousterhout, "In
// search of an understandable consensus algorithm", figure 2). Where the request brought nothing new, such as
// a heartbeat, libraft answers with the end of the whole log all the same. Entries of an older term that lie
// behind, and that a new leader has not overwritten yet, then count as copies of the new leader's: it may
// take for agreed what no majority has, and never sends them to that follower again. `raft_schedules` finds
// both without this guard.
//
// And a request that begins before the follower's own snapshot is refused by libraft, since the term there is
// not held any more. Where the leader's snapshot is older than the follower's, both refuse each other for
// ever. What a snapshot holds was agreed on and is the same everywhere, so that much of the request is passed
// over.
//
// The guard stands between the core and its I/O: while a request is handled, an answer goes out with no more
// than that request has shown. Answers that follow a write are right as they are, since the write begins at
// the first entry that differs and cuts off all behind. Used on the loop's thread, like the core.
#pragma once

#include <algorithm>
#include <cstddef>
#include <type_traits>

extern "C" {
#include <raft.h>
}

namespace lotuslead::agent {

struct AppendEntriesGuard {
    raft_io io{};  // first: the core hands out its address, from which the guard is found again

    // Once the functions of `io` are in place, before raft_init.
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

    // ----- its own; public only so that the layout is the standard one -----

    // Begins the request behind the follower's snapshot.
    static void skipSnapshotEntries(const raft& core, raft_append_entries& request) {
        const raft_index snapshot = core.log.snapshot.last_index;
        if (request.prev_log_index >= snapshot || request.term < core.current_term) return;
        const auto coveredEntries =
            static_cast<unsigned>(std::min<raft_index>(snapshot - request.prev_log_index, request.n_entries));
        dropEntries(request, coveredEntries);
        request.prev_log_index = snapshot;
        request.prev_log_term = core.log.snapshot.last_term;
    }
    // Frees the first `count` entries; the others move up.
    static void dropEntries(raft_append_entries& request, unsigned count) {
        if (count == 0) return;
        // Their memory goes, too, unless one that stays shares it.
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
    bool handlingAppendEntries_ = false;  // an AppendEntries, now
    raft_index lastMatchingIndex_ = 0;    // the last entry that it shows to match, if it is accepted
};
static_assert(std::is_standard_layout_v<AppendEntriesGuard>);

}  // namespace lotuslead::agent
