// The event bus tells much in pages: a gateway that starts is not ready before the last of them, and loses
// and repeats nothing where a page is broken off.
#include "moments.hpp"

namespace {

using namespace lotuslead::testing;

constexpr int kPageEvents = 10;
constexpr auto kPageTakes = 250ms;

// Tells its events page by page, and with each how many there are.
class PagedBus {
public:
    // With `breaksOff`, every second answer ends in the middle, with its connection.
    explicit PagedBus(std::vector<json> events, bool breaksOff = false) : breaksOff_(breaksOff) {
        for (json& event : events) {
            event["offset"] = ++last_;
            events_.push_back(std::move(event));
        }
    }
    std::string address() const { return peer_.address(); }
    int last() const { return last_; }

private:
    void serve(Connection& c) {
        for (std::string head; !(head = c.readHead()).empty();) {
            const int from = std::atoi(head.c_str() + head.find("from=") + 5);
            std::this_thread::sleep_for(kPageTakes);
            json batch = json::array();
            int reached = from;
            for (const json& event : events_) {
                if (event["offset"] <= from || batch.size() == kPageEvents) continue;
                batch.push_back(event);
                reached = event["offset"];
            }
            const std::string body = json{{"offset", reached}, {"last", last_}, {"batch", batch}}.dump();
            std::string answer =
                "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            if (breaksOff_ && ++answers_ % 2 == 0) {
                c.send(answer.substr(0, answer.size() / 2));
                return c.shut();
            }
            c.send(answer);
        }
    }

    std::vector<json> events_;
    int last_ = 1;  // the first event is the list under `known`
    bool breaksOff_;
    std::atomic<int> answers_{0};
    Peer peer_{[this](Connection& c) { serve(c); }};
};

std::vector<json> purges(int count) {
    std::vector<json> events;
    for (int i = 1; i <= count; ++i)
        events.push_back({{"ban", {{"url", "object-" + std::to_string(i)}, {"ts", 1764576000000}}}});
    return events;
}

// Ten pages take longer than a gateway waits for an event bus that says nothing. What the last page tells, a
// store, is known to the first request.
void aStartingGatewayIsNotReadyBeforeTheLastPage() {
    Fleet fleet;
    Peer cache(store(serving("from the last page")));
    std::vector<json> events = purges(kPageEvents * 10 - 1);
    events.push_back(topology({host("cache-1", cache.address())}));
    PagedBus bus(std::move(events));
    json settings = configuration(fleet.with({}));
    settings["bus"] = bus.address();
    settings["operator"] = "127.0.0.1:0";
    const auto begin = Clock::now();
    Program program(settings);
    const std::uint16_t door = program.operatorPort();
    int refused = 0;
    while (program.log().find("serving on") == std::string::npos) {
        refused += callOperatorAddress(door, "GET /ready") != 200;
        std::this_thread::sleep_for(50ms);
        assert(Clock::now() - begin < std::chrono::seconds(kWaitLimitSeconds));
    }
    assert(refused > 0);
    assert(Clock::now() - begin >= 10 * kPageTakes);
    assert(callOperatorAddress(door, "GET /ready") == 200);
    Connection client(program.port());
    call(client, "1");
    assert(client.readResp().at(3) == "from the last page");
    assert(program.log().find("opens without all") == std::string::npos);
}

void aPageThatIsBrokenOffIsAskedForAgainFromWhereItBegan() {
    Fleet fleet;
    PagedBus bus(purges(kPageEvents * 6), true);
    json settings = configuration(fleet.with({}));
    settings["bus"] = bus.address();
    Program program(settings);
    program.port();
    program.awaitCounters(" events=" + std::to_string(bus.last()) + " ");  // each once, the list included
}

// A bus that always has more and never tells it is asked now and then, not in a busy loop.
void aPageThatLeadsNowhereIsNotAskedForWithoutPause() {
    std::atomic<int> polls{0};
    Peer bus([&](Connection& c) {
        while (!c.readHead().empty()) {
            ++polls;
            const std::string body = R"({"offset":1,"last":9,"batch":[]})";
            c.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        }
    });
    Fleet fleet;
    json settings = configuration(fleet.with({}));
    settings["bus"] = bus.address();
    Program program(settings);
    program.port();  // it has never been told anything: as with a bus that says nothing
    std::this_thread::sleep_for(500ms);
    assert(polls > 2 && polls < 100);
}

constexpr Story kStories[] = {
    {"last-page", aStartingGatewayIsNotReadyBeforeTheLastPage},
    {"nowhere", aPageThatLeadsNowhereIsNotAskedForWithoutPause},
    {"broken-off", aPageThatIsBrokenOffIsAskedForAgainFromWhereItBegan},
};

}  // namespace

int main(int count, char** words) { playStories(kStories, count, words); }
