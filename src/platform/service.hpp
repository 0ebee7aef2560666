// The platform's side of the gateway.
#pragma once

#include "front.hpp"
#include "front_service.hpp"
#include "store_connections.hpp"

namespace lotuslead::platform {

class Service : public FrontService<settings::Configuration, Front, StoreConnections> {
public:
    // `listening`: the number of an inherited socket for clients; empty: it opens its own.
    Service(net::Loop& loop, Source source, const std::string& listening);

private:
    void printOwnCounters(const std::string& name) const override;
};

}  // namespace lotuslead::platform
