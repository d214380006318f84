#include <cstdint>
#include <random>
#include <string>
#include <string_view>

#include <doctest/doctest.h>

#include <lagoonsaddle/http/json.hpp>
#include <lagoonsaddle/http/partial_json.hpp>

namespace lagoonsaddle::http {

namespace {

[[nodiscard]] std::string read(const std::string& text, unsigned levels) {
    const auto value = parse_partial_json(text, levels);
    return value ? value->dump() : "nothing";
}

} // namespace

// Guards against values that exhaust the stack when they are copied or written.
TEST_CASE("parse_json_nested_too_deeply_returns_nothing") {
    const auto nested = [](std::size_t depth) {
        return std::string(depth, '[') + std::string(depth, ']');
    };
    CHECK(parse_json(nested(json_depth_max)).has_value());
    CHECK_FALSE(parse_json(nested(json_depth_max + 1u)).has_value());
    CHECK_FALSE(parse_json(nested(200'000u)).has_value());
    CHECK(parse_json("\"" + std::string(200u, '[') + R"(\"[")").has_value());
}

// Guards against one unreadable value that hides its neighbours.
TEST_CASE("parse_partial_json_unreadable_value_costs_only_itself") {
    CHECK(read(R"({"a":1,"b":1e400,"c":"x"})", 1u) == R"({"a":1,"c":"x"})");
    CHECK(read(R"( [ 1 , -9e99999 , {"a" : 2} ] )", 1u) == R"([1,null,{"a":2}])");
    CHECK(read(R"({"a":{"b":1e400,"c":2},"d":"\"}{"})", 2u) == R"({"a":{"c":2},"d":"\"}{"})");
    CHECK(read(R"({"a":{"b":1e400,"c":2},"d":3})", 1u) == R"({"d":3})");
    CHECK(read(R"({"a":nul,"b":"\ud800","c":[],"d":{}})", 1u) == R"({"c":[],"d":{}})");
    CHECK(read("{\"a\":\"\xff\",\"b\":[1,[2,{}]]}", 1u) == R"({"b":[1,[2,{}]]})");
}

// Guards against texts that end the reader: random bytes are changed, removed and repeated in a sound one.
TEST_CASE("parse_partial_json_random_changes_return") {
    const std::string sound{
        R"({"items":[{"metadata":{"name":"a"},"spec":{"slots":6,"models":[{"name":"m"}]}},{"x":"\u00e9\""}],"more":false})"};
    constexpr std::string_view inserted{"{}[]\",:\\ \xff\0e9-"};
    for(std::uint32_t seed{1u}; seed <= 20'000u; ++seed) {
        std::mt19937 random{seed};
        auto text = sound;
        for(auto changes = 1u + random() % 4u; changes > 0u; --changes) {
            const auto position = random() % text.size();
            const auto character = inserted[random() % inserted.size()];
            switch(random() % 3u) {
            case 0u:
                text[position] = character;
                break;
            case 1u:
                text.erase(position, 1u + random() % 8u);
                break;
            default:
                text.insert(position, 1u + random() % 3u, character);
            }
        }
        CAPTURE(seed);
        const auto whole = parse_json(text);
        const auto parts = parse_partial_json(text, 4u);
        CHECK((!whole || (parts && *parts == *whole)));
    }
}

// Guards against reading past the end, or taking a part of a text for the whole.
TEST_CASE("parse_partial_json_text_that_does_not_end_returns_nothing") {
    for(const std::string text : {"", " ", "{", "[", R"({"a")", R"({"a":)", R"({"a":1e400)", R"({"a":1e400,)", R"(["x)",
            R"(["x\)", "[1e400,]", "[1e400}", R"({1:1e400})", R"({"a":1e400}})", "1e400", "]", "\"\\"}) {
        CAPTURE(text);
        CHECK(read(text, 3u) == "nothing");
    }
}

} // namespace lagoonsaddle::http
