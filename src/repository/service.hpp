// The repository side of the gateway: front, decisions, repository servers and event bus.
#pragma once

#include <memory>

#include "../core/service.hpp"
#include "../platform/bus.hpp"
#include "front.hpp"
#include "upstreams.hpp"

namespace lotuslead::repository {

class Service : public core::Service {
public:
    Service(net::Loop& loop, settings::RepositoryConfiguration configuration);

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
    settings::RepositoryConfiguration configuration_;
    Upstreams upstreams_;
    core::Decisions decisions_;
    core::Requests requests_;
    Front front_;
    std::unique_ptr<platform::BusReader> bus_;
};

}  // namespace lotuslead::repository
