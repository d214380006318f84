#include <algorithm>
#include <utility>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/rules/recent_requests.hpp>

namespace lagoonsaddle::rules {

recent_requests::recent_requests(std::size_t capacity) : shard_capacity{(capacity + shard_count - 1u) / shard_count} {}

void recent_requests::record(request_attributes attributes) {
    truncate_names(attributes);
    auto& shard = this->shards[core::hash(attributes.request_id) % this->shards.size()];
    const std::lock_guard lock{shard.mutex};
    shard.requests.push_back(std::move(attributes));
    if(shard.requests.size() > this->shard_capacity) {
        shard.requests.pop_front();
    }
}

std::vector<request_attributes> recent_requests::snapshot() const {
    std::vector<request_attributes> result{};
    for(const auto& shard : this->shards) {
        const std::lock_guard lock{shard.mutex};
        result.insert(result.end(), shard.requests.begin(), shard.requests.end());
    }
    std::stable_sort(result.begin(), result.end(),
        [](const request_attributes& left, const request_attributes& right) { return left.time < right.time; });
    return result;
}

} // namespace lagoonsaddle::rules
