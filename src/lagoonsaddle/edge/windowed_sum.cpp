#include <lagoonsaddle/edge/windowed_sum.hpp>

namespace lagoonsaddle::edge {

namespace {

/*! @brief Number of entries of a window in continuous use. */
constexpr int entries_per_window{64};

} // namespace

void windowed_sum::add(double amount, core::time_point now) {
    if(this->entries.empty() || now - this->entries.back().first >= this->length / entries_per_window) {
        this->entries.push_back({.first = now});
    }
    this->entries.back().last = now;
    this->entries.back().amount += amount;
}

double windowed_sum::sum(core::time_point now) {
    while(!this->entries.empty() && now - this->entries.front().last > this->length) {
        this->entries.pop_front();
    }
    double total{};
    for(const auto& value : this->entries) {
        total += value.amount;
    }
    return total;
}

} // namespace lagoonsaddle::edge
