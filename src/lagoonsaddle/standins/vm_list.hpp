#ifndef LAGOONSADDLE_STANDINS_VM_LIST_HPP
#define LAGOONSADDLE_STANDINS_VM_LIST_HPP

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/standins/history.hpp>
#include <lagoonsaddle/standins/standin_handler.hpp>

namespace lagoonsaddle::standins {

/*! @brief The VM list with the history of its rows. Not thread-safe. */
class vm_table {
public:
    /*! @brief Rows at a past time. */
    struct view {
        nlohmann::json rows{};
        core::duration age{};
    };

    /**
     * @brief Constructs an empty list.
     * @param now Current time.
     */
    explicit vm_table(core::time_point now);

    /**
     * @brief Sets a row.
     * @param name Name of the VM.
     * @param row Object with `address`, `port`, `availability_zone`, `state`, `kind` and `labels`.
     * @param now Current time.
     * @return Nothing, or `invalid_argument`.
     */
    core::result<void> put(const std::string& name, nlohmann::json row, core::time_point now);

    /**
     * @brief Removes a row.
     * @param name Name of the VM.
     * @param now Current time.
     * @return Whether the row existed.
     */
    bool remove(const std::string& name, core::time_point now);

    /**
     * @brief Returns the rows at a past time.
     * @param now Current time.
     * @param lag Age of the returned rows.
     * @return The rows and their age.
     */
    [[nodiscard]] view rows_at(core::time_point now, core::duration lag) const;

private:
    using row_map = std::map<std::string, nlohmann::json>;

    row_map rows{};
    history<row_map> row_history;
};

/*! @brief Stand-in of the platform's VM list, described in docs/standins.md. */
class vm_list final : public standin_handler {
public:
    /**
     * @brief Constructs an empty list.
     * @param source Clock; must outlive the list.
     * @param lag Initial lag.
     */
    vm_list(const core::clock& source, std::chrono::milliseconds lag);

private:
    boost::asio::awaitable<void> serve(http::request& message, const http::target_parts& parts,
        core::duration hang_duration, http::response_writer& writer) override;

    [[nodiscard]] nlohmann::json counters() const override;

    const core::clock& clock;
    mutable std::mutex mutex{};
    vm_table table;
    std::uint64_t reads{};
    std::uint64_t writes{};
};

} // namespace lagoonsaddle::standins

#endif
