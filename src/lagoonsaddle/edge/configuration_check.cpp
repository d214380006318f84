#include <algorithm>
#include <string>

#include <lagoonsaddle/edge/configuration_check.hpp>

namespace lagoonsaddle::edge {

namespace {

[[nodiscard]] bool is_in_range(std::chrono::milliseconds value) noexcept {
    return value >= std::chrono::milliseconds{0} && value <= route_time_max;
}

[[nodiscard]] bool has_valid_times(const route& entry) noexcept {
    return is_in_range(entry.timeout) && is_in_range(entry.latency_objective);
}

} // namespace

core::result<void> check_configuration(const configuration& value) {
    if(value.version == 0u) {
        return core::fail(core::reason::invalid_argument, "the configuration has no version");
    }
    const auto faulty = std::ranges::find_if_not(value.routes, has_valid_times);
    if(faulty != value.routes.end()) {
        return core::fail(core::reason::invalid_argument, "the route '" + faulty->name + "' has a time out of range");
    }
    return {};
}

} // namespace lagoonsaddle::edge
