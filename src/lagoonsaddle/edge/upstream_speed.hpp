#ifndef LAGOONSADDLE_EDGE_UPSTREAM_SPEED_HPP
#define LAGOONSADDLE_EDGE_UPSTREAM_SPEED_HPP

#include <lagoonsaddle/core/clock.hpp>

namespace lagoonsaddle::edge {

/*! @brief Observed durations in brief. */
struct speed_summary {
    /*! @brief Mean of the durations, as their ratio to the nominal duration. A service without models has no nominal
     * duration; there it is the duration in milliseconds. */
    double ratio{1.0};
    /*! @brief Number of observations, decayed by their age; a long one counts more. 0 when there are none. */
    double weight{};
};

/**
 * @brief Exponentially decayed mean of the durations of the requests to one upstream. Not thread-safe.
 *
 * Uses the mean of logarithms, and limits how far one observation may be from the mean of the earlier ones, so that few
 * outliers (a paused node, a prompt cache that holds less than assumed) change little. Only answered requests are
 * observations: failures and refusals say nothing about speed.
 */
class upstream_speed {
public:
    /**
     * @brief Records an observation of this node.
     * @param ratio Duration relative to the nominal one.
     * @param weight Weight of the observation.
     * @param now Current time.
     */
    void record(double ratio, double weight, core::time_point now) noexcept;

    /*! @brief Adds observations of another node. */
    void merge(const speed_summary& observed, core::time_point now) noexcept;

    /*! @brief Replaces what is known by the summary of a peer that knows more. Replacing instead of adding counts no
     * observation twice when nodes exchange summaries repeatedly. */
    void adopt(const speed_summary& known, core::time_point now) noexcept;

    /*! @brief Returns a summary of all observations. */
    [[nodiscard]] speed_summary summarize(core::time_point now) const noexcept;

    /*! @brief Returns whether this node has observations that `take_unshared` has not returned. */
    [[nodiscard]] bool has_unshared() const noexcept {
        return this->unshared.weight > 0.0;
    }

    /*! @brief Returns a summary of this node's observations since the last call. */
    [[nodiscard]] speed_summary take_unshared(core::time_point now) noexcept;

private:
    /*! @brief Decayed sum of the logarithms of ratios. */
    struct decayed_sum {
        void add(double level, double added_weight, core::time_point now) noexcept;
        [[nodiscard]] speed_summary summarize(core::time_point now) const noexcept;

        double weight{};
        double sum{};
        core::time_point updated{};
    };

    /*! @brief Returns the logarithm of a ratio, limited to the neighbourhood of the present mean. */
    [[nodiscard]] double limited_level(double ratio, core::time_point now) const noexcept;

    decayed_sum total{};
    decayed_sum unshared{};
};

} // namespace lagoonsaddle::edge

#endif
