// One connection to a store, with the attempts that wait for it or are in flight on it. Included by
// store_connections.cpp only.
#pragma once

#include <algorithm>
#include <cstdio>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "../support/hash.hpp"
#include "store_connections.hpp"
#include "store_protocol.hpp"

namespace lotuslead::platform {

using core::AttemptResult;
using core::Micros;
using namespace std::chrono_literals;

// A store answers ECHO without waiting for earlier answers, so that on a working connection the reply arrives
// within this time.
constexpr Micros kEchoTimeout = 200ms;
constexpr Micros kStalledAnswerTimeout = 300ms;  // without a byte within an answer: stores send answers whole
// Consecutive answers that match no attempt in flight; abandoned attempts cause fewer.
constexpr int kMaxUnmatchedAnswers = 1000;
// Per connection. A new attempt with one of these trace ids uses another connection, where a duplicate of the
// earlier answer can't be taken for its own.
constexpr std::size_t kAnsweredTraceIdsKept = 64;
constexpr std::size_t kMaxBodyBytes = 240'000;
// How often an attempt of which nothing was written is moved to another connection, before it is reported as
// not connected.
constexpr int kMaxReassignments = 2;

// One connection. A PULL is encoded only when its first byte can be sent at once: until then it can be
// cancelled, and it is checked again for changes since the decision.
class StoreConnections::Connection : public net::Stream::Observer,
                                     public std::enable_shared_from_this<Connection> {
public:
    Connection(StoreConnections& owner, std::string host, const settings::Endpoint& to)
        : owner_(owner),
          host_(std::move(host)),
          lastByteAt_(owner.loop_.now()),
          stream_(owner.loop_, to, *this) {
        ++owner_.counters_.connects;
        connectOrIdleTimer_ = owner_.loop_.after(owner_.connectTimeout_, [this] {
            connectOrIdleTimerArmed_ = false;
            fail(Outcome::noConnection, HealthReport::failure);
        });
        connectOrIdleTimerArmed_ = true;
    }
    ~Connection() override {
        stopConnectOrIdleTimer();
        stop(stallTimer_);
        stop(silenceTimer_);
    }

    bool acceptsAttempts() const { return !ended_ && !noNewAttempts_; }
    // Whether the connection opened at or after this moment.
    bool openedSince(Micros moment) const { return openedAt_ && *openedAt_ >= moment; }
    Micros silenceDuration() const {
        return inFlight_.empty() ? Micros{0} : owner_.loop_.now() - std::max(lastByteAt_, waitingSince_);
    }
    Micros waitingSince() const { return std::max(lastByteAt_, waitingSince_); }
    bool hasPendingAnswers() const { return !inFlight_.empty(); }
    std::size_t load() const { return inFlight_.size() + queue_.size(); }
    bool hasSeen(const std::string& traceId) const {
        return inFlight_.count(traceId) > 0 || abandoned_.count(traceId) > 0 ||
               std::find(answeredTraceIds_.begin(), answeredTraceIds_.end(), fingerprint(traceId)) !=
                   answeredTraceIds_.end();
    }

    void enqueue(QueuedAttempt queued) {
        stopIdleTimer();
        queue_.push_back(std::move(queued));
        flush();
    }

    // Returns true if no byte of it was written.
    bool cancelAttempt(RequestId request, int attempt) {
        const auto queued = std::find_if(queue_.begin(), queue_.end(), [&](const QueuedAttempt& w) {
            return w.send.request == request && w.send.attempt == attempt;
        });
        if (queued != queue_.end()) {
            queue_.erase(queued);
            startIdleTimer();
            return true;
        }
        const auto self = shared_from_this();
        for (auto it = inFlight_.begin(); it != inFlight_.end(); ++it) {
            if (it->second.request != request || it->second.attempt != attempt) continue;
            std::string message;
            net::appendResp(message, {"KILL", it->first});
            rememberAbandoned(it->first);
            if (owner_.loop_.now() - std::max(lastByteAt_, it->second.writtenAt) >
                owner_.silenceTimeout_.value())
                noNewAttempts_ = true;
            inFlight_.erase(it);
            stream_.write(std::move(message));
            // If the store accepts no bytes, KILL would queue behind the request itself, which may by then be
            // in flight elsewhere. Closing the connection cancels everything on it.
            if (stream_.unsentBytes() > 0)
                fail(Outcome::broken, HealthReport::none, true);
            else
                startIdleTimer();
            return false;
        }
        return false;
    }

    // Closes the connection. Attempts that were written may have run and end with `outcomeIfWritten`. The
    // others move to another connection if `requeue` is set and kMaxReassignments allows it; otherwise they
    // end with noConnection. The first reported outcome counts against the health of the store, and no
    // further one, however many attempts end; with HealthReport::none not even the first. Callers pass none
    // if the connection was new or idle, and requeue only if it had opened and the store is neither gone nor
    // moved.
    enum class HealthReport { none, failure };
    void fail(Outcome outcomeIfWritten, HealthReport healthReport, bool requeue = false) {
        if (std::exchange(ended_, true)) return;
        stopConnectOrIdleTimer();
        stop(stallTimer_);
        stop(silenceTimer_);
        stream_.close();
        const auto self = shared_from_this();
        bool ignoreForHealth = healthReport == HealthReport::none;
        for (const auto& [traceId, sent] : inFlight_)
            reportOutcome(sent.request, sent.attempt, outcomeIfWritten, std::exchange(ignoreForHealth, true));
        inFlight_.clear();
        const auto unsent = std::exchange(queue_, {});
        owner_.loop_.destroyAfterTurn(self);
        owner_.removeConnection(host_, this);
        for (const QueuedAttempt& w : unsent) {
            if (requeue && w.reassignments < kMaxReassignments) {
                ++owner_.counters_.requeued;
                auto shared = std::make_shared<QueuedAttempt>(w);
                ++shared->reassignments;
                const auto location = owner_.locations_.find(w.send.request);
                if (location != owner_.locations_.end())
                    location->second.connection.reset();  // not written on any
                // Deferred within the turn: the connection may have ended in the middle of another send.
                owner_.loop_.atEndOfTurn([owner = &owner_, shared] { owner->dispatch(std::move(*shared)); });
            } else {
                reportOutcome(w.send.request, w.send.attempt, Outcome::noConnection,
                              std::exchange(ignoreForHealth, true));
            }
        }
    }

private:
    struct Sent {
        RequestId request;
        int attempt;
        Micros writtenAt;
        std::string knownTag;          // tag of the client's copy, if it named one
        std::int64_t oldestAllowedMs;  // Unix time; copies made before are too old
        bool repeatable;
    };

    void streamOpened() override {
        openedAt_ = owner_.loop_.now();
        stopConnectOrIdleTimer();
        flushOnceInputRead();
        startIdleTimer();
    }
    void streamFlushed() override { flushOnceInputRead(); }
    // Deferred until all input of this turn is read, since a client may have left in this turn.
    void flushOnceInputRead() {
        if (queue_.empty()) return;
        owner_.loop_.atEndOfTurn([self = weak_from_this()] {
            if (const auto connection = self.lock()) connection->flush();
        });
    }
    void streamEnded(net::Stream::CloseReason why) override {
        using End = net::Stream::CloseReason;
        if (why == End::connectFailed || why == End::localShortage) ++owner_.counters_.connectFailures;
        if (why == End::malformed) {
            ++owner_.counters_.malformed;
            std::fprintf(stderr, "store %s: malformed answer, connection closed\n", host_.c_str());
        }
        if (why == End::reset || (why == End::closedByPeer && !inFlight_.empty())) ++owner_.counters_.resets;
        if (why == End::connectFailed) return fail(Outcome::noConnection, HealthReport::failure);
        if (why == End::localShortage) return fail(Outcome::noConnection, HealthReport::none);
        fail(Outcome::broken, hasReceived_ ? HealthReport::failure : HealthReport::none, true);
    }
    bool streamData(std::string_view data) override {
        lastByteAt_ = owner_.loop_.now();
        hasReceived_ = true;
        const bool wellFormed = handleMessages(data);
        stop(stallTimer_);
        if (!wellFormed || ended_ || !parser_.midMessage()) {
            answerBegunAt_.reset();
            return wellFormed;
        }
        if (!answerBegunAt_) answerBegunAt_ = lastByteAt_;
        const Micros wait =
            std::min(kStalledAnswerTimeout,
                     std::max(Micros{0}, *answerBegunAt_ + owner_.maxAnswerTime_ - lastByteAt_));
        stallTimer_ = owner_.loop_.after(wait, [this] {
            stallTimer_.reset();
            ++owner_.counters_.stalled;
            fail(Outcome::broken, HealthReport::none, true);
        });
        return true;
    }

    // A machine that is gone or cut off never resets its connections, and an answer that never arrives can
    // hold back everything sent after it. So a connection that is silent while answers are due is probed with
    // ECHO.
    void armSilenceTimer(Micros wait) {
        silenceTimer_ = owner_.loop_.after(wait, [this] {
            silenceTimer_.reset();
            if (inFlight_.empty()) return;
            const Micros left = owner_.silenceTimeout_.value() - silenceDuration();
            if (left.count() > 0) return armSilenceTimer(left);
            if (echoSentAt_ > waitingSince()) {
                ++owner_.counters_.stuck;
                return fail(Outcome::broken, HealthReport::failure, true);
            }
            if (!owner_.mayProbe_) return armSilenceTimer(owner_.silenceTimeout_.value());
            ++owner_.counters_.echoes;
            ++pendingEchoes_;
            echoSentAt_ = owner_.loop_.now();
            std::string message;
            net::appendResp(message, {"ECHO", std::to_string(++owner_.lastEchoNumber_)});
            stream_.write(std::move(message));
            armSilenceTimer(kEchoTimeout);
        });
    }
    bool handleMessages(std::string_view data) {
        while (!data.empty()) {
            const auto status = parser_.feed(data);
            if (status == net::RespParser::Status::malformed) return false;
            if (status == net::RespParser::Status::message && !handleAnswer(parser_.takeMessage()))
                return false;
        }
        return true;
    }

    bool handleAnswer(std::vector<std::string> elements) {
        if (elements.size() < 2 || elements.size() > 4) return false;
        const auto outcome = outcomeOf(elements[1]);
        const auto found = inFlight_.find(elements[0]);
        // Not in flight: an ECHO reply, or the answer to an abandoned attempt that was already on its
        // way.
        if (found == inFlight_.end()) {
            if (pendingEchoes_ > 0 && (elements[1] == "yes" || elements[1] == "no")) {
                --pendingEchoes_;
                return true;
            }
            abandoned_.erase(elements[0]);
            ++owner_.counters_.lateAnswers;
            return ++unmatchedAnswers_ <= kMaxUnmatchedAnswers;
        }
        unmatchedAnswers_ = 0;
        if (!outcome) return false;
        const Fields fields(elements.size() > 2 ? std::string_view(elements[2]) : std::string_view{});
        if (*outcome == Outcome::served && !isWellFormed(elements, fields, found->second)) return false;
        AttemptResult result;
        result.request = found->second.request;
        result.attempt = found->second.attempt;
        result.outcome = *outcome;
        result.cacheStatus = cacheStatusOf(fields.text("remark"));
        // `minted` is the Unix time in ms that the store gives for the content, which is of then or later.
        if (const auto minted = fields.integer("minted"))
            owner_.copyAgeCheck_.learn(owner_.loop_.now(), *minted);
        if (*outcome == Outcome::served && fields.integer("minted").value_or(found->second.oldestAllowedMs) <
                                               found->second.oldestAllowedMs) {
            // Served, it would be an answer from before a purge. An attempt that must not run twice did run.
            ++owner_.counters_.tooOld;
            result.outcome = found->second.repeatable ? Outcome::noCopy : Outcome::error;
        }
        if (result.outcome == Outcome::served) {
            result.payload.unchanged = elements[1] == "current";
            result.payload.createdMs = fields.integer("minted").value_or(0);
            if (!fields.text("tag").empty()) result.payload.metadata.emplace_back("tag", fields.text("tag"));
            if (elements.size() > 3) result.payload.body = std::move(elements[3]);
        }
        owner_.recordAnsweredWrite(host_, found->second.writtenAt);
        owner_.silenceTimeout_.learn(owner_.loop_.now() - std::max(lastAnswerAt_, waitingSince_));
        lastAnswerAt_ = owner_.loop_.now();
        // If a later attempt of the same request used this connection, a duplicate of this answer would be
        // taken for its answer; see hasSeen().
        if (answeredTraceIds_.size() < kAnsweredTraceIdsKept) answeredTraceIds_.push_back(0);
        answeredTraceIds_[nextAnswered_++ % kAnsweredTraceIdsKept] = fingerprint(elements[0]);
        inFlight_.erase(found);
        owner_.reportResult(std::move(result));
        startIdleTimer();
        return true;
    }

    // Validates an answer before it is passed on: one whose body or date was damaged is no answer.
    static bool isWellFormed(const std::vector<std::string>& elements, const Fields& fields,
                             const Sent& sent) {
        if (elements.size() < 4 || elements[3].size() > kMaxBodyBytes) return false;
        if (elements[1] == "current" && (sent.knownTag.empty() || !elements[3].empty())) return false;
        const std::string_view tag = fields.text("tag"), minted = fields.text("minted");
        // It must name the client's copy, or it does not confirm that one.
        if (elements[1] == "current" && tag != sent.knownTag) return false;
        return (tag.empty() || isHex(tag, 16)) &&
               (minted.empty() || fields.integer("minted").value_or(-1) >= 0);
    }

    void flush() {
        if (owner_.loop_.turnOverran()) return flushNextTurn();
        while (stream_.opened() && !queue_.empty() && stream_.unsentBytes() == 0) {
            // The store has closed, which is not handled yet: a request written now would be lost, yet count
            // as possibly run.
            if (stream_.peerHasClosed()) return stream_.readNextTurn();
            const QueuedAttempt& next = queue_.front();
            const Micros now = owner_.loop_.now();
            const Micros waited = now - next.send.pickedAt;
            if (waited.count() > 0 && !owner_.callbacks_.mayBegin(next.send.request, next.send.attempt)) {
                ++owner_.counters_.notBegun;
                reportOutcome(next.send.request, next.send.attempt, Outcome::notSent);
                queue_.pop_front();
                continue;
            }
            const core::Request& request = *next.request;
            std::string message;
            const std::string fields = pullFields(request, next.send, remainingTime(next));
            net::appendResp(message, {"PULL", request.traceId, fields, request.body});
            // There is no room for its first byte: it stays queued and is checked again before it is sent.
            if (!stream_.tryWrite(std::move(message))) return;
            if (inFlight_.empty()) waitingSince_ = now;
            if (!silenceTimer_) armSilenceTimer(owner_.silenceTimeout_.value());
            inFlight_[request.traceId] = {
                next.send.request,
                next.send.attempt,
                now,
                request.knownTag,
                owner_.copyAgeCheck_.oldestAllowedMs(now, next.send),
                owner_.repeatable_.at(static_cast<std::size_t>(request.classIndex))};
            queue_.pop_front();
        }
    }

    void flushNextTurn() {
        owner_.loop_.after(Micros{1}, [self = weak_from_this()] {
            if (const auto connection = self.lock()) connection->flush();
        });
    }

    // Time left to the client, by the current clock: much of the turn may have passed.
    Micros remainingTime(const QueuedAttempt& queued) const {
        const Micros now = net::Loop::clock();
        return std::min(queued.request->deadline - now, queued.send.pickedAt + queued.send.timeout - now);
    }

    // Answers to abandoned attempts arrive within seconds or not at all.
    void rememberAbandoned(const std::string& traceId) {
        constexpr std::size_t kAbandonedBeforeCleanup = 256;
        constexpr Micros kLateAnswerWindow = 10s;
        const Micros now = owner_.loop_.now();
        if (abandoned_.size() >= kAbandonedBeforeCleanup)
            std::erase_if(abandoned_, [&](const auto& g) { return now - g.second > kLateAnswerWindow; });
        abandoned_[traceId] = now;
    }

    void reportOutcome(RequestId request, int attempt, Outcome outcome, bool ignoreForHealth = false) {
        AttemptResult result;
        result.ignoreForHealth = ignoreForHealth;
        result.request = request;
        result.attempt = attempt;
        result.outcome = outcome;
        owner_.reportResult(std::move(result));
    }

    // Closes the connection once it has been idle for idleTimeout_, or at once if it takes no new attempts. A
    // configured timeout is shortened to 9/10 (see reconfigure()), so that this side closes before the store:
    // a PULL that crosses the store's close would count as broken. The default is used unshortened.
    void startIdleTimer() {
        if (ended_ || !stream_.opened() || load() > 0 || connectOrIdleTimerArmed_) return;
        connectOrIdleTimerArmed_ = true;
        const Micros wait = noNewAttempts_ ? Micros{0} : owner_.idleTimeout_;
        connectOrIdleTimer_ = owner_.loop_.after(wait, [this] {
            connectOrIdleTimerArmed_ = false;
            fail(Outcome::broken, HealthReport::none, true);
        });
    }
    void stop(std::optional<net::Loop::TimerKey>& timer) {
        if (timer) owner_.loop_.cancel(*timer);
        timer.reset();
    }
    void stopIdleTimer() {
        if (stream_.opened()) stopConnectOrIdleTimer();
    }
    void stopConnectOrIdleTimer() {
        if (std::exchange(connectOrIdleTimerArmed_, false)) owner_.loop_.cancel(connectOrIdleTimer_);
    }

    StoreConnections& owner_;
    std::string host_;
    Micros lastByteAt_, lastAnswerAt_{};
    std::optional<Micros> openedAt_;
    Micros waitingSince_{};     // for any answer
    bool hasReceived_ = false;  // any byte
    net::RespParser parser_;
    std::deque<QueuedAttempt> queue_;
    std::unordered_map<std::string, Sent> inFlight_;
    // Trace id and time of abandoned attempts, whose answers may still arrive.
    std::unordered_map<std::string, Micros> abandoned_;
    std::vector<std::uint64_t> answeredTraceIds_;  // fingerprints of the last ones
    std::size_t nextAnswered_ = 0;
    int unmatchedAnswers_ = 0, pendingEchoes_ = 0;
    net::Loop::TimerKey connectOrIdleTimer_{};
    std::optional<net::Loop::TimerKey> stallTimer_, silenceTimer_;
    std::optional<Micros> answerBegunAt_;  // first byte of the answer being received
    Micros echoSentAt_{};                  // last ECHO
    bool connectOrIdleTimerArmed_ = false;
    bool ended_ = false;
    bool noNewAttempts_ = false;  // silent for too long: gets no new attempts
    net::Stream stream_;
};

}  // namespace lotuslead::platform
