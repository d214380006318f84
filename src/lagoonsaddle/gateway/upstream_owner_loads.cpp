// Orders to the engine to load and evict adapters.

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

#include <lagoonsaddle/gateway/internal_upstream_owner.hpp>

namespace lagoonsaddle::gateway {

namespace asio = boost::asio;
using namespace internal;
using std::chrono::milliseconds;

// Returns whether non-resident adapters with queued requests already need all loadable slots, so that a further adapter
// is declined. The mutex must be held.
bool upstream_owner::slots_exhausted(const core::adapter_version& adapter, core::time_point now) const {
    if(this->slots.state(adapter) != policy::slot_state::absent) {
        return false;
    }
    std::size_t non_resident{};
    for(const auto& demand : this->queue.demand()) {
        if(demand.adapter == adapter) {
            return false;
        }
        non_resident += this->slots.state(demand.adapter) == policy::slot_state::absent ? 1u : 0u;
    }
    return non_resident >= this->slots.loadable_slots(now);
}

// Selects the adapters with queued requests whose load can start now. The mutex must be held.
void upstream_owner::select_loads(std::vector<core::adapter_version>& selected) {
    const auto now = this->context.clock.now();
    for(const auto& demand : this->queue.demand()) {
        if(this->pending_loads.size() >= this->slots.slot_count()) {
            return;
        }
        if(this->slots.state(demand.adapter) != policy::slot_state::absent ||
            this->pending_loads.contains(demand.adapter)) {
            continue;
        }
        if(this->slots.plan_load(demand.adapter, now).action != policy::load_action::none) {
            this->pending_loads.insert(demand.adapter);
            selected.push_back(demand.adapter);
        }
    }
}

std::optional<load_demand> upstream_owner::find_load_demand(const core::adapter_version& adapter) const {
    const std::lock_guard lock{this->mutex};
    for(const auto& demand : this->queue.demand()) {
        if(demand.adapter == adapter) {
            return load_demand{.engine = this->description.name,
                .adapter = adapter,
                .waiting = demand.waiting,
                .nearest_deadline = demand.nearest_deadline};
        }
    }
    return std::nullopt;
}

asio::awaitable<void> upstream_owner::load_adapter(core::adapter_version adapter) {
    while(const auto demand = this->find_load_demand(adapter)) {
        auto permit = co_await this->context.permits.acquire(*demand, this->options.permit_timeout);
        if(!permit) {
            // Retry with the current demand, unless no requests for the adapter are queued any more.
            asio::steady_timer timer{co_await asio::this_coro::executor, default_retry_delay};
            boost::system::error_code ignored{};
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            if(this->stopped.load()) {
                break;
            }
            continue;
        }
        if(this->find_load_demand(adapter)) {
            co_await this->load_with_permit(adapter, *permit);
        }
        this->context.permits.release(*permit);
        break;
    }
    {
        const std::lock_guard lock{this->mutex};
        this->pending_loads.erase(adapter);
    }
    this->dispatch_queued();
}

asio::awaitable<bool> upstream_owner::reserve_slot(core::adapter_version adapter, granted_permit permit) {
    const auto& name = this->description.name;
    core::adapter_version victim{};
    upstream::order eviction{.kind = upstream::order_kind::evict_adapter, .validity = this->options.order_validity};
    {
        const std::lock_guard lock{this->mutex};
        const auto now = this->context.clock.now();
        this->slots.suspend_orders(!this->context.authority.may_load(name));
        const auto plan = this->slots.plan_load(adapter, now);
        if(plan.action == policy::load_action::use_free_slot) {
            co_return this->slots.load_started(adapter, now);
        }
        const auto token = this->context.authority.fencing_token(name);
        if(plan.action != policy::load_action::evict || !plan.victim || !token || permit.expires_at <= now ||
            !this->context.authority.may_evict(name) || !this->slots.eviction_started(*plan.victim, adapter, now)) {
            co_return false;
        }
        victim = *plan.victim;
        eviction.adapter = victim;
        eviction.fencing_token = *token;
    }
    const auto evicted = co_await this->engine.send_order(eviction, this->options.order_timeout);
    const std::lock_guard lock{this->mutex};
    if(!evicted) {
        LOG(WARNING) << "event=eviction_failed upstream=" << name << " adapter=" << core::to_string(victim)
                     << " error=" << evicted.error().message;
        this->slots.eviction_failed(victim);
        co_return false;
    }
    ++this->counts.evictions;
    co_return this->slots.eviction_finished(victim, this->context.clock.now()).has_value();
}

asio::awaitable<void> upstream_owner::load_with_permit(core::adapter_version adapter, granted_permit permit) {
    const auto& name = this->description.name;
    if(!co_await this->reserve_slot(adapter, permit)) {
        co_return;
    }
    const auto token = this->context.authority.fencing_token(name);
    if(!token || !this->context.authority.may_load(name)) {
        const std::lock_guard lock{this->mutex};
        this->slots.load_abandoned(adapter);
        co_return;
    }
    const upstream::order order{.kind = upstream::order_kind::load_adapter,
        .adapter = adapter,
        .fencing_token = *token,
        .validity = this->options.order_validity};
    const auto loaded = co_await this->engine.send_order(order, this->options.order_timeout);
    std::vector<resolution> resolutions{};
    {
        const std::lock_guard lock{this->mutex};
        const auto now = this->context.clock.now();
        if(loaded) {
            ++this->counts.loads;
            this->slots.load_finished(adapter, now);
        } else if(loaded.error().cause == core::reason::adapter_load_failed) {
            ++this->counts.load_failures;
            const auto backoff_until = this->slots.load_failed(adapter, now);
            const auto retry_after = time_left(backoff_until, now);
            for(const auto& waiting : this->queue.remove_adapter(adapter)) {
                this->remove_queued(resolutions, waiting.id,
                    make_error(core::reason::adapter_load_failed, core::verdict::not_run,
                        "loading " + core::to_string(adapter) + " on " + name + " failed: " + loaded.error().message,
                        retry_after));
            }
        } else {
            this->slots.load_abandoned(adapter);
        }
    }
    if(!loaded) {
        this->context.observer.on_event("load_failed", name + " " + core::to_string(adapter), loaded.error().message);
        LOG(WARNING) << "event=load_failed upstream=" << name << " adapter=" << core::to_string(adapter)
                     << " reason=" << core::to_string(loaded.error().cause) << " error=" << loaded.error().message;
    }
    resolve(resolutions);
}

} // namespace lagoonsaddle::gateway
