#include "wire.hpp"

#include <simdjson.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>

#include "../settings/settings.hpp"
#include "../support/hash.hpp"
#include "fields.hpp"

namespace lotuslead::wire {

using simdjson::dom::element;

namespace {

constexpr int kMaxLists = 16;

std::int64_t requireInteger(element object, std::string_view key) {
    if (!valueAt(object, key)) throw DecodeError("field '" + std::string(key) + "' is missing");
    return integerOr(object, key, 0);
}

std::string_view requireText(element object, std::string_view key) {
    const std::string_view text = textOr(object, key, "");
    if (text.empty()) throw DecodeError("field '" + std::string(key) + "' is missing or empty");
    return text;
}

RequestId requestId(element object) {
    const std::string_view text = requireText(object, "id");
    RequestId id = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), id, 16);
    if (problem != std::errc{} || end != text.data() + text.size() || text.size() != 16)
        throw DecodeError("'" + std::string(text) + "' is not a request id");
    return id;
}

Outcome outcomeOf(std::string_view code) {
    if (code.size() == 1) {
        switch (code[0]) {
            case 'S':
                return Outcome::served;
            case 'E':
                return Outcome::error;
            case 'F':
                return Outcome::rejected;
            case 'T':
                return Outcome::timedOut;
            case 'C':
                return Outcome::noConnection;
            case 'R':
                return Outcome::broken;
            case 'X':
                return Outcome::cancelled;
            case 'N':
                return Outcome::notSent;
            case 'M':
                return Outcome::noCopy;
            default:
                break;
        }
    }
    throw DecodeError("unknown outcome '" + std::string(code) + "'");
}

CacheStatus cacheStatusOf(std::int64_t number) {
    constexpr std::array statuses{CacheStatus::none,          CacheStatus::hit,
                                  CacheStatus::filled,        CacheStatus::filledByOrigin,
                                  CacheStatus::joined,        CacheStatus::stale,
                                  CacheStatus::sourceRefused, CacheStatus::sourceUnreached,
                                  CacheStatus::sourceLacks,   CacheStatus::noFillPlace,
                                  CacheStatus::originFailed};
    if (number < 0 || number >= static_cast<std::int64_t>(statuses.size())) return CacheStatus::none;
    return statuses[static_cast<std::size_t>(number)];
}

LoadReport loadOf(element event) {
    LoadReport load;
    const auto report = valueAt(event, "pressure");
    if (!report) return load;
    const auto read = [&](std::string_view key) -> std::optional<double> {
        if (!valueAt(*report, key)) return std::nullopt;
        return numberOr(*report, key, 0);
    };
    load.inFlight = read("rif");
    load.queued = read("q");
    load.busy = read("busy");
    load.hitShare = read("x0");
    load.linkUtilization = read("x1");
    return load;
}

class Writer {
public:
    explicit Writer(std::string& out) : out_(out) {}

    void operator()(std::int64_t instance, const Action& action) {
        std::visit([&](const auto& a) { write(instance, a); }, action);
        out_ += "}\n";
    }

private:
    void beginAction(std::string_view what, std::int64_t instance) {
        out_ += "{\"what\":\"";
        out_ += what;
        out_ += "\",\"who\":";
        appendNumber(instance);
    }
    template <class Number>
    void appendNumber(Number number) {
        std::array<char, 24> text{};
        const auto end = std::to_chars(text.data(), text.data() + text.size(), number).ptr;
        out_.append(text.data(), end);
    }
    template <class Number>
    void field(std::string_view key, Number number) {
        out_ += ",\"";
        out_ += key;
        out_ += "\":";
        appendNumber(number);
    }
    void text(std::string_view key, std::string_view value) {
        out_ += ",\"";
        out_ += key;
        out_ += "\":\"";
        for (const char c : value) {
            if (c == '"' || c == '\\') out_ += '\\';
            out_ += c;
        }
        out_ += '"';
    }
    void id(RequestId request) {
        static constexpr char kDigits[] = "0123456789abcdef";
        out_ += ",\"id\":\"";
        for (int shift = 60; shift >= 0; shift -= 4) out_ += kDigits[(request >> shift) & 15];
        out_ += '"';
    }

