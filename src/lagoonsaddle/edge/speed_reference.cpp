#include <algorithm>
#include <cmath>

#include <lagoonsaddle/edge/speed_reference.hpp>

namespace lagoonsaddle::edge {

namespace {

/*! @brief Observations at the mean speed of the group that an upstream is credited with. */
constexpr double prior_weight{1.0};
/*! @brief Bounds of the factor. An upstream beyond them is avoided anyway, and a smaller range limits the harm of wrong
 * observations. */
constexpr double slowness_min{0.25};
constexpr double slowness_max{4.0};
/*! @brief Difference of logarithms up to which speeds are equal, so that rounding changes no choice. */
constexpr double equal_difference_max{0.01};
/*! @brief Sum of the confidences of a group below which its mean is not stated. */
constexpr double stated_confidence_min{0.5};

/*! @brief Returns how far the observations of an upstream are trusted, between 0 and 1. */
[[nodiscard]] double confidence_of(const speed_summary& known) noexcept {
    return known.weight / (known.weight + prior_weight);
}

} // namespace

void speed_reference::add(const speed_summary& known) noexcept {
    if(known.weight > 0.0) {
        const double trusted = confidence_of(known);
        this->confidence += trusted;
        this->sum += trusted * std::log(known.ratio);
    }
}

double speed_reference::slowness_of(const speed_summary& known) const noexcept {
    if(known.weight <= 0.0 || this->confidence <= 0.0) {
        return 1.0;
    }
    const double difference = std::log(known.ratio) - this->sum / this->confidence;
    if(std::abs(difference) < equal_difference_max) {
        return 1.0;
    }
    return std::clamp(std::exp(confidence_of(known) * difference), slowness_min, slowness_max);
}

std::optional<double> speed_reference::mean_ratio() const noexcept {
    return this->confidence < stated_confidence_min ? std::nullopt
                                                    : std::optional{std::exp(this->sum / this->confidence)};
}

} // namespace lagoonsaddle::edge
