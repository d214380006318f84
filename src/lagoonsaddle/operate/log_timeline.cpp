#include <algorithm>
#include <array>
#include <charconv>
#include <functional>
#include <istream>
#include <span>

#include <lagoonsaddle/operate/log_timeline.hpp>

namespace lagoonsaddle::operate {

namespace {

using nlohmann::json;

/*! @brief Time before the arrival within which a decision about an upstream explains a request. */
constexpr std::int64_t context_before_ms{3'000};
/*! @brief The same for the state of a node: stops and outages last longer. */
constexpr std::int64_t node_context_before_ms{12'000};
/*! @brief Time after the end within which others learn what ended the request. */
constexpr std::int64_t context_after_ms{1'500};

/*! @brief Time after its start in which a node may not know all upstreams yet. */
constexpr std::int64_t settling_ms{3'000};

constexpr std::array<std::string_view, 6u> node_events{
    "start", "reload", "stop", "stopped", "store_lost", "store_regained"};
constexpr std::array<std::string_view, 4u> upstream_events{
    "upstream_added", "upstream_leaving", "upstream_gone", "order"};
constexpr std::string_view lease_event_prefix{"lease_"};

[[nodiscard]] bool contains(std::span<const std::string_view> names, std::string_view name) {
    return std::ranges::find(names, name) != names.end();
}

/*! @brief Takes the next `key=value` or `key="value"` from the front of a text. */
[[nodiscard]] std::optional<std::pair<std::string, std::string>> take_field(std::string_view& text) {
    const auto begin = text.find_first_not_of(' ');
    const auto equals = begin == std::string_view::npos ? begin : text.find('=', begin);
    if(equals == std::string_view::npos) {
        return std::nullopt;
    }
    std::string key{text.substr(begin, equals - begin)};
    text.remove_prefix(equals + 1u);
    const bool quoted = text.starts_with('"');
    if(quoted) {
        text.remove_prefix(1u);
    }
    const auto end = std::min(text.find(quoted ? '"' : ' '), text.size());
    std::string value{text.substr(0u, end)};
    text.remove_prefix(std::min(end + 1u, text.size()));
    return std::pair{std::move(key), std::move(value)};
}

/*! @brief Explanation by the reason in the last line of a request. */
struct reason_text {
    std::string_view reason{};
    std::string_view text{};
};

constexpr std::array reason_texts{
    reason_text{"draining", "the node was about to stop and could not have finished the request in time"},
    reason_text{"lease_expired", "no node could order the load of the adapter: the lease of the availability zone was "
                                 "changing hands"},
    reason_text{"adapter_not_resident", "the upstreams that were asked no longer held the adapter"},
    reason_text{"overloaded", "all adapter places or queues of the upstreams that were asked were in use"},
    reason_text{"connection_lost", "the upstream ended the connection before its answer was complete"},
    reason_text{"connection_refused", "the upstream could not be reached"},
    reason_text{"timeout", "the upstream, or the load of the adapter, did not end in time"},
    reason_text{"deadline_exceeded", "the deadline passed before an upstream could answer"},
    reason_text{"protocol_error", "the upstream answered with bytes that are not its own whole answer"},
    reason_text{"quarantined", "requests with this body crashed the upstreams that ran them"},
    reason_text{"not_found", "no route of the configuration in force matches the host and path"},
    reason_text{"invalid_argument", "a field of the request is not valid"},
    reason_text{"cancelled", "the caller closed its connection"},
    reason_text{"unavailable", "no upstream could take the request"},
};

[[nodiscard]] std::string explain_outcome(const log_record& last) {
    const auto outcome = last.find("outcome");
    if(outcome == "served") {
        return "the request was served; first_ms and gap_ms of its last line tell whether it was late";
    }
    if(outcome == "upstream_failure") {
        return "the upstream's own answer was a failure: " + std::string{last.find("message")};
    }
    if(outcome == "caller_gone") {
        return "the caller closed its connection after " + std::string{last.find("ms")} + " ms";
    }
    const auto reason = last.find("reason");
    const auto known = std::ranges::find(reason_texts, reason, &reason_text::reason);
    std::string text{known == reason_texts.end() ? reason : known->text};
    if(last.find("path").find("no_budget") != std::string_view::npos) {
        text += "; another send was not allowed by the fleet's retry budget";
    }
    if(outcome == "broken") {
        text += "; the answer had begun, so that the connection was closed without its end";
    }
    return text;
}

/*! @brief Names decisions of nodes that stand behind the outcome. */
[[nodiscard]] std::string explain_context(const std::vector<const log_record*>& context, std::string_view node,
    std::int64_t arrival_ms, std::int64_t end_ms) {
    std::string text{};
    for(const auto* record : context) {
        const bool own_node = record->node == node && record->time_ms <= end_ms;
        if(record->event == "upstream_gone" || record->event == "upstream_leaving") {
            const bool repeated = text.find(record->find("upstream")) != std::string::npos;
            text += repeated ? std::string{}
                             : "; upstream " + std::string{record->find("upstream")} +
                                   (record->event == "upstream_gone" ? " was gone" : " was leaving");
        } else if(own_node && record->event == "stop") {
            text += "; the node had been told to stop";
        } else if(own_node && record->event == "start" && arrival_ms - record->time_ms <= settling_ms) {
            text += "; the node had just started";
        } else if(own_node && record->event == "store_lost" && text.find("store") == std::string::npos) {
            text += "; the node could not reach the store";
        }
    }
    return text;
}

} // namespace

std::string_view log_record::find(std::string_view key) const {
    const auto found = std::ranges::find(this->fields, key, &std::pair<std::string, std::string>::first);
    return found == this->fields.end() ? std::string_view{} : std::string_view{found->second};
}

std::int64_t log_record::number(std::string_view key) const {
    const auto text = this->find(key);
    std::int64_t value{};
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::optional<log_record> parse_log_line(std::string_view line, std::string_view source) {
    constexpr std::string_view first_key{"time_ms="};
    const auto begin = line.find(first_key);
    if(begin == std::string_view::npos) {
        return std::nullopt;
    }
    auto rest = line.substr(begin);
    log_record record{.node = std::string{source}};
    while(auto field = take_field(rest)) {
        if(field->first == "event") {
            record.event = std::move(field->second);
        } else if(field->first == "node" && record.event.empty()) {
            // A field of that name after the event tells of another node.
            record.node = std::move(field->second);
        } else {
            record.fields.push_back(std::move(*field));
        }
    }
    record.time_ms = record.number("time_ms");
    if(record.event.empty() || record.time_ms == 0) {
        return std::nullopt;
    }
    record.fields.erase(record.fields.begin());
    return record;
}

log_timeline::log_timeline(std::string request_id) : id{std::move(request_id)} {}

void log_timeline::read(std::istream& input, std::string_view source) {
    const auto mark = " id=" + this->id;
    std::string line{};
    while(std::getline(input, line)) {
        const bool of_request = line.find(" id=") != std::string::npos;
        if(of_request && line.find(mark) == std::string::npos) {
            continue;
        }
        auto record = parse_log_line(line, source);
        if(!record) {
            continue;
        }
        if(record->find("id") == this->id) {
            this->own.push_back(std::move(*record));
        } else if(!of_request) {
            this->others.push_back(std::move(*record));
        }
    }
}

const log_record* log_timeline::final_line() const {
    const auto found = std::ranges::find(this->own, "request", &log_record::event);
    return found == this->own.end() ? nullptr : &*found;
}

log_timeline::scope log_timeline::scope_of() const {
    scope request{};
    const auto [first, last] = std::ranges::minmax_element(this->own, {}, &log_record::time_ms);
    request.arrival_ms = first->time_ms;
    request.end_ms = last->time_ms;
    request.node = first->node;
    if(const auto* end = this->final_line()) {
        request.node = end->node;
        request.adapter = end->find("adapter");
        request.arrival_ms = std::min(request.arrival_ms, end->time_ms - end->number("ms"));
    }
    for(const auto& record : this->own) {
        if(const auto upstream = record.find("upstream"); !upstream.empty()) {
            request.upstreams.emplace(upstream);
        }
        request.loaded = request.loaded || record.event == "load";
    }
    return request;
}

bool log_timeline::explains(const log_record& record, const scope& request) {
    if(record.time_ms > request.end_ms + context_after_ms) {
        return false;
    }
    const auto age = request.arrival_ms - record.time_ms;
    if(contains(node_events, record.event)) {
        return record.node == request.node && age <= node_context_before_ms;
    }
    if(age > context_before_ms) {
        return false;
    }
    if(contains(upstream_events, record.event)) {
        const bool order_of_other = record.event == "order" && !record.find("adapter").ends_with('/' + request.adapter);
        return !order_of_other && request.upstreams.contains(record.find("upstream"));
    }
    if(record.event.starts_with(lease_event_prefix)) {
        return request.loaded;
    }
    return record.event == "configuration" && record.node == request.node;
}

json log_timeline::explain() const {
    const auto request = this->scope_of();
    std::vector<const log_record*> shown{};
    shown.reserve(this->own.size());
    for(const auto& record : this->own) {
        shown.push_back(&record);
    }
    std::vector<const log_record*> context{};
    for(const auto& record : this->others) {
        if(explains(record, request)) {
            context.push_back(&record);
        }
    }
    shown.insert(shown.end(), context.begin(), context.end());
    std::ranges::stable_sort(shown, {}, [](const log_record* record) { return record->time_ms; });

    json result = json::object();
    result["request_id"] = this->id;
    const auto* last = this->final_line();
    result["complete"] = last != nullptr;
    result["outcome"] = last != nullptr ? std::string{last->find("outcome")} : std::string{};
    result["cause"] = last != nullptr ? explain_outcome(*last) +
                                            explain_context(context, request.node, request.arrival_ms, request.end_ms)
                                      : "the last line of the request is missing: the node ended, or dropped log lines";
    auto& lines = result["timeline"] = json::array();
    for(const auto* record : shown) {
        json fields = json::object();
        for(const auto& [key, value] : record->fields) {
            fields[key] = value;
        }
        json line = json::object();
        line["offset_ms"] = record->time_ms - request.arrival_ms;
        line["node"] = record->node;
        line["event"] = record->event;
        line["fields"] = std::move(fields);
        lines.push_back(std::move(line));
    }
    return result;
}

} // namespace lagoonsaddle::operate
