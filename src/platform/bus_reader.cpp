#include "bus_reader.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace lotuslead::platform {

using namespace std::chrono_literals;

namespace {

// Events count as delivered after 7 s whether they arrived or not, so a hanging poll must be noticed well
// before that. If the settings give a drain time, a poll and its successor must fit into it.
constexpr net::Micros kPollHold = 1s, kMinPollHold = 200ms;
constexpr net::Micros kFirstPollHold = 1ms;  // a starting gateway admits no client before it is answered
// Beyond the hold time, or within an answer.
constexpr net::Micros kSilenceTimeout = 500ms, kMinSilenceTimeout = 150ms;
constexpr net::Micros kConnectTimeout = 400ms;
constexpr net::Micros kDurabilityTimeout = 200ms;  // for applied events to become durable
constexpr net::Micros kDurabilityCheckInterval = 1ms;
constexpr net::Micros kReconnectDelay = 50ms;  // from the second failure on, to avoid a busy loop
// An event is heard at most this much later than the bus takes for an answer, which leaves 5.5 s of the 7 s.
constexpr net::Micros kMaxReadInterval = 1500ms;
constexpr std::size_t kMaxConnections = 5;  // enough for answers that take 6 s

}  // namespace

BusReader::BusReader(net::Loop& loop, Apply apply)
    : loop_(loop), apply_(std::move(apply)), holdTime_(kPollHold), silenceTimeout_(kSilenceTimeout) {}

void BusReader::setDrainGrace(net::Micros grace) {
    holdTime_ = grace.count() > 0 ? std::clamp(grace / 2, kMinPollHold, kPollHold) : kPollHold;
    silenceTimeout_ =
        grace.count() > 0 ? std::clamp(grace * 3 / 10, kMinSilenceTimeout, kSilenceTimeout) : kSilenceTimeout;
}

BusReader::~BusReader() {
    for (auto* timer : {&latenessTimer_, &connectTimer_, &durabilityTimer_, &otherServersTimer_})
        stop(*timer);
}

void BusReader::setEndpoints(const std::vector<settings::Endpoint>& endpoints) {
    if (endpoints == endpoints_) return;
    endpoints_ = endpoints;
    current_ = 0;
    failures_ = 0;
    startOver();
}

void BusReader::rewindTo(std::int64_t offset) {
    if (offset >= offset_) return;
    offset_ = offset;
    startOver();  // the answers to the current reads would skip the events that are wanted
}

void BusReader::startOver() {
    for (auto* timer : {&latenessTimer_, &connectTimer_, &durabilityTimer_, &otherServersTimer_})
        stop(*timer);
    dropConnections([](const BusConnection&) { return true; });
    readInterval_ = {};
    unchecked_.assign(endpoints_.size(), false);
    if (!endpoints_.empty()) connect(current_);
}

void BusReader::applyBatch(const settings::BusBatch& batch) {
    for (const settings::BusEvent& event : batch.events) {
        if (event.offset <= offset_) continue;
        offset_ = event.offset;
        if (event.isStoreList && event.offset <= listsAppliedUpTo_) continue;
        ++counters_.events;
        apply_(event);
    }
    offset_ = std::max(offset_, batch.offset);
    listsAppliedUpTo_ = std::max(listsAppliedUpTo_, offset_);
}

// ----- connections and reads -----

void BusReader::connect(std::size_t server) {
    if (server == current_) stop(connectTimer_);
    connections_.push_back(std::make_shared<BusConnection>(loop_, endpoints_[server], server,
                                                           static_cast<BusConnection::Observer&>(*this)));
    lastBegunAt_ = loop_.now();
    watchForLateness();
}

void BusReader::busConnected(BusConnection& connection) { pollOnceDurable(connection); }

// A stuck disk delays the next poll only this long: further purges must get through.
void BusReader::pollOnceDurable(BusConnection& connection) {
    if (!observer_.isDurable || observer_.isDurable() || loop_.now() >= durableDeadline_)
        return poll(connection);
    arm(durabilityTimer_, kDurabilityCheckInterval, [this, held = connection.weak_from_this()] {
        if (const auto waiting = held.lock()) pollOnceDurable(*waiting);
    });
}

