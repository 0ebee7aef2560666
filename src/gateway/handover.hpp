// Where a process and the one that replaces it meet while both run: a Unix socket in $TMPDIR. Nothing of the
// service depends on it: without it the newer one starts cold and neither knows of the other.
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
        virtual std::string handOver() = 0;                  // what a successor should know
        virtual void takeOver(const std::string& what) = 0;  // never throws: what can't be used is dropped
        virtual void processesChanged(int count) = 0;        // that are one gateway now, this one included
    };

    HandoverChannel(net::Loop& loop, Delegate& delegate) : loop_(loop), delegate_(delegate) {}
    ~HandoverChannel();

    // Looks for a predecessor and takes its place; none: there is nowhere to meet.
    void open(const char* folder);
    bool awaitsState() const { return stateTimer_.has_value(); }
    void announceServing();  // tells the predecessor
    bool successorServes() const { return successorServes_; }
    const std::string& openError() const { return openError_; }

private:
    class Peer;

    void connect(const std::string& path);
    void listen(const std::string& folder, const std::string& path);
    void onMessage(Peer& peer, const std::vector<std::string>& words);
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
