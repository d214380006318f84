#ifndef LAGOONSADDLE_EDGE_RECORD_COPIES_HPP
#define LAGOONSADDLE_EDGE_RECORD_COPIES_HPP

#include <cstdint>

#include <lagoonsaddle/edge/protocol.hpp>
#include <lagoonsaddle/wire/messages.hpp>

namespace lagoonsaddle::edge {

/*! @brief Converts the entry of an upstream for peers, without its adapters. */
[[nodiscard]] wire::upstream_copy to_copy(const upstream_entry& entry);

/*! @brief Converts the entry of an upstream from a peer. Port 0 when the port is not valid. */
[[nodiscard]] upstream_entry from_copy(const wire::upstream_copy& copy);

/*! @brief Converts a lease for peers. */
[[nodiscard]] wire::lease_copy to_copy(const stored_lease& value);

/*! @brief Converts a lease from a peer. */
[[nodiscard]] stored_lease from_copy(const wire::lease_copy& copy);

/*! @brief Returns the digest of one record. Those of several are combined by exclusive or, in any order. */
[[nodiscard]] std::uint64_t digest_of(const upstream_entry& entry);
[[nodiscard]] std::uint64_t digest_of(const stored_lease& value);
[[nodiscard]] std::uint64_t digest_of(const version_record& record);

} // namespace lagoonsaddle::edge

#endif
