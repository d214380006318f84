#include <algorithm>
#include <cctype>
#include <cstddef>
#include <fstream>
#include <utility>

#include <lagoonsaddle/operate/token_authenticator.hpp>

namespace lagoonsaddle::operate {

namespace {

constexpr std::size_t min_token_length = 16u;
constexpr std::string_view scheme_prefix{"bearer "};

} // namespace

bool constant_time_equal(std::string_view expected, std::string_view given) noexcept {
    // volatile prevents the compiler from leaving the loop at the first difference.
    volatile unsigned difference = expected.size() == given.size() ? 0u : 1u;
    for(std::size_t index{}; index < given.size(); ++index) {
        const char expected_char = expected.empty() ? '\0' : expected[index % expected.size()];
        difference = difference | static_cast<unsigned>(static_cast<unsigned char>(expected_char ^ given[index]));
    }
    return difference == 0u;
}

core::result<std::string> read_token(const std::string& path) {
    std::ifstream stream{path};
    std::string token{};
    if(!stream || !std::getline(stream, token)) {
        return core::fail(core::reason::invalid_argument, "token file " + path + " cannot be read or is empty");
    }
    while(!token.empty() && std::isspace(static_cast<unsigned char>(token.back())) != 0) {
        token.pop_back();
    }
    if(token.size() < min_token_length) {
        return core::fail(core::reason::invalid_argument, "the first line of token file " + path +
                                                              " must have at least " +
                                                              std::to_string(min_token_length) + " characters");
    }
    return token;
}

token_authenticator::token_authenticator(std::string token) : token{std::move(token)} {}

bool token_authenticator::accepts(std::optional<std::string_view> authorization) const noexcept {
    if(!authorization || authorization->size() < scheme_prefix.size() || this->token.empty()) {
        return false;
    }
    const bool is_bearer = std::equal(scheme_prefix.begin(), scheme_prefix.end(), authorization->begin(),
        [](char left, char right) { return left == std::tolower(static_cast<unsigned char>(right)); });
    return is_bearer && constant_time_equal(this->token, authorization->substr(scheme_prefix.size()));
}

} // namespace lagoonsaddle::operate
