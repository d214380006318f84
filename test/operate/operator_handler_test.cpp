#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include "fake_backend.hpp"
#include <lagoonsaddle/operate/operator_handler.hpp>

namespace lagoonsaddle::operate {

namespace {

namespace asio = boost::asio;
using nlohmann::json;

class capturing_response_writer final : public http::response_writer {
public:
    asio::awaitable<core::result<void>> send(http::response message) override {
        this->response = std::move(message);
        this->sent = true;
        co_return core::result<void>{};
    }

    asio::awaitable<core::result<void>> begin(unsigned, http::fields) override {
        co_return core::result<void>{};
    }

    asio::awaitable<core::result<void>> write(std::string_view) override {
        co_return core::result<void>{};
    }

    asio::awaitable<core::result<void>> finish() override {
        co_return core::result<void>{};
    }

    void abort() noexcept override {}

    [[nodiscard]] bool started() const noexcept override {
        return this->sent;
    }

    void on_disconnect(std::function<void()>) override {}

    http::response response{};
    bool sent{false};
};

struct operator_handler_fixture {
    operator_handler_fixture() {
        rules::rule first{.name = "first"};
        first.then.priority = 3;
        this->backend.state.version = 4u;
        this->backend.state.set.rules = {first};
    }

    http::response call(std::string method, std::string target, std::string body = {}, bool with_token = true) {
        http::request request{.method = std::move(method), .target = std::move(target), .body = std::move(body)};
        if(with_token) {
            request.headers.set("authorization", "Bearer 0123456789abcdef");
        }
        capturing_response_writer writer{};
        asio::io_context context{};
        asio::co_spawn(context, this->handler.handle(std::move(request), writer), asio::detached);
        context.run();
        REQUIRE(writer.sent);
        return writer.response;
    }

