#ifndef LAGOONSADDLE_GATEWAY_REQUEST_RECORD_HPP
#define LAGOONSADDLE_GATEWAY_REQUEST_RECORD_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/core/error.hpp>
#include <lagoonsaddle/gateway/caller_request.hpp>
#include <lagoonsaddle/gateway/routing_table.hpp>
#include <lagoonsaddle/wire/messages.hpp>

namespace lagoonsaddle::gateway {

/*! @brief One attempt to serve a request. */
struct attempt_record {
    std::string upstream{};
    std::string owner{};
    /*! @brief Candidates that were weighed for this attempt. */
    gateway::routing_result route{};
    core::verdict verdict{core::verdict::not_run};
    std::optional<core::error> failure{};
    wire::timings times{};
};

/*! @brief What happened to one request at its entry node. */
struct request_record {
    caller_request request{};
    /*! @brief Name of the rule that decided; empty when none matched. */
    std::string rule{};
    std::uint64_t rules_version{};
    /*! @brief Attempts, of which only the first and the last ones are kept. */
    std::vector<attempt_record> attempts{};
    std::string upstream{};
    std::string served{};
    unsigned status{};
    core::verdict verdict{core::verdict::not_run};
    std::optional<core::error> failure{};
    /*! @brief The answer is the first outcome of an earlier request with the same idempotency key. */
    bool replayed{false};
    std::chrono::milliseconds received_at{};
    core::duration total{};
    std::optional<core::duration> first_token{};
};

/*! @brief Receives the records of finished requests. Called from several threads at once. */
class request_observer {
public:
    request_observer() = default;
    request_observer(const request_observer&) = delete;
    request_observer& operator=(const request_observer&) = delete;
    virtual ~request_observer() = default;

    /**
     * @brief Called once for each request, after its answer has ended.
     * @param record What happened.
     */
    virtual void finished(const request_record& record) = 0;

    /**
     * @brief Called when the system did something on its own.
     * @param kind Kind, such as `takeover`.
     * @param subject What it was done to, such as the name of an upstream.
     * @param reason Why it was done.
     */
    virtual void acted(std::string kind, std::string subject, std::string reason) = 0;
};

} // namespace lagoonsaddle::gateway

#endif
