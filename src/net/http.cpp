#include "http.hpp"

#include <algorithm>
#include <charconv>

namespace lotuslead::net {

namespace {

bool isToken(std::string_view text) {
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               marks.find(c) != std::string_view::npos;
    });
}

bool hasControls(std::string_view text) {
    return std::any_of(text.begin(), text.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return (byte < 32 && c != '\t') || byte == 127;
    });
}

bool readLength(std::string_view text, std::size_t& value, int base) {
    const auto read = std::from_chars(text.data(), text.data() + text.size(), value, base);
    return read.ec == std::errc{} && read.ptr == text.data() + text.size();
}

}  // namespace

std::string lowerCase(std::string_view text) {
    std::string result(text);
    for (char& c : result)
        if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
    return result;
}

std::string_view trimmed(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
    return text;
}

const std::string* HttpHead::field(std::string_view name) const {
    for (const auto& [key, value] : fields)
        if (key == name) return &value;
    return nullptr;
}

bool HttpHead::keepAlive() const {
    const std::string* connection = field("connection");
    const std::string tokens = connection ? lowerCase(*connection) : "";
    if (tokens.find("close") != std::string::npos) return false;
    return minorVersion >= 1 || tokens.find("keep-alive") != std::string::npos;
}

HttpParser::Status HttpParser::feed(std::string_view& data) {
    if (state_ == State::start && pending_.empty()) {
        head_ = {};
        body_.clear();
        // Empty lines before a request are skipped (RFC 9112, 2.2).
        while (kind_ == Kind::request && !data.empty() && (data.front() == '\r' || data.front() == '\n'))
            data.remove_prefix(1);
    }
    while (!data.empty()) {
        switch (state_) {
            case State::start:
            case State::head: {
                state_ = State::head;
                // The end of the head may be split between two reads.
                const std::size_t from = pending_.size() > 3 ? pending_.size() - 3 : 0;
                const std::size_t room =
                    limits_.maxHeadBytes + 1 - std::min(limits_.maxHeadBytes + 1, pending_.size());
                const std::size_t before = pending_.size();
                pending_.append(data.substr(0, std::min(room, data.size())));
                const std::size_t end = pending_.find("\r\n\r\n", from);
                if (end == std::string::npos || end + 4 > limits_.maxHeadBytes) {
                    if (pending_.size() > limits_.maxHeadBytes) return Status::headTooLarge;
                    data = {};
                    return Status::needMore;
                }
                data.remove_prefix(end + 4 - before);
                pending_.resize(end + 2);
                const Status status = parseHead();
                if (status != Status::needMore) return status;
                break;
            }
            case State::sized:
            case State::chunk: {
                const std::size_t some = std::min(remainingBytes_, data.size());
                body_.append(data.substr(0, some));
                data.remove_prefix(some);
                remainingBytes_ -= some;
                if (remainingBytes_ > 0) break;
                if (state_ == State::sized) {
                    state_ = State::start;
                    return Status::message;
                }
                state_ = State::chunkEnd;
                break;
            }
            case State::untilClose:
                if (body_.size() + data.size() > limits_.maxBodyBytes) return Status::bodyTooLarge;
                body_.append(data);
                data = {};
                break;
            default: {
                std::string line;
                const Status status = takeLine(data, line);
                if (status != Status::message) return status;
                if (state_ == State::chunkEnd) {
                    if (!line.empty()) return Status::malformed;
                    state_ = State::chunkSize;
                } else if (state_ == State::chunkSize) {
                    const auto size = trimmed(std::string_view(line).substr(0, line.find(';')));
                    if (!readLength(size, remainingBytes_, 16)) return Status::malformed;
                    if (remainingBytes_ > limits_.maxBodyBytes - body_.size()) return Status::bodyTooLarge;
                    state_ = remainingBytes_ > 0 ? State::chunk : State::trailer;
                } else if (line.empty()) {  // the end of the trailers, which are ignored
                    state_ = State::start;
                    return Status::message;
                }
            }
        }
    }
    return Status::needMore;
}

