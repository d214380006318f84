#ifndef LAGOONSADDLE_JOURNAL_CLAIM_SHARD_HPP
#define LAGOONSADDLE_JOURNAL_CLAIM_SHARD_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/core/error.hpp>
#include <lagoonsaddle/journal/claim.hpp>
#include <lagoonsaddle/platform/object_store.hpp>

namespace lagoonsaddle::journal {

/*! @brief Reports which claimants are known to have stopped. Thread-safe. */
class claimant_liveness {
public:
    claimant_liveness() = default;
    claimant_liveness(const claimant_liveness&) = delete;
    claimant_liveness& operator=(const claimant_liveness&) = delete;
    virtual ~claimant_liveness() = default;

    /**
     * @brief Returns whether a claimant is known to be gone. Called under the lock of a shard; must not block.
     * @param claimant Name as in `claim_request::claimant`.
     * @return True when it is certainly gone; false when it is alive or its state is unknown.
     */
    [[nodiscard]] virtual bool is_gone(std::string_view claimant) const = 0;
};

/*! @brief Claim of one idempotency key. */
struct claim_entry {
    std::string claim_id{};
    std::string request_digest{};
    std::string claimant{};
    /*! @brief Time after which the claimant no longer runs the request. */
    wall_time run_until{};
    wall_time expires_at{};
    /*! @brief Outcome of the request; nothing while it runs. */
    std::optional<outcome> result{};

