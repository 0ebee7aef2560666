#include "consensus.hpp"

#include <algorithm>
#include <cstring>
#include <memory>
#include <stdexcept>

namespace lotuslead::agent {

using namespace std::chrono_literals;

namespace {

// libraft stores entries and snapshots in words of eight bytes; JSON may end with blanks.
raft_buffer bufferOf(std::string text) {
    text.resize((text.size() + 7) / 8 * 8, ' ');
    raft_buffer buffer{};
    buffer.base = raft_malloc(text.size());
    if (buffer.base == nullptr) throw std::bad_alloc();
    buffer.len = text.size();
    std::memcpy(buffer.base, text.data(), text.size());
    return buffer;
}

std::string textOf(const raft_buffer& buffer) { return {static_cast<const char*>(buffer.base), buffer.len}; }

}  // namespace

struct Consensus::Proposal {
    struct raft_apply request {};
    Done done;
};

Consensus::Consensus(net::Loop& loop, const std::vector<Member>& members, std::uint64_t self,
                     const std::string& folder, State& state, std::function<void()> changed)
    : loop_(loop), state_(state), changed_(std::move(changed)) {
    const auto me =
        std::find_if(members.begin(), members.end(), [&](const Member& m) { return m.id == self; });
    if (me == members.end()) throw std::runtime_error("this agent is not among its members");
    uv_loop_init(&uv_);
    transport_.data = this;
    check(raft_uv_tcp_init(&transport_, &uv_), "transport");
    check(raft_uv_init(&io_, &uv_, folder.c_str(), &transport_), "storage");
    raft_uv_set_auto_recovery(&io_, true);
    raft_uv_set_connect_retry_delay(&io_, 250);
    fsm_.version = 1;
    fsm_.data = this;
    fsm_.apply = [](raft_fsm* fsm, const raft_buffer* buffer, void** result) {
        auto* self_ = static_cast<Consensus*>(fsm->data);
        *result = nullptr;
        self_->state_.apply(textOf(*buffer));
        self_->loop_.post(self_->changed_);
        return 0;
    };
    fsm_.snapshot = [](raft_fsm* fsm, raft_buffer** buffers, unsigned* count) {
        *buffers = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
        if (*buffers == nullptr) return static_cast<int>(RAFT_NOMEM);
        **buffers = bufferOf(static_cast<Consensus*>(fsm->data)->state_.dump());
        *count = 1;
        return 0;
    };
    fsm_.restore = [](raft_fsm* fsm, raft_buffer* buffer) {
        auto* self_ = static_cast<Consensus*>(fsm->data);
        self_->state_.load(textOf(*buffer));
        raft_free(buffer->base);
        self_->loop_.post(self_->changed_);
        return 0;
    };
    check(raft_init(&raft_, &io_, &fsm_, self, me->raft.c_str()), "raft");
    raft_configuration all;
    raft_configuration_init(&all);
    for (const Member& m : members) raft_configuration_add(&all, m.id, m.raft.c_str(), RAFT_VOTER);
    const int made = raft_bootstrap(&raft_, &all);  // does nothing but on the very first start
    raft_configuration_close(&all);
    if (made != RAFT_CANTBOOTSTRAP) check(made, "bootstrap");
    raft_set_pre_vote(&raft_, true);
    raft_set_snapshot_threshold(&raft_, 512);
    check(raft_start(&raft_), "start");
    handler_ = loop_.add(uv_backend_fd(&uv_), EPOLLIN, *this);
}

Consensus::~Consensus() {
    loop_.remove(handler_, uv_backend_fd(&uv_));
    raft_.data = this;
    raft_close(&raft_, [](raft* r) { static_cast<Consensus*>(r->data)->closed_ = true; });
    while (!closed_) uv_run(&uv_, UV_RUN_ONCE);
    raft_uv_close(&io_);
    raft_uv_tcp_close(&transport_);
    uv_run(&uv_, UV_RUN_DEFAULT);
    uv_loop_close(&uv_);
}

void Consensus::check(int result, const char* what) {
    if (result == 0) return;
    const char* told = raft_errmsg(&raft_);
    throw std::runtime_error(std::string("raft, ") + what + ": " + raft_strerror(result) + " " +
                             (told ? told : ""));
}

void Consensus::propose(const std::string& command, Done done) {
    auto proposal = std::make_unique<Proposal>();
    proposal->request.data = proposal.get();
    proposal->done = std::move(done);
    raft_buffer buffer = bufferOf(command);
    const int result =
        raft_apply(&raft_, &proposal->request, &buffer, 1, [](struct raft_apply* request, int status, void*) {
            const std::unique_ptr<Proposal> ended(static_cast<Proposal*>(request->data));
            ended->done(status == 0);
        });
    if (result == 0) {
        static_cast<void>(proposal.release());  // the callback has it now
        return;
    }
    raft_free(buffer.base);
    proposal->done(false);
}

bool Consensus::leads() { return raft_state(&raft_) == RAFT_LEADER; }

std::uint64_t Consensus::leader() {
    raft_id id = 0;
    const char* address = nullptr;
    raft_leader(&raft_, &id, &address);
    return id;
}

std::uint64_t Consensus::applied() { return raft_last_applied(&raft_); }

// libuv polls level by level, this loop waits for edges: what an edge may have missed waits this long at
// most.
net::Micros Consensus::nextTurn() const {
    constexpr int kMostMs = 100;
    const int wait = uv_backend_timeout(&uv_);
    return loop_.now() + std::chrono::milliseconds(wait < 0 ? kMostMs : std::min(wait, kMostMs));
}

void Consensus::turn() { uv_run(&uv_, UV_RUN_NOWAIT); }

}  // namespace lotuslead::agent
