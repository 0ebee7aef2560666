#include "store_connections.hpp"

#include <algorithm>
#include <optional>

#include "../core/service.hpp"
#include "store_connection.hpp"

namespace lotuslead::platform {

namespace {

constexpr Micros kDefaultConnectTimeout = 400ms;  // if the settings give none
constexpr Micros kDefaultIdleTimeout = 30s;
constexpr std::size_t kDefaultAttemptsPerConnection = 100;
// Added to the silence timeout: a connection that is silent for longer is closed if the store has answered,
// on other connections, attempts that were written later. Checked before each attempt to the store is sent.
constexpr Micros kStuckTimeout = 500ms;
constexpr Micros kMaxAnswerTime = 3s;  // from an answer's first byte to its last
// With this many connections to a store, an attempt uses a silent one, if there is one that accepts it,
// before another is opened. Not a maximum: without such a connection another one is opened.
constexpr std::size_t kConnectionsBeforeSilentReuse = 6;

}  // namespace

StoreConnections::StoreConnections(net::Loop& loop, const settings::Configuration& configuration)
    : loop_(loop), unixClockOffset_(core::unixClockOffset()), copyAgeCheck_(unixClockOffset_) {
    reconfigure(configuration);
}

void StoreConnections::reconfigure(const settings::Configuration& configuration) {
    const settings::DecodedSettings& decoded = configuration.decoded;
    connectTimeout_ = kDefaultConnectTimeout;
    idleTimeout_ = kDefaultIdleTimeout;
    maxAttemptsPerConnection_ = kDefaultAttemptsPerConnection;
    if (decoded.connectTimeout.count() > 0)
        connectTimeout_ = std::chrono::duration_cast<Micros>(decoded.connectTimeout);
    if (decoded.idleTimeout.count() > 0)
        idleTimeout_ = std::chrono::duration_cast<Micros>(decoded.idleTimeout) * 9 / 10;
    socketLimit_ = static_cast<std::size_t>(configuration.limits.sockets);
    setProcessCount(processCount_);
    const Micros longest = core::longestClientTimeout(decoded.settings);
    silenceTimeout_.setUpperBound(longest / 2);
    maxAnswerTime_ = std::min(kMaxAnswerTime, longest / 2);
    repeatable_.clear();
    for (const ClassSettings& c : decoded.settings.classes) repeatable_.push_back(c.effect == Effect::safe);
    mayProbe_ = decoded.settings.mayProbe;
    if (decoded.streamsPerConnection > 0)
        maxAttemptsPerConnection_ = static_cast<std::size_t>(decoded.streamsPerConnection);
}

// Of the descriptors, a third is for clients. Of the rest, a quarter but at most 64 is for the process itself
// and for operators, and the remainder is divided among the processes; each gets at least 8.
void StoreConnections::setProcessCount(int processes) {
    processCount_ = processes;
    const std::size_t upstreamSockets = socketLimit_ - socketLimit_ / 3;
    const std::size_t reservedSockets = std::min<std::size_t>(64, upstreamSockets / 4);
    maxConnections_ =
        std::max<std::size_t>(8, (upstreamSockets - reservedSockets) / static_cast<std::size_t>(processes));
}

StoreConnections::~StoreConnections() = default;

void StoreConnections::applyHostList(const settings::BusEvent& event) {
    if (event.isSnapshot) {
        for (auto& [name, store] : stores_) {
            const bool kept = std::any_of(event.stores.begin(), event.stores.end(),
                                          [&](const settings::ListedStore& s) { return s.name == name; });
            if (!kept) closeAll(store);
        }
        std::erase_if(stores_, [&](const auto& entry) {
            return std::none_of(event.stores.begin(), event.stores.end(),
                                [&](const settings::ListedStore& s) { return s.name == entry.first; });
        });
    }
    for (const settings::ListedStore& listed : event.stores) {
        if (listed.readiness == Readiness::gone) {  // no state is kept
            const auto found = stores_.find(listed.name);
            if (found == stores_.end()) continue;
            closeAll(found->second);
            stores_.erase(found);
            continue;
        }
        Store& store = stores_[listed.name];
        // A restart has ended all connections of the old process, and an address may have a new owner.
        const bool restarted = listed.startedAtMs > store.startedAtMs && !store.address.empty();
        const bool moved = !listed.address.empty() && listed.address != store.address;
        if (moved)
            closeAll(store);
        else if (restarted)
            closeOpenedBefore(store, std::chrono::milliseconds{listed.startedAtMs} - unixClockOffset_);
        if (moved) clearReusedAddress(listed.address, event);
        if (!listed.address.empty()) store.address = listed.address;
        store.startedAtMs = listed.startedAtMs;
    }
}

// The previous owner of this address is gone, though the list does not say so yet: requests meant for it must
// not reach the new owner, which may be cold.
void StoreConnections::clearReusedAddress(const std::string& address, const settings::BusEvent& event) {
    for (auto& [name, store] : stores_) {
        const bool listed = std::any_of(event.stores.begin(), event.stores.end(),
                                        [&, &key = name](const auto& s) { return s.name == key; });
        if (!listed && store.address == address) store.address.clear();
    }
}

void StoreConnections::closeAll(Store& store) {
    const auto connections = store.connections;
    for (const auto& connection : connections)
        connection->fail(Outcome::broken, Connection::HealthReport::none);
}

// Lists arrive late: a connection may already belong to the new process.
void StoreConnections::closeOpenedBefore(Store& store, Micros restart) {
    const auto connections = store.connections;
    for (const auto& connection : connections)
        if (!connection->openedSince(restart))
            connection->fail(Outcome::broken, Connection::HealthReport::none, true);
}

void StoreConnections::removeConnection(const std::string& host, Connection* connection) {
    const auto found = stores_.find(host);
    if (found == stores_.end()) return;
    std::erase_if(found->second.connections, [&](const auto& held) { return held.get() == connection; });
}

std::shared_ptr<StoreConnections::Connection> StoreConnections::connectionFor(const std::string& host,
                                                                              const std::string& traceId) {
    const auto known = stores_.find(host);
    if (known == stores_.end()) throw settings::DecodeError("is not listed");
    Store& store = known->second;
    if (store.address.empty()) throw settings::DecodeError("has no address");
    closeStuck(store);
    std::shared_ptr<Connection> best, silent;
    for (const auto& connection : store.connections) {
        // Two attempts of one id must not share a connection: a late answer to the first would be taken for
        // that to the second.
        if (!connection->acceptsAttempts() || connection->load() >= maxAttemptsPerConnection_ ||
            connection->hasSeen(traceId))
            continue;
        auto& candidate = connection->silenceDuration() > silenceTimeout_.value() ? silent : best;
        if (!candidate || connection->load() < candidate->load()) candidate = connection;
    }
    if (best) return best;
    const bool full = connectionCount() >= maxConnections_;
    if (silent && (full || store.connections.size() >= kConnectionsBeforeSilentReuse)) return silent;
    if (full) return nullptr;
    best = std::make_shared<Connection>(*this, host, settings::readEndpoint(store.address, "address"));
    store.connections.push_back(best);
    return best;
}

// Closes each connection that has been silent for too long although the store has answered, on other
// connections, attempts that were written later: an answer that never arrives blocks it.
void StoreConnections::closeStuck(Store& store) {
    const auto connections = store.connections;
    for (const auto& connection : connections) {
        if (!connection->hasPendingAnswers() ||
            connection->silenceDuration() < silenceTimeout_.value() + kStuckTimeout)
            continue;
        if (store.latestAnsweredWriteAt <= connection->waitingSince()) continue;
        ++counters_.stuck;
        connection->fail(Outcome::broken, Connection::HealthReport::none, true);
    }
}

void StoreConnections::recordAnsweredWrite(const std::string& host, Micros writtenAt) {
    const auto found = stores_.find(host);
    if (found != stores_.end())
        found->second.latestAnsweredWriteAt = std::max(found->second.latestAnsweredWriteAt, writtenAt);
}

void StoreConnections::send(Micros, const core::Request& request, const core::Decision& send) {
    locations_[request.id] = {{}, send.attempt};
    dispatch({&request, send});
}

void StoreConnections::dispatch(QueuedAttempt queued) {
    const core::Decision& send = queued.send;
    const auto location = locations_.find(send.request);
    // It was cancelled meanwhile; its request may be gone as well.
    if (location == locations_.end() || location->second.attempt != send.attempt) return;
    AttemptResult result;
    result.request = send.request;
    result.attempt = send.attempt;
    result.outcome = Outcome::noConnection;
    try {
        if (const auto connection = connectionFor(send.host, queued.request->traceId)) {
            location->second.connection = connection;
            return connection->enqueue(std::move(queued));
        }
        ++counters_.noDescriptor;
        result.ignoreForHealth = true;  // this process has run out of connections, not the store
    } catch (const settings::DecodeError& problem) {
        std::fprintf(stderr, "store %s: %s\n", send.host.c_str(), problem.what());
    }
    reportResult(std::move(result));
}

bool StoreConnections::cancel(Micros, RequestId request, int attempt) {
    const auto found = locations_.find(request);
    if (found == locations_.end() || found->second.attempt != attempt) return false;
    const auto connection = found->second.connection.lock();
    locations_.erase(found);
    return connection ? connection->cancelAttempt(request, attempt)
                      : true;  // between two connections: not written on either
}

void StoreConnections::reportResult(AttemptResult result) {
    // Deferred within the turn: the caller may be in the middle of handling this very request. By then all
    // input of the turn is read, so a client's CANCEL is known before the request is sent again.
    auto shared = std::make_shared<AttemptResult>(std::move(result));
    loop_.atEndOfTurn([this, shared] {
        const auto found = locations_.find(shared->request);
        if (found == locations_.end() || found->second.attempt != shared->attempt) return;
        locations_.erase(found);
        callbacks_.ended(std::move(*shared));
    });
}

std::size_t StoreConnections::connectionCount() const {
    std::size_t count = 0;
    for (const auto& [name, store] : stores_) count += store.connections.size();
    return count;
}

}  // namespace lotuslead::platform
