#include <array>
#include <string>
#include <string_view>
#include <utility>

#include <doctest/doctest.h>

#include <lagoonsaddle/http/json.hpp>
#include <lagoonsaddle/http/percent_encoding.hpp>

namespace lagoonsaddle::http {

namespace {

/*! @brief Returns a text that holds each byte once. */
[[nodiscard]] std::string all_bytes() {
    std::string text{};
    for(unsigned value{}; value < 256u; ++value) {
        text += static_cast<char>(value);
    }
    return text;
}

} // namespace

// Guards against names that end a request line, a path or a query, or that a server decodes to another name.
TEST_CASE("percent_encode_reserved_characters_are_encoded") {
    constexpr std::array<std::pair<std::string_view, std::string_view>, 7u> cases{
        {{"i-0.a_b~Z9", "i-0.a_b~Z9"}, {"a b", "a%20b"}, {"a&b=c#d", "a%26b%3Dc%23d"}, {"a+b", "a%2Bb"},
            {"a%41b", "a%2541b"}, {"a/b?c", "a%2Fb%3Fc"}, {"a\r\n\xc3\xa4", "a%0D%0A%C3%A4"}}};
    for(const auto& [text, encoded] : cases) {
        CAPTURE(text);
        CHECK(percent_encode(text) == encoded);
    }
    CHECK(percent_encode_path("config/a b") == "config/a%20b");
}

// Guards against a name that does not come back from its target, also one that is no UTF-8.
TEST_CASE("percent_encode_any_bytes_round_trip") {
    const auto name = all_bytes();
    CHECK(percent_decode(percent_encode(name)) == name);
    const auto target = split_target("/objects/" + percent_encode(name) + "?after=" + percent_encode(name));
    REQUIRE(target.segments.size() == 2u);
    CHECK(target.segments[1] == name);
    CHECK(target.query.find("after") == name);
}

// Guards against text that is lost behind a `%` that encodes nothing.
TEST_CASE("percent_decode_incomplete_encoding_stays") {
    for(const std::string_view text : {"%", "a%", "a%4", "a%zz", "%%"}) {
        CAPTURE(text);
        CHECK(percent_decode(text) == text);
    }
    CHECK(percent_decode("%41%") == "A%");
}

} // namespace lagoonsaddle::http
