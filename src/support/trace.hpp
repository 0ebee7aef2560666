// Writes trace events of requests and connections to standard error, one line per event, so that a request
// can be followed within a process and across processes. Enabled by the environment variable LB_TRACE:
//
//     trace at=81342.123456 event=send request=9b1f03aa5c7e2d41 attempt=0 host=s-00c41f7a
//
// `at` is in seconds of the monotonic clock, which all processes of a machine share.
#pragma once

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace lotuslead {

class Trace {
public:
    using Fields = std::initializer_list<std::pair<const char*, std::string>>;

    static bool on() {
        static const bool isOn = std::getenv("LB_TRACE") != nullptr;
        return isOn;
    }

    static void write(const char* event, Fields fields) {
        const auto now = std::chrono::steady_clock::now().time_since_epoch();
        const std::chrono::duration<double> seconds = now;
        char head[96];
        std::snprintf(head, sizeof head, "trace at=%.6f event=%s", seconds.count(), event);
        std::string line = head;
        for (const auto& [name, value] : fields) line += " " + std::string(name) + "=" + value;
        line += "\n";
        std::fwrite(line.data(), 1, line.size(), stderr);
    }
};

}  // namespace lotuslead
