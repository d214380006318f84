#ifndef LAGOONSADDLE_RULES_RATE_LIMITER_HPP
#define LAGOONSADDLE_RULES_RATE_LIMITER_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/rules/rule.hpp>

namespace lagoonsaddle::rules {

/*! @brief Options of a rate limiter. */
struct rate_limiter_options {
    /*! @brief Maximum number of buckets per shard. Full buckets are evicted first, since a new bucket starts full. */
    std::size_t buckets_per_shard{4'096u};
};

/*! @brief Token buckets by rule name and caller. Thread-safe: sharded by key, one mutex per shard. */
class rate_limiter {
public:
    explicit rate_limiter(rate_limiter_options options = {});

    /**
     * @brief Takes a token if one is available.
     * @param rule Name of the rule. Buckets survive the replacement of a rule set if the rule keeps its name.
     * @param limit Limit of the rule, for the whole deployment.
     * @param caller Caller of the request.
     * @param node_share Fraction of the limit that this node may grant, such as one over the number of live nodes.
     * @param now Current time.
     * @return Empty if a token was taken, else the time until the next token is available.
     */
    [[nodiscard]] std::optional<std::chrono::milliseconds> try_acquire(std::string_view rule, const rate_limit& limit,
        std::string_view caller, double node_share, core::time_point now);

    /*! @brief Returns the number of buckets. */
    [[nodiscard]] std::size_t bucket_count() const;

private:
    struct bucket {
        double tokens{};
        core::time_point updated_at{};
        double per_second{};
        double burst{};
    };

    struct shard_state {
        mutable std::mutex mutex{};
        std::unordered_map<std::string, bucket> buckets{};
    };

    static void refill(bucket& target, core::time_point now) noexcept;
    void evict_buckets(shard_state& shard, core::time_point now) const;

    rate_limiter_options options;
    std::array<shard_state, 16u> shards{};
};

} // namespace lagoonsaddle::rules

#endif
