#ifndef LAGOONSADDLE_EDGE_SLOT_LEDGER_HPP
#define LAGOONSADDLE_EDGE_SLOT_LEDGER_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/protocol.hpp>

namespace lagoonsaddle::edge {

/*! @brief Options of `slot_ledger`. */
struct slot_ledger_options {
    std::size_t slots{};
    /*! @brief Adapters that may be on their way to one upstream at a time. */
    std::size_t loads_max{4u};
    /*! @brief Time without a request after which an adapter may be unloaded. */
    core::duration idle_min{std::chrono::milliseconds{200}};
    /*! @brief Time for which the last use of an adapter that is not resident is remembered. */
    core::duration use_memory{std::chrono::seconds{5}};
    /*! @brief Oldest state that a report may describe. */
    core::duration report_lag{std::chrono::milliseconds{400}};
    /*! @brief Time of a load from the upstream's own memory, and of one from the weight store. */
    core::duration cached_load{std::chrono::milliseconds{28}};
    core::duration load{std::chrono::milliseconds{255}};
    /*! @brief Time between two repetitions of an order whose load takes longer. */
    core::duration confirm_interval{std::chrono::milliseconds{30}};
};

/*! @brief An order that the ledger asks for. */
struct ledger_order {
    bool load{true};
    std::string model{};
    std::string adapter{};
    std::optional<std::uint64_t> version{};
};

/**
 * @brief Adapters of one upstream, as the node that orders its loads keeps them.
 *
 * Decides which adapter to load or unload next. Reports are old, so that the end of a load is learnt by repeating its
 * order: it is `done` when the adapter is resident. Never asks for more adapters than the upstream has places, counting
 * those on their way, and never for the unloading of one in use. Answers a long tail of rarely used adapters on few
 * places. Not thread-safe.
 */
class slot_ledger {
public:
    explicit slot_ledger(slot_ledger_options options) : settings{options} {}

    /**
     * @brief Takes over the state that the upstream reports, unless it may be older than the last order.
     * @param report The report.
     * @param asked When it was asked for.
     * @param now Current time.
     * @return True when it was taken over.
     */
    bool synchronize(const upstream_report& report, core::time_point asked, core::time_point now);

    [[nodiscard]] bool synchronized() const noexcept {
        return this->known;
    }

    /*! @brief Makes the ledger unusable until the next report, since an order may or may not take effect. */
    void invalidate() noexcept {
        this->known = false;
    }

    /*! @brief Orders that the upstream has accepted, for the condition of the next order. */
    [[nodiscard]] std::uint64_t orders_accepted() const noexcept {
        return this->accepted;
    }

    /**
     * @brief Notes that one more request waits for an adapter; `unwant` has to follow.
     * @return True when none waited for it before.
     */
    bool want(std::string_view model, std::string_view adapter, std::uint64_t version, core::time_point now);

    /*! @brief Notes that one request less waits for an adapter. Without any, it is not loaded. */
    void unwant(std::string_view model, std::string_view adapter);

    /*! @brief Notes that requests use an adapter. */
    void touch(std::string_view model, std::string_view adapter, core::time_point now);

    /*! @brief Notes the newest version of an adapter; one that is resident is replaced. */
    void announce(std::string_view model, std::string_view adapter, std::uint64_t version);

    /*! @brief Returns the version of a resident adapter, or nothing. */
    [[nodiscard]] std::optional<std::uint64_t> resident(std::string_view model, std::string_view adapter) const;

    /*! @brief Returns whether evictions are on their way, so that the upstream has to be asked for a report. */
    [[nodiscard]] bool unloading() const;

    /*! @brief Returns when the load that is on its way is due to be confirmed next, or nothing. */
    [[nodiscard]] std::optional<core::time_point> next_confirmation() const;

    [[nodiscard]] bool holds_model(std::string_view model) const {
        return this->models.contains(std::string{model});
    }

    /*! @brief Returns whether anything is wanted that is not resident or on its way. */
    [[nodiscard]] bool has_wants() const noexcept {
        return !this->wants.empty();
    }

    /*! @brief Returns the places that are free or can be freed at once, less those that are wanted already. */
    [[nodiscard]] std::size_t free_places(core::time_point now) const;

    /*! @brief Returns whether an adapter is held, on its way, or can be loaded, at once or after an eviction. */
    [[nodiscard]] bool can_place(std::string_view model, std::string_view adapter, core::time_point now) const;

    /**
     * @brief Chooses the next order.
     * @param now Current time.
     * @return The order, or nothing when there is nothing to do.
     */
    [[nodiscard]] std::optional<ledger_order> next(core::time_point now);

    /**
     * @brief Records the answer to an order.
     * @param order The order.
     * @param outcome The answer.
     * @param now Current time.
     */
    void record(const ledger_order& order, order_outcome outcome, core::time_point now);

private:
    struct slot {
        std::uint64_t version{};
        core::time_point used{};
        bool unloading{};
    };

    struct wish {
        std::string model{};
        std::string adapter{};
        std::uint64_t version{};
        core::time_point first{};
        unsigned waiting{};
    };

    struct arrival {
        std::uint64_t version{};
        core::time_point ordered{};
        /*! @brief When the order is repeated, to learn whether the load is complete. */
        core::time_point confirm{};
    };

    [[nodiscard]] std::size_t used_slots() const noexcept;
    [[nodiscard]] std::optional<ledger_order> due_confirmation(core::time_point now) const;
    [[nodiscard]] std::optional<std::string> victim(core::time_point now) const;

    slot_ledger_options settings;
    bool known{false};
    std::uint64_t accepted{};
    /*! @brief When the last order was answered. */
    std::optional<core::time_point> ordered{};
    std::set<std::string> models{};
    /*! @brief By `model/adapter`. */
    std::map<std::string, slot, std::less<>> slots{};
    std::map<std::string, arrival, std::less<>> coming{};
    std::map<std::string, wish, std::less<>> wants{};
    std::map<std::string, core::time_point, std::less<>> uses{};
    std::map<std::string, std::uint64_t, std::less<>> newest{};
};

} // namespace lagoonsaddle::edge

#endif
