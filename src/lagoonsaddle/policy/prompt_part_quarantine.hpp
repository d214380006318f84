#ifndef LAGOONSADDLE_POLICY_PROMPT_PART_QUARANTINE_HPP
#define LAGOONSADDLE_POLICY_PROMPT_PART_QUARANTINE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoonsaddle::policy {

/*! @brief Options of `prompt_part_quarantine`. Must be equal on all nodes. */
struct prompt_part_quarantine_options {
    /*! @brief Separate crashes after which a part is quarantined. */
    std::size_t crashes_until_quarantine{3u};
    /*! @brief Crashes closer together count as one: several upstreams that end at once have another cause. */
    std::chrono::milliseconds crash_spacing{100};
    /*! @brief Age from which a crash counts only if the incarnation of the upstream is no longer registered. */
    std::chrono::milliseconds confirmation_delay{6'000};
    /*! @brief Time from the last crash to the probe of a quarantined part; doubles with each further crash. */
    std::chrono::milliseconds probe_delay{10'000};
    /*! @brief Time for which a record is kept after its last crash. */
    std::chrono::milliseconds retention{std::chrono::minutes{30}};
    /*! @brief Largest number of records. Above it, those with the fewest and oldest crashes are dropped. */
    std::size_t records_max{4'096u};
};

/*! @brief Crash of an upstream while an unanswered request with a prompt part was in flight there. */
struct prompt_part_crash {
    /*! @brief Id of the crash (`crash_quarantine::crash_id`). */
    std::uint64_t id{};
    /*! @brief Unix time at which a node first recorded it. */
    std::chrono::milliseconds at{};

    friend bool operator==(const prompt_part_crash&, const prompt_part_crash&) = default;
};

/*! @brief Evidence about one prompt part, exchanged between nodes. */
struct prompt_part_record {
    std::string part{};
    /*! @brief The newest crashes, in the order of their times. */
    std::vector<prompt_part_crash> crashes{};
    /*! @brief Crashes up to this time do not count, because a request with the part was answered after them. */
    std::chrono::milliseconds cleared_until{};

    friend bool operator==(const prompt_part_record&, const prompt_part_record&) = default;
};

/*! @brief A quarantined part of a request. */
struct quarantined_prompt_part {
    std::string part{};
    std::size_t crashes{};
    /*! @brief Unix time from which one request may probe whether the part still crashes upstreams. */
    std::chrono::milliseconds probe_at{};
};

/**
 * @brief Finds the prompt parts that crash upstreams, among requests of which no two are alike. Not thread-safe.
 *
 * Each crash speaks against all parts of the unanswered requests that were in flight, and an answer speaks for all
 * parts of its request. A request is refused for a part with enough crashes, unless a part that it does not hold
 * explains the same crashes: parts that always come together are refused together, and each is cleared by the first
 * answer to a request that holds it alone.
 *
 * Times are Unix times (`core::unix_time`), because records are shared between VMs.
 */
class prompt_part_quarantine {
public:
    explicit prompt_part_quarantine(prompt_part_quarantine_options options = {});

    /**
     * @brief Records a crash.
     * @param crash Id of the crash, equal on all nodes.
     * @param parts Parts of an unanswered request that was in flight.
     * @param now Unix time.
     * @return The changed records, to send to the other nodes.
     */
    std::vector<prompt_part_record> record_crash(
        std::uint64_t crash, std::span<const std::string> parts, std::chrono::milliseconds now);

    /**
     * @brief Clears the parts of a request that an upstream has begun to answer.
     * @param parts Parts of the request.
     * @return The changed records, to send to the other nodes.
     */
    std::vector<prompt_part_record> record_answer(std::span<const std::string> parts);

    /**
     * @brief Merges a record of another node. Merging is commutative and idempotent.
     * @param record Record of another node.
     * @param now Unix time.
     * @return True if the local record changed.
     */
    bool merge(const prompt_part_record& record, std::chrono::milliseconds now);

    /**
     * @brief Finds a part for which a request is to be refused.
     * @param parts Parts of the request.
     * @param running Sorted crash ids that the registered upstreams would have, whose crashes did not happen.
     * @param now Unix time.
     * @return The part with the latest probe, or nothing.
     */
    [[nodiscard]] std::optional<quarantined_prompt_part> find_quarantined(std::span<const std::string> parts,
        std::span<const std::uint64_t> running, std::chrono::milliseconds now) const;

    /*! @brief Returns whether one of the parts has so many crashes that `find_quarantined` may return it. */
    [[nodiscard]] bool is_suspect(std::span<const std::string> parts) const;

    /*! @brief Returns the record of a part, or null. Valid until the next call that is not const. */
    [[nodiscard]] const prompt_part_record* find(const std::string& part) const;

    /*! @brief Returns the number of records, of cleared parts as well. */
    [[nodiscard]] std::size_t record_count() const noexcept {
        return this->records.size();
    }

    /*! @brief Removes expired records; returns their number. */
    std::size_t expire(std::chrono::milliseconds now);

private:
    using crash_list = std::vector<prompt_part_crash>;

    [[nodiscard]] std::chrono::milliseconds expiry(const prompt_part_record& record) const noexcept;
    [[nodiscard]] crash_list confirmed_crashes(
        const prompt_part_record& record, std::span<const std::uint64_t> running, std::chrono::milliseconds now) const;
    [[nodiscard]] std::size_t separate_crash_count(const crash_list& crashes) const noexcept;
    [[nodiscard]] bool is_explained_without(std::span<const std::string> parts, const crash_list& crashes) const;
    prompt_part_record& find_or_add(const std::string& part, std::chrono::milliseconds now);

    prompt_part_quarantine_options options{};
    std::unordered_map<std::string, prompt_part_record> records{};
};

} // namespace lagoonsaddle::policy

#endif
