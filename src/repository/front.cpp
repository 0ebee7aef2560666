#include "front.hpp"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <optional>

#include "target.hpp"
#include "upstreams.hpp"

namespace lotuslead::repository {

using core::Micros;
using core::Reply;
using namespace std::chrono_literals;

namespace {

constexpr Micros kIdleTimeout = 30s;        // for connections without any progress
constexpr Micros kRequestTimeout = 2800ms;  // from connecting, or a request's first byte, to its last
constexpr int kMaxRequestsPerTurn = 16;     // of one client, so that others get their turn
constexpr std::size_t kMaxUnparsedBytes =
    8 * 1024;  // of one client; what it sends beyond waits in the kernel
constexpr net::HttpParser::Limits kRequestLimits{16 * 1024, 8 * 1024};  // bodies are read and ignored
constexpr Micros kDrainSweepInterval = 50ms;                            // for closing idle connections
constexpr Micros kRefuseAfterDrainStart = 1900ms;                       // as in the platform's front
constexpr Micros kMinAgeToDrain = 500ms;
constexpr std::size_t kMaxReservedDescriptors = 128;

const char* reasonOf(int status) {
    switch (status) {
        case 200:
            return "OK";
        case 206:
            return "Partial Content";
        case 304:
            return "Not Modified";
        case 400:
            return "Bad Request";
        case 404:
            return "Not Found";
        case 405:
            return "Method Not Allowed";
        case 408:
            return "Request Timeout";
        case 413:
            return "Content Too Large";
        case 416:
            return "Range Not Satisfiable";
        case 431:
            return "Request Header Fields Too Large";
        case 502:
            return "Bad Gateway";
        case 503:
            return "Service Unavailable";
        default:
            return "Gateway Timeout";
    }
}

std::string findMetadata(const core::Payload& payload, std::string_view name) {
    for (const auto& [key, value] : payload.metadata)
        if (key == name) return value;
    return {};
}

std::uint64_t parseNumber(const std::string& text) {
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

}  // namespace

class Front::Client : public net::Stream::Observer {
public:
    Client(Front& owner, net::Descriptor fd)
        : owner_(owner),
          parser_(net::HttpParser::Kind::request, kRequestLimits),
          connectedAt_(owner.loop_.now()),
          lastActivity_(connectedAt_),
          requestPendingSince_(connectedAt_),
          stream_(owner.loop_, std::move(fd), *this) {
        stream_.dropInputOnPeerClose();
        restartTimer();
    }
    ~Client() override { abortConnection(); }

    bool idle() const { return !current_ && stream_.unsentBytes() == 0; }
    // Idle, and no byte of a further request has arrived, read or unread.
    bool idleWithNoInput() const {
        return idle() && unparsed_.empty() && !parser_.midMessage() && stream_.nothingUnread();
    }
    Micros lastActivity() const { return lastActivity_; }
    bool isQuiescent() const { return closing_ ? idle() : idleWithNoInput(); }
    void failOpenRequest() {
        if (!current_) return;
        if (current_->openFetch) {
            const RequestId id = *std::exchange(current_->openFetch, std::nullopt);
            releaseReservation();
            owner_.requests_.clientGone(owner_.loop_.now(), id);
        }
        current_->headSent ? abortTransfer("the process is stopping") : sendUnavailable(1s);
    }
    void closeForDrain() {
        if (current_ || closing_ || !unparsed_.empty() || !stream_.allAcknowledged() ||
            !stream_.nothingUnread())
            return;
        if (parser_.midMessage() || owner_.loop_.now() - connectedAt_ < kMinAgeToDrain) return;
        ++owner_.counters_.drained;
        closing_ = true;
        stream_.closeLingering(kMinAgeToDrain);
    }
    void abortConnection() {
        stream_.close();
        if (timer_) owner_.loop_.cancel(*timer_);
        timer_.reset();
        if (resumeTimer_) owner_.loop_.cancel(*resumeTimer_);
        resumeTimer_.reset();
        if (current_ && current_->openFetch) {
            const RequestId id = *current_->openFetch;
            releaseReservation();
            owner_.requests_.clientGone(owner_.loop_.now(), id);
        }
        current_.reset();
        accountUnsent(0);
    }

private:
    // The request that is being answered. A file is fetched part by part, as its client reads it.
    struct CurrentRequest {
        bool isHead = false;  // its method is HEAD
        bool isFile = false;
        bool keepAlive = true;
        settings::Route route;
        std::string path;
        std::optional<ByteRange> range;
        std::string ifRange, ifNoneMatch, ifModifiedSince;
        std::optional<RequestId> openFetch;  // of the part that is being fetched
        std::size_t reservedBytes = 0;
        std::uint64_t part = 0;
        bool headSent = false;  // from here on, a failure must show as an incomplete response
        std::uint64_t nextByte = 0, endByte = 0, fileBytes = 0;
        std::string etag, lastModified;
    };

