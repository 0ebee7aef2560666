// Carries attempts to stores, parents and the origin: PULL and KILL over connections that are kept.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "../core/requests.hpp"
#include "../net/loop.hpp"
#include "../net/resp.hpp"
#include "../net/stream.hpp"
#include "copy_clock.hpp"
#include "silence.hpp"

namespace lotuslead::platform {

class Stores : public core::Carrier {
public:
    struct Callbacks {
        std::function<bool(RequestId, int)> mayBegin;  // may this attempt still be begun?
        std::function<void(core::AttemptEnd)> ended;
    };
    struct Counters {
        std::uint64_t connects = 0, connectFailures = 0, resets = 0, malformed = 0, stalled = 0, echoes = 0,
                      stuck = 0, movedOn = 0, tooOld = 0, lateAnswers = 0, heldBack = 0, noDescriptor = 0;
    };

    Stores(net::Loop& loop, const settings::Configuration& configuration);
    ~Stores() override;

    void listen(Callbacks callbacks) { callbacks_ = std::move(callbacks); }
    void list(const settings::BusEvent& event);
    void reconfigure(const settings::Configuration& configuration);
    void share(int processes);  // of the descriptors

    void send(core::Micros now, const core::Request& request, const core::Verdict& send) override;
    bool cancel(core::Micros now, RequestId request, int attempt) override;

    const Counters& counters() const { return counters_; }
    std::size_t connections() const;
    std::size_t known() const { return stores_.size(); }

private:
    class Link;
    struct Store {
        std::string address;
        std::int64_t sinceMs = 0;
        core::Micros answeredWrittenAt{};  // when the latest written of the answered attempts was written
        std::vector<std::shared_ptr<Link>> links;
    };
    struct Waiting {
        const core::Request* request;  // lives at least as long as the attempt is out
        core::Verdict send;
        int moves = 0;  // to other connections
    };
    struct Place {
        std::weak_ptr<Link> link;
        int attempt = 0;
    };

    // None: no descriptor is left for one. Throws settings::DecodeError where the host can't be reached at
    // all.
    std::shared_ptr<Link> linkFor(const std::string& host, const std::string& label);
    void carry(Waiting waiting);
    void retireStuck(Store& store);
    void answered(const std::string& host, core::Micros writtenAt);
    void tell(core::AttemptEnd end);
    void forsake(const std::string& address, const settings::BusEvent& event);
    void drop(const std::string& host, Link* link);
    void dropAll(Store& store);
    void dropBefore(Store& store, core::Micros restart);

    net::Loop& loop_;
    core::Micros unixAhead_;
    CopyClock copyClock_;
    core::Micros connectTimeout_{}, idleClose_{};
    std::size_t streams_ = 0;
    core::Micros longAnswer_{};     // from an answer's first byte to its last, however steadily it comes
    std::vector<bool> repeatable_;  // by class: what has run may run again
    std::size_t sockets_ = 0, mostConnections_ = 0;
    int processes_ = 1;
    bool mayProbe_ = false;
    // With attempts out and not a byte for longer: the machine may be gone without a word, or an answer has
    // stopped the connection. It is asked for an echo, and new attempts go by another one.
    SilenceLimit silence_;
    std::uint64_t lastEcho_ = 0;
    Callbacks callbacks_;
    Counters counters_;
    std::unordered_map<std::string, Store> stores_;
    std::unordered_map<RequestId, Place> places_;  // of the attempts that are out
};

}  // namespace lotuslead::platform
