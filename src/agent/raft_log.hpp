// The durable part of an agent's Raft state: term and vote, log entries, the last snapshot. Files only; it
// knows neither libraft nor threads, clocks or retries.
//
// The folder holds
//
//     ballot             term and vote, in two slots that are written in turn, so that one is always whole
//     entries-SEQUENCE   a segment: a header with the index of its first entry, then records with consecutive
//                        indexes. Segments are read by their sequence; one that begins at or before the end
//                        of those before it replaces their entries from there on (a truncated log).
//     snapshot           the last snapshot, replaced by rename
//
// Every header, record, slot and snapshot has a checksum. What a call has returned from is on the disk. A
// call that throws may be repeated with the same arguments: it writes the same bytes to the same place once
// more, which is also what a sync that has failed requires, since its pages count as clean afterwards.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lotuslead::agent {

struct TermAndVote {
    std::uint64_t term = 0;
    std::uint64_t vote = 0;  // zero: none in this term
};

struct LogEntry {
    std::uint64_t term = 0;
    std::uint16_t type = 0;
    std::string data;
};

// An entry whose bytes somebody else keeps.
struct LogEntryView {
    std::uint64_t term = 0;
    std::uint16_t type = 0;
    std::string_view data;
};

struct SnapshotMember {
    std::uint64_t id = 0;
    std::string address;
    int role = 0;
};

struct LogSnapshot {
    std::uint64_t index = 0;  // of the last entry that it includes
    std::uint64_t term = 0;
    std::uint64_t configurationIndex = 0;
    std::vector<SnapshotMember> members;
    std::string data;
};

class RaftLog {
public:
    struct Content {
        TermAndVote termAndVote;
        std::optional<LogSnapshot> snapshot;
        std::uint64_t firstIndex = 1;  // of the entries
        std::vector<LogEntry> entries;
    };

    // Makes the folder where there is none.
    explicit RaftLog(std::string folder);
    ~RaftLog();
    RaftLog(const RaftLog&) = delete;
    RaftLog& operator=(const RaftLog&) = delete;

    // Every call throws std::system_error where the system fails, std::runtime_error where the content cannot
    // be trusted.

    // Once, first. Removes what a crash has left half done.
    Content open();
    // May run beside the calls below.
    void writeTermAndVote(const TermAndVote& termAndVote);
    // Entries from `firstIndex` on, in place of those that are there from that index on.
    void append(std::uint64_t firstIndex, std::span<const LogEntryView> entries);
    // Entries before `keepFrom` may go afterwards.
    void writeSnapshot(const LogSnapshot& snapshot, std::uint64_t keepFrom);
    // For a follower whose log the snapshot replaces: every entry goes afterwards.
    void installSnapshot(const LogSnapshot& snapshot);
    // Safe beside the other calls; empty where none was written.
    static std::optional<LogSnapshot> readSnapshot(const std::string& folder);
    // Makes durable which files a folder has.
    static void syncFolder(const std::string& folder);

private:
    struct Segment {
        std::uint64_t sequence = 0;
        std::uint64_t first = 0;
        std::uint64_t last = 0;  // first - 1: it has no entries
    };

    std::string pathOf(const Segment& segment) const;
    std::vector<std::uint64_t> listSequences() const;
    void readSegment(std::uint64_t sequence, Content& content);
    void reconcileWithSnapshot(Content& content);
    TermAndVote readTermAndVote();
    void openNewSegment(std::uint64_t firstIndex);
    void replaceSnapshotFile(const LogSnapshot& snapshot);
    void removeSegmentsBefore(std::uint64_t keepFrom);
    void removeAllSegments();
    void closeSegment();

    std::string folder_;
    int termAndVoteFile_ = -1;
    std::uint64_t termAndVoteVersion_ = 0;
    std::deque<Segment> segments_;  // by sequence; the last may be the open one
    std::uint64_t nextSequence_ = 1;
    int openSegmentFile_ = -1;            // of the open segment; -1: the next entries begin another one
    std::uint64_t openSegmentBytes_ = 0;  // bytes of the open segment that are durable
    bool segmentFolderSynced_ = false;    // the folder has been synced since the open segment was made
};

}  // namespace lotuslead::agent
