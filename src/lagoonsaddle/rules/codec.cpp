#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <initializer_list>
#include <limits>
#include <map>
#include <utility>

#include <lagoonsaddle/rules/codec.hpp>

namespace lagoonsaddle::rules {

namespace {

using nlohmann::json;

constexpr std::size_t name_length_max = 128u;
constexpr std::size_t list_size_max = 1'000u;
constexpr std::size_t text_length_max = 1'000u;
constexpr std::int64_t duration_ms_max = 86'400'000;
constexpr std::int64_t share_max = 1'000'000;
constexpr double rate_max = 1'000'000.0;
constexpr std::array<std::string_view, 7u> day_names{"mon", "tue", "wed", "thu", "fri", "sat", "sun"};

/*! @brief Reads the members of a JSON object and appends each error with its path to a list. */
class object_reader {
public:
    object_reader(
        const json& value, std::string path, std::optional<std::size_t> rule_index, std::vector<diagnostic>& errors)
        : value{value}, path{std::move(path)}, rule_index{rule_index}, errors{errors} {
        if(!value.is_object()) {
            this->add_error({}, "accepted: an object");
        }
    }

    void add_error(std::string_view name, std::string message) const {
        this->errors.push_back(
            diagnostic{.rule_index = this->rule_index, .path = this->child_path(name), .message = std::move(message)});
    }

    /*! @brief Adds an error for each member whose key is not in the list. */
    void check_keys(std::initializer_list<std::string_view> accepted_keys) const {
        if(!this->value.is_object()) {
            return;
        }
        for(const auto& [name, member] : this->value.items()) {
            if(std::find(accepted_keys.begin(), accepted_keys.end(), name) == accepted_keys.end()) {
                std::string key_list{};
                for(const auto key : accepted_keys) {
                    key_list.append(key_list.empty() ? "" : ", ").append(key);
                }
                this->add_error(name, "unknown key; accepted keys here: " + key_list);
            }
        }
    }

    /*! @brief Returns a member, or null if it is absent. */
    [[nodiscard]] const json* find(std::string_view name) const {
        if(!this->value.is_object()) {
            return nullptr;
        }
        const auto found = this->value.find(name);
        return (found == this->value.end()) ? nullptr : &*found;
    }

    [[nodiscard]] object_reader child(std::string_view name, const json& member) const {
        return {member, this->child_path(name), this->rule_index, this->errors};
    }

    [[nodiscard]] std::optional<std::string> read_string(std::string_view name, std::size_t length_max) const {
        const auto* member = this->find(name);
        if(member == nullptr) {
            return std::nullopt;
        }
        if(!member->is_string() || !is_printable(member->get_ref<const std::string&>(), length_max)) {
            this->add_error(
                name, "accepted: a string of 1 to " + std::to_string(length_max) + " bytes without control characters");
            return std::nullopt;
        }
        return member->get<std::string>();
    }

