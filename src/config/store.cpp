#include "store.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace lotuslead::config {

using nlohmann::json;

namespace {

constexpr int kCommandFormat = 2;  // unversioned commands of version 0.1 have no "form"
// unversioned snapshots have none either; format 2 kept purges among the documents
constexpr int kSnapshotFormat = 3;

constexpr std::string_view kInstancePrefix = "instances/";

// Reads a command of version 0.1, which supported instances only.
Transaction readUnversionedCommand(const json& text) {
    Transaction result;
    Change& change = result.changes.emplace_back();
    change.key = std::string(kInstancePrefix) + text.at("name").get<std::string>();
    if (text.at("verb") != "remove")
        change.value = json{{"agent", text.at("agent")},
                            {"configuration", json::parse(text.at("configuration").get<std::string>())}};
    return result;
}

Command read(std::string_view text) {
    const json root = json::parse(text);
    Command command;
    if (!root.contains("form")) {
        command.transaction = readUnversionedCommand(root);
        return command;
    }
    if (root["form"] != kCommandFormat) throw std::runtime_error("unknown command format");
    command.session = root.value("session", std::uint64_t{0});
    command.sequence = root.value("sequence", std::uint64_t{0});
    command.opensSession = root.value("opens", false);
    for (const json& one : root.value("if", json::array()))
        command.transaction.conditions.push_back({one.at("key"), one.at("revision")});
    command.transaction.changes = changesFromJson(root.value("do", json::array()));
    command.transaction.atMs = root.value("at", std::int64_t{0});
    command.transaction.author = root.value("by", std::string{});
    return command;
}

std::int64_t purgeTimeMs(const json& purge) { return purge.value("ts", std::int64_t{0}); }

}  // namespace

std::string encode(const Command& command) {
    json root = {{"form", kCommandFormat}};
    if (command.session != 0) {
        root["session"] = command.session;
        root["sequence"] = command.sequence;
    }
    if (command.opensSession) root["opens"] = true;
    const Transaction& t = command.transaction;
    for (const Condition& c : t.conditions) root["if"].push_back({{"key", c.key}, {"revision", c.revision}});
    if (!t.changes.empty()) root["do"] = changesToJson(t.changes);
    if (t.atMs != 0) root["at"] = t.atMs;
    if (!t.author.empty()) root["by"] = t.author;
    return root.dump();
}

const char* nameOf(Outcome::Status status) {
    switch (status) {
        case Outcome::Status::done:
            return "done";
        case Outcome::Status::conflict:
            return "conflict";
        case Outcome::Status::sessionGone:
            return "session gone";
        case Outcome::Status::staleSequence:
            return "out of turn";
        default:
            return "unreadable";
    }
}

const Document* Store::find(const std::string& key) const {
    const auto found = documents_.find(key);
    return found == documents_.end() ? nullptr : &found->second;
}

void Store::forEach(const std::string& prefix,
                    const std::function<bool(const std::string&, const Document&)>& visit) const {
    for (auto at = documents_.lower_bound(prefix); at != documents_.end() && hasPrefix(at->first, prefix);
         ++at)
        if (!visit(at->first, at->second)) return;
}

Outcome Store::apply(std::string_view text) {
    ++commandCount_;
    Command command;
    try {
        command = read(text);
    } catch (const std::exception&) {
        // The entry is in every agent's log, so all agents skip it alike.
        return {Outcome::Status::unreadable, revision_, {}};
    }
    if (command.opensSession) return openSession();
    if (command.session == 0) return applyTransaction(command.transaction);
    const auto found = sessions_.find(command.session);
    if (found == sessions_.end()) return {Outcome::Status::sessionGone, revision_, {}};
    Session& session = found->second;
    session.lastUsedCommand = commandCount_;
    if (command.sequence == session.sequence) return session.outcome;
    if (command.sequence < session.sequence) return {Outcome::Status::staleSequence, revision_, {}};
    session.sequence = command.sequence;
    return session.outcome = applyTransaction(command.transaction);
}

// The command's number is the session's id: it is unique.
Outcome Store::openSession() {
    if (sessions_.size() >= bounds_.sessions)
        sessions_.erase(
            std::min_element(sessions_.begin(), sessions_.end(), [](const auto& a, const auto& b) {
                return a.second.lastUsedCommand < b.second.lastUsedCommand;
            }));
    sessions_[commandCount_].lastUsedCommand = commandCount_;
    return {Outcome::Status::done, commandCount_, {}};
}

