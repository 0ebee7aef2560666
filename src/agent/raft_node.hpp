// A libraft core with all it needs: a libuv loop, libraft's transport and timers, and this project's
// storage.
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

// The agent's folder cannot be read or written at the moment, but a retry may succeed.
class StorageUnavailable : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

class RaftNode {
public:
    struct Identity {
        std::uint64_t id = 0;
        std::string address;  // advertised to the other agents
        std::string listen;   // if it differs from `address`
    };

    // Loads the agent's state from `folder`, or creates it. `fsm` must outlive this object. Throws
    // StorageUnavailable if a retry may help, std::runtime_error or std::system_error otherwise.
    RaftNode(const Identity& self, const std::string& folder, raft_fsm& fsm);
    // Cancels all pending operations and runs their callbacks.
    ~RaftNode();
    RaftNode(const RaftNode&) = delete;
    RaftNode& operator=(const RaftNode&) = delete;

    raft& core() { return core_; }
    const raft& core() const { return core_; }
    uv_loop_t& loop() { return loop_; }
    const uv_loop_t& loop() const { return loop_; }
    const RaftStorage& storage() const { return *storage_; }
    std::uint64_t nowMs() { return io_.guarded.io.time(&io_.guarded.io); }

    // Throws std::runtime_error with libraft's message if `result` is not zero.
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
