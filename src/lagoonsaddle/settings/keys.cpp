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

/*! @brief Range of a number, both ends included. */
struct bounds {
    double minimum{};
    double maximum{};
};

struct key_options {
    std::string_view unit{};
    bounds range{};
    std::vector<std::string> choices{};
    bool required{false};
    /*! @brief The value is a numeric IP address. */
    bool address{false};
};

constexpr bounds port_range{0.0, 65'535.0};
constexpr double hour_ms = 3'600'000.0;
constexpr double day_ms = 24.0 * hour_ms;

[[nodiscard]] bool valid_address(const std::string& text) noexcept {
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
    if(port.ec != std::errc{} || port.ptr != last || parsed.port == 0u || !valid_address(parsed.address)) {
        return std::nullopt;
    }
    return parsed;
}

[[nodiscard]] std::string number_text(double value) {
    return (std::floor(value) == value) ? std::to_string(static_cast<std::int64_t>(value)) : json(value).dump();
}

[[nodiscard]] bool within(double value, const bounds& range) noexcept {
    return value >= range.minimum && value <= range.maximum;
}

template<typename Type>
concept whole_number = std::integral<Type> && !std::same_as<Type, bool>;

// Each type of a setting has one overload of each of describe_type, describe_accepted, describe_default and assign.

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
    const bool listed = options.choices.empty() ||
                        std::find(options.choices.begin(), options.choices.end(), text) != options.choices.end();
    if(!listed || (options.required && text.empty()) || (options.address && !valid_address(text))) {
        return false;
    }
    target = text;
    return true;
}

[[nodiscard]] std::string integer_accepted(const key_options& options) {
    return "an integer from " + number_text(options.range.minimum) + " to " + number_text(options.range.maximum);
}

template<whole_number Type>
[[nodiscard]] std::string describe_type(const Type&, const key_options&) {
    return "integer";
}

template<whole_number Type>
[[nodiscard]] std::string describe_accepted(const Type&, const key_options& options) {
    return integer_accepted(options);
}

template<whole_number Type>
[[nodiscard]] std::string describe_default(const Type& value) {
    return std::to_string(value);
}

template<whole_number Type>
[[nodiscard]] bool assign(Type& target, const json& value, const key_options& options) {
    if(!value.is_number_integer() || !within(value.get<double>(), options.range)) {
        return false;
    }
    target = value.get<Type>();
    return true;
}

[[nodiscard]] std::string describe_type(const std::chrono::milliseconds&, const key_options&) {
    return "integer";
}

[[nodiscard]] std::string describe_accepted(const std::chrono::milliseconds&, const key_options& options) {
    return integer_accepted(options);
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
    return "a number from " + number_text(options.range.minimum) + " to " + number_text(options.range.maximum);
}

[[nodiscard]] std::string describe_default(const double& value) {
    return json(value).dump();
}

