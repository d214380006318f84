#include <algorithm>
#include <vector>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/edge/reader_roster.hpp>

namespace lagoonsaddle::edge {

bool reads_exactly(std::string_view self, std::string_view zone, std::span<const fleet::member> members,
    const reader_options& options) {
    std::vector<std::string> local{};
    std::size_t live{};
    for(const auto& other : members) {
        if(!other.is_live()) {
            continue;
        }
        ++live;
        if(other.info.availability_zone == zone && other.state == fleet::member_state::alive) {
            local.push_back(other.info.name);
        }
    }
    if(live <= options.small_fleet) {
        return true;
    }
    const auto order = core::rendezvous_rank("store-reader", local);
    const auto first = std::min(options.per_zone, order.size());
    return std::any_of(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(first),
        [&](std::size_t index) { return local[index] == self; });
}

} // namespace lagoonsaddle::edge
