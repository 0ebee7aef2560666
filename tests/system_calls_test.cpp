// Stories in which system calls of the gateway fail for a moment, in ways that Linux documents: nothing that
// a client asked for is lost, and no signal.
#include "faults.hpp"
#include "moments.hpp"

namespace {

using namespace lotuslead::testing;

constexpr int kConnections = 12;
constexpr int kCalls = 20;
constexpr auto kAnswerWithin = 4s;
constexpr std::size_t kLargeBody = 100'000;

// One store that serves `body`, before it the program under these faults.
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
        client.waitAtMost(kAnswerWithin);
        answered += served(client, "1") ? 1 : 0;
    }
    return answered;
}

// Each third accept fails once, and nobody else connects until the answer is there.
void acceptFailsOnce(const char* error) {
    FaultyGateway gateway("accept=" + std::string(error) + ":3");
    const int answered = servedOfOneRequestConnections(gateway.program.port());
    std::fprintf(stderr, "accept %s: %d of %d connections answered\n", error, answered, kConnections);
    assert(answered == kConnections);
}
void acceptFailsForAMoment() {
    for (const char* error : {"ENOBUFS", "ENOMEM", "EPROTO", "ENETDOWN", "EHOSTUNREACH", "ECONNABORTED"})
        acceptFailsOnce(error);
}
void acceptShortOfDescriptors() {
    for (const char* error : {"ENFILE", "EMFILE"}) acceptFailsOnce(error);
}

// The socket stays writable all the time, so there is no further edge to wait for.
void sendTakesFewBytes() {
    const std::string body(kLargeBody / 10, 'b');
    FaultyGateway gateway("send=short:7", body);
    Connection client(gateway.program.port());
    for (int i = 1; i <= kCalls; ++i) {
        call(client, std::to_string(i));
        const auto answer = client.readResp();
        assert((answer == std::vector<std::string>{std::to_string(i), "SERVED", "-", body}));
    }
}

}  // namespace

int main(int count, char** words) {
    const Story stories[] = {
        {"accept-errors", acceptFailsForAMoment},
        {"accept-descriptors", acceptShortOfDescriptors},
        {"short-writes", sendTakesFewBytes},
    };
    playStories(stories, count, words);
    return 0;
}
