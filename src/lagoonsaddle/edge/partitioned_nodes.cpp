#include <algorithm>
#include <charconv>
#include <chrono>
#include <string_view>

#include <lagoonsaddle/edge/partitioned_nodes.hpp>

namespace lagoonsaddle::edge {

namespace {

constexpr std::string_view item_kind{"partitioned"};
/*! @brief Time after which an announcement that was not repeated is forgotten. */
constexpr std::chrono::minutes item_lifetime{2};

} // namespace

void partitioned_nodes::announce(cluster::membership_service& membership, bool value) {
    const auto self = membership.local_node();
    const auto items = membership.items(item_kind);
    const auto previous = std::ranges::find(items, self.name, &fleet::gossip_item::key);
    const fleet::gossip_item item{.kind = std::string{item_kind},
        .key = self.name,
        .version = previous == items.end() ? 1u : previous->version + 1u,
        .value = value ? std::to_string(self.boot_id) : std::string{},
        .lifetime = item_lifetime};
    this->apply(item);
    membership.publish(item);
}

void partitioned_nodes::apply(const fleet::gossip_item& item) {
    if(item.kind != item_kind) {
        return;
    }
    std::uint64_t boot_id{};
    const auto end = item.value.data() + item.value.size();
    const auto parsed = std::from_chars(item.value.data(), end, boot_id);
    if(parsed.ec == std::errc{} && parsed.ptr == end) {
        this->boot_ids[item.key] = boot_id;
    } else {
        this->boot_ids.erase(item.key);
    }
}

bool partitioned_nodes::contains(const fleet::member_info& node) const {
    const auto found = this->boot_ids.find(node.name);
    return found != this->boot_ids.end() && found->second == node.boot_id;
}

} // namespace lagoonsaddle::edge
