#include <chrono>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <lagoonsaddle/edge/dispatch_service.hpp>
#include <lagoonsaddle/edge/entry_node.hpp>
#include <lagoonsaddle/edge/forwarder.hpp>
#include <lagoonsaddle/edge/metered.hpp>
#include <lagoonsaddle/edge/process_metrics.hpp>
#include <lagoonsaddle/edge/reader_selection.hpp>
#include <lagoonsaddle/edge/record_watcher.hpp>
#include <lagoonsaddle/http/json.hpp>
#include <lagoonsaddle/http/server.hpp>
#include <lagoonsaddle/wire/codec.hpp>
#include <lagoonsaddle/wire/peer_server.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

constexpr std::string_view leaving_item_kind{"leaving"};
constexpr std::string_view configuration_item_kind{"configuration"};
constexpr std::chrono::minutes leaving_item_lifetime{2};
/*! @brief Crashes of different upstreams after which a request is refused. */
constexpr std::size_t crashes_until_quarantine{3u};
constexpr std::chrono::minutes suspect_duration{2};
constexpr milliseconds housekeeping_interval{50};
/*! @brief Time for which a stopping node still takes requests: the balancer needs two questions, a second apart. */
constexpr milliseconds rotation_time{3'000};
/*! @brief Time before the end of the stop timeout at which the node exits in any case. */
constexpr milliseconds exit_margin{400};
constexpr milliseconds stop_poll{50};
/*! @brief Time after the signal to stop from which long requests are refused: their answers would be cut off. */
constexpr milliseconds refuse_after{2'400};
/*! @brief Pause of a watch after changes, which are priced one by one. */
constexpr milliseconds upstream_watch_spacing{700};
/*! @brief A store that drops its history may answer a watch only at the end of its wait. */
constexpr milliseconds short_wait{1'900};
constexpr milliseconds long_wait{5'000};
/*! @brief An outage shorter than this lets no entries lapse. */
constexpr milliseconds lapse_after{1'000};

} // namespace

class entry_node::parts final : public record_observer, public wire::peer_handler {
public:
    parts(entry_node_context uses, entry_settings values, std::uint64_t boot);

    [[nodiscard]] core::result<void> start();
    [[nodiscard]] asio::awaitable<void> stop();
    [[nodiscard]] std::string dump() const;
    [[nodiscard]] bool ready() const noexcept;
    [[nodiscard]] std::string metrics_text();

    void listed(record_kind kind, const record_page& page) override;
    void changed(record_kind kind, const record_page& page) override;
    void store_returned(record_kind kind, core::duration outage) override;
    asio::awaitable<void> handle(
        std::string peer, wire::frame message, std::shared_ptr<wire::responder> answer) override;

private:
    /*! @brief Answers the balancer's readiness question. */
    class readiness_handler final : public http::handler {
    public:
        explicit readiness_handler(const parts& node) : owner{node} {}

        asio::awaitable<void> handle(http::request, http::response_writer& writer) override {
            http::response answer{.status = this->owner.ready() ? 200u : 503u};
            static_cast<void>(co_await writer.send(std::move(answer)));
        }

    private:
        const parts& owner;
    };

    /*! @brief Serves metrics and the state dump. */
    class metrics_handler final : public http::handler {
    public:
        explicit metrics_handler(parts& node) : owner{node} {}

        asio::awaitable<void> handle(http::request message, http::response_writer& writer) override {
            http::response answer{.status = 200u};
            answer.headers.set("content-type", "text/plain");
            if(message.target == "/metrics") {
                answer.body = this->owner.metrics_text();
            } else if(message.target == "/state") {
                answer.body = this->owner.dump();
            } else {
                answer.status = 404u;
            }
            static_cast<void>(co_await writer.send(std::move(answer)));
        }

    private:
        parts& owner;
    };

    /*! @brief Tells the peers what is new, once after each answer of the store. */
    void send_news();
    void receive_news(const wire::store_news& value);
    [[nodiscard]] freshness watch_age() const;
    void take_upstream(const record_change& change);
    void take_configuration(const record_change& change);
    void take_lease(const record_change& change);
    /*! @brief Reads the configuration because a peer has a newer one. */
    void fetch_configuration();
    void announce_leaving(const std::string& id);
    void spawn_watcher(record_kind kind, milliseconds wait, milliseconds spacing);
    [[nodiscard]] asio::awaitable<void> keep_house();

    entry_node_context context;
    entry_settings settings;
    std::uint64_t boot_id;

    operate::metrics_registry metrics;
    metered_log log;
    metered_store store;
    route_table routes{};
    upstream_table upstreams{};
    upstream_selector selector;
    retry_budget budget;
    std::shared_ptr<cluster::membership_service> membership;
    cluster::peer_directory peers;
    cluster::quarantine_service quarantine;
    crash_verifier review{crash_verifier_options{
        .crashes_until_quarantine = crashes_until_quarantine, .suspect_duration = suspect_duration}};
    std::shared_ptr<placement_service> placement;
    std::shared_ptr<dispatch_service> dispatch;
    forwarder requests;
    readiness_handler readiness;
    metrics_handler metrics_pages;
    http::server caller_server;
    http::server readiness_server;
    http::server metrics_server;
    wire::peer_server peer_server;
    store_backoff outage;
    std::vector<std::unique_ptr<record_watcher>> watchers{};
    /*! @brief What was read since the last message to the peers. */
    wire::store_news news{};
    core::time_point started{};
    bool upstreams_known{false};
    bool fetching_configuration{false};
    bool stopping{false};
};

entry_node::parts::parts(entry_node_context uses, entry_settings values, std::uint64_t boot)
    : context{uses},
      settings{std::move(values)},
      boot_id{boot},
      metrics{this->context.time},
      log{this->context.log, this->metrics},
      store{this->context.store, this->metrics, this->context.time},
      selector{upstream_selector_options{.availability_zone = this->settings.availability_zone}},
      budget{retry_budget_options{.ratio = this->settings.retry_ratio,
          .slack = this->settings.retry_slack,
          .window = this->settings.retry_window}},
      membership{std::make_shared<cluster::membership_service>(
          this->context.io, this->context.time, fleet::membership_settings{})},
      peers{this->context.io, *this->membership,
          wire::hello{.node = this->settings.name, .availability_zone = this->settings.availability_zone}},
      quarantine{policy::crash_quarantine_options{
                     .crashes_until_quarantine = crashes_until_quarantine, .suspect_duration = suspect_duration},
          *this->membership, this->peers},
      placement{std::make_shared<placement_service>(placement_context{.io = this->context.io,
                                                        .time = this->context.time,
                                                        .log = this->log,
                                                        .store = this->store,
                                                        .control = this->context.control,
                                                        .routes = this->routes,
                                                        .upstreams = this->upstreams,
                                                        .membership = *this->membership},
          placement_options{.self = this->settings.name,
              .availability_zone = this->settings.availability_zone,
              .boot_id = this->boot_id,
              .upstreams_check_tokens = this->settings.upstreams_check_tokens,
              .lease_time = this->settings.lease_time})},
      dispatch{std::make_shared<dispatch_service>(dispatch_context{.io = this->context.io,
                                                      .time = this->context.time,
                                                      .upstreams = this->upstreams,
                                                      .placement = *this->placement,
                                                      .peers = this->peers},
          this->settings.name)},
      requests{forwarder_context{.time = this->context.time,
          .log = this->log,
          .format = this->context.format,
          .client = this->context.client,
          .routes = this->routes,
          .upstreams = this->upstreams,
          .selector = this->selector,
          .budget = this->budget,
          .placement = *this->placement,
          .dispatch = *this->dispatch,
          .quarantine = this->quarantine,
          .review = this->review,
          .membership = *this->membership,
          .metrics = this->metrics}},
      readiness{*this},
      metrics_pages{*this},
      caller_server{this->context.io, this->requests, http::server_options{.listen = this->settings.callers}},
      readiness_server{this->context.io, this->readiness, http::server_options{.listen = this->settings.readiness}},
      metrics_server{this->context.io, this->metrics_pages,
          http::server_options{
              .listen = {.address = this->settings.callers.address, .port = this->settings.metrics_port}}},
      peer_server{this->context.io, *this,
          {.address = this->settings.callers.address, .port = this->settings.peer_port},
          wire::hello{.node = this->settings.name, .availability_zone = this->settings.availability_zone}},
      outage{this->context.io},
      started{this->context.time.now()} {}

core::result<void> entry_node::parts::start() {
    const core::endpoint peer_address{.address = this->settings.callers.address, .port = this->settings.peer_port};
    for(auto* server : {&this->caller_server, &this->readiness_server}) {
        if(auto listening = server->start(); !listening) {
            return listening;
        }
    }
    if(const auto listening = this->metrics_server.start(); !listening) {
        // Callers are served without metrics.
        this->log.write(log_line{"metrics_unavailable"}.add("message", listening.error().message));
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
        if(value.kind == configuration_item_kind && value.version > this->routes.version()) {
            this->fetch_configuration();
        }
        if(value.kind == leaving_item_kind && this->upstreams.mark_leaving(value.key, value.version)) {
            this->log.write(log_line{"upstream_leaving"}.add("upstream", value.key).add("source", "peer"));
        }
    });
    this->membership->on_member_change([this](const fleet::member_change& change) {
        const auto& other = change.member;
        this->log.write(log_line{"member"}.add("node", other.info.name).add("state", fleet::to_string(other.state)));
        if(!other.is_live() || change.restarted) {
            this->peers.disconnect(other.info.name);
            this->dispatch->node_gone(other.info.name);
        }
    });
    std::vector<core::endpoint> seeds{};
    seeds.reserve(this->settings.seeds.size());
    for(const auto& address : this->settings.seeds) {
        seeds.push_back({.address = address, .port = this->settings.peer_port});
    }
    this->membership->start(fleet::member_info{.name = this->settings.name,
                                .availability_zone = this->settings.availability_zone,
                                .udp = peer_address,
                                .tcp = peer_address,
                                .boot_id = this->boot_id},
        std::move(seeds));
    this->spawn_watcher(record_kind::configuration, short_wait, milliseconds{0});
    this->spawn_watcher(record_kind::upstreams, short_wait, upstream_watch_spacing);
    this->spawn_watcher(record_kind::versions, long_wait, milliseconds{100});
    this->spawn_watcher(record_kind::leases, long_wait, milliseconds{0});
    this->placement->start();
    this->dispatch->start();
    asio::co_spawn(
        this->context.io, [this] { return this->keep_house(); }, asio::detached);
    return {};
}

void entry_node::parts::spawn_watcher(record_kind kind, milliseconds wait, milliseconds spacing) {
    auto& watcher = *this->watchers.emplace_back(
        std::make_unique<record_watcher>(this->store, *this, this->outage, this->context.time, this->log,
            record_watcher_options{.kind = kind, .wait = wait, .spacing = spacing, .age = [this] {
                                       return this->watch_age();
                                   }}));
    asio::co_spawn(
        this->context.io, [&watcher] { return watcher.run(); }, asio::detached);
}

bool entry_node::parts::ready() const noexcept {
    return !this->stopping && this->routes.version() > 0u && this->upstreams_known;
}

asio::awaitable<void> entry_node::parts::keep_house() {
    asio::steady_timer timer{co_await asio::this_coro::executor};
    while(true) {
        timer.expires_after(housekeeping_interval);
        boost::system::error_code ignored{};
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        for(const auto& id : this->upstreams.remove_expired(this->context.time.now())) {
            this->log.write(log_line{"upstream_gone"}.add("upstream", id).add("reason", "missing_after_outage"));
        }
        this->context.log.flush();
    }
}

freshness entry_node::parts::watch_age() const {
    const auto members = this->membership->members();
    const bool exact = is_exact_reader(this->settings.name, this->settings.availability_zone, *members);
    return exact ? freshness::exact : freshness::stale;
}

void entry_node::parts::send_news() {
    const auto value = std::exchange(this->news, {});
    const bool empty = value.configuration_version == 0u && value.leaving.empty() && value.versions.empty();
    if(!empty && this->watch_age() == freshness::exact) {
        this->peers.broadcast(wire::message_type::store_news, wire::pack(value));
    }
}

void entry_node::parts::receive_news(const wire::store_news& value) {
    for(const auto& entry : value.leaving) {
        if(this->upstreams.mark_leaving(entry.upstream, entry.started_ms)) {
            this->log.write(log_line{"upstream_leaving"}.add("upstream", entry.upstream).add("source", "peer"));
        }
    }
    for(const auto& entry : value.versions) {
        this->placement->version_announced(
            version_record{.model = entry.model, .adapter = entry.adapter, .version = entry.version});
    }
    if(value.configuration_version > this->routes.version()) {
        this->fetch_configuration();
    }
}

void entry_node::parts::announce_leaving(const std::string& id) {
    const auto* known = this->upstreams.find(id);
    this->log.write(
        log_line{known != nullptr ? "upstream_leaving" : "upstream_gone"}.add("upstream", id).add("source", "store"));
    if(known != nullptr) {
        this->news.leaving.push_back({.upstream = id, .started_ms = known->entry.started_ms});
        this->membership->publish(fleet::gossip_item{.kind = std::string{leaving_item_kind},
            .key = id,
            .version = known->entry.started_ms,
            .lifetime = leaving_item_lifetime});
    }
}

void entry_node::parts::take_upstream(const record_change& change) {
    const auto now = this->context.time.now();
    const auto* entry = std::get_if<upstream_entry>(&change.value);
    const bool known = this->upstreams.find(change.name) != nullptr;
    if(entry != nullptr && !known) {
        this->log.write(log_line{"upstream_added"}
                            .add("upstream", entry->id)
                            .add("service", entry->service)
                            .add("zone", entry->availability_zone)
                            .add("address", core::to_string(entry->address)));
    }
    const bool leaves =
        entry != nullptr ? this->upstreams.update(*entry, now) : this->upstreams.remove(change.name, now);
    if(leaves) {
        this->announce_leaving(change.name);
    }
}

void entry_node::parts::take_configuration(const record_change& change) {
    const auto* config = std::get_if<configuration>(&change.value);
    if(config != nullptr && this->routes.apply(*config)) {
        this->log.write(log_line{"configuration"}
                            .add("version", static_cast<std::int64_t>(config->version))
                            .add("revision", static_cast<std::int64_t>(change.revision))
                            .add("routes", static_cast<std::int64_t>(config->routes.size())));
        this->news.configuration_version = config->version;
        this->membership->publish(fleet::gossip_item{
            .kind = std::string{configuration_item_kind}, .key = "newest", .version = config->version});
    }
}

void entry_node::parts::fetch_configuration() {
    if(std::exchange(this->fetching_configuration, true)) {
        return;
    }
    asio::co_spawn(
        this->context.io,
        [this]() -> asio::awaitable<void> {
            const auto page = co_await this->store.list(record_kind::configuration);
            this->fetching_configuration = false;
            if(page) {
                this->changed(record_kind::configuration, *page);
            }
        },
        asio::detached);
}

void entry_node::parts::take_lease(const record_change& change) {
    if(const auto* lease = std::get_if<lease_record>(&change.value)) {
        const stored_lease record{.lease = *lease, .revision = change.revision};
        this->placement->lease_changed(change.name, &record);
    } else {
        this->placement->lease_changed(change.name, nullptr);
    }
}

void entry_node::parts::listed(record_kind kind, const record_page& page) {
    if(kind == record_kind::upstreams) {
        std::vector<upstream_entry> entries{};
        for(const auto& change : page.records) {
            if(const auto* entry = std::get_if<upstream_entry>(&change.value)) {
                entries.push_back(*entry);
            }
        }
        for(const auto& id : this->upstreams.replace(entries, this->context.time.now())) {
            this->announce_leaving(id);
        }
        this->upstreams_known = true;
        this->placement->upstreams_changed();
        this->send_news();
        return;
    }
    this->changed(kind, page);
}

void entry_node::parts::changed(record_kind kind, const record_page& page) {
    for(const auto& change : page.records) {
        switch(kind) {
        case record_kind::configuration:
            this->take_configuration(change);
            break;
        case record_kind::upstreams:
            this->take_upstream(change);
            break;
        case record_kind::versions:
            if(const auto* record = std::get_if<version_record>(&change.value)) {
                if(this->placement->version_announced(*record)) {
                    this->news.versions.push_back(
                        {.model = record->model, .adapter = record->adapter, .version = record->version});
                }
            }
            break;
        case record_kind::leases:
            this->take_lease(change);
            break;
        }
    }
    if(kind == record_kind::upstreams || kind == record_kind::configuration) {
        this->placement->upstreams_changed();
    }
    this->send_news();
}

void entry_node::parts::store_returned(record_kind kind, core::duration outage) {
    if(kind == record_kind::upstreams && outage >= lapse_after) {
        this->upstreams.store_returned(this->context.time.now());
    }
}

asio::awaitable<void> entry_node::parts::handle(
    std::string peer, wire::frame message, std::shared_ptr<wire::responder> answer) {
    if(message.type == wire::message_type::quarantine_update) {
        this->quarantine.merge(message.body);
    } else if(message.type == wire::message_type::store_news) {
        if(const auto value = wire::unpack<wire::store_news>(message.body)) {
            this->receive_news(*value);
        }
    } else if(message.type == wire::message_type::request_progress) {
        if(const auto progress = wire::unpack<wire::request_progress>(message.body)) {
            this->dispatch->receive_progress(peer, *progress);
        }
    } else if(message.type == wire::message_type::place_request) {
        if(auto wanted = wire::unpack<wire::place_request>(message.body)) {
            const auto reply = co_await this->dispatch->place_here(std::move(peer), std::move(*wanted));
            answer->send(wire::message_type::placement, wire::pack(reply));
        }
    }
}

asio::awaitable<void> entry_node::parts::stop() {
    const auto begin = this->context.time.now();
    this->stopping = true;
    this->log.write(log_line{"stop"}.add("active", static_cast<std::int64_t>(this->caller_server.active_requests())));
    this->membership->announce_leaving();
    this->caller_server.begin_drain();
    asio::co_spawn(
        this->context.io, [keep = this->placement] { return keep->release_leases(); }, asio::detached);
    const auto limit = this->settings.stop_timeout - exit_margin;
    this->requests.begin_stop(begin + refuse_after, begin + limit);
    asio::steady_timer timer{co_await asio::this_coro::executor};
    while(true) {
        const auto passed = this->context.time.now() - begin;
        const bool idle = this->caller_server.active_requests() == 0u;
        if((passed >= rotation_time && idle) || passed >= limit) {
            break;
        }
        timer.expires_after(stop_poll);
        boost::system::error_code ignored{};
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    this->caller_server.stop_accepting();
    this->membership->stop();
    this->log.write(
        log_line{"stopped"}.add("active", static_cast<std::int64_t>(this->caller_server.active_requests())));
    this->context.log.flush();
}

std::string entry_node::parts::metrics_text() {
    const auto now = this->context.time.now();
    const auto gauge = [this](std::string_view name, std::string_view help, double value) {
        this->metrics.gauge(name, help).set(value);
    };
    gauge("lagoonsaddle_edge_configuration_version", "Version of the configuration in force.",
        static_cast<double>(this->routes.version()));
    gauge("lagoonsaddle_edge_upstreams", "Known upstreams.", static_cast<double>(this->upstreams.all().size()));
    gauge("lagoonsaddle_edge_active_requests", "Requests of callers in progress.",
        static_cast<double>(this->caller_server.active_requests()));
    gauge("lagoonsaddle_edge_upstream_connections_made", "Connections made to upstreams since the start.",
        static_cast<double>(this->context.client.connections_made()));
    const auto usage = read_process_usage();
    gauge("lagoonsaddle_edge_processor_seconds", "Processor time since the start.", usage.processor_seconds);
    gauge("lagoonsaddle_edge_resident_bytes", "Resident memory.", usage.resident_bytes);
    gauge("lagoonsaddle_edge_reservations", "Requests that this node has placed for all nodes.",
        static_cast<double>(this->dispatch->reservations()));
    gauge("lagoonsaddle_edge_leases_held", "Availability zones whose loads this node orders.",
        static_cast<double>(this->placement->leases_held()));
    for(const auto& watcher : this->watchers) {
        const auto answered = watcher->last_answer();
        const std::chrono::duration<double> age{now - answered.value_or(this->started)};
        this->metrics
            .gauge("lagoonsaddle_edge_store_age_seconds", "Time since the store last answered, by kind of record.",
                {{"kind", std::string{to_string(watcher->kind())}}})
            .set(age.count());
    }
    gauge("lagoonsaddle_edge_log_lines_dropped", "Log lines dropped since the start.",
        static_cast<double>(this->context.log.dropped()));
    return this->metrics.text() + upstream_metrics(this->upstreams, now);
}

std::string entry_node::parts::dump() const {
    nlohmann::json upstream_states = nlohmann::json::array();
    const auto now = this->context.time.now();
    for(const auto& [id, known] : this->upstreams.all()) {
        nlohmann::json adapters = nlohmann::json::array();
        for(const auto& [model, held] : known.entry.models) {
            for(const auto& [adapter, version] : held.adapters) {
                adapters.push_back(adapter_key(model, adapter) + '@' + std::to_string(version));
            }
        }
        upstream_states.push_back(
            {{"id", id}, {"service", known.entry.service}, {"availability_zone", known.entry.availability_zone},
                {"leaving", known.entry.leaving}, {"in_flight", known.in_flight},
                {"failure_share", known.health.failure_ratio(now)}, {"adapters", std::move(adapters)}});
    }
    const nlohmann::json state{{"node", this->settings.name}, {"ready", this->ready()},
        {"configuration_version", this->routes.version()}, {"upstreams", std::move(upstream_states)},
        {"active_requests", this->caller_server.active_requests()}};
    return state.dump();
}

entry_node::entry_node(entry_node_context context, entry_settings settings, std::uint64_t boot_id)
    : implementation{std::make_unique<parts>(context, std::move(settings), boot_id)} {}

entry_node::~entry_node() = default;

core::result<void> entry_node::start() {
    return this->implementation->start();
}

asio::awaitable<void> entry_node::stop() {
    return this->implementation->stop();
}

std::string entry_node::dump() const {
    return this->implementation->dump();
}

} // namespace lagoonsaddle::edge
