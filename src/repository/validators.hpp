// The validators of a response, and which responses may be joined to one (RFC 9110, 8.8 and 15.3.7.3).
#pragma once

#include <cstdint>
#include <ctime>
#include <string>

#include "../core/metadata.hpp"

namespace lotuslead::repository {

struct Validators {
    std::string etag, lastModified;
    std::string date;  // when the origin made the response

    static Validators of(const core::Metadata& metadata);

    bool hasStrongTag() const;
    // A file may change again within the second that its date names, so the date is a strong validator only
    // if the response was made in a later second.
    bool hasStrongDate() const;
    bool isStrong() const { return hasStrongTag() || hasStrongDate(); }
    // Whether an If-Range field names this version. A weak validator never matches (RFC 9110, 13.1.5).
    bool matchIfRange(const std::string& field) const;
};

// When the origin made a response that came from a cache with this Age. A cache has to pass the origin's Date
// on (RFC 9110, 6.6.1), but some put the present there, which would make each date a strong validator. Such a
// Date is nearer to the time of receipt than Date and Age together are.
std::time_t originDate(std::time_t date, std::int64_t ageSeconds, std::time_t receivedAt);

// Whether two responses carry the same strong validator, so that they are of one version.
bool shareStrongValidator(const Validators& one, const Validators& other);

}  // namespace lotuslead::repository
