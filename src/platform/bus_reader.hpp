// Reads the event bus by long polls, each of which starts at the last applied event.
//
// A read that is late is kept, since a slow server must be heard, and another one is begun beside it, since
// one that hangs must not hold up what others tell. The later reads follow at growing intervals, so that a
// bus that is slow for many gateways is asked less often, not more, than one that answers at once.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "../net/loop.hpp"
#include "../settings/settings.hpp"
#include "bus_connection.hpp"

namespace lotuslead::platform {

class BusReader : private BusConnection::Observer {
public:
    using Apply = std::function<void(const settings::BusEvent&)>;
    struct Counters {
        std::uint64_t polls = 0, events = 0, reconnects = 0, endpointSwitches = 0;
        std::uint64_t lateAnswers = 0;  // after another read had been begun
        std::uint64_t bytes = 0;        // sent and received, without TCP and IP headers
    };

    struct Observer {
        // A batch requested from `from` has been applied; it held the events `offsets` and ended at `last`.
        // `upToDateAt`: the batch held all events up to then. `complete`: there are no further events at
        // present.
        std::function<void(net::Micros upToDateAt, std::int64_t from, std::int64_t last,
                           const std::vector<std::int64_t>& offsets, bool complete)>
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
    // All endpoints carry the same events under the same numbers: one is polled until it is late, refuses
    // or lags behind the applied events, then the next.
    void setEndpoints(const std::vector<settings::Endpoint>& endpoints);
    // A poll counts as late well before the events that it should have delivered must be obeyed.
    void setDrainGrace(net::Micros grace);
    // Applies events that came from elsewhere, such as a configuration, if they are newer than those applied.
    void applyBatch(const settings::BusBatch& batch);
    // All events since the start have been received, or there is no event bus.
    bool caughtUp() const { return caughtUp_ || endpoints_.empty(); }
    // The bus has answered that there are more events: those not yet applied may include a purge.
    bool catchingUp() const { return answeredOnce_ && !caughtUp(); }
    const Counters& counters() const { return counters_; }

private:
    void busConnected(BusConnection& connection) override;
    bool busAnswered(BusConnection& connection, const BusRead& read, const std::string& body) override;
    void busEnded(BusConnection& connection, const char* why) override;
    void busBytes(std::size_t bytes) override { counters_.bytes += bytes; }

    void connect(std::size_t server);
    void startOver();
    void poll(BusConnection& connection);
    void pollOnceDurable(BusConnection& connection);
    void beginAnotherRead();
    void continueAfter(BusConnection& connection, bool late);
    bool isReadInTimeElsewhere(const BusConnection& connection) const;
    void checkOtherServers();
    void readFromOtherServer();
    bool applyAnswer(const BusRead& read, const std::string& body, bool late);
    void logFailure(const std::string& problem) const;
    void dropConnection(const BusConnection& connection);
    void dropConnections(const std::function<bool(const BusConnection&)>& which);
    void switchServer();
    void watchForLateness();
    net::Micros nextReadAt() const;
    bool answersAreLate() const { return readInterval_.count() > 0; }
    net::Micros latenessTimeout(const BusConnection& connection) const;
    void arm(std::optional<net::Loop::TimerKey>& timer, net::Micros delay, std::function<void()> task);
    void stop(std::optional<net::Loop::TimerKey>& timer);

    net::Loop& loop_;
    std::vector<settings::Endpoint> endpoints_;
    std::size_t current_ = 0;      // index of the server that is read from
    std::vector<bool> unchecked_;  // by server: it has not answered in time since the last switch
    std::size_t lastChecked_ = 0;  // of those
    std::int64_t offset_ = 0;
    std::int64_t listsAppliedUpTo_ = 0;  // lists up to here were applied, or are older than those that were
    Apply apply_;
    Observer observer_;
    net::Micros durableDeadline_{};
    Counters counters_;
    std::vector<std::shared_ptr<BusConnection>> connections_;
    net::Micros lastBegunAt_{};   // of the last read or connection
    net::Micros readInterval_{};  // least time between two reads while answers are late; zero: they are not
    std::optional<net::Loop::TimerKey> latenessTimer_, connectTimer_, durabilityTimer_, otherServersTimer_;
    net::Micros holdTime_, silenceTimeout_;
    int failures_ = 0;           // consecutive
    bool answeredOnce_ = false;  // since the start
    bool caughtUp_ = false;      // at least once since the start
};

}  // namespace lotuslead::platform
