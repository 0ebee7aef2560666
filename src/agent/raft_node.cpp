#include "raft_node.hpp"

#include <sys/stat.h>

#include <algorithm>
#include <cerrno>
#include <iterator>
#include <stdexcept>
#include <system_error>

#include "raft_import.hpp"

namespace lotuslead::agent {

namespace {

constexpr unsigned kConnectRetryMs = 250;
constexpr mode_t kFolderMode = 0755;

std::string ensureFolder(const std::string& path) {
    if (::mkdir(path.c_str(), kFolderMode) != 0 && errno != EEXIST)
        throw std::system_error(errno, std::generic_category(), "make " + path);
    return path;
}

bool isTransient(int error) {
    constexpr int kTransientErrors[] = {ENOSPC, EDQUOT, EIO, EROFS, ENOMEM, ENFILE, EMFILE, EAGAIN, EBUSY};
    return std::find(std::begin(kTransientErrors), std::end(kTransientErrors), error) !=
           std::end(kTransientErrors);
}

}  // namespace

RaftNode::RaftNode(const Identity& self, const std::string& folder, raft_fsm& fsm) {
    uv_loop_init(&loop_);
    try {
        readStorage(folder);
        initialize(self, ensureFolder(folder + "/transport"), fsm);
    } catch (const std::system_error& problem) {
        closeLoop();
        if (isTransient(problem.code().value())) throw StorageUnavailable(problem.what());
        throw;
    } catch (...) {
        closeLoop();
        throw;
    }
}

void RaftNode::readStorage(const std::string& folder) {
    const std::string logFolder = folder + "/log";
    createOrImportLog(folder, logFolder);
    storage_ = std::make_unique<RaftStorage>(loop_, logFolder);
}

void RaftNode::initialize(const Identity& self, const std::string& folder, raft_fsm& fsm) {
    raft_io& io = io_.guarded.io;
    check(raft_uv_tcp_init(&transport_, &loop_), "transport");
    if (!self.listen.empty())
        check(raft_uv_tcp_set_bind_address(&transport_, self.listen.c_str()), "address");
    check(raft_uv_init(&io, &loop_, folder.c_str(), &transport_), "transport");
    raft_uv_set_connect_retry_delay(&io, kConnectRetryMs);
    storage_->attach(io_);
    io_.guarded.install();
    // libraft's transport tests the folder by writing to it.
    const int result = raft_init(&core_, &io, &fsm, self.id, self.address.c_str());
    if (result == RAFT_IOERR || result == RAFT_NOSPACE) throw StorageUnavailable(io.errmsg);
    check(result, "init");
}

RaftNode::~RaftNode() {
    core_.data = this;
    raft_close(&core_, [](raft* core) { static_cast<RaftNode*>(core->data)->closed_ = true; });
    while (!closed_) uv_run(&loop_, UV_RUN_ONCE);
    raft_uv_close(&io_.guarded.io);
    raft_uv_tcp_close(&transport_);
    closeLoop();
}

void RaftNode::closeLoop() {
    uv_walk(
        &loop_,
        [](uv_handle_t* handle, void*) {
            if (uv_is_closing(handle) == 0) uv_close(handle, nullptr);
        },
        nullptr);
    uv_run(&loop_, UV_RUN_DEFAULT);
    uv_loop_close(&loop_);
}

void RaftNode::check(int result, const char* what) {
    if (result == 0) return;
    const char* message = core_.io != nullptr ? raft_errmsg(&core_) : io_.guarded.io.errmsg;
    throw std::runtime_error(std::string("raft, ") + what + ": " + raft_strerror(result) + " " +
                             (message != nullptr ? message : ""));
}

}  // namespace lotuslead::agent
