#ifndef LAGOONSADDLE_FLEET_MEMBERSHIP_HPP
#define LAGOONSADDLE_FLEET_MEMBERSHIP_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/core/endpoint.hpp>
#include <lagoonsaddle/fleet/member.hpp>

namespace lagoonsaddle::fleet::internal {

enum class message_kind : std::uint8_t;
struct message;
struct member_record;

} // namespace lagoonsaddle::fleet::internal

namespace lagoonsaddle::fleet {

/*! @brief Settings of the membership protocol. All nodes of a fleet must use the same values. */
struct membership_settings {
    /*! @brief Time between two probes of a node. */
    core::duration probe_interval{std::chrono::milliseconds{300}};
    /*! @brief Time without an acknowledgement after which other members are asked to probe the target. */
    core::duration probe_timeout{std::chrono::milliseconds{120}};
    /*! @brief Number of members that are asked to probe the target. */
    std::size_t indirect_probes{3u};
    /*! @brief Time that a suspect has to refute before the node that raised the suspicion declares it dead. */
    core::duration suspicion_timeout{std::chrono::milliseconds{900}};
    /*! @brief Of `zone_probe_period` probes, this many target the node's own availability zone. */
    std::size_t local_zone_probes{2u};
    std::size_t zone_probe_period{3u};
    /*! @brief Each update is sent this many times the decimal logarithm of the number of members, rounded up. */
    std::size_t retransmit_factor{4u};
    /*! @brief Time between two anti-entropy syncs with a random peer. */
    core::duration sync_interval{std::chrono::seconds{10}};
    /*! @brief Time between two syncs until the first one is complete. */
    core::duration join_interval{std::chrono::milliseconds{400}};
    /*! @brief Time between two probes of a member that was declared dead, or of a seed that is not a live member. */
    core::duration reconnect_interval{std::chrono::seconds{2}};
    /*! @brief Time for which members that are dead or have left are kept as tombstones. */
    core::duration tombstone_lifetime{std::chrono::minutes{10}};
    /*! @brief Largest datagram, in bytes. */
    std::size_t datagram_limit{1200u};
    /*! @brief Limit of the average send rate, in bytes per second. */
    std::size_t byte_rate{3000u};
    /*! @brief Largest burst after an idle time, in bytes; a full table of 950 members takes 85 kB. */
    std::size_t byte_burst{96000u};
    /*! @brief Largest number of pages that one sync sends to the peer. */
    std::size_t max_sync_pages{8u};
};

/*! @brief Counters of one membership instance since its start. */
struct membership_counters {
    std::uint64_t datagrams_sent{};
    std::uint64_t bytes_sent{};
    std::uint64_t datagrams_received{};
    /*! @brief Datagrams that could not be decoded: truncated, random or oversized. */
    std::uint64_t malformed{};
    /*! @brief Acknowledgements without a matching probe: late, duplicated or forged. */
    std::uint64_t unmatched_acks{};
    /*! @brief Datagrams that were not sent because the send budget was used up. */
    std::uint64_t over_budget{};
    std::uint64_t probes_failed{};
    std::uint64_t suspicions{};
    std::uint64_t deaths{};
    /*! @brief Suspicions about this node, or records of its earlier boots, that it refuted. */
    std::uint64_t refutations{};
    std::uint64_t syncs{};
    /*! @brief Ticks so late that the open probe was discarded and the suspicion deadlines were extended. */
    std::uint64_t pauses{};
};

/**
 * @brief SWIM-style membership protocol of one node.
 *
 * Performs no I/O: takes events with the current time and returns the datagrams to send. Call `tick` at the instant
 * that `next_tick` returns or every few tens of milliseconds, and `receive` for each datagram. After each event, call
 * `take_changes` and `take_items`. Not thread-safe.
 */
class membership {
public:
    /**
     * @brief Creates the membership of one node.
     * @param settings Settings of the protocol.
     * @param self Metadata of this node.
     * @param seeds UDP endpoints to join through; the node's own endpoint is ignored.
     * @param random_seed Seed of the random number generator.
     */
    membership(
        membership_settings settings, member_info self, std::vector<core::endpoint> seeds, std::uint64_t random_seed);

