// Translates between the simulator's line protocol and the router's events and actions. Makes no decisions.
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

// The input violates the line protocol.
struct DecodeError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Runs any number of independent routers on one stream of event batches.
class Session {
public:
    Session();
    ~Session();

    // Handles one line. If it ends a batch, appends the reply to `reply` and returns true.
    // SIMDJSON_PADDING readable bytes must follow the line.
    bool handleLine(std::string_view line, std::string& reply);
    bool inBatch() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

// Runs a session on lines of the input until it ends; returns the exit code.
int serve(int inputFd, std::FILE* output, std::FILE* errors);

}  // namespace lotuslead::wire
