// lotuslead_disk: looks into the folder of a disk tier, and changes it where no process holds it.
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

int reportFailure(const std::string& problem, bool busy = false) {
    std::fprintf(stderr, "lotuslead_disk: %s%s\n", problem.c_str(),
                 busy ? "; stop it first, or purge by the event bus" : "");
    return busy ? kFolderHeld : kUnusable;
}

// A row of fields, as JSON or as lines that people read.
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
                      {"held", found.held},
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
    // Never by the tables: they are not what is verified.
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
                      {"held", found.held}});
    // A tail in the making is none that is torn.
    const bool bad = result.damaged > 0 || unreadable > 0 || found.logDamaged || (torn > 0 && !found.held);
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
    if (!result.problem.empty()) return reportFailure(result.problem, result.busy);
    print(arguments, {{"marks", entries.size()}, {"at_ms", at}});
    return kDone;
}

int compact(const Arguments& arguments, disk::FileCalls& calls) {
    const disk::ChangeResult result =
        disk::compact(calls, arguments.folder, arguments.segmentMb * std::uint32_t{1 << 20});
    if (!result.problem.empty()) return reportFailure(result.problem, result.busy);
    print(arguments, {{"bytes_before", result.bytesBefore}, {"bytes_after", result.bytesAfter}});
    return kDone;
}

}  // namespace

int main(int argc, char** argv) {
    Arguments arguments;
    CLI::App app{"Looks into the folder of lotuslead's disk tier, and changes it where no process holds it."};
    app.set_version_flag("--version", "lotuslead_disk " LOTUSLEAD_VERSION);
    app.require_subcommand(1);
    app.footer(
        "stat, list and verify change nothing and may run beside a gateway. purge and compact need the "
        "folder\n"
        "for themselves. Exit codes: 0 done, 1 damage was found, 2 bad arguments or folder, 3 a process "
        "holds it.");
    const auto command = [&](const char* name, const char* what) {
        CLI::App* sub = app.add_subcommand(name, what);
        sub->add_option("folder", arguments.folder, "the folder of the tier")->required();
        sub->add_option("--output", arguments.output, "how to print")
            ->check(CLI::IsMember({"table", "json"}));
        return sub;
    };
    CLI::App* statCommand = command("stat", "what is in it, in figures");
    CLI::App* listCommand = command("list", "the parts that a start would serve");
    CLI::App* verifyCommand = command("verify", "read every part and look at its checksums");
    CLI::App* purgeCommand = command("purge", "nothing of then or older is served any more");
    CLI::App* compactCommand = command("compact", "write what lives into fresh segments, drop the rest");
    for (CLI::App* sub : {statCommand, listCommand})
        sub->add_flag("--walk", arguments.ignoreTables, "walk each segment, and trust no table");
    listCommand->add_option("--prefix", arguments.prefix, "only objects whose name begins so");
    listCommand->add_option("--most", arguments.maxLines, "lines at most")->check(CLI::PositiveNumber);
    purgeCommand->add_option("--object", arguments.object, "an object's name");
    purgeCommand->add_option("--group", arguments.group, "a group's number");
    purgeCommand->add_flag("--all", arguments.all, "everything");
    purgeCommand->add_option("--at", arguments.atMs, "Unix milliseconds; now, where it is not given");
    compactCommand->add_option("--segment-mb", arguments.segmentMb, "size of a segment")
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
