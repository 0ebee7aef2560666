// The replicated state machine without consensus: transactions, sessions, history, the event log and the
// stored formats.
#include <gtest/gtest.h>

#include "config/validation.hpp"

namespace lotuslead::config {
namespace {

using nlohmann::json;
using Status = Outcome::Status;

Transaction put(const std::string& key, json value, std::vector<Condition> conditions = {}) {
    return {std::move(conditions), {{key, std::move(value)}}, 1, "operator"};
}
Outcome apply(Store& store, Transaction transaction, std::uint64_t session = 0, std::uint64_t sequence = 0) {
    return store.apply(encode({session, sequence, false, std::move(transaction)}));
}
std::uint64_t session(Store& store) { return store.apply(encode({0, 0, true, {}})).revision; }
json box(int port) { return {{"address", "127.0.0.1:" + std::to_string(port)}, {"type", "small"}}; }

TEST(ConfigStore, ConflictingTransactionFailsAndNamesTheConflict) {
    Store store;
    EXPECT_EQ(apply(store, put("files/a", 1)), (Outcome{Status::done, 1, {}}));
    EXPECT_EQ(apply(store, put("files/a", 2, {{"files/a", 1}})), (Outcome{Status::done, 2, {}}));
    EXPECT_EQ(apply(store, put("files/a", 3, {{"files/a", 1}})), (Outcome{Status::conflict, 2, "files/a"}));
    EXPECT_EQ(apply(store, put("files/b", 3, {{"files/b", 7}})), (Outcome{Status::conflict, 0, "files/b"}));
    EXPECT_EQ(apply(store, put("files/b", 3, {{"files/b", 0}})), (Outcome{Status::done, 3, {}}));
    EXPECT_EQ(store.find("files/a")->value, 2);
    EXPECT_EQ(store.find("files/a")->createdRevision, 1U);
}

TEST(ConfigStore, TransactionsAreAtomic) {
    Store store;
    Transaction both{{{"files/x", 0}, {"files/y", 9}}, {{"files/x", 1}, {"files/z", 2}}, 0, ""};
    EXPECT_EQ(apply(store, both).status, Status::conflict);
    EXPECT_EQ(store.size(), 0U);
    EXPECT_EQ(store.revision(), 0U);
    both.conditions.pop_back();
    EXPECT_EQ(apply(store, both).revision, 1U);
    EXPECT_EQ(store.find("files/x")->revision, store.find("files/z")->revision);
    // A transaction that changes nothing gets no revision of its own.
    EXPECT_EQ(apply(store, {{}, {{"files/none", {}}}, 0, ""}).revision, 1U);
}

TEST(ConfigStore, RetriedCommandIsAppliedOnceAlsoAcrossASnapshot) {
    Store store;
    const auto id = session(store);
    const Transaction counted = put("files/n", 1, {{"files/n", 0}});
    const Outcome first = apply(store, counted, id, 1);
    EXPECT_EQ(first.status, Status::done);
    EXPECT_EQ(apply(store, counted, id, 1), first);  // applying it again would be a conflict
    Store other;
    other.load(store.dump());
    EXPECT_EQ(apply(other, counted, id, 1), first);
    EXPECT_EQ(apply(other, put("files/n", 2), id, 2).revision, 2U);
    EXPECT_EQ(apply(other, counted, id, 1).status, Status::staleSequence);
    EXPECT_EQ(apply(other, counted, id + 77, 1).status, Status::sessionGone);
}

TEST(ConfigStore, CommandsOfEvictedSessionsAreRefused) {
    Bounds bounds;
    bounds.sessions = 3;
    Store store(bounds);
    const auto a = session(store), b = session(store), c = session(store);
    apply(store, put("files/a", 1), a, 1);
    const auto d = session(store);
    EXPECT_EQ(store.sessions(), 3U);
    EXPECT_EQ(apply(store, put("files/b", 1), b, 1).status,
              Status::sessionGone);  // the least recently used session was evicted
    EXPECT_EQ(apply(store, put("files/a", 1), a, 1).status, Status::done);
    EXPECT_NE(c, d);
}

TEST(ConfigStore, HistoryIsBoundedAndReportsItsStart) {
    Bounds bounds;
    bounds.history.entries = 10;
    Store store(bounds);
    for (int i = 1; i <= 25; ++i) apply(store, put("files/a", i));
    EXPECT_FALSE(store.changesSince(14));
    ASSERT_TRUE(store.changesSince(15));
    EXPECT_EQ(store.changesSince(15)->size(), 10U);
    EXPECT_EQ(store.changesSince(24)->front()->changes.front().value, json(25));
    EXPECT_EQ(store.changesSince(25)->size(), 0U);
    Store other(bounds);
    other.load(store.dump());
    EXPECT_FALSE(other.changesSince(14));
    EXPECT_EQ(other.changesSince(15)->size(), 10U);
}

std::vector<std::int64_t> numbersOf(const json& batch) {
    std::vector<std::int64_t> numbers;
    for (const json& event : batch["batch"]) numbers.push_back(event["offset"]);
    return numbers;
}

TEST(ConfigStore, ServesBoxesAndPurgesAsNumberedEventsWithoutGaps) {
    Store store;
    apply(store, put("boxes/s-1", box(1)));
    apply(store, put("files/a", 1));
    apply(store, put("purges/object//index/a", {{"ts", 100}}));
    apply(store, put("purges/group/17", {{"ts", 200}}));
    apply(store, put("purges/group/17", {{"ts", 150}}));  // an earlier purge time is no event
    apply(store, {{}, {{"boxes/s-1", {}}}, 0, ""});
    const json all = json::parse(store.eventLog().page(0));
    EXPECT_EQ(numbersOf(all), (std::vector<std::int64_t>{1, 2, 3, 4}));
    EXPECT_EQ(all["batch"][1]["ban"], (json{{"url", "/index/a"}, {"ts", 100}}));
    EXPECT_EQ(all["batch"][2]["ban"], (json{{"tag", 17}, {"ts", 200}}));
    const auto read = settings::readBatch(all);  // decoded like in a gateway
    EXPECT_EQ(read.offset, 4);
    EXPECT_EQ(read.events[0].stores[0].address, "127.0.0.1:1");
    EXPECT_EQ(read.events[3].stores[0].readiness, Readiness::gone);
    EXPECT_EQ(numbersOf(json::parse(store.eventLog().page(3))), (std::vector<std::int64_t>{4}));
    EXPECT_EQ(store.find("purges/group/17")->value["ts"], 200);
}

// A reader whose offset has expired gets the full list first, and ends with the same boxes as all others.
TEST(ConfigStore, ReaderWithAnExpiredOffsetGetsTheFullListOfBoxes) {
    Bounds bounds;
    bounds.events.minEvents = bounds.events.maxEvents = 5;
    Store store(bounds);
    for (int i = 0; i < 20; ++i) {
        apply(store, put("boxes/s-" + std::to_string(i % 7), box(1000 + i)));
        if (i % 3 == 0) apply(store, {{}, {{"boxes/s-" + std::to_string((i + 2) % 7), {}}}, 0, ""});
    }
    Store other(bounds);
    other.load(store.dump());
    for (const Store* one : {&store, &other}) {
        const json batch = json::parse(one->eventLog().page(2));
        EXPECT_EQ(batch["batch"].size(), 6U);
        EXPECT_EQ(batch["batch"][0]["topology"]["snapshot"], true);
        std::map<std::string, std::string> boxes;
        for (const auto& event : settings::readBatch(batch).events) {
            if (event.isSnapshot) boxes.clear();
            for (const auto& listed : event.stores)
                if (listed.readiness == Readiness::gone)
                    boxes.erase(listed.name);
                else
                    boxes[listed.name] = listed.address;
        }
        std::map<std::string, std::string> truth;
        one->forEach("boxes/", [&](const std::string& key, const Document& d) {
            truth[key.substr(6)] = d.value["address"];
            return true;
        });
        EXPECT_EQ(boxes, truth);
        EXPECT_EQ(batch["offset"], one->lastEvent());
    }
}

TEST(ConfigStore, KeepsTheLatestPurgesOnly) {
    Bounds bounds;
    bounds.events.minEvents = bounds.events.maxEvents = 64;
    Store store(bounds);
    for (int i = 1; i <= 500; ++i) apply(store, put("purges/object/o" + std::to_string(i), {{"ts", i}}));
    EXPECT_LE(store.size(), 64U);
    EXPECT_TRUE(store.find("purges/object/o500"));
    EXPECT_FALSE(store.find("purges/object/o400"));
}

// ----- the event log -----

Transaction purgeAt(const std::string& object, std::int64_t atMs) {
    return {{}, {{"purges/object/" + object, json{{"ts", atMs}}}}, atMs, "operator"};
}

// Collects all events page by page, like a gateway.
struct ReadInPages {
    std::vector<settings::BusEvent> events;
    std::size_t pages = 0, largest = 0;

