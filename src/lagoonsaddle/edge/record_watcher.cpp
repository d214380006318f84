#include <algorithm>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <lagoonsaddle/edge/record_watcher.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

namespace {

[[nodiscard]] std::int64_t milliseconds(core::duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace

record_watcher::record_watcher(record_store& records, record_observer& receiver, store_backoff& gate,
    const core::clock& clock, log_sink& sink, record_watcher_options options)
    : store{records}, observer{receiver}, outage{gate}, time{clock}, log{sink}, settings{std::move(options)} {}

asio::awaitable<core::result<record_page>> record_watcher::fetch(bool& complete) {
    complete = !this->revision.has_value();
    if(complete) {
        co_return co_await this->store.list(this->settings.kind);
    }
    co_return co_await this->store.watch(
        this->settings.kind, *this->revision, this->settings.wait, this->settings.age());
}

void record_watcher::note_failure(const core::error& failure) {
    if(!this->failing_since) {
        this->failing_since = this->time.now();
        this->log.write(log_line{"store_lost"}
                            .add("kind", to_string(this->settings.kind))
                            .add("reason", core::to_string(failure.cause))
                            .add("message", failure.message));
    }
}

void record_watcher::note_success() {
    this->outage.record_success();
    const auto now = this->time.now();
    this->answered = now;
    if(this->failing_since) {
        const auto outage = now - *this->failing_since;
        this->failing_since.reset();
        this->log.write(log_line{"store_regained"}
                            .add("kind", to_string(this->settings.kind))
                            .add("outage_ms", milliseconds(outage)));
        this->observer.store_returned(this->settings.kind, outage);
    }
}

asio::awaitable<void> record_watcher::run() {
    asio::steady_timer timer{co_await asio::this_coro::executor};
    while(true) {
        bool complete{};
        const auto page = co_await this->fetch(complete);
        std::chrono::milliseconds pause{0};
        if(page) {
            this->note_success();
            this->revision = std::max(page->revision, this->revision.value_or(0u));
            if(complete) {
                this->observer.listed(this->settings.kind, *page);
            } else if(!page->records.empty()) {
                this->observer.changed(this->settings.kind, *page);
                pause = this->settings.spacing;
            }
        } else if(!complete && page.error().cause == core::reason::conflict) {
            this->log.write(log_line{"store_history_gone"}.add("kind", to_string(this->settings.kind)));
            this->revision.reset();
        } else {
            this->note_failure(page.error());
            co_await this->outage.wait_after_failure(this->settings.kind);
        }
        if(pause.count() > 0) {
            timer.expires_after(pause);
            boost::system::error_code ignored{};
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
    }
}

} // namespace lagoonsaddle::edge
