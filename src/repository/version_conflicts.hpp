// Remembers the files of which parts of different versions were received lately. Bounded in number.
#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "../core/decision_facade.hpp"
#include "../support/lru_map.hpp"

namespace lotuslead::repository {

class VersionConflicts {
public:
    using Micros = core::Micros;

    // A part of another version was received. True: cached copies of the file are to be dropped, which is
    // not due again within kMinDropInterval, whatever is received.
    bool copiesShouldBeDropped(const std::string& path, Micros now) {
        std::optional<Micros>& droppedAt = files_.touch(path).first.droppedAt;
        if (droppedAt && now - *droppedAt < kMinDropInterval) return false;
        droppedAt = now;
        return true;
    }
    // Two responses that no old copy explains were of different versions.
    void recordConflict(const std::string& path, Micros now) { files_.touch(path).first.conflictAt = now; }
    // Downloads of the file are better served from one response, since its servers may disagree for good.
    bool hadConflict(const std::string& path, Micros now) const {
        const File* file = files_.find(path);
        return file != nullptr && file->conflictAt && now - *file->conflictAt < kConflictMemory;
    }

private:
    struct File {
        std::optional<Micros> droppedAt, conflictAt;
    };
    static constexpr Micros kMinDropInterval = std::chrono::seconds{2};
    static constexpr Micros kConflictMemory = std::chrono::minutes{1};
    static constexpr std::size_t kMaxFiles = 1024;

    LruMap<std::string, File> files_{kMaxFiles};
};

}  // namespace lotuslead::repository
