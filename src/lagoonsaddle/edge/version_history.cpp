#include <algorithm>
#include <ranges>

#include <lagoonsaddle/edge/version_history.hpp>

namespace lagoonsaddle::edge {

bool version_history::announce(std::uint64_t version, core::time_point announced_at) {
    const bool is_newest = version > this->newest();
    const auto newer_begin =
        std::ranges::upper_bound(this->announcements, version, std::ranges::less{}, &announcement::version);
    const bool is_covered = (newer_begin != this->announcements.end() && newer_begin->at <= announced_at) ||
                            (newer_begin != this->announcements.begin() && (newer_begin - 1)->version == version &&
                                (newer_begin - 1)->at <= announced_at);
    if(version == 0u || is_covered) {
        return false;
    }
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

std::uint64_t version_history::oldest_allowed(core::time_point now, core::duration grace) const noexcept {
    for(const auto& known : std::views::reverse(this->announcements)) {
        if(known.at + grace <= now) {
            return known.version;
        }
    }
    return 0u;
}

} // namespace lagoonsaddle::edge
