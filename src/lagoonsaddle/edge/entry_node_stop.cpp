// The planned stop of an entry node.
#include <chrono>
#include <cstdint>

#include <boost/asio/co_spawn.hpp>

#include <lagoonsaddle/core/task.hpp>
#include <lagoonsaddle/edge/internal_entry_node.hpp>
#include <lagoonsaddle/edge/sleep.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

/*! @brief A stopping node accepts requests for this time: the load balancer needs two failed probes, 1 s apart. */
constexpr milliseconds traffic_drain_time{3'000};
/*! @brief The node exits this long before the end of the stop timeout, even with requests in progress. */
constexpr milliseconds exit_margin{400};
constexpr milliseconds stop_poll_interval{50};
/*! @brief Longest time that the end of a node waits until its leases are released; within `exit_margin`. */
constexpr milliseconds lease_release_max{200};
constexpr milliseconds lease_release_poll_interval{10};
/*! @brief Time after the stop signal from which requests that may outlast the process are refused. */
constexpr milliseconds long_request_refusal_delay{2'400};

} // namespace

asio::awaitable<void> entry_node::impl::stop() {
    const auto begin = this->context.clock.now();
    this->stopping = true;
    this->log.write(log_line{"stop"}.add("active", static_cast<std::int64_t>(this->caller_server.active_requests())));
    this->membership->announce_leaving();
    this->paths->begin_stop();
    this->caller_server.begin_drain();
    if(this->placement->has_successor()) {
        this->release_leases();
    }
    const auto limit = this->settings.stop_timeout - exit_margin;
    const stop_schedule schedule{.refuse_at = begin + long_request_refusal_delay, .exit_at = begin + limit};
    this->request_forwarder.begin_stop(schedule);
    while(true) {
        const auto now = this->context.clock.now();
        if((now - begin >= traffic_drain_time && this->is_idle()) || now >= schedule.exit_at) {
            break;
        }
        if(now >= schedule.answer_at()) {
            this->request_forwarder.end_unanswered_attempts();
        }
        co_await sleep_for(stop_poll_interval);
    }
    // Until the exit, no request may be read any more: it would be sent to an upstream and then be cut off.
    this->caller_server.close_idle_connections();
    this->relay_server.stop_accepting();
    co_await this->release_remaining_leases();
    while(!this->is_idle() && this->context.clock.now() - begin < limit) {
        co_await sleep_for(stop_poll_interval);
    }
    this->membership->stop();
    this->log.write(
        log_line{"stopped"}.add("active", static_cast<std::int64_t>(this->caller_server.active_requests())));
    this->context.log.flush();
}

bool entry_node::impl::is_idle() const {
    return this->caller_server.active_requests() == 0u && this->relay_server.active_connections() == 0u;
}

void entry_node::impl::release_leases() {
    asio::co_spawn(
        this->context.io, [placement = this->placement] { return placement->release_leases(); },
        core::task_end{"lease_release"});
}

asio::awaitable<void> entry_node::impl::release_remaining_leases() {
    const auto end = this->context.clock.now() + lease_release_max;
    if(this->placement->leases_held() > 0u) {
        this->release_leases();
    }
    while(this->placement->leases_held() > 0u && this->context.clock.now() < end) {
        co_await sleep_for(lease_release_poll_interval);
    }
}

} // namespace lagoonsaddle::edge
