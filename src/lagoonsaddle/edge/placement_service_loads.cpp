// Orders the loads that requests wait for, one upstream at a time.
#include <algorithm>
#include <optional>
#include <utility>

#include <boost/asio/this_coro.hpp>

#include <lagoonsaddle/edge/internal_placement.hpp>
#include <lagoonsaddle/edge/sleep.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

namespace {

/*! @brief Interval at which evictions in progress are checked and waiting requests check their deadline. */
constexpr std::chrono::milliseconds poll_interval{50};
/*! @brief Shortest time between two orders that confirm loads. */
constexpr std::chrono::milliseconds confirmation_interval_min{5};
constexpr std::chrono::milliseconds failed_order_delay{150};
constexpr std::chrono::milliseconds model_poll_interval{200};
/*! @brief Interval at which the order to load the base model is repeated, in case it was lost. */
constexpr std::chrono::milliseconds model_order_interval{1'000};
constexpr std::chrono::milliseconds idle_interval{1'000};

} // namespace

asio::awaitable<core::result<std::uint64_t>> placement_service::ensure_resident(adapter_request request) {
    const auto started = this->context.clock.now();
    const auto deadline = started + request.timeout;
    if(!this->orders_loads_of(request.upstream)) {
        co_return core::fail(core::reason::lease_expired, "this node does not order loads of the upstream");
    }
    const auto worker = this->load_worker_of(request.upstream);
    if(worker->scheduler.add_waiter(request.model, request.adapter, request.version_min, started)) {
        worker->wake_timer.cancel();
    }
    const auto result = co_await this->wait_until_resident(request, worker, deadline);
    worker->scheduler.remove_waiter(request.model, request.adapter);
    co_return result;
}

asio::awaitable<core::result<std::uint64_t>> placement_service::wait_until_resident(
    const adapter_request& request, std::shared_ptr<load_worker> worker, core::time_point deadline) {
    admission_ticket ticket{};
    auto notice_due = this->context.clock.now() + request.timeout / 2;
    while(true) {
        const auto now = this->context.clock.now();
        // Newer versions may have been announced since the request was made.
        const auto version_min = std::max(
            request.version_min, this->oldest_allowed_version(request.model, request.adapter, replaced_version_grace));
        if(const auto version = worker->scheduler.resident_version(request.model, request.adapter);
            version && *version >= version_min) {
            co_return *version;
        }
        if(!this->orders_loads_of(request.upstream)) {
            co_return core::fail(core::reason::lease_expired, "the upstream or the lease was lost");
        }
        if(!ticket.is_set()) {
            if(auto admitted = this->admit(ticket, request); !admitted) {
                co_return tl::make_unexpected(std::move(admitted.error()));
            }
        }
        if(auto failure = this->review_wait(request, *worker, ticket, deadline)) {
            co_return tl::make_unexpected(std::move(*failure));
        }
        if(worker->scheduler.is_refused(request.model, request.adapter, now)) {
            co_return core::fail(core::reason::adapter_not_resident, "the upstream does not know the adapter");
        }
        if(!request.may_wait && !worker->scheduler.has_adapter_slot(request.model, request.adapter, now)) {
            co_return core::fail(core::reason::overloaded, "all adapter slots of the upstream are in use");
        }
        if(now >= notice_due && request.on_waiting) {
            request.on_waiting();
            notice_due = now + request.timeout / 2;
        }
        // Even without a change, the deadline and the lease are checked again after the interval.
        asio::steady_timer poll_timer{co_await asio::this_coro::executor, poll_interval};
        poll_timer.async_wait([worker](const boost::system::error_code& failure) {
            if(!failure) {
                worker->change_timer.cancel();
            }
        });
        co_await wait_for(worker->change_timer);
    }
}

void placement_service::record_answer(load_worker& worker, bool answered) const {
    if(answered) {
        worker.silent_since.reset();
    } else if(!worker.silent_since) {
        worker.silent_since = this->context.clock.now();
    }
}

asio::awaitable<void> placement_service::wait_for_wake(load_worker& worker, core::duration timeout) {
    worker.wake_timer.expires_after(timeout);
    co_await wait_for(worker.wake_timer);
}

asio::awaitable<bool> placement_service::synchronize(const std::string& upstream, load_worker& worker) {
    const auto* known = this->context.upstreams.find(upstream);
    if(known == nullptr) {
        co_return false;
    }
    const auto orders_expected = worker.scheduler.orders_accepted();
    const auto report_requested_at = this->context.clock.now();
    const auto report = co_await this->context.control.fetch_report(known->entry.address);
    worker.report_requested_at = report_requested_at;
    this->record_answer(worker, report.has_value());
    const bool applied =
        report && worker.scheduler.synchronize(*report, report_requested_at, this->context.clock.now());
    // An upstream counts its orders from its start.
    if(applied && report->orders_accepted < orders_expected) {
        this->context.upstreams.suspect_restart(upstream, this->context.clock.now());
        this->context.log.write(log_line{"restart_suspected"}.add("upstream", upstream).add("source", "report"));
    }
    if(const auto admission = applied ? this->admission_of_upstream(upstream) : nullptr) {
        admission->synchronize(upstream, worker.scheduler.loads_in_progress(), this->context.clock.now());
        this->wake_ready_workers(*admission);
    }
    worker.change_timer.cancel();
    co_return applied;
}

asio::awaitable<bool> placement_service::load_missing_model(const std::string& upstream, load_worker& worker) {
    const auto* upstream_service = this->service_of(upstream);
    const auto* known = this->context.upstreams.find(upstream);
    if(upstream_service == nullptr || known == nullptr || upstream_service->models.empty()) {
        co_return false;
    }
    const auto& model = upstream_service->models.front();
    auto& loading_upstream = this->model_loading_upstreams[known->entry.availability_zone];
    if(worker.scheduler.holds_model(model)) {
        if(loading_upstream == upstream) {
            loading_upstream.clear();
        }
        co_return false;
    }
    // Concurrent loads of base models slow each other down: one at a time restores service soonest.
    if(loading_upstream.empty() || !this->orders_loads_of(loading_upstream)) {
        loading_upstream = upstream;
    }
    if(loading_upstream == upstream &&
        this->context.clock.now() >= worker.model_load_ordered_at + model_order_interval) {
        worker.model_load_ordered_at = this->context.clock.now();
        const slot_order order{.model = model};
        co_await this->send_order(upstream, worker, order);
    }
    co_await this->wait_for_wake(worker, model_poll_interval);
    co_await this->synchronize(upstream, worker);
    co_return true;
}

asio::awaitable<void> placement_service::send_order(
    const std::string& upstream, load_worker& worker, const slot_order& order) {
    const auto* known = this->context.upstreams.find(upstream);
    if(known == nullptr) {
        co_return;
    }
    auto& lease = this->lease_of(known->entry.availability_zone);
    if(!lease.may_order_loads(this->context.clock.now())) {
        // The lease was lost while the caller waited: the order would carry the token of its new holder.
        worker.scheduler.invalidate();
        this->record_load_outcome(upstream, order, order_outcome::stale_token);
        co_return;
    }
    const auto fencing_token = lease.current()->lease.fencing_token;
    upstream_order message{.address = known->entry.address,
        .upstream = upstream,
        .load = order.load,
        .model = order.model,
        .adapter = order.adapter,
        .version = order.version,
        .expected_orders = worker.scheduler.orders_accepted(),
        .holder = this->settings.node_name,
        .fencing_token = fencing_token};
    const auto outcome = co_await this->context.control.send_order(std::move(message));
    const auto now = this->context.clock.now();
    log_line line{"order"};
    line.add("upstream", upstream)
        .add("operation", order.load ? "load" : "unload")
        .add("adapter", adapter_key(order.model, order.adapter))
        .add("orders", static_cast<std::int64_t>(worker.scheduler.orders_accepted()))
        .add("token", static_cast<std::int64_t>(fencing_token))
        .add("outcome", outcome ? to_string(*outcome) : core::to_string(outcome.error().cause));
    this->context.log.write(line);
    this->record_answer(worker, outcome.has_value());
    if(!outcome) {
        worker.scheduler.invalidate();
        worker.change_timer.cancel();
        co_await this->wait_for_wake(worker, failed_order_delay);
        co_return;
    }
    if(*outcome == order_outcome::stale_token) {
        lease.superseded();
    }
    if(order.adapter.empty()) {
        // The next report shows the base model.
        worker.scheduler.invalidate();
        co_return;
    }
    worker.scheduler.record_outcome(order, *outcome, now);
    this->record_load_outcome(upstream, order, *outcome);
    worker.change_timer.cancel();
    if(order.load && *outcome == order_outcome::done) {
        const auto version = worker.scheduler.resident_version(order.model, order.adapter).value_or(0u);
        this->context.upstreams.observe_adapter(upstream, order.model, order.adapter, true, version, now);
    }
    if(!order.load && (*outcome == order_outcome::accepted || *outcome == order_outcome::done)) {
        this->context.upstreams.observe_adapter(upstream, order.model, order.adapter, false, 0u, now);
    }
}

asio::awaitable<void> placement_service::run_load_worker(std::string upstream) {
    const auto worker = this->load_workers.at(upstream);
    while(this->orders_loads_of(upstream)) {
        const auto* known = this->context.upstreams.find(upstream);
        if(known->entry.started_ms != worker->started_ms) {
            break;
        }
        if(!this->lease_of(known->entry.availability_zone).may_order_loads(this->context.clock.now())) {
            co_await this->wait_for_wake(*worker, lease_check_interval);
            continue;
        }
        if(!worker->scheduler.synchronized() && !co_await this->synchronize(upstream, *worker)) {
            co_await this->wait_for_wake(*worker, failed_order_delay);
            continue;
        }
        if(co_await this->load_missing_model(upstream, *worker) || !this->orders_loads_of(upstream)) {
            continue;
        }
        const auto now = this->context.clock.now();
        if(const auto order = this->next_order(upstream, *worker)) {
            co_await this->send_order(upstream, *worker, *order);
        } else if(const auto confirm_at = worker->scheduler.next_confirmation()) {
            co_await this->wait_for_wake(
                *worker, std::max<core::duration>(*confirm_at - now, confirmation_interval_min));
        } else if(worker->scheduler.eviction_in_progress()) {
            co_await this->wait_for_wake(*worker, poll_interval);
            co_await this->synchronize(upstream, *worker);
        } else {
            co_await this->wait_for_wake(*worker, worker->scheduler.has_waiters() ? poll_interval * 2 : idle_interval);
        }
    }
    this->load_workers.erase(upstream);
    for(const auto& [zone, admission] : this->admissions) {
        admission->remove_upstream(upstream);
    }
    if(this->orders_loads_of(upstream)) {
        static_cast<void>(this->load_worker_of(upstream));
    }
}

} // namespace lagoonsaddle::edge
