#include "service.hpp"

namespace lotuslead::platform {

Service::Service(net::Loop& loop, Source source, const std::string& listening)
    : FrontService(loop, std::move(source), "serving", core::RequestDispatcher::PurgeDuringFetch::serve,
                   {[](const disk::Key&, const core::Payload& payload) { return payload.createdMs > 0; },
                    [](const disk::Metadata&) { return std::uint64_t{0}; }, "tag", false}) {
    if (listening.empty()) return;
    try {
        front_.inherit(net::adoptListeningSocket(listening, configuration_.listen));
    } catch (const settings::DecodeError& problem) {
        throw settings::DecodeError(std::string("variable LB_SOCKET_FD: ") + problem.what());
    }
}

void Service::printFrontCounters(const std::string& name) const {
    const auto& f = front_.counters();
    const auto& s = transport_.counters();
    core::printCounterLine(name, "front",
                           {{"connections", f.connections},
                            {"turned_away", f.rejectedConnections},
                            {"closed_idle", f.closedIdle},
                            {"silent", f.closedSilent},
                            {"half_messages", f.closedMidMessage},
                            {"malformed", f.malformed},
                            {"unusable", f.invalidCalls},
                            {"beyond_bound", f.refusedOverLimit},
                            {"retired", f.closedAsUseless},
                            {"no_room", f.refusedNoMemory},
                            {"cancel_unread", f.refusedUnread},
                            {"dropped", f.droppedAnswers},
                            {"checks", f.checks},
                            {"drained", f.drained},
                            {"drain_refused", f.drainRefused},
                            {"ended_by_client", f.endedByClient},
                            {"reset", f.reset},
                            {"accept_failures", front_.listenerCounters().failures},
                            {"closed_unread", front_.listenerCounters().closedUnread},
                            {"clients", front_.clientCount()}});
    core::printCounterLine(name, "stores",
                           {{"connects", s.connects},
                            {"connect_failures", s.connectFailures},
                            {"resets", s.resets},
                            {"malformed", s.malformed},
                            {"stalled", s.stalled},
                            {"echoes", s.echoes},
                            {"stuck", s.stuck},
                            {"moved_on", s.requeued},
                            {"too_old", s.tooOld},
                            {"late_answers", s.lateAnswers},
                            {"held_back", s.notBegun},
                            {"no_descriptor", s.noDescriptor},
                            {"connections", transport_.connectionCount()},
                            {"known", transport_.storeCount()}});
}

}  // namespace lotuslead::platform
