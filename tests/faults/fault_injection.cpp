// Library for LD_PRELOAD that makes system calls of one process fail, in ways that Linux documents.
//
// LOTUSLEAD_FAULTS holds rules, separated by ';':
//
//     CALL=ERROR:EVERY[:FIRST[:COUNT]]   each EVERY-th call, from the FIRST-th on, fails, at most COUNT times
//     CALL=short:BYTES                   no call transfers more than BYTES bytes
//     realtime=SECONDS                   offset of the wall clock; the monotonic clock is not changed
//
// If EVERY is negative, the first call of each -EVERY fails, including the very first one.
// LOTUSLEAD_FAULTS_SWITCH may name a file: its first byte is '1' while the rules are active, and the text
// behind it, a number of seconds, is added to the wall clock. Without the variable the rules are always
// active. From byte kSwitchMask on the file may have a byte for each rule, in order: '0' disables that rule.
#include <dlfcn.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <climits>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>

namespace {

constexpr std::size_t kMostRules = 32;
constexpr std::size_t kSwitchBytes = 64;
constexpr std::size_t kSwitchMask = 32;

struct Rule {
    char call[24] = {};
    int error = 0;  // zero: calls transfer at most `bytes`
    long every = 1;
    long first = 1;         // number of the first call that may fail
    long count = LONG_MAX;  // maximum number of failures
    std::size_t bytes = 0;  // only if error is zero
    std::atomic<long> calls{0}, failures{0};
};

struct ErrorName {
    const char* name;
    int number;
};

constexpr ErrorName kErrors[] = {
    {"EAGAIN", EAGAIN},
    {"EINTR", EINTR},
    {"EIO", EIO},
    {"ENOSPC", ENOSPC},
    {"ENOMEM", ENOMEM},
    {"ENFILE", ENFILE},
    {"EMFILE", EMFILE},
    {"ENOBUFS", ENOBUFS},
    {"EPROTO", EPROTO},
    {"EPERM", EPERM},
    {"ECONNABORTED", ECONNABORTED},
    {"ECONNRESET", ECONNRESET},
    {"ETIMEDOUT", ETIMEDOUT},
    {"EHOSTUNREACH", EHOSTUNREACH},
    {"ENETUNREACH", ENETUNREACH},
    {"ENETDOWN", ENETDOWN},
    {"EADDRNOTAVAIL", EADDRNOTAVAIL},
    {"EADDRINUSE", EADDRINUSE},
    {"EPIPE", EPIPE},
    {"EROFS", EROFS},
    {"EDQUOT", EDQUOT},
};

class Faults {
public:
    static Faults& instance() {
        static Faults faults;
        return faults;
    }

    // If this call must fail, sets errno and returns true.
    bool fails(const char* call) {
        if (!inForce()) return false;
        for (std::size_t i = 0; i < count_; ++i) {
            Rule& rule = rules_[i];
            if (rule.error == 0 || std::strcmp(rule.call, call) != 0 || isMasked(i)) continue;
            const long number = ++rule.calls;
            if (number < rule.first || rule.failures >= rule.count) continue;
            const long every = std::labs(rule.every);
            const long place = (number - rule.first) % every;
            if (place != (rule.every < 0 ? 0 : every - 1)) continue;
            ++rule.failures;
            errno = rule.error;
            return true;
        }
        return false;
    }

    std::size_t limitBytes(const char* call, std::size_t bytes) {
        if (!inForce()) return bytes;
        for (std::size_t i = 0; i < count_; ++i)
            if (rules_[i].error == 0 && std::strcmp(rules_[i].call, call) == 0)
                return std::min(bytes, rules_[i].bytes);
        return bytes;
    }

    bool limitsBytes(const char* call) { return limitBytes(call, SIZE_MAX) != SIZE_MAX; }

    double clockOffset() const {
        return switch_ ? realtime_ + std::atof(const_cast<const char*>(switch_) + 1) : realtime_;
    }

private:
    Faults() {
        if (const char* text = std::getenv("LOTUSLEAD_FAULTS")) read(text);
        const char* path = std::getenv("LOTUSLEAD_FAULTS_SWITCH");
        if (!path) return;
        // Not by open(), whose wrapper uses this object.
        const int fd = static_cast<int>(::syscall(SYS_openat, AT_FDCWD, path, O_RDONLY | O_CLOEXEC));
        if (fd < 0) return;
        void* page = ::mmap(nullptr, kSwitchBytes, PROT_READ, MAP_SHARED, fd, 0);
        ::close(fd);
        if (page != MAP_FAILED) switch_ = static_cast<const volatile char*>(page);
    }

    bool inForce() const { return count_ > 0 && (!switch_ || switch_[0] == '1'); }

    bool isMasked(std::size_t rule) const { return switch_ && switch_[kSwitchMask + rule] == '0'; }

