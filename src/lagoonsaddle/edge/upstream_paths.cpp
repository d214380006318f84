#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>

#include <lagoonsaddle/core/task.hpp>
#include <lagoonsaddle/edge/relay_selection.hpp>
#include <lagoonsaddle/edge/sleep.hpp>
#include <lagoonsaddle/edge/upstream_paths.hpp>
#include <lagoonsaddle/relay/relay_connector.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds maintenance_interval{50};
/*! @brief Time for the connection to a peer's relay, and for its connection to the upstream. */
constexpr milliseconds relay_connect_timeout{500};
/*! @brief Expiry of a timer that serves as a condition variable: its waiters are woken by cancelling it. */
constexpr std::chrono::hours condition_timer_expiry{24 * 365};

/*! @brief Outcome of the connections of one sample. */
struct sample_progress {
    explicit sample_progress(asio::io_context& io) : changed{io, condition_timer_expiry} {}

    std::size_t pending{};
    bool reached{false};
    asio::steady_timer changed;
};

} // namespace

/*! @brief Counts an exchange for the peer that relays it. */
class upstream_paths::counted_exchange final : public relayed_exchange {
public:
    counted_exchange(std::shared_ptr<upstream_paths> paths, std::string peer,
        std::shared_ptr<http::connector> connector, const std::shared_ptr<http::exchange_control>& control)
        : owner{std::move(paths)},
          name{std::move(peer)},
          way{std::move(connector)},
          entry{this->owner->relayed.emplace(this->name, control)} {}

    counted_exchange(const counted_exchange&) = delete;
    counted_exchange& operator=(const counted_exchange&) = delete;

    ~counted_exchange() override {
        this->owner->relayed.erase(this->entry);
    }

    [[nodiscard]] const std::string& peer() const noexcept override {
        return this->name;
    }

    [[nodiscard]] std::shared_ptr<http::connector> connector() const override {
        return this->way;
    }

private:
    std::shared_ptr<upstream_paths> owner;
    std::string name;
    std::shared_ptr<http::connector> way;
    std::multimap<std::string, std::weak_ptr<http::exchange_control>, std::less<>>::iterator entry;
};

/*! @brief Reports an exchange over this node's own path to the monitor. */
class upstream_paths::watched_exchange final : public direct_exchange {
public:
    watched_exchange(
        std::shared_ptr<upstream_paths> paths, std::string id, const std::shared_ptr<http::exchange_control>& control)
        : owner{std::move(paths)}, upstream{std::move(id)}, number{++this->owner->last_exchange} {
        this->owner->monitor.begin_exchange(this->number, this->owner->context.clock.now());
        if(control) {
            this->owner->repeatable.emplace(this->number, control);
        }
    }

    watched_exchange(const watched_exchange&) = delete;
    watched_exchange& operator=(const watched_exchange&) = delete;

    ~watched_exchange() override {
        this->owner->monitor.end_exchange(this->number);
        this->owner->repeatable.erase(this->number);
    }

    void record_received() override {
        this->owner->monitor.record_received(this->number, this->upstream, this->owner->context.clock.now());
    }

private:
    std::shared_ptr<upstream_paths> owner;
    std::string upstream;
    std::uint64_t number;
};

upstream_paths::upstream_paths(upstream_paths_context uses, upstream_paths_options options)
    : context{uses}, settings{std::move(options)}, sample_timer{this->context.io, condition_timer_expiry} {}

upstream_paths::~upstream_paths() = default;

void upstream_paths::start() {
    core::start_service(
        this->context.io, "upstream_paths", [self = this->shared_from_this()] { return self->maintain(); });
}

asio::awaitable<void> upstream_paths::maintain() {
    while(true) {
        co_await sleep_for(maintenance_interval);
        if(!this->sampling && this->monitor.is_sample_due(this->context.clock.now())) {
            co_await this->run_sample({});
        }
        this->context.partitions.repeat_announcement(this->context.membership, this->context.clock.now());
    }
}

milliseconds upstream_paths::reuse_limit(milliseconds usual) const {
    const auto limit = this->monitor.reuse_limit(this->context.clock.now());
    return limit ? std::min(usual, std::chrono::duration_cast<milliseconds>(*limit)) : usual;
}

std::unique_ptr<direct_exchange> upstream_paths::begin_direct(
    const std::string& upstream, const std::shared_ptr<http::exchange_control>& control) {
    return std::make_unique<watched_exchange>(this->shared_from_this(), upstream, control);
}

asio::awaitable<bool> upstream_paths::reaches_upstreams(std::string suspect) {
    if(!this->partitioned() && !this->monitor.is_sample_valid(this->context.clock.now())) {
        if(this->sampling) {
            co_await wait_for(this->sample_timer);
        } else {
            co_await this->run_sample(std::move(suspect));
        }
    }
    co_return !this->partitioned();
}

asio::awaitable<void> upstream_paths::run_sample(std::string suspect) {
    std::vector<std::string> ids{};
    for(const auto& [id, known] : this->context.upstreams.all()) {
        ids.push_back(id);
    }
    const auto chosen = this->monitor.choose_sample(ids, suspect);
    const auto progress = std::make_shared<sample_progress>(this->context.io);
    progress->pending = chosen.size();
    path_sample sample{.started = this->context.clock.now(), .tried = chosen.size()};
    this->sampling = true;
    for(const auto& id : chosen) {
        asio::co_spawn(
            this->context.io,
            [self = this->shared_from_this(), progress,
                address = this->context.upstreams.find(id)->entry.address]() -> asio::awaitable<void> {
                const auto connected = co_await self->context.client.preconnect(address);
                --progress->pending;
                progress->reached = progress->reached || connected;
                progress->changed.cancel();
            },
            core::task_end{"path_sample"});
    }
    while(!progress->reached && progress->pending > 0u) {
        co_await wait_for(progress->changed);
    }
    sample.reached = progress->reached;
    this->sampling = false;
    this->apply_sample(sample);
    this->sample_timer.cancel();
}

