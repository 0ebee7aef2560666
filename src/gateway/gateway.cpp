#include "gateway.hpp"

#include <sys/signalfd.h>

#include <algorithm>
#include <cerrno>
#include <cinttypes>
#include <cstdio>
#include <system_error>

namespace lotuslead::gateway {

using core::Micros;
using namespace std::chrono_literals;

namespace {

// After SIGTERM connections and requests still come for up to 0.6 s. SIGKILL comes no sooner than the longest
// deadline and this much after it.
constexpr Micros kStillComing = 700ms;
constexpr Micros kLeastDeadline = 3s;
constexpr Micros kBeforeKill = 200ms;

Micros unixAhead(Micros now) {
    const auto unixNow = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Micros>(unixNow) - now;
}

}  // namespace

Gateway::Gateway(settings::Configuration configuration)
    : configuration_(std::move(configuration)),
      unixAhead_(unixAhead(loop_.now())),
      stores_(loop_, configuration_.words),
      decisions_(configuration_.words, configuration_.seed, loop_.now(), unixAhead_),
      requests_(decisions_, stores_),
      front_(loop_, requests_, configuration_) {
    stores_.listen({[this](RequestId request, int attempt) { return requests_.holds(request, attempt); },
                    [this](core::AttemptEnd end) { requests_.ended(loop_.now(), std::move(end)); }});
}

Gateway::~Gateway() {
    if (signalsId_ != 0) loop_.remove(signalsId_, signals_.get());
}

void Gateway::start() {
    std::signal(SIGPIPE, SIG_IGN);
    sigset_t set;
    sigemptyset(&set);
    for (const int number : {SIGTERM, SIGINT, SIGUSR1}) sigaddset(&set, number);
    sigprocmask(SIG_BLOCK, &set, nullptr);
    signals_.reset(::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
    if (!signals_) throw std::system_error(errno, std::generic_category(), "signalfd");
    signalsId_ = loop_.add(signals_.get(), EPOLLIN, *this);

    const settings::BusBatch known = settings::readBatch(configuration_.known);
    std::int64_t offset = known.offset;
    for (const settings::BusEvent& event : known.events) {
        apply(event);
        offset = std::max(offset, event.offset);
    }
    if (configuration_.bus) {
        bus_ = std::make_unique<platform::BusReader>(
            loop_, *configuration_.bus, offset, [this](const settings::BusEvent& event) { apply(event); });
        bus_->start();
    }
    front_.open();
    phase_ = Phase::serving;
    std::fprintf(stderr, "%s: serving on %s:%u\n", configuration_.name.c_str(),
                 configuration_.listen.host.c_str(), configuration_.listen.port);
}

int Gateway::run() {
    start();
    while (phase_ != Phase::stopped) {
        Micros until = requests_.nextTurn();
        if (phase_ == Phase::draining) until = std::min(until, loop_.now() + 20ms);
        loop_.turn(until);
        requests_.turn(loop_.now());
        advance();
    }
    printCounters();
    return 0;
}

void Gateway::drain() {
    if (phase_ != Phase::serving) return;
    phase_ = Phase::draining;
    drainingSince_ = loop_.now();
    front_.leave();
    std::fprintf(stderr, "%s: draining, %zu requests open\n", configuration_.name.c_str(), requests_.open());
}

void Gateway::advance() {
    if (phase_ != Phase::draining) return;
    const Micros passed = loop_.now() - drainingSince_;
    if (passed < kStillComing) return;
    Micros longest = kLeastDeadline;
    for (const ClassSettings& c : configuration_.words.settings.classes)
        longest = std::max(longest, std::chrono::duration_cast<Micros>(c.giveUp));
    const bool overdue = passed >= longest + kStillComing - kBeforeKill;
    if (!overdue && (requests_.open() > 0 || !front_.idle())) return;
    front_.stopListening();
    phase_ = Phase::stopped;
    std::fprintf(stderr, "%s: stopped, %zu requests open\n", configuration_.name.c_str(), requests_.open());
}

void Gateway::apply(const settings::BusEvent& event) {
    if (!event.isList) return decisions_.purge(loop_.now(), event);
    // First the decisions: attempts that end with a store's connections are then not sent to it again.
    decisions_.list(loop_.now(), event);
    stores_.list(event);
}

std::uint32_t Gateway::ready(std::uint32_t) {
    signalfd_siginfo info{};
    while (::read(signals_.get(), &info, sizeof info) == static_cast<ssize_t>(sizeof info)) {
        if (info.ssi_signo == SIGUSR1)
            printCounters();
        else
            drain();
    }
    return 0;
}

void Gateway::printCounters() const {
    const auto& r = requests_.counters();
    const auto& f = front_.counters();
    const auto& s = stores_.counters();
    constexpr const char* names[] = {"served", "error",     "not_taken", "timed_out", "no_connection",
                                     "broken", "cancelled", "not_sent",  "no_copy"};
    const auto line = [&](const char* what,
                          std::initializer_list<std::pair<const char*, std::uint64_t>> all) {
        std::string text = configuration_.name + ": " + what;
        for (const auto& [name, value] : all) text += " " + std::string(name) + "=" + std::to_string(value);
        std::fprintf(stderr, "%s\n", text.c_str());
    };
    line("requests", {{"taken", r.taken},
                      {"served", r.served},
                      {"unchanged", r.unchanged},
                      {"refused", r.refused},
                      {"failed", r.failed},
                      {"gone", r.gone},
                      {"overdue", r.overdue},
                      {"open", requests_.open()}});
    std::string text = configuration_.name + ": attempts sent=" + std::to_string(r.sent);
    for (std::size_t i = 0; i < r.outcomes.size(); ++i)
        text += " " + std::string(names[i]) + "=" + std::to_string(r.outcomes[i]);
    std::fprintf(stderr, "%s\n", text.c_str());
    line("front", {{"connections", f.connections},
                   {"turned_away", f.turnedAway},
                   {"malformed", f.malformed},
                   {"unusable", f.unusable},
                   {"no_room", f.noRoom},
                   {"checks", f.checks},
                   {"clients", front_.clients()}});
    line("stores", {{"connects", s.connects},
                    {"connect_failures", s.connectFailures},
                    {"resets", s.resets},
                    {"malformed", s.malformed},
                    {"late_answers", s.lateAnswers},
                    {"held_back", s.heldBack},
                    {"connections", stores_.connections()}});
    if (bus_) {
        const auto& b = bus_->counters();
        line("bus", {{"polls", b.polls}, {"events", b.events}, {"reconnects", b.reconnects}});
    }
}

}  // namespace lotuslead::gateway