    void read(const char* text) {
        while (*text != '\0') {
            const std::size_t length = std::strcspn(text, ";");
            char one[96] = {};
            std::memcpy(one, text, std::min(length, sizeof one - 1));
            readRule(one);
            text += length + (text[length] == ';' ? 1 : 0);
        }
    }

    void readRule(char* text) {
        char* value = std::strchr(text, '=');
        if (!value) return;
        *value++ = '\0';
        if (std::strcmp(text, "realtime") == 0) {
            realtime_ = std::atof(value);
            return;
        }
        if (count_ == kMostRules) reject(text);
        Rule& rule = rules_[count_++];
        std::snprintf(rule.call, sizeof rule.call, "%s", text);
        char* numbers = std::strchr(value, ':');
        if (!numbers) reject(text);
        *numbers++ = '\0';
        if (std::strcmp(value, "short") == 0) {
            rule.bytes = std::strtoul(numbers, nullptr, 10);
            return;
        }
        for (const ErrorName& error : kErrors)
            if (std::strcmp(error.name, value) == 0) rule.error = error.number;
        if (rule.error == 0) reject(value);
        rule.every = std::strtol(numbers, &numbers, 10);
        if (*numbers == ':') rule.first = std::strtol(numbers + 1, &numbers, 10);
        if (*numbers == ':') rule.count = std::strtol(numbers + 1, &numbers, 10);
        if (rule.every == 0) reject(text);
    }

    // A rule that is not understood would let a test pass without its fault.
    [[noreturn]] static void reject(const char* what) {
        std::fprintf(stderr, "fault injection: cannot use '%s'\n", what);
        std::_Exit(99);
    }

