#include <lagoonsaddle/fleet/member.hpp>

namespace lagoonsaddle::fleet {

std::string_view to_string(member_state value) noexcept {
    switch(value) {
    case member_state::alive:
        return "alive";
    case member_state::leaving:
        return "leaving";
    case member_state::suspect:
        return "suspect";
    case member_state::dead:
        return "dead";
    case member_state::left:
        return "left";
    }
    return "unknown";
}

} // namespace lagoonsaddle::fleet
