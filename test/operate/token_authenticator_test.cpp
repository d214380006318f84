#include <cstdio>
#include <fstream>
#include <optional>
#include <string>

#include <doctest/doctest.h>

#include <lagoonsaddle/operate/token_authenticator.hpp>

namespace lagoonsaddle::operate {

namespace {

struct token_authenticator_fixture {
    token_authenticator_fixture(const token_authenticator_fixture&) = delete;
    token_authenticator_fixture& operator=(const token_authenticator_fixture&) = delete;
    token_authenticator_fixture() = default;

    ~token_authenticator_fixture() {
        std::remove(this->path.c_str());
    }

    [[nodiscard]] core::result<std::string> read(const std::string& content) const {
        std::ofstream{this->path} << content;
        return read_token(this->path);
    }

    std::string path{"token_authenticator_test.token"};
    token_authenticator authenticator{"0123456789abcdef"};
};

} // namespace

// Guards against accepting a token that is similar to the configured one.
TEST_CASE_FIXTURE(token_authenticator_fixture, "token_authenticator_other_token_is_rejected") {
    CHECK(this->authenticator.accepts("Bearer 0123456789abcdef"));
    CHECK(this->authenticator.accepts("bearer 0123456789abcdef"));
    for(const auto* header :
        {"", "Bearer ", "Bearer", "Bearer 0123456789abcdeg", "Bearer 0123456789abcde", "Bearer 0123456789abcdef0",
            "Bearer 0123456789abcdef0123456789abcdef", "Basic 0123456789abcdef", "0123456789abcdef"}) {
        CAPTURE(header);
        CHECK_FALSE(this->authenticator.accepts(header));
    }
    CHECK_FALSE(this->authenticator.accepts(std::nullopt));
}

// Guards against an empty configured token that accepts every request.
TEST_CASE_FIXTURE(token_authenticator_fixture, "token_authenticator_empty_token_rejects_every_request") {
    const token_authenticator empty{""};
    CHECK_FALSE(empty.accepts("Bearer "));
    CHECK_FALSE(empty.accepts(std::nullopt));
    CHECK_FALSE(empty.accepts("Bearer x"));
}

// Guards against a line ending that becomes part of the token, and against a token that is too short.
TEST_CASE_FIXTURE(token_authenticator_fixture, "read_token_returns_first_line_of_sufficient_length") {
    CHECK(this->read("0123456789abcdef\r\nsecond line\n") == "0123456789abcdef");
    CHECK_FALSE(this->read("short\n").has_value());
    CHECK_FALSE(this->read("").has_value());
    CHECK_FALSE(read_token("nonexistent/token").has_value());
}

} // namespace lagoonsaddle::operate
