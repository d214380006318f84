// Opens exchanges with upstreams, on the path of this node or through a peer.
#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include <lagoonsaddle/edge/internal_exchange.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

using internal::to_ms;
using std::chrono::milliseconds;

namespace {

/*! @brief Time beyond the deadline in which the response that an upstream sends at the deadline may arrive. */
constexpr milliseconds deadline_margin{60};
/*! @brief Maximum idle time of a connection that is reused for a request that must not run twice. */
constexpr milliseconds reuse_within_once{8'000};
/*! @brief Maximum idle time of a connection that is reused for a request that may be repeated. */
constexpr milliseconds reuse_within_repeatable{10'000};
/*! @brief Priority 0 of a route on the urgency scale of the upstreams, on which 5 is the default. */
constexpr unsigned urgency_base{3u};
constexpr unsigned urgency_max{9u};
/*! @brief Number of peers that are asked to relay one attempt. */
constexpr unsigned relays_tried_max{2u};

} // namespace

http::request forwarder::make_upstream_request(const exchange_state& state, const std::string& upstream) const {
    forwarding_metadata added{
        .deadline = to_ms(state.deadline - this->context.clock.now()), .expected_upstream = upstream};
    added.urgency = std::min(urgency_base + state.priority(), urgency_max);
    if(state.config->tenants) {
        added.tenant.emplace(state.sender == nullptr ? std::string{} : state.sender->name);
    }
    added.resume_after = state.splitter.event_count() > 0u ? last_event_id(state) : state.metadata.last_event_id;
    return this->context.format.make_upstream_request(state.request, added);
}

http::exchange_options forwarder::make_exchange_options(const exchange_state& state) const {
    http::exchange_options options{};
    options.timeout = to_ms(state.deadline - this->context.clock.now()) + deadline_margin;
    options.reuse_within = state.repeatable() ? reuse_within_repeatable : reuse_within_once;
    options.resend_safe = false;
    options.keep_host = true;
    options.control = state.control;
    options.accepts = [this, id = state.metadata.id](unsigned status, const http::fields& headers) {
        const auto head = this->context.format.parse_response_head(status, headers);
        return head.request_id == id || (head.request_id.empty() && head.not_run);
    };
    return options;
}

asio::awaitable<core::result<std::unique_ptr<http::response_stream>>> forwarder::open_exchange(
    exchange_state& state, std::string upstream) {
    // A copy, because the upstream may be removed meanwhile.
    const auto entry = this->context.upstreams.find(upstream)->entry;
    state.sent_to = entry.address;
    auto opened = co_await this->open_directly(state, entry);
    const bool not_sent = !opened && opened.error().verdict == core::verdict::not_run;
    if(!not_sent || state.control->cancelled()) {
        co_return opened;
    }
    if(co_await this->context.paths.reaches_upstreams(std::move(upstream))) {
        co_return opened;
    }
    co_return co_await this->open_through_peer(state, entry);
}

asio::awaitable<core::result<std::unique_ptr<http::response_stream>>> forwarder::open_directly(
    exchange_state& state, const upstream_entry& upstream) {
    auto options = this->make_exchange_options(state);
    options.reuse_within = this->context.paths.reuse_limit(options.reuse_within);
    if(state.refused_at.contains(upstream.address)) {
        // On the connection of the refusal, a second copy of it could not be told from an answer to this send.
        options.reuse_within = milliseconds{0};
    }
    options.reuse_only = this->context.paths.partitioned();
    const bool may_repeat = state.repeatable() && state.possible_runs + 1u < state.matched_route->attempts_max;
    state.relayed.reset();
    state.direct = this->context.paths.begin_direct(upstream.id, may_repeat ? state.control : nullptr);
    this->log_send(state, upstream.id);
    auto address = upstream.address;
    auto request = this->make_upstream_request(state, upstream.id);
    auto opened = co_await this->context.client.open(std::move(address), std::move(request), std::move(options));
    if(!opened) {
        state.direct.reset();
    }
    co_return opened;
}

asio::awaitable<core::result<std::unique_ptr<http::response_stream>>> forwarder::open_through_peer(
    exchange_state& state, const upstream_entry& upstream) {
    core::result<std::unique_ptr<http::response_stream>> opened{core::fail(
        core::reason::unavailable, "this node is partitioned from the upstreams, and no peer relays the request")};
    std::set<std::string> tried{};
    while(tried.size() < relays_tried_max && !state.control->cancelled()) {
        auto options = this->make_exchange_options(state);
        state.relayed = this->context.paths.choose_relay(upstream, tried, options.timeout, state.control);
        if(!state.relayed) {
            break;
        }
        tried.insert(state.relayed->peer());
        options.via = state.relayed->connector();
        this->log_send(state, upstream.id);
        auto address = upstream.address;
        auto request = this->make_upstream_request(state, upstream.id);
        opened = co_await this->context.client.open(std::move(address), std::move(request), std::move(options));
        if(opened || opened.error().verdict != core::verdict::not_run) {
            break;
        }
        state.attempt_trace += ";relay@" + state.relayed->peer() + ':';
        state.attempt_trace += core::to_string(opened.error().cause);
    }
    co_return opened;
}

asio::awaitable<void> forwarder::review_path(
    exchange_state& state, const std::string& upstream, const core::error& failure) {
    const bool may_be_path =
        failure.cause == core::reason::connection_lost || failure.cause == core::reason::connection_refused;
    state.path_lost = false;
    if(state.relayed || !may_be_path || state.caller_disconnected || (state.control && state.control->cancelled())) {
        co_return;
    }
    auto suspect = upstream;
    auto check = this->context.paths.reaches_upstreams(std::move(suspect));
    // The attempt may have run the request already, although that is recorded only after this.
    interruptible_waits::condition has_to_end = [this, &state] {
        return this->stopping && this->context.clock.now() >= this->stopping->send_limit(state.deadline, true);
    };
    const auto reached = co_await this->waits.wait(std::move(check), std::move(has_to_end));
    // A path that could not be checked is no evidence against the upstream.
    state.path_lost = !reached.value_or(false);
}

} // namespace lagoonsaddle::edge
