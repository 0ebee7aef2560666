// Misbehaving, silent and numerous clients of the platform's front, and the limits on descriptors and memory.
#include "loopback.hpp"

namespace {

using namespace lotuslead::testing;

void theGatewaySurvivesRunningOutOfDescriptors() {
    Fleet fleet;
    Peer cache(store(serving("still here")));
    Program program(configuration(fleet.with({host("cache-1", cache.address())})), "LB_CONFIG", 24);
    const std::uint16_t port = program.port();
    Connection first(port);
    call(first, "1");
    assert(first.readResp()[1] == "SERVED");
    std::vector<std::unique_ptr<Connection>> crowd;
    for (int i = 0; i < 60; ++i) crowd.push_back(std::make_unique<Connection>(port));
    int closed = 0;  // the last ones exceed the process's descriptor limit
    for (int i = 40; i < 60; ++i) closed += crowd[static_cast<std::size_t>(i)]->closed() ? 1 : 0;
    assert(closed == 20);
    call(first, "2");
    assert(first.readResp()[1] == "SERVED");
    crowd.front().reset();  // alone, so that its end is handled with no further descriptor free
    std::this_thread::sleep_for(100ms);
    crowd.clear();
    for (int i = 0; i < 5; ++i) {  // until it has noticed those closes
        Connection next(port);
        next.sendResp({"CHECK", "1", ""});
        const auto answer = next.readResp();
        if (!answer.empty() && answer[1] == "PASS") return;
        std::this_thread::sleep_for(100ms);
    }
    assert(false);
}

void idleClientsAreEvictedAtAThirdOfTheDescriptors() {
    Fleet fleet;
    json settings = configuration(fleet.with({}));
    settings["limits"]["sockets"] = 64;  // 21 of them for clients
    Program program(settings);
    const std::uint16_t port = program.port();
    std::vector<std::unique_ptr<Connection>> crowd;
    for (int i = 0; i < 30; ++i) {
        crowd.push_back(std::make_unique<Connection>(port));
        crowd.back()->sendResp({"CHECK", "1", ""});
        assert(crowd.back()->readResp()[1] == "PASS");
    }
    program.signal(SIGTERM);
    assert(program.exitCode() == 0);
    assert(program.log().find("closed_idle=9") != std::string::npos);
}

#ifdef __SANITIZE_ADDRESS__
constexpr long kMaxResidentKb = 700'000;  // freed memory is quarantined for a while, to be checked
#else
constexpr long kMaxResidentKb = 180'000;
#endif

void aClientThatDoesNotReadCostsLittleMemory() {
    Fleet fleet;
    Peer cache(store(serving(std::string(240'000, 'x'))));
    Program program(configuration(fleet.with({host("cache-1", cache.address())})));
    const std::uint16_t port = program.port();
    std::vector<std::unique_ptr<Connection>> nonReaders;
    for (int i = 0; i < 40; ++i) {
        nonReaders.push_back(std::make_unique<Connection>(port, 4096));
        for (int k = 1; k <= 32; ++k) call(*nonReaders.back(), std::to_string(k));  // 307 MB in all
    }
    // Until no request is open: all are answered, into memory of the gateway or with a refusal.
    Connection client(port);
    const std::string all = "requests taken=";
    for (int i = 1; i < kWaitLimitSeconds * 20; ++i) {
        client.sendResp({"CHECK", std::to_string(i), ""});
        assert(client.readResp()[1] == "PASS");
        program.signal(SIGUSR1);
        std::this_thread::sleep_for(50ms);
        assert(program.residentKb() < kMaxResidentKb);
        const std::string log = program.log();
        const std::size_t taken = log.rfind(all), open = log.rfind(" open=0\n");
        if (taken != std::string::npos && open != std::string::npos && open > taken &&
            std::atoi(log.c_str() + taken + all.size()) > 0)
            return;
    }
    assert(false);
}

void invalidCallsAreRejectedByTheFront() {
    Fleet fleet;
    EventCounter pulled, go;
    Peer cache(store(servingAfter(pulled, go, "first")));
    Program program(configuration(fleet.with({host("cache-1", cache.address())})));
    Connection client(program.port());
    call(client, "1");
    pulled.await(1);
    const std::string id = "trace=00000000000000a1", object = ",entity=" + kEntity;
    const std::string whole = id + object;
    client.sendResp({"CALL", "2", "page", whole + ",patience=8000", ""});
    const std::vector<std::string> bad = {
        "-",                   // no id
        "trace=xyz" + object,  // an invalid id
        id,                    // no object
        whole,                 // the id of the open request, for the same object or another
        whole + "1",
        "trace=00000000000000a2,entity=" + kEntity + ",patience=soon",
        "trace=00000000000000a2,entity=" + kEntity + ",patience=-5",
        "trace=00000000000000a2,entity=" + kEntity + ",patience=99999999999999999999",
        "trace=00000000000000a2,entity=" + kEntity + ",block=-1",
        "trace=00000000000000a2,entity=" + kEntity + ",family=256",
        "trace=00000000000000a2,entity=" + kEntity + ",nonce=a+b\r\n",
        "trace=00000000000000a2,entity=" + kEntity + ",cached=\xff"};
    for (std::size_t i = 0; i < bad.size(); ++i) {
        Connection other(program.port());
        other.sendResp({"CALL", "1", "page", bad[i], ""});
        assert((other.readResp() == std::vector<std::string>{"1", "ERR", "-", ""}));
    }
    Connection large(program.port());
    large.sendResp({"CALL", "1", "page", "trace=00000000000000a3" + object, std::string(48'001, 'x')});
    assert(large.readResp()[1] == "ERR");
    assert(pulled.count() <= 2);
    go.raise();
    for (int i = 0; i < 2; ++i) assert(client.readResp()[1] == "SERVED");
}

void aDuplicateTagDoesNotAffectTheOpenRequest() {
    Fleet fleet;
    EventCounter pulled, go;
    Peer cache(store(servingAfter(pulled, go, "first")));
    Program program(configuration(fleet.with({host("cache-1", cache.address())})));
    Connection client(program.port());
    call(client, "1");
    call(client, "1");
    pulled.await(1);
    go.raise();
    assert((client.readResp() == std::vector<std::string>{"1", "SERVED", "-", "first"}));
    assert(client.closed());  // one answer; nothing more is read from it
    assert(pulled.count() == 1);
}

void openCallsOfAMalformedConnectionAreAnsweredBeforeItCloses() {
    Fleet fleet;
    EventCounter pulled;
    Peer cache(store([&](Connection&, const std::vector<std::string>&) { pulled.raise(); }));
    Program program(configuration(fleet.with({host("cache-1", cache.address())})));
    for (const std::string noise : {"*1\r\n$-1\r\n", "*4\r\n$3000000000\r\n", "*999999999\r\n", "GET /"}) {
        Connection client(program.port());
        call(client, "1");
        // Sent without a pause: left unread at the close, it would reset the connection and discard the
        // answer.
        client.send(noise + std::string(100'000, 'x'));
        assert((client.readResp() == std::vector<std::string>{"1", "ERR", "-", ""}));
        assert(client.closed());
    }
}

void aBurstOfOneClientDoesNotDelayOthers() {
    Fleet fleet;
    Peer cache(store([](Connection& c, const std::vector<std::string>& w) {
        if (w[3] == "usual") serving("here")(c, w);
    }));
    json wide = host("cache-1", cache.address());
    wide["weight"] = 1000;  // enough link capacity for all calls
    json settings = configuration(fleet.with({wide}));
    settings["settings"]["weights"] = "nominal";
    Program program(settings);
    Connection burstClient(program.port()), cancellingClient(program.port()), otherClient(program.port());
    for (int i = 1; i <= 400; ++i) call(burstClient, std::to_string(i));
    for (int i = 1; i <= 400; ++i) {
        call(cancellingClient, std::to_string(i));
        cancellingClient.sendResp({"CANCEL", std::to_string(i)});
    }
    call(otherClient, "1", "", "page", "usual");
    assert(otherClient.readResp()[3] == "here");
    const auto answer = burstClient.readResp();
    assert(answer[1] == "SHED" && !valueOf(answer[2], "pause").empty());
    while (!cancellingClient.readResp().empty()) {
    }  // closed, as is burstClient once its requests have ended
    while (!burstClient.readResp().empty()) {
    }
    call(otherClient, "2", "", "page", "usual");
    assert(otherClient.readResp()[3] == "here");
    program.signal(SIGTERM);
    assert(program.exitCode() == 0);
    assert(program.log().find("retired=2") != std::string::npos);
}

// A connection with too many open calls is read to its end before it closes, but not if its input is
// unreadable.
void aBurstThatEndsInGarbageIsClosedAtOnce() {
    constexpr int kCalls = 60;
    Fleet fleet;
    Peer cache(store([](Connection&, const std::vector<std::string>&) {}));
    json wide = host("cache-1", cache.address());
    wide["weight"] = 1000;  // enough link capacity for all calls
    json settings = configuration(fleet.with({wide}));
    settings["settings"]["weights"] = "nominal";
    Program program(settings);
    Connection client(program.port());
    const auto sentAt = std::chrono::steady_clock::now();
    for (int i = 1; i <= kCalls; ++i) call(client, std::to_string(i));
    client.send(std::string(400'000, 'x'));
    int answers = 0;
    while (!client.readResp().empty()) ++answers;
    assert(answers == kCalls);
    assert(std::chrono::steady_clock::now() - sentAt < 2s);  // 2.8 s are for what may still become readable
}

void silentAndPartialConnectionsAreClosedAndIdleOnesKept() {
    Fleet fleet;
    Program program(configuration(fleet.with({})));
    Connection idleClient(program.port()), silent(program.port()), partialClient(program.port()),
        laterPartialClient(program.port());
    for (Connection* c : {&idleClient, &laterPartialClient}) {
        c->sendResp({"CHECK", "1", ""});
        assert(c->readResp()[1] == "PASS");
    }
    partialClient.send("*3\r\n$5\r\nCHE");
    laterPartialClient.send("*3\r\n$5\r\nCHE");
    for (Connection* c : {&silent, &partialClient, &laterPartialClient}) assert(c->closed());
    idleClient.sendResp({"CHECK", "2", ""});
    assert(idleClient.readResp()[1] == "PASS");
}

void silentConnectionsDoNotShutOutClients() {
    Fleet fleet;
    json settings = configuration(fleet.with({}));
    settings["limits"]["sockets"] = 64;  // 21 of them for clients
    Program program(settings);
    const std::uint16_t port = program.port();
    Connection asked(port);
    asked.sendResp({"CHECK", "1", ""});
    assert(asked.readResp()[1] == "PASS");
    std::vector<std::unique_ptr<Connection>> crowd;
    for (int i = 0; i < 60; ++i) crowd.push_back(std::make_unique<Connection>(port));
    Connection otherClient(port);
    otherClient.sendResp({"CHECK", "1", ""});
    assert(otherClient.readResp()[1] == "PASS");
    asked.sendResp({"CHECK", "2", ""});
    assert(asked.readResp()[1] == "PASS");
}

void partialMessagesDoNotShutOutClientsAtSmallLimits() {
    Fleet fleet;
    Peer cache(store(serving("served")));
    json settings = configuration(fleet.with({host("cache-1", cache.address())}));
    settings["limits"] = {{"cores", 1.0}, {"memory_mb", 24}, {"sockets", 64}};  // 21 of them for clients
    Program program(settings);
    const std::uint16_t port = program.port();
    std::vector<std::unique_ptr<Connection>> crowd;
    const auto comes = [&](int count) {
        for (int i = 0; i < count; ++i) {
            crowd.push_back(std::make_unique<Connection>(port));
            crowd.back()->send("*3\r\n$5\r\nCHE");
        }
    };
    comes(40);
    Connection slow(port);  // a call that takes over 2 s to send, while more clients connect
    std::string text = "*5\r\n$4\r\nCALL\r\n$1\r\n7\r\n$4\r\npage\r\n";
    const std::string fields = "trace=00000000000000b1,patience=8000,entity=" + kEntity;
    text += "$" + std::to_string(fields.size()) + "\r\n" + fields + "\r\n$0\r\n\r\n";
    for (std::size_t i = 0; i < text.size(); i += 2) {
        slow.send(text.substr(i, 2));
        std::this_thread::sleep_for(2200ms / (text.size() / 2));
        if (i % 16 == 0) comes(4);
        if (i % 32) continue;
        Connection otherClient(port);
        call(otherClient, "1");
        assert(otherClient.readResp()[1] == "SERVED");
    }
    assert((slow.readResp() == std::vector<std::string>{"7", "SERVED", "-", "served"}));
    for (const auto& c : crowd) assert(c->closed());
}

}  // namespace

int main() {
    theGatewaySurvivesRunningOutOfDescriptors();
    idleClientsAreEvictedAtAThirdOfTheDescriptors();
    aClientThatDoesNotReadCostsLittleMemory();
    invalidCallsAreRejectedByTheFront();
    aDuplicateTagDoesNotAffectTheOpenRequest();
    openCallsOfAMalformedConnectionAreAnsweredBeforeItCloses();
    aBurstOfOneClientDoesNotDelayOthers();
    aBurstThatEndsInGarbageIsClosedAtOnce();
    silentAndPartialConnectionsAreClosedAndIdleOnesKept();
    silentConnectionsDoNotShutOutClients();
    partialMessagesDoNotShutOutClientsAtSmallLimits();
}
