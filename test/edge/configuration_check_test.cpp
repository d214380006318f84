#include <functional>
#include <string>

#include <doctest/doctest.h>

#include <lagoonsaddle/edge/configuration_check.hpp>

namespace lagoonsaddle::edge {

namespace {

using namespace std::chrono_literals;

[[nodiscard]] configuration valid_configuration() {
    return {.version = 3u,
        .routes = {{.name = "r",
            .host = "h",
            .path_prefix = "/a/",
            .timeout = 6'000ms,
            .services = {{.name = "s", .weight = 0u}, {.name = "t", .weight = 1u}}}}};
}

} // namespace

// Guards against an invalid configuration that replaces a valid one.
TEST_CASE("check_configuration_invalid_one_is_refused") {
    CHECK(check_configuration(valid_configuration()).has_value());

    struct row {
        const char* what;
        std::function<void(configuration&)> change;
    };

    const row rows[]{
        {"no version",
            [](configuration& value) {
                value.version = 0u;
            }},
        {"negative time",
            [](configuration& value) {
                value.routes[0].timeout = -1ms;
            }},
        {"endless time",
            [](configuration& value) {
                value.routes[0].timeout = route_time_max + 1ms;
            }},
        {"endless objective",
            [](configuration& value) {
                value.routes[0].latency_objective = route_time_max + 1ms;
            }},
    };
    for(const auto& [what, change] : rows) {
        CAPTURE(what);
        auto value = valid_configuration();
        change(value);
        CHECK_FALSE(check_configuration(value).has_value());
    }
}

// Guards against one route that leads nowhere and takes all others out of service.
TEST_CASE("check_configuration_route_without_target_is_accepted") {
    auto value = valid_configuration();
    value.routes.push_back({.name = "q", .host = "h", .path_prefix = "/b/"});
    value.routes.push_back({.name = "p", .path_prefix = "/c/", .services = {{.name = "t", .weight = 0u}}});
    CHECK(check_configuration(value).has_value());
}

} // namespace lagoonsaddle::edge
