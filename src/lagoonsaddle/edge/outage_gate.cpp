#include <algorithm>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <lagoonsaddle/edge/outage_gate.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

namespace {

/*! @brief Doublings of the delay that are counted. */
constexpr unsigned doublings_max{16u};

} // namespace

outage_gate::outage_gate(asio::io_context& io, outage_gate_options options) : context{io}, settings{options} {}

std::chrono::milliseconds outage_gate::next_delay() const noexcept {
    const auto doublings = std::min(this->failures > 0u ? this->failures - 1u : 0u, doublings_max);
    return std::min(this->settings.delay_max, this->settings.delay_min * (1 << doublings));
}

asio::awaitable<void> outage_gate::wait_after_failure(record_kind kind) {
    if(!this->prober) {
        this->prober = kind;
    }
    // The call of the prober may hang: the others try again by themselves after a while.
    auto wait = this->settings.wait_max;
    if(this->prober == kind) {
        ++this->failures;
        wait = this->next_delay();
    }
    auto& timer = this->waiting.try_emplace(kind, this->context).first->second;
    timer.expires_after(wait);
    boost::system::error_code ignored{};
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void outage_gate::answered() {
    this->prober.reset();
    this->failures = 0u;
    for(auto& [kind, timer] : this->waiting) {
        timer.cancel();
    }
}

} // namespace lagoonsaddle::edge