    // ----- requests -----

    std::size_t streamReadLimit() override {
        return kMaxUnparsedBytes - std::min(kMaxUnparsedBytes, unparsed_.size());
    }
    bool streamData(std::string_view data) override {
        unparsed_.append(data);
        parseRequests();
        if (!stream_.closed()) restartTimer();
        return true;
    }

    // Handles requests one at a time, so that an index requested behind a file is fetched after the file, and
    // is not outdated when it is sent.
    void parseRequests() {
        if (resumeTimer_) return;
        while (!current_ && !closing_ && !stream_.closed() && !unparsed_.empty()) {
            if (countedTurn_ != owner_.loop_.now()) requestsThisTurn_ = 0;
            countedTurn_ = owner_.loop_.now();
            if (requestsThisTurn_ >= kMaxRequestsPerTurn) {
                resumeTimer_ = owner_.loop_.after(Micros{1}, [this] {  // in the next turn
                    resumeTimer_.reset();
                    parseRequests();
                });
                return stream_.pauseReading(true);
            }
            std::string_view rest = unparsed_;
            const auto status = parser_.feed(rest);
            unparsed_.erase(0, unparsed_.size() - rest.size());
            using Status = net::HttpParser::Status;
            if (status == Status::needMore) break;  // and resume reading, if it was paused
            if (status == Status::malformed) return rejectAndClose(400);
            if (status == Status::headTooLarge) return rejectAndClose(431);
            if (status == Status::bodyTooLarge) return rejectAndClose(413);
            ++requestsThisTurn_;
            requestPendingSince_.reset();
            beginRequest(parser_.head());
        }
        if (!current_) stream_.pauseReading(false);
    }

    // Closes the connection as well, since the start of the next request is unknown.
    void rejectAndClose(int status) {
        ++owner_.counters_.badRequests;
        requestPendingSince_.reset();
        current_.emplace();
        current_->keepAlive = false;
        sendPlain(status);
    }

    void beginRequest(const net::HttpHead& head) {
        current_.emplace();
        current_->keepAlive = head.keepAlive() && !owner_.shuttingDown_ && !owner_.drainingSince_;
        current_->isHead = head.method == "HEAD";
        if (head.minorVersion >= 1 && !head.field("host")) return rejectAndClose(400);
        const auto path = normalizePath(head.target);
        if (!path) return rejectAndClose(400);
        const settings::Route* route = nullptr;
        for (const settings::Route& r : owner_.configuration_.routes)
            if (path->rfind(r.prefix, 0) == 0 && (!route || r.prefix.size() > route->prefix.size()))
                route = &r;
        if (!route) return sendPlain(404);
        if (head.method != "GET" && head.method != "HEAD") return sendPlain(405);
        const auto text = [&](const char* name) {
            const std::string* value = head.field(name);
            return value ? *value : std::string{};
        };
        if (owner_.refusesRequests()) return sendUnavailable(1s);
        current_->route = *route;
        current_->path = *path;
        const auto& classes = owner_.configuration_.base.decoded.settings.classes;
        current_->isFile = classes[static_cast<std::size_t>(route->classIndex)].inParts;
        if (!current_->isHead) current_->range = parseRange(head.field("range"));
        current_->ifRange = text("if-range");
        current_->ifNoneMatch = text("if-none-match");
        current_->ifModifiedSince = text("if-modified-since");
        ++(current_->isFile ? owner_.counters_.files : owner_.counters_.indexes);
        const bool hasFirst = current_->isFile && current_->range && current_->range->first;
        fetchPart(hasFirst ? *current_->range->first / owner_.configuration_.partBytes : 0);
    }

