#include "raft_import.hpp"

#include <uv.h>

#include <array>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <set>
#include <stdexcept>
#include <system_error>
#include <vector>

extern "C" {  // libraft's headers do not declare C linkage
#include <raft.h>
#include <raft/uv.h>
}

#include "raft_log.hpp"

namespace lotuslead::agent {

namespace fs = std::filesystem;

namespace {

constexpr std::uint64_t kLibraftFormat = 1;       // format number in its metadata files (raft/uv.h)
constexpr std::uint64_t kUnsupportedFormat = 64;  // a format number that libraft refuses to read
constexpr const char* kMetadataNames[] = {"metadata1", "metadata2"};

void check(int result, const char* what, const raft_io& io) {
    if (result == 0) return;
    throw std::runtime_error(std::string("raft, ") + what + ": " + raft_strerror(result) + " " + io.errmsg);
}

bool holdsLibraftState(const fs::path& folder) {
    for (const char* name : kMetadataNames) {
        std::ifstream file(folder / name, std::ios::binary);
        std::uint64_t format = 0;
        if (file.read(reinterpret_cast<char*>(&format), sizeof format) && format == kLibraftFormat)
            return true;
    }
    return false;
}

std::string textOf(const raft_buffer& buffer) { return {static_cast<const char*>(buffer.base), buffer.len}; }

LogSnapshot takeSnapshot(raft_snapshot* from) {
    LogSnapshot snapshot{from->index, from->term, from->configuration_index, {}, {}};
    for (unsigned i = 0; i < from->configuration.n; ++i) {
        const raft_server& server = from->configuration.servers[i];
        snapshot.members.push_back({server.id, server.address, server.role});
    }
    for (unsigned i = 0; i < from->n_bufs; ++i) {
        snapshot.data += textOf(from->bufs[i]);
        raft_free(from->bufs[i].base);
    }
    raft_free(from->bufs);
    raft_configuration_close(&from->configuration);
    raft_free(from);
    return snapshot;
}

std::vector<LogEntry> takeEntries(raft_entry* from, std::size_t count) {
    std::vector<LogEntry> entries;
    std::set<void*> memory;
    for (std::size_t i = 0; i < count; ++i) {
        entries.push_back({from[i].term, from[i].type, textOf(from[i].buf)});
        memory.insert(from[i].batch != nullptr ? from[i].batch : from[i].buf.base);
    }
    for (void* one : memory) raft_free(one);
    raft_free(from);
    return entries;
}

RaftLog::Content readLibraftFolder(const std::string& folder) {
    uv_loop_t loop{};
    raft_uv_transport transport{};
    raft_io io{};
    uv_loop_init(&loop);
    check(raft_uv_tcp_init(&transport, &loop), "transport", io);
    check(raft_uv_init(&io, &loop, folder.c_str(), &transport), "storage", io);
    raft_uv_set_auto_recovery(&io, true);
    check(io.init(&io, 1, "127.0.0.1:0"), "storage", io);
    RaftLog::Content content;
    raft_term term = 0;
    raft_id vote = 0;
    raft_snapshot* snapshot = nullptr;
    raft_index firstIndex = 1;
    raft_entry* entries = nullptr;
    std::size_t count = 0;
    check(io.load(&io, &term, &vote, &snapshot, &firstIndex, &entries, &count), "storage", io);
    content.termAndVote = {term, vote};
    if (snapshot != nullptr) content.snapshot = takeSnapshot(snapshot);
    content.firstIndex = firstIndex;
    content.entries = takeEntries(entries, count);
    bool closed = false;
    io.data = &closed;
    io.close(&io, [](raft_io* self) { *static_cast<bool*>(self->data) = true; });
    while (!closed) uv_run(&loop, UV_RUN_ONCE);
    raft_uv_close(&io);
    raft_uv_tcp_close(&transport);
    uv_run(&loop, UV_RUN_DEFAULT);
    uv_loop_close(&loop);
    return content;
}

void writeLog(const RaftLog::Content& content, const std::string& logFolder) {
    RaftLog log(logFolder);
    log.open();
    if (content.snapshot) log.installSnapshot(*content.snapshot);
    std::vector<LogEntryView> entries;
    entries.reserve(content.entries.size());
    for (const LogEntry& entry : content.entries) entries.push_back({entry.term, entry.type, entry.data});
    if (!entries.empty()) log.append(content.firstIndex, entries);
    log.writeTermAndVote(content.termAndVote);
}

void removeLibraftFiles(const fs::path& folder) {
    std::vector<fs::path> files;
    for (const fs::directory_entry& entry : fs::directory_iterator(folder))
        if (entry.is_regular_file()) files.push_back(entry.path());
    for (const fs::path& file : files) fs::remove(file);
}

void blockOlderVersions(const fs::path& folder) {
    const std::array<std::uint64_t, 4> metadata{kUnsupportedFormat, 1, 0, 0};
    std::ofstream file(folder / kMetadataNames[0], std::ios::binary);
    file.write(reinterpret_cast<const char*>(metadata.data()), sizeof metadata);
    if (!file.flush()) throw std::system_error(errno, std::generic_category(), "write to " + folder.string());
}

}  // namespace

void createOrImportLog(const std::string& folder, const std::string& logFolder) {
    if (fs::exists(logFolder)) return;
    const std::string unfinished = logFolder + ".new";
    fs::remove_all(unfinished);
    const bool imports = holdsLibraftState(folder);
    writeLog(imports ? readLibraftFolder(folder) : RaftLog::Content{}, unfinished);
    fs::rename(unfinished, logFolder);
    RaftLog::syncFolder(folder);
    if (imports) removeLibraftFiles(folder);
    blockOlderVersions(folder);
}

}  // namespace lotuslead::agent
