// Test fixture: three agents on loopback, and the command-line tool.
#pragma once

#include "loopback.hpp"

namespace lotuslead::testing {

inline std::string run(const std::string& command) {
    std::FILE* pipe = ::popen((command + " 2>&1").c_str(), "r");
    std::string text;
    for (int c; (c = std::fgetc(pipe)) != EOF;) text += static_cast<char>(c);
    ::pclose(pipe);
    return text;
}

// Listens on an address, so that nobody else can.
class OccupiedPort {
public:
    OccupiedPort(const std::string& host, int port) : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(static_cast<std::uint16_t>(port));
        ::inet_pton(AF_INET, host.c_str(), &at.sin_addr);
        const bool up =
            ::bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0 && ::listen(fd_, 1) == 0;
        assert(up);
    }
    ~OccupiedPort() { ::close(fd_); }
    OccupiedPort(const OccupiedPort&) = delete;

private:
    int fd_;
};

class Agents {
public:
    // `variables`: environment of the agents and of the instances that they run.
    explicit Agents(Program::Variables variables = {}) : variables_(std::move(variables)) {
        char folder[] = "/tmp/lotuslead-test-XXXXXX";
        folder_ = ::mkdtemp(folder);
        // The agents need each other's ports in advance. All ports are free on an address derived from the
        // process id.
        const int pid = ::getpid();
        host_ = "127." + std::to_string(64 + (pid >> 14) % 64) + "." + std::to_string((pid >> 7) % 128) +
                "." + std::to_string(1 + pid % 128);
        for (int id = 1; id <= 3; ++id)
            members_.push_back(
                {{"id", id}, {"raft", host_ + ":" + std::to_string(9000 + id)}, {"control", control(id)}});
        for (int id = 1; id <= 3; ++id) start(id);
    }
    ~Agents() {
        for (int id = 1; id <= 3; ++id) stop(id, SIGTERM);
        run("rm -r " + folder_);
    }
    void start(int id) {
        const std::string base = folder_ + "/" + std::to_string(id);
        std::ofstream(base + ".json")
            << json{{"id", id}, {"folder", base}, {"program", LOTUSLEAD_PROGRAM}, {"agents", members_}};
        ChildOptions child;
        child.command = {LOTUSLEAD_AGENT, base + ".json"};
        child.variables = variables_;
        child.log = base + ".log";
        child.appendsToLog = true;
        child.signalAtParentsEnd = SIGTERM;
        pids_[id] = startChild(child);
    }
    int stop(int id, int signal) {
        if (pids_[id] == 0) return 0;
        int status = 0;
        ::kill(pids_[id], signal);
        ::waitpid(pids_[id], &status, 0);
        pids_[id] = 0;
        return WIFEXITED(status) ? WEXITSTATUS(status) : 128;
    }
    void awaitLeader() const {
        for (int id = 1; id <= 3; ++id) await(id, [](const json& s) { return s["leader"] > 0; });
    }
    const std::string& host() const { return host_; }
    std::string log(int id, const std::string& instance) const {
        std::ifstream in(folder_ + "/" + std::to_string(id) + "/instances/" + instance + ".log");
        return {std::istreambuf_iterator<char>(in), {}};
    }
    // Waits until the agent's own log contains the text.
    void awaitLog(int id, const std::string& text) const {
        for (int i = 0; i < kWaitLimitSeconds * 20; ++i, std::this_thread::sleep_for(50ms)) {
            std::ifstream in(folder_ + "/" + std::to_string(id) + ".log");
            const std::string all{std::istreambuf_iterator<char>(in), {}};
            if (all.find(text) != std::string::npos) return;
        }
        std::fprintf(stderr, "agent %d did not log '%s' in time\n", id, text.c_str());
        std::abort();
    }
    std::string control(int id) const { return host_ + ":" + std::to_string(9100 + id); }
    std::string ctl(const std::string& arguments, int id = 0) const {
        const std::string agents = id > 0 ? control(id) : control(1) + "," + control(2) + "," + control(3);
        return run(std::string(LOTUSLEAD_CTL) + " --agents " + agents + " " + arguments);
    }
    json status(int id) const {
        const std::string text = ctl("status", id);
        return json::parse(text.substr(text.find('\n') + 1), nullptr, false);
    }
    // Committed changes are applied and started with a delay: waits until the status satisfies `holds`.
    void await(int id, const std::function<bool(const json&)>& holds) const {
        for (int i = 0; i < kWaitLimitSeconds * 20; ++i, std::this_thread::sleep_for(50ms)) {
            const json now = status(id);
            if (now.is_object() && holds(now)) return;
        }
        std::fprintf(stderr, "agent %d: %s\n", id, ctl("status", id).c_str());
        std::abort();
    }
    std::string file(const std::string& name, const json& content) const {
        std::ofstream(folder_ + "/" + name) << content;
        return folder_ + "/" + name;
    }

private:
    Program::Variables variables_;
    std::string folder_, host_;
    std::vector<json> members_;
    pid_t pids_[4] = {};
};

}  // namespace lotuslead::testing