    ReadInPages(const EventLog& log, std::int64_t from, std::size_t bytes) {
        for (settings::BusBatch batch; batch.offset < log.last() || pages == 0; ++pages) {
            const std::string page = log.page(from, bytes);
            largest = std::max(largest, page.size());
            batch = settings::readBatch(json::parse(page));
            EXPECT_EQ(batch.last, log.last());
            if (batch.offset <= from && batch.offset < log.last()) {
                ADD_FAILURE() << "a page without progress, from offset " << from;
                return;
            }
            from = batch.offset;
            events.insert(events.end(), batch.events.begin(), batch.events.end());
        }
    }
};

TEST(EventLog, BoundedPagesContainEachEventOnce) {
    constexpr std::size_t kPage = 2000;
    Store store;
    for (int i = 1; i <= 700; ++i)
        apply(store,
              i % 7 == 0 ? put("boxes/s-" + std::to_string(i), box(i)) : purgeAt("o" + std::to_string(i), i));
    for (const std::int64_t from : {0, 1, 350, 699, 700}) {
        const ReadInPages read(store.eventLog(), from, kPage);
        ASSERT_EQ(read.events.size(), static_cast<std::size_t>(700 - from));
        for (std::size_t i = 0; i < read.events.size(); ++i)
            EXPECT_EQ(read.events[i].offset, from + static_cast<std::int64_t>(i) + 1);
        EXPECT_LT(read.largest, kPage + 300);
        EXPECT_GE(read.pages, static_cast<std::size_t>(700 - from) / 40);
    }
}

// Earlier gateways accept answers of at most 1 MiB, which the default page must not exceed.
TEST(EventLog, DefaultPagesFitTheLimitOfEarlierReaders) {
    Store store;
    for (int i = 1; i <= 20'000; ++i)
        apply(store, purgeAt("/files/a-name-of-usual-length-" + std::to_string(i), i));
    const ReadInPages read(store.eventLog(), 0, EventLog::kPageBytes);
    EXPECT_EQ(read.events.size(), 20'000U);
    EXPECT_LT(read.largest, std::size_t{512} * 1024);
}

// Pages of different readers end at the same offsets, so that one cached answer serves all. A cacheable
// page never changes.
TEST(EventLog, PagesOfDifferentReadersEndAtTheSameOffsets) {
    Store store;
    EXPECT_FALSE(store.eventLog().read(0).cacheable);  // more events may follow
    for (int i = 1; i <= 1024; ++i) apply(store, purgeAt("o" + std::to_string(i), i));
    EXPECT_TRUE(store.eventLog().read(0).cacheable);
    EXPECT_FALSE(store.eventLog().read(1024).cacheable);
    for (int i = 1025; i <= 5000; ++i) apply(store, purgeAt("o" + std::to_string(i), i));
    for (const std::int64_t from : {0, 17, 1023, 1024, 1500})
        EXPECT_EQ(store.eventLog().read(from).endOffset, (from / 1024 + 1) * 1024);
    const EventLog::Page full = store.eventLog().read(1024), last = store.eventLog().read(4096);
    EXPECT_TRUE(full.cacheable);
    EXPECT_FALSE(last.cacheable);
    for (int i = 1; i <= 500; ++i) apply(store, purgeAt("later" + std::to_string(i), i));
    EXPECT_EQ(store.eventLog().read(1024).batch, full.batch);
    EXPECT_EQ(store.eventLog().read(4096).batch.rfind(last.batch, 0), 0U);
    EXPECT_GT(store.eventLog().read(4096).endOffset, last.endOffset);
}

// 13 purges per second for three hours: a reader that was disconnected for one hour finds each of them,
// numbered without gaps.
TEST(EventLog, KeepsPurgesForReadersDisconnectedForAnHour) {
    constexpr std::int64_t kPerSecond = 13, kHour = 3600, kStartMs = 1'764'576'000'000;
    Store store;
    std::int64_t cutAt = 0;
    for (std::int64_t i = 0; i < 3 * kHour * kPerSecond; ++i) {
        if (i == 2 * kHour * kPerSecond) cutAt = store.lastEvent();
        apply(store, purgeAt("o" + std::to_string(i), kStartMs + i * 1000 / kPerSecond));
    }
    const ReadInPages read(store.eventLog(), cutAt, EventLog::kPageBytes);
    ASSERT_EQ(read.events.size(), static_cast<std::size_t>(kHour * kPerSecond));
    EXPECT_EQ(read.events.front().offset, cutAt + 1);
    EXPECT_FALSE(read.events.front().isStoreList);
    // No more than two hours are retained: documents expire with their events.
    EXPECT_LE(store.eventLog().size(), static_cast<std::size_t>(2 * kHour * kPerSecond + 1));
    EXPECT_EQ(store.size(), store.eventLog().size());
}

TEST(EventLog, RepeatedPurgeIsKeptWhenItsFirstEventExpires) {
    Bounds bounds;
    bounds.events = {1000, 2, 100};
    Store store(bounds);
    apply(store, purgeAt("kept", 1000));
    apply(store, purgeAt("gone", 1100));
    apply(store, purgeAt("kept", 1900));
    apply(store, purgeAt("other", 2500));  // both first events are older than the retention time of 1 s now
    EXPECT_TRUE(store.find("purges/object/kept"));
    EXPECT_FALSE(store.find("purges/object/gone"));
    EXPECT_EQ(store.eventLog().size(), 2U);
    // A clock that goes back neither restores nor expires anything.
    apply(store, purgeAt("early", 1500));
    EXPECT_TRUE(store.find("purges/object/kept"));
    EXPECT_EQ(store.eventLog().size(), 3U);
}

TEST(EventLog, IsTheSameAfterASnapshot) {
    Bounds bounds;
    bounds.events = {1000, 10, 100};
    Store store(bounds);
    for (int i = 1; i <= 60; ++i) {
        apply(store, i % 4 == 0 ? put("boxes/s-" + std::to_string(i % 8), box(i))
                                : purgeAt("o\"" + std::to_string(i % 13), 100 * i));
        if (i % 9 == 0) apply(store, {{}, {{"boxes/s-4", {}}, {"purges/object/o\"5", {}}}, 100 * i, ""});
    }
    Store other(bounds);
    other.load(store.dump());
    EXPECT_EQ(other.dump(), store.dump());
    EXPECT_EQ(other.size(), store.size());
    EXPECT_EQ(other.eventLog().page(0), store.eventLog().page(0));
    for (Store* one : {&store, &other})
        for (int i = 61; i <= 90; ++i) apply(*one, purgeAt("o\"" + std::to_string(i % 13), 100 * i));
    EXPECT_EQ(other.dump(), store.dump());
}

TEST(ConfigStore, PurgesDoNotEvictOtherChangesFromHistory) {
    Bounds bounds;
    bounds.history.entries = bounds.purgeHistory.entries = 10;
    Store store(bounds);
    apply(store, put("files/a", 1));
    apply(store, {{}, {{"files/b", 1}, {"purges/object/with-b", json{{"ts", 1}}}}, 1, "operator"});
    for (int i = 1; i <= 100; ++i) apply(store, purgeAt("o" + std::to_string(i), i));
    Store other(bounds);
    other.load(store.dump());
    for (const Store* one : {&store, &other}) {
        ASSERT_TRUE(one->changesSince(0, "files/"));
        EXPECT_EQ(one->changesSince(0, "files/")->front()->changes.front().key, "files/a");
        EXPECT_FALSE(one->changesSince(0, "purges/"));
        EXPECT_FALSE(one->changesSince(0, ""));  // some of all changes are gone
        ASSERT_EQ(one->retainedSince(0, "").size(),
                  12U);  // retained of both histories: two entries of files, ten of purges
        EXPECT_EQ(one->retainedSince(0, "").front()->changes.front().key, "files/a");
        ASSERT_TRUE(one->changesSince(92, "purges/object/"));
        EXPECT_EQ(one->changesSince(100, "")->size(), 2U);
        EXPECT_EQ(one->changesSince(100, "")->back()->revision, 102U);
    }
}

// A snapshot written by the version before the event log: one history for all changes, purges among the
// documents.
TEST(ConfigStore, ReadsSnapshotsOfFormat2) {
    Store store;
    store.load(R"({"form":2,"revision":4,"commands":5,
        "documents":{"boxes/s-1":[{"address":"127.0.0.1:1","type":"small"},1,1],
                     "files/a":[7,2,2],
                     "purges/object/told":[{"ts":200},4,3],
                     "purges/object/untold":[{"ts":50},1,1]},
        "sessions":{"5":[1,5,0,4,""]},
        "history":[[2,100,"operator",[{"key":"files/a","value":7}]],
                   [4,200,"operator",[{"key":"purges/object/told","value":{"ts":200}}]]],
        "historyFrom":1,
        "events":[[8,"boxes/s-1",{"address":"127.0.0.1:1","type":"small"}],
                  [9,"purges/object/told",{"ts":150}],[10,"purges/object/told",{"ts":200}]],
        "lastEvent":10,"base":{"boxes/s-0":{"address":"127.0.0.1:9","type":"small"}}}  )");
    EXPECT_EQ(store.revision(), 4U);
    EXPECT_EQ(store.find("files/a")->value, 7);
    EXPECT_EQ(store.find("purges/object/told")->createdRevision, 3U);
    EXPECT_FALSE(store.find("purges/object/untold"));  // its event had expired
    EXPECT_EQ(store.changesSince(1, "files/")->size(), 1U);
    EXPECT_EQ(store.changesSince(1, "purges/")->size(), 1U);
    EXPECT_FALSE(store.changesSince(0, "files/"));
    EXPECT_EQ(numbersOf(json::parse(store.eventLog().page(0))), (std::vector<std::int64_t>{7, 8, 9, 10}));
    EXPECT_EQ(apply(store, put("files/a", 8), 5, 1).revision, 4U);  // the session's stored outcome
    EXPECT_EQ(apply(store, put("files/a", 8), 5, 2).revision, 5U);
    Store other;
    other.load(store.dump());
    EXPECT_EQ(other.dump(), store.dump());
}

TEST(ConfigStore, ReadsCommandsAndSnapshotsOfFormat1) {
    Store store;
    const std::string old = R"({"verb":"put","name":"gate-1","agent":2,"configuration":"{\"a\":1}"})";
    EXPECT_EQ(store.apply(old).status, Status::done);
    EXPECT_EQ(store.find("instances/gate-1")->value, (json{{"agent", 2}, {"configuration", {{"a", 1}}}}));
    store.apply(R"({"verb":"remove","name":"gate-1"}   )");  // commands were padded with blanks
    EXPECT_EQ(store.size(), 0U);
    store.load(R"({"revision":9,"instances":{"g":{"agent":1,"revision":4,"configuration":"{}"}}}  )");
    EXPECT_EQ(store.revision(), 9U);
    EXPECT_EQ(store.find("instances/g")->revision, 4U);
    const std::string before = store.dump();
    EXPECT_THROW(store.load(R"({"form":3})"), std::exception);  // all other fields are missing
    EXPECT_THROW(store.load(R"({"form":4})"), std::exception);
    EXPECT_THROW(store.load("{"), std::exception);
    EXPECT_EQ(store.dump(), before);
    EXPECT_EQ(store.apply(R"({"form":3,"do":[]})").status, Status::unreadable);
    EXPECT_EQ(store.apply("nonsense").status, Status::unreadable);
}

TEST(ConfigStore, SameCommandsGiveTheSameState) {
    Store a, b;
    for (int i = 0; i < 200; ++i) {
        const std::string command =
            encode({0, 0, i % 20 == 0, put("files/" + std::to_string(i % 9), i, {{"files/3", 4}})});
        EXPECT_EQ(a.apply(command), b.apply(command));
        if (i == 100) {
            Store fresh;
            fresh.load(b.dump());
            b = fresh;
        }
    }
    EXPECT_EQ(a.dump(), b.dump());
}

TEST(ConfigValidation, RejectionsNameTheKeyOrField) {
    const std::vector<std::pair<json, std::string>> bad{
        {{{"do", json::array()}}, "field 'do'"},
        {{{"do", {{{"value", 1}}}}}, "field 'do.key'"},
        {{{"do", {{{"key", "other/a"}, {"value", 1}}}}}, "'other/a': a key begins with"},
        {{{"do", {{{"key", "files/a b"}, {"value", 1}}}}}, "a key is 1 to 512"},
        {{{"do", {{{"key", "files/a"}, {"value", 1}}, {{"key", "files/a"}}}}}, "changed twice"},
        {{{"do", {{{"key", "purges/object/a"}, {"value", {{"ts", "now"}}}}}}}, "field 'ts'"},
        {{{"do", {{{"key", "purges/group/x"}, {"value", {{"ts", 5}}}}}}}, "purges/group/N"},
        {{{"do", {{{"key", "boxes/s"}, {"value", {{"address", "nowhere"}}}}}}}, "field 'address'"},
        {{{"do", {{{"key", "boxes/s"}, {"value", {{"address", "1.1.1.1:1"}, {"status", "odd"}}}}}}},
         "unknown status 'odd'"},
        {{{"do", {{{"key", "gateways/g"}, {"value", {{"listen", "nowhere"}}}}}}}, "field 'listen'"},
        {{{"do", {{{"key", "instances/G"}, {"value", {{"agent", 1}}}}}}}, "a name is"},
        {{{"if", {{{"key", "files/a"}}}}, {"do", {{{"key", "files/a"}}}}}, "field 'if.revision'"}};
    for (const auto& [text, field] : bad) {
        try {
            readTransaction(text);
            ADD_FAILURE() << text;
        } catch (const settings::DecodeError& problem) {
            EXPECT_NE(std::string(problem.what()).find(field), std::string::npos) << problem.what();
        }
    }
    const auto good =
        readTransaction({{"if", {{{"key", "boxes/s"}, {"revision", 0}}}},
                         {"do", {{{"key", "boxes/s"}, {"value", box(1)}}, {{"key", "files/x"}}}}});
    EXPECT_EQ(good.conditions.size(), 1U);
    EXPECT_FALSE(good.changes[1].value);
}

}  // namespace
}  // namespace lotuslead::config
