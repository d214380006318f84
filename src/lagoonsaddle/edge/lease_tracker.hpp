#ifndef LAGOONSADDLE_EDGE_LEASE_TRACKER_HPP
#define LAGOONSADDLE_EDGE_LEASE_TRACKER_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/protocol.hpp>

namespace lagoonsaddle::edge {

/*! @brief Options of `lease_tracker`. */
struct lease_options {
    /*! @brief Name of this node. */
    std::string node_name{};
    std::uint64_t boot_id{};
    /*! @brief IP address of this node. */
    std::string node_address{};
    /*! @brief Whether upstreams refuse orders that carry an outdated fencing token. */
    bool upstreams_check_tokens{true};
    /*! @brief Interval of the reads that renew the lease. */
    core::duration read_interval{std::chrono::milliseconds{900}};
    /*! @brief Validity of the lease, counted from the start of a read that showed this node as the holder. */
    core::duration lease_duration{std::chrono::milliseconds{2'000}};
    /*! @brief Delay of the first order when the previous holder was unreachable, so that it may still be alive. */
    core::duration unreachable_takeover_wait{std::chrono::seconds{3}};
    /*! @brief Delay of the first order when the previous holder has ended or released the lease. 0 is safe only if
     * upstreams check fencing tokens. */
    core::duration ended_takeover_wait{std::chrono::milliseconds{0}};
    /*! @brief Additional delay before acquiring the lease for each live candidate that ranks higher than this node. */
    core::duration rank_delay{std::chrono::milliseconds{600}};
    /*! @brief Time for which the holder must have been absent before the lease is acquired. */
    core::duration holder_absence_min{std::chrono::milliseconds{300}};
    /*! @brief Time for which a node that has lost the lease to another one leaves it to that one, unless its process
     * has ended; doubles with each loss up to the maximum. Nodes that cannot reach each other, but the store, would
     * otherwise take the lease from each other without end, and none would wait long enough to order loads. */
    core::duration lost_lease_wait_min{std::chrono::seconds{4}};
    core::duration lost_lease_wait_max{std::chrono::seconds{32}};
    /*! @brief Additional delay after a restore of the store, in which the last holder acquires the lease again. */
    core::duration restore_delay{std::chrono::milliseconds{700}};
};

/*! @brief Status of a lease holder according to the membership. */
enum class holder_status {
    live,
    /*! @brief The process that acquired the lease has ended: its node left or restarted. */
    ended,
    /*! @brief The node does not respond; it may be alive behind a network partition. */
    unreachable,
    unknown
};

/*! @brief The time for which a node holds a lease. */
struct lease_tenure {
    /*! @brief When the node learned that it holds the lease. */
    core::time_point held_since{};
    /*! @brief Start of the last read or write of the record that showed the node as the holder. */
    core::time_point confirmed_at{core::time_point::min()};
    /*! @brief Whether the process that held the lease before had ended, or there was none. */
    bool predecessor_ended{};
    std::uint64_t fencing_token{};
};

/*! @brief Next step in maintaining a lease. */
enum class lease_action { none, read, acquire };

/**
 * @brief State of one lease as seen by one node.
 *
 * The holder of an availability zone's lease orders the loads on the upstreams there. It renews the lease by reading
 * the record, so that renewals cost no writes. A successor acquires the lease by a conditional write with a higher
 * fencing token and waits before its first order. Tokens of a later epoch of the store exceed those of an earlier one,
 * so that a token that a restored store has forgotten is never used again. While the store is unreachable, the holder
 * continues only if the upstreams check fencing tokens. Not thread-safe.
 */
class lease_tracker {
public:
    explicit lease_tracker(lease_options options) : settings{std::move(options)} {}

    /**
     * @brief Applies the epoch of the store, as of its latest answer.
     *
     * A restored store may have forgotten the latest holder of the lease, so that a lease of an earlier epoch is no
     * longer valid: it is read and acquired again before the next order.
     */
    void observe_epoch(std::uint64_t value, core::time_point now);

    /*! @brief Applies a record that was received from a list or a watch, unless it is older than the known one. */
    void observe(const stored_lease& record, core::time_point now);

    /*! @brief Records that the lease does not exist in the store. */
    void observe_absent(core::time_point now);

    /*! @brief Records that a list of all leases, read in an epoch of the store, lacks this one. Ignored when the record
     * is known: it may have been written after the list was read. */
    void observe_unlisted(std::uint64_t list_epoch, core::time_point now);

    /*! @brief Records a successful read that began at `started` and returned `record`. */
    void read_succeeded(const stored_lease& record, core::time_point started, core::time_point now);

    /*! @brief Records that the read that began at `started` failed because the store was unreachable. */
    void read_failed(core::time_point started);

    /*! @brief Records that this node acquired the lease by a write that began at `started`. */
    void acquired(const stored_lease& record, core::time_point started, core::time_point now);

    /*! @brief Invalidates the lease until the next read, because an upstream has seen a higher fencing token. */
    void superseded() noexcept;

    /**
     * @brief Returns the next step.
     * @param status Status of the holder.
     * @param rank Number of live candidates that rank higher than this node; nothing when it is not a candidate.
     * @param now Current time.
     * @return The step to take now.
     */
    [[nodiscard]] lease_action next_action(holder_status status, std::optional<std::size_t> rank, core::time_point now);

    /*! @brief Returns the record that acquires the lease for this node, with the revision that the write is conditional
     * on. */
    [[nodiscard]] stored_lease make_acquisition(std::string zone) const;

    /*! @brief Returns whether the known record names this process as the holder. After a restore of the store, this
     * does not permit orders. */
    [[nodiscard]] bool is_holder() const noexcept;

    /*! @brief Returns whether this node may order loads at the given time. */
    [[nodiscard]] bool may_order_loads(core::time_point now) const noexcept;

    /*! @brief Returns since when this node has known the current holder as such. */
    [[nodiscard]] core::time_point holder_since() const noexcept {
        return this->holder_known_since;
    }

    /*! @brief Returns since when this node has held the lease and when that was last confirmed, or nothing when it does
     * not hold it as far as it knows. */
    [[nodiscard]] std::optional<lease_tenure> tenure() const noexcept;

    /*! @brief Returns the last known record, or nothing when it is unknown or does not exist. */
    [[nodiscard]] const std::optional<stored_lease>& current() const noexcept {
        return this->record;
    }

private:
    [[nodiscard]] bool is_of_earlier_epoch() const noexcept;
    /*! @brief Sets the time of the first order under a lease that is acquired now. */
    void set_first_order(core::time_point now) noexcept;
    [[nodiscard]] lease_action next_candidate_action(
        holder_status status, std::optional<std::size_t> rank, core::time_point now);

    /*! @brief Begins a tenure of this node. */
    void begin_tenure(core::time_point now) noexcept;

    /*! @brief Records that another node has acquired the lease of this one. */
    void record_loss(core::time_point now) noexcept;

    lease_options settings;
    /*! @brief Highest known epoch of the store. */
    std::uint64_t epoch{};
    /*! @brief Whether this node was the holder, and could order loads, when the store was restored. */
    bool held_before_restore{false};
    bool restored{false};
    std::optional<stored_lease> record{};
    bool record_known{false};
    /*! @brief Since when the lease has had no live holder. */
    std::optional<core::time_point> holder_absent_since{};
    /*! @brief Since when this node has known the current holder as such. */
    core::time_point holder_known_since{core::time_point::min()};
    /*! @brief When another node last acquired the lease of this one, and for how long it is left to that node. */
    std::optional<core::time_point> lost_at{};
    core::duration lost_lease_wait{};
    core::time_point valid_until{core::time_point::min()};
    core::time_point held_since{};
    core::time_point confirmed_at{core::time_point::min()};
    bool predecessor_ended{true};
    core::time_point orders_allowed_from{core::time_point::min()};
    /*! @brief Whether the previous holder had ended when this node last decided to acquire the lease. */
    bool holder_ended{true};
    core::time_point last_read_started{core::time_point::min()};
    /*! @brief Start of the last read if the store was unreachable. */
    std::optional<core::time_point> failed_read_started{};
};

} // namespace lagoonsaddle::edge

#endif
