// Orders to the engine: which adapters are loaded and evicted.

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

#include <lagoonsaddle/gateway/internal_owner.hpp>

namespace lagoonsaddle::gateway {

namespace asio = boost::asio;
using namespace internal;
using std::chrono::milliseconds;

// Says whether the cold adapters that wait already need all slots that can be used. The lock is held.
bool upstream_owner::slots_promised(const core::adapter_version& adapter, core::time_point now) const {
    if(this->slots.state(adapter) != policy::slot_state::absent) {
        return false;
    }
    std::size_t cold{};
    for(const auto& demand : this->queue.demand()) {
        if(demand.adapter == adapter) {
            return false;
        }
        cold += this->slots.state(demand.adapter) == policy::slot_state::absent ? 1u : 0u;
    }
    return cold >= this->slots.loadable_slots(now);
}

// Chooses the adapters whose loads are wanted and possible now. The lock is held.
void upstream_owner::start_loads(std::vector<core::adapter_version>& wanted) {
    const auto now = this->shared.clock.now();
    for(const auto& demand : this->queue.demand()) {
        if(this->seeking.size() >= this->slots.slot_count()) {
            return;
        }
        if(this->slots.state(demand.adapter) != policy::slot_state::absent || this->seeking.contains(demand.adapter)) {
            continue;
        }
        if(this->slots.plan_load(demand.adapter, now).action != policy::load_action::none) {
            this->seeking.insert(demand.adapter);
            wanted.push_back(demand.adapter);
        }
    }
}

std::optional<load_need> upstream_owner::need_of(const core::adapter_version& adapter) const {
    const std::lock_guard lock{this->mutex};
    for(const auto& demand : this->queue.demand()) {
        if(demand.adapter == adapter) {
            return load_need{.engine = this->description.name,
                .adapter = adapter,
                .waiting = demand.waiting,
                .nearest_deadline = demand.nearest_deadline};
        }
    }
    return std::nullopt;
}

asio::awaitable<void> upstream_owner::load(core::adapter_version adapter) {
    while(const auto need = this->need_of(adapter)) {
        auto grant = co_await this->shared.permits.acquire(*need, this->options.permit_timeout);
        if(!grant) {
            // Asked again with the current numbers, unless the requests have left meanwhile.
            asio::steady_timer timer{co_await asio::this_coro::executor, retry_after_draining};
            boost::system::error_code ignored{};
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            if(this->stopped.load()) {
                break;
            }
            continue;
        }
        if(this->need_of(adapter)) {
            co_await this->load_with_permit(adapter, *grant);
        }
        this->shared.permits.release(*grant);
        break;
    }
    {
        const std::lock_guard lock{this->mutex};
        this->seeking.erase(adapter);
    }
    this->pump();
}

asio::awaitable<bool> upstream_owner::make_room(core::adapter_version adapter, load_grant grant) {
    const auto& name = this->description.name;
    core::adapter_version victim{};
    upstream::order eviction{.kind = upstream::order_kind::evict_adapter, .validity = this->options.order_validity};
    {
        const std::lock_guard lock{this->mutex};
        const auto now = this->shared.clock.now();
        this->slots.suspend_orders(!this->shared.authority.may_load(name));
        const auto plan = this->slots.plan_load(adapter, now);
        if(plan.action == policy::load_action::use_free_slot) {
            co_return this->slots.load_started(adapter, now);
        }
        const auto token = this->shared.authority.fencing_token(name);
        if(plan.action != policy::load_action::evict || !plan.victim || !token || grant.expires_at <= now ||
            !this->shared.authority.may_evict(name) || !this->slots.eviction_started(*plan.victim, adapter, now)) {
            co_return false;
        }
        victim = *plan.victim;
        eviction.adapter = victim;
        eviction.fencing_token = *token;
    }
    const auto evicted = co_await this->engine.give(eviction, this->options.order_timeout);
    const std::lock_guard lock{this->mutex};
    if(!evicted) {
        LOG(WARNING) << "event=eviction_failed upstream=" << name << " adapter=" << core::to_string(victim)
                     << " error=" << evicted.error().message;
        this->slots.eviction_failed(victim);
        co_return false;
    }
    ++this->counted.evictions;
    co_return this->slots.eviction_finished(victim, this->shared.clock.now()).has_value();
}

asio::awaitable<void> upstream_owner::load_with_permit(core::adapter_version adapter, load_grant grant) {
    const auto& name = this->description.name;
    if(!co_await this->make_room(adapter, grant)) {
        co_return;
    }
    const auto token = this->shared.authority.fencing_token(name);
    if(!token || !this->shared.authority.may_load(name)) {
        const std::lock_guard lock{this->mutex};
        this->slots.load_abandoned(adapter);
        co_return;
    }
    const upstream::order order{.kind = upstream::order_kind::load_adapter,
        .adapter = adapter,
        .fencing_token = *token,
        .validity = this->options.order_validity};
    const auto loaded = co_await this->engine.give(order, this->options.order_timeout);
    std::vector<resolution> resolutions{};
    {
        const std::lock_guard lock{this->mutex};
        const auto now = this->shared.clock.now();
        if(loaded) {
            ++this->counted.loads;
            this->slots.load_finished(adapter, now);
        } else if(loaded.error().cause == core::reason::adapter_load_failed) {
            ++this->counted.load_failures;
            const auto until = this->slots.load_failed(adapter, now);
            const auto wait = time_left(until, now);
            for(const auto& waiting : this->queue.remove_adapter(adapter)) {
                this->collect(resolutions, waiting.id,
                    make_error(core::reason::adapter_load_failed, core::verdict::not_run,
                        "loading " + core::to_string(adapter) + " on " + name + " failed: " + loaded.error().message,
                        wait));
            }
        } else {
            this->slots.load_abandoned(adapter);
        }
    }
    if(!loaded) {
        this->shared.observer.on_event("load_failed", name + " " + core::to_string(adapter), loaded.error().message);
        LOG(WARNING) << "event=load_failed upstream=" << name << " adapter=" << core::to_string(adapter)
                     << " reason=" << core::to_string(loaded.error().cause) << " error=" << loaded.error().message;
    }
    resolve(resolutions);
}

} // namespace lagoonsaddle::gateway
