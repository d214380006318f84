// Polling of engine reports, reports to entry nodes, and the state dump.

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

namespace {

constexpr unsigned failed_reports_until_unhealthy{2u};

} // namespace

asio::awaitable<void> upstream_owner::poll_report() {
    const auto report = co_await this->engine.fetch_report(this->options.report_timeout);
    bool became_unhealthy{false};
    {
        const std::lock_guard lock{this->mutex};
        this->polling = false;
        const auto now = this->context.clock.now();
        if(!report) {
            ++this->failed_reports;
            const bool refused = report.error().cause == core::reason::connection_refused;
            became_unhealthy = this->healthy && (refused || this->failed_reports >= failed_reports_until_unhealthy);
            this->healthy = this->healthy && !became_unhealthy;
        } else {
            this->failed_reports = 0u;
            if(!this->healthy) {
                LOG(INFO) << "event=upstream_healthy upstream=" << this->description.name;
                this->context.observer.on_event("upstream_healthy", this->description.name, "it responds again");
            }
            this->healthy = true;
            this->boot_id = report->boot_id;
            this->batch_limit = std::max<std::size_t>(report->batch_limit, 1u);
            this->batch_fill = report->batch_fill;
            std::vector<policy::reported_adapter> resident{};
            for(const auto& adapter : report->resident) {
                resident.push_back(
                    policy::reported_adapter{.adapter = adapter.adapter, .in_flight = adapter.in_flight});
            }
            const policy::slots_report slots_state{.boot_id = report->boot_id,
                .slots = report->slots,
                .resident = resident,
                .loading = report->loading,
                .observed_at = now - report->age};
            if(this->slots.apply_report(slots_state, now).restarted) {
                LOG(WARNING) << "event=upstream_restarted upstream=" << this->description.name
                             << " boot_id=" << report->boot_id;
            }
        }
    }
    if(became_unhealthy) {
        this->context.observer.on_event("upstream_unhealthy", this->description.name, report.error().message);
        LOG(WARNING) << "event=upstream_unhealthy upstream=" << this->description.name
                     << " error=" << report.error().message;
        this->fail_queued(make_error(core::reason::unavailable, core::verdict::not_run,
            "upstream " + this->description.name + " does not respond", unavailable_retry_delay));
        this->publish_report();
    }
}

// The mutex must be held.
wire::upstream_report upstream_owner::make_report() {
    const auto now = this->context.clock.now();
    wire::upstream_report report{.upstream = this->description.name,
        .fencing_token = this->fencing_token,
        .sequence = ++this->last_sequence,
        .healthy = this->healthy,
        .leaving = this->leaving,
        .queued = this->queue.size(),
        .running = this->running.size(),
        .batch_limit = this->batch_limit,
        .batch_fill = this->batch_fill,
        .service_us = to_microseconds(this->service_time),
        .free_slots = this->slots.free_slot_count(),
        .victim_rate = this->slots.victim_rate(now)};
    for(const auto& entry : this->slots.entries(now)) {
        if(entry.state == policy::slot_state::resident) {
            report.resident.push_back(core::to_string(entry.adapter));
            report.evictable_slots += entry.pinned ? 0u : 1u;
        }
    }
    std::sort(report.resident.begin(), report.resident.end());
    for(const auto& adapter : this->pending_loads) {
        report.loading.push_back(core::to_string(adapter));
    }
    return report;
}

// Passes a report to this node. Also sends it to the other nodes if state that routing depends on changed, or if the
// interval for load changes or for repeated reports has passed.
void upstream_owner::publish_report() {
    wire::upstream_report report{};
    bool broadcast{};
    {
        const std::lock_guard lock{this->mutex};
        if(this->fencing_token == 0u || this->retired) {
            return;
        }
        report = this->make_report();
        const auto now = this->context.clock.now();
        const auto& last = this->last_broadcast;
        const auto age = now - this->last_broadcast_at;
        const bool state_changed = report.fencing_token != last.fencing_token || report.healthy != last.healthy ||
                                   report.leaving != last.leaving || report.resident != last.resident;
        const bool load_changed =
            report.queued != last.queued || report.running != last.running || report.loading != last.loading;
        broadcast = state_changed || (load_changed && age >= this->options.load_report_interval) ||
                    age >= this->options.repeated_report_interval;
        if(broadcast) {
            this->last_broadcast = report;
            this->last_broadcast_at = now;
        }
    }
    this->on_report(report, broadcast);
}

nlohmann::json upstream_owner::state_json() const {
    const std::lock_guard lock{this->mutex};
    nlohmann::json state = nlohmann::json::object();
    state["upstream"] = this->description.name;
    state["availability_zone"] = this->description.availability_zone;
    state["fencing_token"] = this->fencing_token;
    state["healthy"] = this->healthy;
    state["leaving"] = this->leaving;
    state["queued"] = this->queue.size();
    state["running"] = this->running.size();
    state["batch_limit"] = this->batch_limit;
    state["batch_fill"] = this->batch_fill;
    state["boot_id"] = this->boot_id;
    state["service_time_us"] = to_microseconds(this->service_time);
    state["slots"] = this->slots.slot_count();
    state["adapters"] = nlohmann::json::array();
    for(const auto& entry : this->slots.entries(this->context.clock.now())) {
        nlohmann::json adapter = nlohmann::json::object();
        adapter["adapter"] = core::to_string(entry.adapter);
        adapter["state"] = static_cast<int>(entry.state);
        adapter["queued"] = entry.queued;
        adapter["in_flight"] = entry.in_flight;
        adapter["pinned"] = entry.pinned;
        adapter["rate"] = entry.rate;
        state["adapters"].push_back(std::move(adapter));
    }
    state["counters"] = {{"admitted", this->counts.admitted}, {"refused", this->counts.refused},
        {"completed", this->counts.completed}, {"failed", this->counts.failed}, {"cancelled", this->counts.cancelled},
        {"resumed", this->counts.resumed}, {"crashes", this->counts.crashes}, {"loads", this->counts.loads},
        {"load_failures", this->counts.load_failures}, {"evictions", this->counts.evictions},
        {"wrong_adapter", this->counts.wrong_adapter}, {"not_resident", this->counts.not_resident},
        {"declined", this->counts.declined}};
    return state;
}

} // namespace lagoonsaddle::gateway
