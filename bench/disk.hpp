// The parts of the disk tier's benchmark. Each prints its figures with the ratio to a baseline of the same
// run.
#pragma once

namespace lotuslead::bench {

void benchHitRatios();  // by policy, at equal bytes, and how much was written for it

}  // namespace lotuslead::bench
