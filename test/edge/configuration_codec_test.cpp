#include <doctest/doctest.h>

#include <lagoonsaddle/edge/configuration_codec.hpp>

namespace lagoonsaddle::edge {

using namespace std::chrono_literals;

// Guards against a field that is lost between nodes, which would serve a route by other rules than the operator's.
TEST_CASE("unpack_configuration_packed_one_keeps_all_fields") {
    configuration original{.version = 7u};
    original.routes.push_back({.name = "r",
        .host = "h",
        .path_prefix = "/a/",
        .retry = retry_mode::resumable,
        .streaming = true,
        .timeout = 3s,
        .latency_objective = 800ms,
        .attempts_max = 2u,
        .priority = 1u,
        .services = {{.name = "s", .weight = 3u}, {.name = "t", .weight = 1u}}});
    original.services.push_back({.name = "s", .adapter_slots = 8u, .models = {"m"}});
    const auto copy = unpack_configuration(pack_configuration(original));
    REQUIRE(copy.has_value());
    CHECK(*copy == original);
    CHECK_FALSE(unpack_configuration("truncated").has_value());
}

} // namespace lagoonsaddle::edge
