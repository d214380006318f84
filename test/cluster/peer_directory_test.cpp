#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>
#include <doctest/doctest.h>

#include <lagoonsaddle/cluster/peer_directory.hpp>
#include <lagoonsaddle/wire/async_queue.hpp>
#include <lagoonsaddle/wire/peer_server.hpp>

namespace lagoonsaddle::cluster {

namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds exchange_timeout{20'000};

/*! @brief Answers a message when the test lets it. */
class held_handler final : public wire::peer_handler {
public:
    asio::awaitable<void> handle(std::string, wire::frame message, std::shared_ptr<wire::responder> answer) override {
        this->received.set_value();
        static_cast<void>(co_await this->turn->pop(exchange_timeout));
        answer->send(wire::message_type::answer_end, std::move(message.body));
    }

    std::promise<void> received{};
    std::shared_ptr<wire::async_queue<bool>> turn{std::make_shared<wire::async_queue<bool>>()};
};

struct peer_directory_fixture {
    peer_directory_fixture() {
        REQUIRE(this->server.start().has_value());
        this->threads.emplace_back([this] { this->context.run(); });
        this->threads.emplace_back([this] { this->context.run(); });
        const auto first = this->start_member(*this->membership, "n1", {});
        static_cast<void>(this->start_member(*this->other, "n2", {first}));
        while(!this->membership->find_live_member("n2")) {
            std::this_thread::yield();
        }
    }

    peer_directory_fixture(const peer_directory_fixture&) = delete;
    peer_directory_fixture& operator=(const peer_directory_fixture&) = delete;

    ~peer_directory_fixture() {
        this->context.stop();
        for(auto& thread : this->threads) {
            thread.join();
        }
    }

    core::endpoint start_member(
        membership_service& service, const std::string& name, std::vector<core::endpoint> seeds) const {
        const auto bound = service.bind({.address = "127.0.0.1"});
        REQUIRE(bound.has_value());
        const core::endpoint peers{.address = "127.0.0.1", .port = this->server.port()};
        service.start({.name = name, .udp = *bound, .tcp = peers, .boot_id = 1u}, std::move(seeds));
        return *bound;
    }

    /*! @brief Sends a message to the other node and waits until it has arrived there. */
    std::future<core::result<wire::frame>> call() {
        auto peer = this->directory.find("n2");
        REQUIRE(peer != nullptr);
        auto answer = asio::co_spawn(
            asio::make_strand(this->context),
            [peer]() -> asio::awaitable<core::result<wire::frame>> {
                co_return co_await peer->call(wire::message_type::submit, "x", exchange_timeout);
            },
            asio::use_future);
        this->handler.received.get_future().get();
        return answer;
    }

    void end_connection(fleet::member_state state) {
        auto gone = *this->membership->find_live_member("n2");
        gone.state = state;
        this->directory.end_connection({.member = gone, .previous_state = fleet::member_state::alive});
    }

    asio::io_context context{};
    asio::executor_work_guard<asio::io_context::executor_type> work{this->context.get_executor()};
    core::boot_clock clock{};
    held_handler handler{};
    wire::peer_server server{this->context, this->handler, {.address = "127.0.0.1"}, wire::hello{.node = "n2"}};
    std::shared_ptr<membership_service> membership{
        std::make_shared<membership_service>(this->context, this->clock, fleet::membership_settings{})};
    std::shared_ptr<membership_service> other{
        std::make_shared<membership_service>(this->context, this->clock, fleet::membership_settings{})};
    peer_directory directory{this->context, *this->membership, wire::hello{.node = "n1"}};
    std::vector<std::thread> threads{};
};

} // namespace

// Guards against an answer that is cut although its node had sent it: the notice that the node has left may come first.
TEST_CASE_FIXTURE(peer_directory_fixture, "end_connection_node_has_left_last_answer_is_read") {
    auto answer = this->call();
    this->end_connection(fleet::member_state::left);
    this->handler.turn->push(true);
    const auto outcome = answer.get();
    REQUIRE(outcome.has_value());
    CHECK(outcome->body == "x");
}

// Guards against a caller that waits for a node that has died.
TEST_CASE_FIXTURE(peer_directory_fixture, "end_connection_node_is_dead_open_call_fails_at_once") {
    auto answer = this->call();
    this->end_connection(fleet::member_state::dead);
    const auto outcome = answer.get();
    REQUIRE_FALSE(outcome.has_value());
    CHECK(outcome.error().cause == core::reason::connection_lost);
    this->handler.turn->push(true);
}

} // namespace lagoonsaddle::cluster
