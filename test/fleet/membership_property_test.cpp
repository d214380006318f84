#include <chrono>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "membership_network.hpp"

namespace lagoonsaddle::fleet {

namespace {

using namespace std::chrono_literals;

/*! @brief Runs a small fleet with random faults; returns the violated invariant, or an empty string. */
[[nodiscard]] std::string run_with_faults(std::uint64_t seed) {
    membership_network network{seed};
    auto& random = network.random;
    const auto size = 3u + random.below(5u);
    std::vector<std::string> names{};
    for(std::uint64_t index{}; index < size; ++index) {
        names.push_back("n" + std::to_string(index));
    }
    const std::vector<std::string> seeds{"n0", "n1"};
    for(const auto& name : names) {
        network.start(name, 1u, seeds);
    }
    std::map<std::string, std::map<std::string, std::uint64_t>> last_versions{};
    std::uint64_t version{};
    std::uint64_t last_boot_id{1u};
    for(int round{}; round < 40; ++round) {
        const auto& name = names[random.below(names.size())];
        const auto& other = names[random.below(names.size())];
        switch(random.below(10u)) {
        case 0:
            network.partition({name}, {other}, random.one_in(2u));
            break;
        case 1:
            network.dropped_links.clear();
            break;
        case 2:
            network.paused.insert(name);
            break;
        case 3:
            network.paused.clear();
            break;
        case 4:
            last_versions.erase(name);
            network.nodes.erase(name);
            break;
        case 5:
            last_versions.erase(name);
            network.paused.erase(name);
            network.start(name, random.one_in(2u) ? ++last_boot_id : random.below(1000u) + 1000u, seeds);
            break;
        case 6:
            network.loss_percent = random.below(40u);
            network.duplicate_percent = random.below(40u);
            network.jitter_us = 1u + random.below(300000u);
            break;
        case 7:
            if(const auto node = network.nodes.find(name); node != network.nodes.end()) {
                node->second.publish(network.now, {"config", "rules", ++version, "", {}});
            }
            break;
        default:
            break;
        }
        network.run(std::chrono::milliseconds{random.below(1500u)});
        for(auto& [node_name, node] : network.nodes) {
            for(const auto& value : node.take_items()) {
                auto& last_version = last_versions[node_name][value.key];
                if(value.version <= last_version) {
                    return node_name + " applied a lower version";
                }
                last_version = value.version;
            }
        }
    }
    network.dropped_links.clear();
    network.paused.clear();
    network.loss_percent = 0u;
    network.duplicate_percent = 0u;
    network.jitter_us = 500u;
    for(const auto& name : names) {
        if(!network.nodes.contains(name)) {
            network.start(name, ++last_boot_id, seeds);
        }
    }
    for(int second{}; second < 60 && !network.has_converged(); ++second) {
        network.run(1s);
    }
    if(!network.has_converged()) {
        return "no convergence within one minute after the faults";
    }
    network.run(25s);
    std::set<std::uint64_t> versions{};
    for(const auto& [name, node] : network.nodes) {
        const auto value = node.find_item("config", "rules");
        versions.insert(value ? value->version : 0u);
    }
    if(versions.size() != 1u) {
        return "different item versions one sync after convergence";
    }
    return network.largest_datagram <= 1200u ? "" : "datagram above the limit";
}

} // namespace

// Guards against live nodes that stay declared dead, records that never converge, and items that revert.
TEST_CASE("membership_random_faults_converge_after_they_stop") {
    for(std::uint64_t seed{}; seed < seed_count(1000u); ++seed) {
        const auto failure = run_with_faults(seed);
        CHECK_MESSAGE(failure.empty(), "seed " << seed << ": " << failure);
    }
}

} // namespace lagoonsaddle::fleet
