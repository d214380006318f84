#ifndef LAGOONSADDLE_JOURNAL_CLAIM_JOURNAL_HPP
#define LAGOONSADDLE_JOURNAL_CLAIM_JOURNAL_HPP

#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/core/error.hpp>
#include <lagoonsaddle/journal/claim.hpp>
#include <lagoonsaddle/journal/claim_shard.hpp>
#include <lagoonsaddle/platform/object_store.hpp>

namespace lagoonsaddle::journal {

/*! @brief Options of a journal. */
struct claim_journal_options {
    /*! @brief Number of shards, each in an object of its own; must be equal on all nodes. */
    std::size_t shards{64u};
    claim_shard_options shard{};
};

/**
 * @brief Records claims of idempotency keys in the object API, so that each key runs at most once. Thread-safe.
 *
 * Each shard has its own lock. Coroutines resume on their own executor. The object store must outlive all its calls.
 */
class claim_journal {
public:
    /**
     * @brief Creates a journal. Nothing is read before the first operation.
     * @param executor Executes the calls to the object API and the timers.
     * @param objects Object store that holds the shards; must outlive the journal.
     * @param clock Monotonic clock of the deadlines; must outlive the journal.
     * @param options Options of the journal and its shards.
     * @param liveness Reports claimants that are gone; may be null. Must outlive the journal.
     */
    claim_journal(const boost::asio::any_io_executor& executor, platform::object_store& objects,
        const core::clock& clock, claim_journal_options options, const claimant_liveness* liveness = nullptr);
    claim_journal(const claim_journal&) = delete;
    claim_journal& operator=(const claim_journal&) = delete;
    ~claim_journal();

    /**
     * @brief Claims the right to run a non-idempotent request.
     * @param request The claim. Its deadline and its wall-clock time must be set.
     * @return The right to run it, the outcome of the first run, or an error:
     * - `in_progress`, `may_have_run`, with a retry time: the first run has not ended.
     * - `outcome_unknown`, `may_have_run`: the node of the first run is gone; the key is not run again.
     * - `key_reused`, `not_run`: the key was used with another request.
     * - Any other cause, such as `unavailable`, `conflict`, `overloaded` or `deadline_exceeded`, `not_run`: the claim
     *   was refused and the claimant must not run the request.
     */
    [[nodiscard]] boost::asio::awaitable<core::result<claim_result>> claim(claim_request request);

    /**
     * @brief Stores the outcome of a claimed request.
     * @param key Key of the claim.
     * @param claim_id Id from the result of the claim.
     * @param value Outcome. A body above `outcome_body_limit_bytes` is omitted.
     * @param now Current wall-clock time.
     * @return Nothing once the outcome is stored, or an error when the first write failed. The write is then retried in
     * the background, and later claims of the key on this node already get the outcome. `not_found` when the entry has
     * expired.
     */
    [[nodiscard]] boost::asio::awaitable<core::result<void>> store_outcome(
        std::string key, std::string claim_id, outcome value, wall_time now);

    /**
     * @brief Removes a claim whose request certainly did not run, so that the key can be claimed again.
     * @param key Key of the claim.
     * @param claim_id Id from the result of the claim, or the id set in a `claim_request` whose result was lost.
     * @param now Current wall-clock time.
     * @return Nothing once the removal is stored, or an error when the first write failed; the write is then retried in
     * the background.
     */
    [[nodiscard]] boost::asio::awaitable<core::result<void>> release(
        std::string key, std::string claim_id, wall_time now);

    /**
     * @brief Waits for the outcome of a key.
     * @param key Idempotency key.
     * @param deadline Time after which the wait ends with an error.
     * @param now Current wall-clock time.
     * @return The outcome, `not_found` when the key is not claimed, `outcome_unknown` when its claimant is gone, or
     * `in_progress` when the deadline has passed; `unavailable` when the journal could not be read by then.
     */
    [[nodiscard]] boost::asio::awaitable<core::result<outcome>> wait_for_outcome(
        std::string key, core::time_point deadline, wall_time now);

    /*! @brief Returns the sums over all shards; `entries` and `object_bytes` are the maxima. */
    [[nodiscard]] journal_counters counters() const;

    /*! @brief Returns the counters of each shard, by shard index. */
    [[nodiscard]] std::vector<journal_counters> shard_counters() const;

    /*! @brief Ends all operations with `draining` (claims as `not_run`) and starts no further calls. */
    void stop();

private:
    class shard_runner;
    std::vector<std::shared_ptr<shard_runner>> shards;
};

} // namespace lagoonsaddle::journal

#endif
