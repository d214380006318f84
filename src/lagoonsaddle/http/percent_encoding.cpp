#include <charconv>
#include <cstddef>

#include <lagoonsaddle/http/percent_encoding.hpp>

namespace lagoonsaddle::http {

namespace {

constexpr std::string_view alphanumeric{"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789"};

void append_encoded(std::string& encoded, char character) {
    constexpr std::string_view digits{"0123456789ABCDEF"};
    const auto byte = static_cast<unsigned char>(character);
    encoded += '%';
    encoded += digits[byte >> 4u];
    encoded += digits[byte & 15u];
}

/*! @brief Encodes all characters but letters, digits and the given ones. */
[[nodiscard]] std::string encode_except(std::string_view text, std::string_view kept) {
    std::string encoded{};
    encoded.reserve(text.size());
    for(const char character : text) {
        if(alphanumeric.find(character) != std::string_view::npos || kept.find(character) != std::string_view::npos) {
            encoded += character;
        } else {
            append_encoded(encoded, character);
        }
    }
    return encoded;
}

} // namespace

std::string percent_encode(std::string_view text) {
    return encode_except(text, "-._~");
}

std::string percent_encode_path(std::string_view text) {
    return encode_except(text, "-._~/");
}

std::string percent_decode(std::string_view text) {
    std::string decoded{};
    decoded.reserve(text.size());
    for(std::size_t index{}; index < text.size(); ++index) {
        unsigned value{};
        if(text[index] == '%' && index + 2u < text.size()) {
            const auto* first = text.data() + index + 1u;
            if(const auto parsed = std::from_chars(first, first + 2, value, 16); parsed.ptr == first + 2) {
                decoded.push_back(static_cast<char>(value));
                index += 2u;
                continue;
            }
        }
        decoded.push_back(text[index]);
    }
    return decoded;
}

} // namespace lagoonsaddle::http
