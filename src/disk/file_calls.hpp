// The file system calls of the disk tier, virtual so that a test can make each of them fail. Called from the
// writer and the reader thread; FileCalls itself has no state, so that needs no lock.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <utility>

namespace lotuslead::disk {

// `error` is an errno value; zero means success.
struct IoResult {
    std::size_t bytes = 0;
    int error = 0;
};

class FileCalls {
public:
    virtual ~FileCalls() = default;
    // Returns the descriptor in `bytes`.
    [[nodiscard]] virtual IoResult open(const std::string& path, int flags);
    // Like pwrite and pread: a short count is not an error.
    [[nodiscard]] virtual IoResult write(int fd, std::span<const char> bytes, std::uint64_t at);
    [[nodiscard]] virtual IoResult read(int fd, std::span<char> bytes, std::uint64_t at);
    [[nodiscard]] virtual int sync(int fd);  // fdatasync
    [[nodiscard]] virtual int truncate(int fd, std::uint64_t size);
    [[nodiscard]] virtual int rename(const std::string& from, const std::string& to);
    [[nodiscard]] virtual int unlink(const std::string& path);
};

// Repeat the call until all bytes are transferred. After an error, `bytes` is the number transferred before
// it. readAll returns a short count without an error at the end of the file.
[[nodiscard]] IoResult writeAll(FileCalls& calls, int fd, std::span<const char> bytes, std::uint64_t at);
[[nodiscard]] IoResult readAll(FileCalls& calls, int fd, std::span<char> bytes, std::uint64_t at);

// Owns a file descriptor and closes it.
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