    /**
     * @brief Advances the timers of probes, suspicions, syncs and expiry.
     * @param now Current time.
     * @return Datagrams to send.
     */
    [[nodiscard]] std::vector<datagram> tick(core::time_point now);

    /**
     * @brief Handles a datagram. Malformed input is counted and dropped.
     * @param now Current time.
     * @param from Source of the datagram.
     * @param bytes Payload.
     * @return Datagrams to send.
     */
    [[nodiscard]] std::vector<datagram> receive(
        core::time_point now, const core::endpoint& from, std::string_view bytes);

    /**
     * @brief Announces a planned stop. The node continues to respond to probes and receives no new work.
     * @param now Current time.
     * @return Datagrams to send.
     */
    [[nodiscard]] std::vector<datagram> announce_leaving(core::time_point now);

    /**
     * @brief Announces that the node is about to exit. Must be the last call; the instance sends nothing afterwards.
     * @param now Current time.
     * @return Datagrams to send.
     */
    [[nodiscard]] std::vector<datagram> announce_left(core::time_point now);

    /**
     * @brief Adds endpoints to join through, such as those of the VM list.
     * @param endpoints UDP endpoints; known ones are ignored.
     */
    void add_seeds(std::span<const core::endpoint> endpoints);

    /**
     * @brief Stores an item and gossips it to all nodes.
     * @param now Current time.
     * @param value Item to publish.
     * @return True when the item was stored; false when it is older than the stored one, equal to it, expired or too
     * large.
     */
    bool publish(core::time_point now, gossip_item value);

    /**
     * @brief Returns and removes the items from other nodes that were stored since the last call.
     * @return The items in the order of arrival; the versions of one kind and key never decrease.
     */
    [[nodiscard]] std::vector<gossip_item> take_items();

    /**
     * @brief Returns and removes the changes of other members since the last call.
     * @return The changes in the order in which they were seen.
     */
    [[nodiscard]] std::vector<member_change> take_changes();

    /*! @brief Returns the time of the next due timer. */
    [[nodiscard]] core::time_point next_tick() const noexcept;

    /**
     * @brief Returns whether the state of at least one peer was received completely since the start.
     * @return True also when the node was created without seeds other than itself.
     */
    [[nodiscard]] bool joined() const noexcept;

    /*! @brief Returns the record of this node. */
    [[nodiscard]] const member& self() const noexcept;

    /*! @brief Returns all known members including this node, dead ones and those that have left, by name. */
    [[nodiscard]] std::vector<member> members() const;

    /*! @brief Returns the live members including this node, by name. Live are alive, leaving and suspect ones. */
    [[nodiscard]] std::vector<member> live_members() const;

    /**
     * @brief Finds a member.
     * @param name Name of the node.
     * @return The member, or null when it is unknown. Valid until the next non-const call.
     */
    [[nodiscard]] const member* find(std::string_view name) const;

    /**
     * @brief Finds an item.
     * @param kind Kind of the item.
     * @param key Key within the kind.
     * @return The item with its remaining lifetime as of the last event, or an empty value when unknown or expired.
     */
    [[nodiscard]] std::optional<gossip_item> find_item(std::string_view kind, std::string_view key) const;

    /*! @brief Returns the items of a kind, ordered by key. */
    [[nodiscard]] std::vector<gossip_item> items(std::string_view kind) const;

    [[nodiscard]] const membership_counters& counters() const noexcept;

private:
    struct member_entry {
        fleet::member value{};
        /*! @brief Time of the last update; start of the lifetime of a tombstone. */
        core::time_point updated_at{};
        /*! @brief Time at which a suspect is declared dead. */
        core::time_point suspicion_deadline{};
        /*! @brief True when a probe of this node raised the suspicion. */
        bool is_own_suspicion{};
    };

    struct stored_item {
        gossip_item value{};
        std::optional<core::time_point> expires_at{};
    };

    /*! @brief Update to piggyback on datagrams, identified by the member's name or the key of the item. */
    struct pending_update {
        bool is_item{};
        std::string key{};
        std::size_t transmissions{};
    };

    struct probe {
        std::string target{};
        std::uint64_t sequence{};
        core::time_point sent_at{};
        bool indirect_requested{};
    };

