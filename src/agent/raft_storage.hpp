// Implements the storage functions of libraft's raft_io in place of libraft's own back end, and never
// reports a failed write to the core: an append, a snapshot or a vote that cannot be written is kept and
// retried.
//
// libraft 0.15 does not survive a failed write. After a failed append it cannot use its files until the
// process restarts. The leader's log then ends before entries that the leader has recorded as sent, so that
// it tries to send a snapshot that does not exist (a null pointer). After a failed vote the core stays
// unavailable.
//
// Guarantees towards the core:
//   - An append or a snapshot is completed when it is durable. Until then it is queued, in order.
//   - A term and a vote take effect in the core at once. Until they are durable no message is sent, so no
//     other agent can learn of a vote that would be lost in a restart.
//   - While writes fail, this agent requests no votes and ignores leadership transfers to it.
//   - A follower whose backlog of writes is full receives requests without their entries; the leader
//     sends the entries again.
//
// Files are written on libuv's thread pool, one batch at a time; everything else runs on the loop's thread.
#pragma once

#include <uv.h>

#include <chrono>
#include <deque>
#include <string>
#include <vector>

#include "append_entries_guard.hpp"
#include "raft_log.hpp"

namespace lotuslead::agent {

class RaftStorage;

// The core passes the address of `guarded.io`, from which fromIo() finds the storage.
struct StorageIo {
    AppendEntriesGuard guarded{};
    RaftStorage* storage = nullptr;
};
static_assert(std::is_standard_layout_v<StorageIo>);

class RaftStorage {
public:
    struct Counters {
        std::uint64_t failures = 0;    // failed write attempts
        std::uint64_t recoveries = 0;  // how often writes succeeded again after failures
    };

    // Reads the folder. Throws like RaftLog::open.
    RaftStorage(uv_loop_t& loop, const std::string& folder);
    RaftStorage(const RaftStorage&) = delete;
    RaftStorage& operator=(const RaftStorage&) = delete;

    // Replaces the storage functions of `io`. Call after libraft has set its own and before
    // AppendEntriesGuard::install.
    void attach(StorageIo& io);

    // Time since the first of the current series of failed writes; zero if writes succeed.
    std::chrono::milliseconds failingFor() const;
    // Also true while a term or a vote is not durable yet, without a failure.
    bool failingOrVotePending() const { return failingSince_ != 0 || termAndVotePending_; }
    // More bytes of entries than kMaxUnwrittenBytes are not durable yet. Then entries received from a leader
    // are dropped, and Consensus accepts no proposals.
    bool backlogFull() const { return unwrittenBytes_ > kMaxUnwrittenBytes; }
    const Counters& counters() const { return counters_; }

private:
    // Of the data of appended entries; snapshots are not counted.
    static constexpr std::size_t kMaxUnwrittenBytes = std::size_t{64} << 20;

    // An append or a snapshot whose completion the core waits for.
    struct PendingWrite {
        // `snapshot`: taken by this agent. `install`: received from the leader; it replaces all entries.
        enum class Kind { append, snapshot, install };
        Kind kind = Kind::append;
        raft_io_append* append = nullptr;
        raft_io_append_cb appended = nullptr;
        const raft_entry* entries = nullptr;  // owned by the core until the append completes
        unsigned count = 0;
        std::uint64_t firstIndex = 0;
        std::size_t bytes = 0;  // of the entries' data; zero for a snapshot
        raft_io_snapshot_put* put = nullptr;
        raft_io_snapshot_put_cb stored = nullptr;
        LogSnapshot snapshot;
        std::uint64_t keepFrom = 0;  // entries before this index may be removed; used for `snapshot` only
    };
    struct SnapshotRead;  // a read of the stored snapshot for the core, on libuv's thread pool
    // A message that is not sent. Only its callback is kept, to be called with an error: to the core the
    // message was lost.
    struct DroppedSend {
        raft_io_send* request;
        raft_io_send_cb done;
    };

    static RaftStorage& fromIo(raft_io* io) { return *reinterpret_cast<StorageIo*>(io)->storage; }

    // Implementations of the raft_io functions.
    int load(raft_term* term, raft_id* vote, raft_snapshot** snapshot, raft_index* firstIndex,
             raft_entry** entries, std::size_t* count);
    int bootstrap(const raft_configuration& configuration);
    int recover(const raft_configuration& configuration);
    int append(raft_io_append* request, const raft_entry* entries, unsigned count, raft_io_append_cb done);
    int putSnapshot(unsigned trailing, raft_io_snapshot_put* request, const raft_snapshot& snapshot,
                    raft_io_snapshot_put_cb done);
    int getSnapshot(raft_io_snapshot_get* request, raft_io_snapshot_get_cb done);
    int send(raft_io_send* request, const raft_message* message, raft_io_send_cb done);
    void receive(raft_message* message);
    void close(raft_io_close_cb done);

    int setTermAndVote(const TermAndVote& termAndVote);
    int appendConfiguration(const raft_configuration& configuration, std::uint64_t term);
    bool writeTermAndVote();
    void takeBatch();
    void startNextWrite();
    void writeBatch();   // on a thread of the pool
    void finishWrite();  // on the loop's thread
    static void complete(const PendingWrite& job, int status);
    void recordFailure(const std::string& what);
    void recordSuccess();
    void scheduleRetry();
    void failDroppedSends(int status);
    void closeTransportOnceIdle();

    uv_loop_t& loop_;
    std::string folder_;
    RaftLog log_;
    RaftLog::Content content_;  // as loaded, until passed on to the core
    StorageIo* io_ = nullptr;
    TermAndVote termAndVote_;
    bool termAndVotePending_ = false;  // not durable yet
    std::uint64_t nextIndex_ = 1;
    std::deque<PendingWrite> queue_;
    std::vector<PendingWrite> batch_;  // taken from `queue_`; read on the pool's thread while `writing_`
    bool writing_ = false;
    std::size_t unwrittenBytes_ = 0;
    std::string writeError_;  // of the current attempt; empty on success
    uv_work_t work_{};
    uv_timer_t retryTimer_{};
    uv_timer_t droppedSendsTimer_{};
    std::vector<DroppedSend> droppedSends_;
    int snapshotReads_ = 0;           // in progress
    std::uint64_t failingSince_ = 0;  // loop time in ms; zero: not failing
    Counters counters_;
    bool closing_ = false;
    int openTimers_ = 2;
    raft_io_close_cb closed_ = nullptr;

    decltype(raft_io::start) transportStart_ = nullptr;
    decltype(raft_io::send) transportSend_ = nullptr;
    decltype(raft_io::close) transportClose_ = nullptr;
    raft_io_recv_cb receive_ = nullptr;
};

}  // namespace lotuslead::agent
