#include <algorithm>
#include <random>

#include <lagoonsaddle/edge/sleep.hpp>
#include <lagoonsaddle/edge/store_backoff.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

namespace {

/*! @brief Limit of the exponent, which keeps the shift within the range of int. */
constexpr unsigned doublings_max{16u};

} // namespace

store_backoff::store_backoff(asio::io_context& io, store_backoff_options options)
    : context{io}, settings{options}, random{options.seed} {}

std::chrono::milliseconds store_backoff::next_delay_max() const noexcept {
    const auto doublings =
        std::min(this->consecutive_failures > 0u ? this->consecutive_failures - 1u : 0u, doublings_max);
    return std::min(this->settings.delay_max, this->settings.delay_min * (1 << doublings));
}

std::chrono::milliseconds store_backoff::draw_delay() {
    const auto longest = this->next_delay_max();
    std::uniform_int_distribution<std::chrono::milliseconds::rep> distribution{longest.count() / 2, longest.count()};
    return std::chrono::milliseconds{distribution(this->random)};
}

asio::awaitable<void> store_backoff::wait_after_failure(record_kind kind) {
    if(!this->probing_kind) {
        this->probing_kind = kind;
    }
    // The probing call may hang, so that the other watchers retry on their own after a while.
    auto wait = this->settings.probe_wait_max;
    if(this->probing_kind == kind) {
        ++this->consecutive_failures;
        wait = this->draw_delay();
    }
    auto& timer = this->timers.try_emplace(kind, this->context).first->second;
    timer.expires_after(wait);
    co_await wait_for(timer);
}

void store_backoff::record_success() {
    this->probing_kind.reset();
    this->consecutive_failures = 0u;
    for(auto& [kind, timer] : this->timers) {
        timer.cancel();
    }
}

} // namespace lagoonsaddle::edge
