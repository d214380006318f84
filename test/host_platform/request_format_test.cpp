#include <platform/request_format.hpp>

#include <doctest/doctest.h>

namespace lagoonsaddle::host_platform {

namespace {

struct request_format_fixture {
    request_format_fixture() {
        this->message.method = "POST";
        this->message.target = "/a/1?q";
        this->message.body = "body";
        this->message.headers.set("Host", "h.example");
        this->message.headers.set("X-Attempt-Id", "r1");
        this->message.headers.set("X-Model", "m/a3");
        this->message.headers.set("X-Token-Count", "1460,80");
        this->message.headers.set("X-Deadline-Ms", "6000");
    }

    request_format format{};
    http::request message{};
    edge::forwarding_metadata terms{.deadline = std::chrono::milliseconds{250}, .expected_upstream = "u1"};
};

} // namespace

TEST_CASE_FIXTURE(request_format_fixture, "parse_request_fields_returns_terms") {
    const auto read = this->format.parse_request(this->message);
    REQUIRE(read.has_value());
    CHECK(read->model == "m");
    CHECK(read->adapter == "a3");
    CHECK(read->prompt_tokens == 1'460u);
    CHECK(read->output_tokens == 80u);
    CHECK(read->deadline == std::chrono::milliseconds{6'000});
    this->message.headers.set("X-Deadline-Ms", "soon");
    CHECK_FALSE(this->format.parse_request(this->message).has_value());
}

// Guards against prompts that share parts but not a prefix, and against a list in another form that fails a request.
TEST_CASE_FIXTURE(request_format_fixture, "parse_request_prompt_parts_returns_shared_prefix") {
    const auto read = [this](std::string_view list) {
        this->message.headers.set("X-Prompt-Prefix", list);
        return this->format.parse_request(this->message).value();
    };
    const auto first = read("5c1e:800,91bd:410,e440:250");
    CHECK(first.shared_tokens == 1'210u);
    CHECK(first.shared_prefix != 0u);
    CHECK(read("5c1e:800,91bd:410,ffff:9").shared_prefix == first.shared_prefix);
    CHECK(read("5c1e:800,91be:410,e440:250").shared_prefix != first.shared_prefix);
    for(const auto* list : {"e440:250", "", "5c1e,e440", "5c1e:x,e440:250", ",,"}) {
        CAPTURE(list);
        CHECK(read(list).shared_prefix == 0u);
        CHECK(read(list).shared_tokens == 0u);
    }
}

// Guards against fields that only the system may set, and against the removal of the request's own fields by a caller
// that lists them as fields of the connection.
TEST_CASE_FIXTURE(request_format_fixture, "make_upstream_request_hostile_fields_are_dropped") {
    this->message.headers.set("Connection", "close, X-Model, X-Custom");
    this->message.headers.set("X-Custom", "1");
    this->message.headers.set("X-Hold", "h1");
    this->message.headers.set("Kv-From", "10.0.0.1:80/1");
    this->message.headers.set("X-Expect-Instance", "another");
    this->message.headers.set("X-Request-Urgency", "0");
    this->message.headers.set("Transfer-Encoding", "chunked");
    const auto outgoing = this->format.make_upstream_request(this->message, this->terms);
    CHECK(outgoing.method == "POST");
    CHECK(outgoing.target == "/a/1?q");
    CHECK(outgoing.body == "body");
    CHECK(outgoing.headers.find("x-model") == "m/a3");
    CHECK(outgoing.headers.find("host") == "h.example");
    CHECK(outgoing.headers.find("x-deadline-ms") == "250");
    CHECK(outgoing.headers.find("x-expect-instance") == "u1");
    for(const auto* name : {"x-custom", "x-hold", "kv-from", "x-request-urgency", "connection", "transfer-encoding"}) {
        CAPTURE(name);
        CHECK_FALSE(outgoing.headers.find(name).has_value());
    }
}

TEST_CASE_FIXTURE(request_format_fixture, "parse_response_head_marks_returns_terms") {
    http::fields headers{};
    headers.set("X-Attempt-Id", "r1");
    headers.set("X-Response-Stamp", "s");
    CHECK(this->format.parse_response_head(200u, headers).signed_by_upstream);
    CHECK_FALSE(this->format.parse_response_head(200u, headers).not_run);
    CHECK(this->format.parse_response_head(421u, headers).not_run);
    headers.set("X-Not-Executed", "1");
    CHECK(this->format.parse_response_head(503u, headers).not_run);
    headers.set("Content-Encoding", "gzip");
    CHECK(this->format.parse_response_head(200u, headers).content_encoded);
}

// Guards against a time to come back for a request that may have run: it would be run twice.
TEST_CASE_FIXTURE(request_format_fixture, "make_refusal_retry_after_only_when_not_run") {
    core::error failure{.cause = core::reason::overloaded, .retry_after = std::chrono::milliseconds{400}};
    CHECK(this->format.make_refusal(503u, failure, "r1").headers.find("retry-after") == "0.40");
    failure.verdict = core::verdict::may_have_run;
    CHECK_FALSE(this->format.make_refusal(502u, failure, "r1").headers.find("retry-after").has_value());
}

} // namespace lagoonsaddle::host_platform
