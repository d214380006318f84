#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <doctest/doctest.h>

#include <lagoonsaddle/edge/forwarder.hpp>
#include <lagoonsaddle/http/json.hpp>

namespace lagoonsaddle::edge {

namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

/*! @brief Plain format for the tests: ids, deadlines and marks in fields of their own. */
class plain_format final : public request_format {
public:
    [[nodiscard]] core::result<request_metadata> read_request(const http::request& message) const override {
        request_metadata terms{};
        terms.id = message.headers.find("id").value_or("");
        if(terms.id.empty()) {
            return core::fail(core::reason::invalid_argument, "the field id is missing");
        }
        terms.deadline =
            std::chrono::milliseconds{std::stoi(std::string{message.headers.find("deadline").value_or("5000")})};
        return terms;
    }

    [[nodiscard]] http::request make_upstream_request(
        const http::request& message, const forwarding_metadata& terms) const override {
        auto outgoing = message;
        outgoing.headers.set("upstream", terms.expected_upstream);
        outgoing.headers.set("resume", terms.resume_after ? std::to_string(*terms.resume_after) : "");
        return outgoing;
    }

    [[nodiscard]] response_metadata read_answer(unsigned status, const http::fields& headers) const override {
        response_metadata terms{};
        terms.request_id = headers.find("id").value_or("");
        terms.signed_by_upstream = headers.find("signed").has_value();
        terms.misdirected = status == 421u;
        terms.not_run = terms.misdirected || headers.find("not-run").has_value();
        return terms;
    }

    [[nodiscard]] http::fields caller_fields(const http::fields& headers) const override {
        http::fields kept{};
        kept.set("signed", headers.find("signed").value_or(""));
        return kept;
    }

    [[nodiscard]] http::response make_refusal(
        unsigned status, const core::error& failure, std::string_view request_id) const override {
        return http::json_response(status, http::error_body(failure, request_id));
    }
};

/*! @brief Upstream that answers each request by the next step of a script. */
class scripted_upstream final : public http::handler {
public:
    asio::awaitable<void> handle(http::request message, http::response_writer& writer) override {
        std::string step{"ok"};
        {
            const std::lock_guard lock{this->mutex};
            if(!this->script.empty()) {
                step = this->script.front();
                this->script.erase(this->script.begin());
            }
            this->seen.push_back(message);
        }
        http::response answer{.status = 200u, .body = "whole"};
        answer.headers.set("id", message.headers.find("id").value_or(""));
        answer.headers.set("signed", "1");
        if(step == "full") {
            answer.status = 503u;
            answer.headers.set("not-run", "1");
        } else if(step == "error") {
            answer.status = 500u;
        } else if(step == "cut") {
            writer.abort();
            co_return;
        } else if(step == "unsigned") {
            answer.headers.set("id", "another");
        } else if(step == "stream" || step == "broken_stream") {
            static_cast<void>(co_await writer.begin(200u, answer.headers));
            const bool resumed = message.headers.find("resume").value_or("") == "1";
            if(!resumed) {
                static_cast<void>(co_await writer.write("id: 1\ndata: a\n\n"));
            }
            if(step == "broken_stream") {
                static_cast<void>(co_await writer.write("id: 2\nda"));
                writer.abort();
                co_return;
            }
            static_cast<void>(co_await writer.write("id: 2\ndata: b\n\n"));
            static_cast<void>(co_await writer.finish());
            co_return;
        } else if(step == "hang") {
            const auto gone = this->caller_gone;
            writer.on_disconnect([gone] { gone->set_value(); });
            static_cast<void>(co_await writer.begin(200u, answer.headers));
            static_cast<void>(co_await writer.write("id: 1\ndata: a\n\n"));
            asio::steady_timer timer{co_await asio::this_coro::executor, 20s};
            boost::system::error_code ignored{};
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            co_return;
        }
        static_cast<void>(co_await writer.send(std::move(answer)));
    }

    std::mutex mutex{};
    std::vector<std::string> script{};
    std::vector<http::request> seen{};
    std::shared_ptr<std::promise<void>> caller_gone{std::make_shared<std::promise<void>>()};
};

class unused_store final : public record_store {
public:
    asio::awaitable<core::result<record_page>> list(record_kind) override {
        co_return core::fail(core::reason::unavailable, "not used");
    }

