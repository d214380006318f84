#include <cerrno>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <boost/asio/error.hpp>

#include <lagoonsaddle/core/connection_end.hpp>
#include <lagoonsaddle/core/tcp_options.hpp>

namespace lagoonsaddle::core {

namespace {

using tcp = boost::asio::ip::tcp;

/*! @brief Returns the value of a socket option; nothing of it is set on a failure, which is returned as false. */
template<typename Value>
[[nodiscard]] bool read_option(tcp::socket& socket, int level, int name, Value& value) noexcept {
    auto size = static_cast<socklen_t>(sizeof(value));
    return ::getsockopt(socket.native_handle(), level, name, &value, &size) == 0;
}

} // namespace

bool has_orderly_end(tcp::socket& socket, const boost::system::error_code& write_failure) noexcept {
    if(!socket.is_open()) {
        return false;
    }
    tcp_info info{};
    // Not every system tells the state of a connection; 0 is none of the states.
    const bool state_known = read_option(socket, IPPROTO_TCP, TCP_INFO, info) && info.tcpi_state != 0u;
    if(state_known && info.tcpi_state != TCP_CLOSE) {
        return true;
    }
    int pending{};
    if(!read_option(socket, SOL_SOCKET, SO_ERROR, pending)) {
        return false;
    }
    if(pending != 0) {
        return pending == EPIPE;
    }
    if(write_failure) {
        return write_failure == boost::asio::error::broken_pipe;
    }
    return !state_known;
}

void close_at_once(tcp::socket& socket) noexcept {
    int unsent{};
    if(socket.is_open() && ::ioctl(socket.native_handle(), SIOCOUTQNSD, &unsent) == 0 && unsent > 0) {
        set_reset_on_close(socket);
    }
    boost::system::error_code ignored{};
    socket.close(ignored);
}

} // namespace lagoonsaddle::core
