#include "upstreams.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

#include "../core/service.hpp"
#include "target.hpp"
#include "validators.hpp"

namespace lotuslead::repository {

using core::AttemptResult;
using core::Micros;
using namespace std::chrono_literals;

namespace {

constexpr Micros kConnectTimeout = 400ms;
constexpr Micros kIdleTimeout = 15s;
constexpr std::size_t kMaxHeadBytes = 16 * 1024;
constexpr std::size_t kMaxConnectionsPerServer = 16;
// The Age field counts whole seconds and cannot express a lower limit; the copy is then revalidated.
constexpr Micros kMinAgeLimit = 2s;

std::optional<std::uint64_t> parseInteger(std::string_view text) {
    std::uint64_t value = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || read.ec != std::errc{} || read.ptr != text.data() + text.size()) return {};
    return value;
}

// "bytes 0-99/1234", or "bytes */1234" with a 416 (RFC 9110, 14.4).
struct ContentRange {
    std::optional<std::uint64_t> first, last, total;
};
ContentRange parseContentRange(const std::string* field) {
    ContentRange result;
    if (!field || field->rfind("bytes ", 0) != 0) return result;
    const std::string_view text = std::string_view(*field).substr(6);
    const std::size_t slash = text.find('/');
    if (slash == std::string_view::npos) return result;
    result.total = parseInteger(text.substr(slash + 1));
    const std::string_view span = text.substr(0, slash);
    const std::size_t dash = span.find('-');
    if (dash == std::string_view::npos) return result;
    result.first = parseInteger(span.substr(0, dash));
    result.last = parseInteger(span.substr(dash + 1));
    return result;
}

// The Age of a response from a cache, in seconds.
std::optional<std::int64_t> readAge(const net::HttpHead& head) {
    constexpr std::uint64_t kTenYears = 315'360'000;  // in seconds; prevents overflow
    const std::string* field = head.field("age");
    if (!field) return {};
    return static_cast<std::int64_t>(std::min(parseInteger(*field).value_or(0), kTenYears));
}

std::optional<std::time_t> readOriginDate(const net::HttpHead& head, std::time_t receivedAt) {
    const std::string* field = head.field("date");
    const auto date = field ? parseHttpDate(*field) : std::nullopt;
    const auto age = readAge(head);
    return date && age ? originDate(*date, *age, receivedAt) : date;
}

std::int64_t toSeconds(Micros t) { return std::chrono::duration_cast<std::chrono::seconds>(t).count(); }

}  // namespace

class Upstreams::Connection : public net::Stream::Observer, public std::enable_shared_from_this<Connection> {
public:
    Connection(Upstreams& owner, std::string host, const settings::Endpoint& to)
        : owner_(owner),
          host_(std::move(host)),
          parser_(net::HttpParser::Kind::response, {kMaxHeadBytes, 0}),
          stream_(owner_.loop_, to, *this) {
        ++owner_.counters_.connects;
        startTimer(owner_.connectTimeout_, Outcome::noConnection);
    }
    ~Connection() override { stopTimer(); }

    bool connecting() const { return !ended_ && !stream_.opened(); }
    // Not with unread input: after an unhandled close, a request would be lost; and an unsolicited response,
    // such as 408 before a close, would be taken for the answer.
    bool ready() const { return !ended_ && stream_.opened() && !attempt_ && stream_.nothingUnread(); }
    bool has(RequestId request) const { return attempt_ && attempt_->send.request == request; }

    void take(const QueuedAttempt& attempt) {
        stopTimer();
        attempt_ = attempt;
        parser_.setMaxBodyBytes(owner_.maxBodyBytes(*attempt.request));
        stream_.write(owner_.requestText(*attempt.request, attempt.send));
    }

