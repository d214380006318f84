#include <set>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/edge/replica_selection.hpp>

namespace lagoonsaddle::edge {

std::vector<std::string> select_replicas(
    std::string_view key, std::span<const fleet::member> members, std::size_t count) {
    std::vector<std::string> names{};
    std::vector<std::string_view> zones{};
    for(const auto& member : members) {
        if(member.is_live() && member.state != fleet::member_state::leaving) {
            names.push_back(member.info.name);
            zones.push_back(member.info.availability_zone);
        }
    }
    std::vector<std::string> selected{};
    std::vector<std::string> in_used_zones{};
    std::set<std::string_view> used_zones{};
    for(const auto index : core::rendezvous_rank(key, names)) {
        auto& target = used_zones.insert(zones[index]).second ? selected : in_used_zones;
        target.push_back(names[index]);
    }
    selected.insert(selected.end(), in_used_zones.begin(), in_used_zones.end());
    if(selected.size() > count) {
        selected.resize(count);
    }
    return selected;
}

} // namespace lagoonsaddle::edge
