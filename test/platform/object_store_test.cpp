#include <memory>
#include <string>

#include "loopback_server.hpp"
#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/platform/http_object_store.hpp>

namespace lagoonsaddle::platform {

namespace {

constexpr std::chrono::milliseconds long_timeout{20'000};

/*! @brief Runs a check of the `object_store` contract on the memory store and on the HTTP client. */
struct object_store_fixture {
    template<typename Check>
    void for_each_store(Check check) {
        {
            CAPTURE("memory");
            memory_object_store store{};
            this->memory_store = &store;
            check(store);
        }
        {
            CAPTURE("http");
            this->memory_store = &this->api.store;
            http_object_store store{this->server.client, this->clock,
                http_object_store_options{
                    .server = this->server.endpoint(), .call_timeout = long_timeout, .watch_margin = long_timeout}};
            check(store);
        }
    }

    /*! @brief Waits until the memory store has received this number of watches. */
    void wait_for_watches(std::uint64_t number) const {
        while(this->memory_store->counts().watches < number) {
            std::this_thread::yield();
        }
    }

    memory_object_store* memory_store{};
    object_api api{};
    loopback_server server{this->api};
    core::manual_clock clock{};
};

} // namespace

// Guards against a write that ignores its expected version: two nodes could own one upstream or hold one claim.
TEST_CASE_FIXTURE(object_store_fixture, "put_version_differs_returns_conflict_not_run") {
    this->for_each_store([this](object_store& store) {
        const auto first = this->server.await(store.put("a/b", "one", 0u));
        REQUIRE(first.has_value());
        const auto second = this->server.await(store.put("a/b", "two", *first));
        REQUIRE(second.has_value());
        CHECK(*second > *first);
        for(const object_version wrong : {object_version{0u}, *first, *second + 1u}) {
            const auto refused = this->server.await(store.put("a/b", "three", wrong));
            REQUIRE_FALSE(refused.has_value());
            CHECK(refused.error().cause == core::reason::conflict);
            CHECK(refused.error().verdict == core::verdict::not_run);
        }
        const auto missing = this->server.await(store.put("never/written", "x", 3u));
        REQUIRE_FALSE(missing.has_value());
        CHECK(missing.error().cause == core::reason::conflict);
        const auto read = this->server.await(store.get("a/b", 0u));
        REQUIRE((read.has_value() && read->has_value()));
        CHECK((*read)->body == "two");
        CHECK((*read)->version == *second);
    });
}

// Guards against sending a body that the caller already has, and against reporting a missing object as unchanged.
TEST_CASE_FIXTURE(object_store_fixture, "get_known_version_returns_nothing_and_missing_returns_not_found") {
    this->for_each_store([this](object_store& store) {
        const std::string binary{"\0\xff\r\n\"", 5u};
        const auto written = this->server.await(store.put("odd name/%25?x=1&y", binary, 0u));
        REQUIRE(written.has_value());
        const auto read = this->server.await(store.get("odd name/%25?x=1&y", 0u));
        REQUIRE((read.has_value() && read->has_value()));
        CHECK((*read)->body == binary);
        const auto unchanged = this->server.await(store.get("odd name/%25?x=1&y", *written));
        REQUIRE(unchanged.has_value());
        CHECK_FALSE(unchanged->has_value());
        CHECK(this->memory_store->counts().unchanged == 1u);
        const auto missing = this->server.await(store.get("odd name", 0u));
        REQUIRE_FALSE(missing.has_value());
        CHECK(missing.error().cause == core::reason::not_found);
    });
}

// Guards against a watch that misses a change, or that returns before its timeout without one.
TEST_CASE_FIXTURE(object_store_fixture, "watch_object_changes_returns_new_version") {
    this->for_each_store([this](object_store& store) {
        auto created = this->server.start(store.watch("w", 0u, long_timeout));
        this->wait_for_watches(1u);
        const auto first = this->server.await(store.put("w", "one", 0u));
        const auto seen = created.get();
        REQUIRE((seen.has_value() && seen->has_value()));
        CHECK((*seen)->version == *first);
        auto changed = this->server.start(store.watch("w", *first, long_timeout));
        this->wait_for_watches(2u);
        const auto second = this->server.await(store.put("w", "two", *first));
        const auto next = changed.get();
        REQUIRE((next.has_value() && next->has_value()));
        CHECK((*next)->version == *second);
        CHECK((*next)->body == "two");
        const auto quiet = this->server.await(store.watch("w", *second, std::chrono::milliseconds{5}));
        REQUIRE(quiet.has_value());
        CHECK_FALSE(quiet->has_value());
    });
}

// Guards against a list that contains other prefixes or is not sorted.
TEST_CASE_FIXTURE(object_store_fixture, "list_prefix_returns_sorted_names_with_versions") {
    this->for_each_store([this](object_store& store) {
        for(const std::string name : {"config/shared", "journal/1", "config/rules", "configuration"}) {
            REQUIRE(this->server.await(store.put(name, "x", 0u)).has_value());
        }
        const auto found = this->server.await(store.list("config/"));
        REQUIRE(found.has_value());
        REQUIRE(found->size() == 2u);
        CHECK(found->at(0).name == "config/rules");
        CHECK(found->at(1).name == "config/shared");
        CHECK(found->at(0).version == 1u);
        CHECK(found->at(0).body.empty());
    });
}

// Guards against injected faults that do not act as documented: tests of other modules depend on them.
TEST_CASE_FIXTURE(object_store_fixture, "memory_store_faults_act_as_documented") {
    memory_object_store store{};
    store.set_faults({.drop_answers = 1u});
    const auto lost = this->server.await(store.put("a", "one", 0u));
    REQUIRE_FALSE(lost.has_value());
    CHECK(lost.error().verdict == core::verdict::may_have_run);
    CHECK(store.get_sync("a", 0u).value()->body == "one");
    CHECK(store.faults().drop_answers == 0u);

    store.set_faults({.drop_writes = 1u});
    const auto dropped = store.put_sync("a", "two", 1u);
    REQUIRE_FALSE(dropped.has_value());
    CHECK(dropped.error().verdict == core::verdict::may_have_run);
    CHECK(store.get_sync("a", 0u).value()->body == "one");

    store.set_faults({.conflicts = 1u});
    CHECK(store.put_sync("a", "two", 1u).error().cause == core::reason::conflict);
    CHECK(store.get_sync("a", 0u).value()->version == 2u);
    CHECK(store.faults().conflicts == 0u);
    CHECK(store.put_sync("a", "two", 2u).has_value());

    store.set_faults({.outage = true});
    CHECK(store.put_sync("a", "three", 3u).error().verdict == core::verdict::not_run);
    CHECK(store.get_sync("a", 0u).error().cause == core::reason::unavailable);
    store.set_faults({.latency = std::chrono::milliseconds{1}, .latency_steps = 3u});
    CHECK(this->server.await(store.get("a", 0u)).value()->body == "two");
    CHECK(store.put_sync("a", std::string(1'000'001u, 'x'), 3u).error().cause == core::reason::payload_too_large);
    CHECK(store.counts() ==
          call_counts{.reads = 5u, .writes = 6u, .unchanged = 0u, .conflicts = 1u, .failures = 4u, .rejected = 0u});
}

} // namespace lagoonsaddle::platform
