#include "validators.hpp"

#include <cstdlib>

#include "target.hpp"

namespace lotuslead::repository {

namespace {

constexpr std::time_t kStrongDateSeconds = 1;
constexpr std::time_t kRoundingSeconds = 1;  // Date and Age are whole seconds

bool isWeakTag(const std::string& tag) { return tag.rfind("W/", 0) == 0; }

// Dates are compared for being the same, never for their order: a rollback restores an older date.
bool sameDate(const std::string& one, const std::string& other) {
    const auto oneTime = parseHttpDate(one), otherTime = parseHttpDate(other);
    return oneTime && otherTime && *oneTime == *otherTime;
}

}  // namespace

Validators Validators::of(const core::Metadata& metadata) {
    return {core::findMetadata(metadata, "etag"), core::findMetadata(metadata, "last-modified"),
            core::findMetadata(metadata, "date")};
}

bool Validators::hasStrongTag() const { return !etag.empty() && !isWeakTag(etag); }

bool Validators::hasStrongDate() const {
    const auto changed = parseHttpDate(lastModified), made = parseHttpDate(date);
    return changed && made && *made - *changed >= kStrongDateSeconds;
}

bool Validators::matchIfRange(const std::string& field) const {
    if (field.front() == '"') return hasStrongTag() && field == etag;
    return hasStrongDate() && sameDate(field, lastModified);
}

std::time_t originDate(std::time_t date, std::int64_t ageSeconds, std::time_t receivedAt) {
    const bool isPresent = std::abs(date - receivedAt) <= std::abs(date + ageSeconds - receivedAt);
    return isPresent ? date - ageSeconds - kRoundingSeconds : date;
}

bool shareStrongValidator(const Validators& one, const Validators& other) {
    if (one.hasStrongTag() && other.hasStrongTag()) return one.etag == other.etag;
    const bool bothTagged = !one.etag.empty() && !other.etag.empty();
    if (bothTagged && !matchesIfNoneMatch(one.etag, other.etag)) return false;
    return one.hasStrongDate() && other.hasStrongDate() && sameDate(one.lastModified, other.lastModified);
}

}  // namespace lotuslead::repository
