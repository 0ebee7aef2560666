// The agent's program: takes part in consensus on the shared configuration, serves it, and runs the
// instances that are assigned to this agent.
#include <sys/stat.h>

#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <optional>
#include <sstream>
#include <system_error>
#include <utility>

#include "../net/http_client.hpp"
#include "../net/signals.hpp"
#include "catch_up.hpp"
#include "control.hpp"
#include "event_feed.hpp"
#include "instances.hpp"

namespace {

using namespace lotuslead;
using namespace lotuslead::agent;

std::string readFile(const std::string& path) {
    std::ifstream file(path);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) throw settings::DecodeError("cannot read '" + path + "'");
    return text.str();
}

std::string ensureFolder(const AgentConfiguration& configuration, const char* name) {
    ::mkdir(configuration.folder.c_str(), 0755);
    std::string path = configuration.folder + "/" + name;
    if (::mkdir(path.c_str(), 0755) != 0 && errno != EEXIST)
        throw settings::DecodeError("field 'folder': cannot create '" + path + "'");
    return path;
}

// Ties the folder to one agent of one cluster. Another agent would start with the wrong Raft log there.
void claimFolder(const AgentConfiguration& configuration) {
    ensureFolder(configuration, "raft");
    const std::string path = configuration.folder + "/cluster";
    const std::string ownLine = configuration.cluster + " " + std::to_string(configuration.id) + "\n";
    std::ifstream file(path);
    std::ostringstream text;
    if (file) text << file.rdbuf();
    std::string owner = text.str();
    if (owner == ownLine) return;
    if (!owner.empty() && owner.back() == '\n') {
        owner.pop_back();
        throw settings::DecodeError("field 'folder': it belongs to cluster and agent '" + owner + "'");
    }
    // No claim yet, or a partial one because the disk was full.
    std::ofstream claim(path);
    claim << ownLine;
    if (!claim.flush()) throw StorageUnavailable("cannot write '" + path + "'");
}

class Agent : private net::Handler {
public:
    enum class Phase { running, stopping, stopped };

    explicit Agent(AgentConfiguration configuration)
        : configuration_(std::move(configuration)),
          signals_(watchSignals()),
          signalsHandler_(loop_.add(signals_.get(), EPOLLIN, *this)),
          supervisor_(loop_, configuration_.program, ensureFolder(configuration_, "instances")),
          consensus_(loop_, configuration_.self(),
                     configuration_.join ? std::vector<Member>{} : configuration_.members,
                     ensureFolder(configuration_, "raft"), configuration_.raftListen, configuration_.raft,
                     store_, [this] { changed(); }),
          catchUp_(loop_, configuration_, store_, consensus_, [this] { changed(); }),
          control_(loop_, configuration_, store_, consensus_, catchUp_, supervisor_) {
        if (configuration_.bus) feed_.emplace(loop_, *configuration_.bus, store_, catchUp_);
    }
    ~Agent() override { loop_.remove(signalsHandler_, signals_.get()); }

    int run() {
        const Member& self = configuration_.self();
        std::fprintf(stderr, "agent %llu: control on %s, raft on %s\n",
                     static_cast<unsigned long long>(self.id), self.control.c_str(), self.raft.c_str());
        if (feed_) std::fprintf(stderr, "agent: gateways read at port %u\n", feed_->port());
        while (phase_ != Phase::stopped) {
            loop_.turn(consensus_.nextPollTime());
            consensus_.poll();
            catchUp_.poll();
            if (phase_ == Phase::stopping && supervisor_.empty()) phase_ = Phase::stopped;
        }
        return 0;
    }

private:
    void changed() {
        if (phase_ == Phase::running) superviseInstances();
        if (feed_) feed_->changed();
        control_.changed();
    }
    // Acts on the store only when nothing agreed on is missing there: an instance may have been moved to
    // another agent since. Until then what runs goes on.
    void superviseInstances() {
        if (catchUp_.state() == CatchUp::State::notMember) {
            suppliedRevision_.reset();
            return supervisor_.setInstances({}, configuration_.id);
        }
        if (!catchUp_.caughtUp() || suppliedRevision_ == store_.revision()) return;
        suppliedRevision_ = store_.revision();
        supervisor_.setInstances(instancesOf(store_), configuration_.id);
    }
    static net::Descriptor watchSignals() {
        std::signal(SIGPIPE, SIG_IGN);
        sigset_t set;
        sigemptyset(&set);
        for (const int number : {SIGTERM, SIGINT, SIGCHLD}) sigaddset(&set, number);
        sigprocmask(SIG_BLOCK, &set, nullptr);
        return net::watchSignals(set);
    }
    std::uint32_t ready(std::uint32_t) override {
        net::readSignals(signals_, [this](int number) {
            if (number == SIGCHLD || phase_ != Phase::running) return;
            phase_ = Phase::stopping;
            supervisor_.stopAll();
        });
        supervisor_.reap();  // one signal may stand for several ended children
        return 0;
    }

