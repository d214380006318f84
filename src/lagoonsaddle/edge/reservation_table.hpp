#ifndef LAGOONSADDLE_EDGE_RESERVATION_TABLE_HPP
#define LAGOONSADDLE_EDGE_RESERVATION_TABLE_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <lagoonsaddle/core/clock.hpp>

namespace lagoonsaddle::edge {

/*! @brief A request that was placed on an upstream and has not completed. */
struct reservation {
    std::string upstream{};
    std::string model{};
    std::string adapter{};
    /*! @brief Prompt tokens that are not in the prompt cache of the upstream and have to be prefilled. */
    std::uint64_t cold_tokens{};
    /*! @brief Whether the prompt has been prefilled, shown by the start of the response. */
    bool prefilled{false};
    /*! @brief When the sender was told to send the request; nothing while it waits for its adapter. */
    std::optional<core::time_point> sent_at{};
    /*! @brief Tokens that the upstream had to prefill at that time, those of this request included. */
    std::uint64_t tokens_at_send{};
    /*! @brief When the upstream had begun with the first of these tokens. */
    core::time_point measured_from{};
    /*! @brief Time at which the reservation is removed if it was not released. */
    core::time_point expires{};
};

/**
 * @brief Requests that one node has placed on upstreams on behalf of all nodes, and the resulting load.
 *
 * The lease holder of an availability zone places every request for its engines, so that two nodes never choose the
 * same idle engine. This spreads bursts of long prompts, whose prefill stalls the other streams of an engine.
 * Not thread-safe.
 */
class reservation_table {
public:
    /*! @brief Name of the node that sends the request, and the ticket number that the node assigned. */
    using key_type = std::pair<std::string, std::uint64_t>;

    /*! @brief Load of one upstream by its reservations. */
    struct upstream_load {
        std::size_t in_flight{};
        std::uint64_t pending_tokens{};
        /*! @brief Part of `pending_tokens` whose requests have been sent. */
        std::uint64_t sent_tokens{};
        /*! @brief When the upstream has begun with the first of the sent tokens. */
        core::time_point head_since{};
    };

    /*! @brief Time that an upstream has taken to prefill a request and what was ahead of it, from the begin of the
     * first prompt, and including the time of the messages. */
    struct prefill_duration {
        std::string upstream{};
        std::uint64_t tokens{};
        core::duration elapsed{};
    };

    /*! @brief Adds a reservation and replaces an existing one with the same key. */
    void reserve(const key_type& key, reservation value);

    /*! @brief Records that the sender is told to send the request. Does nothing when the key is unknown or the request
     * was sent before. */
    void mark_sent(const key_type& key, core::time_point now);

    /*! @brief Returns how long the prefill has taken until now; nothing unless the request was sent and has not been
     * prefilled. */
    [[nodiscard]] std::optional<prefill_duration> prefill_of(const key_type& key, core::time_point now) const;

    /**
     * @brief Records that the upstream has prefilled the prompt. Does nothing when the key is unknown.
     * @param key The reservation.
     * @param at When it has done so; the upstream begins with the next prompt then.
     */
    void mark_prefilled(const key_type& key, core::time_point at = {});

    /*! @brief Removes a reservation. Does nothing when the key is unknown. */
    void release(const key_type& key);

    /*! @brief Removes all reservations of a node. */
    void remove_node(std::string_view node);

    /*! @brief Removes reservations that were not released in time. */
    void remove_expired(core::time_point now);

    [[nodiscard]] upstream_load load_of(std::string_view upstream) const;

    [[nodiscard]] const std::map<key_type, reservation>& all() const noexcept {
        return this->reservations;
    }

private:
    void subtract(const reservation& value);
    static void subtract_tokens(upstream_load& total, const reservation& value) noexcept;

    std::map<key_type, reservation> reservations{};
    std::map<std::string, upstream_load, std::less<>> loads{};
};

} // namespace lagoonsaddle::edge

#endif
