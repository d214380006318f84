#ifndef LAGOONSADDLE_EDGE_SLOT_SCHEDULER_HPP
#define LAGOONSADDLE_EDGE_SLOT_SCHEDULER_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/load_gate.hpp>
#include <lagoonsaddle/edge/protocol.hpp>

namespace lagoonsaddle::edge {

/*! @brief Options of `slot_scheduler`. */
struct slot_scheduler_options {
    std::size_t slots{};
    /*! @brief Loads that may be in progress on one upstream at the same time. */
    std::size_t concurrent_loads_max{4u};
    /*! @brief Time since the last use after which an adapter may be evicted. */
    core::duration idle_min{std::chrono::milliseconds{200}};
    /*! @brief Time for which the last use of an adapter that is not resident is kept. */
    core::duration use_retention{std::chrono::seconds{5}};
    /*! @brief Largest number of last uses that are kept: requests may name any number of adapters. */
    std::size_t uses_max{1'024u};
    /*! @brief Largest age of the state that a report describes. */
    core::duration report_lag_max{std::chrono::milliseconds{400}};
    /*! @brief Duration of a load from the upstream's memory, and of one from the weight store. */
    core::duration cached_load_time{std::chrono::milliseconds{28}};
    core::duration load_time{std::chrono::milliseconds{255}};
    /*! @brief Interval at which the order of a load that takes longer than `load_time` is repeated. */
    core::duration confirm_interval{std::chrono::milliseconds{30}};
    /*! @brief Time for which an adapter is not ordered again after the upstream has called its order invalid. */
    core::duration refused_load_time{std::chrono::seconds{1}};
};

/*! @brief A load or unload order chosen by the scheduler. */
struct slot_order {
    bool load{true};
    std::string model{};
    std::string adapter{};
    std::optional<std::uint64_t> version{};
};

/**
 * @brief Adapter slots of one upstream, scheduled by the node that orders its loads.
 *
 * Decides which adapter to load or evict next: requested adapters in the order of a `load_gate`, or of arrival,
 * evicting the least recently used one when all slots are in use. Reports are old, so that the scheduler learns of the
 * end of a load by repeating its order, which the upstream answers with `done` once the adapter is resident. Loads in
 * progress count as used slots, so that an upstream is never ordered to hold more adapters than it has slots; adapters
 * in use are never evicted. An upstream does not count the order to unload an adapter that is gone already. Unless this
 * node has loaded the adapter itself, the next order therefore waits for a report: its count of orders could match that
 * of another node's order. Not thread-safe.
 */
class slot_scheduler {
public:
    explicit slot_scheduler(slot_scheduler_options options) : settings{options} {}

    /**
     * @brief Replaces the state by a report of the upstream, unless the report may be older than the last order.
     * @param report The report.
     * @param report_requested_at When the report was requested.
     * @param now Current time.
     * @return True when the report was applied.
     */
    bool synchronize(const upstream_report& report, core::time_point report_requested_at, core::time_point now);

    [[nodiscard]] bool synchronized() const noexcept {
        return this->state_known;
    }

    /*! @brief Stops scheduling until the next report, because it is unknown whether an order took effect. */
    void invalidate() noexcept {
        this->state_known = false;
    }

    /*! @brief Number of orders that the upstream has accepted, which the next order is conditional on. */
    [[nodiscard]] std::uint64_t orders_accepted() const noexcept {
        return this->accepted_count;
    }

    /**
     * @brief Adds a request that waits for an adapter; each call must be paired with `remove_waiter`.
     * @return True when it is the first one for the adapter.
     */
    bool add_waiter(std::string_view model, std::string_view adapter, std::uint64_t version, core::time_point now);

    /*! @brief Removes a request that waits for an adapter. An adapter without waiting requests is not loaded. */
    void remove_waiter(std::string_view model, std::string_view adapter);

    /*! @brief Records that a request uses an adapter. */
    void record_use(std::string_view model, std::string_view adapter, core::time_point now);

    /*! @brief Sets the newest version of an adapter. An older resident version is replaced. */
    void set_newest_version(std::string_view model, std::string_view adapter, std::uint64_t version);

    /*! @brief Returns the version of an adapter that can serve requests, or nothing. */
    [[nodiscard]] std::optional<std::uint64_t> resident_version(std::string_view model, std::string_view adapter) const;

    /*! @brief Returns whether an eviction is in progress, whose end only a report shows. */
    [[nodiscard]] bool eviction_in_progress() const;

