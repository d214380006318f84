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
constexpr std::chrono::seconds repeat_interval{30};

} // namespace

void partitioned_nodes::announce(cluster::membership_service& membership, bool value, core::time_point now) {
    const auto self = membership.local_node();
    const auto items = membership.items(item_kind);
    const auto found = std::ranges::find(items, self.name, &fleet::gossip_item::key);
    membership.publish(
        this->make_announcement(self, value, found == items.end() ? std::nullopt : std::optional{*found}, now));
}

void partitioned_nodes::repeat_announcement(cluster::membership_service& membership, core::time_point now) {
    if(this->announced_at && (this->superseded || now - *this->announced_at >= repeat_interval)) {
        this->announce(membership, true, now);
    }
}

fleet::gossip_item partitioned_nodes::make_announcement(
    const fleet::node_id& self, bool value, const std::optional<fleet::gossip_item>& known, core::time_point now) {
    // Other nodes may still have an announcement that this node has removed as expired, and ignore an older one.
    this->own_version = std::max(this->own_version, known ? known->version : 0u) + 1u;
    this->own_name = self.name;
    this->superseded = false;
    this->announced_at = value ? std::optional{now} : std::nullopt;
    fleet::gossip_item item{.kind = std::string{item_kind},
        .key = self.name,
        .version = this->own_version,
        .value = value ? std::to_string(self.boot_id) : std::string{},
        .lifetime = item_lifetime};
    this->store(item, now);
    return item;
}

void partitioned_nodes::apply(const fleet::gossip_item& item, core::time_point now) {
    if(item.kind != item_kind) {
        return;
    }
    if(item.key == this->own_name) {
        // Announced by an earlier process of this name: what this one has announced must be newer.
        this->own_version = std::max(this->own_version, item.version);
        this->superseded = true;
        return;
    }
    this->store(item, now);
}

void partitioned_nodes::store(const fleet::gossip_item& item, core::time_point now) {
    std::uint64_t boot_id{};
    const auto end = item.value.data() + item.value.size();
    const auto parsed = std::from_chars(item.value.data(), end, boot_id);
    if(parsed.ec == std::errc{} && parsed.ptr == end) {
        this->announcements[item.key] =
            announcement{.boot_id = boot_id, .expires = now + item.lifetime.value_or(item_lifetime)};
    } else {
        this->announcements.erase(item.key);
    }
}

bool partitioned_nodes::contains(const fleet::member_info& node, core::time_point now) const {
    const auto found = this->announcements.find(node.name);
    return found != this->announcements.end() && found->second.boot_id == node.boot_id && now < found->second.expires;
}

} // namespace lagoonsaddle::edge