    asio::awaitable<core::result<record_page>> watch(
        record_kind, std::uint64_t, std::chrono::milliseconds, freshness) override {
        co_return core::fail(core::reason::unavailable, "not used");
    }

    asio::awaitable<core::result<stored_lease>> read_lease(std::string) override {
        co_return core::fail(core::reason::unavailable, "not used");
    }

    asio::awaitable<core::result<stored_lease>> write_lease(lease_record, std::uint64_t) override {
        co_return core::fail(core::reason::unavailable, "not used");
    }
};

class unused_control final : public upstream_control {
public:
    asio::awaitable<core::result<order_outcome>> order(upstream_order) override {
        co_return core::fail(core::reason::unavailable, "not used");
    }

    asio::awaitable<core::result<upstream_report>> report(core::endpoint) override {
        co_return core::fail(core::reason::unavailable, "not used");
    }
};

class recording_log final : public log_sink {
public:
    void write(const log_line& line) override {
        const std::lock_guard lock{this->mutex};
        this->lines.push_back(line.text());
        this->written.notify_all();
    }

    /*! @brief Waits until a line contains a text; gives up after a long time. */
    [[nodiscard]] bool wait_for(std::string_view text) {
        std::unique_lock lock{this->mutex};
        return this->written.wait_for(lock, 30s, [this, text] { return this->has(text); });
    }

    std::mutex mutex{};
    std::condition_variable written{};
    std::vector<std::string> lines{};

private:
    [[nodiscard]] bool has(std::string_view text) const {
        return std::ranges::any_of(
            this->lines, [text](const std::string& line) { return line.find(text) != std::string::npos; });
    }
};

/*! @brief A forwarder before two scripted upstreams; the node's thread is the only one that touches its state. */
struct forwarder_fixture {
    forwarder_fixture() {
        REQUIRE(this->upstream_server.start().has_value());
        configuration config{.version = 1u};
        const auto add = [&config](const char* name, retry_mode repeat, bool streaming, unsigned attempts) {
            config.routes.push_back({.name = name,
                .host = "h",
                .path_prefix = std::string{"/"} + name + "/",
                .retry = repeat,
                .streaming = streaming,
                .timeout = 5'000ms,
                .latency_objective = 1'000ms,
                .attempts_max = attempts,
                .services = {{.name = "s"}}});
        };
        add("safe", retry_mode::idempotent, false, 2u);
        add("once", retry_mode::at_most_once, false, 2u);
        add("stream", retry_mode::at_most_once, true, 2u);
        add("resumable", retry_mode::resumable, true, 2u);
        config.services.push_back({.name = "s"});
        this->routes.apply(std::move(config));
        for(const auto* id : {"u1", "u2"}) {
            upstream_entry entry{.id = id, .service = "s", .availability_zone = "z", .request_slots = 4u};
            entry.address = {"127.0.0.1", this->upstream_server.port()};
            this->upstreams.update(entry, this->clock.now());
        }
        REQUIRE(this->caller_server.start().has_value());
        this->node = std::thread{[this] {
            this->context.run();
        }};
        this->callers = std::thread{[this] {
            this->caller_context.run();
        }};
    }

    forwarder_fixture(const forwarder_fixture&) = delete;
    forwarder_fixture& operator=(const forwarder_fixture&) = delete;

    ~forwarder_fixture() {
        this->context.stop();
        this->caller_context.stop();
        this->node.join();
        this->callers.join();
    }

    [[nodiscard]] http::request make(const std::string& route) const {
        http::request message{.method = "POST", .target = "/" + route + "/1", .body = "b"};
        message.headers.set("host", "h");
        message.headers.set("id", "r1");
        return message;
    }

    [[nodiscard]] core::result<http::response> call(const std::string& route) {
        return this->send(this->make(route));
    }

    [[nodiscard]] core::result<http::response> send(http::request message) {
        return asio::co_spawn(this->caller_context, this->exchange(std::move(message)), asio::use_future).get();
    }

