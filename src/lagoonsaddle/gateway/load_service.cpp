#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/gateway/load_service.hpp>
#include <lagoonsaddle/wire/async_queue.hpp>
#include <lagoonsaddle/wire/codec.hpp>
#include <lagoonsaddle/wire/messages.hpp>

namespace lagoonsaddle::gateway {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds poll_interval{20};
constexpr std::chrono::milliseconds granter_retry{100};
constexpr std::size_t positions_max{256u};

[[nodiscard]] core::error no_permit(const char* message) {
    return core::error{.cause = core::reason::unavailable, .message = message};
}

} // namespace

struct load_service::waiter {
    using queue_type = wire::async_queue<core::result<load_grant>>;
    std::shared_ptr<queue_type> queue{std::make_shared<queue_type>()};
};

load_service::load_service(asio::io_context& io, const core::clock& clock, policy::load_scheduler_options options,
    std::string store, cluster::membership_service& members, ownership_service& owners,
    cluster::peer_directory& connections)
    : context{io},
      time{clock},
      settings{options},
      weight_store{std::move(store)},
      membership{members},
      ownership{owners},
      peers{connections},
      scheduler{options} {}

void load_service::start() {
    asio::co_spawn(
        asio::make_strand(this->context),
        [keep = this->shared_from_this()]() -> asio::awaitable<void> { co_await keep->run_timers(); }, asio::detached);
}

void load_service::stop() {
    const std::lock_guard lock{this->mutex};
    this->stopping = true;
}

std::string load_service::granter() const {
    const auto owner = this->ownership.owner(this->weight_store);
    if(owner && this->membership.find_live_member(owner->owner.name)) {
        return owner->owner.name;
    }
    std::vector<std::string> names{};
    const auto members = this->membership.members();
    for(const auto& member : *members) {
        if(member.is_live()) {
            names.push_back(member.info.name);
        }
    }
    if(names.empty()) {
        return this->peers.local_node_name();
    }
    return names[core::rendezvous_rank(this->weight_store, names).front()];
}

asio::awaitable<core::result<load_grant>> load_service::acquire(load_need need, std::chrono::milliseconds timeout) {
    const auto end = this->time.now() + timeout;
    while(true) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - this->time.now());
        if(left <= std::chrono::milliseconds::zero()) {
            co_return tl::make_unexpected(no_permit("no load permit was granted in time"));
        }
        const auto node = this->granter();
        if(node == this->peers.local_node_name()) {
            co_return co_await this->wait_for_permit(node, std::move(need), left, std::make_shared<waiter>());
        }
        if(const auto client = this->peers.find(node); client) {
            const auto nearest =
                std::chrono::duration_cast<std::chrono::milliseconds>(need.nearest_deadline - this->time.now());
            const wire::load_request request{.upstream = need.engine,
                .adapter = need.adapter.adapter,
                .version = need.adapter.version,
                .waiting = need.waiting,
                .nearest_deadline_ms = static_cast<std::uint64_t>(std::max<std::int64_t>(nearest.count(), 0))};
            const auto answer = co_await client->call(wire::message_type::load_request, wire::pack(request), left);
            if(answer) {
                const auto permit = wire::unpack<wire::load_permit>(answer->body);
                if(permit && permit->refusal) {
                    co_return tl::make_unexpected(wire::from_wire(*permit->refusal));
                }
                if(permit) {
                    co_return load_grant{.permit = permit->permit,
                        .granter = node,
                        .expires_at = this->time.now() + std::chrono::milliseconds{permit->valid_for_ms}};
                }
            }
        }
        asio::steady_timer timer{co_await asio::this_coro::executor, granter_retry};
        boost::system::error_code ignored{};
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void load_service::release(const load_grant& grant) {
    if(grant.granter == this->peers.local_node_name()) {
        {
            const std::lock_guard lock{this->mutex};
            this->scheduler.release(grant.permit, this->time.now());
        }
        this->poll();
        return;
    }
    if(const auto client = this->peers.find(grant.granter); client) {
        auto body = wire::pack(wire::load_done{.permit = grant.permit, .succeeded = true});
        asio::co_spawn(
            asio::make_strand(this->context),
            [client, body = std::move(body)]() -> asio::awaitable<void> {
                co_await client->notify(wire::message_type::load_done, body);
            },
            asio::detached);
    }
}

