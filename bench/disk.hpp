// The sections of the disk tier's benchmark. Each prints its results with the ratio to a baseline of the same
// run.
#pragma once

namespace lotuslead::bench {

void benchHitRatios();  // by admission policy at equal capacity, with the bytes written

}  // namespace lotuslead::bench
