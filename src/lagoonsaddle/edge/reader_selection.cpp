#include <algorithm>
#include <iterator>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/edge/reader_selection.hpp>

namespace lagoonsaddle::edge {

namespace {

[[nodiscard]] bool all_are_exact(std::span<const fleet::member> members, const reader_selection_options& options) {
    const auto live_count = std::ranges::count_if(members, &fleet::member::is_live);
    return static_cast<std::size_t>(live_count) <= options.all_exact_nodes_max;
}

} // namespace

std::vector<std::string> exact_readers(
    std::string_view zone, std::span<const fleet::member> members, const reader_selection_options& options) {
    std::vector<std::string> zone_nodes{};
    for(const auto& node : members) {
        if(node.info.availability_zone == zone && node.state == fleet::member_state::alive) {
            zone_nodes.push_back(node.info.name);
        }
    }
    if(all_are_exact(members, options)) {
        return zone_nodes;
    }
    const auto ranking = core::rendezvous_rank("store-reader", zone_nodes);
    const auto reader_count = std::min(options.exact_readers_per_zone, ranking.size());
    std::vector<std::string> readers{};
    std::transform(ranking.begin(), ranking.begin() + static_cast<std::ptrdiff_t>(reader_count),
        std::back_inserter(readers), [&zone_nodes](std::size_t index) { return zone_nodes[index]; });
    return readers;
}

bool is_exact_reader(std::string_view node_name, std::string_view zone, std::span<const fleet::member> members,
    const reader_selection_options& options) {
    if(all_are_exact(members, options)) {
        return true;
    }
    const auto readers = exact_readers(zone, members, options);
    return std::ranges::find(readers, node_name) != readers.end();
}

} // namespace lagoonsaddle::edge
