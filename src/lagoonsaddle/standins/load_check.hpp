#ifndef LAGOONSADDLE_STANDINS_LOAD_CHECK_HPP
#define LAGOONSADDLE_STANDINS_LOAD_CHECK_HPP

#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include <lagoonsaddle/core/error.hpp>
#include <lagoonsaddle/http/fields.hpp>
#include <lagoonsaddle/standins/load_plan.hpp>

namespace lagoonsaddle::standins {

/*! @brief Result of the check of one response. */
struct call_outcome {
    /*! @brief The response was received completely, with a success status. */
    bool ok{false};
    bool wrong_adapter{false};
    /*! @brief The tokens belong to another prompt. */
    bool wrong_prompt{false};
    /*! @brief The response has a success status, but tokens are missing, repeated or out of order, or the end is
     * missing. */
    bool incomplete{false};
    /*! @brief Name of the verdict; empty when the response has none. */
    std::string verdict{};
    /*! @brief `ok`, the reason of the error, or `client_` and the reason when no response arrived. */
    std::string reason{};
    std::optional<double> load_stall_ms{};
};

/**
 * @brief Checks one response against its call. The response is passed in chunks, as they arrive.
 *
 * A streamed response is read as server-sent events. A reported error is not a violation; any other response must
 * contain the tokens of the call, complete and in order.
 */
class response_check {
public:
    /**
     * @brief Constructs a check.
     * @param expected The call; must outlive the check.
     */
    explicit response_check(const planned_call& expected) : call{expected} {}

    /**
     * @brief Processes the status and headers of the response.
     * @param status Status code.
     * @param headers Header fields.
     */
    void on_headers(unsigned status, const http::fields& headers);

    /**
     * @brief Processes a chunk of the body.
     * @param data The chunk.
     */
    void on_data(std::string_view data);

    /*! @brief Tells whether a token has arrived. */
    [[nodiscard]] bool has_token() const noexcept;

    /*! @brief Completes the check after the regular end of the response. */
    [[nodiscard]] call_outcome finish();

    /**
     * @brief Completes the check when the response did not arrive or was interrupted.
     * @param failure Error of the client.
     * @return The outcome.
     */
    [[nodiscard]] call_outcome fail(const core::error& failure);

private:
    void on_event(std::string_view text);
    void record_error(const nlohmann::json& error);
    void check_adapter(std::string_view name);
    void check_tokens();

    const planned_call& call;
    call_outcome outcome{};
    unsigned status{};
    bool streamed{false};
    bool done_received{false};
    bool error_received{false};
    bool adapter_seen{false};
    /*! @brief Body of a response that is not streamed, or the last incomplete line of a stream. */
    std::string buffer{};
    std::string text{};
};

} // namespace lagoonsaddle::standins

#endif
