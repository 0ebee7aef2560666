// A span of bytes within an object.
#pragma once

#include <cstdint>

namespace lotuslead::core {

struct ByteSpan {
    std::uint64_t begin = 0, end = 0;  // `end` is one past the last byte

    bool empty() const { return begin >= end; }
    std::uint64_t size() const { return empty() ? 0 : end - begin; }
};

}  // namespace lotuslead::core
