#ifndef LAGOONSADDLE_CORE_TEXT_HPP
#define LAGOONSADDLE_CORE_TEXT_HPP

#include <algorithm>
#include <cctype>
#include <string_view>
#include <vector>

/*! @brief Comparison and splitting of names and values of header fields. */
namespace lagoonsaddle::core {

/*! @brief Returns whether two texts are equal but for the case of ASCII letters. */
[[nodiscard]] inline bool equals_ignoring_case(std::string_view left, std::string_view right) noexcept {
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](const char a, const char b) {
        return std::tolower(static_cast<unsigned char>(a)) == std::tolower(static_cast<unsigned char>(b));
    });
}

/*! @brief Returns the text without the spaces and tabs around it. */
[[nodiscard]] inline std::string_view trim(std::string_view text) noexcept {
    const auto first = text.find_first_not_of(" \t");
    return first == std::string_view::npos ? std::string_view{}
                                           : text.substr(first, text.find_last_not_of(" \t") - first + 1u);
}

/**
 * @brief Splits a list.
 * @param list The list.
 * @param separator Character between two elements.
 * @return The trimmed elements, views of `list`; one empty element for an empty list.
 */
[[nodiscard]] inline std::vector<std::string_view> split(std::string_view list, char separator) {
    std::vector<std::string_view> parts{};
    while(true) {
        const auto end = list.find(separator);
        parts.push_back(trim(list.substr(0u, end)));
        if(end == std::string_view::npos) {
            return parts;
        }
        list.remove_prefix(end + 1u);
    }
}

} // namespace lagoonsaddle::core

#endif
