// The gateway's service for package repositories: its front, decisions and upstream connections.
#pragma once

#include "../platform/front_service.hpp"
#include "front.hpp"
#include "upstreams.hpp"

namespace lotuslead::repository {

class Service : public platform::FrontService<settings::RepositoryConfiguration, Front, Upstreams> {
public:
    Service(net::Loop& loop, Source source);

private:
    void printFrontCounters(const std::string& name) const override;
};

}  // namespace lotuslead::repository
