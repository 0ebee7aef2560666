// What an errno means for whoever has to decide whether the same call is worth another try.
#pragma once

#include <cerrno>
#include <chrono>
#include <thread>

namespace lotuslead::net {

// Memory or descriptors of this machine are short. Nothing has happened, and the same call may succeed in a
// moment; no edge of epoll tells when.
inline bool isResourceShortage(int error) {
    return error == ENOBUFS || error == ENOMEM || error == EMFILE || error == ENFILE;
}

inline bool isDescriptorShortage(int error) { return error == EMFILE || error == ENFILE; }

// socket or connect failed on this machine: no word on the peer, which has not been asked.
inline bool isLocalConnectFailure(int error) {
    return isResourceShortage(error) || error == EADDRNOTAVAIL || error == EAGAIN || error == ENETUNREACH ||
           error == ENETDOWN || error == ECONNABORTED;
}

// A non-blocking call has done all there was to do.
inline bool wouldBlock(int error) { return error == EAGAIN || error == EWOULDBLOCK; }

// For calls before there is a loop, without which the process could not go on: made again, for up to 2 s,
// while this machine is short of something. Returns what the last call did, a negative number with errno set
// where it failed.
template <class Call>
int retryWhileShort(Call call) {
    constexpr int kTries = 200;
    constexpr std::chrono::milliseconds kWait{10};
    int result = call();
    for (int i = 1; i < kTries && result < 0 && (isResourceShortage(errno) || errno == EINTR); ++i) {
        std::this_thread::sleep_for(kWait);
        result = call();
    }
    return result;
}

}  // namespace lotuslead::net
