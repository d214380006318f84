#include <cstddef>
#include <functional>
#include <map>
#include <string_view>
#include <utility>

#include <lagoonsaddle/edge/speed_monitor.hpp>
#include <lagoonsaddle/edge/speed_reference.hpp>

namespace lagoonsaddle::edge {

namespace {

/*! @brief Factor, or its inverse, beyond which a speed is unusual. */
constexpr double unusual_factor{1.8};
/*! @brief Factor below which it is usual again. The distance keeps noise from changing the state repeatedly. */
constexpr double usual_factor{1.4};
constexpr std::chrono::seconds update_interval{1};
/*! @brief Changes returned at a time, each of which is logged. */
constexpr std::size_t changes_max{8u};

[[nodiscard]] bool is_beyond(double factor, double limit) noexcept {
    return factor > limit || factor < 1.0 / limit;
}

} // namespace

std::vector<upstream_slowness> assess_slowness(const upstream_table& upstreams, core::time_point now) {
    std::map<std::string_view, speed_reference> references{};
    std::vector<std::pair<const upstream_state*, speed_summary>> observed{};
    for(const auto& [id, known] : upstreams.all()) {
        if(const auto summary = known.speed.summarize(now); summary.weight > 0.0) {
            references[known.entry.service].add(summary);
            observed.emplace_back(&known, summary);
        }
    }
    std::vector<upstream_slowness> assessed{};
    assessed.reserve(observed.size());
    for(const auto& [known, summary] : observed) {
        assessed.push_back({.upstream = known->entry.id,
            .service = known->entry.service,
            .factor = references[known->entry.service].slowness_of(summary)});
    }
    return assessed;
}

std::vector<upstream_slowness> speed_monitor::update(const upstream_table& upstreams, core::time_point now) {
    if(now < this->next_update) {
        return {};
    }
    this->next_update = now + update_interval;
    std::erase_if(this->unusual, [&upstreams](const std::string& id) { return upstreams.find(id) == nullptr; });
    std::vector<upstream_slowness> changes{};
    for(auto& assessed : assess_slowness(upstreams, now)) {
        if(changes.size() >= changes_max) {
            break;
        }
        const bool was_unusual = this->unusual.contains(assessed.upstream);
        assessed.unusual = is_beyond(assessed.factor, was_unusual ? usual_factor : unusual_factor);
        if(assessed.unusual == was_unusual) {
            continue;
        }
        if(assessed.unusual) {
            this->unusual.insert(assessed.upstream);
        } else {
            this->unusual.erase(assessed.upstream);
        }
        changes.push_back(std::move(assessed));
    }
    return changes;
}

} // namespace lagoonsaddle::edge