    friend bool operator==(const claim_entry&, const claim_entry&) = default;
};

/*! @brief Entries of a shard by the digest of their idempotency key. */
using claim_table = std::map<std::string, claim_entry, std::less<>>;

/**
 * @brief Encodes the entries of a shard as msgpack.
 * @param table Entries of the shard.
 * @return Body of the shard's object.
 */
[[nodiscard]] std::string encode_claims(const claim_table& table);

/**
 * @brief Decodes the body of a shard's object.
 * @param body Body as written by `encode_claims`.
 * @return The entries, or `protocol_error`. A shard that cannot be decoded accepts no claims.
 */
[[nodiscard]] core::result<claim_table> decode_claims(std::string_view body);

/*! @brief Options of `claim_shard`. */
struct claim_shard_options {
    /*! @brief Time from its claim for which a key is remembered. */
    wall_time retention{std::chrono::hours{1}};
    /*! @brief Largest difference between the wall clocks of two nodes; entries are kept longer by this time. */
    wall_time clock_skew{std::chrono::seconds{60}};
    /*! @brief Time that a claimant may run a request whose claim sets no `run_until`. */
    wall_time run_limit{std::chrono::minutes{5}};
    /*! @brief Largest body of the object. Below the limit of the object API, so that outcomes always fit. */
    std::size_t object_limit_bytes{900'000u};
    /*! @brief Writes of one claim that may fail by conflict or lost response before the claim is refused. */
    unsigned conflict_limit{16u};
    /*! @brief Shortest time between two writes of a busy shard. Shards / interval bounds the writes per second. */
    std::chrono::milliseconds commit_interval{200};
    /*! @brief Most claims that wait at one time; further ones are refused as `overloaded`. */
    std::size_t pending_claim_limit{4'096u};
    /*! @brief Delay before the first retry of a failed call; doubles with each failure up to `retry_delay_max`. */
    std::chrono::milliseconds retry_delay_min{100};
    std::chrono::milliseconds retry_delay_max{5'000};
    /*! @brief Time between reads while an operation waits for an outcome. */
    std::chrono::milliseconds poll_interval{500};
};

/**
 * @brief State machine of one shard, without I/O, threads or clocks. Not thread-safe.
 *
 * The owner adds operations under ids of its choice, performs the calls that `next_call` returns, one at a time,
 * reports their results, and passes on the completions from `take_completions`.
 *
 * A claim completes as claimed only after a write that contains it was confirmed, or after a read found it. A claim
 * that was refused while its write may still take effect is removed by a later write.
 */
class claim_shard {
public:
    /*! @brief Id of an operation, chosen by the owner; unique among the operations that are not complete. */
    using operation_id = std::uint64_t;

    /*! @brief Read of the shard's object, without its body when the version is still `known`. */
    struct read_call {
        platform::object_version known{};
    };

    /*! @brief Write of the shard's object on condition that its version is `expected`. */
    struct write_call {
        std::string body{};
        platform::object_version expected{};
    };

    /*! @brief Call to the object API. */
    using store_call = std::variant<read_call, write_call>;

    /*! @brief Result of one operation. */
    struct completion {
        operation_id id{};
        /*! @brief Claim: its result. Wait: `first_outcome` is set. Outcome and release: stored; the value is unused. */
        core::result<claim_result> result{};
    };

    /**
     * @brief Creates a shard that has not read its object yet.
     * @param options Options of the shard.
     * @param liveness Reports claimants that are gone; may be null. Must outlive the shard.
     */
    explicit claim_shard(claim_shard_options options, const claimant_liveness* liveness = nullptr);

    /**
     * @brief Adds a claim.
     * @param id Id of the operation.
     * @param request The claim; its claim id must be set.
     * @param now Current time.
     */
    void claim(operation_id id, claim_request request, core::time_point now);

    /**
     * @brief Adds the outcome of a claimed request. It is kept until it is stored or its entry is gone.
     * @param id Id of the operation, which completes after the first write that succeeds or fails.
     * @param key Key of the claim.
     * @param claim_id Id of the claim.
     * @param value Outcome.
     * @param now Current wall-clock time.
     */
    void store_outcome(operation_id id, std::string_view key, std::string claim_id, outcome value, wall_time now);

    /**
     * @brief Removes a claim whose request certainly did not run. The release is kept until it is stored.
     * @param id Id of the operation, which completes after the first write that succeeds or fails.
     * @param key Key of the claim.
     * @param claim_id Id of the claim.
     * @param now Current wall-clock time.
     */
    void release(operation_id id, std::string_view key, std::string claim_id, wall_time now);

    /**
     * @brief Adds a wait for the outcome of a key.
     * @param id Id of the operation.
     * @param key Idempotency key.
     * @param deadline Time after which the wait ends with an error.
     * @param now Current wall-clock time.
     */
    void wait_for_outcome(operation_id id, std::string_view key, core::time_point deadline, wall_time now);

    /**
     * @brief Starts the next call to the object API if one is due and none is in flight.
     * @param now Current time.
     * @return The call to perform, or nothing. Report its result to `on_read` or `on_write`.
     */
    [[nodiscard]] std::optional<store_call> next_call(core::time_point now);

    /**
     * @brief Processes the result of a read.
     * @param result As returned by `object_store::get`.
     * @param now Current time.
     */
    void on_read(const core::result<std::optional<platform::object>>& result, core::time_point now);

    /**
     * @brief Processes the result of a write.
     * @param result As returned by `object_store::put`.
     * @param now Current time.
     */
    void on_write(const core::result<platform::object_version>& result, core::time_point now);

    /**
     * @brief Ends the claims and waits whose deadline has passed.
     * @param now Current time.
     */
    void expire(core::time_point now);

    /**
     * @brief Returns when `expire` or `next_call` has to be called again.
     * @return The time, or nothing when no deadline, write, retry or poll is scheduled.
     */
    [[nodiscard]] std::optional<core::time_point> next_wakeup() const;

    /*! @brief Ends all operations with `draining` and drops outcomes and releases that are not stored. */
    void shut_down();

    /*! @brief Removes and returns the completions since the last call. */
    [[nodiscard]] std::vector<completion> take_completions();

    [[nodiscard]] journal_counters counters() const noexcept;

private:
    struct pending_claim {
        operation_id id{};
        std::string key_digest{};
        claim_request request{};
        /*! @brief Writes that contained the claim and met a conflict or lost their response. */
        unsigned failed_writes{};
        std::uint64_t sequence{};
        /*! @brief The write in flight contains the claim. */
        bool in_current_write{false};
        /*! @brief Base version of the latest write that may still store the claim, because its result is unknown. */
        std::optional<platform::object_version> unresolved_base{};
    };

    struct outcome_waiter {
        operation_id id{};
        std::string key_digest{};
        core::time_point deadline{};
        std::uint64_t sequence{};
    };

    /*! @brief Outcome, or release when `result` is empty, that is not stored yet. */
    struct pending_update {
        std::optional<operation_id> id{};
        std::string key_digest{};
        std::string claim_id{};
        std::optional<outcome> result{};
        std::uint64_t sequence{};
        /*! @brief Base version of a lost write that may still store the claim; any later version rules that out. */
        std::optional<platform::object_version> unresolved_base{};
    };

    enum class call_kind { none, read, write };

    /*! @brief Returns whether an entry is still valid by the wall clock of any node. */
    [[nodiscard]] bool is_retained(const claim_entry& entry) const noexcept;
    /*! @brief Returns whether a write on top of a version may still take effect. */
    [[nodiscard]] bool is_write_unresolved(
        const std::optional<platform::object_version>& unresolved_base) const noexcept;
    /*! @brief Returns the stored or pending outcome of an entry, or null. */
    [[nodiscard]] const outcome* known_outcome(const std::string& key_digest, const claim_entry& entry) const;
    [[nodiscard]] core::error unfinished_error(const claim_entry& entry) const;
    [[nodiscard]] std::optional<store_call> prepare_write();
    /*! @brief Replaces the entries by those that the last call read or stored. */
    void set_confirmed_state(claim_table entries, platform::object_version current_version);
    /*! @brief Completes all operations whose result follows from the known entries. */
    void resolve_operations();
    void resolve_updates();
    void resolve_claims();
    [[nodiscard]] bool resolve_claim(const pending_claim& pending);
    void resolve_waiters();
    /*! @brief Schedules the release of a refused claim that an unresolved write may still store. */
    void withdraw_claim(const pending_claim& pending);
    void refuse_claim(const pending_claim& pending, core::error failure);
    void fail_pending_operations(const core::error& failure);
    void back_off(core::time_point now);
    void complete(operation_id id, core::result<claim_result> result);

    claim_shard_options settings;
    const claimant_liveness* liveness;
    claim_table table{};
    platform::object_version version{};
    call_kind call_in_flight{call_kind::none};
    bool loaded{false};
    /*! @brief The object may have changed since it was read: a write met a conflict or lost its response. */
    bool read_required{true};
    /*! @brief Entries and base version of the write in flight. */
    claim_table write_table{};
    platform::object_version write_base_version{};
    std::deque<pending_claim> pending_claims{};
    std::deque<outcome_waiter> waiters{};
    std::deque<pending_update> pending_updates{};
    std::vector<completion> completions{};
    wall_time last_wall_time{};
    /*! @brief Sequence numbers of the last operation added, of the last one added before the current or latest call
     * started, and of the last one added before the latest successful call started. */
    std::uint64_t last_sequence{};
    std::uint64_t call_sequence{};
    std::uint64_t confirmed_sequence{};
    std::chrono::milliseconds retry_delay{};
    std::optional<core::time_point> next_write_at{};
    std::optional<core::time_point> retry_at{};
    std::optional<core::time_point> next_poll_at{};
    journal_counters counter_values{};
};

} // namespace lagoonsaddle::journal

#endif
