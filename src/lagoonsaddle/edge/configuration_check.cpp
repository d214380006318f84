#include <algorithm>
#include <string>
#include <string_view>
#include <unordered_map>

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

bool keeps_all_keys(const configuration& earlier, const configuration& later) {
    if(!earlier.tenants) {
        return true;
    }
    if(!later.tenants) {
        return false;
    }
    std::unordered_map<std::string_view, std::string_view> holders{};
    for(const auto& entry : *later.tenants) {
        for(const auto& key : entry.api_keys) {
            holders.emplace(key, entry.name);
        }
    }
    return std::ranges::all_of(*earlier.tenants, [&holders](const tenant& entry) {
        return std::ranges::all_of(entry.api_keys, [&holders, &entry](const std::string& key) {
            const auto found = holders.find(key);
            return found != holders.end() && found->second == entry.name;
        });
    });
}

} // namespace lagoonsaddle::edge