[[nodiscard]] bool assign(double& target, const json& value, const key_options& options) {
    if(!value.is_number() || !within(value.get<double>(), options.range)) {
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
        auto one = parse_endpoint(element);
        if(!one) {
            return false;
        }
        parsed.push_back(*std::move(one));
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

template<typename Owner, typename Access>
[[nodiscard]] internal::bound_key<Owner> entry(
    const std::string& path, const std::string& description, key_options options, Access access) {
    Owner defaults{};
    const auto& value = access(defaults);
    internal::bound_key<Owner> bound{};
    bound.info = key{.path = path,
        .type = describe_type(value, options),
        .unit = std::string{options.unit},
        .default_text = options.required ? std::string{} : describe_default(value),
        .accepted = describe_accepted(value, options),
        .description = description,
        .required = options.required};
    bound.assign = [access, options = std::move(options)](const json& text, Owner& owner) {
        return assign(access(owner), text, options);
    };
    return bound;
}

[[nodiscard]] key_options milliseconds(double minimum, double maximum) {
    return {.unit = "ms", .range = {minimum, maximum}};
}

[[nodiscard]] key_options bytes(double minimum, double maximum) {
    return {.unit = "bytes", .range = {minimum, maximum}};
}

[[nodiscard]] key_options range(double minimum, double maximum, std::string_view unit = {}) {
    return {.unit = unit, .range = {minimum, maximum}};
}

[[nodiscard]] std::vector<internal::bound_key<node_settings>> make_node_keys() {
    using owner = node_settings;
    const auto key_of = [](const std::string& path, const std::string& description, key_options options, auto access) {
        return entry<owner>(path, description, std::move(options), access);
    };
    const key_options required{.required = true};
    const key_options address{.address = true};
    const key_options port{.range = port_range};

    return {
        key_of("node.name", "Name of the node, unique in the deployment.", required,
            [](owner& all) -> auto& { return all.node.name; }),
        key_of("node.availability_zone", "Availability zone of the VM.", required,
            [](owner& all) -> auto& { return all.node.availability_zone; }),
        key_of("node.threads", "Threads that run the node.", range(1, 256),
            [](owner& all) -> auto& { return all.node.threads; }),
        key_of("caller_api.address", "Address that callers connect to.", address,
            [](owner& all) -> auto& { return all.caller_api.listen.address; }),
        key_of("caller_api.port", "TCP port that callers connect to; 0 picks a free one.", port,
            [](owner& all) -> auto& { return all.caller_api.listen.port; }),
        key_of("caller_api.body_limit_bytes", "Largest request body.", bytes(1'024, 1'073'741'824),
            [](owner& all) -> auto& { return all.caller_api.body_limit_bytes; }),
        key_of("caller_api.header_limit_bytes", "Largest request head.", bytes(1'024, 1'048'576),
            [](owner& all) -> auto& { return all.caller_api.header_limit_bytes; }),
        key_of("caller_api.request_timeout_ms", "Time that a caller has to send one whole request.",
            milliseconds(100, hour_ms), [](owner& all) -> auto& { return all.caller_api.request_timeout; }),
        key_of("caller_api.default_deadline_ms", "Deadline of a request without x-deadline-ms.",
            milliseconds(1, hour_ms), [](owner& all) -> auto& { return all.caller_api.default_deadline; }),
        key_of("caller_api.max_deadline_ms", "Longest deadline; a request with a longer x-deadline-ms is refused.",
            milliseconds(1, hour_ms), [](owner& all) -> auto& { return all.caller_api.max_deadline; }),
        key_of("caller_api.max_output_tokens", "Most tokens that a request may ask for in max_tokens.",
            range(1, 1'000'000, "tokens"), [](owner& all) -> auto& { return all.caller_api.max_output_tokens; }),
        key_of("operator_api.address", "Address that operators connect to.", address,
            [](owner& all) -> auto& { return all.operator_api.listen.address; }),
        key_of("operator_api.port", "TCP port that operators connect to; 0 picks a free one.", port,
            [](owner& all) -> auto& { return all.operator_api.listen.port; }),
        key_of("operator_api.token_file", "File whose first line is the bearer token of operators.", required,
            [](owner& all) -> auto& { return all.operator_api.token_file; }),
        key_of("peer.address", "Address that other nodes connect to.", address,
            [](owner& all) -> auto& { return all.peer.listen.address; }),
        key_of("peer.port", "TCP port that other nodes connect to; 0 picks a free one.", port,
            [](owner& all) -> auto& { return all.peer.listen.port; }),
        key_of("membership.address", "Address of the membership protocol.", address,
            [](owner& all) -> auto& { return all.membership.listen.address; }),
        key_of("membership.port", "UDP port of the membership protocol; 0 picks a free one.", port,
            [](owner& all) -> auto& { return all.membership.listen.port; }),
        key_of("membership.probe_interval_ms", "Time between two probes.", milliseconds(10, 60'000),
            [](owner& all) -> auto& { return all.membership.probe_interval; }),
        key_of("membership.probe_timeout_ms",
            "Time after which an unanswered direct probe is followed by indirect ones. Shorter than the interval.",
            milliseconds(1, 60'000), [](owner& all) -> auto& { return all.membership.probe_timeout; }),
        key_of("membership.suspicion_ms", "Time that a suspected node has to refute before it is declared failed.",
            milliseconds(10, 600'000), [](owner& all) -> auto& { return all.membership.suspicion; }),
        key_of("membership.anti_entropy_interval_ms", "Time between two full exchanges with a random peer.",
            milliseconds(100, 600'000), [](owner& all) -> auto& { return all.membership.anti_entropy_interval; }),
        key_of("seeds", "Membership endpoints (UDP) that a starting node contacts first.", {},
            [](owner& all) -> auto& { return all.seeds; }),
        key_of("platform.object_store", "Endpoint of the object API.", {.required = true},
            [](owner& all) -> auto& { return all.platform.object_store; }),
        key_of("platform.vm_list", "Endpoint of the VM list.", {},
            [](owner& all) -> auto& { return all.platform.vm_list; }),
        key_of("platform.timeout_ms", "Time-out of a call to the platform, waiting watches excluded.",
            milliseconds(10, 60'000), [](owner& all) -> auto& { return all.platform.timeout; }),
        key_of("platform.vm_list_refresh_ms", "Time between two reads of the VM list.", milliseconds(100, 600'000),
            [](owner& all) -> auto& { return all.platform.vm_list_refresh; }),
        key_of("platform.weight_store", "Name of the upstream that stands for the weight store.", {},
            [](owner& all) -> auto& { return all.platform.weight_store; }),
        key_of("ownership.lease_duration_ms",
            "Time that a read of the ownership object keeps the lease, from the start "
            "of the read.",
            milliseconds(100, 600'000), [](owner& all) -> auto& { return all.ownership.lease_duration; }),
        key_of("ownership.lease_refresh_ms", "Time between two reads of the ownership object. Shorter than the lease.",
            milliseconds(10, 600'000), [](owner& all) -> auto& { return all.ownership.lease_refresh; }),
        key_of("ownership.order_validity_ms", "Time during which an upstream may still act on an order.",
            milliseconds(10, 60'000), [](owner& all) -> auto& { return all.ownership.order_validity; }),
        key_of("policy.stall_weight", "Weight of a load stall in the routing cost.", range(0, 1'000),
            [](owner& all) -> auto& { return all.policy.stall_weight; }),
        key_of("policy.batch_weight", "Weight of the gain in batch fill in the routing cost.", range(0, 1'000),
            [](owner& all) -> auto& { return all.policy.batch_weight; }),
        key_of("policy.queue_limit", "Longest queue of one upstream.", range(1, 100'000, "requests"),
            [](owner& all) -> auto& { return all.policy.queue_limit; }),
        key_of("policy.retry_budget_ratio", "Retries allowed as a share of successes.", range(0, 1),
            [](owner& all) -> auto& { return all.policy.retry_budget_ratio; }),
        key_of("policy.minimum_residency_ms", "Time that a loaded adapter stays before it can be evicted.",
            milliseconds(0, hour_ms), [](owner& all) -> auto& { return all.policy.minimum_residency; }),
        key_of("policy.quarantine_duration_ms", "Time that a request that crashed two upstreams is refused.",
            milliseconds(0, day_ms), [](owner& all) -> auto& { return all.policy.quarantine_duration; }),
        key_of("policy.leaving_grace_ms", "Time within which a leaving upstream gets no new work.",
            milliseconds(0, 60'000), [](owner& all) -> auto& { return all.policy.leaving_grace; }),
        key_of("policy.load_permits", "Loads that the weight store serves at the same time.", range(1, 10'000, "loads"),
            [](owner& all) -> auto& { return all.policy.load_permits; }),
        key_of("policy.loads_per_second", "Rate at which loads may start.", range(0.01, 100'000, "loads/s"),
            [](owner& all) -> auto& { return all.policy.loads_per_second; }),
        key_of("policy.load_estimate_ms", "Time of an adapter load before the first one was observed.",
            milliseconds(1, 600'000), [](owner& all) -> auto& { return all.policy.load_estimate; }),
        key_of("journal.shards", "Journal objects. Equal on all nodes; a change loses the claims of the old layout.",
            range(1, 65'536), [](owner& all) -> auto& { return all.journal.shards; }),
        key_of("journal.retention_ms", "Time that the outcome of a claimed request is kept.",
            milliseconds(1'000, day_ms), [](owner& all) -> auto& { return all.journal.retention; }),
        key_of("journal.object_limit_bytes", "Largest journal object; a full one refuses claims.",
            bytes(4'096, 1'000'000), [](owner& all) -> auto& { return all.journal.object_limit_bytes; }),
        key_of("stop_timeout_ms",
            "Longest time of a planned stop. At least caller_api.max_deadline_ms, so that no request is cut off.",
            milliseconds(0, 2.0 * hour_ms), [](owner& all) -> auto& { return all.stop_timeout; }),
        key_of("log.level", "Least severe messages that are logged.",
            {.choices = {"debug", "info", "warning", "error"}}, [](owner& all) -> auto& { return all.log.level; }),
        key_of("log.directory", "Directory of the log files; empty for standard error.", {},
            [](owner& all) -> auto& { return all.log.directory; }),
    };
}

[[nodiscard]] std::vector<internal::bound_key<upstream_settings>> make_upstream_keys() {
    using owner = upstream_settings;
    const auto key_of = [](const std::string& path, const std::string& description, key_options options, auto access) {
        return entry<owner>(path, description, std::move(options), access);
    };

    return {
        key_of("name", "Name of the upstream, unique in the deployment.", {.required = true},
            [](owner& one) -> auto& { return one.name; }),
        key_of(
            "kind", "Model engine or plain service.", {.required = true}, [](owner& one) -> auto& { return one.kind; }),
        key_of("address", "Address of the upstream.", {.required = true, .address = true},
            [](owner& one) -> auto& { return one.endpoint.address; }),
        key_of("port", "TCP port of the upstream.", {.range = {1.0, port_range.maximum}, .required = true},
            [](owner& one) -> auto& { return one.endpoint.port; }),
        key_of("availability_zone", "Availability zone of the upstream.", {.required = true},
            [](owner& one) -> auto& { return one.availability_zone; }),
        key_of("service", "Name of the plain service. Only and always with kind \"service\".", {},
            [](owner& one) -> auto& { return one.service; }),
        key_of("base_model", "Base model. Only and always with kind \"engine\".", {},
            [](owner& one) -> auto& { return one.base_model; }),
        key_of("checks_fencing_token", "The upstream rejects an order with an old fencing token.", {},
            [](owner& one) -> auto& { return one.checks_fencing_token; }),
    };
}

void append_row(std::string& page, const key& row) {
    page += "| `" + row.path + "` | " + row.type + " | " + row.unit + " | " +
            (row.required ? std::string{"required"} : "`" + row.default_text + "`") + " | " + row.accepted + " | " +
            row.description + " |\n";
}

} // namespace

namespace internal {

const std::vector<bound_key<node_settings>>& node_keys() {
    static const auto table = make_node_keys();
    return table;
}

const std::vector<bound_key<upstream_settings>>& upstream_keys() {
    static const auto table = make_upstream_keys();
    return table;
}

} // namespace internal

std::vector<key> keys() {
    std::vector<key> all{};
    for(const auto& bound : internal::node_keys()) {
        all.push_back(bound.info);
    }
    for(const auto& bound : internal::upstream_keys()) {
        all.push_back(bound.info);
        all.back().path.insert(0u, "upstreams[].");
    }
    return all;
}

std::string documentation() {
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