Outcome Store::applyTransaction(const Transaction& transaction) {
    for (const Condition& c : transaction.conditions) {
        const Document* current = find(c.key);
        const Revision now = current ? current->revision : 0;
        if (now != c.revision) return {Outcome::Status::conflict, now, c.key};
    }
    std::vector<Change> done;
    for (const Change& c : transaction.changes) {
        const Document* current = find(c.key);
        if (!c.value && !current) continue;
        // Two operators' purges may arrive in either order: the one with the later time wins.
        if (c.value && current && hasPrefix(c.key, kPurgePrefix) &&
            purgeTimeMs(*c.value) <= purgeTimeMs(current->value))
            continue;
        done.push_back(c);
    }
    if (done.empty()) return {Outcome::Status::done, revision_, {}};
    ++revision_;
    clockMs_ = std::max(clockMs_, transaction.atMs);
    for (const Change& c : done) applyChange(c);
    recordHistory(transaction, std::move(done));
    removeExpired();
    return {Outcome::Status::done, revision_, {}};
}

void Store::applyChange(const Change& change) {
    const bool isPurge = hasPrefix(change.key, kPurgePrefix);
    if (!change.value) {
        documents_.erase(change.key);
    } else {
        Document& document = documents_[change.key];
        if (document.revision == 0) document.createdRevision = revision_;
        document.value = *change.value;
        document.revision = revision_;
    }
    if (isPurge && !change.value) return;  // removing a purge's document is no event for readers
    if (!isPurge && !hasPrefix(change.key, kBoxPrefix)) return;
    Event event;
    event.recordedAtMs = clockMs_;
    event.revision = revision_;
    event.key = change.key;
    if (isPurge)
        event.purgedAtMs = purgeTimeMs(*change.value);
    else
        event.box = change.value;
    log_.append(std::move(event));
}

void Store::recordHistory(const Transaction& transaction, std::vector<Change> done) {
    HistoryEntry purges{revision_, transaction.atMs, transaction.author, {}}, others = purges;
    for (Change& change : done)
        (hasPrefix(change.key, kPurgePrefix) ? purges : others).changes.push_back(std::move(change));
    if (!purges.changes.empty()) purgeHistory_.add(std::move(purges));
    if (!others.changes.empty()) history_.add(std::move(others));
}

void Store::removeExpired() {
    while (const auto event = log_.removeExpired(clockMs_)) {
        const auto found = documents_.find(event->key);
        const bool isItsOwn = found != documents_.end() && found->second.revision == event->revision;
        if (event->isPurge() && isItsOwn) documents_.erase(found);
    }
}

std::vector<const History*> Store::historiesOf(std::string_view prefix) const {
    const bool purges = hasPrefix(prefix, kPurgePrefix) || hasPrefix(kPurgePrefix, prefix);
    const bool others = !hasPrefix(prefix, kPurgePrefix);
    std::vector<const History*> result;
    if (others) result.push_back(&history_);
    if (purges) result.push_back(&purgeHistory_);
    return result;
}

Revision Store::historyCompleteFrom(std::string_view prefix) const {
    Revision from = 0;
    for (const History* history : historiesOf(prefix)) from = std::max(from, history->completeFrom());
    return from;
}

std::optional<std::vector<const HistoryEntry*>> Store::changesSince(Revision revision,
                                                                    std::string_view prefix) const {
    if (revision < historyCompleteFrom(prefix)) return {};
    return retainedSince(revision, prefix);
}

std::vector<const HistoryEntry*> Store::retainedSince(Revision revision, std::string_view prefix) const {
    std::vector<const HistoryEntry*> result;
    for (const History* history : historiesOf(prefix))
        for (const HistoryEntry& entry : history->entries())
            if (entry.revision > revision) result.push_back(&entry);
    std::stable_sort(result.begin(), result.end(),
                     [](const auto* a, const auto* b) { return a->revision < b->revision; });
    return result;
}

