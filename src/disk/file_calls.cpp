#include "file_calls.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>

namespace lotuslead::disk {

namespace {

constexpr mode_t kMode = 0640;

int errorOf(int result) { return result == 0 ? 0 : errno; }

}  // namespace

IoResult FileCalls::open(const std::string& path, int flags) {
    const int fd = ::open(path.c_str(), flags | O_CLOEXEC, kMode);
    return fd < 0 ? IoResult{0, errno} : IoResult{static_cast<std::size_t>(fd), 0};
}

IoResult FileCalls::write(int fd, std::span<const char> bytes, std::uint64_t at) {
    const ssize_t done = ::pwrite(fd, bytes.data(), bytes.size(), static_cast<off_t>(at));
    return done < 0 ? IoResult{0, errno} : IoResult{static_cast<std::size_t>(done), 0};
}

IoResult FileCalls::read(int fd, std::span<char> bytes, std::uint64_t at) {
    const ssize_t done = ::pread(fd, bytes.data(), bytes.size(), static_cast<off_t>(at));
    return done < 0 ? IoResult{0, errno} : IoResult{static_cast<std::size_t>(done), 0};
}

int FileCalls::sync(int fd) { return errorOf(::fdatasync(fd)); }

int FileCalls::truncate(int fd, std::uint64_t size) {
    return errorOf(::ftruncate(fd, static_cast<off_t>(size)));
}

int FileCalls::rename(const std::string& from, const std::string& to) {
    return errorOf(std::rename(from.c_str(), to.c_str()));
}

int FileCalls::unlink(const std::string& path) { return errorOf(::unlink(path.c_str())); }

IoResult writeAll(FileCalls& calls, int fd, std::span<const char> bytes, std::uint64_t at) {
    IoResult all;
    while (all.bytes < bytes.size()) {
        const IoResult one = calls.write(fd, bytes.subspan(all.bytes), at + all.bytes);
        if (one.error == EINTR) continue;
        if (one.error != 0 || one.bytes == 0) return {all.bytes, one.error != 0 ? one.error : EIO};
        all.bytes += one.bytes;
    }
    return all;
}

IoResult readAll(FileCalls& calls, int fd, std::span<char> bytes, std::uint64_t at) {
    IoResult all;
    while (all.bytes < bytes.size()) {
        const IoResult one = calls.read(fd, bytes.subspan(all.bytes), at + all.bytes);
        if (one.error == EINTR) continue;
        if (one.error != 0) return {all.bytes, one.error};
        if (one.bytes == 0) break;
        all.bytes += one.bytes;
    }
    return all;
}

File& File::operator=(File&& other) noexcept {
    if (fd_ >= 0 && fd_ != other.fd_) ::close(fd_);
    fd_ = std::exchange(other.fd_, -1);
    return *this;
}

File::~File() {
    if (fd_ >= 0) ::close(fd_);
}

}  // namespace lotuslead::disk