    AgentConfiguration configuration_;
    net::Loop loop_;
    net::Descriptor signals_;
    net::Loop::HandlerId signalsHandler_;
    Phase phase_ = Phase::running;
    config::Store store_;
    std::optional<config::Revision> suppliedRevision_;  // of the instances that the supervisor was given
    Supervisor supervisor_;
    Consensus consensus_;
    CatchUp catchUp_;
    Control control_;
    std::optional<EventFeed> feed_;
};

// Waits before the next attempt to use the folder; returns false if a signal asks to stop.
bool waitForStorage() {
    constexpr timespec kRetryInterval{0, 250'000'000};
    sigset_t set;
    sigemptyset(&set);
    for (const int number : {SIGTERM, SIGINT}) sigaddset(&set, number);
    sigprocmask(SIG_BLOCK, &set, nullptr);
    return ::sigtimedwait(&set, nullptr, &kRetryInterval) < 0;
}

int run(const AgentConfiguration& configuration) {
    bool reported = false;
    do {
        try {
            claimFolder(configuration);
            return Agent(configuration).run();
        } catch (const StorageUnavailable& problem) {
            if (!std::exchange(reported, true))
                std::fprintf(stderr, "agent: its folder is not to be had: %s; trying again\n",
                             problem.what());
        }
    } while (waitForStorage());
    return 0;
}

// For a cluster whose majority is permanently lost. Refuses if any member answers, since that one might
// belong to a majority.
int recoverAlone(const AgentConfiguration& configuration) {
    net::Loop loop;
    std::size_t reached = 0, pendingCalls = 0;
    for (const Member& m : configuration.members) {
        ++pendingCalls;
        net::sendHttpRequest(loop, settings::readEndpoint(m.control, "control"), "GET", "/status",
                             std::chrono::seconds{2}, [&](int status, const std::string&) {
                                 reached += status != 0;
                                 --pendingCalls;
                             });
    }
    while (pendingCalls > 0) loop.turn(loop.now() + std::chrono::milliseconds{100});
    if (reached > 0) {
        std::fprintf(stderr,
                     "lotuslead_agent: %zu of %zu agents can be reached; stop all of them, including "
                     "this one, or start the others\n",
                     reached, configuration.members.size());
        return 1;
    }
    Consensus::recoverAlone(configuration.self(), configuration.folder + "/raft");
    std::fprintf(
        stderr,
        "lotuslead_agent: agent %llu is now the only member of its cluster; add the other agents again\n",
        static_cast<unsigned long long>(configuration.id));
    return 0;
}

constexpr const char* kUsage =
    "usage: lotuslead_agent CONFIGURATION\n"
    "       lotuslead_agent --recover-alone CONFIGURATION   a majority is lost for good: go on with this log "
    "alone\n";

}  // namespace

// Exit codes: 0 stopped by a signal, 1 failure, 2 bad arguments or configuration.
int main(int argumentCount, char** arguments) {
    const std::string first = argumentCount > 1 ? arguments[1] : "";
    if (first == "--help" || first == "--version") {
        std::fputs(first == "--help" ? kUsage : "lotuslead_agent " LOTUSLEAD_VERSION "\n", stdout);
        return 0;
    }
    const bool recoverAloneWanted = first == "--recover-alone";
    if (argumentCount != (recoverAloneWanted ? 3 : 2)) {
        std::fputs(kUsage, stderr);
        return 2;
    }
    try {
        const AgentConfiguration configuration =
            readAgentConfiguration(readFile(arguments[argumentCount - 1]));
        if (!recoverAloneWanted) return run(configuration);
        claimFolder(configuration);
        return recoverAlone(configuration);
    } catch (const settings::DecodeError& problem) {
        std::fprintf(stderr, "lotuslead_agent: bad configuration: %s\n", problem.what());
        return 2;
    } catch (const std::exception& problem) {
        std::fprintf(stderr, "lotuslead_agent: %s\n", problem.what());
        return 1;
    }
}
