#include <lagoonsaddle/standins/cache_model.hpp>

namespace lagoonsaddle::standins {

namespace {

constexpr std::size_t event_limit{4'096u};

} // namespace

void cache_model::touch(const std::string& prefix_digest, core::time_point now) {
    if(const auto found = this->positions.find(prefix_digest); found != this->positions.end()) {
        this->lru_order.splice(this->lru_order.begin(), this->lru_order, found->second);
        return;
    }
    this->lru_order.push_front(prefix_digest);
    this->positions.emplace(prefix_digest, this->lru_order.begin());
    this->record(prefix_digest, true, now);
    if(this->lru_order.size() > this->capacity) {
        const auto victim = std::move(this->lru_order.back());
        this->lru_order.pop_back();
        this->positions.erase(victim);
        this->record(victim, false, now);
    }
}

bool cache_model::contains(const std::string& prefix_digest) const {
    return this->positions.contains(prefix_digest);
}

std::vector<cache_event> cache_model::events_after(std::uint64_t sequence, core::time_point until) const {
    std::vector<cache_event> found{};
    for(const auto& event : this->events) {
        if(event.sequence > sequence && event.time <= until) {
            found.push_back(event);
        }
    }
    return found;
}

void cache_model::clear() {
    this->lru_order.clear();
    this->positions.clear();
    this->events.clear();
}

void cache_model::record(const std::string& prefix_digest, bool cached, core::time_point now) {
    this->events.push_back(
        cache_event{.sequence = ++this->last_sequence, .prefix_digest = prefix_digest, .cached = cached, .time = now});
    if(this->events.size() > event_limit) {
        this->events.pop_front();
    }
}

} // namespace lagoonsaddle::standins
