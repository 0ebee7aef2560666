// What the agents agree on: a tree of documents with revisions, its history, the sessions of clients, and the
// view that gateways read. A state machine: the same commands in the same order give the same state and the
// same answers on every agent. No I/O and no clock: times come with the commands. Used on one thread.
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
    Revision revision = 0;  // that the document has; zero: it is not there
};
struct Transaction {
    std::vector<Condition> conditions;
    std::vector<Change> changes;
    std::int64_t atMs = 0;  // Unix milliseconds, by the agent that proposed it; events expire by it
    std::string author;     // who asked; for people to read only
};
struct Command {
    // Zero: none, and a command that is tried again may be applied again.
    std::uint64_t session = 0;
    std::uint64_t sequence = 0;  // of the session, from 1 up
    bool opensSession = false;
    Transaction transaction;
};

std::string encode(const Command& command);

struct Outcome {
    enum class Status {
        done,           // `revision` is the tree's behind it, or the number of the session that was opened
        conflict,       // a condition does not hold: `key` has `revision` now
        sessionGone,    // the session is not known any more: whether the command was applied can't be told
        staleSequence,  // the session has gone on: the answer to this one was taken already
        unreadable,     // no command of a form that this version knows; nothing was done
    };
    Status status = Status::done;
    Revision revision = 0;
    std::string key;
    bool operator==(const Outcome&) const = default;
};
const char* nameOf(Outcome::Status status);

struct Document {
    nlohmann::json value;
    Revision revision = 0;  // of the transaction that wrote it
    Revision createdRevision = 0;
};

struct Bounds {
    History::Bounds history{4096, std::size_t{16} << 20};  // of all but purges
    History::Bounds purgeHistory{4096, std::size_t{4} << 20};
    EventLog::Bounds events;  // a purge's document goes with the event that told it
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

    // Snapshots, in a form with a number. load() throws std::exception where it is of none that is known, and
    // then changes nothing.
    std::string dump() const;
    void load(std::string_view text);

    Revision revision() const { return revision_; }
    const Document* find(const std::string& key) const;
    // In the order of keys; false ends it.
    void forEach(const std::string& prefix,
                 const std::function<bool(const std::string&, const Document&)>& visit) const;
    std::size_t size() const { return documents_.size(); }
    std::size_t sessions() const { return sessions_.size(); }
    std::uint64_t commandCount() const { return commandCount_; }  // applied, the refused ones too

    // What was changed under this prefix behind this revision, by revision; nothing where some of it is not
    // held any more. Purges have a history of their own: many a second, they would push out all others.
    [[nodiscard]] std::optional<std::vector<const HistoryEntry*>> changesSince(
        Revision revision, std::string_view prefix = {}) const;
    // As that, but what is held of it, however little: a history whose beginning is gone does not hide the
    // other.
    std::vector<const HistoryEntry*> retainedSince(Revision revision, std::string_view prefix) const;
    // All changes under this prefix behind this revision are held.
    Revision historyCompleteFrom(std::string_view prefix) const;

    // What gateways read: changes of boxes and purges.
    const EventLog& eventLog() const { return log_; }
    // How often load() has replaced all: events may be others under the same numbers then.
    std::uint64_t loadCount() const { return loadCount_; }
    std::int64_t lastEvent() const { return log_.last(); }

private:
    struct Session {
        std::uint64_t sequence = 0;
        std::uint64_t lastUsedCommand = 0;  // number of the command
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
    void loadDocuments(const nlohmann::json& documents);  // all but purges
    void loadSessions(const nlohmann::json& sessions);
    void loadFormat2(const nlohmann::json& snapshot);

    Bounds bounds_;
    std::map<std::string, Document> documents_;
    Revision revision_ = 0;
    std::uint64_t commandCount_ = 0;  // applied
    std::uint64_t loadCount_ = 0;
    std::int64_t clockMs_ = 0;  // the latest that a transaction told; it never goes back
    History history_, purgeHistory_;
    std::map<std::uint64_t, Session> sessions_;
    EventLog log_;
};

}  // namespace lotuslead::config