HttpParser::Status HttpParser::takeLine(std::string_view& data, std::string& line) {
    const std::size_t end = data.find('\n');
    const std::size_t upTo = end == std::string_view::npos ? data.size() : end + 1;
    if (pending_.size() + upTo > limits_.maxHeadBytes) return Status::headTooLarge;
    pending_.append(data.substr(0, upTo));
    data.remove_prefix(upTo);
    if (end == std::string_view::npos) return Status::needMore;
    if (pending_.size() < 2 || pending_[pending_.size() - 2] != '\r') return Status::malformed;
    line = pending_.substr(0, pending_.size() - 2);
    pending_.clear();
    return Status::message;
}

HttpParser::Status HttpParser::parseHead() {
    std::string_view rest = pending_;
    bool first = true;
    while (!rest.empty()) {
        const std::size_t end = rest.find("\r\n");
        const std::string_view line = rest.substr(0, end);
        rest.remove_prefix(end + 2);
        if (hasControls(line)) return Status::malformed;
        if (std::exchange(first, false)) {
            if (!parseStartLine(line)) return Status::malformed;
            continue;
        }
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos || !isToken(line.substr(0, colon))) return Status::malformed;
        head_.fields.emplace_back(lowerCase(line.substr(0, colon)),
                                  std::string(trimmed(line.substr(colon + 1))));
    }
    pending_.clear();
    return beginBody();
}

bool HttpParser::parseStartLine(std::string_view line) {
    const std::size_t first = line.find(' ');
    if (first == std::string_view::npos) return false;
    std::string_view version;
    if (kind_ == Kind::request) {
        const std::size_t last = line.rfind(' ');
        head_.method = line.substr(0, first);
        if (last <= first + 1 || !isToken(head_.method)) return false;
        head_.target = line.substr(first + 1, last - first - 1);
        if (head_.target.find(' ') != std::string::npos) return false;
        version = line.substr(last + 1);
    } else {
        version = line.substr(0, first);
        std::size_t status = 0;
        if (!readLength(line.substr(first + 1, 3), status, 10) || status < 100 || status > 599) return false;
        head_.status = static_cast<int>(status);
    }
    if (version != "HTTP/1.1" && version != "HTTP/1.0") return false;
    head_.minorVersion = version.back() - '0';
    return true;
}

// Determines the length of the body (RFC 9112, 6.3). Ambiguous framing is malformed, since two parsers could
// read it differently (request smuggling).
HttpParser::Status HttpParser::beginBody() {
    const std::string* coding = head_.field("transfer-encoding");
    const std::string* length = nullptr;
    for (const auto& [name, value] : head_.fields) {
        if (name != "content-length") continue;
        if (length && *length != value) return Status::malformed;
        length = &value;
    }
    if (coding && (length || lowerCase(*coding) != "chunked")) return Status::malformed;
    const bool bare = kind_ == Kind::response &&
                      (noBody_ || head_.status < 200 || head_.status == 204 || head_.status == 304);
    remainingBytes_ = 0;
    if (length && (!readLength(*length, remainingBytes_, 10))) return Status::malformed;
    if (bare) remainingBytes_ = 0;
    if (!bare && coding) {
        state_ = State::chunkSize;
    } else if (!bare && kind_ == Kind::response && !length) {
        state_ = State::untilClose;
    } else if (remainingBytes_ > limits_.maxBodyBytes) {
        return Status::bodyTooLarge;
    } else if (remainingBytes_ > 0) {
        body_.reserve(remainingBytes_);
        state_ = State::sized;
    } else {
        state_ = State::start;
        return Status::message;
    }
    return Status::needMore;
}

bool HttpParser::endOfStream() {
    if (state_ != State::untilClose) return false;
    state_ = State::start;
    return true;
}

}  // namespace lotuslead::net
