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

/*! @brief Upstream events at most this long before the arrival of a request are relevant to it. */
constexpr std::int64_t upstream_event_window_ms{3'000};
/*! @brief The same limit for node events; stops and store outages last longer. */
constexpr std::int64_t node_event_window_ms{12'000};
/*! @brief Other nodes log the cause of a failure at most this long after the end of the request. */
constexpr std::int64_t late_event_window_ms{1'500};

/*! @brief After its start, a node may not know all upstreams for this long. */
constexpr std::int64_t node_startup_ms{3'000};

constexpr std::array<std::string_view, 6u> node_events{
    "start", "reload", "stop", "stopped", "store_lost", "store_regained"};
constexpr std::array<std::string_view, 4u> upstream_events{
    "upstream_added", "upstream_leaving", "upstream_gone", "order"};
constexpr std::string_view lease_event_prefix{"lease_"};

[[nodiscard]] bool contains(std::span<const std::string_view> names, std::string_view name) {
    return std::ranges::find(names, name) != names.end();
}

/*! @brief Parses `key=value` or `key="value"` at the front of a text and removes it from the text. */
[[nodiscard]] std::optional<std::pair<std::string, std::string>> parse_next_field(std::string_view& text) {
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

/*! @brief Sentence for a reason in the last line of a request. */
struct reason_explanation {
    std::string_view reason{};
    std::string_view text{};
};

constexpr std::array reason_explanations{
    reason_explanation{"draining", "the node was about to stop and could not have finished the request in time"},
    reason_explanation{"lease_expired",
        "no node could order the load of the adapter: the lease of the availability zone was "
        "changing hands"},
    reason_explanation{"adapter_not_resident", "the adapter was no longer resident on the upstreams that were tried"},
    reason_explanation{"overloaded", "all adapter slots or queues of the upstreams that were tried were full"},
    reason_explanation{"connection_lost", "the upstream ended the connection before its answer was complete"},
    reason_explanation{"connection_refused", "the upstream could not be reached"},
    reason_explanation{"timeout", "the upstream, or the load of the adapter, did not finish in time"},
    reason_explanation{"deadline_exceeded", "the deadline passed before an upstream could answer"},
    reason_explanation{"protocol_error", "the response of the upstream was invalid or did not belong to the request"},
    reason_explanation{
        "quarantined", "requests with this body, or with a part of its prompt, crashed the upstreams that ran them"},
    reason_explanation{"not_found", "no route of the configuration in force matches the host and path"},
    reason_explanation{"invalid_argument", "a field of the request is not valid"},
    reason_explanation{"cancelled", "the caller closed its connection"},
    reason_explanation{"unavailable", "no upstream could take the request"},
};

[[nodiscard]] std::string describe_outcome(const log_record& last) {
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
    const auto explanation = std::ranges::find(reason_explanations, reason, &reason_explanation::reason);
    std::string text{explanation == reason_explanations.end() ? reason : explanation->text};
    if(last.find("path").find("no_budget") != std::string_view::npos) {
        text += "; the retry budget of the cluster allowed no further attempt";
    }
    if(outcome == "broken") {
        text += "; the response had begun, so the connection was closed before its end";
    }
    return text;
}

/*! @brief Describes the events of nodes and upstreams that contributed to the outcome. */
[[nodiscard]] std::string describe_contributing_events(const std::vector<const log_record*>& context_records,
    std::string_view node, std::int64_t arrival_ms, std::int64_t end_ms) {
    std::string text{};
    for(const auto* record : context_records) {
        const bool from_request_node = record->node == node && record->time_ms <= end_ms;
        if(record->event == "upstream_gone" || record->event == "upstream_leaving") {
            const bool repeated = text.find(record->find("upstream")) != std::string::npos;
            text += repeated ? std::string{}
                             : "; upstream " + std::string{record->find("upstream")} +
                                   (record->event == "upstream_gone" ? " was gone" : " was leaving");
        } else if(from_request_node && record->event == "stop") {
            text += "; the node had been told to stop";
        } else if(from_request_node && record->event == "start" && arrival_ms - record->time_ms <= node_startup_ms) {
            text += "; the node had just started";
        } else if(from_request_node && record->event == "store_lost" && text.find("store") == std::string::npos) {
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
    while(auto field = parse_next_field(rest)) {
        if(field->first == "event") {
            record.event = std::move(field->second);
        } else if(field->first == "node" && record.event.empty()) {
            // After the event, a field `node` is the subject of the event, not the node that logged the line.
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

log_timeline::log_timeline(std::string request_id) : request_id{std::move(request_id)} {}

void log_timeline::read_log(std::istream& input, std::string_view source) {
    const auto request_field = " id=" + this->request_id;
    std::string line{};
    while(std::getline(input, line)) {
        const bool has_request_id = line.find(" id=") != std::string::npos;
        if(has_request_id && line.find(request_field) == std::string::npos) {
            continue;
        }
        auto record = parse_log_line(line, source);
        if(!record) {
            continue;
        }
        if(record->find("id") == this->request_id) {
            this->request_records.push_back(std::move(*record));
        } else if(!has_request_id) {
            this->other_records.push_back(std::move(*record));
        }
    }
}

const log_record* log_timeline::final_record() const {
    const auto found = std::ranges::find(this->request_records, "request", &log_record::event);
    return found == this->request_records.end() ? nullptr : &*found;
}

log_timeline::request_summary log_timeline::summarize_request() const {
    request_summary request{};
    const auto [first, last] = std::ranges::minmax_element(this->request_records, {}, &log_record::time_ms);
    request.arrival_ms = first->time_ms;
    request.end_ms = last->time_ms;
    request.node = first->node;
    if(const auto* end = this->final_record()) {
        request.node = end->node;
        request.adapter = end->find("adapter");
        request.arrival_ms = std::min(request.arrival_ms, end->time_ms - end->number("ms"));
    }
    for(const auto& record : this->request_records) {
        if(const auto upstream = record.find("upstream"); !upstream.empty()) {
            request.upstreams.emplace(upstream);
        }
        request.waited_for_load = request.waited_for_load || record.event == "load";
    }
    return request;
}

bool log_timeline::is_relevant(const log_record& record, const request_summary& request) {
    if(record.time_ms > request.end_ms + late_event_window_ms) {
        return false;
    }
    const auto age = request.arrival_ms - record.time_ms;
    if(contains(node_events, record.event)) {
        return record.node == request.node && age <= node_event_window_ms;
    }
    if(age > upstream_event_window_ms) {
        return false;
    }
    if(contains(upstream_events, record.event)) {
        const bool order_of_other_adapter =
            record.event == "order" && !record.find("adapter").ends_with('/' + request.adapter);
        return !order_of_other_adapter && request.upstreams.contains(record.find("upstream"));
    }
    if(record.event.starts_with(lease_event_prefix)) {
        return request.waited_for_load;
    }
    return record.event == "configuration" && record.node == request.node;
}

json log_timeline::explain() const {
    const auto request = this->summarize_request();
    std::vector<const log_record*> timeline_records{};
    timeline_records.reserve(this->request_records.size());
    for(const auto& record : this->request_records) {
        timeline_records.push_back(&record);
    }
    std::vector<const log_record*> context_records{};
    for(const auto& record : this->other_records) {
        if(is_relevant(record, request)) {
            context_records.push_back(&record);
        }
    }
    timeline_records.insert(timeline_records.end(), context_records.begin(), context_records.end());
    std::ranges::stable_sort(timeline_records, {}, [](const log_record* record) { return record->time_ms; });

    json result = json::object();
    result["request_id"] = this->request_id;
    const auto* last = this->final_record();
    result["complete"] = last != nullptr;
    result["outcome"] = last != nullptr ? std::string{last->find("outcome")} : std::string{};
    result["cause"] = last != nullptr ? describe_outcome(*last) + describe_contributing_events(context_records,
                                                                      request.node, request.arrival_ms, request.end_ms)
                                      : "the last line of the request is missing: the node ended, or dropped log lines";
    auto& lines = result["timeline"] = json::array();
    for(const auto* record : timeline_records) {
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
