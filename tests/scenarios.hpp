// Helpers shared by the scenario tests.
#pragma once

#include <cstring>

#include "loopback.hpp"

namespace lotuslead::testing {

using Clock = std::chrono::steady_clock;

// Allowance on time limits: the program's clock starts when the signal arrives, and under the sanitizers the
// exit takes longer than the stop.
constexpr auto kSlowMachineAllowance = 600ms;
inline const std::string kKeyField = ",nonce=5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

inline json& classSettings(json& settings, std::size_t at) { return settings["settings"]["categories"][at]; }
inline void setRequestTimeouts(json& settings, long long ms) {
    for (auto& one : settings["settings"]["categories"]) {
        one["hardLimit"] = ms * 1'000'000;
        one["aim"] = ms * 500'000;
    }
}

// The cache's link has enough capacity for all calls.
inline json withAmpleCapacity(json cache, const Fleet& fleet) {
    cache["weight"] = 1000;
    json settings = configuration(fleet.with({cache}));
    settings["settings"]["weights"] = "nominal";
    return settings;
}

// A store whose connections do not open before start().
struct LateStore {
    Peer peer{nullptr, 0};
    Connection filler{peer.port()};
    EventCounter connects, pulls;  // the first to connect is the filler

    void start() {
        const auto serve = store([this](Connection& c, const std::vector<std::string>& elements) {
            pulls.raise();
            serving("late store")(c, elements);
        });
        peer.start([this, serve](Connection& c) {
            connects.raise();
            serve(c);
        });
    }
};

inline void callForObject(Connection& client, int number, const std::string& entity) {
    char trace[17];
    static int count = 0x1000000;
    std::snprintf(trace, sizeof trace, "%016x", ++count);
    client.sendResp({"CALL", std::to_string(number), "page",
                     "trace=" + std::string(trace) + ",patience=8000,entity=" + entity + ",block=0", ""});
}

// Once another client has completed a round trip, all earlier input has been handled.
inline void waitUntilHandled(std::uint16_t port) {
    for (int i = 1; i <= 3; ++i) {
        Connection c(port);
        c.sendResp({"CHECK", "1", ""});
        assert(!c.readResp().empty());
    }
}

// Two stores. The first request gets `firstAnswer`; all later ones are served.
struct StoresWithBadFirstAnswer {
    explicit StoresWithBadFirstAnswer(Answer firstAnswer)
        : script_(store([this, firstAnswer](Connection& c, const std::vector<std::string>& elements) {
              ++pulls_ > 1 ? serving("whole")(c, elements) : firstAnswer(c, elements);
          })) {}
    json settings(const Fleet& fleet) const {
        return configuration(
            fleet.with({host("cache-1", first_.address()), host("cache-2", second_.address())}));
    }

private:
    std::atomic<int> pulls_{0};
    Peer::Script script_;
    Peer first_{script_}, second_{script_};
};

struct Scenario {
    const char* name;
    void (*run)();
};

// Runs the scenarios named by the arguments, or all of them.
template <std::size_t N>
void runScenarios(const Scenario (&scenarios)[N], int argumentCount, char** arguments) {
    for (const Scenario& scenario : scenarios) {
        bool wanted = argumentCount < 2;
        for (int i = 1; i < argumentCount; ++i)
            wanted = wanted || std::strcmp(arguments[i], scenario.name) == 0;
        if (wanted) scenario.run();
    }
}

}  // namespace lotuslead::testing
