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
    /*! @brief Distinct crashes after which a digest is quarantined. Equal on all nodes, as are the durations. */
    std::size_t crashes_until_quarantine{2u};
    core::duration suspect_duration{std::chrono::minutes{10}};
    core::duration quarantine_duration{std::chrono::hours{1}};
    /*! @brief Digests remembered; those that expire first are dropped beyond it, suspects before quarantined ones. */
    std::size_t records_max{16'384u};
};

/*! @brief Standing of a request body. */
enum class standing {
    clear,
    /*! @brief Was in flight in a crash: run it alone, on an upstream with nothing else in flight. */
    suspect,
    /*! @brief Refuse it with `core::reason::quarantined`. */
    quarantined
};

/**
 * @brief What is known of one digest; exchanged between nodes.
 *
 * Crashes are a set of ids rather than a count: the same crash seen by two nodes counts once, and two crashes seen by
 * one node each count twice, whatever the order in which the records are merged.
 */
struct quarantine_record {
    std::string digest{};
    /*! @brief Ids of the crashes in which a request with this body was in flight. Sorted. */
    std::vector<std::uint64_t> crashes{};
    /*! @brief Those of the crashes that a later run alone without a crash has cleared it of. Sorted. */
    std::vector<std::uint64_t> cleared{};
    /*! @brief End of the suspicion as milliseconds since the Unix epoch: last crash plus `suspect_duration`. A
     * quarantine lasts longer, by the difference of the two durations. An absolute time that no node recomputes,
     * because a remaining time would be prolonged by each exchange and by each node that starts. */
    std::chrono::milliseconds until{};

    friend bool operator==(const quarantine_record&, const quarantine_record&) = default;
};

/**
 * @brief Suspects and quarantined request bodies. Not thread-safe.
 *
 * Times are Unix times (`core::unix_time`), because records are shared between VMs.
 */
class crash_quarantine {
public:
    explicit crash_quarantine(crash_quarantine_options options = {});

    /**
     * @brief Makes the id of a crash, the same on all nodes.
     * @param upstream Name of the upstream.
     * @param boot_id Boot id that ended with the crash.
     * @return The id.
     */
    [[nodiscard]] static std::uint64_t crash_id(std::string_view upstream, std::string_view boot_id) noexcept;

    /**
     * @brief Records a crash.
     * @param crash Id of the crash.
     * @param digests Body digests of the requests that were in flight.
     * @param now Unix time.
     * @return Records that changed; send them to the other nodes.
     */
    std::vector<quarantine_record> crashed(
        std::uint64_t crash, std::span<const std::string> digests, std::chrono::milliseconds now);

    /**
     * @brief Clears a suspect after a run alone without a crash.
     * @param digest Body digest.
     * @param now Unix time.
     * @return The changed record to send to the other nodes, or nothing when the digest is not a suspect.
     */
    std::optional<quarantine_record> ran_alone(const std::string& digest, std::chrono::milliseconds now);

    /**
     * @brief Merges a record of another node. Merging is commutative, associative and idempotent.
     * @param record Record of another node.
     * @param now Unix time.
     * @return True when the own record changed.
     */
    bool merge(const quarantine_record& record, std::chrono::milliseconds now);

    /**
     * @brief Returns the standing of a body.
     * @param digest Body digest.
     * @param now Unix time.
     * @return The standing.
     */
    [[nodiscard]] standing classify(const std::string& digest, std::chrono::milliseconds now) const;

    /**
     * @brief Ends the quarantine of a digest on this node, on an operator's order. Later crashes count again.
     * @param digest Body digest.
     * @param now Unix time.
     * @return The changed record to send to the other nodes, or nothing when the digest is unknown.
     */
    std::optional<quarantine_record> pardon(const std::string& digest, std::chrono::milliseconds now);

    /**
     * @brief Removes expired records.
     * @param now Unix time.
     * @return Number of removed records.
     */
    std::size_t expire(std::chrono::milliseconds now);

    /*! @brief Returns what is known of a body, or nothing. */
    [[nodiscard]] std::optional<quarantine_record> record_of(
        const std::string& digest, std::chrono::milliseconds now) const;

    /*! @brief Returns all records that have not expired, for exchanges and state dumps. */
    [[nodiscard]] std::vector<quarantine_record> records(std::chrono::milliseconds now) const;

private:
    [[nodiscard]] bool quarantined(const quarantine_record& record) const noexcept;
    [[nodiscard]] std::chrono::milliseconds end(const quarantine_record& record) const noexcept;
    [[nodiscard]] const quarantine_record* find(const std::string& digest, std::chrono::milliseconds now) const;
    std::optional<quarantine_record> clear(const std::string& digest, std::chrono::milliseconds now);
    void make_room(std::chrono::milliseconds now);

    crash_quarantine_options options{};
    std::unordered_map<std::string, quarantine_record> known{};
};

} // namespace lagoonsaddle::policy

#endif
