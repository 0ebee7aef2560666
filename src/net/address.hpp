// Converts an Endpoint to the address structure of the socket calls.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>

#include "../settings/settings.hpp"

namespace lotuslead::net {

inline sockaddr_in socketAddress(const settings::Endpoint& endpoint) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    ::inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr);
    return address;
}

}  // namespace lotuslead::net
