#include <optional>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/standins/cache_model.hpp>
#include <lagoonsaddle/standins/fault_table.hpp>
#include <lagoonsaddle/standins/object_table.hpp>
#include <lagoonsaddle/standins/service.hpp>
#include <lagoonsaddle/standins/vm_list.hpp>
#include <lagoonsaddle/standins/weight_store_model.hpp>

namespace lagoonsaddle::standins {

namespace {

using namespace std::chrono_literals;

struct models_fixture {
    [[nodiscard]] core::time_point now() const {
        return this->clock.now();
    }

    core::manual_clock clock{};
};

} // namespace

// Guards against conditional writes that overwrite a newer version.
TEST_CASE_FIXTURE(models_fixture, "object_table_put_checks_expected_version") {
    struct row {
        std::optional<std::uint64_t> expected;
        std::optional<core::reason> failure;
    };

    object_table objects{};
    const std::vector<row> rows{{1u, core::reason::conflict}, {0u, std::nullopt}, {0u, core::reason::conflict},
        {1u, std::nullopt}, {1u, core::reason::conflict}, {std::nullopt, std::nullopt}};
    std::uint64_t version{};
    for(const auto& [expected, failure] : rows) {
        CAPTURE(version);
        const auto written = objects.put("config/rules", "{}", expected);
        CHECK(written.has_value() == !failure.has_value());
        if(written) {
            CHECK(*written == ++version);
        } else {
            CHECK(written.error().cause == failure);
        }
    }
    CHECK(objects.put("x", std::string(object_size_limit_bytes + 1u, 'x'), {}).error().cause ==
          core::reason::payload_too_large);
    CHECK(objects.find("x") == nullptr);
}

// Guards against listings that are unsorted or that include names without the prefix.
TEST_CASE_FIXTURE(models_fixture, "object_table_list_returns_names_with_prefix_sorted") {
    object_table objects{};
    for(const std::string name : {"journal/2", "journal/10", "journals", "config/rules"}) {
        REQUIRE(objects.put(name, "", {}).has_value());
    }
    const auto found = objects.list("journal/");
    REQUIRE(found.size() == 2u);
    CHECK(found[0].first == "journal/10");
    CHECK(found[1].first == "journal/2");
}

// Guards against concurrent loads that each run at full speed.
TEST_CASE_FIXTURE(models_fixture, "weight_store_model_concurrent_loads_share_speed") {
    weight_store_model store{{.load_duration = 100ms, .loads_per_second = 10u}};
    store.advance(this->now(), 1.);
    const auto first = *store.start("a@1", this->now());
    this->clock.advance(50ms);
    store.advance(this->now(), 1.);
    const auto second = *store.start("b@1", this->now());
    this->clock.advance(80ms);
    store.advance(this->now(), 1.);
    CHECK(store.remaining(first, 1.).has_value());
    this->clock.advance(20ms);
    store.advance(this->now(), 1.);
    CHECK_FALSE(store.remaining(first, 1.).has_value());
    // 50 ms of the second load are left; at half speed they take 100 ms.
    CHECK(*store.remaining(second, .5) >= 100ms);
    this->clock.advance(101ms);
    store.advance(this->now(), .5);
    CHECK_FALSE(store.remaining(second, 1.).has_value());
    CHECK(store.concurrent_max() == 2u);
}

// Guards against more starts per second than the limit and against a limit that is never released.
TEST_CASE_FIXTURE(models_fixture, "weight_store_model_starts_above_rate_are_rejected") {
    weight_store_model store{{.load_duration = 100ms, .loads_per_second = 2u}};
    CHECK(store.start("a@1", this->now()).has_value());
    this->clock.advance(400ms);
    CHECK(store.start("a@1", this->now()).has_value());
    const auto refused = store.start("b@1", this->now());
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().cause == core::reason::rate_limited);
    CHECK(refused.error().retry_after == 600ms);
    this->clock.advance(600ms);
    CHECK(store.start("b@1", this->now()).has_value());
    CHECK(store.rejected() == 1u);
    CHECK(store.loads().at("a@1") == 2u);
}

// Guards against a lagging list that shows the current rows.
TEST_CASE_FIXTURE(models_fixture, "vm_table_with_lag_shows_past_rows") {
    vm_table vms{this->now()};
    const auto row = nlohmann::json{{"address", "127.0.0.1"}, {"port", 7000}, {"state", "live"}, {"kind", "engine"}};
    this->clock.advance(10s);
    REQUIRE(vms.put("engine-1", row, this->now()).has_value());
    this->clock.advance(2s);
    CHECK(vms.rows_at(this->now(), 3s).rows.empty());
    CHECK(vms.rows_at(this->now(), 2s).rows.size() == 1u);
    CHECK(vms.remove("engine-1", this->now()));
    CHECK(vms.rows_at(this->now(), 1s).rows.size() == 1u);
    CHECK(vms.rows_at(this->now(), 0s).rows.empty());
    // History within the maximum lag must be kept.
    this->clock.advance(9min);
    REQUIRE(vms.put("engine-2", row, this->now()).has_value());
    CHECK(vms.rows_at(this->now(), 9min + 1s).rows.size() == 1u);
    CHECK_FALSE(vms.put("engine-3", nlohmann::json{{"state", "gone"}}, this->now()).has_value());
}

// Guards against a misspelt fault name or wrong type that is silently ignored.
TEST_CASE_FIXTURE(models_fixture, "fault_table_invalid_changes_are_rejected_atomically") {
    fault_table faults{nlohmann::json{{"outage", false}, {"drop_answers", 0}, {"crash_marker", ""}}};
    const std::vector<nlohmann::json> wrong{{{"drop_answers", 2}, {"outages", true}}, {{"outage", 1}},
        {{"crash_marker", 3}}, {{"drop_answers", -1}}, nlohmann::json::array()};
    for(const auto& changes : wrong) {
        CAPTURE(changes.dump());
        CHECK_FALSE(faults.apply(changes).has_value());
        CHECK(faults.number("drop_answers") == 0.);
    }
    REQUIRE(faults.apply({{"drop_answers", 2}}).has_value());
    CHECK(faults.consume("drop_answers"));
    CHECK(faults.consume("drop_answers"));
    CHECK_FALSE(faults.consume("drop_answers"));
}

// Guards against cache events that are reported early, out of order or without evictions.
TEST_CASE_FIXTURE(models_fixture, "cache_model_full_cache_reports_eviction_of_least_recently_used") {
    cache_model cache{2u};
    for(const std::string prefix : {"a", "b", "a", "c"}) {
        cache.touch(prefix, this->now());
        this->clock.advance(1s);
    }
    CHECK(cache.contains("a"));
    CHECK_FALSE(cache.contains("b"));
    const auto events = cache.events_after(1u, this->now());
    REQUIRE(events.size() == 3u);
    CHECK(events[2].prefix_digest == "b");
    CHECK_FALSE(events[2].cached);
    CHECK(events[2].sequence == 4u);
    CHECK(cache.events_after(0u, this->now() - 2s).size() == 2u);
}

// Guards against executions of a repeated key that are not counted.
TEST_CASE_FIXTURE(models_fixture, "execution_counter_repeated_key_counts_each_execution") {
    execution_counter executions{};
    CHECK(executions.execute("k1") == 1u);
    CHECK(executions.execute("k2") == 1u);
    CHECK(executions.execute("k1") == 2u);
    CHECK(executions.total() == 3u);
}

} // namespace lagoonsaddle::standins
