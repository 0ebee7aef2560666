// A gateway in a fleet of 300, where the system refuses optional system calls.
#include <linux/filter.h>
#include <linux/seccomp.h>
#include <sys/syscall.h>

#include <cstddef>

#include "loopback.hpp"

namespace {

using namespace lotuslead::testing;

// Denies Unix sockets, splice, sendfile and io_uring (ENOSYS) to this thread and all that it starts.
void installSeccompFilter() {
    constexpr auto at = [](std::size_t offset) { return static_cast<std::uint32_t>(offset); };
    constexpr std::uint32_t refuse = SECCOMP_RET_ERRNO | ENOSYS;
    sock_filter filter[] = {
        BPF_STMT(BPF_LD | BPF_W | BPF_ABS, at(offsetof(seccomp_data, nr))),
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYS_splice, 6, 0),
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYS_sendfile, 5, 0),
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYS_io_uring_setup, 4, 0),
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYS_socket, 0, 2),
        BPF_STMT(BPF_LD | BPF_W | BPF_ABS, at(offsetof(seccomp_data, args[0]))),
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, AF_UNIX, 1, 0),
        BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW),
        BPF_STMT(BPF_RET | BPF_K, refuse),
    };
    const sock_fprog program{static_cast<unsigned short>(std::size(filter)), filter};
    assert(::prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) == 0);
    assert(::prctl(PR_SET_SECCOMP, SECCOMP_MODE_FILTER, &program, 0, 0) == 0);
    assert(::socket(AF_UNIX, SOCK_STREAM, 0) < 0 && errno == ENOSYS);
    assert(::syscall(SYS_sendfile, -1, -1, nullptr, 1) < 0 && errno == ENOSYS);  // EBADF without the filter
}

// The gateway starts, logs once what is disabled, serves, and keeps its configuration when SIGHUP brings a
// broken file.
void aLargeFleetGatewayServesWithoutTheRefusedCalls() {
    Fleet fleet;
    Peer cache(store(serving("bytes")));
    json settings = configuration(fleet.with({host("cache-1", cache.address())}));
    settings["settings"]["balancers"] = 300;
    std::thread refused([&] {
        installSeccompFilter();
        Program program(settings, "LB_CONFIG", 1024, {{"TMPDIR", "/tmp"}});
        Connection client(program.port());
        call(client, "1");
        assert((client.readResp() == std::vector<std::string>{"1", "SERVED", "-", "bytes"}));
        const std::string warning = "lotuslead: no meeting place for a successor: Function not implemented\n";
        const std::string log = program.log();
        assert(log.find(warning) != std::string::npos && log.find(warning) == log.rfind(warning));

        json broken = settings;
        broken["settings"]["balancers"] = "many";
        program.rewrite(broken.dump());
        program.signal(SIGHUP);
        program.awaitLog("t1: configuration not taken, the old one stays: ");
        program.awaitLog("balancers");
        call(client, "2");
        assert((client.readResp() == std::vector<std::string>{"2", "SERVED", "-", "bytes"}));
        program.signal(SIGTERM);
        assert(program.exitCode() == 0);
    });
    refused.join();
}

}  // namespace

int main() { aLargeFleetGatewayServesWithoutTheRefusedCalls(); }
