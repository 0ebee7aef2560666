// What waited unread: while the process was stopped, while bytes came few at a time, at an address that
// moved.
#include "faults.hpp"
#include "moments.hpp"
#include "repository_server.hpp"

namespace {

using namespace lotuslead::testing;

constexpr auto kStopped = 700ms;
constexpr int kPatienceMs = 2000;
constexpr int kSlackMs = 150;
constexpr int kWaiting = 20;  // more than are accepted in one turn
constexpr int kCancelRounds = 20;
constexpr auto kBothThere = 30ms;  // on loopback

void callWithPatience(Connection& client, const std::string& tag, int patienceMs) {
    static int count = 0x2000000;
    char trace[17];
    std::snprintf(trace, sizeof trace, "%016x", ++count);
    client.sendResp({"CALL", tag, "page",
                     "trace=" + std::string(trace) + ",patience=" + std::to_string(patienceMs) +
                         ",entity=" + kEntity + ",block=0",
                     ""});
}

// The store is told no more time than the client has left.
void theDeadlineCountsFromWhenTheCallCame() {
    std::atomic<int> toldMs{0};
    Fleet fleet;
    Peer cache(store([&](Connection& c, const std::vector<std::string>& words) {
        toldMs = std::atoi(valueOf(words[2], "max").c_str());
        serving("bytes")(c, words);
    }));
    Program program(configuration(fleet.with({host("cache-1", cache.address())})));
    Connection client(program.port());
    call(client, "1");
    assert(client.readResp().size() > 1);
    program.suspend();
    callWithPatience(client, "2", kPatienceMs);
    std::this_thread::sleep_for(kStopped);
    program.resume();
    assert(client.readResp().size() > 1);
    const auto stopped = std::chrono::duration_cast<std::chrono::milliseconds>(kStopped).count();
    std::fprintf(stderr, "%d of %d ms told after a stop of %lld ms\n", toldMs.load(), kPatienceMs,
                 static_cast<long long>(stopped));
    assert(toldMs <= kPatienceMs - stopped + kSlackMs);
}

// CALL and CANCEL are both there when the process reads on, a few bytes at a time.
void aCallIsNotBegunBeforeItsCancelIsRead() {
    std::atomic<int> pulls{0};
    Fleet fleet;
    Peer cache(store([&](Connection& c, const std::vector<std::string>& words) {
        ++pulls;
        serving("bytes")(c, words);
    }));
    Program program(configuration(fleet.with({host("cache-1", cache.address())})), "LB_CONFIG", 1024,
                    faultVariables("recv=short:11"));
    Connection client(program.port());
    call(client, "1");
    assert(client.readResp().size() > 1 && pulls == 1);
    program.suspend();
    callWithPatience(client, "2", kPatienceMs);
    client.sendResp({"CANCEL", "2"});
    std::this_thread::sleep_for(kStopped);
    program.resume();
    call(client, "3");
    assert((client.readResp() == std::vector<std::string>{"3", "SERVED", "-", "bytes"}));
    assert(pulls == 2);
}

// The process stands still; a client takes its call back, and after that the store answers. When the process
// goes on both are there, and the CANCEL came first.
void anAnswerThatCameAfterTheCancelIsNotPassedOn() {
    EventCounter pulled, may;
    Fleet fleet;
    Peer cache(store([&](Connection& c, const std::vector<std::string>& words) {
        pulled.raise();
        may.await(pulled.count());
        serving("bytes")(c, words);
    }));
    Program program(configuration(fleet.with({host("cache-1", cache.address())})));
    int passedOn = 0;
    for (int round = 1; round <= kCancelRounds; ++round) {
        Connection client(program.port());
        call(client, "1");
        pulled.await(round);
        program.suspend();
        client.sendResp({"CANCEL", "1"});
        std::this_thread::sleep_for(kBothThere);
        may.raise();
        std::this_thread::sleep_for(kBothThere);
        program.resume();
        client.sendResp({"CHECK", "2", ""});
        passedOn += client.readResp().at(0) == "1" ? 1 : 0;
    }
    std::fprintf(stderr, "%d of %d answers passed on after their CANCEL\n", passedOn, kCancelRounds);
    assert(passedOn == 0);
}

// At the repository front a request and its client's end are both there when the process goes on. Nobody
// wants the answer: no server is asked. It used to be begun and given up in one turn, by when its first byte
// was out.
void aRepositoryClientThatHasLeftIsNotAskedFor() {
    const std::string path = "/index/plugins.json";
    Repository server(100'000);
    Program program(repositoryConfiguration(server, server), "LB_REPOSITORY");
    Connection client(program.port());
    assert(get(client, path).status == 200);
    const int asked = server.requests(path);
    program.suspend();
    for (int i = 0; i < kWaiting; ++i) {
        Connection leaver(program.port());
        ask(leaver, path);
    }
    std::this_thread::sleep_for(kStopped);
    program.resume();
    for (int i = 0; i < kWaiting; ++i) assert(get(client, "/elsewhere").status == 404);
    std::this_thread::sleep_for(kStopped);
    std::fprintf(stderr, "%d of %d that had left were asked for\n", server.requests(path) - asked, kWaiting);
    assert(server.requests(path) == asked);
}

// Connections that wait at the old address, with their calls, when SIGHUP moves it.
void whatWaitsAtAMovedAddressIsAnswered() {
    Fleet fleet;
    Peer cache(store(serving("bytes")));
    json settings = configuration(fleet.with({host("cache-1", cache.address())}));
    settings["listen"] = "127.0.0.1:" + std::to_string(Peer(nullptr).port());
    Program program(settings);
    const std::uint16_t port = program.port();
    program.suspend();
    std::vector<std::unique_ptr<Connection>> clients;
    for (int i = 0; i < kWaiting; ++i) {
        clients.push_back(std::make_unique<Connection>(port));
        call(*clients.back(), "1");
    }
    settings["listen"] = "127.0.0.1:" + std::to_string(Peer(nullptr).port());
    program.rewrite(settings.dump());
    program.signal(SIGHUP);
    program.resume();
    int answered = 0;
    for (const auto& client : clients) answered += client->readResp().size() > 1 ? 1 : 0;
    std::fprintf(stderr, "%d of %d that waited at the old address answered\n", answered, kWaiting);
    assert(answered == kWaiting);
}

}  // namespace

int main(int count, char** words) {
    const Story stories[] = {
        {"deadline", theDeadlineCountsFromWhenTheCallCame},
        {"cancel", aCallIsNotBegunBeforeItsCancelIsRead},
        {"answer-with-cancel", anAnswerThatCameAfterTheCancelIsNotPassedOn},
        {"repository-departed", aRepositoryClientThatHasLeftIsNotAskedFor},
        {"moved-address", whatWaitsAtAMovedAddressIsAnswered},
    };
    playStories(stories, count, words);
    return 0;
}
