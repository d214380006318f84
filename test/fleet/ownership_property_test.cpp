#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <doctest/doctest.h>

#include "seeds.hpp"
#include <lagoonsaddle/fleet/ownership.hpp>

namespace lagoonsaddle::fleet {

namespace {

using namespace std::chrono_literals;

/*! @brief Simulates several nodes and one object with random delays, losses, outages, pauses, kills and wrong views. */
class simulation {
public:
    explicit simulation(std::uint64_t seed) : random{seed}, faults_end{this->now + 60s} {
        for(std::uint64_t index{}; index < 2u + this->random.below(3u); ++index) {
            this->start("n" + std::to_string(index), 1u);
        }
    }

    [[nodiscard]] std::string run() {
        while(this->now < this->faults_end + 90s && this->failure.empty()) {
            this->now += std::chrono::milliseconds{20u + this->random.below(300u)};
            const auto faults_over = this->now >= this->faults_end;
            if(faults_over) {
                this->end_faults();
            } else {
                this->inject_fault();
            }
            this->deliver();
            for(auto& process : this->processes) {
                if(process->alive && this->now >= process->paused_until) {
                    this->update_view(*process);
                    this->submit(*process, process->node.tick(this->now));
                }
            }
            this->check_single_evictor();
        }
        if(this->failure.empty()) {
            this->check_settled();
        }
        return this->failure;
    }

private:
    struct process {
        node_id id{};
        ownership node;
        bool alive{true};
        bool leaving{};
        core::time_point paused_until{};
        zone_view last_view{};
        /*! @brief Name of a node that this process wrongly sees as dead until `hidden_until`. */
        std::string hidden_node{};
        core::time_point hidden_until{};
    };

    struct pending_operation {
        std::shared_ptr<process> from{};
        ownership_action action{};
        core::time_point started{};
        core::time_point reaches_store_at{};
        core::time_point response_at{};
        bool applied{};
        bool lost{};
        std::variant<read_result, write_result> result{};
    };

    void start(const std::string& name, std::uint64_t boot_id) {
        const node_id id{name, boot_id};
        this->processes.push_back(std::make_shared<process>(process{id, ownership{{}, id, "kotte"}}));
    }

    void inject_fault() {
        const auto chosen_index = this->random.below(this->processes.size());
        auto& chosen = *this->processes[chosen_index];
        switch(this->random.below(60u)) {
        case 0:
            chosen.paused_until = this->now + std::chrono::milliseconds{this->random.below(15000u)};
            break;
        case 1:
            this->store_down_until = this->now + std::chrono::milliseconds{this->random.below(12000u)};
            break;
        case 2:
            chosen.hidden_node = this->processes[this->random.below(this->processes.size())]->id.name;
            chosen.hidden_until = this->now + std::chrono::milliseconds{this->random.below(12000u)};
            break;
        case 3:
            if(chosen.alive) {
                chosen.alive = false;
                this->start(chosen.id.name, chosen.id.boot_id + 1u);
            }
            break;
        case 4:
            if(chosen.alive && !chosen.leaving) {
                chosen.leaving = true;
                this->submit(chosen, chosen.node.release_all(this->now));
            }
            break;
        case 5:
            this->start("j" + std::to_string(this->processes.size()), 1u);
            break;
        case 6:
            this->upstreams[this->random.below(this->upstreams.size())].second ^= this->random.one_in(3u);
            break;
        default:
            break;
        }
        // A process that has left is restarted, so that at least one node is always running.
        for(std::size_t index{}; index < this->processes.size(); ++index) {
            auto& leaver = *this->processes[index];
            if(leaver.alive && leaver.leaving && leaver.node.released()) {
                leaver.alive = false;
                this->start(leaver.id.name, leaver.id.boot_id + 1u);
            }
        }
    }

    void end_faults() {
        this->store_down_until = {};
        for(auto& value : this->processes) {
            value->paused_until = {};
            value->hidden_until = {};
        }
        for(auto& [upstream, present] : this->upstreams) {
            present = true;
        }
    }

    void update_view(process& value) {
        zone_view view{};
        for(const auto& other : this->processes) {
            const auto hidden = other->id.name == value.hidden_node && this->now < value.hidden_until;
            // The other processes see a paused process as dead when the pause lasts for more than two more seconds.
            const auto seems_dead = this->now + 2s < other->paused_until && other.get() != &value;
            if(other->alive && !hidden && !seems_dead) {
                (other->leaving ? view.live_nodes : view.candidates).push_back(other->id);
            }
        }
        for(const auto& [upstream, present] : this->upstreams) {
            if(present) {
                view.upstreams.push_back(upstream);
            }
        }
        if(view.candidates != value.last_view.candidates || view.live_nodes != value.last_view.live_nodes ||
            view.upstreams != value.last_view.upstreams) {
            value.last_view = view;
            this->submit(value, value.node.on_view(this->now, std::move(view)));
        }
    }

    void submit(process& from, std::vector<ownership_action> actions) {
        for(auto& action : actions) {
            const auto sender = *std::find_if(this->processes.begin(), this->processes.end(),
                [&from](const auto& value) { return value.get() == &from; });
            const auto faults_active = this->now < this->faults_end;
            const auto max_delay_ms = faults_active && this->random.one_in(20u) ? 8000u : 30u;
            const auto store_time = this->now + std::chrono::milliseconds{this->random.below(max_delay_ms)};
            const auto response_time = store_time + std::chrono::milliseconds{this->random.below(max_delay_ms)};
            this->operations.push_back({sender, std::move(action), this->now, store_time, response_time, false,
                faults_active && this->random.one_in(15u), {}});
        }
    }

