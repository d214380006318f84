#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "fleet.hpp"
#include <lagoonsaddle/policy/adapter_slots.hpp>
#include <lagoonsaddle/policy/admission_queue.hpp>
#include <lagoonsaddle/policy/load_scheduler.hpp>
#include <lagoonsaddle/policy/router.hpp>

namespace lagoonsaddle::bench {

namespace {

using namespace std::chrono_literals;

/*! @brief Interval of reports, which is also their lag. */
constexpr core::duration report_interval = 250ms;
/*! @brief Entry nodes. Each one knows only of the requests that it sent itself. */
constexpr std::size_t entry_nodes = 6u;
/*! @brief Upstreams that are tried for one request before it is refused. */
constexpr std::size_t attempts_max = 3u;

/*! @brief The decision classes as a node uses them, with lagging reports. */
class policy_strategy final : public strategy {
public:
    explicit policy_strategy(fleet& target)
        : target{target},
          input{target.input()},
          size{input.target},
          places(input.requests.size()),
          routes{{.stall_weight = size.stall_weight,
              .batch_weight = size.batch_weight,
              .load_time = size.load_time,
              .preferred_upstreams = size.preferred_upstreams,
              .candidates_max = attempts_max}},
          order{{.concurrent_permits = 1u,
              .grants_per_second = size.loads_per_second,
              .default_load_time = size.load_time}} {
        for(std::size_t index{}; index < this->size.engines; ++index) {
            const auto name = "engine-" + std::to_string(index);
            this->engines.push_back({.name = name,
                .index = index,
                .slots =
                    policy::adapter_slots{{.slots = this->size.slots, .default_load_time = this->size.load_time}}});
            this->index_of.emplace(name, index);
        }
        for(std::size_t index{}; index < this->input.adapters.size(); ++index) {
            this->adapter_index.emplace(this->input.adapters[index].adapter, index);
        }
        this->entries.resize(entry_nodes);
        this->candidates.resize(entry_nodes);
        for(std::size_t entry{}; entry < entry_nodes; ++entry) {
            for(const auto& engine : this->engines) {
                this->entries[entry].emplace_back(engine.name, "zone-" + std::to_string(engine.index % 3u));
            }
            for(const auto& view : this->entries[entry]) {
                this->candidates[entry].push_back(&view);
            }
        }
        this->target.wake(core::time_point{});
    }

    [[nodiscard]] std::string name() const override {
        return "policy";
    }

    void arrived(std::size_t request, core::time_point now) override {
        this->route(request, {}, now);
        this->grant(now);
    }

    void finished(std::size_t engine, std::size_t request, core::time_point now) override {
        auto& state = this->engines[engine];
        state.slots.request_finished(this->adapter_of(request));
        this->view_of(request, engine).request_finished(this->places[request].ticket);
        this->advance(engine, now);
        this->grant(now);
    }

    void load_ended(std::size_t engine, std::size_t adapter, bool done, core::time_point now) override {
        auto& state = this->engines[engine];
        const auto& name = this->input.adapters[adapter];
        if(const auto permit = this->permits.find({engine, adapter}); permit != this->permits.end()) {
            this->order.release(permit->second, now);
            this->permits.erase(permit);
        }
        if(done) {
            state.slots.load_finished(name, now);
        } else if(state.slots.state(name) == policy::slot_state::loading) {
            state.slots.load_failed(name, now);
            for(const auto& queued : state.queue.remove_adapter(name)) {
                state.slots.request_dropped(name);
                this->view_of(queued.id, engine).request_finished(this->places[queued.id].ticket);
                this->route(queued.id, {state.name}, now);
            }
        }
        this->advance(engine, now);
        this->grant(now);
    }

    void restarted(std::size_t engine, const std::vector<std::size_t>& broken, core::time_point now) override {
        auto& state = this->engines[engine];
        state.slots.engine_restarted("boot-" + std::to_string(now.time_since_epoch().count()));
        for(const auto request : broken) {
            state.slots.request_finished(this->adapter_of(request));
            this->view_of(request, engine).request_finished(this->places[request].ticket);
            this->target.refuse(request);
        }
        this->advance(engine, now);
        this->grant(now);
    }

