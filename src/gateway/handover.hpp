// The hand-over of learned state between a gateway process and its successor while both run, over a Unix
// socket in $TMPDIR. It is optional: without it the successor starts cold and the processes do not detect
// each other.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "../net/listener.hpp"
#include "../net/loop.hpp"
#include "../net/resp.hpp"
#include "../net/stream.hpp"

namespace lotuslead::gateway {

class HandoverChannel {
public:
    class Delegate {
    public:
        virtual ~Delegate() = default;
        virtual std::string exportState() = 0;                   // state for a successor
        virtual void importState(const std::string& state) = 0;  // never throws; ignores unusable state
        virtual void processCountChanged(int count) = 0;  // that serve as one gateway, including this one
    };

    HandoverChannel(net::Loop& loop, Delegate& delegate) : loop_(loop), delegate_(delegate) {}
    ~HandoverChannel();

    // Connects to a predecessor, if there is one, and listens for a successor. Without a folder it does
    // nothing.
    void open(const char* folder);
    bool awaitsState() const { return stateTimer_.has_value(); }
    void announceServing();  // to the predecessor
    bool successorServes() const { return successorServes_; }
    const std::string& openError() const { return openError_; }

private:
    class Peer;

    void connect(const std::string& path);
    void listen(const std::string& folder, const std::string& path);
    void onMessage(Peer& peer, const std::vector<std::string>& message);
    void onPeerClosed(Peer& peer);
    void reportProcessCount();
    void stopStateTimer();

    net::Loop& loop_;
    Delegate& delegate_;
    std::shared_ptr<Peer> predecessor_, successor_;
    std::unique_ptr<net::Listener> listener_;
    std::optional<net::Loop::TimerKey> stateTimer_;
    bool successorServes_ = false;
    std::string openError_;
};

}  // namespace lotuslead::gateway
