#ifndef LAGOONSADDLE_FLEET_OWNERSHIP_HPP
#define LAGOONSADDLE_FLEET_OWNERSHIP_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/fleet/member.hpp>

namespace lagoonsaddle::fleet {

/*! @brief Settings of the read-lease protocol. All nodes of a fleet must use the same values. */
struct ownership_settings {
    /*! @brief Time from the start of the last successful read to the end of the leases of this node. */
    core::duration lease_duration{std::chrono::seconds{6}};
    /*! @brief Time between two reads of a node that owns an upstream or is a candidate. */
    core::duration lease_refresh_interval{std::chrono::seconds{2}};
    /*! @brief Time between two reads of a node that neither owns an upstream nor is a candidate. */
    core::duration observer_refresh_interval{std::chrono::seconds{15}};
    /*! @brief Minimum time between the start of an operation and a read that `refresh` requests. Callers that wait for
     * an owner request reads continually, and the object API serves only about 2,000 reads/s for the whole fleet. */
    core::duration min_refresh_interval{std::chrono::milliseconds{500}};
    /*! @brief Time for which an upstream accepts an order after it was issued. */
    core::duration order_validity{std::chrono::seconds{1}};
    /*! @brief Time after which an operation without a result counts as failed (read) or unknown (write). */
    core::duration operation_timeout{std::chrono::seconds{2}};
    /*! @brief Time between the first view and the first write, so that the view is complete by then. */
    core::duration initial_write_delay{std::chrono::seconds{2}};
    /*! @brief The candidate of rank n waits n times this long before it writes a due change. */
    core::duration writer_rank_delay{std::chrono::seconds{2}};
    /*! @brief Time for which an upstream must be absent from the view before its assignment is removed. */
    core::duration removal_delay{std::chrono::seconds{30}};
    /*! @brief Time without a change of the candidates after which upstreams are moved to their preferred owners. */
    core::duration rebalance_delay{std::chrono::seconds{30}};
    /*! @brief Largest number of upstreams that one node hands over in one rebalancing write. */
    std::size_t rebalance_batch{2u};
    /*! @brief Time between two rebalancing writes of one node. */
    core::duration rebalance_interval{std::chrono::seconds{10}};
    /*! @brief Maximum time that a node waits before it repeats a change that another writer reverted. */
    core::duration max_contention_backoff{std::chrono::seconds{60}};
};

/*! @brief Upstream of an availability zone. */
struct zone_upstream {
    std::string name{};
    /*! @brief True when the upstream rejects orders with an old fencing token. */
    bool checks_fencing_token{};

    friend bool operator==(const zone_upstream&, const zone_upstream&) = default;
};

/*! @brief Nodes and upstreams of one availability zone, as seen by one node. */
struct zone_view {
    /*! @brief Processes to which upstreams may be assigned; see `ownership_candidates`. */
    std::vector<node_id> candidates{};
    /*! @brief Processes whose upstreams are not taken over, candidate or not; see `live_node_ids`. Candidates always
     * count as live. */
    std::vector<node_id> live_nodes{};
    std::vector<zone_upstream> upstreams{};
};

/**
 * @brief Selects the processes that may own the upstreams of an availability zone.
 * @param members Members as known to this node.
 * @param zone Availability zone of the upstreams.
 * @return The alive and suspect members of the zone, or those of all zones when the zone has none. Leaving members
 * are not candidates.
 */
[[nodiscard]] std::vector<node_id> ownership_candidates(std::span<const member> members, std::string_view zone);

/**
 * @brief Selects the processes whose upstreams are not taken over.
 * @param members Members as known to this node.
 * @return The live members of all availability zones, including leaving ones.
 */
[[nodiscard]] std::vector<node_id> live_node_ids(std::span<const member> members);

/*! @brief Assignment of an upstream in the ownership object. */
struct assignment {
    node_id owner{};
    /*! @brief Increases with each change of owner. */
    std::uint64_t fencing_token{};
    /*! @brief True when the previous owner released the upstream itself, so that its orders are no longer valid. */
    bool released{};

