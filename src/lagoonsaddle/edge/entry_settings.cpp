#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <limits>
#include <optional>
#include <sstream>
#include <stdexcept>

#include <nlohmann/json.hpp>

#include <lagoonsaddle/core/text.hpp>
#include <lagoonsaddle/edge/entry_settings.hpp>

namespace lagoonsaddle::edge {

namespace {

using nlohmann::json;

/*! @brief Internal to this file: reports the key of an invalid setting. */
class settings_error final : public std::runtime_error {
public:
    settings_error(std::string_view key, std::string_view problem)
        : std::runtime_error{"setting '" + std::string{key} + "' " + std::string{problem}} {}
};

[[nodiscard]] const json& get_required(const json& object, const char* key) {
    const auto found = object.find(key);
    if(found == object.end()) {
        throw settings_error{key, "is missing"};
    }
    return *found;
}

[[nodiscard]] std::string get_string(const json& object, const char* key) {
    const auto& value = get_required(object, key);
    if(!value.is_string() || value.get_ref<const std::string&>().empty()) {
        throw settings_error{key, "must be a non-empty string"};
    }
    return value.get<std::string>();
}

[[nodiscard]] double get_number(const json& object, const char* key, double min, double max) {
    const auto& value = get_required(object, key);
    if(!value.is_number() || value.get<double>() < min || value.get<double>() > max) {
        throw settings_error{key, "must be a number from " + std::to_string(min) + " to " + std::to_string(max)};
    }
    return value.get<double>();
}

[[nodiscard]] core::endpoint parse_address(const char* key, std::string_view value) {
    const auto colon = value.rfind(':');
    std::uint16_t port{};
    const auto digits = colon == std::string_view::npos ? std::string_view{} : value.substr(colon + 1u);
    const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if(digits.empty() || failure != std::errc{} || end != digits.data() + digits.size()) {
        throw settings_error{key, "must be an address with a port, such as 10.0.0.1:8080"};
    }
    return core::endpoint{.address = std::string{value.substr(0u, colon)}, .port = port};
}

[[nodiscard]] core::endpoint get_address(const json& object, const char* key) {
    return parse_address(key, get_string(object, key));
}

[[nodiscard]] std::chrono::milliseconds get_seconds(const json& object, const char* key) {
    constexpr double max_s{86'400.0};
    const std::chrono::duration<double> value{get_number(object, key, 0.0, max_s)};
    return std::chrono::duration_cast<std::chrono::milliseconds>(value);
}

/*! @brief Returns a size in bytes of a setting in MiB, or the given one when it is not set. */
[[nodiscard]] std::size_t get_mebibytes(const json& object, const char* key, std::size_t otherwise) {
    if(!object.contains(key)) {
        return otherwise;
    }
    constexpr double max_mib{1'048'576.0};
    constexpr double bytes_per_mib{1'048'576.0};
    return static_cast<std::size_t>(get_number(object, key, 1.0, max_mib) * bytes_per_mib);
}

/*! @brief Returns the value of an environment variable, or the given one when it is no positive integer. */
[[nodiscard]] std::size_t get_environment(const char* name, std::size_t otherwise) {
    const auto* const text = std::getenv(name);
    const std::string_view digits{text == nullptr ? "" : text};
    std::size_t value{};
    const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    const bool valid = failure == std::errc{} && end == digits.data() + digits.size() && value > 0u;
    return valid ? value : otherwise;
}

/*! @brief Returns whether an environment variable is `true`, in upper or lower case. */
[[nodiscard]] bool is_true_in_environment(const char* name) {
    const auto* const text = std::getenv(name);
    return text != nullptr && core::equals_ignoring_case(text, "true");
}

/*! @brief Returns the value of an environment variable, or nothing when it is no decimal number in the range. */
[[nodiscard]] std::optional<double> get_decimal_environment(const char* name, double min, double max) {
    const auto* const text = std::getenv(name);
    const std::string_view digits{text == nullptr ? "" : text};
    double value{};
    const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    const bool valid = !digits.empty() && failure == std::errc{} && end == digits.data() + digits.size() &&
                       value >= min && value <= max;
    return valid ? std::optional{value} : std::nullopt;
}

/*! @brief Returns the bounds of the quotas that the environment states. */
[[nodiscard]] quota_bounds read_quota_bounds() {
    constexpr double window_min_s{0.1};
    constexpr double window_max_s{3'600.0};
    constexpr double ms_per_s{1'000.0};
    constexpr double overage_max{10.0};
    constexpr double slack_max{1e15};
    quota_bounds bounds{};
    auto window_s = get_decimal_environment("LAGOONSADDLE_QUOTA_WINDOW_S", window_min_s, window_max_s);
    if(!window_s) {
        const auto window_ms =
            get_decimal_environment("LAGOONSADDLE_QUOTA_WINDOW_MS", window_min_s * ms_per_s, window_max_s * ms_per_s);
        window_s = window_ms ? std::optional{*window_ms / ms_per_s} : std::nullopt;
    }
    if(window_s) {
        bounds.window = std::chrono::duration_cast<core::duration>(std::chrono::duration<double>{*window_s});
    }
    bounds.overage = get_decimal_environment("LAGOONSADDLE_QUOTA_OVERAGE", 0.0, overage_max).value_or(bounds.overage);
    bounds.slack = get_decimal_environment("LAGOONSADDLE_QUOTA_SLACK", 0.0, slack_max).value_or(bounds.slack);
    return bounds;
}

/*! @brief Returns the first port above those of peers and metrics at which no other server of the node listens; it is
 * the same on all nodes, as their ports are. */
[[nodiscard]] std::uint16_t default_relay_port(const entry_settings& values) {
    const std::array used{values.caller_address.port, values.readiness_address.port, values.metrics_port};
    auto port = static_cast<std::uint16_t>(values.peer_port + 2u);
    while(port < std::numeric_limits<std::uint16_t>::max() && std::ranges::find(used, port) != used.end()) {
        ++port;
    }
    return port;
}

[[nodiscard]] entry_settings decode(const json& object, const environment_settings& environment) {
    if(!object.is_object()) {
        throw settings_error{"(file)", "must be an object"};
    }
    entry_settings values{};
    values.name = get_string(object, "name");
    values.availability_zone = get_string(object, "availability_zone");
    values.caller_address = get_address(object, "listen_callers");
    values.readiness_address = get_address(object, "listen_readiness");
    constexpr double port_max{std::numeric_limits<std::uint16_t>::max()};
    values.peer_port = static_cast<std::uint16_t>(get_number(object, "peer_port", 1.0, port_max - 2.0));
    values.metrics_port = static_cast<std::uint16_t>(values.peer_port + 1u);
    if(object.contains("metrics_port")) {
        values.metrics_port = static_cast<std::uint16_t>(get_number(object, "metrics_port", 1.0, port_max));
    }
    values.relay_port = default_relay_port(values);
    if(object.contains("relay_port")) {
        values.relay_port = static_cast<std::uint16_t>(get_number(object, "relay_port", 1.0, port_max));
    }
    const auto& seeds = get_required(object, "seeds");
    if(!seeds.is_array()) {
        throw settings_error{"seeds", "must be an array of addresses with ports"};
    }
    for(const auto& seed : seeds) {
        if(!seed.is_string()) {
            throw settings_error{"seeds", "must be an array of addresses with ports"};
        }
        values.seeds.push_back(parse_address("seeds", seed.get<std::string>()).address);
    }
    values.store_address = get_address(object, "store");
    const auto& check_tokens = get_required(object, "upstreams_check_tokens");
    if(!check_tokens.is_boolean()) {
        throw settings_error{"upstreams_check_tokens", "must be true or false"};
    }
    values.upstreams_check_tokens = check_tokens.get<bool>();
    values.lease_time = get_seconds(object, "lease_time_s");
    values.retry_ratio = get_number(object, "retry_ratio", 0.0, 10.0);
    values.retry_slack = get_number(object, "retry_slack", 0.0, 1e6);
    values.retry_window = get_seconds(object, "retry_window_s");
    values.stop_timeout = get_seconds(object, "stop_timeout_s");
    values.version_bound = environment.version_bound;
    values.quota = environment.quota;
    if(object.contains("version_bound_s")) {
        values.version_bound = get_seconds(object, "version_bound_s");
    }
    values.revocation_bound = environment.revocation_bound;
    if(object.contains("revocation_bound_s")) {
        values.revocation_bound = get_seconds(object, "revocation_bound_s");
    }
    values.limits.memory_bytes = get_mebibytes(object, "memory_mib", environment.limits.memory_bytes);
    values.limits.descriptors_max = environment.limits.descriptors_max;
    constexpr std::size_t body_memory_share{8u};
    const auto body_memory = values.limits.memory_bytes / body_memory_share;
    values.request_body_memory_bytes = get_mebibytes(object, "request_body_memory_mib", body_memory);
    values.response_body_memory_bytes = get_mebibytes(object, "response_body_memory_mib", body_memory);
    if(object.contains("descriptors_max")) {
        constexpr double descriptors_lowest{64.0};
        constexpr double descriptors_highest{1e7};
        values.limits.descriptors_max =
            static_cast<std::size_t>(get_number(object, "descriptors_max", descriptors_lowest, descriptors_highest));
    }
    return values;
}

} // namespace

environment_settings read_environment() {
    constexpr std::size_t bytes_per_mib{1024u * 1024u};
    const environment_settings defaults{};
    const auto memory_mib = get_environment("LAGOONSADDLE_MEMORY_MIB", defaults.limits.memory_bytes / bytes_per_mib);
    const auto descriptors = get_environment("LAGOONSADDLE_DESCRIPTORS_MAX", defaults.limits.descriptors_max);
    const auto version_bound_ms =
        get_environment("LAGOONSADDLE_VERSION_BOUND_MS", static_cast<std::size_t>(defaults.version_bound.count()));
    const auto revocation_bound_ms = is_true_in_environment("LAGOONSADDLE_REVOCATION_STRICT")
                                         ? get_environment("LAGOONSADDLE_REVOCATION_BOUND_MS", 0u)
                                         : 0u;
    return environment_settings{
        .limits = process_limits{.memory_bytes = memory_mib * bytes_per_mib, .descriptors_max = descriptors},
        .version_bound = std::chrono::milliseconds{version_bound_ms},
        .revocation_bound = std::chrono::milliseconds{revocation_bound_ms},
        .quota = read_quota_bounds()};
}

core::result<entry_settings> parse_entry_settings(std::string_view text, const environment_settings& environment) {
    try {
        return decode(json::parse(text, nullptr, true, true), environment);
    } catch(const std::exception& exception) {
        return core::fail(core::reason::invalid_argument, exception.what());
    }
}

core::result<entry_settings> read_entry_settings(const std::string& path) {
    std::ifstream input{path};
    if(!input) {
        return core::fail(core::reason::invalid_argument, "cannot open settings file " + path);
    }
    std::ostringstream content{};
    content << input.rdbuf();
    return parse_entry_settings(content.str(), read_environment());
}

} // namespace lagoonsaddle::edge
