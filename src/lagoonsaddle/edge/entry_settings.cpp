#include <charconv>
#include <fstream>
#include <limits>
#include <sstream>
#include <stdexcept>

#include <nlohmann/json.hpp>

#include <lagoonsaddle/edge/entry_settings.hpp>

namespace lagoonsaddle::edge {

namespace {

using nlohmann::json;

/*! @brief Thrown inside this file; the message names the key. */
class settings_error final : public std::runtime_error {
public:
    settings_error(std::string_view key, std::string_view fault)
        : std::runtime_error{"setting '" + std::string{key} + "' " + std::string{fault}} {}
};

[[nodiscard]] const json& value_of(const json& object, const char* key) {
    const auto found = object.find(key);
    if(found == object.end()) {
        throw settings_error{key, "is missing"};
    }
    return *found;
}

[[nodiscard]] std::string text_of(const json& object, const char* key) {
    const auto& value = value_of(object, key);
    if(!value.is_string() || value.get_ref<const std::string&>().empty()) {
        throw settings_error{key, "must be a text that is not empty"};
    }
    return value.get<std::string>();
}

[[nodiscard]] double number_of(const json& object, const char* key, double low, double high) {
    const auto& value = value_of(object, key);
    if(!value.is_number() || value.get<double>() < low || value.get<double>() > high) {
        throw settings_error{key, "must be a number from " + std::to_string(low) + " to " + std::to_string(high)};
    }
    return value.get<double>();
}

[[nodiscard]] core::endpoint parse_address(const char* key, std::string_view value) {
    const auto colon = value.rfind(':');
    std::uint16_t port{};
    const auto digits = colon == std::string_view::npos ? std::string_view{} : value.substr(colon + 1u);
    const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if(digits.empty() || failure != std::errc{} || end != digits.data() + digits.size()) {
        throw settings_error{key, "must be an address such as 10.0.0.1:8080"};
    }
    return core::endpoint{.address = std::string{value.substr(0u, colon)}, .port = port};
}

[[nodiscard]] core::endpoint address_of(const json& object, const char* key) {
    return parse_address(key, text_of(object, key));
}

[[nodiscard]] std::chrono::milliseconds seconds_of(const json& object, const char* key) {
    constexpr double day_s{86'400.0};
    const std::chrono::duration<double> value{number_of(object, key, 0.0, day_s)};
    return std::chrono::duration_cast<std::chrono::milliseconds>(value);
}

[[nodiscard]] entry_settings decode(const json& object) {
    if(!object.is_object()) {
        throw settings_error{"(file)", "must be an object"};
    }
    entry_settings values{};
    values.name = text_of(object, "name");
    values.availability_zone = text_of(object, "availability_zone");
    values.callers = address_of(object, "listen_callers");
    values.readiness = address_of(object, "listen_readiness");
    constexpr double port_max{std::numeric_limits<std::uint16_t>::max()};
    values.peer_port = static_cast<std::uint16_t>(number_of(object, "peer_port", 1.0, port_max - 1.0));
    values.metrics_port = static_cast<std::uint16_t>(values.peer_port + 1u);
    if(object.contains("metrics_port")) {
        values.metrics_port = static_cast<std::uint16_t>(number_of(object, "metrics_port", 1.0, port_max));
    }
    const auto& seeds = value_of(object, "seeds");
    if(!seeds.is_array()) {
        throw settings_error{"seeds", "must be a list of addresses"};
    }
    for(const auto& seed : seeds) {
        if(!seed.is_string()) {
            throw settings_error{"seeds", "must be a list of addresses"};
        }
        values.seeds.push_back(parse_address("seeds", seed.get<std::string>()).address);
    }
    values.store = address_of(object, "store");
    const auto& checks = value_of(object, "upstreams_check_tokens");
    if(!checks.is_boolean()) {
        throw settings_error{"upstreams_check_tokens", "must be true or false"};
    }
    values.upstreams_check_tokens = checks.get<bool>();
    values.lease_time = seconds_of(object, "lease_time_s");
    values.retry_ratio = number_of(object, "retry_ratio", 0.0, 10.0);
    values.retry_slack = number_of(object, "retry_slack", 0.0, 1e6);
    values.retry_window = seconds_of(object, "retry_window_s");
    values.stop_timeout = seconds_of(object, "stop_timeout_s");
    return values;
}

} // namespace

core::result<entry_settings> parse_entry_settings(std::string_view text) {
    try {
        return decode(json::parse(text, nullptr, true, true));
    } catch(const std::exception& exception) {
        return core::fail(core::reason::invalid_argument, exception.what());
    }
}

core::result<entry_settings> read_entry_settings(const std::string& file) {
    std::ifstream input{file};
    if(!input) {
        return core::fail(core::reason::invalid_argument, "cannot read the settings file " + file);
    }
    std::ostringstream content{};
    content << input.rdbuf();
    return parse_entry_settings(content.str());
}

} // namespace lagoonsaddle::edge
