#include <array>
#include <string_view>
#include <vector>

#include <doctest/doctest.h>

#include <lagoonsaddle/http/request_framing.hpp>

namespace lagoonsaddle::http {

namespace {

struct framing_case {
    std::string_view name;
    std::vector<fields::value_type> headers;
    unsigned status;
    unsigned version{11u};
};

} // namespace

// Guards against a body whose end this server and the sender see in different places, so that its bytes are run as the
// next request.
TEST_CASE("check_framing_ambiguous_body_is_rejected") {
    const std::array cases{
        framing_case{.name = "no body", .headers = {}, .status = 0u},
        framing_case{.name = "length", .headers = {{"Content-Length", "5"}}, .status = 0u},
        framing_case{.name = "chunks", .headers = {{"Transfer-Encoding", "chunked"}}, .status = 0u},
        framing_case{.name = "chunks, upper case", .headers = {{"transfer-encoding", " CHUNKED "}}, .status = 0u},
        framing_case{.name = "unknown coding", .headers = {{"Transfer-Encoding", "xchunked"}}, .status = 501u},
        framing_case{.name = "coding with a dot", .headers = {{"Transfer-Encoding", "chunked."}}, .status = 501u},
        framing_case{.name = "quoted coding", .headers = {{"Transfer-Encoding", "\"chunked\""}}, .status = 501u},
        framing_case{.name = "identity", .headers = {{"Transfer-Encoding", "identity"}}, .status = 501u},
        framing_case{
            .name = "unknown coding last", .headers = {{"Transfer-Encoding", "chunked, identity"}}, .status = 501u},
        framing_case{.name = "known coding last", .headers = {{"Transfer-Encoding", "chunked, gzip"}}, .status = 400u},
        framing_case{.name = "known coding alone", .headers = {{"Transfer-Encoding", "gzip"}}, .status = 400u},
        framing_case{
            .name = "coding that is not decoded", .headers = {{"Transfer-Encoding", "gzip, chunked"}}, .status = 501u},
        framing_case{.name = "chunked twice", .headers = {{"Transfer-Encoding", "chunked, chunked"}}, .status = 400u},
        framing_case{.name = "empty value", .headers = {{"Transfer-Encoding", ""}}, .status = 400u},
        framing_case{.name = "two lines",
            .headers = {{"Transfer-Encoding", "chunked"}, {"Transfer-Encoding", "chunked"}},
            .status = 400u},
        framing_case{.name = "two lines, unknown coding first",
            .headers = {{"Transfer-Encoding", "foo"}, {"Transfer-Encoding", "chunked"}},
            .status = 501u},
        framing_case{.name = "length and chunks",
            .headers = {{"Content-Length", "5"}, {"Transfer-Encoding", "chunked"}},
            .status = 400u},
        framing_case{.name = "length and unknown coding",
            .headers = {{"Content-Length", "5"}, {"Transfer-Encoding", "foo"}},
            .status = 501u},
        framing_case{.name = "chunks in HTTP/1.0",
            .headers = {{"Transfer-Encoding", "chunked"}},
            .status = 400u,
            .version = 10u},
        framing_case{.name = "two hosts", .headers = {{"Host", "a"}, {"Host", "b"}}, .status = 400u},
    };
    for(const auto& entry : cases) {
        CAPTURE(entry.name);
        fields headers{};
        for(const auto& [name, value] : entry.headers) {
            headers.add(name, value);
        }
        const auto rejected = check_framing(headers, entry.version);
        CHECK((rejected ? rejected->status : 0u) == entry.status);
    }
}

// Guards against a request in absolute form that no route matches.
TEST_CASE("parse_target_absolute_form_returns_path_and_host") {
    const auto absolute = parse_target("http://h.example:80/a/1?x=2");
    CHECK(absolute.host == "h.example:80");
    CHECK(absolute.path == "/a/1?x=2");
    CHECK(parse_target("HTTP://h.example").path == "/");
    CHECK(parse_target("http://h.example?x=2").path == "/?x=2");
    CHECK(parse_target("/http://h.example/a").path == "/http://h.example/a");
    CHECK(parse_target("/a").host.empty());
}

// Guards against names of others that add fields or whole requests to those of this process.
TEST_CASE("has_valid_head_text_that_ends_its_line_is_rejected") {
    using namespace std::string_literals;
    const auto with_field = [](std::string_view name, std::string_view value) {
        request message{};
        message.headers.set(name, value);
        return has_valid_head(message);
    };
    for(const auto& target : {""s, "/a b"s, "/a\r\nx: 1"s, "/a\nb"s, "/a\tb"s, "/a\0b"s, "/a\x7f"s}) {
        CAPTURE(target);
        CHECK_FALSE(has_valid_head(request{.target = target}));
    }
    for(const auto& value : {"a\r\nx: 1"s, "a\nb"s, "a\rb"s, "a\0b"s}) {
        CAPTURE(value);
        CHECK_FALSE(with_field("x-id", value));
        CHECK_FALSE(with_field(value, "a"));
    }
    CHECK_FALSE(with_field("x: y", "a"));
    CHECK(has_valid_head(request{.target = "/a%20b?c=\xc3\xa4&d=[1]"}));
    CHECK(with_field("x-id", "a b\t\xc3\xa4"));
    CHECK(with_field("x-id", ""));
}

} // namespace lagoonsaddle::http