// Purges are the bulk of a snapshot. They are stored in the event log only, each with its document, and
// written without an intermediate JSON tree, which would take most of the time.
std::string Store::dump() const {
    json documents = json::object(), sessions = json::object();
    for (const auto& [key, d] : documents_)
        if (!hasPrefix(key, kPurgePrefix)) documents[key] = {d.value, d.revision, d.createdRevision};
    for (const auto& [id, s] : sessions_)
        sessions[std::to_string(id)] = {s.sequence, s.lastUsedCommand, static_cast<int>(s.outcome.status),
                                        s.outcome.revision, s.outcome.key};
    std::string text = json{{"form", kSnapshotFormat},
                            {"revision", revision_},
                            {"commands", commandCount_},
                            {"clock", clockMs_},
                            {"documents", documents},
                            {"sessions", sessions},
                            {"history", history_.toJson()},
                            {"historyFrom", history_.completeFrom()},
                            {"purgeHistory", purgeHistory_.toJson()},
                            {"purgeHistoryFrom", purgeHistory_.completeFrom()}}
                           .dump();
    text.back() = ',';
    text += R"("log":)" + log_.dump([this](const Event& event) {
        const Document* document = find(event.key);
        return document && document->revision == event.revision ? document->createdRevision : Revision{0};
    });
    return text + "}";
}

void Store::load(std::string_view text) {
    const json all = json::parse(text);
    Store fresh(bounds_);
    if (!all.contains("form")) {
        fresh.loadUnversioned(all);
    } else if (all["form"] == 2) {
        fresh.loadFormat2(all);
    } else if (all["form"] == kSnapshotFormat) {
        fresh.revision_ = all.at("revision");
        fresh.commandCount_ = all.at("commands");
        fresh.clockMs_ = all.at("clock");
        fresh.loadDocuments(all.at("documents"));
        fresh.loadSessions(all.at("sessions"));
        fresh.history_.setCompleteFrom(all.at("historyFrom"));
        fresh.history_.fromJson(all.at("history"));
        fresh.purgeHistory_.setCompleteFrom(all.at("purgeHistoryFrom"));
        fresh.purgeHistory_.fromJson(all.at("purgeHistory"));
        fresh.log_.load(all.at("log"),
                        [&](const Event& e, Revision created) { fresh.restorePurgeDocument(e, created); });
    } else {
        throw std::runtime_error("unknown snapshot format");
    }
    fresh.loadCount_ = loadCount_ + 1;
    *this = std::move(fresh);
}

void Store::restorePurgeDocument(const Event& event, Revision createdRevision) {
    if (event.isPurge() && createdRevision > 0)
        documents_[event.key] = {json{{"ts", event.purgedAtMs}}, event.revision, createdRevision};
}

void Store::loadDocuments(const json& documents) {
    for (const auto& [key, d] : documents.items())
        if (!hasPrefix(key, kPurgePrefix)) documents_[key] = {d.at(0), d.at(1), d.at(2)};
}

void Store::loadSessions(const json& sessions) {
    for (const auto& [id, s] : sessions.items())
        sessions_[std::stoull(id)] = {
            s.at(0), s.at(1), {static_cast<Outcome::Status>(s.at(2).get<int>()), s.at(3), s.at(4)}};
}

// Loads a snapshot of version 0.1, which supported instances only.
void Store::loadUnversioned(const json& snapshot) {
    revision_ = snapshot.at("revision");
    history_.setCompleteFrom(revision_);
    purgeHistory_.setCompleteFrom(revision_);
    for (const auto& [name, i] : snapshot.at("instances").items())
        documents_[std::string(kInstancePrefix) + name] = {
            {{"agent", i.at("agent")},
             {"configuration", json::parse(i.at("configuration").get<std::string>())}},
            i.at("revision"),
            i.at("revision")};
}

// Format 2 had one history for all changes, and kept documents of purges whose events had already expired;
// those are dropped.
void Store::loadFormat2(const json& snapshot) {
    revision_ = snapshot.at("revision");
    commandCount_ = snapshot.at("commands");
    loadDocuments(snapshot.at("documents"));
    loadSessions(snapshot.at("sessions"));
    history_.setCompleteFrom(snapshot.at("historyFrom"));
    purgeHistory_.setCompleteFrom(snapshot.at("historyFrom"));
    for (const json& entry : snapshot.at("history")) {
        clockMs_ = std::max(clockMs_, entry.at(1).get<std::int64_t>());
        Transaction transaction;
        transaction.atMs = entry.at(1);
        transaction.author = entry.at(2);
        const Revision last = std::exchange(revision_, entry.at(0).get<Revision>());
        recordHistory(transaction, changesFromJson(entry.at(3)));
        revision_ = last;
    }
    log_.loadFormat2(snapshot,
                     [this](const Event& e, Revision created) { restorePurgeDocument(e, created); });
}

}  // namespace lotuslead::config
