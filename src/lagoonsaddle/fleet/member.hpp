#ifndef LAGOONSADDLE_FLEET_MEMBER_HPP
#define LAGOONSADDLE_FLEET_MEMBER_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/core/endpoint.hpp>

namespace lagoonsaddle::fleet {

/*! @brief Identifies a process of the fleet by the name of its node and its boot id, which changes at each restart. */
struct node_id {
    std::string name{};
    std::uint64_t boot_id{};

    friend bool operator==(const node_id&, const node_id&) = default;
    friend auto operator<=>(const node_id&, const node_id&) = default;
};

/*! @brief State of a member as seen by one node. */
enum class member_state : std::uint8_t {
    /*! @brief Responds to probes. */
    alive,
    /*! @brief Responds to probes and has announced a planned stop; receives no new work. */
    leaving,
    /*! @brief Did not respond to a probe; declared dead unless it refutes the suspicion in time. */
    suspect,
    /*! @brief Declared dead after a suspicion that was not refuted. */
    dead,
    /*! @brief Has announced its exit after a planned stop. */
    left
};

/**
 * @brief Returns the name of a member state as it appears in state dumps.
 * @param value A state.
 * @return The name, such as `suspect`.
 */
[[nodiscard]] std::string_view to_string(member_state value) noexcept;

/*! @brief Metadata that a node announces about itself. Each string holds at most 64 bytes. */
struct member_info {
    std::string name{};
    std::string availability_zone{};
    /*! @brief Endpoint of the membership protocol. */
    core::endpoint udp{};
    /*! @brief Endpoint of the peer protocol. */
    core::endpoint tcp{};
    /*! @brief Differs between the starts of a node; need not increase. */
    std::uint64_t boot_id{};

    friend bool operator==(const member_info&, const member_info&) = default;
};

/*! @brief A member of the fleet. */
struct member {
    member_info info{};
    member_state state{member_state::alive};
    /*! @brief Orders the records of one member; only the member itself increments it. */
    std::uint64_t incarnation{};

    /*! @brief Returns whether the member is up: alive, leaving or suspect. */
    [[nodiscard]] bool is_live() const noexcept {
        return this->state < member_state::dead;
    }
};

/*! @brief Change of a member as seen by one node. */
struct member_change {
    fleet::member member{};
    /*! @brief State before the change; empty when the member is new. */
    std::optional<member_state> previous_state{};
    /*! @brief True when the boot id has changed. */
    bool restarted{};
};

/**
 * @brief Small value that is gossiped with the membership messages, such as a configuration version.
 *
 * Of two items with the same kind and key, the one with the higher version wins; with equal versions, the one with
 * the greater value.
 */
struct gossip_item {
    /*! @brief Kind, such as `config`, `upstream` or `quarantine`. At most 32 bytes. */
    std::string kind{};
    /*! @brief Key within the kind. At most 128 bytes. */
    std::string key{};
    std::uint64_t version{};
    /*! @brief Opaque value. At most 256 bytes. */
    std::string value{};
    /*! @brief Time until every node removes the item; empty when it does not expire. */
    std::optional<core::duration> lifetime{};

    friend bool operator==(const gossip_item&, const gossip_item&) = default;
};

/*! @brief UDP datagram to send. */
struct datagram {
    core::endpoint to{};
    std::string bytes{};
};

} // namespace lagoonsaddle::fleet

#endif
