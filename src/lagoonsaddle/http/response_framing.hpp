#ifndef LAGOONSADDLE_HTTP_RESPONSE_FRAMING_HPP
#define LAGOONSADDLE_HTTP_RESPONSE_FRAMING_HPP

#include <lagoonsaddle/http/fields.hpp>

namespace lagoonsaddle::http {

/*! @brief Returns whether HTTP has a status (RFC 9110, 15). A response with another one is no answer. */
[[nodiscard]] constexpr bool is_valid_status(unsigned status) noexcept {
    constexpr unsigned status_min{100u};
    constexpr unsigned status_max{599u};
    return status >= status_min && status <= status_max;
}

/*! @brief What the fields of a response say about the end of its body. */
enum class response_framing {
    /*! @brief Its end is stated, or it is the end of the connection. */
    certain,
    /*! @brief Its end is stated in a way that its version of HTTP does not have: the connection ends with it. */
    last_on_connection,
    /*! @brief Its end or its content is in doubt: the response cannot be passed on. */
    in_doubt
};

/**
 * @brief Checks that the fields of a response state the end of its body without doubt (RFC 9112, 6.1 and 6.3).
 *
 * Requests do not ask for transfer codings, so that an upstream may use `chunked` alone. A body with another one cannot
 * be told from its content.
 *
 * @param headers Fields of the response, repeated lines joined.
 * @param version HTTP version, 11 for HTTP/1.1.
 */
[[nodiscard]] response_framing check_response_framing(const fields& headers, unsigned version);

} // namespace lagoonsaddle::http

#endif
