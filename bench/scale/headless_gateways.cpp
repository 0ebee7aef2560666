#include "headless_gateways.hpp"

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
constexpr net::Micros kCommandPollInterval = 10ms;  // the command pipe is read between turns of the loop

std::optional<std::size_t> purgeNumberOf(std::string_view object) {
    if (object.substr(0, kObjectPrefix.size()) != kObjectPrefix) return {};
    object.remove_prefix(kObjectPrefix.size());
    std::size_t number = 0;
    const auto read = std::from_chars(object.data(), object.data() + object.size(), number);
    if (read.ec != std::errc{} || read.ptr != object.data() + object.size()) return {};
    return number;
}

class HeadlessGateway {
public:
    HeadlessGateway(net::Loop& loop, const settings::Configuration& configuration,
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
    // Returns the restart once, after the gateway has become ready.
    std::optional<Restart> takeReadiness() {
        if (readinessReported_ || !ready()) return {};
        readinessReported_ = true;
        return Restart{(loop_.now() - startedAt_).count(), knownPurgeCount_};
    }
    std::size_t purgesKnown() const { return knownPurgeCount_; }
    const platform::BusReader::Counters& counters() const { return reader_.counters(); }

private:
    void apply(const settings::BusEvent& event) {
        if (event.isStoreList) {
            decisions_.applyHostList(loop_.now(), event, reader_.caughtUp());
            return recordChange(event);
        }
        decisions_.applyPurge(loop_.now(), event, reader_.caughtUp());
        const auto number = purgeNumberOf(event.purgedObject);
        if (!number) return;
        if (*number >= purgeKnown_.size()) purgeKnown_.resize(*number + 1);
        if (!purgeKnown_[*number]) ++knownPurgeCount_;
        purgeKnown_[*number] = true;
        if (*number >= times_.purges()) return;
        recordTime(times_.ofPurge(index_, *number));
    }
    void recordChange(const settings::BusEvent& event) {
        if (event.isSnapshot || event.stores.size() != 1 || event.stores[0].weight < kFirstChangeWeight)
            return;
        const auto number = static_cast<std::size_t>(event.stores[0].weight - kFirstChangeWeight);
        if (number < times_.changes()) recordTime(times_.ofChange(index_, number));
    }
    static void recordTime(std::atomic<std::int64_t>& time) {
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
    std::vector<bool> purgeKnown_;
    std::size_t knownPurgeCount_ = 0;
    bool readinessReported_ = false;
};

// Runs the gateways and executes the commands in the child process.
class HeadlessWorker {
public:
    HeadlessWorker(const HeadlessProcessOptions& options, ApplyTimes& times, int commandFd, int answers)
        : options_(options),
          times_(times),
          commandFd_(commandFd),
          answers_(answers),
          configuration_(settings::readConfiguration(options.configuration)) {
        for (std::size_t i = 0; i < options_.count; ++i) gateways_.push_back(make(i));
    }

    void run() {
        while (readCommands()) {
            loop_.turn(loop_.now() + kCommandPollInterval);
            for (const auto& gateway : gateways_)
                if (const auto restart = gateway->takeReadiness()) restarts_.push_back(*restart);
        }
    }

private:
    std::unique_ptr<HeadlessGateway> make(std::size_t index) {
        // Consecutive gateways begin with different agents, as an operator would spread them.
        auto buses = options_.buses;
        const auto shift = static_cast<std::ptrdiff_t>((options_.first + index) % buses.size());
        std::rotate(buses.begin(), buses.begin() + shift, buses.end());
        return std::make_unique<HeadlessGateway>(loop_, configuration_, std::move(buses),
                                                 options_.first + index, times_);
    }
    // Returns false when the parent has closed the pipe.
    bool readCommands() {
        char chunk[4096];
        ssize_t got;
        while ((got = ::read(commandFd_, chunk, sizeof chunk)) > 0)
            pending_.append(chunk, static_cast<std::size_t>(got));
        if (got == 0) return false;
        for (std::size_t end; (end = pending_.find('\n')) != std::string::npos;) {
            std::istringstream fields(pending_.substr(0, end));
            pending_.erase(0, end + 1);
            std::string kind;
            std::size_t count = 0;
            fields >> kind >> count;
            execute(kind, std::min(count, gateways_.size()));
        }
        return true;
    }
    void execute(const std::string& kind, std::size_t count) {
        if (kind == "status") return sendStatus();
        if (kind == "reconnect")
            for (const auto& gateway : gateways_) gateway->reconnect();
        if (kind == "disconnect")
            for (std::size_t i = 0; i < count; ++i) gateways_[i]->disconnect();
        if (kind != "restart") return;
        // All are destroyed before the first is recreated, as when a whole zone fails.
        for (std::size_t i = 0; i < count; ++i) gateways_[i].reset();
        for (std::size_t i = 0; i < count; ++i) gateways_[i] = make(i);
    }
    void sendStatus() {
        HeadlessProcessStatus status;
        status.minPurgesKnown = SIZE_MAX;
        for (const auto& gateway : gateways_) {
            const auto& counters = gateway->counters();
            status.ready += gateway->ready();
            status.minPurgesKnown = std::min(status.minPurgesKnown, gateway->purgesKnown());
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
            const ssize_t written = ::write(answers_, line.data() + sent, line.size() - sent);
            if (written <= 0) return;
            sent += static_cast<std::size_t>(written);
        }
    }

    const HeadlessProcessOptions& options_;
    ApplyTimes& times_;
    int commandFd_, answers_;
    settings::Configuration configuration_;
    net::Loop loop_;
    std::vector<std::unique_ptr<HeadlessGateway>> gateways_;
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

void to_json(json& into, const HeadlessProcessStatus& s) {
    into = {{"ready", s.ready},   {"least_known", s.minPurgesKnown}, {"polls", s.polls},
            {"events", s.events}, {"reconnects", s.reconnects},      {"bytes", s.bytes},
            {"cpu_us", s.cpuUs},  {"resident_kb", s.residentKb},     {"restarts", s.restarts}};
}
void from_json(const json& from, HeadlessProcessStatus& s) {
    s = {from.at("ready"),  from.at("least_known"), from.at("polls"),
         from.at("events"), from.at("reconnects"),  from.at("bytes"),
         from.at("cpu_us"), from.at("resident_kb"), from.at("restarts")};
}

HeadlessProcess::HeadlessProcess(const HeadlessProcessOptions& options, ApplyTimes& times)
    : count_(options.count) {
    int commandPipe[2], answerPipe[2];
    if (::pipe2(commandPipe, O_CLOEXEC) != 0 || ::pipe2(answerPipe, O_CLOEXEC) != 0)
        throw std::system_error(errno, std::generic_category(), "pipe");
    std::fflush(nullptr);
    pid_ = ::fork();
    if (pid_ < 0) throw std::system_error(errno, std::generic_category(), "fork");
    if (pid_ == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        std::signal(SIGPIPE, SIG_IGN);
        ::close(commandPipe[1]);
        ::close(answerPipe[0]);
        ::fcntl(commandPipe[0], F_SETFL, O_NONBLOCK);
        if (!std::freopen("/dev/null", "w", stderr))
            ::_exit(1);  // hundreds of readers would log every change of agent
        try {
            HeadlessWorker(options, times, commandPipe[0], answerPipe[1]).run();
        } catch (const std::exception& problem) {
            std::printf("headless gateways: %s\n", problem.what());
            std::fflush(stdout);
        }
        ::_exit(0);
    }
    ::close(commandPipe[0]);
    ::close(answerPipe[1]);
    commandFd_ = commandPipe[1];
    answers_ = ::fdopen(answerPipe[0], "r");
}

HeadlessProcess::~HeadlessProcess() {
    ::close(commandFd_);
    std::fclose(answers_);
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
}

void HeadlessProcess::command(const char* kind, std::size_t count) {
    const std::string line = std::string(kind) + " " + std::to_string(count) + "\n";
    if (::write(commandFd_, line.data(), line.size()) != static_cast<ssize_t>(line.size()))
        throw std::runtime_error("a process of headless gateways has ended");
}

HeadlessProcessStatus HeadlessProcess::status() {
    command("status", 0);
    std::string line;
    for (int c; (c = std::fgetc(answers_)) != EOF && c != '\n';) line += static_cast<char>(c);
    if (line.empty()) throw std::runtime_error("a process of headless gateways has ended");
    return json::parse(line).get<HeadlessProcessStatus>();
}

}  // namespace lotuslead::scale
