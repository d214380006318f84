#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <functional>
#include <iostream>
#include <queue>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include <lagoonsaddle/fleet/membership.hpp>

// Runs membership instances on a simulated network and reports what one instance sends, computes and holds.

namespace {

using namespace lagoonsaddle;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds step{20};
constexpr milliseconds delay{1};
constexpr seconds settle_time{120};
constexpr std::size_t zones{7u};
constexpr std::uint16_t first_port{1'000u};

[[nodiscard]] double processor_seconds() {
    timespec spent{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &spent);
    return static_cast<double>(spent.tv_sec) + static_cast<double>(spent.tv_nsec) * 1e-9;
}

[[nodiscard]] double resident_bytes() {
    std::ifstream file{"/proc/self/statm"};
    std::size_t total{};
    std::size_t resident{};
    file >> total >> resident;
    constexpr double page_bytes{4'096.};
    return static_cast<double>(resident) * page_bytes;
}

struct packet {
    core::time_point due{};
    std::uint64_t order{};
    std::size_t from{};
    fleet::datagram content{};

    friend bool operator>(const packet& left, const packet& right) {
        return left.due != right.due ? left.due > right.due : left.order > right.order;
    }
};

class simulation {
public:
    simulation(std::size_t members, bool applied) : reports_applied{applied} {
        for(std::size_t index{}; index < members; ++index) {
            const auto port = static_cast<std::uint16_t>(first_port + index);
            const core::endpoint seed{.address = "10.0.0.1", .port = first_port};
            this->nodes.emplace_back(fleet::membership_settings{},
                fleet::member_info{.name = "node-" + std::to_string(index),
                    .availability_zone = "zone-" + std::to_string(index % zones),
                    .udp = {.address = "10.0.0.1", .port = port},
                    .tcp = {.address = "10.0.0.1", .port = port},
                    .boot_id = index + 1u},
                std::vector{seed}, index + 1u);
        }
    }

    void run(core::duration time) {
        const auto end = this->now + time;
        for(; this->now < end; this->now += step) {
            while(!this->packets.empty() && this->packets.top().due <= this->now) {
                const auto next = this->packets.top();
                this->packets.pop();
                const auto target = static_cast<std::size_t>(next.content.to.port - first_port);
                const core::endpoint source{
                    .address = "10.0.0.1", .port = static_cast<std::uint16_t>(first_port + next.from)};
                this->send(target, next.due, this->nodes[target].receive(next.due, source, next.content.bytes));
                this->report_applied(target, this->nodes[target].take_items());
                static_cast<void>(this->nodes[target].take_changes());
            }
            for(std::size_t index{}; index < this->nodes.size(); ++index) {
                if(this->nodes[index].next_tick() <= this->now) {
                    this->send(index, this->now, this->nodes[index].tick(this->now));
                }
            }
        }
    }

    // Publishes a configuration version, each time from another member.
    void publish() {
        ++this->version;
        this->published = this->now;
        this->reached = 1u;
        this->nodes[this->version % this->nodes.size()].publish(this->now,
            fleet::gossip_item{.kind = "config", .key = "rules", .version = this->version, .value = "node-0"});
    }

    // Time from the last published version until all members had it; negative when some do not have it.
    [[nodiscard]] double spread_seconds() const {
        const std::chrono::duration<double> taken{this->completed - this->published};
        return this->reached == this->nodes.size() ? taken.count() : -1.;
    }

    [[nodiscard]] fleet::membership_counters sum() const {
        fleet::membership_counters total{};
        for(const auto& node : this->nodes) {
            total.bytes_sent += node.counters().bytes_sent;
            total.datagrams_sent += node.counters().datagrams_sent;
            total.over_budget += node.counters().over_budget;
        }
        return total;
    }

    [[nodiscard]] std::size_t smallest_view() const {
        std::size_t smallest{this->nodes.size()};
        for(const auto& node : this->nodes) {
            smallest = std::min(smallest, node.live_members().size());
        }
        return smallest;
    }

private:
    // Nodes announce each configuration version that they have put into force, as config_service does.
    void report_applied(std::size_t index, const std::vector<fleet::gossip_item>& items) {
        for(const auto& value : items) {
            if(value.kind != "config" || value.version != this->version) {
                continue;
            }
            this->completed = this->now;
            ++this->reached;
            if(this->reports_applied) {
                this->nodes[index].publish(this->now, fleet::gossip_item{.kind = "applied",
                                                          .key = "node-" + std::to_string(index) + "/rules",
                                                          .version = this->version});
            }
        }
    }

    void send(std::size_t from, core::time_point at, std::vector<fleet::datagram> datagrams) {
        for(auto& content : datagrams) {
            this->packets.push(packet{at + delay, ++this->order, from, std::move(content)});
        }
    }

    bool reports_applied;
    core::time_point now{seconds{1}};
    core::time_point published{};
    core::time_point completed{};
    std::size_t reached{};
    std::uint64_t order{};
    std::uint64_t version{};
    std::vector<fleet::membership> nodes{};
    std::priority_queue<packet, std::vector<packet>, std::greater<>> packets{};
};

} // namespace

int main(int count, char** values) {
    const std::span arguments{values, static_cast<std::size_t>(count)};
    if(arguments.size() != 4u) {
        std::cerr << "usage: capacity_membership MEMBERS SECONDS APPLIED(0|1)\n";
        return 2;
    }
    const auto members = static_cast<std::size_t>(std::strtoul(arguments[1], nullptr, 10));
    const seconds length{std::strtol(arguments[2], nullptr, 10)};
    const auto memory_before = resident_bytes();
    simulation network{members, std::string_view{arguments[3]} == "1"};
    network.run(settle_time);

    const auto sent_before = network.sum();
    const auto spent_before = processor_seconds();
    // 4,100 changes a day are one in 21 s.
    constexpr seconds change_interval{21};
    double spread{};
    for(core::duration done{}; done < length;) {
        const auto part = std::min<core::duration>(change_interval, length - done);
        network.publish();
        network.run(part);
        spread = network.spread_seconds();
        done += part;
    }
    const auto spent = processor_seconds() - spent_before;
    const auto sent = network.sum();
    const auto scale = static_cast<double>(members) * static_cast<double>(length.count());

    nlohmann::json result = nlohmann::json::object();
    result["members"] = members;
    result["bytes_per_s"] = static_cast<double>(sent.bytes_sent - sent_before.bytes_sent) / scale;
    result["datagrams_per_s"] = static_cast<double>(sent.datagrams_sent - sent_before.datagrams_sent) / scale;
    result["over_budget_per_s"] = static_cast<double>(sent.over_budget - sent_before.over_budget) / scale;
    result["cpu_share"] = spent / scale;
    result["memory_bytes"] = (resident_bytes() - memory_before) / static_cast<double>(members);
    result["spread_s"] = spread;
    result["smallest_view"] = network.smallest_view();
    std::cout << result.dump() << '\n';
    return 0;
}
