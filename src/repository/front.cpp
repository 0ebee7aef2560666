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

constexpr Micros kStill = 30s;                 // a connection on which nothing moves for so long is closed
constexpr Micros kHalfRequest = 2800ms;        // from the connection, or its first byte, to its last
constexpr int kRequestsATurn = 16;             // of one client; then the others have their turn
constexpr std::size_t kReadAhead = 64 * 1024;  // of further requests while one is answered
constexpr Micros kSweep = 50ms;                // of the connections, while clients are sent away
constexpr Micros kDrainRefuses = 1900ms;       // as at the platform's front
constexpr Micros kSilentDrained = 500ms;
constexpr std::size_t kSparedDescriptors = 128;

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

std::string factOf(const core::Payload& payload, std::string_view name) {
    for (const auto& [key, value] : payload.metadata)
        if (key == name) return value;
    return {};
}

std::uint64_t numberOf(const std::string& text) {
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

}  // namespace

class Front::Client : public net::Stream::Observer {
public:
    Client(Front& owner, net::Descriptor fd)
        : owner_(owner),
          parser_(net::HttpParser::Kind::request, {16 * 1024, 64 * 1024}),
          connectedAt_(owner.loop_.now()),
          lastMoved_(connectedAt_),
          halfSince_(connectedAt_),
          stream_(owner.loop_, std::move(fd), *this) {
        stream_.dropInputOnPeerClose();
        touch();
    }
    ~Client() override { abandon(); }

    bool idle() const { return !job_ && stream_.unsentBytes() == 0; }
    // At rest: nothing of a further request has come, read or unread.
    bool resting() const {
        return idle() && ahead_.empty() && !parser_.midMessage() && stream_.nothingUnread();
    }
    Micros lastMoved() const { return lastMoved_; }
    bool settled() const { return closing_ ? idle() : resting(); }
    void lastCall() {
        if (!job_) return;
        if (job_->asked) {
            const RequestId id = *std::exchange(job_->asked, std::nullopt);
            settleExpected();
            owner_.requests_.clientGone(owner_.loop_.now(), id);
        }
        job_->begun ? breakOff("the process ends") : unavailable(1s);
    }
    void endForDrain() {
        if (job_ || closing_ || !ahead_.empty() || !stream_.allAcknowledged() || !stream_.nothingUnread())
            return;
        if (parser_.midMessage() || owner_.loop_.now() - connectedAt_ < kSilentDrained) return;
        ++owner_.counters_.drained;
        closing_ = true;
        stream_.closeLingering(kSilentDrained);
    }
    void abandon() {
        stream_.close();
        if (timer_) owner_.loop_.cancel(*timer_);
        timer_.reset();
        if (resume_) owner_.loop_.cancel(*resume_);
        resume_.reset();
        if (job_ && job_->asked) {
            const RequestId id = *job_->asked;
            settleExpected();
            owner_.requests_.clientGone(owner_.loop_.now(), id);
        }
        job_.reset();
        count(0);
    }

private:
    // The request in hand. A file is fetched part by part, as its client takes it.
    struct Job {
        bool head = false;  // the method
        bool file = false;
        bool keep = true;
        settings::Route route;
        std::string path;
        std::optional<ByteRange> range;
        std::string ifRange, ifNoneMatch, ifModifiedSince;
        std::optional<RequestId> asked;  // the part that is under way
        std::size_t expected = 0;
        std::uint64_t part = 0;
        bool begun = false;  // its head is written: what goes wrong from here on must show as incomplete
        std::uint64_t at = 0, end = 0, total = 0;
        std::string tag, modified;
    };

    // ----- requests -----

    bool streamData(std::string_view data) override {
        ahead_.append(data);
        if (job_ && ahead_.size() > kReadAhead) stream_.pauseReading(true);
        takeRequests();
        if (!stream_.closed()) touch();
        return true;
    }

