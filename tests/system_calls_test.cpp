// System calls of the gateway fail for a moment, in ways that Linux documents: no request and no signal may
// be lost.
#include "faults.hpp"
#include "scenarios.hpp"

namespace {

using namespace lotuslead::testing;

constexpr int kConnections = 12;
constexpr int kCalls = 20;
constexpr auto kAnswerTimeout = 4s;
constexpr std::size_t kLargeBody = 100'000;

// One store that serves `body`, and a gateway that runs under these fault rules.
struct FaultyGateway {
    explicit FaultyGateway(const std::string& rules, const std::string& body = "bytes")
        : cache(store(serving(body))),
          settings(configuration(fleet.with({host("cache-1", cache.address())}))),
          program(settings, "LB_CONFIG", 1024, faultVariables(rules)) {}

    Fleet fleet;
    Peer cache;
    json settings;
    Program program;
};

bool served(Connection& client, const std::string& tag) {
    call(client, tag);
    const auto answer = client.readResp();
    return answer.size() > 1 && answer[0] == tag && answer[1] == "SERVED";
}

int servedOfOneRequestConnections(std::uint16_t port) {
    int answered = 0;
    for (int i = 0; i < kConnections; ++i) {
        Connection client(port);
        client.waitAtMost(kAnswerTimeout);
        answered += served(client, "1") ? 1 : 0;
    }
    return answered;
}

// Every third accept fails once, and no other client connects until the answer has arrived.
void acceptFailsOnce(const char* error) {
    FaultyGateway gateway("accept=" + std::string(error) + ":3");
    const int answered = servedOfOneRequestConnections(gateway.program.port());
    std::fprintf(stderr, "accept %s: %d of %d connections answered\n", error, answered, kConnections);
    assert(answered == kConnections);
}
void acceptFailsBriefly() {
    for (const char* error : {"ENOBUFS", "ENOMEM", "EPROTO", "ENETDOWN", "EHOSTUNREACH", "ECONNABORTED"})
        acceptFailsOnce(error);
}
void acceptShortOfDescriptors() {
    for (const char* error : {"ENFILE", "EMFILE"}) acceptFailsOnce(error);
}

// The socket stays writable throughout, so no further epoll edge will arrive.
void sendsAreShort() {
    const std::string body(kLargeBody / 10, 'b');
    FaultyGateway gateway("send=short:7", body);
    Connection client(gateway.program.port());
    for (int i = 1; i <= kCalls; ++i) {
        call(client, std::to_string(i));
        const auto answer = client.readResp();
        assert((answer == std::vector<std::string>{std::to_string(i), "SERVED", "-", body}));
    }
}

// The system is briefly out of buffer space on a socket that stays writable: clients still get their answers,
// and stores their requests.
void sendIsShortOfMemory() {
    for (const char* rule : {"send=ENOBUFS:2", "send=ENOMEM:-2"}) {
        FaultyGateway gateway(rule, std::string(kLargeBody, 'b'));
        Connection client(gateway.program.port());
        client.waitAtMost(kAnswerTimeout);
        for (int i = 1; i <= kCalls; ++i) assert(served(client, std::to_string(i)));
    }
}

void receiveIsShortOfMemory() {
    for (const char* rule :
         {"recv=ENOMEM:3", "recv=ENOBUFS:-2", "recv=EINTR:2", "peek=EINTR:2", "peek=ENOMEM:2"}) {
        FaultyGateway gateway(rule);
        Connection client(gateway.program.port());
        client.waitAtMost(kAnswerTimeout);
        for (int i = 1; i <= kCalls; ++i) assert(served(client, std::to_string(i)));
    }
}

// Only send reports the broken connection; on Linux recv does not report it again. The first send goes to the
// store, the second to the client.
void sendReportsABrokenConnection() {
    for (const char* error : {"ETIMEDOUT", "EHOSTUNREACH", "EPIPE"}) {
        {
            Fleet fleet;
            Peer first(store(serving("bytes"))), second(store(serving("bytes")));
            Program program(configuration(fleet.with(
                                {host("cache-1", first.address()), host("cache-2", second.address())})),
                            "LB_CONFIG", 1024, faultVariables("send=" + std::string(error) + ":1:1:1"));
            Connection client(program.port());
            client.waitAtMost(1s);
            assert(served(client, "1"));
        }
        FaultyGateway gateway("send=" + std::string(error) + ":1:2:1");
        Connection client(gateway.program.port());
        call(client, "1");
        const auto asked = Clock::now();
        assert(client.closed());
        assert(Clock::now() - asked < 1s);
    }
}

void signalsAreReadThoughInterrupted() {
    FaultyGateway gateway("read=EINTR:-2");
    Connection client(gateway.program.port());
    assert(served(client, "1"));
    gateway.program.signal(SIGHUP);
    gateway.program.awaitLog("configuration read again");
    gateway.program.signal(SIGTERM);
    assert(gateway.program.exitCode() == 0);
}

// Neither a client's connection nor a store's can be registered with epoll at first.
void epollIsShortOfMemory() {
    for (const char* rule : {"epoll_ctl=ENOMEM:2", "epoll_ctl=ENOSPC:-3"}) {
        FaultyGateway gateway(rule);
        const int answered = servedOfOneRequestConnections(gateway.program.port());
        std::fprintf(stderr, "%s: %d of %d connections answered\n", rule, answered, kConnections);
        assert(answered == kConnections);
    }
}

void theStartSurvivesShortages() {
    for (const char* rule : {"socket=ENFILE:1:1:3", "bind=EADDRINUSE:1:1:3", "bind=ENOMEM:1:1:3",
                             "listen=EADDRINUSE:1:1:3", "open=ENFILE:1:1:2", "epoll_ctl=ENOMEM:1:1:3"}) {
        FaultyGateway gateway(rule);
        Connection client(gateway.program.port());
        assert(served(client, "1"));
    }
}

// A file that briefly cannot be opened is not an invalid file: the new configuration applies soon after.
void aReloadIsRetriedWhenDescriptorsAreShort() {
    FaultSwitch faults;
    Fleet fleet;
    Peer cache(store(serving("bytes")));
    const json settings = configuration(fleet.with({host("cache-1", cache.address())}));
    Program program(settings, "LB_CONFIG", 1024, faults.variables("open=ENFILE:1:1:3"));
    Connection client(program.port());
    assert(served(client, "1"));
    faults.set(true);
    program.signal(SIGHUP);
    program.awaitLog("configuration read again");
}

// A shortage on this machine does not count against any store's health, and costs no request.
void socketsAreBrieflyShort() {
    for (const char* rule :
         {"socket=ENFILE:-2", "connect=EADDRNOTAVAIL:-2", "connect=ENETUNREACH:-2", "connect=EINTR:-2"}) {
        FaultyGateway gateway(rule);
        const int answered = servedOfOneRequestConnections(gateway.program.port());
        std::fprintf(stderr, "%s: %d of %d connections answered\n", rule, answered, kConnections);
        assert(answered == kConnections);
    }
}

}  // namespace

int main(int argumentCount, char** arguments) {
    const Scenario scenarios[] = {
        {"accept-errors", acceptFailsBriefly},
        {"accept-descriptors", acceptShortOfDescriptors},
        {"short-writes", sendsAreShort},
        {"send-memory", sendIsShortOfMemory},
        {"receive-memory", receiveIsShortOfMemory},
        {"send-broken", sendReportsABrokenConnection},
        {"signals", signalsAreReadThoughInterrupted},
        {"epoll-memory", epollIsShortOfMemory},
        {"start", theStartSurvivesShortages},
        {"reload", aReloadIsRetriedWhenDescriptorsAreShort},
        {"sockets", socketsAreBrieflyShort},
    };
    runScenarios(scenarios, argumentCount, arguments);
    return 0;
}
