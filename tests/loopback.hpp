// Helpers for integration tests over loopback sockets: the gateway as a child process, scripted peers and
// blocking connections. Waits end by events; their time limits only end a test that has failed.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cassert>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "child_process.hpp"

namespace lotuslead::testing {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr int kWaitLimitSeconds = 20;

// A blocking TCP connection that reads lines, RESP arrays and HTTP heads.
class Connection {
public:
    explicit Connection(int fd) : fd_(fd) {
        const timeval limit{kWaitLimitSeconds, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        const int on = 1;  // send at once, without waiting for acknowledgements of earlier data
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    // `room`: size of the receive buffer in bytes; 0 keeps the system's default.
    explicit Connection(std::uint16_t port, int room = 0)
        : Connection(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        if (room > 0) ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &room, sizeof room);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(port);
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool up = ::connect(fd_, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0;
        assert(up);
    }
    ~Connection() { ::close(fd_); }
    Connection(const Connection&) = delete;

    void send(const std::string& bytes) { ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL); }
    void sendResp(const std::vector<std::string>& elements) {
        std::string text = "*" + std::to_string(elements.size()) + "\r\n";
        for (const auto& element : elements)
            text += "$" + std::to_string(element.size()) + "\r\n" + element + "\r\n";
        send(text);
    }
    void reset() {
        const linger now{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }
    void shut() { ::shutdown(fd_, SHUT_RDWR); }
    // Limits how long reads wait for data.
    void waitAtMost(std::chrono::seconds time) {
        const timeval limit{time.count(), 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    }
    void shutSending() { ::shutdown(fd_, SHUT_WR); }

    // Empty if the peer has closed.
    std::vector<std::string> readResp() {
        const std::string head = line();
        std::vector<std::string> elements;
        if (head.empty()) return elements;
        assert(head[0] == '*');
        for (int i = std::atoi(head.c_str() + 1); i > 0; --i) {
            const std::string size = line();
            if (size.empty()) return {};
            elements.push_back(exactly(std::strtoul(size.c_str() + 1, nullptr, 10)));
            line();
        }
        return elements;
    }
    // The head of an HTTP message with its final empty line; empty if the peer has closed.
    std::string readHead() {
        std::string head;
        for (std::string next; !(next = line()).empty();) {
            head += next + "\n";
            if (next == "\r") return head;
        }
        return {};
    }
    std::string exactly(std::size_t size) {
        while (buffer_.size() < size && more()) {
        }
        std::string taken = buffer_.substr(0, size);
        buffer_.erase(0, taken.size());
        return taken;
    }
    bool closed() { return buffer_.empty() && !more(); }

private:
    std::string line() {
        std::size_t end;
        while ((end = buffer_.find('\n')) == std::string::npos)
            if (!more()) return {};
        std::string taken = buffer_.substr(0, end);
        buffer_.erase(0, end + 1);
        return taken;
    }
    bool more() {
        char chunk[65536];
        const ssize_t got = ::recv(fd_, chunk, sizeof chunk, 0);
        if (got > 0) buffer_.append(chunk, static_cast<std::size_t>(got));
        return got > 0;
    }

    int fd_;
    std::string buffer_;
};

// Listens on an ephemeral port and runs the script for each connection in a thread of its own.
class Peer {
public:
    using Script = std::function<void(Connection&)>;
    explicit Peer(Script script, int backlog = 64) : script_(std::move(script)) {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof at;
        const bool up = ::bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0 &&
                        ::listen(fd_, backlog) == 0 &&
                        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size) == 0;
        assert(up);
        port_ = ntohs(at.sin_port);
        if (script_) start();
    }
    ~Peer() {
        ::shutdown(fd_, SHUT_RDWR);
        if (acceptor_.joinable()) acceptor_.join();
        for (const auto& connection : connections_) connection->shut();
        for (auto& thread : threads_) thread.join();
        ::close(fd_);
    }
    void start(Script script) {
        script_ = std::move(script);
        start();
    }
    std::uint16_t port() const { return port_; }
    int descriptor() const { return fd_; }  // for a program to inherit, if there is no script
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    void start() {
        acceptor_ = std::thread([this] {
            for (int fd; (fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;) {
                connections_.push_back(std::make_unique<Connection>(fd));
                threads_.emplace_back([this, c = connections_.back().get()] { script_(*c); });
            }
        });
    }

    Script script_;
    int fd_ = -1;
    std::uint16_t port_ = 0;
    std::thread acceptor_;
    std::vector<std::unique_ptr<Connection>> connections_;
    std::vector<std::thread> threads_;
};

// A counter that threads increment and a test waits for.
class EventCounter {
public:
    void raise() {
        const std::lock_guard lock(mutex_);
        ++count_;
        changed_.notify_all();
    }
    void await(int count) {
        std::unique_lock lock(mutex_);
        const bool came =
            changed_.wait_for(lock, std::chrono::seconds(kWaitLimitSeconds), [&] { return count_ >= count; });
        assert(came);
    }
    int count() {
        const std::lock_guard lock(mutex_);
        return count_;
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    int count_ = 0;
};

// A stand-in for the event bus. publish() returns once the gateway has polled again, and so has applied the
// event.
class Bus {
public:
    // `closesAfterAnswer`: ends each connection after one answer.
    explicit Bus(bool closesAfterAnswer = false, int last = 1)
        : last_(last), closesAfterAnswer_(closesAfterAnswer), peer_([this](Connection& c) { serve(c); }) {}
    ~Bus() {
        const std::lock_guard lock(mutex_);
        over_ = true;
        changed_.notify_all();
    }
    std::string address() const { return peer_.address(); }
    void publish(json event) {
        publishWithoutWaiting(std::move(event));
        std::unique_lock lock(mutex_);
        const bool came =
            changed_.wait_for(lock, std::chrono::seconds(kWaitLimitSeconds), [&] { return asked_ >= last_; });
        assert(came);
    }

    // Waits until all events have been sent, whether or not the gateway has read them.
    void awaitSent() {
        std::unique_lock lock(mutex_);
        const bool came =
            changed_.wait_for(lock, std::chrono::seconds(kWaitLimitSeconds), [&] { return sent_ >= last_; });
        assert(came);
    }
    // Adds an event without waiting for a poll.
    void publishWithoutWaiting(json event) {
        const std::lock_guard lock(mutex_);
        event["offset"] = ++last_;
        events_.push_back(std::move(event));
        changed_.notify_all();
    }
    // Drops all events up to now from later answers.
    void dropEvents() {
        const std::lock_guard lock(mutex_);
        events_.clear();
    }

private:
    void serve(Connection& c) {
        for (std::string head; !(head = c.readHead()).empty();) {
            const int from = std::atoi(head.c_str() + head.find("from=") + 5);
            const std::chrono::milliseconds hold{std::atoi(head.c_str() + head.find("hold=") + 5)};
            std::unique_lock lock(mutex_);
            asked_ = std::max(asked_, from);
            changed_.notify_all();
            changed_.wait_for(lock, hold, [&] { return last_ > from || over_; });
            json batch = json::array();
            for (const json& event : events_)
                if (event["offset"] > from) batch.push_back(event);
            const std::string body = json{{"offset", last_}, {"batch", batch}}.dump();
            c.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
            sent_ = last_;
            changed_.notify_all();
            if (closesAfterAnswer_) return c.shut();
            if (over_) return;
        }
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<json> events_;
    int last_;  // event 1 is the list in the configuration's field `known`
    int asked_ = 0, sent_ = 0;
    bool over_ = false;
    bool closesAfterAnswer_;
    Peer peer_;
};

inline json host(const std::string& name, const std::string& address, const std::string& type = "small",
                 const std::string& status = "up") {
    return {{"name", name}, {"address", address}, {"zone", type == "small" ? "edge" : "hub"},
            {"type", type}, {"group", 0},         {"status", status},
            {"weight", 1},  {"since_ms", 0}};
}
inline json topology(std::vector<json> hosts, bool whole = false) {
    return {{"topology", {{"index", 1}, {"snapshot", whole}, {"endpoints", hosts}}}};
}

// A gateway's configuration with the given hosts in the zones hub and edge.
inline json configuration(const std::vector<json>& hosts) {
    const auto ms = [](long long n) { return n * 1'000'000; };
    const auto category = [&](const char* name, const char* effect, long long aim, long long limit) {
        return json{{"name", name},           {"effect", effect}, {"group", "all"},    {"aim", ms(aim)},
                    {"hardLimit", ms(limit)}, {"value", 1},       {"window", ms(3000)}};
    };
    json first = topology(hosts, true);
    first["offset"] = 1;
    return {{"name", "t1"},
            {"listen", "127.0.0.1:0"},
            {"seed", "5c1f30d27a5be964"},
            {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
            {"known", {{"offset", 1}, {"batch", {first}}}},
            {"settings",
             {{"zone", "edge"},
              {"zones", {"hub", "edge"}},
              {"shapes", {"small", "parent", "origin"}},
              {"balancers", 1},
              {"categories",
               {category("installer", "free", 4000, 9000), category("page", "free", 3000, 9000),
                category("checkout", "guarded", 7000, 9000)}},
              {"allowed",
               {{"mostTries", 8},
                {"mayCancel", true},
                {"retryAfter", true},
                {"maxRetryAfter", ms(1000)},
                {"connectTimeout", ms(5000)},
                {"keepalive", ms(30000)},
                {"streamsPerConn", 100}}},
              {"obligations", {{"stopSendingWithin", ms(1000)}, {"graceToAnswer", ms(8)}}},
              {"extra",
               {{"flowKbPerS", 3700.0},
                {"parentKind", 1},
                {"originKind", 2},
                {"siblings", "any"},
                {"noteLevel", "all"},
                {"inParts", {true, false, false}},
                {"neverKept", {false, false, true}},
                {"obeyAfter", ms(500)},
                {"purgeSettles", ms(6000)}}}}}};
}

// Sends one request to the operators' address and returns the status of the response, or 0.
inline int callOperatorAddress(std::uint16_t port, const std::string& call) {
    Connection c(port);
    c.send(call + " HTTP/1.1\r\nHost: here\r\n\r\n");
    const std::string head = c.readHead();
    return head.size() > 12 ? std::atoi(head.c_str() + 9) : 0;
}

// The gateway as a child process, with its log.
class Program {
public:
    // `descriptors`: its limit of open files. `socket` is inherited as kInheritedSocket.
    using Variables = testing::Variables;
    explicit Program(const std::string& configuration, const char* variable = "LB_CONFIG",
                     rlim_t descriptors = 1024, const Variables& variables = {}, int socket = -1) {
        char folder[] = "/tmp/lotuslead-test-XXXXXX";
        folder_ = ::mkdtemp(folder);
        std::ofstream(folder_ + "/config.json") << configuration;
        ChildOptions child;
        child.command = {LOTUSLEAD_PROGRAM};
        child.variables = {{variable, folder_ + "/config.json"}};
        child.variables.insert(child.variables.end(), variables.begin(), variables.end());
        child.log = folder_ + "/log";
        child.descriptors = descriptors;
        child.inheritedSocket = socket;
        pid_ = startChild(child);
    }
    explicit Program(const json& configuration, const char* variable = "LB_CONFIG", rlim_t descriptors = 1024,
                     const Variables& variables = {}, int socket = -1)
        : Program(configuration.dump(), variable, descriptors, variables, socket) {}
    ~Program() {
        if (pid_ > 0) {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
        }
        std::remove((folder_ + "/config.json").c_str());
        std::remove((folder_ + "/log").c_str());
        ::rmdir(folder_.c_str());
    }
    std::uint16_t port() { return portAfter(" on 127.0.0.1:"); }
    std::uint16_t operatorPort() { return portAfter("operators at 127.0.0.1:"); }
    std::uint16_t portAfter(const std::string& prefix) {
        for (int i = 0; i < kWaitLimitSeconds * 100; ++i) {
            const std::string text = log();
            const std::size_t at = text.find(prefix);
            if (at != std::string::npos && text.find('\n', at) != std::string::npos)
                return static_cast<std::uint16_t>(std::atoi(text.c_str() + at + prefix.size()));
            std::this_thread::sleep_for(10ms);
        }
        std::fprintf(stderr, "%s\n", log().c_str());
        std::abort();
    }
    void signal(int number) { ::kill(pid_, number); }
    // Stops the process until resume(), so that all input from the meantime is ready in its next turn.
    void suspend() {
        ::kill(pid_, SIGSTOP);
        int status = 0;
        ::waitpid(pid_, &status, WUNTRACED);
        assert(WIFSTOPPED(status));
    }
    void resume() { ::kill(pid_, SIGCONT); }
    // Makes the process print its counters until they contain this text.
    void awaitCounters(const std::string& text) {
        const std::size_t from = log().size();
        for (int i = 0; i < kWaitLimitSeconds * 100; ++i, std::this_thread::sleep_for(10ms)) {
            signal(SIGUSR1);
            if (log().find(text, from) != std::string::npos) return;
        }
        std::fprintf(stderr, "never counted '%s':\n%s\n", text.c_str(), log().c_str());
        std::abort();
    }
    // Waits until the log contains this text so many times; returns the log.
    std::string awaitLog(const std::string& text, int times = 1) const {
        for (int i = 0; i < kWaitLimitSeconds * 200; ++i, std::this_thread::sleep_for(5ms)) {
            std::string all = log();
            int count = 0;
            for (std::size_t at = 0; (at = all.find(text, at)) != std::string::npos; at += text.size())
                ++count;
            if (count >= times) return all;
        }
        std::fprintf(stderr, "never logged '%s':\n%s\n", text.c_str(), log().c_str());
        std::abort();
    }
    void rewrite(const std::string& configuration) {
        std::ofstream(folder_ + "/next.json") << configuration;
        std::rename((folder_ + "/next.json").c_str(), (folder_ + "/config.json").c_str());
    }
    int exitCode() {
        int status = 0;
        ::waitpid(pid_, &status, 0);
        pid_ = -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : 128;
    }
    pid_t pid() const { return pid_; }
    long residentKb() const {
        std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
        long pages = 0, resident = 0;
        file >> pages >> resident;
        return resident * (::sysconf(_SC_PAGESIZE) / 1024);
    }
    std::string log() const {
        std::ifstream file(folder_ + "/log");
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

private:
    std::string folder_;
    pid_t pid_ = -1;
};

// The entity that call() asks for.
inline const std::string kEntity = "7f3a9c21e0b4d655";

inline void call(Connection& client, const std::string& tag, const std::string& more = "",
                 const std::string& kind = "page", const std::string& body = "") {
    static int count = 0;
    char trace[17];
    std::snprintf(trace, sizeof trace, "%016x", ++count);
    client.sendResp(
        {"CALL", tag, kind,
         "trace=" + std::string(trace) + ",patience=8000,entity=" + kEntity + ",block=0,family=3" + more,
         body});
}

// A script that answers every PULL with the given function and ignores other messages.
using Answer = std::function<void(Connection&, const std::vector<std::string>&)>;
inline Peer::Script store(const Answer& answer) {
    return [answer](Connection& c) {
        for (std::vector<std::string> elements; !(elements = c.readResp()).empty();)
            if (elements[0] == "PULL") answer(c, elements);
    };
}
inline Answer serving(const std::string& body) {
    return [body](Connection& c, const std::vector<std::string>& w) {
        c.sendResp({w[1], "ok", "tag=4be0c1927d55a6f3,minted=1764576000000,remark=local", body});
    };
}
// Counts each PULL in `pulled` and answers only once `may` has been raised.
inline Answer servingAfter(EventCounter& pulled, EventCounter& may, const std::string& body) {
    return [&pulled, &may, answer = serving(body)](Connection& c, const std::vector<std::string>& elements) {
        pulled.raise();
        may.await(1);
        answer(c, elements);
    };
}

// A parent and an origin, to be listed with the caches of a test.
struct Fleet {
    Peer parent{store(serving("p"))}, origin{store(serving("o"))};
    std::vector<json> with(std::vector<json> caches) const {
        caches.push_back(host("parent-1", parent.address(), "parent"));
        caches.push_back(host("origin-1", origin.address(), "origin"));
        return caches;
    }
};

// The value of a field in a list of the form "name=value,name=value".
inline std::string valueOf(const std::string& fields, const std::string& name) {
    std::istringstream all(fields);
    for (std::string one; std::getline(all, one, ',');)
        if (one.rfind(name + "=", 0) == 0) return one.substr(name.size() + 1);
    return {};
}

// The value of a field in the head of an HTTP message.
inline std::string fieldOf(const std::string& head, const std::string& name) {
    std::istringstream lines(head);
    for (std::string line; std::getline(lines, line);)
        if (line.rfind(name + ": ", 0) == 0)
            return line.substr(name.size() + 2, line.size() - name.size() - 3);
    return {};
}

}  // namespace lotuslead::testing
