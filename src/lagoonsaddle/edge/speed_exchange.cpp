#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <optional>

#include <lagoonsaddle/edge/speed_exchange.hpp>

namespace lagoonsaddle::edge {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

/*! @brief Prompt tokens that an upstream of nominal speed prefills per millisecond. */
constexpr double nominal_tokens_per_ms{40.0};
/*! @brief Shortest nominal prefill that is observed: `prefill_message_time` varies by about half of this. */
constexpr milliseconds observed_prefill_min{40.0};
/*! @brief Nominal prefill that counts as one observation; longer ones count more, up to `observation_weight_max`. */
constexpr milliseconds unit_prefill{100.0};
constexpr double observation_weight_max{2.0};
/*! @brief Bounds of the ratio of one observation. */
constexpr double prefill_ratio_min{0.2};
constexpr double prefill_ratio_max{8.0};
/*! @brief Number of upstreams in one message. */
constexpr std::size_t upstreams_per_message_max{16u};
/*! @brief Weight below which observations are not told. */
constexpr double told_weight_min{0.1};
constexpr double us_per_ms{1'000.0};
constexpr double milli{1'000.0};
/*! @brief Limits of the numbers of a peer. */
constexpr std::uint64_t mean_us_max{60'000'000u};
constexpr std::uint64_t weight_milli_max{200'000u};

[[nodiscard]] wire::response_times to_message(const upstream_entry& entry, const speed_summary& summary) {
    return {.upstream = entry.id,
        .started_ms = entry.started_ms,
        .mean_us = static_cast<std::uint64_t>(std::llround(summary.ratio * us_per_ms)),
        .weight_milli = static_cast<std::uint64_t>(summary.weight * milli)};
}

[[nodiscard]] speed_summary from_message(const wire::response_times& told) {
    return {.ratio = static_cast<double>(std::min(told.mean_us, mean_us_max)) / us_per_ms,
        .weight = static_cast<double>(std::min(told.weight_milli, weight_milli_max)) / milli};
}

/*! @brief Returns whether the speed of an upstream consists of response times. */
[[nodiscard]] bool has_response_times(const upstream_state& upstream) noexcept {
    return upstream.entry.models.empty();
}

/*! @brief Returns the incarnation of an upstream that a peer means, or null. */
[[nodiscard]] upstream_state* find_told(upstream_table& upstreams, const wire::response_times& told) {
    auto* known = upstreams.find(told.upstream);
    const bool same = known != nullptr && known->entry.started_ms == told.started_ms && has_response_times(*known);
    return same ? known : nullptr;
}

} // namespace

void record_prefill(
    upstream_table& upstreams, const reservation_table::prefill_duration& observed, core::time_point now) {
    const milliseconds nominal{static_cast<double>(observed.tokens) / nominal_tokens_per_ms};
    auto* known = upstreams.find(observed.upstream);
    if(known == nullptr || nominal < observed_prefill_min) {
        return;
    }
    const milliseconds elapsed = milliseconds{observed.elapsed} - prefill_message_time;
    const double ratio = std::clamp(elapsed / nominal, prefill_ratio_min, prefill_ratio_max);
    known->speed.record(ratio, std::min(nominal / unit_prefill, observation_weight_max), now);
}

std::vector<wire::response_times> take_response_times(upstream_table& upstreams, core::time_point now) {
    std::vector<wire::response_times> taken{};
    for(const auto& [id, known] : upstreams.all()) {
        if(taken.size() >= upstreams_per_message_max) {
            break;
        }
        if(!has_response_times(known) || !known.speed.has_unshared()) {
            continue;
        }
        const auto summary = upstreams.find(id)->speed.take_unshared(now);
        if(summary.weight >= told_weight_min) {
            taken.push_back(to_message(known.entry, summary));
        }
    }
    return taken;
}

std::vector<wire::response_times> copy_response_times(const upstream_table& upstreams, core::time_point now) {
    std::vector<wire::response_times> copies{};
    for(const auto& [id, known] : upstreams.all()) {
        if(copies.size() >= upstreams_per_message_max) {
            break;
        }
        const auto summary = has_response_times(known) ? known.speed.summarize(now) : speed_summary{};
        if(summary.weight >= told_weight_min) {
            copies.push_back(to_message(known.entry, summary));
        }
    }
    return copies;
}

void merge_response_times(
    upstream_table& upstreams, std::span<const wire::response_times> observed, core::time_point now) {
    for(const auto& told : observed.first(std::min(observed.size(), upstreams_per_message_max))) {
        if(auto* known = find_told(upstreams, told)) {
            known->speed.merge(from_message(told), now);
        }
    }
}

void adopt_response_times(
    upstream_table& upstreams, std::span<const wire::response_times> known, core::time_point now) {
    for(const auto& told : known.first(std::min(known.size(), upstreams_per_message_max))) {
        if(auto* upstream = find_told(upstreams, told)) {
            upstream->speed.adopt(from_message(told), now);
        }
    }
}

} // namespace lagoonsaddle::edge
