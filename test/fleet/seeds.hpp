#ifndef LAGOONSADDLE_TEST_FLEET_SEEDS_HPP
#define LAGOONSADDLE_TEST_FLEET_SEEDS_HPP

#include <cstdint>
#include <cstdlib>
#include <random>
#include <string>

namespace lagoonsaddle::fleet {

/*! @brief Returns the number of seeds that a property test runs; LAGOONSADDLE_SEEDS overrides the default. */
[[nodiscard]] inline std::uint64_t seed_count(std::uint64_t default_count) {
    const auto* text = std::getenv("LAGOONSADDLE_SEEDS");
    return text == nullptr ? default_count : std::strtoull(text, nullptr, 10);
}

/*! @brief Random numbers that are equal on every platform, unlike those of the standard distributions. */
class random_source {
public:
    explicit random_source(std::uint64_t seed) : engine{seed} {}

    [[nodiscard]] std::uint64_t below(std::uint64_t bound) {
        return this->engine() % bound;
    }

    [[nodiscard]] bool one_in(std::uint64_t count) {
        return this->below(count) == 0u;
    }

private:
    std::mt19937_64 engine;
};

} // namespace lagoonsaddle::fleet

#endif