    friend bool operator==(const assignment&, const assignment&) = default;
};

/*! @brief Action: read the object; the body is omitted when the version is still `known_version`. */
struct read_object {
    std::uint64_t operation{};
    std::uint64_t known_version{};
};

/*! @brief Action: write the object if its version is `expected_version`; 0 requires that it does not exist. */
struct write_object {
    std::uint64_t operation{};
    std::uint64_t expected_version{};
    std::string body{};
};

/*! @brief Action of `ownership`. At most one operation is outstanding. */
using ownership_action = std::variant<read_object, write_object>;

/*! @brief Outcome of a read. */
enum class read_status : std::uint8_t {
    /*! @brief The object was returned with its body. */
    changed,
    /*! @brief The version is still the known one. */
    unchanged,
    /*! @brief The object does not exist. */
    missing,
    /*! @brief No response or an error. */
    failed
};

/*! @brief Event: a read has completed. */
struct read_result {
    /*! @brief `read_object::operation`. */
    std::uint64_t operation{};
    read_status status{read_status::failed};
    /*! @brief Time before the first byte of this attempt was sent. Start of the lease. */
    core::time_point started{};
    /*! @brief Version of the object; used with `changed` and `unchanged`. */
    std::uint64_t version{};
    /*! @brief Body of the object; used with `changed`. */
    std::string body{};
};

/*! @brief Outcome of a conditional write. */
enum class write_status : std::uint8_t {
    ok,
    /*! @brief The object has another version. */
    conflict,
    /*! @brief Certain not to have taken effect (verdict `not_run`). */
    failed,
    /*! @brief May have taken effect or may still take effect. */
    unknown
};

/*! @brief Event: a conditional write has completed. */
struct write_result {
    /*! @brief `write_object::operation`. */
    std::uint64_t operation{};
    write_status status{write_status::unknown};
    /*! @brief New version of the object; used with `ok`. */
    std::uint64_t version{};
};

/*! @brief Copy of the ownership object, sent to peers that start while the object API is down. */
struct ownership_snapshot {
    std::uint64_t version{};
    std::string body{};
};

/*! @brief Counters of one ownership instance since its start. */
struct ownership_counters {
    std::uint64_t reads{};
    std::uint64_t reads_failed{};
    std::uint64_t writes{};
    std::uint64_t conflicts{};
    /*! @brief Writes with an unknown outcome, which is determined by a read. */
    std::uint64_t unknown_writes{};
    /*! @brief Late or duplicated results of operations that are no longer outstanding. */
    std::uint64_t stale_results{};
    /*! @brief Bodies that are not a valid ownership object, and known objects that are missing. */
    std::uint64_t malformed{};
    std::uint64_t takeovers{};
    std::uint64_t handovers{};
};

/**
 * @brief Read-lease protocol for the ownership object of one availability zone.
 *
 * Performs no I/O and is not thread-safe. Queries take the time at which their result is used. Repeat the query before
 * each order, because a lease can end between two events.
 */
class ownership {
public:
    /**
     * @brief Creates the protocol instance of one node for one availability zone.
     * @param settings Settings of the protocol.
     * @param self This process.
     * @param zone Availability zone of the upstreams; may differ from the node's own.
     */
    ownership(ownership_settings settings, node_id self, std::string zone);

    /*! @brief Returns the name of the object, `ownership/{zone}`. */
    [[nodiscard]] const std::string& object_name() const noexcept;

    /**
     * @brief Advances the timers. Call it at least every 100 ms.
     * @param now Current time.
     * @return Operation to start, if any.
     */
    [[nodiscard]] std::vector<ownership_action> tick(core::time_point now);

    /**
     * @brief Handles the result of a read.
     * @param now Current time.
     * @param result Outcome.
     * @return Operation to start, if any.
     */
    [[nodiscard]] std::vector<ownership_action> on_read(core::time_point now, const read_result& result);

    /**
     * @brief Handles the result of a conditional write.
     * @param now Current time.
     * @param result Outcome.
     * @return Operation to start, if any.
     */
    [[nodiscard]] std::vector<ownership_action> on_write(core::time_point now, const write_result& result);

    /**
     * @brief Replaces the live nodes and the upstreams of the zone. Must not be called before the node has joined.
     * @param now Current time.
     * @param view Nodes and upstreams of the zone.
     * @return Operation to start, if any.
     */
    [[nodiscard]] std::vector<ownership_action> on_view(core::time_point now, zone_view view);

    /**
     * @brief Applies the copy of a peer. Grants no lease; only a read of this node does.
     * @param now Current time.
     * @param snapshot Copy of the peer.
     * @return True when the copy is valid and newer than the known object.
     */
    bool on_snapshot(core::time_point now, const ownership_snapshot& snapshot);

