#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <lagoonsaddle/edge/reader_selection.hpp>

namespace lagoonsaddle::edge {

namespace {

[[nodiscard]] std::vector<fleet::member> make_fleet(std::size_t size) {
    std::vector<fleet::member> members{};
    for(std::size_t index{}; index < size; ++index) {
        fleet::member node{};
        node.info.name = "n" + std::to_string(index);
        node.info.availability_zone = index % 2u == 0u ? "z1" : "z2";
        members.push_back(std::move(node));
    }
    return members;
}

[[nodiscard]] std::size_t count_exact_readers(const std::vector<fleet::member>& members) {
    std::size_t count{};
    for(const auto& node : members) {
        count += node.is_live() && is_exact_reader(node.info.name, node.info.availability_zone, members) ? 1u : 0u;
    }
    return count;
}

} // namespace

// Guards against store calls that grow with the fleet, and against a fleet without exact readers.
TEST_CASE("is_exact_reader_large_fleet_two_nodes_per_zone") {
    auto members = make_fleet(40u);
    CHECK(count_exact_readers(members) == 4u);
    for(auto& node : members) {
        if(is_exact_reader(node.info.name, node.info.availability_zone, members)) {
            node.state = fleet::member_state::dead;
            break;
        }
    }
    CHECK(count_exact_readers(members) == 4u);
}

// Guards against stale reads in a small fleet, and on a node that sees no other node.
TEST_CASE("is_exact_reader_small_fleet_every_node") {
    CHECK(count_exact_readers(make_fleet(9u)) == 9u);
    CHECK(count_exact_readers(make_fleet(1u)) == 1u);
}

} // namespace lagoonsaddle::edge
