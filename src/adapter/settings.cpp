#include "settings.hpp"

#include <cmath>

#include "wire.hpp"

namespace lotuslead::wire {

using simdjson::dom::array;
using simdjson::dom::element;

namespace {

[[noreturn]] void wrongType(std::string_view key, const char* wanted) {
    throw Malformed("field '" + std::string(key) + "' is not " + wanted);
}

std::optional<array> arrayAt(element object, std::string_view key) {
    const auto value = valueAt(object, key);
    if (!value) return std::nullopt;
    array items;
    if (value->get_array().get(items) != simdjson::SUCCESS) wrongType(key, "a list");
    return items;
}

double number(element value, std::string_view key) {
    double result = 0;
    if (value.get_double().get(result) != simdjson::SUCCESS) wrongType(key, "a number");
    return result;
}

bool flag(element value, std::string_view key) {
    bool result = false;
    if (value.get_bool().get(result) != simdjson::SUCCESS) wrongType(key, "true or false");
    return result;
}

Time time(element value, std::string_view key) {
    return Time{static_cast<std::int64_t>(std::llround(number(value, key)))};
}

element objectOrEmpty(element object, std::string_view key, element empty) {
    const auto value = valueAt(object, key);
    return value ? *value : empty;
}

Effect effectOf(std::string_view word) {
    if (word == "free") return Effect::safe;
    if (word == "guarded") return Effect::keyed;
    if (word == "single_shot") return Effect::unsafe;
    throw Malformed("unknown effect '" + std::string(word) + "'");
}

RepeatGroup groupOf(std::string_view word) {
    if (word == "all") return RepeatGroup::all;
    if (word == "zone") return RepeatGroup::zone;
    if (word == "cell") return RepeatGroup::cell;
    throw Malformed("unknown group '" + std::string(word) + "'");
}

Weights weightsOf(std::string_view word) {
    if (word == "nominal") return Weights::nominal;
    if (word == "rough") return Weights::rough;
    if (word == "live") return Weights::live;
    return Weights::none;
}

Siblings siblingsOf(std::string_view word) {
    if (word == "any") return Siblings::any;
    if (word == "location") return Siblings::zone;
    return Siblings::none;
}

ClassSettings readClass(element entry) {
    ClassSettings result;
    result.aim = timeOr(entry, "aim");
    result.aimStretch = numberOr(entry, "aimStretch", 0);
    result.giveUp = timeOr(entry, "hardLimit");
    result.worth = numberOr(entry, "value", 1);
    result.lateWorth = numberOr(entry, "lateValue", 0);
    result.effect = effectOf(textOr(entry, "effect", "single_shot"));
    result.group = groupOf(textOr(entry, "group", "all"));
    result.repeatWindow = timeOr(entry, "window");
    result.streamed = flagOr(entry, "stream", false);
    return result;
}

template <class Set>
void eachClass(Settings& settings, element extra, std::string_view key, Set set) {
    const auto items = arrayAt(extra, key);
    if (!items) return;
    std::size_t at = 0;
    for (const element item : *items) {
        if (at < settings.classes.size() && !item.is_null()) set(settings.classes[at], item);
        ++at;
    }
}

std::string shapeAt(element info, std::int64_t place) {
    const auto shapes = arrayAt(info, "shapes");
    if (!shapes || place < 0) return {};
    std::string_view name;
    if (shapes->at(static_cast<std::size_t>(place)).get_string().get(name) != simdjson::SUCCESS) return {};
    return std::string(name);
}

void readExtra(Vocabulary& words, element info, element extra) {
    Settings& settings = words.settings;
    settings.direct = flagOr(extra, "direct", false);
    settings.joins = flagOr(extra, "joins", false);
    settings.paceKb = numberOr(extra, "flowKbPerS", 0);
    settings.siblings = siblingsOf(textOr(extra, "siblings", "silent"));
    settings.notesTold = textOr(extra, "noteLevel", "silent") == "all";
    settings.purgeGrace = timeOr(extra, "obeyAfter");
    settings.purgeSettles = timeOr(extra, "purgeSettles");
    settings.parentColdFrom = numberOr(extra, "parentFloor", 1);
    settings.parentWarmWithin = timeOr(extra, "parentRamp");
    settings.parentFallMultiple = numberOr(extra, "parentBreaksAt", 0);
    settings.originFallMultiple = numberOr(extra, "rootFallMultiple", 0);
    settings.originFallWindow = timeOr(extra, "rootFall");
    words.parentShape = shapeAt(info, wholeOr(extra, "parentKind", -1));
    words.originShape = shapeAt(info, wholeOr(extra, "originKind", -1));
    const auto whole = [](element item, const char* key) { return static_cast<int>(number(item, key)); };
    if (const auto items = arrayAt(extra, "hubOf"))
        for (const element item : *items) settings.zoneHub.push_back(whole(item, "hubOf"));
    if (const auto items = arrayAt(extra, "instancesByZone"))
        for (const element item : *items) settings.routersByZone.push_back(whole(item, "instancesByZone"));
    if (const auto items = arrayAt(extra, "inletKbPerS"))
        for (const element item : *items) settings.zoneLinkKb.push_back(number(item, "inletKbPerS"));
    eachClass(settings, extra, "maxAge",
              [](ClassSettings& c, element item) { c.freshFor = time(item, "maxAge"); });
    eachClass(settings, extra, "staleFor",
              [](ClassSettings& c, element item) { c.staleFor = time(item, "staleFor"); });
    eachClass(settings, extra, "staleEarns",
              [](ClassSettings& c, element item) { c.staleWorth = number(item, "staleEarns"); });
    eachClass(settings, extra, "inParts",
              [](ClassSettings& c, element item) { c.inParts = flag(item, "inParts"); });
    eachClass(settings, extra, "neverKept",
              [](ClassSettings& c, element item) { c.neverKept = flag(item, "neverKept"); });
}

}  // namespace

std::optional<element> valueAt(element object, std::string_view key) {
    element value;
    const auto problem = object.at_key(key).get(value);
    if (problem == simdjson::INCORRECT_TYPE)
        throw Malformed("'" + std::string(key) + "' sought in no object");
    if (problem != simdjson::SUCCESS || value.is_null()) return std::nullopt;
    return value;
}

double numberOr(element object, std::string_view key, double fallback) {
    const auto value = valueAt(object, key);
    return value ? number(*value, key) : fallback;
}

std::int64_t wholeOr(element object, std::string_view key, std::int64_t fallback) {
    const auto value = valueAt(object, key);
    if (!value) return fallback;
    std::int64_t result = 0;
    if (value->get_int64().get(result) == simdjson::SUCCESS) return result;
    return static_cast<std::int64_t>(std::llround(number(*value, key)));
}

Time timeOr(element object, std::string_view key, Time fallback) {
    return Time{wholeOr(object, key, fallback.count())};
}

bool flagOr(element object, std::string_view key, bool fallback) {
    const auto value = valueAt(object, key);
    return value ? flag(*value, key) : fallback;
}

std::string_view textOr(element object, std::string_view key, std::string_view fallback) {
    const auto value = valueAt(object, key);
    if (!value) return fallback;
    std::string_view result;
    if (value->get_string().get(result) == simdjson::SUCCESS) return result;
    std::int64_t zero = 1;  // 0 stands for an absent name
    if (value->get_int64().get(zero) == simdjson::SUCCESS && zero == 0) return fallback;
    wrongType(key, "text");
}

Vocabulary readSettings(element info) {
    Vocabulary words;
    Settings& settings = words.settings;
    static simdjson::dom::parser emptyParser;
    static const element empty = emptyParser.parse(std::string_view("{}"));
    if (const auto items = arrayAt(info, "categories")) {
        for (const element item : *items) {
            words.classes.emplace(textOr(item, "name", ""), static_cast<int>(settings.classes.size()));
            settings.classes.push_back(readClass(item));
        }
    }
    if (const auto items = arrayAt(info, "zones")) {
        int place = 0;
        for (const element item : *items) {
            std::string_view name;
            if (item.get_string().get(name) != simdjson::SUCCESS) wrongType("zones", "a list of names");
            words.zones.emplace(name, place++);
        }
    }
    const auto own = words.zones.find(std::string(textOr(info, "zone", "")));
    settings.zone = own == words.zones.end() ? -1 : own->second;
    settings.routers = static_cast<int>(wholeOr(info, "balancers", 1));
    settings.weights = weightsOf(textOr(info, "weights", "silent"));
    settings.mustAskForList = textOr(info, "discovery", "pushed") == "on_request";

    const element allowed = objectOrEmpty(info, "allowed", empty);
    settings.secondCopies = flagOr(allowed, "secondCopies", false);
    settings.mayCancel = flagOr(allowed, "mayCancel", false);
    settings.mayProbe = flagOr(allowed, "mayProbe", false);
    settings.retryHints = flagOr(allowed, "retryAfter", false);
    settings.mostTries = static_cast<int>(wholeOr(allowed, "mostTries", 1));
    settings.maxRetryHint = timeOr(allowed, "maxRetryAfter");

    const element rules = objectOrEmpty(info, "obligations", empty);
    settings.answerGrace = timeOr(rules, "graceToAnswer");
    settings.askWithin = timeOr(rules, "askWithin");
    settings.drainGrace = timeOr(rules, "stopSendingWithin");
    settings.coldFrom = numberOr(rules, "coldFrom", 1);
    settings.warmWithin = timeOr(rules, "warmWithin");
    settings.fallMultiple = numberOr(rules, "fallMultiple", 0);
    settings.fallWindow = timeOr(rules, "fall");

    readExtra(words, info, objectOrEmpty(info, "extra", empty));
    return words;
}

}  // namespace lotuslead::wire
