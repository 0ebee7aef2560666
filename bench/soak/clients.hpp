// Clients of one gateway. They send requests, wait, cancel, disconnect, stay idle, pipeline calls, send a
// call in pieces and read slowly. Misbehaving clients send malformed messages, stop within a message or send
// nothing.
#pragma once

#include <atomic>
#include <map>
#include <random>
#include <string>
#include <thread>

#include "judge.hpp"

namespace lotuslead::soak {

struct ClientPlan {
    int gateway = 0;
    std::uint16_t port = 0;
    std::uint64_t seed = 0;
    Millis meanThinkTime{};  // between two requests, mean
    int entities = 200;
};

class Client {
public:
    Client(const ClientPlan& plan, Judge& judge, const std::atomic<bool>& finished)
        : plan_(plan), judge_(judge), finished_(finished), random_(plan.seed) {}
    void run();  // until the run is finished

private:
    struct Call {
        std::string trace, tag, entity, expectedPrefix;
        TimePoint deadline;
        bool cancelled = false;
    };
    enum class Outcome { keepConnection, connectionEnded };

    Outcome sendOneRequest(bool connectionIsUsed);
    Outcome sendManyRequests(bool connectionIsUsed);
    Outcome awaitAnswers(std::map<std::string, Call>& calls, bool wasIdle);
    Call makeCall(std::string& bytes);
    void reportNeverSent(const std::map<std::string, Call>& calls);
    void connectionLost(std::map<std::string, Call>& calls, const char* how, bool wasIdle);
    void cancel(Call& call);
    void pause(Millis mean);
    bool chance(double probability) { return std::uniform_real_distribution<>(0, 1)(random_) < probability; }
    int randomInt(int min, int max) { return std::uniform_int_distribution<>(min, max)(random_); }

    ClientPlan plan_;
    Judge& judge_;
    const std::atomic<bool>& finished_;
    std::mt19937_64 random_;
    RespSocket socket_{-1};
    TimePoint connectedAt_{};
    std::uint64_t nextTag_ = 0;
    // Calls that were cancelled on this connection and are no longer waited for, by tag. A late answer to one
    // is still passed to the judge.
    std::map<std::string, Call> cancelled_;
    std::map<std::string, std::string> cachedTags_;  // tags of served objects, by entity
};

// Connects repeatedly and violates the protocol. The gateway owes it no answer, only a closed connection.
void runMisbehavingClient(const ClientPlan& plan, const std::atomic<bool>& finished);

// Opens many connections that send one CHECK and then stay idle for the client's idle limit.
void runIdleConnections(const ClientPlan& plan, int connections, const std::atomic<bool>& finished);

}  // namespace lotuslead::soak