    fake_backend backend{};
    operator_handler handler{this->backend, token_authenticator{"0123456789abcdef"}};
};

constexpr const char* refuse_all = R"("rules": [{"name": "first", "then": {"action": "refuse", "reason": "closed"}}])";

} // namespace

// Guards against a path that is accessible without a token, and against health checks that require expected.
TEST_CASE_FIXTURE(operator_handler_fixture, "handler_without_token_serves_only_page_and_health_checks") {
    for(const auto* target : {"/status", "/nodes", "/upstreams", "/adapters", "/rules", "/explain/r1", "/events",
            "/debug/state", "/metrics", "/other", "/healthz/x"}) {
        CAPTURE(target);
        CHECK(this->call("GET", target, {}, false).status == 401u);
    }
    CHECK(this->call("PUT", "/rules", "{}", false).status == 401u);
    CHECK(this->call("POST", "/rules/undo", "{}", false).status == 401u);
    CHECK(this->call("GET", "/", {}, false).status == 200u);
    CHECK(this->call("GET", "/healthz", {}, false).status == 200u);
    CHECK(this->call("GET", "/readyz", {}, false).status == 200u);
}

// Guards against a load balancer that keeps sending requests to a node that is not ready.
TEST_CASE_FIXTURE(operator_handler_fixture, "handler_not_ready_answers_503_with_reasons") {
    this->backend.reasons = {"configuration is not known yet"};
    CHECK(this->call("GET", "/healthz").status == 200u);
    const auto ready = this->call("GET", "/readyz");
    CHECK(ready.status == 503u);
    CHECK(json::parse(ready.body)["reasons"][0] == "configuration is not known yet");
    this->backend.reasons.clear();
    this->backend.alive = false;
    CHECK(this->call("GET", "/healthz").status == 503u);
    CHECK(this->call("GET", "/readyz").status == 503u);
}

// Guards against paths that return the data of another path or another format.
TEST_CASE_FIXTURE(operator_handler_fixture, "handler_paths_return_expected_status_and_body") {
    struct expected_response {
        std::string_view method;
        std::string_view target;
        unsigned status;
        std::string_view body;
    };

    const std::vector<expected_response> rows{
        {"GET", "/status", 200u, R"({"node":"n1"})"},
        {"GET", "/nodes", 200u, R"({"nodes":["n1"]})"},
        {"GET", "/upstreams", 200u, R"({"upstreams":["e1"]})"},
        {"GET", "/adapters", 200u, R"({"adapters":["a"]})"},
        {"GET", "/debug/state", 200u, R"({"upstreams":{}})"},
        {"GET", "/metrics", 200u, "requests_total 1\n"},
        {"GET", "/events", 200u, R"({"events":[0,100]})"},
        {"GET", "/events?after=7&limit=5", 200u, R"({"events":[7,5]})"},
        {"GET", "/events?after=x", 400u, ""},
        {"GET", "/events?limit=2001", 400u, ""},
        {"GET", "/explain/r%2F1", 200u, R"({"records":[{"request_id":"r/1"}]})"},
        {"GET", "/explain/other", 404u, ""},
        {"GET", "/explain", 404u, ""},
        {"GET", "/debug", 404u, ""},
        {"POST", "/status", 405u, ""},
        {"DELETE", "/rules", 405u, ""},
        {"GET", "/rules/preview", 405u, ""},
        {"GET", "/rules/other", 404u, ""},
        {"POST", "/rules/preview", 400u, ""},
        {"POST", "/", 405u, ""},
    };
    for(const auto& expected : rows) {
        CAPTURE(expected.method);
        CAPTURE(expected.target);
        const auto response = this->call(std::string{expected.method}, std::string{expected.target});
        CHECK(response.status == expected.status);
        if(expected.status == 200u) {
            CHECK(response.body == expected.body);
        } else {
            CHECK(json::parse(response.body).contains("error"));
        }
        CHECK(response.headers.find("cache-control") == "no-store");
    }
}

// Guards against a rules response that lacks the hits or the number of nodes that have the rules in force.
TEST_CASE_FIXTURE(operator_handler_fixture, "handler_rules_returns_rules_with_hits_and_nodes") {
    this->backend.state.nodes = 9u;
    this->backend.state.nodes_in_force = 7u;
    const auto body = json::parse(this->call("GET", "/rules").body);
    CHECK(body["version"] == 4);
    CHECK(body["document"]["rules"][0]["name"] == "first");
    CHECK(body["hits"][0]["count"] == 5);
    CHECK(body["hits"][0]["latest"][0]["request_id"] == "r9");
    CHECK(body["nodes_in_force"] == 7);
    CHECK(body["nodes"] == 9);
}

// Guards against cached warnings of an earlier version of the rules.
TEST_CASE_FIXTURE(operator_handler_fixture, "handler_rules_returns_warnings_of_version_in_force") {
    CHECK(json::parse(this->call("GET", "/rules").body)["warnings"].empty());
    this->backend.state.set.rules.push_back({.name = "second"});
    ++this->backend.state.version;
    CHECK(json::parse(this->call("GET", "/rules").body)["warnings"].size() == 1u);
    CHECK(json::parse(this->call("GET", "/rules").body)["warnings"].size() == 1u);
}

// Guards against a preview that changes the rules, or that reports an error without its path.
TEST_CASE_FIXTURE(operator_handler_fixture, "handler_preview_reports_differences_and_saves_nothing") {
    const auto body = json::parse(this->call("POST", "/rules/preview", "{" + std::string{refuse_all} + "}").body);
    CHECK(body["valid"] == true);
    CHECK(body["preview"]["newly_refused"] == 1);
    CHECK(this->backend.state.version == 4u);
    const auto wrong = json::parse(this->call("POST", "/rules/preview", R"({"rules": [{"name": "x"}]})").body);
    CHECK(wrong["valid"] == false);
    CHECK(wrong["errors"][0]["path"] == "rules[0].then");
}

// Guards against a stale change that overwrites the rules of another operator.
TEST_CASE_FIXTURE(operator_handler_fixture, "handler_save_stale_version_answers_conflict_with_current_rules") {
    const auto stale = this->call("PUT", "/rules", R"({"expected_version": 3, )" + std::string{refuse_all} + "}");
    CHECK(stale.status == 409u);
    const auto body = json::parse(stale.body);
    CHECK(body["error"]["reason"] == "conflict");
    CHECK(body["current"]["version"] == 4);
    CHECK(body["current"]["document"]["rules"][0]["then"]["priority"] == 3);
    CHECK(this->call("POST", "/rules/undo", R"({"expected_version": 3})").status == 409u);

    const auto saved =
        this->call("PUT", "/rules", R"({"expected_version": 4, "author": "night", )" + std::string{refuse_all} + "}");
    CHECK(saved.status == 200u);
    CHECK(json::parse(saved.body)["version"] == 5);
    CHECK(this->backend.state.changed_by == "night");
    CHECK(this->backend.state.set.rules[0].then.reason == "closed");
    CHECK(this->call("POST", "/rules/undo", R"({"expected_version": 5})").status == 200u);
    CHECK(this->backend.state.version == 6u);
}

// Guards against passing an invalid or incomplete change to the node.
TEST_CASE_FIXTURE(operator_handler_fixture, "handler_save_invalid_body_answers_400_and_saves_nothing") {
    for(const auto* body : {"", "[]", "{}", R"({"rules": []})", R"({"expected_version": -1, "rules": []})",
            R"({"expected_version": 4})", R"({"expected_version": 4, "rules": [{"name": "x"}]})",
            R"({"expected_version": 4, "rules": [], "author": 7})"}) {
        CAPTURE(body);
        CHECK(this->call("PUT", "/rules", body).status == 400u);
    }
    CHECK(this->backend.state.version == 4u);
    const auto response = this->call("PUT", "/rules", R"({"expected_version": 4, "rules": [{"name": "x"}, {}]})");
    CHECK(json::parse(response.body)["errors"].size() == 3u);
}

} // namespace lagoonsaddle::operate
