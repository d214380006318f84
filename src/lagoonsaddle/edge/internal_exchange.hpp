#ifndef LAGOONSADDLE_EDGE_INTERNAL_EXCHANGE_HPP
#define LAGOONSADDLE_EDGE_INTERNAL_EXCHANGE_HPP

#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include <lagoonsaddle/core/endpoint.hpp>
#include <lagoonsaddle/edge/event_splitter.hpp>
#include <lagoonsaddle/edge/forwarder.hpp>

namespace lagoonsaddle::edge {

namespace internal {

/*! @brief A request with less time to its deadline is not sent, because the response would be late. */
inline constexpr std::chrono::milliseconds send_margin{15};

/*! @brief Retry-After time of refusals that are caused by overload. */
inline constexpr std::chrono::milliseconds retry_after_overload{400};

[[nodiscard]] inline std::chrono::milliseconds to_ms(core::duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value);
}

} // namespace internal

/*! @brief Result of an attempt, which decides how the request continues. */
enum class forwarder::attempt_result {
    /*! @brief The caller has received the final response, or has disconnected. */
    finished,
    /*! @brief Make another attempt. */
    retry,
    /*! @brief Make no further attempt and report the last failure. */
    fail
};

/*! @brief An attempt whose upstream has not answered yet; destroyed when it has, or when the attempt has failed. */
struct forwarder::queued_attempt {
    std::string upstream{};
    std::string model{};
    std::string adapter{};
    /*! @brief Version of the adapter that the upstream held when the request was sent to it. */
    std::uint64_t sent_version{};
    std::shared_ptr<http::exchange_control> control{};
};

/*! @brief State of one request of a caller. */
struct forwarder::exchange_state {
    exchange_state(http::request caller_request, http::response_writer& out, core::time_point arrival)
        : request{std::move(caller_request)}, writer{out}, received_at{arrival} {}

    http::request request;
    http::response_writer& writer;
    core::time_point received_at;
    request_metadata metadata{};
    route_table::configuration_type config{};
    const route* matched_route{};
    /*! @brief Tenant that sent the request; null when the configuration has none or the request is anonymous. */
    const tenant* sender{};
    /*! @brief What the request has used of the quota of its tenant; nothing when that is not limited. */
    std::optional<quota_charge> charge{};
    std::string service{};
    core::time_point deadline{};
    /*! @brief Identifies the request to the crash quarantine. */
    std::string digest{};
    /*! @brief True when the next send finds out whether a quarantined prompt part still crashes upstreams. */
    bool probes_prompt_part{false};

    /*! @brief Cancels the exchange with the upstream; null while there is none. */
    std::shared_ptr<http::exchange_control> control{};
    bool caller_disconnected{false};
    /*! @brief The exchange over this node's own path; null while there is none. */
    std::unique_ptr<direct_exchange> direct{};
    /*! @brief The peer that relays the exchange; null on this node's own path. */
    std::unique_ptr<relayed_exchange> relayed{};
    /*! @brief Whether the last attempt failed because this node is partitioned from its upstreams. */
    bool path_lost{false};

    std::set<std::string> excluded{};
    /*! @brief Address of the upstream that the request was last sent to. */
    core::endpoint sent_to{};
    /*! @brief Addresses from which the request was refused: a second copy of that refusal has its id too. Not the ids
     * of upstreams, as the upstream that has refused may become known under its own id only later. */
    std::set<core::endpoint> refused_at{};
    /*! @brief Whether its adapter cannot be loaded before the deadline where the request was placed, nor elsewhere. */
    bool unservable{false};
    /*! @brief Whether the request was moved to other availability zones because its own could not serve it in time. */
    bool has_left_zone{false};
    /*! @brief Attempts to choose an upstream. */
    unsigned placements{};
    /*! @brief Sends that reached an upstream. Reset to 0 by a retry that is charged in advance. */
    unsigned sends{};
    /*! @brief When the request was last sent to an upstream. */
    core::time_point sent_at{};
    /*! @brief Attempts after which the request has run or may have run. */
    unsigned possible_runs{};
    /*! @brief Whether the request has run, may have run or has not run on any upstream. */
    core::verdict verdict{core::verdict::not_run};
    core::error last_failure{.cause = core::reason::unavailable, .message = "no upstream accepts the request"};

    /*! @brief Software version of the upstream that the request was last sent to; nothing when it is not certain. */
    std::optional<std::string> sent_version{};
    /*! @brief Software version that began the stream, which alone may go on with it; nothing before its first event, or
     * when it is not certain. */
    std::optional<std::string> stream_version{};

    bool head_sent{false};
    event_splitter splitter{};
    /*! @brief Media type of the response that began the stream; empty when it states none, or before its head. */
    std::string stream_media_type{};
    /*! @brief Whether the last response of an upstream had neither a length nor chunks. */
    bool close_delimited{false};
    std::optional<core::time_point> first_event_at{};
    core::time_point last_event_at{};
    /*! @brief Longest time between two writes of events to the caller. */
    core::duration event_gap_max{};

    unsigned status{};
    std::string outcome{"unanswered"};
    /*! @brief Upstream and result of each attempt, separated by semicolons, for the log. */
    std::string attempt_trace{};

    /*! @brief Returns the priority of the request; 0 is the most urgent. */
    [[nodiscard]] unsigned priority() const noexcept {
        const auto of_route = this->matched_route->priority;
        return this->sender == nullptr ? of_route : this->sender->priority.value_or(of_route);
    }

    /*! @brief Returns whether the request may be sent again after it may have run. */
    [[nodiscard]] bool repeatable() const noexcept {
        return this->matched_route->retry != retry_mode::at_most_once;
    }
};

} // namespace lagoonsaddle::edge

#endif
