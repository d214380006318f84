#ifndef LAGOONSADDLE_EDGE_RESERVATION_LEDGER_HPP
#define LAGOONSADDLE_EDGE_RESERVATION_LEDGER_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include <lagoonsaddle/core/clock.hpp>

namespace lagoonsaddle::edge {

/*! @brief A request that was placed on an upstream and has not ended. */
struct reservation {
    std::string upstream{};
    std::string model{};
    std::string adapter{};
    /*! @brief Prompt tokens that the upstream has to read first. */
    std::uint64_t cold_tokens{};
    /*! @brief The upstream has begun to answer, so that it has read the prompt. */
    bool started{false};
    /*! @brief When the request has ended in any case. */
    core::time_point expires{};
};

/**
 * @brief Requests that one node has placed on upstreams for all nodes, and the load that they make.
 *
 * The node that orders the loads of an availability zone places each request for its engines, so that two nodes never
 * choose the same idle engine. Answers bursts of long prompts, each of which holds up the streams of its engine.
 * Not thread-safe.
 */
class reservation_ledger {
public:
    /*! @brief Name of the node that sends the request, and its number there. */
    using key_type = std::pair<std::string, std::uint64_t>;

    /*! @brief Load of one upstream. */
    struct load {
        std::size_t in_flight{};
        std::uint64_t pending_tokens{};
    };

    /*! @brief Adds a reservation, in place of an earlier one with the same key. */
    void reserve(const key_type& key, reservation value);

    /*! @brief Notes that the upstream has begun to answer. */
    void start(const key_type& key);

    /*! @brief Removes a reservation. */
    void end(const key_type& key);

    /*! @brief Removes the reservations of a node that is gone. */
    void drop_node(std::string_view node);

    /*! @brief Removes reservations that nobody has ended in time. */
    void expire(core::time_point now);

    [[nodiscard]] load load_of(std::string_view upstream) const;

    [[nodiscard]] const std::map<key_type, reservation>& all() const noexcept {
        return this->reservations;
    }

private:
    void subtract(const reservation& value);

    std::map<key_type, reservation> reservations{};
    std::map<std::string, load, std::less<>> loads{};
};

} // namespace lagoonsaddle::edge

#endif
