#include "raft_storage.hpp"

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <exception>
#include <memory>
#include <new>
#include <utility>

namespace lotuslead::agent {

namespace {

constexpr std::uint64_t kRetryDelayMs = 100;
constexpr std::size_t kMaxBatchBytes = std::size_t{16} << 20;  // of appends that are combined into one write
constexpr std::uint64_t kBootstrapTerm = 1;

raft_buffer copyOf(std::string_view bytes) {
    raft_buffer buffer{};
    if (bytes.empty()) return buffer;
    buffer.base = raft_malloc(bytes.size());
    if (buffer.base == nullptr) throw std::bad_alloc();
    buffer.len = bytes.size();
    std::memcpy(buffer.base, bytes.data(), bytes.size());
    return buffer;
}

template <class Value>
Value* allocate(std::size_t count = 1) {
    void* memory = raft_calloc(count, sizeof(Value));
    if (memory == nullptr) throw std::bad_alloc();
    return static_cast<Value*>(memory);
}

std::string_view bytesOf(const raft_buffer& buffer) {
    return {static_cast<const char*>(buffer.base), buffer.len};
}

LogSnapshot copyOf(const raft_snapshot& from) {
    LogSnapshot snapshot;
    snapshot.index = from.index;
    snapshot.term = from.term;
    snapshot.configurationIndex = from.configuration_index;
    for (unsigned i = 0; i < from.configuration.n; ++i) {
        const raft_server& server = from.configuration.servers[i];
        snapshot.members.push_back({server.id, server.address, server.role});
    }
    for (unsigned i = 0; i < from.n_bufs; ++i) snapshot.data += bytesOf(from.bufs[i]);
    return snapshot;
}

// Allocated with raft_malloc, since the core frees it.
raft_snapshot* makeRaftSnapshot(const LogSnapshot& from) {
    auto* snapshot = allocate<raft_snapshot>();
    snapshot->index = from.index;
    snapshot->term = from.term;
    snapshot->configuration_index = from.configurationIndex;
    raft_configuration_init(&snapshot->configuration);
    for (const SnapshotMember& member : from.members)
        raft_configuration_add(&snapshot->configuration, member.id, member.address.c_str(), member.role);
    snapshot->bufs = allocate<raft_buffer>();
    *snapshot->bufs = copyOf(from.data);
    snapshot->n_bufs = 1;
    return snapshot;
}

}  // namespace

struct RaftStorage::SnapshotRead {
    uv_work_t work{};
    RaftStorage* storage = nullptr;
    raft_io_snapshot_get* request = nullptr;
    raft_io_snapshot_get_cb done = nullptr;
    std::string folder;
    std::optional<LogSnapshot> snapshot;
};

RaftStorage::RaftStorage(uv_loop_t& loop, const std::string& folder)
    : loop_(loop), folder_(folder), log_(folder), content_(log_.open()), termAndVote_(content_.termAndVote) {
    nextIndex_ = content_.firstIndex + content_.entries.size();
    uv_timer_init(&loop_, &retryTimer_);
    uv_timer_init(&loop_, &droppedSendsTimer_);
    work_.data = retryTimer_.data = droppedSendsTimer_.data = this;
}

void RaftStorage::attach(StorageIo& stored) {
    io_ = &stored;
    stored.storage = this;
    raft_io& io = stored.guarded.io;
    transportStart_ = io.start;
    transportSend_ = io.send;
    transportClose_ = io.close;
    io.load = [](raft_io* self, raft_term* term, raft_id* vote, raft_snapshot** snapshot, raft_index* first,
                 raft_entry** entries, std::size_t* count) {
        return fromIo(self).load(term, vote, snapshot, first, entries, count);
    };
    io.bootstrap = [](raft_io* self, const raft_configuration* configuration) {
        return fromIo(self).bootstrap(*configuration);
    };
    io.recover = [](raft_io* self, const raft_configuration* configuration) {
        return fromIo(self).recover(*configuration);
    };
    io.set_term = [](raft_io* self, raft_term term) { return fromIo(self).setTermAndVote({term, 0}); };
    io.set_vote = [](raft_io* self, raft_id id) {
        return fromIo(self).setTermAndVote({fromIo(self).termAndVote_.term, id});
    };
    io.append = [](raft_io* self, raft_io_append* request, const raft_entry* entries, unsigned count,
                   raft_io_append_cb done) { return fromIo(self).append(request, entries, count, done); };
    io.truncate = [](raft_io* self, raft_index index) {
        fromIo(self).nextIndex_ = index;  // the next append replaces entries from this index on
        return 0;
    };
    io.snapshot_put = [](raft_io* self, unsigned trailing, raft_io_snapshot_put* request,
                         const raft_snapshot* snapshot, raft_io_snapshot_put_cb done) {
        return fromIo(self).putSnapshot(trailing, request, *snapshot, done);
    };
    io.snapshot_get = [](raft_io* self, raft_io_snapshot_get* request, raft_io_snapshot_get_cb done) {
        return fromIo(self).getSnapshot(request, done);
    };
    io.send = [](raft_io* self, raft_io_send* request, const raft_message* message, raft_io_send_cb done) {
        return fromIo(self).send(request, message, done);
    };
    io.start = [](raft_io* self, unsigned ms, raft_io_tick_cb tick, raft_io_recv_cb handle) {
        fromIo(self).receive_ = handle;
        return fromIo(self).transportStart_(
            self, ms, tick, [](raft_io* here, raft_message* message) { fromIo(here).receive(message); });
    };
    io.close = [](raft_io* self, raft_io_close_cb done) { fromIo(self).close(done); };
}

std::chrono::milliseconds RaftStorage::failingFor() const {
    return std::chrono::milliseconds{failingSince_ == 0 ? 0 : uv_now(&loop_) - failingSince_ + 1};
}

// ----- startup -----

int RaftStorage::load(raft_term* term, raft_id* vote, raft_snapshot** snapshot, raft_index* firstIndex,
                      raft_entry** entries, std::size_t* count) {
    const RaftLog::Content content = std::exchange(content_, {});
    *term = termAndVote_.term;
    *vote = termAndVote_.vote;
    *snapshot = content.snapshot ? makeRaftSnapshot(*content.snapshot) : nullptr;
    *firstIndex = content.firstIndex;
    *count = content.entries.size();
    *entries = content.entries.empty() ? nullptr : allocate<raft_entry>(content.entries.size());
    for (std::size_t i = 0; i < content.entries.size(); ++i) {
        const LogEntry& from = content.entries[i];
        (*entries)[i] = {from.term, from.type, copyOf(from.data), nullptr};
    }
    return 0;
}

int RaftStorage::appendConfiguration(const raft_configuration& configuration, std::uint64_t term) {
    raft_buffer buffer{};
    if (const int result = raft_configuration_encode(&configuration, &buffer); result != 0) return result;
    const LogEntryView entry{term, RAFT_CHANGE, bytesOf(buffer)};
    int result = 0;
    try {
        log_.append(nextIndex_, {&entry, 1});
        content_.entries.push_back({entry.term, entry.type, std::string(entry.data)});
        ++nextIndex_;
    } catch (const std::exception& problem) {
        std::snprintf(io_->guarded.io.errmsg, sizeof io_->guarded.io.errmsg, "%s", problem.what());
        result = RAFT_IOERR;
    }
    raft_free(buffer.base);
    return result;
}

int RaftStorage::bootstrap(const raft_configuration& configuration) {
    if (content_.snapshot || !content_.entries.empty() || termAndVote_.term > 0) return RAFT_CANTBOOTSTRAP;
    if (const int result = appendConfiguration(configuration, kBootstrapTerm); result != 0) return result;
    return setTermAndVote({kBootstrapTerm, 0});
}

int RaftStorage::recover(const raft_configuration& configuration) {
    return appendConfiguration(configuration, std::max(termAndVote_.term, kBootstrapTerm));
}

// ----- term and vote -----

int RaftStorage::setTermAndVote(const TermAndVote& termAndVote) {
    termAndVote_ = termAndVote;
    termAndVotePending_ = true;
    if (!writeTermAndVote()) scheduleRetry();
    return 0;
}

bool RaftStorage::writeTermAndVote() {
    try {
        log_.writeTermAndVote(termAndVote_);
    } catch (const std::exception& problem) {
        recordFailure(problem.what());
        return false;
    }
    termAndVotePending_ = false;
    if (queue_.empty() && batch_.empty()) recordSuccess();
    return true;
}

// ----- entries and snapshots -----

int RaftStorage::append(raft_io_append* request, const raft_entry* entries, unsigned count,
                        raft_io_append_cb done) {
    PendingWrite& job = queue_.emplace_back();
    job.append = request;
    job.appended = done;
    job.entries = entries;
    job.count = count;
    job.firstIndex = nextIndex_;
    for (unsigned i = 0; i < count; ++i) job.bytes += entries[i].buf.len;
    nextIndex_ += count;
    unwrittenBytes_ += job.bytes;
    startNextWrite();
    return 0;
}

int RaftStorage::putSnapshot(unsigned trailing, raft_io_snapshot_put* request, const raft_snapshot& snapshot,
                             raft_io_snapshot_put_cb done) {
    const bool installs = trailing == 0;
    PendingWrite& job = queue_.emplace_back();
    job.kind = installs ? PendingWrite::Kind::install : PendingWrite::Kind::snapshot;
    job.put = request;
    job.stored = done;
    job.snapshot = copyOf(snapshot);
    job.keepFrom = snapshot.index >= trailing ? snapshot.index - trailing + 1 : 1;
    if (installs) nextIndex_ = snapshot.index + 1;
    startNextWrite();
    return 0;
}

int RaftStorage::getSnapshot(raft_io_snapshot_get* request, raft_io_snapshot_get_cb done) {
    auto read = std::make_unique<SnapshotRead>();
    read->work.data = read.get();
    read->storage = this;
    read->request = request;
    read->done = done;
    read->folder = folder_;
    const int result = uv_queue_work(
        &loop_, &read->work,
        [](uv_work_t* work) {
            auto& self = *static_cast<SnapshotRead*>(work->data);
            try {
                self.snapshot = RaftLog::readSnapshot(self.folder);
            } catch (const std::exception& problem) {
                std::fprintf(stderr, "agent: raft log: %s\n", problem.what());
            }
        },
        [](uv_work_t* work, int) {
            const std::unique_ptr<SnapshotRead> self(static_cast<SnapshotRead*>(work->data));
            --self->storage->snapshotReads_;
            // With status zero the core expects a snapshot.
            if (self->snapshot)
                self->done(self->request, makeRaftSnapshot(*self->snapshot), 0);
            else
                self->done(self->request, nullptr, RAFT_IOERR);
            self->storage->closeTransportOnceIdle();
        });
    if (result != 0) return RAFT_NOMEM;
    ++snapshotReads_;
    static_cast<void>(read.release());
    return 0;
}

// Combines consecutive queued appends into one batch; a snapshot forms a batch of its own.
void RaftStorage::takeBatch() {
    std::size_t bytes = 0;
    while (!queue_.empty() && bytes < kMaxBatchBytes) {
        const PendingWrite& next = queue_.front();
        if (!batch_.empty()) {
            const PendingWrite& last = batch_.back();
            const bool follows = last.kind == PendingWrite::Kind::append &&
                                 next.kind == PendingWrite::Kind::append &&
                                 last.firstIndex + last.count == next.firstIndex;
            if (!follows) return;
        }
        bytes += next.bytes;
        batch_.push_back(std::move(queue_.front()));
        queue_.pop_front();
    }
}

void RaftStorage::startNextWrite() {
    if (writing_ || closing_) return;
    if (batch_.empty()) takeBatch();
    if (batch_.empty()) return;
    if (termAndVotePending_ && !writeTermAndVote())
        return scheduleRetry();  // entries must not become durable before their term
    writeError_.clear();
    const int result = uv_queue_work(
        &loop_, &work_, [](uv_work_t* work) { static_cast<RaftStorage*>(work->data)->writeBatch(); },
        [](uv_work_t* work, int) { static_cast<RaftStorage*>(work->data)->finishWrite(); });
    writing_ = result == 0;
    if (!writing_) scheduleRetry();
}

void RaftStorage::writeBatch() {
    try {
        const PendingWrite& first = batch_.front();
        if (first.kind == PendingWrite::Kind::snapshot)
            return log_.writeSnapshot(first.snapshot, first.keepFrom);
        if (first.kind == PendingWrite::Kind::install) return log_.installSnapshot(first.snapshot);
        std::vector<LogEntryView> entries;
        for (const PendingWrite& job : batch_)
            for (unsigned i = 0; i < job.count; ++i) {
                const raft_entry& entry = job.entries[i];
                entries.push_back({entry.term, entry.type, bytesOf(entry.buf)});
            }
        log_.append(first.firstIndex, entries);
    } catch (const std::exception& problem) {
        writeError_ = problem.what();
    }
}

void RaftStorage::finishWrite() {
    writing_ = false;
    if (writeError_.empty()) {
        recordSuccess();
        // A callback may queue further writes.
        for (const PendingWrite& job : std::exchange(batch_, {})) {
            unwrittenBytes_ -= job.bytes;
            complete(job, 0);
        }
        startNextWrite();
    } else {
        recordFailure(writeError_);
        scheduleRetry();
    }
    closeTransportOnceIdle();
}

void RaftStorage::complete(const PendingWrite& job, int status) {
    if (job.kind == PendingWrite::Kind::append)
        job.appended(job.append, status);
    else
        job.stored(job.put, status);
}

void RaftStorage::scheduleRetry() {
    if (closing_) return;
    uv_timer_start(
        &retryTimer_,
        [](uv_timer_t* timer) {
            auto& self = *static_cast<RaftStorage*>(timer->data);
            if (self.termAndVotePending_ && !self.writeTermAndVote()) return self.scheduleRetry();
            self.startNextWrite();
        },
        kRetryDelayMs, 0);
}

// ----- failure reporting -----

void RaftStorage::recordFailure(const std::string& what) {
    ++counters_.failures;
    if (failingSince_ != 0) return;
    failingSince_ = uv_now(&loop_);
    std::fprintf(stderr, "agent: raft log: %s; trying again until it is written\n", what.c_str());
}

void RaftStorage::recordSuccess() {
    if (failingSince_ == 0) return;
    ++counters_.recoveries;
    std::fprintf(stderr, "agent: raft log: written again after %lld ms, %llu attempts failed so far\n",
                 static_cast<long long>(failingFor().count()),
                 static_cast<unsigned long long>(counters_.failures));
    failingSince_ = 0;
}

// ----- messages -----

int RaftStorage::send(raft_io_send* request, const raft_message* message, raft_io_send_cb done) {
    const bool asksForVotes = message->type == RAFT_IO_REQUEST_VOTE;
    // A reply to a former leader, which libraft has forgotten while its entries were being written.
    const bool noRecipient = message->server_address == nullptr;
    const bool dropped = noRecipient || termAndVotePending_ || (asksForVotes && failingOrVotePending());
    if (!dropped) return transportSend_(&io_->guarded.io, request, message, done);
    droppedSends_.push_back({request, done});  // to the core this looks like a lost message
    if (closing_) return 0;                    // close() cancels it with all others
    uv_timer_start(
        &droppedSendsTimer_,
        [](uv_timer_t* timer) {
            static_cast<RaftStorage*>(timer->data)->failDroppedSends(RAFT_NOCONNECTION);
        },
        0, 0);
    return 0;
}

void RaftStorage::failDroppedSends(int status) {
    for (const DroppedSend& send : std::exchange(droppedSends_, {})) send.done(send.request, status);
}

void RaftStorage::receive(raft_message* message) {
    if (message->type == RAFT_IO_TIMEOUT_NOW && failingOrVotePending()) return;
    if (message->type == RAFT_IO_APPEND_ENTRIES && backlogFull())
        AppendEntriesGuard::dropEntries(message->append_entries, message->append_entries.n_entries);
    receive_(&io_->guarded.io, message);
}

// ----- shutdown -----

void RaftStorage::close(raft_io_close_cb done) {
    closing_ = true;
    closed_ = done;
    for (uv_timer_t* timer : {&retryTimer_, &droppedSendsTimer_})
        uv_close(reinterpret_cast<uv_handle_t*>(timer), [](uv_handle_t* handle) {
            auto& self = *static_cast<RaftStorage*>(handle->data);
            --self.openTimers_;
            self.closeTransportOnceIdle();
        });
}

void RaftStorage::closeTransportOnceIdle() {
    if (!closing_ || closed_ == nullptr || writing_ || snapshotReads_ > 0 || openTimers_ > 0) return;
    // Newest first: each cancelled append removes its entries from the end of the core's log.
    for (; !queue_.empty(); queue_.pop_back()) complete(queue_.back(), RAFT_CANCELED);
    for (; !batch_.empty(); batch_.pop_back()) complete(batch_.back(), RAFT_CANCELED);
    failDroppedSends(RAFT_CANCELED);
    transportClose_(&io_->guarded.io, std::exchange(closed_, nullptr));
}

}  // namespace lotuslead::agent
