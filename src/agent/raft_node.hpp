// libraft's core with what it runs on: a libuv loop, libraft's transport and timers, and our storage.
#pragma once

#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "raft_storage.hpp"

extern "C" {
#include <raft/uv.h>
}

namespace lotuslead::agent {

// The agent's folder cannot be read or written now; it may be later.
class StorageUnavailable : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

class RaftNode {
public:
    struct Identity {
        std::uint64_t id = 0;
        std::string address;  // where the other agents reach it
        std::string listen;   // where it listens, if not there
    };

    // Reads the agent's state from `folder`, or makes it there. `fsm` outlives this. Throws std::system_error
    // where the folder fails, std::runtime_error otherwise.
    RaftNode(const Identity& self, const std::string& folder, raft_fsm& fsm);
    // Ends all that is under way; its callbacks run.
    ~RaftNode();
    RaftNode(const RaftNode&) = delete;
    RaftNode& operator=(const RaftNode&) = delete;

    raft& core() { return core_; }
    const raft& core() const { return core_; }
    uv_loop_t& loop() { return loop_; }
    const uv_loop_t& loop() const { return loop_; }
    const RaftStorage& storage() const { return *storage_; }
    std::uint64_t nowMs() { return io_.guarded.io.time(&io_.guarded.io); }

    // Throws with libraft's words for a result that is not zero.
    void check(int result, const char* what);

private:
    void readStorage(const std::string& folder);
    void initialize(const Identity& self, const std::string& folder, raft_fsm& fsm);
    void closeLoop();

    uv_loop_t loop_{};
    raft_uv_transport transport_{};
    StorageIo io_;
    std::unique_ptr<RaftStorage> storage_;
    raft core_{};
    bool closed_ = false;
};

}  // namespace lotuslead::agent
