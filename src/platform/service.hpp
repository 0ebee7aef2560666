// The platform's front with everything behind it, as a service of the gateway.
#pragma once

#include "front.hpp"
#include "front_service.hpp"
#include "store_connections.hpp"

namespace lotuslead::platform {

class Service : public FrontService<settings::Configuration, Front, StoreConnections> {
public:
    // `listening`: descriptor number of an inherited listening socket; empty: a new socket is opened.
    Service(net::Loop& loop, Source source, const std::string& listening);

private:
    void printFrontCounters(const std::string& name) const override;
};

}  // namespace lotuslead::platform
