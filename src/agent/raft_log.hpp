// Durable storage of an agent's Raft state: term and vote, log entries, and the last snapshot. Deals with
// files only; independent of libraft, threads, clocks and retries.
//
// Files in the folder:
//
//     ballot             term and vote, in two slots that are written alternately, so that one is
//                        always intact
//     entries-SEQUENCE   a segment: a header with the index of its first entry, then records with
//                        consecutive indexes. Segments are read in order of sequence. One that begins
//                        at or before the end of the previous ones replaces their entries from there on
//                        (a truncated log).
//     snapshot           the last snapshot, replaced by rename
//
// Headers, records, slots and snapshots have checksums. When a call returns, its data is durable. A call that
// throws may be repeated with the same arguments: it writes the same bytes to the same place again. This is
// also needed after a failed sync, because the kernel then marks the unwritten pages as clean.
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
    std::uint64_t vote = 0;  // zero: no vote in this term
};

struct LogEntry {
    std::uint64_t term = 0;
    std::uint16_t type = 0;
    std::string data;
};

// A log entry whose data is owned by the caller.
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
    std::uint64_t index = 0;  // of the last included entry
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
        std::uint64_t firstIndex = 1;  // of the first element of `entries`
        std::vector<LogEntry> entries;
    };

    // Creates the folder if it does not exist.
    explicit RaftLog(std::string folder);
    ~RaftLog();
    RaftLog(const RaftLog&) = delete;
    RaftLog& operator=(const RaftLog&) = delete;

    // All functions throw std::system_error on I/O errors and std::runtime_error if the stored data is
    // invalid.

    // Call once, before all others. Removes incomplete files of a crashed process.
    Content open();
    // Safe to call concurrently with the functions below.
    void writeTermAndVote(const TermAndVote& termAndVote);
    // Writes entries from `firstIndex` on, replacing any existing ones from that index on.
    void append(std::uint64_t firstIndex, std::span<const LogEntryView> entries);
    // Entries before `keepFrom` may be removed afterwards.
    void writeSnapshot(const LogSnapshot& snapshot, std::uint64_t keepFrom);
    // Stores a snapshot received from the leader and removes all entries.
    void installSnapshot(const LogSnapshot& snapshot);
    // Safe to call concurrently with the other functions; returns nothing if there is no snapshot.
    static std::optional<LogSnapshot> readSnapshot(const std::string& folder);
    // Makes the folder's directory entries durable.
    static void syncFolder(const std::string& folder);

private:
    struct Segment {
        std::uint64_t sequence = 0;
        std::uint64_t first = 0;
        std::uint64_t last = 0;  // first - 1 if the segment is empty
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
    std::deque<Segment> segments_;  // in order of sequence; the last one may be open for writing
    std::uint64_t nextSequence_ = 1;
    int openSegmentFile_ = -1;            // -1: the next append opens a new segment
    std::uint64_t openSegmentBytes_ = 0;  // durable bytes of the open segment
    bool segmentFolderSynced_ = false;    // the folder has been synced since the open segment was created
};

}  // namespace lotuslead::agent