    /*! @brief Returns when the next order has to be repeated to confirm a load, or nothing when no load is in progress.
     */
    [[nodiscard]] std::optional<core::time_point> next_confirmation() const;

    [[nodiscard]] bool holds_model(std::string_view model) const {
        return this->models.contains(std::string{model});
    }

    /*! @brief Returns whether any request waits for an adapter. */
    [[nodiscard]] bool has_waiters() const noexcept {
        return !this->demands.empty();
    }

    /*! @brief Returns the number of slots that are free or hold an idle adapter, less those needed for waiting
     * requests. */
    [[nodiscard]] std::size_t free_slots(core::time_point now) const;

    /*! @brief Returns the number of adapters whose last use is kept. */
    [[nodiscard]] std::size_t known_uses() const noexcept {
        return this->last_uses.size();
    }

    /*! @brief Returns whether the upstream has lately called the order to load an adapter invalid. */
    [[nodiscard]] bool is_refused(std::string_view model, std::string_view adapter, core::time_point now) const;

    /*! @brief Returns whether an adapter is resident, being loaded, or can be loaded now or after an eviction. */
    [[nodiscard]] bool has_adapter_slot(std::string_view model, std::string_view adapter, core::time_point now) const;

    /**
     * @brief Chooses the next order.
     * @param now Current time.
     * @param gate Decides which missing adapter is next; without one, the one that was requested first is.
     * @return The order, or nothing when none is due.
     */
    [[nodiscard]] std::optional<slot_order> next_order(core::time_point now, load_gate* gate = nullptr);

    /*! @brief Returns the adapters that are being loaded, as `model/adapter`. */
    [[nodiscard]] std::vector<std::string> loads_in_progress() const;

    /**
     * @brief Applies the upstream's answer to an order.
     * @param order The order.
     * @param outcome The answer.
     * @param now Current time.
     */
    void record_outcome(const slot_order& order, order_outcome outcome, core::time_point now);

private:
    struct slot {
        std::uint64_t version{};
        core::time_point last_used{};
        bool unloading{};
        /*! @brief True when an order of this node has loaded the adapter. Otherwise, another node may be unloading it,
         * which reports do not show. */
        bool loaded_here{};
    };

    struct demand {
        std::string model{};
        std::string adapter{};
        std::uint64_t version{};
        core::time_point requested_at{};
        unsigned waiters{};
    };

    struct pending_load {
        std::uint64_t version{};
        core::time_point ordered_at{};
        /*! @brief When to repeat the order to learn whether the load is complete. */
        core::time_point confirm_at{};
        bool ordered_here{};
    };

    [[nodiscard]] std::size_t used_slots() const noexcept;
    /*! @brief Keeps the last use of an adapter, unless too many are kept already. */
    void keep_use(const std::string& key, core::time_point now);
    [[nodiscard]] bool is_refused(const std::string& key, core::time_point now) const;
    /*! @brief Applies that the upstream no longer holds an adapter that it was ordered to unload. */
    void complete_unload(const std::string& key);
    /*! @brief Waits for a report, because another node may order loads on the upstream. */
    void distrust_state() noexcept;
    [[nodiscard]] std::optional<slot_order> due_confirmation(core::time_point now) const;
    /*! @brief Returns the order to load a missing adapter: at its newest version, whichever one is asked for. */
    [[nodiscard]] slot_order make_load(const std::string& key, const demand& wanted) const;
    /*! @brief Returns the missing adapter to load next, or null. */
    [[nodiscard]] const demand* next_demand(core::time_point now, load_gate* gate) const;
    [[nodiscard]] std::optional<std::string> eviction_candidate(core::time_point now) const;

    slot_scheduler_options settings;
    bool state_known{false};
    std::uint64_t accepted_count{};
    /*! @brief When the last order was answered. */
    std::optional<core::time_point> last_order_answered{};
    std::set<std::string> models{};
    /*! @brief Keyed by `model/adapter`, as are the maps below. */
    std::map<std::string, slot, std::less<>> slots{};
    std::map<std::string, pending_load, std::less<>> pending_loads{};
    std::map<std::string, demand, std::less<>> demands{};
    std::map<std::string, core::time_point, std::less<>> last_uses{};
    std::optional<core::time_point> uses_pruned_at{};
    std::map<std::string, std::uint64_t, std::less<>> newest_versions{};
    /*! @brief Until when adapters are not ordered whose order was invalid. */
    std::map<std::string, core::time_point, std::less<>> refused_until{};
};

} // namespace lagoonsaddle::edge

#endif
