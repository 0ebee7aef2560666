// Reads the event bus by long polls, each of which starts at the last applied event.
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

class BusReader : private net::Stream::Observer {
public:
    using Apply = std::function<void(const settings::BusEvent&)>;
    struct Counters {
        std::uint64_t polls = 0, events = 0, reconnects = 0, endpointSwitches = 0;
        std::uint64_t bytes = 0;  // sent and received, without TCP and IP headers
    };

    struct Observer {
        // A batch requested from `from` has been applied; it held the events `offsets` and ended at `last`.
        // `complete`: there are no further events at present.
        std::function<void(std::int64_t from, std::int64_t last, const std::vector<std::int64_t>& offsets,
                           bool complete)>
            onBatch;
        // Whether the applied events are durable, so that the next poll may acknowledge them by its offset.
        std::function<bool()> isDurable;
    };

    BusReader(net::Loop& loop, Apply apply);
    void setObserver(Observer observer) { observer_ = std::move(observer); }
    // Polls again from an earlier event. Host lists that have been applied are not applied again; purges are.
    void rewindTo(std::int64_t offset);
    ~BusReader() override;
    // Polls these endpoints from now on, at once and from the last applied event; if empty, polling stops.
    // All endpoints carry the same events under the same numbers: one is polled until it is silent, refuses
    // or lags behind the applied events, then the next.
    void setEndpoints(const std::vector<settings::Endpoint>& endpoints);
    // A silent poll is abandoned well before the events that it should have delivered must be obeyed.
    void setDrainGrace(net::Micros grace);
    // Applies events that came from elsewhere, such as a configuration, if they are newer than those applied.
    void applyBatch(const settings::BusBatch& batch);
    // All events since the start have been received, or there is no event bus.
    bool caughtUp() const { return caughtUp_ || endpoints_.empty(); }
    // The bus has answered that there are more events: those not yet applied may include a purge.
    bool catchingUp() const { return answeredOnce_ && !caughtUp(); }
    const Counters& counters() const { return counters_; }

private:
    void streamOpened() override;
    bool streamData(std::string_view data) override;
    void streamEnded(net::Stream::CloseReason why) override;

    const settings::Endpoint& endpoint() const { return endpoints_[current_]; }
    void connect();
    void reconnect(const char* why);
    void poll();
    void pollOnceDurable();
    bool handleAnswer();
    void arm(net::Micros delay, std::function<void()> task);

    net::Loop& loop_;
    std::vector<settings::Endpoint> endpoints_;
    std::size_t current_ = 0;  // index of the endpoint in use
    std::int64_t offset_ = 0;
    std::int64_t listsAppliedUpTo_ = 0;  // lists up to here were applied, or are older than those that were
    Apply apply_;
    Observer observer_;
    net::Micros durableDeadline_{};
    Counters counters_;
    net::HttpParser parser_;
    std::shared_ptr<net::Stream> stream_;
    std::optional<net::Loop::TimerKey> timer_;
    net::Micros holdTime_, silenceTimeout_;
    int failures_ = 0;                          // consecutive
    bool answeredOnce_ = false;                 // since the start
    bool caughtUp_ = false;                     // at least once since the start
    bool pollPending_ = false;                  // a poll is not answered yet
    std::optional<net::Micros> answerBegunAt_;  // of the answer being received
};

}  // namespace lotuslead::platform
