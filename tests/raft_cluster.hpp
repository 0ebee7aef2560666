// Agents as real processes on loopback. The Raft links between them pass through a relay that can cut each
// direction of each link. libraft opens one connection per direction and begins it with its version and its
// id, 8 bytes each, which tell the relay the sender.
#pragma once

#include <fcntl.h>
#include <poll.h>

#include <array>
#include <cstring>
#include <filesystem>
#include <optional>

#include "ctl/client.hpp"
#include "loopback.hpp"

namespace lotuslead::testing {

class Relay {
public:
    static constexpr int kMaxAgentId = 8;

    ~Relay() {
        stopping_ = true;
        for (auto& thread : threads_) thread.join();
        for (auto& thread : forwarders_) thread.join();
    }
    // Forwards connections to `at`, the advertised address of agent `to`, to `destination`.
    void open(int to, const std::string& at, const std::string& destination) {
        threads_.emplace_back([this, to, at, destination] { accept(to, at, destination); });
    }
    // Blocks traffic from agent `from` to agent `to`. Bytes in flight wait, as in a network that loses
    // packets.
    void cut(int from, int to, bool is) { cut_[from][to] = is; }
    void heal() {
        for (auto& row : cut_)
            for (auto& one : row) one = false;
        delayMs_ = 0;
    }
    void delay(int ms) { delayMs_ = ms; }
    std::uint64_t bytes() const { return bytes_; }  // forwarded, in all directions

private:
    static int openSocket(const std::string& address, bool listens) {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        const std::size_t colon = address.find(':');
        at.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
        ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &at.sin_addr);
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int yes = 1;
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        const auto* where = reinterpret_cast<const sockaddr*>(&at);
        const bool connected = listens ? ::bind(fd, where, sizeof at) == 0 && ::listen(fd, 64) == 0
                                       : ::connect(fd, where, sizeof at) == 0;
        if (connected) return fd;
        ::close(fd);
        return -1;
    }
    static bool readable(int fd, int ms) {
        pollfd waits{fd, POLLIN, 0};
        return ::poll(&waits, 1, ms) > 0;
    }
    void accept(int to, const std::string& at, const std::string& destination) {
        const int listening = openSocket(at, true);
        assert(listening >= 0);
        while (!stopping_) {
            if (!readable(listening, 20)) continue;
            const int fd = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) continue;
            const std::lock_guard lock(mutex_);
            forwarders_.emplace_back([this, fd, to, destination] { forward(fd, to, destination); });
        }
        ::close(listening);
    }
    void forward(int in, int to, const std::string& destination) {
        std::array<std::uint64_t, 2> preamble{};
        std::size_t received = 0;
        while (!stopping_ && received < sizeof preamble) {
            if (!readable(in, 20)) continue;
            const ssize_t some = ::recv(in, reinterpret_cast<char*>(preamble.data()) + received,
                                        sizeof preamble - received, 0);
            if (some <= 0) break;
            received += static_cast<std::size_t>(some);
        }
        const auto from = static_cast<int>(preamble[1]);
        int out = -1;
        if (received == sizeof preamble && from > 0 && from < kMaxAgentId) {
            while (!stopping_ && cut_[from][to]) std::this_thread::sleep_for(5ms);
            out = openSocket(destination, false);
        }
        bool connected =
            out >= 0 && ::send(out, preamble.data(), sizeof preamble, MSG_NOSIGNAL) == sizeof preamble;
        std::string chunk(65536, '\0');
        while (connected && !stopping_) {
            if (cut_[from][to]) {
                std::this_thread::sleep_for(5ms);
                continue;
            }
            if (readable(out, 0)) {  // the receiver never sends data: it has closed the connection
                connected = false;
                break;
            }
            if (!readable(in, 10)) continue;
            if (cut_[from][to]) continue;
            const ssize_t some = ::recv(in, chunk.data(), chunk.size(), 0);
            if (some <= 0) break;
            if (const int ms = delayMs_; ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds{ms});
            connected = ::send(out, chunk.data(), static_cast<std::size_t>(some), MSG_NOSIGNAL) == some;
            bytes_ += static_cast<std::uint64_t>(some);
        }
        if (out >= 0) ::close(out);
        ::close(in);
    }

    std::atomic<bool> stopping_{false};
    std::array<std::array<std::atomic<bool>, kMaxAgentId>, kMaxAgentId> cut_{};
    std::atomic<int> delayMs_{0};
    std::atomic<std::uint64_t> bytes_{0};
    std::mutex mutex_;
    std::vector<std::thread> threads_, forwarders_;
};

class Cluster {
public:
    using Variables = std::function<Program::Variables(int id)>;

