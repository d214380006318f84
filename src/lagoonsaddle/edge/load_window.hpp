#ifndef LAGOONSADDLE_EDGE_LOAD_WINDOW_HPP
#define LAGOONSADDLE_EDGE_LOAD_WINDOW_HPP

#include <chrono>
#include <cstddef>
#include <optional>

#include <lagoonsaddle/core/clock.hpp>

namespace lagoonsaddle::edge {

/*! @brief Options of `load_window`. */
struct load_window_options {
    /*! @brief Loads that may be in progress before the first one has completed. */
    double initial{16.0};
    double min{4.0};
    double max{256.0};
    /*! @brief Loads beyond the capacity of the weight store that each node keeps in progress: a few keep the store
     * busy, and give all nodes the same share of it. */
    double excess{2.0};
    /*! @brief Duration that is not taken for congestion: the end of a load is noticed by polling every 30 ms, and later
     * on a node that is short of processor time. A window that is too small leaves the store idle, while one that is
     * too large only makes loads a little longer. */
    core::duration tolerance{std::chrono::milliseconds{45}};
    /*! @brief A shorter load was served by the upstream's memory and not by the weight store. */
    core::duration memory_load_max{std::chrono::milliseconds{120}};
    /*! @brief Duration of a load before the first one has completed. */
    core::duration expected_duration{std::chrono::milliseconds{255}};
    /*! @brief Time after which a shortest duration that was not seen again is replaced. */
    core::duration shortest_lifetime{std::chrono::seconds{30}};
    /*! @brief Times without a sign of free capacity after which fewer loads are allowed for a moment, to see how long a
     * load takes when the store is less busy. The first probe is early, as a node that begins while others keep the
     * store busy has only seen slow loads; each further one comes after twice the time, up to the second value. */
    core::duration probe_interval_min{std::chrono::seconds{2}};
    core::duration probe_interval_max{std::chrono::seconds{20}};
};

/*! @brief A load that has completed. */
struct completed_load {
    core::duration duration{};
    /*! @brief Whether further loads were waiting for the window, so that it should grow. */
    bool window_full{};
};

/**
 * @brief Number of loads from the weight store that a node may have in progress.
 *
 * The weight store slows all loads down alike when too many are in progress, and states no limit. The window follows
 * the ratio of the shortest duration seen to the current ones: it grows by a fixed number of loads in each load time
 * and shrinks in proportion to the slowdown. The store slows all nodes down alike, so that nodes which share it and do
 * not know of each other arrive at equal windows, whatever they started with. Not thread-safe.
 */
class load_window {
public:
    explicit load_window(load_window_options options = {});

    /*! @brief Applies a completed load. One from the upstream's memory changes nothing. */
    void record_load(const completed_load& load, core::time_point now);

    /*! @brief Returns the number of loads that may be in progress. */
    [[nodiscard]] std::size_t limit(core::time_point now) const noexcept;

    /*! @brief Returns the duration of a load from the weight store at present. */
    [[nodiscard]] core::duration duration() const noexcept {
        return this->mean_duration;
    }

    /*! @brief Returns the shortest duration of a load from the weight store; nothing before the first one. */
    [[nodiscard]] std::optional<core::duration> shortest() const noexcept;

    /*! @brief Returns the size from which the window has shrunk considerably, once for each such decrease. */
    [[nodiscard]] std::optional<std::size_t> take_decrease() noexcept;

private:
    void update_shortest(core::duration value, core::time_point now) noexcept;
    void start_probe_if_due(const completed_load& load, core::time_point now) noexcept;
    void update_size(const completed_load& load) noexcept;

    load_window_options settings;
    double size;
    /*! @brief Until the first sign of congestion the window doubles in each load time. */
    bool slow_start{true};
    core::duration mean_duration;
    std::optional<core::duration> shortest_current{};
    std::optional<core::duration> shortest_previous{};
    core::time_point shortest_rotated{};
    /*! @brief When a load last completed while the window was not full, or a probe began. */
    std::optional<core::time_point> uncongested_at{};
    core::time_point probe_until{core::time_point::min()};
    core::duration probe_interval;
    /*! @brief Largest size since the last reported decrease. */
    double peak;
};

} // namespace lagoonsaddle::edge

#endif
