#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <chrono>
#include <cmath>
#include <concepts>
#include <cstdint>
#include <limits>
#include <optional>
#include <string_view>
#include <type_traits>
#include <utility>

#include <lagoonsaddle/settings/keys.hpp>

namespace lagoonsaddle::settings {

namespace {

using nlohmann::json;

/*! @brief Inclusive range of a number. */
struct value_range {
    double minimum{};
    double maximum{};
};

/*! @brief Unit and validation of a key. */
struct key_options {
    std::string_view unit{};
    value_range range{};
    /*! @brief Accepted strings; empty when any string is accepted. */
    std::vector<std::string> choices{};
    bool required{false};
    /*! @brief The value is a numeric IP address. */
    bool address{false};
};

constexpr value_range port_range{0.0, 65'535.0};
constexpr double hour_ms = 3'600'000.0;
constexpr double day_ms = 24.0 * hour_ms;

[[nodiscard]] bool is_valid_address(const std::string& text) noexcept {
    std::array<unsigned char, sizeof(in6_addr)> buffer{};
    return ::inet_pton(AF_INET, text.c_str(), buffer.data()) == 1 ||
           ::inet_pton(AF_INET6, text.c_str(), buffer.data()) == 1;
}

[[nodiscard]] std::optional<core::endpoint> parse_endpoint(const json& value) {
    if(!value.is_string()) {
        return std::nullopt;
    }
    const auto& text = value.get_ref<const std::string&>();
    const auto colon = text.rfind(':');
    if(colon == std::string::npos) {
        return std::nullopt;
    }
    core::endpoint parsed{.address = text.substr(0u, colon), .port = 0u};
    if(parsed.address.size() > 2u && parsed.address.front() == '[' && parsed.address.back() == ']') {
        parsed.address = parsed.address.substr(1u, parsed.address.size() - 2u);
    }
    const auto* last = text.data() + text.size();
    const auto port = std::from_chars(text.data() + colon + 1u, last, parsed.port);
    if(port.ec != std::errc{} || port.ptr != last || parsed.port == 0u || !is_valid_address(parsed.address)) {
        return std::nullopt;
    }
    return parsed;
}

[[nodiscard]] std::string format_number(double value) {
    return (std::floor(value) == value) ? std::to_string(static_cast<std::int64_t>(value)) : json(value).dump();
}

[[nodiscard]] bool is_in_range(double value, const value_range& range) noexcept {
    return value >= range.minimum && value <= range.maximum;
}

template<typename Type>
concept non_bool_integral = std::integral<Type> && !std::same_as<Type, bool>;

// Every value type has an overload of describe_type, describe_accepted, describe_default and assign.

[[nodiscard]] std::string describe_type(const std::string&, const key_options& options) {
    return options.choices.empty() ? (options.address ? "IP address" : "string") : "one of";
}

[[nodiscard]] std::string describe_accepted(const std::string&, const key_options& options) {
    if(!options.choices.empty()) {
        std::string text{"one of "};
        for(std::size_t index{}; index < options.choices.size(); ++index) {
            text += (index == 0u ? "\"" : ", \"") + options.choices[index] + "\"";
        }
        return text;
    }
    if(options.address) {
        return "a numeric IPv4 or IPv6 address";
    }
    return options.required ? "a non-empty string" : "a string";
}

[[nodiscard]] std::string describe_default(const std::string& value) {
    return json(value).dump();
}

[[nodiscard]] bool assign(std::string& target, const json& value, const key_options& options) {
    if(!value.is_string()) {
        return false;
    }
    const auto& text = value.get_ref<const std::string&>();
    const bool is_choice = options.choices.empty() ||
                           std::find(options.choices.begin(), options.choices.end(), text) != options.choices.end();
    if(!is_choice || (options.required && text.empty()) || (options.address && !is_valid_address(text))) {
        return false;
    }
    target = text;
    return true;
}

[[nodiscard]] std::string describe_integer_range(const key_options& options) {
    return "an integer from " + format_number(options.range.minimum) + " to " + format_number(options.range.maximum);
}

template<non_bool_integral Type>
[[nodiscard]] std::string describe_type(const Type&, const key_options&) {
    return "integer";
}

template<non_bool_integral Type>
[[nodiscard]] std::string describe_accepted(const Type&, const key_options& options) {
    return describe_integer_range(options);
}

template<non_bool_integral Type>
[[nodiscard]] std::string describe_default(const Type& value) {
    return std::to_string(value);
}

template<non_bool_integral Type>
[[nodiscard]] bool assign(Type& target, const json& value, const key_options& options) {
    if(!value.is_number_integer() || !is_in_range(value.get<double>(), options.range)) {
        return false;
    }
    target = value.get<Type>();
    return true;
}

[[nodiscard]] std::string describe_type(const std::chrono::milliseconds&, const key_options&) {
    return "integer";
}

[[nodiscard]] std::string describe_accepted(const std::chrono::milliseconds&, const key_options& options) {
    return describe_integer_range(options);
}

[[nodiscard]] std::string describe_default(const std::chrono::milliseconds& value) {
    return std::to_string(value.count());
}

[[nodiscard]] bool assign(std::chrono::milliseconds& target, const json& value, const key_options& options) {
    std::int64_t count{};
    if(!assign(count, value, options)) {
        return false;
    }
    target = std::chrono::milliseconds{count};
    return true;
}

[[nodiscard]] std::string describe_type(const double&, const key_options&) {
    return "number";
}

[[nodiscard]] std::string describe_accepted(const double&, const key_options& options) {
    return "a number from " + format_number(options.range.minimum) + " to " + format_number(options.range.maximum);
}

[[nodiscard]] std::string describe_default(const double& value) {
    return json(value).dump();
}

[[nodiscard]] bool assign(double& target, const json& value, const key_options& options) {
    if(!value.is_number() || !is_in_range(value.get<double>(), options.range)) {
        return false;
    }
    target = value.get<double>();
    return true;
}

[[nodiscard]] std::string describe_type(const bool&, const key_options&) {
    return "boolean";
}

[[nodiscard]] std::string describe_accepted(const bool&, const key_options&) {
    return "true or false";
}

[[nodiscard]] std::string describe_default(const bool& value) {
    return value ? "true" : "false";
}

[[nodiscard]] bool assign(bool& target, const json& value, const key_options&) {
    if(!value.is_boolean()) {
        return false;
    }
    target = value.get<bool>();
    return true;
}

[[nodiscard]] std::string describe_type(const core::endpoint&, const key_options&) {
    return "endpoint";
}

[[nodiscard]] std::string describe_accepted(const core::endpoint&, const key_options&) {
    return "a string \"ADDRESS:PORT\" with a numeric IP address and a port from 1 to 65535";
}

[[nodiscard]] std::string describe_default(const core::endpoint&) {
    return "not used";
}

[[nodiscard]] bool assign(core::endpoint& target, const json& value, const key_options&) {
    auto parsed = parse_endpoint(value);
    if(!parsed) {
        return false;
    }
    target = *std::move(parsed);
    return true;
}

[[nodiscard]] std::string describe_type(const std::vector<core::endpoint>&, const key_options&) {
    return "list of endpoints";
}

[[nodiscard]] std::string describe_accepted(const std::vector<core::endpoint>&, const key_options&) {
    return "a list of strings \"ADDRESS:PORT\" with a numeric IP address and a port from 1 to 65535";
}

[[nodiscard]] std::string describe_default(const std::vector<core::endpoint>&) {
    return "[]";
}

[[nodiscard]] bool assign(std::vector<core::endpoint>& target, const json& value, const key_options&) {
    if(!value.is_array()) {
        return false;
    }
    std::vector<core::endpoint> parsed{};
    for(const auto& element : value) {
        auto endpoint = parse_endpoint(element);
        if(!endpoint) {
            return false;
        }
        parsed.push_back(*std::move(endpoint));
    }
    target = std::move(parsed);
    return true;
}

[[nodiscard]] std::string describe_type(const upstream_kind&, const key_options&) {
    return "one of";
}

[[nodiscard]] std::string describe_accepted(const upstream_kind&, const key_options&) {
    return R"(one of "engine", "service")";
}

[[nodiscard]] std::string describe_default(const upstream_kind&) {
    return R"("engine")";
}

[[nodiscard]] bool assign(upstream_kind& target, const json& value, const key_options&) {
    if(value != "engine" && value != "service") {
        return false;
    }
    target = (value == "engine") ? upstream_kind::engine : upstream_kind::service;
    return true;
}

template<typename Settings, typename Accessor>
[[nodiscard]] internal::key_binding<Settings> make_binding(
    const std::string& path, const std::string& description, key_options options, Accessor accessor) {
    Settings defaults{};
    const auto& value = accessor(defaults);
    internal::key_binding<Settings> binding{};
    binding.definition = key{.path = path,
        .type = describe_type(value, options),
        .unit = std::string{options.unit},
        .default_value = options.required ? std::string{} : describe_default(value),
        .accepted_values = describe_accepted(value, options),
        .description = description,
        .required = options.required};
    binding.assign = [accessor, options = std::move(options)](const json& input, Settings& settings) {
        return assign(accessor(settings), input, options);
    };
    return binding;
}

[[nodiscard]] key_options milliseconds_range(double minimum, double maximum) {
    return {.unit = "ms", .range = {minimum, maximum}};
}

[[nodiscard]] key_options bytes_range(double minimum, double maximum) {
    return {.unit = "bytes", .range = {minimum, maximum}};
}

[[nodiscard]] key_options number_range(double minimum, double maximum, std::string_view unit = {}) {
    return {.unit = unit, .range = {minimum, maximum}};
}

[[nodiscard]] std::vector<internal::key_binding<node_settings>> make_node_keys() {
    using settings_type = node_settings;
    const auto bind_key = [](const std::string& path, const std::string& description, key_options options,
                              auto accessor) {
        return make_binding<settings_type>(path, description, std::move(options), accessor);
    };
    const key_options required{.required = true};
    const key_options address{.address = true};
    const key_options port{.range = port_range};

    return {
        bind_key("node.name", "Name of the node, unique in the deployment.", required,
            [](settings_type& values) -> auto& { return values.node.name; }),
        bind_key("node.availability_zone", "Availability zone of the VM.", required,
            [](settings_type& values) -> auto& { return values.node.availability_zone; }),
        bind_key("node.threads", "Threads that run the node.", number_range(1, 256),
            [](settings_type& values) -> auto& { return values.node.threads; }),
        bind_key("caller_api.address", "Address that callers connect to.", address,
            [](settings_type& values) -> auto& { return values.caller_api.listen.address; }),
        bind_key("caller_api.port", "TCP port that callers connect to; 0 picks a free one.", port,
            [](settings_type& values) -> auto& { return values.caller_api.listen.port; }),
        bind_key("caller_api.body_limit_bytes", "Largest request body.", bytes_range(1'024, 1'073'741'824),
            [](settings_type& values) -> auto& { return values.caller_api.body_limit_bytes; }),
        bind_key("caller_api.body_memory_bytes", "Limit of all request bodies that the node holds at a time.",
            bytes_range(1'024, 1'099'511'627'776),
            [](settings_type& values) -> auto& { return values.caller_api.body_memory_bytes; }),
        bind_key("caller_api.header_limit_bytes", "Largest request head.", bytes_range(1'024, 1'048'576),
            [](settings_type& values) -> auto& { return values.caller_api.header_limit_bytes; }),
        bind_key("caller_api.request_timeout_ms", "Time that a caller has to send one whole request.",
            milliseconds_range(100, hour_ms),
            [](settings_type& values) -> auto& { return values.caller_api.request_timeout; }),
        bind_key("caller_api.default_deadline_ms", "Deadline of a request without x-deadline-ms.",
            milliseconds_range(1, hour_ms),
            [](settings_type& values) -> auto& { return values.caller_api.default_deadline; }),
        bind_key("caller_api.max_deadline_ms", "Longest deadline; a request with a longer x-deadline-ms is refused.",
            milliseconds_range(1, hour_ms),
            [](settings_type& values) -> auto& { return values.caller_api.max_deadline; }),
        bind_key("caller_api.max_output_tokens", "Most tokens that a request may ask for in max_tokens.",
            number_range(1, 1'000'000, "tokens"),
            [](settings_type& values) -> auto& { return values.caller_api.max_output_tokens; }),
        bind_key("operator_api.address", "Address that operators connect to.", address,
            [](settings_type& values) -> auto& { return values.operator_api.listen.address; }),
        bind_key("operator_api.port", "TCP port that operators connect to; 0 picks a free one.", port,
            [](settings_type& values) -> auto& { return values.operator_api.listen.port; }),
        bind_key("operator_api.token_file", "File whose first line is the bearer token of operators.", required,
            [](settings_type& values) -> auto& { return values.operator_api.token_file; }),
        bind_key("peer.address", "Address that other nodes connect to.", address,
            [](settings_type& values) -> auto& { return values.peer.listen.address; }),
        bind_key("peer.port", "TCP port that other nodes connect to; 0 picks a free one.", port,
            [](settings_type& values) -> auto& { return values.peer.listen.port; }),
        bind_key("membership.address", "Address of the membership protocol.", address,
            [](settings_type& values) -> auto& { return values.membership.listen.address; }),
        bind_key("membership.port", "UDP port of the membership protocol; 0 picks a free one.", port,
            [](settings_type& values) -> auto& { return values.membership.listen.port; }),
        bind_key("membership.probe_interval_ms", "Time between two probes.", milliseconds_range(10, 60'000),
            [](settings_type& values) -> auto& { return values.membership.probe_interval; }),
        bind_key("membership.probe_timeout_ms",
            "Time after which an unanswered direct probe is followed by indirect ones. Shorter than the interval.",
            milliseconds_range(1, 60'000),
            [](settings_type& values) -> auto& { return values.membership.probe_timeout; }),
        bind_key("membership.suspicion_ms", "Time that a suspected node has to refute before it is declared failed.",
            milliseconds_range(10, 600'000),
            [](settings_type& values) -> auto& { return values.membership.suspicion; }),
        bind_key("membership.anti_entropy_interval_ms", "Time between two full exchanges with a random peer.",
            milliseconds_range(100, 600'000),
            [](settings_type& values) -> auto& { return values.membership.anti_entropy_interval; }),
        bind_key("seeds", "Membership endpoints (UDP) that a starting node contacts first.", {},
            [](settings_type& values) -> auto& { return values.seeds; }),
        bind_key("platform.object_store", "Endpoint of the object API.", {.required = true},
            [](settings_type& values) -> auto& { return values.platform.object_store; }),
        bind_key("platform.vm_list", "Endpoint of the VM list.", {},
            [](settings_type& values) -> auto& { return values.platform.vm_list; }),
        bind_key("platform.timeout_ms", "Time-out of a call to the platform, waiting watches excluded.",
            milliseconds_range(10, 60'000), [](settings_type& values) -> auto& { return values.platform.timeout; }),
        bind_key("platform.vm_list_refresh_ms", "Time between two reads of the VM list.",
            milliseconds_range(100, 600'000),
            [](settings_type& values) -> auto& { return values.platform.vm_list_refresh; }),
        bind_key("platform.weight_store", "Name of the upstream that stands for the weight store.", {},
            [](settings_type& values) -> auto& { return values.platform.weight_store; }),
        bind_key("ownership.lease_duration_ms",
            "Time that a read of the ownership object keeps the lease, from the start "
            "of the read.",
            milliseconds_range(100, 600'000),
            [](settings_type& values) -> auto& { return values.ownership.lease_duration; }),
        bind_key("ownership.lease_refresh_ms",
            "Time between two reads of the ownership object. Shorter than the lease.", milliseconds_range(10, 600'000),
            [](settings_type& values) -> auto& { return values.ownership.lease_refresh; }),
        bind_key("ownership.order_validity_ms", "Time during which an upstream may still act on an order.",
            milliseconds_range(10, 60'000),
            [](settings_type& values) -> auto& { return values.ownership.order_validity; }),
        bind_key("policy.stall_weight", "Weight of a load stall in the routing cost.", number_range(0, 1'000),
            [](settings_type& values) -> auto& { return values.policy.stall_weight; }),
        bind_key("policy.batch_weight", "Weight of the gain in batch fill in the routing cost.", number_range(0, 1'000),
            [](settings_type& values) -> auto& { return values.policy.batch_weight; }),
        bind_key("policy.queue_limit", "Longest queue of one upstream.", number_range(1, 100'000, "requests"),
            [](settings_type& values) -> auto& { return values.policy.queue_limit; }),
        bind_key("policy.retry_budget_ratio", "Retries allowed as a share of successes.", number_range(0, 1),
            [](settings_type& values) -> auto& { return values.policy.retry_budget_ratio; }),
        bind_key("policy.minimum_residency_ms", "Time that a loaded adapter stays before it can be evicted.",
            milliseconds_range(0, hour_ms),
            [](settings_type& values) -> auto& { return values.policy.minimum_residency; }),
        bind_key("policy.quarantine_duration_ms", "Time that a request that crashed two upstreams is refused.",
            milliseconds_range(0, day_ms),
            [](settings_type& values) -> auto& { return values.policy.quarantine_duration; }),
        bind_key("policy.leaving_grace_ms", "Time within which a leaving upstream gets no new work.",
            milliseconds_range(0, 60'000), [](settings_type& values) -> auto& { return values.policy.leaving_grace; }),
        bind_key("policy.load_permits", "Loads that the weight store serves at the same time.",
            number_range(1, 10'000, "loads"),
            [](settings_type& values) -> auto& { return values.policy.load_permits; }),
        bind_key("policy.loads_per_second", "Rate at which loads may start.", number_range(0.01, 100'000, "loads/s"),
            [](settings_type& values) -> auto& { return values.policy.loads_per_second; }),
        bind_key("policy.load_estimate_ms", "Time of an adapter load before the first one was observed.",
            milliseconds_range(1, 600'000), [](settings_type& values) -> auto& { return values.policy.load_estimate; }),
        bind_key("journal.shards", "Journal objects. Equal on all nodes; a change loses the claims of the old layout.",
            number_range(1, 65'536), [](settings_type& values) -> auto& { return values.journal.shards; }),
        bind_key("journal.retention_ms", "Time that the outcome of a claimed request is kept.",
            milliseconds_range(1'000, day_ms), [](settings_type& values) -> auto& { return values.journal.retention; }),
        bind_key("journal.object_limit_bytes", "Largest journal object; a full one refuses claims.",
            bytes_range(4'096, 1'000'000),
            [](settings_type& values) -> auto& { return values.journal.object_limit_bytes; }),
        bind_key("stop_timeout_ms",
            "Longest time of a planned stop. At least caller_api.max_deadline_ms, so that no request is cut off.",
            milliseconds_range(0, 2.0 * hour_ms), [](settings_type& values) -> auto& { return values.stop_timeout; }),
        bind_key("log.level", "Least severe messages that are logged.",
            {.choices = {"debug", "info", "warning", "error"}},
            [](settings_type& values) -> auto& { return values.log.level; }),
        bind_key("log.directory", "Directory of the log files; empty for standard error.", {},
            [](settings_type& values) -> auto& { return values.log.directory; }),
    };
}

[[nodiscard]] std::vector<internal::key_binding<upstream_settings>> make_upstream_keys() {
    using settings_type = upstream_settings;
    const auto bind_key = [](const std::string& path, const std::string& description, key_options options,
                              auto accessor) {
        return make_binding<settings_type>(path, description, std::move(options), accessor);
    };

    return {
        bind_key("name", "Name of the upstream, unique in the deployment.", {.required = true},
            [](settings_type& values) -> auto& { return values.name; }),
        bind_key("kind", "Model engine or plain service.", {.required = true},
            [](settings_type& values) -> auto& { return values.kind; }),
        bind_key("address", "Address of the upstream.", {.required = true, .address = true},
            [](settings_type& values) -> auto& { return values.endpoint.address; }),
        bind_key("port", "TCP port of the upstream.", {.range = {1.0, port_range.maximum}, .required = true},
            [](settings_type& values) -> auto& { return values.endpoint.port; }),
        bind_key("availability_zone", "Availability zone of the upstream.", {.required = true},
            [](settings_type& values) -> auto& { return values.availability_zone; }),
        bind_key("service", "Name of the plain service. Only and always with kind \"service\".", {},
            [](settings_type& values) -> auto& { return values.service; }),
        bind_key("base_model", "Base model. Only and always with kind \"engine\".", {},
            [](settings_type& values) -> auto& { return values.base_model; }),
        bind_key("checks_fencing_token", "The upstream rejects an order with an old fencing token.", {},
            [](settings_type& values) -> auto& { return values.checks_fencing_token; }),
    };
}

void append_row(std::string& page, const key& row) {
    page += "| `" + row.path + "` | " + row.type + " | " + row.unit + " | " +
            (row.required ? std::string{"required"} : "`" + row.default_value + "`") + " | " + row.accepted_values +
            " | " + row.description + " |\n";
}

} // namespace

namespace internal {

const std::vector<key_binding<node_settings>>& node_keys() {
    static const auto table = make_node_keys();
    return table;
}

const std::vector<key_binding<upstream_settings>>& upstream_keys() {
    static const auto table = make_upstream_keys();
    return table;
}

} // namespace internal

std::vector<key> keys() {
    std::vector<key> definitions{};
    for(const auto& binding : internal::node_keys()) {
        definitions.push_back(binding.definition);
    }
    for(const auto& binding : internal::upstream_keys()) {
        definitions.push_back(binding.definition);
        definitions.back().path.insert(0u, "upstreams[].");
    }
    return definitions;
}

std::string render_documentation() {
    std::string page{"# Settings of lagoonsaddled\n\n"
                     "The settings file is JSON in which `//` and `/* */` comments are allowed. Groups are nested "
                     "objects: `policy.queue_limit` is the member `queue_limit` of the object `policy`. "
                     "`lagoonsaddled --check-settings FILE` lists all errors of a file. An unknown or repeated key is "
                     "an error.\n\n"
                     "This page is generated from the table of keys in `src/lagoonsaddle/settings/keys.cpp`; the test "
                     "`settings` fails when they differ and writes the expected page to "
                     "`build/test/settings/settings.md`.\n\n"
                     "| key | type | unit | default | accepted | description |\n"
                     "| --- | --- | --- | --- | --- | --- |\n"};
    for(const auto& row : keys()) {
        append_row(page, row);
    }
    return page;
}

} // namespace lagoonsaddle::settings
