#include <atomic>
#include <chrono>
#include <ctime>
#include <future>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <lagoonsaddle/http/server.hpp>

namespace lagoonsaddle::http {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr std::chrono::milliseconds work_duration{3'000};
/*! @brief A caller that has left is noticed within this time, also beside load; far below `work_duration`. */
constexpr std::chrono::milliseconds notice_limit{1'000};
constexpr std::string_view work_request{"GET /work HTTP/1.1\r\nhost: a\r\n\r\n"};
constexpr std::string_view echo_request{"POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nnext"};

/*! @brief Works on `/work` until its caller leaves; answers other requests at once with their own body. */
class working_handler final : public handler {
public:
    asio::awaitable<void> handle(request message, response_writer& writer) override {
        asio::steady_timer work{co_await asio::this_coro::executor, work_duration};
        writer.on_disconnect([this, &work] {
            work.cancel();
            ++this->left;
        });
        if(message.target == "/work") {
            ++this->begun;
            boost::system::error_code ignored{};
            co_await work.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        response answer{.status = 200u, .body = std::move(message.body)};
        static_cast<void>(co_await writer.send(std::move(answer)));
        writer.on_disconnect(nullptr);
    }

    std::atomic<unsigned> begun{0u};
    std::atomic<unsigned> left{0u};
};

/*! @brief Fails once its caller has left; counts callbacks that come after its end. */
class failing_handler final : public handler {
public:
    asio::awaitable<void> handle(request, response_writer& writer) override {
        const std::shared_ptr<void> end{nullptr, [this](void*) {
                                            this->ended = true;
                                        }};
        writer.on_disconnect([this] { this->late_calls += this->ended ? 1u : 0u; });
        this->begun.set_value();
        this->caller_left.get_future().wait();
        throw std::runtime_error{"the handler fails"};
        co_return;
    }

    std::promise<void> begun{};
    std::promise<void> caller_left{};
    std::atomic<bool> ended{false};
    std::atomic<unsigned> late_calls{0u};
};

struct leaving_caller_fixture {
    leaving_caller_fixture() {
        REQUIRE(this->listener.start().has_value());
        for(int index{}; index < 4; ++index) {
            this->threads.emplace_back([this] { this->context.run(); });
        }
    }

    leaving_caller_fixture(const leaving_caller_fixture&) = delete;
    leaving_caller_fixture& operator=(const leaving_caller_fixture&) = delete;

    ~leaving_caller_fixture() {
        this->listener.close();
        this->context.stop();
        for(auto& thread : this->threads) {
            thread.join();
        }
    }

    [[nodiscard]] tcp::socket connect() {
        return this->connect(this->listener);
    }

    [[nodiscard]] tcp::socket connect(const server& destination) {
        tcp::socket socket{this->context};
        socket.connect({asio::ip::make_address("127.0.0.1"), destination.port()});
        socket.set_option(tcp::no_delay{true});
        return socket;
    }

    static void send(tcp::socket& socket, std::string_view text) {
        asio::write(socket, asio::buffer(text.data(), text.size()));
    }

    /*! @brief Waits until a count is reached, at most for `notice_limit`. */
    [[nodiscard]] static bool reaches(const std::atomic<unsigned>& count, unsigned expected) {
        const auto end = std::chrono::steady_clock::now() + notice_limit;
        while(count.load() < expected && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(std::chrono::milliseconds{1});
        }
        return count.load() == expected;
    }

    asio::io_context context{};
    asio::executor_work_guard<asio::io_context::executor_type> work{this->context.get_executor()};
    working_handler target{};
    server listener{this->context, this->target, server_options{}};
    std::vector<std::thread> threads{};
};

} // namespace

// Guards against work that goes on for a caller that is gone, as bytes that it has sent early hide the end.
TEST_CASE_FIXTURE(leaving_caller_fixture, "server_caller_leaves_after_early_bytes_calls_back") {
    for(const std::size_t size : {0u, 2u, 10u, 4'000u, 20'000u}) {
        for(const std::string_view way : {"close", "reset", "half_close"}) {
            CAPTURE(size);
            CAPTURE(way);
            this->target.begun = 0u;
            this->target.left = 0u;
            auto socket = this->connect();
            this->send(socket, work_request);
            REQUIRE(this->reaches(this->target.begun, 1u));
            this->send(socket, std::string(size, '\n'));
            if(way == "half_close") {
                socket.shutdown(tcp::socket::shutdown_send);
            } else {
                socket.set_option(asio::socket_base::linger{way == "reset", 0});
                socket.close();
            }
            REQUIRE(this->reaches(this->target.left, 1u));
        }
    }
}

// Guards against a wait of the request before that ends in the middle of the next one and is not renewed. The next
// request comes while the answer to the one before is on its way, or as soon as it has come.
TEST_CASE_FIXTURE(leaving_caller_fixture, "server_caller_leaves_next_request_calls_back") {
    constexpr unsigned rounds{40u};
    constexpr unsigned callers{50u};
    unsigned expected{};
    unsigned missed{};
    for(const bool waits_for_answer : {true, false}) {
        CAPTURE(waits_for_answer);
        for(unsigned round{}; round < rounds; ++round) {
            std::vector<tcp::socket> sockets{};
            for(unsigned index{}; index < callers; ++index) {
                sockets.push_back(this->connect());
                this->send(sockets.back(), echo_request);
                if(waits_for_answer) {
                    std::string answer{};
                    asio::read_until(sockets.back(), asio::dynamic_buffer(answer), "next");
                }
                this->send(sockets.back(), work_request);
            }
            expected += callers;
            REQUIRE(this->reaches(this->target.begun, expected));
            sockets.clear();
            static_cast<void>(this->reaches(this->target.left, expected - missed));
            missed = expected - this->target.left.load();
        }
        CHECK(missed == 0u);
    }
}

// Guards against a request that an upstream runs although its caller has left before the request was read.
TEST_CASE_FIXTURE(leaving_caller_fixture, "server_caller_left_before_request_is_read_is_not_handled") {
    asio::io_context late{1};
    server destination{late, this->target, server_options{}};
    REQUIRE(destination.start().has_value());
    auto socket = this->connect(destination);
    this->send(socket, work_request);
    socket.close();
    late.run_for(notice_limit);
    CHECK(this->target.begun.load() == 0u);
}

// Guards against an empty line after a body that is taken for a malformed request, and against line ends without end.
TEST_CASE_FIXTURE(leaving_caller_fixture, "server_empty_lines_before_request_are_skipped_up_to_limit") {
    for(const auto& [empty_lines, status] : std::vector<std::pair<std::string, std::string>>{
            {"\r\n", "200"}, {"\r\n\n\r\n", "200"}, {std::string(64u, '\n'), "400"}}) {
        CAPTURE(empty_lines.size());
        auto socket = this->connect();
        this->send(socket, std::string{echo_request} + empty_lines);
        std::string received{};
        // The read may have taken the begin of the next response as well.
        received.erase(0u, asio::read_until(socket, asio::dynamic_buffer(received), "next"));
        if(status == "200") {
            this->send(socket, echo_request);
        }
        asio::read_until(socket, asio::dynamic_buffer(received), "\r\n");
        CHECK(received.starts_with("HTTP/1.1 " + status));
    }
}

// Guards against a callback that uses the state of a handler which an exception has ended.
TEST_CASE_FIXTURE(leaving_caller_fixture, "server_caller_leaves_failing_handler_is_not_called_back_after_its_end") {
    failing_handler failing{};
    server destination{this->context, failing, server_options{}};
    REQUIRE(destination.start().has_value());
    auto socket = this->connect(destination);
    this->send(socket, work_request);
    failing.begun.get_future().wait();
    socket.close();
    failing.caller_left.set_value();
    const auto end = std::chrono::steady_clock::now() + notice_limit;
    while(destination.active_requests() > 0u && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
    CHECK(destination.active_requests() == 0u);
    CHECK(failing.late_calls.load() == 0u);
}

// Guards against an early request that is lost or answered too soon, and against a check for the end of the connection
// that keeps a processor busy as long as bytes are unread.
TEST_CASE_FIXTURE(leaving_caller_fixture, "server_caller_stays_after_early_bytes_is_answered_without_spinning") {
    constexpr double processor_limit_s{0.5};
    const std::string early{"POST /echo HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 4\r\n\r\nlast"};
    auto socket = this->connect();
    this->send(socket, work_request);
    REQUIRE(this->reaches(this->target.begun, 1u));
    const auto before = std::clock();
    this->send(socket, early);
    std::string received{};
    asio::read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n");
    const auto used_s = static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
    CHECK(used_s < processor_limit_s);
    boost::system::error_code end{};
    asio::read(socket, asio::dynamic_buffer(received), end);
    CHECK(end == asio::error::eof);
    CHECK(received.find("Content-Length: 0\r\n") != std::string::npos);
    CHECK(received.ends_with("\r\n\r\nlast"));
    CHECK(this->target.left.load() == 0u);
}

} // namespace lagoonsaddle::http