    void write(std::int64_t instance, const Send& a) {
        beginAction(a.withoutSource ? "try" : "deliverVia", instance);
        id(a.request);
        text("host", a.host);
        field("patience", a.timeout.count());
        if (a.withoutSource) return;
        text("source", a.source);
        field("holdRank", a.keepRank);
        field("howOld", a.maxCopyAge.count());
        field("switches",
              (a.coalesceFill ? 1 : 0) + (a.sourceOnlyIfCached ? 2 : 0) + (a.staleWhileRevalidate ? 8 : 0));
    }
    void write(std::int64_t instance, const Refuse& a) {
        beginAction("deny", instance);
        id(a.request);
        if (a.retryAfter.count() > 0) field("retryIn", a.retryAfter.count());
    }
    void write(std::int64_t instance, const Fail& a) {
        beginAction("finishError", instance);
        id(a.request);
    }
    void write(std::int64_t instance, const Cancel& a) {
        beginAction("abandon", instance);
        id(a.request);
        field("roundNo", a.attempt);
    }
    void write(std::int64_t instance, const SetTimer& a) {
        beginAction("arm", instance);
        field("handle", a.timer);
        field("sleepFor", a.delay.count());
    }
    void write(std::int64_t instance, const Watch&) {
        beginAction("keepInformed", instance);
        out_ += ",\"enable\":true";
    }
    void write(std::int64_t instance, const FetchList&) { beginAction("resolve", instance); }
    void write(std::int64_t instance, const Probe& a) {
        beginAction("ping", instance);
        text("host", a.host);
    }

    std::string& out_;
};

struct ListedHost {
    HostEntry entry;  // role and zone are set per instance, by its settings
    std::string shape;
    std::string zone;
};

struct Instance {
    Router router;
    settings::DecodedSettings decodedSettings;
};

// The gateway and the adapter share one settings decoder. simdjson is used only for events, which are
// frequent.
settings::DecodedSettings settingsOf(element info) {
    try {
        return settings::readSettings(nlohmann::json::parse(std::string(simdjson::minify(info))));
    } catch (const settings::DecodeError& problem) {
        throw DecodeError(problem.what());
    }
}

}  // namespace

class Session::Impl {
public:
    bool handleLine(std::string_view line, std::string& reply) {
        element event;
        const auto problem = parser_.parse(line.data(), line.size(), false).get(event);
        if (problem != simdjson::SUCCESS)
            throw DecodeError(std::string("invalid JSON: ") + simdjson::error_message(problem));
        const std::string_view what = requireText(event, "what");
        if (what == "sync") {
            if (inBatch_) throw DecodeError("'sync' inside a batch");
            inBatch_ = true;
            now_ = Time{requireInteger(event, "now")};
            turn_ = requireInteger(event, "turn");
            replyLines_.clear();
            return false;
        }
        if (!inBatch_) throw DecodeError("'" + std::string(what) + "' outside a batch");
        if (what == "yourTurn") {
            inBatch_ = false;
            reply += replyLines_;
            reply += "{\"what\":\"next\",\"turn\":" + std::to_string(turn_) + "}\n";
            return true;
        }
        dispatch(what, event);
        return false;
    }

