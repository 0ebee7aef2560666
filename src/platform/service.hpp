// The platform's side of the gateway: front, decisions, stores and event bus.
#pragma once

#include <memory>

#include "../core/service.hpp"
#include "bus.hpp"
#include "front.hpp"
#include "stores.hpp"

namespace lotuslead::platform {

class Service : public core::Service {
public:
    Service(net::Loop& loop, settings::Configuration configuration);

    void open() override;
    void turn(core::Micros now) override { requests_.turn(now); }
    core::Micros nextTurn() const override { return requests_.nextTurn(); }
    void leave() override { front_.leave(); }
    void stopListening() override { front_.stopListening(); }
    std::size_t openRequests() const override { return requests_.open(); }
    bool settled() const override { return requests_.open() == 0 && front_.idle(); }
    core::Micros longestDeadline() const override;
    void printCounters() const override;

private:
    void apply(const settings::BusEvent& event);

    net::Loop& loop_;
    settings::Configuration configuration_;
    Stores stores_;
    core::Decisions decisions_;
    core::Requests requests_;
    Front front_;
    std::unique_ptr<BusReader> bus_;
};

}  // namespace lotuslead::platform
