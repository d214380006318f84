#ifndef LAGOONSADDLE_STANDINS_SERVICE_HPP
#define LAGOONSADDLE_STANDINS_SERVICE_HPP

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>

#include <lagoonsaddle/standins/standin_handler.hpp>

namespace lagoonsaddle::standins {

/*! @brief Counts executions by key. Not thread-safe. */
class execution_counter {
public:
    /**
     * @brief Counts one execution.
     * @param key Idempotency key; may be empty.
     * @return Number of executions of the key, including this one.
     */
    std::uint64_t execute(const std::string& key);

    [[nodiscard]] std::uint64_t total() const noexcept;

    [[nodiscard]] const std::map<std::string, std::uint64_t>& by_key() const noexcept;

private:
    std::map<std::string, std::uint64_t> executions{};
    std::uint64_t total_count{};
};

/*! @brief Stand-in of a plain service, described in docs/standins.md. */
class service final : public standin_handler {
public:
    service();

private:
    boost::asio::awaitable<void> serve(http::request& message, const http::target_parts& parts,
        core::duration hang_duration, http::response_writer& writer) override;

    [[nodiscard]] nlohmann::json counters() const override;

    mutable std::mutex mutex{};
    execution_counter executions{};
};

} // namespace lagoonsaddle::standins

#endif