    bool inBatch() const { return inBatch_; }

private:
    void dispatch(std::string_view what, element event) {
        if (what == "manifest") return storeList(event);
        const std::int64_t instance = requireInteger(event, "who");
        if (what == "up") return startInstance(instance, event);
        if (what == "retire") {
            instances_.erase(instance);
            return;
        }
        const auto found = instances_.find(instance);
        if (found == instances_.end()) throw DecodeError("unknown instance " + std::to_string(instance));
        Instance& to = *found->second;
        if (what == "req") {
            to.router.handle(now_, requestOf(to.decodedSettings, event), actions_);
        } else if (what == "response") {
            AttemptEnded ended;
            ended.request = requestId(event);
            ended.attempt = static_cast<int>(requireInteger(event, "roundNo"));
            ended.outcome = outcomeOf(requireText(event, "disposition"));
            ended.elapsed = timeOr(event, "costTime");
            ended.requestClosed = booleanOr(event, "over", false);
            ended.cacheStatus = cacheStatusOf(integerOr(event, "note", 0));
            ended.load = loadOf(event);
            to.router.handle(now_, ended, actions_);
        } else if (what == "wakeup") {
            to.router.handleTimer(now_, static_cast<TimerId>(requireInteger(event, "handle")), actions_);
        } else if (what == "members") {
            applyList(to, event);
        } else if (what == "cancelledByClient") {
            to.router.handleClientGone(now_, requestId(event), actions_);
        } else if (what == "withdrawnCopy") {
            const std::string_view object = textOr(event, "object", "");
            to.router.handle(now_,
                             Purge{object.empty() ? 0 : fingerprint(object), integerOr(event, "setNo", 0),
                                   timeOr(event, "howOld")},
                             actions_);
        } else if (what == "established") {
            to.router.handle(
                now_, StreamStarted{requestId(event), static_cast<int>(requireInteger(event, "roundNo"))},
                actions_);
        } else if (what == "health") {
            const bool answered = outcomeOf(requireText(event, "disposition")) == Outcome::served;
            to.router.handle(
                now_, ProbeEnded{std::string(requireText(event, "host")), answered, loadOf(event)}, actions_);
        } else if (what != "heard") {
            throw DecodeError("unknown event '" + std::string(what) + "'");
        }
        writeActions(instance);
    }

    void startInstance(std::int64_t instance, element event) {
        std::uint64_t seed = 0;
        if (const auto salt = valueAt(event, "salt");
            salt && salt->get_uint64().get(seed) != simdjson::SUCCESS)
            seed = static_cast<std::uint64_t>(integerOr(event, "salt", 0));
        const auto info = valueAt(event, "info");
        if (!info) throw DecodeError("field 'info' is missing");
        settings::DecodedSettings decodedSettings = settingsOf(*info);
        Router router(decodedSettings.settings, seed);
        instances_[instance] =
            std::make_unique<Instance>(Instance{std::move(router), std::move(decodedSettings)});
        instances_[instance]->router.start(now_, actions_);
        writeActions(instance);
    }

    void storeList(element event) {
        const std::int64_t number = requireInteger(event, "sheet");
        if (number < 0 || number >= kMaxLists)
            throw DecodeError("list number " + std::to_string(number) + " is out of range");
        auto& list = lists_[static_cast<std::size_t>(number)];
        list.clear();
        const auto rows = valueAt(event, "rowsIn");
        if (!rows) return;
        simdjson::dom::array entries;
        if (rows->get_array().get(entries) != simdjson::SUCCESS)
            throw DecodeError("field 'rowsIn' is not a list");
        for (const element row : entries) {
            ListedHost host;
            host.entry.name = requireText(row, "host");
            host.entry.cell = integerOr(row, "pod", 0);
            host.entry.weight = numberOr(row, "heft", 1);
            host.entry.startedAt = timeOr(row, "bootTime");
            const std::int64_t readiness = requireInteger(row, "readiness");
            if (readiness < 0 || readiness > 2) throw DecodeError("field 'readiness' is out of range");
            host.entry.readiness = readiness == 1   ? Readiness::ready
                                   : readiness == 2 ? Readiness::draining
                                                    : Readiness::gone;
            host.shape = textOr(row, "classOfHost", "");
            host.zone = textOr(row, "campus", "");
            list.push_back(std::move(host));
        }
    }

    void applyList(Instance& to, element event) {
        const std::int64_t form = requireInteger(event, "form");
        if (form == 3) return to.router.handleListFailed(now_, actions_);
        if (form < 0 || form > 3) throw DecodeError("field 'form' is out of range");
        const std::int64_t number = requireInteger(event, "sheet");
        if (number < 0 || number >= kMaxLists)
            throw DecodeError("list number " + std::to_string(number) + " is out of range");
        HostList list;
        list.whole = form != 0;
        for (const ListedHost& listed : lists_[static_cast<std::size_t>(number)]) {
            HostEntry entry = listed.entry;
            entry.role = to.decodedSettings.roleOf(listed.shape);
            entry.zone = to.decodedSettings.zoneOf(listed.zone);
            list.entries.push_back(std::move(entry));
        }
        to.router.handle(now_, list, actions_);
    }

