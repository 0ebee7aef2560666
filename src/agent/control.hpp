// HTTP control address of an agent: documents, history, members and instances. Changes and linearizable
// reads are served by the leader; other agents redirect to it (307).
#pragma once

#include <list>
#include <string>

#include "../config/validation.hpp"
#include "../net/http_server.hpp"
#include "../net/loop.hpp"
#include "catch_up.hpp"
#include "request_target.hpp"
#include "settings.hpp"
#include "supervisor.hpp"

namespace lotuslead::agent {

class Control {
public:
    Control(net::Loop& loop, const AgentConfiguration& configuration, const config::Store& store,
            Consensus& consensus, const CatchUp& catchUp, Supervisor& supervisor);
    ~Control();

    void changed();  // call when the store has changed; answers pending watches

private:
    using Reply = net::HttpServer::SendResponse;
    struct Watch {
        config::Revision from = 0;
        std::string prefix;
        Reply reply;
        net::Loop::TimerKey timer;
    };

    void handle(const net::HttpHead& head, const std::string& body, Reply reply);
    void readDocuments(const net::HttpHead& head, const RequestTarget& target, const Reply& reply);
    void history(const RequestTarget& target, const Reply& reply);
    void watch(const RequestTarget& target, Reply reply);
    bool answerWatch(const Watch& watch, bool expired);
    void commitTransaction(const net::HttpHead& head, const std::string& body, const Reply& reply);
    void openSession(const net::HttpHead& head, const Reply& reply);
    void propose(const net::HttpHead& head, const config::Command& command, const Reply& reply);
    void members(const net::HttpHead& head, const std::string& rest, const std::string& body,
                 const Reply& reply);
    void instances(const net::HttpHead& head, const std::string& rest, const std::string& body,
                   const Reply& reply);
    // The store must include everything that is agreed.
    void changeInstance(const std::string& method, const std::string& name, const std::string& body,
                        const Reply& reply);
    // Forwards a request to the operator address of an instance; served by the agent that runs it.
    void forwardToOperatorAddress(const std::string& name, const std::string& operation,
                                  const net::HttpHead& head, const Reply& reply);
    void redirectToLeader(const std::string& target, const Reply& reply);
    nlohmann::json documents(const RequestTarget& target) const;
    nlohmann::json status();
    nlohmann::json ageMs() const;  // of the store's content; null: not known

    net::Loop& loop_;
    const AgentConfiguration& configuration_;
    const config::Store& store_;
    Consensus& consensus_;
    const CatchUp& catchUp_;
    Supervisor& supervisor_;
    std::list<Watch> watches_;
    net::HttpServer server_;
};

}  // namespace lotuslead::agent
