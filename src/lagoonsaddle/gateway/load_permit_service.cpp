#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/core/task.hpp>
#include <lagoonsaddle/gateway/load_permit_service.hpp>
#include <lagoonsaddle/wire/async_queue.hpp>
#include <lagoonsaddle/wire/codec.hpp>
#include <lagoonsaddle/wire/messages.hpp>

namespace lagoonsaddle::gateway {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds grant_interval{20};
constexpr std::chrono::milliseconds granter_retry_interval{100};
constexpr std::size_t ranked_loads_max{256u};

[[nodiscard]] core::error permit_error(const char* message) {
    return core::error{.cause = core::reason::unavailable, .message = message};
}

} // namespace

struct load_permit_service::permit_waiter {
    using queue_type = wire::async_queue<core::result<granted_permit>>;
    std::shared_ptr<queue_type> queue{std::make_shared<queue_type>()};
};

load_permit_service::load_permit_service(asio::io_context& io, const core::clock& clock,
    policy::load_scheduler_options options, std::string store, cluster::membership_service& members,
    ownership_service& owners, cluster::peer_directory& connections)
    : context{io},
      clock{clock},
      settings{options},
      weight_store{std::move(store)},
      membership{members},
      ownership{owners},
      peers{connections},
      scheduler{options} {}

void load_permit_service::start() {
    asio::co_spawn(
        asio::make_strand(this->context),
        [self = this->shared_from_this()]() -> asio::awaitable<void> { co_await self->run_timers(); },
        core::task_end{"load_permit_timers"});
}

void load_permit_service::stop() {
    const std::lock_guard lock{this->mutex};
    this->stopping = true;
}

