#include <future>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "standins_fixture.hpp"
#include <lagoonsaddle/standins/engine.hpp>
#include <lagoonsaddle/standins/object_store.hpp>
#include <lagoonsaddle/standins/restartable_server.hpp>
#include <lagoonsaddle/standins/service.hpp>
#include <lagoonsaddle/standins/weight_store.hpp>

namespace lagoonsaddle::standins {

namespace {

using nlohmann::json;

struct contract_fixture : standins_fixture {
    contract_fixture() {
        for(auto* server : {&this->store_server, &this->service_server, &this->weights_server}) {
            REQUIRE((*server)->start().has_value());
        }
        engine_standin_options options{.step_interval = std::chrono::milliseconds{1},
            .report_lag = std::chrono::milliseconds{0},
            .restart_duration = std::chrono::milliseconds{30}};
        options.weight_store = core::endpoint{.address = "127.0.0.1", .port = this->weights_server->port()};
        this->model_engine = std::make_unique<engine>(this->context, this->clock, options);
        this->engine_server =
            std::make_shared<restartable_server>(this->context, *this->model_engine, http::server_options{});
        REQUIRE(this->engine_server->start().has_value());
        this->model_engine->start([server = this->engine_server](core::duration time) { server->restart(time); });
        REQUIRE(this->order("load_adapter", 1u)->status == 200u);
    }

    contract_fixture(const contract_fixture&) = delete;
    contract_fixture& operator=(const contract_fixture&) = delete;

    ~contract_fixture() {
        this->stop();
    }

    core::result<http::response> order(const std::string& kind, std::uint64_t token) {
        return this->call(this->engine_server->port(), "POST", "/orders",
            json{{"order", kind}, {"adapter", "blur"}, {"version", "1"}, {"fencing_token", token}});
    }

    core::result<http::response> complete(const json& changes = json::object()) {
        json body{{"model", "blur@1"}, {"prompt", "one boat"}, {"max_tokens", 3}};
        body.update(changes);
        return this->call(this->engine_server->port(), "POST", "/v1/completions", body);
    }

    json counters(const std::shared_ptr<restartable_server>& server) {
        return json::parse(this->call_when_up(server->port(), "/counters").body);
    }

    void fault(const std::shared_ptr<restartable_server>& server, const json& changes) {
        REQUIRE(this->call(server->port(), "POST", "/faults", changes)->status == 200u);
    }

    std::shared_ptr<restartable_server> serve(http::handler& target) {
        return std::make_shared<restartable_server>(this->context, target, http::server_options{});
    }

