#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include <lagoonsaddle/gateway/caller_request.hpp>

namespace lagoonsaddle::gateway {

namespace {

struct rejected_request {
    std::string_view name{};
    std::string_view target{};
    std::string_view body{};
    std::vector<std::pair<std::string_view, std::string_view>> headers{};
    core::reason cause{core::reason::invalid_argument};
};

struct caller_request_fixture {
    [[nodiscard]] core::result<caller_request> parse(std::string_view target, std::string_view body,
        const std::vector<std::pair<std::string_view, std::string_view>>& headers = {}) const {
        http::request message{
            .method = "POST", .target = std::string{target}, .headers = {}, .body = std::string{body}};
        for(const auto& [name, value] : headers) {
            message.headers.set(name, value);
        }
        return parse_caller_request(message, this->limits);
    }

    caller_request_limits limits{};
};

} // namespace

// Guards against invalid input that is accepted, or rejected without the verdict `not_run`.
TEST_CASE_FIXTURE(caller_request_fixture, "caller_request_invalid_is_rejected_as_not_run") {
    const std::string_view valid_body{R"({"model":"base/a@1","prompt":"x"})"};
    const std::vector<rejected_request> test_cases{
        {"unknown path", "/v2/completions", valid_body, {}, core::reason::not_found},
        {"invalid JSON", "/v1/completions", R"({"model":)"},
        {"body is not an object", "/v1/completions", "[1]"},
        {"no model", "/v1/completions", R"({"prompt":"x"})"},
        {"model is a number", "/v1/completions", R"({"model":3,"prompt":"x"})"},
        {"neither version nor channel", "/v1/completions", R"({"model":"base/a","prompt":"x"})"},
        {"no prompt", "/v1/completions", R"({"model":"base/a@1"})"},
        {"chat without messages", "/v1/chat/completions", valid_body},
        {"stream is a string", "/v1/completions", R"({"model":"base/a@1","prompt":"x","stream":"yes"})"},
        {"priority too high", "/v1/completions", valid_body, {{"x-priority", "10"}}},
        {"priority not a number", "/v1/completions", valid_body, {{"x-priority", "high"}}},
        {"deadline zero", "/v1/completions", valid_body, {{"x-deadline-ms", "0"}}},
        {"deadline above the limit", "/v1/completions", valid_body, {{"x-deadline-ms", "99999999"}}},
        {"non-idempotent flag not a boolean", "/v1/completions", valid_body, {{"x-non-idempotent", "1"}}},
        {"non-idempotent without key", "/v1/services/scheduling/book", "{}", {{"x-non-idempotent", "true"}}},
        {"key with control characters", "/v1/services/scheduling/book", "{}", {{"idempotency-key", "a\tb"}}},
        {"no service", "/v1/services/", "{}"},
    };
    for(const auto& test_case : test_cases) {
        CAPTURE(test_case.name);
        const auto parsed = this->parse(test_case.target, test_case.body, test_case.headers);
        REQUIRE_FALSE(parsed.has_value());
        CHECK(parsed.error().cause == test_case.cause);
        CHECK(parsed.error().verdict == core::verdict::not_run);
        CHECK_FALSE(parsed.error().message.empty());
    }
}

// Guards against values that occupy a batch slot until the deadline, or that an engine accepts without an error.
TEST_CASE_FIXTURE(caller_request_fixture, "caller_request_numeric_field_out_of_range_is_rejected_with_name_and_range") {
    struct out_of_range_field {
        std::string_view field{};
        std::string_view value{};
        std::string_view range{};
    };

    const std::vector<out_of_range_field> test_cases{
        {"max_tokens", "-5", "from 1 to 16384 tokens"},
        {"max_tokens", "0", "from 1 to 16384 tokens"},
        {"max_tokens", "16385", "from 1 to 16384 tokens"},
        {"max_tokens", "1e12", "from 1 to 16384 tokens"},
        {"max_tokens", "18446744073709551615", "from 1 to 16384 tokens"},
        {"max_tokens", "1.5", "a whole number"},
        {"max_tokens", "\"x\"", "a whole number"},
        {"max_tokens", "true", "a whole number"},
        {"max_completion_tokens", "0", "from 1 to 16384 tokens"},
        {"n", "2", "from 1 to 1 choices"},
        {"seed", "18446744073709551615", "from -9223372036854775808 to 9223372036854775807"},
        {"top_k", "-2", "from -1 to 1000000 tokens"},
        {"top_logprobs", "21", "from 0 to 20 tokens"},
        {"temperature", "2.1", "from 0.0 to 2.0"},
        {"temperature", "[1]", "a number"},
        {"top_p", "-0.1", "from 0.0 to 1.0"},
        {"min_p", "1.1", "from 0.0 to 1.0"},
        {"presence_penalty", "-3", "from -2.0 to 2.0"},
        {"frequency_penalty", "3", "from -2.0 to 2.0"},
        {"repetition_penalty", "\"1\"", "from 0.0 to 2.0"},
    };
    for(const auto& test_case : test_cases) {
        CAPTURE(test_case.field);
        CAPTURE(test_case.value);
        const auto body = R"({"model":"base/a@1","prompt":"x",")" + std::string{test_case.field} +
                          "\":" + std::string{test_case.value} + '}';
        const auto parsed = this->parse("/v1/completions", body);
        REQUIRE_FALSE(parsed.has_value());
        CHECK(parsed.error().cause == core::reason::invalid_argument);
        CHECK(parsed.error().verdict == core::verdict::not_run);
        CHECK(parsed.error().message.find(test_case.field) != std::string::npos);
        CHECK(parsed.error().message.find(test_case.range) != std::string::npos);
    }
}

// Guards against valid requests that are rejected: fields at their bounds, absent and null fields.
TEST_CASE_FIXTURE(caller_request_fixture, "caller_request_numeric_field_at_bound_or_null_is_accepted") {
    for(const std::string_view fields : {R"("max_tokens":1)", R"("max_tokens":16384)", R"("max_tokens":null)",
            R"("n":1,"seed":-7)", R"("seed":9223372036854775807)", R"("temperature":0,"top_p":1)",
            R"("temperature":2.0,"top_k":-1)", R"("presence_penalty":-2,"top_logprobs":0)"}) {
        CAPTURE(fields);
        const auto body = R"({"model":"base/a@1","messages":[],)" + std::string{fields} + '}';
        CHECK(this->parse("/v1/chat/completions", body).has_value());
    }
}

// Guards against a field that is dropped or read from the wrong header.
TEST_CASE_FIXTURE(caller_request_fixture, "caller_request_valid_returns_all_fields") {
    const auto parsed = this->parse("/v1/services/scheduling/book?day=3", "{}",
        {{"x-caller-id", "depot"}, {"x-priority", "7"}, {"x-deadline-ms", "1500"}, {"idempotency-key", "k-1"},
            {"x-non-idempotent", "true"}});
    REQUIRE(parsed.has_value());
    CHECK(parsed->service == "scheduling");
    CHECK(parsed->path == "book?day=3");
    CHECK(parsed->caller == "depot");
    CHECK(parsed->priority == 7);
    CHECK(parsed->time_limit == std::chrono::milliseconds{1'500});
    CHECK(parsed->non_idempotent);

    const auto chat = this->parse("/v1/chat/completions", R"({"model":"base/a:stable","messages":[],"stream":true})");
    REQUIRE(chat.has_value());
    CHECK(chat->channel == "stable");
    CHECK(chat->version.empty());
    CHECK(chat->streamed);
}

} // namespace lagoonsaddle::gateway
