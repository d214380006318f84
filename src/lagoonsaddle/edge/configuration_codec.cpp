#include <cstdint>
#include <utility>
#include <vector>

#include <msgpack.hpp>

#include <lagoonsaddle/edge/configuration_codec.hpp>
#include <lagoonsaddle/wire/codec.hpp>

MSGPACK_ADD_ENUM(lagoonsaddle::edge::retry_mode)

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

struct packed_configuration {
    std::uint64_t version{};
    std::vector<packed_route> routes{};
    std::vector<packed_service> services{};

    MSGPACK_DEFINE_ARRAY(version, routes, services)
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

} // namespace

std::string pack_configuration(const configuration& value) {
    packed_configuration packed{.version = value.version};
    for(const auto& entry : value.routes) {
        packed.routes.push_back(to_packed(entry));
    }
    for(const auto& entry : value.services) {
        packed.services.push_back({.name = entry.name, .adapter_slots = entry.adapter_slots, .models = entry.models});
    }
    return wire::pack(packed);
}

core::result<configuration> unpack_configuration(std::string_view packed) {
    auto unpacked = wire::unpack<packed_configuration>(packed);
    if(!unpacked) {
        return tl::make_unexpected(std::move(unpacked.error()));
    }
    configuration value{.version = unpacked->version};
    for(auto& entry : unpacked->routes) {
        value.routes.push_back(from_packed(std::move(entry)));
    }
    for(auto& entry : unpacked->services) {
        value.services.push_back(
            {.name = std::move(entry.name), .adapter_slots = entry.adapter_slots, .models = std::move(entry.models)});
    }
    return value;
}

} // namespace lagoonsaddle::edge
