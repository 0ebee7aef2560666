// Events that arrive in the same turn, in any order in which the gateway may handle them, and answers with
// invalid content.
#include <sys/stat.h>

#include "scenarios.hpp"

namespace {

using namespace lotuslead::testing;

// One client leaves before the connection opens and one after; the gateway sees all three events at once.
void aCallCancelledAsTheConnectionOpensIsNotSent() {
    Fleet fleet;
    LateStore late;
    Program program(configuration(fleet.with({host("cache-1", late.peer.address())})));
    Connection before(program.port()), after(program.port()), stays(program.port());
    call(before, "1");
    call(after, "1");
    call(stays, "1");
    program.awaitCounters("attempts sent=3 ");
    program.suspend();
    before.sendResp({"CANCEL", "1"});
    late.start();
    late.connects.await(2);
    after.sendResp({"CANCEL", "1"});
    program.resume();
    assert(stays.readResp().at(3) == "late store");
    waitUntilHandled(program.port());
    assert(late.pulls.count() == 1);
}

// As above, but the store refuses at that moment and the call would be retried.
void aCallCancelledAsTheStoreRefusesIsNotRetried() {
    Fleet fleet;
    EventCounter pulled, refuse, refused;
    Peer first(store([&](Connection& c, const std::vector<std::string>& elements) {
        pulled.raise();
        refuse.await(1);
        c.sendResp({elements[1], "refused", "-", ""});
        refused.raise();
    }));
    Program program(configuration(fleet.with({host("cache-1", first.address())})));
    Connection before(program.port()), after(program.port());
    call(before, "1");
    pulled.await(1);
    call(after, "1");
    program.awaitCounters("attempts sent=2 ");
    program.suspend();
    before.sendResp({"CANCEL", "1"});
    refuse.raise();
    refused.await(2);
    after.sendResp({"CANCEL", "1"});
    program.resume();
    program.awaitCounters(" gone=2 ");
    program.awaitCounters("attempts sent=2 ");
}

// The call arrives before or after the event bus announces the drain, within the same turn.
void aDrainAppliesToCallsInTheSameTurn() {
    for (const bool drainFirst : {true, false}) {
        Fleet fleet;
        Bus bus;
        Peer drained(store(serving("drained"))), other(store(serving("other")));
        json settings = configuration(fleet.with({host("cache-1", drained.address())}));
        settings["bus"] = bus.address();
        Program program(settings);
        Connection client(program.port());
        call(client, "1");
        assert(client.readResp().at(3) == "drained");
        program.suspend();
        if (!drainFirst) call(client, "2");
        bus.publishWithoutWaiting(topology(
            {host("cache-1", drained.address(), "small", "draining"), host("cache-2", other.address())}));
        bus.awaitSent();
        if (drainFirst) call(client, "2");
        program.resume();
        assert(client.readResp().at(3) == "other");
    }
}

// The store's last answer and its close are both unread when further calls arrive, before and after them.
void aCloseBehindAnAnswerIsNoticed() {
    Fleet fleet;
    EventCounter pulled, go, closed;
    std::atomic<int> connections{0};
    Peer cache([&](Connection& c) {
        const bool first = ++connections == 1;
        for (std::vector<std::string> elements; !(elements = c.readResp()).empty();) {
            if (first) {
                pulled.raise();
                go.await(1);
            }
            serving("here")(c, elements);
            if (!first) continue;
            c.shut();
            return closed.raise();
        }
    });
    json settings = configuration(fleet.with({host("cache-1", cache.address())}));
    classSettings(settings, 2)["effect"] = "single_shot";
    settings["settings"]["allowed"]["mostTries"] = 1;
    Program program(settings);
    Connection one(program.port()), before(program.port()), after(program.port());
    call(one, "1", "", "checkout");
    pulled.await(1);
    for (Connection* c : {&before, &after}) {
        c->sendResp({"CHECK", "1", ""});
        assert(c->readResp().at(1) == "PASS");
    }
    program.suspend();
    call(before, "2", "", "checkout");
    go.raise();
    closed.await(1);
    call(after, "2", "", "checkout");
    program.resume();
    for (Connection* c : {&one, &before, &after}) assert(c->readResp().at(1) == "SERVED");
}

// The new store is announced before the removal of the old one, whose address it has.
void aStoreAtAReusedAddressGetsNoRequestsOfItsPredecessor() {
    Fleet fleet;
    EventCounter pulled;
    Bus bus;
    Peer cache(store([&](Connection& c, const std::vector<std::string>& elements) {
        pulled.raise();
        serving("here")(c, elements);
    }));
    json settings = configuration(fleet.with({host("cache-1", cache.address())}));
    settings["bus"] = bus.address();
    Program program(settings);
    json fresh = host("cache-2", cache.address(), "small", "draining");  // no object is assigned to it
    bus.publish(topology({fresh}));
    Connection client(program.port());
    call(client, "1");
    assert(client.readResp().at(1) != "SERVED");
    bus.publish(topology({host("cache-2", cache.address())}));
    call(client, "2");
    assert(client.readResp().at(1) == "SERVED");
    assert(pulled.count() == 1);
}

// The settings in force at SIGTERM apply, or later ones that leave less time.
void aReloadDuringShutdownDoesNotExtendIt() {
    Fleet fleet;
    EventCounter pulled;
    Peer cache(store([&](Connection&, const std::vector<std::string>&) { pulled.raise(); }));
    json settings = configuration(fleet.with({host("cache-1", cache.address())}));
    setRequestTimeouts(settings, 1500);
    Program program(settings);
    Connection client(program.port());
    call(client, "1");
    pulled.await(1);
    const auto begin = Clock::now();
    program.signal(SIGTERM);
    program.awaitLog("leaving, 1 requests open");
    setRequestTimeouts(settings, 9000);
    program.rewrite(settings.dump());
    program.signal(SIGHUP);
    program.awaitLog("configuration read again");
    assert(client.readResp().at(0) == "1");
    program.awaitLog("lotuslead: stopped, 0 requests open");
    assert(Clock::now() - begin < 2200ms + kSlowMachineAllowance);
    assert(program.exitCode() == 0);
}

void aCopyIsCurrentOnlyIfTheAnswerNamesItsTag() {
    for (const std::string fields : {"tag=4be0c1927d55a6f4,minted=1764576000000", "minted=1764576000000"}) {
        Fleet fleet;
        StoresWithBadFirstAnswer stores([fields](Connection& c, const std::vector<std::string>& elements) {
            c.sendResp({elements[1], "current", fields, ""});
        });
        Program program(stores.settings(fleet));
        Connection client(program.port());
        call(client, "1", ",cached=4be0c1927d55a6f3");
        assert((client.readResp() == std::vector<std::string>{"1", "SERVED", "-", "whole"}));
    }
}

// Each answer triggers the next poll. Unsolicited answers do not, and a bus that sends them is disconnected.
void unsolicitedBusAnswersTriggerNoPolls() {
    const std::string body = R"({"offset":1,"batch":[]})";
    const std::string answer =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    EventCounter ended;
    std::atomic<int> connections{0}, polls{0};
    Peer bus([&](Connection& c) {
        const bool first = ++connections == 1;
        if (c.readHead().empty()) return;
        c.send(first ? answer + answer : answer);
        while (!c.readHead().empty()) polls += first;
        if (first) ended.raise();
    });
    Fleet fleet;
    json settings = configuration(fleet.with({}));
    settings["bus"] = bus.address();
    Program program(settings);
    ended.await(1);
    assert(polls <= 1);
}

// Reading its own configuration delays the process for a second between its first readings of the two clocks.
void aDelayedStartDoesNotShiftPurgeTimes() {
    const std::string pipe = "/tmp/lotuslead-held-" + std::to_string(::getpid());
    const int made = ::mkfifo(pipe.c_str(), 0600);
    assert(made == 0);
    Fleet fleet;
    Bus bus;
    EventCounter pulled;
    std::int64_t purged = 0, late = 0;
    const auto unixMs = [] {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    };
    Peer cache(store([&](Connection& c, const std::vector<std::string>& elements) {
        const std::int64_t oldest = std::atoll(valueOf(elements[2], "fresh").c_str());
        late = oldest - (unixMs() - purged);
        serving("here")(c, elements);
        pulled.raise();
    }));
    json settings = configuration(fleet.with({host("cache-1", cache.address())}));
    settings["bus"] = bus.address();
    Program program(json(), "LB_CONFIG", 1024, {{"LB_CONFIG", pipe}});
    std::ofstream file(pipe);  // opens once the process reads it
    std::this_thread::sleep_for(1s);
    file << settings.dump();
    file.close();
    Connection client(program.port());
    purged = unixMs();
    bus.publish({{"ban", {{"tag", 3}, {"ts", purged}}}});
    call(client, "1");
    pulled.await(1);
    std::remove(pipe.c_str());
    assert(late <= 1);  // no copy from before the purge is accepted
}

constexpr Scenario kScenarios[] = {
    {"up-and-left", aCallCancelledAsTheConnectionOpensIsNotSent},
    {"refused-and-left", aCallCancelledAsTheStoreRefusesIsNotRetried},
    {"drained-with-calls", aDrainAppliesToCallsInTheSameTurn},
    {"answer-and-close", aCloseBehindAnAnswerIsNoticed},
    {"other-tag", aCopyIsCurrentOnlyIfTheAnswerNamesItsTag},
    {"address", aStoreAtAReusedAddressGetsNoRequestsOfItsPredecessor},
    {"reload-leaving", aReloadDuringShutdownDoesNotExtendIt},
    {"held-start", aDelayedStartDoesNotShiftPurgeTimes},
    {"bus-unasked", unsolicitedBusAnswersTriggerNoPolls},
};

}  // namespace

int main(int argumentCount, char** arguments) { runScenarios(kScenarios, argumentCount, arguments); }
