#include "raft_simulation.hpp"

namespace lotuslead::testing {

namespace {

raft_buffer bufferOf(const std::string& text) {
    raft_buffer buffer{};
    buffer.len = text.size();
    buffer.base = raft_malloc(text.size());
    std::memcpy(buffer.base, text.data(), text.size());
    return buffer;
}
std::string textOf(const raft_buffer& buffer) { return {static_cast<const char*>(buffer.base), buffer.len}; }
std::string padded(std::string text) {
    text.resize((text.size() + 7) / 8 * 8, ' ');
    return text;
}

raft_entry* entriesOf(const std::vector<RaftSimulation::Entry>& entries) {
    if (entries.empty()) return nullptr;
    auto* all = static_cast<raft_entry*>(raft_calloc(entries.size(), sizeof(raft_entry)));
    for (std::size_t i = 0; i < entries.size(); ++i) {
        all[i].term = entries[i].term;
        all[i].type = entries[i].type;
        all[i].buf = bufferOf(entries[i].data);
        all[i].batch = all[i].buf.base;  // each entry has its own allocation
    }
    return all;
}
std::vector<RaftSimulation::Entry> copyOf(const raft_entry* entries, std::size_t count) {
    std::vector<RaftSimulation::Entry> all;
    for (std::size_t i = 0; i < count; ++i)
        all.push_back({entries[i].term, entries[i].type, textOf(entries[i].buf)});
    return all;
}
std::vector<std::pair<raft_id, int>> copyOf(const raft_configuration& from) {
    std::vector<std::pair<raft_id, int>> members;
    for (unsigned i = 0; i < from.n; ++i) members.emplace_back(from.servers[i].id, from.servers[i].role);
    return members;
}
void fill(raft_configuration& into, const std::vector<std::pair<raft_id, int>>& members) {
    raft_configuration_init(&into);
    for (const auto& [id, role] : members)
        raft_configuration_add(&into, id, std::to_string(id).c_str(), role);
}

using Server = RaftSimulation::Server;

}  // namespace

void RaftSimulation::Server::runLater(int ms, std::function<void(int)> action) {
    // Kept reachable for a crash: libraft waits for every callback before it closes.
    const auto shared = std::make_shared<std::function<void(int)>>(std::move(action));
    if (run_->waiting.size() >= 64) std::erase_if(run_->waiting, [](const auto& one) { return !*one; });
    run_->waiting.push_back(shared);
    simulation_.after(ms, [this, incarnation = incarnation_, shared] {
        if (incarnation == incarnation_ && run_ && *shared) std::exchange(*shared, nullptr)(0);
    });
}

void RaftSimulation::Server::start() {
    if (run_) return;
    ++incarnation_;
    run_ = std::make_unique<Run>();
    run_->server = this;
    fill(run_->guarded.io);
    run_->guarded.install();
    run_->fsm.version = 1;
    run_->fsm.data = run_.get();
    run_->fsm.apply = [](raft_fsm* fsm, const raft_buffer* buffer, void** result) {
        Run& run = *static_cast<Run*>(fsm->data);
        const std::string command = textOf(*buffer);
        run.outcome = run.store.apply(command);
        *result = &run.outcome;
        if (run.server->simulation_.applied)
            run.server->simulation_.applied(run.server->id_, run.store.commandCount(), command);
        return 0;
    };
    run_->fsm.snapshot = [](raft_fsm* fsm, raft_buffer** buffers, unsigned* count) {
        *buffers = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
        **buffers = bufferOf(padded(static_cast<Run*>(fsm->data)->store.dump()));
        *count = 1;
        return 0;
    };
    run_->fsm.restore = [](raft_fsm* fsm, raft_buffer* buffer) {
        static_cast<Run*>(fsm->data)->store.load(textOf(*buffer));
        raft_free(buffer->base);
        return 0;
    };
    raft_init(&run_->raft, &run_->guarded.io, &run_->fsm, id_, std::to_string(id_).c_str());
    raft_configuration all;
    raft_configuration_init(&all);
    if (disk_.term == 0) {
        for (raft_id id = 1; id <= simulation_.servers_.size(); ++id)
            raft_configuration_add(&all, id, std::to_string(id).c_str(), RAFT_VOTER);
        raft_bootstrap(&run_->raft, &all);
    }
    raft_configuration_close(&all);
    raft_set_pre_vote(&run_->raft, true);
    raft_set_election_timeout(&run_->raft, 200);
    raft_set_heartbeat_timeout(&run_->raft, 40);
    raft_set_snapshot_threshold(&run_->raft, 20);
    raft_set_snapshot_trailing(&run_->raft, 5);
    raft_set_install_snapshot_timeout(&run_->raft, 500);
    raft_start(&run_->raft);
}

void RaftSimulation::Server::crash() {
    if (!run_) return;
    // Any prefix of the pending writes may have reached the disk.
    const std::size_t written = disk_.entries.size();
    if (written > disk_.durable) disk_.durable += simulation_.randomBelow(written - disk_.durable + 1);
    disk_.entries.resize(disk_.durable);
    ++incarnation_;
    raft_close(&run_->raft, [](struct raft*) {});
    run_.reset();
}

bool RaftSimulation::Server::propose(const std::string& command, Applied done) {
    if (!isLeader()) return false;
    auto* proposal = new Proposal;
    proposal->request.data = proposal;
    proposal->done = std::move(done);
    raft_buffer buffer = bufferOf(padded(command));
    const int result =
        raft_apply(&run_->raft, &proposal->request, &buffer, 1,
                   [](struct raft_apply* request, int status, void* outcome) {
                       const std::unique_ptr<Proposal> ended(static_cast<Proposal*>(request->data));
                       ended->done(status == 0,
                                   status == 0 ? *static_cast<config::Outcome*>(outcome) : config::Outcome{});
                   });
    if (result == 0) return true;
    raft_free(buffer.base);
    delete proposal;
    return false;
}

bool RaftSimulation::Server::barrier(std::function<void(bool)> done) {
    if (!isLeader()) return false;
    auto* barrier = new Barrier;
    barrier->request.data = barrier;
    barrier->done = std::move(done);
    const int result =
        raft_barrier(&run_->raft, &barrier->request, [](struct raft_barrier* request, int status) {
            const std::unique_ptr<Barrier> ended(static_cast<Barrier*>(request->data));
            ended->done(status == 0);
        });
    if (result == 0) return true;
    delete barrier;
    return false;
}

void RaftSimulation::Server::scheduleTick(unsigned ms) {
    simulation_.after(static_cast<int>(ms), [this, ms, incarnation = incarnation_] {
        if (incarnation != incarnation_ || !run_) return;
        run_->tick(&run_->guarded.io);
        scheduleTick(ms);
    });
}

// Appends complete in order of submission.
void RaftSimulation::Server::completeOldestAppend() {
    const Pending pending = run_->appends.front();
    run_->appends.pop_front();
    const raft_index last = std::min<raft_index>(pending.last, disk_.first + disk_.entries.size() - 1);
    if (last >= disk_.first) disk_.durable = std::max<std::size_t>(disk_.durable, last - disk_.first + 1);
    pending.done(pending.request, 0);
}

void RaftSimulation::Server::fill(raft_io& io) {
    io.version = 1;
    io.data = run_.get();
    io.impl = run_.get();
    io.init = [](raft_io*, raft_id, const char*) { return 0; };
    io.close = [](raft_io* self, raft_io_close_cb done) {
        Run& run = *static_cast<Run*>(self->impl);
        // Newest first: each cancelled append removes its entries from the end of the core's log.
        for (; !run.appends.empty(); run.appends.pop_back())
            run.appends.back().done(run.appends.back().request, RAFT_CANCELED);
        for (const auto& one : std::exchange(run.waiting, {}))
            if (*one) std::exchange(*one, nullptr)(RAFT_CANCELED);
        done(self);
    };
    io.load = [](raft_io* self, raft_term* term, raft_id* vote, raft_snapshot** snapshot, raft_index* first,
                 raft_entry** entries, size_t* count) {
        const Disk& disk = static_cast<Run*>(self->impl)->server->disk_;
        *term = disk.term;
        *vote = disk.vote;
        *snapshot = nullptr;
        if (disk.snapshot) {
            auto* loaded = static_cast<raft_snapshot*>(raft_calloc(1, sizeof(raft_snapshot)));
            loaded->index = disk.snapshot->index;
            loaded->term = disk.snapshot->term;
            loaded->configuration_index = disk.snapshot->configurationIndex;
            lotuslead::testing::fill(loaded->configuration, disk.snapshot->members);
            loaded->bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
            *loaded->bufs = bufferOf(disk.snapshot->data);
            loaded->n_bufs = 1;
            *snapshot = loaded;
        }
        *first = disk.first;
        *entries = entriesOf(disk.entries);
        *count = disk.entries.size();
        return 0;
    };
    io.start = [](raft_io* self, unsigned ms, raft_io_tick_cb tick, raft_io_recv_cb receive) {
        Run& run = *static_cast<Run*>(self->impl);
        run.tick = tick;
        run.receive = receive;
        run.server->scheduleTick(ms);
        return 0;
    };
    io.bootstrap = [](raft_io* self, const raft_configuration* configuration) {
        Disk& disk = static_cast<Run*>(self->impl)->server->disk_;
        raft_buffer buffer{};
        raft_configuration_encode(configuration, &buffer);
        disk.term = 1;
        disk.entries = {{1, RAFT_CHANGE, textOf(buffer)}};
        disk.durable = 1;
        raft_free(buffer.base);
        return 0;
    };
    io.recover = [](raft_io*, const raft_configuration*) { return static_cast<int>(RAFT_IOERR); };
    io.set_term = [](raft_io* self, raft_term term) {
        Disk& disk = static_cast<Run*>(self->impl)->server->disk_;
        disk.term = term;
        disk.vote = 0;
        return 0;
    };
    io.set_vote = [](raft_io* self, raft_id id) {
        static_cast<Run*>(self->impl)->server->disk_.vote = id;
        return 0;
    };
    io.send = [](raft_io* self, raft_io_send* request, const raft_message* message, raft_io_send_cb done) {
        Server& server = *static_cast<Run*>(self->impl)->server;
        server.simulation_.deliver(server.id_, *message);
        server.runLater(1, [request, done](int status) { done(request, status); });
        return 0;
    };
    io.append = [](raft_io* self, raft_io_append* request, const raft_entry* entries, unsigned count,
                   raft_io_append_cb done) {
        Run& run = *static_cast<Run*>(self->impl);
        Server& server = *run.server;
        for (Entry& entry : copyOf(entries, count)) server.disk_.entries.push_back(std::move(entry));
        run.appends.push_back({request, done, server.disk_.first + server.disk_.entries.size() - 1});
        server.simulation_.after(server.simulation_.diskMs(), [&server, incarnation = server.incarnation_] {
            if (incarnation == server.incarnation_ && server.run_) server.completeOldestAppend();
        });
        return 0;
    };
    io.truncate = [](raft_io* self, raft_index index) {
        Run& run = *static_cast<Run*>(self->impl);
        Disk& disk = run.server->disk_;
        disk.entries.resize(index - disk.first);
        disk.durable = std::min(disk.durable, disk.entries.size());
        for (Pending& pending : run.appends) pending.last = std::min(pending.last, index - 1);
        return 0;
    };
    io.snapshot_put = [](raft_io* self, unsigned trailing, raft_io_snapshot_put* request,
                         const raft_snapshot* from, raft_io_snapshot_put_cb done) {
        Server& server = *static_cast<Run*>(self->impl)->server;
        Snapshot snapshot{
            from->index, from->configuration_index, from->term, copyOf(from->configuration), {}};
        for (unsigned i = 0; i < from->n_bufs; ++i) snapshot.data += textOf(from->bufs[i]);
        server.runLater(
            5 + server.simulation_.diskMs(), [&server, snapshot, trailing, request, done](int status) {
                if (status == 0) {
                    Disk& disk = server.disk_;
                    disk.snapshot = snapshot;
                    // Removes the entries that the snapshot replaces, except the trailing ones; all of them
                    // if the log ends before the snapshot.
                    const raft_index last = disk.first + disk.entries.size() - 1;
                    const raft_index lastRemoved =
                        trailing == 0 || last < snapshot.index
                            ? last
                            : (snapshot.index > trailing ? snapshot.index - trailing : 0);
                    if (lastRemoved >= disk.first) {
                        const auto removed =
                            static_cast<std::size_t>(std::min(lastRemoved, last) - disk.first + 1);
                        disk.entries.erase(disk.entries.begin(),
                                           disk.entries.begin() + static_cast<std::ptrdiff_t>(removed));
                        disk.durable -= std::min(disk.durable, removed);
                        disk.first += removed;
                    }
                    if (disk.entries.empty()) disk.first = snapshot.index + 1;
                }
                done(request, status);
            });
        return 0;
    };
    io.snapshot_get = [](raft_io* self, raft_io_snapshot_get* request, raft_io_snapshot_get_cb done) {
        Server& server = *static_cast<Run*>(self->impl)->server;
        server.runLater(server.simulation_.diskMs(), [&server, request, done](int status) {
            raft_snapshot* loaded = nullptr;
            if (status == 0) {
                const Snapshot& snapshot = *server.disk_.snapshot;
                loaded = static_cast<raft_snapshot*>(raft_calloc(1, sizeof(raft_snapshot)));
                loaded->index = snapshot.index;
                loaded->term = snapshot.term;
                loaded->configuration_index = snapshot.configurationIndex;
                lotuslead::testing::fill(loaded->configuration, snapshot.members);
                loaded->bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
                *loaded->bufs = bufferOf(snapshot.data);
                loaded->n_bufs = 1;
            }
            done(request, loaded, status);
        });
        return 0;
    };
    io.time = [](raft_io* self) { return static_cast<Run*>(self->impl)->server->simulation_.now_; };
    io.random = [](raft_io* self, int least, int most) {
        RaftSimulation& simulation = static_cast<Run*>(self->impl)->server->simulation_;
        return least + static_cast<int>(
                           simulation.randomBelow(static_cast<std::uint64_t>(std::max(1, most - least))));
    };
}

void RaftSimulation::deliver(raft_id from, const raft_message& message) {
    const raft_id to = message.server_id;
    if (to == 0 || to > servers_.size() || cut_[from - 1][to - 1]) return;
    if (static_cast<int>(randomBelow(100)) < lossPercent_) return;
    struct InFlight {
        raft_message message;
        std::vector<Entry> entries;
        std::vector<std::pair<raft_id, int>> members;
        std::string data;
    };
    auto inFlight = std::make_shared<InFlight>();
    inFlight->message = message;
    if (message.type == RAFT_IO_APPEND_ENTRIES)
        inFlight->entries = copyOf(message.append_entries.entries, message.append_entries.n_entries);
    if (message.type == RAFT_IO_INSTALL_SNAPSHOT) {
        inFlight->members = copyOf(message.install_snapshot.conf);
        inFlight->data = textOf(message.install_snapshot.data);
    }
    after(1 + static_cast<int>(randomBelow(static_cast<std::uint64_t>(maxDelayMs_))),
          [this, from, to, inFlight] {
              Server& server = *servers_[to - 1];
              // Messages in flight are lost, too, when the link is cut.
              if (!server.run_ || cut_[from - 1][to - 1]) return;
              raft_message delivered = inFlight->message;
              const std::string address = std::to_string(from);
              delivered.server_id = from;
              delivered.server_address = address.c_str();
              if (delivered.type == RAFT_IO_APPEND_ENTRIES)
                  delivered.append_entries.entries = entriesOf(inFlight->entries);
              if (delivered.type == RAFT_IO_INSTALL_SNAPSHOT) {
                  lotuslead::testing::fill(delivered.install_snapshot.conf, inFlight->members);
                  delivered.install_snapshot.data = bufferOf(inFlight->data);
              }
              server.run_->receive(&server.run_->guarded.io, &delivered);
          });
}

}  // namespace lotuslead::testing
