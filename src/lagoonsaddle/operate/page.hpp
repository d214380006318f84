#ifndef LAGOONSADDLE_OPERATE_PAGE_HPP
#define LAGOONSADDLE_OPERATE_PAGE_HPP

#include <string_view>

namespace lagoonsaddle::operate {

/**
 * @brief Returns the operator page, designed for phones.
 * @return A self-contained HTML document.
 */
[[nodiscard]] std::string_view page() noexcept;

} // namespace lagoonsaddle::operate

#endif
