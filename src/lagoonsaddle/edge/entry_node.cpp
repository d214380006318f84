#include <algorithm>
#include <chrono>
#include <utility>

#include <lagoonsaddle/core/task.hpp>
#include <lagoonsaddle/edge/internal_entry_node.hpp>
#include <lagoonsaddle/edge/sleep.hpp>
#include <lagoonsaddle/wire/codec.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

using internal::configuration_item_kind;
using internal::crashes_until_quarantine;
using internal::leaving_item_kind;
using internal::removed_item_kind;
using internal::suspect_duration;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds housekeeping_interval{50};
/*! @brief Time without an answer of the store after which it is taken for away; longer than a watch and its delay. */
constexpr milliseconds store_silence_max{4'000};
/*! @brief Time after the return of the store in which entries of upstreams that ended during its outage expire. */
constexpr milliseconds entry_expiry_time{6'000};
/*! @brief Delay after a watch that returned changed upstreams, which the store bills one by one. */
constexpr milliseconds upstream_watch_delay{700};
/*! @brief Watch timeout of urgent records: after losing its history, the store may respond only at the timeout. */
constexpr milliseconds short_watch_timeout{1'900};
/*! @brief Watch timeout of records whose delay matters less. */
constexpr milliseconds long_watch_timeout{5'000};
constexpr milliseconds watch_timeout_min{500};
/*! @brief Watches of the configuration in the time of the revocation bound: one confirms the configuration as of its
 * begin, and only when it has ended, so that a confirmation is up to twice as old as a watch takes. */
constexpr int confirming_watches{5};
/*! @brief Loads that a lease holder always allows. Beyond the capacity of the weight store loads only become longer,
 * while a window below its share of the capacity leaves the store idle and makes requests miss their deadlines. */
constexpr double load_window_min{16.0};
/*! @brief Loads beyond the capacity of the weight store that a holder keeps in progress. */
constexpr double load_window_excess{6.0};
/*! @brief Time by which a holder with a tenth of a processor notices the end of a load late. */
constexpr milliseconds load_delay_max{200};
/*! @brief Range of the drawn durations of watches. Nodes of one start keep within it of each other; a wider one makes
 * shorter watches, and each is billed. */
constexpr milliseconds watch_timeout_range{600};
/*! @brief What is left of the bound of a record after a watch on a connection that went silent: for the answer that
 * does not come, and for the watch that follows. */
constexpr milliseconds lost_watch_margin{1'500};
/*! @brief Readiness probes and requests for metrics need no body. */
constexpr std::size_t status_request_body_limit{4u * 1024u};
/*! @brief Delay of the first watch of a node: before it has joined the fleet, it takes the fleet for a small one, whose
 * nodes all use exact reads. */
constexpr milliseconds first_watch_delay{500};

} // namespace

entry_node::impl::impl(entry_node_context uses, entry_settings values, std::uint64_t boot)
    : context{uses},
      settings{std::move(values)},
      boot_id{boot},
      metrics{this->context.clock},
      log{this->context.log, this->metrics},
      store{this->context.store, this->metrics, this->context.clock},
      selector{upstream_selector_options{.availability_zone = this->settings.availability_zone}},
      budget{retry_budget_options{.ratio = this->settings.retry_ratio,
          .slack = this->settings.retry_slack,
          .window = this->settings.retry_window}},
      membership{std::make_shared<cluster::membership_service>(
          this->context.io, this->context.clock, fleet::membership_settings{})},
      peers{this->context.io, *this->membership,
          wire::hello{.node = this->settings.name, .availability_zone = this->settings.availability_zone}},
      limits{upstream_limits_context{.clock = this->context.clock,
                 .log = this->log,
                 .upstreams = this->upstreams,
                 .membership = *this->membership,
                 .peers = this->peers},
          this->settings.name},
      quarantine{policy::crash_quarantine_options{
                     .crashes_until_quarantine = crashes_until_quarantine, .suspect_duration = suspect_duration},
          *this->membership, this->peers},
      prompt_parts{
          prompt_part_guard_context{
              .log = this->log, .upstreams = this->upstreams, .membership = *this->membership, .peers = this->peers},
          this->settings.name},
      archive{stream_archive_options{.node_name = this->settings.name}},
      unseen{std::make_shared<unseen_versions>(
          this->context.io, this->context.clock, [this] { return this->read_unseen_upstreams(); })},
      origins{stream_origin_context{.io = this->context.io,
                  .clock = this->context.clock,
                  .log = this->log,
                  .routes = this->routes,
                  .upstreams = this->upstreams,
                  .membership = *this->membership,
                  .peers = this->peers,
                  .archive = this->archive,
                  .unseen = *this->unseen},
          this->settings.name},
      paths{std::make_shared<upstream_paths>(upstream_paths_context{.io = this->context.io,
                                                 .clock = this->context.clock,
                                                 .log = this->log,
                                                 .upstreams = this->upstreams,
                                                 .membership = *this->membership,
                                                 .client = this->context.client,
                                                 .partitions = this->partitions},
          upstream_paths_options{.node_name = this->settings.name,
              .availability_zone = this->settings.availability_zone,
              .local_address = this->settings.caller_address.address,
              .relay_port = this->settings.relay_port})},
      control{this->context.io, this->context.control, this->paths},
      placement{std::make_shared<placement_service>(placement_context{.io = this->context.io,
                                                        .clock = this->context.clock,
                                                        .log = this->log,
                                                        .store = this->store,
                                                        .control = this->control,
                                                        .routes = this->routes,
                                                        .upstreams = this->upstreams,
                                                        .membership = *this->membership,
                                                        .partitions = this->partitions,
                                                        .unanswered = this->unanswered},
          placement_options{.node_name = this->settings.name,
              .availability_zone = this->settings.availability_zone,
              .boot_id = this->boot_id,
              .upstreams_check_tokens = this->settings.upstreams_check_tokens,
              .peer_endpoint = {.address = this->settings.caller_address.address, .port = this->settings.peer_port},
              .lease_time = this->settings.lease_time,
              .loads =
                  {.window = {.min = load_window_min, .excess = load_window_excess, .tolerance = load_delay_max}}})},
      dispatch{std::make_shared<dispatch_service>(dispatch_context{.io = this->context.io,
                                                      .clock = this->context.clock,
                                                      .upstreams = this->upstreams,
                                                      .placement = *this->placement,
                                                      .peers = this->peers},
          this->settings.name)},
      quotas{std::make_shared<quota_service>(quota_context{.io = this->context.io,
                                                 .clock = this->context.clock,
                                                 .log = this->log,
                                                 .metrics = this->metrics,
                                                 .routes = this->routes,
                                                 .placement = *this->placement,
                                                 .membership = *this->membership,
                                                 .peers = this->peers},
          this->settings.quota, this->settings.name)},
      configuration_updates{std::make_shared<configuration_sync>(configuration_sync_context{.io = this->context.io,
                                                                     .clock = this->context.clock,
                                                                     .log = this->log,
                                                                     .store = this->store,
                                                                     .routes = this->routes,
                                                                     .membership = *this->membership,
                                                                     .peers = this->peers},
          configuration_sync_options{},
          [this](
              configuration value, std::string_view source) { this->apply_configuration(std::move(value), source); })},
      confirmation{confirmation_options{.bound = this->settings.revocation_bound}},
      confirmations{std::make_shared<confirmation_service>(confirmation_context{.io = this->context.io,
                                                               .clock = this->context.clock,
                                                               .log = this->log,
                                                               .routes = this->routes,
                                                               .membership = *this->membership,
                                                               .peers = this->peers,
                                                               .configuration = *this->configuration_updates,
                                                               .confirmation = this->confirmation,
                                                               .reader = *this},
          confirmation_service_options{.availability_zone = this->settings.availability_zone,
              .polling = make_polling_options(this->settings.revocation_bound)})},
      request_memory{std::make_shared<core::byte_budget>(this->settings.request_body_memory_bytes)},
      response_memory{this->settings.response_body_memory_bytes},
      request_forwarder{forwarder_context{.clock = this->context.clock,
          .log = this->log,
          .format = this->context.format,
          .client = this->context.client,
          .routes = this->routes,
          .configuration = *this->configuration_updates,
          .upstreams = this->upstreams,
          .limits = this->limits,
          .observer = *this,
          .selector = this->selector,
          .budget = this->budget,
          .placement = *this->placement,
          .dispatch = *this->dispatch,
          .quarantine = this->quarantine,
          .verifier = this->verifier,
          .prompt_parts = this->prompt_parts,
          .origins = this->origins,
          .paths = *this->paths,
          .membership = *this->membership,
          .quotas = *this->quotas,
          .metrics = this->metrics,
          .response_memory = this->response_memory,
          .confirmation = &this->confirmation}},
      readiness{*this},
      metrics_endpoint{*this},
      caller_server{this->context.io, this->request_forwarder,
          http::server_options{.listen = this->settings.caller_address, .body_memory = this->request_memory}},
      readiness_server{this->context.io, this->readiness,
          http::server_options{
              .listen = this->settings.readiness_address, .body_limit_bytes = status_request_body_limit}},
      metrics_server{this->context.io, this->metrics_endpoint,
          http::server_options{
              .listen = {.address = this->settings.caller_address.address, .port = this->settings.metrics_port},
              .body_limit_bytes = status_request_body_limit}},
      peer_server{this->context.io, *this,
          {.address = this->settings.caller_address.address, .port = this->settings.peer_port},
          wire::hello{.node = this->settings.name, .availability_zone = this->settings.availability_zone}},
      relay_server{this->context.io, *this->paths,
          relay::relay_server_options{
              .listen = {.address = this->settings.caller_address.address, .port = this->settings.relay_port}}},
      shared_backoff{this->context.io},
      archive_updates{std::make_shared<stream_archive_service>(stream_archive_context{.io = this->context.io,
                                                                   .clock = this->context.clock,
                                                                   .log = this->log,
                                                                   .store = this->store,
                                                                   .backoff = this->shared_backoff,
                                                                   .routes = this->routes,
                                                                   .upstreams = this->upstreams,
                                                                   .membership = *this->membership,
                                                                   .archive = this->archive},
          stream_archive_service_options{.node_name = this->settings.name},
          [this](const std::vector<resumable_stream>& streams) { this->origins.adopt(streams); })},
      records{std::make_shared<record_exchange>(record_exchange_context{.io = this->context.io,
                                                    .clock = this->context.clock,
                                                    .log = this->log,
                                                    .records = *this,
                                                    .peers = this->peers,
                                                    .unanswered = this->unanswered},
          record_exchange_options{})},
      started{this->context.clock.now()} {}

core::result<void> entry_node::impl::start() {
    const core::endpoint peer_address{
        .address = this->settings.caller_address.address, .port = this->settings.peer_port};
    for(auto* server : {&this->caller_server, &this->readiness_server}) {
        if(auto listening = server->start(); !listening) {
            return listening;
        }
    }
    if(const auto listening = this->metrics_server.start(); !listening) {
        // Not fatal: callers can be served without metrics.
        this->log.write(log_line{"metrics_unavailable"}.add("message", listening.error().message));
    }
    if(const auto listening = this->relay_server.start(); !listening) {
        // Not fatal: only peers that are partitioned from the upstreams need the relay.
        this->log.write(log_line{"relay_unavailable"}.add("message", listening.error().message));
    }
    if(auto listening = this->peer_server.start(); !listening) {
        return listening;
    }
    const auto bound = this->membership->bind(peer_address);
    if(!bound) {
        return tl::make_unexpected(bound.error());
    }
    this->membership->on_item([this](const fleet::gossip_item& value) {
        this->quarantine.merge(value);
        this->prompt_parts.apply(value);
        this->limits.apply(value);
        this->partitions.apply(value, this->context.clock.now());
        if(value.kind == configuration_item_kind) {
            this->configuration_updates->announce(value.version);
        }
        if(value.kind == leaving_item_kind) {
            this->apply_leaving(value.key, value.version);
        }
        if(value.kind == removed_item_kind) {
            this->apply_removed(value.key, value.version);
        }
    });
    this->membership->on_member_change([this](const fleet::member_change& change) {
        const auto& other = change.member;
        this->log.write(log_line{"member"}.add("node", other.info.name).add("state", fleet::to_string(other.state)));
        if(!other.is_live() || change.restarted) {
            this->peers.end_connection(change);
            this->dispatch->remove_node(other.info.name);
        }
        if(cluster::has_failed(change)) {
            this->paths->cancel_exchanges(other.info.name);
        }
    });
    this->membership->start(fleet::member_info{.name = this->settings.name,
                                .availability_zone = this->settings.availability_zone,
                                .udp = peer_address,
                                .tcp = peer_address,
                                .boot_id = this->boot_id},
        this->peer_endpoints(this->settings.seeds));
    this->configuration_updates->on_read(
        [this](const record_page& page, core::time_point begun) { this->confirm_listed(page, begun); });
    this->confirmations->start();
    this->start_watcher(record_kind::configuration, short_watch_timeout, milliseconds{0});
    this->start_watcher(record_kind::upstreams, short_watch_timeout, upstream_watch_delay);
    const auto version_watch_timeout =
        std::clamp(this->settings.version_bound - lost_watch_margin, watch_timeout_min, long_watch_timeout);
    this->start_watcher(record_kind::versions, version_watch_timeout, milliseconds{100});
    this->start_watcher(record_kind::leases, long_watch_timeout, milliseconds{0});
    this->origins.wait_for(this->archive_updates);
    this->archive_updates->start();
    this->records->start();
    this->paths->start();
    this->placement->start();
    this->dispatch->start();
    core::start_service(this->context.io, "housekeeping", [this] { return this->run_housekeeping(); });
    return {};
}

std::vector<core::endpoint> entry_node::impl::peer_endpoints(std::span<const std::string> addresses) const {
    std::vector<core::endpoint> endpoints{};
    endpoints.reserve(addresses.size());
    for(const auto& address : addresses) {
        endpoints.push_back({.address = address, .port = this->settings.peer_port});
    }
    return endpoints;
}

void entry_node::impl::apply_seeds(std::span<const std::string> addresses) {
    this->membership->add_seeds(this->peer_endpoints(addresses));
}

void entry_node::impl::start_watcher(record_kind kind, milliseconds timeout, milliseconds delay_after_changes) {
    auto& watcher = *this->watchers.emplace_back(
        std::make_unique<record_watcher>(this->store, *this, this->shared_backoff, this->context.clock, this->log,
            record_watcher_options{.kind = kind,
                .watch_timeout = timeout,
                .drawn_timeout_min = std::max(timeout / 2, timeout - watch_timeout_range),
                .delay_after_changes = delay_after_changes,
                .first_watch_delay = first_watch_delay,
                .required_freshness = [this] { return this->watch_freshness(); },
                .exact_watch_limit =
                    [this, kind] {
                        return this->exact_watch_limit(kind);
                    }}));
    core::start_service(this->context.io, "record_watcher", [&watcher] { return watcher.run(); });
}

bool entry_node::impl::ready() const {
    return !this->stopping && this->upstreams_known && this->caller_server.is_accepting() &&
           this->configuration_updates->state() != configuration_state::unknown;
}

milliseconds entry_node::impl::exact_watch_limit(record_kind kind) const {
    const bool confirms = kind == record_kind::configuration && this->confirmations->in_force();
    return confirms ? std::max(this->settings.revocation_bound / confirming_watches, watch_timeout_min)
                    : milliseconds::max();
}

record_watcher* entry_node::impl::find_watcher(record_kind kind) const {
    const auto watcher =
        std::ranges::find_if(this->watchers, [kind](const auto& candidate) { return candidate->kind() == kind; });
    return watcher == this->watchers.end() ? nullptr : watcher->get();
}

asio::awaitable<core::result<record_page>> entry_node::impl::read_unseen_upstreams() {
    auto* watcher = this->find_watcher(record_kind::upstreams);
    if(watcher == nullptr) {
        co_return core::fail(core::reason::unavailable, "the node has not started to read the store");
    }
    co_return co_await watcher->read_ahead();
}

bool entry_node::impl::entries_expire() const {
    const auto now = this->context.clock.now();
    const auto* watcher = this->find_watcher(record_kind::upstreams);
    const auto last_success = watcher == nullptr ? std::nullopt : watcher->last_success();
    const bool answering = last_success && now - *last_success < store_silence_max && watcher->has_complete_list();
    return answering && (!this->store_returned || now - *this->store_returned >= entry_expiry_time);
}

asio::awaitable<void> entry_node::impl::run_housekeeping() {
    while(true) {
        co_await sleep_for(housekeeping_interval);
        for(const auto& id : this->upstreams.remove_expired(this->context.clock.now())) {
            this->log.write(log_line{"upstream_gone"}.add("upstream", id).add("reason", "missing_after_outage"));
        }
        this->upstreams.set_current(this->entries_expire(), this->context.clock.now());
        this->broadcast_updates();
        this->limits.update_nodes();
        this->log_speed_changes();
        this->prompt_parts.expire();
        this->origins.expire();
        this->context.log.flush();
    }
}

asio::awaitable<void> entry_node::impl::handle(
    std::string peer, wire::frame message, std::shared_ptr<wire::responder> responder) {
    if(message.type == wire::message_type::quarantine_update) {
        this->quarantine.merge(message.body);
        if(const auto update = wire::unpack<wire::quarantine_update>(message.body)) {
            this->log.write(log_line{"crash"}
                                .add("digest", update->digest)
                                .add("crashes", static_cast<std::int64_t>(update->crashes.size()))
                                .add("source", "peer"));
        }
    } else if(message.type == wire::message_type::prompt_part_update) {
        this->prompt_parts.merge(message.body);
    } else if(message.type == wire::message_type::upstream_full) {
        this->limits.merge_refusal(message.body);
    } else if(message.type == wire::message_type::stream_origin_update) {
        this->origins.merge(message.body);
    } else if(message.type == wire::message_type::stream_origin_get) {
        if(const auto question = wire::unpack<wire::stream_origin_get>(message.body)) {
            responder->send(wire::message_type::stream_origin_reply, wire::pack(this->origins.make_reply(*question)));
        }
    } else if(message.type == wire::message_type::store_news) {
        if(const auto updates = wire::unpack<wire::store_news>(message.body)) {
            this->apply_updates(*updates, peer);
        }
    } else if(message.type == wire::message_type::request_progress) {
        if(const auto progress = wire::unpack<wire::request_progress>(message.body)) {
            this->dispatch->apply_progress(peer, *progress);
        }
    } else if(message.type == wire::message_type::config_get) {
        responder->send(wire::message_type::config_reply, wire::pack(this->configuration_updates->make_reply()));
    } else if(message.type == wire::message_type::records_get) {
        if(const auto known = wire::unpack<wire::records_summary>(message.body)) {
            responder->send(wire::message_type::records_reply, wire::pack(this->records->make_reply(peer, *known)));
        }
    } else if(message.type == wire::message_type::records_notice) {
        if(const auto known = wire::unpack<wire::records_summary>(message.body)) {
            this->records->apply_notice(peer, *known);
        }
    } else if(message.type == wire::message_type::confirmation_get) {
        if(const auto question = wire::unpack<wire::confirmation_get>(message.body)) {
            const auto reply = this->confirmations->make_reply(*question, peer);
            responder->send(wire::message_type::confirmation_reply, wire::pack(reply));
        }
    } else if(message.type == wire::message_type::quota_request) {
        if(const auto request = wire::unpack<wire::quota_request>(message.body)) {
            responder->send(wire::message_type::quota_grant, wire::pack(this->quotas->make_grant(*request)));
        }
    } else if(message.type == wire::message_type::place_request) {
        if(auto request = wire::unpack<wire::place_request>(message.body)) {
            dispatch_service::pending_callback on_pending{};
            if(request->knows_pending) {
                on_pending = [responder](const std::string& upstream) {
                    const wire::placement_pending notice{.upstream = upstream};
                    responder->send(wire::message_type::placement_pending, wire::pack(notice));
                };
            }
            const auto reply =
                co_await this->dispatch->place_as_holder(std::move(peer), std::move(*request), std::move(on_pending));
            responder->send(wire::message_type::placement, wire::pack(reply));
        }
    }
}

entry_node::entry_node(entry_node_context context, entry_settings settings, std::uint64_t boot_id)
    : implementation{std::make_unique<impl>(context, std::move(settings), boot_id)} {}

entry_node::~entry_node() = default;

core::result<void> entry_node::start() {
    return this->implementation->start();
}

asio::awaitable<void> entry_node::stop() {
    return this->implementation->stop();
}

std::string entry_node::state_json() const {
    return this->implementation->state_json();
}

void entry_node::apply_seeds(std::span<const std::string> addresses) {
    this->implementation->apply_seeds(addresses);
}

} // namespace lagoonsaddle::edge
