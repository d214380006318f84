#include <algorithm>
#include <vector>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/edge/reader_selection.hpp>

namespace lagoonsaddle::edge {

bool is_exact_reader(std::string_view node_name, std::string_view zone, std::span<const fleet::member> members,
    const reader_selection_options& options) {
    std::vector<std::string> zone_nodes{};
    std::size_t live_count{};
    for(const auto& node : members) {
        if(!node.is_live()) {
            continue;
        }
        ++live_count;
        if(node.info.availability_zone == zone && node.state == fleet::member_state::alive) {
            zone_nodes.push_back(node.info.name);
        }
    }
    if(live_count <= options.all_exact_nodes_max) {
        return true;
    }
    const auto ranking = core::rendezvous_rank("store-reader", zone_nodes);
    const auto reader_count = std::min(options.exact_readers_per_zone, ranking.size());
    return std::any_of(ranking.begin(), ranking.begin() + static_cast<std::ptrdiff_t>(reader_count),
        [&](std::size_t index) { return zone_nodes[index] == node_name; });
}

} // namespace lagoonsaddle::edge
