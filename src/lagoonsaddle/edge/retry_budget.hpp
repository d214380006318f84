#ifndef LAGOONSADDLE_EDGE_RETRY_BUDGET_HPP
#define LAGOONSADDLE_EDGE_RETRY_BUDGET_HPP

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include <lagoonsaddle/core/clock.hpp>

namespace lagoonsaddle::edge {

/*! @brief Options of `retry_budget`. */
struct retry_budget_options {
    /*! @brief Retries allowed per request in the window. */
    double ratio{0.2};
    /*! @brief Retries per window that all nodes together may make in addition to the ratio. */
    double slack{};
    core::duration window{std::chrono::seconds{10}};
    /*! @brief Fraction of the budget that is used, because the windows of the nodes are not aligned. */
    double safety_factor{0.8};
};

/**
 * @brief Limits the retries of one node to its share of a fleet-wide budget, per service.
 *
 * Prevents retries from multiplying the load on failing upstreams. The fixed part of the budget is divided by the
 * number of live nodes; the part that is proportional to a node's own requests is not. Not thread-safe.
 */
class retry_budget {
public:
    explicit retry_budget(retry_budget_options options) noexcept : settings{options} {}

    /*! @brief Counts a caller's request for a service. */
    void record_request(std::string_view service, core::time_point now);

    /**
     * @brief Consumes one retry of the budget if there is one left.
     * @param service Name of the service.
     * @param nodes Number of live nodes, at least 1.
     * @param now Current time.
     * @return False when the budget is exhausted.
     */
    [[nodiscard]] bool try_consume(std::string_view service, std::size_t nodes, core::time_point now);

private:
    struct usage {
        std::deque<core::time_point> requests{};
        std::deque<core::time_point> retries{};
    };

    void remove_expired(usage& entry, core::time_point now) const;

    retry_budget_options settings;
    std::map<std::string, usage, std::less<>> services{};
};

} // namespace lagoonsaddle::edge

#endif