void BusReader::poll(BusConnection& connection) {
    if (!connection.idle()) return;
    ++counters_.polls;
    lastBegunAt_ = loop_.now();
    connection.read(offset_, answeredOnce_ ? holdTime_ : kFirstPollHold);
    watchForLateness();
}

net::Micros BusReader::latenessTimeout(const BusConnection& connection) const {
    if (connection.answering()) return silenceTimeout_;
    const auto& read = connection.pendingRead();
    return read ? read->hold + silenceTimeout_ : kConnectTimeout;
}

// Another read is due once the last one is late, and the interval of late reads has passed.
void BusReader::watchForLateness() {
    arm(latenessTimer_, std::max(net::Micros{0}, nextReadAt() - loop_.now()),
        [this] { nextReadAt() > loop_.now() ? watchForLateness() : beginAnotherRead(); });
}

// A byte of an answer postpones it.
net::Micros BusReader::nextReadAt() const {
    net::Micros at = lastBegunAt_ + readInterval_;
    for (const auto& connection : connections_)
        if (!connection->idle())
            at = std::max(at, connection->lastProgressAt() + latenessTimeout(*connection));
    return at;
}

// Connections that have answered go first. A further one goes to the next server, if there are several.
void BusReader::beginAnotherRead() {
    const auto idle = std::find_if(connections_.begin(), connections_.end(),
                                   [](const auto& connection) { return connection->idle(); });
    if (idle != connections_.end()) return pollOnceDurable(**idle);
    ++counters_.reconnects;
    logFailure("silent, connecting again");
    ++failures_;
    const net::Micros least = holdTime_ + silenceTimeout_;
    readInterval_ = std::min(kMaxReadInterval, std::max(least, readInterval_) * 3 / 2);
    if (connections_.size() >= kMaxConnections) {
        lastBegunAt_ = loop_.now();
        return watchForLateness();
    }
    switchServer();
    connect(current_);
}

void BusReader::switchServer() {
    if (endpoints_.size() < 2) return;
    unchecked_.assign(endpoints_.size(), true);
    current_ = (current_ + 1) % endpoints_.size();
    ++counters_.endpointSwitches;
}

void BusReader::busEnded(BusConnection& connection, const char* why) {
    // Beside a read that was never answered others have been begun meanwhile.
    const bool needless = connection.gaveUpSilent() || connection.server() != current_;
    dropConnection(connection);
    if (needless && !connections_.empty()) return watchForLateness();
    ++counters_.reconnects;
    logFailure(std::string(why) + ", connecting again");
    switchServer();
    // Tries every server once without delay, then with pauses.
    const bool atOnce = failures_ < static_cast<int>(std::max<std::size_t>(2, endpoints_.size())) - 1;
    ++failures_;
    if (connections_.size() >= kMaxConnections) return watchForLateness();
    if (atOnce) return connect(current_);
    arm(connectTimer_, kReconnectDelay, [this] { connect(current_); });
}

// ----- answers -----

bool BusReader::busAnswered(BusConnection& connection, const BusRead& read, const std::string& body) {
    const bool late = loop_.now() - read.begunAt > read.hold + silenceTimeout_;
    if (!applyAnswer(read, body, late)) return false;
    failures_ = 0;
    answeredOnce_ = true;
    durableDeadline_ = loop_.now() + kDurabilityTimeout;
    if (late) ++counters_.lateAnswers;
    if (!late) unchecked_[connection.server()] = false;
    if (isReadInTimeElsewhere(connection)) {
        if (!late || !connection.idle()) dropConnection(connection);
        return true;
    }
    current_ = connection.server();
    // An answer overtakes what was asked of its server earlier; one in time makes all other reads there
    // needless.
    dropConnections([&](const BusConnection& other) {
        return &other != &connection && other.server() == connection.server() &&
               (!late || (other.pendingRead() && other.begunAt() < read.begunAt));
    });
    stop(connectTimer_);
    continueAfter(connection, late);
    if (!late && !otherServersTimer_) checkOtherServers();
    return true;
}

