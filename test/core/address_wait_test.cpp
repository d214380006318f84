#include <chrono>

#include <boost/asio/error.hpp>
#include <doctest/doctest.h>

#include <lagoonsaddle/core/address_wait.hpp>

namespace lagoonsaddle::core {

namespace {

namespace asio = boost::asio;

constexpr address_wait_options quick_wait{.attempts = 5u, .interval = std::chrono::milliseconds{0}};

/*! @brief Calls `bind_when_free` with an address that fails for a number of attempts; returns the attempts made. */
unsigned count_attempts(unsigned failing, boost::system::error_code failure, boost::system::error_code& result) {
    unsigned attempts{};
    result = bind_when_free(
        [&attempts, failing, failure] { return ++attempts <= failing ? failure : boost::system::error_code{}; },
        quick_wait);
    return attempts;
}

} // namespace

// Guards against a process that ends at its start because the one before it still holds the address.
TEST_CASE("bind_when_free_address_in_use_is_tried_until_free") {
    boost::system::error_code result{};
    CHECK(count_attempts(3u, asio::error::make_error_code(asio::error::address_in_use), result) == 4u);
    CHECK_FALSE(result);
}

// Guards against a process that waits without end for an address that another program keeps.
TEST_CASE("bind_when_free_address_never_free_returns_error") {
    boost::system::error_code result{};
    CHECK(count_attempts(100u, asio::error::make_error_code(asio::error::address_in_use), result) == 5u);
    CHECK(result == asio::error::address_in_use);
}

// Guards against a wait for an address that no attempt can ever bind.
TEST_CASE("bind_when_free_other_error_returns_at_once") {
    boost::system::error_code result{};
    CHECK(count_attempts(100u, asio::error::make_error_code(asio::error::access_denied), result) == 1u);
    CHECK(result == asio::error::access_denied);
}

} // namespace lagoonsaddle::core
