#include <algorithm>
#include <utility>

#include <lagoonsaddle/core/task.hpp>
#include <lagoonsaddle/edge/confirmation_service.hpp>
#include <lagoonsaddle/edge/reader_selection.hpp>
#include <lagoonsaddle/edge/sleep.hpp>
#include <lagoonsaddle/wire/codec.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

/*! @brief Longest name of a node that is taken from a peer; the membership has the same limit. */
constexpr std::size_t node_name_length_max{64u};

/*! @brief Returns the whole milliseconds that have passed at most: an age must not look shorter than it is. */
[[nodiscard]] milliseconds round_up(core::duration value) {
    return std::chrono::ceil<milliseconds>(value);
}

} // namespace

confirmation_service::confirmation_service(confirmation_context uses, confirmation_service_options options)
    : context{uses}, settings{std::move(options)}, polling{this->settings.polling} {}

void confirmation_service::start() {
    if(!this->context.confirmation.is_required()) {
        return;
    }
    core::start_service(
        this->context.io, "configuration_confirmation", [self = this->shared_from_this()] { return self->run(); });
}

bool confirmation_service::in_force() const {
    const auto& config = this->context.routes.current();
    return this->context.confirmation.is_required() && config && config->tenants;
}

void confirmation_service::record_read(core::time_point begun, std::uint64_t version) {
    // A restored store may lack a version of which peers have told: it must not confirm the one before.
    const auto newest = std::max(version, this->context.configuration.announced());
    this->context.confirmation.record(
        {.moment = begun, .version = newest, .reader = this->context.peers.local_node_name()},
        this->context.routes.version());
}

void confirmation_service::on_configuration_changed() {
    this->context.confirmation.apply_version(this->context.routes.version());
}

wire::confirmation_reply confirmation_service::make_reply(
    const wire::confirmation_get& question, std::string_view peer) {
    this->context.configuration.announce(question.version, peer);
    wire::confirmation_reply reply{.version = this->context.routes.version()};
    if(const auto& latest = this->context.confirmation.latest()) {
        const auto age = this->context.confirmation.age(this->context.clock.now());
        reply.age_ms = static_cast<std::uint64_t>(round_up(*age).count());
        reply.confirmed = true;
        reply.reader = latest->reader;
    }
    return reply;
}

asio::awaitable<void> confirmation_service::run() {
    while(true) {
        co_await sleep_for(this->settings.check_interval);
        if(!this->in_force()) {
            this->permitted.reset();
            continue;
        }
        const auto now = this->context.clock.now();
        this->log_change(now);
        this->refresh(now);
    }
}

void confirmation_service::refresh(core::time_point now) {
    const auto age = this->context.confirmation.age(now);
    if(this->polling.begin_read(age, now)) {
        core::start_task(this->context.io, "configuration_read",
            [self = this->shared_from_this()] { return self->context.reader.read_configuration(); });
    }
    if(!this->polling.begin_question(age, now)) {
        return;
    }
    if(!this->polling.is_urgent(age) && this->context.reader.reads_exactly()) {
        return;
    }
    for(auto& peer : this->polling.choose(this->find_peers(), age, now)) {
        core::start_task(this->context.io, "confirmation_question",
            [self = this->shared_from_this(), name = std::move(peer)] { return self->ask(name); });
    }
}

confirmation_peers confirmation_service::find_peers() const {
    const auto members = this->context.membership.members();
    return {.zone_readers = exact_readers(this->settings.availability_zone, *members),
        .live = this->context.peers.live_peer_names()};
}

asio::awaitable<void> confirmation_service::ask(std::string name) {
    const auto peer = this->context.peers.find(name);
    if(!peer) {
        co_return;
    }
    const wire::confirmation_get question{.version = this->context.routes.version()};
    auto body = wire::pack(question);
    const auto asked_at = this->context.clock.now();
    const auto answer =
        co_await peer->call(wire::message_type::confirmation_get, std::move(body), this->settings.peer_timeout);
    const auto reply = answer ? wire::unpack<wire::confirmation_reply>(answer->body)
                              : core::result<wire::confirmation_reply>{tl::make_unexpected(answer.error())};
    this->apply_reply(reply.value_or(wire::confirmation_reply{}), name, asked_at);
}

void confirmation_service::apply_reply(
    const wire::confirmation_reply& reply, const std::string& peer, core::time_point asked_at) {
    const auto now = this->context.clock.now();
    const bool usable = reply.confirmed && reply.version > 0u &&
                        reply.age_ms <= static_cast<std::uint64_t>(this->settings.peer_age_max.count());
    if(!usable) {
        this->polling.record_answer(peer, std::nullopt, {}, now);
        return;
    }
    const auto& reader = reply.reader.empty() || reply.reader.size() > node_name_length_max ? peer : reply.reader;
    const auto age = milliseconds{static_cast<std::int64_t>(reply.age_ms)};
    this->polling.record_answer(peer, age, reader, now);
    this->context.configuration.announce(reply.version, peer);
    this->context.confirmation.record({.moment = asked_at - age,
                                          .version = std::max(reply.version, this->context.configuration.announced()),
                                          .reader = reader},
        this->context.routes.version());
}

void confirmation_service::log_change(core::time_point now) {
    const bool permits = this->context.confirmation.permits(now);
    if(std::exchange(this->permitted, permits) == permits) {
        return;
    }
    const auto& latest = this->context.confirmation.latest();
    const auto age = this->context.confirmation.age(now);
    this->context.log.write(log_line{permits ? "configuration_confirmed" : "configuration_unconfirmed"}
                                .add("version", static_cast<std::int64_t>(this->context.routes.version()))
                                .add("announced", static_cast<std::int64_t>(this->context.configuration.announced()))
                                .add("age_ms", age ? round_up(*age).count() : -1)
                                .add("reader", latest ? latest->reader : std::string{}));
}

} // namespace lagoonsaddle::edge
