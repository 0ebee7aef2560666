#include "hollow_gateways.hpp"

#include <fcntl.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <system_error>

#include "core/decision_facade.hpp"
#include "core/service.hpp"
#include "platform/bus_reader.hpp"
#include "scale_measures.hpp"

namespace lotuslead::scale {

using nlohmann::json;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view kObjectPrefix = "scale-purge-";
constexpr net::Micros kCommandsEvery = 10ms;  // commands come by a pipe that is looked at between turns

std::optional<std::size_t> numberOf(std::string_view object) {
    if (object.substr(0, kObjectPrefix.size()) != kObjectPrefix) return {};
    object.remove_prefix(kObjectPrefix.size());
    std::size_t number = 0;
    const auto read = std::from_chars(object.data(), object.data() + object.size(), number);
    if (read.ec != std::errc{} || read.ptr != object.data() + object.size()) return {};
    return number;
}

class HollowGateway {
public:
    HollowGateway(net::Loop& loop, const settings::Configuration& configuration,
                  std::vector<settings::Endpoint> buses, std::size_t index, ApplyTimes& times)
        : loop_(loop),
          configuration_(configuration),
          buses_(std::move(buses)),
          index_(index),
          times_(times),
          startedAt_(loop.now()),
          decisions_(configuration.decoded, index, loop.now(), core::unixClockOffset()),
          reader_(loop, [this](const settings::BusEvent& event) { apply(event); }) {
        reader_.applyBatch(settings::readBatch(configuration_.initialEvents));
        reader_.setEndpoints(buses_);
    }

    void disconnect() { reader_.setEndpoints({}); }
    void reconnect() { reader_.setEndpoints(buses_); }
    bool ready() const { return reader_.caughtUp(); }
    // Once, when it has become ready.
    std::optional<Restart> takeReadiness() {
        if (told_ || !ready()) return {};
        told_ = true;
        return Restart{(loop_.now() - startedAt_).count(), knownCount_};
    }
    std::size_t purgesKnown() const { return knownCount_; }
    const platform::BusReader::Counters& counters() const { return reader_.counters(); }

private:
    void apply(const settings::BusEvent& event) {
        if (event.isStoreList) {
            decisions_.applyHostList(loop_.now(), event, reader_.caughtUp());
            return noteChange(event);
        }
        decisions_.applyPurge(loop_.now(), event);
        const auto number = numberOf(event.purgedObject);
        if (!number) return;
        if (*number >= known_.size()) known_.resize(*number + 1);
        if (!known_[*number]) ++knownCount_;
        known_[*number] = true;
        if (*number >= times_.purges()) return;
        note(times_.ofPurge(index_, *number));
    }
    void noteChange(const settings::BusEvent& event) {
        if (event.isSnapshot || event.stores.size() != 1 || event.stores[0].weight < kFirstChangeWeight)
            return;
        const auto number = static_cast<std::size_t>(event.stores[0].weight - kFirstChangeWeight);
        if (number < times_.changes()) note(times_.ofChange(index_, number));
    }
    static void note(std::atomic<std::int64_t>& time) {
        if (time.load(std::memory_order_relaxed) == 0) time = monotonicUs();
    }

    net::Loop& loop_;
    const settings::Configuration& configuration_;
    std::vector<settings::Endpoint> buses_;
    std::size_t index_;
    ApplyTimes& times_;
    net::Micros startedAt_;
    core::DecisionFacade decisions_;
    platform::BusReader reader_;
    std::vector<bool> known_;
    std::size_t knownCount_ = 0;
    bool told_ = false;
};

// The child's side.
class HollowWorker {
public:
    HollowWorker(const HollowPlan& plan, ApplyTimes& times, int commands, int answers)
        : plan_(plan),
          times_(times),
          commands_(commands),
          answers_(answers),
          configuration_(settings::readConfiguration(plan.configuration)) {
        for (std::size_t i = 0; i < plan_.count; ++i) gateways_.push_back(make(i));
    }