void upstream_paths::apply_sample(const path_sample& sample) {
    if(!this->monitor.apply(sample, this->context.clock.now())) {
        return;
    }
    this->context.log.write(log_line{this->partitioned() ? "partitioned" : "partition_healed"}
                                .add("tried", static_cast<std::int64_t>(sample.tried))
                                .add("upstreams", static_cast<std::int64_t>(this->context.upstreams.all().size()))
                                .add("relayed", static_cast<std::int64_t>(this->relayed.size())));
    this->context.partitions.announce(this->context.membership, this->partitioned(), this->context.clock.now());
    if(this->partitioned()) {
        this->cancel_silent_exchanges();
    }
}

void upstream_paths::cancel_silent_exchanges() {
    std::vector<std::shared_ptr<http::exchange_control>> cancelled{};
    for(const auto id : this->monitor.silent_exchanges(this->context.clock.now())) {
        if(const auto found = this->repeatable.find(id); found != this->repeatable.end()) {
            cancelled.push_back(found->second.lock());
        }
    }
    for(const auto& control : cancelled) {
        if(control) {
            control->cancel();
        }
    }
}

std::vector<fleet::member> upstream_paths::relays(const std::set<std::string>& excluded) const {
    std::vector<fleet::member> found{};
    const auto members = this->context.membership.members();
    const auto now = this->context.clock.now();
    std::ranges::copy_if(*members, std::back_inserter(found), [this, &excluded, now](const fleet::member& other) {
        return other.state == fleet::member_state::alive && other.info.name != this->settings.node_name &&
               !excluded.contains(other.info.name) && !this->context.partitions.contains(other.info, now);
    });
    return found;
}

std::unique_ptr<relayed_exchange> upstream_paths::choose_relay(const upstream_entry& upstream,
    const std::set<std::string>& excluded, milliseconds lifetime,
    const std::shared_ptr<http::exchange_control>& control) {
    const auto peers = this->relays(excluded);
    std::vector<relay_candidate> candidates{};
    candidates.reserve(peers.size());
    for(const auto& peer : peers) {
        candidates.push_back({.name = peer.info.name,
            .availability_zone = peer.info.availability_zone,
            .exchanges = this->relayed.count(peer.info.name)});
    }
    const auto chosen = select_relay(candidates, {.upstream = upstream.id,
                                                     .upstream_zone = upstream.availability_zone,
                                                     .node_zone = this->settings.availability_zone});
    if(!chosen) {
        return nullptr;
    }
    const auto& peer = peers[*chosen].info;
    auto connector = std::make_shared<relay::relay_connector>(
        relay::relay_connector_options{.relay = {.address = peer.tcp.address, .port = this->settings.relay_port},
            .local_address = this->settings.local_address,
            .node = this->settings.node_name,
            .upstream = upstream.id,
            .lifetime = lifetime,
            .timeout = relay_connect_timeout});
    return std::make_unique<counted_exchange>(this->shared_from_this(), peer.name, std::move(connector), control);
}

void upstream_paths::cancel_exchanges(std::string_view peer) {
    const auto [begin, end] = this->relayed.equal_range(peer);
    std::vector<std::shared_ptr<http::exchange_control>> cancelled{};
    std::ranges::transform(
        begin, end, std::back_inserter(cancelled), [](const auto& entry) { return entry.second.lock(); });
    for(const auto& control : cancelled) {
        if(control) {
            control->cancel();
        }
    }
}

core::result<core::endpoint> upstream_paths::admit(
    const relay::open_request& request, std::string_view remote_address) {
    const auto member = this->context.membership.find_live_member(request.node);
    if(!member || member->info.tcp.address != remote_address) {
        return core::fail(core::reason::unauthorized, "the sender is not a live member of the fleet");
    }
    if(this->stopping) {
        return core::fail(core::reason::draining, "the relay is stopping");
    }
    if(this->partitioned()) {
        return core::fail(core::reason::unavailable, "the relay is partitioned from the upstreams itself");
    }
    const auto* known = this->context.upstreams.find(request.upstream);
    if(known == nullptr) {
        return core::fail(core::reason::not_found, "the relay does not know the upstream");
    }
    if(known->is_ending()) {
        return core::fail(core::reason::draining, "the upstream is leaving");
    }
    return known->entry.address;
}

void upstream_paths::on_listening() {
    this->context.log.write(
        log_line{"relay_available"}.add("port", static_cast<std::int64_t>(this->settings.relay_port)));
}

void upstream_paths::on_connect(const relay::open_request& request, bool connected) {
    this->context.log.write(log_line{"relay"}
                                .add("node", request.node)
                                .add("upstream", request.upstream)
                                .add("outcome", connected ? "connected" : "unreachable"));
    if(connected) {
        return;
    }
    asio::co_spawn(
        this->context.io,
        [self = this->shared_from_this(), upstream = request.upstream]() -> asio::awaitable<void> {
            static_cast<void>(co_await self->reaches_upstreams(upstream));
        },
        core::task_end{"path_check"});
}

asio::awaitable<bool> upstream_paths::reset_by_upstream(std::string upstream) {
    return this->reaches_upstreams(std::move(upstream));
}

} // namespace lagoonsaddle::edge
