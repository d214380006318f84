#include <lagoonsaddle/edge/protocol.hpp>

namespace lagoonsaddle::edge {

std::string_view to_string(record_kind value) noexcept {
    switch(value) {
    case record_kind::configuration:
        return "configuration";
    case record_kind::upstreams:
        return "upstreams";
    case record_kind::versions:
        return "versions";
    case record_kind::streams:
        return "streams";
    case record_kind::leases:
        break;
    }
    return "leases";
}

std::string_view to_string(order_outcome value) noexcept {
    switch(value) {
    case order_outcome::accepted:
        return "accepted";
    case order_outcome::done:
        return "done";
    case order_outcome::out_of_turn:
        return "out_of_turn";
    case order_outcome::stale_token:
        return "stale_token";
    case order_outcome::misdirected:
        return "misdirected";
    case order_outcome::invalid:
        break;
    }
    return "invalid";
}

} // namespace lagoonsaddle::edge
