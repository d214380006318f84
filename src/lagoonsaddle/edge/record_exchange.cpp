#include <algorithm>
#include <iterator>
#include <utility>

#include <boost/asio/co_spawn.hpp>

#include <lagoonsaddle/core/task.hpp>
#include <lagoonsaddle/edge/record_exchange.hpp>
#include <lagoonsaddle/edge/sleep.hpp>
#include <lagoonsaddle/wire/codec.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

namespace {

/*! @brief Largest age of a reader that is taken from a peer. */
constexpr std::uint64_t reader_age_max_ms{3'600'000u};

} // namespace

record_exchange::record_exchange(record_exchange_context uses, record_exchange_options options)
    : context{uses}, settings{options}, interval{options.interval} {}

void record_exchange::start() {
    core::start_service(this->context.io, "record_exchange", [self = this->shared_from_this()] { return self->run(); });
}

std::chrono::milliseconds record_exchange::next_interval() const {
    const bool known = this->context.records.summarize_records().upstreams_known;
    return known ? this->interval : this->settings.start_interval;
}

asio::awaitable<void> record_exchange::run() {
    const auto& self = this->context.peers.local_node_name();
    while(true) {
        co_await sleep_for(this->settings.start_interval);
        const auto now = this->context.clock.now();
        if(this->context.records.reads_store()) {
            this->context.unanswered.remove(self);
            continue;
        }
        this->context.unanswered.record(self, now);
        if(now >= this->next_question_at) {
            // A peer that does not answer must not hold up the question to the next one.
            this->next_question_at = now + this->settings.start_interval;
            asio::co_spawn(
                this->context.io, [self = this->shared_from_this()] { return self->ask_next_peer(); },
                core::task_end{"records_question"});
        }
    }
}

asio::awaitable<void> record_exchange::ask_next_peer() {
    const auto live = this->context.peers.live_peer_names();
    auto peer = this->partners.choose(live, this->context.clock.now());
    if(!peer) {
        co_return;
    }
    const auto result = co_await this->ask(std::move(*peer));
    if(result == question_result::unanswered) {
        co_return;
    }
    this->interval = result == question_result::known_differences
                         ? std::min(this->interval * 2, this->settings.interval_max)
                         : this->settings.interval;
    this->next_question_at = this->context.clock.now() + this->next_interval();
}

std::vector<wire::store_reader> record_exchange::name_readers() const {
    const auto now = this->context.clock.now();
    std::vector<wire::store_reader> named{};
    for(const auto& reader : this->partners.named_readers(now)) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - reader.said_at);
        named.push_back({.node = reader.node, .age_ms = static_cast<std::uint64_t>(age.count())});
    }
    if(this->context.records.reads_store()) {
        named.push_back({.node = this->context.peers.local_node_name(), .age_ms = 0u});
    }
    return named;
}

void record_exchange::record_readers(const std::vector<wire::store_reader>& readers) {
    const auto now = this->context.clock.now();
    for(const auto& reader : readers) {
        const auto age = std::min<std::uint64_t>(reader.age_ms, reader_age_max_ms);
        this->partners.record_reader(reader.node, now - std::chrono::milliseconds{age});
    }
}

wire::records_summary record_exchange::summarize() const {
    auto summary = this->context.records.summarize_records();
    summary.readers = this->name_readers();
    return summary;
}

asio::awaitable<record_exchange::question_result> record_exchange::ask(std::string name) {
    const auto peer = this->context.peers.find(name);
    if(!peer) {
        co_return question_result::unanswered;
    }
    auto question = wire::pack(this->summarize());
    const auto answer =
        co_await peer->call(wire::message_type::records_get, std::move(question), this->settings.timeout);
    if(!answer) {
        this->partners.remove_reader(name, this->context.clock.now());
        co_return question_result::unanswered;
    }
    const auto reply = wire::unpack<wire::records_reply>(answer->body);
    if(!reply) {
        this->context.log.write(log_line{"records_malformed"}.add("peer", name).add("message", reply.error().message));
        co_return question_result::unanswered;
    }
    if(std::ranges::find(reply->readers, name, &wire::store_reader::node) == reply->readers.end()) {
        this->partners.remove_reader(name, this->context.clock.now());
    }
    this->record_readers(reply->readers);
    this->context.records.announce_configuration(reply->configuration_version, name);
    const bool learned = this->context.records.merge_records(*reply, name);
    const bool differs = reply->upstreams || reply->versions || reply->leases;
    if(learned) {
        this->notify_peers();
        co_return question_result::learned;
    }
    co_return differs ? question_result::known_differences : question_result::equal;
}

wire::records_reply record_exchange::make_reply(std::string_view peer, const wire::records_summary& known) {
    this->record_readers(known.readers);
    // Only nodes that the store does not answer ask.
    this->partners.remove_reader(peer, this->context.clock.now());
    if(this->context.records.reads_store()) {
        this->context.unanswered.record(peer, this->context.clock.now());
    }
    auto reply = this->context.records.copy_records(known);
    reply.readers = this->name_readers();
    return reply;
}

bool record_exchange::lacks(const wire::records_summary& known) const {
    const auto own = this->context.records.summarize_records();
    return known.upstreams_known && (!own.upstreams_known || own.upstreams != known.upstreams ||
                                        own.versions != known.versions || own.leases != known.leases);
}

void record_exchange::apply_notice(std::string_view peer, const wire::records_summary& known) {
    this->record_readers(known.readers);
    this->context.records.announce_configuration(known.configuration_version, peer);
    if(!this->context.records.reads_store() && this->lacks(known)) {
        asio::co_spawn(
            this->context.io,
            [self = this->shared_from_this(), name = std::string{peer}]() -> asio::awaitable<void> {
                static_cast<void>(co_await self->ask(name));
            },
            core::task_end{"records_question"});
    }
}

void record_exchange::notify_peers() {
    this->notify(this->partners.draw(this->context.peers.live_peer_names(), this->settings.notified_peers));
}

void record_exchange::notify_read_changes() {
    const auto own = this->context.records.summarize_records();
    const auto digests = std::pair{own.upstreams, own.leases};
    const auto told = std::exchange(this->told_digests, digests);
    if(told == digests) {
        return;
    }
    const auto now = this->context.clock.now();
    const auto live = this->context.peers.live_peer_names();
    std::vector<std::string> unanswered{};
    std::ranges::copy_if(live, std::back_inserter(unanswered),
        [this, now](const std::string& name) { return this->context.unanswered.contains(name, now); });
    this->notify(this->partners.draw(unanswered, this->settings.notified_unanswered_peers));
    // Peers that have just lost the store may not have asked this node yet. The first list is no news to others.
    if(told && unanswered.size() < this->settings.notified_peers) {
        this->notify(this->partners.draw(live, this->settings.notified_peers));
    }
}

void record_exchange::notify(std::span<const std::string> names) {
    const auto body = wire::pack(this->summarize());
    for(const auto& name : names) {
        if(const auto peer = this->context.peers.find(name)) {
            asio::co_spawn(
                this->context.io,
                [peer, body]() -> asio::awaitable<void> {
                    co_await peer->notify(wire::message_type::records_notice, body);
                },
                core::task_end{"records_notice"});
        }
    }
}

} // namespace lagoonsaddle::edge
