#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <doctest/doctest.h>

#include "forwarder_fixture.hpp"

namespace lagoonsaddle::edge {

namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

/*! @brief Time after which a request may no longer begin at an older version, with the interval of the check. */
constexpr std::chrono::milliseconds outdated_after{4'000};

} // namespace

// Guards against sending requests of a tenant beyond its quota, here one that no node grants, and against limiting
// others.
TEST_CASE_FIXTURE(forwarder_fixture, "handle_tenant_without_quota_left_refuses_as_not_run") {
    this->run_on_node([this] {
        auto config = *this->routes.current();
        config.version = 2u;
        config.tenants =
            std::vector<tenant>{{.name = "limited", .api_keys = {"k1"}, .quota = {.per_second = 1.0, .burst = 1.0}},
                {.name = "free", .api_keys = {"k2"}}};
        this->routes.apply(std::move(config));
    });
    this->confirm(0ms);
    auto message = this->make_request("safe");
    message.headers.set("key", "k1");
    const auto refused = this->send(message);
    REQUIRE(refused.has_value());
    CHECK(refused->status == 429u);
    CHECK(refused->body.find("not_run") != std::string::npos);
    CHECK(this->upstream.received.empty());
    message.headers.set("key", "k2");
    CHECK(this->send(std::move(message))->status == 200u);
}

// A refusal, a failure and an answer. Guards against failures, which may be quick or slow, that are taken for speed.
TEST_CASE_FIXTURE(forwarder_fixture, "handle_only_complete_answers_are_response_times") {
    const auto observations = [this] {
        double sum{};
        this->run_on_node([this, &sum] {
            for(const auto& [id, known] : this->upstreams.all()) {
                sum += known.speed.summarize(this->clock.now()).weight;
            }
        });
        return sum;
    };
    this->upstream.script = {"error", "error", "cut"};
    CHECK(this->send_to_route("safe")->status == 500u);
    CHECK_FALSE(this->send_to_route("once")->status == 200u);
    CHECK(observations() == 0.0);
    CHECK(this->send_to_route("safe")->status == 200u);
    CHECK(observations() > 0.5);
    CHECK(observations() <= 1.0);
}

// Guards against running a request twice, refusing as not run a request that may have run, and failing a request that
// could have been retried, for each kind of upstream failure.
TEST_CASE_FIXTURE(forwarder_fixture, "handle_upstream_failure_returns_expected_status_and_number_of_sends") {
    struct test_case {
        const char* route;
        std::vector<std::string> script;
        unsigned status;
        std::size_t sends;
    };

    const std::vector<test_case> rows{
        {"safe", {"ok"}, 200u, 1u},
        {"safe", {"error", "ok"}, 200u, 2u},
        {"safe", {"cut", "ok"}, 200u, 2u},
        {"safe", {"unsigned", "ok"}, 200u, 2u},
        {"safe", {"error", "error"}, 500u, 2u},
        {"safe", {"cut", "cut"}, 502u, 2u},
        {"once", {"ok"}, 200u, 1u},
        {"once", {"full", "ok"}, 200u, 2u},
        {"once", {"full", "full"}, 503u, 2u},
        {"once", {"cut", "ok"}, 502u, 1u},
        {"once", {"error", "ok"}, 500u, 1u},
        {"stream", {"full", "stream"}, 200u, 2u},
        {"stream", {"cut", "stream"}, 502u, 1u},
    };
    for(const auto& entry : rows) {
        CAPTURE(entry.route);
        CAPTURE(entry.script.front());
        {
            const std::lock_guard lock{this->upstream.mutex};
            this->upstream.script = entry.script;
            this->upstream.received.clear();
        }
        const auto response = this->send_to_route(entry.route);
        REQUIRE(response.has_value());
        CHECK(response->status == entry.status);
        const std::lock_guard lock{this->upstream.mutex};
        CHECK(this->upstream.received.size() == entry.sends);
    }
}

// Guards against a status that HTTP does not have, which reaches the caller as an answer, lets a request run twice, or
// is taken for a crash of the upstream.
TEST_CASE_FIXTURE(forwarder_fixture, "handle_status_out_of_range_counts_as_attempt_that_may_have_run") {
    struct test_case {
        const char* route;
        std::vector<std::string> script;
        unsigned status;
        std::size_t sends;
    };

    const std::vector<test_case> rows{
        {"safe", {"status 0", "ok"}, 200u, 2u},
        {"safe", {"status 99", "status 600"}, 502u, 2u},
        {"once", {"status 0", "ok"}, 502u, 1u},
        {"once", {"status 999", "ok"}, 502u, 1u},
        {"stream", {"status 0", "stream"}, 502u, 1u},
    };
    for(const auto& entry : rows) {
        CAPTURE(entry.route);
        CAPTURE(entry.script.front());
        {
            const std::lock_guard lock{this->upstream.mutex};
            this->upstream.script = entry.script;
            this->upstream.received.clear();
        }
        const auto response = this->send_to_route(entry.route);
        REQUIRE(response.has_value());
        CHECK(response->status == entry.status);
        const std::lock_guard lock{this->upstream.mutex};
        CHECK(this->upstream.received.size() == entry.sends);
    }
    CHECK(this->log.wait_for("reason=protocol_error"));
    CHECK(this->quarantine.records().empty());
}

// Guards against duplicate, missing or merged events when a stream is resumed on another upstream.
TEST_CASE_FIXTURE(forwarder_fixture, "handle_broken_resumable_stream_resumes_after_last_event") {
    this->upstream.script = {"broken_stream", "stream"};
    const auto response = this->send_to_route("resumable");
    REQUIRE(response.has_value());
    CHECK(response->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    CHECK(this->upstream.received.at(1u).headers.find("resume") == "1");
}

// Guards against running a request twice after a late refusal of an earlier request on the same connection, which names
// no request.
TEST_CASE_FIXTURE(forwarder_fixture, "handle_refusal_without_id_on_reused_connection_is_no_proof") {
    this->upstream.script = {"full_without_id", "ok"};
    CHECK(this->send_to_route("once")->status == 200u);
    this->upstream.script = {"full_without_id", "ok"};
    CHECK(this->send_to_route("once")->status == 502u);
    CHECK(this->upstream.received.size() == 3u);
}

// Guards against taking an upstream for crashed that was only slower than the time for one attempt.
TEST_CASE_FIXTURE(forwarder_fixture, "handle_attempt_that_takes_too_long_is_no_crash") {
    this->upstream.script = {"silent", "ok"};
    auto message = this->make_request("safe");
    message.headers.set("deadline", "2500");
    CHECK(this->send(std::move(message))->status == 200u);
    CHECK(this->upstream.received.size() == 2u);
    CHECK(this->quarantine.records().empty());
}

// Guards against blaming a request for a crash that came after the upstream had begun to answer it.
TEST_CASE_FIXTURE(forwarder_fixture, "handle_connection_lost_after_first_event_is_no_evidence_against_request") {
    this->upstream.script = {"broken_stream"};
    CHECK_FALSE(this->send_to_route("stream").has_value());
    CHECK(this->quarantine.records().empty());
    this->upstream.script = {"cut"};
    CHECK(this->send_to_route("stream")->status == 502u);
    CHECK(this->quarantine.records().size() == 1u);
}

// Guards against sending a request again, after it was admitted, once its prompt part is known to crash upstreams.
TEST_CASE_FIXTURE(forwarder_fixture, "handle_third_crash_on_prompt_part_does_not_resume_stream") {
    const auto now = core::unix_time().count();
    const wire::prompt_part_update earlier{
        {{.part = "p", .crashes = {{.id = 1u, .at_unix_ms = now - 2'000}, {.id = 2u, .at_unix_ms = now - 1'000}}}}};
    this->run_on_node([this, &earlier] { this->prompt_parts.merge(wire::pack(earlier)); });
    this->upstream.script = {"cut", "stream"};
    auto message = this->make_request("resumable");
    message.headers.set("part", "p");
    CHECK(this->send(message)->status == 502u);
    CHECK(this->upstream.received.size() == 1u);
    CHECK(this->send(std::move(message))->status == 503u);
    CHECK(this->upstream.received.size() == 1u);
    CHECK(this->send_to_route("resumable")->status == 200u);
}

// Guards against a stream that its caller resumes at another software version, or at another service.
TEST_CASE_FIXTURE(forwarder_fixture, "handle_resumed_stream_goes_on_only_at_version_and_service_that_began_it") {
    this->set_version("u1", "v1");
    this->set_version("u2", "v2");
    this->run_on_node([this] {
        this->origins.record("u1", {.service = "s", .software_version = "v1"}, 10s);
        this->origins.record("u2", {.service = "s", .software_version = "v2"}, 10s);
        this->origins.record("moved", {.service = "t", .software_version = "v1"}, 10s);
    });
    for(int index{}; index < 8; ++index) {
        const std::string id{index % 2 == 0 ? "u1" : "u2"};
        this->upstream.script = {"stream"};
        CHECK(this->send(this->make_resumed_request(id))->status == 200u);
        CHECK(this->upstream.received.back().headers.find("upstream") == id);
    }
    this->run_on_node([this] { this->upstreams.remove("u2", this->clock.now()); });
    CHECK(this->send(this->make_resumed_request("u2"))->status == 503u);
    CHECK(this->send(this->make_resumed_request("moved"))->status == 503u);
    CHECK(this->upstream.received.size() == 8u);
}

// Guards against a stream that goes on at any version when nobody knows which one began it, and against refusing it
// where there was only one.
TEST_CASE_FIXTURE(forwarder_fixture, "handle_resumed_stream_of_unknown_origin_goes_on_only_after_single_version") {
    CHECK(this->send(this->make_resumed_request())->status == 503u);
    this->run_on_node([this] { this->upstreams.set_current(true, this->clock.now() - 60s); });
    this->upstream.script = {"stream"};
    CHECK(this->send(this->make_resumed_request())->status == 200u);
    this->set_version("u2", "v2");
    CHECK(this->send(this->make_resumed_request("r9"))->status == 503u);
    CHECK(this->upstream.received.size() == 1u);
}

// Guards against a stream that goes on at the only version of an outdated list, while it began at an upstream that has
// joined since; and against the same when the store cannot tell.
TEST_CASE_FIXTURE(forwarder_fixture, "handle_resumed_stream_with_outdated_list_of_upstreams_is_refused") {
    this->run_on_node([this] {
        this->upstreams.set_current(true, this->clock.now() - 60s);
        this->unseen_upstreams = core::fail(core::reason::unavailable, "the store does not answer");
    });
    CHECK(this->send(this->make_resumed_request())->status == 503u);
    this->run_on_node([this] {
        record_page joined{};
        joined.records.push_back(
            {.name = "u3", .value = upstream_entry{.id = "u3", .service = "s", .software_version = "v2"}});
        this->unseen_upstreams = std::move(joined);
    });
    CHECK(this->send(this->make_resumed_request())->status == 503u);
    CHECK(this->upstream.received.empty());
}

// Guards against a first event that reaches the caller before the origin of its stream is recorded, under the request
// that brought the first event.
TEST_CASE_FIXTURE(forwarder_fixture, "handle_first_event_records_origin_of_stream") {
    this->set_version("u1", "v1");
    this->set_version("u2", "v1");
    this->upstream.script = {"stream"};
    CHECK(this->send_to_route("stream")->status == 200u);
    this->run_on_node([this] { CHECK(this->origins.record_count() == 0u); });
    this->upstream.script = {"broken_stream", "stream"};
    CHECK(this->send_to_route("resumable")->status == 200u);
    this->run_on_node([this] {
        const auto known = this->origins.make_reply({.request = "r1", .service = "s"});
        REQUIRE(known.origin.has_value());
        CHECK(known.origin->service == "s");
        CHECK(known.origin->software_version == "v1");
    });
}

// Guards against a stream under the version of an entry that may be older than the last start of its upstream.
TEST_CASE_FIXTURE(forwarder_fixture, "handle_stream_of_upstream_that_has_started_again_has_no_known_version") {
    this->run_on_node([this] {
        this->upstreams.set_current(true, this->clock.now() - 60s);
        this->upstreams.suspect_restart("u1", this->clock.now());
        this->upstreams.suspect_restart("u2", this->clock.now());
    });
    this->upstream.script = {"broken_stream", "stream"};
    CHECK_FALSE(this->send_to_route("resumable").has_value());
    CHECK(this->upstream.received.size() == 1u);
    CHECK(this->send(this->make_resumed_request("r1"))->status == 503u);
    CHECK(this->upstream.received.size() == 1u);
}

// Guards against an incomplete stream that the caller takes for a complete one.
TEST_CASE_FIXTURE(forwarder_fixture, "handle_broken_stream_that_may_run_once_closes_connection") {
    this->upstream.script = {"broken_stream"};
    const auto response = this->send_to_route("stream");
    REQUIRE_FALSE(response.has_value());
    CHECK(response.error().cause == core::reason::connection_lost);
    CHECK(this->upstream.received.size() == 1u);
}

// Guards against passing on a stream as complete that ended inside an event.
TEST_CASE_FIXTURE(forwarder_fixture, "handle_stream_that_ends_inside_event_is_broken_off_or_resumed") {
    this->upstream.script = {"half_event"};
    CHECK_FALSE(this->send_to_route("stream").has_value());
    this->upstream.script = {"half_event", "stream"};
    const auto response = this->send_to_route("resumable");
    REQUIRE(response.has_value());
    CHECK(response->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

// Guards against upstream work for a caller that has disconnected.
TEST_CASE_FIXTURE(forwarder_fixture, "handle_caller_disconnects_cancels_upstream_request") {
    this->upstream.script = {"hang"};
    auto disconnected = this->upstream.caller_disconnected->get_future();
    const auto control = std::make_shared<http::exchange_control>();
    auto call_done = asio::co_spawn(
        this->caller_context,
        [this, control]() -> asio::awaitable<void> {
            http::exchange_options options{};
            options.keep_host = true;
            options.control = control;
            const core::endpoint target{"127.0.0.1", this->caller_server.port()};
            auto message = this->make_request("stream");
            auto stream = co_await this->caller_client.open(target, std::move(message), std::move(options));
            REQUIRE(stream.has_value());
            static_cast<void>(co_await (*stream)->read());
            control->cancel();
        },
        asio::use_future);
    call_done.get();
    CHECK(disconnected.wait_for(10s) == std::future_status::ready);
    // Guards against logging the verdict not_run for a request that an upstream has begun.
    CHECK(this->log.wait_for("outcome=caller_gone verdict=may_have_run"));
}

// Guards against a request that waits although no upstream can serve it, and against a refusal with a wrong verdict.
TEST_CASE_FIXTURE(forwarder_fixture, "handle_without_upstream_refuses_immediately_as_not_run") {
    this->run_on_node([this] {
        this->upstreams.remove("u1", this->clock.now());
        this->upstreams.remove("u2", this->clock.now());
    });
    const auto response = this->send_to_route("once");
    REQUIRE(response.has_value());
    CHECK(response->status == 503u);
    CHECK(this->upstream.received.empty());
    // The log line is written after the response has been sent.
    CHECK(this->log.wait_for("outcome=refused verdict=not_run"));
}

// Guards against a 503 for a path without a route, which callers would retry, and against forwarding a request without
// an id.
TEST_CASE_FIXTURE(forwarder_fixture, "handle_unknown_path_returns_404_and_malformed_request_400") {
    auto message = this->make_request("nowhere");
    CHECK(this->send(std::move(message))->status == 404u);
    http::request without_id{.target = "/safe/1"};
    without_id.headers.set("host", "h");
    CHECK(this->send(std::move(without_id))->status == 400u);
}

// Guards against a 404 for a route that only a newer configuration has, which this node does not have yet.
TEST_CASE_FIXTURE(forwarder_fixture, "handle_unknown_path_behind_peers_refuses_as_not_run") {
    this->run_on_node([this] { this->configuration_updates->announce(9u); });
    const auto response = this->send_to_route("added");
    REQUIRE(response.has_value());
    CHECK(response->status == 503u);
    CHECK(this->send_to_route("once")->status == 200u);
}

// Guards against accepting requests that may not finish before the process stops.
TEST_CASE_FIXTURE(forwarder_fixture, "handle_shortly_before_exit_refuses_only_long_requests") {
    this->run_on_node([this] {
        const auto now = this->clock.now();
        this->request_forwarder.begin_stop({.refuse_at = now, .exit_at = now + 2s});
    });
    CHECK(this->send_to_route("once")->status == 503u);
    auto short_request = this->make_request("once");
    short_request.headers.set("deadline", "500");
    CHECK(this->send(std::move(short_request))->status == 200u);
}

// Guards against an upstream that seems busier for good after a request that an exception has ended.
TEST_CASE_FIXTURE(forwarder_fixture, "forward_exception_while_sending_counts_no_request_as_in_flight") {
    auto message = this->make_request("safe");
    message.headers.set("unencodable", "1");
    const auto answer = this->send(std::move(message));
    CHECK((!answer || answer->status >= 500u));
    this->run_on_node([this] {
        for(const auto& [id, known] : this->upstreams.all()) {
            CHECK(known.in_flight == 0u);
        }
    });
    CHECK(this->send_to_route("safe").has_value());
}

// Guards against prompt tokens that keep an upstream from requests for good, and against a task that never ends, after
// a request for an adapter that an exception has ended.
TEST_CASE_FIXTURE(forwarder_fixture, "forward_exception_while_sending_to_adapter_leaves_nothing_behind") {
    this->run_on_node([this] {
        for(const auto* id : {"u1", "u2"}) {
            auto entry = this->upstreams.find(id)->entry;
            entry.models["m"].adapters = {{"a", 1u}};
            this->upstreams.update(entry, this->clock.now());
        }
    });
    auto message = this->make_request("safe");
    message.headers.set("adapter", "a");
    auto unencodable = message;
    unencodable.headers.set("unencodable", "1");
    static_cast<void>(this->send(std::move(unencodable)));
    this->run_on_node([this] {
        for(const auto& [id, known] : this->upstreams.all()) {
            CHECK(known.pending_tokens == 0u);
        }
        this->placement->on_version_announced(version_record{.model = "m", .adapter = "a", .version = 2u});
    });
    std::this_thread::sleep_for(outdated_after);
    const std::lock_guard lock{this->log.mutex};
    CHECK(std::ranges::none_of(
        this->log.lines, [](const std::string& line) { return line.find("outdated_attempt") != std::string::npos; }));
}

// Guards against a key that is served although its removal may be older than the bound, against requests without a key
// that are refused with it, and against a refusal that does not promise that the request has not run.
TEST_CASE_FIXTURE(forwarder_fixture, "handle_key_is_served_only_while_configuration_is_confirmed") {
    this->add_tenant();
    this->confirm(5s);
    auto message = this->make_request("safe");
    message.headers.set("key", "k");
    const auto refused = this->send(std::move(message));
    REQUIRE(refused.has_value());
    CHECK(refused->status == 503u);
    CHECK(refused->body.find("not_run") != std::string::npos);
    CHECK(this->log.wait_for("it is not known whether the key is still valid"));
    CHECK(this->send_with_key("safe", "added_since") == 503u);
    CHECK(this->send_with_key("once", "k") == 503u);
    CHECK(this->upstream.received.empty());
    CHECK(this->send_with_key("safe", "") == 401u);
    CHECK(this->send_with_key("once", "") == 200u);
    this->confirm(1s);
    CHECK(this->send_with_key("safe", "k") == 200u);
    CHECK(this->upstream.received.size() == 2u);
    this->run_on_node([this] { CHECK(this->request_forwarder.unconfirmed_refusals() == 3u); });
}

// Guards against an unknown key that is served, one that a node refuses for good although the configuration that adds
// it may be in force, and upstreams that get the wrong tenant or its requests in the wrong order.
TEST_CASE_FIXTURE(forwarder_fixture, "handle_key_decides_on_tenant_and_urgency") {
    CHECK(this->send_with_key("safe", "k") == 200u);
    CHECK(this->upstream.received.back().headers.find("tenant") == "unset");
    this->add_tenant();
    this->confirm(0s);
    CHECK(this->send_with_key("safe", "no-such-key") == 401u);
    CHECK(this->send_with_key("safe", "") == 401u);
    CHECK(this->send_with_key("once", "no-such-key") == 200u);
    CHECK(this->upstream.received.back().headers.find("tenant") == "");
    const auto anonymous_urgency = std::string{*this->upstream.received.back().headers.find("urgency")};
    CHECK(this->send_with_key("safe", "k") == 200u);
    CHECK(this->upstream.received.back().headers.find("tenant") == "a");
    // The priority of the tenant is that of the anonymous route; the route of the request has a less urgent one.
    CHECK(this->upstream.received.back().headers.find("urgency") == anonymous_urgency);
    this->run_on_node([this] { this->configuration_updates->announce(this->routes.version() + 1u); });
    CHECK(this->send_with_key("safe", "no-such-key") == 503u);
    CHECK(this->send_with_key("safe", "k") == 200u);
    const std::lock_guard lock{this->log.mutex};
    for(const auto& line : this->log.lines) {
        CHECK(line.find("no-such-key") == std::string::npos);
    }
}

} // namespace lagoonsaddle::edge
