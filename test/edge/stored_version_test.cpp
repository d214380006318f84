#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include <lagoonsaddle/edge/stored_version.hpp>

namespace lagoonsaddle::edge {

namespace {

struct stored_version_fixture {
    [[nodiscard]] static configuration make(std::uint64_t version, std::vector<std::string> keys, bool valid = true) {
        configuration value{.version = version};
        value.tenants.emplace().push_back({.name = "t", .api_keys = std::move(keys)});
        value.routes.push_back({.name = "r", .timeout = std::chrono::milliseconds{valid ? 1 : -1}});
        return value;
    }

    [[nodiscard]] std::optional<std::uint64_t> shown_after(const record_change& change) {
        this->version.apply(change, &this->in_force);
        return this->version.shown();
    }

    configuration in_force{make(7u, {"k1", "k2"})};
    stored_version version{};
};

} // namespace

// Guards against a refused configuration that was meant to remove a key, and whose reads keep the key in use.
TEST_CASE_FIXTURE(
    stored_version_fixture, "apply_refused_configuration_shows_version_in_force_only_if_it_keeps_all_keys") {
    CHECK(this->shown_after({.name = "main", .value = make(7u, {"k1", "k2"})}) == 7u);
    CHECK(this->shown_after({.name = "main", .value = make(8u, {"k2", "k3", "k1"}, false)}) == 7u);
    CHECK_FALSE(this->shown_after({.name = "main", .value = make(9u, {"k1"}, false)}).has_value());
    auto of_other_tenant = make(9u, {"k1", "k2"}, false);
    of_other_tenant.tenants->front().name = "other";
    CHECK_FALSE(this->shown_after({.name = "main", .value = of_other_tenant}).has_value());
    auto without_tenants = make(9u, {}, false);
    without_tenants.tenants.reset();
    CHECK_FALSE(this->shown_after({.name = "main", .value = without_tenants}).has_value());
    CHECK(this->shown_after({.name = "main", .value = make(10u, {})}) == 10u);
}

// Guards against a record that cannot be read and passes for the version before, and against another record of the kind
// that ends all confirmations.
TEST_CASE_FIXTURE(stored_version_fixture, "apply_unreadable_record_shows_nothing_unless_it_is_another_one") {
    CHECK(this->shown_after({.name = "main", .value = make(7u, {})}) == 7u);
    CHECK(this->shown_after({.name = "other"}) == 7u);
    CHECK_FALSE(this->shown_after({.name = "main"}).has_value());
    CHECK_FALSE(this->shown_after({.name = "other"}).has_value());
    this->version.begin_list(true);
    CHECK(this->shown_after({.name = "main", .value = make(8u, {})}) == 8u);
}

// Guards against keyed requests that are all refused since a restored store has no configuration, or an older one.
TEST_CASE_FIXTURE(stored_version_fixture, "begin_list_of_restored_store_shows_what_its_copy_holds") {
    CHECK(this->shown_after({.name = "main", .value = make(7u, {})}) == 7u);
    this->version.begin_list(true);
    CHECK(this->version.shown() == 0u);
    CHECK(this->shown_after({.name = "main", .value = make(5u, {"k1"})}) == 5u);
}

// Guards against a configuration that is taken for removed because the list did not reach its record.
TEST_CASE_FIXTURE(stored_version_fixture, "begin_list_of_truncated_list_shows_only_what_it_holds") {
    CHECK(this->shown_after({.name = "main", .value = make(7u, {})}) == 7u);
    this->version.begin_list(false);
    CHECK_FALSE(this->version.shown().has_value());
    CHECK(this->shown_after({.name = "main", .value = make(8u, {})}) == 8u);
}

} // namespace lagoonsaddle::edge
