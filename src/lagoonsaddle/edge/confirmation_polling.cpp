#include <algorithm>
#include <utility>

#include <lagoonsaddle/edge/confirmation_polling.hpp>

namespace lagoonsaddle::edge {

namespace {

/*! @brief Bound to which the default times belong; a longer one does not make the questions rarer. */
constexpr std::chrono::milliseconds default_bound{5'000};

} // namespace

confirmation_polling_options make_polling_options(std::chrono::milliseconds bound) noexcept {
    const auto scale = [bound](std::chrono::milliseconds value) {
        return value * std::min(bound, default_bound).count() / default_bound.count();
    };
    confirmation_polling_options options{};
    options.interval = scale(options.interval);
    options.urgent_interval = scale(options.urgent_interval);
    options.urgent_age = scale(options.urgent_age);
    options.read_age = scale(options.read_age);
    options.read_delay_max = scale(options.read_delay_max);
    return options;
}

confirmation_polling::confirmation_polling(confirmation_polling_options options)
    : settings{options}, random{options.seed} {}

core::duration confirmation_polling::draw_time(std::chrono::milliseconds least, std::chrono::milliseconds most) {
    std::uniform_int_distribution<std::chrono::milliseconds::rep> time{least.count(), most.count()};
    return std::chrono::milliseconds{time(this->random)};
}

bool confirmation_polling::is_urgent(std::optional<core::duration> age) const noexcept {
    return !age || *age >= this->settings.urgent_age;
}

bool confirmation_polling::begin_question(std::optional<core::duration> age, core::time_point now) {
    // The time of the next question was set when the confirmation may still have been young.
    const bool urgent = this->is_urgent(age);
    if(urgent) {
        this->next_question_at = std::min(this->next_question_at, now + this->settings.urgent_interval);
    }
    if(now < this->next_question_at) {
        return false;
    }
    const auto interval = this->settings.interval;
    this->next_question_at = now + (urgent ? core::duration{this->settings.urgent_interval}
                                           : this->draw_time(interval * 3 / 4, interval * 5 / 4));
    return true;
}

bool confirmation_polling::begin_read(std::optional<core::duration> age, core::time_point now) {
    if(age && *age < this->settings.read_age) {
        this->next_read_at.reset();
        return false;
    }
    if(!this->next_read_at) {
        this->next_read_at = now + this->draw_time(std::chrono::milliseconds{0}, this->settings.read_delay_max);
    }
    if(now < *this->next_read_at) {
        return false;
    }
    this->next_read_at = now + this->settings.read_interval;
    return true;
}

bool confirmation_polling::is_avoided(std::string_view peer, core::time_point now) const {
    const auto found = this->avoided_until.find(peer);
    return found != this->avoided_until.end() && now < found->second;
}

std::optional<std::string> confirmation_polling::draw(std::span<const std::string> names) {
    if(names.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> index{0u, names.size() - 1u};
    return names[index(this->random)];
}

std::vector<std::string> confirmation_polling::choose(
    const confirmation_peers& peers, std::optional<core::duration> age, core::time_point now) {
    std::vector<std::string> preferred{};
    std::vector<std::string> others{};
    for(const auto& name : peers.live) {
        const bool is_reader = std::ranges::find(peers.zone_readers, name) != peers.zone_readers.end();
        if(!is_reader && name != this->named_reader) {
            others.push_back(name);
        } else if(!this->is_avoided(name, now)) {
            preferred.push_back(name);
        }
    }
    std::vector<std::string> chosen{};
    if(auto reader = this->draw(preferred)) {
        chosen.push_back(std::move(*reader));
    }
    // In a small fleet all nodes are readers: one that is asked again early may have a fresh answer by now.
    const auto& rest = others.empty() ? peers.live : others;
    if(chosen.empty() || this->is_urgent(age)) {
        auto other = this->draw(rest);
        if(other && std::ranges::find(chosen, *other) == chosen.end()) {
            chosen.push_back(std::move(*other));
        }
    }
    return chosen;
}

void confirmation_polling::record_answer(
    std::string_view peer, std::optional<core::duration> age, std::string_view reader, core::time_point now) {
    std::erase_if(this->avoided_until, [now](const auto& entry) { return entry.second <= now; });
    if(!this->is_urgent(age)) {
        this->named_reader = reader;
        this->avoided_until.erase(std::string{peer});
        return;
    }
    this->avoided_until.insert_or_assign(std::string{peer}, now + this->settings.avoidance);
    if(this->named_reader == peer) {
        this->named_reader.clear();
    }
}

} // namespace lagoonsaddle::edge
