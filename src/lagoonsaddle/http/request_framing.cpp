#include <algorithm>
#include <array>
#include <utility>

#include <lagoonsaddle/core/text.hpp>
#include <lagoonsaddle/http/request_framing.hpp>

namespace lagoonsaddle::http {

using core::equals_ignoring_case;

namespace {

constexpr std::string_view chunked_coding{"chunked"};
/*! @brief Codings of RFC 9112, 7.2, which are known but not decoded. */
constexpr std::array<std::string_view, 5u> compressing_codings{"compress", "deflate", "gzip", "x-compress", "x-gzip"};

[[nodiscard]] bool is_known(std::string_view coding) {
    return coding.empty() || equals_ignoring_case(coding, chunked_coding) ||
           std::ranges::any_of(
               compressing_codings, [coding](std::string_view known) { return equals_ignoring_case(coding, known); });
}

[[nodiscard]] std::optional<framing_rejection> check_codings(std::string_view list) {
    const auto codings = core::split(list, ',');
    if(!std::ranges::all_of(codings, is_known)) {
        return framing_rejection{.status = 501u, .message = "the transfer coding is not known"};
    }
    const auto chunked_count = std::ranges::count_if(
        codings, [](std::string_view coding) { return equals_ignoring_case(coding, chunked_coding); });
    if(chunked_count != 1 || !equals_ignoring_case(codings.back(), chunked_coding)) {
        return framing_rejection{.message = "the transfer coding does not end with a single 'chunked'"};
    }
    if(codings.size() > 1u) {
        return framing_rejection{.status = 501u, .message = "the transfer coding is not decoded"};
    }
    return std::nullopt;
}

/*! @brief Returns whether a character stands for itself in a request line: it is neither a blank nor a control
 * character. */
[[nodiscard]] bool is_graphic(char character) noexcept {
    constexpr unsigned char delete_character{0x7fu};
    const auto byte = static_cast<unsigned char>(character);
    return byte > static_cast<unsigned char>(' ') && byte != delete_character;
}

[[nodiscard]] bool is_valid_field(const fields::value_type& field) noexcept {
    const auto& [name, value] = field;
    const bool valid_name = !name.empty() && std::ranges::all_of(name, [](char character) {
        return is_graphic(character) && character != ':';
    });
    return valid_name && std::ranges::none_of(value, [](char character) {
        return character == '\r' || character == '\n' || character == '\0';
    });
}

} // namespace

std::optional<framing_rejection> check_framing(const fields& headers, unsigned version) {
    if(headers.is_repeated("host")) {
        return framing_rejection{.message = "the field host is repeated"};
    }
    const auto codings = headers.find("transfer-encoding");
    if(!codings) {
        return std::nullopt;
    }
    if(auto rejected = check_codings(*codings)) {
        return rejected;
    }
    if(headers.find("content-length")) {
        return framing_rejection{.message = "the request has both a length and a transfer coding"};
    }
    if(version < http_1_1) {
        return framing_rejection{.message = "HTTP/1.0 has no transfer codings"};
    }
    return std::nullopt;
}

request_target parse_target(std::string_view target) {
    constexpr std::string_view scheme{"http://"};
    if(!equals_ignoring_case(target.substr(0u, scheme.size()), scheme)) {
        return request_target{.path = std::string{target}};
    }
    const auto rest = target.substr(scheme.size());
    const auto end = std::min(rest.find_first_of("/?"), rest.size());
    std::string path{rest.substr(end)};
    if(!path.starts_with('/')) {
        path.insert(0u, 1u, '/');
    }
    return request_target{.path = std::move(path), .host = std::string{rest.substr(0u, end)}};
}

bool has_valid_head(const request& message) noexcept {
    return !message.target.empty() && std::ranges::all_of(message.target, is_graphic) &&
           std::ranges::all_of(message.headers, is_valid_field);
}

} // namespace lagoonsaddle::http