std::string load_permit_service::find_granter() const {
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

asio::awaitable<core::result<granted_permit>> load_permit_service::acquire(
    load_demand demand, std::chrono::milliseconds timeout) {
    const auto deadline = this->clock.now() + timeout;
    while(true) {
        const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - this->clock.now());
        if(remaining <= std::chrono::milliseconds::zero()) {
            co_return tl::make_unexpected(permit_error("no load permit was granted in time"));
        }
        const auto node = this->find_granter();
        if(node == this->peers.local_node_name()) {
            co_return co_await this->wait_for_permit(
                node, std::move(demand), remaining, std::make_shared<permit_waiter>());
        }
        if(const auto client = this->peers.find(node); client) {
            const auto nearest_deadline =
                std::chrono::duration_cast<std::chrono::milliseconds>(demand.nearest_deadline - this->clock.now());
            const wire::load_request request{.upstream = demand.engine,
                .adapter = demand.adapter.adapter,
                .version = demand.adapter.version,
                .waiting = demand.waiting,
                .nearest_deadline_ms = static_cast<std::uint64_t>(std::max<std::int64_t>(nearest_deadline.count(), 0))};
            const auto answer = co_await client->call(wire::message_type::load_request, wire::pack(request), remaining);
            if(answer) {
                const auto permit = wire::unpack<wire::load_permit>(answer->body);
                if(permit && permit->refusal) {
                    co_return tl::make_unexpected(wire::from_wire(*permit->refusal));
                }
                if(permit) {
                    co_return granted_permit{.id = permit->permit,
                        .granter = node,
                        .expires_at = this->clock.now() + std::chrono::milliseconds{permit->valid_for_ms}};
                }
            }
        }
        asio::steady_timer timer{co_await asio::this_coro::executor, granter_retry_interval};
        boost::system::error_code ignored{};
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void load_permit_service::release(const granted_permit& permit) {
    if(permit.granter == this->peers.local_node_name()) {
        {
            const std::lock_guard lock{this->mutex};
            this->scheduler.release(permit.id, this->clock.now());
        }
        this->grant_permits();
        return;
    }
    if(const auto client = this->peers.find(permit.granter); client) {
        auto body = wire::pack(wire::load_done{.permit = permit.id, .succeeded = true});
        asio::co_spawn(
            asio::make_strand(this->context),
            [client, body = std::move(body)]() -> asio::awaitable<void> {
                co_await client->notify(wire::message_type::load_done, body);
            },
            core::task_end{"load_done_notice"});
    }
}

asio::awaitable<void> load_permit_service::handle_permit_request(
    std::string peer, std::string packed, std::shared_ptr<wire::responder> answer) {
    const auto request = wire::unpack<wire::load_request>(packed);
    if(!request) {
        co_return;
    }
    const std::chrono::milliseconds nearest_deadline{request->nearest_deadline_ms};
    load_demand demand{.engine = request->upstream,
        .adapter = {.adapter = request->adapter, .version = request->version},
        .waiting = request->waiting,
        .nearest_deadline = this->clock.now() + nearest_deadline};
    auto waiter = std::make_shared<permit_waiter>();
    answer->on_cancel([queue = waiter->queue] { queue->push(tl::make_unexpected(permit_error("cancelled"))); });
    const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(this->settings.request_expiry);
    const auto granted = co_await this->wait_for_permit(std::move(peer), std::move(demand), timeout, waiter);
    wire::load_permit reply{};
    if(granted) {
        reply.permit = granted->id;
        const auto validity =
            std::chrono::duration_cast<std::chrono::milliseconds>(granted->expires_at - this->clock.now());
        reply.valid_for_ms = static_cast<std::uint64_t>(std::max<std::int64_t>(validity.count(), 0));
    } else {
        reply.refusal = wire::to_wire(granted.error());
    }
    const bool sent = answer->send(wire::message_type::load_permit, wire::pack(reply));
    if(!sent && granted) {
        this->release(*granted);
    }
}

void load_permit_service::handle_permit_release(std::string_view packed) {
    const auto done = wire::unpack<wire::load_done>(packed);
    if(done) {
        {
            const std::lock_guard lock{this->mutex};
            this->scheduler.release(done->permit, this->clock.now());
        }
        this->grant_permits();
    }
}

void load_permit_service::remove_node(std::string_view node) {
    const std::lock_guard lock{this->mutex};
    this->scheduler.remove_requester(node);
}

std::vector<policy::ranked_load> load_permit_service::ranked_loads() const {
    const std::lock_guard lock{this->mutex};
    return this->scheduler.ranked_loads(this->clock.now(), ranked_loads_max);
}

asio::awaitable<core::result<granted_permit>> load_permit_service::wait_for_permit(std::string requester,
    load_demand demand, std::chrono::milliseconds timeout, std::shared_ptr<permit_waiter> waiter) {
    const load_key key{demand.engine, demand.adapter};
    {
        const std::lock_guard lock{this->mutex};
        auto& slot = this->waiters[key];
        if(slot) {
            slot->queue->push(tl::make_unexpected(permit_error("a newer request for the same load replaced this one")));
        }
        slot = waiter;
        this->scheduler.request_load(policy::load_request{.requester = std::move(requester),
                                         .engine = demand.engine,
                                         .adapter = demand.adapter,
                                         .waiting = demand.waiting,
                                         .nearest_deadline = demand.nearest_deadline},
            this->clock.now());
    }
    this->grant_permits();
    auto outcome = co_await waiter->queue->pop(timeout);
    {
        const std::lock_guard lock{this->mutex};
        const auto found = this->waiters.find(key);
        if(found != this->waiters.end() && found->second == waiter) {
            this->waiters.erase(found);
            if(!outcome || !*outcome) {
                this->scheduler.withdraw(demand.engine, demand.adapter);
            }
        }
    }
    // The permit may have been granted between the timeout and the removal of the waiter.
    if(!outcome) {
        outcome = waiter->queue->try_pop();
    }
    if(!outcome) {
        co_return tl::make_unexpected(permit_error("no load permit was granted in time"));
    }
    co_return std::move(*outcome);
}

asio::awaitable<void> load_permit_service::run_timers() {
    asio::steady_timer timer{co_await asio::this_coro::executor};
    while(true) {
        {
            const std::lock_guard lock{this->mutex};
            if(this->stopping) {
                co_return;
            }
        }
        const bool is_granter = this->find_granter() == this->peers.local_node_name();
        {
            const std::lock_guard lock{this->mutex};
            if(is_granter && !this->granting) {
                // Permits of the previous granter are not known here; wait until the last of them has expired.
                this->scheduler.block_grants_until(this->clock.now() + this->settings.permit_validity);
            }
            this->granting = is_granter;
        }
        this->grant_permits();
        timer.expires_after(grant_interval);
        boost::system::error_code ignored{};
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void load_permit_service::grant_permits() {
    const std::lock_guard lock{this->mutex};
    if(!this->granting) {
        return;
    }
    const auto actions = this->scheduler.poll(this->clock.now());
    for(const auto& permit : actions.granted) {
        const auto found = this->waiters.find(load_key{permit.engine, permit.adapter});
        if(found == this->waiters.end()) {
            this->scheduler.release(permit.id, this->clock.now());
            continue;
        }
        found->second->queue->push(
            granted_permit{.id = permit.id, .granter = this->peers.local_node_name(), .expires_at = permit.expires_at});
        this->waiters.erase(found);
    }
    for(const auto& dropped : actions.dropped) {
        const auto found = this->waiters.find(load_key{dropped.request.engine, dropped.request.adapter});
        if(found != this->waiters.end()) {
            found->second->queue->push(tl::make_unexpected(permit_error("the load scheduler dropped the request")));
            this->waiters.erase(found);
        }
    }
}

} // namespace lagoonsaddle::gateway
