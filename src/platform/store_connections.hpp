// Sends attempts to stores, parents and the origin: PULL and KILL over persistent connections.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "../core/request_dispatcher.hpp"
#include "../net/loop.hpp"
#include "../net/resp.hpp"
#include "../net/stream.hpp"
#include "copy_age.hpp"
#include "silence_timeout.hpp"

namespace lotuslead::platform {

class StoreConnections : public core::AttemptTransport {
public:
    struct Callbacks {
        std::function<bool(RequestId, int)> mayBegin;  // may this attempt still be started?
        std::function<void(core::AttemptResult)> ended;
    };
    struct Counters {
        std::uint64_t connects = 0, connectFailures = 0, resets = 0, malformed = 0, stalled = 0, echoes = 0,
                      stuck = 0, requeued = 0, tooOld = 0, lateAnswers = 0, notBegun = 0, noDescriptor = 0;
    };

    StoreConnections(net::Loop& loop, const settings::Configuration& configuration);
    ~StoreConnections() override;

    void setCallbacks(Callbacks callbacks) { callbacks_ = std::move(callbacks); }
    void applyHostList(const settings::BusEvent& event);
    void reconfigure(const settings::Configuration& configuration);
    void setProcessCount(int processes);  // that share the descriptors

    void send(core::Micros now, const core::Request& request, const core::Decision& send) override;
    bool cancel(core::Micros now, RequestId request, int attempt) override;

    const Counters& counters() const { return counters_; }
    std::size_t connectionCount() const;
    std::size_t storeCount() const { return stores_.size(); }

private:
    class Connection;
    struct Store {
        std::string address;
        std::int64_t startedAtMs = 0;
        core::Micros latestAnsweredWriteAt{};  // latest write time among the answered attempts
        std::vector<std::shared_ptr<Connection>> connections;
    };
    struct QueuedAttempt {
        const core::Request* request;  // outlives the attempt
        core::Decision send;
        int reassignments = 0;  // to other connections
    };
    struct AttemptLocation {
        std::weak_ptr<Connection> connection;
        int attempt = 0;
    };

    // Null if no descriptor is left. Throws settings::DecodeError if the host cannot be reached at
    // all.
    std::shared_ptr<Connection> connectionFor(const std::string& host, const std::string& traceId);
    void dispatch(QueuedAttempt queued);
    void closeStuck(Store& store);
    void recordAnsweredWrite(const std::string& host, core::Micros writtenAt);
    void reportResult(core::AttemptResult result);
    void clearReusedAddress(const std::string& address, const settings::BusEvent& event);
    void removeConnection(const std::string& host, Connection* connection);
    void closeAll(Store& store);
    void closeOpenedBefore(Store& store, core::Micros restart);

    net::Loop& loop_;
    core::Micros unixClockOffset_;
    CopyAgeCheck copyAgeCheck_;
    core::Micros connectTimeout_{}, idleTimeout_{};
    std::size_t maxAttemptsPerConnection_ = 0;
    core::Micros maxAnswerTime_{};  // from an answer's first byte to its last
    std::vector<bool> repeatable_;  // by class: an attempt that ran may run again
    std::size_t socketLimit_ = 0, maxConnections_ = 0;
    int processCount_ = 1;
    bool mayProbe_ = false;
    // With attempts in flight and no byte for longer than this, the machine may be gone or an answer may
    // block the connection: it is probed with ECHO, and new attempts use another connection.
    SilenceTimeout silenceTimeout_;
    std::uint64_t lastEchoNumber_ = 0;
    Callbacks callbacks_;
    Counters counters_;
    std::unordered_map<std::string, Store> stores_;
    std::unordered_map<RequestId, AttemptLocation> locations_;  // of the attempts in flight
};

}  // namespace lotuslead::platform
