#include <lagoonsaddle/core/verdict.hpp>

namespace lagoonsaddle::core {

std::string_view to_string(verdict value) noexcept {
    switch(value) {
    case verdict::not_run:
        return "not_run";
    case verdict::may_have_run:
        return "may_have_run";
    case verdict::ran:
        return "ran";
    }
    return "may_have_run";
}

std::optional<verdict> parse_verdict(std::string_view text) noexcept {
    for(const auto value : {verdict::not_run, verdict::may_have_run, verdict::ran}) {
        if(text == to_string(value)) {
            return value;
        }
    }
    return std::nullopt;
}

} // namespace lagoonsaddle::core
