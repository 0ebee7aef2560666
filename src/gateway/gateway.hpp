// One gateway: its fronts on one loop, and its phases from start to exit.
#pragma once

#include <memory>
#include <vector>

#include "../core/service.hpp"
#include "../net/loop.hpp"

namespace lotuslead::gateway {

class Gateway : private net::Handler {
public:
    enum class Phase { starting, serving, draining, stopped };

    Gateway();
    ~Gateway() override;

    net::Loop& loop() { return loop_; }
    void add(std::unique_ptr<core::Service> service) { services_.push_back(std::move(service)); }
    int run();  // until it has stopped; returns the exit code

private:
    std::uint32_t ready(std::uint32_t events) override;  // signals

    void start();
    void reload();
    void drain();
    void advance();
    std::size_t openRequests() const;
    void printCounters() const;

    net::Loop loop_;
    std::vector<std::unique_ptr<core::Service>> services_;
    net::Descriptor signals_;
    net::Loop::HandlerId signalsId_ = 0;
    Phase phase_ = Phase::starting;
    bool reloadAsked_ = false;
    core::Micros drainingSince_{};
};

}  // namespace lotuslead::gateway
