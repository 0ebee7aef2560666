// Which responses may be joined to one file.
#include "repository/validators.hpp"

#include <gtest/gtest.h>

namespace {

using lotuslead::repository::originDate;
using lotuslead::repository::shareStrongValidator;
using lotuslead::repository::Validators;

const std::string kEarly = "Tue, 01 Dec 2026 10:00:00 GMT", kLate = "Fri, 04 Dec 2026 09:00:00 GMT",
                  kNow = "Fri, 04 Dec 2026 20:00:00 GMT", kNextSecond = "Fri, 04 Dec 2026 20:00:01 GMT";

TEST(Validators, JoinByTheSameStrongTagWhateverTheDates) {
    EXPECT_TRUE(shareStrongValidator({"\"a\"", kEarly, kNow}, {"\"a\"", kLate, kNow}));
    EXPECT_FALSE(shareStrongValidator({"\"a\"", kEarly, kNow}, {"\"b\"", kEarly, kNow}));
}

TEST(Validators, JoinByTheSameDateOfAnEarlierSecond) {
    EXPECT_TRUE(shareStrongValidator({"", kEarly, kNow}, {"", kEarly, kNextSecond}));
    EXPECT_TRUE(shareStrongValidator({"", kNow, kNextSecond}, {"", kNow, kNextSecond}));
    EXPECT_FALSE(shareStrongValidator({"", kNow, kNow}, {"", kNow, kNextSecond}));
    EXPECT_FALSE(shareStrongValidator({"", kEarly, kNow}, {"", kLate, kNow}));
    EXPECT_FALSE(shareStrongValidator({"", kLate, kEarly}, {"", kLate, kEarly}));
    EXPECT_FALSE(shareStrongValidator({"", kEarly, ""}, {"", kEarly, ""}));
}

TEST(Validators, WeakTagsProveADifferenceButNotTheSameness) {
    EXPECT_FALSE(shareStrongValidator({"W/\"a\"", "", kNow}, {"W/\"a\"", "", kNow}));
    EXPECT_FALSE(shareStrongValidator({"W/\"a\"", kEarly, kNow}, {"W/\"b\"", kEarly, kNow}));
    EXPECT_TRUE(shareStrongValidator({"W/\"a\"", kEarly, kNow}, {"W/\"a\"", kEarly, kNow}));
    EXPECT_TRUE(shareStrongValidator({"\"a\"", kEarly, kNow}, {"", kEarly, kNow}));
}

TEST(Validators, NothingJoinsWithoutAValidator) {
    EXPECT_FALSE(shareStrongValidator({"", "", kNow}, {"", "", kNow}));
    EXPECT_FALSE(shareStrongValidator({"", "no date", kNow}, {"", "no date", kNow}));
}

TEST(Validators, IfRangeMatchesStrongValidatorsOnly) {
    EXPECT_TRUE((Validators{"\"a\"", kEarly, kNow}).matchIfRange("\"a\""));
    EXPECT_FALSE((Validators{"W/\"a\"", "", kNow}).matchIfRange("W/\"a\""));
    EXPECT_TRUE((Validators{"", kEarly, kNow}).matchIfRange(kEarly));
    EXPECT_FALSE((Validators{"", kNow, kNow}).matchIfRange(kNow));
    EXPECT_FALSE((Validators{"", kEarly, kNow}).matchIfRange(kLate));
}

TEST(Validators, TheDateOfACacheIsNotTakenForTheOriginsDate) {
    constexpr std::time_t kMade = 1'764'000'000, kAge = 600, kReceived = kMade + kAge;
    EXPECT_EQ(originDate(kMade, kAge, kReceived), kMade);
    EXPECT_EQ(originDate(kMade + 2, kAge, kReceived), kMade + 2);
    EXPECT_LT(originDate(kReceived, kAge, kReceived), kMade);
    EXPECT_LT(originDate(kReceived - 2, kAge, kReceived), kMade);
    EXPECT_LT(originDate(kMade + 1, 0, kMade + 1), kMade + 1);
}

}  // namespace
