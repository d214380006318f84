#include <algorithm>
#include <charconv>
#include <utility>

#include <lagoonsaddle/edge/upstream_limits.hpp>
#include <lagoonsaddle/wire/codec.hpp>
#include <lagoonsaddle/wire/messages.hpp>

namespace lagoonsaddle::edge {

namespace {

constexpr std::string_view limit_item_kind{"upstream_limit"};
/*! @brief Time for which a node that is no longer live still counts: it may be alive behind a network partition. */
constexpr std::chrono::seconds node_retention{10};
/*! @brief Time to return for a caller when this node does not send to any upstream of the service. */
constexpr std::chrono::milliseconds wait_without_share{500};
constexpr double milli{1'000.0};

/*! @brief Encodes a limit as the value of a gossip item; an empty value ends it. */
[[nodiscard]] std::string encode_limit(std::optional<double> per_second) {
    return per_second ? std::to_string(*per_second) : std::string{};
}

[[nodiscard]] std::optional<double> decode_limit(std::string_view text) {
    double per_second{};
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), per_second);
    return failure == std::errc{} && end != text.data() ? std::optional{per_second} : std::nullopt;
}

} // namespace

upstream_limits::upstream_limits(upstream_limits_context uses, std::string name)
    : context{uses}, node_name{std::move(name)} {}

void upstream_limits::observe(const std::string& upstream, std::optional<double> per_second, core::time_point sent_at) {
    auto* known = this->context.upstreams.find(upstream);
    if(known == nullptr || !known->throttle.observe(per_second, sent_at, this->context.clock.now())) {
        return;
    }
    this->log_limit(upstream, per_second, "response");
    const auto items = this->context.membership.items(limit_item_kind);
    const auto previous = std::ranges::find(items, upstream, &fleet::gossip_item::key);
    this->context.membership.publish(fleet::gossip_item{.kind = std::string{limit_item_kind},
        .key = upstream,
        .version = previous == items.end() ? 1u : previous->version + 1u,
        .value = encode_limit(per_second)});
}

void upstream_limits::observe_refusal_limit(
    const std::string& upstream, std::optional<unsigned> refusals_per_second, core::time_point sent_at) {
    auto* known = this->context.upstreams.find(upstream);
    if(known == nullptr || !known->concurrency.observe(refusals_per_second, sent_at, this->context.clock.now())) {
        return;
    }
    this->context.log.write(log_line{"refusal_limit"}
                                .add("upstream", upstream)
                                .add("outcome", refusals_per_second ? "limited" : "unlimited")
                                .add("per_second", static_cast<std::int64_t>(refusals_per_second.value_or(0u))));
}

double upstream_limits::draw_jitter() {
    return std::uniform_real_distribution<double>{0.0, 1.0}(this->random);
}

void upstream_limits::record_refusal(const std::string& upstream) {
    auto* known = this->context.upstreams.find(upstream);
    if(known == nullptr) {
        return;
    }
    // The refused request still counts as in progress.
    const room_refusal refusal{.in_flight = known->in_flight - std::min(known->in_flight, 1u),
        .nodes = this->nodes.size(),
        .jitter = this->draw_jitter()};
    const auto told = known->concurrency.record_refusal(refusal, this->context.clock.now());
    if(told) {
        const wire::upstream_full notice{
            .upstream = upstream, .started_ms = known->entry.started_ms, .growth = told->growth};
        this->context.peers.broadcast(wire::message_type::upstream_full, wire::pack(notice));
    }
}

void upstream_limits::merge_refusal(std::string_view packed) {
    const auto notice = wire::unpack<wire::upstream_full>(packed);
    auto* known = notice ? this->context.upstreams.find(notice->upstream) : nullptr;
    if(known != nullptr && known->entry.started_ms == notice->started_ms) {
        const room_refusal refusal{.growth = notice->growth,
            .in_flight = known->in_flight,
            .nodes = this->nodes.size(),
            .jitter = this->draw_jitter()};
        known->concurrency.record_peer_refusal(refusal, this->context.clock.now());
    }
}

void upstream_limits::record_send(upstream_state& upstream) const {
    const auto now = this->context.clock.now();
    upstream.throttle.record_send(now);
    upstream.concurrency.record_send(upstream.in_flight, now);
}

void upstream_limits::apply(const fleet::gossip_item& item) {
    auto* known = item.kind == limit_item_kind ? this->context.upstreams.find(item.key) : nullptr;
    const auto per_second = decode_limit(item.value);
    if(known != nullptr && known->throttle.assign(per_second, this->context.clock.now())) {
        this->log_limit(item.key, per_second, "peer");
    }
}

void upstream_limits::apply_announced() {
    for(const auto& item : this->context.membership.items(limit_item_kind)) {
        this->apply(item);
    }
}

void upstream_limits::update_nodes() {
    const auto now = this->context.clock.now();
    const auto members = this->context.membership.members();
    for(const auto& member : *members) {
        if(member.is_live()) {
            this->nodes_last_seen[member.info.name] = now;
        }
    }
    std::erase_if(this->nodes_last_seen, [now](const auto& entry) { return now - entry.second >= node_retention; });
    this->nodes.clear();
    for(const auto& [name, last_seen] : this->nodes_last_seen) {
        this->nodes.push_back(name);
    }
}

std::optional<core::duration> upstream_limits::wait_time(const upstream_state& upstream) const {
    const auto limit = upstream.throttle.limit();
    // A node that does not know the others yet has no share.
    const bool shares = limit && this->context.membership.joined();
    const auto senders = shares ? count_senders(*limit, upstream.entry.id, this->node_name, this->nodes) : 0u;
    const auto now = this->context.clock.now();
    const auto throttled = upstream.throttle.wait_time(senders, now);
    const auto concurrent = upstream.concurrency.wait_time(upstream.in_flight, now);
    return throttled && concurrent ? std::optional{std::max(*throttled, *concurrent)} : std::nullopt;
}

bool upstream_limits::may_send(const upstream_state& upstream) const {
    return this->wait_time(upstream) == core::duration{};
}

std::optional<core::duration> upstream_limits::exclude_waiting(
    std::string_view service, std::set<std::string>& excluded) const {
    std::optional<core::duration> shortest{};
    for(const auto* upstream : this->context.upstreams.accepting_requests(service)) {
        const auto wait = this->wait_time(*upstream);
        if(wait == core::duration{}) {
            continue;
        }
        excluded.insert(upstream->entry.id);
        const auto returns = wait.value_or(wait_without_share);
        shortest = std::min(shortest.value_or(returns), returns);
    }
    return shortest;
}

void upstream_limits::log_limit(
    const std::string& upstream, std::optional<double> per_second, std::string_view source) {
    log_line line{"upstream_limit"};
    line.add("upstream", upstream).add("outcome", per_second ? "limited" : "unlimited").add("source", source);
    if(per_second) {
        line.add("milli_per_second", static_cast<std::int64_t>(*per_second * milli));
    }
    this->context.log.write(line);
}

} // namespace lagoonsaddle::edge
