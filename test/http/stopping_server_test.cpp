#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <lagoonsaddle/http/server.hpp>

namespace lagoonsaddle::http {

namespace {

namespace asio = boost::asio;

/*! @brief Handlers that the server runs from a new connection to the answer of its first request, and a margin. */
constexpr int turns_max{40};

class counting_handler final : public handler {
public:
    asio::awaitable<void> handle(request, response_writer& writer) override {
        ++this->requests;
        response answer{.status = 200u};
        static_cast<void>(co_await writer.send(std::move(answer)));
    }

    int requests{};
};

/*! @brief A server whose handlers run only while the test polls its context. */
struct stopping_server_fixture {
    stopping_server_fixture() {
        REQUIRE(this->listener.start().has_value());
    }

    /*! @brief Connects and sends a request before the server has run any handler. */
    void call() {
        constexpr std::string_view text{"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"};
        this->caller.connect({asio::ip::make_address("127.0.0.1"), this->listener.port()});
        asio::write(this->caller, asio::buffer(text.data(), text.size()));
    }

    void run_handlers(int count) {
        for(int turn{}; turn < count; ++turn) {
            this->context.poll_one();
        }
    }

    [[nodiscard]] std::string read_answer() {
        boost::system::error_code ignored{};
        std::string answer{};
        asio::read(this->caller, asio::dynamic_buffer(answer), ignored);
        return answer;
    }

    asio::io_context context{};
    counting_handler target{};
    server listener{this->context, this->target, server_options{}};
    asio::ip::tcp::socket caller{this->context};
};

} // namespace

// Guards against a request that is read while its connection is closed as idle, and is then run without an answer.
TEST_CASE("server_request_that_crosses_the_close_is_answered_or_not_handled") {
    for(int turns{}; turns < turns_max; ++turns) {
        CAPTURE(turns);
        stopping_server_fixture stopping{};
        stopping.call();
        stopping.run_handlers(turns);
        stopping.listener.close_idle_connections();
        stopping.run_handlers(turns_max);
        CHECK(stopping.listener.active_requests() == 0u);
        CHECK(stopping.read_answer().empty() == (stopping.target.requests == 0));
    }
}

} // namespace lagoonsaddle::http
