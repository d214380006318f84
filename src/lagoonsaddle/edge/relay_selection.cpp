#include <cstdint>
#include <utility>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/edge/relay_selection.hpp>

namespace lagoonsaddle::edge {

namespace {

/*! @brief Exchanges that a peer outside of the path's availability zones is counted to have in addition. */
constexpr std::size_t other_zone_exchanges{2u};

} // namespace

std::optional<std::size_t> select_relay(std::span<const relay_candidate> candidates, const relayed_path& path) {
    using cost_type = std::pair<std::size_t, std::uint64_t>;
    std::optional<std::size_t> best{};
    cost_type best_cost{};
    for(std::size_t index{}; index < candidates.size(); ++index) {
        const auto& candidate = candidates[index];
        const bool on_path =
            candidate.availability_zone == path.upstream_zone || candidate.availability_zone == path.node_zone;
        const auto load = candidate.exchanges + (on_path ? 0u : other_zone_exchanges);
        const cost_type cost{load, core::hash(candidate.name + std::string{path.upstream})};
        if(!best || cost < best_cost) {
            best = index;
            best_cost = cost;
        }
    }
    return best;
}

} // namespace lagoonsaddle::edge
