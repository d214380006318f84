#ifndef LAGOONSADDLE_EDGE_INTERNAL_ENTRY_NODE_HPP
#define LAGOONSADDLE_EDGE_INTERNAL_ENTRY_NODE_HPP

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <lagoonsaddle/core/byte_budget.hpp>
#include <lagoonsaddle/edge/configuration_confirmation.hpp>
#include <lagoonsaddle/edge/configuration_sync.hpp>
#include <lagoonsaddle/edge/confirmation_service.hpp>
#include <lagoonsaddle/edge/dispatch_service.hpp>
#include <lagoonsaddle/edge/entry_node.hpp>
#include <lagoonsaddle/edge/forwarder.hpp>
#include <lagoonsaddle/edge/instrumented.hpp>
#include <lagoonsaddle/edge/path_checked_control.hpp>
#include <lagoonsaddle/edge/prompt_part_guard.hpp>
#include <lagoonsaddle/edge/quota_service.hpp>
#include <lagoonsaddle/edge/record_exchange.hpp>
#include <lagoonsaddle/edge/record_watcher.hpp>
#include <lagoonsaddle/edge/speed_monitor.hpp>
#include <lagoonsaddle/edge/status_handlers.hpp>
#include <lagoonsaddle/edge/stored_version.hpp>
#include <lagoonsaddle/edge/stream_origin_service.hpp>
#include <lagoonsaddle/edge/unanswered_nodes.hpp>
#include <lagoonsaddle/edge/unseen_versions.hpp>
#include <lagoonsaddle/edge/update_outbox.hpp>
#include <lagoonsaddle/edge/upstream_paths.hpp>
#include <lagoonsaddle/http/server.hpp>
#include <lagoonsaddle/relay/relay_server.hpp>
#include <lagoonsaddle/wire/peer_server.hpp>

