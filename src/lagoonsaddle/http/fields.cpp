#include <algorithm>

#include <lagoonsaddle/core/text.hpp>
#include <lagoonsaddle/http/fields.hpp>

namespace lagoonsaddle::http {

using core::equals_ignoring_case;

std::optional<std::string_view> fields::find(std::string_view name) const noexcept {
    for(const auto& [key, value] : this->entries) {
        if(equals_ignoring_case(key, name)) {
            return value;
        }
    }
    return std::nullopt;
}

void fields::set(std::string_view name, std::string_view value) {
    for(auto& [key, current] : this->entries) {
        if(equals_ignoring_case(key, name)) {
            current = value;
            return;
        }
    }
    this->entries.emplace_back(name, value);
}

void fields::add(std::string_view name, std::string_view value) {
    for(auto& [key, current] : this->entries) {
        if(equals_ignoring_case(key, name)) {
            current.append(", ").append(value);
            this->repeated.emplace_back(name);
            return;
        }
    }
    this->entries.emplace_back(name, value);
}

bool fields::is_repeated(std::string_view name) const noexcept {
    return std::ranges::any_of(
        this->repeated, [name](const std::string& other) { return equals_ignoring_case(other, name); });
}

} // namespace lagoonsaddle::http
