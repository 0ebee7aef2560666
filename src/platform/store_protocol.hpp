// Translates between decisions and messages of the store protocol.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "../core/request_dispatcher.hpp"
#include "fields.hpp"

namespace lotuslead::platform {

inline CacheStatus cacheStatusOf(std::string_view remark) {
    constexpr std::array<std::pair<std::string_view, CacheStatus>, 10> cacheStatuses{
        {{"local", CacheStatus::hit},
         {"pulled", CacheStatus::filled},
         {"pulled_far", CacheStatus::filledByOrigin},
         {"rode", CacheStatus::joined},
         {"expired", CacheStatus::stale},
         {"turned_away", CacheStatus::sourceRefused},
         {"cut_off", CacheStatus::sourceUnreached},
         {"not_there", CacheStatus::sourceLacks},
         {"no_place", CacheStatus::noFillPlace},
         {"far_fault", CacheStatus::originFailed}}};
    for (const auto& [name, cacheStatus] : cacheStatuses)
        if (name == remark) return cacheStatus;
    return CacheStatus::none;
}

inline std::optional<Outcome> outcomeOf(std::string_view status) {
    if (status == "ok" || status == "current") return Outcome::served;
    if (status == "nothing") return Outcome::noCopy;
    if (status == "refused") return Outcome::rejected;
    if (status == "error") return Outcome::error;
    if (status == "stale") return Outcome::notSent;
    return std::nullopt;
}

inline std::string pullFields(const core::Request& request, const core::Decision& send, core::Micros left) {
    const auto ms = [](core::Micros t) { return static_cast<std::int64_t>(t.count() / 1000); };
    FieldWriter fields;
    fields.add("profile", request.className);
    fields.add("thing", request.object);
    fields.add("nth", request.part);
    fields.add("max", std::max<std::int64_t>(1, ms(left)));
    if (!request.key.empty()) fields.add("replay", request.key);
    if (!send.source.empty()) fields.add("via", send.source);
    if (send.keepRank > 0) fields.add("tier", send.keepRank);
    // Rounded down, so that no copy from before a purge passes; 0 would mean "any age".
    if (send.maxCopyAge.count() > 0) fields.add("fresh", std::max<std::int64_t>(1, ms(send.maxCopyAge)));
    std::string options;
    const auto option = [&](bool on, const char* optionName) {
        if (on) options += (options.empty() ? "" : "+") + std::string(optionName);
    };
    option(send.coalesceFill, "share");
    option(send.sourceOnlyIfCached, "peek");
    option(send.staleWhileRevalidate, "swr");
    if (!options.empty()) fields.add("opts", options);
    if (!request.knownTag.empty()) fields.add("known", request.knownTag);
    return std::string(fields.text());
}

}  // namespace lotuslead::platform
