// Clients of one gateway: they ask, wait, cancel, leave, rest, send many calls at once or in pieces, and read
// slowly; bad ones break the form, stop within a message or say nothing.
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
    Millis meanThinkTime{};  // randomInt two requests, in the mean
    int entities = 200;
};

class Client {
public:
    Client(const ClientPlan& plan, Judge& judge, const std::atomic<bool>& finished)
        : plan_(plan), judge_(judge), finished_(finished), random_(plan.seed) {}
    void run();  // until it is finished

private:
    struct Call {
        std::string trace, tag, entity, expectedPrefix;
        TimePoint deadline;
        bool cancelled = false;  // cancelled
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
    // Taken back on this connection, by tag, and not waited for any more. An answer that comes all the same
    // is judged.
    std::map<std::string, Call> cancelled_;
    std::map<std::string, std::string> cachedTags_;  // tags of what was served, by entity
};

// Connects again and again and behaves badly. Nothing is owed to it but an end.
void runMisbehavingClient(const ClientPlan& plan, const std::atomic<bool>& finished);

// Many connections that ask once and then rest, as long as the gateway lets them.
void runIdleConnections(const ClientPlan& plan, int connections, const std::atomic<bool>& finished);

}  // namespace lotuslead::soak