    [[nodiscard]] asio::awaitable<core::result<http::response>> exchange(http::request message) {
        http::exchange_options options{};
        options.timeout = 20s;
        options.keep_host = true;
        options.resend_safe = false;
        // A named value: g++ 12 destroys aggregate temporaries of a co_await expression twice.
        const core::endpoint target{"127.0.0.1", this->caller_server.port()};
        auto opened = co_await this->caller.open(target, std::move(message), std::move(options));
        if(!opened) {
            co_return tl::make_unexpected(opened.error());
        }
        http::response answer{.status = (*opened)->status(), .headers = (*opened)->headers()};
        while(true) {
            auto piece = co_await (*opened)->read();
            if(!piece) {
                co_return tl::make_unexpected(piece.error());
            }
            if(piece->empty()) {
                co_return answer;
            }
            answer.body += *piece;
        }
    }

    core::boot_clock clock{};
    asio::io_context context{1};
    asio::io_context caller_context{1};
    asio::executor_work_guard<asio::io_context::executor_type> work{asio::make_work_guard(context)};
    asio::executor_work_guard<asio::io_context::executor_type> caller_work{asio::make_work_guard(caller_context)};

    scripted_upstream upstream{};
    http::server upstream_server{caller_context, upstream, http::server_options{}};
    http::client caller{http::client_options{}};
    http::client client{http::client_options{}};

    plain_format format{};
    recording_log log{};
    unused_store store{};
    unused_control control{};
    route_table routes{};
    upstream_table upstreams{};
    upstream_selector selector{{.availability_zone = "z"}};
    retry_budget budget{{.slack = 100.0}};
    operate::metrics_registry metrics{clock};
    std::shared_ptr<cluster::membership_service> membership{
        std::make_shared<cluster::membership_service>(context, clock, fleet::membership_settings{})};
    cluster::peer_directory peers{context, *membership, wire::hello{.node = "n"}};
    cluster::quarantine_service quarantine{{.crashes_until_quarantine = 3u}, *membership, peers};
    crash_verifier review{{}};
    std::shared_ptr<placement_service> placement{std::make_shared<placement_service>(placement_context{.io = context,
                                                                                         .time = clock,
                                                                                         .log = log,
                                                                                         .store = store,
                                                                                         .control = control,
                                                                                         .routes = routes,
                                                                                         .upstreams = upstreams,
                                                                                         .membership = *membership},
        placement_options{.self = "n"})};
    std::shared_ptr<dispatch_service> dispatch{std::make_shared<dispatch_service>(
        dispatch_context{.io = context, .time = clock, .upstreams = upstreams, .placement = *placement, .peers = peers},
        "n")};
    forwarder requests{forwarder_context{.time = clock,
        .log = log,
        .format = format,
        .client = client,
        .routes = routes,
        .upstreams = upstreams,
        .selector = selector,
        .budget = budget,
        .placement = *placement,
        .dispatch = *dispatch,
        .quarantine = quarantine,
        .review = review,
        .membership = *membership,
        .metrics = metrics}};
    http::server caller_server{context, requests, http::server_options{}};
    std::thread node{};
    std::thread callers{};
};

} // namespace

// Guards, by a table of upstream behaviour, against a request that runs twice, a refusal of one that may have run, and
// a failure of one that could have been sent elsewhere.
TEST_CASE_FIXTURE(forwarder_fixture, "handle_table_of_failures_returns_status_and_sends") {
    struct row {
        const char* route;
        std::vector<std::string> script;
        unsigned status;
        std::size_t sends;
    };

    const std::vector<row> rows{
        {"safe", {"ok"}, 200u, 1u},
        {"safe", {"error", "ok"}, 200u, 2u},
        {"safe", {"cut", "ok"}, 200u, 2u},
        {"safe", {"unsigned", "ok"}, 200u, 2u},
        {"safe", {"error", "error"}, 500u, 2u},
        {"safe", {"cut", "cut"}, 502u, 2u},
        {"once", {"ok"}, 200u, 1u},
        {"once", {"full", "ok"}, 200u, 2u},
        {"once", {"full", "full"}, 503u, 2u},
        {"once", {"cut", "ok"}, 502u, 1u},
        {"once", {"error", "ok"}, 500u, 1u},
        {"stream", {"full", "stream"}, 200u, 2u},
        {"stream", {"cut", "stream"}, 502u, 1u},
    };
    for(const auto& entry : rows) {
        CAPTURE(entry.route);
        CAPTURE(entry.script.front());
        {
            const std::lock_guard lock{this->upstream.mutex};
            this->upstream.script = entry.script;
            this->upstream.seen.clear();
        }
        const auto answer = this->call(entry.route);
        REQUIRE(answer.has_value());
        CHECK(answer->status == entry.status);
        const std::lock_guard lock{this->upstream.mutex};
        CHECK(this->upstream.seen.size() == entry.sends);
    }
}

