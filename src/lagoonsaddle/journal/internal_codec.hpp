#ifndef LAGOONSADDLE_JOURNAL_INTERNAL_CODEC_HPP
#define LAGOONSADDLE_JOURNAL_INTERNAL_CODEC_HPP

#include <cstddef>
#include <string>

#include <lagoonsaddle/journal/claim_shard.hpp>

namespace lagoonsaddle::journal::internal {

/*! @brief Upper bound of the encoded size of a table without its entries. */
inline constexpr std::size_t table_overhead_bytes{16u};

/*! @brief Bytes reserved for the outcome of a running claim: status and verdict, without body and content type. */
inline constexpr std::size_t outcome_reserve_bytes{16u};

/**
 * @brief Returns the encoded size of an entry.
 * @param key_digest Digest of the idempotency key.
 * @param entry The entry.
 * @return Size in bytes; a running claim includes `outcome_reserve_bytes`.
 */
[[nodiscard]] std::size_t encoded_entry_bytes(const std::string& key_digest, const claim_entry& entry);

} // namespace lagoonsaddle::journal::internal

#endif