    object_store store{this->clock};
    service booking{};
    weight_store weights{
        this->clock, weight_store_options{.load_duration = std::chrono::milliseconds{2}, .loads_per_second = 50u}};
    std::unique_ptr<engine> model_engine{};
    std::shared_ptr<restartable_server> store_server{this->serve(this->store)};
    std::shared_ptr<restartable_server> service_server{this->serve(this->booking)};
    std::shared_ptr<restartable_server> weights_server{this->serve(this->weights)};
    std::shared_ptr<restartable_server> engine_server{};
};

const std::string tokens = "blur@1/" + short_digest("one boat") + "/0 blur@1/" + short_digest("one boat") +
                           "/1 blur@1/" + short_digest("one boat") + "/2 ";

} // namespace

// Guards against a completion whose text does not identify its adapter, prompt and token positions.
TEST_CASE_FIXTURE(contract_fixture, "engine_completions_return_tokens_with_adapter_prompt_and_position") {
    const auto whole = this->complete();
    REQUIRE(whole->status == 200u);
    CHECK(whole->headers.find("x-adapter") == "blur@1");
    CHECK(json::parse(whole->body)["choices"][0]["text"] == tokens);

    const auto chat = this->call(this->engine_server->port(), "POST", "/v1/chat/completions",
        json{{"model", "blur@1"}, {"messages", {{{"role", "user"}, {"content", "one boat"}}}}, {"max_tokens", 3}});
    CHECK(json::parse(chat->body)["choices"][0]["message"]["content"] == tokens);
    CHECK(this->counters(this->engine_server)["tokens"] == 6);
    CHECK(this->counters(this->weights_server)["loads"]["blur@1"] == 1);
}

// Guards against an interrupted stream that ends like a complete one or cannot be resumed at its offset.
TEST_CASE_FIXTURE(contract_fixture, "engine_broken_stream_is_resumed_at_offset") {
    this->fault(this->engine_server, {{"break_stream_after", 1}});
    const auto broken = this->complete({{"stream", true}, {"request_id", "r1"}});
    REQUIRE_FALSE(broken.has_value());
    CHECK(broken.error().cause == core::reason::connection_lost);
    const auto rest = this->call(this->engine_server->port(), "GET", "/v1/requests/r1?offset=1");
    REQUIRE(rest.has_value());
    CHECK(rest->body.find("/0 ") == std::string::npos);
    CHECK(rest->body.find(R"("offset":1)") != std::string::npos);
    CHECK(rest->body.find("/2 ") != std::string::npos);
    CHECK(rest->body.ends_with("data: [DONE]\n\n"));
    CHECK(this->counters(this->engine_server)["executions"]["r1"] == 1);
}

// Guards against error responses without reason or verdict.
TEST_CASE_FIXTURE(contract_fixture, "engine_error_responses_have_status_and_reason") {
    struct row {
        json changes;
        unsigned status;
        std::string reason;
    };

    const std::vector<row> rows{{{{"model", "sharpen@1"}}, 409u, "adapter_not_resident"},
        {{{"model", "blur"}}, 400u, "invalid_argument"}, {{{"prompt", 3}}, 400u, "invalid_argument"},
        {{{"request_id", "a\"b"}}, 400u, "invalid_argument"}};
    for(const auto& [changes, status, reason] : rows) {
        CAPTURE(changes.dump());
        const auto response = this->complete(changes);
        CHECK(response->status == status);
        CHECK(json::parse(response->body)["error"]["reason"] == reason);
        CHECK(json::parse(response->body)["error"]["verdict"] == "not_run");
    }
    CHECK(this->order("evict_adapter", 0u)->status == 409u);
    this->fault(this->engine_server, {{"load_failure_rate", 1.}});
    CHECK(this->order("evict_adapter", 1u)->status == 200u);
    CHECK(this->order("load_adapter", 1u)->status == 502u);
}

// Guards against a crash that still sends responses or keeps the boot id.
TEST_CASE_FIXTURE(contract_fixture, "engine_crash_marker_breaks_connection_and_changes_boot_id") {
    const auto boot = this->call_when_up(this->engine_server->port(), "/healthz").body;
    this->fault(this->engine_server, {{"crash_marker", "poison"}});
    CHECK(this->complete({{"prompt", "some poison"}}).error().cause == core::reason::connection_lost);
    CHECK(this->call_when_up(this->engine_server->port(), "/healthz").body != boot);
    CHECK(this->complete()->status == 409u);
    CHECK(this->counters(this->engine_server)["crashes"] == 1);
}

// Guards against an order that is executed after its validity has expired while the engine hung.
TEST_CASE_FIXTURE(contract_fixture, "engine_order_held_beyond_validity_is_refused") {
    this->fault(this->engine_server, {{"hang", true}});
    auto pending_order = std::async(std::launch::async, [this] {
        return this->call(this->engine_server->port(), "POST", "/orders",
            json{{"order", "evict_adapter"}, {"adapter", "blur"}, {"version", "1"}, {"fencing_token", 1},
                {"valid_for_ms", 0}});
    });
    while(this->model_engine->hung_requests() == 0u) {
        std::this_thread::yield();
    }
    this->fault(this->engine_server, {{"hang", false}});
    const auto refused = pending_order.get();
    CHECK(json::parse(refused->body)["error"]["reason"] == "lease_expired");
    CHECK(this->counters(this->engine_server)["evictions"] == 0);
}

// Guards against a watch that misses a write or returns the object without a change.
TEST_CASE_FIXTURE(contract_fixture, "object_store_watch_returns_after_write_or_timeout") {
    const auto port = this->store_server->port();
    CHECK(
        this->call(port, "PUT", "/objects/ownership/kotte", json::object(), {{"if-none-match", "*"}})->status == 200u);
    CHECK(this->call(port, "GET", "/watch/ownership/kotte?known=1&timeout_ms=1")->status == 304u);
    auto watch = std::async(std::launch::async,
        [this, port] { return this->call(port, "GET", "/watch/ownership/kotte?known=1&timeout_ms=15000"); });
    while(this->counters(this->store_server)["watches"] != 2) {
        std::this_thread::yield();
    }
    CHECK(
        this->call(port, "PUT", "/objects/ownership/kotte", {{"owner", "b"}}, {{"if-match", "\"1\""}})->status == 200u);
    const auto changed = watch.get();
    REQUIRE(changed.has_value());
    CHECK(changed->status == 200u);
    CHECK(changed->headers.find("etag") == "\"2\"");
    CHECK(changed->body == R"({"owner":"b"})");
}

// Guards against wrong evaluation of if-match and if-none-match.
TEST_CASE_FIXTURE(contract_fixture, "object_store_conditional_requests_return_status") {
    struct row {
        std::string method;
        std::string target;
        std::pair<std::string, std::string> header;
        unsigned status;
    };

    const std::vector<row> rows{{"GET", "/objects/a/b", {"x", "y"}, 404u},
        {"PUT", "/objects/a/b", {"if-match", "\"1\""}, 412u}, {"PUT", "/objects/a/b", {"if-none-match", "*"}, 200u},
        {"PUT", "/objects/a/b", {"if-none-match", "*"}, 412u}, {"PUT", "/objects/a/b", {"if-match", "one"}, 400u},
        {"GET", "/objects/a/b", {"if-none-match", "\"1\""}, 304u},
        {"GET", "/objects/a/b", {"if-none-match", "\"2\""}, 200u}, {"GET", "/objects?prefix=a/", {"x", "y"}, 200u},
        {"DELETE", "/objects/a/b", {"x", "y"}, 400u}};
    for(const auto& [method, target, header, status] : rows) {
        CAPTURE(method);
        CAPTURE(target);
        CAPTURE(header.second);
        CHECK(this->call(this->store_server->port(), method, target, json::object(), {header})->status == status);
    }
    this->fault(this->store_server, {{"outage", true}});
    CHECK(this->call(this->store_server->port(), "GET", "/objects/a/b")->status == 503u);
}

// Guards against a fault that drops the write or execution along with its response.
TEST_CASE_FIXTURE(contract_fixture, "dropped_responses_take_effect_and_break_connection") {
    this->fault(this->store_server, {{"drop_answers", 1}});
    const auto written = this->call(this->store_server->port(), "PUT", "/objects/a", {{"v", 1}});
    CHECK(written.error().verdict == core::verdict::may_have_run);
    CHECK(this->call(this->store_server->port(), "GET", "/objects/a")->body == R"({"v":1})");

    const std::vector<std::pair<std::string, std::string>> key{{"idempotency-key", "k1"}};
    this->fault(this->service_server, {{"drop_answers", 1}});
    CHECK_FALSE(this->call(this->service_server->port(), "POST", "/book", {}, key).has_value());
    const auto repeated = this->call(this->service_server->port(), "POST", "/book", {}, key);
    CHECK(json::parse(repeated->body)["execution"] == 2);
    this->fault(this->service_server, {{"refuse", true}});
    CHECK(this->call(this->service_server->port(), "POST", "/book", {}, key)->status == 503u);
    CHECK(this->counters(this->service_server)["executions"]["k1"] == 2);
}

} // namespace lagoonsaddle::standins
