// Reads the event bus: a long poll that is asked again at once, from the last event that was applied.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "../net/http.hpp"
#include "../net/loop.hpp"
#include "../net/stream.hpp"
#include "../settings/settings.hpp"

namespace lotuslead::platform {

class BusReader : private net::Stream::User {
public:
    using Apply = std::function<void(const settings::BusEvent&)>;
    struct Counters {
        std::uint64_t polls = 0, events = 0, reconnects = 0, endpointSwitches = 0;
        std::uint64_t bytes = 0;  // asked and answered, without the headers of TCP and IP
    };

    struct Observer {
        // A batch asked for from behind `from` has been applied; it had these numbers and ended at `last`.
        // `complete`: there is nothing more to be told now.
        std::function<void(std::int64_t from, std::int64_t last, const std::vector<std::int64_t>& offsets,
                           bool complete)>
            onBatch;
        // Whether what was applied is kept, so that it may be acknowledged by asking from behind it.
        std::function<bool()> isDurable;
    };

    BusReader(net::Loop& loop, Apply apply);
    void setObserver(Observer observer) { observer_ = std::move(observer); }
    // Asks again from an earlier event. Lists that have been applied are not applied again; purges are.
    void rewindTo(std::int64_t offset);
    ~BusReader() override;
    // Asks at these addresses from now on, at once and from the last event that was applied; none: not at
    // all. Of several, which tell the same events under the same numbers, one is asked until it is silent,
    // refuses or is behind what was applied; then the next.
    void setEndpoints(const std::vector<settings::Endpoint>& endpoints);
    // A watch that has gone silent is given up well before what it should have told must be obeyed.
    void setDrainGrace(net::Micros grace);
    // An event that came by another way, such as a configuration: applied if it is a later one.
    void applyBatch(const settings::BusBatch& batch);
    // It has told all that it had since the start, or there is none.
    bool caughtUp() const { return caughtUp_ || endpoints_.empty(); }
    // It has answered, and said that there is more: what is not applied yet may be a purge.
    bool catchingUp() const { return answeredOnce_ && !caughtUp(); }
    const Counters& counters() const { return counters_; }

private:
    void streamOpened() override;
    bool streamData(std::string_view data) override;
    void streamEnded(net::Stream::End why) override;

    const settings::Endpoint& endpoint() const { return endpoints_[current_]; }
    void connect();
    void reconnect(const char* why);
    void poll();
    void pollOnceDurable();
    bool handleAnswer();
    void arm(net::Micros delay, std::function<void()> task);

    net::Loop& loop_;
    std::vector<settings::Endpoint> endpoints_;
    std::size_t current_ = 0;  // the one that is asked
    std::int64_t offset_ = 0;
    std::int64_t listsAppliedUpTo_ = 0;  // applied, or older than those that were
    Apply apply_;
    Observer observer_;
    net::Micros durableDeadline_{};
    Counters counters_;
    net::HttpParser parser_;
    std::shared_ptr<net::Stream> stream_;
    std::optional<net::Loop::TimerKey> timer_;
    net::Micros holdTime_, silenceTimeout_;
    int failures_ = 0;                          // in a row
    bool answeredOnce_ = false;                 // an answer, since the start
    bool caughtUp_ = false;                     // once, since the start
    bool pollPending_ = false;                  // and not answered yet
    std::optional<net::Micros> answerBegunAt_;  // of the answer in hand
};

}  // namespace lotuslead::platform