    void fail(Outcome outcome) {
        if (std::exchange(ended_, true)) return;
        stopTimer();
        stream_.close();
        const auto self = shared_from_this();
        if (attempt_) owner_.report(*attempt_, outcome);
        attempt_.reset();
        owner_.loop_.destroyAfterTurn(self);
        owner_.removeConnection(host_, this, ignoreForHealth_);
    }
    // Closes the connection, since HTTP/1.1 has no other way to cancel a request.
    void abort() {
        attempt_.reset();
        fail(Outcome::cancelled);
    }

private:
    void streamOpened() override {
        startIdleTimer();
        serveQueueAtEndOfTurn();
    }
    // Deferred, since the client of a queued attempt may disconnect in this turn.
    void serveQueueAtEndOfTurn() {
        owner_.loop_.atEndOfTurn([self = shared_from_this()] { self->owner_.serveQueue(self->host_); });
    }
    bool streamData(std::string_view data) override {
        while (!data.empty()) {
            if (!attempt_) return false;  // an unsolicited response
            const auto status = parser_.feed(data);
            if (status == net::HttpParser::Status::needMore) return true;
            if (status != net::HttpParser::Status::message) return false;
            if (parser_.head().status < 200) continue;  // interim: the final response follows
            finishAttempt(parser_.head().keepAlive());
            if (ended_) return true;
        }
        return true;
    }
    void streamEnded(net::Stream::CloseReason why) override {
        using End = net::Stream::CloseReason;
        if (why == End::closedByPeer && attempt_ && parser_.endOfStream()) return finishAttempt(false);
        const bool cameUp = why != End::connectFailed && why != End::localShortage;
        if (!cameUp) ++owner_.counters_.connectFailures;
        if (why == End::reset) ++owner_.counters_.resets;
        if (why == End::malformed) {
            ++owner_.counters_.malformed;
            std::fprintf(stderr, "repository server %s: malformed answer, connection closed\n",
                         host_.c_str());
        }
        ignoreForHealth_ = why == End::localShortage;
        fail(cameUp ? Outcome::broken : Outcome::noConnection);
    }

    void finishAttempt(bool keep) {
        const QueuedAttempt attempt = *attempt_;
        attempt_.reset();
        owner_.report(readResponse(attempt));
        if (!keep) return fail(Outcome::broken);
        startIdleTimer();
        serveQueueAtEndOfTurn();
    }

    AttemptResult readResponse(const QueuedAttempt& attempt) {
        AttemptResult end;
        end.request = attempt.send.request;
        end.attempt = attempt.send.attempt;
        end.outcome = Outcome::served;
        readDescription(end.payload.metadata);
        readStatus(attempt, end);
        readCopyAge(attempt, end);
        const int status = parser_.head().status;
        if (end.outcome == Outcome::served && (status == 200 || status == 206))
            end.payload.body = std::move(parser_.body());
        return end;
    }

    void readDescription(core::Metadata& metadata) const {
        const net::HttpHead& head = parser_.head();
        for (const char* name : {"etag", "last-modified", "content-type"})
            if (const std::string* value = head.field(name)) metadata.emplace_back(name, *value);
        const Micros receivedAt = owner_.loop_.now() + owner_.unixClockOffset_;
        if (const auto date = readOriginDate(head, toSeconds(receivedAt)))
            metadata.emplace_back("date", formatHttpDate(*date));
    }

    // Sets the outcome, and the metadata that tell which bytes of the object the body has.
    void readStatus(const QueuedAttempt& attempt, AttemptResult& end) const {
        const net::HttpHead& head = parser_.head();
        const ContentRange range = parseContentRange(head.field("content-range"));
        auto& metadata = end.payload.metadata;
        int status = head.status;
        if (status == 200) {
            metadata.emplace_back(kTotal, std::to_string(parser_.body().size()));
            metadata.emplace_back(kFirst, "0");
        } else if (status == 206) {
            const bool fits = range.first && range.last && range.total && *range.last >= *range.first &&
                              *range.last - *range.first + 1 == parser_.body().size();
            if (!fits) end.outcome = Outcome::error;
            metadata.emplace_back(kTotal, std::to_string(range.total.value_or(0)));
            metadata.emplace_back(kFirst, std::to_string(range.first.value_or(0)));
        } else if (status == 304) {
            // Valid only for the copy that the client named.
            const std::string& known = attempt.request->knownTag;
            const std::string* tag = head.field("etag");
            end.payload.unchanged = !known.empty() && (!tag || matchesIfNoneMatch(known, *tag));
            if (!end.payload.unchanged) end.outcome = Outcome::error;
        } else if (status == 416 && range.total) {
            metadata.emplace_back(kTotal, std::to_string(*range.total));
        } else if (status == 410 || status == 404) {
            status = 404;
        } else if (status == 504) {  // also the answer to only-if-cached (RFC 9111, 5.2.1.7)
            const bool held = attempt.send.source.empty() || attempt.send.sourceOnlyIfCached;
            end.outcome = held ? Outcome::noCopy : Outcome::error;
        } else if (status == 503 || status == 429) {
            end.outcome = Outcome::rejected;
        } else {
            end.outcome = Outcome::error;
        }
        metadata.emplace_back(kStatus, std::to_string(status));
    }

