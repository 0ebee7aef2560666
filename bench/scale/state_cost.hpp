// Measures what the replicated state costs an agent: time on its single thread, and the size of a snapshot.
#pragma once

#include <cstddef>

namespace lotuslead::scale {

struct StateCost {
    std::size_t purges = 0;
    double applyUs = 0;       // mean time of a command with one purge
    double worstApplyMs = 0;  // of the slowest command
    double dumpMs = 0, loadMs = 0;
    double pageMs = 0;  // to read a full page of events
    double snapshotMb = 0;
    double residentMb = 0;  // added to this process by the state
};

// Builds a state with so many purges and stores in this process and measures it.
StateCost measureStateCost(std::size_t purges, std::size_t stores);

}  // namespace lotuslead::scale
