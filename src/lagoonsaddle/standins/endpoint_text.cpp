#include <charconv>
#include <string>

#include <lagoonsaddle/standins/endpoint_text.hpp>

namespace lagoonsaddle::standins {

std::optional<core::endpoint> parse_endpoint(std::string_view text) {
    constexpr std::string_view scheme{"http://"};
    if(text.starts_with(scheme)) {
        text.remove_prefix(scheme.size());
        text = text.substr(0u, text.find('/'));
    }
    const auto colon = text.rfind(':');
    if(colon == std::string_view::npos || colon == 0u) {
        return std::nullopt;
    }
    std::uint16_t port{};
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1u, end, port);
    if(parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return core::endpoint{.address = std::string{text.substr(0u, colon)}, .port = port};
}

std::optional<std::vector<core::endpoint>> parse_endpoints(std::string_view text) {
    std::vector<core::endpoint> found{};
    while(!text.empty()) {
        const auto comma = text.find(',');
        auto parsed = parse_endpoint(text.substr(0u, comma));
        if(!parsed) {
            return std::nullopt;
        }
        found.push_back(std::move(*parsed));
        text = (comma == std::string_view::npos) ? std::string_view{} : text.substr(comma + 1u);
    }
    return found;
}

} // namespace lagoonsaddle::standins
