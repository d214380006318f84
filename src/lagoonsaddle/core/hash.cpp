#include <algorithm>
#include <array>
#include <cstdio>
#include <numeric>

#include <xxhash.h>

#include <lagoonsaddle/core/hash.hpp>

namespace lagoonsaddle::core {

std::uint64_t hash(std::string_view text, std::uint64_t seed) noexcept {
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string digest(std::string_view text) {
    const auto value = XXH3_128bits(text.data(), text.size());
    std::array<char, 33u> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx%016llx", static_cast<unsigned long long>(value.high64),
        static_cast<unsigned long long>(value.low64));
    return digits.data();
}

std::vector<std::size_t> rendezvous_rank(std::string_view key, std::span<const std::string> candidates) {
    const auto seed = hash(key);
    std::vector<std::uint64_t> scores(candidates.size());
    std::transform(candidates.begin(), candidates.end(), scores.begin(),
        [seed](const std::string& name) { return hash(name, seed); });

    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), std::size_t{});
    std::sort(order.begin(), order.end(), [&scores, candidates](std::size_t left, std::size_t right) {
        return scores[left] != scores[right] ? scores[left] > scores[right] : candidates[left] < candidates[right];
    });
    return order;
}

} // namespace lagoonsaddle::core
