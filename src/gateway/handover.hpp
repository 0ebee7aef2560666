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

class Meeting {
public:
    class Desk {
    public:
        virtual ~Desk() = default;
        virtual std::string handOver() = 0;                  // what a successor should know
        virtual void takeOver(const std::string& what) = 0;  // never throws: what can't be used is dropped
        virtual void processesChanged(int count) = 0;        // that are one gateway now, this one included
    };

    Meeting(net::Loop& loop, Desk& desk) : loop_(loop), desk_(desk) {}
    ~Meeting();

    // Looks for a predecessor and takes its place; none: there is nowhere to meet.
    void open(const char* folder);
    bool awaitsHandOver() const { return wait_.has_value(); }
    void serving();  // tells the predecessor
    bool successorServes() const { return successorServes_; }
    const std::string& problem() const { return problem_; }

private:
    class Peer;

    void connect(const std::string& path);
    void listen(const std::string& folder, const std::string& path);
    void received(Peer& peer, const std::vector<std::string>& words);
    void ended(Peer& peer);
    void count();
    void stopWaiting();

    net::Loop& loop_;
    Desk& desk_;
    std::shared_ptr<Peer> predecessor_, successor_;
    std::unique_ptr<net::Listener> listener_;
    std::optional<net::Loop::TimerKey> wait_;
    bool successorServes_ = false;
    std::string problem_;
};

}  // namespace lotuslead::gateway
