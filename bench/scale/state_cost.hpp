// What the agents' agreed state costs an agent: time on its one thread, and bytes of a snapshot.
#pragma once

#include <cstddef>

namespace lotuslead::scale {

struct StateCost {
    std::size_t purges = 0;
    double applyUs = 0;       // a command with one purge, on the mean
    double worstApplyMs = 0;  // the slowest one
    double dumpMs = 0, loadMs = 0;
    double pageMs = 0;  // a full page of events
    double snapshotMb = 0;
    double residentMb = 0;  // that the state added to this process
};

// Measured in this process, with so many purges and as many stores as the design wants.
StateCost measureStateCost(std::size_t purges, std::size_t stores);

}  // namespace lotuslead::scale
