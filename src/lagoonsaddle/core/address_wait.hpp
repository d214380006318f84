#ifndef LAGOONSADDLE_CORE_ADDRESS_WAIT_HPP
#define LAGOONSADDLE_CORE_ADDRESS_WAIT_HPP

#include <chrono>
#include <functional>

#include <boost/system/error_code.hpp>

namespace lagoonsaddle::core {

/*! @brief How long a process that starts waits for its addresses. */
struct address_wait_options {
    /*! @brief Attempts to bind an address while it is in use. */
    unsigned attempts{41u};
    std::chrono::milliseconds interval{50};
};

/**
 * @brief Repeats an attempt to bind an address while the address is in use. Blocks the calling thread meanwhile.
 *
 * The process that had the address before may still be in its last moments, or another one may use the port for an
 * outgoing connection. A process that gave up at once would be restarted again and again.
 *
 * @param bind The attempt; it must release what it has opened when it fails.
 * @param options Number and interval of the attempts.
 * @return Error of the last attempt.
 */
[[nodiscard]] boost::system::error_code bind_when_free(
    const std::function<boost::system::error_code()>& bind, address_wait_options options = {});

} // namespace lagoonsaddle::core

#endif
