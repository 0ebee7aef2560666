// Signals as a descriptor to watch.
#pragma once

#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <system_error>

#include "descriptor.hpp"
#include "system_errors.hpp"

namespace lotuslead::net {

// Of a blocked set; throws std::system_error.
inline Descriptor watchSignals(const sigset_t& set) {
    Descriptor fd(retryWhileShort([&] { return ::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC); }));
    if (!fd) throw std::system_error(errno, std::generic_category(), "signalfd");
    return fd;
}

// Calls `each` with the number of every signal that has come. Its edge comes once: no read may be given up.
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
