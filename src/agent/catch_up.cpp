#include "catch_up.hpp"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "../net/http_client.hpp"
#include "member_addresses.hpp"

namespace lotuslead::agent {

using nlohmann::json;
using namespace std::chrono_literals;

namespace {

constexpr net::Micros kRequestInterval = 50ms;  // between two requests for the revision
constexpr net::Micros kMembershipInterval = 1s;
constexpr net::Micros kCallTimeout = 1s;

unsigned long long printable(std::uint64_t number) { return number; }

long long toMs(net::Micros time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

// The revision in the answer to a linearizable read of documents.
std::optional<config::Revision> readRevision(const std::string& body) {
    const json answer = json::parse(body, nullptr, false);
    if (!answer.is_object() || !answer.contains("current") || answer["current"] != true) return {};
    if (!answer.contains("revision") || !answer["revision"].is_number_unsigned()) return {};
    return answer["revision"].get<config::Revision>();
}

struct MemberList {
    std::uint64_t leader = 0;
    std::set<std::uint64_t> ids;
};
std::optional<MemberList> readMembers(const std::string& body) {
    const json answer = json::parse(body, nullptr, false);
    if (!answer.is_object() || !answer.contains("members") || !answer["members"].is_array()) return {};
    MemberList list;
    for (const json& member : answer["members"]) {
        if (!member.is_object() || !member.contains("id") || !member["id"].is_number_unsigned()) return {};
        list.ids.insert(member["id"].get<std::uint64_t>());
        if (member.contains("leads") && member["leads"] == true)
            list.leader = member["id"].get<std::uint64_t>();
    }
    return list;
}

}  // namespace

CatchUp::CatchUp(net::Loop& loop, const AgentConfiguration& configuration, const config::Store& store,
                 Consensus& consensus, std::function<void()> stateChanged)
    : loop_(loop),
      configuration_(configuration),
      store_(store),
      consensus_(consensus),
      stateChanged_(std::move(stateChanged)),
      electionTimeout_(std::chrono::milliseconds{configuration.raft.electionTimeoutMs}),
      lastPollAt_(loop.now()),
      lastContactAt_(loop.now()) {
    beginWait();
}

const char* CatchUp::description() const {
    switch (state_) {
        case State::waiting:
            return "waiting for the agreed configuration";
        case State::caughtUp:
            return "agreed";
        default:
            return "not a member of the cluster";
    }
}

net::Micros CatchUp::waitingFor() const {
    return state_ == State::waiting ? loop_.now() - waitingSince_ : net::Micros{0};
}

std::optional<std::chrono::milliseconds> CatchUp::age() const {
    if (caughtUp()) return std::chrono::milliseconds{consensus_.leaderContactAgeMs()};
    if (counters_.caughtUp == 0) return {};
    return std::chrono::duration_cast<std::chrono::milliseconds>(loop_.now() - lastCurrentAt_);
}

// A leader steps down, and a follower becomes a candidate, after two election timeouts at most. An agent that
// was removed does neither.
bool CatchUp::inContact() const {
    const std::chrono::milliseconds age{consensus_.leaderContactAgeMs()};
    return consensus_.leader() != 0 && age <= 2 * electionTimeout_;
}

void CatchUp::poll() {
    const net::Micros now = loop_.now();
    // A process that was suspended still counts on the leader from before.
    const bool suspended = now - std::exchange(lastPollAt_, now) > electionTimeout_;
    const bool contact = inContact();
    if (state_ == State::caughtUp) lastCurrentAt_ = lastContactAt_;
    if (contact) lastContactAt_ = now;
    if (!contact || suspended) contactLost();
    if (state_ == State::caughtUp) return;
    if (contact)
        requestRevision();
    else
        askWhetherMember();
    if (awaitedRevision_ && store_.revision() >= *awaitedRevision_) endWait();
}

// More may have been agreed since the revision became known, or was asked for.
void CatchUp::contactLost() {
    ++contactLosses_;
    awaitedRevision_.reset();
    if (state_ == State::caughtUp) beginWait();
}

void CatchUp::enter(State state) {
    if (std::exchange(state_, state) != state) stateChanged_();
}

void CatchUp::beginWait() {
    ++counters_.waits;
    waitingSince_ = loop_.now();
    awaitedRevision_.reset();
    nextRequestAt_ = waitingSince_;
    std::fprintf(stderr, "agent: waiting for the agreed configuration; revision %llu is here\n",
                 printable(store_.revision()));
    enter(State::waiting);
}

void CatchUp::endWait() {
    ++counters_.caughtUp;
    counters_.lastWait = loop_.now() - waitingSince_;
    std::fprintf(stderr, "agent: the agreed configuration is here after %lld ms, revision %llu\n",
                 toMs(counters_.lastWait), printable(store_.revision()));
    enter(State::caughtUp);
}

// ----- the awaited revision -----

void CatchUp::requestRevision() {
    if (awaitedRevision_ || revisionRequested_ || loop_.now() < nextRequestAt_) return;
    nextRequestAt_ = loop_.now() + kRequestInterval;
    if (consensus_.isLeader()) return confirmByBarrier();
    // An address that is not known yet comes with the log.
    if (const auto control = endpointOf(consensus_.leader())) askLeader(*control);
}

void CatchUp::confirmByBarrier() {
    revisionRequested_ = true;
    consensus_.barrier([this, contactLosses = contactLosses_](bool holds) {
        revisionKnown(contactLosses, holds ? std::optional(store_.revision()) : std::nullopt);
    });
}

void CatchUp::askLeader(const settings::Endpoint& control) {
    revisionRequested_ = true;
    const std::string target = "/config/" + (kAgentPrefix + std::to_string(configuration_.id));
    net::sendHttpRequest(loop_, control, "GET", target, kCallTimeout,
                         [this, contactLosses = contactLosses_](int, const std::string& body) {
                             revisionKnown(contactLosses, readRevision(body));
                         });
}

// An answer to a request from before a loss of contact says nothing about what was agreed since.
void CatchUp::revisionKnown(std::uint64_t contactLosses, std::optional<config::Revision> revision) {
    revisionRequested_ = false;
    if (contactLosses == contactLosses_ && inContact()) awaitedRevision_ = revision;
}

// ----- membership -----

void CatchUp::askWhetherMember() {
    if (pendingMembershipRequests_ > 0 || loop_.now() < nextMembershipRequestAt_) return;
    nextMembershipRequestAt_ = loop_.now() + kMembershipInterval;
    for (const std::uint64_t agent : otherAgents()) {
        const auto control = endpointOf(agent);
        if (!control) continue;
        ++pendingMembershipRequests_;
        net::sendHttpRequest(loop_, *control, "GET", "/members", kCallTimeout,
                             [this, agent](int status, const std::string& body) {
                                 --pendingMembershipRequests_;
                                 membersReceived(agent, status, body);
                             });
    }
}

// Only the leader's list counts, since another agent may itself lack changes.
void CatchUp::membersReceived(std::uint64_t asked, int status, const std::string& body) {
    if (status != 200 || state_ == State::caughtUp || inContact()) return;
    const auto list = readMembers(body);
    if (!list || list->leader != asked) return;
    const bool listed = list->ids.count(configuration_.id) > 0;
    if (listed && state_ == State::notMember) return beginWait();
    if (listed || state_ == State::notMember) return;
    std::fprintf(stderr,
                 "agent: not a member of the cluster, says its leader, agent %llu; no instances run here\n",
                 printable(asked));
    enter(State::notMember);
}

std::optional<settings::Endpoint> CatchUp::endpointOf(std::uint64_t agent) const {
    const std::string address = controlAddressOf(store_, configuration_, agent);
    if (address.empty()) return {};
    try {
        return settings::readEndpoint(address, "control");
    } catch (const settings::DecodeError&) {
        return {};
    }
}

std::vector<std::uint64_t> CatchUp::otherAgents() const {
    std::set<std::uint64_t> ids;
    for (const Member& member : configuration_.members) ids.insert(member.id);
    for (const auto& member : consensus_.members()) ids.insert(member.id);
    ids.erase(configuration_.id);
    return {ids.begin(), ids.end()};
}

}  // namespace lotuslead::agent
