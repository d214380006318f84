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

/*! @brief Several nodes and one object, with random delays, losses, outages, pauses, kills and wrong views. */
class simulation {
public:
    explicit simulation(std::uint64_t seed) : random{seed}, quiet_at{this->now + 60s} {
        for(std::uint64_t index{}; index < 2u + this->random.below(3u); ++index) {
            this->start("n" + std::to_string(index), 1u);
        }
    }

    [[nodiscard]] std::string run() {
        while(this->now < this->quiet_at + 90s && this->failure.empty()) {
            this->now += std::chrono::milliseconds{20u + this->random.below(300u)};
            const auto quiet = this->now >= this->quiet_at;
            if(quiet) {
                this->end_faults();
            } else {
                this->inject();
            }
            this->deliver();
            for(auto& process : this->processes) {
                if(process->alive && this->now >= process->paused_until) {
                    this->show_view(*process);
                    this->submit(*process, process->node.tick(this->now));
                }
            }
            this->check();
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
        zone_view shown{};
        /*! @brief Name of a node that this process wrongly sees as dead, until the time. */
        std::string blind_to{};
        core::time_point blind_until{};
    };

    struct pending {
        std::shared_ptr<process> from{};
        ownership_action action{};
        core::time_point began{};
        core::time_point at_store{};
        core::time_point at_node{};
        bool applied{};
        bool lost{};
        std::variant<read_result, write_result> result{};
    };

    void start(const std::string& name, std::uint64_t boot_id) {
        const node_id id{name, boot_id};
        this->processes.push_back(std::make_shared<process>(process{id, ownership{{}, id, "kotte"}}));
    }

    void inject() {
        const auto pick = this->random.below(this->processes.size());
        auto& chosen = *this->processes[pick];
        switch(this->random.below(60u)) {
        case 0:
            chosen.paused_until = this->now + std::chrono::milliseconds{this->random.below(15000u)};
            break;
        case 1:
            this->down_until = this->now + std::chrono::milliseconds{this->random.below(12000u)};
            break;
        case 2:
            chosen.blind_to = this->processes[this->random.below(this->processes.size())]->id.name;
            chosen.blind_until = this->now + std::chrono::milliseconds{this->random.below(12000u)};
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
        // A process that has left is replaced, so that there is always a node.
        for(std::size_t index{}; index < this->processes.size(); ++index) {
            auto& leaver = *this->processes[index];
            if(leaver.alive && leaver.leaving && leaver.node.released()) {
                leaver.alive = false;
                this->start(leaver.id.name, leaver.id.boot_id + 1u);
            }
        }
    }

    void end_faults() {
        this->down_until = {};
        for(auto& value : this->processes) {
            value->paused_until = {};
            value->blind_until = {};
        }
        for(auto& [upstream, present] : this->upstreams) {
            present = true;
        }
    }

    void show_view(process& value) {
        zone_view view{};
        for(const auto& other : this->processes) {
            const auto blind = other->id.name == value.blind_to && this->now < value.blind_until;
            // A paused process looks dead to the others after a while.
            const auto silent = this->now + 2s < other->paused_until && other.get() != &value;
            if(other->alive && !blind && !silent) {
                (other->leaving ? view.keepers : view.candidates).push_back(other->id);
            }
        }
        for(const auto& [upstream, present] : this->upstreams) {
            if(present) {
                view.upstreams.push_back(upstream);
            }
        }
        if(view.candidates != value.shown.candidates || view.keepers != value.shown.keepers ||
            view.upstreams != value.shown.upstreams) {
            value.shown = view;
            this->submit(value, value.node.on_view(this->now, std::move(view)));
        }
    }

    void submit(process& from, std::vector<ownership_action> actions) {
        for(auto& action : actions) {
            const auto shared = *std::find_if(this->processes.begin(), this->processes.end(),
                [&from](const auto& value) { return value.get() == &from; });
            const auto faulty = this->now < this->quiet_at;
            const auto slow = faulty && this->random.one_in(20u) ? 8000u : 30u;
            const auto there = this->now + std::chrono::milliseconds{this->random.below(slow)};
            const auto back = there + std::chrono::milliseconds{this->random.below(slow)};
            this->operations.push_back(
                {shared, std::move(action), this->now, there, back, false, faulty && this->random.one_in(15u), {}});
        }
    }

    void deliver() {
        // Operations reach the object in the order of their arrival, and the answers come back in any order.
        std::stable_sort(this->operations.begin(), this->operations.end(),
            [](const pending& left, const pending& right) { return left.at_store < right.at_store; });
        for(auto& operation : this->operations) {
            if(!operation.applied && operation.at_store <= this->now) {
                operation.applied = true;
                this->apply(operation);
            }
        }
        auto waiting = std::exchange(this->operations, {});
        for(auto& operation : waiting) {
            auto& from = *operation.from;
            if(!from.alive && operation.applied) {
                continue;
            }
            if(!operation.applied || operation.at_node > this->now || this->now < from.paused_until) {
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

    void apply(pending& operation) {
        const auto up = operation.at_store >= this->down_until;
        if(const auto* read = std::get_if<read_object>(&operation.action)) {
            read_result result{read->operation, read_status::failed, operation.began, this->version, {}};
            if(up) {
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
        if(up && write.expected_version != this->version) {
            result.status = write_status::conflict;
        } else if(up) {
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
                    "fencing token of " + name + " did not grow at version " + std::to_string(this->version);
            }
            last = entry;
        }
    }

    void check() {
        for(const auto& [upstream, present] : this->upstreams) {
            std::set<std::uint64_t> tokens{};
            for(const auto& value : this->processes) {
                if(!value->alive || !value->node.may_evict(upstream.name, this->now)) {
                    continue;
                }
                if(!tokens.insert(*value->node.fencing_token(upstream.name)).second) {
                    this->failure = "two processes with one token on " + upstream.name;
                }
                // Orders stay valid for a while after they were given, even if their process was killed.
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
    core::time_point quiet_at;
    core::time_point down_until{};
    std::uint64_t version{};
    std::string body{};
    std::vector<std::shared_ptr<process>> processes{};
    std::vector<pending> operations{};
    std::vector<std::pair<owned_upstream, bool>> upstreams{
        {{"e1", false}, true}, {{"e2", false}, true}, {{"e3", false}, true}, {{"t1", true}, true}};
    std::map<std::string, assignment> last_entries{};
    std::map<std::string, std::map<node_id, core::time_point>> last_eviction{};
    std::string failure{};
};

} // namespace

// Guards against two nodes that evict on one upstream, tokens that revert, and upstreams that stay without owner.
TEST_CASE("ownership_random_interleavings_keep_invariants") {
    for(std::uint64_t seed{}; seed < seed_count(2000u); ++seed) {
        const auto failure = simulation{seed}.run();
        CHECK_MESSAGE(failure.empty(), "seed " << seed << ": " << failure);
    }
}

} // namespace lagoonsaddle::fleet
