#ifndef LAGOONSADDLE_HTTP_PERCENT_ENCODING_HPP
#define LAGOONSADDLE_HTTP_PERCENT_ENCODING_HPP

#include <string>
#include <string_view>

namespace lagoonsaddle::http {

/**
 * @brief Encodes text as one segment of a path, or as a name or a value of a query.
 * @param text Any bytes.
 * @return The text; all bytes but letters, digits, `-`, `.`, `_` and `~` are percent-encoded (RFC 3986, 2.3).
 */
[[nodiscard]] std::string percent_encode(std::string_view text);

/**
 * @brief Encodes text as a path or a part of one: like `percent_encode`, but keeps each `/`.
 * @param text Any bytes.
 * @return The encoded text.
 */
[[nodiscard]] std::string percent_encode_path(std::string_view text);

/**
 * @brief Decodes percent-encoded text. A `%` that two hexadecimal digits do not follow stands for itself.
 * @param text The text.
 * @return Any bytes.
 */
[[nodiscard]] std::string percent_decode(std::string_view text);

} // namespace lagoonsaddle::http

#endif
