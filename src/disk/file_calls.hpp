// The calls on files that the tier makes, so that a test can have each of them fail. Used by the writer's and
// the reader's threads; an object of it has no state of its own that two threads could meet in.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <utility>

namespace lotuslead::disk {

// `error` is an errno; zero: it went well.
struct IoResult {
    std::size_t bytes = 0;
    int error = 0;
};

class FileCalls {
public:
    virtual ~FileCalls() = default;
    // The descriptor in `bytes`.
    [[nodiscard]] virtual IoResult open(const std::string& path, int flags);
    // As pwrite and pread: fewer bytes than asked for are no error.
    [[nodiscard]] virtual IoResult write(int fd, std::span<const char> bytes, std::uint64_t at);
    [[nodiscard]] virtual IoResult read(int fd, std::span<char> bytes, std::uint64_t at);
    [[nodiscard]] virtual int sync(int fd);  // fdatasync
    [[nodiscard]] virtual int truncate(int fd, std::uint64_t size);
    [[nodiscard]] virtual int rename(const std::string& from, const std::string& to);
    [[nodiscard]] virtual int unlink(const std::string& path);
};

// Until all is done. Where it ends early `bytes` tells how much was.
[[nodiscard]] IoResult writeAll(FileCalls& calls, int fd, std::span<const char> bytes, std::uint64_t at);
[[nodiscard]] IoResult readAll(FileCalls& calls, int fd, std::span<char> bytes, std::uint64_t at);

// A descriptor that closes itself.
class File {
public:
    File() = default;
    explicit File(int fd) : fd_(fd) {}
    File(File&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    File& operator=(File&& other) noexcept;
    ~File();
    int get() const { return fd_; }
    explicit operator bool() const { return fd_ >= 0; }

private:
    int fd_ = -1;
};

}  // namespace lotuslead::disk
