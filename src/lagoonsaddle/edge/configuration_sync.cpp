#include <algorithm>
#include <utility>
#include <variant>

#include <boost/asio/co_spawn.hpp>

#include <lagoonsaddle/core/task.hpp>
#include <lagoonsaddle/edge/configuration_codec.hpp>
#include <lagoonsaddle/edge/configuration_sync.hpp>
#include <lagoonsaddle/edge/sleep.hpp>
#include <lagoonsaddle/wire/async_queue.hpp>
#include <lagoonsaddle/wire/codec.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

namespace {

using reply_queue = wire::async_queue<core::result<wire::config_reply>>;

/*! @brief Asks a peer for its configuration. */
asio::awaitable<void> ask(
    std::shared_ptr<wire::peer_client> peer, std::chrono::milliseconds timeout, std::shared_ptr<reply_queue> replies) {
    auto request = wire::pack(wire::config_get{});
    const auto response = co_await peer->call(wire::message_type::config_get, std::move(request), timeout);
    if(response) {
        replies->push(wire::unpack<wire::config_reply>(response->body));
    } else {
        replies->push(tl::make_unexpected(response.error()));
    }
}

} // namespace

configuration_sync::configuration_sync(
    configuration_sync_context uses, configuration_sync_options options, apply_function receiver)
    : context{uses},
      settings{options},
      apply{std::move(receiver)},
      started{this->context.clock.now()},
      random{options.seed} {}

bool configuration_sync::is_behind() const noexcept {
    return this->context.routes.version() < this->announced_version;
}

configuration_state configuration_sync::state() const {
    const auto elapsed = this->context.clock.now() - this->started;
    const bool compared = this->context.membership.joined() || elapsed >= this->settings.join_wait_max;
    const bool starting = elapsed < this->settings.catch_up_max;
    if(this->context.routes.version() == 0u || !compared || (this->is_behind() && starting)) {
        return configuration_state::unknown;
    }
    return this->is_behind() ? configuration_state::behind : configuration_state::current;
}

void configuration_sync::announce(std::uint64_t version, std::string_view holder) {
    if(version > this->announced_version) {
        this->announced_version = version;
        this->holders.clear();
    }
    if(!this->is_behind()) {
        return;
    }
    const bool holds_announced = version == this->announced_version && !holder.empty();
    if(holds_announced && this->holders.emplace(holder).second &&
        this->holders_being_asked < this->settings.holders_asked_max) {
        ++this->holders_being_asked;
        asio::co_spawn(
            this->context.io,
            [self = this->shared_from_this(), name = std::string{holder}] { return self->ask_holder(name); },
            core::task_end{"configuration_question"});
    }
    this->start(this->reading_store, &configuration_sync::read_store);
    this->start(this->asking_peers, &configuration_sync::ask_peers);
}

wire::config_reply configuration_sync::make_reply() const {
    const auto& current = this->context.routes.current();
    if(!current) {
        return {};
    }
    return {.version = current->version, .body = pack_configuration(*current)};
}

void configuration_sync::start(bool& running, round_type round) {
    if(std::exchange(running, true)) {
        return;
    }
    asio::co_spawn(
        this->context.io,
        [self = this->shared_from_this(), &running, round] { return self->repeat_while_behind(running, round); },
        core::task_end{"configuration_round"});
}

asio::awaitable<void> configuration_sync::repeat_while_behind(bool& running, round_type round) {
    while(this->is_behind()) {
        co_await (this->*round)();
        if(this->is_behind()) {
            co_await sleep_for(this->settings.retry_interval);
        }
    }
    running = false;
}

asio::awaitable<void> configuration_sync::read_store() {
    const auto begun = this->context.clock.now();
    const auto page = co_await this->context.store.list(record_kind::configuration);
    if(!page) {
        this->log_behind(core::to_string(page.error().cause));
        co_return;
    }
    for(const auto& record : page->records) {
        if(const auto* value = std::get_if<configuration>(&record.value)) {
            this->apply(*value, "store");
        }
    }
    // What a store held before it was restored from a copy is not its current data.
    if(this->receive_read && page->epoch == this->context.store.epoch()) {
        this->receive_read(*page, begun);
    }
    if(this->is_behind()) {
        this->log_behind("not_stored");
    }
}

asio::awaitable<void> configuration_sync::ask_holder(std::string holder) {
    const auto replies = std::make_shared<reply_queue>();
    if(auto peer = this->context.peers.find(holder)) {
        co_await ask(std::move(peer), this->settings.peer_timeout, replies);
        const auto reply = co_await replies->pop(this->settings.peer_timeout);
        if(reply && *reply) {
            this->apply_reply(**reply);
        } else {
            this->holders.erase(holder);
        }
    }
    --this->holders_being_asked;
}

std::vector<std::string> configuration_sync::draw_peers() {
    auto names = this->context.peers.live_peer_names();
    std::ranges::shuffle(names, this->random);
    std::ranges::partition(names, [this](const std::string& name) { return this->holders.contains(name); });
    if(names.size() > this->settings.peers_per_round) {
        // Each round asks one peer that has announced nothing, if there is one: holders may not answer.
        std::swap(names[this->settings.peers_per_round - 1u], names.back());
        names.resize(this->settings.peers_per_round);
    }
    return names;
}

asio::awaitable<void> configuration_sync::ask_peers() {
    const auto replies = std::make_shared<reply_queue>();
    std::size_t asked{};
    for(const auto& name : this->draw_peers()) {
        if(auto peer = this->context.peers.find(name)) {
            asio::co_spawn(this->context.io, ask(std::move(peer), this->settings.peer_timeout, replies),
                core::task_end{"configuration_question"});
            ++asked;
        }
    }
    for(std::size_t answered{}; answered < asked && this->is_behind(); ++answered) {
        const auto reply = co_await replies->pop(this->settings.peer_timeout);
        if(reply && *reply) {
            this->apply_reply(**reply);
        }
    }
}

void configuration_sync::apply_reply(const wire::config_reply& reply) {
    if(reply.version <= this->context.routes.version()) {
        return;
    }
    if(auto value = unpack_configuration(reply.body)) {
        this->apply(std::move(*value), "peer");
    }
}

void configuration_sync::log_behind(std::string_view reason) {
    if(std::exchange(this->logged_version, this->announced_version) == this->announced_version) {
        return;
    }
    this->context.log.write(log_line{"configuration_behind"}
                                .add("version", static_cast<std::int64_t>(this->context.routes.version()))
                                .add("announced", static_cast<std::int64_t>(this->announced_version))
                                .add("reason", reason));
}

} // namespace lagoonsaddle::edge
