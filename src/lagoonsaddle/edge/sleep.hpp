#ifndef LAGOONSADDLE_EDGE_SLEEP_HPP
#define LAGOONSADDLE_EDGE_SLEEP_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <lagoonsaddle/core/clock.hpp>

namespace lagoonsaddle::edge {

/*! @brief Suspends the calling coroutine for a time. */
[[nodiscard]] boost::asio::awaitable<void> sleep_for(core::duration duration);

/*! @brief Suspends the calling coroutine until a timer expires or is cancelled. */
[[nodiscard]] boost::asio::awaitable<void> wait_for(boost::asio::steady_timer& timer);

} // namespace lagoonsaddle::edge

#endif
