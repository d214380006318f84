#ifndef LAGOONSADDLE_JOURNAL_CLAIM_HPP
#define LAGOONSADDLE_JOURNAL_CLAIM_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/core/verdict.hpp>

namespace lagoonsaddle::journal {

/*! @brief Largest response body that is stored with an outcome. */
inline constexpr std::size_t outcome_body_limit_bytes{2u * 1024u};

/*! @brief Wall-clock time since the Unix epoch, comparable between VMs within their clock skew. */
using wall_time = std::chrono::milliseconds;

/*! @brief Outcome of a claimed request; it is returned for later requests with the same key. */
struct outcome {
    unsigned status{};
    core::verdict verdict{core::verdict::ran};
    std::string content_type{};
    std::string body{};
    /*! @brief True when the body exceeded its limit or did not fit into the shard; `body` is then empty. */
    bool body_omitted{false};

    friend bool operator==(const outcome&, const outcome&) = default;
};

/*! @brief Request for the exclusive right to run a non-idempotent request. */
struct claim_request {
    /*! @brief Idempotency key. It must include the caller's id, so that callers cannot see each other's keys. */
    std::string key{};
    /*! @brief Digest of the request; a known key with another digest is refused. */
    std::string request_digest{};
    /*! @brief Node that runs the request, under the name that `claimant_liveness` knows. */
    std::string claimant{};
    /*! @brief Time after which the claim is refused as `deadline_exceeded`. */
    core::time_point deadline{};
    /*! @brief Current wall-clock time. */
    wall_time now{};
    /*! @brief Time after which the claimant no longer runs the request; 0 selects `now` + `run_limit`. */
    wall_time run_until{};
    /*! @brief Unique id of the claim, used for one call of `claim` only; `claim_journal` generates it when empty. */
    std::string claim_id{};
};

/*! @brief Result of a claim: the right to run the request, or the outcome of its first run. */
struct claim_result {
    std::string claim_id{};
    std::optional<outcome> first_outcome{};

    /*! @brief Returns true when the claimant may run the request. */
    [[nodiscard]] bool claimed() const noexcept {
        return !this->first_outcome.has_value();
    }
};

/*! @brief Counters of one shard or of a whole journal since construction. */
struct journal_counters {
    /*! @brief Calls of `claim`. */
    std::uint64_t claims{};
    std::uint64_t claimed{};
    /*! @brief Claims of a known key: completed with its outcome, `in_progress`, `outcome_unknown` or `key_reused`. */
    std::uint64_t repeated{};
    /*! @brief Claims refused as `not_run` because of an outage, conflicts, their deadline, a full shard or a stop. */
    std::uint64_t refused{};
    std::uint64_t finished{};
    std::uint64_t released{};
    std::uint64_t reads{};
    std::uint64_t writes{};
    std::uint64_t conflicts{};
    /*! @brief Writes whose result is unknown because the response was lost. */
    std::uint64_t unknown_writes{};
    std::uint64_t failures{};
    std::uint64_t bytes_written{};
    /*! @brief Current number of outcomes and releases that are not stored yet. */
    std::uint64_t backlog{};
    /*! @brief Entries of the shard as last read or written; of the largest shard when counted for a journal. */
    std::uint64_t entries{};
    /*! @brief Size of the shard's object as last read or written; of the largest shard when counted for a journal. */
    std::uint64_t object_bytes{};
};

/**
 * @brief Returns the index of the shard that holds a key.
 * @param key Idempotency key.
 * @param shards Number of shards, at least 1.
 * @return Index below `shards`.
 */
[[nodiscard]] std::size_t shard_index(std::string_view key, std::size_t shards) noexcept;

/**
 * @brief Returns the name of the object that holds a shard.
 * @param shard Index of the shard.
 * @return Name such as `journal/17`.
 */
[[nodiscard]] std::string shard_object_name(std::size_t shard);

} // namespace lagoonsaddle::journal

#endif
