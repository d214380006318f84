#ifndef LAGOONSADDLE_TEST_EDGE_FORWARDER_FIXTURE_HPP
#define LAGOONSADDLE_TEST_EDGE_FORWARDER_FIXTURE_HPP

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <stdexcept>
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

#include "placement_fixture.hpp"
#include <lagoonsaddle/edge/forwarder.hpp>
#include <lagoonsaddle/edge/sleep.hpp>
#include <lagoonsaddle/http/json.hpp>
#include <lagoonsaddle/wire/codec.hpp>
#include <lagoonsaddle/wire/messages.hpp>

namespace lagoonsaddle::edge {

/*! @brief Minimal request format: ids, deadlines and markers are in header fields of the same name. */
class plain_format final : public request_format {
public:
    [[nodiscard]] core::result<request_metadata> parse_request(const http::request& message) const override {
        request_metadata metadata{};
        metadata.id = message.headers.find("id").value_or("");
        if(metadata.id.empty()) {
            return core::fail(core::reason::invalid_argument, "the field id is missing");
        }
        metadata.deadline =
            std::chrono::milliseconds{std::stoi(std::string{message.headers.find("deadline").value_or("5000")})};
        metadata.resumed_request = message.headers.find("resumes").value_or("");
        metadata.api_key = message.headers.find("key").value_or("");
        if(const auto last = message.headers.find("last")) {
            metadata.last_event_id = std::stoul(std::string{*last});
        }
        metadata.api_key = message.headers.find("key").value_or("");
        if(const auto part = message.headers.find("part")) {
            metadata.shared_parts.emplace_back(*part);
        }
        if(const auto adapter = message.headers.find("adapter")) {
            metadata.model = "m";
            metadata.adapter = std::string{*adapter};
            metadata.prompt_tokens = 100u;
        }
        return metadata;
    }

    [[nodiscard]] http::request make_upstream_request(
        const http::request& message, const forwarding_metadata& metadata) const override {
        if(message.headers.find("unencodable")) {
            throw std::runtime_error{"the request cannot be encoded"};
        }
        auto upstream_request = message;
        upstream_request.headers.set("upstream", metadata.expected_upstream);
        upstream_request.headers.set("tenant", metadata.tenant ? metadata.tenant->name : "unset");
        upstream_request.headers.set("urgency", std::to_string(metadata.urgency.value_or(0u)));
        upstream_request.headers.set("resume", metadata.resume_after ? std::to_string(*metadata.resume_after) : "");
        return upstream_request;
    }

    [[nodiscard]] response_metadata parse_response_head(unsigned status, const http::fields& headers) const override {
        response_metadata head{};
        head.request_id = headers.find("id").value_or("");
        head.signed_by_upstream = headers.find("signed").has_value();
        head.misdirected = status == 421u;
        head.not_run = head.misdirected || headers.find("not-run").has_value();
        return head;
    }

    [[nodiscard]] http::fields caller_headers(const http::fields& headers) const override {
        http::fields passed_on{};
        passed_on.set("signed", headers.find("signed").value_or(""));
        return passed_on;
    }