    void woken(core::time_point now) override {
        if(now >= this->next_report) {
            this->next_report = now + report_interval;
            this->target.wake(this->next_report);
            ++this->sequence;
            for(auto& engine : this->engines) {
                if(this->sequence > 1u) {
                    for(auto& views : this->entries) {
                        views[engine.index].apply_report(engine.next_report);
                    }
                }
                engine.next_report = this->report(engine, now);
            }
        }
        for(std::size_t engine{}; engine < this->engines.size(); ++engine) {
            this->advance(engine, now);
        }
        this->grant(now);
    }

private:
    struct engine_state {
        std::string name{};
        std::size_t index{};
        policy::adapter_slots slots{};
        policy::admission_queue queue{};
        policy::upstream_report next_report{};
        /*! @brief Adapters for which a load is requested. */
        std::set<core::adapter_version> wanted{};
    };

    struct place {
        std::uint64_t ticket{};
        std::size_t attempts{};
    };

    [[nodiscard]] policy::upstream_view& view_of(std::size_t request, std::size_t engine) {
        return this->entries[request % entry_nodes][engine];
    }

    [[nodiscard]] const core::adapter_version& adapter_of(std::size_t request) const {
        return this->input.adapters[this->input.requests[request].adapter];
    }

    [[nodiscard]] policy::upstream_report report(const engine_state& engine, core::time_point now) const {
        policy::upstream_report result{.sequence = this->sequence,
            .observed_at = now,
            .queued = engine.queue.size(),
            .running = engine.slots.in_flight_count(),
            .batch_limit = this->size.batch_limit,
            .batch_fill =
                static_cast<double>(engine.slots.in_flight_count()) / static_cast<double>(this->size.batch_limit),
            .service_time = this->size.service_time,
            .resident = engine.slots.resident_adapters(),
            .free_slots = engine.slots.free_slot_count(),
            .victim_rate = engine.slots.victim_rate(now)};
        for(const auto& entry : engine.slots.entries(now)) {
            if(entry.state == policy::slot_state::loading) {
                result.loading.push_back({.adapter = entry.adapter, .position = 0u});
            } else if(entry.state == policy::slot_state::resident && !entry.pinned) {
                ++result.evictable_slots;
            }
        }
        for(const auto& adapter : engine.wanted) {
            result.loading.push_back({.adapter = adapter, .position = this->order.waiting_count() / 2u});
        }
        return result;
    }

    void route(std::size_t request, std::vector<std::string> excluded, core::time_point now) {
        const auto& adapter = this->adapter_of(request);
        if(++this->places[request].attempts > attempts_max) {
            this->target.refuse(request);
            return;
        }
        const auto ranking = this->routes.rank({.adapter = adapter,
                                                   .zone = "zone-0",
                                                   .load_queue_length = this->order.waiting_count(),
                                                   .excluded = excluded},
            this->candidates[request % entry_nodes], now);
        // An owner whose slots are all promised declines at first; then the best candidate is asked again.
        for(const auto decline : {true, false}) {
            for(const auto& candidate : ranking.candidates) {
                if(!(decline && this->slots_promised(candidate.index, adapter, now)) &&
                    this->queue_at(candidate.index, request, now)) {
                    return;
                }
            }
        }
        this->target.refuse(request);
    }

    /*! @brief Says whether the cold adapters that wait on an engine already need all slots that can be used. */
    [[nodiscard]] bool slots_promised(
        std::size_t engine, const core::adapter_version& adapter, core::time_point now) const {
        const auto& state = this->engines[engine];
        if(state.slots.state(adapter) == policy::slot_state::resident ||
            state.slots.state(adapter) == policy::slot_state::loading) {
            return false;
        }
        std::size_t cold{};
        for(const auto& demand : state.queue.demand()) {
            if(demand.adapter == adapter) {
                return false;
            }
            cold += state.slots.state(demand.adapter) == policy::slot_state::absent ? 1u : 0u;
        }
        return cold >= state.slots.loadable_slots(now);
    }

