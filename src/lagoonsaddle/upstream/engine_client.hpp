#ifndef LAGOONSADDLE_UPSTREAM_ENGINE_CLIENT_HPP
#define LAGOONSADDLE_UPSTREAM_ENGINE_CLIENT_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include <lagoonsaddle/core/endpoint.hpp>
#include <lagoonsaddle/core/error.hpp>
#include <lagoonsaddle/core/model_name.hpp>
#include <lagoonsaddle/http/client.hpp>

namespace lagoonsaddle::upstream {

/*! @brief A completion request to an engine. */
struct engine_call {
    std::string request_id{};
    core::adapter_version adapter{};
    /*! @brief JSON body from the caller; the client overwrites `model`, `priority`, `request_id` and `stream`. */
    std::string body{};
    unsigned priority{};
    /*! @brief Selects /v1/chat/completions instead of /v1/completions. */
    bool chat{};
    std::chrono::milliseconds timeout{};
};

/*! @brief Token events of a running call, one token per event. Not thread-safe. */
class engine_stream {
public:
    engine_stream() = default;
    engine_stream(const engine_stream&) = delete;
    engine_stream& operator=(const engine_stream&) = delete;
    virtual ~engine_stream() = default;

    /*! @brief Returns the serving adapter and version, from the response header `x-adapter`. */
    [[nodiscard]] virtual const std::string& served_adapter() const noexcept = 0;
    /*! @brief Returns the boot id of the engine, from the response header `x-boot-id`. */
    [[nodiscard]] virtual const std::string& boot_id() const noexcept = 0;

    /**
     * @brief Waits for the next event.
     * @return JSON text of the event, nothing after the last event, or an error when the connection broke.
     */
    virtual boost::asio::awaitable<core::result<std::optional<std::string>>> next() = 0;

    /*! @brief Closes the connection; a pending `next` fails. Must run on the executor that runs `next`. */
    virtual void close() noexcept = 0;
};

enum class order_kind : unsigned char { load_adapter, evict_adapter };

/*! @brief Order to load or evict an adapter. */
struct order {
    order_kind kind{order_kind::load_adapter};
    core::adapter_version adapter{};
    std::uint64_t fencing_token{};
    /*! @brief Time after which the engine must no longer execute the order. */
    std::chrono::milliseconds validity{};
};

/*! @brief Resident adapter and its number of running requests. */
struct resident_adapter {
    core::adapter_version adapter{};
    std::size_t in_flight{};
};

/*! @brief Status report of an engine; may be outdated by `age`. */
struct engine_report {
    std::string boot_id{};
    std::size_t slots{};
    std::size_t running{};
    std::size_t waiting{};
    std::size_t batch_limit{};
    double batch_fill{};
    std::chrono::milliseconds step{};
    std::chrono::milliseconds age{};
    std::vector<resident_adapter> resident{};
    std::vector<core::adapter_version> loading{};
};

/*! @brief HTTP client of one model engine. Thread-safe. */
class engine_client {
public:
    /**
     * @brief Constructs a client.
     * @param sender HTTP client; must outlive this object.
     * @param engine Endpoint of the engine.
     */
    engine_client(http::client& sender, core::endpoint engine);

    /**
     * @brief Starts a streamed call.
     * @param call The call.
     * @return The stream, or an error with a verdict: `adapter_not_resident` and `overloaded` are `not_run`.
     */
    [[nodiscard]] boost::asio::awaitable<core::result<std::unique_ptr<engine_stream>>> start(engine_call call);

    /**
     * @brief Resumes the stream of a call that is already running.
     * @param request_id Request id of the call.
     * @param offset Number of tokens already received.
     * @param timeout Timeout for the rest of the stream.
     * @return The stream, or an error.
     */
    [[nodiscard]] boost::asio::awaitable<core::result<std::unique_ptr<engine_stream>>> resume(
        std::string request_id, std::size_t offset, std::chrono::milliseconds timeout);

    /**
     * @brief Cancels a call; errors are ignored.
     * @param request_id Request id of the call.
     */
    [[nodiscard]] boost::asio::awaitable<void> cancel(std::string request_id);

    /**
     * @brief Sends an order and waits until the engine has executed it.
     * @param value The order.
     * @param timeout Timeout of the request.
     * @return Nothing, or an error: `stale_fencing_token`, `conflict`, `adapter_load_failed`, `timeout`, ...
     */
    [[nodiscard]] boost::asio::awaitable<core::result<void>> send_order(order value, std::chrono::milliseconds timeout);

    /**
     * @brief Requests the status report (`/status`), which may be outdated.
     * @param timeout Timeout of the request.
     * @return The report, or an error.
     */
    [[nodiscard]] boost::asio::awaitable<core::result<engine_report>> fetch_report(std::chrono::milliseconds timeout);

    /**
     * @brief Requests the current boot id (`/healthz`).
     * @param timeout Timeout of the request.
     * @return The boot id, or an error.
     */
    [[nodiscard]] boost::asio::awaitable<core::result<std::string>> fetch_boot_id(std::chrono::milliseconds timeout);

private:
    class http_stream;

    http::client& client;
    core::endpoint endpoint;
};

} // namespace lagoonsaddle::upstream

#endif
