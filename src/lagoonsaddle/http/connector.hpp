#ifndef LAGOONSADDLE_HTTP_CONNECTOR_HPP
#define LAGOONSADDLE_HTTP_CONNECTOR_HPP

#include <chrono>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <lagoonsaddle/core/endpoint.hpp>
#include <lagoonsaddle/core/error.hpp>

namespace lagoonsaddle::http {

/*! @brief Makes the connection of an exchange by another way than directly to its target, such as through a relay. */
class connector {
public:
    connector() = default;
    connector(const connector&) = delete;
    connector& operator=(const connector&) = delete;
    virtual ~connector() = default;

    /**
     * @brief Connects a socket so that it carries the bytes of a connection to the target.
     * @param socket A closed socket. The caller closes it when `timeout` has passed.
     * @param target Where the exchange goes.
     * @return Nothing, or an error that is `not_run`: no byte of the exchange has been sent.
     */
    [[nodiscard]] virtual boost::asio::awaitable<core::result<void>> connect(
        boost::asio::ip::tcp::socket& socket, const core::endpoint& target) = 0;

    /*! @brief Returns the longest time for `connect`. */
    [[nodiscard]] virtual std::chrono::milliseconds timeout() const noexcept = 0;
};

} // namespace lagoonsaddle::http

#endif