    void readCopyAge(const QueuedAttempt& attempt, AttemptResult& end) {
        const auto age = readAge(parser_.head());
        // Servers may ignore the limit on age; a copy from before a purge must not be accepted.
        if (end.outcome == Outcome::served && age && attempt.send.maxCopyAge >= kMinAgeLimit &&
            *age + 1 > toSeconds(attempt.send.maxCopyAge)) {
            ++owner_.counters_.tooOld;
            end.outcome = Outcome::noCopy;
        }
        end.cacheStatus = age.value_or(0) > 0 ? CacheStatus::hit : CacheStatus::none;
        // An upper bound of the copy's age: Age is computed after the request was sent and truncates less
        // than a second (RFC 9111, 4.2.3).
        const Micros held = age ? std::chrono::seconds{*age + 1} : Micros{0};
        end.payload.createdMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                                    attempt.send.pickedAt + owner_.unixClockOffset_ - held)
                                    .count();
    }

    void startIdleTimer() { startTimer(owner_.idleTimeout_, Outcome::broken); }
    void startTimer(Micros delay, Outcome outcome) {
        stopTimer();
        timer_ = owner_.loop_.after(delay, [this, outcome] {
            timer_.reset();
            fail(outcome);
        });
    }
    void stopTimer() {
        if (timer_) owner_.loop_.cancel(*timer_);
        timer_.reset();
    }

    Upstreams& owner_;
    std::string host_;
    net::HttpParser parser_;
    std::optional<QueuedAttempt> attempt_;
    std::optional<net::Loop::TimerKey> timer_;
    bool ended_ = false;
    bool ignoreForHealth_ = false;  // its failure does not count against the server
    net::Stream stream_;
};

Upstreams::Upstreams(net::Loop& loop, const settings::RepositoryConfiguration& configuration)
    : loop_(loop), unixClockOffset_(core::unixClockOffset()), configuration_(configuration) {
    reconfigure(configuration);
}

void Upstreams::reconfigure(const settings::RepositoryConfiguration& configuration) {
    const settings::DecodedSettings& decoded = configuration.base.decoded;
    const auto valueOr = [](Time t, Micros otherwise) {
        return t.count() > 0 ? std::chrono::duration_cast<Micros>(t) : otherwise;
    };
    connectTimeout_ = valueOr(decoded.connectTimeout, kConnectTimeout);
    idleTimeout_ = valueOr(decoded.idleTimeout * 9 / 10, kIdleTimeout);
}

Upstreams::~Upstreams() = default;

void Upstreams::applyHostList(const settings::BusEvent& event) {
    for (auto& [name, server] : servers_) {
        const bool named = std::any_of(event.stores.begin(), event.stores.end(),
                                       [&, &key = name](const auto& s) { return s.name == key; });
        if (event.isSnapshot && !named) closeConnections(server);
    }
    for (const settings::ListedStore& listed : event.stores) {
        Server& server = servers_[listed.name];
        const bool restarted = listed.startedAtMs > server.startedAtMs && !server.address.empty();
        const bool moved = !listed.address.empty() && listed.address != server.address;
        if (restarted || moved || listed.readiness == Readiness::gone) closeConnections(server);
        try {
            if (!listed.address.empty()) settings::readEndpoint(listed.address, "address");
            if (!listed.address.empty()) server.address = listed.address;
        } catch (const settings::DecodeError& problem) {
            std::fprintf(stderr, "repository server %s: %s\n", listed.name.c_str(), problem.what());
        }
        server.startedAtMs = listed.startedAtMs;
        server.origin = configuration_.base.decoded.roleOf(listed.type) == Role::origin;
    }
}

void Upstreams::closeConnections(Server& server) {
    for (const QueuedAttempt& w : std::exchange(server.queue, {})) report(w, Outcome::notSent);
    const auto connections = server.connections;
    for (const auto& connection : connections) connection->fail(Outcome::broken);
}

void Upstreams::removeConnection(const std::string& host, Connection* connection, bool ignoreForHealth) {
    Server& server = servers_[host];
    std::erase_if(server.connections, [&](const auto& held) { return held.get() == connection; });
    // Attempts that waited for this connection fail with it.
    if (server.connections.empty())
        for (const QueuedAttempt& w : std::exchange(server.queue, {}))
            report(w, Outcome::noConnection, ignoreForHealth);
}

void Upstreams::send(Micros, const core::Request& request, const core::Decision& send) {
    inFlight_[request.id] = send.attempt;
    servers_[send.host].queue.push_back({&request, send});
    serveQueue(send.host);
}

