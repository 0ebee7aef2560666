// Reads signals through a signalfd, for use with a Loop.
#pragma once

#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <system_error>

#include "descriptor.hpp"
#include "system_errors.hpp"

namespace lotuslead::net {

// Opens a signalfd for a set of signals that are blocked already; throws std::system_error.
inline Descriptor watchSignals(const sigset_t& set) {
    Descriptor fd(retryWhileShort([&] { return ::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC); }));
    if (!fd) throw std::system_error(errno, std::generic_category(), "signalfd");
    return fd;
}

// Calls `each` with the number of every pending signal. Reads until empty, since epoll reports the edge once.
template <class Each>
void readSignals(const Descriptor& fd, Each each) {
    for (;;) {
        signalfd_siginfo info{};
        const ssize_t got = ::read(fd.get(), &info, sizeof info);
        if (got < 0 && errno == EINTR) continue;
        if (got != static_cast<ssize_t>(sizeof info)) return;
        each(static_cast<int>(info.ssi_signo));
    }
}

}  // namespace lotuslead::net