    [[nodiscard]] bool queue_at(std::size_t engine, std::size_t request, core::time_point now) {
        const auto& entry = this->input.requests[request];
        const auto& adapter = this->adapter_of(request);
        auto& state = this->engines[engine];
        const auto load_wait =
            state.slots.is_resident(adapter)
                ? core::duration{}
                : this->size.load_time * static_cast<core::duration::rep>(this->order.waiting_count() + 1u);
        const auto answer = state.queue.push({.id = request,
                                                 .adapter = adapter,
                                                 .caller = this->input.callers[entry.caller],
                                                 .priority = entry.priority,
                                                 .deadline = entry.deadline,
                                                 .service_time = this->size.service_time},
            load_wait, now);
        if(answer.displaced) {
            this->drop(engine, answer.displaced->request);
        }
        if(!answer.accepted()) {
            return false;
        }
        state.slots.request_queued(adapter, now);
        this->places[request].ticket = this->view_of(request, engine).request_sent(adapter, now);
        this->advance(engine, now);
        return true;
    }

    void drop(std::size_t engine, const policy::queued_request& request) {
        auto& state = this->engines[engine];
        state.slots.request_dropped(request.adapter);
        this->view_of(request.id, engine).request_finished(this->places[request.id].ticket);
        this->target.refuse(request.id);
    }

    void advance(std::size_t engine, core::time_point now) {
        auto& state = this->engines[engine];
        for(const auto& expired : state.queue.expire(now)) {
            this->drop(engine, expired.request);
        }
        const auto running = this->target.running(engine);
        for(const auto& request : state.queue.pop(
                this->size.batch_limit - running, running,
                [&state](const core::adapter_version& adapter) { return state.slots.is_resident(adapter); }, now)) {
            static_cast<void>(state.slots.request_dispatched(request.adapter));
            this->target.start(engine, request.id);
        }

        std::set<core::adapter_version> wanted{};
        for(const auto& demand : state.queue.demand()) {
            if(state.slots.plan_load(demand.adapter, now).action == policy::load_action::none) {
                continue;
            }
            wanted.insert(demand.adapter);
            this->order.request_load({.requester = "node",
                                         .engine = state.name,
                                         .adapter = demand.adapter,
                                         .waiting = demand.waiting,
                                         .nearest_deadline = demand.nearest_deadline},
                now);
        }
        for(const auto& adapter : state.wanted) {
            if(!wanted.contains(adapter)) {
                this->order.withdraw(state.name, adapter);
            }
        }
        state.wanted = std::move(wanted);
    }

    void grant(core::time_point now) {
        for(auto actions = this->order.poll(now);; actions = this->order.poll(now)) {
            for(const auto& permit : actions.granted) {
                const auto engine = this->index_of.at(permit.engine);
                auto& state = this->engines[engine];
                const auto plan = state.slots.plan_load(permit.adapter, now);
                auto started = false;
                if(plan.action == policy::load_action::evict) {
                    if(state.slots.eviction_started(*plan.victim, permit.adapter, now)) {
                        this->target.evict(engine, this->adapter_index.at(plan.victim->adapter));
                        started = state.slots.eviction_finished(*plan.victim, now).has_value();
                    }
                } else if(plan.action == policy::load_action::use_free_slot) {
                    started = state.slots.load_started(permit.adapter, now);
                }
                state.wanted.erase(permit.adapter);
                if(started) {
                    const auto adapter = this->adapter_index.at(permit.adapter.adapter);
                    this->permits[{engine, adapter}] = permit.id;
                    this->target.load(engine, adapter);
                } else {
                    this->order.release(permit.id, now);
                }
            }
            if(actions.granted.empty()) {
                if(actions.next_poll && *actions.next_poll > now && *actions.next_poll != this->next_poll) {
                    this->next_poll = *actions.next_poll;
                    this->target.wake(this->next_poll);
                }
                return;
            }
        }
    }

    fleet& target;
    const trace& input;
    const deployment& size;
    std::vector<place> places{};
    std::vector<engine_state> engines{};
    /*! @brief Views of all engines, by entry node. */
    std::vector<std::vector<policy::upstream_view>> entries{};
    std::vector<std::vector<const policy::upstream_view*>> candidates{};
    std::map<std::string, std::size_t> index_of{};
    std::map<std::string, std::size_t> adapter_index{};
    std::map<std::pair<std::size_t, std::size_t>, std::uint64_t> permits{};
    policy::router routes{};
    policy::load_scheduler order{};
    std::uint64_t sequence{};
    core::time_point next_report{};
    core::time_point next_poll{};
};

} // namespace

std::unique_ptr<strategy> make_policy(fleet& target) {
    return std::make_unique<policy_strategy>(target);
}

} // namespace lagoonsaddle::bench
