// A client that closes its connection or cancels has left: from 0.1 s on neither front starts an attempt for
// it, first or further.
#include "repository_server.hpp"
#include "scenarios.hpp"

namespace {

using namespace lotuslead::testing;

constexpr auto kDepartureDetectedWithin = 100ms;

enum class Departure { close, halfClose, reset, cancel };
constexpr Departure kDepartures[] = {Departure::close, Departure::halfClose, Departure::reset,
                                     Departure::cancel};

// A client of the platform's front with one open request, which can leave in any of these ways.
class DepartingClient {
public:
    explicit DepartingClient(std::uint16_t port) : connection_(std::make_unique<Connection>(port)) {}
    void call(const std::string& more = "", const std::string& kind = "page") {
        lotuslead::testing::call(*connection_, "1", more, kind);
    }
    void leave(Departure departure) {
        switch (departure) {
            case Departure::halfClose:
                connection_->shutSending();
                break;
            case Departure::cancel:
                connection_->sendResp({"CANCEL", "1"});
                break;
            case Departure::reset:
                connection_->reset();
                connection_.reset();
                break;
            case Departure::close:
                connection_.reset();
                break;
        }
    }

private:
    std::unique_ptr<Connection> connection_;
};

// How a store fails a request so that it could be sent to the next store.
enum class StoreFailure { refused, error, nothing, reset };
constexpr StoreFailure kFailures[] = {StoreFailure::refused, StoreFailure::error, StoreFailure::nothing,
                                      StoreFailure::reset};

const char* answerFor(StoreFailure end) {
    return end == StoreFailure::refused ? "refused" : end == StoreFailure::error ? "error" : "nothing";
}

// The first store holds the request until its client has been gone for 0.1 s and then fails it: no other
// store may receive it, whether or not the settings allow the gateway to cancel at the store.
void noFurtherAttemptFollowsADeparture(bool mayCancel, Departure departure, StoreFailure end) {
    EventCounter pulled, mayEnd, ended;
    const auto holding = store([&](Connection& c, const std::vector<std::string>& elements) {
        pulled.raise();
        mayEnd.await(1);
        if (end == StoreFailure::reset) {
            c.reset();
            c.shut();
        } else {
            c.sendResp({elements[1], answerFor(end), "-", ""});
        }
        ended.raise();
    });
    Peer first(holding), second(holding), parent(holding), origin(holding);
    json settings = configuration({host("cache-1", first.address()), host("cache-2", second.address()),
                                   host("parent-1", parent.address(), "parent"),
                                   host("origin-1", origin.address(), "origin")});
    settings["settings"]["allowed"]["mayCancel"] = mayCancel;
    settings["settings"]["extra"]["direct"] = true;
    Program program(settings);
    DepartingClient client(program.port());
    client.call();
    pulled.await(1);
    client.leave(departure);
    std::this_thread::sleep_for(kDepartureDetectedWithin);
    mayEnd.raise();
    ended.await(1);
    program.awaitCounters(" open=0\n");
    waitUntilHandled(program.port());
    assert(pulled.count() == 1);
}

// The first attempt waits for a connection that opens after the client has left.
void noFirstAttemptFollowsADeparture(bool mayCancel, Departure departure) {
    Fleet fleet;
    LateStore late;
    json settings = configuration(fleet.with({host("cache-1", late.peer.address())}));
    settings["settings"]["allowed"]["mayCancel"] = mayCancel;
    Program program(settings);
    DepartingClient client(program.port());
    client.call();
    program.awaitCounters("attempts sent=1 ");
    client.leave(departure);
    std::this_thread::sleep_for(kDepartureDetectedWithin);
    late.start();
    Connection stays(program.port());
    call(stays, "1");
    assert(stays.readResp().at(1) == "SERVED");
    assert(late.pulls.count() == 1);
}

// Repository front: each server breaks off its answer once the client has been gone for 0.1 s. For a client
// that stays, the request is sent to another server.
void noFurtherFetchFollowsADeparture(const std::string& path, bool stays) {
    EventCounter held, mayEnd;
    const auto breakingOff = [&](Connection& c) {
        if (c.readHead().empty()) return;
        held.raise();
        mayEnd.await(1);
        c.reset();
        c.shut();
    };
    Peer first(breakingOff), second(breakingOff), parent(breakingOff), origin(breakingOff);
    Program program(
        repositoryConfiguration({host("cache-1", first.address()), host("cache-2", second.address()),
                                 host("parent-1", parent.address(), "parent"),
                                 host("origin-1", origin.address(), "origin")}),
        "LB_REPOSITORY");
    auto client = std::make_unique<Connection>(program.port());
    ask(*client, path);
    held.await(1);
    if (!stays) client.reset();
    std::this_thread::sleep_for(kDepartureDetectedWithin);
    mayEnd.raise();
    if (stays) return held.await(2);
    program.awaitCounters(" open=0\n");
    Connection next(program.port());  // a round trip: any further attempt has been sent by now
    assert(get(next, "/nowhere").status == 404);
    assert(held.count() == 1);
}

// A file is fetched part by part; no part is requested once the client has left.
void noFurtherPartFollowsADeparture() {
    std::atomic<int> fetches{0};
    const auto count = [&](const std::string&, const std::string&) { ++fetches; };
    Repository cache(40'000'000, count), origin(40'000'000, count);
    Program program(repositoryConfiguration(cache, origin), "LB_REPOSITORY");
    {
        Connection client(program.port(), 4096);
        ask(client, "/files/tool.bin");
        assert(!client.readHead().empty());
    }
    std::this_thread::sleep_for(kDepartureDetectedWithin);
    program.awaitCounters(" open=0\n");
    const int atDeparture = fetches;
    std::this_thread::sleep_for(300ms);
    assert(fetches == atDeparture && atDeparture < 600);  // of 611 parts
}

void departuresBeforeTheFirstAttempt() {
    for (const bool mayCancel : {true, false})
        for (const Departure departure : kDepartures) noFirstAttemptFollowsADeparture(mayCancel, departure);
}

void departuresBeforeAFurtherAttempt() {
    for (const bool mayCancel : {true, false})
        for (const Departure departure : kDepartures)
            for (const StoreFailure end : kFailures)
                noFurtherAttemptFollowsADeparture(mayCancel, departure, end);
}

void departuresAtTheRepositoryFront() {
    for (const bool stays : {true, false})
        for (const char* path : {"/index/plugins.json", "/files/tool.bin"})
            noFurtherFetchFollowsADeparture(path, stays);
    noFurtherPartFollowsADeparture();
}

constexpr Scenario kScenarios[] = {
    {"first-attempt", departuresBeforeTheFirstAttempt},
    {"further-attempt", departuresBeforeAFurtherAttempt},
    {"repository", departuresAtTheRepositoryFront},
};

}  // namespace

int main(int argumentCount, char** arguments) { runScenarios(kScenarios, argumentCount, arguments); }
