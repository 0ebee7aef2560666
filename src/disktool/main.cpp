// lotuslead_disk: inspects the folder of a disk tier, and changes it while no process holds it.
// Exit codes: 0 done, 1 damage was found, 2 bad arguments or not a folder of a tier, 3 a process holds it.
#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "../disk/inspect.hpp"
#include "../support/hash.hpp"

namespace {

using namespace lotuslead;
using nlohmann::json;

enum Exit { kDone = 0, kDamage = 1, kUnusable = 2, kFolderHeld = 3 };

struct Arguments {
    std::string folder, object, prefix, output = "table";
    std::optional<std::int64_t> group, atMs;
    bool all = false, ignoreTables = false;
    std::size_t maxLines = 100;
    std::uint32_t segmentMb = 64;
};

int reportFailure(const std::string& problem, bool lockHeld = false) {
    std::fprintf(stderr, "lotuslead_disk: %s%s\n", problem.c_str(),
                 lockHeld ? "; stop it first, or purge over the event bus" : "");
    return lockHeld ? kFolderHeld : kUnusable;
}

// Prints named fields, as JSON or as a table.
void print(const Arguments& arguments, const json& fields) {
    if (arguments.output == "json") {
        std::printf("%s\n", fields.dump().c_str());
        return;
    }
    for (const auto& [name, value] : fields.items())
        std::printf("%-14s %s\n", name.c_str(),
                    value.is_string() ? value.get<std::string>().c_str() : value.dump().c_str());
}

int stat(const Arguments& arguments, disk::FileCalls& calls) {
    const disk::Survey found = disk::survey(calls, arguments.folder, !arguments.ignoreTables);
    if (!found.problem.empty()) return reportFailure(found.problem);
    std::uint64_t bytes = 0, live = 0;
    std::size_t parts = 0, torn = 0, tables = 0, bad = 0;
    for (const auto& segment : found.segments) {
        bytes += segment.fileBytes;
        live += segment.liveBytes;
        parts += segment.parts;
        torn += segment.tornTail;
        tables += segment.fromTable;
        bad += !segment.problem.empty();
    }
    std::int64_t watermarkMs = 0;
    for (const disk::PurgeEntry& entry : found.entries)
        if (entry.kind == disk::PurgeEntry::Kind::watermark) watermarkMs = std::max(watermarkMs, entry.atMs);
    print(arguments, {{"folder", arguments.folder},
                      {"held", found.lockHeld},
                      {"segments", found.segments.size()},
                      {"tables", tables},
                      {"bytes", bytes},
                      {"records", parts},
                      {"live", found.live.size()},
                      {"live_bytes", live},
                      {"superseded", found.superseded},
                      {"purged", found.purged},
                      {"torn_tails", torn},
                      {"unreadable", bad},
                      {"marks", found.entries.size()},
                      {"marks_damaged", found.logDamaged},
                      {"floor_ms", watermarkMs},
                      {"bus_position", found.busPosition ? json(*found.busPosition) : json("none")}});
    return kDone;
}

int list(const Arguments& arguments, disk::FileCalls& calls) {
    const disk::Survey found = disk::survey(calls, arguments.folder, !arguments.ignoreTables);
    if (!found.problem.empty()) return reportFailure(found.problem);
    std::size_t shown = 0;
    const bool table = arguments.output == "table";
    if (table)
        std::printf("%-8s %10s %14s %8s %8s %s\n", "part", "bytes", "minted_ms", "group", "segment",
                    "object");
    disk::listParts(calls, arguments.folder, found, [&](const disk::ListedPart& listed) {
        if (listed.purged || listed.key.object.rfind(arguments.prefix, 0) != 0) return true;
        if (table)
            std::printf("%-8lld %10llu %14lld %8lld %8u %s\n", static_cast<long long>(listed.key.part),
                        static_cast<unsigned long long>(listed.bodyBytes),
                        static_cast<long long>(listed.part.createdMs),
                        static_cast<long long>(listed.key.group), listed.part.location.segment,
                        listed.key.object.c_str());
        else
            std::printf("%s\n", json{{"object", listed.key.object},
                                     {"class", listed.key.className},
                                     {"part", listed.key.part},
                                     {"group", listed.key.group},
                                     {"bytes", listed.bodyBytes},
                                     {"minted_ms", listed.part.createdMs},
                                     {"segment", listed.part.location.segment}}
                                    .dump()
                                    .c_str());
        return ++shown < arguments.maxLines;
    });
    return kDone;
}

int verify(const Arguments& arguments, disk::FileCalls& calls) {
    // Always scans the segments: their tables are not what is to be verified.
    const disk::Survey found = disk::survey(calls, arguments.folder, false);
    if (!found.problem.empty()) return reportFailure(found.problem);
    const disk::VerifyResult result = disk::verify(calls, arguments.folder, found);
    std::size_t torn = 0, unreadable = result.unreadable;
    for (const auto& segment : found.segments) {
        torn += segment.tornTail;
        unreadable += !segment.problem.empty();
    }
    for (const std::string& problem : result.problems) std::fprintf(stderr, "%s\n", problem.c_str());
    print(arguments, {{"records", result.records},
                      {"bytes", result.bytes},
                      {"damaged", result.damaged},
                      {"unreadable", unreadable},
                      {"torn_tails", torn},
                      {"marks_damaged", found.logDamaged},
                      {"held", found.lockHeld}});
    // While a process holds the folder, an incomplete tail is a record that is being written.
    const bool bad =
        result.damaged > 0 || unreadable > 0 || found.logDamaged || (torn > 0 && !found.lockHeld);
    return bad ? kDamage : kDone;
}

int purge(const Arguments& arguments, disk::FileCalls& calls) {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const std::int64_t at =
        arguments.atMs.value_or(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    std::vector<disk::PurgeEntry> entries;
    using Kind = disk::PurgeEntry::Kind;
    if (!arguments.object.empty()) entries.push_back({Kind::object, fingerprint(arguments.object), at});
    if (arguments.group) entries.push_back({Kind::group, static_cast<std::uint64_t>(*arguments.group), at});
    if (arguments.all) entries.push_back({Kind::watermark, 0, at});
    if (entries.empty()) return reportFailure("purge needs --object, --group or --all");
    const disk::ChangeResult result = disk::addPurges(calls, arguments.folder, entries);
    if (!result.problem.empty()) return reportFailure(result.problem, result.lockHeld);
    print(arguments, {{"marks", entries.size()}, {"at_ms", at}});
    return kDone;
}

int compact(const Arguments& arguments, disk::FileCalls& calls) {
    const disk::ChangeResult result =
        disk::compact(calls, arguments.folder, arguments.segmentMb * std::uint32_t{1 << 20});
    if (!result.problem.empty()) return reportFailure(result.problem, result.lockHeld);
    print(arguments, {{"bytes_before", result.bytesBefore}, {"bytes_after", result.bytesAfter}});
    return kDone;
}

}  // namespace

int main(int argc, char** argv) {
    Arguments arguments;
    CLI::App app{"Inspects the folder of lotuslead's disk tier, and changes it while no process holds it."};
    app.set_version_flag("--version", "lotuslead_disk " LOTUSLEAD_VERSION);
    app.require_subcommand(1);
    app.footer(
        "stat, list and verify change nothing and may run beside a gateway. purge and compact need the "
        "folder\n"
        "for themselves. Exit codes: 0 done, 1 damage was found, 2 bad arguments or folder, 3 a process "
        "holds it.");
    const auto command = [&](const char* name, const char* what) {
        CLI::App* sub = app.add_subcommand(name, what);
        sub->add_option("folder", arguments.folder, "folder of the disk tier")->required();
        sub->add_option("--output", arguments.output, "output format")
            ->check(CLI::IsMember({"table", "json"}));
        return sub;
    };
    CLI::App* statCommand = command("stat", "print statistics of the folder");
    CLI::App* listCommand = command("list", "list the parts that a gateway would serve after a start");
    CLI::App* verifyCommand = command("verify", "read every part and verify its checksums");
    CLI::App* purgeCommand = command("purge", "invalidate copies that are as old as the given time or older");
    CLI::App* compactCommand = command("compact", "rewrite live parts into new segments and drop the rest");
    for (CLI::App* sub : {statCommand, listCommand})
        sub->add_flag("--walk", arguments.ignoreTables, "scan each segment instead of reading its table");
    listCommand->add_option("--prefix", arguments.prefix, "only objects whose names start with this");
    listCommand->add_option("--most", arguments.maxLines, "maximum number of lines")
        ->check(CLI::PositiveNumber);
    purgeCommand->add_option("--object", arguments.object, "name of the object");
    purgeCommand->add_option("--group", arguments.group, "number of the group");
    purgeCommand->add_flag("--all", arguments.all, "all objects");
    purgeCommand->add_option("--at", arguments.atMs, "time in Unix milliseconds; default: now");
    compactCommand->add_option("--segment-mb", arguments.segmentMb, "size of a segment in MiB")
        ->check(CLI::Range(1, 1024));
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& problem) {
        return app.exit(problem) == 0 ? kDone : kUnusable;
    }
    disk::FileCalls calls;
    if (statCommand->parsed()) return stat(arguments, calls);
    if (listCommand->parsed()) return list(arguments, calls);
    if (verifyCommand->parsed()) return verify(arguments, calls);
    if (purgeCommand->parsed()) return purge(arguments, calls);
    return compact(arguments, calls);
}
