// What the stories of rare moments share.
#pragma once

#include <cstring>

#include "loopback.hpp"

namespace lotuslead::testing {

using Clock = std::chrono::steady_clock;

// The program's clock begins when the signal reaches it; under the sanitizers its end takes longer than its
// stop.
constexpr auto kSlowMachine = 600ms;
inline const std::string kKey = ",nonce=5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

inline json& category(json& settings, std::size_t at) { return settings["settings"]["categories"][at]; }
inline void limitAll(json& settings, long long ms) {
    for (auto& one : settings["settings"]["categories"]) {
        one["hardLimit"] = ms * 1'000'000;
        one["aim"] = ms * 500'000;
    }
}

// Its link holds all that comes.
inline json withRoomFor(json cache, const Fleet& fleet) {
    cache["weight"] = 1000;
    json settings = configuration(fleet.with({cache}));
    settings["settings"]["weights"] = "nominal";
    return settings;
}

// A store whose connections do not come up before it is started.
struct LateStore {
    Peer peer{nullptr, 0};
    Connection filler{peer.port()};
    EventCounter ups, pulls;  // the first that comes up is the filler

    void start() {
        const auto serve = store([this](Connection& c, const std::vector<std::string>& words) {
            pulls.raise();
            serving("late store")(c, words);
        });
        peer.start([this, serve](Connection& c) {
            ups.raise();
            serve(c);
        });
    }
};

inline void callFor(Connection& client, int number, const std::string& entity) {
    char trace[17];
    static int count = 0x1000000;
    std::snprintf(trace, sizeof trace, "%016x", ++count);
    client.sendResp({"CALL", std::to_string(number), "page",
                     "trace=" + std::string(trace) + ",patience=8000,entity=" + entity + ",block=0", ""});
}

// After a round trip of another client all that came before has been handled.
inline void settle(std::uint16_t port) {
    for (int i = 1; i <= 3; ++i) {
        Connection c(port);
        c.sendResp({"CHECK", "1", ""});
        assert(!c.readResp().empty());
    }
}

// Two stores, of which the one that is asked first answers as told; all that follows is served.
struct SpoiltOnce {
    explicit SpoiltOnce(Answer spoilt)
        : script_(store([this, spoilt](Connection& c, const std::vector<std::string>& words) {
              ++pulls_ > 1 ? serving("whole")(c, words) : spoilt(c, words);
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

struct Story {
    const char* name;
    void (*play)();
};

// With names: those alone.
template <std::size_t N>
void playStories(const Story (&stories)[N], int count, char** words) {
    for (const Story& story : stories) {
        bool wanted = count < 2;
        for (int i = 1; i < count; ++i) wanted = wanted || std::strcmp(words[i], story.name) == 0;
        if (wanted) story.play();
    }
}

}  // namespace lotuslead::testing
