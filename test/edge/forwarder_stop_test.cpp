// Requests that wait on a node that is stopped as planned, on a paused clock.
#include <chrono>
#include <future>
#include <string>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <doctest/doctest.h>

#include "forwarder_fixture.hpp"

namespace lagoonsaddle::edge {

namespace {

using namespace std::chrono_literals;

/*! @brief What a request waits for before it can be sent to an upstream. */
enum class wait_kind { load, origin };

struct waiting_row {
    wait_kind kind{};
    std::string route{};
    std::chrono::milliseconds deadline{};
    /*! @brief Time after the stop at which the request has to be answered. */
    std::chrono::milliseconds answered_after{};
};

/*! @brief Less than a placement waits for by itself, so that the stop has to end the wait. */
constexpr std::chrono::milliseconds refused_after{1'000};
constexpr std::chrono::milliseconds exit_after{4'000};

/*! @brief A lease holder whose engines never load the adapter of a request, and whose store never tells of further
 * engines. */
struct stopping_node : forwarder_fixture {
    stopping_node() {
        this->run_on_node([this] {
            auto config = *this->routes.current();
            ++config.version;
            config.services.front().adapter_slots = 2u;
            config.services.front().models = {"m"};
            this->routes.apply(std::move(config));
            for(const auto* id : {"u1", "u2"}) {
                auto entry = this->upstreams.find(id)->entry;
                entry.models["m"].version = 1u;
                this->upstreams.update(entry, this->clock.now());
            }
            this->upstreams.set_current(true, this->clock.now() - 1min);
            this->unseen_hangs = true;
            REQUIRE(this->membership->bind({.address = "127.0.0.1"}).has_value());
            this->membership->start(fleet::member_info{.name = "n", .availability_zone = "z", .boot_id = 1u}, {});
            this->placement->start();
            this->dispatch->start();
        });
        this->wait_until([this] { return this->placement->may_order_loads("z"); });
        this->clock.pause();
    }

    ~stopping_node() {
        this->run_on_node([this] { this->unseen_hangs = false; });
        this->clock.advance(1h);
    }

    stopping_node(const stopping_node&) = delete;
    stopping_node& operator=(const stopping_node&) = delete;

    /*! @brief Waits until a condition of the node holds. */
    void wait_until(const std::function<bool()>& condition) {
        bool holds{false};
        while(!holds) {
            this->run_on_node([&condition, &holds] { holds = condition(); });
            std::this_thread::yield();
        }
    }

    [[nodiscard]] bool is_waiting(wait_kind kind) const {
        return kind == wait_kind::load ? this->dispatch->reservation_count() == 1u : this->unseen_reads > 0u;
    }

    /*! @brief Sends a request, and returns its answer to come once it waits. */
    [[nodiscard]] std::future<core::result<http::response>> send_waiting(const waiting_row& row) {
        auto message = row.kind == wait_kind::origin ? this->make_resumed_request() : this->make_request(row.route);
        message.headers.set("deadline", std::to_string(row.deadline.count()));
        if(row.kind == wait_kind::load) {
            message.headers.set("adapter", "cold");
        }
        auto answer =
            boost::asio::co_spawn(this->caller_context, this->send_async(std::move(message)), boost::asio::use_future);
        this->wait_until([this, &row] { return this->is_waiting(row.kind); });
        return answer;
    }

    void begin_stop() {
        this->run_on_node([this] {
            const auto now = this->clock.now();
            this->request_forwarder.begin_stop({.refuse_at = now + refused_after, .exit_at = now + exit_after});
        });
    }
};

} // namespace

// Guards against requests that wait on a stopping node until its process ends, and get no answer.
TEST_CASE("handle_stop_answers_waiting_request_as_not_run_before_exit") {
    for(const auto& row : {
            waiting_row{wait_kind::load, "safe", 5'000ms, refused_after},
            waiting_row{wait_kind::load, "once", 5'000ms, refused_after},
            waiting_row{wait_kind::load, "stream", 5'000ms, refused_after},
            waiting_row{wait_kind::load, "resumable", 5'000ms, refused_after},
            waiting_row{wait_kind::load, "stream", 4'100ms, refused_after},
            waiting_row{wait_kind::load, "stream", 3'600ms, 3'600ms},
            waiting_row{wait_kind::origin, "resumable", 5'000ms, refused_after},
            waiting_row{wait_kind::origin, "resumable", 3'600ms, 3'600ms},
        }) {
        CAPTURE(row.route);
        CAPTURE(static_cast<int>(row.kind));
        CAPTURE(row.deadline.count());
        stopping_node node{};
        auto answer = node.send_waiting(row);
        node.begin_stop();
        node.clock.advance(row.answered_after);
        // A request without an answer by then would wait for longer than the process runs.
        REQUIRE(answer.wait_for(10s) == std::future_status::ready);
        const auto response = answer.get();
        REQUIRE(response.has_value());
        CHECK(response->status == 503u);
        CHECK(response->body.find("not_run") != std::string::npos);
        CHECK(node.upstream.received.empty());
        // The lease holder does not load the adapter in vain.
        node.wait_until([&node] { return node.dispatch->reservation_count() == 0u; });
    }
}

// Guards against requests that upstreams have not answered when the process ends, and that get no answer either.
TEST_CASE("handle_exit_answers_request_without_response_as_possibly_run") {
    for(const auto* route : {"safe", "once", "stream", "resumable"}) {
        CAPTURE(route);
        forwarder_fixture node{};
        node.upstream.script = {"silent"};
        auto answer = boost::asio::co_spawn(
            node.caller_context, node.send_async(node.make_request(route)), boost::asio::use_future);
        bool sent{false};
        while(!sent) {
            const std::lock_guard lock{node.upstream.mutex};
            sent = !node.upstream.received.empty();
        }
        node.run_on_node([&node] {
            const auto now = node.clock.now();
            node.request_forwarder.begin_stop({.refuse_at = now, .exit_at = now});
            node.request_forwarder.end_unanswered_attempts();
        });
        const auto response = answer.get();
        REQUIRE(response.has_value());
        CHECK((response->status == 502u || response->status == 504u));
        CHECK(response->body.find("may_have_run") != std::string::npos);
    }
}

} // namespace lagoonsaddle::edge
