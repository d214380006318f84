#ifndef LAGOONSADDLE_TEST_PLATFORM_LOOPBACK_SERVER_HPP
#define LAGOONSADDLE_TEST_PLATFORM_LOOPBACK_SERVER_HPP

#include <chrono>
#include <functional>
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

#include <lagoonsaddle/http/client.hpp>
#include <lagoonsaddle/http/json.hpp>
#include <lagoonsaddle/http/server.hpp>
#include <lagoonsaddle/platform/memory_object_store.hpp>

namespace lagoonsaddle::platform {

/*! @brief Object API over a memory store, for contract tests. `response_override` may respond in its place. */
class object_api final : public http::handler {
public:
    using override_callback = std::function<std::optional<http::response>(const http::request&)>;

    /*! @brief Statuses of an override that close the connection without a response, or never respond. */
    static constexpr unsigned close_connection{0u};
    static constexpr unsigned never_respond{1u};

    boost::asio::awaitable<void> handle(http::request request, http::response_writer& writer) override {
        if(this->response_override) {
            auto overridden = this->response_override(request);
            if(overridden) {
                if(overridden->status == close_connection) {
                    writer.abort();
                } else if(overridden->status == never_respond) {
                    static_cast<void>(co_await this->store.watch("never", 0u, std::chrono::seconds{60}));
                    writer.abort();
                } else {
                    static_cast<void>(co_await writer.send(std::move(*overridden)));
                }
                co_return;
            }
        }
        const auto parts = http::split_target(request.target);
        if(parts.segments.front() == "watch") {
            const std::chrono::milliseconds timeout{std::stoi(std::string{*parts.query.find("timeout_ms")})};
            const auto known = parse_version(*parts.query.find("known"));
            const auto found = co_await this->store.watch(object_name(parts), known, timeout);
            auto response = make_object_response(found);
            static_cast<void>(co_await writer.send(std::move(response)));
            co_return;
        }
        auto response = this->handle_object_request(std::move(request), parts);
        static_cast<void>(co_await writer.send(std::move(response)));
    }

    memory_object_store store{};
    override_callback response_override{};

private:
    [[nodiscard]] static object_version parse_version(std::string_view text) {
        return std::stoull(std::string{text});
    }

    [[nodiscard]] static std::string object_name(const http::target_parts& parts) {
        std::string name{};
        for(std::size_t index{1u}; index < parts.segments.size(); ++index) {
            name += (index > 1u ? "/" : "") + parts.segments[index];
        }
        return name;
    }

    [[nodiscard]] static http::response make_object_response(const core::result<std::optional<object>>& found) {
        if(!found) {
            return http::error_response(found.error());
        }
        http::response response{};
        response.status = *found ? 200u : 304u;
        if(*found) {
            response.headers.set("etag", '"' + std::to_string((*found)->version) + '"');
            response.body = (*found)->body;
        }
        return response;
    }

    [[nodiscard]] http::response handle_object_request(http::request request, const http::target_parts& parts) {
        const auto name = object_name(parts);
        nlohmann::json body = nlohmann::json::object();
        if(request.method == "PUT") {
            const auto match = request.headers.find("if-match");
            const auto expected = match ? parse_version(match->substr(1u)) : object_version{};
            const auto written = this->store.put_sync(name, std::move(request.body), expected);
            body["version"] = written.value_or(0u);
            auto response = written ? http::json_response(200u, body) : http::error_response(written.error());
            if(!written && written.error().cause == core::reason::conflict) {
                response.status = 412u;
            }
            return response;
        }
        if(name.empty()) {
            const auto found = this->store.list_sync(std::string{parts.query.find("prefix").value_or("")});
            body["objects"] = nlohmann::json::array();
            for(const auto& entry : *found) {
                body["objects"].push_back({{"name", entry.name}, {"version", entry.version}});
            }
            return http::json_response(200u, body);
        }
        const auto match = request.headers.find("if-none-match");
        return make_object_response(
            this->store.get_sync(name, match ? parse_version(match->substr(1u)) : object_version{}));
    }
};

/*! @brief HTTP server on the loopback interface with two threads, and a client. */
struct loopback_server {
    explicit loopback_server(http::handler& handler) : listener{this->context, handler, http::server_options{}} {
        REQUIRE(this->listener.start().has_value());
        for(int index{}; index < 2; ++index) {
            this->threads.emplace_back([this] { this->context.run(); });
        }
    }

    loopback_server(const loopback_server&) = delete;
    loopback_server& operator=(const loopback_server&) = delete;

    ~loopback_server() {
        this->listener.close();
        this->context.stop();
        for(auto& thread : this->threads) {
            thread.join();
        }
    }

    template<typename Type>
    auto start(boost::asio::awaitable<Type> operation) {
        return boost::asio::co_spawn(
            boost::asio::make_strand(this->context), std::move(operation), boost::asio::use_future);
    }

    template<typename Type>
    Type await(boost::asio::awaitable<Type> operation) {
        return this->start(std::move(operation)).get();
    }

    [[nodiscard]] core::endpoint endpoint() const {
        return {.address = "127.0.0.1", .port = this->listener.port()};
    }

    boost::asio::io_context context{};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{this->context.get_executor()};
    http::server listener;
    http::client client{http::client_options{}};
    std::vector<std::thread> threads{};
};

} // namespace lagoonsaddle::platform

#endif
