// Stands behind libraft's raft_io (its published interface) in place of libraft's own files, and never
// reports a failed write to the core: an append, a snapshot or a vote that the disk does not take is kept and
// tried again.
//
// libraft 0.15 does not outlive a failed write. A failed append leaves its files unusable for the life of the
// process, and the leader's log shorter than what it counts as sent, so that it sends a snapshot that does
// not exist (a null pointer); a failed vote makes the core unavailable for good.
//
// What the core may conclude, and when:
//   - An append or a snapshot is complete when it is durable. Until then it waits, in order.
//   - A term and a vote count for the core at once. Until they are durable no message leaves this agent, so
//   nobody
//     can have heard of a vote that a restart would forget.
//   - While writes fail this agent asks for no votes and takes no leadership that is handed to it.
//   - A follower with too much unwritten takes requests without their entries; the leader sends them again.
//
// Files are written on libuv's thread pool, one job at a time; all else is the loop's thread.
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

// The core hands out the address of `guarded.io`, from which the storage is found again.
struct StorageIo {
    AppendEntriesGuard guarded{};
    RaftStorage* storage = nullptr;
};
static_assert(std::is_standard_layout_v<StorageIo>);

class RaftStorage {
public:
    struct Counters {
        std::uint64_t failures = 0;    // attempts at writing that failed
        std::uint64_t recoveries = 0;  // times that writing went on after failures
    };

    // Reads the folder. Throws as RaftLog does.
    RaftStorage(uv_loop_t& loop, const std::string& folder);
    RaftStorage(const RaftStorage&) = delete;
    RaftStorage& operator=(const RaftStorage&) = delete;

    // Takes over the functions of `io` that store, once libraft's own are in place and before GuardedIo's.
    void attach(StorageIo& io);

    // Since the first of the writes that have failed without a success since; zero: writes do not fail.
    std::chrono::milliseconds failingFor() const;
    bool failing() const { return failingSince_ != 0 || termAndVotePending_; }
    // More waits to be written than may.
    bool backlogFull() const { return unwrittenBytes_ > kMaxUnwrittenBytes; }
    const Counters& counters() const { return counters_; }

private:
    static constexpr std::size_t kMaxUnwrittenBytes = std::size_t{64} << 20;

    // An append or a snapshot that the core waits for.
    struct PendingWrite {
        enum class Kind { append, snapshot, install };
        Kind kind = Kind::append;
        raft_io_append* append = nullptr;
        raft_io_append_cb appended = nullptr;
        const raft_entry* entries = nullptr;  // the core keeps them until the append is complete
        unsigned count = 0;
        std::uint64_t firstIndex = 0;
        std::size_t bytes = 0;
        raft_io_snapshot_put* put = nullptr;
        raft_io_snapshot_put_cb stored = nullptr;
        LogSnapshot snapshot;
        std::uint64_t keepFrom = 0;
    };
    struct SnapshotRead;
    struct WithheldSend {
        raft_io_send* request;
        raft_io_send_cb done;
    };

    static RaftStorage& fromIo(raft_io* io) { return *reinterpret_cast<StorageIo*>(io)->storage; }

    // The functions of raft_io.
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
    void writeBatch();   // on the pool's thread
    void finishWrite();  // back on the loop's
    static void complete(const PendingWrite& job, int status);
    void recordFailure(const std::string& what);
    void recordSuccess();
    void scheduleRetry();
    void dropWithheldSends(int status);
    void closeTransportOnceIdle();

    uv_loop_t& loop_;
    std::string folder_;
    RaftLog log_;
    RaftLog::Content content_;  // as read, until the core has loaded it
    StorageIo* io_ = nullptr;
    TermAndVote termAndVote_;
    bool termAndVotePending_ = false;  // it is not durable yet
    std::uint64_t nextIndex_ = 1;
    std::deque<PendingWrite> queue_;
    std::vector<PendingWrite> batch_;  // taken from `waiting_`; read by the pool's thread while `writing_`
    bool writing_ = false;
    std::size_t unwrittenBytes_ = 0;
    std::string writeError_;  // of the attempt in hand; empty: it went well
    uv_work_t work_{};
    uv_timer_t retryTimer_{};
    uv_timer_t withheldTimer_{};
    std::vector<WithheldSend> withheldSends_;
    int snapshotReads_ = 0;           // under way
    std::uint64_t failingSince_ = 0;  // on the loop's clock, in ms
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
