// Hash functions whose results are the same on every machine and in every run.
#pragma once

#include <cstdint>
#include <string_view>

namespace lotuslead {

// The finalizer of splitmix64: every input bit reaches every output bit.
inline std::uint64_t mix(std::uint64_t x) {
    x ^= x >> 30;
    x *= 0xbf58476d1ce4e5b9ULL;
    x ^= x >> 27;
    x *= 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

inline std::uint64_t combine(std::uint64_t a, std::uint64_t b) {
    return mix(a + 0x9e3779b97f4a7c15ULL + mix(b + 0x632be59bd9b4e019ULL));
}

// FNV-1a with splitmix64's finalizer. Never zero, since zero stands for "no name".
inline std::uint64_t fingerprint(std::string_view text) {
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    hash = mix(hash);
    return hash == 0 ? 1 : hash;
}

// Maps the upper 53 bits of a hash to a number within (0, 1).
inline double unitInterval(std::uint64_t hash) {
    return (static_cast<double>(hash >> 11) + 0.5) / 9007199254740992.0;
}

}  // namespace lotuslead
