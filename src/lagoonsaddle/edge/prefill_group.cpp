#include <algorithm>
#include <map>
#include <vector>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/edge/prefill_group.hpp>

namespace lagoonsaddle::edge {

namespace {

struct ranked_engine {
    std::uint64_t rank{};
    std::string_view id{};
};

} // namespace

std::set<std::string_view> select_prefill_group(
    std::span<const upstream_state* const> engines, const prefill_group_options& options) {
    std::map<std::string_view, std::vector<ranked_engine>> zones{};
    for(const auto* engine : engines) {
        const auto& entry = engine->entry;
        zones[entry.availability_zone].push_back({.rank = core::hash(entry.id), .id = entry.id});
    }
    std::set<std::string_view> group{};
    for(auto& [zone, ranking] : zones) {
        if(ranking.size() < options.engines_min || ranking.size() > options.engines_max) {
            return {};
        }
        std::ranges::sort(ranking, {}, &ranked_engine::rank);
        for(std::size_t index{}; index < ranking.size() / options.share_divisor; ++index) {
            group.insert(ranking[index].id);
        }
    }
    return group;
}

} // namespace lagoonsaddle::edge