    /**
     * @brief Releases all upstreams for a planned stop, in one write that names the successors.
     *
     * From this call on the node issues no orders and assigns nothing to itself. The write follows after
     * `order_validity`, when no order is valid any more. `released` returns whether it has taken effect.
     *
     * @param now Current time.
     * @return Operation to start, if any.
     */
    [[nodiscard]] std::vector<ownership_action> release_all(core::time_point now);

    /*! @brief Returns whether `release_all` was called and this node is known to own nothing. */
    [[nodiscard]] bool released() const;

    /**
     * @brief Requests a read, such as after a sign that an owner has changed. It starts when no operation is
     * outstanding and `min_refresh_interval` has passed.
     * @param now Current time.
     * @return Operation to start, if any.
     */
    [[nodiscard]] std::vector<ownership_action> refresh(core::time_point now);

    /**
     * @brief Returns the known assignment of an upstream.
     * @param upstream Name of the upstream.
     * @return The assignment, or an empty value when no owner is known.
     */
    [[nodiscard]] std::optional<assignment> owner(std::string_view upstream) const;

    /**
     * @brief Returns whether this process owns the upstream with a valid lease and may issue orders.
     * @param upstream Name of the upstream.
     * @param at Time at which the result is used.
     */
    [[nodiscard]] bool owns(std::string_view upstream, core::time_point at) const;

    /**
     * @brief Returns the fencing token for orders to an upstream.
     * @param upstream Name of the upstream.
     * @return The token, or an empty value when this process is not the owner.
     */
    [[nodiscard]] std::optional<std::uint64_t> fencing_token(std::string_view upstream) const;

    /**
     * @brief Returns whether this process may order evictions, and loads into the slots that they free.
     * @param upstream Name of the upstream.
     * @param at Time at which the result is used.
     */
    [[nodiscard]] bool may_evict(std::string_view upstream, core::time_point at) const;

    /**
     * @brief Returns whether this process may order loads into free slots.
     * @param upstream Name of the upstream.
     * @param at Time at which the result is used.
     */
    [[nodiscard]] bool may_load(std::string_view upstream, core::time_point at) const;

    /**
     * @brief Returns whether this process may send requests for resident adapters.
     * @param upstream Name of the upstream.
     * @param at Time at which the result is used.
     */
    [[nodiscard]] bool may_route(std::string_view upstream, core::time_point at) const;

    /**
     * @brief Returns when this process learned that it owns the upstream under the current fencing token.
     *
     * Reports of the upstream about an earlier time may lack requests of the previous owner.
     *
     * @param upstream Name of the upstream.
     * @return The time, or an empty value when this process is not the owner.
     */
    [[nodiscard]] std::optional<core::time_point> owner_since(std::string_view upstream) const;

    /*! @brief Returns the names of the upstreams assigned to this process, with or without a valid lease. */
    [[nodiscard]] std::vector<std::string> owned_upstreams() const;

    /*! @brief Returns all known assignments by upstream. */
    [[nodiscard]] std::map<std::string, assignment> assignments() const;

    /**
     * @brief Returns when the leases of this process end.
     * @return The latest end, or an empty value when this process has no lease.
     */
    [[nodiscard]] std::optional<core::time_point> lease_end() const noexcept;

    /**
     * @brief Returns whether recent operations failed and the object API has not responded for a whole lease.
     * @param at Current time.
     */
    [[nodiscard]] bool object_api_down(core::time_point at) const noexcept;

    /*! @brief Returns the known object, to be sent to a peer. */
    [[nodiscard]] ownership_snapshot snapshot() const;

    /*! @brief Returns the known version of the object; 0 when none. */
    [[nodiscard]] std::uint64_t version() const noexcept;

    [[nodiscard]] const ownership_counters& counters() const noexcept;

private:
    /*! @brief State of an upstream that is assigned to this process. */
    struct owned_entry {
        std::uint64_t fencing_token{};
        /*! @brief When this process learned of the fencing token; start of the takeover wait. */
        core::time_point owner_since{};
        /*! @brief Start of the last read that showed this process as the owner. */
        std::optional<core::time_point> lease_start{};
        /*! @brief When this process stopped issuing orders in order to hand the upstream over. */
        std::optional<core::time_point> orders_stopped{};
        /*! @brief Expected version of a handover write that may still take effect. It no longer can once the object has
         * a higher version. */
        std::optional<std::uint64_t> pending_handover_version{};
    };