    static Request requestOf(const settings::DecodedSettings& decodedSettings, element event) {
        Request request;
        request.id = requestId(event);
        const std::string profile(requireText(event, "profile"));
        const auto known = decodedSettings.classes.find(profile);
        if (known == decodedSettings.classes.end()) throw DecodeError("unknown class '" + profile + "'");
        request.classIndex = known->second;
        const std::string_view object = textOr(event, "object", "");
        request.object = object.empty() ? 0 : fingerprint(object);
        request.group = integerOr(event, "group", 0);
        request.part = integerOr(event, "part", 0);
        request.sizeKb = numberOr(event, "kb", 0);
        request.deadline = Time{requireInteger(event, "notAfter")};
        request.repeated = booleanOr(event, "resent", false);
        request.write = booleanOr(event, "update", false);
        return request;
    }

    void writeActions(std::int64_t instance) {
        Writer writer(replyLines_);
        for (const Action& action : actions_) writer(instance, action);
        actions_.clear();
    }

    simdjson::dom::parser parser_;
    std::map<std::int64_t, std::unique_ptr<Instance>> instances_;
    std::array<std::vector<ListedHost>, kMaxLists> lists_;
    std::string replyLines_;
    Actions actions_;
    Time now_{};
    std::int64_t turn_ = 0;
    bool inBatch_ = false;
};

Session::Session() : impl_(std::make_unique<Impl>()) {}
Session::~Session() = default;
bool Session::handleLine(std::string_view line, std::string& reply) { return impl_->handleLine(line, reply); }
bool Session::inBatch() const { return impl_->inBatch(); }

int serve(int inputFd, std::FILE* output, std::FILE* errors) {
    constexpr std::size_t kReadBytes = 1 << 16;
    Session session;
    std::string buffer;
    std::string reply;
    std::size_t start = 0;    // of the current line
    std::size_t scanned = 0;  // there is no newline between `start` and this offset
    std::size_t filled = 0;
    std::size_t lineNumber = 0;
    for (;;) {
        if (buffer.size() < filled + kReadBytes + simdjson::SIMDJSON_PADDING)
            buffer.resize(2 * buffer.size() + kReadBytes + simdjson::SIMDJSON_PADDING);
        const ssize_t got = ::read(inputFd, buffer.data() + filled, kReadBytes);
        if (got < 0 && errno == EINTR) continue;
        if (got < 0) {
            std::fprintf(errors, "lotuslead_adapter: cannot read: %s\n", std::strerror(errno));
            return 1;
        }
        if (got == 0) break;
        filled += static_cast<std::size_t>(got);
        try {
            while (const void* hit = std::memchr(buffer.data() + scanned, '\n', filled - scanned)) {
                const auto end = static_cast<std::size_t>(static_cast<const char*>(hit) - buffer.data());
                const std::string_view line(buffer.data() + start, end - start);
                ++lineNumber;
                start = scanned = end + 1;
                if (line.find_first_not_of(" \t\r") == std::string_view::npos) continue;
                if (session.handleLine(line, reply)) {
                    if (std::fwrite(reply.data(), 1, reply.size(), output) != reply.size() ||
                        std::fflush(output) != 0) {
                        std::fprintf(errors, "lotuslead_adapter: cannot write the reply\n");
                        return 1;
                    }
                    reply.clear();
                }
            }
        } catch (const DecodeError& problem) {
            std::fprintf(errors, "lotuslead_adapter: line %zu: %s\n", lineNumber, problem.what());
            return 1;
        }
        scanned = filled;
        if (start == filled) {
            start = scanned = filled = 0;
        } else if (start > kReadBytes) {
            std::memmove(buffer.data(), buffer.data() + start, filled - start);
            filled -= start;
            scanned -= start;
            start = 0;
        }
    }
    if (session.inBatch() || start != filled) {
        std::fprintf(errors, "lotuslead_adapter: the input ended inside a batch\n");
        return 1;
    }
    return 0;
}

}  // namespace lotuslead::wire
