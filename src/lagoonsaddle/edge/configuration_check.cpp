#include <algorithm>
#include <optional>
#include <string>
#include <string_view>

#include <lagoonsaddle/edge/configuration_check.hpp>

namespace lagoonsaddle::edge {

namespace {

[[nodiscard]] bool is_in_range(std::chrono::milliseconds value) noexcept {
    return value >= std::chrono::milliseconds{0} && value <= route_time_max;
}

/*! @brief Returns what is wrong with a route, or nothing. */
[[nodiscard]] std::optional<std::string_view> find_fault(const route& entry) {
    if(entry.host.empty()) {
        return "has no host";
    }
    if(!entry.path_prefix.starts_with('/') || !entry.path_prefix.ends_with('/')) {
        return "has a path prefix that does not begin and end with a slash";
    }
    if(!is_in_range(entry.timeout) || !is_in_range(entry.latency_objective)) {
        return "has a time out of range";
    }
    if(std::ranges::any_of(entry.services, &std::string::empty, &weighted_service::name)) {
        return "leads to a service without a name";
    }
    if(std::ranges::none_of(entry.services, [](const weighted_service& share) { return share.weight > 0u; })) {
        return "leads to no service";
    }
    return std::nullopt;
}

} // namespace

core::result<void> check_configuration(const configuration& value) {
    if(value.version == 0u) {
        return core::fail(core::reason::invalid_argument, "the configuration has no version");
    }
    for(const auto& entry : value.routes) {
        if(const auto fault = find_fault(entry)) {
            return core::fail(core::reason::invalid_argument, "the route '" + entry.name + "' " + std::string{*fault});
        }
    }
    return {};
}

} // namespace lagoonsaddle::edge
