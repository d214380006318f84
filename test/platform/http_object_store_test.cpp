#include <atomic>
#include <string>
#include <vector>

#include "loopback_server.hpp"
#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/platform/http_object_store.hpp>

namespace lagoonsaddle::platform {

namespace {

struct write_case {
    unsigned status{};
    std::string body{};
    core::reason cause{};
    core::verdict verdict{};
};

struct http_object_store_fixture {
    void override_all_responses(unsigned status, const std::string& body = {}) {
        this->api.response_override = [this, status, body](const http::request&) {
            ++this->requests;
            return std::optional<http::response>{http::response{.status = status, .headers = {}, .body = body}};
        };
    }

    object_api api{};
    std::atomic<unsigned> requests{};
    loopback_server server{this->api};
    core::manual_clock clock{};
    http_object_store store{this->server.client, this->clock,
        http_object_store_options{.server = this->server.endpoint(),
            .call_timeout = std::chrono::milliseconds{20'000},
            .breaker_failures = 1'000u}};
    http_object_store breaker_store{this->server.client, this->clock,
        http_object_store_options{.server = this->server.endpoint(),
            .call_timeout = std::chrono::milliseconds{20'000},
            .breaker_failures = 3u,
            .breaker_open_time = std::chrono::milliseconds{500}}};
};

} // namespace

// Guards against `not_run` for a write that took effect, and against `may_have_run` for one that did not.
TEST_CASE_FIXTURE(http_object_store_fixture, "put_failure_returns_cause_and_verdict") {
    const std::string not_run_body{R"({"error":{"reason":"unavailable","message":"","verdict":"not_run"}})"};
    const std::vector<write_case> table{
        {412u, "", core::reason::conflict, core::verdict::not_run},
        {409u, "", core::reason::conflict, core::verdict::not_run},
        {404u, "", core::reason::conflict, core::verdict::not_run},
        {413u, "", core::reason::payload_too_large, core::verdict::not_run},
        {429u, "", core::reason::rate_limited, core::verdict::not_run},
        {400u, "", core::reason::invalid_argument, core::verdict::not_run},
        {403u, "", core::reason::unauthorized, core::verdict::not_run},
        {503u, not_run_body, core::reason::unavailable, core::verdict::not_run},
        {503u, "", core::reason::unavailable, core::verdict::may_have_run},
        {503u, "{\"error\":[", core::reason::unavailable, core::verdict::may_have_run},
        {502u, "", core::reason::unavailable, core::verdict::may_have_run},
        {302u, "", core::reason::protocol_error, core::verdict::may_have_run},
        {200u, "", core::reason::protocol_error, core::verdict::may_have_run},
        {200u, R"({"version":"3"})", core::reason::protocol_error, core::verdict::may_have_run},
        {object_api::close_connection, "", core::reason::connection_lost, core::verdict::may_have_run},
    };
    for(const auto& row : table) {
        CAPTURE(row.status);
        CAPTURE(row.body);
        this->override_all_responses(row.status, row.body);
        const auto response = this->server.await(this->store.put("a", "x", 7u));
        REQUIRE_FALSE(response.has_value());
        CHECK(response.error().cause == row.cause);
        CHECK(response.error().verdict == row.verdict);
    }
    this->requests = 0u;
    const auto oversized = this->server.await(this->store.put("a", std::string(1'000'001u, 'x'), 7u));
    REQUIRE_FALSE(oversized.has_value());
    CHECK(oversized.error().cause == core::reason::payload_too_large);
    CHECK(this->requests == 0u);
}

// Guards against a read without a valid version: a write based on it would overwrite other changes.
TEST_CASE_FIXTURE(http_object_store_fixture, "get_invalid_etag_returns_protocol_error") {
    for(const std::string etag : {"", "7", "\"\"", "\"x\"", "\"7x\"", "\"0\"", "W/\"7\""}) {
        CAPTURE(etag);
        this->api.response_override = [&etag](const http::request&) {
            http::response response{};
            response.headers.set("etag", etag);
            return std::optional<http::response>{response};
        };
        const auto read = this->server.await(this->store.get("a", 0u));
        REQUIRE_FALSE(read.has_value());
        CHECK(read.error().cause == core::reason::protocol_error);
    }
}

// Guards against calls that exceed their timeout when the object API does not respond.
TEST_CASE_FIXTURE(http_object_store_fixture, "put_no_response_returns_timeout_may_have_run") {
    http_object_store short_timeout_store{this->server.client, this->clock,
        http_object_store_options{.server = this->server.endpoint(), .call_timeout = std::chrono::milliseconds{20}}};
    // Opens the connection first, so that the timeout cannot occur while connecting.
    CHECK(this->server.await(this->store.get("a", 0u)).error().cause == core::reason::not_found);
    this->override_all_responses(object_api::never_respond);
    const auto response = this->server.await(short_timeout_store.put("a", "x", 7u));
    REQUIRE_FALSE(response.has_value());
    CHECK(response.error().cause == core::reason::timeout);
    CHECK(response.error().verdict == core::verdict::may_have_run);
}

// Guards against calls that pile up behind a failing object API, and against a breaker that never closes.
TEST_CASE_FIXTURE(http_object_store_fixture, "breaker_consecutive_failures_reject_calls_until_trial_succeeds") {
    this->override_all_responses(503u);
    for(int call{}; call < 3; ++call) {
        CHECK_FALSE(this->breaker_store.breaker_open());
        CHECK(this->server.await(this->breaker_store.put("a", "x", 0u)).error().verdict == core::verdict::may_have_run);
    }
    CHECK(this->breaker_store.breaker_open());
    this->clock.advance(std::chrono::milliseconds{400});
    const auto rejected = this->server.await(this->breaker_store.put("a", "x", 0u));
    REQUIRE_FALSE(rejected.has_value());
    CHECK(rejected.error().cause == core::reason::unavailable);
    CHECK(rejected.error().verdict == core::verdict::not_run);
    CHECK(rejected.error().retry_after == std::chrono::milliseconds{100});
    CHECK(this->requests == 3u);

    this->clock.advance(std::chrono::milliseconds{100});
    this->override_all_responses(object_api::never_respond);
    auto trial = this->server.start(this->breaker_store.get("a", 0u));
    while(this->requests < 4u) {
        std::this_thread::yield();
    }
    CHECK_FALSE(this->server.await(this->breaker_store.get("a", 0u)).has_value());
    CHECK(this->requests == 4u);
    CHECK(this->api.store.put_sync("never", "x", 0u).has_value());
    CHECK_FALSE(trial.get().has_value());

    this->api.response_override = {};
    this->clock.advance(std::chrono::milliseconds{500});
    // `not_found` shows that the object API works, so the breaker closes.
    CHECK(this->server.await(this->breaker_store.get("a", 0u)).error().cause == core::reason::not_found);
    CHECK_FALSE(this->breaker_store.breaker_open());
    CHECK(this->server.await(this->breaker_store.put("a", "x", 0u)).has_value());
    CHECK(this->breaker_store.counts() ==
          call_counts{.reads = 2u, .writes = 4u, .unchanged = 0u, .conflicts = 0u, .failures = 4u, .rejected = 2u});
}

// Guards against a configuration that nobody can read because one row of the list is odd.
TEST_CASE_FIXTURE(http_object_store_fixture, "list_odd_row_costs_only_itself") {
    constexpr std::string_view sound{R"({"name":"config/rules","version":3})"};
    for(const std::string_view odd :
        {"null", "7", "{}", R"({"name":7,"version":1})", R"({"name":"\ud800","version":1})",
            R"({"name":"x","version":1})", R"({"name":"config/a b","version":4,"other":1e400})"}) {
        CAPTURE(odd);
        this->override_all_responses(200u, R"({"objects":[)" + std::string{odd} + "," + std::string{sound} + "]}");
        const auto listed = this->server.await(this->store.list("config/"));
        REQUIRE(listed.has_value());
        REQUIRE_FALSE(listed->empty());
        CHECK(listed->back().name == "config/rules");
        CHECK(listed->back().version == 3u);
        CHECK(listed->size() == (odd.find("a b") == std::string_view::npos ? 1u : 2u));
    }
    // A version that cannot be read may be the one that is needed.
    this->override_all_responses(200u, R"({"objects":[{"name":"config/rules","version":1e400}]})");
    CHECK(this->server.await(this->store.list("config/")).error().cause == core::reason::protocol_error);
}

// Guards against conflicts that open the breaker: they are frequent when many nodes write the same object.
TEST_CASE_FIXTURE(http_object_store_fixture, "breaker_consecutive_conflicts_stays_closed") {
    this->override_all_responses(412u);
    for(int call{}; call < 10; ++call) {
        CHECK(this->server.await(this->breaker_store.put("a", "x", 3u)).error().cause == core::reason::conflict);
    }
    CHECK_FALSE(this->breaker_store.breaker_open());
    CHECK(this->requests == 10u);
    CHECK(this->breaker_store.counts().conflicts == 10u);
}

} // namespace lagoonsaddle::platform
