#include <csignal>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <doctest/doctest.h>

#include <lagoonsaddle/core/signal_hold.hpp>

namespace lagoonsaddle::core {

// Guards against a signal that ends the process because it comes before its handler is registered.
TEST_CASE("signal_hold_signal_before_handler_reaches_handler") {
    signal_hold held{SIGUSR1};
    std::raise(SIGUSR1);
    boost::asio::io_context context{};
    boost::asio::signal_set signals{context, SIGUSR1};
    int received{};
    signals.async_wait([&received](const boost::system::error_code&, int signal) { received = signal; });
    CHECK(context.poll() == 0u);
    held.release();
    context.run();
    CHECK(received == SIGUSR1);
}

} // namespace lagoonsaddle::core
