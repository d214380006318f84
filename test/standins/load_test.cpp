#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "standins_fixture.hpp"
#include <lagoonsaddle/standins/endpoint_text.hpp>
#include <lagoonsaddle/standins/engine.hpp>
#include <lagoonsaddle/standins/load_check.hpp>
#include <lagoonsaddle/standins/load_driver.hpp>
#include <lagoonsaddle/standins/load_plan.hpp>
#include <lagoonsaddle/standins/load_summary.hpp>
#include <lagoonsaddle/standins/restartable_server.hpp>

namespace lagoonsaddle::standins {

namespace {

using nlohmann::json;

struct load_fixture {
    load_fixture() {
        this->call.target = {.adapter = "adapter-00001", .version = "1"};
        this->call.prompt_digest = "0123abcd";
        this->call.tokens = 2u;
        this->call.streamed = true;
    }

    [[nodiscard]] static std::string event(const std::string& text) {
        return "data: " + json{{"choices", {{{"index", 0}, {"text", text}}}}}.dump() + "\n\n";
    }

    /*! @brief Checks a streamed response that arrives in chunks of the given size. */
    [[nodiscard]] call_outcome check_stream(const std::string& body, std::size_t chunk = 7u) const {
        response_check check{this->call};
        http::fields headers{};
        headers.set("content-type", "text/event-stream");
        headers.set("x-adapter", "adapter-00001@1");
        check.on_headers(200u, headers);
        for(std::size_t begin{}; begin < body.size(); begin += chunk) {
            check.on_data(std::string_view{body}.substr(begin, chunk));
        }
        return check.finish();
    }

    [[nodiscard]] call_outcome check_whole(unsigned status, const std::string& adapter, const std::string& text) const {
        response_check check{this->call};
        http::fields headers{};
        headers.set("x-adapter", adapter);
        check.on_headers(status, headers);
        check.on_data(json{{"choices", {{{"index", 0}, {"text", text}}}}}.dump());
        return check.finish();
    }