    [[nodiscard]] std::optional<std::int64_t> read_integer(
        std::string_view name, std::int64_t minimum, std::int64_t maximum) const {
        const auto* member = this->find(name);
        if(member == nullptr) {
            return std::nullopt;
        }
        // Compared as double: an unsigned value above 2^63 would wrap when read as a signed integer.
        if(!member->is_number_integer() || member->get<double>() < static_cast<double>(minimum) ||
            member->get<double>() > static_cast<double>(maximum)) {
            this->add_error(
                name, "accepted: an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum));
            return std::nullopt;
        }
        return member->get<std::int64_t>();
    }

    [[nodiscard]] std::optional<double> read_number(std::string_view name, double minimum, double maximum) const {
        const auto* member = this->find(name);
        if(member == nullptr) {
            return std::nullopt;
        }
        if(!member->is_number() || !(member->get<double>() >= minimum && member->get<double>() <= maximum)) {
            this->add_error(name, "accepted: a number from " + json(minimum).dump() + " to " + json(maximum).dump());
            return std::nullopt;
        }
        return member->get<double>();
    }

    [[nodiscard]] std::optional<bool> read_boolean(std::string_view name) const {
        const auto* member = this->find(name);
        if(member == nullptr) {
            return std::nullopt;
        }
        if(!member->is_boolean()) {
            this->add_error(name, "accepted: true or false");
            return std::nullopt;
        }
        return member->get<bool>();
    }

    /*! @brief Reads a single pattern or a list of patterns. Returns an empty list if the key is absent or invalid. */
    [[nodiscard]] pattern_list read_patterns(std::string_view name) const {
        pattern_list list{};
        const auto* member = this->find(name);
        if(member == nullptr) {
            return list;
        }
        const auto single = json::array({*member});
        const auto& values = member->is_array() ? *member : single;
        bool valid = !values.empty() && values.size() <= list_size_max;
        for(const auto& element : values) {
            valid = valid && element.is_string() && is_valid_pattern(element.get_ref<const std::string&>());
            if(valid) {
                list.push_back(element.get<std::string>());
            }
        }
        if(!valid) {
            this->add_error(name, "accepted: a name or a list of 1 to " + std::to_string(list_size_max) +
                                      " names; `*` only as the last character");
            return {};
        }
        return list;
    }

private:
    [[nodiscard]] static bool is_printable(std::string_view text, std::size_t length_max) noexcept {
        return !text.empty() && text.size() <= length_max && std::none_of(text.begin(), text.end(), [](const char c) {
            return static_cast<unsigned char>(c) < 0x20u;
        });
    }

    [[nodiscard]] static bool is_valid_pattern(std::string_view text) noexcept {
        const auto star = text.find('*');
        return is_printable(text, name_length_max) && (star == std::string_view::npos || star + 1u == text.size());
    }

    [[nodiscard]] std::string child_path(std::string_view name) const {
        if(name.empty() || this->path.empty()) {
            return this->path + std::string{name};
        }
        return this->path + "." + std::string{name};
    }

    const json& value;
    std::string path;
    std::optional<std::size_t> rule_index;
    std::vector<diagnostic>& errors;
};

/*! @brief Returns the minute of the day for `HH:MM`, or nothing if the value is invalid. */
[[nodiscard]] std::optional<int> parse_time_of_day(const json& value) {
    if(!value.is_string()) {
        return std::nullopt;
    }
    const auto& text = value.get_ref<const std::string&>();
    const auto* data = text.data();
    int hour{};
    int minute{};
    if(text.size() != 5u || text[2] != ':' || std::from_chars(data, data + 2, hour).ptr != data + 2 ||
        std::from_chars(data + 3, data + 5, minute).ptr != data + 5) {
        return std::nullopt;
    }
    const bool valid = hour >= 0 && minute >= 0 && minute < 60 && (hour < 24 || (hour == 24 && minute == 0));
    return valid ? std::optional{hour * 60 + minute} : std::nullopt;
}

[[nodiscard]] std::string format_time_of_day(int minute) {
    std::array<char, 16u> text{};
    std::snprintf(text.data(), text.size(), "%02d:%02d", minute / 60, minute % 60);
    return text.data();
}

[[nodiscard]] time_window decode_window(const object_reader& reader) {
    reader.check_keys({"days", "from", "to"});
    time_window window{};
    if(const auto* days = reader.find("days"); days != nullptr) {
        bool valid = days->is_array() && !days->empty();
        window.days = 0u;
        for(const auto& element : valid ? *days : json::array()) {
            const auto day = std::find_if(day_names.begin(), day_names.end(),
                [&element](std::string_view day_name) { return element == day_name; });
            valid = valid && day != day_names.end();
            if(valid) {
                window.days = static_cast<std::uint8_t>(window.days | 1u << (day - day_names.begin()));
            }
        }
        if(!valid) {
            reader.add_error("days", "accepted: a list of mon, tue, wed, thu, fri, sat, sun");
        }
    }
    for(const auto& [name, bound] : {std::pair{"from", &window.start_minute}, std::pair{"to", &window.end_minute}}) {
        if(const auto* member = reader.find(name); member != nullptr) {
            const auto minute = parse_time_of_day(*member);
            if(minute) {
                *bound = *minute;
            } else {
                reader.add_error(name, "accepted: a time of day in UTC from 00:00 to 24:00");
            }
        }
    }
    if(window.start_minute == window.end_minute || window.start_minute == minutes_per_day) {
        reader.add_error({}, "the window is empty; accepted: from and to that differ, and from before 24:00");
    }
    return window;
}

[[nodiscard]] conditions decode_conditions(const object_reader& reader) {
    reader.check_keys({"caller", "adapter", "version", "channel", "base_model", "availability_zone", "service",
        "priority", "time", "non_idempotent", "load_stall_ms"});
    conditions when{};
    when.caller = reader.read_patterns("caller");
    when.adapter = reader.read_patterns("adapter");
    when.version = reader.read_patterns("version");
    when.channel = reader.read_patterns("channel");
    when.base_model = reader.read_patterns("base_model");
    when.availability_zone = reader.read_patterns("availability_zone");
    when.service = reader.read_patterns("service");
    when.non_idempotent = reader.read_boolean("non_idempotent");

    if(const auto* member = reader.find("priority"); member != nullptr) {
        const auto child = reader.child("priority", *member);
        child.check_keys({"min", "max"});
        priority_range range{};
        range.minimum = static_cast<int>(child.read_integer("min", 0, priority_max).value_or(0));
        range.maximum = static_cast<int>(child.read_integer("max", 0, priority_max).value_or(priority_max));
        if(range.minimum > range.maximum) {
            child.add_error({}, "the range is empty; accepted: min not above max");
        }
        when.priority = range;
    }
    if(const auto* member = reader.find("load_stall_ms"); member != nullptr) {
        const auto child = reader.child("load_stall_ms", *member);
        child.check_keys({"min", "max"});
        stall_range range{};
        range.minimum = std::chrono::milliseconds{child.read_integer("min", 0, duration_ms_max).value_or(0)};
        if(const auto maximum = child.read_integer("max", 0, duration_ms_max)) {
            range.maximum = std::chrono::milliseconds{*maximum};
        }
        if(range.minimum > range.maximum) {
            child.add_error({}, "the range is empty; accepted: min not above max");
        }
        when.load_stall = range;
    }
    if(const auto* member = reader.find("time"); member != nullptr) {
        when.time = decode_window(reader.child("time", *member));
    }
    return when;
}

[[nodiscard]] placement decode_placement(const object_reader& parent, std::string_view name) {
    const auto* member = parent.find(name);
    if(member == nullptr) {
        return {};
    }
    const auto reader = parent.child(name, *member);
    reader.check_keys({"availability_zones", "upstreams"});
    placement decoded{};
    decoded.availability_zones = reader.read_patterns("availability_zones");
    decoded.upstreams = reader.read_patterns("upstreams");
    if(member->is_object() && member->empty()) {
        reader.add_error({}, "accepted: availability_zones, upstreams or both");
    }
    return decoded;
}

[[nodiscard]] std::vector<version_share> decode_resolve(const object_reader& parent) {
    std::vector<version_share> versions{};
    const auto* member = parent.find("resolve");
    if(member == nullptr) {
        return versions;
    }
    if(!member->is_object() || member->empty() || member->size() > list_size_max) {
        parent.add_error("resolve", "accepted: an object of versions and their shares, such as {\"17\": 9, \"18\": 1}");
        return versions;
    }
    const auto reader = parent.child("resolve", *member);
    for(const auto& [version, share] : member->items()) {
        if(version.empty() || version.size() > name_length_max || version.find_first_of("@/:*") != std::string::npos) {
            reader.add_error(version, "accepted: the name of a version; a rule cannot change the adapter");
            continue;
        }
        if(const auto value = reader.read_integer(version, 1, share_max)) {
            versions.push_back({.version = version, .share = static_cast<std::uint32_t>(*value)});
        }
    }
    return versions;
}

void decode_allow(const object_reader& reader, outcome& then) {
    reader.check_keys({"action", "rate_limit", "priority", "resolve", "prefer", "avoid"});
    if(const auto* member = reader.find("rate_limit"); member != nullptr) {
        const auto child = reader.child("rate_limit", *member);
        child.check_keys({"per_second", "burst", "per_caller"});
        rate_limit limit{};
        if(child.find("per_second") == nullptr) {
            child.add_error("per_second", "required key is missing");
        }
        limit.per_second = child.read_number("per_second", 0.001, rate_max).value_or(1.0);
        limit.burst = child.read_number("burst", 1.0, rate_max).value_or(std::max(1.0, limit.per_second));
        limit.per_caller = child.read_boolean("per_caller").value_or(false);
        then.rate_limit = limit;
    }
    if(const auto priority = reader.read_integer("priority", 0, priority_max)) {
        then.priority = static_cast<int>(*priority);
    }
    then.resolve = decode_resolve(reader);
    then.prefer = decode_placement(reader, "prefer");
    then.avoid = decode_placement(reader, "avoid");
}

[[nodiscard]] outcome decode_outcome(const object_reader& reader) {
    outcome then{};
    const auto* member = reader.find("action");
    // A response must be served by the adapter and version that the request names.
    for(const auto* name : {"adapter", "version", "base_model", "model"}) {
        if(reader.find(name) != nullptr) {
            reader.add_error(name, "a rule cannot change the adapter, version or base model that the request names");
        }
    }
    if(member != nullptr && *member == "refuse") {
        then.action = action::refuse;
        reader.check_keys({"action", "reason", "retry_after_ms"});
        if(reader.find("reason") == nullptr) {
            reader.add_error("reason", "required key is missing; accepted: a sentence for the caller");
        }
        then.reason = reader.read_string("reason", text_length_max).value_or("");
        if(const auto retry = reader.read_integer("retry_after_ms", 0, duration_ms_max)) {
            then.retry_after = std::chrono::milliseconds{*retry};
        }
    } else if(member != nullptr && *member == "drain") {
        then.action = action::drain;
        reader.check_keys({"action", "upstreams"});
        then.drained_upstreams = reader.read_patterns("upstreams");
        if(reader.find("upstreams") == nullptr) {
            reader.add_error("upstreams", "required key is missing; accepted: a name or a list of names");
        }
    } else if(member != nullptr && *member == "allow") {
        decode_allow(reader, then);
    } else {
        reader.add_error("action", "accepted: \"allow\", \"refuse\" or \"drain\"");
    }
    return then;
}

/*! @brief Checks constraints between the `when` and the `then` part of a rule. */
void check_rule(const rule& value, const object_reader& reader) {
    if(!value.then.resolve.empty() && value.when.channel.empty()) {
        reader.add_error("then.resolve",
            "needs the condition when.channel, because a rule cannot change a version that the "
            "request names");
    }
    if(value.then.action == action::drain) {
        conditions time_only{};
        time_only.time = value.when.time;
        if(time_only != value.when) {
            reader.add_error(
                "when", "a drain applies to an upstream and not to a request; accepted: only the condition time");
        }
    }
}

[[nodiscard]] rule decode_rule(const object_reader& reader) {
    reader.check_keys({"name", "description", "enabled", "when", "then"});
    rule decoded{};
    if(reader.find("name") == nullptr) {
        reader.add_error("name", "required key is missing; accepted: a unique name");
    }
    decoded.name = reader.read_string("name", name_length_max).value_or("");
    decoded.description = reader.read_string("description", text_length_max).value_or("");
    decoded.enabled = reader.read_boolean("enabled").value_or(true);
    if(const auto* member = reader.find("when"); member != nullptr) {
        decoded.when = decode_conditions(reader.child("when", *member));
    }
    if(const auto* member = reader.find("then"); member != nullptr) {
        decoded.then = decode_outcome(reader.child("then", *member));
    } else {
        reader.add_error("then", "required key is missing; accepted: an object with the key action");
    }
    check_rule(decoded, reader);
    return decoded;
}

void write_patterns(json& object, const char* name, const pattern_list& values) {
    if(values.size() == 1u) {
        object[name] = values.front();
    } else if(!values.empty()) {
        object[name] = values;
    }
}

[[nodiscard]] json encode(const placement& value) {
    json result = json::object();
    write_patterns(result, "availability_zones", value.availability_zones);
    write_patterns(result, "upstreams", value.upstreams);
    return result;
}

[[nodiscard]] json encode(const time_window& window) {
    json result = json::object();
    if(window.days != time_window{}.days) {
        result["days"] = json::array();
        for(std::size_t day{}; day < day_names.size(); ++day) {
            if((window.days >> day & 1u) != 0u) {
                result["days"].push_back(day_names[day]);
            }
        }
    }
    result["from"] = format_time_of_day(window.start_minute);
    result["to"] = format_time_of_day(window.end_minute);
    return result;
}

[[nodiscard]] json encode(const conditions& when) {
    json result = json::object();
    write_patterns(result, "caller", when.caller);
    write_patterns(result, "adapter", when.adapter);
    write_patterns(result, "version", when.version);
    write_patterns(result, "channel", when.channel);
    write_patterns(result, "base_model", when.base_model);
    write_patterns(result, "availability_zone", when.availability_zone);
    write_patterns(result, "service", when.service);
    if(when.priority) {
        result["priority"] = {{"min", when.priority->minimum}, {"max", when.priority->maximum}};
    }
    if(when.load_stall) {
        result["load_stall_ms"] = {{"min", when.load_stall->minimum.count()}};
        if(when.load_stall->maximum != stall_range{}.maximum) {
            result["load_stall_ms"]["max"] = when.load_stall->maximum.count();
        }
    }
    if(when.time) {
        result["time"] = encode(*when.time);
    }
    if(when.non_idempotent) {
        result["non_idempotent"] = *when.non_idempotent;
    }
    return result;
}

} // namespace

tl::expected<rule_set, std::vector<diagnostic>> decode(const nlohmann::json& document) {
    std::vector<diagnostic> errors{};
    rule_set set{};
    const object_reader reader{document, {}, std::nullopt, errors};
    reader.check_keys({"rules"});
    const auto* rule_list = reader.find("rules");
    if(document.is_object() && (rule_list == nullptr || !rule_list->is_array() || rule_list->size() > rule_count_max)) {
        errors.push_back({.rule_index = {},
            .path = "rules",
            .message = "accepted: a list of at most " + std::to_string(rule_count_max) + " rules"});
        rule_list = nullptr;
    }
    std::map<std::string, std::size_t> index_by_name{};
    for(std::size_t index{}; rule_list != nullptr && index < rule_list->size(); ++index) {
        const object_reader rule_reader{(*rule_list)[index], "rules[" + std::to_string(index) + "]", index, errors};
        set.rules.push_back(decode_rule(rule_reader));
        const auto& name = set.rules.back().name;
        if(const auto [existing, inserted] = index_by_name.emplace(name, index); !inserted && !name.empty()) {
            rule_reader.add_error("name", "\"" + name + "\" is the name of rule " + std::to_string(existing->second) +
                                              " too; accepted: a unique name");
        }
    }
    if(!errors.empty()) {
        return tl::make_unexpected(std::move(errors));
    }
    return set;
}

nlohmann::json encode(const outcome& value) {
    json result = json::object();
    result["action"] = to_string(value.action);
    if(!value.reason.empty()) {
        result["reason"] = value.reason;
    }
    if(value.retry_after) {
        result["retry_after_ms"] = value.retry_after->count();
    }
    if(value.rate_limit) {
        result["rate_limit"] = {{"per_second", value.rate_limit->per_second}, {"burst", value.rate_limit->burst},
            {"per_caller", value.rate_limit->per_caller}};
    }
    if(value.priority) {
        result["priority"] = *value.priority;
    }
    for(const auto& entry : value.resolve) {
        result["resolve"][entry.version] = entry.share;
    }
    if(!value.prefer.empty()) {
        result["prefer"] = encode(value.prefer);
    }
    if(!value.avoid.empty()) {
        result["avoid"] = encode(value.avoid);
    }
    write_patterns(result, "upstreams", value.drained_upstreams);
    return result;
}

nlohmann::json encode(const rule_set& set) {
    json list = json::array();
    for(const auto& item : set.rules) {
        json result = json::object();
        result["name"] = item.name;
        if(!item.description.empty()) {
            result["description"] = item.description;
        }
        if(!item.enabled) {
            result["enabled"] = false;
        }
        result["when"] = encode(item.when);
        result["then"] = encode(item.then);
        list.push_back(std::move(result));
    }
    json document = json::object();
    document["rules"] = std::move(list);
    return document;
}

nlohmann::json encode(const std::vector<diagnostic>& diagnostics) {
    json list = json::array();
    for(const auto& item : diagnostics) {
        json result = json::object();
        result["rule"] = item.rule_index ? json(*item.rule_index) : json(nullptr);
        result["path"] = item.path;
        result["message"] = item.message;
        list.push_back(std::move(result));
    }
    return list;
}

} // namespace lagoonsaddle::rules
