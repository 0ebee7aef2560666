// Translates the simulator's wire to the router's events and actions and back. It decides nothing.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "lotuslead/router.hpp"

namespace lotuslead::wire {

// What came in is not what the wire allows.
struct DecodeError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Hosts many independent routers behind one stream of batches.
class Session {
public:
    Session();
    ~Session();

    // Takes one line; when it ends a batch, the reply is appended to `reply` and true is returned.
    // simdjson's padding must be readable behind the line.
    bool takeLine(std::string_view line, std::string& reply);
    bool midBatch() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

// Reads lines until the input ends; returns the exit code.
int serve(int inputFd, std::FILE* output, std::FILE* errors);

}  // namespace lotuslead::wire
