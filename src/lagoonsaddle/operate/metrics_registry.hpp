#ifndef LAGOONSADDLE_OPERATE_METRICS_REGISTRY_HPP
#define LAGOONSADDLE_OPERATE_METRICS_REGISTRY_HPP

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/min.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <lagoonsaddle/core/clock.hpp>

namespace lagoonsaddle::operate {

/*! @brief Label names and values of a series. */
using metric_labels = std::vector<std::pair<std::string, std::string>>;

namespace internal {

inline constexpr std::size_t metric_shard_count = 8u;

/*! @brief Returns the shard index of the calling thread. */
[[nodiscard]] std::size_t metric_shard_index() noexcept;

} // namespace internal

/*! @brief Monotonic counter. Thread-safe: one accumulator set per shard. */
class counter {
public:
    /**
     * @brief Increments the counter.
     * @param amount Amount to add.
     */
    void add(std::uint64_t amount = 1u);

    /*! @brief Returns the sum over all shards. */
    [[nodiscard]] std::uint64_t value() const;

private:
    using accumulator_type =
        boost::accumulators::accumulator_set<std::uint64_t, boost::accumulators::stats<boost::accumulators::tag::sum>>;

    struct alignas(64) shard {
        mutable std::mutex mutex{};
        accumulator_type accumulator{};
    };

    std::array<shard, internal::metric_shard_count> shards{};
};

/*! @brief Value that can go up and down. Thread-safe. */
class gauge {
public:
    void set(double value) noexcept {
        this->current.store(value, std::memory_order_relaxed);
    }

    [[nodiscard]] double value() const noexcept {
        return this->current.load(std::memory_order_relaxed);
    }

private:
    std::atomic<double> current{0.0};
};

/**
 * @brief Quantiles of the samples in the current and the previous window. Thread-safe.
 *
 * Each shard has one accumulator set per window. Quantiles of several sets cannot be averaged: their distribution
 * functions are combined, weighted by the number of samples, and the combined function is inverted.
 */
class summary {
public:
    /**
     * @brief Constructs an empty summary.
     * @param clock Clock that separates the windows; must outlive the summary.
     * @param window Length of a window.
     */
    summary(const core::clock& clock, core::duration window) noexcept;

    /**
     * @brief Adds a sample.
     * @param value The sample.
     */
    void record(double value);

    /**
     * @brief Estimates a quantile over the current and the previous window.
     * @param probability Probability between 0 and 1.
     * @return The quantile, or NaN when there is no sample.
     */
    [[nodiscard]] double quantile(double probability) const;

    /*! @brief Returns the number of all samples since the start. */
    [[nodiscard]] std::uint64_t count() const;

    /*! @brief Returns the sum of all samples since the start. */
    [[nodiscard]] double sum() const;

private:
    using accumulator_type = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::extended_p_square_quantile, boost::accumulators::tag::min,
            boost::accumulators::tag::max, boost::accumulators::tag::count>>;
    using totals_type = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::sum, boost::accumulators::tag::count>>;

    struct window_samples {
        explicit window_samples(std::int64_t index);

        std::int64_t index;
        accumulator_type accumulator;
        /*! @brief First samples; the estimator needs at least as many samples as it has markers. */
        std::vector<double> first_samples{};
    };

    struct alignas(64) shard {
        mutable std::mutex mutex{};
        std::array<std::unique_ptr<window_samples>, 2u> windows{};
        totals_type total{};
    };

    /*! @brief Points of a cumulative distribution function, ordered by value. */
    struct distribution {
        double samples{};
        bool exact{false};
        std::vector<std::pair<double, double>> points{};

        [[nodiscard]] double cumulative_probability(double value) const noexcept;
    };

    [[nodiscard]] std::int64_t window_index() const noexcept;
    [[nodiscard]] static distribution estimate_distribution(const window_samples& samples);

    const core::clock& clock;
    core::duration window;
    std::array<shard, internal::metric_shard_count> shards{};
};

/*! @brief Options of a registry. */
struct metrics_options {
    /*! @brief Length of a quantile window. */
    std::chrono::seconds window{60};
    /*! @brief Maximum series per metric. Further label sets share one series with the label `overflow`. */
    std::size_t max_series{2'000u};
};

/*! @brief All metrics of a process. Thread-safe. Returned references are valid for the lifetime of the registry. */
class metrics_registry {
public:
    /**
     * @brief Constructs an empty registry.
     * @param clock Clock of the quantile windows; must outlive the registry.
     * @param options Options.
     */
    explicit metrics_registry(const core::clock& clock, metrics_options options = {});
    metrics_registry(const metrics_registry&) = delete;
    metrics_registry& operator=(const metrics_registry&) = delete;
    ~metrics_registry() = default;

    /**
     * @brief Finds or creates a counter. A name must always be used with the same kind of metric.
     * @param name Name, such as `lagoonsaddle_requests_total`.
     * @param help Help text of the metric.
     * @param labels Labels of the series.
     * @return The counter.
     */
    [[nodiscard]] operate::counter& counter(
        std::string_view name, std::string_view help, const metric_labels& labels = {});

    /*! @brief Finds or creates a gauge, as `counter` does. */
    [[nodiscard]] operate::gauge& gauge(std::string_view name, std::string_view help, const metric_labels& labels = {});

    /*! @brief Finds or creates a summary, as `counter` does. */
    [[nodiscard]] operate::summary& summary(
        std::string_view name, std::string_view help, const metric_labels& labels = {});

    /**
     * @brief Formats all metrics.
     * @return Prometheus text format, version 0.0.4.
     */
    [[nodiscard]] std::string to_prometheus_text() const;

private:
    template<typename Metric>
    struct family {
        std::string help{};
        std::map<std::string, std::unique_ptr<Metric>> series{};
    };

    template<typename Metric>
    using families_type = std::map<std::string, family<Metric>, std::less<>>;

    template<typename Metric, typename... Args>
    Metric& find_or_create(families_type<Metric>& families, std::string_view name, std::string_view help,
        const metric_labels& labels, const Args&... args);

    const core::clock& clock;
    metrics_options options;
    mutable std::mutex mutex{};
    families_type<operate::counter> counters{};
    families_type<operate::gauge> gauges{};
    families_type<operate::summary> summaries{};
};

} // namespace lagoonsaddle::operate

#endif