    /*! @brief Probe that this node sends on behalf of another member. */
    struct relayed_probe {
        core::endpoint requester{};
        std::uint64_t sequence{};
        core::time_point expires_at{};
    };

    using datagrams = std::vector<datagram>;

    [[nodiscard]] static std::string item_key(std::string_view kind, std::string_view key);
    [[nodiscard]] internal::message make_message(internal::message_kind kind, std::uint64_t sequence, bool full) const;
    void refill_budget(core::time_point now) noexcept;
    bool send(core::time_point now, const core::endpoint& to, const internal::message& header,
        std::vector<std::string> records, datagrams& out);
    void send_pages(core::time_point now, const core::endpoint& to, const internal::message& request, datagrams& out);
    void send_ping(core::time_point now, const core::endpoint& to, const std::string& target, std::uint64_t sequence,
        datagrams& out);
    void send_sync(core::time_point now, const core::endpoint& to, datagrams& out);

    void apply_record(core::time_point now, const internal::member_record& value);
    void apply_own_record(const internal::member_record& value);
    bool apply_item(core::time_point now, gossip_item value, bool from_peer);
    void update_member(core::time_point now, member_entry& target, const internal::member_record& value);
    void queue_update(bool is_item, std::string key);
    void queue_own_record();

    void start_probe_period(core::time_point now, datagrams& out);
    void request_indirect_probes(core::time_point now, datagrams& out);
    void expire_suspicions(core::time_point now);
    void reconnect_unreachable(core::time_point now, datagrams& out);
    /*! @brief Sends a sync to seeds that were added since the last tick. */
    void contact_new_seeds(core::time_point now, datagrams& out);
    void start_sync(core::time_point now, datagrams& out);
    void remove_expired(core::time_point now);
    void handle_pause(core::time_point now);
    [[nodiscard]] std::optional<std::string> choose_probe_target();
    [[nodiscard]] std::vector<const fleet::member*> live_peers() const;
    [[nodiscard]] std::vector<std::uint64_t> digest() const;
    /*! @brief Returns the decimal logarithm of the number of live members, rounded up; at least 1. */
    [[nodiscard]] std::size_t log_member_count() const noexcept;
    /*! @brief Returns the part of the send budget that only probes and acknowledgements may use, in bytes. */
    [[nodiscard]] double reserved_budget() const noexcept;
    /*! @brief Returns a random number below `bound`. */
    [[nodiscard]] std::size_t random_below(std::size_t bound);

    membership_settings options;
    fleet::member local_member;
    std::vector<core::endpoint> seeds;
    std::vector<core::endpoint> uncontacted_seeds{};
    std::mt19937_64 random;

    std::map<std::string, member_entry, std::less<>> remote_members{};
    std::map<std::string, stored_item, std::less<>> stored_items{};
    std::size_t live_remote_count{};
    std::set<std::string, std::less<>> suspects{};
    std::vector<pending_update> pending_updates{};
    std::vector<gossip_item> received_items{};
    std::vector<member_change> changes{};

    std::optional<probe> active_probe{};
    std::map<std::uint64_t, relayed_probe> relayed_probes{};
    std::uint64_t last_sequence{};
    /*! @brief Members to be probed in the current round, in random order: [0] of the own zone, [1] of other zones. */
    std::array<std::vector<std::string>, 2u> probe_rounds{};
    std::size_t probes_started{};

    std::optional<core::time_point> last_tick{};
    core::time_point last_event{};
    core::time_point next_probe{};
    core::time_point next_sync{};
    core::time_point next_reconnect{};
    core::time_point next_expiry{};
    core::time_point last_refill{};
    double send_budget{};
    /*! @brief Indices of the received pages of the last sync that this node started, by its sequence number. */
    std::map<std::uint64_t, std::set<std::uint64_t>> sync_pages_received{};
    bool has_joined{};
    /*! @brief Multiple of the join interval until the next sync. */
    int join_backoff{1};
    std::size_t startup_syncs{};
    /*! @brief True while applied records and items are not queued as updates. */
    bool suppress_gossip{};
    /*! @brief Records and items in the pages received since the last sync was started. */
    std::size_t records_since_sync{};
    bool has_left{};
    membership_counters counts{};
};

} // namespace lagoonsaddle::fleet

#endif