asio::awaitable<void> load_service::handle_request(
    std::string peer, std::string packed, std::shared_ptr<wire::responder> answer) {
    const auto request = wire::unpack<wire::load_request>(packed);
    if(!request) {
        co_return;
    }
    const std::chrono::milliseconds nearest{request->nearest_deadline_ms};
    load_need need{.engine = request->upstream,
        .adapter = {.adapter = request->adapter, .version = request->version},
        .waiting = request->waiting,
        .nearest_deadline = this->time.now() + nearest};
    auto entry = std::make_shared<waiter>();
    answer->on_cancel([queue = entry->queue] { queue->push(tl::make_unexpected(no_permit("cancelled"))); });
    const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(this->settings.request_expiry);
    const auto granted = co_await this->wait_for_permit(std::move(peer), std::move(need), timeout, entry);
    wire::load_permit reply{};
    if(granted) {
        reply.permit = granted->permit;
        const auto validity =
            std::chrono::duration_cast<std::chrono::milliseconds>(granted->expires_at - this->time.now());
        reply.valid_for_ms = static_cast<std::uint64_t>(std::max<std::int64_t>(validity.count(), 0));
    } else {
        reply.refusal = wire::to_wire(granted.error());
    }
    const bool sent = answer->send(wire::message_type::load_permit, wire::pack(reply));
    if(!sent && granted) {
        this->release(*granted);
    }
}

void load_service::handle_done(std::string_view packed) {
    const auto done = wire::unpack<wire::load_done>(packed);
    if(done) {
        {
            const std::lock_guard lock{this->mutex};
            this->scheduler.release(done->permit, this->time.now());
        }
        this->poll();
    }
}

void load_service::node_lost(std::string_view node) {
    const std::lock_guard lock{this->mutex};
    this->scheduler.remove_requester(node);
}

std::vector<policy::ranked_load> load_service::positions() const {
    const std::lock_guard lock{this->mutex};
    return this->scheduler.ranked_loads(this->time.now(), positions_max);
}

asio::awaitable<core::result<load_grant>> load_service::wait_for_permit(
    std::string requester, load_need need, std::chrono::milliseconds timeout, std::shared_ptr<waiter> entry) {
    const key_type key{need.engine, need.adapter};
    {
        const std::lock_guard lock{this->mutex};
        auto& slot = this->waiters[key];
        if(slot) {
            slot->queue->push(tl::make_unexpected(no_permit("a newer request replaced this one")));
        }
        slot = entry;
        this->scheduler.request_load(policy::load_request{.requester = std::move(requester),
                                         .engine = need.engine,
                                         .adapter = need.adapter,
                                         .waiting = need.waiting,
                                         .nearest_deadline = need.nearest_deadline},
            this->time.now());
    }
    this->poll();
    auto outcome = co_await entry->queue->pop(timeout);
    {
        const std::lock_guard lock{this->mutex};
        const auto found = this->waiters.find(key);
        if(found != this->waiters.end() && found->second == entry) {
            this->waiters.erase(found);
            if(!outcome || !*outcome) {
                this->scheduler.withdraw(need.engine, need.adapter);
            }
        }
    }
    // A permit that was granted while the wait ended must not be lost.
    if(!outcome) {
        outcome = entry->queue->try_pop();
    }
    if(!outcome) {
        co_return tl::make_unexpected(no_permit("no load permit was granted in time"));
    }
    co_return std::move(*outcome);
}

asio::awaitable<void> load_service::run_timers() {
    asio::steady_timer timer{co_await asio::this_coro::executor};
    while(true) {
        {
            const std::lock_guard lock{this->mutex};
            if(this->stopping) {
                co_return;
            }
        }
        const bool grants = this->granter() == this->peers.local_node_name();
        {
            const std::lock_guard lock{this->mutex};
            if(grants && !this->granting) {
                this->scheduler.block_grants_until(this->time.now() + this->settings.permit_validity);
            }
            this->granting = grants;
        }
        this->poll();
        timer.expires_after(poll_interval);
        boost::system::error_code ignored{};
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void load_service::poll() {
    const std::lock_guard lock{this->mutex};
    if(!this->granting) {
        return;
    }
    const auto actions = this->scheduler.poll(this->time.now());
    for(const auto& permit : actions.granted) {
        const auto found = this->waiters.find(key_type{permit.engine, permit.adapter});
        if(found == this->waiters.end()) {
            this->scheduler.release(permit.id, this->time.now());
            continue;
        }
        found->second->queue->push(
            load_grant{.permit = permit.id, .granter = this->peers.local_node_name(), .expires_at = permit.expires_at});
        this->waiters.erase(found);
    }
    for(const auto& dropped : actions.dropped) {
        const auto found = this->waiters.find(key_type{dropped.request.engine, dropped.request.adapter});
        if(found != this->waiters.end()) {
            found->second->queue->push(tl::make_unexpected(no_permit("the load order dropped the request")));
            this->waiters.erase(found);
        }
    }
}

} // namespace lagoonsaddle::gateway
