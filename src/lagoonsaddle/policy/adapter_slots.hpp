#ifndef LAGOONSADDLE_POLICY_ADAPTER_SLOTS_HPP
#define LAGOONSADDLE_POLICY_ADAPTER_SLOTS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/core/model_name.hpp>

namespace lagoonsaddle::policy {

/*! @brief Options of `adapter_slots`. */
struct adapter_slots_options {
    /*! @brief Number of adapters that the engine can hold at once. Overwritten by the value in engine reports. */
    std::size_t slots{4u};
    /*! @brief Time after its load during which an adapter is not evicted. */
    core::duration minimum_residency{std::chrono::seconds{2}};
    /*! @brief Half-life of the exponentially decayed request rate. */
    core::duration rate_half_life{std::chrono::seconds{60}};
    /*! @brief Load time assumed for an adapter that has not been loaded yet. */
    core::duration default_load_time{std::chrono::milliseconds{350}};
    /*! @brief Backoff after the first load failure of an adapter; doubles with each further failure. */
    core::duration load_backoff_min{std::chrono::seconds{1}};
    core::duration load_backoff_max{std::chrono::seconds{60}};
    /*! @brief No eviction while an adapter below its minimum residency is worth less than this share of the best
     * victim. Keeps a scan of rarely used adapters from evicting the frequently used ones one by one. */
    double scan_resistance_ratio{0.25};
    /*! @brief Adapters whose request rate is tracked; above this limit, those with the lowest rates are dropped. */
    std::size_t tracked_adapters_max{4'096u};
};

/*! @brief State of one adapter on one engine. */
enum class slot_state {
    absent,
    loading,
    resident,
    /*! @brief The adapter is being evicted; no request may be dispatched. */
    evicting
};

/*! @brief Next step to load an adapter. */
enum class load_action {
    /*! @brief Load into a free slot: call `load_started`. */
    use_free_slot,
    /*! @brief Evict `load_plan::victim` first: call `eviction_started`. */
    evict,
    /*! @brief The load cannot start now; `load_plan::blocked_by` has the reason. */
    none
};

/*! @brief Reason why a load cannot start. */
enum class load_block_reason {
    not_blocked,
    resident,
    loading,
    evicting,
    backing_off,
    no_victim,
    evictions_forbidden,
    orders_suspended
};

/*! @brief Result of `adapter_slots::plan_load`. */
struct load_plan {
    load_action action{load_action::none};
    std::optional<core::adapter_version> victim{};
    load_block_reason blocked_by{load_block_reason::not_blocked};
    /*! @brief Earliest time at which another call can return a different result, if known. */
    std::optional<core::time_point> retry_at{};
};

/*! @brief Resident adapter in an engine report. */
struct reported_adapter {
    core::adapter_version adapter{};
    std::size_t in_flight{};
};

/*! @brief Slot state that an engine reported. */
struct slots_report {
    std::string boot_id{};
    std::size_t slots{};
    std::span<const reported_adapter> resident{};
    std::span<const core::adapter_version> loading{};
    /*! @brief Time at which the reported state was true: time of receipt minus the age of the report. */
    core::time_point observed_at{};
};

/*! @brief Changes made by `adapter_slots::apply_report`. */
struct slots_change {
    /*! @brief The boot id changed, so residency and loads were cleared. */
    bool restarted{};
    std::vector<core::adapter_version> added{};
    std::vector<core::adapter_version> removed{};
};

/*! @brief State of one adapter, for state dumps. */
struct slot_entry {
    core::adapter_version adapter{};
    slot_state state{slot_state::absent};
    std::size_t queued{};
    std::size_t in_flight{};
    bool pinned{};
    /*! @brief Decayed request rate in requests per second. */
    double rate{};
};

/**
 * @brief Tracks the adapter slots of one engine: residency, pins and request rates. Selects eviction victims. Not
 * thread-safe.
 *
 * An adapter is pinned while a request for it is queued or in flight, while it loads, while the engine reports requests
 * in flight for it, and after a takeover until the engine reports none. A pinned adapter is never evicted.
 *
 * An order is a command to the engine to load or evict an adapter. The caller sends the orders and reports their
 * results.
 */
class adapter_slots {
public:
    explicit adapter_slots(adapter_slots_options options = {});

    /**
     * @brief Records a request that was added to the queue of the upstream. Pins the adapter and raises its request
     * rate.
     * @param adapter Adapter of the request.
     * @param now Current time.
     */
    void request_queued(const core::adapter_version& adapter, core::time_point now);