    enum class operation_kind : std::uint8_t { none, read, write };

    struct object_content {
        std::map<std::string, assignment, std::less<>> entries{};
        /*! @brief Highest fencing token of all removed entries. */
        std::uint64_t token_floor{};
        std::string writer{};
    };

    [[nodiscard]] static std::optional<object_content> parse(std::string_view body);
    [[nodiscard]] static std::string serialize(const object_content& content);
    [[nodiscard]] const owned_entry* find_owned(std::string_view upstream) const;
    [[nodiscard]] bool lease_is_valid(const owned_entry& owned, core::time_point at) const noexcept;
    [[nodiscard]] bool takeover_wait_is_over(
        std::string_view upstream, const owned_entry& owned, core::time_point at) const;
    [[nodiscard]] bool upstream_checks_token(std::string_view upstream) const;
    [[nodiscard]] std::vector<std::string> candidate_names() const;
    [[nodiscard]] std::vector<ownership_action> advance(core::time_point now);
    [[nodiscard]] ownership_action start_read(core::time_point now);
    [[nodiscard]] std::optional<ownership_action> start_write(core::time_point now);
    void apply_object(core::time_point now, std::uint64_t new_version, std::string body, object_content new_content);
    void detect_contention(core::time_point now, const object_content& new_content);
    void record_failure(core::time_point now) noexcept;
    void handle_read_failure(core::time_point now) noexcept;
    void schedule_read_back(core::time_point now) noexcept;
    void start_rebalancing(core::time_point now);
    void find_due_changes(core::time_point now);
    [[nodiscard]] bool assignment_is_due(core::time_point now);
    [[nodiscard]] bool handover_is_due(const owned_entry& owned, core::time_point now) const noexcept;
    void assign_unowned_upstreams(object_content& next);
    void assign_successors(core::time_point now, object_content& next);

    ownership_settings options;
    node_id local_node;
    std::string object_key;

    std::uint64_t known_version{};
    std::string known_body{};
    object_content known_content{};
    std::map<std::string, owned_entry, std::less<>> owned_entries{};

    zone_view view{};
    std::map<std::string, bool, std::less<>> fencing_checks{};
    /*! @brief Assigned upstreams that are not in the view, with the time since when. */
    std::map<std::string, core::time_point, std::less<>> absent_entries{};
    /*! @brief Upstreams of the view that are not assigned, or assigned to a process that is not live. */
    std::vector<std::string> unowned_upstreams{};
    /*! @brief Upstreams whose assignment is to be removed. */
    std::vector<std::string> removable_entries{};
    /*! @brief True when the view or the object has changed since the last `find_due_changes`. */
    bool due_changes_stale{true};
    std::optional<core::time_point> first_view_at{};
    core::time_point candidates_changed_at{};
    std::optional<core::time_point> change_due_since{};

    operation_kind outstanding_operation{operation_kind::none};
    std::uint64_t last_operation{};
    core::time_point operation_started{};
    /*! @brief Upstreams that the outstanding write hands over. */
    std::vector<std::string> handed_over_upstreams{};
    /*! @brief Those of `handed_over_upstreams` without an earlier handover write that may still take effect. */
    std::vector<std::string> new_pending_handovers{};
    object_content outstanding_content{};
    std::string outstanding_body{};

    /*! @brief True when the last operation showed that the known object is current; required for writes. */
    bool object_is_current{};
    bool releasing{};
    std::optional<core::time_point> next_read{};
    std::optional<core::time_point> first_advance_at{};
    std::optional<core::time_point> last_response{};
    /*! @brief End and start of the last operation that failed while this process was not paused. */
    std::optional<core::time_point> last_failure{};
    core::time_point last_failure_started{};
    std::optional<core::time_point> last_rebalance{};

    /*! @brief Assignments changed by the last write of this node, to detect that another writer reverts them. */
    std::map<std::string, assignment, std::less<>> written_assignments{};
    core::time_point assignments_written_at{};
    core::duration contention_backoff{};
    std::optional<core::time_point> contention_backoff_end{};

    ownership_counters counts{};
};

} // namespace lagoonsaddle::fleet

#endif
