#include <algorithm>
#include <ranges>

#include <lagoonsaddle/edge/version_history.hpp>

namespace lagoonsaddle::edge {

bool version_history::is_covered(std::uint64_t version, std::optional<core::time_point> announced_at) const {
    const auto same_or_newer =
        std::ranges::lower_bound(this->announcements, version, std::ranges::less{}, &announcement::version);
    if(same_or_newer == this->announcements.end()) {
        return false;
    }
    const bool is_known = same_or_newer->version == version;
    // An unknown time compares as the earliest one, but tells nothing about a version whose time is known.
    return (is_known && !announced_at) || same_or_newer->at <= announced_at;
}

bool version_history::announce(std::uint64_t version, std::optional<core::time_point> announced_at) {
    if(version == 0u || this->is_covered(version, announced_at)) {
        return false;
    }
    const bool is_newest = version > this->newest();
    const auto newer_begin =
        std::ranges::upper_bound(this->announcements, version, std::ranges::less{}, &announcement::version);
    // Older versions that were announced later, as far as this history knew, tell nothing beyond this one.
    const auto older_end = std::ranges::find_if(this->announcements.begin(), newer_begin,
        [announced_at](const announcement& older) { return older.at >= announced_at; });
    const auto position = this->announcements.erase(older_end, newer_begin);
    this->announcements.insert(position, {.version = version, .at = announced_at});
    if(this->announcements.size() > versions_max) {
        this->announcements[1u].at = this->announcements[0u].at;
        this->announcements.erase(this->announcements.begin());
    }
    return is_newest;
}

std::uint64_t version_history::newest() const noexcept {
    return this->announcements.empty() ? 0u : this->announcements.back().version;
}

std::optional<core::time_point> version_history::time_of(std::uint64_t version) const {
    const auto found = std::ranges::find(this->announcements, version, &announcement::version);
    return found == this->announcements.end() ? std::nullopt : found->at;
}

std::uint64_t version_history::oldest_allowed(core::time_point now, core::duration grace) const noexcept {
    for(const auto& known : std::views::reverse(this->announcements)) {
        if(!known.at || *known.at + grace <= now) {
            return known.version;
        }
    }
    return 0u;
}

} // namespace lagoonsaddle::edge
