// A non-blocking HTTP/1.1 client for single requests.
#pragma once

#include <functional>
#include <string>

#include "loop.hpp"
#include "stream.hpp"

namespace lotuslead::net {

// `status` is 0 where no complete response came before the timeout.
using ResponseCallback = std::function<void(int status, std::string body)>;
// Sends a request without a body on a connection of its own, and calls back once with the response.
void sendHttpRequest(Loop& loop, const settings::Endpoint& to, const std::string& method,
                     const std::string& target, Micros timeout, ResponseCallback onResponse);

}  // namespace lotuslead::net
