#ifndef LAGOONSADDLE_UPSTREAM_SERVICE_CLIENT_HPP
#define LAGOONSADDLE_UPSTREAM_SERVICE_CLIENT_HPP

#include <chrono>
#include <string>

#include <boost/asio/awaitable.hpp>

#include <lagoonsaddle/core/endpoint.hpp>
#include <lagoonsaddle/core/error.hpp>
#include <lagoonsaddle/http/client.hpp>

namespace lagoonsaddle::upstream {

/*! @brief A request to a plain service. */
struct service_call {
    std::string request_id{};
    std::string method{};
    /*! @brief Path without the leading slash, with query. */
    std::string path{};
    /*! @brief Value of `content-type`; empty for none. */
    std::string content_type{};
    /*! @brief Value of `idempotency-key`; empty for none. */
    std::string idempotency_key{};
    std::string body{};
    std::chrono::milliseconds timeout{};
};

/*! @brief HTTP client of one plain service. Thread-safe. */
class service_client {
public:
    /**
     * @brief Constructs a client.
     * @param sender HTTP client; must outlive this object.
     * @param service Endpoint of the service.
     */
    service_client(http::client& sender, core::endpoint service);

    /**
     * @brief Sends a request and waits for the whole response.
     * @param call The call.
     * @return The response, or an error with a verdict. A 503 response with the verdict `not_run` is returned as an
     * error.
     */
    [[nodiscard]] boost::asio::awaitable<core::result<http::response>> send(service_call call);

private:
    http::client& client;
    core::endpoint endpoint;
};

} // namespace lagoonsaddle::upstream

#endif
