// One client's connection to the platform's front: its input, open calls and answers. Included by front.cpp
// only.
#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "../support/trace.hpp"
#include "call_validation.hpp"
#include "client_messages.hpp"
#include "front.hpp"
#include "front_limits.hpp"
#include "input_queue.hpp"

namespace lotuslead::platform {

using core::Micros;
using core::Reply;
using namespace std::chrono_literals;
using namespace limits;

inline std::string retryAfterFields(Micros pause) {
    const auto ms = pause.count() / 1000;
    return ms > 0 ? "pause=" + std::to_string(ms) : "-";
}

class Front::Client : public net::Stream::Observer,
                      public InputWaiter,
                      public std::enable_shared_from_this<Front::Client> {
public:
    Client(Front& owner, net::Descriptor fd)
        : owner_(owner),
          connectedAt_(owner.loop_.now()),
          lastUsed_(connectedAt_),
          lastByteAt_(connectedAt_),
          stream_(owner.loop_, std::move(fd), *this) {
        stream_.dropInputOnPeerClose();
        armMessageTimer(kFirstMessageTimeout);
    }
    ~Client() override { abortConnection(); }

    bool idle() const { return open_.empty() && input_.empty() && stream_.unsentBytes() == 0; }
    // Idle and used before, with no further call received, read or unread.
    bool idleAfterUse() const {
        return idle() && hasSentMessage_ && !refusesNewCalls_ && !input_.midMessage() &&
               stream_.nothingUnread();
    }
    bool hasSentNothing() const { return !hasSentMessage_ && input_.empty() && stream_.nothingUnread(); }
    bool inPartialMessage() const override { return input_.midMessage(); }
    bool unused() const { return !hasSentMessage_; }
    bool recentlyActive() const {
        return owner_.loop_.now() - lastUsed_ < (inPartialMessage() ? kPartialMessageGrace : kSilentGrace);
    }
    // Whether the process may exit: nothing of a request is here, and none is expected right now.
    bool isQuiescent() const {
        if (!idle() || (!closing_ && !stream_.nothingUnread())) return false;
        const Micros silence = owner_.loop_.now() - lastByteAt_;
        return closing_ || (hasSentMessage_ ? !inPartialMessage() || silence >= kPartialMessageShutdownGrace
                                            : silence >= kSilentGrace);
    }
    void failAndClose() {
        failOpenCalls();
        closeIfAnswered();
        updateFlowControl();
    }
    core::CloseFacts closeFacts() const {
        return {open_.size(), !input_.empty() || !stream_.nothingUnread(), stream_.unsentBytes()};
    }
    Micros lastUsed() const { return lastUsed_; }  // before its first message: time of the last input

    // Closes the connection for a drain if nothing is open, unread or still on its way to the client, so that
    // the client sees the close before its next request. `since`: when refusals began. `last`: clients that
    // were refused something have their older open requests failed.
    void closeForDrain(std::optional<Micros> since, bool last) {
        if (closing_ || !stream_.allAcknowledged()) return;
        const Micros now = owner_.loop_.now();
        if (last && since && lastCallAt_ >= *since) failOpenCalls();
        if (closing_ || !open_.empty() || !input_.empty() || !stream_.nothingUnread()) return;
        if (input_.midMessage() && !last) return;
        if (!hasSentMessage_ && now - connectedAt_ < kDrainSilentGrace) return;
        // A request may have arrived since the connection was checked.
        if (!owner_.requests_.checks().allows(core::mayClose(closeFacts()))) return;
        ++owner_.counters_.drained;
        refusesNewCalls_ = true;
        closeIfAnswered();
    }

    void abortConnection() {
        stream_.close();
        cancelMessageTimer();
        if (resumeTimer_) owner_.loop_.cancel(*resumeTimer_);
        resumeTimer_.reset();
        const auto open = std::move(open_);
        open_.clear();
        openCallBytes_ = 0;
        for (const auto& [tag, call] : open) {
            owner_.openTraceIds_.erase(call.traceId);
            owner_.requests_.clientGone(owner_.loop_.now(), call.id);
        }
        input_.clear();
        owner_.inputQueue_.messageCompleted(*this);
        updateUsage({});
    }

    std::size_t heldInputBytes() const override { return input_.heldBytes(); }
    bool hasQueuedInput() const override { return !stream_.closed() && !stream_.nothingUnread(); }
    bool canCompleteMessage() const override {
        return hasQueuedInput() && stream_.queuedInputBytes() >= input_.missingBytes();
    }
    void resumeInput() override {
        waitingForRoom_ = false;
        updateFlowControl();
    }

private:
    struct Call {
        RequestId id = 0;
        std::string traceId;
        Micros acceptedAt{};
        std::size_t memory = 0;
    };

    // ----- input -----

    // Beyond this, input waits in the kernel, where it takes no memory of this process.
    std::size_t streamReadLimit() override {
        const std::size_t limit = owner_.inputQueue_.mayComplete(*this)
                                      ? input_.heldBytes() + kMaxMessageBytes
                                      : owner_.memory_.inputLimit();
        if (input_.heldBytes() < limit) return limit - input_.heldBytes();
        if (!std::exchange(waitingForRoom_, true)) {
            owner_.inputQueue_.wait(weak_from_this());
            owner_.scheduleInputResume();
        }
        return 0;
    }

    bool streamData(std::string_view data) override {
        lastByteAt_ = owner_.loop_.now();
        if (!hasSentMessage_) lastUsed_ = lastByteAt_;
        input_.append(data, lastByteAt_ - unreadDuration());
        updateUsage(currentUsage());
        handleMessagesOnceAllRead();
        return true;
    }

    // A CANCEL may follow the call in input that this read has not delivered yet.
    void handleMessagesOnceAllRead() {
        if (std::exchange(handlingPosted_, true)) return;
        owner_.loop_.post([self = weak_from_this()] {
            const auto client = self.lock();
            if (!client) return;
            client->handlingPosted_ = false;
            client->handleMessages();
        });
    }

    // Input may have been sent while this process was delayed or left it in the kernel, or before it
    // listened.
    Micros unreadDuration() const {
        const Micros queued = stream_.inputQueuedFor();
        const bool fromBeforeTheStart = owner_.loop_.now() - owner_.openedAt_ < kStartupBacklogWindow;
        const bool mayBeOld = fromBeforeTheStart || owner_.loop_.recentlyStalled();
        if (!mayBeOld) return std::max(queued, owner_.loop_.stallTime());
        const Micros kernelWait = std::min(stream_.timeSinceLastReceive(), kMaxUnreadWait);
        return std::max(queued, kernelWait.count() > 0 ? kernelWait : owner_.loop_.stallTime());
    }

    // Input of so long ago has not been looked through that the client may have cancelled its calls, or
    // closed the connection, too long ago for an attempt to begin.
    bool mayHaveCancelled() const {
        return std::max(stream_.inputQueuedFor(), input_.unparsedFor(owner_.loop_.now())) > kMaxCancelDelay;
    }

    // Each client gets a bounded share of a turn: its burst waits in its own connection and does not delay
    // others. So does the input of a client that does not read its answers.
    void handleMessages() {
        if (stream_.closed() || closing_) return;
        input_.parse();
        const auto cancellations =
            input_.extractCancellations([this](const std::string& tag) { return open_.count(tag) > 0; });
        for (const std::string& tag : cancellations.openTags) cancelCall(tag);
        for (int i = 0; i < cancellations.droppedCalls; ++i) countUselessMessage();
        bool wellFormed = true;
        for (int i = 0;
             i < kMaxMessagesPerTurn && wellFormed && input_.hasMessage() && !closing_ && !backlogged();
             ++i) {
            ClientMessages::Message message = input_.takeFirst();
            wellFormed = handleMessage(std::move(message.elements), message.arrivedAt);
        }
        if (stream_.closed() || closing_) return;
        if (!wellFormed || (input_.malformed() && !input_.hasMessage())) return closeMalformed();
        closeIfAnswered();
        if (!input_.midMessage()) owner_.inputQueue_.messageCompleted(*this);
        updateMessageTimer();
        updateFlowControl();
    }

    bool backlogged() const {
        return stream_.unsentBytes() > owner_.memory_.backlogLimit() && !owner_.failingRequests_;
    }
    // Further input cannot be parsed. Every accepted call gets its answer, and the client has time to read
    // it.
    void closeMalformed() {
        ++owner_.counters_.malformed;
        refusesNewCalls_ = true;
        readsUntilClose_ = false;
        input_.clear();
        failOpenCalls();
        closeIfAnswered();
    }
    // New calls are refused and open ones keep their answers; then the connection closes. Input is read until
    // then: an unread request would be lost.
    void refuseMore() {
        if (std::exchange(refusesNewCalls_, true)) return;
        readsUntilClose_ = true;
        const Micros until = connectedAt_ + kFirstMessageTimeout - owner_.loop_.now();
        armMessageTimer(std::max(until, Micros{kCloseLinger}));
    }
    void failOpenCalls() {
        while (!open_.empty()) {
            const auto [tag, call] = *open_.begin();
            release(tag);
            owner_.requests_.clientGone(owner_.loop_.now(), call.id);
            sendAnswer(tag, "ERR", "-", {});
        }
    }
    void closeIfAnswered() {
        if (!refusesNewCalls_ || !open_.empty() || !input_.empty()) return;
        if (readsUntilClose_ && !stream_.closed() && !stream_.nothingUnread()) return;
        if (std::exchange(closing_, true)) return;
        if (Trace::on()) Trace::write("client_close", {{"client", std::to_string(traceNumber_)}});
        cancelMessageTimer();
        stream_.closeLingering(kCloseLinger);
    }
    // After a run of useless messages the connection is closed.
    void countUselessMessage() {
        if (++uselessMessages_ < kMaxUselessMessages || refusesNewCalls_) return;
        ++owner_.counters_.closedAsUseless;
        refuseMore();
    }

    void streamFlushed() override { updateFlowControl(); }
    void streamEnded(net::Stream::CloseReason why) override {
        ++(why == net::Stream::CloseReason::closedByPeer ? owner_.counters_.endedByClient
                                                         : owner_.counters_.reset);
        if (Trace::on())
            Trace::write("client_end",
                         {{"client", std::to_string(traceNumber_)},
                          {"why", why == net::Stream::CloseReason::closedByPeer ? "closed" : "reset"},
                          {"open", std::to_string(open_.size())}});
        abortConnection();
        owner_.removeClient(this);
    }

    // ----- timeouts -----

    bool inputWaitsForUs() const {
        return !input_.empty() || (!stream_.closed() && !stream_.nothingUnread());
    }
    void updateMessageTimer() {
        if (refusesNewCalls_ || !hasSentMessage_) return;
        if (!input_.midMessage()) return cancelMessageTimer();
        if (!messageTimer_) armMessageTimer(kMessageTimeout);
    }
    void armMessageTimer(Micros delay) {
        cancelMessageTimer();
        messageTimer_ = owner_.loop_.after(delay, [this] {
            messageTimer_.reset();
            if (refusesNewCalls_) {
                if (readsUntilClose_ && inputWaitsForUs() && closeExtensions_++ < kMaxCloseExtensions)
                    return armMessageTimer(kCloseLinger);
                readsUntilClose_ = false;
                input_.clear();
                failOpenCalls();
                return closeIfAnswered();
            }
            const bool unread = inputWaitsForUs() && (!waitingForRoom_ || canCompleteMessage());
            if (!input_.empty() || unread || backlogged())
                return armMessageTimer(kMessageTimeout);  // input waits for us, not for the client
            ++(hasSentMessage_ ? owner_.counters_.closedMidMessage : owner_.counters_.closedSilent);
            refusesNewCalls_ = true;
            failOpenCalls();
            closeIfAnswered();
        });
    }
    void cancelMessageTimer() {
        if (messageTimer_) owner_.loop_.cancel(*messageTimer_);
        messageTimer_.reset();
    }

    // ----- messages -----

    bool handleMessage(std::vector<std::string> elements, Micros arrivedAt) {
        if (elements.size() < 2 || !isTag(elements[1])) return false;
        const bool first = !std::exchange(hasSentMessage_, true);
        if (first) cancelMessageTimer();
        lastUsed_ = owner_.loop_.now();
        if (elements[0] == "CALL") return handleCall(elements, arrivedAt);
        if (elements[0] == "CANCEL") {
            cancelCall(elements[1]);
            return true;
        }
        if (elements[0] != "CHECK") return false;
        ++owner_.counters_.checks;
        sendAnswer(elements[1], owner_.reportsLeaving() ? "LEAVING" : "PASS", "-", {});
        return true;
    }

    void cancelCall(const std::string& tag) {
        const auto found = open_.find(tag);
        if (found == open_.end()) return;  // the answer is already on its way
        const Call call = found->second;
        release(tag);
        owner_.requests_.clientGone(owner_.loop_.now(), call.id);
        if (owner_.loop_.now() - call.acceptedAt < kImmediateCancel) countUselessMessage();
    }

    bool handleCall(std::vector<std::string>& elements, Micros arrivedAt) {
        if (elements.size() < 3) return false;
        const std::string tag = elements[1];
        if (open_.count(tag) > 0) {
            // An answer under this tag would be taken for that of the open request, which is unrelated.
            ++owner_.counters_.invalidCalls;
            refuseMore();
            return true;
        }
        lastCallAt_ = owner_.loop_.now();
        if (const auto denial = core::mayAdmit(admissionFacts()); denial != core::Denial::none) {
            refuse(tag, denial);
            return true;
        }
        const Fields fields(elements.size() > 3 ? std::string_view(elements[3]) : std::string_view{});
        core::Request request;
        const auto& classes = owner_.settings_.classes;
        const auto known = classes.find(elements[2]);
        request.traceId = fields.text("trace");
        request.object = fields.text("entity");
        request.repeated = fields.text("redo") == "1";
        request.key = fields.text("nonce");
        request.knownTag = fields.text("cached");
        if (elements.size() > 4) request.body = std::move(elements[4]);
        // A second request under an open id would look like a second attempt in flight to the stores.
        if (known == classes.end() || !isValidCall(fields, request) ||
            owner_.openTraceIds_.count(request.traceId) > 0) {
            ++owner_.counters_.invalidCalls;
            sendAnswer(tag, "ERR", "-", {});
            countUselessMessage();
            return true;
        }
        const std::size_t memory = kOpenCallBytes + kBodyCopies * request.body.size();
        if (!owner_.hasRoomForCall(currentUsage().total() + memory)) {
            refuse(tag, core::Denial::noMemory);
            return true;
        }
        request.id = owner_.nextId_++;
        request.classIndex = known->second;
        request.className = elements[2];
        request.group = fields.integer("family").value_or(0);
        request.part = fields.integer("block").value_or(0);
        const Micros now = owner_.loop_.now();
        const auto patience = fields.integer("patience");
        const auto clientTimeout =
            owner_.settings_.settings.classes[static_cast<std::size_t>(known->second)].clientTimeout;
        const Micros wait = patience ? Micros{std::chrono::milliseconds{*patience}}
                                     : std::chrono::duration_cast<Micros>(clientTimeout);
        request.deadline = arrivedAt + std::max(Micros{1ms}, wait - kAnswerTransitTime);
        open_[tag] = {request.id, request.traceId, now, memory};
        openCallBytes_ += memory;
        if (Trace::on())
            Trace::write(
                "call",
                {{"client", std::to_string(traceNumber_)}, {"tag", tag}, {"request", request.traceId}});
        owner_.openTraceIds_.insert(request.traceId);
        owner_.requests_.submit(now, std::move(request), [this, tag](RequestId, Reply&& reply) {
            completeCall(tag, std::move(reply));
        });
        return true;
    }

    core::AdmissionFacts admissionFacts() const {
        core::AdmissionFacts facts;
        facts.shuttingDown = owner_.failingRequests_;
        facts.draining = owner_.refusesCalls();
        facts.connectionClosing = refusesNewCalls_;
        facts.openOnConnection = open_.size();
        facts.maxOnConnection = kMaxOpenPerConnection;
        facts.mayHaveCancelled = mayHaveCancelled();
        return facts;
    }

    void refuse(const std::string& tag, core::Denial denial) {
        using core::Denial;
        const bool useless = denial == Denial::connectionClosing || denial == Denial::tooManyOpen;
        ++(useless                          ? owner_.counters_.refusedOverLimit
           : denial == Denial::noMemory     ? owner_.counters_.refusedNoMemory
           : denial == Denial::cancelUnread ? owner_.counters_.refusedUnread
                                            : owner_.counters_.drainRefused);
        if (Trace::on())
            Trace::write("refuse",
                         {{"client", std::to_string(traceNumber_)}, {"tag", tag}, {"why", nameOf(denial)}});
        sendAnswer(tag, "SHED", owner_.refusalFields(), {});
        if (useless) countUselessMessage();
    }

    void release(const std::string& tag) {
        const auto found = open_.find(tag);
        if (found == open_.end()) return;
        owner_.openTraceIds_.erase(found->second.traceId);
        openCallBytes_ -= found->second.memory;
        open_.erase(found);
    }

    // ----- answers -----

    void completeCall(const std::string& tag, Reply&& reply) {
        release(tag);
        if (reply.kind == Reply::Kind::served) {
            uselessMessages_ = 0;
            owner_.answerBytes_.add(static_cast<double>(reply.payload.body.size()));
            if (reply.payload.unchanged) {
                sendAnswer(tag, "SERVED", "keep=1", {});
            } else if (owner_.memory_.usage().total() + reply.payload.body.size() >
                       owner_.memory_.answerLimit(stream_.unsentBytes())) {
                ++owner_.counters_.droppedAnswers;
                sendAnswer(tag, "ERR", "-", {});
            } else
                sendAnswer(tag, "SERVED", "-", std::move(reply.payload.body));
        } else if (reply.kind == Reply::Kind::refused) {
            sendAnswer(tag, "SHED", retryAfterFields(reply.retryAfter), {});
        } else {
            sendAnswer(tag, "ERR", "-", {});
        }
        // Stores answer so to what they cannot use, such as unknown ids.
        if (reply.lastOutcome == Outcome::error) countUselessMessage();
        closeIfAnswered();
    }

    // The body is passed on without a copy.
    void sendAnswer(const std::string& tag, std::string_view status, std::string_view fields,
                    std::string body) {
        std::string head;
        net::appendRespHead(head, {tag, status, fields}, body.size());
        constexpr std::size_t kSmall = 4096;
        if (body.size() <= kSmall) {
            head += body;
            head += "\r\n";
            stream_.write(std::move(head));
        } else {
            body += "\r\n";
            stream_.write(std::move(head));
            stream_.write(std::move(body));
        }
        updateFlowControl();
    }

    // A client that does not read its answers gets no further ones until it does; its input is read as long
    // as there is room to hold it.
    void updateFlowControl() {
        updateUsage(currentUsage());
        if (closing_ || stream_.closed()) return;
        stream_.pauseReading(!input_.hasRoom() || waitingForRoom_);
        if (input_.empty() || backlogged() || resumeTimer_) return;
        resumeTimer_ = owner_.loop_.after(Micros{1}, [this] {  // in the next turn
            resumeTimer_.reset();
            handleMessages();
        });
    }
    ClientUsage currentUsage() const { return {input_.heldBytes(), openCallBytes_, stream_.unsentBytes()}; }
    void updateUsage(const ClientUsage& usage) {
        owner_.memory_.replace(usage_, usage);
        if (usage.input < usage_.input) owner_.scheduleInputResume();
        if (usage.total() < usage_.total()) owner_.scheduleMemoryTrim();
        usage_ = usage;
    }

    Front& owner_;
    std::uint64_t traceNumber_ = ++owner_.lastClientNumber_;
    ClientMessages input_;
    std::unordered_map<std::string, Call> open_;  // by tag
    std::size_t openCallBytes_ = 0;
    ClientUsage usage_;  // as counted in owner_.memory_
    Micros connectedAt_, lastUsed_, lastByteAt_, lastCallAt_{};
    std::optional<net::Loop::TimerKey> messageTimer_, resumeTimer_;
    int uselessMessages_ = 0;
    int closeExtensions_ = 0;
    bool handlingPosted_ = false;
    bool waitingForRoom_ = false;   // in owner_.inputQueue_
    bool hasSentMessage_ = false;   // at least one complete message has arrived
    bool refusesNewCalls_ = false;  // new calls are refused
    bool readsUntilClose_ = false;  // what waits unread is refused before the connection closes
    bool closing_ = false;          // no answer is owed any more
    net::Stream stream_;
};

}  // namespace lotuslead::platform