    /**
     * @brief Records that a queued request was dispatched to the engine.
     * @param adapter Adapter of the request.
     * @return False if the adapter is not resident or has no queued request; the state is unchanged then.
     */
    [[nodiscard]] bool request_dispatched(const core::adapter_version& adapter);

    /**
     * @brief Records the end of a dispatched request, with any outcome. Call once per dispatched request.
     * @param adapter Adapter of the request.
     */
    void request_finished(const core::adapter_version& adapter);

    /**
     * @brief Records that a queued request left the queue without being dispatched.
     * @param adapter Adapter of the request.
     */
    void request_dropped(const core::adapter_version& adapter);

    /**
     * @brief Decides how an adapter can be loaded now. Does not change the state.
     * @param adapter Adapter to load.
     * @param now Current time.
     * @return The next step, with the victim to evict or the reason why the load is blocked.
     */
    [[nodiscard]] load_plan plan_load(const core::adapter_version& adapter, core::time_point now) const;

    /**
     * @brief Returns the number of slots that are free or hold an adapter that can be evicted now. An owner that
     * already has as many non-resident adapters waiting declines a request for another one (`adapter_not_resident`), so
     * that the entry node tries its next candidate.
     * @param now Current time.
     * @return Number of loads that could start now.
     */
    [[nodiscard]] std::size_t loadable_slots(core::time_point now) const;

    /**
     * @brief Returns the request rate of the next eviction victim, for `upstream_report::victim_rate`.
     * @param now Current time.
     * @return Requests per second of the adapter that a load would evict now; 0 if a slot is free or nothing can be
     * evicted.
     */
    [[nodiscard]] double victim_rate(core::time_point now) const;

    /**
     * @brief Reserves a free slot for a load. Call before the load order is sent.
     * @param adapter Adapter to load.
     * @param now Current time.
     * @return False if `plan_load` would not return `use_free_slot`; the state is unchanged then.
     */
    [[nodiscard]] bool load_started(const core::adapter_version& adapter, core::time_point now);

    /**
     * @brief Marks a victim as evicting and reserves its slot for the successor. Call before the evict order is sent.
     * @param victim Adapter to evict.
     * @param successor Adapter to load into the slot.
     * @param now Current time.
     * @return False if `plan_load` would not return this victim; the state is unchanged then.
     */
    [[nodiscard]] bool eviction_started(
        const core::adapter_version& victim, const core::adapter_version& successor, core::time_point now);

    /**
     * @brief Records a completed eviction. The successor takes the slot and is in the state `loading`.
     * @param victim Evicted adapter.
     * @param now Current time.
     * @return The successor, whose load order may be sent now, or nothing if no such eviction is in progress, such as
     * after an engine restart.
     */
    [[nodiscard]] std::optional<core::adapter_version> eviction_finished(
        const core::adapter_version& victim, core::time_point now);

    /**
     * @brief Records that an eviction was refused or has an unknown outcome. The victim becomes resident and the
     * successor absent; if the engine did evict, the next report corrects it.
     * @param victim Adapter that was to be evicted.
     */
    void eviction_failed(const core::adapter_version& victim);

    /**
     * @brief Records a completed load.
     * @param adapter Loaded adapter.
     * @param now Current time.
     */
    void load_finished(const core::adapter_version& adapter, core::time_point now);

    /**
     * @brief Records a failed load and frees its slot.
     * @param adapter Adapter whose load failed.
     * @param now Current time.
     * @return End of the backoff, before which the adapter is not loaded again on this engine.
     */
    core::time_point load_failed(const core::adapter_version& adapter, core::time_point now);

    /**
     * @brief Frees the slot of a load whose order was not sent or has an unknown outcome, without a backoff. If the
     * engine did load the adapter, the next report corrects it.
     * @param adapter Adapter of the load.
     */
    void load_abandoned(const core::adapter_version& adapter);

    /**
     * @brief Updates the state from a report. Ignores reports older than the last one, and the reported state of an
     * adapter that changed after `slots_report::observed_at`.
     * @param report Report of the engine.
     * @param now Current time.
     * @return The changes.
     */
    slots_change apply_report(const slots_report& report, core::time_point now);

    /**
     * @brief Clears residency and loads after a restart. Queued requests and request rates are kept. In-flight counts
     * are kept until `request_finished` is called for each interrupted request: if they were cleared, these late calls
     * would decrement the count of new requests and unpin an adapter in use.
     * @param boot_id New boot id.
     * @return True if the boot id differs from the last one.
     */
    bool engine_restarted(std::string_view boot_id);

