// The platform's front, as seen by clients, stores and the event bus.
#include "loopback.hpp"

namespace {

using namespace lotuslead::testing;

void aRequestIsForwardedUnchanged() {
    Fleet fleet;
    const std::string bytes = std::string(200'000, 'x') + std::string("\r\n\0$", 4);
    std::vector<std::string> pulled;
    Peer cache(store([&](Connection& c, const std::vector<std::string>& elements) {
        pulled = elements;
        if (valueOf(elements[2], "known").empty()) return serving(bytes)(c, elements);
        c.sendResp({elements[1], "current", "tag=4be0c1927d55a6f3,minted=1764576000000,remark=local", ""});
    }));
    Program program(configuration(fleet.with({host("cache-1", cache.address())})));
    Connection client(program.port());
    client.sendResp({"CHECK", "1", ""});
    assert((client.readResp() == std::vector<std::string>{"1", "PASS", "-", ""}));

    call(client, "7", ",nonce=5c0f6e1a2b3d4c59a8b7c6d5e4f30211", "checkout", std::string("seat\0two", 8));
    assert((client.readResp() == std::vector<std::string>{"7", "SERVED", "-", bytes}));
    assert(pulled.size() == 4 && pulled[0] == "PULL" && pulled[1].size() == 16);
    assert(valueOf(pulled[2], "profile") == "checkout" && valueOf(pulled[2], "thing") == kEntity);
    assert(valueOf(pulled[2], "nth") == "0" && valueOf(pulled[2], "via") == "parent-1");
    assert(valueOf(pulled[2], "replay") == "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
    assert(pulled[3] == std::string("seat\0two", 8));

    call(client, "8", ",cached=4be0c1927d55a6f3");
    assert((client.readResp() == std::vector<std::string>{"8", "SERVED", "keep=1", ""}));
    assert(valueOf(pulled[2], "known") == "4be0c1927d55a6f3");

    // A client that sends malformed input loses its connection; the others are served on.
    Connection stray(program.port());
    stray.send("GET / HTTP/1.1\r\n\r\n");
    assert(stray.closed());
    call(client, "9");
    assert(client.readResp()[1] == "SERVED");
    client.sendResp({"CALL", "10", "nothing-we-know", "trace=xyz", ""});
    assert((client.readResp() == std::vector<std::string>{"10", "ERR", "-", ""}));
}

void aSilentStoreTimesOutAndItsLateAnswerIsDropped() {
    Fleet fleet;
    EventCounter silent, killed;
    const auto one = [&](Connection& c) {
        std::string id;
        for (std::vector<std::string> elements; !(elements = c.readResp()).empty();) {
            if (elements[0] == "PULL" && silent.count() == 0) {
                silent.raise();
                id = elements[1];
            } else if (elements[0] == "PULL") {
                assert(killed.count() == 1 || id.empty());  // at most one attempt in flight
                c.sendResp({elements[1], "ok", "minted=1", "second"});
            } else if (elements[0] == "KILL" && elements[1] == id) {
                killed.raise();
                c.sendResp({id, "ok", "minted=1", "late"});
            }
        }
    };
    Peer first(one), second(one);
    Program program(
        configuration(fleet.with({host("cache-1", first.address()), host("cache-2", second.address())})));
    Connection client(program.port());
    call(client, "1");
    assert((client.readResp() == std::vector<std::string>{"1", "SERVED", "-", "second"}));
    killed.await(1);
    // After CANCEL no answer is owed and none arrives: the next answer is that of the next request.
    call(client, "2");
    client.sendResp({"CANCEL", "2"});
    client.sendResp({"CHECK", "3", ""});
    for (std::vector<std::string> elements; (elements = client.readResp())[0] != "3";)
        assert(elements[0] == "2");
    client.sendResp({"CHECK", "4", ""});
    assert(client.readResp()[0] == "4");
}

void aDrainCancelsAttemptsThatWaitForAConnection() {
    Fleet fleet;
    EventCounter pulls;
    Peer full(nullptr, 0);  // accepts one connection, and no more until start()
    Connection filler(full.port());
    Bus bus;
    json settings = configuration(fleet.with({host("cache-1", full.address())}));
    settings["bus"] = bus.address();
    Program program(settings);
    Connection client(program.port());
    call(client, "1");
    client.sendResp({"CHECK", "2", ""});
    assert(client.readResp()[0] == "2");  // so the call has been accepted and waits for its connection
    bus.publish(topology({host("cache-1", full.address(), "small", "draining")}));
    full.start(store([&](Connection& c, const std::vector<std::string>& elements) {
        pulls.raise();
        serving("drained")(c, elements);
    }));
    const auto answer = client.readResp();
    assert(answer[0] == "1" && answer[1] == "SHED" && valueOf(answer[2], "pause") == "100");
    assert(pulls.count() == 0);
}

void aResetIsRetriedOrRefusedImmediately() {
    Fleet fleet;
    Peer cache([](Connection& c) {
        c.readResp();
        c.reset();
        c.shut();
    });
    Program program(configuration(fleet.with({host("cache-1", cache.address())})));
    Connection client(program.port());
    const auto begin = std::chrono::steady_clock::now();
    call(client, "1");
    const auto answer = client.readResp();
    assert(answer[1] == "SHED" && !valueOf(answer[2], "pause").empty());
    assert(std::chrono::steady_clock::now() - begin < 4s);  // well before its deadline of 8 s
}

void sigtermAnswersOpenAndArrivingRequests() {
    Fleet fleet;
    EventCounter pulled, go;
    Peer cache(store(servingAfter(pulled, go, "in time")));
    Program program(configuration(fleet.with({host("cache-1", cache.address())})));
    Connection client(program.port());
    call(client, "1");
    pulled.await(1);
    program.signal(SIGTERM);
    while (program.log().find("leaving, 1 requests open") == std::string::npos)
        std::this_thread::sleep_for(5ms);
    Connection late(program.port());
    late.sendResp({"CHECK", "1", ""});
    assert(late.readResp()[1] == "LEAVING");
    go.raise();
    assert((client.readResp() == std::vector<std::string>{"1", "SERVED", "-", "in time"}));
    assert(program.exitCode() == 0);
    assert(program.log().find("t1: requests taken=1 served=1") != std::string::npos);
}

void resetsOfNewConnectionsDoNotAffectHostHealth() {
    Fleet fleet;
    std::atomic<int> count{0};
    Peer cache([&](Connection& c) {
        if (++count > 6) return store(serving("well"))(c);
        c.readResp();
        c.reset();
        c.shut();
    });
    Program program(configuration(fleet.with({host("cache-1", cache.address())})));
    Connection client(program.port());
    for (int i = 1; i <= 6; ++i) {
        call(client, std::to_string(i));
        assert(client.readResp()[1] == "SHED");
    }
    call(client, "7");
    assert((client.readResp() == std::vector<std::string>{"7", "SERVED", "-", "well"}));
}

void aStalledAnswerClosesItsConnection() {
    Fleet fleet;
    EventCounter pulled;
    std::atomic<int> kills{0};
    const auto script = [&](Connection& c) {
        for (std::vector<std::string> elements; !(elements = c.readResp()).empty();) {
            if (elements[0] == "KILL") ++kills;
            if (elements[0] != "PULL") continue;
            pulled.raise();
            if (pulled.count() > 1)
                serving("whole")(c, elements);
            else
                c.send("*4\r\n$16\r\n" + elements[1] + "\r\n$2\r\nok\r\n$1\r\n-\r\n$200\r\nhalf");
        }
    };
    Peer first(script), second(script);
    Program program(
        configuration(fleet.with({host("cache-1", first.address()), host("cache-2", second.address())})));
    Connection client(program.port());
    call(client, "1");
    assert((client.readResp() == std::vector<std::string>{"1", "SERVED", "-", "whole"}));
    program.signal(SIGTERM);
    assert(program.exitCode() == 0);
    assert(program.log().find("stalled=1") != std::string::npos && kills == 0);
}

void newAttemptsAvoidASilentConnection() {
    Fleet fleet;
    EventCounter pulled;
    Peer cache([&](Connection& c) {
        const auto elements = c.readResp();
        pulled.raise();
        if (pulled.count() > 1) {
            serving("well")(c, elements);
            return store(serving("well"))(c);
        }
        c.exactly(1'000'000);  // reads all input and never answers
    });
    Program program(configuration(fleet.with({host("cache-1", cache.address())})));
    Connection client(program.port());
    call(client, "1");
    pulled.await(1);
    std::this_thread::sleep_for(600ms);
    call(client, "2");  // not queued behind the first
    assert((client.readResp() == std::vector<std::string>{"2", "SERVED", "-", "well"}));
}

void aSilentConnectionIsProbedByEcho() {
    for (const bool carries : {true, false}) {
        Fleet fleet;
        EventCounter echoed;
        std::atomic<int> kills{0};
        Peer cache([&](Connection& c) {
            std::vector<std::string> pull;
            for (std::vector<std::string> elements; !(elements = c.readResp()).empty();) {
                if (elements[0] == "PULL") pull = elements;
                if (elements[0] == "KILL") ++kills;
                if (elements[0] != "ECHO") continue;
                if (carries) {
                    c.sendResp({elements[1], "yes", "-", ""});
                    serving("slow, but here")(c, pull);
                }
                echoed.raise();
            }
        });
        json settings = configuration(fleet.with({host("cache-1", cache.address())}));
        settings["settings"]["allowed"]["mayProbe"] = true;
        Program program(settings);
        Connection client(program.port());
        call(client, "1");
        const auto answer = client.readResp();
        assert(answer[1] == (carries ? "SERVED" : "SHED"));
        echoed.await(1);
        program.signal(SIGTERM);
        assert(program.exitCode() == 0);
        assert(kills ==
               0);  // without an echo the connection was closed; attempts were not cancelled one by one
        assert(program.log().find(carries ? " stuck=0 " : " stuck=1 ") != std::string::npos);
    }
}

// With one request in flight at a time, each answer takes 0.45 s: that is no silence and must not cause an
// ECHO each time.
void slowStoresAreNotProbedRepeatedly() {
    Fleet fleet;
    Peer cache([&](Connection& c) {
        std::vector<std::jthread> answers;
        for (std::vector<std::string> elements; !(elements = c.readResp()).empty();) {
            if (elements[0] == "ECHO") c.sendResp({elements[1], "yes", "-", ""});
            if (elements[0] != "PULL") continue;
            answers.emplace_back([&c, elements] {
                std::this_thread::sleep_for(450ms);
                serving("in its time")(c, elements);
            });
        }
    });
    json settings = configuration(fleet.with({host("cache-1", cache.address())}));
    settings["settings"]["allowed"]["mayProbe"] = true;
    Program program(settings);
    Connection client(program.port());
    for (int i = 1; i <= 5; ++i) {
        call(client, std::to_string(i));
        assert(client.readResp()[1] == "SERVED");
    }
    program.signal(SIGTERM);
    assert(program.exitCode() == 0);
    const std::string log = program.log();
    assert(log.find(" echoes=1 ") != std::string::npos || log.find(" echoes=2 ") != std::string::npos);
    assert(log.find(" stuck=0 ") != std::string::npos);
}

void aDuplicateAnswerDoesNotMatchALaterAttempt() {
    Fleet fleet;
    std::atomic<int> pulls{0};
    Peer cache([&](Connection& c) {
        int here = 0;
        for (std::vector<std::string> elements; !(elements = c.readResp()).empty();) {
            if (elements[0] != "PULL") continue;
            if (++pulls == 1 || ++here > 1)
                c.sendResp({elements[1], "nothing", "-", ""});
            else
                serving("the real one")(c, elements);
            if (pulls == 1) here = 1;
        }
    });
    Program program(configuration(fleet.with({host("cache-1", cache.address())})));
    Connection client(program.port());
    call(client, "1");
    assert((client.readResp() == std::vector<std::string>{"1", "SERVED", "-", "the real one"}));
}

void invalidAnswersAreNotForwarded() {
    Fleet fleet;
    const std::vector<std::vector<std::string>> invalidAnswers = {
        {"current", "tag=4be0c1927d55a6f3,minted=1", ""},                    // the client has no copy
        {"ok", "tag=4be0c1927d55a6f3,minted=1"},                             // truncated
        {"ok", "tag=#!,minted=1", "body"},                                   // invalid tag
        {"ok", "tag=4be0c1927d55a6f3,minted=soon", "body"},                  // invalid date
        {"ok", "tag=4be0c1927d55a6f3,minted=1", std::string(240'001, 'x')},  // larger than any object
        {"what", "-", ""}};
    std::atomic<std::size_t> count{0};
    Peer cache(store([&](Connection& c, const std::vector<std::string>& elements) {
        const std::size_t at = count++;
        if (at >= invalidAnswers.size()) return serving("whole")(c, elements);
        std::vector<std::string> answer = {elements[1]};
        answer.insert(answer.end(), invalidAnswers[at].begin(), invalidAnswers[at].end());
        c.sendResp(answer);
    }));
    Program program(configuration(fleet.with({host("cache-1", cache.address())})));
    Connection client(program.port());
    for (int i = 1; i <= 100; ++i) {
        call(client, std::to_string(i));
        const auto answer = client.readResp();
        if (answer[1] == "SERVED") assert(answer[3] == "whole");
        if (answer[1] == "SERVED" && count > invalidAnswers.size()) break;
        std::this_thread::sleep_for(100ms);  // the store may be excluded for a moment
    }
    assert(count > invalidAnswers.size());
    program.signal(SIGTERM);
    assert(program.exitCode() == 0);
    assert(program.log().find(" malformed=6 ") != std::string::npos);
}

void aCopyFromBeforeAPurgeIsNotServed() {
    Fleet fleet;
    Bus bus;
    Peer cache(store(serving("from before")));  // created in 2025
    json settings = configuration(fleet.with({host("cache-1", cache.address())}));
    settings["bus"] = bus.address();
    Program program(settings);
    Connection client(program.port());
    call(client, "1");
    assert(client.readResp()[3] == "from before");
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    bus.publish({{"ban", {{"url", kEntity}, {"ts", now.count()}}}});
    call(client, "2");
    assert(client.readResp()[1] != "SERVED");
}

void removedStoresLeaveNoState() {
    Fleet fleet;
    Peer cache(store(serving("here")));
    Bus bus;
    json settings = configuration(fleet.with({host("cache-0", cache.address())}));
    settings["bus"] = bus.address();
    Program program(settings);
    Connection client(program.port());
    for (int i = 0; i < 40; ++i) {  // each store has the address of its predecessor
        call(client, std::to_string(i + 1));
        assert(client.readResp()[3] == "here");
        bus.publish(topology({host("cache-" + std::to_string(i), cache.address(), "small", "removed"),
                              host("cache-" + std::to_string(i + 1), cache.address())}));
    }
    program.signal(SIGTERM);
    assert(program.exitCode() == 0);
    const std::string log = program.log();
    assert(log.find(" connections=0 known=3\n") != std::string::npos);
    assert(log.find("connects=40") != std::string::npos);
}

void hostListsAreReadFromABusThatClosesAfterEachAnswer() {
    Fleet fleet;
    Peer cache(store(serving("new")));
    Bus bus(true);
    json settings = configuration(fleet.with({}));
    settings["bus"] = bus.address();
    Program program(settings);
    Connection client(program.port());
    call(client, "1");
    assert(client.readResp()[1] == "SHED");
    bus.publish(topology({host("cache-1", cache.address())}));
    call(client, "2");
    assert(client.readResp()[3] == "new");
    // Another store at the same address, announced by a later event.
    bus.publish(topology({host("cache-1", cache.address(), "small", "removed")}));
    bus.publish(topology({host("cache-2", cache.address())}));
    call(client, "3");
    assert(client.readResp()[3] == "new");
}

void aSlowBusAnswerIsReadAndAStalledOneAbandoned() {
    Fleet fleet;
    Peer cache(store(serving("new")));
    json listed = topology({host("cache-1", cache.address())});
    listed["offset"] = 2;
    std::atomic<int> polls{0};
    std::atomic<bool> stopped{false};
    Peer bus([&](Connection& c) {
        for (std::string head; !(head = c.readHead()).empty();) {
            const bool has = head.find("from=2") != std::string::npos;
            const std::string body =
                json{{"offset", 2}, {"batch", has ? json::array() : json::array({listed})}}.dump();
            const std::string text =
                "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            if (++polls == 1) {  // half of the answer, then nothing on a connection that stays open
                c.send(text.substr(0, text.size() / 2));
                stopped = c.closed();
                return;
            }
            const std::size_t piece = polls == 2 ? text.size() / 25 : text.size();
            for (std::size_t i = 0; i < text.size(); i += piece) {
                c.send(text.substr(i, piece));
                if (polls == 2) std::this_thread::sleep_for(100ms);
            }
            if (has) std::this_thread::sleep_for(200ms);
        }
    });
    json settings = configuration(fleet.with({}));
    settings["bus"] = bus.address();
    Program program(settings);
    Connection client(program.port());
    for (int i = 1;; ++i) {
        assert(i < 100);
        call(client, std::to_string(i));
        const auto answer = client.readResp();
        if (answer[1] == "SERVED") break;
        std::this_thread::sleep_for(100ms);
    }
    assert(stopped && polls >= 2);
    program.signal(SIGTERM);
    assert(program.exitCode() == 0);
    assert(program.log().find(" events=2 reconnects=1\n") != std::string::npos);
}

void sighupAppliesAValidConfigurationAndKeepsTheOldOneOtherwise() {
    Fleet fleet;
    EventCounter pulled, go;
    Peer slow(store(servingAfter(pulled, go, "asked before")));
    Peer cache(store(serving("new")));
    Bus before, after(false, 2);
    json settings = configuration(fleet.with({host("cache-1", slow.address())}));
    settings["bus"] = before.address();
    Program program(settings);
    Connection client(program.port());
    call(client, "1");
    pulled.await(1);

    // An unusable configuration changes nothing and is logged in one line.
    program.rewrite("{");
    program.signal(SIGHUP);
    program.awaitLog("t1: configuration not taken, the old one stays: the configuration is no JSON\n");
    json wrong = settings;
    wrong["bus"] = "nowhere";
    program.rewrite(wrong.dump());
    program.signal(SIGHUP);
    program.awaitLog("field 'bus' is not address:port");
    before.publish(topology({host("cache-0", cache.address())}));  // event 2; the next poll starts behind it

    // One class less and one more, in another order; the event bus has moved and continues the numbers.
    auto& categories = settings["settings"]["categories"];
    categories = {categories[2], categories[1]};
    categories.push_back(categories[1]);
    categories[2]["name"] = "late";
    settings["settings"]["extra"]["inParts"] = {false, false, false};
    settings["settings"]["extra"]["neverKept"] = {true, false, false};
    settings["bus"] = after.address();
    program.rewrite(settings.dump());
    program.signal(SIGHUP);
    program.awaitLog("t1: configuration read again\n");
    call(client, "2", "", "installer");
    assert((client.readResp() == std::vector<std::string>{"2", "ERR", "-", ""}));
    after.publish(
        topology({host("cache-1", slow.address(), "small", "draining")}));  // event 3 of the new bus
    call(client, "3", "", "late");
    assert((client.readResp() == std::vector<std::string>{"3", "SERVED", "-", "new"}));
    call(client, "4", ",nonce=5c0f6e1a2b3d4c59a8b7c6d5e4f30211", "checkout");
    assert((client.readResp() == std::vector<std::string>{"4", "SERVED", "-", "new"}));
    // The request that was open throughout gets its answer.
    go.raise();
    assert((client.readResp() == std::vector<std::string>{"1", "SERVED", "-", "asked before"}));
}

void aBadConfigurationPrintsOneLineAndExitsWithTwo() {
    json settings = configuration({});
    settings["listen"] = "nowhere";
    Program wrong(settings);
    assert(wrong.exitCode() == 2);
    assert(wrong.log() == "lotuslead: bad configuration: field 'listen' is not address:port: 'nowhere'\n");
    Program broken(std::string("{"));
    assert(broken.exitCode() == 2);
}

}  // namespace

int main() {
    aSlowBusAnswerIsReadAndAStalledOneAbandoned();
    aRequestIsForwardedUnchanged();
    aSilentStoreTimesOutAndItsLateAnswerIsDropped();
    aDrainCancelsAttemptsThatWaitForAConnection();
    aResetIsRetriedOrRefusedImmediately();
    sigtermAnswersOpenAndArrivingRequests();
    resetsOfNewConnectionsDoNotAffectHostHealth();
    aStalledAnswerClosesItsConnection();
    newAttemptsAvoidASilentConnection();
    aSilentConnectionIsProbedByEcho();
    slowStoresAreNotProbedRepeatedly();
    aDuplicateAnswerDoesNotMatchALaterAttempt();
    invalidAnswersAreNotForwarded();
    aCopyFromBeforeAPurgeIsNotServed();
    removedStoresLeaveNoState();
    hostListsAreReadFromABusThatClosesAfterEachAnswer();
    sighupAppliesAValidConfigurationAndKeepsTheOldOneOtherwise();
    aBadConfigurationPrintsOneLineAndExitsWithTwo();
}
