#include <algorithm>
#include <functional>
#include <iterator>

#include <lagoonsaddle/edge/exchange_partners.hpp>

namespace lagoonsaddle::edge {

exchange_partners::exchange_partners(exchange_partners_options options) : settings{options}, random{options.seed} {}

void exchange_partners::record_reader(std::string_view node, core::time_point value) {
    if(const auto removed = this->removed_at.find(node); removed != this->removed_at.end()) {
        if(value <= removed->second) {
            return;
        }
        this->removed_at.erase(removed);
    }
    auto& latest = this->said_at.try_emplace(std::string{node}, value).first->second;
    latest = std::max(latest, value);
}

void exchange_partners::remove_reader(std::string_view node, core::time_point now) {
    if(const auto found = this->said_at.find(node); found != this->said_at.end()) {
        this->said_at.erase(found);
    }
    std::erase_if(this->removed_at,
        [this, now](const auto& removed) { return now - removed.second >= this->settings.reader_lifetime; });
    this->removed_at.insert_or_assign(std::string{node}, now);
}

std::vector<exchange_partners::reader> exchange_partners::named_readers(core::time_point now) const {
    std::vector<reader> named{};
    for(const auto& [node, said] : this->said_at) {
        if(now - said < this->settings.reader_lifetime) {
            named.push_back({.node = node, .said_at = said});
        }
    }
    std::ranges::sort(named, std::ranges::greater{}, &reader::said_at);
    named.resize(std::min(named.size(), this->settings.named_readers_max));
    return named;
}

std::vector<std::string> exchange_partners::live_readers(
    std::span<const std::string> live_peers, core::time_point now) const {
    std::vector<std::string> live{};
    std::ranges::copy_if(live_peers, std::back_inserter(live), [&](const std::string& name) {
        const auto found = this->said_at.find(name);
        return found != this->said_at.end() && now - found->second < this->settings.reader_lifetime;
    });
    return live;
}

std::vector<std::string> exchange_partners::draw(std::span<const std::string> live_peers, std::size_t count) {
    std::vector<std::string> drawn{};
    std::ranges::sample(live_peers, std::back_inserter(drawn),
        static_cast<std::ptrdiff_t>(std::min(count, live_peers.size())), this->random);
    return drawn;
}

std::optional<std::string> exchange_partners::choose(std::span<const std::string> live_peers, core::time_point now) {
    const auto live = this->live_readers(live_peers, now);
    const bool ask_reader = this->next_is_reader && !live.empty();
    this->next_is_reader = !this->next_is_reader;
    const auto chosen = this->draw(ask_reader ? std::span<const std::string>{live} : live_peers, 1u);
    return chosen.empty() ? std::nullopt : std::optional{chosen.front()};
}

} // namespace lagoonsaddle::edge
