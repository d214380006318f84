// Keeps requests from versions of adapters that newer ones have replaced.
#include <chrono>
#include <memory>

#include <lagoonsaddle/edge/internal_exchange.hpp>
#include <lagoonsaddle/edge/sleep.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

/*! @brief Time after the announcement from which no request may begin at an older version. The platform allows 5 s from
 * the announcement itself, which this node may learn of later. */
constexpr milliseconds old_version_end{3'500};
constexpr milliseconds check_interval{250};

} // namespace

std::uint64_t forwarder::oldest_allowed_version(const exchange_state& state) const {
    return this->context.placement.oldest_allowed_version(
        state.metadata.model, state.metadata.adapter, replaced_version_grace);
}

bool forwarder::holds_replaced_version(const exchange_state& state, const upstream_state& upstream) const {
    const auto held = upstream.adapter_version(state.metadata.model, state.metadata.adapter, this->context.clock.now());
    return held && *held < this->oldest_allowed_version(state);
}

bool forwarder::is_outdated(const queued_attempt& attempt) const {
    const auto oldest = this->context.placement.oldest_allowed_version(attempt.model, attempt.adapter, old_version_end);
    if(oldest <= attempt.sent_version) {
        return false;
    }
    // The upstream may have replaced the adapter while the request waited in its queue.
    const auto* known = this->context.upstreams.find(attempt.upstream);
    const auto held = known == nullptr
                          ? std::nullopt
                          : known->adapter_version(attempt.model, attempt.adapter, this->context.clock.now());
    return held.value_or(attempt.sent_version) < oldest;
}

asio::awaitable<void> forwarder::cancel_when_outdated(std::weak_ptr<queued_attempt> queued) {
    while(true) {
        co_await sleep_for(check_interval);
        const auto attempt = queued.lock();
        if(attempt == nullptr || attempt->control->cancelled()) {
            co_return;
        }
        if(this->is_outdated(*attempt)) {
            this->context.log.write(log_line{"outdated_attempt"}
                                        .add("upstream", attempt->upstream)
                                        .add("adapter", adapter_key(attempt->model, attempt->adapter))
                                        .add("version", static_cast<std::int64_t>(attempt->sent_version)));
            attempt->control->cancel();
            co_return;
        }
    }
}

std::shared_ptr<forwarder::queued_attempt> forwarder::make_queued_attempt(
    const exchange_state& state, const std::string& upstream) const {
    auto attempt = std::make_shared<queued_attempt>();
    attempt->upstream = upstream;
    attempt->model = state.metadata.model;
    attempt->adapter = state.metadata.adapter;
    attempt->control = state.control;
    const auto* known = this->context.upstreams.find(upstream);
    const auto held = known == nullptr
                          ? std::nullopt
                          : known->adapter_version(attempt->model, attempt->adapter, this->context.clock.now());
    // An adapter that the entry does not show yet was loaded just now, at its newest version.
    attempt->sent_version = held.value_or(this->context.placement.newest_version(attempt->model, attempt->adapter));
    return attempt;
}

} // namespace lagoonsaddle::edge
