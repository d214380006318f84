#include <algorithm>
#include <cctype>
#include <string_view>

#include <lagoonsaddle/http/media_type.hpp>

namespace lagoonsaddle::http {

std::string media_type(const fields& headers) {
    constexpr std::string_view white_space{" \t"};
    auto value = headers.find("content-type").value_or("");
    value = value.substr(0u, value.find(';'));
    value.remove_prefix(std::min(value.find_first_not_of(white_space), value.size()));
    value = value.substr(0u, value.find_last_not_of(white_space) + 1u);
    std::string type{value};
    std::ranges::transform(
        type, type.begin(), [](const unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return type;
}

} // namespace lagoonsaddle::http
