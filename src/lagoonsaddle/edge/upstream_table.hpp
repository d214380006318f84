#ifndef LAGOONSADDLE_EDGE_UPSTREAM_TABLE_HPP
#define LAGOONSADDLE_EDGE_UPSTREAM_TABLE_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/concurrency_limit.hpp>
#include <lagoonsaddle/edge/types.hpp>
#include <lagoonsaddle/edge/upstream_health.hpp>
#include <lagoonsaddle/edge/upstream_speed.hpp>
#include <lagoonsaddle/edge/upstream_throttle.hpp>

namespace lagoonsaddle::edge {

/*! @brief State of an upstream as known to one node. */
struct upstream_state {
    upstream_entry entry{};
    upstream_health health{};
    /*! @brief Of an upstream that serves a model: prefills, known where its requests are placed. Of another one:
     * response times in milliseconds. */
    upstream_speed speed{};
    /*! @brief Requests of this node that are in progress on the upstream. */
    unsigned in_flight{};
    /*! @brief Prompt tokens of this node's requests that have not received their first event. */
    std::uint64_t pending_tokens{};

    /*! @brief When the upstream last refused a request because it was full. */
    core::time_point refused_at{core::time_point::min()};
    upstream_throttle throttle{};
    concurrency_limit concurrency{};
    /*! @brief Set when the entry is missing after an outage of the store: time at which the upstream is removed. */
    std::optional<core::time_point> missing_until{};
    /*! @brief Set when the upstream was removed and is listed again unchanged: time from which it is used, unless its
     * entry changes before. */
    std::optional<core::time_point> unconfirmed_until{};
    /*! @brief Set when a peer has seen the entry removed: time at which it told so. Cleared by an entry. */
    std::optional<core::time_point> removal_told_at{};
    /*! @brief Set when the upstream seems to have started again and its entry does not show that: time of the last
     * sign. */
    std::optional<core::time_point> restart_suspected_at{};

    /*! @brief State of an adapter as shown by a request or an order, which may be newer than the entry. */
    struct observation {
        bool resident{};
        std::uint64_t version{};
        core::time_point at{};
    };

    std::map<std::string, observation, std::less<>> observations{};

    /*! @brief Returns the version of a resident adapter, or nothing. Recent observations take precedence over the
     * entry. */
    [[nodiscard]] std::optional<std::uint64_t> adapter_version(
        std::string_view model, std::string_view adapter, core::time_point now) const;

    /*! @brief Returns whether the upstream must get no requests any more: it is leaving, or a peer has seen its entry
     * removed. */
    [[nodiscard]] bool is_ending() const noexcept {
        return this->entry.leaving || this->removal_told_at.has_value();
    }

    /*! @brief Returns whether a base model is resident. */
    [[nodiscard]] bool holds_model(std::string_view model) const;
};

/*! @brief The known upstreams of the deployment. Not thread-safe. */
class upstream_table {
public:
    /**
     * @brief Replaces the upstreams by a complete list from the store.
     *
     * A restored store lists entries again that had been removed. Such an upstream gets no requests until its entry
     * changes, or until the store would have removed the entry of an upstream that is gone.
     *
     * @param entries Entries of all upstreams.
     * @param now Current time.
     * @return Ids of the upstreams that are now leaving or removed.
     */
    std::vector<std::string> replace(std::span<const upstream_entry> entries, core::time_point now);

    /**
     * @brief Adds or updates the upstreams of a list that may lack others, which stay as they are.
     * @param entries Entries of the upstreams that could be read.
     * @param now Current time.
     * @return Ids of the upstreams that are now leaving.
     */
    std::vector<std::string> merge(std::span<const upstream_entry> entries, core::time_point now);

    /**
     * @brief Adds or updates an upstream. Observations, health and speed of an earlier incarnation are discarded; an
     * incarnation that was leaving when it was removed is still leaving.
     * @param entry Entry of the upstream.
     * @param now Current time.
     * @return True when the upstream is now leaving and was not before.
     */
    bool update(const upstream_entry& entry, core::time_point now);

    /**
     * @brief Removes an upstream whose entry was removed or cannot be read.
     *
     * During the grace period after an outage of the store, a missing entry may only have expired while the upstream
     * could not refresh it, so that the upstream is kept until the period ends.
     *
     * @param id Id of the upstream.
     * @param now Current time.
     * @return True when the upstream was removed.
     */
    bool remove(std::string_view id, core::time_point now);

    /*! @brief Marks an incarnation of an upstream, identified by `started_ms`, as leaving. Returns true when it was not
     * before. */
    bool mark_leaving(std::string_view id, std::uint64_t started_ms);

    /**
     * @brief Takes an incarnation of an upstream out of use because a peer has seen its entry removed.
     *
     * The peer may have read a removal that was undone since: an upstream that was frozen writes its entry again. So
     * the upstream is kept, and used again as soon as its entry is read.
     *
     * @param id Id of the upstream.
     * @param started_ms Start time of the incarnation.
     * @param now Current time.
     * @return True when the upstream was in use before.
     */
    bool mark_removed(std::string_view id, std::uint64_t started_ms, core::time_point now);

