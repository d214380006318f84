#ifndef LAGOONSADDLE_BENCH_POLICY_TRACE_HPP
#define LAGOONSADDLE_BENCH_POLICY_TRACE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/core/model_name.hpp>

namespace lagoonsaddle::bench {

/*! @brief Size of a deployment and the shape of its traffic. */
struct deployment {
    std::string name{};
    std::size_t engines{};
    std::size_t slots{4u};
    std::size_t batch_limit{8u};
    std::size_t adapters{3'000u};
    std::size_t loads_per_second{};
    /*! @brief Load time when nothing else loads. */
    core::duration load_time{};
    double zipf_exponent{};
    core::duration service_time{std::chrono::seconds{4}};
    core::duration deadline{std::chrono::seconds{15}};
    double stall_weight{1.};
    double batch_weight{1.};
    std::size_t preferred_upstreams{2u};
};

/*! @brief The two deployments of docs/design.md. */
[[nodiscard]] std::vector<deployment> deployments();

/*! @brief What happens besides steady traffic. */
enum class scenario { steady, popularity_shift, photo_bursts, cold_restart, failing_loads, slow_store };

[[nodiscard]] std::string to_string(scenario value);

/*! @brief One request of a trace. */
struct traced_request {
    core::time_point arrival{};
    std::size_t adapter{};
    std::size_t caller{};
    int priority{5};
    core::time_point deadline{};
    core::duration service_time{};
};

/*! @brief A restart of an engine with nothing loaded. */
struct traced_restart {
    core::time_point at{};
    std::size_t engine{};
};

/*! @brief All inputs of one run; the same for every strategy. */
struct trace {
    deployment target{};
    std::vector<core::adapter_version> adapters{};
    std::vector<std::string> callers{};
    std::vector<traced_request> requests{};
    std::vector<traced_restart> restarts{};
    /*! @brief Time before which requests are not measured. */
    core::time_point measured_from{};
    core::time_point end{};
    double load_failure_rate{};
    core::time_point slow_from{core::time_point::max()};
    core::time_point slow_until{core::time_point::max()};
    std::uint64_t seed{};
};

/**
 * @brief Returns the requests per second that the batches of all engines can run.
 * @param target A deployment.
 * @return Engines times batch places per service time.
 */
[[nodiscard]] double batch_capacity(const deployment& target);

/**
 * @brief Returns the requests per second at which the weight store is busy when the most popular adapters stay
 * resident.
 * @param target A deployment.
 * @return Loads per second divided by the traffic share of all other adapters.
 */
[[nodiscard]] double load_capacity(const deployment& target);

/**
 * @brief Makes a trace.
 * @param target Deployment.
 * @param kind Scenario.
 * @param rate Requests per second.
 * @param seed Seed of all random choices.
 * @return The trace.
 */
[[nodiscard]] trace make_trace(const deployment& target, scenario kind, double rate, std::uint64_t seed);

/**
 * @brief Counts the loads of a fleet that knows the future, as one cache with all slots and without pins and replicas.
 * @param input A trace.
 * @return Lower bound of the loads from `measured_from` on.
 */
[[nodiscard]] std::size_t offline_loads(const trace& input);

} // namespace lagoonsaddle::bench

#endif
