// The gateway process: runs its fronts on one loop and controls its phases from start to exit.
#pragma once

#include <csignal>
#include <memory>
#include <vector>

#include "../core/service.hpp"
#include "../net/loop.hpp"
#include "../operator/operator_server.hpp"
#include "handover.hpp"

namespace lotuslead::gateway {

class Gateway : private net::Handler, private operators::GatewayControl, private HandoverChannel::Delegate {
public:
    // Operators start draining and can undo it; SIGTERM starts the shutdown.
    enum class Phase { starting, serving, draining, shuttingDown, stopped };

    // Blocks the handled signals until there is a Gateway to read them; otherwise SIGHUP would end the
    // process.
    static sigset_t blockSignals();
    // `operatorAddress`: overrides that of the configuration.
    // `folder`: of the hand-over socket; may be null.
    Gateway(std::optional<settings::Endpoint> operatorAddress, const char* folder);
    ~Gateway() override;

    net::Loop& loop() { return loop_; }
    void add(std::unique_ptr<core::Service> service) { services_.push_back(std::move(service)); }
    int run();  // returns the exit code once the gateway has stopped

private:
    std::uint32_t ready(std::uint32_t events) override;  // signals

    bool acceptsClients() const override { return phase_ == Phase::serving; }
    const char* phaseName() const override;
    bool drain() override;
    bool undrain() override;

    std::string exportState() override;
    void importState(const std::string& state) override;
    void processCountChanged(int count) override;

    enum class AddressSet { operators, all };

    void start();
    void open();
    bool openAddresses(AddressSet which);
    void reload();
    void openOperatorServer();
    void startShutdown();
    void updateLongestDeadline();
    void advanceShutdown();
    std::size_t openRequests() const;
    void printCounters() const;

    net::Loop loop_;
    std::vector<std::unique_ptr<core::Service>> services_;
    net::Descriptor signals_;
    net::Loop::HandlerId signalsId_ = 0;
    Phase phase_ = Phase::starting;
    std::size_t openedServices_ = 0;  // number of services that listen
    std::string addressProblem_;
    int failedReloads_ = 0;  // in a row, for lack of a resource
    bool reloadRequested_ = false, shutdownRequested_ = false;
    bool handedOver_ = false;          // a successor serves while this process shuts down
    bool openRequestsFailed_ = false;  // open requests are answered and new ones refused
    core::Micros startedAt_{}, shutdownStartedAt_{};
    core::Micros longestDeadline_{};  // the lowest value since shutdownStartedAt_
    const char* folder_;
    HandoverChannel handover_;
    std::optional<settings::Endpoint> operatorAddressOverride_, operatorAddress_;
    std::unique_ptr<operators::OperatorServer> operatorServer_;
};

}  // namespace lotuslead::gateway