    [[nodiscard]] http::response make_refusal(
        unsigned status, const core::error& failure, std::string_view request_id) const override {
        return http::json_response(status, http::error_body(failure, request_id));
    }
};

/*! @brief Begin of a behavior that is a signed response with the status that follows. */
inline constexpr std::string_view status_behavior{"status "};

/*! @brief Upstream whose behavior for each request is the next entry of `script`, and `ok` after the last one. */
class scripted_upstream final : public http::handler {
public:
    boost::asio::awaitable<void> handle(http::request message, http::response_writer& writer) override {
        std::string behavior{"ok"};
        {
            const std::lock_guard lock{this->mutex};
            if(!this->script.empty()) {
                behavior = this->script.front();
                this->script.erase(this->script.begin());
            }
            this->received.push_back(message);
        }
        http::response response{.status = 200u, .body = "whole"};
        response.headers.set("id", message.headers.find("id").value_or(""));
        response.headers.set("signed", "1");
        if(behavior == "full" || behavior == "full_without_id") {
            response.status = 503u;
            response.headers.set("not-run", "1");
            response.headers.set("id", behavior == "full" ? message.headers.find("id").value_or("") : "");
        } else if(behavior == "error") {
            response.status = 500u;
        } else if(behavior.starts_with(status_behavior)) {
            response.status = static_cast<unsigned>(std::stoul(behavior.substr(status_behavior.size())));
        } else if(behavior == "cut") {
            writer.abort();
            co_return;
        } else if(behavior == "unsigned") {
            response.headers.set("id", "another");
        } else if(behavior == "stream" || behavior == "broken_stream" || behavior == "half_event") {
            static_cast<void>(co_await writer.begin(200u, response.headers));
            const bool resumed = message.headers.find("resume").value_or("") == "1";
            if(!resumed) {
                static_cast<void>(co_await writer.write("id: 1\ndata: a\n\n"));
            }
            if(behavior == "half_event") {
                static_cast<void>(co_await writer.write("id: 2\nda"));
                static_cast<void>(co_await writer.finish());
                co_return;
            }
            if(behavior == "broken_stream") {
                static_cast<void>(co_await writer.write("id: 2\nda"));
                writer.abort();
                co_return;
            }
            static_cast<void>(co_await writer.write("id: 2\ndata: b\n\n"));
            static_cast<void>(co_await writer.finish());
            co_return;
        } else if(behavior == "hang" || behavior == "silent") {
            if(behavior == "hang") {
                const auto disconnected = this->caller_disconnected;
                writer.on_disconnect([disconnected] { disconnected->set_value(); });
                static_cast<void>(co_await writer.begin(200u, response.headers));
                static_cast<void>(co_await writer.write("id: 1\ndata: a\n\n"));
            }
            boost::asio::steady_timer timer{co_await boost::asio::this_coro::executor, std::chrono::seconds{20}};
            boost::system::error_code ignored{};
            co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
            co_return;
        }
        static_cast<void>(co_await writer.send(std::move(response)));
    }

    std::mutex mutex{};
    std::vector<std::string> script{};
    std::vector<http::request> received{};
    std::shared_ptr<std::promise<void>> caller_disconnected{std::make_shared<std::promise<void>>()};
};

class unused_control final : public upstream_control {
public:
    boost::asio::awaitable<core::result<order_outcome>> send_order(upstream_order) override {
        co_return core::fail(core::reason::unavailable, "not used");
    }

    boost::asio::awaitable<core::result<upstream_report>> fetch_report(core::endpoint) override {
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

    /*! @brief Waits up to 30 s until a line contains a text; returns whether one does. */
    [[nodiscard]] bool wait_for(std::string_view text) {
        std::unique_lock lock{this->mutex};
        return this->written.wait_for(lock, std::chrono::seconds{30}, [this, text] { return this->contains(text); });
    }

    std::mutex mutex{};
    std::condition_variable written{};
    std::vector<std::string> lines{};

private:
    [[nodiscard]] bool contains(std::string_view text) const {
        return std::ranges::any_of(
            this->lines, [text](const std::string& line) { return line.find(text) != std::string::npos; });
    }
};

class recording_upstream_observer final : public upstream_observer {
public:
    void on_upstream_leaving(const std::string& upstream) override {
        this->leaving.push_back(upstream);
    }

    std::vector<std::string> leaving{};
};

/*! @brief Clock that runs until a test pauses it; only the test advances it from then on. */
class pausable_clock final : public core::clock {
public:
    [[nodiscard]] core::time_point now() const noexcept override {
        const auto paused_at = this->paused.load();
        return paused_at != core::time_point{} ? paused_at : this->running.now();
    }

