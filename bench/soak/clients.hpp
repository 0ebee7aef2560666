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
    Millis think{};  // between two requests, in the mean
    int entities = 200;
};

class Client {
public:
    Client(const ClientPlan& plan, Judge& judge, const std::atomic<bool>& over)
        : plan_(plan), judge_(judge), over_(over), random_(plan.seed) {}
    void run();  // until it is over

private:
    struct Call {
        std::string trace, tag, entity, expectedPrefix;
        TimePoint due;
        bool ended = false;  // cancelled
    };
    enum class Outcome { goesOn, ended };

    Outcome oneRequest(bool connectionIsUsed);
    Outcome manyAtOnce(bool connectionIsUsed);
    Outcome awaitAll(std::map<std::string, Call>& calls, bool wasResting);
    Call makeCall(std::string& bytes);
    void neverSent(const std::map<std::string, Call>& calls);
    void lose(std::map<std::string, Call>& calls, const char* how, bool wasResting);
    void cancel(Call& call);
    void pause(Millis mean);
    bool chance(double probability) { return std::uniform_real_distribution<>(0, 1)(random_) < probability; }
    int between(int least, int most) { return std::uniform_int_distribution<>(least, most)(random_); }

    ClientPlan plan_;
    Judge& judge_;
    const std::atomic<bool>& over_;
    std::mt19937_64 random_;
    RespSocket socket_{-1};
    TimePoint connectedAt_{};
    std::uint64_t nextTag_ = 0;
    // Taken back on this connection, by tag, and not waited for any more. An answer that comes all the same
    // is judged.
    std::map<std::string, Call> cancelledCalls_;
    std::map<std::string, std::string> copies_;  // tags of what was served, by entity
};

// Connects again and again and behaves badly. Nothing is owed to it but an end.
void runBadClient(const ClientPlan& plan, const std::atomic<bool>& over);

// Many connections that ask once and then rest, as long as the gateway lets them.
void runIdleCrowd(const ClientPlan& plan, int connections, const std::atomic<bool>& over);

}  // namespace lotuslead::soak
