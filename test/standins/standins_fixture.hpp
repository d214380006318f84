#ifndef LAGOONSADDLE_TEST_STANDINS_STANDINS_FIXTURE_HPP
#define LAGOONSADDLE_TEST_STANDINS_STANDINS_FIXTURE_HPP

#include <chrono>
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

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/http/client.hpp>
#include <lagoonsaddle/http/json.hpp>
#include <lagoonsaddle/http/server.hpp>

namespace lagoonsaddle::standins {

/*! @brief Runs stand-ins in the test process and calls them over loopback. */
struct standins_fixture {
    static constexpr std::chrono::milliseconds exchange_timeout{20'000};

    standins_fixture() {
        for(int index{}; index < 2; ++index) {
            this->threads.emplace_back([this] { this->context.run(); });
        }
    }

    standins_fixture(const standins_fixture&) = delete;
    standins_fixture& operator=(const standins_fixture&) = delete;

    ~standins_fixture() {
        this->stop();
    }

    /*! @brief Joins the threads; a derived fixture calls it before its stand-ins are destroyed. */
    void stop() {
        this->context.stop();
        for(auto& thread : this->threads) {
            thread.join();
        }
        this->threads.clear();
    }

    [[nodiscard]] core::result<http::response> call(std::uint16_t port, std::string method, std::string target,
        const nlohmann::json& body = nullptr, const std::vector<std::pair<std::string, std::string>>& headers = {}) {
        http::request message{.method = std::move(method), .target = std::move(target), .headers = {}, .body = {}};
        if(!body.is_null()) {
            message.body = body.dump();
        }
        for(const auto& [name, value] : headers) {
            message.headers.set(name, value);
        }
        return boost::asio::co_spawn(boost::asio::make_strand(this->context),
            this->http_client.send({.address = "127.0.0.1", .port = port}, std::move(message), exchange_timeout),
            boost::asio::use_future)
            .get();
    }

    /*! @brief Repeats the call until it succeeds, for servers that are restarting. */
    [[nodiscard]] http::response call_when_up(std::uint16_t port, const std::string& target) {
        while(true) {
            if(auto response = this->call(port, "GET", target); response) {
                return *response;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds{5});
        }
    }

    boost::asio::io_context context{};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{this->context.get_executor()};
    core::boot_clock clock{};
    http::client http_client{http::client_options{}};
    std::vector<std::thread> threads{};
};

} // namespace lagoonsaddle::standins

#endif
