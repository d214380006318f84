#ifndef LAGOONSADDLE_GATEWAY_CALLER_RESPONSE_WRITER_HPP
#define LAGOONSADDLE_GATEWAY_CALLER_RESPONSE_WRITER_HPP

#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <nlohmann/json.hpp>

#include <lagoonsaddle/core/error.hpp>
#include <lagoonsaddle/gateway/caller_request.hpp>
#include <lagoonsaddle/http/server.hpp>
#include <lagoonsaddle/wire/messages.hpp>

namespace lagoonsaddle::gateway {

/**
 * @brief Converts answer frames from an upstream owner into the HTTP response to the caller. Not thread-safe.
 *
 * A response that is not streamed is buffered until the answer is complete, so that a failed attempt can be retried. A
 * streamed response starts with the first token.
 */
class caller_response_writer {
public:
    /**
     * @brief Constructs a writer.
     * @param request Request that is answered; must outlive the writer.
     * @param output HTTP response that is written; must outlive the writer.
     */
    caller_response_writer(const caller_request& request, http::response_writer& output);

    /**
     * @brief Starts the answer of a new attempt and discards the buffered body of an earlier attempt.
     * @param head Status, content type and upstream of the answer.
     */
    void begin_attempt(wire::answer_head head);

    /**
     * @brief Appends data to the response: buffers it, or sends it when the response is streamed.
     * @param bytes JSON text of one event, or part of the response body of a plain service.
     * @return Nothing, or `connection_lost` when the caller has disconnected.
     */
    [[nodiscard]] boost::asio::awaitable<core::result<void>> append(std::string_view bytes);

    /**
     * @brief Completes the response.
     * @param verdict Whether the request ran.
     * @param timings Queue wait and load stall at the owner, sent in the final event of a stream.
     * @return Nothing, or `connection_lost` when the caller has disconnected.
     */
    [[nodiscard]] boost::asio::awaitable<core::result<void>> finish(core::verdict verdict, wire::timings timings);

    /**
     * @brief Ends the response with an error: a JSON error response, or an `error` event when the stream has started.
     * @param failure Error that is sent.
     */
    [[nodiscard]] boost::asio::awaitable<void> fail(core::error failure);

    /*! @brief Returns whether any part of the response has been sent. */
    [[nodiscard]] bool has_started() const noexcept {
        return this->started;
    }

    /*! @brief Returns the head of the current attempt. */
    [[nodiscard]] const wire::answer_head& head() const noexcept {
        return this->current_head;
    }

    /*! @brief Returns the complete response body; the journal stores it for non-idempotent requests. */
    [[nodiscard]] std::string body() const;

    /*! @brief Returns the HTTP status of the current attempt. */
    [[nodiscard]] unsigned status() const noexcept {
        return this->current_head.status;
    }

private:
    [[nodiscard]] http::fields response_headers(core::verdict verdict) const;
    void buffer_event(std::string_view event);

    const caller_request& request;
    http::response_writer& output;
    wire::answer_head current_head{};
    bool started{false};
    std::string buffered_body{};
    std::string finish_reason{};
    nlohmann::json usage{};
};

} // namespace lagoonsaddle::gateway

#endif