    // One at a time: an index asked for behind a file is fetched after it, and so is no older than its
    // answer.
    void takeRequests() {
        if (resume_) return;
        while (!job_ && !closing_ && !stream_.closed() && !ahead_.empty()) {
            if (turnAt_ != owner_.loop_.now()) taken_ = 0;
            turnAt_ = owner_.loop_.now();
            if (taken_ >= kRequestsATurn) {
                resume_ = owner_.loop_.after(Micros{1}, [this] {  // in the next turn
                    resume_.reset();
                    takeRequests();
                });
                return stream_.pauseReading(true);
            }
            std::string_view rest = ahead_;
            const auto status = parser_.feed(rest);
            ahead_.erase(0, ahead_.size() - rest.size());
            using Status = net::HttpParser::Status;
            if (status == Status::needMore) break;  // and read on, if it had to wait before
            if (status == Status::malformed) return refuse(400);
            if (status == Status::headTooLarge) return refuse(431);
            if (status == Status::bodyTooLarge) return refuse(413);
            ++taken_;
            halfSince_.reset();
            begin(parser_.head());
        }
        if (!job_) stream_.pauseReading(false);
    }

    // What can't be read leaves no way to tell where the next request would begin.
    void refuse(int status) {
        ++owner_.counters_.badRequests;
        halfSince_.reset();
        job_.emplace();
        job_->keep = false;
        plain(status);
    }

    void begin(const net::HttpHead& head) {
        job_.emplace();
        job_->keep = head.keepAlive() && !owner_.leaving_ && !owner_.drainingSince_;
        job_->head = head.method == "HEAD";
        if (head.minorVersion >= 1 && !head.field("host")) return refuse(400);
        const auto path = pathOf(head.target);
        if (!path) return refuse(400);
        const settings::Route* route = nullptr;
        for (const settings::Route& r : owner_.configuration_.routes)
            if (path->rfind(r.prefix, 0) == 0 && (!route || r.prefix.size() > route->prefix.size()))
                route = &r;
        if (!route) return plain(404);
        if (head.method != "GET" && head.method != "HEAD") return plain(405);
        const auto text = [&](const char* name) {
            const std::string* value = head.field(name);
            return value ? *value : std::string{};
        };
        if (owner_.refuses()) return unavailable(1s);
        job_->route = *route;
        job_->path = *path;
        const auto& classes = owner_.configuration_.base.decoded.settings.classes;
        job_->file = classes[static_cast<std::size_t>(route->classIndex)].inParts;
        if (!job_->head) job_->range = rangeOf(head.field("range"));
        job_->ifRange = text("if-range");
        job_->ifNoneMatch = text("if-none-match");
        job_->ifModifiedSince = text("if-modified-since");
        ++(job_->file ? owner_.counters_.files : owner_.counters_.indexes);
        const bool placed = job_->file && job_->range && job_->range->first;
        ask(placed ? *job_->range->first / owner_.configuration_.partBytes : 0);
    }

    void ask(std::uint64_t part) {
        const auto& configuration = owner_.configuration_;
        const std::size_t size = job_->file ? configuration.partBytes : configuration.maxIndexBytes;
        if (!owner_.roomFor(size))
            return job_->begun ? breakOff("no memory is left for it") : unavailable(1s);
        job_->part = part;
        job_->asked = owner_.nextId_++;
        job_->expected = size;
        owner_.expected_ += size;
        core::Request request;
        request.id = *job_->asked;
        request.classIndex = job_->route.classIndex;
        request.className = job_->route.className;
        request.object = job_->path;
        request.group = job_->route.group;
        request.part = static_cast<std::int64_t>(part);
        if (!job_->file && !job_->range) request.knownTag = job_->ifNoneMatch;
        const auto& words = configuration.base.decoded.settings.classes;
        const Micros now = owner_.loop_.now();
        request.deadline = now + std::chrono::duration_cast<Micros>(
                                     words[static_cast<std::size_t>(request.classIndex)].clientTimeout);
        owner_.requests_.submit(now, std::move(request), [this](RequestId, Reply&& reply) {
            settleExpected();
            job_->asked.reset();
            take(std::move(reply));
        });
    }

