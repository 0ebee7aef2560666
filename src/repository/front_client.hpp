// One client's connection to the repository front: its requests, one at a time, and their answers. Included
// by front.cpp only.
#pragma once

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "current_request.hpp"
#include "front.hpp"
#include "reason_phrases.hpp"
#include "target.hpp"
#include "upstreams.hpp"
#include "validators.hpp"

namespace lotuslead::repository {

using core::findMetadata;
using core::Micros;
using core::Reply;
using namespace std::chrono_literals;

constexpr Micros kIdleTimeout = 30s;        // for connections without any progress
constexpr Micros kRequestTimeout = 2800ms;  // from connecting, or a request's first byte, to its last
constexpr int kMaxRequestsPerTurn = 16;     // of one client, so that others get their turn
constexpr std::size_t kMaxUnparsedBytes =
    8 * 1024;  // of one client; what it sends beyond waits in the kernel
constexpr net::HttpParser::Limits kRequestLimits{16 * 1024, 8 * 1024};  // bodies are read and ignored
constexpr Micros kMinAgeToDrain = 500ms;
// A file may grow or shrink between the response that told its size and the one that was fetched by it.
constexpr int kMaxFirstPartRefetches = 2, kMaxSpanFetches = 2;
constexpr int kMaxPartRefetches = 2;  // of a further part that is of another version

inline std::uint64_t parseNumber(const std::string& text) {
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

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
        cancelRefetch();
        if (current_ && current_->openFetch) {
            const RequestId id = *current_->openFetch;
            releaseReservation();
            owner_.requests_.clientGone(owner_.loop_.now(), id);
        }
        current_.reset();
        accountUnsent(0);
    }

private:
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
        fetch(size, {});
    }

    // Fetches the span in one response. There must be room for it.
    void fetchSpan(ByteSpan span) {
        ++owner_.counters_.singleResponses;
        ++current_->spanFetches;
        current_->part = span.begin / owner_.configuration_.partBytes;
        fetch(static_cast<std::size_t>(span.size()), span);
    }

    // An empty span means the current part, or the whole index.
    void fetch(std::size_t size, ByteSpan span) {
        current_->openFetch = owner_.nextId_++;
        current_->reservedBytes = size;
        owner_.reservedBytes_ += size;
        core::Request request;
        request.id = *current_->openFetch;
        request.classIndex = current_->route.classIndex;
        request.className = current_->route.className;
        request.object = current_->path;
        request.group = current_->route.group;
        request.part = static_cast<std::int64_t>(current_->part);
        request.span = span;
        if (current_->versionsDiffer) request.preferredHost = current_->firstHost;
        if (!current_->isFile && !current_->range) request.knownTag = current_->ifNoneMatch;
        const auto& classes = owner_.configuration_.base.decoded.settings.classes;
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
        core::Payload& payload = reply.payload;
        const std::uint64_t status = parseNumber(findMetadata(payload.metadata, kStatus));
        const std::uint64_t total = parseNumber(findMetadata(payload.metadata, kTotal));
        const Validators validators = Validators::of(payload.metadata);
        if (current_->headSent) {
            const bool sameVersion = (status == 200 || status == 206) && total == current_->fileBytes &&
                                     shareStrongValidator(current_->validators, validators);
            return sameVersion ? sendPart(std::move(payload)) : handleOtherVersion();
        }
        if (current_->spanFetches > 0 && current_->validators.isStrong() && validators.isStrong() &&
            !shareStrongValidator(current_->validators, validators))
            owner_.conflicts_.recordConflict(current_->path, owner_.loop_.now());
        current_->validators = validators;
        current_->firstHost = reply.host;
        current_->fileBytes = total;
        if (status == 404) return sendPlain(404);
        if (payload.unchanged) return sendNotModified();
        if (status == 416) {
            if (total > 0 || current_->part > 0 || current_->range) return sendUnsatisfiable();
            sendHead(200, 0, payload);  // an empty file has no first part
            return finishRequest();
        }
        if (isUnmodified()) return sendNotModified();
        if (!current_->ifRange.empty() && !validators.matchIfRange(current_->ifRange))
            current_->range.reset();
        ByteSpan wanted{0, total};
        if (current_->range) {
            const auto found = resolveRange(*current_->range, total);
            if (!found) return sendUnsatisfiable();
            wanted = *found;
        }
        beginAnswer(wanted, std::move(payload));
    }

    // Answers with the bytes of the wanted span, or fetches a more suitable first response.
    void beginAnswer(ByteSpan wanted, core::Payload&& payload) {
        current_->nextByte = wanted.begin;
        current_->endByte = wanted.end;
        const ByteSpan received = spanOf(payload);
        const bool holdsIt = wanted.begin >= received.begin && wanted.begin < received.end;
        const bool needsBody = !current_->isHead && !wanted.empty();
        if (needsBody && !holdsIt) {
            if (!current_->isFile || ++refetches_ > kMaxFirstPartRefetches) return sendPlain(502);
            return fetchPart(wanted.begin / owner_.configuration_.partBytes);
        }
        const ByteSpan single{wanted.begin,
                              std::min(wanted.end, wanted.begin + owner_.maxSingleResponseBytes())};
        if (needsBody && received.end < single.end && current_->spanFetches < kMaxSpanFetches &&
            !current_->spanFailed) {
            const bool hasRoom = owner_.roomFor(static_cast<std::size_t>(single.size()));
            if (!current_->validators.isStrong()) return hasRoom ? fetchSpan(single) : sendUnavailable(1s);
            const bool holdsAll = single.end == wanted.end;
            if (holdsAll && hasRoom && owner_.conflicts_.hadConflict(current_->path, owner_.loop_.now()))
                return fetchSpan(single);
        }
        refetches_ = 0;
        std::string extra;
        if (current_->range)
            extra = "Content-Range: bytes " + std::to_string(wanted.begin) + "-" +
                    std::to_string(wanted.end - 1) + "/" + std::to_string(current_->fileBytes) + "\r\n";
        sendHead(current_->range ? 206 : 200, wanted.size(), payload, extra);
        if (!needsBody) return finishRequest();
        current_->headSent = true;
        sendPart(std::move(payload));
    }

    static ByteSpan spanOf(const core::Payload& payload) {
        const std::uint64_t first = parseNumber(findMetadata(payload.metadata, kFirst));
        return {first, first + payload.body.size()};
    }

    void sendPart(core::Payload&& payload) {
        const ByteSpan received = spanOf(payload);
        const std::uint64_t upTo = std::min(current_->endByte, received.end);
        if (current_->nextByte < received.begin || current_->nextByte >= upTo)
            return abortTransfer("the upstream sent a different part");
        const bool all = current_->nextByte == received.begin && upTo == received.end;
        stream_.write(
            all ? std::move(payload.body)
                : payload.body.substr(current_->nextByte - received.begin, upTo - current_->nextByte));
        current_->nextByte = upTo;
        current_->partRefetches = 0;
        accountUnsent(stream_.unsentBytes());
        restartTimer();
        if (current_->nextByte == current_->endByte) return finishRequest();
        if (!current_->validators.isStrong())
            return abortTransfer("without a strong validator no further part can be joined");
        fetchNextPart();
    }

    // A further part is of another version than the first. Servers may disagree about equal bytes, so the
    // part is asked for where the first came from, as all that follow. Either of the two may be an old copy,
    // so it is then fetched without old copies.
    void handleOtherVersion() {
        ++owner_.counters_.otherVersions;
        current_->versionsDiffer = true;
        const int refetches = current_->partRefetches++;
        if (refetches == 0 && !current_->firstHost.empty()) return fetchPart(current_->part);
        const Micros now = owner_.loop_.now();
        if (owner_.conflicts_.copiesShouldBeDropped(current_->path, now) && owner_.dropCopies_)
            owner_.dropCopies_(current_->path);
        current_->partRefetches = kMaxPartRefetches;
        if (refetches < kMaxPartRefetches) return refetchPartInNextTurn();
        owner_.conflicts_.recordConflict(current_->path, now);
        abortTransfer("the file has changed");
    }

    // An attempt of this turn would count as decided before the copies were dropped.
    void refetchPartInNextTurn() {
        refetchTimer_ = owner_.loop_.after(Micros{1}, [this] {
            refetchTimer_.reset();
            fetchNextPart();
        });
    }
    void cancelRefetch() {
        if (refetchTimer_) owner_.loop_.cancel(*refetchTimer_);
        refetchTimer_.reset();
    }

    // Fetches the next part once the client has read enough of what was sent.
    void fetchNextPart() {
        if (!current_ || !current_->headSent || current_->openFetch || refetchTimer_ ||
            stream_.unsentBytes() > owner_.configuration_.partBytes)
            return;
        fetchPart(current_->nextByte / owner_.configuration_.partBytes);
    }

    bool isUnmodified() const {
        if (!current_->ifNoneMatch.empty())
            return matchesIfNoneMatch(current_->ifNoneMatch, current_->validators.etag);
        if (current_->ifModifiedSince.empty() || current_->validators.lastModified.empty()) return false;
        const auto since = parseHttpDate(current_->ifModifiedSince),
                   changed = parseHttpDate(current_->validators.lastModified);
        return since && changed && *changed <= *since;
    }

    void handleFailure(const Reply& reply) {
        if (current_->headSent) return abortTransfer("no further part is to be had");
        // A large span may take longer than a request may.
        if (current_->spanFetches > 0 && !std::exchange(current_->spanFailed, true))
            return fetchPart(current_->part);
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
        if (!current_->validators.etag.empty()) response += "ETag: " + current_->validators.etag + "\r\n";
        if (!current_->validators.lastModified.empty())
            response += "Last-Modified: " + current_->validators.lastModified + "\r\n";
        stream_.write(response + "\r\n");
        finishRequest();
    }

    void sendUnsatisfiable() {
        sendPlain(416, "Content-Range: bytes */" + std::to_string(current_->fileBytes) + "\r\n");
    }

    void sendHead(int status, std::uint64_t length, const core::Payload& payload,
                  const std::string& extra = {}) {
        // Of the origin, so that a client can tell whether the file's date is a strong validator.
        std::string response = statusLine(status, current_->validators.date);
        const std::string type = findMetadata(payload.metadata, "content-type");
        response += "Content-Type: " + (type.empty() ? "application/octet-stream" : type) + "\r\n";
        response += "Content-Length: " + std::to_string(length) + "\r\nAccept-Ranges: bytes\r\n";
        if (!current_->validators.etag.empty()) response += "ETag: " + current_->validators.etag + "\r\n";
        if (!current_->validators.lastModified.empty())
            response += "Last-Modified: " + current_->validators.lastModified + "\r\n";
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

    // Without a valid `date` the response is dated now.
    std::string statusLine(int status, const std::string& date = {}) const {
        std::string response = "HTTP/1.1 " + std::to_string(status) + " " + reasonOf(status) + "\r\n";
        const std::time_t dated = parseHttpDate(date).value_or(std::time(nullptr));
        response += "Date: " + formatHttpDate(dated) + "\r\nVia: 1.1 lotuslead\r\n";
        if (!current_->keepAlive) response += "Connection: close\r\n";
        return response;
    }

    void finishRequest() {
        const bool keep = current_->keepAlive;
        cancelRefetch();
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
            if (current_ && (current_->openFetch || refetchTimer_)) return restartTimer();
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
    std::optional<net::Loop::TimerKey> refetchTimer_;
    std::optional<net::Loop::TimerKey> timer_;
    std::size_t accountedBytes_ = 0;
    net::Stream stream_;
};

}  // namespace lotuslead::repository