    planned_call call{};
    const std::string first{"adapter-00001@1/0123abcd/0 "};
    const std::string second{"adapter-00001@1/0123abcd/1 "};
    const std::string end{"data: {\"lagoonsaddle\":{\"verdict\":\"ran\"}}\n\ndata: [DONE]\n\n"};
};

} // namespace

// Guards against a check that accepts streams with wrong, reordered, missing or repeated tokens.
TEST_CASE_FIXTURE(load_fixture, "response_check_streams_are_classified") {
    struct row {
        std::string name;
        std::string body;
        bool ok;
        bool wrong_adapter;
        bool wrong_prompt;
        bool incomplete;
    };

    const std::vector<row> rows{{"whole", event(first) + event(second) + end, true, false, false, false},
        {"two tokens in one event", event(first + second) + end, true, false, false, false},
        {"short", event(first) + end, true, false, false, true}, {"empty", end, true, false, false, true},
        {"without end", event(first) + event(second), true, false, false, true},
        {"repeated", event(first) + event(first) + event(second) + end, true, false, false, true},
        {"out of order", event(second) + event(first) + end, true, false, false, true},
        {"too long", event(first) + event(second) + event("adapter-00001@1/0123abcd/2 ") + end, true, false, false,
            true},
        {"other version", event(first) + event("adapter-00001@2/0123abcd/1 ") + end, true, true, false, false},
        {"other prompt", event(first) + event("adapter-00001@1/ffffffff/1 ") + end, true, false, true, false},
        {"error",
            event(first) +
                "event: error\ndata: {\"error\":{\"reason\":\"connection_lost\",\"verdict\":\"may_have_run\"}}\n\n",
            false, false, false, false},
        {"adapter in last event",
            event(first) + event(second) + "data: {\"lagoonsaddle\":{\"x-adapter\":\"a@1\"}}\n\n" + end, true, true,
            false, false}};
    for(const auto& row : rows) {
        CAPTURE(row.name);
        for(const std::size_t chunk : {1u, 7u, 4'096u}) {
            const auto outcome = this->check_stream(row.body, chunk);
            CHECK(outcome.ok == row.ok);
            CHECK(outcome.wrong_adapter == row.wrong_adapter);
            CHECK(outcome.wrong_prompt == row.wrong_prompt);
            CHECK(outcome.incomplete == row.incomplete);
        }
    }
    CHECK(this->check_stream(rows.front().body).verdict == "ran");
    CHECK(this->check_stream(rows[10].body).reason == "connection_lost");
}

// Guards against weaker checks of responses that are not streamed.
TEST_CASE_FIXTURE(load_fixture, "response_check_unstreamed_responses_are_classified") {
    this->call.streamed = false;
    const auto good = this->check_whole(200u, "adapter-00001@1", first + second);
    CHECK(good.ok);
    CHECK_FALSE((good.wrong_adapter || good.wrong_prompt || good.incomplete));
    CHECK(this->check_whole(200u, "adapter-00002@1", first + second).wrong_adapter);
    CHECK(this->check_whole(200u, "adapter-00001@1", first).incomplete);
    CHECK(this->check_whole(200u, "adapter-00001@1", first + second.substr(0u, 26u)).incomplete);
    CHECK(this->check_whole(500u, "adapter-00001@1", {}).reason == "status_500");
    this->call.streamed = true;
    CHECK(this->check_whole(200u, "adapter-00001@1", first + second).incomplete);

    response_check lost{this->call};
    const auto outcome = lost.fail({.cause = core::reason::timeout, .verdict = core::verdict::may_have_run});
    CHECK(outcome.reason == "client_timeout");
    CHECK(outcome.verdict == "may_have_run");
}

// Guards against plans that are not reproducible and against shares or a popularity that are not applied.
TEST_CASE_FIXTURE(load_fixture, "load_plan_same_seed_gives_same_mix") {
    const load_plan_options mix{.adapters = 1'000u, .service_share = .2, .seed = 7u};
    load_plan plan{mix};
    load_plan again{mix};
    std::map<std::string, int> adapters{};
    std::set<std::string> ids{};
    int services{};
    int marked{};
    for(int index{}; index < 5'000; ++index) {
        const auto next = plan.next();
        const auto same = again.next();
        REQUIRE(next.message.body == same.message.body);
        REQUIRE(next.message.target == same.message.target);
        ids.insert(next.request_id);
        if(next.kind == call_kind::service) {
            ++services;
            marked += next.non_idempotent ? 1 : 0;
            CHECK(next.non_idempotent == next.message.headers.find("idempotency-key").has_value());
            CHECK(next.non_idempotent == (next.message.headers.find("x-non-idempotent") == "true"));
        } else {
            ++adapters[next.target.adapter];
            CHECK(json::parse(next.message.body)["model"] == "base/" + core::to_string(next.target));
        }
    }
    CHECK(ids.size() == 5'000u);
    CHECK(services == doctest::Approx(1'000).epsilon(.15));
    CHECK(marked == doctest::Approx(500).epsilon(.2));
    // With exponent 1 and 1,000 adapters, the first one gets 1 / 7.49 of the calls.
    CHECK(adapters["adapter-00000"] == doctest::Approx(4'000 / 7.49).epsilon(.15));
    CHECK(adapters.size() > 500u);
}

// Guards against duplicate executions and wrong not_run verdicts that are missing from the summary.
TEST_CASE_FIXTURE(load_fixture, "load_summary_counters_reveal_duplicates_and_false_not_run") {
    load_summary summary{};
    planned_call booking{.kind = call_kind::service, .non_idempotent = true, .request_id = "r1", .key = "k1"};
    summary.add(booking, {.ok = true, .verdict = "ran", .reason = "ok"}, {.total = std::chrono::milliseconds{4}});
    CHECK_FALSE(summary.has_violations());
    booking.key = "k2";
    summary.add(booking, {.verdict = "not_run", .reason = "overloaded"}, {});
    booking.key = "k3";
    summary.add(booking, {.verdict = {}, .reason = "internal"}, {});
    summary.add_service_counters(json{{"executions", {{"k1", 1}, {"k2", 1}, {"foreign", 9}}}});
    summary.add_service_counters(json{{"executions", {{"k1", 1}}}});
    summary.add_engine_counters(json{{"steps", 10}, {"batched", 20}, {"batch_limit", 4}},
        json{{"steps", 20}, {"batched", 40}, {"batch_limit", 4}});
    const auto values = summary.to_json(std::chrono::seconds{2});
    CHECK(values["duplicates"] == 1);
    CHECK(values["false_not_run"] == 1);
    CHECK(values["failures_without_verdict"] == 1);
    CHECK(values["by_verdict"] == json{{"ran", 1}, {"not_run", 1}, {"none", 1}});
    CHECK(values["total_ms"]["p99"] == 4.);
    CHECK(values["engines"]["batch_fill"] == .5);
    CHECK(summary.has_violations());
    CHECK(summary_text(values).find("by_reason.overloaded: 1\n") != std::string::npos);
}

// Guards against malformed endpoints that are accepted.
TEST_CASE_FIXTURE(load_fixture, "parse_endpoint_forms_are_accepted_or_rejected") {
    const core::endpoint expected{.address = "127.0.0.1", .port = 80u};
    CHECK(parse_endpoint("127.0.0.1:80") == expected);
    CHECK(parse_endpoint("http://127.0.0.1:80/counters") == expected);
    for(const auto* text : {"", "127.0.0.1", ":80", "127.0.0.1:", "127.0.0.1:80x", "127.0.0.1:70000"}) {
        CAPTURE(text);
        CHECK_FALSE(parse_endpoint(text).has_value());
    }
    CHECK(parse_endpoints("127.0.0.1:80,127.0.0.1:80")->size() == 2u);
    CHECK_FALSE(parse_endpoints("127.0.0.1:80,x").has_value());
}

// Guards against a driver that loses calls or counts rejected ones as successful.
TEST_CASE_FIXTURE(standins_fixture, "load_driver_against_engine_checks_all_responses") {
    engine target{this->context, this->clock,
        engine_standin_options{
            .engine = {.slots = 2u}, .step_interval = std::chrono::milliseconds{1}, .load_duration = {}}};
    const auto server = std::make_shared<restartable_server>(this->context, target, http::server_options{});
    REQUIRE(server->start().has_value());
    target.start([server](core::duration time) { server->restart(time); });
    const core::endpoint node{.address = "127.0.0.1", .port = server->port()};
    REQUIRE(this->call(node.port, "POST", "/orders",
                    json{{"order", "load_adapter"}, {"adapter", "adapter-00000"}, {"version", "1"}})
                ->status == 200u);
    for(const double rate : {0., 2'000.}) {
        CAPTURE(rate);
        load_driver driver{this->context, this->clock,
            load_plan_options{.adapters = 2u, .base_model = "", .service_share = 0., .tokens_max = 6u},
            load_driver_options{
                .nodes = {node}, .engine_counters = {node}, .concurrency = 8u, .rate = rate, .requests = 200u}};
        const auto summary =
            boost::asio::co_spawn(boost::asio::make_strand(this->context), driver.run(), boost::asio::use_future).get();
        CAPTURE(summary.dump());
        CHECK(summary["requests"] == 200);
        CHECK(summary["by_reason"].size() == 2u);
        CHECK(summary["by_verdict"]["not_run"] == summary["by_reason"]["adapter_not_resident"]);
        CHECK(summary["first_token_ms"]["count"].get<int>() > 0);
        CHECK(summary["engines"]["batch_fill"].get<double>() > 0.);
        CHECK_FALSE(driver.has_violations());
    }
    this->stop();
}

} // namespace lagoonsaddle::standins
