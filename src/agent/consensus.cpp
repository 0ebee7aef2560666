#include "consensus.hpp"

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <memory>
#include <stdexcept>

namespace lotuslead::agent {

using namespace std::chrono_literals;

namespace {

constexpr unsigned kInstallSnapshotTimeoutMs = 5000;
constexpr auto kProposalTimeout = 5s;  // a proposal without an outcome by then is reported as unknown
// leadership is transferred once writes have failed for this long
constexpr auto kTransferAfterWriteFailures = 200ms;

// libraft stores entries and snapshots in words of eight bytes. Trailing blanks are valid after JSON.
raft_buffer bufferOf(std::string text) {
    text.resize((text.size() + 7) / 8 * 8, ' ');
    raft_buffer buffer{};
    buffer.base = raft_malloc(text.size());
    if (buffer.base == nullptr) throw std::bad_alloc();
    buffer.len = text.size();
    std::memcpy(buffer.base, text.data(), text.size());
    return buffer;
}

std::string_view textOf(const raft_buffer& buffer) {
    return {static_cast<const char*>(buffer.base), buffer.len};
}

const char* nameOfRole(int role) {
    return role == RAFT_VOTER ? "voter" : role == RAFT_STANDBY ? "standby" : "spare";
}

}  // namespace

struct Consensus::Proposal {
    struct raft_apply request {};
    Consensus* owner = nullptr;
    std::uint64_t number = 0;
};
struct Consensus::Barrier {
    struct raft_barrier request {};
    std::vector<std::function<void(bool)>> reads;
};
struct Consensus::MemberChange {
    raft_change request{};
    ChangeCallback changed;
};

Consensus::Consensus(net::Loop& loop, const Member& self, const std::vector<Member>& members,
                     const std::string& folder, const std::string& listen, const RaftOptions& rules,
                     config::Store& store, std::function<void()> changed)
    : loop_(loop),
      store_(store),
      onStoreChanged_(std::move(changed)),
      electionTimeout_(std::chrono::milliseconds{rules.electionTimeoutMs}),
      fsm_(makeStateMachine(*this)) {
    node_.emplace(RaftNode::Identity{self.id, self.raft, listen}, folder, fsm_);
    raft* core = &node_->core();
    if (!members.empty()) bootstrap(members);
    raft_set_pre_vote(core, true);
    raft_set_election_timeout(core, rules.electionTimeoutMs);
    raft_set_heartbeat_timeout(core, rules.heartbeatIntervalMs);
    raft_set_snapshot_threshold(core, rules.snapshotThreshold);
    // After an interrupted connection the snapshot is sent again; libraft's default would wait for 30 s.
    raft_set_install_snapshot_timeout(core, kInstallSnapshotTimeoutMs);
    node_->check(raft_start(core), "start");
    handler_ = loop_.add(uv_backend_fd(&node_->loop()), EPOLLIN, *this);
}

Consensus::~Consensus() { loop_.remove(handler_, uv_backend_fd(&node_->loop())); }

raft_fsm Consensus::makeStateMachine(Consensus& self) {
    raft_fsm fsm{};
    fsm.version = 1;
    fsm.data = &self;
    fsm.apply = [](raft_fsm* machine, const raft_buffer* buffer, void** result) {
        auto& owner = *static_cast<Consensus*>(machine->data);
        owner.outcome_ = owner.store_.apply(textOf(*buffer));
        *result = &owner.outcome_;  // read before the next command is applied, if at all
        owner.loop_.post(owner.onStoreChanged_);
        return 0;
    };
    fsm.snapshot = [](raft_fsm* machine, raft_buffer** buffers, unsigned* count) {
        *buffers = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
        if (*buffers == nullptr) return static_cast<int>(RAFT_NOMEM);
        **buffers = bufferOf(static_cast<Consensus*>(machine->data)->store_.dump());
        *count = 1;
        return 0;
    };
    fsm.restore = [](raft_fsm* machine, raft_buffer* buffer) {
        auto& owner = *static_cast<Consensus*>(machine->data);
        try {
            owner.store_.load(textOf(*buffer));
        } catch (const std::exception&) {
            return static_cast<int>(RAFT_MALFORMED);
        }
        raft_free(buffer->base);
        owner.loop_.post(owner.onStoreChanged_);
        return 0;
    };
    return fsm;
}

// Only has an effect on the first start.
void Consensus::bootstrap(const std::vector<Member>& members) {
    raft_configuration all;
    raft_configuration_init(&all);
    for (const Member& member : members)
        raft_configuration_add(&all, member.id, member.raft.c_str(), RAFT_VOTER);
    const int made = raft_bootstrap(&node_->core(), &all);
    raft_configuration_close(&all);
    if (made != RAFT_CANTBOOTSTRAP) node_->check(made, "bootstrap");
}

void Consensus::propose(const std::string& command, ProposalCallback done) {
    // The entry could not become durable here; another agent is about to take over leadership.
    if (!acceptsProposals()) return done(ProposalResult::refused, {});
    auto proposal = std::make_unique<Proposal>();
    proposal->request.data = proposal.get();
    proposal->owner = this;
    proposal->number = ++lastProposal_;
    proposals_.push_back({proposal->number, loop_.now(), std::move(done)});
    raft_buffer buffer = bufferOf(command);
    const int result =
        raft_apply(&node_->core(), &proposal->request, &buffer, 1,
                   [](struct raft_apply* request, int status, void* outcome) {
                       const std::unique_ptr<Proposal> completed(static_cast<Proposal*>(request->data));
                       if (status == 0)
                           completed->owner->completeProposal(completed->number, ProposalResult::applied,
                                                              *static_cast<const config::Outcome*>(outcome));
                       else
                           completed->owner->completeProposal(completed->number, ProposalResult::unknown, {});
                   });
    if (result == 0) {
        static_cast<void>(proposal.release());  // now owned by the callback
        return;
    }
    raft_free(buffer.base);
    completeProposal(proposal->number, ProposalResult::refused, {});
}

void Consensus::completeProposal(std::uint64_t number, ProposalResult result,
                                 const config::Outcome& outcome) {
    const auto found = std::lower_bound(
        proposals_.begin(), proposals_.end(), number,
        [](const PendingProposal& one, std::uint64_t wanted) { return one.number < wanted; });
    if (found == proposals_.end() || found->number != number) return;  // already reported as unknown
    const ProposalCallback done = std::move(found->done);
    proposals_.erase(found);
    done(result, outcome);
}

void Consensus::expireOverdueProposals() {
    while (!proposals_.empty() && loop_.now() - proposals_.front().submittedAt > kProposalTimeout)
        completeProposal(proposals_.front().number, ProposalResult::unknown, {});
}

// A leader that cannot write its log must not block agents that can.
void Consensus::transferLeadershipWhileStorageFails() {
    if (!isLeader() || transferPending_ || storageFailingFor() < kTransferAfterWriteFailures ||
        loop_.now() < nextTransferAt_)
        return;
    nextTransferAt_ = loop_.now() + 2 * electionTimeout_;
    transferRequest_.data = this;
    const int result =
        raft_transfer(&node_->core(), &transferRequest_, 0, [](struct raft_transfer* transfer) {
            static_cast<Consensus*>(transfer->data)->transferPending_ = false;
        });
    transferPending_ = result == 0;
    std::fprintf(stderr, "agent: raft log: writes have failed for %lld ms; %s\n",
                 static_cast<long long>(storageFailingFor().count()),
                 transferPending_ ? "transferring leadership" : "leadership cannot be transferred now");
}

void Consensus::barrier(std::function<void(bool)> done) { pendingReads_.push_back(std::move(done)); }

bool Consensus::isLeader() { return raft_state(&node_->core()) == RAFT_LEADER; }

std::uint64_t Consensus::leader() {
    raft_id id = 0;
    const char* address = nullptr;
    raft_leader(&node_->core(), &id, &address);
    return id;
}

std::uint64_t Consensus::lastAppliedIndex() { return raft_last_applied(&node_->core()); }

// A follower restarts its election timer whenever it hears from the leader; a leader does so each time it
// has contact with a majority.
std::int64_t Consensus::leaderContactAgeMs() {
    return static_cast<std::int64_t>(node_->nowMs() - node_->core().election_timer_start);
}

std::vector<Consensus::ConfigurationMember> Consensus::members() {
    std::vector<ConfigurationMember> members;
    const raft_configuration& configuration = node_->core().configuration;
    for (unsigned i = 0; i < configuration.n; ++i) {
        const raft_server& server = configuration.servers[i];
        members.push_back({server.id, server.address, nameOfRole(server.role)});
    }
    return members;
}

void Consensus::change(int (*begin)(raft*, raft_change*, std::uint64_t, const char*), std::uint64_t id,
                       const std::string& address, ChangeCallback changed) {
    auto change = std::make_unique<MemberChange>();
    change->request.data = change.get();
    change->changed = std::move(changed);
    change->request.cb = [](raft_change* request, int status) {
        const std::unique_ptr<MemberChange> completed(static_cast<MemberChange*>(request->data));
        completed->changed(status == 0 ? "" : raft_strerror(status));
    };
    const int result = begin(&node_->core(), &change->request, id, address.c_str());
    if (result == 0) {
        static_cast<void>(change.release());
        return;
    }
    const char* message = raft_errmsg(&node_->core());
    change->changed(result == RAFT_CANTCHANGE ? "another change of members is under way"
                    : message && *message     ? message
                                              : raft_strerror(result));
}

void Consensus::add(std::uint64_t id, const std::string& address, ChangeCallback changed) {
    change([](raft* r, raft_change* request, std::uint64_t i,
              const char* at) { return raft_add(r, request, i, at, request->cb); },
           id, address, std::move(changed));
}
void Consensus::promote(std::uint64_t id, ChangeCallback changed) {
    change([](raft* r, raft_change* request, std::uint64_t i,
              const char*) { return raft_assign(r, request, i, RAFT_VOTER, request->cb); },
           id, "", std::move(changed));
}
void Consensus::remove(std::uint64_t id, ChangeCallback changed) {
    change([](raft* r, raft_change* request, std::uint64_t i,
              const char*) { return raft_remove(r, request, i, request->cb); },
           id, "", std::move(changed));
}

// libuv polls level-triggered, but this loop is edge-triggered: an edge that was missed is picked up after
// the maximum interval.
net::Micros Consensus::nextPollTime() const {
    constexpr int kMaxPollIntervalMs = 20;
    if (!pendingReads_.empty()) return loop_.now();
    const int wait = uv_backend_timeout(&node_->loop());
    return loop_.now() +
           std::chrono::milliseconds(wait < 0 ? kMaxPollIntervalMs : std::min(wait, kMaxPollIntervalMs));
}

void Consensus::poll() {
    if (!pendingReads_.empty()) submitBarrier();
    uv_run(&node_->loop(), UV_RUN_NOWAIT);
    expireOverdueProposals();
    transferLeadershipWhileStorageFails();
}

void Consensus::submitBarrier() {
    auto barrier = std::make_unique<Barrier>();
    barrier->request.data = barrier.get();
    barrier->reads = std::exchange(pendingReads_, {});
    const auto ended = [](struct raft_barrier* request, int status) {
        const std::unique_ptr<Barrier> completed(static_cast<Barrier*>(request->data));
        for (const auto& read : completed->reads) read(status == 0);
    };
    if (raft_barrier(&node_->core(), &barrier->request, ended) == 0)
        static_cast<void>(barrier.release());
    else
        for (const auto& read : barrier->reads) read(false);
}

void Consensus::recoverAlone(const Member& self, const std::string& folder) {
    raft_fsm none{};
    RaftNode host({self.id, self.raft, {}}, folder, none);
    raft_configuration alone;
    raft_configuration_init(&alone);
    raft_configuration_add(&alone, self.id, self.raft.c_str(), RAFT_VOTER);
    const int result = raft_recover(&host.core(), &alone);
    raft_configuration_close(&alone);
    host.check(result, "recover");
}

}  // namespace lotuslead::agent
