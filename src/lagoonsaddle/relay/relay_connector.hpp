#ifndef LAGOONSADDLE_RELAY_RELAY_CONNECTOR_HPP
#define LAGOONSADDLE_RELAY_RELAY_CONNECTOR_HPP

#include <chrono>
#include <string>

#include <lagoonsaddle/http/connector.hpp>

namespace lagoonsaddle::relay {

/*! @brief Options of `relay_connector`. */
struct relay_connector_options {
    /*! @brief Where the peer's relay listens. */
    core::endpoint relay{};
    /*! @brief Address of this node, which the peer compares with that of the member; empty to leave it to the system.
     */
    std::string local_address{};
    /*! @brief Name of this node. */
    std::string node{};
    std::string upstream{};
    /*! @brief Time after which the peer may end the connection. */
    std::chrono::milliseconds lifetime{};
    /*! @brief Time for the connection to the peer, and for the peer's to the upstream. */
    std::chrono::milliseconds timeout{500};
};

/**
 * @brief Connects to an upstream through a peer, which passes the bytes on unread.
 *
 * The end of the upstream's connection arrives as such; a reset, or the end of the peer, arrives as a reset.
 */
class relay_connector final : public http::connector {
public:
    explicit relay_connector(relay_connector_options options);

    [[nodiscard]] boost::asio::awaitable<core::result<void>> connect(
        boost::asio::ip::tcp::socket& socket, const core::endpoint& target) override;

    [[nodiscard]] std::chrono::milliseconds timeout() const noexcept override {
        return this->settings.timeout;
    }

private:
    /*! @brief Connects to the peer; returns the failure as text, empty on success. */
    [[nodiscard]] boost::asio::awaitable<std::string> connect_to_relay(boost::asio::ip::tcp::socket& socket) const;

    relay_connector_options settings;
};

} // namespace lagoonsaddle::relay

#endif