    void fetchPart(std::uint64_t part) {
        const auto& configuration = owner_.configuration_;
        const std::size_t size = current_->isFile ? configuration.partBytes : configuration.maxIndexBytes;
        if (!owner_.roomFor(size))
            return current_->headSent ? abortTransfer("no memory is left for it") : sendUnavailable(1s);
        current_->part = part;
        current_->openFetch = owner_.nextId_++;
        current_->reservedBytes = size;
        owner_.reservedBytes_ += size;
        core::Request request;
        request.id = *current_->openFetch;
        request.classIndex = current_->route.classIndex;
        request.className = current_->route.className;
        request.object = current_->path;
        request.group = current_->route.group;
        request.part = static_cast<std::int64_t>(part);
        if (!current_->isFile && !current_->range) request.knownTag = current_->ifNoneMatch;
        const auto& classes = configuration.base.decoded.settings.classes;
        const Micros now = owner_.loop_.now();
        request.deadline = now + std::chrono::duration_cast<Micros>(
                                     classes[static_cast<std::size_t>(request.classIndex)].clientTimeout);
        owner_.requests_.submit(now, std::move(request), [this](RequestId, Reply&& reply) {
            releaseReservation();
            current_->openFetch.reset();
            handleReply(std::move(reply));
        });
    }

    void releaseReservation() {
        owner_.reservedBytes_ -= current_->reservedBytes;
        current_->reservedBytes = 0;
    }

    // ----- answers -----

    void handleReply(Reply&& reply) {
        if (reply.kind != Reply::Kind::served) return handleFailure(reply);
        const core::Payload& payload = reply.payload;
        const std::uint64_t status = parseNumber(findMetadata(payload, kStatus));
        const std::string tag = findMetadata(payload, "etag"),
                          modified = findMetadata(payload, "last-modified");
        const std::uint64_t total = parseNumber(findMetadata(payload, kTotal));
        if (current_->headSent) {
            if ((status != 200 && status != 206) || tag != current_->etag || total != current_->fileBytes)
                return abortTransfer("the file has changed");
            return sendPart(payload);
        }
        current_->etag = tag;
        current_->lastModified = modified;
        current_->fileBytes = total;
        if (status == 404) return sendPlain(404);
        if (payload.unchanged) return sendNotModified();
        if (status == 416) {
            if (total > 0 || current_->part > 0 || current_->range) return sendUnsatisfiable();
            sendHead(200, 0, payload);  // an empty file has no first part
            return finishRequest();
        }
        if (isUnmodified()) return sendNotModified();
        const bool rangeHolds = current_->ifRange.empty() ||
                                (current_->ifRange.front() == '"' ? current_->ifRange == tag && !tag.empty()
                                                                  : current_->ifRange == modified);
        if (!rangeHolds) current_->range.reset();
        ByteSpan span{0, total};
        if (current_->range) {
            const auto found = resolveRange(*current_->range, total);
            if (!found) return sendUnsatisfiable();
            span = *found;
        }
        current_->nextByte = span.begin;
        current_->endByte = span.end;
        const std::uint64_t first = parseNumber(findMetadata(payload, kFirst));
        const bool holdsIt = span.begin >= first && span.begin < first + payload.body.size();
        if (!holdsIt && !current_->isHead && span.begin < span.end) {
            if (!current_->isFile || ++refetches_ > 2) return sendPlain(502);
            return fetchPart(span.begin / owner_.configuration_.partBytes);
        }
        refetches_ = 0;
        std::string extra;
        if (current_->range)
            extra = "Content-Range: bytes " + std::to_string(span.begin) + "-" +
                    std::to_string(span.end - 1) + "/" + std::to_string(total) + "\r\n";
        sendHead(current_->range ? 206 : 200, span.end - span.begin, payload, extra);
        if (current_->isHead || span.begin == span.end) return finishRequest();
        current_->headSent = true;
        sendPart(payload);
    }

