#include <algorithm>
#include <cctype>

#include <lagoonsaddle/core/model_name.hpp>

namespace lagoonsaddle::core {

namespace {

constexpr std::size_t name_length_max = 128u;

[[nodiscard]] bool valid_name(std::string_view text) noexcept {
    return !text.empty() && text.size() <= name_length_max && std::all_of(text.begin(), text.end(), [](const char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.';
    });
}

} // namespace

std::string to_string(const adapter_version& value) {
    return value.adapter + "@" + value.version;
}

std::optional<adapter_version> parse_adapter_version(std::string_view text) {
    const auto at = text.find('@');
    if(at == std::string_view::npos || !valid_name(text.substr(0u, at)) || !valid_name(text.substr(at + 1u))) {
        return std::nullopt;
    }
    return adapter_version{.adapter = std::string{text.substr(0u, at)}, .version = std::string{text.substr(at + 1u)}};
}

result<model_name> model_name::parse(std::string_view text) {
    const auto slash = text.find('/');
    if(slash == std::string_view::npos) {
        return fail(reason::invalid_argument,
            "model must be base/adapter@version or base/adapter:channel, but has no base model");
    }
    const auto rest = text.substr(slash + 1u);
    const auto mark = rest.find_first_of("@:");
    if(mark == std::string_view::npos) {
        return fail(reason::invalid_argument, "model names neither a version (adapter@version) nor a channel "
                                              "(adapter:channel)");
    }
    const auto suffix = rest.substr(mark + 1u);
    if(!valid_name(text.substr(0u, slash)) || !valid_name(rest.substr(0u, mark)) || !valid_name(suffix)) {
        return fail(reason::invalid_argument,
            "model contains an empty or invalid name; letters, digits, '-', '_' and '.' are accepted");
    }

    model_name parsed{};
    parsed.base = text.substr(0u, slash);
    parsed.name = rest.substr(0u, mark);
    (rest[mark] == '@' ? parsed.fixed : parsed.label) = std::string{suffix};
    return parsed;
}

} // namespace lagoonsaddle::core
