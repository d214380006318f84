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
    std::string self{};
    std::uint64_t boot_id{};
    /*! @brief Upstreams refuse orders with an old fencing token. */
    bool fenced{true};
    /*! @brief Time between two reads that renew the lease. */
    core::duration read_interval{std::chrono::milliseconds{900}};
    /*! @brief Validity of the lease from the start of a read that showed this node as the holder. */
    core::duration duration{std::chrono::milliseconds{2'000}};
    /*! @brief Time between acquiring the lease of a holder that may be alive and the first order. */
    core::duration takeover_wait{std::chrono::seconds{3}};
    /*! @brief The same where the holder has ended or released the lease, and upstreams check fencing tokens. */
    core::duration vacant_wait{std::chrono::milliseconds{0}};
    /*! @brief Extra time before acquiring, per live candidate that is preferred to this node. */
    core::duration rank_delay{std::chrono::milliseconds{600}};
    /*! @brief Time for which the absence of a holder must last before the lease is acquired. */
    core::duration absence_min{std::chrono::milliseconds{300}};
};

/*! @brief What membership says about the holder of a lease. */
enum class holder_status {
    live,
    /*! @brief The process that acquired the lease has ended: the node left or restarted. */
    ended,
    /*! @brief The node does not answer; it may be alive behind a partition. */
    unreachable,
    unknown
};

/*! @brief What to do next about a lease. */
enum class lease_action { none, read, acquire };

/**
 * @brief One lease as one node sees it: who orders the loads of an availability zone's upstreams.
 *
 * A holder renews by reading the record, so that renewals are no writes. A successor acquires the lease by a
 * conditional write with a higher fencing token and waits before its first order. While the store cannot be reached,
 * the holder goes on only where the upstreams check fencing tokens. Not thread-safe.
 */
class lease_tracker {
public:
    explicit lease_tracker(lease_options options) : settings{std::move(options)} {}

    /*! @brief Takes over the record from a list or a watch. */
    void observe(const stored_lease& record, core::time_point now);

    /*! @brief Notes that the record does not exist. */
    void observe_absent(core::time_point now);

    /*! @brief Records a read that began at `started` and showed `record`. */
    void read_succeeded(const stored_lease& record, core::time_point started, core::time_point now);

    /*! @brief Records a read that began at `started` and failed because the store could not be reached. */
    void read_failed(core::time_point started);

    /*! @brief Records a successful write of this node as the holder. */
    void acquired(const stored_lease& record, core::time_point started, core::time_point now);

    /*! @brief Notes that an upstream has seen a higher fencing token. */
    void superseded() noexcept;

    /**
     * @brief Tells what to do next.
     * @param status What membership says about the holder.
     * @param rank Number of live candidates that are preferred to this node; nothing when it is no candidate.
     * @param now Current time.
     * @return The action.
     */
    [[nodiscard]] lease_action next(holder_status status, std::optional<std::size_t> rank, core::time_point now);

    /*! @brief Returns the record that acquires the lease, and the revision that it replaces. */
    [[nodiscard]] stored_lease successor(std::string zone) const;

    /*! @brief Returns whether this node is the holder as far as it knows. */
    [[nodiscard]] bool is_holder() const noexcept;

    /*! @brief Returns whether this node may order now. */
    [[nodiscard]] bool may_order(core::time_point now) const noexcept;

    /*! @brief Returns the record, or nothing when it is unknown or does not exist. */
    [[nodiscard]] const std::optional<stored_lease>& current() const noexcept {
        return this->record;
    }

private:
    lease_options settings;
    std::optional<stored_lease> record{};
    bool read_once{false};
    /*! @brief Since when nobody holds the lease. */
    std::optional<core::time_point> vacant_since{};
    core::time_point valid_until{core::time_point::min()};
    core::time_point orders_from{core::time_point::min()};
    /*! @brief Whether the holder has ended, as of the last decision to acquire the lease. */
    bool holder_ended{true};
    core::time_point last_read{core::time_point::min()};
    /*! @brief Start of the last read, if it failed for want of the store. */
    std::optional<core::time_point> unreachable_at{};
};

} // namespace lagoonsaddle::edge

#endif
