// Input that waited unread: while the process was stopped, while bytes arrived few at a time, at an address
// that moved.
#include "faults.hpp"
#include "repository_server.hpp"
#include "scenarios.hpp"

namespace {

using namespace lotuslead::testing;

constexpr auto kStopTime = 700ms;
constexpr int kPatienceMs = 2000;
constexpr int kSlackMs = 150;
constexpr int kConnections = 20;  // more than are accepted in one turn
constexpr int kCancelRounds = 20;
constexpr auto kDeliveryTime = 30ms;  // on loopback

void callWithPatience(Connection& client, const std::string& tag, int patienceMs) {
    static int count = 0x2000000;
    char trace[17];
    std::snprintf(trace, sizeof trace, "%016x", ++count);
    client.sendResp({"CALL", tag, "page",
                     "trace=" + std::string(trace) + ",patience=" + std::to_string(patienceMs) +
                         ",entity=" + kEntity + ",block=0",
                     ""});
}

// The store must be given no more time than the client has left.
void theDeadlineCountsFromTheArrivalOfTheCall() {
    std::atomic<int> pullMaxMs{0};
    Fleet fleet;
    Peer cache(store([&](Connection& c, const std::vector<std::string>& elements) {
        pullMaxMs = std::atoi(valueOf(elements[2], "max").c_str());
        serving("bytes")(c, elements);
    }));
    Program program(configuration(fleet.with({host("cache-1", cache.address())})));
    Connection client(program.port());
    call(client, "1");
    assert(client.readResp().size() > 1);
    program.suspend();
    callWithPatience(client, "2", kPatienceMs);
    std::this_thread::sleep_for(kStopTime);
    program.resume();
    assert(client.readResp().size() > 1);
    const auto stopped = std::chrono::duration_cast<std::chrono::milliseconds>(kStopTime).count();
    std::fprintf(stderr, "PULL has max=%d of %d ms after a stop of %lld ms\n", pullMaxMs.load(), kPatienceMs,
                 static_cast<long long>(stopped));
    assert(pullMaxMs <= kPatienceMs - stopped + kSlackMs);
}

// CALL and CANCEL have both arrived when the process resumes and reads a few bytes at a time.
void aCallIsNotSentBeforeItsCancelIsRead() {
    std::atomic<int> pulls{0};
    Fleet fleet;
    Peer cache(store([&](Connection& c, const std::vector<std::string>& elements) {
        ++pulls;
        serving("bytes")(c, elements);
    }));
    Program program(configuration(fleet.with({host("cache-1", cache.address())})), "LB_CONFIG", 1024,
                    faultVariables("recv=short:11"));
    Connection client(program.port());
    call(client, "1");
    assert(client.readResp().size() > 1 && pulls == 1);
    program.suspend();
    callWithPatience(client, "2", kPatienceMs);
    client.sendResp({"CANCEL", "2"});
    std::this_thread::sleep_for(kStopTime);
    program.resume();
    call(client, "3");
    assert((client.readResp() == std::vector<std::string>{"3", "SERVED", "-", "bytes"}));
    assert(pulls == 2);
}

// While the process is stopped a client cancels its call, and after that the store answers. When the process
// resumes both have arrived, the CANCEL first.
void anAnswerAfterTheCancelIsNotForwarded() {
    EventCounter pulled, may;
    Fleet fleet;
    Peer cache(store([&](Connection& c, const std::vector<std::string>& elements) {
        pulled.raise();
        may.await(pulled.count());
        serving("bytes")(c, elements);
    }));
    Program program(configuration(fleet.with({host("cache-1", cache.address())})));
    int forwarded = 0;
    for (int round = 1; round <= kCancelRounds; ++round) {
        Connection client(program.port());
        call(client, "1");
        pulled.await(round);
        program.suspend();
        client.sendResp({"CANCEL", "1"});
        std::this_thread::sleep_for(kDeliveryTime);
        may.raise();
        std::this_thread::sleep_for(kDeliveryTime);
        program.resume();
        client.sendResp({"CHECK", "2", ""});
        forwarded += client.readResp().at(0) == "1" ? 1 : 0;
    }
    std::fprintf(stderr, "%d of %d answers forwarded after their CANCEL\n", forwarded, kCancelRounds);
    assert(forwarded == 0);
}

// A request and its client's close have both arrived at the repository front when the process resumes. Nobody
// wants the answer, so no server may be asked. The request was once started and cancelled within one turn,
// when its first byte had already been sent.
void nothingIsFetchedForADepartedRepositoryClient() {
    const std::string path = "/index/plugins.json";
    Repository server(100'000);
    Program program(repositoryConfiguration(server, server), "LB_REPOSITORY");
    Connection client(program.port());
    assert(get(client, path).status == 200);
    const int asked = server.requests(path);
    program.suspend();
    for (int i = 0; i < kConnections; ++i) {
        Connection leaver(program.port());
        ask(leaver, path);
    }
    std::this_thread::sleep_for(kStopTime);
    program.resume();
    for (int i = 0; i < kConnections; ++i) assert(get(client, "/elsewhere").status == 404);
    std::this_thread::sleep_for(kStopTime);
    std::fprintf(stderr, "%d requests sent for %d departed clients\n", server.requests(path) - asked,
                 kConnections);
    assert(server.requests(path) == asked);
}

// Connections with calls wait in the backlog of the old address when SIGHUP moves it.
void callsInTheBacklogOfTheOldAddressAreAnswered() {
    Fleet fleet;
    Peer cache(store(serving("bytes")));
    json settings = configuration(fleet.with({host("cache-1", cache.address())}));
    settings["listen"] = "127.0.0.1:" + std::to_string(Peer(nullptr).port());
    Program program(settings);
    const std::uint16_t port = program.port();
    program.suspend();
    std::vector<std::unique_ptr<Connection>> clients;
    for (int i = 0; i < kConnections; ++i) {
        clients.push_back(std::make_unique<Connection>(port));
        call(*clients.back(), "1");
    }
    settings["listen"] = "127.0.0.1:" + std::to_string(Peer(nullptr).port());
    program.rewrite(settings.dump());
    program.signal(SIGHUP);
    program.resume();
    int answered = 0;
    for (const auto& client : clients) answered += client->readResp().size() > 1 ? 1 : 0;
    std::fprintf(stderr, "%d of %d calls in the backlog of the old address answered\n", answered,
                 kConnections);
    assert(answered == kConnections);
}

}  // namespace

int main(int argumentCount, char** arguments) {
    const Scenario scenarios[] = {
        {"deadline", theDeadlineCountsFromTheArrivalOfTheCall},
        {"cancel", aCallIsNotSentBeforeItsCancelIsRead},
        {"answer-with-cancel", anAnswerAfterTheCancelIsNotForwarded},
        {"repository-departed", nothingIsFetchedForADepartedRepositoryClient},
        {"moved-address", callsInTheBacklogOfTheOldAddressAreAnswered},
    };
    runScenarios(scenarios, argumentCount, arguments);
    return 0;
}
