#ifndef LAGOONSADDLE_TEST_FLEET_MEMBERSHIP_NETWORK_HPP
#define LAGOONSADDLE_TEST_FLEET_MEMBERSHIP_NETWORK_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "seeds.hpp"
#include <lagoonsaddle/fleet/membership.hpp>

namespace lagoonsaddle::fleet {

/*! @brief Simulated network between membership instances, with delay, loss, duplication, partitions and pauses. */
class membership_network {
public:
    static constexpr core::duration step = std::chrono::milliseconds{10};

    explicit membership_network(std::uint64_t seed) : random{seed} {}

    [[nodiscard]] static core::endpoint endpoint_of(const std::string& name) {
        return {name, 7000u};
    }

    void start(const std::string& name, std::uint64_t boot_id, const std::vector<std::string>& seeds) {
        const member_info info{
            name, "zone-" + std::to_string(name.back() % 3), endpoint_of(name), {name, 7001u}, boot_id};
        std::vector<core::endpoint> endpoints{};
        endpoints.reserve(seeds.size());
        for(const auto& seed : seeds) {
            endpoints.push_back(endpoint_of(seed));
        }
        this->nodes.insert_or_assign(
            name, membership{this->settings, info, endpoints, this->random.below(std::uint64_t{1u} << 60u)});
    }

    void send(const std::string& from, const std::vector<datagram>& datagrams) {
        for(const auto& value : datagrams) {
            this->largest_datagram = std::max(this->largest_datagram, value.bytes.size());
            if(this->on_send) {
                this->on_send(from, value);
            }
            if(this->dropped_links.contains({from, value.to.address}) ||
                (this->loss_percent != 0u && this->random.below(100u) < this->loss_percent)) {
                continue;
            }
            const auto copies =
                this->duplicate_percent != 0u && this->random.below(100u) < this->duplicate_percent ? 2 : 1;
            for(int copy{}; copy < copies; ++copy) {
                const auto delay = std::chrono::microseconds{1000u + this->random.below(this->jitter_us)};
                this->in_flight.emplace(this->now + delay, std::pair{from, value});
            }
        }
    }

    void run(core::duration duration) {
        for(const auto end = this->now + duration; this->now < end;) {
            this->now += step;
            while(!this->in_flight.empty() && this->in_flight.begin()->first <= this->now) {
                const auto arrived = this->in_flight.extract(this->in_flight.begin());
                const auto& [from, value] = arrived.mapped();
                const auto node = this->nodes.find(value.to.address);
                if(node == this->nodes.end()) {
                    continue;
                }
                if(this->paused.contains(value.to.address)) {
                    this->deferred[value.to.address].push_back(arrived.mapped());
                    continue;
                }
                this->send(value.to.address, node->second.receive(this->now, endpoint_of(from), value.bytes));
            }
            for(auto& [name, node] : this->nodes) {
                if(this->paused.contains(name)) {
                    continue;
                }
                this->send(name, node.tick(this->now));
                for(const auto& [from, value] : std::exchange(this->deferred[name], {})) {
                    this->send(name, node.receive(this->now, endpoint_of(from), value.bytes));
                }
            }
        }
    }

    /*! @brief Drops all traffic between two groups; with `one_way` only from the first to the second. */
    void partition(const std::set<std::string>& first, const std::set<std::string>& second, bool one_way = false) {
        for(const auto& left : first) {
            for(const auto& right : second) {
                this->dropped_links.insert({left, right});
                if(!one_way) {
                    this->dropped_links.insert({right, left});
                }
            }
        }
    }

    /*! @brief Returns whether every running node sees exactly the running nodes as live, with their current metadata,
     * and suspects none. */
    [[nodiscard]] bool has_converged() const {
        for(const auto& [name, node] : this->nodes) {
            const auto live = node.live_members();
            if(live.size() != this->nodes.size()) {
                return false;
            }
            for(const auto& value : live) {
                const auto found = this->nodes.find(value.info.name);
                if(found == this->nodes.end() || found->second.self().info != value.info ||
                    value.state == member_state::suspect) {
                    return false;
                }
            }
        }
        return true;
    }

    membership_settings settings{};
    random_source random;
    core::time_point now{std::chrono::hours{1}};
    std::map<std::string, membership> nodes{};
    std::set<std::string> paused{};
    std::set<std::pair<std::string, std::string>> dropped_links{};
    std::uint64_t loss_percent{};
    std::uint64_t duplicate_percent{};
    std::uint64_t jitter_us{500u};
    std::size_t largest_datagram{};
    /*! @brief Called with each datagram that a node sends. */
    std::function<void(const std::string&, const datagram&)> on_send{};

private:
    std::multimap<core::time_point, std::pair<std::string, datagram>> in_flight{};
    std::map<std::string, std::vector<std::pair<std::string, datagram>>> deferred{};
};

} // namespace lagoonsaddle::fleet

#endif
