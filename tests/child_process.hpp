// Starts programs as child processes of a test. Everything that allocates happens before the fork: the child
// of a process with threads may only call async-signal-safe functions (POSIX, fork), since a lock of the
// allocator that another thread holds is never released in it.
#pragma once

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <csignal>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lotuslead::testing {

// Values that a child process finds in its environment beside those of the test.
using Variables = std::vector<std::pair<std::string, std::string>>;

struct ChildOptions {
    std::vector<std::string> command;  // the program's path and its arguments
    Variables variables;
    std::string log;  // the file of its standard error
    bool appendsToLog = false;
    int signalAtParentsEnd = SIGKILL;  // also when an assert ends the test
    rlim_t descriptors = 0;            // its limit of open files; 0: that of the test
    int inheritedSocket = -1;          // is its descriptor kInheritedSocket
};
constexpr int kInheritedSocket = 5;

namespace child_process {

// The environment of the test with these variables; of equal names the last one counts.
inline std::vector<std::string> environmentWith(const Variables& variables) {
    std::map<std::string, std::string> values;
    for (char** at = environ; *at != nullptr; ++at) {
        const std::string entry = *at;
        const std::size_t end = std::min(entry.find('='), entry.size());
        values[entry.substr(0, end)] = entry.substr(std::min(end + 1, entry.size()));
    }
    for (const auto& [name, value] : variables) values[name] = value;
    std::vector<std::string> environment;
    environment.reserve(values.size());
    for (const auto& [name, value] : values) {
        std::string& entry = environment.emplace_back(name);
        entry += '=';
        entry += value;
    }
    return environment;
}

// The form that execve takes. The strings have to outlive the result.
inline std::vector<char*> pointersTo(std::vector<std::string>& strings) {
    std::vector<char*> pointers;
    pointers.reserve(strings.size() + 1);
    for (std::string& string : strings) pointers.push_back(string.data());
    pointers.push_back(nullptr);
    return pointers;
}

}  // namespace child_process

inline pid_t startChild(const ChildOptions& options) {
    Variables variables = options.variables;
    if (options.inheritedSocket >= 0)
        variables.emplace_back("LB_SOCKET_FD", std::to_string(kInheritedSocket));
    std::vector<std::string> command = options.command;
    std::vector<std::string> environment = child_process::environmentWith(variables);
    const std::vector<char*> arguments = child_process::pointersTo(command);
    const std::vector<char*> variablePointers = child_process::pointersTo(environment);
    const int mode = options.appendsToLog ? O_APPEND : O_TRUNC;
    const int log = ::open(options.log.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC | mode, 0644);
    assert(log >= 0);
    const rlimit limit{options.descriptors, options.descriptors};
    const pid_t pid = ::fork();
    if (pid != 0) {
        ::close(log);
        return pid;
    }
    ::prctl(PR_SET_PDEATHSIG, options.signalAtParentsEnd);
    if (options.descriptors > 0) ::setrlimit(RLIMIT_NOFILE, &limit);
    if (::dup2(log, STDERR_FILENO) < 0) ::_exit(126);
    if (options.inheritedSocket >= 0 && ::dup2(options.inheritedSocket, kInheritedSocket) < 0) ::_exit(125);
    ::execve(arguments[0], arguments.data(), variablePointers.data());
    ::_exit(127);
}

}  // namespace lotuslead::testing