    // `variables`: environment of the agent with that id.
    explicit Cluster(int size, json more = json::object(), Variables variables = {})
        : size_(size), extraSettings_(std::move(more)), variables_(std::move(variables)) {
        char folder[] = "/tmp/lotuslead-raft-XXXXXX";
        folder_ = ::mkdtemp(folder);
        // The agents need each other's ports in advance. All ports are free on an address derived from the
        // process id.
        const int pid = ::getpid();
        host_ = "127." + std::to_string(128 + (pid >> 14) % 64) + "." + std::to_string((pid >> 7) % 128) +
                "." + std::to_string(1 + pid % 128);
        for (int id = 1; id <= size_; ++id) members_.push_back(memberSettings(id));
        for (int id = 1; id <= size_; ++id) relay.open(id, raft(id), raftListen(id));
        for (int id = 1; id <= size_; ++id) start(id);
    }
    ~Cluster() {
        for (auto& [id, pid] : pids_) {
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        }
        std::filesystem::remove_all(folder_);
    }
    std::string raft(int id) const { return host_ + ":" + std::to_string(9000 + id); }
    std::string raftListen(int id) const { return host_ + ":" + std::to_string(9300 + id); }
    std::string control(int id) const { return host_ + ":" + std::to_string(9100 + id); }
    std::string bus(int id) const { return host_ + ":" + std::to_string(9200 + id); }
    std::string folder(int id) const { return folder_ + "/" + std::to_string(id); }
    std::string log(int id) const {
        std::ifstream in(folder(id) + ".log");
        return {std::istreambuf_iterator<char>(in), {}};
    }
    json memberSettings(int id) const { return {{"id", id}, {"raft", raft(id)}, {"control", control(id)}}; }
    json settings(int id, bool join = false) const {
        json agents = members_;
        if (id > size_) agents.push_back(memberSettings(id));
        json file = {{"id", id},           {"folder", folder(id)}, {"program", "/bin/true"},
                     {"agents", agents},   {"bus", bus(id)},       {"join", join},
                     {"election_ms", 200}, {"heartbeat_ms", 40},   {"raft_listen", raftListen(id)}};
        file.update(extraSettings_);
        return file;
    }
    void start(int id, bool join = false) {
        std::ofstream(folder(id) + ".json") << settings(id, join);
        ChildOptions child;
        child.command = {LOTUSLEAD_AGENT, folder(id) + ".json"};
        if (variables_) child.variables = variables_(id);
        child.log = folder(id) + ".log";
        child.appendsToLog = true;
        pids_[id] = startChild(child);
    }
    void kill(int id) {
        if (pids_.count(id) == 0) return;
        ::kill(pids_[id], SIGKILL);
        ::waitpid(pids_[id], nullptr, 0);
        pids_.erase(id);
    }
    bool runs(int id) const { return pids_.count(id) != 0; }
    // Returns the wait status of an agent that exited without being killed, once.
    std::optional<int> takeUnexpectedExit(int id) {
        int status = 0;
        if (!runs(id) || ::waitpid(pids_.at(id), &status, WNOHANG) != pids_.at(id)) return {};
        pids_.erase(id);
        return status;
    }
    pid_t pid(int id) const { return pids_.at(id); }
    ctl::Client client(int first = 1) const {
        std::vector<std::string> all;
        all.reserve(static_cast<std::size_t>(size_));
        for (int i = 0; i < size_; ++i) all.push_back(control(1 + (first - 1 + i) % size_));
        return ctl::Client(all);
    }
    json status(int id) const {
        const auto response = ctl::Client::callAgent(control(id), "GET", "/status");
        return response ? json::parse(response->body) : json();
    }
    // Id of an agent that reports itself as leader; 0: none.
    int leader() const {
        for (int id = 1; id <= size_; ++id)
            if (const json s = status(id); s.is_object() && s["leader"] == id) return id;
        return 0;
    }
    int awaitLeader() const {
        for (int i = 0; i < kWaitLimitSeconds * 50; ++i, std::this_thread::sleep_for(20ms))
            if (const int id = leader()) return id;
        std::abort();
    }
    void await(int id, const std::function<bool(const json&)>& holds) const {
        for (int i = 0; i < kWaitLimitSeconds * 50; ++i, std::this_thread::sleep_for(20ms))
            if (const json s = status(id); s.is_object() && holds(s)) return;
        std::fprintf(stderr, "agent %d: %s\n%s\n", id, status(id).dump().c_str(), log(id).c_str());
        std::abort();
    }
    int size() const { return size_; }

    Relay relay;

private:
    int size_;
    json extraSettings_;
    Variables variables_;
    std::string folder_, host_;
    std::vector<json> members_;
    std::map<int, pid_t> pids_;
};

}  // namespace lotuslead::testing
