#ifndef LAGOONSADDLE_POLICY_CRASH_QUARANTINE_HPP
#define LAGOONSADDLE_POLICY_CRASH_QUARANTINE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <lagoonsaddle/core/clock.hpp>

namespace lagoonsaddle::policy {

/*! @brief Options of `crash_quarantine`. */
struct crash_quarantine_options {
    /*! @brief Distinct crashes after which a digest is quarantined. Must be equal on all nodes, as must the durations.
     */
    std::size_t crashes_until_quarantine{2u};
    core::duration suspect_duration{std::chrono::minutes{10}};
    core::duration quarantine_duration{std::chrono::hours{1}};
    /*! @brief Largest number of records. Above it, those that expire first are dropped, suspects before quarantined
     * ones. */
    std::size_t records_max{16'384u};
};

/*! @brief Whether a request body may run. */
enum class quarantine_status {
    clear,
    /*! @brief Was in flight during a crash: run it isolated, on an upstream with nothing else in flight. */
    suspect,
    /*! @brief Crashed upstreams repeatedly: refuse it with `core::reason::quarantined`. */
    quarantined
};

/**
 * @brief Crash record of one request body, exchanged between nodes.
 *
 * Crashes are a set of ids and not a count, so that a merge is independent of the order of the records: a crash seen by
 * two nodes counts once, and two crashes that were each seen by a different node count twice.
 */
struct quarantine_record {
    std::string digest{};
    /*! @brief Ids of the crashes during which a request with this body was in flight. Sorted. */
    std::vector<std::uint64_t> crashes{};
    /*! @brief Ids of those crashes that no longer count, because an isolated run ended without a crash or an operator
     * lifted the quarantine. Sorted. */
    std::vector<std::uint64_t> cleared{};
    /*! @brief End of the suspect status in milliseconds since the Unix epoch: last crash plus `suspect_duration`. A
     * quarantine lasts longer, by the difference of the two durations. An absolute time, because a remaining time would
     * be extended by each exchange and by each node that starts. */
    std::chrono::milliseconds suspect_until{};

    friend bool operator==(const quarantine_record&, const quarantine_record&) = default;
};

/**
 * @brief Tracks request bodies that were in flight during crashes of upstreams. Not thread-safe.
 *
 * Bodies are identified by digest. Times are Unix times (`core::unix_time`), because records are shared between VMs.
 */
class crash_quarantine {
public:
    explicit crash_quarantine(crash_quarantine_options options = {});

    /**
     * @brief Computes the id of a crash, which is the same on all nodes.
     * @param upstream Name of the upstream.
     * @param boot_id Boot id of the upstream process that crashed.
     * @return The id.
     */
    [[nodiscard]] static std::uint64_t crash_id(std::string_view upstream, std::string_view boot_id) noexcept;

    /**
     * @brief Records a crash.
     * @param crash Id of the crash.
     * @param digests Body digests of the requests that were in flight.
     * @param now Unix time.
     * @return The changed records, to send to the other nodes.
     */
    std::vector<quarantine_record> record_crash(
        std::uint64_t crash, std::span<const std::string> digests, std::chrono::milliseconds now);

    /**
     * @brief Clears a suspect after an isolated run without a crash.
     * @param digest Body digest.
     * @param now Unix time.
     * @return The changed record, to send to the other nodes, or nothing if the digest is not a suspect.
     */
    std::optional<quarantine_record> record_isolated_run(const std::string& digest, std::chrono::milliseconds now);

    /**
     * @brief Merges a record of another node. Merging is commutative, associative and idempotent.
     * @param record Record of another node.
     * @param now Unix time.
     * @return True if the local record changed.
     */
    bool merge(const quarantine_record& record, std::chrono::milliseconds now);

    /**
     * @brief Returns the status of a request body.
     * @param digest Body digest.
     * @param now Unix time.
     * @return The status.
     */
    [[nodiscard]] quarantine_status classify(const std::string& digest, std::chrono::milliseconds now) const;

    /**
     * @brief Ends the quarantine of a digest on this node, at the request of an operator. Later crashes count again.
     * @param digest Body digest.
     * @param now Unix time.
     * @return The changed record, to send to the other nodes, or nothing if the digest is unknown.
     */
    std::optional<quarantine_record> lift_quarantine(const std::string& digest, std::chrono::milliseconds now);

    /**
     * @brief Removes expired records.
     * @param now Unix time.
     * @return Number of removed records.
     */
    std::size_t expire(std::chrono::milliseconds now);

    /*! @brief Returns the record of a digest, or nothing if there is none or it has expired. */
    [[nodiscard]] std::optional<quarantine_record> find_record(
        const std::string& digest, std::chrono::milliseconds now) const;

    /*! @brief Returns all records that have not expired, for exchanges and state dumps. */
    [[nodiscard]] std::vector<quarantine_record> records(std::chrono::milliseconds now) const;

private:
    [[nodiscard]] bool is_quarantined(const quarantine_record& record) const noexcept;
    [[nodiscard]] std::chrono::milliseconds expiry(const quarantine_record& record) const noexcept;
    [[nodiscard]] const quarantine_record* find_unexpired(
        const std::string& digest, std::chrono::milliseconds now) const;
    std::optional<quarantine_record> clear_crashes(const std::string& digest, std::chrono::milliseconds now);
    void evict_records_above_limit(std::chrono::milliseconds now);

    crash_quarantine_options options{};
    std::unordered_map<std::string, quarantine_record> records_by_digest{};
};

} // namespace lagoonsaddle::policy

#endif
