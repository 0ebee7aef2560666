// What operators do with a gateway in service: the door, drains and the way back.
#include "loopback.hpp"

namespace {

using namespace lotuslead::testing;

json withDoor(json settings) {
    settings["operator"] = "127.0.0.1:0";
    return settings;
}

std::string check(std::uint16_t port) {
    Connection c(port);
    c.sendResp({"CHECK", "1", ""});
    const auto answer = c.readResp();
    return answer.size() > 1 ? answer[1] : "";
}

void theDoorAnswersWhoeverElseStandsThere() {
    Fleet fleet;
    json settings = withDoor(configuration(fleet.with({})));
    settings["limits"]["sockets"] = 64;  // 21 of them for clients
    Program program(settings);
    const std::uint16_t port = program.port(), door = program.door();
    std::vector<std::unique_ptr<Connection>> crowd, idle;
    for (int i = 0; i < 40; ++i) crowd.push_back(std::make_unique<Connection>(port));
    for (int i = 0; i < 40; ++i) {
        idle.push_back(std::make_unique<Connection>(door));
        if (i % 2) idle.back()->send("GET /rea");
    }
    for (int i = 0; i < 40; ++i) assert(operate(door, "GET /ready") == 200);
    assert(operate(door, "GET /nothing") == 404);
    assert(operate(door, "GET /drain") == 405);
    assert(operate(door, "POST /ready") == 405);
    assert(operate(door, "noise") == 400);
    Connection pieces(door);
    for (const char c : std::string("POST /undrain HTTP/1.1\r\nHost: here\r\nContent-Length: 2\r\n\r\n{}"))
        pieces.send(std::string(1, c));
    assert(pieces.readHead().rfind("HTTP/1.1 200 ", 0) == 0);
    for (const auto& c : idle) assert(c->closed());  // those that finish no call do not stay
    // Another address at SIGHUP, and none.
    settings["operator"] = "127.0.0.2:0";
    program.rewrite(settings.dump());
    program.signal(SIGHUP);
    program.awaitLog("operators at 127.0.0.2:");
}

void drainSendsClientsAwayAndUndrainTakesThemBack() {
    Fleet fleet;
    Mark pulled;
    Peer cache(store([&](Connection& c, const std::vector<std::string>& words) {
        pulled.raise();
        if (words[3] != "slow") serving("served")(c, words);
    }));
    Program program(withDoor(configuration(fleet.with({host("cache-1", cache.address())}))), "LB_CONFIG",
                    1024, {{"LB_OPERATOR", "127.0.0.1:0"}});
    const std::uint16_t port = program.port(), door = program.door();
    Connection rests(port), busy(port);
    call(rests, "1");
    assert(rests.readResp()[1] == "SERVED");
    call(busy, "1", "", "page", "slow");
    pulled.await(2);

    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < 2; ++i) assert(operate(door, "POST /drain") == 200);
    assert(operate(door, "GET /ready") == 503);
    assert(check(port) == "LEAVING");
    assert(rests.closed());
    // Late ones are served, on new connections and on those that stay open.
    Connection late(port);
    call(late, "1");
    assert(late.readResp()[1] == "SERVED");
    assert(late.closed());
    call(busy, "2");
    assert(busy.readResp()[0] == "2");
    // Then they are refused; the connection ends after its last answer, and none is there after 4 s.
    std::this_thread::sleep_until(begin + 2000ms);
    call(busy, "3");
    const auto refused = busy.readResp();
    assert(refused[0] == "3" && refused[1] == "SHED" && !valueOf(refused[2], "pause").empty());
    Connection half(port);
    half.send("*3\r\n$5\r\nCHE");
    assert(busy.readResp()[0] == "1");
    assert(busy.closed() && half.closed());
    assert(std::chrono::steady_clock::now() - begin < 4s);
    assert(operate(door, "GET /ready") == 503);

    for (int i = 0; i < 2; ++i) assert(operate(door, "POST /undrain") == 200);
    assert(operate(door, "GET /ready") == 200);
    assert(check(port) == "PASS");
    Connection again(port);
    for (int i = 1; i <= 2; ++i) {
        call(again, std::to_string(i));
        assert(again.readResp()[1] == "SERVED");
    }
    // SIGTERM works in a drain, and has no way back.
    assert(operate(door, "POST /drain") == 200);
    Connection open(port);
    call(open, "1");
    program.signal(SIGTERM);
    program.awaitLog("leaving");
    assert(operate(door, "POST /undrain") == 409);
    assert(open.readResp()[1] == "SERVED");
    assert(program.exitCode() == 0);
}

void aSlowReaderGetsAllOfItsAnswerFromADrain() {
    Fleet fleet;
    Peer cache(store(serving(std::string(240'000, 'x'))));
    json wide = host("cache-1", cache.address());
    wide["weight"] = 1000;
    json settings = withDoor(configuration(fleet.with({wide})));
    settings["settings"]["weights"] = "nominal";
    Program program(settings);
    Connection slow(program.port(), 4096);
    for (int i = 1; i <= 8; ++i) call(slow, std::to_string(i));
    assert(operate(program.door(), "POST /drain") == 200);
    for (int i = 1; i <= 8; ++i) {
        std::this_thread::sleep_for(200ms);
        const auto answer = slow.readResp();
        assert(answer.size() == 4 && answer[1] == "SERVED" && answer[3].size() == 240'000);
    }
    assert(slow.closed());
}

}  // namespace

int main() {
    theDoorAnswersWhoeverElseStandsThere();
    drainSendsClientsAwayAndUndrainTakesThemBack();
    aSlowReaderGetsAllOfItsAnswerFromADrain();
}