// Checks each attempt again when a connection is free for it, since the server may be draining by then.
void Upstreams::serveQueue(const std::string& host) {
    Server& server = servers_[host];
    if (server.address.empty())
        for (const QueuedAttempt& w : std::exchange(server.queue, {})) report(w, Outcome::noConnection);
    while (!server.queue.empty()) {
        const QueuedAttempt next = server.queue.front();
        if (loop_.now() > next.send.pickedAt && !callbacks_.mayBegin(next.send.request, next.send.attempt)) {
            server.queue.pop_front();
            ++counters_.notBegun;
            report(next, Outcome::notSent);
            continue;
        }
        const auto free = std::find_if(server.connections.begin(), server.connections.end(),
                                       [](const auto& connection) { return connection->ready(); });
        if (free == server.connections.end()) break;
        server.queue.pop_front();
        (*free)->take(next);
    }
    auto connecting = static_cast<std::size_t>(
        std::count_if(server.connections.begin(), server.connections.end(),
                      [](const auto& connection) { return connection->connecting(); }));
    for (; connecting < server.queue.size() && server.connections.size() < kMaxConnectionsPerServer;
         ++connecting)
        server.connections.push_back(
            std::make_shared<Connection>(*this, host, settings::readEndpoint(server.address, "address")));
}

bool Upstreams::cancel(Micros, RequestId request, int attempt) {
    const auto found = inFlight_.find(request);
    if (found == inFlight_.end() || found->second != attempt) return false;
    inFlight_.erase(found);
    for (auto& [name, server] : servers_) {
        const auto queued = std::find_if(server.queue.begin(), server.queue.end(),
                                         [&](const QueuedAttempt& w) { return w.send.request == request; });
        if (queued != server.queue.end()) {
            server.queue.erase(queued);
            return true;
        }
        const auto held = std::find_if(server.connections.begin(), server.connections.end(),
                                       [&](const auto& connection) { return connection->has(request); });
        if (held == server.connections.end()) continue;
        const std::shared_ptr<Connection> connection = *held;
        connection->abort();
        return false;
    }
    return false;
}

std::size_t Upstreams::maxBodyBytes(const core::Request& request) const {
    return std::max({configuration_.maxIndexBytes, configuration_.partBytes,
                     static_cast<std::size_t>(request.span.size())});
}

std::string Upstreams::requestText(const core::Request& request, const core::Decision& send) {
    const Server& server = servers_[send.host];
    std::string text = "GET " + request.object + " HTTP/1.1\r\nHost: " + server.address + "\r\n";
    if (configuration_.base.decoded.settings.classes[static_cast<std::size_t>(request.classIndex)].inParts) {
        const auto first = static_cast<std::uint64_t>(request.part) * configuration_.partBytes;
        const core::ByteSpan part{first, first + configuration_.partBytes};
        const core::ByteSpan& wanted = request.span.empty() ? part : request.span;
        text +=
            "Range: bytes=" + std::to_string(wanted.begin) + "-" + std::to_string(wanted.end - 1) + "\r\n";
    }
    if (!request.knownTag.empty()) text += "If-None-Match: " + request.knownTag + "\r\n";
    std::string control;
    const auto add = [&](const std::string& directive) {
        control += (control.empty() ? "" : ", ") + directive;
    };
    if (send.maxCopyAge.count() > 0)
        add(send.maxCopyAge < kMinAgeLimit ? "no-cache"
                                           : "max-age=" + std::to_string(toSeconds(send.maxCopyAge) - 1));
    if (!server.origin) {
        if (send.source.empty() || send.sourceOnlyIfCached) add("only-if-cached");
        if (send.keepRank == 0) add("no-store");
        // Caches that support this field fill a miss from that source; others use their own configuration.
        if (!send.source.empty()) text += "Lotuslead-Source: " + servers_[send.source].address + "\r\n";
    }
    if (!control.empty()) text += "Cache-Control: " + control + "\r\n";
    return text + "\r\n";
}

void Upstreams::report(const QueuedAttempt& attempt, Outcome outcome, bool ignoreForHealth) {
    AttemptResult end;
    end.ignoreForHealth = ignoreForHealth;
    end.request = attempt.send.request;
    end.attempt = attempt.send.attempt;
    end.outcome = outcome;
    report(std::move(end));
}

void Upstreams::report(AttemptResult end) {
    // At the end of the turn: the caller may be handling the same request, and a disconnect of its client in
    // this turn should be seen before a retry.
    auto shared = std::make_shared<AttemptResult>(std::move(end));
    loop_.atEndOfTurn([this, shared] {
        const auto found = inFlight_.find(shared->request);
        if (found == inFlight_.end() || found->second != shared->attempt) return;
        inFlight_.erase(found);
        callbacks_.ended(std::move(*shared));
    });
}

}  // namespace lotuslead::repository
