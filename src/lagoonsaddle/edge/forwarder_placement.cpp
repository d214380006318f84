// Places requests for models on upstreams that hold their adapters, or will.
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include <lagoonsaddle/edge/internal_exchange.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

namespace {

using internal::send_margin;
using internal::to_ms;
using std::chrono::milliseconds;

/*! @brief Number of first placements that fail at once, instead of waiting, when all adapter slots are in use. */
constexpr unsigned placements_without_wait{2u};
/*! @brief Maximum wait for the load of an adapter; the rest of the time to the deadline is left for the run. */
constexpr milliseconds load_wait_max{1'800};
/*! @brief Delay of new loads in milliseconds below which an availability zone has room for further ones. */
constexpr double load_wait_min_ms{20.0};

/*! @brief Returns the time in milliseconds until the caller has to have the first event, or the whole response of a
 * route without streams; nothing when the route has no objective. */
[[nodiscard]] std::optional<std::uint64_t> time_to_objective(
    core::time_point received_at, milliseconds objective, core::time_point now) {
    if(objective.count() <= 0) {
        return std::nullopt;
    }
    return static_cast<std::uint64_t>(std::max<std::int64_t>(to_ms(received_at + objective - now).count(), 0));
}

} // namespace

asio::awaitable<std::optional<placed_request>> forwarder::place_request(
    exchange_state& state, const selection& choice, const std::set<std::string>& excluded) {
    if(state.metadata.model.empty()) {
        co_return placed_request{.upstream = choice.upstream};
    }
    const auto now = this->context.clock.now();
    const auto remaining = to_ms(state.deadline - now);
    const auto wait = std::min(load_wait_max, remaining * 6 / 10);
    const auto ticket = this->context.dispatch.next_ticket();
    // Named variables, because g++ 12 destroys aggregate temporaries of a co_await expression twice.
    wire::place_request request{.ticket = ticket,
        .service = state.service,
        .model = state.metadata.model,
        .adapter = state.metadata.adapter,
        .version_min = this->oldest_allowed_version(state),
        .prompt_tokens = state.metadata.prompt_tokens,
        .shared_prefix = state.metadata.shared_prefix,
        .shared_tokens = state.metadata.shared_tokens,
        .excluded = {excluded.begin(), excluded.end()},
        .timeout_ms = static_cast<std::uint64_t>(std::max<std::int64_t>(wait.count(), 1)),
        .lifetime_ms = static_cast<std::uint64_t>(std::max<std::int64_t>(remaining.count(), 1)),
        // Few upstreams can go on with a stream, so that it waits for a slot at the first one.
        .may_wait = state.placements > placements_without_wait || state.stream_version.has_value(),
        .software_version = state.stream_version,
        .priority = state.priority(),
        .objective_ms = time_to_objective(state.received_at, state.matched_route->latency_objective, now),
        .deadline_ms = static_cast<std::uint64_t>(std::max<std::int64_t>((remaining - send_margin).count(), 1)),
        .output_tokens = state.metadata.output_tokens};
    const auto begin = this->context.clock.now();
    auto local_choice = choice;
    auto placement = this->context.dispatch.place(std::move(request), std::move(local_choice));
    std::function<void(placement_result)> release = [dispatch = &this->context.dispatch](const placement_result& late) {
        if(late) {
            dispatch->record_end(*late);
        }
    };
    auto waited = co_await this->wait_until_send_limit(state, std::move(placement), std::move(release));
    const auto duration = this->context.clock.now() - begin;
    if(!waited) {
        this->context.dispatch.withdraw(ticket);
        state.attempt_trace += ";load@" + choice.upstream + ":withdrawn";
        co_return std::nullopt;
    }
    auto& placed = *waited;
    this->log_placement(state, choice, placed, duration);
    if(!placed) {
        state.attempt_trace += ";load@" + placed.error().upstream + ':';
        state.attempt_trace += core::to_string(placed.error().failure.cause);
        state.excluded.insert(placed.error().upstream);
        if(placed.error().unservable) {
            state.unservable = !this->leave_zone_for_room(state, placed.error().upstream);
        }
        state.last_failure = std::move(placed.error().failure);
        state.last_failure.verdict = state.verdict;
        co_return std::nullopt;
    }
    co_return std::move(*placed);
}

bool forwarder::leave_zone_for_room(exchange_state& state, const std::string& upstream) const {
    const auto* known = this->context.upstreams.find(upstream);
    if(known == nullptr || std::exchange(state.has_left_zone, true)) {
        return false;
    }
    const auto now = this->context.clock.now();
    const auto& zone = known->entry.availability_zone;
    std::set<std::string> delayed{};
    bool has_room{false};
    for(const auto* other : this->context.upstreams.accepting_requests(state.service)) {
        const auto& other_zone = other->entry.availability_zone;
        if(other_zone == zone) {
            delayed.insert(other->entry.id);
        } else {
            has_room = has_room || (this->context.placement.zone_can_load(other_zone) &&
                                       this->context.dispatch.zone_load_wait_ms(other_zone, now) < load_wait_min_ms);
        }
    }
    if(has_room) {
        state.excluded.merge(delayed);
    }
    return has_room;
}

} // namespace lagoonsaddle::edge
