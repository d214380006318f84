#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <lagoonsaddle/edge/reader_roster.hpp>

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

[[nodiscard]] std::size_t readers(const std::vector<fleet::member>& members) {
    std::size_t count{};
    for(const auto& node : members) {
        count += node.is_live() && reads_exactly(node.info.name, node.info.availability_zone, members) ? 1u : 0u;
    }
    return count;
}

} // namespace

// Guards against store calls that grow with the fleet, and against a fleet without any exact reader.
TEST_CASE("reads_exactly_large_fleet_two_nodes_of_each_zone") {
    auto members = make_fleet(40u);
    CHECK(readers(members) == 4u);
    for(auto& node : members) {
        if(reads_exactly(node.info.name, node.info.availability_zone, members)) {
            node.state = fleet::member_state::dead;
            break;
        }
    }
    CHECK(readers(members) == 4u);
}

// Guards against stale knowledge in a small fleet, and on a node that sees nobody else.
TEST_CASE("reads_exactly_small_fleet_every_node") {
    CHECK(readers(make_fleet(9u)) == 9u);
    CHECK(readers(make_fleet(1u)) == 1u);
}

} // namespace lagoonsaddle::edge
