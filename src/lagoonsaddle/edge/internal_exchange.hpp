#ifndef LAGOONSADDLE_EDGE_INTERNAL_EXCHANGE_HPP
#define LAGOONSADDLE_EDGE_INTERNAL_EXCHANGE_HPP

#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include <lagoonsaddle/edge/event_splitter.hpp>
#include <lagoonsaddle/edge/forwarder.hpp>

namespace lagoonsaddle::edge {

namespace internal {

/*! @brief Requests with less time left are not sent: the answer could not arrive. */
inline constexpr std::chrono::milliseconds send_margin{15};

/*! @brief Time to come back after a refusal because upstreams are full. */
inline constexpr std::chrono::milliseconds retry_overload{400};

[[nodiscard]] inline std::chrono::milliseconds to_ms(core::duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value);
}

} // namespace internal

/*! @brief What to do after an attempt. */
enum class forwarder::step {
    /*! @brief The caller has its final answer, or is gone. */
    finished,
    /*! @brief Try another upstream. */
    again,
    /*! @brief Answer with the last failure. */
    stop
};

/*! @brief State of one request of a caller. */
struct forwarder::exchange_state {
    exchange_state(http::request caller_request, http::response_writer& out, core::time_point arrival)
        : message{std::move(caller_request)}, writer{out}, begin{arrival} {}

    http::request message;
    http::response_writer& writer;
    core::time_point begin;
    request_metadata terms{};
    route_table::configuration_type config{};
    const route* target{};
    std::string service{};
    core::time_point deadline{};
    std::string digest{};

    std::shared_ptr<http::exchange_control> control{};
    bool caller_gone{false};

    std::set<std::string> excluded{};
    unsigned choices{};
    unsigned sends{};
    unsigned runs{};
    /*! @brief Whether the request may have run on some upstream. */
    core::verdict verdict{core::verdict::not_run};
    core::error last{.cause = core::reason::unavailable, .message = "no upstream takes the request"};

    bool head_sent{false};
    event_splitter events{};
    std::optional<core::time_point> first_event{};
    core::time_point last_event{};
    /*! @brief Longest time between two pieces of the stream. */
    core::duration gap_max{};

    unsigned status{};
    std::string outcome{"unanswered"};
    std::string path{};

    [[nodiscard]] bool repeatable() const noexcept {
        return this->target->retry != retry_mode::at_most_once;
    }
};

} // namespace lagoonsaddle::edge

#endif
