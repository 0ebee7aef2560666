// Imports an agent's Raft state from the files of libraft's own back end, which earlier versions used.
#pragma once

#include <string>

namespace lotuslead::agent {

// Creates `logFolder` (see RaftLog), a subfolder of `folder`, unless it exists: from libraft's files in
// `folder`, or empty if there are none. A crash midway leaves libraft's files intact. Afterwards earlier
// versions of the agent refuse `folder` instead of starting with an empty log. Throws.
void createOrImportLog(const std::string& folder, const std::string& logFolder);

}  // namespace lotuslead::agent
