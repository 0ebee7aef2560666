// Carries an agent's Raft state over from the files of libraft's own back end, which earlier versions used.
#pragma once

#include <string>

namespace lotuslead::agent {

// Makes `logFolder` (see RaftLog), a folder within `folder`, where it is not there yet: out of libraft's
// files in `folder`, or empty. A crash on the way leaves libraft's files as they were. Afterwards a program
// of before refuses `folder` in place of beginning with an empty log there. Throws.
void createOrImportLog(const std::string& folder, const std::string& logFolder);

}  // namespace lotuslead::agent
