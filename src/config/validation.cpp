#include "validation.hpp"

#include <algorithm>
#include <charconv>
#include <set>

namespace lotuslead::config {

using nlohmann::json;
using settings::DecodeError;

namespace {

bool consumePrefix(std::string_view& key, std::string_view prefix) {
    if (key.substr(0, prefix.size()) != prefix) return false;
    key.remove_prefix(prefix.size());
    return true;
}

bool isName(std::string_view name) {
    return !name.empty() && name.size() <= 64 && std::all_of(name.begin(), name.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
    });
}

void validatePurge(std::string_view rest, const json& value) {
    std::int64_t group = 0;
    if (!consumePrefix(rest, "object/")) {
        const bool numbered = consumePrefix(rest, "group/");
        const auto read = std::from_chars(rest.data(), rest.data() + rest.size(), group);
        if (!numbered || read.ec != std::errc{} || read.ptr != rest.data() + rest.size())
            throw DecodeError("the key is not purges/object/NAME or purges/group/N");
    }
    if (rest.empty()) throw DecodeError("the key names nothing");
    if (!value.is_object() || value.size() != 1 || !value.contains("ts") ||
        !value["ts"].is_number_integer() || value["ts"] <= 0)
        throw DecodeError("field 'ts' is not a Unix time in milliseconds, alone");
}

void validateBox(std::string_view name, const json& value) {
    if (!value.is_object()) throw DecodeError("it is not an object");
    json box = value;
    box["name"] = name;
    const json batch = {
        {"batch", json::array({{{"offset", 1}, {"topology", {{"endpoints", json::array({box})}}}}})}};
    const settings::BusBatch read = settings::readBatch(batch);
    settings::readEndpoint(read.events.at(0).stores.at(0).address, "address");
}

void validateInstance(std::string_view name, const json& value) {
    if (!isName(name)) throw DecodeError("a name is 1 to 64 of a-z, 0-9 and -");
    if (!value.is_object() || !value.contains("agent") || !value["agent"].is_number_unsigned() ||
        !value.contains("configuration"))
        throw DecodeError("'agent' and 'configuration' are wanted");
    (void)settings::readConfiguration(value["configuration"].dump());
}

void validateChange(const Change& change) {
    std::string_view rest = change.key;
    const bool printable = std::all_of(rest.begin(), rest.end(), [](char c) { return c > ' ' && c < 127; });
    if (rest.empty() || rest.size() > kMaxKeyBytes || !printable)
        throw DecodeError("a key is 1 to 512 printable characters without blanks");
    if (consumePrefix(rest, "boxes/")) {
        if (rest.empty()) throw DecodeError("the key names nothing");
        if (change.value) validateBox(rest, *change.value);
    } else if (consumePrefix(rest, "purges/")) {
        if (change.value) validatePurge(rest, *change.value);
    } else if (consumePrefix(rest, "gateways/")) {
        if (!isName(rest)) throw DecodeError("a name is 1 to 64 of a-z, 0-9 and -");
        if (change.value) (void)settings::readConfiguration(change.value->dump());
    } else if (consumePrefix(rest, "instances/")) {
        if (change.value) validateInstance(rest, *change.value);
    } else if (consumePrefix(rest, "agents/")) {
        if (change.value && (!change.value->is_object() || !change.value->contains("control") ||
                             !change.value->at("control").is_string()))
            throw DecodeError("field 'control' is missing or not text");
        if (change.value) settings::readEndpoint(change.value->at("control"), "control");
    } else if (!consumePrefix(rest, "files/") || rest.empty()) {
        throw DecodeError("a key begins with agents/, boxes/, purges/, gateways/, instances/ or files/");
    }
}

}  // namespace

void validate(const Transaction& transaction) {
    if (transaction.changes.empty()) throw DecodeError("field 'do' is missing or empty");
    if (transaction.changes.size() > kMaxChanges || transaction.conditions.size() > kMaxChanges)
        throw DecodeError("a transaction has at most 1000 changes and conditions");
    std::set<std::string> keys;
    for (const Change& change : transaction.changes) {
        try {
            validateChange(change);
        } catch (const DecodeError& problem) {
            throw DecodeError("'" + change.key.substr(0, kMaxKeyBytes) + "': " + problem.what());
        }
        if (!keys.insert(change.key).second) throw DecodeError("'" + change.key + "': it is changed twice");
    }
    if (encode({0, 0, false, transaction}).size() > kMaxTransactionBytes)
        throw DecodeError("a transaction has at most 1 MB");
}

Transaction readTransaction(const json& text) {
    if (!text.is_object()) throw DecodeError("the transaction is no JSON object");
    Transaction result;
    const auto list = [&](const char* name) {
        json found = text.value(name, json::array());
        if (!found.is_array()) throw DecodeError("field '" + std::string(name) + "' is not a list");
        return found;
    };
    const auto key = [](const json& one, const char* in) {
        if (!one.is_object() || !one.contains("key") || !one["key"].is_string())
            throw DecodeError("field '" + std::string(in) + ".key' is missing or not text");
        return one["key"].get<std::string>();
    };
    for (const json& one : list("if")) {
        const std::string name = key(one, "if");
        if (!one.contains("revision") || !one["revision"].is_number_integer() || one["revision"] < 0)
            throw DecodeError("field 'if.revision' is missing or not a whole number");
        result.conditions.push_back({name, one["revision"]});
    }
    for (const json& one : list("do")) {
        Change& change = result.changes.emplace_back();
        change.key = key(one, "do");
        if (one.contains("value")) change.value = one["value"];
    }
    validate(result);
    return result;
}

}  // namespace lotuslead::config
