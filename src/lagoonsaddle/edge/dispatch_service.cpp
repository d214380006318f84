#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <lagoonsaddle/edge/dispatch_service.hpp>
#include <lagoonsaddle/wire/codec.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

/*! @brief Time for the holder's answer when the adapter is resident somewhere: the sender's own choice is next. */
constexpr milliseconds resident_timeout{250};
/*! @brief Time for the way to the holder and back, beyond the time that the request may wait for a load. */
constexpr milliseconds peer_margin{100};
/*! @brief Time for which a holder that did not answer is not asked again. */
constexpr milliseconds avoid_holder{500};
/*! @brief Notes about requests are collected for this time. */
constexpr milliseconds progress_interval{20};
constexpr milliseconds look_after_interval{100};
/*! @brief Memory of the delay that a holder reported. */
constexpr std::chrono::duration<double> delay_memory{1.0};
/*! @brief Life of a reservation beyond the request's time, should its sender never end it. */
constexpr milliseconds reservation_margin{2'000};
/*! @brief Upstreams that the holder tries for one request. */
constexpr unsigned tries_max{2u};

[[nodiscard]] asio::awaitable<void> sleep(milliseconds time) {
    asio::steady_timer timer{co_await asio::this_coro::executor, time};
    boost::system::error_code ignored{};
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace

dispatch_service::dispatch_service(dispatch_context uses, std::string name) : context{uses}, self{std::move(name)} {}

void dispatch_service::start() {
    asio::co_spawn(
        this->context.io, [self_kept = this->shared_from_this()] { return self_kept->look_after_reservations(); },
        asio::detached);
}

asio::awaitable<void> dispatch_service::look_after_reservations() {
    while(true) {
        co_await sleep(look_after_interval);
        this->ledger.remove_expired(this->context.time.now());
        for(const auto& [key, value] : this->ledger.all()) {
            this->context.placement.record_use(value.upstream, value.model, value.adapter);
        }
    }
}

upstream_selector& dispatch_service::selector_of(const std::string& zone) {
    return this->selectors.try_emplace(zone, upstream_selector_options{.availability_zone = zone}).first->second;
}

double dispatch_service::zone_delay_ms(std::string_view zone, core::time_point now) const {
    const auto found = this->zones.find(zone);
    if(found == this->zones.end()) {
        return 0.0;
    }
    const std::chrono::duration<double> age{now - found->second.delay_at};
    return found->second.delay_ms * std::exp(-(age / delay_memory));
}

asio::awaitable<core::result<wire::placement>> dispatch_service::ask(
    std::string holder, wire::place_request wanted, bool resident) {
    if(holder == this->self) {
        co_return co_await this->place_here(std::move(holder), std::move(wanted));
    }
    const auto peer = this->context.peers.find(holder);
    if(!peer) {
        co_return core::fail(core::reason::unavailable, "the node that orders loads is not live");
    }
    const auto timeout = resident ? resident_timeout : milliseconds{wanted.timeout_ms} + peer_margin;
    const auto reply = co_await peer->call(wire::message_type::place_request, wire::pack(wanted), timeout);
    if(!reply) {
        co_return core::fail(reply.error().cause, "the node that orders loads did not answer");
    }
    co_return wire::unpack<wire::placement>(reply->body);
}

void dispatch_service::learn(const std::string& zone, const wire::place_request& wanted, const wire::placement& reply) {
    const auto now = this->context.time.now();
    auto& state = this->zones[zone];
    state.delay_ms = static_cast<double>(reply.delay_ms);
    state.delay_at = now;
    if(!wanted.adapter.empty()) {
        this->context.upstreams.observe_adapter(reply.upstream, wanted.model, wanted.adapter, true, reply.version, now);
    }
}

asio::awaitable<tl::expected<dispatched, dispatch_failure>> dispatch_service::place(
    wire::place_request wanted, const selection& choice) {
    const auto* known = this->context.upstreams.find(choice.upstream);
    const auto zone = known == nullptr ? std::string{} : known->entry.availability_zone;
    const auto holder = this->context.placement.lease_holder(zone);
    const dispatched own{.upstream = choice.upstream, .cold_tokens = choice.cold_tokens};
    dispatch_failure failed{.failure = {.cause = core::reason::unavailable,
                                .message = "no live node orders loads in the availability zone"},
        .upstream = choice.upstream};
    if(holder && this->zones[zone].avoid_until <= this->context.time.now()) {
        wanted.zone = zone;
        wanted.ticket = ++this->last_ticket;
        const auto reply = co_await this->ask(*holder, wanted, choice.resident);
        if(reply && !reply->failure) {
            this->learn(zone, wanted, *reply);
            co_return dispatched{.upstream = reply->upstream,
                .cold_tokens = reply->cold_tokens,
                .holder = *holder,
                .ticket = wanted.ticket};
        }
        if(reply) {
            failed.failure = wire::from_wire(*reply->failure);
            failed.upstream = reply->upstream.empty() ? choice.upstream : reply->upstream;
        } else {
            failed.failure = reply.error();
            this->zones[zone].avoid_until = this->context.time.now() + avoid_holder;
            // The holder may have counted the request although its answer did not arrive.
            this->ended(dispatched{.holder = *holder, .ticket = wanted.ticket});
        }
    }
    if(choice.resident) {
        co_return own;
    }
    co_return tl::make_unexpected(std::move(failed));
}

std::optional<selection> dispatch_service::reserve(
    const reservation_table::key_type& key, const wire::place_request& wanted, const std::set<std::string>& excluded) {
    const auto now = this->context.time.now();
    selection_request needs{.service = wanted.service,
        .model = wanted.model,
        .adapter = wanted.adapter,
        .prompt_tokens = wanted.prompt_tokens,
        .shared_prefix = wanted.shared_prefix,
        .shared_tokens = wanted.shared_tokens,
        .version_min = wanted.version_min,
        .zone = wanted.zone,
        .excluded = &excluded,
        .reservations = &this->ledger};
    needs.has_adapter_slot = [this, &wanted](const std::string& upstream) {
        return this->context.placement.can_place(upstream, wanted.model, wanted.adapter);
    };
    auto choice = this->selector_of(wanted.zone).choose(this->context.upstreams, needs, now);
    if(choice) {
        this->ledger.reserve(key, reservation{.upstream = choice->upstream,
                                      .model = wanted.model,
                                      .adapter = wanted.adapter,
                                      .cold_tokens = choice->cold_tokens,
                                      .expires = now + milliseconds{wanted.lifetime_ms} + reservation_margin});
        this->context.placement.record_use(choice->upstream, wanted.model, wanted.adapter);
    }
    return choice;
}

asio::awaitable<wire::placement> dispatch_service::place_here(std::string node, wire::place_request wanted) {
    const auto begin = this->context.time.now();
    this->selector_of(wanted.zone).record_request(wanted.model, wanted.adapter, wanted.shared_prefix, begin);
    std::set<std::string> excluded{wanted.excluded.begin(), wanted.excluded.end()};
    const reservation_table::key_type key{std::move(node), wanted.ticket};
    wire::placement reply{};
    core::error failure{.cause = core::reason::lease_expired, .message = "this node does not order loads in the zone"};
    for(unsigned tries{}; tries < tries_max && this->context.placement.may_order_loads(wanted.zone); ++tries) {
        const auto choice = this->reserve(key, wanted, excluded);
        if(!choice) {
            failure = core::error{.cause = core::reason::unavailable, .message = "no upstream of the zone is left"};
            break;
        }
        reply.upstream = choice->upstream;
        reply.cold_tokens = choice->cold_tokens;
        reply.delay_ms = static_cast<std::uint64_t>(std::max(choice->mean_wait_ms, 0.0));
        if(wanted.adapter.empty()) {
            co_return reply;
        }
        const auto passed = std::chrono::duration_cast<milliseconds>(this->context.time.now() - begin);
        adapter_request load{.upstream = choice->upstream,
            .model = wanted.model,
            .adapter = wanted.adapter,
            .version_min = wanted.version_min,
            .timeout = std::max(milliseconds{wanted.timeout_ms} - passed, milliseconds{1}),
            .may_wait = wanted.may_wait};
        const auto version = co_await this->context.placement.ensure_resident(std::move(load));
        if(version) {
            reply.version = *version;
            co_return reply;
        }
        this->ledger.release(key);
        failure = version.error();
        excluded.insert(choice->upstream);
    }
    reply.failure = wire::to_wire(failure);
    co_return reply;
}

wire::request_progress& dispatch_service::notes_for(const std::string& holder) {
    const auto [found, added] = this->notes.try_emplace(holder);
    if(added) {
        asio::co_spawn(
            this->context.io,
            [self_kept = this->shared_from_this(), holder] { return self_kept->send_progress(holder); },
            asio::detached);
    }
    return found->second;
}

asio::awaitable<void> dispatch_service::send_progress(std::string holder) {
    co_await sleep(progress_interval);
    const auto found = this->notes.find(holder);
    auto body = wire::pack(found->second);
    this->notes.erase(found);
    // A note that is lost only lets a reservation live until it expires.
    if(const auto peer = this->context.peers.find(holder)) {
        co_await peer->notify(wire::message_type::request_progress, std::move(body));
    }
}

void dispatch_service::started(const dispatched& request) {
    if(request.holder == this->self) {
        this->ledger.mark_prefilled({this->self, request.ticket});
    } else if(!request.holder.empty()) {
        this->notes_for(request.holder).started.push_back(request.ticket);
    }
}

void dispatch_service::ended(const dispatched& request) {
    if(request.holder == this->self) {
        this->ledger.release({this->self, request.ticket});
    } else if(!request.holder.empty()) {
        this->notes_for(request.holder).ended.push_back(request.ticket);
    }
}

void dispatch_service::receive_progress(const std::string& node, const wire::request_progress& progress) {
    for(const auto ticket : progress.started) {
        this->ledger.mark_prefilled({node, ticket});
    }
    for(const auto ticket : progress.ended) {
        this->ledger.release({node, ticket});
    }
}

void dispatch_service::node_gone(std::string_view node) {
    this->ledger.remove_node(node);
}

} // namespace lagoonsaddle::edge
