// The event bus sends long histories in pages: a starting gateway is not ready before the last page, and
// loses and repeats no event when a page is truncated.
#include "scenarios.hpp"

namespace {

using namespace lotuslead::testing;

constexpr int kPageEvents = 10;
constexpr auto kPageDelay = 250ms;

// Serves its events page by page, each with the number of the last event.
class PagedBus {
public:
    // With `truncates`, every second answer ends in the middle and the connection closes.
    explicit PagedBus(std::vector<json> events, bool truncates = false) : truncates_(truncates) {
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
            std::this_thread::sleep_for(kPageDelay);
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
            if (truncates_ && ++answers_ % 2 == 0) {
                c.send(answer.substr(0, answer.size() / 2));
                return c.shut();
            }
            c.send(answer);
        }
    }

    std::vector<json> events_;
    int last_ = 1;  // event 1 is the list under `known`
    bool truncates_;
    std::atomic<int> answers_{0};
    Peer peer_{[this](Connection& c) { serve(c); }};
};

std::vector<json> purges(int count) {
    std::vector<json> events;
    for (int i = 1; i <= count; ++i)
        events.push_back({{"ban", {{"url", "object-" + std::to_string(i)}, {"ts", 1764576000000}}}});
    return events;
}

// Ten pages take longer than a gateway waits for a silent event bus. The last page adds a store, which must
// be known to the first request.
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
    const std::uint16_t operatorPort = program.operatorPort();
    int refused = 0;
    while (program.log().find("serving on") == std::string::npos) {
        refused += callOperatorAddress(operatorPort, "GET /ready") != 200;
        std::this_thread::sleep_for(50ms);
        assert(Clock::now() - begin < std::chrono::seconds(kWaitLimitSeconds));
    }
    assert(refused > 0);
    assert(Clock::now() - begin >= 10 * kPageDelay);
    assert(callOperatorAddress(operatorPort, "GET /ready") == 200);
    Connection client(program.port());
    call(client, "1");
    assert(client.readResp().at(3) == "from the last page");
    assert(program.log().find("opens without all") == std::string::npos);
}

void aTruncatedPageIsRequestedAgainFromItsStart() {
    Fleet fleet;
    PagedBus bus(purges(kPageEvents * 6), true);
    json settings = configuration(fleet.with({}));
    settings["bus"] = bus.address();
    Program program(settings);
    program.port();
    program.awaitCounters(" events=" + std::to_string(bus.last()) + " ");  // each once, including the list
}

// A bus that always announces more events but sends none is polled at intervals, not in a busy loop.
void anEmptyPageIsNotPolledInABusyLoop() {
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
    program.port();  // it has received no event, so it starts as with a silent bus
    std::this_thread::sleep_for(500ms);
    assert(polls > 2 && polls < 100);
}

constexpr Scenario kScenarios[] = {
    {"last-page", aStartingGatewayIsNotReadyBeforeTheLastPage},
    {"nowhere", anEmptyPageIsNotPolledInABusyLoop},
    {"broken-off", aTruncatedPageIsRequestedAgainFromItsStart},
};

}  // namespace

int main(int argumentCount, char** arguments) { runScenarios(kScenarios, argumentCount, arguments); }