    /**
     * @brief Starts the takeover by a new owner: forbids evictions before a time, and pins every resident adapter
     * until a report observed later than both parameters shows nothing in flight for it. An earlier report could miss a
     * request that the previous owner dispatched at the end of its lease.
     * @param learned_at Time at which the node learned that it is the owner.
     * @param evictions_allowed_from Time of the earliest eviction; `learned_at` if no wait is needed.
     */
    void ownership_taken(core::time_point learned_at, core::time_point evictions_allowed_from);

    /**
     * @brief Forbids or allows all orders. An owner whose lease has expired must not send any.
     * @param suspended True to forbid loads and evictions.
     */
    void suspend_orders(bool suspended) noexcept;

    [[nodiscard]] slot_state state(const core::adapter_version& adapter) const;
    [[nodiscard]] bool is_resident(const core::adapter_version& adapter) const;
    [[nodiscard]] bool is_pinned(const core::adapter_version& adapter) const;
    [[nodiscard]] std::size_t slot_count() const noexcept;
    [[nodiscard]] std::size_t free_slot_count() const noexcept;
    [[nodiscard]] std::size_t in_flight_count() const noexcept;

    /*! @brief Returns the resident adapters; requests for them may be dispatched. */
    [[nodiscard]] std::vector<core::adapter_version> resident_adapters() const;

    /**
     * @brief Returns the decayed request rate of an adapter in requests per second.
     * @param adapter An adapter.
     * @param now Current time.
     * @return The rate; 0 for an adapter that is not tracked.
     */
    [[nodiscard]] double request_rate(const core::adapter_version& adapter, core::time_point now) const;

    /**
     * @brief Returns the adapters with the highest request rates, to load after an engine restart.
     * @param count Largest number of adapters to return.
     * @param now Current time.
     * @return Adapters, highest rate first.
     */
    [[nodiscard]] std::vector<core::adapter_version> hottest_adapters(std::size_t count, core::time_point now) const;

    /**
     * @brief Returns whether an adapter should be loaded on a second engine, because its queue wait exceeds its load
     * time.
     * @param adapter A resident adapter.
     * @param queue_wait Current queue wait of its requests.
     * @return True if a replica is worth its load.
     */
    [[nodiscard]] bool should_replicate(const core::adapter_version& adapter, core::duration queue_wait) const;

    /*! @brief Returns all adapters that occupy a slot or have requests, for state dumps. */
    [[nodiscard]] std::vector<slot_entry> entries(core::time_point now) const;

private:
    struct record {
        slot_state state{slot_state::absent};
        std::size_t queued{};
        std::size_t in_flight{};
        std::size_t reported_in_flight{};
        /*! @brief Requests of the previous owner may still be in flight. */
        bool assumed_in_flight{};
        /*! @brief The load waits for the eviction of another adapter. */
        bool awaits_eviction{};
        /*! @brief The engine reports a load that was not started by this node. */
        bool external_load{};
        core::time_point changed_at{core::time_point::min()};
        core::time_point resident_since{};
        core::adapter_version successor{};
        std::size_t failures{};
        core::time_point backoff_until{core::time_point::min()};
        std::optional<core::duration> load_time{};
        /*! @brief Exponentially decayed number of requests, as of `decayed_at`. */
        double decayed_requests{};
        core::time_point decayed_at{};
    };

    [[nodiscard]] const record* find(const core::adapter_version& adapter) const;
    [[nodiscard]] record* find(const core::adapter_version& adapter);
    [[nodiscard]] bool is_pinned(const record& entry) const noexcept;
    [[nodiscard]] double decayed_request_count(const record& entry, core::time_point now) const noexcept;
    [[nodiscard]] core::duration load_time(const record& entry) const noexcept;
    [[nodiscard]] load_plan plan_eviction(core::time_point now) const;
    void add_occupied(const core::adapter_version& adapter);
    void release_slot(const core::adapter_version& adapter, record& entry, core::time_point now);
    void mark_resident(record& entry, core::time_point now) noexcept;
    void prune_coldest(core::time_point now);

    adapter_slots_options options{};
    std::unordered_map<core::adapter_version, record> records{};
    /*! @brief Adapters whose state is not `absent`. Only a few, so that a linear search is fast. */
    std::vector<core::adapter_version> occupied{};
    std::size_t in_flight_total{};
    std::string known_boot_id{};
    core::time_point last_report_at{core::time_point::min()};
    core::time_point evictions_allowed_from{core::time_point::min()};
    bool orders_suspended{};
};

} // namespace lagoonsaddle::policy

#endif
