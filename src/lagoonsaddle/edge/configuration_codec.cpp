#include <algorithm>
#include <cstdint>
#include <iterator>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include <msgpack.hpp>

#include <lagoonsaddle/edge/configuration_codec.hpp>
#include <lagoonsaddle/wire/codec.hpp>

MSGPACK_ADD_ENUM(lagoonsaddle::edge::retry_mode)
MSGPACK_ADD_ENUM(lagoonsaddle::edge::quota_unit)

namespace lagoonsaddle::edge {

namespace {

struct packed_weighted_service {
    std::string name{};
    std::uint32_t weight{};

    MSGPACK_DEFINE_ARRAY(name, weight)
};

struct packed_route {
    std::string name{};
    std::string host{};
    std::string path_prefix{};
    retry_mode retry{retry_mode::at_most_once};
    bool streaming{};
    std::int64_t timeout_ms{};
    std::int64_t latency_objective_ms{};
    unsigned attempts_max{};
    unsigned priority{};
    std::vector<packed_weighted_service> services{};

    MSGPACK_DEFINE_ARRAY(
        name, host, path_prefix, retry, streaming, timeout_ms, latency_objective_ms, attempts_max, priority, services)
};

struct packed_service {
    std::string name{};
    unsigned adapter_slots{};
    std::vector<std::string> models{};

    MSGPACK_DEFINE_ARRAY(name, adapter_slots, models)
};

struct packed_tenant {
    std::string name{};
    std::vector<std::string> api_keys{};
    std::optional<unsigned> priority{};
    double quota_per_second{};
    double quota_burst{};
    quota_unit unit{quota_unit::requests};
    std::uint64_t default_tokens{};

    MSGPACK_DEFINE_ARRAY(name, api_keys, priority, quota_per_second, quota_burst, unit, default_tokens)
};

struct packed_configuration {
    std::uint64_t version{};
    std::vector<packed_route> routes{};
    std::vector<packed_service> services{};

    MSGPACK_DEFINE_ARRAY(version, routes, services)
};

/*! @brief A configuration with tenants; its additional members follow those that earlier releases read. */
struct packed_tenant_configuration {
    std::uint64_t version{};
    std::vector<packed_route> routes{};
    std::vector<packed_service> services{};
    std::optional<std::vector<packed_tenant>> tenants{};
    /*! @brief Positions of the anonymous routes in `routes`. */
    std::vector<std::uint32_t> anonymous_routes{};

    MSGPACK_DEFINE_ARRAY(version, routes, services, tenants, anonymous_routes)
};

[[nodiscard]] packed_route to_packed(const route& value) {
    packed_route packed{.name = value.name,
        .host = value.host,
        .path_prefix = value.path_prefix,
        .retry = value.retry,
        .streaming = value.streaming,
        .timeout_ms = value.timeout.count(),
        .latency_objective_ms = value.latency_objective.count(),
        .attempts_max = value.attempts_max,
        .priority = value.priority};
    for(const auto& entry : value.services) {
        packed.services.push_back({.name = entry.name, .weight = entry.weight});
    }
    return packed;
}

[[nodiscard]] packed_tenant to_packed(const tenant& value) {
    return {.name = value.name,
        .api_keys = value.api_keys,
        .priority = value.priority,
        .quota_per_second = value.quota.per_second,
        .quota_burst = value.quota.burst,
        .unit = value.quota.unit,
        .default_tokens = value.quota.default_tokens};
}

[[nodiscard]] tenant from_packed(packed_tenant packed) {
    return {.name = std::move(packed.name),
        .api_keys = std::move(packed.api_keys),
        .priority = packed.priority,
        .quota = {.per_second = packed.quota_per_second,
            .burst = packed.quota_burst,
            .unit = packed.unit,
            .default_tokens = packed.default_tokens}};
}

[[nodiscard]] route from_packed(packed_route packed) {
    route value{.name = std::move(packed.name),
        .host = std::move(packed.host),
        .path_prefix = std::move(packed.path_prefix),
        .retry = packed.retry,
        .streaming = packed.streaming,
        .timeout = std::chrono::milliseconds{packed.timeout_ms},
        .latency_objective = std::chrono::milliseconds{packed.latency_objective_ms},
        .attempts_max = packed.attempts_max,
        .priority = packed.priority};
    for(auto& entry : packed.services) {
        value.services.push_back({.name = std::move(entry.name), .weight = entry.weight});
    }
    return value;
}

[[nodiscard]] std::vector<packed_route> to_packed(std::span<const route> routes) {
    std::vector<packed_route> packed{};
    std::ranges::transform(routes, std::back_inserter(packed), [](const route& entry) { return to_packed(entry); });
    return packed;
}

[[nodiscard]] std::vector<packed_service> to_packed(std::span<const service> services) {
    std::vector<packed_service> packed{};
    for(const auto& entry : services) {
        packed.push_back({.name = entry.name, .adapter_slots = entry.adapter_slots, .models = entry.models});
    }
    return packed;
}

[[nodiscard]] std::string pack_with_tenants(const configuration& value) {
    packed_tenant_configuration packed{
        .version = value.version, .routes = to_packed(value.routes), .services = to_packed(value.services)};
    if(value.tenants) {
        auto& tenants = packed.tenants.emplace();
        std::ranges::transform(
            *value.tenants, std::back_inserter(tenants), [](const tenant& entry) { return to_packed(entry); });
    }
    for(std::size_t index{}; index < value.routes.size(); ++index) {
        if(value.routes[index].anonymous) {
            packed.anonymous_routes.push_back(static_cast<std::uint32_t>(index));
        }
    }
    return wire::pack(packed);
}

} // namespace

std::string pack_configuration(const configuration& value) {
    if(value.tenants || std::ranges::any_of(value.routes, &route::anonymous)) {
        return pack_with_tenants(value);
    }
    const packed_configuration packed{
        .version = value.version, .routes = to_packed(value.routes), .services = to_packed(value.services)};
    return wire::pack(packed);
}

core::result<configuration> unpack_configuration(std::string_view packed) {
    auto unpacked = wire::unpack<packed_tenant_configuration>(packed);
    if(!unpacked) {
        return tl::make_unexpected(std::move(unpacked.error()));
    }
    configuration value{.version = unpacked->version};
    for(auto& entry : unpacked->routes) {
        value.routes.push_back(from_packed(std::move(entry)));
    }
    for(const auto index : unpacked->anonymous_routes) {
        if(index < value.routes.size()) {
            value.routes[index].anonymous = true;
        }
    }
    for(auto& entry : unpacked->services) {
        value.services.push_back(
            {.name = std::move(entry.name), .adapter_slots = entry.adapter_slots, .models = std::move(entry.models)});
    }
    if(unpacked->tenants) {
        auto& tenants = value.tenants.emplace();
        for(auto& entry : *unpacked->tenants) {
            tenants.push_back(from_packed(std::move(entry)));
        }
    }
    return value;
}

} // namespace lagoonsaddle::edge
