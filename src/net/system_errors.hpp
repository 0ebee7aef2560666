// What an errno means for whoever has to decide whether the same call is worth another try.
#pragma once

#include <cerrno>

namespace lotuslead::net {

// Memory or descriptors of this machine are short. Nothing has happened, and the same call may succeed in a
// moment; no edge of epoll tells when.
inline bool isShortage(int error) {
    return error == ENOBUFS || error == ENOMEM || error == EMFILE || error == ENFILE;
}

inline bool isDescriptorShortage(int error) { return error == EMFILE || error == ENFILE; }

// socket or connect failed on this machine: no word on the peer, which has not been asked.
inline bool isLocalConnectFailure(int error) {
    return isShortage(error) || error == EADDRNOTAVAIL || error == EAGAIN || error == ENETUNREACH ||
           error == ENETDOWN || error == ECONNABORTED;
}

// A non-blocking call has done all there was to do.
inline bool wouldBlock(int error) { return error == EAGAIN || error == EWOULDBLOCK; }

}  // namespace lotuslead::net