    /**
     * @brief Puts an upstream into use again that a peer had seen removed, because a node that reads the store still
     * lists it. Does nothing until the removal must have reached all readers of the store.
     * @param id Id of the upstream.
     * @param now Current time.
     * @return True when the upstream is in use again.
     */
    bool confirm_listed(std::string_view id, core::time_point now);

    /*! @brief Returns the start time of an incarnation that was removed lately without having been marked as leaving,
     * or nothing. */
    [[nodiscard]] std::optional<std::uint64_t> removed_unmarked(std::string_view id) const;

    /*! @brief Returns whether the incarnation of an entry was removed lately. */
    [[nodiscard]] bool was_removed(const upstream_entry& entry) const {
        return this->find_removed(entry) != nullptr;
    }

    /*! @brief Records a sign that an upstream has started again, which its entry may show only later. */
    void suspect_restart(std::string_view id, core::time_point now);

    /*! @brief Returns the software version of an upstream, or nothing when its entry may be that of an earlier start.
     */
    [[nodiscard]] std::optional<std::string> certain_version(
        const upstream_state& upstream, core::time_point now) const;

    /**
     * @brief Sets whether entries of upstreams that have ended are removed at present.
     * @param value False while the store is away, and until entries could have expired since.
     * @param now Current time.
     */
    void set_current(bool value, core::time_point now) noexcept;

    /*! @brief Returns whether an entry shows that its upstream lives. */
    [[nodiscard]] bool is_current() const noexcept {
        return this->current;
    }

    /*! @brief Starts the grace period for missing entries, because the store has recovered from an outage. */
    void on_store_recovered(core::time_point now) noexcept;

    /*! @brief Applies the end of grace periods; returns the ids of the upstreams that are removed. */
    std::vector<std::string> remove_expired(core::time_point now);

    [[nodiscard]] upstream_state* find(std::string_view id);
    [[nodiscard]] const upstream_state* find(std::string_view id) const;

    /*! @brief Returns all upstreams by id. */
    [[nodiscard]] const std::map<std::string, upstream_state, std::less<>>& all() const noexcept {
        return this->upstreams;
    }

    /*! @brief Returns the upstreams of a service that are neither ending nor unconfirmed. */
    [[nodiscard]] std::vector<const upstream_state*> accepting_requests(std::string_view service) const;

    /*! @brief Returns the software versions that upstreams of a service have had since a time, leaving ones included.
     */
    [[nodiscard]] std::set<std::string, std::less<>> software_versions(
        std::string_view service, core::time_point since) const;

    /*! @brief Returns the time since which the entries have shown all upstreams; nothing while they do not. */
    [[nodiscard]] std::optional<core::time_point> complete_from() const noexcept {
        return this->current_since;
    }

    /*! @brief Returns whether the entries have shown all upstreams without a break since a time. */
    [[nodiscard]] bool complete_since(core::time_point since) const noexcept {
        return this->current_since && *this->current_since <= since;
    }

    /*! @brief Records that an adapter was found resident or not resident by a request or an order. */
    void observe_adapter(std::string_view id, std::string_view model, std::string_view adapter, bool resident,
        std::uint64_t version, core::time_point now);

    /*! @brief Records that a base model was found not resident. */
    void observe_model_missing(std::string_view id, std::string_view model);

private:
    struct removed_upstream {
        std::uint64_t started_ms{};
        bool leaving{};
        core::time_point removed_at{};
    };

    /*! @brief Software version of an upstream that was removed or has started again at another one. */
    struct former_version {
        std::string service{};
        std::string software_version{};
        core::time_point until{};
    };

    using upstream_map = std::map<std::string, upstream_state, std::less<>>;

    void record_former_version(const upstream_entry& entry, core::time_point now);
    upstream_map::iterator erase(upstream_map::iterator position, core::time_point now);
    /*! @brief Returns the removed incarnation that an entry belongs to, or null. */
    [[nodiscard]] const removed_upstream* find_removed(const upstream_entry& entry) const;

    bool current{true};
    std::optional<core::time_point> current_since{};
    std::vector<former_version> former_versions{};
    upstream_map upstreams{};
    std::map<std::string, removed_upstream, std::less<>> removed_upstreams{};
    core::time_point grace_until{core::time_point::min()};
};

/*! @brief Returns the key of an adapter, `model/adapter`. */
[[nodiscard]] std::string adapter_key(std::string_view model, std::string_view adapter);

/*! @brief Adapter of a base model. */
struct adapter_name {
    std::string model{};
    std::string adapter{};
};

/*! @brief Returns the adapter of a key that `adapter_key` has made. */
[[nodiscard]] adapter_name split_adapter_key(std::string_view key);

} // namespace lagoonsaddle::edge

#endif
