#ifndef LAGOONSADDLE_TEST_POLICY_SEEDS_HPP
#define LAGOONSADDLE_TEST_POLICY_SEEDS_HPP

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <random>
#include <string>

#include <doctest/doctest.h>

namespace lagoonsaddle::policy {

/*! @brief Random number generator for one run of a property test. */
class random_source {
public:
    explicit random_source(std::uint64_t seed) : engine{seed} {}

    /*! @brief Returns a number in the range from 0 to `limit - 1`. */
    [[nodiscard]] std::size_t below(std::size_t limit) {
        return static_cast<std::size_t>(this->engine() % limit);
    }

private:
    std::mt19937_64 engine;
};

/**
 * @brief Checks a property for the seeds 1 to LAGOONSADDLE_SEEDS (2'000 if unset) and stops at the first failure.
 * @param property Takes a `random_source` and returns a description of the failure, or an empty string.
 */
template<typename Property>
void for_each_seed(Property property) {
    const auto* setting = std::getenv("LAGOONSADDLE_SEEDS");
    const std::uint64_t last = setting == nullptr ? 2'000u : std::stoull(setting);
    for(std::uint64_t seed{1u}; seed <= last; ++seed) {
        random_source random{seed};
        const std::string failure = property(random);
        INFO("failing seed: ", seed);
        REQUIRE(failure == "");
    }
}

} // namespace lagoonsaddle::policy

#endif
