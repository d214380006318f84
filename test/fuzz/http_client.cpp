// Fuzzes the client's reading of responses: the input is what a server sends on one connection.
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>

#include <lagoonsaddle/http/client.hpp>

namespace lagoonsaddle::http {

namespace {

namespace asio = boost::asio;

using tcp = asio::ip::tcp;

constexpr std::chrono::milliseconds timeout{5'000};

[[nodiscard]] bool is_caused_by_input(core::reason cause) {
    return cause != core::reason::timeout && cause != core::reason::connection_refused;
}

/*! @brief A client on the thread of the fuzzer, before a server that sends the input whatever is asked. */
struct fuzzed_client {
    void receive(const std::uint8_t* data, std::size_t size) {
        // The context has stopped when the last input left nothing to do.
        this->context.restart();
        const core::endpoint server{.address = "127.0.0.1", .port = this->acceptor.local_endpoint().port()};
        tcp::socket accepted{this->context};
        bool is_accepted{};
        this->acceptor.async_accept(accepted, [&](const auto& failure) {
            is_accepted = true;
            boost::system::error_code ignored{};
            if(!failure) {
                asio::write(accepted, asio::buffer(data, size), ignored);
                accepted.shutdown(tcp::socket::shutdown_send, ignored);
            }
        });
        client requester{client_options{}};
        bool is_done{};
        asio::co_spawn(asio::make_strand(this->context), requester.send(server, request{}, timeout),
            [&is_done](const std::exception_ptr& failure, const core::result<response>& answer) {
                is_done = true;
                // All of the input has been sent and its end is seen, so that nothing is left to wait for.
                if(failure || (!answer && !is_caused_by_input(answer.error().cause))) {
                    std::abort();
                }
            });
        while(!is_done || !is_accepted) {
            this->context.run_one();
        }
        this->context.poll();
    }

    asio::io_context context{1};
    /*! @brief One for all inputs: the port of a closed connection stays in use for a minute, and ports run out. */
    tcp::acceptor acceptor{this->context, {asio::ip::make_address("127.0.0.1"), 0u}};
};

} // namespace

} // namespace lagoonsaddle::http

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer calls it by this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    static lagoonsaddle::http::fuzzed_client target{};
    target.receive(data, size);
    return 0;
}
