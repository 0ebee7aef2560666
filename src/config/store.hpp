// The replicated state machine of the agents: a tree of documents with revisions, its history, the clients'
// sessions, and the event log that gateways read. Applying the same commands in the same order gives the
// same state and the same outcomes on every agent. Does no I/O and reads no clock: timestamps come with the
// commands. Not thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "event_log.hpp"
#include "history.hpp"

namespace lotuslead::config {

struct Condition {
    std::string key;
    Revision revision = 0;  // required revision of the document; zero: it must not exist
};
struct Transaction {
    std::vector<Condition> conditions;
    std::vector<Change> changes;
    std::int64_t atMs = 0;  // Unix milliseconds, set by the proposing agent; expires events
    std::string author;     // as given by the client; informational only
};
struct Command {
    // Zero: no session, so a retried command may be applied twice.
    std::uint64_t session = 0;
    std::uint64_t sequence = 0;  // within the session, starting at 1
    bool opensSession = false;
    Transaction transaction;
};

std::string encode(const Command& command);

struct Outcome {
    enum class Status {
        done,           // `revision` is the tree's new revision, or the id of the opened session
        conflict,       // a condition failed: `key` is at `revision` now
        sessionGone,    // the session was evicted: whether the command was applied is unknown
        staleSequence,  // a later command of the session has been applied already
        unreadable,     // the command's format is unknown; nothing was changed
    };
    Status status = Status::done;
    Revision revision = 0;
    std::string key;
    bool operator==(const Outcome&) const = default;
};
const char* nameOf(Outcome::Status status);

struct Document {
    nlohmann::json value;
    Revision revision = 0;  // of the transaction that wrote it last
    Revision createdRevision = 0;
};

struct Bounds {
    History::Bounds history{4096, std::size_t{16} << 20};  // all changes but purges
    History::Bounds purgeHistory{4096, std::size_t{4} << 20};
    EventLog::Bounds events;  // a purge's document expires with its event
    std::size_t sessions = 1024;
};

class Store {
public:
    explicit Store(const Bounds& bounds = {})
        : bounds_(bounds),
          history_(bounds.history),
          purgeHistory_(bounds.purgeHistory),
          log_(bounds.events) {}

    Outcome apply(std::string_view command);

    // Snapshots carry a format number. load() throws std::exception if the format is unknown, and then
    // leaves the store unchanged.
    std::string dump() const;
    void load(std::string_view text);

    Revision revision() const { return revision_; }
    const Document* find(const std::string& key) const;
    // Visits documents in key order until `visit` returns false.
    void forEach(const std::string& prefix,
                 const std::function<bool(const std::string&, const Document&)>& visit) const;
    std::size_t size() const { return documents_.size(); }
    std::size_t sessions() const { return sessions_.size(); }
    std::uint64_t commandCount() const { return commandCount_; }  // applied commands, including rejected ones

    // Returns the changes under `prefix` after `revision`, in order of revision, or nothing if some of them
    // have been evicted. Purges have a history of their own: they are so frequent that they would evict all
    // other changes.
    [[nodiscard]] std::optional<std::vector<const HistoryEntry*>> changesSince(
        Revision revision, std::string_view prefix = {}) const;
    // Like changesSince, but returns whatever is retained: evicted purges do not hide other changes, nor
    // the other way round.
    std::vector<const HistoryEntry*> retainedSince(Revision revision, std::string_view prefix) const;
    // All changes under `prefix` with a greater revision are retained.
    Revision historyCompleteFrom(std::string_view prefix) const;

    // Changes of boxes and purges, as gateways read them.
    const EventLog& eventLog() const { return log_; }
    // Number of calls of load() so far. After one, offsets may denote other events.
    std::uint64_t loadCount() const { return loadCount_; }
    std::int64_t lastEvent() const { return log_.last(); }

private:
    struct Session {
        std::uint64_t sequence = 0;
        std::uint64_t lastUsedCommand = 0;  // number of the last command that used the session
        Outcome outcome;
    };

    std::vector<const History*> historiesOf(std::string_view prefix) const;
    Outcome applyTransaction(const Transaction& transaction);
    void applyChange(const Change& change);
    void recordHistory(const Transaction& transaction, std::vector<Change> done);
    void removeExpired();
    Outcome openSession();
    void restorePurgeDocument(const Event& event, Revision createdRevision);
    void loadUnversioned(const nlohmann::json& snapshot);
    void loadDocuments(const nlohmann::json& documents);  // skips purges
    void loadSessions(const nlohmann::json& sessions);
    void loadFormat2(const nlohmann::json& snapshot);

    Bounds bounds_;
    std::map<std::string, Document> documents_;
    Revision revision_ = 0;
    std::uint64_t commandCount_ = 0;  // commands applied so far
    std::uint64_t loadCount_ = 0;
    std::int64_t clockMs_ = 0;  // latest timestamp of all transactions; never decreases
    History history_, purgeHistory_;
    std::map<std::uint64_t, Session> sessions_;
    EventLog log_;
};

}  // namespace lotuslead::config
