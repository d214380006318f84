#include <chrono>
#include <optional>

#include <doctest/doctest.h>

#include <lagoonsaddle/edge/partitioned_nodes.hpp>
#include <lagoonsaddle/fleet/member.hpp>

namespace lagoonsaddle::edge {

namespace {

struct partitioned_nodes_fixture {
    /*! @brief Announces a partition of the node, or its end, to itself and to its peer. */
    fleet::gossip_item announce(bool value, const std::optional<fleet::gossip_item>& known) {
        auto item = this->own.make_announcement({.name = "n", .boot_id = 7u}, value, known, this->now);
        this->peer.apply(item, this->now);
        return item;
    }

    fleet::member_info node{.name = "n", .boot_id = 7u};
    core::time_point now{std::chrono::seconds{100}};
    partitioned_nodes own{};
    partitioned_nodes peer{};
};

} // namespace

// Guards against a node that is taken for partitioned until it is started again: the end of a partition that had lasted
// longer than its announcement was no newer than the announcement, so that the other nodes ignored it.
TEST_CASE_FIXTURE(partitioned_nodes_fixture, "make_announcement_earlier_one_has_expired_is_newer") {
    const auto begin = this->announce(true, std::nullopt);
    this->now += *begin.lifetime;
    const auto end = this->announce(false, std::nullopt);
    CHECK(end.version > begin.version);
    CHECK_FALSE(this->peer.contains(this->node, this->now));
}

// Guards against the same of a node that has not received the end of the partition.
TEST_CASE_FIXTURE(partitioned_nodes_fixture, "contains_announcement_is_not_repeated_forgets_it") {
    const auto begin = this->announce(true, std::nullopt);
    this->now += *begin.lifetime - std::chrono::seconds{1};
    CHECK(this->peer.contains(this->node, this->now));
    this->now += std::chrono::seconds{1};
    CHECK_FALSE(this->peer.contains(this->node, this->now));
}

// Guards against a partition that is forgotten while it lasts.
TEST_CASE_FIXTURE(partitioned_nodes_fixture, "contains_announcement_is_repeated_remembers_it") {
    const auto begin = this->announce(true, std::nullopt);
    this->now += std::chrono::seconds{30};
    const auto repeated = this->announce(true, begin);
    CHECK(repeated.version > begin.version);
    this->now += *begin.lifetime - std::chrono::seconds{1};
    CHECK(this->peer.contains(this->node, this->now));
}

// Guards against a process that is taken for partitioned because an earlier one at its name was.
TEST_CASE_FIXTURE(partitioned_nodes_fixture, "contains_node_has_restarted_is_false") {
    static_cast<void>(this->announce(true, std::nullopt));
    this->node.boot_id = 8u;
    CHECK_FALSE(this->peer.contains(this->node, this->now));
}

// Guards against a lease holder that keeps its lease while it is partitioned, because it takes the announcement of an
// earlier process at its name for its own.
TEST_CASE_FIXTURE(partitioned_nodes_fixture, "apply_announcement_of_earlier_process_is_replaced_by_newer_one") {
    const auto begin = this->announce(true, std::nullopt);
    auto earlier = begin;
    earlier.version += 5u;
    earlier.value = "6";
    this->own.apply(earlier, this->now);
    CHECK(this->own.contains(this->node, this->now));
    CHECK(this->announce(true, std::nullopt).version > earlier.version);
}

} // namespace lagoonsaddle::edge
