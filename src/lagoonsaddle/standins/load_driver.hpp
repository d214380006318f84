#ifndef LAGOONSADDLE_STANDINS_LOAD_DRIVER_HPP
#define LAGOONSADDLE_STANDINS_LOAD_DRIVER_HPP

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/core/endpoint.hpp>
#include <lagoonsaddle/http/client.hpp>
#include <lagoonsaddle/standins/load_plan.hpp>
#include <lagoonsaddle/standins/load_summary.hpp>
#include <lagoonsaddle/standins/wakeup.hpp>

namespace lagoonsaddle::standins {

/*! @brief Options of a load run. At least one of `requests` and `duration` bounds it. */
struct load_driver_options {
    /*! @brief Nodes that receive the calls, round robin. */
    std::vector<core::endpoint> nodes{};
    std::vector<core::endpoint> service_counters{};
    std::vector<core::endpoint> engine_counters{};
    /*! @brief Number of calls in flight of a closed loop. */
    std::size_t concurrency{16u};
    /*! @brief Calls per second of an open loop; 0 selects a closed loop. */
    double rate{};
    /*! @brief Number of calls in flight at which an open loop skips calls. */
    std::size_t in_flight_limit{4'096u};
    std::uint64_t requests{};
    core::duration duration{};
    /*! @brief Time that the client waits beyond the deadline of a call. */
    std::chrono::milliseconds client_timeout_margin{5'000};
};

/*! @brief Sends a mixed load to nodes and checks every response. Thread-safe. */
class load_driver {
public:
    /**
     * @brief Constructs a driver.
     * @param io Runs the calls; must outlive them.
     * @param source Clock; must outlive the driver.
     * @param mix Options of the calls.
     * @param values Options of the run.
     */
    load_driver(
        boost::asio::io_context& io, const core::clock& source, load_plan_options mix, load_driver_options values);

    /**
     * @brief Runs the load and waits for the responses.
     * @return The summary.
     */
    boost::asio::awaitable<nlohmann::json> run();

    /*! @brief Stops sending; `run` then returns after the calls in flight. */
    void stop() noexcept;

    /*! @brief Returns whether a response or counter violates the guarantees to callers; valid after `run`. */
    [[nodiscard]] bool has_violations() const;

private:
    [[nodiscard]] std::optional<planned_call> next_call();
    [[nodiscard]] core::endpoint next_node();

    boost::asio::awaitable<void> run_worker();
    boost::asio::awaitable<void> run_open_loop();
    boost::asio::awaitable<void> run_call(planned_call call);
    boost::asio::awaitable<std::vector<nlohmann::json>> read_counters(std::vector<core::endpoint> sources);
    boost::asio::awaitable<void> send_call(const planned_call& call, response_check& check,
        std::optional<core::duration>& first_token, std::optional<core::error>& failure);
    void finish_task();

    boost::asio::io_context& context;
    const core::clock& clock;
    std::chrono::milliseconds deadline;
    load_driver_options settings;
    http::client http_client;
    std::atomic<bool> stopping{false};
    std::atomic<std::size_t> active_tasks{0u};
    std::atomic<std::size_t> next_node_index{0u};
    core::time_point started_at{};
    std::shared_ptr<wakeup> all_tasks_finished{};

    mutable std::mutex mutex{};
    load_plan plan;
    std::uint64_t planned_calls{};
    load_summary summary{};
};

} // namespace lagoonsaddle::standins

#endif
