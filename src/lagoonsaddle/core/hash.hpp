#ifndef LAGOONSADDLE_CORE_HASH_HPP
#define LAGOONSADDLE_CORE_HASH_HPP

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonsaddle::core {

/**
 * @brief Hashes a text with XXH3. The value is the same on every node and in every release.
 * @param text Text to hash.
 * @param seed Seed that selects one of many independent hash functions.
 * @return The hash.
 */
[[nodiscard]] std::uint64_t hash(std::string_view text, std::uint64_t seed = 0u) noexcept;

/**
 * @brief Returns a 128-bit digest in hexadecimal.
 * @param text Text to digest.
 * @return 32 lower-case hexadecimal digits.
 */
[[nodiscard]] std::string digest(std::string_view text);

/**
 * @brief Ranks candidates for a key by rendezvous hashing.
 * @param key Key to place.
 * @param candidates Names of the candidates.
 * @return Indices into `candidates`, best first. Removing a candidate leaves the order of the others unchanged.
 */
[[nodiscard]] std::vector<std::size_t> rendezvous_rank(std::string_view key, std::span<const std::string> candidates);

} // namespace lagoonsaddle::core

#endif
