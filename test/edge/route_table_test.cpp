#include <map>
#include <string>
#include <string_view>

#include <doctest/doctest.h>

#include <lagoonsaddle/edge/route_table.hpp>

namespace lagoonsaddle::edge {

namespace {

struct route_table_fixture {
    route_table_fixture() {
        configuration config{.version = 7u};
        config.routes.push_back({.name = "short", .host = "a.example", .path_prefix = "/x/"});
        config.routes.push_back({.name = "long", .host = "a.example", .path_prefix = "/x/y/"});
        config.routes.push_back({.name = "other", .host = "b.example", .path_prefix = "/x/y/z/"});
        REQUIRE(this->table.apply(config));
    }

    [[nodiscard]] std::string name_of(std::string_view host, std::string_view target) const {
        const auto* found = this->table.find(host, target);
        return found == nullptr ? "" : found->name;
    }

    route_table table{};
};

} // namespace

// Guards against sending a request to the service of another route.
TEST_CASE_FIXTURE(route_table_fixture, "find_several_prefixes_returns_longest_of_host") {
    CHECK(this->name_of("a.example", "/x/1") == "short");
    CHECK(this->name_of("a.example", "/x/y/z/1") == "long");
    CHECK(this->name_of("A.Example:8080", "/x/y/1?q=/x/") == "long");
    CHECK(this->name_of("b.example", "/x/y/1").empty());
    CHECK(this->name_of("a.example", "/x").empty());
    CHECK(this->name_of("a.example", "/q?/x/").empty());
}

// Guards against a configuration that is replaced by an older one when the store answers late.
TEST_CASE_FIXTURE(route_table_fixture, "apply_older_version_keeps_newer") {
    CHECK_FALSE(this->table.apply({.version = 6u}));
    CHECK_FALSE(this->table.apply({.version = 7u}));
    CHECK(this->table.version() == 7u);
    CHECK(this->name_of("a.example", "/x/1") == "short");
    CHECK(this->table.apply({.version = 9u}));
    CHECK(this->name_of("a.example", "/x/1").empty());
}

// Guards against a traffic split that uses only one service, and against a retry that uses another service.
TEST_CASE("pick_service_follows_weights_and_is_stable") {
    const route entry{.services = {{.name = "a", .weight = 90u}, {.name = "b", .weight = 10u}}};
    std::map<std::string, int> counts{};
    for(int index{}; index < 2'000; ++index) {
        const auto key = std::to_string(index);
        const std::string first{route_table::pick_service(entry, key)};
        CHECK(first == route_table::pick_service(entry, key));
        ++counts[first];
    }
    CHECK(counts["a"] > 1'700);
    CHECK(counts["b"] > 120);
    CHECK(route_table::pick_service(route{}, "x").empty());
}

} // namespace lagoonsaddle::edge
