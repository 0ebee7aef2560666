// One gateway: its parts, and its phases from start to exit.
#pragma once

#include <csignal>
#include <memory>
#include <string>

#include "../core/decisions.hpp"
#include "../core/requests.hpp"
#include "../net/loop.hpp"
#include "../platform/bus.hpp"
#include "../platform/front.hpp"
#include "../platform/stores.hpp"

namespace lotuslead::gateway {

class Gateway : private net::Handler {
public:
    enum class Phase { starting, serving, draining, stopped };

    explicit Gateway(settings::Configuration configuration);
    ~Gateway() override;

    int run();  // until it has stopped; returns the exit code

private:
    std::uint32_t ready(std::uint32_t events) override;  // signals

    void start();
    void drain();
    void advance();
    void apply(const settings::BusEvent& event);
    void printCounters() const;

    settings::Configuration configuration_;
    net::Loop loop_;
    core::Micros unixAhead_;
    platform::Stores stores_;
    core::Decisions decisions_;
    core::Requests requests_;
    platform::Front front_;
    std::unique_ptr<platform::BusReader> bus_;
    net::Descriptor signals_;
    net::Loop::HandlerId signalsId_ = 0;
    Phase phase_ = Phase::starting;
    core::Micros drainingSince_{};
};

}  // namespace lotuslead::gateway