namespace lagoonsaddle::edge {

namespace internal {

/*! @brief Kinds of the membership items that announce leaving and removed upstreams, and configurations. */
inline constexpr std::string_view leaving_item_kind{"leaving"};
inline constexpr std::string_view removed_item_kind{"removed"};
inline constexpr std::string_view configuration_item_kind{"configuration"};
/*! @brief Number of upstreams that have to crash on a request before it is refused. */
inline constexpr std::size_t crashes_until_quarantine{3u};
inline constexpr std::chrono::minutes suspect_duration{2};

} // namespace internal

/*! @brief Parts of an entry node and what connects them. */
class entry_node::impl final : public record_observer,
                               public record_holder,
                               public upstream_observer,
                               public node_status,
                               public configuration_reader,
                               public wire::peer_handler {
public:
    impl(entry_node_context uses, entry_settings values, std::uint64_t boot);

    [[nodiscard]] core::result<void> start();
    [[nodiscard]] boost::asio::awaitable<void> stop();
    [[nodiscard]] std::string state_json() const override;
    void apply_seeds(std::span<const std::string> addresses);
    [[nodiscard]] bool ready() const override;
    [[nodiscard]] std::string metrics_text() override;

    void on_list(record_kind kind, const record_page& page) override;
    void on_changes(record_kind kind, const record_page& page) override;
    void on_exact_read(record_kind kind, core::time_point begun) override;
    void on_store_recovered(record_kind kind, core::duration outage) override;
    void on_watch_silent(record_kind kind) override;
    void on_store_restored(record_kind kind) override;
    [[nodiscard]] bool reads_exactly() const override;
    [[nodiscard]] boost::asio::awaitable<void> read_configuration() override;
    [[nodiscard]] bool reads_store() const override;
    [[nodiscard]] wire::records_summary summarize_records() const override;
    [[nodiscard]] wire::records_reply copy_records(const wire::records_summary& known) const override;
    bool merge_records(const wire::records_reply& reply, std::string_view peer) override;
    void announce_configuration(std::uint64_t version, std::string_view peer) override;
    void on_upstream_leaving(const std::string& upstream) override;
    boost::asio::awaitable<void> handle(
        std::string peer, wire::frame message, std::shared_ptr<wire::responder> responder) override;

private:
    /*! @brief Tells the peers what this node has read, at once if it is a chosen reader of the store. */
    void broadcast_updates();
    /*! @brief Applies store updates that a peer has broadcast. */
    void apply_updates(const wire::store_news& updates, std::string_view peer);
    /*! @brief Returns the freshness with which this node has to watch the store at present. */
    [[nodiscard]] freshness watch_freshness() const;
    /*! @brief Adds the entry of an upstream that a peer knows; returns true when this node has learned something. */
    bool merge_upstream(const upstream_entry& entry, std::string_view peer, bool peer_reads_store);
    /*! @brief Returns whether a peer has seen the entry of an incarnation removed. */
    [[nodiscard]] bool is_announced_removed(const upstream_entry& entry) const;
    void apply_upstream(const record_change& change);
    /*! @brief Logs the upstreams whose speed has become unusual, or usual again. */
    void log_speed_changes();
    void log_added_upstream(const upstream_entry& entry, std::string_view source);
    /*! @brief Puts a valid configuration into force and announces it, unless this node has it or a newer one. */
    void apply_configuration(configuration value, std::string_view source);
    /*! @brief Logs that what was read as a configuration does not come into force; version 0 when it states none. */
    void log_refused_configuration(std::uint64_t version, std::string_view source, std::string_view message);
    /*! @brief Records what a list of the configuration confirms that the watcher has not made. */
    void confirm_listed(const record_page& page, core::time_point begun);
    void apply_lease(const record_change& change, std::uint64_t epoch);
    /*! @brief Applies the record of a version that was announced at a time; nothing when that is not known. */
    void apply_version(const record_change& change, std::optional<core::time_point> announced_at);
    /*! @brief Applies versions that a peer has told; returns whether any of them is newer than the known one. */
    bool apply_versions(std::span<const wire::version_copy> versions, const wire::version_ages_ms& ages);
    /*! @brief Marks the upstreams that peers have announced as leaving, which the store may not show. */
    void apply_announced_leaving();
    /*! @brief Logs that an upstream is leaving or was removed, and announces it to the peers. */
    void announce_ending(const std::string& id, std::string_view source);
    /*! @brief Marks an upstream that a peer has announced as leaving. */
    void apply_leaving(std::string_view id, std::uint64_t started_ms);
    /*! @brief Takes an upstream out of use whose entry a peer has seen removed. */
    void apply_removed(std::string_view id, std::uint64_t started_ms);
    /*! @brief Updates the metrics of the loads of the availability zones whose lease this node holds. */
    void set_load_metrics();
    /*! @brief Keeps an item in the membership gossip for as long as a node may lack the removal of an upstream. */
    void publish_incarnation(std::string_view kind, const std::string& id, std::uint64_t started_ms);
    [[nodiscard]] std::vector<core::endpoint> peer_endpoints(std::span<const std::string> addresses) const;
    void start_watcher(
        record_kind kind, std::chrono::milliseconds timeout, std::chrono::milliseconds delay_after_changes);
    /*! @brief Returns the watcher of a kind, or null before the start. */
    [[nodiscard]] record_watcher* find_watcher(record_kind kind) const;
    /*! @brief Returns the longest duration of an exact watch of a kind. */
    [[nodiscard]] std::chrono::milliseconds exact_watch_limit(record_kind kind) const;
    /*! @brief Reads the changes of upstreams that this node has not applied yet. */
    [[nodiscard]] boost::asio::awaitable<core::result<record_page>> read_unseen_upstreams();
    /*! @brief Returns whether the store answers and has removed the entries of upstreams that ended before. */
    [[nodiscard]] bool entries_expire() const;
    [[nodiscard]] bool is_idle() const;
    void release_leases();
    /*! @brief Releases the leases that are still held when the node has nothing more to do. */
    [[nodiscard]] boost::asio::awaitable<void> release_remaining_leases();
    /*! @brief Periodically removes expired upstreams and flushes the log. */
    [[nodiscard]] boost::asio::awaitable<void> run_housekeeping();

    entry_node_context context;
    entry_settings settings;
    std::uint64_t boot_id;

    operate::metrics_registry metrics;
    instrumented_log log;
    instrumented_store store;
    route_table routes{};
    upstream_table upstreams{};
    speed_monitor speeds{};
    upstream_selector selector;
    retry_budget budget;
    std::shared_ptr<cluster::membership_service> membership;
    cluster::peer_directory peers;
    upstream_limits limits;
    cluster::quarantine_service quarantine;
    crash_verifier verifier{crash_verifier_options{.crashes_until_quarantine = internal::crashes_until_quarantine,
        .suspect_duration = internal::suspect_duration}};
    prompt_part_guard prompt_parts;
    stream_archive archive;
    std::shared_ptr<unseen_versions> unseen;
    stream_origin_service origins;
    partitioned_nodes partitions{};
    unanswered_nodes unanswered{};
    std::shared_ptr<upstream_paths> paths;
    path_checked_control control;
    std::shared_ptr<placement_service> placement;
    std::shared_ptr<dispatch_service> dispatch;
    std::shared_ptr<quota_service> quotas;
    std::shared_ptr<configuration_sync> configuration_updates;
    configuration_confirmation confirmation;
    std::shared_ptr<confirmation_service> confirmations;
    std::shared_ptr<core::byte_budget> request_memory;
    core::byte_budget response_memory;
    forwarder request_forwarder;
    readiness_handler readiness;
    metrics_handler metrics_endpoint;
    http::server caller_server;
    http::server readiness_server;
    http::server metrics_server;
    wire::peer_server peer_server;
    relay::relay_server relay_server;
    store_backoff shared_backoff;
    std::shared_ptr<stream_archive_service> archive_updates;
    std::vector<std::unique_ptr<record_watcher>> watchers{};
    update_outbox outbox{};
    std::shared_ptr<record_exchange> records;
    core::time_point started{};
    /*! @brief When the store last returned from an outage. */
    std::optional<core::time_point> store_returned{};
    /*! @brief What the watcher of the configuration has shown. */
    stored_version watched_version{};
    bool upstreams_known{false};
    /*! @brief Kinds of records that were listed. */
    std::set<record_kind> listed_kinds{};
    bool stopping{false};
};

} // namespace lagoonsaddle::edge

#endif
