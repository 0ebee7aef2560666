// A stand-in for a repository server (RFC 9110), and helpers for HTTP/1.1 clients.
#pragma once

#include <set>

#include "loopback.hpp"

namespace lotuslead::testing {

// A repository server for GET with single ranges. The index contains its version number; the file is `size`
// bytes of a pattern. `beforeAnswer` is called before each answer and may block.
class Repository {
public:
    using BeforeAnswer = std::function<void(const std::string& path, const std::string& head)>;
    explicit Repository(std::size_t size, BeforeAnswer beforeAnswer = {})
        : file(size, '\0'),
          beforeAnswer_(std::move(beforeAnswer)),
          peer_([this](Connection& c) { serve(c); }) {
        for (std::size_t i = 0; i < size; ++i) file[i] = static_cast<char>('a' + i * 7 % 26 + i / 4096 % 3);
    }
    std::string address() const { return peer_.address(); }
    std::size_t bytesSent() const { return bytesSent_; }
    int requests(const std::string& path) {
        const std::lock_guard lock(mutex_);
        return static_cast<int>(paths_.count(path));
    }

    std::string file;
    std::atomic<int> version{1}, fileVersion{1};

private:
    void serve(Connection& c) {
        for (std::string head; !(head = c.readHead()).empty();) {
            const std::string path = head.substr(4, head.find(' ', 4) - 4);
            {
                const std::lock_guard lock(mutex_);
                paths_.insert(path);
            }
            // The index is read when the request arrives, so a delayed answer carries the old version.
            const std::string index = "version " + std::to_string(version) + "\n";
            if (beforeAnswer_) beforeAnswer_(path, head);
            answer(c, path, head, index);
        }
    }
    void answer(Connection& c, const std::string& path, const std::string& head, const std::string& index) {
        const auto send = [&](const std::string& status, const std::string& fields, const std::string& body) {
            bytesSent_ += body.size();
            c.send("HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
                   "\r\n\r\n" + body);
        };
        const std::string dated = "Last-Modified: Tue, 01 Dec 2026 10:00:00 GMT\r\n";
        if (path == "/index/plugins.json") {
            const std::string tag = "\"i" + index.substr(8, index.size() - 9) + "\"";
            if (fieldOf(head, "If-None-Match") == tag)
                return send("304 Not Modified", "ETag: " + tag + "\r\n", "");
            return send("200 OK", "Content-Type: application/json\r\nETag: " + tag + "\r\n" + dated, index);
        }
        if (path == "/index/broken") return send("500 Internal Server Error", "", "");
        if (path != "/files/tool.bin") return send("404 Not Found", "", "");
        std::size_t first = 0, last = 0;
        const std::string range = fieldOf(head, "Range");
        const std::string total = std::to_string(file.size());
        const bool read = std::sscanf(range.c_str(), "bytes=%zu-%zu", &first, &last) == 2;
        assert(read);  // files are fetched in parts
        if (first >= file.size())
            return send("416 Range Not Satisfiable", "Content-Range: bytes */" + total + "\r\n", "");
        last = std::min(last, file.size() - 1);
        send("206 Partial Content",
             "ETag: \"f" + std::to_string(fileVersion) + "\"\r\n" + dated + "Content-Range: bytes " +
                 std::to_string(first) + "-" + std::to_string(last) + "/" + total + "\r\n",
             file.substr(first, last - first + 1));
    }

    BeforeAnswer beforeAnswer_;
    std::mutex mutex_;
    std::multiset<std::string> paths_;
    std::atomic<std::size_t> bytesSent_{0};
    Peer peer_;
};

// The configuration of a repository front with the given hosts.
inline json repositoryConfiguration(const std::vector<json>& hosts) {
    json settings = configuration(hosts);
    settings["part_bytes"] = 65536;
    settings["routes"] = {{{"prefix", "/index/"}, {"class", "page"}, {"group", 5}},
                          {{"prefix", "/files/"}, {"class", "installer"}, {"group", 6}}};
    return settings;
}
inline json repositoryConfiguration(Repository& cache, Repository& origin) {
    return repositoryConfiguration({host("cache-1", cache.address()),
                                    host("parent-1", origin.address(), "parent"),
                                    host("origin-1", origin.address(), "origin")});
}

struct Response {
    int status = 0;
    std::string head, body;
    bool complete = false;
};
inline Response read(Connection& c, bool bodiless = false) {
    Response response;
    response.head = c.readHead();
    if (response.head.empty()) return response;
    response.status = std::atoi(response.head.c_str() + 9);
    const std::size_t size =
        bodiless || response.status == 304
            ? 0
            : std::strtoul(fieldOf(response.head, "Content-Length").c_str(), nullptr, 10);
    response.body = c.exactly(size);
    response.complete = response.body.size() == size;
    return response;
}
inline void ask(Connection& c, const std::string& path, const std::string& fields = "",
                const std::string& method = "GET") {
    c.send(method + " " + path + " HTTP/1.1\r\nHost: packages.test\r\n" + fields + "\r\n");
}
inline Response get(Connection& c, const std::string& path, const std::string& fields = "") {
    ask(c, path, fields);
    return read(c);
}

}  // namespace lotuslead::testing
