// Tests of the containers, averages and hash functions in src/support.
#include <gtest/gtest.h>

#include "support/hash.hpp"
#include "support/lru_map.hpp"
#include "support/window_sum.hpp"

namespace lotuslead {
namespace {

using namespace std::chrono_literals;

TEST(LruMap, EvictsTheLeastRecentlyUsedEntry) {
    LruMap<int, int> map(2);
    map.touch(1).first = 10;
    map.touch(2);
    EXPECT_TRUE(map.touch(1).second);
    EXPECT_FALSE(map.touch(3).second);  // evicts 2
    EXPECT_FALSE(map.touch(2).second);  // evicts 1
    EXPECT_EQ(map.touch(1).first, 0);
    EXPECT_EQ(map.size(), 2u);
}

TEST(WindowSum, SumsTheLastWindowOnly) {
    WindowSum sum;
    sum.add(1s, 2);
    sum.add(2s, 3);
    EXPECT_DOUBLE_EQ(sum.over(2500ms, 1s), 3);
    EXPECT_DOUBLE_EQ(sum.over(4s, 1s), 0);
}

TEST(DecayingRate, DecaysByAFactorOfEInOneTimeConstant) {
    DecayingRate rate;
    rate.add(1s, 2s, 4);
    EXPECT_DOUBLE_EQ(rate.perSecond(1s, 2s), 2);
    EXPECT_NEAR(rate.perSecond(3s, 2s), 2 * 0.3679, 0.001);
}

TEST(Hash, IsDeterministicAndUniform) {
    EXPECT_EQ(fingerprint("a"), fingerprint("a"));
    EXPECT_NE(fingerprint("a"), fingerprint("b"));
    double sum = 0;
    for (int i = 0; i < 1000; ++i) sum += unitInterval(combine(static_cast<std::uint64_t>(i), 5));
    EXPECT_NEAR(sum / 1000, 0.5, 0.05);
}

}  // namespace
}  // namespace lotuslead
