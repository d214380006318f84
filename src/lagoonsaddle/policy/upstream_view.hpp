#ifndef LAGOONSADDLE_POLICY_UPSTREAM_VIEW_HPP
#define LAGOONSADDLE_POLICY_UPSTREAM_VIEW_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/core/model_name.hpp>

namespace lagoonsaddle::policy {

/*! @brief Options of `upstream_view`. */
struct upstream_view_options {
    /*! @brief Half-life of the confidence in a prefix-cache hint. */
    core::duration hint_half_life{std::chrono::seconds{30}};
    /*! @brief Largest number of prefix-cache hints per upstream; above it, the oldest are dropped. */
    std::size_t hints_max{4'096u};
    /*! @brief Time after which a sent request is no longer counted as in progress. */
    core::duration sent_request_expiry{std::chrono::seconds{30}};
    /*! @brief Time for which an adapter is assumed to be loading after a request for it was sent to the upstream. */
    core::duration assumed_load_expiry{std::chrono::seconds{10}};
};

/*! @brief A load that the owner of an upstream has requested. */
struct pending_load {
    core::adapter_version adapter{};
    /*! @brief Number of loads ahead of it in the load queue; 0 if it is running. */
    std::size_t position{};
};

/*! @brief Report about an upstream by its owner. */
struct upstream_report {
    /*! @brief Increases with each report. Reports with a lower or equal number than the last one are ignored. */
    std::uint64_t sequence{};
    core::time_point observed_at{};
    /*! @brief Requests in the queue of the owner. */
    std::size_t queued{};
    /*! @brief Requests in flight on the upstream. */
    std::size_t running{};
    std::size_t batch_limit{1u};
    /*! @brief Mean batch fill of the engine steps, 0 to 1. */
    double batch_fill{};
    /*! @brief Mean time that a request spends in the batch. */
    core::duration service_time{};
    std::vector<core::adapter_version> resident{};
    std::vector<pending_load> loading{};
    std::size_t free_slots{};
    /*! @brief Number of resident adapters that could be evicted. */
    std::size_t evictable_slots{};
    /*! @brief Requests per second of the adapter that the next load would evict. */
    double victim_rate{};
};

/**
 * @brief State of one upstream as seen by an entry node: the last report, corrected by the requests sent since then.
 * Not thread-safe.
 */
class upstream_view {
public:
    upstream_view(std::string name, std::string zone, upstream_view_options options = {});

    [[nodiscard]] const std::string& name() const noexcept;
    [[nodiscard]] const std::string& zone() const noexcept;

    /**
     * @brief Applies a report.
     * @param report Report of the owner.
     * @return False if the report is not newer than the last one.
     */
    bool apply_report(upstream_report report);

    /**
     * @brief Discards the report and the hints, such as after a restart or a change of the owner.
     */
    void reset();

    /**
     * @brief Records a request that was sent to the upstream.
     * @param adapter Adapter of the request; empty for a service without adapters.
     * @param now Current time.
     * @return Ticket that identifies the request in `request_finished`.
     */
    std::uint64_t request_sent(const core::adapter_version& adapter, core::time_point now);

    /**
     * @brief Records the end of a request that was sent to the upstream.
     * @param ticket Ticket that `request_sent` returned. Unknown tickets are ignored.
     */
    void request_finished(std::uint64_t ticket);

    /**
     * @brief Applies a prefix-cache event. A gap in the sequence drops all hints, as events were missed.
     * @param sequence Sequence number of the event.
     * @param prefix_digest Digest of the prompt prefix.
     * @param cached True if the prefix was cached, false if it was evicted.
     * @param now Current time.
     */
    void apply_cache_event(std::uint64_t sequence, std::string_view prefix_digest, bool cached, core::time_point now);

    /**
     * @brief Returns the confidence that a prefix is cached.
     * @param prefix_digest Digest of the prompt prefix.
     * @param now Current time.
     * @return From 0 (unknown) to 1 (just reported).
     */
    [[nodiscard]] double prefix_cache_confidence(std::string_view prefix_digest, core::time_point now) const;

    void set_leaving(bool value) noexcept;
    void set_unhealthy(bool value) noexcept;
    [[nodiscard]] bool is_leaving() const noexcept;
    [[nodiscard]] bool is_unhealthy() const noexcept;

    /*! @brief Returns whether any report was applied. */
    [[nodiscard]] bool has_report() const noexcept;
    [[nodiscard]] const upstream_report& report() const noexcept;

    /**
     * @brief Returns the number of queued or running requests, corrected by those sent and finished since the report.
     * @param now Current time.
     * @return Estimated number of requests.
     */
    [[nodiscard]] std::size_t outstanding_requests(core::time_point now) const;

    /**
     * @brief Returns the number of loads that requests sent since the report are assumed to cause.
     * @return Number of adapters that are assumed to be loading.
     */
    [[nodiscard]] std::size_t assumed_load_count() const noexcept;

    [[nodiscard]] bool is_resident(const core::adapter_version& adapter) const;

    /**
     * @brief Overload with a precomputed hash, for a search through many upstreams.
     * @param adapter An adapter.
     * @param hash `std::hash` of the adapter.
     * @return True if the last report lists it as resident.
     */
    [[nodiscard]] bool is_resident(const core::adapter_version& adapter, std::size_t hash) const;

    /**
     * @brief Returns the position in the load queue if the load of an adapter on this upstream was already requested.
     * @param adapter Adapter of a request.
     * @param now Current time.
     * @return Number of loads ahead of it, or nothing if no load is known. A load that is assumed because a request was
     * sent since the report comes after all reported ones.
     */
    [[nodiscard]] std::optional<std::size_t> load_queue_position(
        const core::adapter_version& adapter, core::time_point now) const;

private:
    struct sent_request {
        core::adapter_version adapter{};
        core::time_point sent_at{};
    };

    void drop_expired(core::time_point now);

    std::string upstream_name{};
    std::string availability_zone{};
    upstream_view_options options{};
    bool leaving{};
    bool unhealthy{};
    bool report_received{};
    upstream_report last_report{};
    std::vector<std::size_t> resident_hashes{};
    /*! @brief Sent requests that have not ended, by ticket and thus in the order of sending. */
    std::map<std::uint64_t, sent_request> in_progress{};
    std::uint64_t next_ticket{1u};
    /*! @brief First ticket whose request is not included in the last report. */
    std::uint64_t first_unreported{1u};
    /*! @brief Number of requests that the last report counts as outstanding and that ended since. */
    std::size_t finished_since_report{};
    std::unordered_map<core::adapter_version, core::time_point> assumed_loads{};
    std::optional<std::uint64_t> last_cache_event{};
    std::unordered_map<std::string, core::time_point> prefix_hints{};
    /*! @brief Hints by age. May hold outdated entries, which are skipped. */
    std::deque<std::pair<std::string, core::time_point>> prefix_hints_by_age{};
};

} // namespace lagoonsaddle::policy

#endif
