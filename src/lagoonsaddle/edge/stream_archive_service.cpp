#include <algorithm>
#include <utility>
#include <variant>

#include <boost/asio/co_spawn.hpp>

#include <lagoonsaddle/core/task.hpp>
#include <lagoonsaddle/edge/sleep.hpp>
#include <lagoonsaddle/edge/stream_archive_service.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

/*! @brief Time for which a stream may last when no route that can be resumed has a timeout. */
constexpr milliseconds default_stream_time{30'000};
/*! @brief Interval at which the end of the first read is looked for. */
constexpr milliseconds load_poll_interval{10};

} // namespace

milliseconds longest_stream_time(const route_table& routes) {
    const auto longest = routes.longest_resumable_timeout();
    return longest.count() > 0 ? longest : default_stream_time;
}

milliseconds write_interval(const stream_archive_service_options& options, std::size_t live_nodes) {
    return std::max(options.write_interval_min, options.fleet_write_interval * static_cast<int>(live_nodes));
}

stream_archive_service::stream_archive_service(
    stream_archive_context uses, stream_archive_service_options options, load_function receiver)
    : context{uses}, settings{std::move(options)}, on_loaded{std::move(receiver)} {}

void stream_archive_service::start() {
    core::start_service(this->context.io, "stream_archive", [self = this->shared_from_this()] { return self->run(); });
}

asio::awaitable<void> stream_archive_service::wait_until_loaded(milliseconds timeout) const {
    const auto end = this->context.clock.now() + timeout;
    while(!this->loaded && this->context.clock.now() < end) {
        co_await sleep_for(load_poll_interval);
    }
}

asio::awaitable<void> stream_archive_service::run() {
    this->load(co_await this->read_records());
    while(true) {
        this->context.archive.observe(this->observe_versions(), core::unix_time(), this->context.clock.now());
        auto delay = this->settings.poll_interval;
        if(this->is_write_due()) {
            co_await this->write();
            delay = write_interval(this->settings, this->count_live_nodes());
        }
        co_await sleep_for(delay);
    }
}

bool stream_archive_service::is_write_due() {
    if(!this->context.archive.is_outdated(this->context.store.epoch())) {
        return false;
    }
    const auto now = this->context.clock.now();
    if(!this->first_write_at) {
        this->first_write_at = now + this->settings.first_write_delay;
    }
    return now >= *this->first_write_at;
}

asio::awaitable<record_page> stream_archive_service::read_records() {
    while(true) {
        auto page = co_await this->context.store.list(record_kind::streams);
        if(page) {
            this->context.backoff.record_success();
            const auto own = std::ranges::find(page->records, this->settings.node_name, &record_change::name);
            this->revision = own == page->records.end() ? 0u : own->revision;
            co_return std::move(*page);
        }
        co_await this->context.backoff.wait_after_failure(record_kind::streams);
    }
}

void stream_archive_service::load(const record_page& page) {
    std::vector<stream_record> records{};
    for(const auto& change : page.records) {
        if(const auto* record = std::get_if<stream_record>(&change.value)) {
            records.push_back(*record);
        }
    }
    const auto streams = this->context.archive.load(records, page.epoch, core::unix_time(), this->context.clock.now());
    this->context.log.write(log_line{"stream_records_loaded"}
                                .add("records", static_cast<std::int64_t>(records.size()))
                                .add("streams", static_cast<std::int64_t>(streams.size())));
    this->on_loaded(streams);
    this->loaded = true;
}

asio::awaitable<void> stream_archive_service::write() {
    auto record = this->context.archive.make_record(this->context.store.epoch(), core::unix_time());
    const auto written = co_await this->context.store.write_streams(std::move(record), this->revision);
    if(written) {
        this->revision = *written;
        this->context.backoff.record_success();
        co_return;
    }
    this->context.archive.write_failed();
    this->context.log.write(log_line{"stream_record_not_written"}
                                .add("reason", core::to_string(written.error().cause))
                                .add("message", written.error().message));
    if(written.error().cause != core::reason::conflict) {
        co_await this->context.backoff.wait_after_failure(record_kind::streams);
    }
    // A write without an answer may have been carried out, so that the revision is read again.
    static_cast<void>(co_await this->read_records());
}

version_observation stream_archive_service::observe_versions() const {
    version_observation seen{.seen_since = this->context.upstreams.complete_from(),
        .stream_time = longest_stream_time(this->context.routes)};
    for(const auto& [id, upstream] : this->context.upstreams.all()) {
        seen.versions[upstream.entry.service].insert(upstream.entry.software_version);
    }
    return seen;
}

std::size_t stream_archive_service::count_live_nodes() const {
    const auto members = this->context.membership.members();
    return static_cast<std::size_t>(std::ranges::count_if(*members, &fleet::member::is_live));
}

} // namespace lagoonsaddle::edge