    void deliver() {
        // Operations are applied in the order of their arrival at the store; responses return in any order.
        std::stable_sort(this->operations.begin(), this->operations.end(),
            [](const pending_operation& left, const pending_operation& right) {
                return left.reaches_store_at < right.reaches_store_at;
            });
        for(auto& operation : this->operations) {
            if(!operation.applied && operation.reaches_store_at <= this->now) {
                operation.applied = true;
                this->apply(operation);
            }
        }
        auto pending_operations = std::exchange(this->operations, {});
        for(auto& operation : pending_operations) {
            auto& from = *operation.from;
            if(!from.alive && operation.applied) {
                continue;
            }
            if(!operation.applied || operation.response_at > this->now || this->now < from.paused_until) {
                this->operations.push_back(std::move(operation));
                continue;
            }
            std::vector<ownership_action> actions{};
            if(auto* read = std::get_if<read_result>(&operation.result)) {
                if(!operation.lost) {
                    actions = from.node.on_read(this->now, *read);
                }
            } else {
                auto& write = std::get<write_result>(operation.result);
                if(operation.lost) {
                    write = {write.operation, write_status::unknown, 0u};
                }
                actions = from.node.on_write(this->now, write);
            }
            this->submit(from, std::move(actions));
        }
    }

    void apply(pending_operation& operation) {
        const auto store_available = operation.reaches_store_at >= this->store_down_until;
        if(const auto* read = std::get_if<read_object>(&operation.action)) {
            read_result result{read->operation, read_status::failed, operation.started, this->version, {}};
            if(store_available) {
                result.status = this->version == 0u                    ? read_status::missing
                                : this->version == read->known_version ? read_status::unchanged
                                                                       : read_status::changed;
                result.body = this->body;
            }
            operation.result = std::move(result);
            return;
        }
        const auto& write = std::get<write_object>(operation.action);
        write_result result{write.operation, write_status::failed, 0u};
        if(store_available && write.expected_version != this->version) {
            result.status = write_status::conflict;
        } else if(store_available) {
            ++this->version;
            this->body = write.body;
            result = {write.operation, write_status::ok, this->version};
            this->check_tokens();
        }
        operation.result = result;
    }

    void check_tokens() {
        ownership reader{{}, {"reader", 1u}, "kotte"};
        reader.on_snapshot(this->now, {this->version, this->body});
        for(const auto& [name, entry] : reader.assignments()) {
            auto& last = this->last_entries[name];
            if(entry.fencing_token < last.fencing_token ||
                (entry.fencing_token == last.fencing_token && entry.owner != last.owner)) {
                this->failure =
                    "fencing token of " + name + " did not increase at version " + std::to_string(this->version);
            }
            last = entry;
        }
    }

    void check_single_evictor() {
        for(const auto& [upstream, present] : this->upstreams) {
            std::set<std::uint64_t> tokens{};
            for(const auto& value : this->processes) {
                if(!value->alive || !value->node.may_evict(upstream.name, this->now)) {
                    continue;
                }
                if(!tokens.insert(*value->node.fencing_token(upstream.name)).second) {
                    this->failure = "two processes with the same token on " + upstream.name;
                }
                // Orders stay valid for one second after they were issued, even if their process was killed.
                auto& last = this->last_eviction[upstream.name];
                for(const auto& [id, at] : last) {
                    if(!upstream.checks_fencing_token && id != value->id && this->now < at + 1s) {
                        this->failure = id.name + " and " + value->id.name + " may evict on " + upstream.name;
                    }
                }
                last[value->id] = this->now;
            }
        }
    }

    void check_settled() {
        for(const auto& [upstream, present] : this->upstreams) {
            const auto owners = std::count_if(this->processes.begin(), this->processes.end(),
                [&](const auto& value) { return value->alive && value->node.may_evict(upstream.name, this->now); });
            const auto candidates = std::any_of(this->processes.begin(), this->processes.end(),
                [](const auto& value) { return value->alive && !value->leaving; });
            if(owners != 1 && candidates) {
                this->failure = std::to_string(owners) + " owners of " + upstream.name + " after the faults";
            }
        }
    }

    random_source random;
    core::time_point now{1h};
    core::time_point faults_end;
    core::time_point store_down_until{};
    std::uint64_t version{};
    std::string body{};
    std::vector<std::shared_ptr<process>> processes{};
    std::vector<pending_operation> operations{};
    std::vector<std::pair<zone_upstream, bool>> upstreams{
        {{"e1", false}, true}, {{"e2", false}, true}, {{"e3", false}, true}, {{"t1", true}, true}};
    std::map<std::string, assignment> last_entries{};
    std::map<std::string, std::map<node_id, core::time_point>> last_eviction{};
    std::string failure{};
};

} // namespace

// Guards against two nodes that evict on one upstream, tokens that decrease, and upstreams that stay without an owner.
TEST_CASE("ownership_random_interleavings_keep_invariants") {
    for(std::uint64_t seed{}; seed < seed_count(2000u); ++seed) {
        const auto failure = simulation{seed}.run();
        CHECK_MESSAGE(failure.empty(), "seed " << seed << ": " << failure);
    }
}

} // namespace lagoonsaddle::fleet