// Whether another server is read from, and answers in time.
bool BusReader::isReadInTimeElsewhere(const BusConnection& connection) const {
    if (answersAreLate() || connection.server() == current_) return false;
    return std::any_of(connections_.begin(), connections_.end(), [&](const auto& other) {
        return other->server() == current_ && other->pendingRead();
    });
}

// After a switch the server that answers in time may lag behind one that is late. So the others are read from
// as well, now and then, until each has answered in time.
void BusReader::checkOtherServers() {
    if (std::find(unchecked_.begin(), unchecked_.end(), true) == unchecked_.end()) return;
    arm(otherServersTimer_, kMaxReadInterval, [this] {
        if (!answersAreLate()) readFromOtherServer();
        checkOtherServers();
    });
}

void BusReader::readFromOtherServer() {
    for (std::size_t step = 1; step <= endpoints_.size(); ++step) {
        const std::size_t server = (lastChecked_ + step) % endpoints_.size();
        if (server == current_ || !unchecked_[server]) continue;
        const auto held = std::find_if(connections_.begin(), connections_.end(),
                                       [&](const auto& other) { return other->server() == server; });
        if (held != connections_.end() && !(*held)->idle()) continue;
        lastChecked_ = server;
        if (held != connections_.end()) return pollOnceDurable(**held);
        if (connections_.size() < kMaxConnections) connect(server);
        return;
    }
}

void BusReader::continueAfter(BusConnection& connection, bool late) {
    if (!late) readInterval_ = {};
    const bool reusable = connection.idle();
    if (!reusable) dropConnection(connection);
    if (late && loop_.now() - lastBegunAt_ < readInterval_) return watchForLateness();
    if (reusable) return pollOnceDurable(connection);
    if (connections_.size() < kMaxConnections) return connect(current_);
    watchForLateness();
}

bool BusReader::applyAnswer(const BusRead& read, const std::string& body, bool late) {
    try {
        const settings::BusBatch batch = settings::readBatch(nlohmann::json::parse(body));
        // A server that lags behind the others is not waited for: the events that it lacks may be purges.
        if (endpoints_.size() > 1 && batch.offset < read.from) return false;
        // A server that announces more events but sends none would be polled in a busy loop.
        if (batch.last > batch.offset && batch.offset <= read.from) return false;
        if (read.from < offset_ && batch.offset <= offset_) return true;  // overtaken by another read
        const std::int64_t from = offset_;
        std::vector<std::int64_t> offsets;
        for (const settings::BusEvent& event : batch.events)
            if (event.offset > from || read.from == from) offsets.push_back(event.offset);
        applyBatch(batch);
        const bool complete = batch.last <= offset_;
        // When a late answer was put together is not known.
        const net::Micros upToDateAt = late ? read.begunAt : loop_.now();
        if (observer_.onBatch) observer_.onBatch(upToDateAt, from, batch.offset, offsets, complete);
        caughtUp_ = caughtUp_ || complete;
    } catch (const std::exception& problem) {
        logFailure(std::string("cannot use its answer: ") + problem.what());
        return false;
    }
    return true;
}

// Once until the next answer in time.
void BusReader::logFailure(const std::string& problem) const {
    if (failures_ == 0 && !answersAreLate()) std::fprintf(stderr, "event bus: %s\n", problem.c_str());
}

// ----- helpers -----

void BusReader::dropConnection(const BusConnection& connection) {
    dropConnections([&](const BusConnection& other) { return &other == &connection; });
}

// The connections may still be in use by callers on the stack.
void BusReader::dropConnections(const std::function<bool(const BusConnection&)>& which) {
    std::erase_if(connections_, [&](const std::shared_ptr<BusConnection>& connection) {
        if (!which(*connection)) return false;
        connection->close();
        loop_.destroyAfterTurn(connection);
        return true;
    });
}

void BusReader::arm(std::optional<net::Loop::TimerKey>& timer, net::Micros delay,
                    std::function<void()> task) {
    stop(timer);
    timer = loop_.after(delay, [&timer, task = std::move(task)] {
        timer.reset();
        task();
    });
}

void BusReader::stop(std::optional<net::Loop::TimerKey>& timer) {
    if (timer) loop_.cancel(*timer);
    timer.reset();
}

}  // namespace lotuslead::platform
