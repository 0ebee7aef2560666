#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <sstream>

#include "gateway/gateway.hpp"

// Exit codes: 0 stopped as told, 1 could not go on, 2 bad configuration.
int main() {
    using namespace lotuslead;
    try {
        const char* path = std::getenv("LB_CONFIG");
        if (path == nullptr || *path == '\0') throw settings::Malformed("variable LB_CONFIG is not set");
        std::ifstream file(path);
        if (!file) throw settings::Malformed("LB_CONFIG: cannot open '" + std::string(path) + "'");
        std::ostringstream text;
        text << file.rdbuf();
        gateway::Gateway gateway(settings::readConfiguration(text.str()));
        return gateway.run();
    } catch (const settings::Malformed& problem) {
        std::fprintf(stderr, "lotuslead: bad configuration: %s\n", problem.what());
        return 2;
    } catch (const std::exception& problem) {
        std::fprintf(stderr, "lotuslead: %s\n", problem.what());
        return 1;
    }
}
