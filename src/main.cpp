#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <optional>
#include <sstream>
#include <string_view>
#include <system_error>
#include <thread>

#include "gateway/gateway.hpp"
#include "net/system_errors.hpp"
#include "platform/service.hpp"
#include "repository/service.hpp"
#include "settings/disk.hpp"

namespace {

using namespace lotuslead;

std::string contentsOf(const char* variable, const char* path) {
    errno = 0;
    std::ifstream file(path);
    std::ostringstream text;
    if (file && text << file.rdbuf()) return text.str();
    const std::string problem = std::string(variable) + ": cannot read '" + path + "'";
    if (net::isResourceShortage(errno)) throw std::system_error(errno, std::generic_category(), problem);
    throw settings::DecodeError(problem);
}

// Before there is a loop: made again, for up to 2 s, while descriptors or memory are short.
template <class Make>
auto retryWhileShort(Make make) {
    constexpr int kTries = 200;
    constexpr std::chrono::milliseconds kWait{10};
    for (int i = 1;; ++i) {
        try {
            return make();
        } catch (const std::system_error& problem) {
            if (i == kTries || !net::isResourceShortage(problem.code().value())) throw;
        }
        std::this_thread::sleep_for(kWait);
    }
}

const char* variable(const char* name) {
    const char* value = std::getenv(name);
    return value != nullptr && *value != '\0' ? value : nullptr;
}

}  // namespace

// LB_CONFIG names the platform's configuration, LB_REPOSITORY that of the repository front; a front whose
// variable is not set is off. Exit codes: 0 stopped as told, 1 could not go on, 2 bad configuration.
// LB_DISK names the file that switches the disk tier on.
int main(int count, char** words) {
    const std::string_view word = count > 1 ? words[1] : "";
    if (word == "--version" || word == "--help") {
        std::puts(word == "--version"
                      ? "lotuslead " LOTUSLEAD_VERSION
                      : "usage: lotuslead, with LB_CONFIG or LB_REPOSITORY set to a file; the "
                        "README has all variables");
        return 0;
    }
    gateway::Gateway::holdSignals();
    try {
        const char* platformFile = variable("LB_CONFIG");
        const char* listening = variable("LB_SOCKET_FD");
        const char* repositoryFile = variable("LB_REPOSITORY");
        if (!platformFile && !repositoryFile) throw settings::DecodeError("variable LB_CONFIG is not set");
        std::optional<settings::Endpoint> operatorAddress;
        if (const char* given = variable("LB_OPERATOR"))
            operatorAddress = settings::readEndpoint(given, "LB_OPERATOR");
        const char* diskFile = variable("LB_DISK");
        const auto disk = [=] { return settings::readDiskConfiguration(contentsOf("LB_DISK", diskFile)); };
        if (diskFile) (void)retryWhileShort(disk);  // a bad file ends the start, whichever front it is for
        gateway::Gateway gateway(operatorAddress, variable("TMPDIR"));
        if (platformFile) {
            gateway.add(retryWhileShort([&] {
                auto service = std::make_unique<platform::Service>(
                    gateway.loop(),
                    [=] { return settings::readConfiguration(contentsOf("LB_CONFIG", platformFile)); },
                    listening ? listening : "");
                if (diskFile) service->useDisk([=] { return disk().platform; });
                return service;
            }));
        }
        if (repositoryFile) {
            gateway.add(retryWhileShort([&] {
                auto service = std::make_unique<repository::Service>(gateway.loop(), [=] {
                    return settings::readRepositoryConfiguration(contentsOf("LB_REPOSITORY", repositoryFile));
                });
                if (diskFile) service->useDisk([=] { return disk().repository; });
                return service;
            }));
        }
        return gateway.run();
    } catch (const settings::DecodeError& problem) {
        std::fprintf(stderr, "lotuslead: bad configuration: %s\n", problem.what());
        return 2;
    } catch (const std::exception& problem) {
        std::fprintf(stderr, "lotuslead: %s\n", problem.what());
        return 1;
    }
}
