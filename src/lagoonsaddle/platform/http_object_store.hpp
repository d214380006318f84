#ifndef LAGOONSADDLE_PLATFORM_HTTP_OBJECT_STORE_HPP
#define LAGOONSADDLE_PLATFORM_HTTP_OBJECT_STORE_HPP

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/core/endpoint.hpp>
#include <lagoonsaddle/http/client.hpp>
#include <lagoonsaddle/platform/call_counts.hpp>
#include <lagoonsaddle/platform/object_store.hpp>

namespace lagoonsaddle::platform {

/*! @brief Options of the object API client. */
struct http_object_store_options {
    /*! @brief Address of the object API. */
    core::endpoint server{};
    /*! @brief Timeout of each call except a watch. */
    std::chrono::milliseconds call_timeout{1'000};
    /*! @brief Time that a watch may take beyond its own timeout. */
    std::chrono::milliseconds watch_margin{1'000};
    /*! @brief Consecutive failures after which the circuit breaker opens. */
    unsigned breaker_failures{5u};
    /*! @brief Time between trial calls while the circuit breaker is open; all other calls fail. */
    std::chrono::milliseconds breaker_open_time{500};
};

/**
 * @brief Client of the object API. Thread-safe.
 *
 * While the circuit breaker is open, calls fail immediately with `unavailable`, `not_run` and the time to retry after.
 * Failed reads, watches and lists always have the verdict `not_run`, since they change nothing.
 */
class http_object_store final : public object_store {
public:
    /**
     * @brief Constructs a client.
     * @param client Sends the requests; must outlive the store.
     * @param clock Time source of the circuit breaker; must outlive the store.
     * @param options Options.
     */
    http_object_store(http::client& client, const core::clock& clock, http_object_store_options options);
    http_object_store(const http_object_store&) = delete;
    http_object_store& operator=(const http_object_store&) = delete;
    ~http_object_store() override;

    [[nodiscard]] boost::asio::awaitable<core::result<std::optional<object>>> get(
        std::string name, object_version known) override;
    [[nodiscard]] boost::asio::awaitable<core::result<object_version>> put(
        std::string name, std::string body, object_version expected) override;
    [[nodiscard]] boost::asio::awaitable<core::result<std::optional<object>>> watch(
        std::string name, object_version known, std::chrono::milliseconds timeout) override;
    [[nodiscard]] boost::asio::awaitable<core::result<std::vector<object>>> list(std::string prefix) override;

    /*! @brief Returns the call counts since construction. */
    [[nodiscard]] call_counts counts() const;

    /*! @brief Returns whether the circuit breaker is open. */
    [[nodiscard]] bool breaker_open() const;

private:
    class circuit_breaker;

    [[nodiscard]] boost::asio::awaitable<core::result<http::response>> send_request(
        http::request request, std::uint64_t call_counts::*counter, std::chrono::milliseconds timeout);

    http::client& http_client;
    http_object_store_options settings;
    std::unique_ptr<circuit_breaker> breaker;
};

} // namespace lagoonsaddle::platform

#endif