    void pause() noexcept {
        this->paused = this->running.now();
    }

    /*! @brief Moves the paused clock forward. */
    void advance(core::duration step) noexcept {
        this->paused = this->paused.load() + step;
    }

private:
    core::boot_clock running{};
    std::atomic<core::time_point> paused{core::time_point{}};
};

/*! @brief A forwarder with two upstreams, both served by `upstream`; only `node_thread` may access the forwarder. */
struct forwarder_fixture {
    forwarder_fixture() {
        REQUIRE(this->upstream_server.start().has_value());
        configuration config{.version = 1u};
        const auto add_route = [&config](const char* name, retry_mode repeat, bool streaming, unsigned attempts) {
            config.routes.push_back({.name = name,
                .host = "h",
                .path_prefix = std::string{"/"} + name + "/",
                .retry = repeat,
                .streaming = streaming,
                .timeout = std::chrono::milliseconds{5'000},
                .latency_objective = std::chrono::milliseconds{1'000},
                .attempts_max = attempts,
                .services = {{.name = "s"}}});
        };
        add_route("safe", retry_mode::idempotent, false, 2u);
        add_route("once", retry_mode::at_most_once, false, 2u);
        add_route("stream", retry_mode::at_most_once, true, 2u);
        add_route("resumable", retry_mode::resumable, true, 2u);
        config.services.push_back({.name = "s"});
        this->routes.apply(std::move(config));
        for(const auto* id : {"u1", "u2"}) {
            upstream_entry entry{.id = id, .service = "s", .availability_zone = "z", .request_slots = 4u};
            entry.address = {"127.0.0.1", this->upstream_server.port()};
            this->upstreams.update(entry, this->clock.now());
        }
        REQUIRE(this->caller_server.start().has_value());
        this->node_thread = std::thread{[this] {
            this->node_context.run();
        }};
        this->caller_thread = std::thread{[this] {
            this->caller_context.run();
        }};
    }

    forwarder_fixture(const forwarder_fixture&) = delete;
    forwarder_fixture& operator=(const forwarder_fixture&) = delete;

    ~forwarder_fixture() {
        this->wait_for_handlers();
        this->node_context.stop();
        this->caller_context.stop();
        this->node_thread.join();
        this->caller_thread.join();
    }

    /*! @brief Waits until no request is in progress: its handler uses members that are destroyed before the context. */
    void wait_for_handlers() {
        bool active{true};
        while(active) {
            this->run_on_node([this, &active] { active = this->caller_server.active_requests() > 0u; });
        }
    }

    /*! @brief Runs an action on the thread of the forwarder and waits for its end. */
    void run_on_node(const std::function<void()>& action) {
        std::promise<void> done{};
        boost::asio::post(this->node_context, [&action, &done] {
            action();
            done.set_value();
        });
        done.get_future().get();
    }

    [[nodiscard]] http::request make_request(const std::string& route) const {
        http::request message{.method = "POST", .target = "/" + route + "/1", .body = "b"};
        message.headers.set("host", "h");
        message.headers.set("id", "r1");
        return message;
    }

    /*! @brief Returns a request that goes on after the first event of a stream. */
    [[nodiscard]] http::request make_resumed_request(const std::string& first_request = "r0") const {
        auto message = this->make_request("resumable");
        message.headers.set("resumes", first_request);
        message.headers.set("last", "1");
        return message;
    }

    /*! @brief Adds a tenant with the key `k` to the configuration, and makes the route `once` anonymous. */
    void add_tenant() {
        this->run_on_node([this] {
            auto config = *this->routes.current();
            ++config.version;
            config.tenants.emplace().push_back({.name = "a", .api_keys = {"k"}, .priority = 0u});
            config.routes[1u].anonymous = true;
            config.routes[0u].priority = 2u;
            this->routes.apply(std::move(config));
        });
    }

    /*! @brief Records that the configuration was the newest one some time ago. */
    void confirm(core::duration age) {
        this->run_on_node([this, age] {
            const auto version = this->routes.version();
            this->confirmation.record({.moment = this->clock.now() - age, .version = version}, version);
        });
    }

    /*! @brief Sends a request with a key, or without one if it is empty; returns the status. */
    [[nodiscard]] unsigned send_with_key(const std::string& route, const std::string& key) {
        auto message = this->make_request(route);
        if(!key.empty()) {
            message.headers.set("key", key);
        }
        return this->send(std::move(message))->status;
    }

    /*! @brief Sets the software version that the entry of an upstream states. */
    void set_version(const std::string& id, const std::string& version) {
        this->run_on_node([this, &id, &version] {
            auto entry = this->upstreams.find(id)->entry;
            entry.software_version = version;
            this->upstreams.update(entry, this->clock.now());
        });
    }

    [[nodiscard]] core::result<http::response> send_to_route(const std::string& route) {
        return this->send(this->make_request(route));
    }

    [[nodiscard]] core::result<http::response> send(http::request message) {
        return boost::asio::co_spawn(
            this->caller_context, this->send_async(std::move(message)), boost::asio::use_future)
            .get();
    }

    [[nodiscard]] boost::asio::awaitable<core::result<http::response>> send_async(http::request message) {
        http::exchange_options options{};
        options.timeout = std::chrono::seconds{20};
        options.keep_host = true;
        options.resend_safe = false;
        // A named variable, because g++ 12 destroys aggregate temporaries of a co_await expression twice.
        const core::endpoint target{"127.0.0.1", this->caller_server.port()};
        auto stream = co_await this->caller_client.open(target, std::move(message), std::move(options));
        if(!stream) {
            co_return tl::make_unexpected(stream.error());
        }
        http::response response{.status = (*stream)->status(), .headers = (*stream)->headers()};
        while(true) {
            auto chunk = co_await (*stream)->read();
            if(!chunk) {
                co_return tl::make_unexpected(chunk.error());
            }
            if(chunk->empty()) {
                co_return response;
            }
            response.body += *chunk;
        }
    }

    pausable_clock clock{};
    boost::asio::io_context node_context{1};
    boost::asio::io_context caller_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> node_work{
        boost::asio::make_work_guard(node_context)};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> caller_work{
        boost::asio::make_work_guard(caller_context)};

    scripted_upstream upstream{};
    http::server upstream_server{caller_context, upstream, http::server_options{}};
    http::client caller_client{http::client_options{}};
    http::client upstream_client{http::client_options{}};

    plain_format format{};
    recording_log log{};
    in_memory_lease_store store{};
    unused_control control{};
    route_table routes{};
    upstream_table upstreams{};
    upstream_selector selector{{.availability_zone = "z"}};
    retry_budget budget{{.slack = 100.0}};
    operate::metrics_registry metrics{clock};
    std::shared_ptr<cluster::membership_service> membership{
        std::make_shared<cluster::membership_service>(node_context, clock, fleet::membership_settings{})};
    recording_upstream_observer observer{};
    cluster::peer_directory peers{node_context, *membership, wire::hello{.node = "n"}};
    upstream_limits limits{
        {.clock = clock, .log = log, .upstreams = upstreams, .membership = *membership, .peers = peers}, "n"};
    cluster::quarantine_service quarantine{{.crashes_until_quarantine = 3u}, *membership, peers};
    crash_verifier verifier{{}};
    prompt_part_guard prompt_parts{
        {.log = log, .upstreams = upstreams, .membership = *membership, .peers = peers}, "n"};
    stream_archive archive{{.node_name = "n"}};
    /*! @brief What the store answers when it is asked for upstreams that the node has not seen yet. */
    core::result<record_page> unseen_upstreams{record_page{}};
    /*! @brief While this holds, the store does not answer that question. */
    bool unseen_hangs{false};
    std::size_t unseen_reads{};
    std::shared_ptr<unseen_versions> unseen{std::make_shared<unseen_versions>(
        node_context, clock,
        [this]() -> boost::asio::awaitable<core::result<record_page>> {
            ++this->unseen_reads;
            while(this->unseen_hangs) {
                co_await sleep_for(std::chrono::milliseconds{1});
            }
            co_return this->unseen_upstreams;
        },
        unseen_versions_options{.read_interval = std::chrono::milliseconds{0}})};
    stream_origin_service origins{stream_origin_context{.io = node_context,
                                      .clock = clock,
                                      .log = log,
                                      .routes = routes,
                                      .upstreams = upstreams,
                                      .membership = *membership,
                                      .peers = peers,
                                      .archive = archive,
                                      .unseen = *unseen},
        "n"};
    partitioned_nodes partitions{};
    unanswered_nodes unanswered{};
    std::shared_ptr<upstream_paths> paths{std::make_shared<upstream_paths>(upstream_paths_context{.io = node_context,
                                                                               .clock = clock,
                                                                               .log = log,
                                                                               .upstreams = upstreams,
                                                                               .membership = *membership,
                                                                               .client = upstream_client,
                                                                               .partitions = partitions},
        upstream_paths_options{.node_name = "n"})};
    std::shared_ptr<placement_service> placement{
        std::make_shared<placement_service>(placement_context{.io = node_context,
                                                .clock = clock,
                                                .log = log,
                                                .store = store,
                                                .control = control,
                                                .routes = routes,
                                                .upstreams = upstreams,
                                                .membership = *membership,
                                                .partitions = partitions,
                                                .unanswered = unanswered},
            placement_options{.node_name = "n", .availability_zone = "z", .boot_id = 1u})};
    std::shared_ptr<dispatch_service> dispatch{std::make_shared<dispatch_service>(
        dispatch_context{
            .io = node_context, .clock = clock, .upstreams = upstreams, .placement = *placement, .peers = peers},
        "n")};
    std::shared_ptr<configuration_sync> configuration_updates{
        std::make_shared<configuration_sync>(configuration_sync_context{.io = node_context,
                                                 .clock = clock,
                                                 .log = log,
                                                 .store = store,
                                                 .routes = routes,
                                                 .membership = *membership,
                                                 .peers = peers},
            configuration_sync_options{
                .join_wait_max = std::chrono::milliseconds{0}, .catch_up_max = std::chrono::milliseconds{0}},
            [](const edge::configuration&, std::string_view) {})};
    configuration_confirmation confirmation{{.bound = std::chrono::seconds{5}}};
    core::byte_budget response_memory{64u * 1024u * 1024u};
    std::shared_ptr<quota_service> quotas{std::make_shared<quota_service>(quota_context{.io = node_context,
                                                                              .clock = clock,
                                                                              .log = log,
                                                                              .metrics = metrics,
                                                                              .routes = routes,
                                                                              .placement = *placement,
                                                                              .membership = *membership,
                                                                              .peers = peers},
        quota_bounds{}, "n")};
    forwarder request_forwarder{forwarder_context{.clock = clock,
        .log = log,
        .format = format,
        .client = upstream_client,
        .routes = routes,
        .configuration = *configuration_updates,
        .upstreams = upstreams,
        .limits = limits,
        .observer = observer,
        .selector = selector,
        .budget = budget,
        .placement = *placement,
        .dispatch = *dispatch,
        .quarantine = quarantine,
        .verifier = verifier,
        .prompt_parts = prompt_parts,
        .origins = origins,
        .paths = *paths,
        .membership = *membership,
        .quotas = *quotas,
        .metrics = metrics,
        .response_memory = response_memory,
        .confirmation = &confirmation}};
    http::server caller_server{node_context, request_forwarder, http::server_options{}};
    std::thread node_thread{};
    std::thread caller_thread{};
};

} // namespace lagoonsaddle::edge

#endif