    void sendPart(const core::Payload& payload) {
        const std::uint64_t first = parseNumber(findMetadata(payload, kFirst));
        const std::uint64_t upTo = std::min(current_->endByte, first + payload.body.size());
        if (current_->nextByte < first || current_->nextByte >= upTo)
            return abortTransfer("the upstream sent a different part");
        stream_.write(payload.body.substr(current_->nextByte - first, upTo - current_->nextByte));
        current_->nextByte = upTo;
        accountUnsent(stream_.unsentBytes());
        restartTimer();
        if (current_->nextByte == current_->endByte) return finishRequest();
        fetchNextPart();
    }

    // Fetches the next part once the client has read enough of what was sent.
    void fetchNextPart() {
        if (!current_ || !current_->headSent || current_->openFetch ||
            stream_.unsentBytes() > owner_.configuration_.partBytes)
            return;
        fetchPart(current_->nextByte / owner_.configuration_.partBytes);
    }

    bool isUnmodified() const {
        if (!current_->ifNoneMatch.empty()) return matchesIfNoneMatch(current_->ifNoneMatch, current_->etag);
        if (current_->ifModifiedSince.empty() || current_->lastModified.empty()) return false;
        const auto since = parseHttpDate(current_->ifModifiedSince),
                   changed = parseHttpDate(current_->lastModified);
        return since && changed && *changed <= *since;
    }

    void handleFailure(const Reply& reply) {
        if (current_->headSent) return abortTransfer("no further part is to be had");
        if (reply.deadlineExceeded) {
            ++owner_.counters_.late;
            return sendPlain(504);
        }
        const auto last = reply.lastOutcome.value_or(Outcome::notSent);
        if (last == Outcome::error || last == Outcome::broken || last == Outcome::noConnection ||
            last == Outcome::timedOut) {
            ++owner_.counters_.upstreamFailed;
            return sendPlain(502);
        }
        sendUnavailable(reply.retryAfter);
    }

