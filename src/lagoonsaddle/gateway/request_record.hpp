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

/*! @brief One attempt to run a request on an upstream. */
struct attempt_record {
    std::string upstream{};
    /*! @brief Name of the node that owned the upstream. */
    std::string owner{};
    /*! @brief Ranked candidates and excluded upstreams of this attempt. */
    gateway::routing_result route{};
    core::verdict verdict{core::verdict::not_run};
    std::optional<core::error> failure{};
    wire::timings timings{};
};

/*! @brief Routing, timing and outcome of one request, recorded by its entry node. */
struct request_record {
    caller_request request{};
    /*! @brief Name of the matching rule; empty when none matched. */
    std::string rule{};
    std::uint64_t rules_version{};
    /*! @brief First attempts and the last one; those in between are dropped when there are too many. */
    std::vector<attempt_record> attempts{};
    std::string upstream{};
    /*! @brief `adapter@version` that served the request; empty for plain services. */
    std::string served_adapter{};
    unsigned status{};
    core::verdict verdict{core::verdict::not_run};
    std::optional<core::error> failure{};
    /*! @brief The response is the stored outcome of an earlier request with the same idempotency key. */
    bool replayed{false};
    /*! @brief Time of receipt, in milliseconds since the Unix epoch. */
    std::chrono::milliseconds received_at{};
    core::duration total_time{};
    std::optional<core::duration> time_to_first_token{};
};

/*! @brief Receives records of finished requests and node events. Called concurrently from several threads. */
class request_observer {
public:
    request_observer() = default;
    request_observer(const request_observer&) = delete;
    request_observer& operator=(const request_observer&) = delete;
    virtual ~request_observer() = default;

    /**
     * @brief Called once per request, after its response has ended.
     * @param record Record of the request.
     */
    virtual void on_request_finished(const request_record& record) = 0;

    /**
     * @brief Called for an event of the node, such as a membership change, an ownership change or an upstream crash.
     * @param kind Kind of the event, such as `upstream_taken`.
     * @param subject Name of the affected upstream, node or adapter.
     * @param reason Reason for the event, as text for operators.
     */
    virtual void on_event(std::string kind, std::string subject, std::string reason) = 0;
};

} // namespace lagoonsaddle::gateway

#endif
