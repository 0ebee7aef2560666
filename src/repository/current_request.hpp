// The request of a client that is being answered.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "../core/request_dispatcher.hpp"
#include "target.hpp"
#include "validators.hpp"

namespace lotuslead::repository {

// The request that is being answered. A file is fetched part by part, as its client reads it.
struct CurrentRequest {
    bool isHead = false;  // its method is HEAD
    bool isFile = false;
    bool keepAlive = true;
    settings::Route route;
    std::string path;
    std::optional<ByteRange> range;
    std::string ifRange, ifNoneMatch, ifModifiedSince;
    std::optional<RequestId> openFetch;  // of the part that is being fetched
    std::size_t reservedBytes = 0;
    std::uint64_t part = 0;
    bool headSent = false;  // from here on, a failure must show as an incomplete response
    std::uint64_t nextByte = 0, endByte = 0, fileBytes = 0;
    Validators validators;  // of the first response; all others must be of the same version
    int spanFetches = 0;    // attempts to get all that is wanted in one response
    bool spanFailed = false;
    std::string firstHost;        // that served the first response; empty: a local copy
    bool versionsDiffer = false;  // from here on, parts are asked for at `firstHost`
    int partRefetches = 0;        // of the part that is being fetched, since it was of another version
};

}  // namespace lotuslead::repository
