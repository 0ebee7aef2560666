// Classifies errno values for callers that decide whether to retry a system call.
#pragma once

#include <cerrno>
#include <chrono>
#include <thread>

namespace lotuslead::net {

// This machine is short of memory or descriptors. The call had no effect and may succeed soon; no epoll edge
// announces when.
inline bool isResourceShortage(int error) {
    return error == ENOBUFS || error == ENOMEM || error == EMFILE || error == ENFILE;
}

inline bool isDescriptorShortage(int error) { return error == EMFILE || error == ENFILE; }

// socket or connect failed on this machine, without contact to the peer.
inline bool isLocalConnectFailure(int error) {
    return isResourceShortage(error) || error == EADDRNOTAVAIL || error == EAGAIN || error == ENETUNREACH ||
           error == ENETDOWN || error == ECONNABORTED;
}

// A non-blocking call found nothing to do.
inline bool wouldBlock(int error) { return error == EAGAIN || error == EWOULDBLOCK; }

// Repeats a call for up to 2 s while this machine is short of a resource; for calls at startup, before there
// is a Loop with timers. Returns the result of the last call: negative, with errno set, if it failed.
template <class Call>
int retryWhileShort(Call call) {
    constexpr int kMaxAttempts = 200;
    constexpr std::chrono::milliseconds kRetryDelay{10};
    int result = call();
    for (int i = 1; i < kMaxAttempts && result < 0 && (isResourceShortage(errno) || errno == EINTR); ++i) {
        std::this_thread::sleep_for(kRetryDelay);
        result = call();
    }
    return result;
}

}  // namespace lotuslead::net
