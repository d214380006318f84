#ifndef LAGOONSADDLE_STANDINS_FAULT_TABLE_HPP
#define LAGOONSADDLE_STANDINS_FAULT_TABLE_HPP

#include <mutex>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/core/error.hpp>

namespace lagoonsaddle::standins {

/*! @brief Faults of a stand-in, configurable at run time. Thread-safe. */
class fault_table {
public:
    /**
     * @brief Constructs a table.
     * @param defaults Object with the initial value of every fault; the type of each value is the type that the fault
     * accepts.
     */
    explicit fault_table(nlohmann::json defaults);

    /**
     * @brief Changes the faults that are named in an object. Nothing changes when a key or a type is wrong.
     * @param changes The new values.
     * @return Nothing, or `invalid_argument`.
     */
    core::result<void> apply(const nlohmann::json& changes);

    [[nodiscard]] nlohmann::json snapshot() const;

    [[nodiscard]] double number(std::string_view key) const;

    [[nodiscard]] bool flag(std::string_view key) const;

    [[nodiscard]] std::string text(std::string_view key) const;

    /*! @brief Returns the value of a fault whose unit is milliseconds. */
    [[nodiscard]] core::duration milliseconds(std::string_view key) const;

    /**
     * @brief Decrements a counted fault that is not zero, or resets a flag.
     * @param key Name of the fault.
     * @return Whether the fault was active before the call.
     */
    [[nodiscard]] bool consume(std::string_view key);

private:
    mutable std::mutex mutex{};
    nlohmann::json values;
};

} // namespace lagoonsaddle::standins

#endif