    void settleExpected() {
        owner_.expected_ -= job_->expected;
        job_->expected = 0;
    }

    // ----- answers -----

    void take(Reply&& reply) {
        if (reply.kind != Reply::Kind::served) return fail(reply);
        const core::Payload& payload = reply.payload;
        const std::uint64_t status = numberOf(factOf(payload, kStatus));
        const std::string tag = factOf(payload, "etag"), modified = factOf(payload, "last-modified");
        const std::uint64_t total = numberOf(factOf(payload, kTotal));
        if (job_->begun) {
            if ((status != 200 && status != 206) || tag != job_->tag || total != job_->total)
                return breakOff("the file has changed");
            return send(payload);
        }
        job_->tag = tag;
        job_->modified = modified;
        job_->total = total;
        if (status == 404) return plain(404);
        if (payload.unchanged) return notModified();
        if (status == 416) {
            if (total > 0 || job_->part > 0 || job_->range) return unsatisfiable();
            head(200, 0, payload);  // an empty file has no first part
            return done();
        }
        if (isUnmodified()) return notModified();
        const bool rangeHolds =
            job_->ifRange.empty() ||
            (job_->ifRange.front() == '"' ? job_->ifRange == tag && !tag.empty() : job_->ifRange == modified);
        if (!rangeHolds) job_->range.reset();
        Span span{0, total};
        if (job_->range) {
            const auto found = spanOf(*job_->range, total);
            if (!found) return unsatisfiable();
            span = *found;
        }
        job_->at = span.begin;
        job_->end = span.end;
        const std::uint64_t first = numberOf(factOf(payload, kFirst));
        const bool holdsIt = span.begin >= first && span.begin < first + payload.body.size();
        if (!holdsIt && !job_->head && span.begin < span.end) {
            if (!job_->file || ++restarts_ > 2) return plain(502);
            return ask(span.begin / owner_.configuration_.partBytes);
        }
        restarts_ = 0;
        std::string extra;
        if (job_->range)
            extra = "Content-Range: bytes " + std::to_string(span.begin) + "-" +
                    std::to_string(span.end - 1) + "/" + std::to_string(total) + "\r\n";
        head(job_->range ? 206 : 200, span.end - span.begin, payload, extra);
        if (job_->head || span.begin == span.end) return done();
        job_->begun = true;
        send(payload);
    }

    void send(const core::Payload& payload) {
        const std::uint64_t first = numberOf(factOf(payload, kFirst));
        const std::uint64_t upTo = std::min(job_->end, first + payload.body.size());
        if (job_->at < first || job_->at >= upTo) return breakOff("the upstream sent another part");
        stream_.write(payload.body.substr(job_->at - first, upTo - job_->at));
        job_->at = upTo;
        count(stream_.unsentBytes());
        touch();
        if (job_->at == job_->end) return done();
        askOnceTaken();
    }

    // The next part is fetched when the client has room for it.
    void askOnceTaken() {
        if (!job_ || !job_->begun || job_->asked || stream_.unsentBytes() > owner_.configuration_.partBytes)
            return;
        ask(job_->at / owner_.configuration_.partBytes);
    }

    bool isUnmodified() const {
        if (!job_->ifNoneMatch.empty()) return matchesAny(job_->ifNoneMatch, job_->tag);
        if (job_->ifModifiedSince.empty() || job_->modified.empty()) return false;
        const auto since = readHttpDate(job_->ifModifiedSince), changed = readHttpDate(job_->modified);
        return since && changed && *changed <= *since;
    }

    void fail(const Reply& reply) {
        if (job_->begun) return breakOff("no further part is to be had");
        if (reply.deadlineExceeded) {
            ++owner_.counters_.late;
            return plain(504);
        }
        const auto last = reply.lastOutcome.value_or(Outcome::notSent);
        if (last == Outcome::error || last == Outcome::broken || last == Outcome::noConnection ||
            last == Outcome::timedOut) {
            ++owner_.counters_.upstreamFailed;
            return plain(502);
        }
        unavailable(reply.retryAfter);
    }

