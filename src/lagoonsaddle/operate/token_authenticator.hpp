#ifndef LAGOONSADDLE_OPERATE_TOKEN_AUTHENTICATOR_HPP
#define LAGOONSADDLE_OPERATE_TOKEN_AUTHENTICATOR_HPP

#include <optional>
#include <string>
#include <string_view>

#include <lagoonsaddle/core/error.hpp>

namespace lagoonsaddle::operate {

/**
 * @brief Compares two strings in a time that does not depend on where they differ.
 * @param expected The secret.
 * @param given String from the peer; the time depends only on its length.
 * @return True if they are equal.
 */
[[nodiscard]] bool constant_time_equal(std::string_view expected, std::string_view given) noexcept;

/**
 * @brief Reads a token file.
 * @param path Path of the file; the token is its first line.
 * @return The token, or `invalid_argument` when the file cannot be read or the token is shorter than 16 characters.
 */
[[nodiscard]] core::result<std::string> read_token(const std::string& path);

/*! @brief Authenticates operators by bearer token. Immutable and therefore thread-safe. */
class token_authenticator {
public:
    /**
     * @brief Constructs an authenticator.
     * @param token The token; an empty token rejects every request.
     */
    explicit token_authenticator(std::string token);

    /**
     * @brief Checks the `authorization` header of a request.
     * @param authorization Value of the header.
     * @return True if the header contains the token.
     */
    [[nodiscard]] bool accepts(std::optional<std::string_view> authorization) const noexcept;

private:
    std::string token;
};

} // namespace lagoonsaddle::operate

#endif
