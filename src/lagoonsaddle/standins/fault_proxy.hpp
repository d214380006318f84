#ifndef LAGOONSADDLE_STANDINS_FAULT_PROXY_HPP
#define LAGOONSADDLE_STANDINS_FAULT_PROXY_HPP

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <lagoonsaddle/core/endpoint.hpp>
#include <lagoonsaddle/standins/standin_handler.hpp>

namespace lagoonsaddle::standins {

/*! @brief Forwards TCP connections and injects faults. The HTTP handler is the control interface. */
class fault_proxy final : public standin_handler {
public:
    /**
     * @brief Constructs a proxy; `start` makes it listen.
     * @param io Runs the connections; must outlive them.
     * @param listen Address to listen on; port 0 picks a free port.
     * @param destination Where connections are forwarded to.
     */
    fault_proxy(boost::asio::io_context& io, core::endpoint listen, core::endpoint destination);

    /**
     * @brief Starts to listen.
     * @return Nothing, or `unavailable` when the address cannot be bound.
     */
    [[nodiscard]] core::result<void> start();

    /*! @brief Returns the port that the proxy listens on, valid after `start`. */
    [[nodiscard]] std::uint16_t port() const;

    /*! @brief Closes the listener and all connections. */
    void close();

private:
    class connection;

    struct traffic_counts {
        std::atomic<std::uint64_t> connections{0u};
        std::atomic<std::uint64_t> to_target{0u};
        std::atomic<std::uint64_t> to_caller{0u};
        std::atomic<std::uint64_t> discarded{0u};
    };

    using acceptor_ptr = std::shared_ptr<boost::asio::ip::tcp::acceptor>;

    boost::asio::awaitable<void> serve(http::request& message, const http::target_parts& parts,
        core::duration hang_duration, http::response_writer& writer) override;

    [[nodiscard]] nlohmann::json counters() const override;

    void faults_changed() override;

    boost::asio::awaitable<void> accept(acceptor_ptr listener);
    boost::asio::awaitable<void> listen_again();

    boost::asio::io_context& context;
    core::endpoint address;
    core::endpoint target;
    traffic_counts traffic{};
    mutable std::mutex mutex{};
    acceptor_ptr acceptor{};
    std::vector<std::weak_ptr<connection>> connections{};
};

} // namespace lagoonsaddle::standins

#endif
