#ifndef LAGOONSADDLE_CORE_UTF8_HPP
#define LAGOONSADDLE_CORE_UTF8_HPP

#include <string_view>

namespace lagoonsaddle::core {

/**
 * @brief Returns whether a text is valid UTF-8 without control characters, so that JSON can hold it as a name.
 * @param text The text.
 */
[[nodiscard]] bool is_printable_utf8(std::string_view text) noexcept;

} // namespace lagoonsaddle::core

#endif