    void unavailable(Micros pause) {
        ++owner_.counters_.refused;
        const auto seconds = std::max<std::int64_t>(1, (pause.count() + 999'999) / 1'000'000);
        plain(503, "Retry-After: " + std::to_string(seconds) + "\r\n");
    }

    // Fewer bytes than were announced, and then the end: no client takes that for the whole.
    void breakOff(const char* why) {
        ++owner_.counters_.brokenOff;
        std::fprintf(stderr, "repository: %s broken off at byte %llu of %llu: %s\n", job_->path.c_str(),
                     static_cast<unsigned long long>(job_->at), static_cast<unsigned long long>(job_->end),
                     why);
        job_->keep = false;
        done();
    }

    void notModified() {
        std::string words = statusLine(304);
        if (!job_->tag.empty()) words += "ETag: " + job_->tag + "\r\n";
        if (!job_->modified.empty()) words += "Last-Modified: " + job_->modified + "\r\n";
        stream_.write(words + "\r\n");
        done();
    }

    void unsatisfiable() { plain(416, "Content-Range: bytes */" + std::to_string(job_->total) + "\r\n"); }

    void head(int status, std::uint64_t length, const core::Payload& payload, const std::string& extra = {}) {
        std::string words = statusLine(status);
        const std::string type = factOf(payload, "content-type");
        words += "Content-Type: " + (type.empty() ? "application/octet-stream" : type) + "\r\n";
        words += "Content-Length: " + std::to_string(length) + "\r\nAccept-Ranges: bytes\r\n";
        if (!job_->tag.empty()) words += "ETag: " + job_->tag + "\r\n";
        if (!job_->modified.empty()) words += "Last-Modified: " + job_->modified + "\r\n";
        stream_.write(words + extra + "\r\n");
    }

    void plain(int status, const std::string& extra = {}) {
        if (status == 404) ++owner_.counters_.notFound;
        std::string words = statusLine(status) + extra;
        if (status == 405) words += "Allow: GET, HEAD\r\n";
        const std::string body = std::string(reasonOf(status)) + "\n";
        words += "Content-Type: text/plain\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        if (!job_->head) words += body;
        stream_.write(std::move(words));
        done();
    }

    std::string statusLine(int status) const {
        std::string words = "HTTP/1.1 " + std::to_string(status) + " " + reasonOf(status) + "\r\n";
        words += "Date: " + httpDate(std::time(nullptr)) + "\r\nVia: 1.1 lotuslead\r\n";
        if (!job_->keep) words += "Connection: close\r\n";
        return words;
    }

    void done() {
        const bool keep = job_->keep;
        job_.reset();
        restarts_ = 0;
        count(stream_.unsentBytes());
        touch();
        // What comes next is taken later in the turn, so that a row of short answers does not nest.
        if (keep) return later(&Client::takeRequests);
        closing_ = true;
        later(&Client::closeWhenWritten);
    }
    void closeWhenWritten() { stream_.closeAfterWriting(); }

    void later(void (Client::*what)()) {
        const auto found = owner_.clients_.find(this);
        if (found == owner_.clients_.end()) return;
        owner_.loop_.post([self = std::weak_ptr<Client>(found->second), what] {
            if (const auto client = self.lock()) ((*client).*what)();
        });
    }

    // ----- the connection -----

    void streamFlushed() override {
        touch();
        count(0);
        askOnceTaken();
    }
    void streamEnded(net::Stream::CloseReason) override {
        abandon();
        owner_.forget(this);
    }
    void touch() {
        if (timer_) owner_.loop_.cancel(*timer_);
        lastMoved_ = owner_.loop_.now();
        if (!job_ && !halfSince_ && parser_.midMessage()) halfSince_ = lastMoved_;
        const bool half = !job_ && halfSince_;
        const Micros wait = half ? std::max(Micros{0}, *halfSince_ + kHalfRequest - lastMoved_) : kStill;
        timer_ = owner_.loop_.after(wait, [this, half] {
            timer_.reset();
            // However slowly its bytes come, it does not hold its place.
            if (half && parser_.midMessage() && !closing_) {
                ++owner_.counters_.halfRequests;
                return refuse(408);
            }
            // While an answer is fetched its own deadline holds.
            if (job_ && job_->asked) return touch();
            streamEnded(net::Stream::CloseReason::closedByPeer);
        });
    }
    void count(std::size_t unsent) {
        owner_.unsent_ += unsent;
        owner_.unsent_ -= counted_;
        counted_ = unsent;
    }

    Front& owner_;
    net::HttpParser parser_;
    std::string ahead_;
    std::optional<Job> job_;
    int restarts_ = 0;
    bool closing_ = false;
    Micros connectedAt_, lastMoved_;
    std::optional<Micros> halfSince_;  // a request is owed since then
    Micros turnAt_{};
    int taken_ = 0;  // requests, in that turn
    std::optional<net::Loop::TimerKey> resume_;
    std::optional<net::Loop::TimerKey> timer_;
    std::size_t counted_ = 0;
    net::Stream stream_;
};

Front::Front(net::Loop& loop, core::RequestDispatcher& requests,
             const settings::RepositoryConfiguration& configuration)
    : loop_(loop), requests_(requests), configuration_(configuration), former_(loop) {
    takeLimits(configuration.base.limits);
}

void Front::takeLimits(const settings::Limits& limits) {
    const auto sockets = static_cast<std::size_t>(limits.sockets);
    mostClients_ = std::min(sockets / 3, sockets - std::min(sockets / 2, kSparedDescriptors));
    mostBytes_ = static_cast<std::size_t>(limits.memoryMb) * 1024 * 1024 / 2;
    mostClients_ /= static_cast<std::size_t>(processes_);
    mostBytes_ /= static_cast<std::size_t>(processes_);
}

void Front::setProcessCount(int processes) {
    processes_ = processes;
    takeLimits(configuration_.base.limits);
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
        former_.replace(listener_, listenOn(configuration.base.listen));
    takeLimits(configuration.base.limits);
}

void Front::drain() {
    if (drainingSince_) return;
    drainingSince_ = loop_.now();
    sweep();
}

void Front::undrain() {
    drainingSince_.reset();
    if (sweep_) loop_.cancel(*sweep_);
    sweep_.reset();
}

bool Front::refuses() const {
    return lastCall_ || (drainingSince_ && loop_.now() - *drainingSince_ >= kDrainRefuses);
}

void Front::sweep() {
    for (const auto& [key, client] : clients_) client->endForDrain();
    sweep_ = loop_.after(kSweep, [this] {
        sweep_.reset();
        sweep();
    });
}

void Front::accept(net::Descriptor fd) {
    if (clients_.size() >= mostClients_ && !makeRoom()) {
        ++counters_.turnedAway;
        return;
    }
    ++counters_.connections;
    const auto client = std::make_shared<Client>(*this, std::move(fd));
    clients_[client.get()] = client;
}

bool Front::makeRoom() {
    Client* oldest = nullptr;
    for (const auto& [key, client] : clients_)
        if ((!oldest || client->lastMoved() < oldest->lastMoved()) && client->resting())
            oldest = client.get();
    if (!oldest) return false;
    ++counters_.closedIdle;
    oldest->abandon();
    forget(oldest);
    return true;
}

bool Front::roomFor(std::size_t bytes) const { return expected_ + unsent_ + bytes <= mostBytes_; }

void Front::failOpenRequests() {
    lastCall_ = true;
    for (const auto& [key, client] : clients_) client->lastCall();
}

bool Front::settled() {
    if (listener_ && !listener_->acceptPending()) return false;
    if (!former_.settled()) return false;
    return std::all_of(clients_.begin(), clients_.end(),
                       [](const auto& entry) { return entry.second->settled(); });
}

void Front::forget(Client* client) {
    const auto found = clients_.find(client);
    if (found == clients_.end()) return;
    loop_.destroyAfterTurn(found->second);
    clients_.erase(found);
}

}  // namespace lotuslead::repository
