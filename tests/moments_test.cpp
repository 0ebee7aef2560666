// Race conditions that are rare in service, each forced: events that arrive between two steps of the gateway.
#include <sys/stat.h>

#include "scenarios.hpp"

namespace {

using namespace lotuslead::testing;

// ----- shutdown -----

void openRequestsAreAnsweredBeforeSigkill() {
    // The longest deadline, counted as at most 3 s, plus 0.7 s.
    for (const auto& [longest, kill] : {std::pair{1500, 2200ms}, std::pair{9000, 3700ms}}) {
        Fleet fleet;
        EventCounter pulled;
        Peer cache(store([&](Connection&, const std::vector<std::string>&) { pulled.raise(); }));
        json settings = configuration(fleet.with({host("cache-1", cache.address())}));
        setRequestTimeouts(settings, longest);
        settings["settings"]["allowed"]["mostTries"] = 1;
        Program program(settings);
        Connection client(program.port()), keyed(program.port());
        call(client, "1");
        call(keyed, "1", kKeyField, "checkout");
        pulled.await(2);
        const auto begin = Clock::now();
        program.signal(SIGTERM);
        assert(client.readResp().at(0) == "1");
        const auto answer = keyed.readResp();
        assert(answer.at(0) == "1" && answer[1] != "SERVED");
        assert(client.closed());  // exactly one answer
        program.awaitLog("lotuslead: stopped, 0 requests open");
        assert(Clock::now() - begin < kill + kSlowMachineAllowance);
        assert(program.exitCode() == 0);
    }
}

// The clients connect and send calls while the process is stopped, until shortly before it would exit.
void connectionsInTheBacklogAreServedBeforeExit() {
    Fleet fleet;
    Peer cache(store(serving("in the end")));
    Program program(withAmpleCapacity(host("cache-1", cache.address()), fleet));
    const std::uint16_t port = program.port();
    program.signal(SIGTERM);
    program.awaitLog("leaving, 0 requests open");
    program.suspend();
    std::vector<std::unique_ptr<Connection>> crowd;
    for (int i = 0; i < 20; ++i) {
        crowd.push_back(std::make_unique<Connection>(port));
        call(*crowd.back(), "1");
    }
    std::this_thread::sleep_for(800ms);  // connections still arrive for this long
    program.resume();
    for (const auto& c : crowd)
        assert((c->readResp() == std::vector<std::string>{"1", "SERVED", "-", "in the end"}));
    assert(program.exitCode() == 0);
}

void aSignalDuringStartupIsDeferred() {
    const std::string pipe = "/tmp/lotuslead-pipe-" + std::to_string(::getpid());
    const int made = ::mkfifo(pipe.c_str(), 0600);
    assert(made == 0);
    Program program(configuration({}), "LB_CONFIG", 1024, {{"LB_DISK", pipe}});
    std::ofstream file(pipe);  // opens once the process reads it, which is the first thing it does
    program.signal(SIGHUP);
    file << "{";
    file.close();
    assert(program.exitCode() == 2);
    std::remove(pipe.c_str());
}

// ----- departing clients -----

void callsCancelledBeforeTheyAreReadAreNotForwarded() {
    Fleet fleet;
    EventCounter pulled;
    Peer cache(store([&](Connection& c, const std::vector<std::string>& elements) {
        pulled.raise();
        serving("here")(c, elements);
    }));
    Program program(configuration(fleet.with({host("cache-1", cache.address())})));
    const std::uint16_t port = program.port();
    Connection stays(port);
    stays.sendResp({"CHECK", "1", ""});
    assert(stays.readResp()[1] == "PASS");
    call(stays, "1");
    assert(stays.readResp()[1] == "SERVED");  // the connection to the store is up
    program.suspend();
    {
        Connection goes(port);
        call(goes, "1");
        call(goes, "2");
    }
    call(stays, "2");
    stays.sendResp({"CANCEL", "2"});
    call(stays, "3");
    program.resume();
    assert(stays.readResp()[0] == "3");
    waitUntilHandled(port);
    assert(pulled.count() == 2);
}

void aDepartureWithUnreadAnswersIsDetected(bool closes) {
    Fleet fleet;
    LateStore late;
    Bus bus;
    Peer cache(store(serving(std::string(240'000, 'x'))));
    json lateHost = host("cache-2", late.peer.address()), wide = host("cache-1", cache.address());
    wide["weight"] = 1000;  // gets nearly all objects
    json settings = configuration(fleet.with({lateHost}));
    settings["settings"]["weights"] = "nominal";
    settings["bus"] = bus.address();
    Program program(settings);
    const std::uint16_t port = program.port();
    Connection leaves(port, 4096), stays(port);
    call(leaves, "1");  // waits for a connection to the store
    leaves.sendResp({"CHECK", "2", ""});
    assert(leaves.readResp()[0] == "2");
    bus.publish(topology({wide}));
    for (int i = 3; i < 30; ++i) call(leaves, std::to_string(i));
    program.awaitCounters(" served=27 ");  // 6 MB, none of which the client reads
    if (closes) {
        leaves.shutSending();
    } else {
        leaves.sendResp({"CANCEL", "1"});
        call(leaves, "30");
        leaves.sendResp({"CANCEL", "30"});
    }
    program.awaitCounters(" gone=1 ");
    late.start();
    bus.publish(topology({host("cache-1", cache.address(), "small", "draining")}));
    call(stays, "1");
    assert(stays.readResp()[3] == "late store");
    assert(late.pulls.count() == 1);
}

void withoutMayCancelNothingIsSentForADepartedClient() {
    Fleet fleet;
    LateStore late;
    json settings = configuration(fleet.with({host("cache-1", late.peer.address())}));
    settings["settings"]["allowed"]["mayCancel"] = false;
    Program program(settings);
    Connection client(program.port());
    call(client, "1");
    client.sendResp({"CANCEL", "1"});
    client.sendResp({"CHECK", "2", ""});
    assert(client.readResp()[0] == "2");
    late.start();
    call(client, "3");
    assert(client.readResp()[0] == "3");
    assert(late.pulls.count() == 1);
}

// ----- connections to stores -----

// The store's close and the next call have both arrived when the gateway reads.
void aJustClosedIdleConnectionIsNotReused() {
    Fleet fleet;
    EventCounter close, closed;
    std::atomic<int> connections{0};
    Peer cache([&](Connection& c) {
        const int here = ++connections;
        const auto elements = c.readResp();
        if (elements.empty()) return;
        serving("here")(c, elements);
        close.await(here);
        c.shut();
        closed.raise();
    });
    Program program(configuration(fleet.with({host("cache-1", cache.address())})));
    const std::uint16_t port = program.port();
    for (int i = 1; i <= 10; ++i) {
        Connection client(port);
        client.sendResp({"CHECK", "1", ""});
        assert(client.readResp()[1] == "PASS");
        if (i > 1) {
            program.suspend();
            close.raise();
            closed.await(i - 1);
        }
        call(client, "2", kKeyField, "checkout");
        if (i > 1) program.resume();
        assert((client.readResp() == std::vector<std::string>{"2", "SERVED", "-", "here"}));
    }
    close.raise();
}

// Queued behind the request itself, KILL would arrive too late: another store may have the request by then.
void aConnectionThatCannotTakeTheCancelIsClosed() {
    Fleet fleet;
    EventCounter read, ended;
    std::atomic<int> connections{0}, kills{0};
    Peer cache(nullptr);
    const int room = 64 * 1024;
    ::setsockopt(cache.descriptor(), SOL_SOCKET, SO_RCVBUF, &room, sizeof room);
    cache.start([&](Connection& c) {
        if (++connections > 1) return;
        read.await(1);
        for (std::vector<std::string> elements; !(elements = c.readResp()).empty();)
            if (elements[0] == "KILL") ++kills;
        ended.raise();
    });
    Program program(withAmpleCapacity(host("cache-1", cache.address()), fleet));
    std::vector<std::unique_ptr<Connection>> clients;
    for (int i = 0; i < 3; ++i) {  // 4.6 MB, on one connection
        clients.push_back(std::make_unique<Connection>(program.port()));
        for (int k = 1; k <= 32; ++k)
            call(*clients.back(), std::to_string(k), "", "page", std::string(48'000, 'x'));
    }
    program.awaitCounters("requests taken=96 ");
    clients.clear();
    program.awaitCounters(" open=0\n");
    read.raise();
    ended.await(1);
    assert(kills == 0);
}

void aLateHostListKeepsConnectionsOfTheRestartedStore() {
    for (const bool older : {false, true}) {
        Fleet fleet;
        EventCounter pulled, go;
        Bus bus;
        Peer cache(store(servingAfter(pulled, go, "the new process")));
        json settings = configuration(fleet.with({host("cache-1", cache.address())}));
        settings["settings"]["allowed"]["mostTries"] = 1;
        settings["bus"] = bus.address();
        Program program(settings);
        Connection client(program.port());
        call(client, "1", kKeyField, "checkout");
        pulled.await(1);
        const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
                             std::chrono::system_clock::now().time_since_epoch())
                             .count();
        json restarted = host("cache-1", cache.address());
        restarted["since_ms"] =
            now + (older ? 1 : -60'000);  // the connection is older or newer than the restart
        bus.publish(topology({restarted}));
        if (!older) go.raise();
        assert((client.readResp()[1] == "SERVED") == !older);
        if (older) go.raise();
    }
}

// ----- requests that must not run twice -----

void aRetryPastItsKeyWindowIsNotSent() {
    Fleet fleet;
    LateStore late;
    EventCounter pulled, go;
    Bus bus;
    Peer cache([&](Connection& c) {
        c.readResp();
        pulled.raise();
        go.await(1);
        c.reset();
        c.shut();
    });
    json settings = configuration(fleet.with({host("cache-1", cache.address())}));
    classSettings(settings, 2)["window"] = 1'500'000'000;
    settings["bus"] = bus.address();
    Program program(settings);
    Connection client(program.port());
    call(client, "1", kKeyField, "checkout");
    pulled.await(1);
    const auto sent = Clock::now();
    bus.publish(topology({host("cache-2", late.peer.address())}));
    go.raise();
    program.awaitCounters("attempts sent=2 ");  // within the key window, but its connection is not open
    std::this_thread::sleep_until(sent + 1550ms);
    late.start();
    assert(client.readResp()[1] != "SERVED");
    waitUntilHandled(program.port());
    assert(late.pulls.count() == 0);
}

void aTooOldAnswerToAWriteIsNotAMiss() {
    Fleet fleet;
    EventCounter pulled;
    Bus bus;
    Peer cache(store([&](Connection& c, const std::vector<std::string>& elements) {
        pulled.raise();
        serving("done, says an old date")(c, elements);
    }));
    json settings = configuration(fleet.with({host("cache-1", cache.address())}));
    classSettings(settings, 2)["effect"] = "single_shot";
    settings["bus"] = bus.address();
    Program program(settings);
    Connection client(program.port());
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    bus.publish({{"ban", {{"tag", 3}, {"ts", now.count()}}}});
    call(client, "1", "", "checkout");
    assert(client.readResp()[1] == "ERR");  // never a refusal, which would allow a retry
    waitUntilHandled(program.port());
    assert(pulled.count() == 1);
}

// ----- timeouts from the settings -----

void anEndlessAnswerIsCutOffWithinTheRequestTimeout() {
    Fleet fleet;
    std::atomic<bool> over{false};
    StoresWithBadFirstAnswer stores([&](Connection& c, const std::vector<std::string>& elements) {
        c.send("*4\r\n$16\r\n" + elements[1] + "\r\n$2\r\nok\r\n$1\r\n-\r\n$20000\r\n");
        for (int i = 0; i < 100 && !over; ++i, std::this_thread::sleep_for(50ms)) c.send("x");
    });
    json settings = stores.settings(fleet);
    setRequestTimeouts(settings, 1600);
    Program program(settings);
    Connection client(program.port());
    const auto begin = Clock::now();
    call(client, "1", kKeyField, "checkout");
    assert((client.readResp() == std::vector<std::string>{"1", "SERVED", "-", "whole"}));
    assert(Clock::now() - begin < 2s);
    over = true;
}

// Complete answers that match no attempt, or echoes: as long as they arrive, the connection looks alive.
void unmatchedAnswersCloseTheConnection(const char* status) {
    Fleet fleet;
    StoresWithBadFirstAnswer stores([status](Connection& c, const std::vector<std::string>&) {
        for (int i = 0; i < 1500; ++i) c.sendResp({"00000000000fffff", status, "minted=1", "stray"});
    });
    Program program(stores.settings(fleet));
    Connection client(program.port());
    call(client, "1", kKeyField, "checkout");
    assert((client.readResp() == std::vector<std::string>{"1", "SERVED", "-", "whole"}));
}

void aSilentBusPollIsAbandonedWithinTheDrainGrace() {
    Fleet fleet;
    EventCounter asked, again;
    Clock::time_point silentSince{}, askedAgain{};
    Peer bus([&](Connection& c) {
        for (std::string head; !(head = c.readHead()).empty();) {
            asked.raise();
            if (asked.count() ==
                2) {  // the first poll that is held open: neither an answer nor a close follows
                silentSince = Clock::now();
                continue;
            }
            if (asked.count() == 3) {
                askedAgain = Clock::now();
                again.raise();
            }
            const std::string body = R"({"offset":1,"batch":[]})";
            c.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
            if (asked.count() > 2) std::this_thread::sleep_for(100ms);
        }
    });
    json settings = configuration(fleet.with({}));
    settings["settings"]["obligations"]["stopSendingWithin"] = 400'000'000;
    settings["bus"] = bus.address();
    Program program(settings);
    again.await(1);
    assert(askedAgain - silentSince < 1s);  // 0.35 s, plus an allowance for slow machines
}

void aRefusalByTheFrontHonoursTheRetryHintSettings() {
    for (const bool hints : {true, false}) {
        Fleet fleet;
        Peer cache(store([](Connection&, const std::vector<std::string>&) {}));
        json settings = withAmpleCapacity(host("cache-1", cache.address()), fleet);
        settings["settings"]["allowed"]["retryAfter"] = hints;
        settings["settings"]["allowed"]["maxRetryAfter"] = 50'000'000;
        Program program(settings);
        Connection client(program.port());
        for (int i = 1; i <= 33; ++i) call(client, std::to_string(i));  // one beyond the limit of 32
        const auto answer = client.readResp();
        assert(answer[0] == "33" && answer[1] == "SHED");
        assert(valueOf(answer[2], "pause") == (hints ? "50" : ""));
    }
}

// Compares the largest tenth of the objects of a class with the whole class: without load, and while clients
// that do not read hold memory.
void largeObjectsAreServedAsOftenAsTheRest() {
    for (const bool quiet : {true, false}) {
        Fleet fleet;
        Peer cache(store([](Connection& c, const std::vector<std::string>& elements) {
            const bool large = valueOf(elements[2], "thing").back() == '0';
            serving(std::string(large ? 240'000 : 12'000, 'x'))(c, elements);
        }));
        json settings = withAmpleCapacity(host("cache-1", cache.address()), fleet);
        settings["limits"]["memory_mb"] = 24;
        Program program(settings);
        const std::uint16_t port = program.port();
        std::vector<std::unique_ptr<Connection>> crowd;
        for (int i = 0; i < (quiet ? 0 : 20); ++i) {
            crowd.push_back(std::make_unique<Connection>(port, 4096));
            for (int k = 1; k <= 32; ++k) callForObject(*crowd.back(), k, "7f3a9c21e0b4d650");
        }
        waitUntilHandled(port);
        program.awaitCounters(" open=0\n");
        int all = 0, served = 0, large = 0, largeServed = 0;
        Connection client(port);
        for (int i = 1; i <= 300; ++i) {
            char entity[17];
            std::snprintf(entity, sizeof entity, "%015x%d", i, i % 10);
            callForObject(client, i, entity);
            const bool came = client.readResp()[1] == "SERVED";
            ++all;
            served += came;
            large += i % 10 == 0;
            largeServed += came && i % 10 == 0;
        }
        assert(served * 2 > all);
        const double share = double(largeServed) / large, ofClass = double(served) / all;
        assert(share >= ofClass * (quiet ? 2.0 / 3 : 0.5));
    }
}

constexpr Scenario kScenarios[] = {
    {"sigkill", openRequestsAreAnsweredBeforeSigkill},
    {"door", connectionsInTheBacklogAreServedBeforeExit},
    {"early-signal", aSignalDuringStartupIsDeferred},
    {"taken-back", callsCancelledBeforeTheyAreReadAreNotForwarded},
    {"unread-answers", [] { aDepartureWithUnreadAnswersIsDetected(true); }},
    {"unread-cancel", [] { aDepartureWithUnreadAnswersIsDetected(false); }},
    {"no-cancel", withoutMayCancelNothingIsSentForADepartedClient},
    {"just-closed", aJustClosedIdleConnectionIsNotReused},
    {"no-bytes", aConnectionThatCannotTakeTheCancelIsClosed},
    {"late-list", aLateHostListKeepsConnectionsOfTheRestartedStore},
    {"late-repeat", aRetryPastItsKeyWindowIsNotSent},
    {"spoilt-write", aTooOldAnswerToAWriteIsNotAMiss},
    {"endless-answer", anEndlessAnswerIsCutOffWithinTheRequestTimeout},
    {"strays", [] { unmatchedAnswersCloseTheConnection("ok"); }},
    {"echoes", [] { unmatchedAnswersCloseTheConnection("yes"); }},
    {"dead-watch", aSilentBusPollIsAbandonedWithinTheDrainGrace},
    {"largest", largeObjectsAreServedAsOftenAsTheRest},
    {"hints", aRefusalByTheFrontHonoursTheRetryHintSettings},
};

}  // namespace

int main(int argumentCount, char** arguments) { runScenarios(kScenarios, argumentCount, arguments); }
