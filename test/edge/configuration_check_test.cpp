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
        {"no host",
            [](configuration& value) {
                value.routes[0].host.clear();
            }},
        {"no path",
            [](configuration& value) {
                value.routes[0].path_prefix.clear();
            }},
        {"relative path",
            [](configuration& value) {
                value.routes[0].path_prefix = "a/";
            }},
        {"open path",
            [](configuration& value) {
                value.routes[0].path_prefix = "/a";
            }},
        {"no service",
            [](configuration& value) {
                value.routes[0].services.clear();
            }},
        {"no weight",
            [](configuration& value) {
                value.routes[0].services[1].weight = 0u;
            }},
        {"no name",
            [](configuration& value) {
                value.routes[0].services[1].name.clear();
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

} // namespace lagoonsaddle::edge
