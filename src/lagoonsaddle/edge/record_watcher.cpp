#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/this_coro.hpp>

#include <lagoonsaddle/core/task.hpp>
#include <lagoonsaddle/edge/record_watcher.hpp>
#include <lagoonsaddle/edge/sleep.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

namespace {

/*! @brief Delay after a stale read that returned the state before the last restore of the store. */
constexpr std::chrono::milliseconds stale_epoch_delay{100};
/*! @brief Longer than any call: each one ends by its own timeout. */
constexpr std::chrono::hours call_time_max{1};

[[nodiscard]] std::int64_t to_milliseconds(core::duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace

record_watcher::record_watcher(record_store& records, record_observer& receiver, store_backoff& shared_backoff,
    const core::clock& runtime_clock, log_sink& sink, record_watcher_options options)
    : store{records},
      observer{receiver},
      backoff{shared_backoff},
      clock{runtime_clock},
      log{sink},
      settings{std::move(options)},
      random{this->settings.seed} {}

bool record_watcher::is_list_due() const {
    return !this->last_revision || (this->list_again_at && this->clock.now() >= *this->list_again_at);
}

void record_watcher::check_end(const record_page& page) {
    if(page.is_complete()) {
        this->list_again_at.reset();
        return;
    }
    const auto interval = this->settings.truncated_list_interval;
    std::uniform_int_distribution<std::chrono::milliseconds::rep> drawn{0, interval.count() / 2};
    this->list_again_at = this->clock.now() + interval + std::chrono::milliseconds{drawn(this->random)};
    this->log.write(log_line{"store_list_truncated"}
                        .add("kind", to_string(this->settings.kind))
                        .add("records", static_cast<std::int64_t>(page.records.size()))
                        .add("after", *page.truncated_after));
}

std::chrono::milliseconds record_watcher::next_watch_timeout(freshness required) {
    if(this->failing_since || this->connection_suspected) {
        return this->settings.probe_timeout;
    }
    const auto limit =
        required == freshness::exact ? this->settings.exact_watch_limit() : std::chrono::milliseconds::max();
    if(!this->received_records || !this->settings.drawn_timeout_min) {
        return std::min(limit, this->settings.watch_timeout);
    }
    std::uniform_int_distribution<std::chrono::milliseconds::rep> duration{
        this->settings.drawn_timeout_min->count(), this->settings.watch_timeout.count()};
    return std::min(limit, std::chrono::milliseconds{duration(this->random)});
}

asio::awaitable<record_watcher::fetched_page> record_watcher::fetch_records(call_kind& call) {
    call = {.is_list = this->is_list_due(), .begun = this->clock.now()};
    if(call.is_list) {
        co_return co_await this->store.list(this->settings.kind);
    }
    // A task of its own, so that a call on a connection that has gone silent need not be waited for.
    auto result = std::make_shared<call_queue>();
    call.required = this->settings.required_freshness();
    const auto timeout = this->next_watch_timeout(call.required);
    const auto executor = co_await asio::this_coro::executor;
    asio::co_spawn(
        executor,
        [this, revision = *this->last_revision, timeout, required = call.required, result] {
            return this->watch(revision, timeout, required, result);
        },
        core::task_end{"record_watch"});
    this->open_call = result;
    auto page = co_await result->pop(call_time_max);
    this->open_call.reset();
    co_return page.value_or(std::nullopt);
}

asio::awaitable<void> record_watcher::watch(
    std::uint64_t revision, std::chrono::milliseconds timeout, freshness required, std::shared_ptr<call_queue> call) {
    auto page = co_await this->store.watch(this->settings.kind, revision, timeout, required);
    call->push(std::move(page));
}

void record_watcher::begin_anew() {
    if(this->open_call && !this->failing_since && !this->connection_suspected) {
        this->connection_suspected = true;
        this->open_call->push(std::nullopt);
    }
}

asio::awaitable<core::result<record_page>> record_watcher::read_ahead() {
    if(!this->last_revision || !this->last_epoch) {
        co_return core::fail(core::reason::unavailable, "the records have not been listed yet");
    }
    auto page = co_await this->store.watch(
        this->settings.kind, *this->last_revision, this->settings.probe_timeout, freshness::exact);
    if(page && page->epoch != this->last_epoch) {
        co_return core::fail(core::reason::conflict, "the store was restored from a copy");
    }
    co_return page;
}

void record_watcher::handle_failure(const core::error& failure, bool is_list, core::duration elapsed) {
    this->log.write(log_line{"store_call_failed"}
                        .add("kind", to_string(this->settings.kind))
                        .add("call", is_list ? "list" : "watch")
                        .add("ms", to_milliseconds(elapsed))
                        .add("probe", this->backoff.is_probing(this->settings.kind) ? 1 : 0)
                        .add("reason", core::to_string(failure.cause))
                        .add("message", failure.message));
    const bool was_failing = this->failing_since.has_value();
    if(!was_failing) {
        this->failing_since = this->clock.now();
        this->log.write(log_line{"store_lost"}
                            .add("kind", to_string(this->settings.kind))
                            .add("reason", core::to_string(failure.cause))
                            .add("message", failure.message));
    }
    if(!was_failing && !is_list && failure.cause == core::reason::timeout) {
        this->observer.on_watch_silent(this->settings.kind);
    }
}

void record_watcher::handle_success() {
    this->backoff.record_success();
    const auto now = this->clock.now();
    this->last_success_at = now;
    if(this->failing_since) {
        const auto outage = now - *this->failing_since;
        this->failing_since.reset();
        this->log.write(log_line{"store_regained"}
                            .add("kind", to_string(this->settings.kind))
                            .add("outage_ms", to_milliseconds(outage)));
        this->observer.on_store_recovered(this->settings.kind, outage);
    }
}

void record_watcher::handle_restore(const record_page& page) {
    this->log.write(log_line{"store_restored"}
                        .add("kind", to_string(this->settings.kind))
                        .add("epoch", static_cast<std::int64_t>(page.epoch))
                        .add("previous", static_cast<std::int64_t>(*this->last_epoch))
                        .add("revision", static_cast<std::int64_t>(page.revision))
                        .add("last_revision", static_cast<std::int64_t>(this->last_revision.value_or(0u))));
    this->last_revision.reset();
    this->observer.on_store_restored(this->settings.kind);
}

std::chrono::milliseconds record_watcher::apply_page(const record_page& page, const call_kind& call) {
    if(this->last_epoch && page.epoch < *this->last_epoch) {
        return stale_epoch_delay;
    }
    const bool restored = this->last_epoch && page.epoch > *this->last_epoch;
    const bool is_first = !this->last_epoch;
    if(restored) {
        this->handle_restore(page);
    }
    this->last_epoch = page.epoch;
    if(restored && !call.is_list) {
        return std::chrono::milliseconds{0};
    }
    const auto delay = this->pass_on(page, call.is_list, is_first);
    if(call.required == freshness::exact) {
        this->observer.on_exact_read(this->settings.kind, call.begun);
    }
    return delay;
}

std::chrono::milliseconds record_watcher::pass_on(const record_page& page, bool is_list, bool is_first) {
    this->received_records = is_list || !page.records.empty();
    if(page.is_complete() || !this->last_revision) {
        this->last_revision = std::max(page.revision, this->last_revision.value_or(0u));
    }
    if(is_list) {
        this->check_end(page);
        this->observer.on_list(this->settings.kind, page);
        return is_first ? this->settings.first_watch_delay : std::chrono::milliseconds{0};
    }
    if(page.records.empty()) {
        return std::chrono::milliseconds{0};
    }
    this->observer.on_changes(this->settings.kind, page);
    return this->settings.delay_after_changes;
}

asio::awaitable<void> record_watcher::run() {
    while(true) {
        call_kind call{};
        const auto fetched = co_await this->fetch_records(call);
        if(!fetched) {
            this->log.write(log_line{"store_watch_begun_anew"}.add("kind", to_string(this->settings.kind)));
            continue;
        }
        const auto& page = *fetched;
        this->connection_suspected = false;
        std::chrono::milliseconds delay{0};
        if(page) {
            this->handle_success();
            this->history_gone = this->history_gone && call.is_list;
            delay = this->apply_page(*page, call);
        } else if(!call.is_list && page.error().cause == core::reason::conflict) {
            this->log.write(log_line{"store_history_gone"}.add("kind", to_string(this->settings.kind)));
            this->last_revision.reset();
            if(std::exchange(this->history_gone, true)) {
                // The list before this watch has not helped, so that reading on at once would spin.
                co_await this->backoff.wait_after_failure(this->settings.kind);
            }
        } else {
            this->handle_failure(page.error(), call.is_list, this->clock.now() - call.begun);
            co_await this->backoff.wait_after_failure(this->settings.kind);
        }
        if(delay.count() > 0) {
            co_await sleep_for(delay);
        }
    }
}

} // namespace lagoonsaddle::edge