    void sendUnavailable(Micros pause) {
        ++owner_.counters_.refused;
        const auto seconds = std::max<std::int64_t>(1, (pause.count() + 999'999) / 1'000'000);
        sendPlain(503, "Retry-After: " + std::to_string(seconds) + "\r\n");
    }

    // Closes the connection before the announced length, so that the client sees an incomplete response.
    void abortTransfer(const char* why) {
        ++owner_.counters_.truncatedResponses;
        std::fprintf(stderr, "repository: %s broken off at byte %llu of %llu: %s\n", current_->path.c_str(),
                     static_cast<unsigned long long>(current_->nextByte),
                     static_cast<unsigned long long>(current_->endByte), why);
        current_->keepAlive = false;
        finishRequest();
    }

    void sendNotModified() {
        std::string response = statusLine(304);
        if (!current_->etag.empty()) response += "ETag: " + current_->etag + "\r\n";
        if (!current_->lastModified.empty()) response += "Last-Modified: " + current_->lastModified + "\r\n";
        stream_.write(response + "\r\n");
        finishRequest();
    }

    void sendUnsatisfiable() {
        sendPlain(416, "Content-Range: bytes */" + std::to_string(current_->fileBytes) + "\r\n");
    }

    void sendHead(int status, std::uint64_t length, const core::Payload& payload,
                  const std::string& extra = {}) {
        std::string response = statusLine(status);
        const std::string type = findMetadata(payload, "content-type");
        response += "Content-Type: " + (type.empty() ? "application/octet-stream" : type) + "\r\n";
        response += "Content-Length: " + std::to_string(length) + "\r\nAccept-Ranges: bytes\r\n";
        if (!current_->etag.empty()) response += "ETag: " + current_->etag + "\r\n";
        if (!current_->lastModified.empty()) response += "Last-Modified: " + current_->lastModified + "\r\n";
        stream_.write(response + extra + "\r\n");
    }

    void sendPlain(int status, const std::string& extra = {}) {
        if (status == 404) ++owner_.counters_.notFound;
        std::string response = statusLine(status) + extra;
        if (status == 405) response += "Allow: GET, HEAD\r\n";
        const std::string body = std::string(reasonOf(status)) + "\n";
        response += "Content-Type: text/plain\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        if (!current_->isHead) response += body;
        stream_.write(std::move(response));
        finishRequest();
    }

    std::string statusLine(int status) const {
        std::string response = "HTTP/1.1 " + std::to_string(status) + " " + reasonOf(status) + "\r\n";
        response += "Date: " + formatHttpDate(std::time(nullptr)) + "\r\nVia: 1.1 lotuslead\r\n";
        if (!current_->keepAlive) response += "Connection: close\r\n";
        return response;
    }

    void finishRequest() {
        const bool keep = current_->keepAlive;
        current_.reset();
        refetches_ = 0;
        accountUnsent(stream_.unsentBytes());
        restartTimer();
        // The next request is handled later in the turn, so that pipelined requests do not recurse.
        if (keep) return postToSelf(&Client::parseRequests);
        closing_ = true;
        postToSelf(&Client::closeWhenWritten);
    }
    void closeWhenWritten() { stream_.closeAfterWriting(); }

    void postToSelf(void (Client::*what)()) {
        const auto found = owner_.clients_.find(this);
        if (found == owner_.clients_.end()) return;
        owner_.loop_.post([self = std::weak_ptr<Client>(found->second), what] {
            if (const auto client = self.lock()) ((*client).*what)();
        });
    }

    // ----- the connection -----

    void streamFlushed() override {
        restartTimer();
        accountUnsent(0);
        fetchNextPart();
    }
    void streamEnded(net::Stream::CloseReason) override {
        abortConnection();
        owner_.removeClient(this);
    }
    void restartTimer() {
        if (timer_) owner_.loop_.cancel(*timer_);
        lastActivity_ = owner_.loop_.now();
        if (!current_ && !requestPendingSince_ && parser_.midMessage()) requestPendingSince_ = lastActivity_;
        const bool requestPending = !current_ && requestPendingSince_;
        const Micros wait = requestPending
                                ? std::max(Micros{0}, *requestPendingSince_ + kRequestTimeout - lastActivity_)
                                : kIdleTimeout;
        timer_ = owner_.loop_.after(wait, [this, requestPending] {
            timer_.reset();
            // Also for requests whose bytes arrive slowly: they must not occupy a connection.
            if (requestPending && parser_.midMessage() && !closing_) {
                ++owner_.counters_.closedMidRequest;
                return rejectAndClose(408);
            }
            // An open fetch is bounded by its own deadline.
            if (current_ && current_->openFetch) return restartTimer();
            streamEnded(net::Stream::CloseReason::closedByPeer);
        });
    }
    void accountUnsent(std::size_t unsent) {
        owner_.unsentBytes_ += unsent;
        owner_.unsentBytes_ -= accountedBytes_;
        accountedBytes_ = unsent;
    }

    Front& owner_;
    net::HttpParser parser_;
    std::string unparsed_;
    std::optional<CurrentRequest> current_;
    int refetches_ = 0;
    bool closing_ = false;
    Micros connectedAt_, lastActivity_;
    std::optional<Micros> requestPendingSince_;  // start of the wait for a complete request
    Micros countedTurn_{};
    int requestsThisTurn_ = 0;  // in the turn countedTurn_
    std::optional<net::Loop::TimerKey> resumeTimer_;
    std::optional<net::Loop::TimerKey> timer_;
    std::size_t accountedBytes_ = 0;
    net::Stream stream_;
};

Front::Front(net::Loop& loop, core::RequestDispatcher& requests,
             const settings::RepositoryConfiguration& configuration)
    : loop_(loop), requests_(requests), configuration_(configuration), previousListener_(loop) {
    applyLimits(configuration.base.limits);
}

void Front::applyLimits(const settings::Limits& limits) {
    const auto sockets = static_cast<std::size_t>(limits.sockets);
    maxClients_ = std::min(sockets / 3, sockets - std::min(sockets / 2, kMaxReservedDescriptors));
    maxBufferedBytes_ = static_cast<std::size_t>(limits.memoryMb) * 1024 * 1024 / 2;
    maxClients_ /= static_cast<std::size_t>(processCount_);
    maxBufferedBytes_ /= static_cast<std::size_t>(processCount_);
}

void Front::setProcessCount(int processes) {
    processCount_ = processes;
    applyLimits(configuration_.base.limits);
}

Front::~Front() {
    undrain();
    clients_.clear();
}

void Front::open() { listener_ = listenOn(configuration_.base.listen); }

std::unique_ptr<net::Listener> Front::listenOn(const settings::Endpoint& address) {
    return std::make_unique<net::Listener>(loop_, address,
                                           [this](net::Descriptor fd) { accept(std::move(fd)); });
}

void Front::reconfigure(const settings::RepositoryConfiguration& configuration) {
    if (listener_ && !(configuration.base.listen == configuration_.base.listen))
        previousListener_.replace(listener_, listenOn(configuration.base.listen));
    applyLimits(configuration.base.limits);
}

void Front::drain() {
    if (drainingSince_) return;
    drainingSince_ = loop_.now();
    sweepForDrain();
}

void Front::undrain() {
    drainingSince_.reset();
    if (drainSweepTimer_) loop_.cancel(*drainSweepTimer_);
    drainSweepTimer_.reset();
}

bool Front::refusesRequests() const {
    return failingRequests_ || (drainingSince_ && loop_.now() - *drainingSince_ >= kRefuseAfterDrainStart);
}

void Front::sweepForDrain() {
    for (const auto& [key, client] : clients_) client->closeForDrain();
    drainSweepTimer_ = loop_.after(kDrainSweepInterval, [this] {
        drainSweepTimer_.reset();
        sweepForDrain();
    });
}

void Front::accept(net::Descriptor fd) {
    if (clients_.size() >= maxClients_ && !makeRoom()) {
        ++counters_.rejectedConnections;
        return;
    }
    ++counters_.connections;
    const auto client = std::make_shared<Client>(*this, std::move(fd));
    clients_[client.get()] = client;
}

bool Front::makeRoom() {
    Client* oldest = nullptr;
    for (const auto& [key, client] : clients_)
        if ((!oldest || client->lastActivity() < oldest->lastActivity()) && client->idleWithNoInput())
            oldest = client.get();
    if (!oldest) return false;
    ++counters_.closedIdle;
    oldest->abortConnection();
    removeClient(oldest);
    return true;
}

bool Front::roomFor(std::size_t bytes) const {
    return reservedBytes_ + unsentBytes_ + bytes <= maxBufferedBytes_;
}

void Front::failOpenRequests() {
    failingRequests_ = true;
    for (const auto& [key, client] : clients_) client->failOpenRequest();
}

bool Front::isQuiescent() {
    if (listener_ && !listener_->acceptPending()) return false;
    if (!previousListener_.acceptPending()) return false;
    return std::all_of(clients_.begin(), clients_.end(),
                       [](const auto& entry) { return entry.second->isQuiescent(); });
}

void Front::removeClient(Client* client) {
    const auto found = clients_.find(client);
    if (found == clients_.end()) return;
    loop_.destroyAfterTurn(found->second);
    clients_.erase(found);
}

}  // namespace lotuslead::repository
