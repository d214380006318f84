#include <algorithm>
#include <cmath>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/rules/rate_limiter.hpp>

namespace lagoonsaddle::rules {

namespace {

// Bounds the wait if the node share is zero.
constexpr double wait_ms_max = 86'400'000.0;
// Absorbs rounding errors: repeated refills may add up to slightly less than one token.
constexpr double token_tolerance = 1e-9;

} // namespace

rate_limiter::rate_limiter(rate_limiter_options options) : options{options} {}

std::optional<std::chrono::milliseconds> rate_limiter::try_acquire(
    std::string_view rule, const rate_limit& limit, std::string_view caller, double node_share, core::time_point now) {
    // Rule names contain no zero byte, so the separator makes the key unambiguous.
    std::string key{rule};
    if(limit.per_caller) {
        key.push_back('\0');
        // Callers choose their names; long ones are replaced by a digest to bound memory.
        key.append(caller.size() <= stored_text_bytes_max ? std::string{caller} : core::digest(caller));
    }
    const auto per_second = limit.per_second * node_share;
    // With a capacity below one token, no request would ever be admitted.
    const auto burst = std::max(1.0, limit.burst * node_share);

    auto& shard = this->shards[core::hash(key) % this->shards.size()];
    const std::lock_guard lock{shard.mutex};
    auto found = shard.buckets.find(key);
    if(found == shard.buckets.end()) {
        if(shard.buckets.size() >= this->options.buckets_per_shard) {
            this->evict_buckets(shard, now);
        }
        found = shard.buckets
                    .emplace(std::move(key),
                        bucket{.tokens = burst, .updated_at = now, .per_second = per_second, .burst = burst})
                    .first;
    }
    auto& target_bucket = found->second;
    refill(target_bucket, now);
    target_bucket.per_second = per_second;
    target_bucket.burst = burst;
    target_bucket.tokens = std::min(target_bucket.tokens, burst);
    if(target_bucket.tokens >= 1.0 - token_tolerance) {
        target_bucket.tokens = std::max(0.0, target_bucket.tokens - 1.0);
        return std::nullopt;
    }
    const auto wait_ms = std::ceil((1.0 - token_tolerance - target_bucket.tokens) / per_second * 1'000.0);
    return std::chrono::milliseconds{static_cast<std::chrono::milliseconds::rep>(std::min(wait_ms, wait_ms_max))};
}

std::size_t rate_limiter::bucket_count() const {
    std::size_t total{};
    for(const auto& shard : this->shards) {
        const std::lock_guard lock{shard.mutex};
        total += shard.buckets.size();
    }
    return total;
}

void rate_limiter::refill(bucket& target, core::time_point now) noexcept {
    const std::chrono::duration<double> elapsed = std::max(core::duration::zero(), now - target.updated_at);
    target.tokens += elapsed.count() * target.per_second;
    target.updated_at = std::max(target.updated_at, now);
}

void rate_limiter::evict_buckets(shard_state& shard, core::time_point now) const {
    for(auto& [key, value] : shard.buckets) {
        refill(value, now);
    }
    std::erase_if(shard.buckets, [](const auto& entry) { return entry.second.tokens >= entry.second.burst; });
    // Bounds memory if callers send arbitrary names. An evicted bucket restarts full, so evicting the fullest ones
    // grants the fewest extra tokens.
    while(shard.buckets.size() >= this->options.buckets_per_shard) {
        shard.buckets.erase(std::max_element(shard.buckets.begin(), shard.buckets.end(),
            [](const auto& left, const auto& right) { return left.second.tokens < right.second.tokens; }));
    }
}

} // namespace lagoonsaddle::rules
