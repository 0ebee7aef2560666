// Tests of operations on a running gateway: the operators' endpoint, drain and undrain, reloads and
// hand-over.
#include <filesystem>

#include "loopback.hpp"

namespace {

using namespace lotuslead::testing;

json withOperatorAddress(json settings) {
    settings["operator"] = "127.0.0.1:0";
    return settings;
}

std::string checkAnswer(std::uint16_t port) {
    Connection c(port);
    c.sendResp({"CHECK", "1", ""});
    const auto answer = c.readResp();
    return answer.size() > 1 ? answer[1] : "";
}

void operatorRequestsAreAnsweredDespiteIdleConnections() {
    Fleet fleet;
    json settings = withOperatorAddress(configuration(fleet.with({})));
    settings["limits"]["sockets"] = 64;  // 21 of them for clients
    Program program(settings);
    const std::uint16_t port = program.port(), operatorPort = program.operatorPort();
    std::vector<std::unique_ptr<Connection>> clients, idle;
    for (int i = 0; i < 40; ++i) clients.push_back(std::make_unique<Connection>(port));
    for (int i = 0; i < 40; ++i) {
        idle.push_back(std::make_unique<Connection>(operatorPort));
        if (i % 2) idle.back()->send("GET /rea");
    }
    for (int i = 0; i < 40; ++i) assert(callOperatorAddress(operatorPort, "GET /ready") == 200);
    assert(callOperatorAddress(operatorPort, "GET /nothing") == 404);
    assert(callOperatorAddress(operatorPort, "GET /drain") == 405);
    assert(callOperatorAddress(operatorPort, "POST /ready") == 405);
    assert(callOperatorAddress(operatorPort, "noise") == 400);
    Connection pieces(operatorPort);
    for (const char c : std::string("POST /undrain HTTP/1.1\r\nHost: here\r\nContent-Length: 2\r\n\r\n{}"))
        pieces.send(std::string(1, c));
    assert(pieces.readHead().rfind("HTTP/1.1 200 ", 0) == 0);
    for (const auto& c : idle) assert(c->closed());  // connections without a complete request are closed
    // A reload with another address.
    settings["operator"] = "127.0.0.2:0";
    program.rewrite(settings.dump());
    program.signal(SIGHUP);
    program.awaitLog("operators at 127.0.0.2:");
}

void drainClosesConnectionsAndUndrainServesAgain() {
    Fleet fleet;
    EventCounter pulled;
    Peer cache(store([&](Connection& c, const std::vector<std::string>& elements) {
        pulled.raise();
        if (elements[3] != "slow") serving("served")(c, elements);
    }));
    Program program(withOperatorAddress(configuration(fleet.with({host("cache-1", cache.address())}))),
                    "LB_CONFIG", 1024, {{"LB_OPERATOR", "127.0.0.1:0"}});
    const std::uint16_t port = program.port(), operatorPort = program.operatorPort();
    Connection idleClient(port), busyClient(port);
    call(idleClient, "1");
    assert(idleClient.readResp()[1] == "SERVED");
    call(busyClient, "1", "", "page", "slow");
    pulled.await(2);

    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < 2; ++i) assert(callOperatorAddress(operatorPort, "POST /drain") == 200);
    assert(callOperatorAddress(operatorPort, "GET /ready") == 503);
    assert(checkAnswer(port) == "LEAVING");
    assert(idleClient.closed());
    // Requests soon after the drain are served, on new connections and on those that stay open.
    Connection late(port);
    call(late, "1");
    assert(late.readResp()[1] == "SERVED");
    assert(late.closed());
    call(busyClient, "2");
    assert(busyClient.readResp()[0] == "2");
    // Later ones are refused; a connection ends after its last answer, and none is open after 4 s.
    std::this_thread::sleep_until(begin + 2000ms);
    call(busyClient, "3");
    const auto refused = busyClient.readResp();
    assert(refused[0] == "3" && refused[1] == "SHED" && !valueOf(refused[2], "pause").empty());
    Connection half(port);
    half.send("*3\r\n$5\r\nCHE");
    assert(busyClient.readResp()[0] == "1");
    assert(busyClient.closed() && half.closed());
    assert(std::chrono::steady_clock::now() - begin < 4s);
    assert(callOperatorAddress(operatorPort, "GET /ready") == 503);

