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
    /*! @brief Retries allowed per request of the window. */
    double ratio{0.2};
    /*! @brief Retries that all nodes together may make in a window beyond the ratio. */
    double slack{};
    core::duration window{std::chrono::seconds{10}};
    /*! @brief Part of the allowance that is used, since the nodes' windows do not begin together. */
    double safety{0.8};
};

/**
 * @brief Limits the retries of one node to its share of a budget of the whole fleet, per service.
 *
 * Guards the upstreams against a load that multiplies when they fail. The fixed part of the budget is divided by the
 * number of live nodes; the part in proportion to the requests needs no division. Not thread-safe.
 */
class retry_budget {
public:
    explicit retry_budget(retry_budget_options options) noexcept : settings{options} {}

    /*! @brief Counts a caller's request for a service. */
    void record_request(std::string_view service, core::time_point now);

    /**
     * @brief Takes one retry out of the budget.
     * @param service Name of the service.
     * @param nodes Number of live nodes, at least 1.
     * @param now Current time.
     * @return False when the budget is used up.
     */
    [[nodiscard]] bool take(std::string_view service, std::size_t nodes, core::time_point now);

private:
    struct usage {
        std::deque<core::time_point> requests{};
        std::deque<core::time_point> retries{};
    };

    void expire(usage& entry, core::time_point now) const;

    retry_budget_options settings;
    std::map<std::string, usage, std::less<>> services{};
};

} // namespace lagoonsaddle::edge

#endif
