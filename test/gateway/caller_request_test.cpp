#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include <lagoonsaddle/gateway/caller_request.hpp>

namespace lagoonsaddle::gateway {

namespace {

struct rejected_row {
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

// Guards against bad input that is accepted, or refused without saying that it was not run.
TEST_CASE_FIXTURE(caller_request_fixture, "caller_request_invalid_is_rejected_as_not_run") {
    const std::string_view good{R"({"model":"base/a@1","prompt":"x"})"};
    const std::vector<rejected_row> rows{
        {"unknown path", "/v2/completions", good, {}, core::reason::not_found},
        {"broken JSON", "/v1/completions", R"({"model":)"},
        {"no object", "/v1/completions", "[1]"},
        {"no model", "/v1/completions", R"({"prompt":"x"})"},
        {"model is a number", "/v1/completions", R"({"model":3,"prompt":"x"})"},
        {"neither version nor channel", "/v1/completions", R"({"model":"base/a","prompt":"x"})"},
        {"no prompt", "/v1/completions", R"({"model":"base/a@1"})"},
        {"chat without messages", "/v1/chat/completions", good},
        {"stream is a text", "/v1/completions", R"({"model":"base/a@1","prompt":"x","stream":"yes"})"},
        {"priority too high", "/v1/completions", good, {{"x-priority", "10"}}},
        {"priority no number", "/v1/completions", good, {{"x-priority", "high"}}},
        {"deadline zero", "/v1/completions", good, {{"x-deadline-ms", "0"}}},
        {"deadline above the limit", "/v1/completions", good, {{"x-deadline-ms", "99999999"}}},
        {"mark is no flag", "/v1/completions", good, {{"x-non-idempotent", "1"}}},
        {"mark without key", "/v1/services/scheduling/book", "{}", {{"x-non-idempotent", "true"}}},
        {"key with control characters", "/v1/services/scheduling/book", "{}", {{"idempotency-key", "a\tb"}}},
        {"no service", "/v1/services/", "{}"},
    };
    for(const auto& row : rows) {
        CAPTURE(row.name);
        const auto parsed = this->parse(row.target, row.body, row.headers);
        REQUIRE_FALSE(parsed.has_value());
        CHECK(parsed.error().cause == row.cause);
        CHECK(parsed.error().verdict == core::verdict::not_run);
        CHECK_FALSE(parsed.error().message.empty());
    }
}

// Guards against values that hold a place in a batch until the deadline, or that an engine takes in silence.
TEST_CASE_FIXTURE(caller_request_fixture, "caller_request_numeric_field_out_of_range_is_rejected_with_name_and_range") {
    struct numeric_row {
        std::string_view field{};
        std::string_view value{};
        std::string_view range{};
    };

    const std::vector<numeric_row> rows{
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
    for(const auto& row : rows) {
        CAPTURE(row.field);
        CAPTURE(row.value);
        const auto body =
            R"({"model":"base/a@1","prompt":"x",")" + std::string{row.field} + "\":" + std::string{row.value} + '}';
        const auto parsed = this->parse("/v1/completions", body);
        REQUIRE_FALSE(parsed.has_value());
        CHECK(parsed.error().cause == core::reason::invalid_argument);
        CHECK(parsed.error().verdict == core::verdict::not_run);
        CHECK(parsed.error().message.find(row.field) != std::string::npos);
        CHECK(parsed.error().message.find(row.range) != std::string::npos);
    }
}

// Guards against a check that refuses what callers may send: bounds, absent and null fields.
TEST_CASE_FIXTURE(caller_request_fixture, "caller_request_numeric_field_at_bound_or_null_is_accepted") {
    for(const std::string_view fields : {R"("max_tokens":1)", R"("max_tokens":16384)", R"("max_tokens":null)",
            R"("n":1,"seed":-7)", R"("seed":9223372036854775807)", R"("temperature":0,"top_p":1)",
            R"("temperature":2.0,"top_k":-1)", R"("presence_penalty":-2,"top_logprobs":0)"}) {
        CAPTURE(fields);
        const auto body = R"({"model":"base/a@1","messages":[],)" + std::string{fields} + '}';
        CHECK(this->parse("/v1/chat/completions", body).has_value());
    }
}

// Guards against a field that is lost or read from the wrong header.
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
