// One HTTP/1.1 call to another program, without waiting for it.
#pragma once

#include <functional>
#include <string>

#include "loop.hpp"
#include "stream.hpp"

namespace lotuslead::net {

// Status 0: no whole answer came in time.
using ResponseCallback = std::function<void(int status, std::string body)>;
void sendHttpRequest(Loop& loop, const settings::Endpoint& to, const std::string& method,
                     const std::string& target, Micros timeout, ResponseCallback onResponse);

}  // namespace lotuslead::net