    for (int i = 0; i < 2; ++i) assert(callOperatorAddress(operatorPort, "POST /undrain") == 200);
    assert(callOperatorAddress(operatorPort, "GET /ready") == 200);
    assert(checkAnswer(port) == "PASS");
    Connection again(port);
    for (int i = 1; i <= 2; ++i) {
        call(again, std::to_string(i));
        assert(again.readResp()[1] == "SERVED");
    }
    // SIGTERM works during a drain and cannot be undone.
    assert(callOperatorAddress(operatorPort, "POST /drain") == 200);
    Connection open(port);
    call(open, "1");
    program.signal(SIGTERM);
    program.awaitLog("leaving");
    assert(callOperatorAddress(operatorPort, "POST /undrain") == 409);
    assert(open.readResp()[1] == "SERVED");
    assert(program.exitCode() == 0);
}

void aSlowReaderGetsCompleteAnswersDuringADrain() {
    Fleet fleet;
    Peer cache(store(serving(std::string(240'000, 'x'))));
    json wide = host("cache-1", cache.address());
    wide["weight"] = 1000;
    json settings = withOperatorAddress(configuration(fleet.with({wide})));
    settings["settings"]["weights"] = "nominal";
    Program program(settings);
    Connection slow(program.port(), 4096);
    for (int i = 1; i <= 8; ++i) call(slow, std::to_string(i));
    assert(callOperatorAddress(program.operatorPort(), "POST /drain") == 200);
    for (int i = 1; i <= 8; ++i) {
        std::this_thread::sleep_for(200ms);
        const auto answer = slow.readResp();
        assert(answer.size() == 4 && answer[1] == "SERVED" && answer[3].size() == 240'000);
    }
    assert(slow.closed());
}

void aMalformedConfigurationIsRejectedAsAWhole() {
    Fleet fleet;
    Peer cache(store(serving("as before")));
    const json good = configuration(fleet.with({host("cache-1", cache.address())}));
    Program program(good);
    Connection client(program.port());
    std::vector<std::string> broken = {"", "{", "[]", good.dump().substr(0, good.dump().size() / 2)};
    const auto with = [&](const std::function<void(json&)>& change) {
        json one = good;
        one["settings"]["categories"][1]["name"] = "other";  // a valid change that must not take effect
        change(one);
        broken.push_back(one.dump());
    };
    for (const char* key : {"name", "listen", "seed", "limits", "settings"})
        with([&](json& c) { c.erase(key); });
    for (const char* key : {"zone", "categories", "allowed", "obligations", "extra"})
        with([&](json& c) { c["settings"].erase(key); });
    for (const char* key : {"name", "effect", "aim", "hardLimit"})
        with([&](json& c) { c["settings"]["categories"][0].erase(key); });
    with([&](json& c) { c["settings"]["categories"][2].erase("window"); });
    with([&](json& c) { c["settings"]["allowed"].erase("mayCancel"); });
    for (const json& value : {json(0), json(-5), json("soon"), json(nullptr), json(1e30)}) {
        with([&](json& c) { c["settings"]["categories"][0]["hardLimit"] = value; });
        with(
            [&](json& c) { c["settings"]["allowed"]["mostTries"] = value == json(1e30) ? json(-1) : value; });
    }
    with([&](json& c) { c["settings"]["categories"][0]["name"] = "checkout"; });
    for (std::size_t i = 0; i < broken.size(); ++i) {
        program.rewrite(broken[i]);
        program.signal(SIGHUP);
        program.awaitLog("configuration not taken, the old one stays", static_cast<int>(i) + 1);
        call(client, std::to_string(i + 1));
        assert(client.readResp()[1] == "SERVED");
    }
    program.signal(SIGTERM);
    assert(program.exitCode() == 0);
    // At the start, such a file causes one line of log and exit code 2.
    json wrong = good;
    wrong["settings"]["categories"][0]["hardLimit"] = -5;
    Program never(wrong);
    assert(never.exitCode() == 2);
    assert(never.log() == "lotuslead: bad configuration: field 'hardLimit' is not a positive number\n");
}

void anOpenRequestKeepsItsSettingsAcrossAReload() {
    Fleet fleet;
    EventCounter pulled, go;
    const auto script = store([&](Connection& c, const std::vector<std::string>& elements) {
        pulled.raise();
        if (pulled.count() == 1) go.await(1);
        if (pulled.count() % 2 == 1) return c.sendResp({elements[1], "error", "-", ""});
        serving("second try")(c, elements);
    });
    Peer first(script), second(script);
    json settings =
        configuration(fleet.with({host("cache-1", first.address()), host("cache-2", second.address())}));
    Program program(settings);
    Connection client(program.port());
    call(client, "1", "", "installer");
    pulled.await(1);
    // From now on a single attempt, a class that is unsafe to repeat, and another order of the classes.
    auto& categories = settings["settings"]["categories"];
    categories = {categories[1], categories[2], categories[0]};
    categories[2]["effect"] = "single_shot";
    settings["settings"]["allowed"]["mostTries"] = 1;
    settings["settings"]["extra"]["neverKept"] = {false, true, false};
    settings["settings"]["extra"]["inParts"] = {false, false, true};
    program.rewrite(settings.dump());
    program.signal(SIGHUP);
    program.awaitLog("configuration read again");
    go.raise();
    assert((client.readResp() == std::vector<std::string>{"1", "SERVED", "-", "second try"}));
    call(client, "2", "", "installer");
    assert((client.readResp() == std::vector<std::string>{"2", "ERR", "-", ""}));
    assert(pulled.count() == 3);
}

// A folder and a listening socket that successive processes share.
class SharedSocket {
public:
    SharedSocket() {
        char name[] = "/tmp/lotuslead-test-XXXXXX";
        folder_ = ::mkdtemp(name);
    }
    ~SharedSocket() { std::filesystem::remove_all(folder_); }
    const std::string& folder() const { return folder_; }
    std::uint16_t port() const { return socket_.port(); }
    std::unique_ptr<Program> start(json settings) const {
        settings["listen"] = socket_.address();
        return std::make_unique<Program>(withOperatorAddress(settings), "LB_CONFIG", 1024,
                                         Program::Variables{{"TMPDIR", folder_}}, socket_.descriptor());
    }

private:
    std::string folder_;
    Peer socket_{nullptr, 256};
};

void aSuccessorTakesOverWithoutFailedRequests() {
    Fleet fleet;
    EventCounter pulled;
    std::string tier;
    Peer cache(store([&](Connection& c, const std::vector<std::string>& elements) {
        tier = valueOf(elements[2], "tier");
        pulled.raise();
        if (elements[3] != "slow") serving("served")(c, elements);
    }));
    SharedSocket shared;
    const json settings = configuration(fleet.with({host("cache-1", cache.address())}));
    auto older = shared.start(settings);
    older->awaitLog("serving on");
    Connection idleClient(shared.port()), busyClient(shared.port());
    call(idleClient, "1");
    assert(idleClient.readResp()[1] == "SERVED");
    call(busyClient, "1", "", "page", "slow");
    pulled.await(2);

    auto newer = shared.start(settings);
    newer->awaitLog("serving on");
    newer->awaitLog("taken over what the predecessor knew");
    for (const auto* p : {older.get(), newer.get()}) p->awaitLog("2 processes are one gateway now");
    older->signal(SIGTERM);
    older->awaitLog("leaving to a successor, 1 requests open");
    // An idle connection is closed; a busy one stays open, and its checks answer for the whole gateway.
    assert(idleClient.closed());
    busyClient.sendResp({"CHECK", "2", ""});
    assert(busyClient.readResp()[1] == "PASS");
    call(busyClient, "3");
    assert(busyClient.readResp()[1] == "SERVED");
    for (int i = 0; i < 50; ++i) {
        Connection one(shared.port());
        call(one, "1");
        assert(one.readResp()[1] == "SERVED");
        assert(!tier.empty());  // only the predecessor has seen this name: known from its state, so a copy is
                                // kept
    }
    busyClient.sendResp({"CANCEL", "1"});
    assert(busyClient.closed());
    assert(older->exitCode() == 0);
    newer->awaitLog("1 processes are one gateway now");
    assert(older->log().find("taken=3 served=2") != std::string::npos);
    assert(callOperatorAddress(newer->operatorPort(), "GET /ready") == 200);
    // A second hand-over.
    auto third = shared.start(settings);
    third->awaitLog("serving on");
    newer->signal(SIGTERM);
    assert(newer->exitCode() == 0);
    assert(checkAnswer(shared.port()) == "PASS");
}

void aStartWithoutPredecessorWaitsForTheEventBus() {
    Fleet fleet;
    Peer cache(store(serving("new")));
    EventCounter asked, go;
    std::atomic<int> polls{0};
    json later = topology({host("cache-1", cache.address())});
    later["offset"] = 2;
    Peer bus([&](Connection& c) {
        while (!c.readHead().empty()) {
            asked.raise();
            go.await(1);
            const std::string body = json{{"offset", 2}, {"batch", {later}}}.dump();
            c.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
            if (++polls > 1) return;
        }
    });
    SharedSocket shared;
    // A stale or unusable file in place of the hand-over socket must not prevent the start.
    const std::string left = shared.folder() + "/lotuslead-1.sock";
    std::ofstream(left) << "left";
    json settings = configuration(fleet.with({}));
    settings["bus"] = bus.address();
    auto program = shared.start(settings);
    asked.await(1);
    const std::uint16_t operatorPort = program->operatorPort();
    assert(callOperatorAddress(operatorPort, "GET /ready") == 503 &&
           callOperatorAddress(operatorPort, "POST /drain") == 409);
    Connection waits(shared.port());  // in the backlog of the platform's socket
    call(waits, "1");
    go.raise();
    assert((waits.readResp() == std::vector<std::string>{"1", "SERVED", "-", "new"}));
    assert(callOperatorAddress(operatorPort, "GET /ready") == 200);
    program->signal(SIGKILL);
    program->exitCode();
    auto next = shared.start(configuration(fleet.with({host("cache-1", cache.address())})));
    next->awaitLog("serving on");
    assert(next->log().find("processes are one gateway") == std::string::npos);
    assert(checkAnswer(shared.port()) == "PASS");
}

void anUnusableInheritedSocketEndsTheStart() {
    const json settings = configuration({});
    const auto refused = [](Program&& program) {
        assert(program.exitCode() == 2);
        return program.log();
    };
    const std::string about = "lotuslead: bad configuration: variable LB_SOCKET_FD: ";
    for (const char* number : {"x", "77", "2"})
        assert(refused(Program(settings, "LB_CONFIG", 1024, {{"LB_SOCKET_FD", number}})).rfind(about, 0) ==
               0);
    const Peer socket(nullptr);
    json elsewhere = settings;
    elsewhere["listen"] = "127.0.0.1:1";
    assert(refused(Program(elsewhere, "LB_CONFIG", 1024, {}, socket.descriptor())) ==
           about + "descriptor 5 does not listen on the field 'listen'\n");
}

}  // namespace

int main() {
    aSuccessorTakesOverWithoutFailedRequests();
    aStartWithoutPredecessorWaitsForTheEventBus();
    anUnusableInheritedSocketEndsTheStart();
    aMalformedConfigurationIsRejectedAsAWhole();
    anOpenRequestKeepsItsSettingsAcrossAReload();
    operatorRequestsAreAnsweredDespiteIdleConnections();
    drainClosesConnectionsAndUndrainServesAgain();
    aSlowReaderGetsCompleteAnswersDuringADrain();
}
