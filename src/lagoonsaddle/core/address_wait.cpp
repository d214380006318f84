#include <thread>
#include <utility>

#include <boost/asio/error.hpp>

#include <lagoonsaddle/core/address_wait.hpp>

namespace lagoonsaddle::core {

boost::system::error_code bind_when_free(
    const std::function<boost::system::error_code()>& bind, address_wait_options options) {
    auto failure = bind();
    for(unsigned attempt{1u}; failure == boost::asio::error::address_in_use && attempt < options.attempts; ++attempt) {
        std::this_thread::sleep_for(options.interval);
        failure = bind();
    }
    return failure;
}

} // namespace lagoonsaddle::core