// Guards against a stream whose pieces are doubled, missing or joined in the middle when it is continued elsewhere.
TEST_CASE_FIXTURE(forwarder_fixture, "handle_resumable_stream_breaks_continues_after_last_event") {
    this->upstream.script = {"broken_stream", "stream"};
    const auto answer = this->call("resumable");
    REQUIRE(answer.has_value());
    CHECK(answer->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    CHECK(this->upstream.seen.at(1u).headers.find("resume") == "1");
}

// Guards against a broken stream that looks complete.
TEST_CASE_FIXTURE(forwarder_fixture, "handle_stream_that_may_run_once_breaks_is_cut") {
    this->upstream.script = {"broken_stream"};
    const auto answer = this->call("stream");
    REQUIRE_FALSE(answer.has_value());
    CHECK(answer.error().cause == core::reason::connection_lost);
    CHECK(this->upstream.seen.size() == 1u);
}

// Guards against work for a caller that has left.
TEST_CASE_FIXTURE(forwarder_fixture, "handle_caller_leaves_ends_upstream_request") {
    this->upstream.script = {"hang"};
    auto gone = this->upstream.caller_gone->get_future();
    const auto control = std::make_shared<http::exchange_control>();
    auto left = asio::co_spawn(
        this->caller_context,
        [this, control]() -> asio::awaitable<void> {
            http::exchange_options options{};
            options.keep_host = true;
            options.control = control;
            const core::endpoint target{"127.0.0.1", this->caller_server.port()};
            auto message = this->make("stream");
            auto opened = co_await this->caller.open(target, std::move(message), std::move(options));
            REQUIRE(opened.has_value());
            static_cast<void>(co_await (*opened)->read());
            control->cancel();
        },
        asio::use_future);
    left.get();
    CHECK(gone.wait_for(10s) == std::future_status::ready);
    // Guards against a log that says not_run of a request that an upstream had begun.
    CHECK(this->log.wait_for("outcome=caller_gone verdict=may_have_run"));
}

// Guards against a request that waits although it is known that nothing can serve it, and against an untrue refusal.
TEST_CASE_FIXTURE(forwarder_fixture, "handle_no_upstream_refuses_at_once_as_not_run") {
    std::promise<void> removed{};
    asio::post(this->context, [&] {
        this->upstreams.remove("u1", this->clock.now());
        this->upstreams.remove("u2", this->clock.now());
        removed.set_value();
    });
    removed.get_future().get();
    const auto answer = this->call("once");
    REQUIRE(answer.has_value());
    CHECK(answer->status == 503u);
    CHECK(this->upstream.seen.empty());
    // The line is written after the answer.
    CHECK(this->log.wait_for("outcome=refused verdict=not_run"));
}

// Guards against a 404 of a node that knows no configuration yet, and a 503 for a path that no route has.
TEST_CASE_FIXTURE(forwarder_fixture, "handle_unknown_path_answers_404_and_malformed_400") {
    auto message = this->make("nowhere");
    CHECK(this->send(std::move(message))->status == 404u);
    http::request nameless{.target = "/safe/1"};
    nameless.headers.set("host", "h");
    CHECK(this->send(std::move(nameless))->status == 400u);
}

// Guards against long requests that a planned stop would cut off.
TEST_CASE_FIXTURE(forwarder_fixture, "handle_late_in_stop_refuses_only_long_requests") {
    std::promise<void> begun{};
    asio::post(this->context, [&] {
        this->requests.begin_stop(this->clock.now(), this->clock.now() + 2s);
        begun.set_value();
    });
    begun.get_future().get();
    CHECK(this->call("once")->status == 503u);
    auto brief = this->make("once");
    brief.headers.set("deadline", "500");
    CHECK(this->send(std::move(brief))->status == 200u);
}

} // namespace lagoonsaddle::edge
