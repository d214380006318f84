#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>
#include <doctest/doctest.h>

#include <lagoonsaddle/wire/async_queue.hpp>
#include <lagoonsaddle/wire/codec.hpp>
#include <lagoonsaddle/wire/peer_client.hpp>
#include <lagoonsaddle/wire/peer_server.hpp>

namespace lagoonsaddle::wire {

namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds exchange_timeout{20'000};

class counting_handler final : public peer_handler {
public:
    asio::awaitable<void> handle(std::string peer, frame message, std::shared_ptr<responder> answer) override {
        if(message.type == message_type::place_request) {
            answer->send(message_type::placement_pending, {});
            answer->send(message_type::placement_pending, {});
            answer->send(message_type::placement, peer);
            co_return;
        }
        if(message.body == "hang") {
            const auto ended = std::make_shared<async_queue<bool>>();
            answer->on_cancel([ended] { ended->push(true); });
            this->received.set_value();
            static_cast<void>(co_await ended->pop(exchange_timeout));
            this->cancelled.set_value();
            co_return;
        }
        for(int index{}; index < 50; ++index) {
            answer->send(message_type::answer_data, message.body + std::to_string(index));
        }
        answer->send(message_type::answer_end, peer);
    }

    /*! @brief Set when a message that hangs has arrived, and when it was cancelled. */
    std::promise<void> received{};
    std::promise<void> cancelled{};
};

struct peer_fixture {
    peer_fixture() {
        REQUIRE(this->server.start().has_value());
        for(int index{}; index < 3; ++index) {
            this->threads.emplace_back([this] { this->context.run(); });
        }
        this->client = std::make_unique<peer_client>(
            this->context, peer_client_options{.target = {.address = "127.0.0.1", .port = this->server.port()},
                               .self = hello{.node = "n1", .availability_zone = "kotte"}});
    }

    peer_fixture(const peer_fixture&) = delete;
    peer_fixture& operator=(const peer_fixture&) = delete;

    ~peer_fixture() {
        this->client->close();
        this->server.close();
        this->work.reset();
        this->context.stop();
        for(auto& thread : this->threads) {
            thread.join();
        }
    }

    template<typename Type>
    std::future<Type> start(asio::awaitable<Type> operation) {
        return asio::co_spawn(asio::make_strand(this->context), std::move(operation), asio::use_future);
    }

    asio::awaitable<std::string> read_all(std::string name) {
        auto opened = co_await this->client->open(message_type::submit, name + "-");
        std::string received{};
        while(opened) {
            auto next = co_await (*opened)->next(exchange_timeout);
            if(!next) {
                co_return std::string{core::to_string(next.error().cause)};
            }
            if(next->type == message_type::answer_end) {
                co_return received;
            }
            received += next->body + " ";
        }
        co_return "not opened";
    }

    /*! @brief Sends a message of the newest type and returns the cause of its failure, or nothing. */
    std::optional<core::reason> call_newest(peer_client& caller) {
        const auto answer = this->start(caller.call(newest_message_type, "x", exchange_timeout)).get();
        return answer ? std::nullopt : std::optional{answer.error().cause};
    }

    asio::io_context context{};
    asio::executor_work_guard<asio::io_context::executor_type> work{this->context.get_executor()};
    counting_handler handler{};
    peer_server server{this->context, this->handler, {.address = "127.0.0.1"}, hello{.node = "n2"}};
    std::unique_ptr<peer_client> client{};
    std::vector<std::thread> threads{};
};

} // namespace

// Guards against answers that reach another exchange of the same connection, or arrive out of order.
TEST_CASE_FIXTURE(peer_fixture, "peer_client_many_exchanges_at_once_return_their_own_answers") {
    std::vector<std::future<std::string>> answers{};
    for(int index{}; index < 200; ++index) {
        answers.push_back(this->start(this->read_all("x" + std::to_string(index))));
    }
    for(int index{}; index < 200; ++index) {
        std::string expected{};
        for(int part{}; part < 50; ++part) {
            expected += "x" + std::to_string(index) + "-" + std::to_string(part) + " ";
        }
        CHECK(answers[static_cast<std::size_t>(index)].get() == expected);
    }
    CHECK(this->client->counters().connects == 1u);
}

// Guards against a frame that says that the answer takes longer and is taken for the answer.
TEST_CASE_FIXTURE(peer_fixture, "call_interim_frames_are_skipped") {
    const interim_frame pending{.type = message_type::placement_pending, .timeout = exchange_timeout};
    const auto answer =
        this->start(this->client->call(message_type::place_request, "x", exchange_timeout, pending)).get();
    REQUIRE(answer.has_value());
    CHECK(answer->type == message_type::placement);
    CHECK(answer->body == "n1");
}

// Guards against work that goes on at the owner for a caller that is gone.
TEST_CASE_FIXTURE(peer_fixture, "exchange_destroyed_cancels_at_the_peer") {
    this->start([](peer_client& client) -> asio::awaitable<void> {
            auto opened = co_await client.open(message_type::submit, "hang");
            CHECK(opened.has_value());
        }(*this->client))
        .get();
    this->handler.cancelled.get_future().get();
}

// Guards against a caller that waits for ever after the owner node died, and against calling that not_run.
TEST_CASE_FIXTURE(peer_fixture, "exchange_connection_lost_returns_may_have_run") {
    auto answer = this->start(this->client->call(message_type::submit, "hang", exchange_timeout));
    this->handler.received.get_future().get();
    this->server.close();
    const auto outcome = answer.get();
    REQUIRE_FALSE(outcome.has_value());
    CHECK(outcome.error().cause == core::reason::connection_lost);
    CHECK(outcome.error().verdict == core::verdict::may_have_run);
}

// Guards against a node that closes the connections of its peers of an earlier release by messages that they do not
// know.
TEST_CASE_FIXTURE(peer_fixture, "peer_client_peer_of_earlier_release_gets_no_message_that_it_does_not_know") {
    const auto baseline = static_cast<unsigned>(baseline_message_type);
    peer_server earlier{
        this->context, this->handler, {.address = "127.0.0.1"}, hello{.node = "n3", .newest_message = baseline}};
    REQUIRE(earlier.start().has_value());
    peer_client other{this->context,
        peer_client_options{.target = {.address = "127.0.0.1", .port = earlier.port()}, .self = hello{.node = "n1"}}};
    CHECK(this->call_newest(other) == core::reason::unavailable);
    CHECK(this->start(other.call(message_type::submit, "x", exchange_timeout)).get().has_value());
    CHECK(other.counters().connects == 1u);
    CHECK_FALSE(this->call_newest(*this->client).has_value());
    other.close();
    earlier.close();
}

// Guards against a call that lasts as long as the connection to a frozen peer may take: its kernel accepts, and nobody
// greets.
TEST_CASE_FIXTURE(peer_fixture, "call_peer_that_accepts_and_does_not_greet_ends_at_its_own_timeout") {
    asio::ip::tcp::acceptor silent{this->context, {asio::ip::make_address("127.0.0.1"), 0u}};
    constexpr std::chrono::milliseconds call_timeout{20};
    peer_client other{
        this->context, peer_client_options{.target = {.address = "127.0.0.1", .port = silent.local_endpoint().port()},
                           .connect_timeout = 100 * call_timeout}};
    const auto begin = asio::steady_timer::clock_type::now();
    const auto outcome = this->start(other.call(newest_message_type, "x", call_timeout)).get();
    const auto elapsed = asio::steady_timer::clock_type::now() - begin;
    REQUIRE_FALSE(outcome.has_value());
    CHECK(outcome.error().cause == core::reason::timeout);
    CHECK(outcome.error().verdict == core::verdict::not_run);
    CHECK(elapsed < 100 * call_timeout);
    other.close();
}

// Guards against claiming that a request may have run when no connection was made.
TEST_CASE_FIXTURE(peer_fixture, "peer_client_peer_not_listening_returns_not_run") {
    // Bound, so that no other process takes the port.
    asio::ip::tcp::acceptor unused{this->context};
    unused.open(asio::ip::tcp::v4());
    unused.bind({asio::ip::make_address("127.0.0.1"), 0u});
    const auto port = unused.local_endpoint().port();
    peer_client other{this->context, peer_client_options{.target = {.address = "127.0.0.1", .port = port}}};
    const auto outcome = this->start(other.call(message_type::submit, "x", exchange_timeout)).get();
    REQUIRE_FALSE(outcome.has_value());
    CHECK(outcome.error().verdict == core::verdict::not_run);
}

} // namespace lagoonsaddle::wire
