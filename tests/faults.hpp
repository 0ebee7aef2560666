// Runs the program under faults/fault_injection.cpp, a library that makes its system calls fail.
#pragma once

#include <fcntl.h>

#include "loopback.hpp"

namespace lotuslead::testing {

// `rules`: syntax as in fault_injection.cpp. The sanitizers prefer to be loaded first, but this option lets
// them be second.
inline Program::Variables faultVariables(const std::string& rules) {
    return {{"LD_PRELOAD", LOTUSLEAD_FAULT_LIBRARY},
            {"LOTUSLEAD_FAULTS", rules},
            {"ASAN_OPTIONS", "verify_asan_link_order=0"}};
}

// Switches the fault rules of one program on and off and steps its wall clock while it runs.
class FaultSwitch {
public:
    FaultSwitch() {
        char path[] = "/tmp/lotuslead-faults-XXXXXX";
        ::close(::mkstemp(path));
        path_ = path;
        set(false);
    }
    ~FaultSwitch() { std::remove(path_.c_str()); }
    FaultSwitch(const FaultSwitch&) = delete;

    // `mask`: '1' or '0' for each rule, in order; empty: all rules are active.
    void set(bool inForce, double clockOffsetSeconds = 0, const std::string& mask = {}) {
        constexpr std::size_t kMaskAt = 32;
        char text[64] = {};
        std::snprintf(text, kMaskAt, "%c%.3f", inForce ? '1' : '0', clockOffsetSeconds);
        std::copy(mask.begin(), mask.end(), text + kMaskAt);
        const int fd = ::open(path_.c_str(), O_WRONLY | O_CLOEXEC);
        const bool written = ::pwrite(fd, text, sizeof text, 0) == sizeof text;
        assert(written);
        ::close(fd);
    }
    Program::Variables variables(const std::string& rules) const {
        Program::Variables all = faultVariables(rules);
        all.emplace_back("LOTUSLEAD_FAULTS_SWITCH", path_);
        return all;
    }

private:
    std::string path_;
};

}  // namespace lotuslead::testing