    void run() {
        while (readCommands()) {
            loop_.turn(loop_.now() + kCommandsEvery);
            for (const auto& gateway : gateways_)
                if (const auto restart = gateway->takeReadiness()) restarts_.push_back(*restart);
        }
    }

private:
    std::unique_ptr<HollowGateway> make(std::size_t index) {
        // Each begins at another agent, as an operator would spread them.
        auto buses = plan_.buses;
        const auto shift = static_cast<std::ptrdiff_t>((plan_.first + index) % buses.size());
        std::rotate(buses.begin(), buses.begin() + shift, buses.end());
        return std::make_unique<HollowGateway>(loop_, configuration_, std::move(buses), plan_.first + index,
                                               times_);
    }
    // False: the driver has gone.
    bool readCommands() {
        char chunk[4096];
        ssize_t got;
        while ((got = ::read(commands_, chunk, sizeof chunk)) > 0)
            pending_.append(chunk, static_cast<std::size_t>(got));
        if (got == 0) return false;
        for (std::size_t end; (end = pending_.find('\n')) != std::string::npos;) {
            std::istringstream fields(pending_.substr(0, end));
            pending_.erase(0, end + 1);
            std::string kind;
            std::size_t count = 0;
            fields >> kind >> count;
            obey(kind, std::min(count, gateways_.size()));
        }
        return true;
    }
    void obey(const std::string& kind, std::size_t count) {
        if (kind == "status") return answer();
        if (kind == "reconnect")
            for (const auto& gateway : gateways_) gateway->reconnect();
        if (kind == "disconnect")
            for (std::size_t i = 0; i < count; ++i) gateways_[i]->disconnect();
        if (kind != "restart") return;
        // All are lost before the first is back, as when their zone is.
        for (std::size_t i = 0; i < count; ++i) gateways_[i].reset();
        for (std::size_t i = 0; i < count; ++i) gateways_[i] = make(i);
    }
    void answer() {
        HollowStatus status;
        status.leastKnown = SIZE_MAX;
        for (const auto& gateway : gateways_) {
            const auto& counters = gateway->counters();
            status.ready += gateway->ready();
            status.leastKnown = std::min(status.leastKnown, gateway->purgesKnown());
            status.polls += counters.polls;
            status.events += counters.events;
            status.reconnects += counters.reconnects;
            status.bytes += counters.bytes;
        }
        const ProcessUsage usage = usageOf(::getpid());
        status.cpuUs = usage.cpuUs;
        status.residentKb = usage.residentKb;
        status.restarts = std::exchange(restarts_, {});
        const std::string line = json(status).dump() + "\n";
        for (std::size_t sent = 0; sent < line.size();) {
            const ssize_t some = ::write(answers_, line.data() + sent, line.size() - sent);
            if (some <= 0) return;
            sent += static_cast<std::size_t>(some);
        }
    }

    const HollowPlan& plan_;
    ApplyTimes& times_;
    int commands_, answers_;
    settings::Configuration configuration_;
    net::Loop loop_;
    std::vector<std::unique_ptr<HollowGateway>> gateways_;
    std::vector<Restart> restarts_;
    std::string pending_;
};

}  // namespace

std::string purgedObject(std::size_t number) { return std::string(kObjectPrefix) + std::to_string(number); }

ApplyTimes::ApplyTimes(std::size_t gateways, std::size_t purges, std::size_t changes)
    : gateways_(gateways), purges_(purges), changes_(changes) {
    void* memory =
        ::mmap(nullptr, bytes(), PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS | MAP_NORESERVE, -1, 0);
    if (memory == MAP_FAILED) throw std::system_error(errno, std::generic_category(), "mmap");
    times_ = static_cast<std::atomic<std::int64_t>*>(memory);  // zeroed by the kernel
}

ApplyTimes::~ApplyTimes() { ::munmap(times_, bytes()); }

void to_json(json& into, const Restart& restart) {
    into = {{"ready_after_us", restart.readyAfterUs}, {"purges_known", restart.purgesKnown}};
}
void from_json(const json& from, Restart& restart) {
    restart = {from.at("ready_after_us"), from.at("purges_known")};
}

void to_json(json& into, const HollowStatus& s) {
    into = {{"ready", s.ready},   {"least_known", s.leastKnown}, {"polls", s.polls},
            {"events", s.events}, {"reconnects", s.reconnects},  {"bytes", s.bytes},
            {"cpu_us", s.cpuUs},  {"resident_kb", s.residentKb}, {"restarts", s.restarts}};
}
void from_json(const json& from, HollowStatus& s) {
    s = {from.at("ready"),  from.at("least_known"), from.at("polls"),
         from.at("events"), from.at("reconnects"),  from.at("bytes"),
         from.at("cpu_us"), from.at("resident_kb"), from.at("restarts")};
}

HollowProcess::HollowProcess(const HollowPlan& plan, ApplyTimes& times) : count_(plan.count) {
    int down[2], up[2];
    if (::pipe2(down, O_CLOEXEC) != 0 || ::pipe2(up, O_CLOEXEC) != 0)
        throw std::system_error(errno, std::generic_category(), "pipe");
    std::fflush(nullptr);
    pid_ = ::fork();
    if (pid_ < 0) throw std::system_error(errno, std::generic_category(), "fork");
    if (pid_ == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        std::signal(SIGPIPE, SIG_IGN);
        ::close(down[1]);
        ::close(up[0]);
        ::fcntl(down[0], F_SETFL, O_NONBLOCK);
        if (!std::freopen("/dev/null", "w", stderr)) ::_exit(1);  // hundreds of readers log each move
        try {
            HollowWorker(plan, times, down[0], up[1]).run();
        } catch (const std::exception& problem) {
            std::printf("hollow gateways: %s\n", problem.what());
            std::fflush(stdout);
        }
        ::_exit(0);
    }
    ::close(down[0]);
    ::close(up[1]);
    commands_ = down[1];
    answers_ = ::fdopen(up[0], "r");
}

HollowProcess::~HollowProcess() {
    ::close(commands_);
    std::fclose(answers_);
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
}

void HollowProcess::command(const char* kind, std::size_t count) {
    const std::string line = std::string(kind) + " " + std::to_string(count) + "\n";
    if (::write(commands_, line.data(), line.size()) != static_cast<ssize_t>(line.size()))
        throw std::runtime_error("a process of hollow gateways has ended");
}

HollowStatus HollowProcess::status() {
    command("status", 0);
    std::string line;
    for (int c; (c = std::fgetc(answers_)) != EOF && c != '\n';) line += static_cast<char>(c);
    if (line.empty()) throw std::runtime_error("a process of hollow gateways has ended");
    return json::parse(line).get<HollowStatus>();
}

}  // namespace lotuslead::scale
