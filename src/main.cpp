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

std::string readFile(const char* variable, const char* path) {
    errno = 0;
    std::ifstream file(path);
    std::ostringstream text;
    if (file && text << file.rdbuf()) return text.str();
    const std::string problem = std::string(variable) + ": cannot read '" + path + "'";
    if (net::isResourceShortage(errno)) throw std::system_error(errno, std::generic_category(), problem);
    throw settings::DecodeError(problem);
}

// Repeats a call for up to 2 s while descriptors or memory are short; for use before there is a loop.
template <class Make>
auto retryWhileShort(Make make) {
    constexpr int kMaxAttempts = 200;
    constexpr std::chrono::milliseconds kRetryDelay{10};
    for (int i = 1;; ++i) {
        try {
            return make();
        } catch (const std::system_error& problem) {
            if (i == kMaxAttempts || !net::isResourceShortage(problem.code().value())) throw;
        }
        std::this_thread::sleep_for(kRetryDelay);
    }
}

const char* environmentVariable(const char* name) {
    const char* value = std::getenv(name);
    return value != nullptr && *value != '\0' ? value : nullptr;
}

}  // namespace

// Runs the gateway. LB_CONFIG names the platform's configuration file, LB_REPOSITORY that of the repository
// front; a front without its variable is off. LB_DISK names the configuration file of the disk tier.
// Exit codes: 0 after a normal stop, 1 after a fatal error, 2 for a bad configuration.
int main(int argumentCount, char** arguments) {
    const std::string_view argument = argumentCount > 1 ? arguments[1] : "";
    if (argument == "--version" || argument == "--help") {
        std::puts(argument == "--version"
                      ? "lotuslead " LOTUSLEAD_VERSION
                      : "usage: lotuslead, with LB_CONFIG or LB_REPOSITORY set to a file; the "
                        "README has all variables");
        return 0;
    }
    gateway::Gateway::blockSignals();
    try {
        const char* platformFile = environmentVariable("LB_CONFIG");
        const char* socketNumber = environmentVariable("LB_SOCKET_FD");
        const char* repositoryFile = environmentVariable("LB_REPOSITORY");
        if (!platformFile && !repositoryFile) throw settings::DecodeError("variable LB_CONFIG is not set");
        std::optional<settings::Endpoint> operatorAddress;
        if (const char* endpoint = environmentVariable("LB_OPERATOR"))
            operatorAddress = settings::readEndpoint(endpoint, "LB_OPERATOR");
        const char* diskFile = environmentVariable("LB_DISK");
        const auto disk = [=] { return settings::readDiskConfiguration(readFile("LB_DISK", diskFile)); };
        if (diskFile) (void)retryWhileShort(disk);  // a bad file ends the start, for whichever front
        gateway::Gateway gateway(operatorAddress, environmentVariable("TMPDIR"));
        if (platformFile) {
            gateway.add(retryWhileShort([&] {
                auto service = std::make_unique<platform::Service>(
                    gateway.loop(),
                    [=] { return settings::readConfiguration(readFile("LB_CONFIG", platformFile)); },
                    socketNumber ? socketNumber : "");
                if (diskFile) service->useDisk([=] { return disk().platform; });
                return service;
            }));
        }
        if (repositoryFile) {
            gateway.add(retryWhileShort([&] {
                auto service = std::make_unique<repository::Service>(gateway.loop(), [=] {
                    return settings::readRepositoryConfiguration(readFile("LB_REPOSITORY", repositoryFile));
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
