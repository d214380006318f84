#ifndef LAGOONSADDLE_STANDINS_WEIGHT_STORE_MODEL_HPP
#define LAGOONSADDLE_STANDINS_WEIGHT_STORE_MODEL_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/core/error.hpp>

namespace lagoonsaddle::standins {

/*! @brief Options of a weight store. */
struct weight_store_options {
    /*! @brief Duration of a load that is the only one, at full speed. */
    core::duration load_duration{std::chrono::milliseconds{300}};
    std::size_t loads_per_second{3u};
};

/*! @brief Weight store whose bandwidth is shared equally by concurrent loads. Not thread-safe. */
class weight_store_model {
public:
    /**
     * @brief Constructs a store without active loads.
     * @param values Options.
     */
    explicit weight_store_model(weight_store_options values) : settings{values} {}

    /**
     * @brief Starts a load.
     * @param name Name of the adapter, for the counters.
     * @param now Current time.
     * @return Identifier of the load, or `rate_limited` with the time until the next start is allowed.
     */
    core::result<std::uint64_t> start(const std::string& name, core::time_point now);

    /**
     * @brief Advances all loads to the current time.
     * @param now Current time, not earlier than before.
     * @param rate_factor Speed of the store since the last call, 1 for full speed.
     */
    void advance(core::time_point now, double rate_factor);

    /**
     * @brief Returns the remaining time of a load at the current number of loads.
     * @param load Identifier of the load.
     * @param rate_factor Speed of the store.
     * @return The time, or nothing when the load is complete or unknown.
     */
    [[nodiscard]] std::optional<core::duration> remaining(std::uint64_t load, double rate_factor) const;

    /*! @brief Cancels a load that is not complete. */
    void cancel(std::uint64_t load);

    [[nodiscard]] std::size_t active() const noexcept;

    [[nodiscard]] const std::map<std::string, std::uint64_t>& loads() const noexcept;

    [[nodiscard]] std::size_t concurrent_max() const noexcept;

    [[nodiscard]] std::uint64_t rejected() const noexcept;

private:
    weight_store_options settings;
    core::time_point last_advance{};
    std::uint64_t last_load_id{};
    /*! @brief Remaining work of each load, in nanoseconds at full speed. */
    std::map<std::uint64_t, double> remaining_work{};
    std::deque<core::time_point> recent_starts{};
    std::map<std::string, std::uint64_t> totals{};
    std::size_t peak_concurrent_loads{};
    std::uint64_t rejected_count{};
};

} // namespace lagoonsaddle::standins

#endif