    std::array<Rule, kMostRules> rules_;
    std::size_t count_ = 0;
    double realtime_ = 0;
    const volatile char* switch_ = nullptr;
};

template <class Function>
Function* next(const char* name) {
    return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

bool fails(const char* call) { return Faults::instance().fails(call); }

constexpr long kNanos = 1'000'000'000;

void shift(timespec& at) {
    const double offset = Faults::instance().clockOffset();
    at.tv_sec += static_cast<time_t>(offset);
    at.tv_nsec += static_cast<long>((offset - static_cast<double>(static_cast<time_t>(offset))) * kNanos);
    if (at.tv_nsec >= kNanos) at.tv_sec += 1, at.tv_nsec -= kNanos;
    if (at.tv_nsec < 0) at.tv_sec -= 1, at.tv_nsec += kNanos;
}

// Sends only the first bytes of the pieces, at least one.
ssize_t sendPrefix(int fd, const msghdr* message, int flags, std::size_t bytes) {
    char part[256];
    std::size_t filled = 0;
    for (std::size_t i = 0; i < message->msg_iovlen && filled < bytes; ++i) {
        const iovec& piece = message->msg_iov[i];
        const std::size_t take = std::min({piece.iov_len, bytes - filled, sizeof part - filled});
        std::memcpy(part + filled, piece.iov_base, take);
        filled += take;
    }
    static const auto real = next<ssize_t(int, const void*, std::size_t, int)>("send");
    return real(fd, part, filled, flags);
}

}  // namespace

extern "C" {

int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
    static const auto real = next<decltype(accept4)>("accept4");
    return fails("accept") ? -1 : real(fd, address, size, flags);
}

int socket(int domain, int type, int protocol) noexcept {
    static const auto real = next<int(int, int, int)>("socket");
    return fails("socket") ? -1 : real(domain, type, protocol);
}

int connect(int fd, const sockaddr* address, socklen_t size) {
    static const auto real = next<decltype(connect)>("connect");
    return fails("connect") ? -1 : real(fd, address, size);
}

int bind(int fd, const sockaddr* address, socklen_t size) noexcept {
    static const auto real = next<int(int, const sockaddr*, socklen_t)>("bind");
    return fails("bind") ? -1 : real(fd, address, size);
}

int listen(int fd, int backlog) noexcept {
    static const auto real = next<int(int, int)>("listen");
    return fails("listen") ? -1 : real(fd, backlog);
}

ssize_t send(int fd, const void* bytes, std::size_t size, int flags) {
    static const auto real = next<decltype(send)>("send");
    if (fails("send")) return -1;
    return real(fd, bytes, Faults::instance().limitBytes("send", size), flags);
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
    static const auto real = next<decltype(sendmsg)>("sendmsg");
    if (fails("send")) return -1;
    if (!Faults::instance().limitsBytes("send")) return real(fd, message, flags);
    return sendPrefix(fd, message, flags, Faults::instance().limitBytes("send", 256));
}

ssize_t recv(int fd, void* bytes, std::size_t size, int flags) {
    static const auto real = next<decltype(recv)>("recv");
    if (fails(flags & MSG_PEEK ? "peek" : "recv")) return -1;
    return real(fd, bytes, flags & MSG_PEEK ? size : Faults::instance().limitBytes("recv", size), flags);
}

ssize_t read(int fd, void* bytes, std::size_t size) {
    static const auto real = next<decltype(read)>("read");
    return fails("read") ? -1 : real(fd, bytes, size);
}

ssize_t write(int fd, const void* bytes, std::size_t size) {
    static const auto real = next<decltype(write)>("write");
    if (fails("write")) return -1;
    return real(fd, bytes, fd > STDERR_FILENO ? Faults::instance().limitBytes("write", size) : size);
}

ssize_t pread64(int fd, void* bytes, std::size_t size, off64_t at) {
    static const auto real = next<decltype(pread64)>("pread64");
    return fails("pread") ? -1 : real(fd, bytes, Faults::instance().limitBytes("pread", size), at);
}
ssize_t pread(int fd, void* bytes, std::size_t size, off_t at) { return pread64(fd, bytes, size, at); }

ssize_t pwrite64(int fd, const void* bytes, std::size_t size, off64_t at) {
    static const auto real = next<decltype(pwrite64)>("pwrite64");
    return fails("pwrite") ? -1 : real(fd, bytes, Faults::instance().limitBytes("pwrite", size), at);
}
ssize_t pwrite(int fd, const void* bytes, std::size_t size, off_t at) {
    return pwrite64(fd, bytes, size, at);
}

int fdatasync(int fd) {
    static const auto real = next<decltype(fdatasync)>("fdatasync");
    return fails("sync") ? -1 : real(fd);
}

int fsync(int fd) {
    static const auto real = next<decltype(fsync)>("fsync");
    return fails("sync") ? -1 : real(fd);
}

int posix_fallocate64(int fd, off64_t at, off64_t size) {
    static const auto real = next<decltype(posix_fallocate64)>("posix_fallocate64");
    return fails("fallocate") ? errno : real(fd, at, size);
}
int posix_fallocate(int fd, off_t at, off_t size) { return posix_fallocate64(fd, at, size); }

int epoll_wait(int fd, epoll_event* events, int most, int timeout) {
    static const auto real = next<decltype(epoll_wait)>("epoll_wait");
    return fails("epoll_wait") ? -1 : real(fd, events, most, timeout);
}

int epoll_ctl(int fd, int operation, int target, epoll_event* event) noexcept {
    static const auto real = next<int(int, int, int, epoll_event*)>("epoll_ctl");
    if (operation == EPOLL_CTL_ADD && fails("epoll_ctl")) return -1;
    return real(fd, operation, target, event);
}

int rename(const char* from, const char* to) noexcept {
    static const auto real = next<int(const char*, const char*)>("rename");
    return fails("rename") ? -1 : real(from, to);
}

int unlink(const char* path) noexcept {
    static const auto real = next<int(const char*)>("unlink");
    return fails("unlink") ? -1 : real(path);
}

// The system call; the rule "open" applies to the streams of the C library.
int open64(const char* path, int flags, ...) {
    static const auto real = next<int(const char*, int, ...)>("open64");
    va_list arguments;
    va_start(arguments, flags);
    const mode_t mode = va_arg(arguments, mode_t);
    va_end(arguments);
    return fails("open_file") ? -1 : real(path, flags, mode);
}
int open(const char* path, int flags, ...) {
    va_list arguments;
    va_start(arguments, flags);
    const mode_t mode = va_arg(arguments, mode_t);
    va_end(arguments);
    return open64(path, flags, mode);
}

FILE* fopen64(const char* path, const char* mode) {
    static const auto real = next<decltype(fopen64)>("fopen64");
    return fails("open") ? nullptr : real(path, mode);
}
FILE* fopen(const char* path, const char* mode) { return fopen64(path, mode); }

int poll(pollfd* descriptors, nfds_t count, int timeout) {
    static const auto real = next<decltype(poll)>("poll");
    return fails("poll") ? -1 : real(descriptors, count, timeout);
}

pid_t fork() noexcept {
    static const auto real = next<pid_t()>("fork");
    return fails("fork") ? -1 : real();
}

int clock_gettime(clockid_t clock, timespec* at) noexcept {
    static const auto real = next<int(clockid_t, timespec*)>("clock_gettime");
    const int result = real(clock, at);
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) shift(*at);
    return result;
}

int gettimeofday(timeval* at, void*) noexcept {
    timespec exact{};
    if (clock_gettime(CLOCK_REALTIME, &exact) != 0) return -1;
    *at = {exact.tv_sec, exact.tv_nsec / 1000};
    return 0;
}

time_t time(time_t* at) noexcept {
    timespec exact{};
    clock_gettime(CLOCK_REALTIME, &exact);
    if (at) *at = exact.tv_sec;
    return exact.tv_sec;
}

}  // extern "C"
