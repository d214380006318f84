#ifndef LAGOONSADDLE_STANDINS_RESTARTABLE_SERVER_HPP
#define LAGOONSADDLE_STANDINS_RESTARTABLE_SERVER_HPP

#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>

#include <boost/asio/io_context.hpp>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/http/server.hpp>

namespace lagoonsaddle::standins {

/*! @brief HTTP server that can refuse connections for some time, like a restarting process. Thread-safe. */
class restartable_server : public std::enable_shared_from_this<restartable_server> {
public:
    /**
     * @brief Constructs a server; `start` makes it listen.
     * @param io Runs the connections.
     * @param receiver Handles the requests; must outlive the connections.
     * @param values Options.
     */
    restartable_server(boost::asio::io_context& io, http::handler& receiver, http::server_options values);

    /**
     * @brief Starts to listen.
     * @return Nothing, or `unavailable` when the address cannot be bound.
     */
    [[nodiscard]] core::result<void> start();

    [[nodiscard]] std::uint16_t port() const;

    /**
     * @brief Closes all connections and refuses new ones for some time.
     * @param time Time after which the server listens again on the same port.
     */
    void restart(core::duration time);

    /*! @brief Closes all connections and stops listening permanently. */
    void close();

private:
    boost::asio::awaitable<void> listen_again(core::duration time);

    boost::asio::io_context& context;
    http::handler& target;
    http::server_options options;
    mutable std::mutex mutex{};
    std::unique_ptr<http::server> active_server{};
    bool closed{false};
};

} // namespace lagoonsaddle::standins

#endif
