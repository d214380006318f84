#include <cstddef>

#include <lagoonsaddle/core/utf8.hpp>

namespace lagoonsaddle::core {

namespace {

constexpr unsigned char delete_character{0x7fu};

/*! @brief Returns the length of a sequence by its first byte; 0 if no sequence begins so. */
[[nodiscard]] std::size_t sequence_length(unsigned char first) noexcept {
    if(first < 0x80u) {
        return 1u;
    }
    if(first >= 0xc2u && first <= 0xdfu) {
        return 2u;
    }
    if(first >= 0xe0u && first <= 0xefu) {
        return 3u;
    }
    return first >= 0xf0u && first <= 0xf4u ? 4u : 0u;
}

/*! @brief Returns whether the second byte rules out overlong forms, surrogates and values above U+10FFFF. */
[[nodiscard]] bool is_valid_second(unsigned char first, unsigned char second) noexcept {
    switch(first) {
    case 0xe0u:
        return second >= 0xa0u;
    case 0xedu:
        return second <= 0x9fu;
    case 0xf0u:
        return second >= 0x90u;
    case 0xf4u:
        return second <= 0x8fu;
    default:
        return true;
    }
}

[[nodiscard]] bool is_valid_sequence(std::string_view sequence) noexcept {
    for(const char following : sequence.substr(1u)) {
        if((static_cast<unsigned char>(following) & 0xc0u) != 0x80u) {
            return false;
        }
    }
    return sequence.size() < 2u ||
           is_valid_second(static_cast<unsigned char>(sequence[0]), static_cast<unsigned char>(sequence[1]));
}

} // namespace

bool is_printable_utf8(std::string_view text) noexcept {
    while(!text.empty()) {
        const auto first = static_cast<unsigned char>(text.front());
        const auto length = sequence_length(first);
        const bool is_control = first < 0x20u || first == delete_character;
        if(is_control || length == 0u || length > text.size() || !is_valid_sequence(text.substr(0u, length))) {
            return false;
        }
        text.remove_prefix(length);
    }
    return true;
}

} // namespace lagoonsaddle::core
