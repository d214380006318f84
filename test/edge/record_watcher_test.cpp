#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>

#include <lagoonsaddle/edge/record_watcher.hpp>

namespace lagoonsaddle::edge {

namespace {

namespace asio = boost::asio;

/*! @brief Returns prepared responses, and stops the `io_context` after the last one. */
class scripted_store final : public record_store {
public:
    explicit scripted_store(asio::io_context& io) : context{io} {}

    asio::awaitable<core::result<record_page>> list(record_kind) override {
        this->calls.emplace_back("list");
        co_return this->next_response();
    }

    asio::awaitable<core::result<record_page>> watch(
        record_kind, std::uint64_t revision, std::chrono::milliseconds timeout, freshness required) override {
        this->watch_timeouts.push_back(timeout);
        if(this->takes_time) {
            this->takes_time();
        }
        this->calls.push_back("watch " + std::to_string(revision) + (required == freshness::stale ? " stale" : ""));
        if(std::exchange(this->hangs, false)) {
            this->hung();
            asio::steady_timer never{this->context, std::chrono::hours{1}};
            co_await never.async_wait(asio::use_awaitable);
        }
        co_return this->next_response();
    }

    asio::awaitable<core::result<stored_lease>> read_lease(std::string) override {
        co_return core::fail(core::reason::not_found, "not used");
    }

    asio::awaitable<core::result<stored_lease>> write_lease(lease_record, std::uint64_t) override {
        co_return core::fail(core::reason::not_found, "not used");
    }

    asio::awaitable<core::result<std::uint64_t>> write_streams(stream_record, std::uint64_t) override {
        co_return core::fail(core::reason::unavailable, "not used");
    }

    [[nodiscard]] std::uint64_t epoch() const noexcept override {
        return 0u;
    }

    std::deque<core::result<record_page>> responses{};
    std::vector<std::string> calls{};
    std::vector<std::chrono::milliseconds> watch_timeouts{};
    /*! @brief Whether the next watch is not answered; `hung` is called in it. */
    bool hangs{false};
    std::function<void()> hung{};
    /*! @brief Called in each watch. */
    std::function<void()> takes_time{};

private:
    [[nodiscard]] core::result<record_page> next_response() {
        if(this->responses.empty()) {
            this->context.stop();
            return core::fail(core::reason::unavailable, "no response is left");
        }
        auto response = std::move(this->responses.front());
        this->responses.pop_front();
        return response;
    }

    asio::io_context& context;
};

class recording_observer final : public record_observer {
public:
    void on_list(record_kind, const record_page& page) override {
        this->events.push_back("listed " + std::to_string(page.revision));
    }

    void on_changes(record_kind, const record_page& page) override {
        this->events.push_back("changed " + std::to_string(page.revision));
    }

    void on_exact_read(record_kind, core::time_point begun) override {
        this->exact_reads.push_back(begun);
    }

    void on_store_recovered(record_kind, core::duration) override {
        this->events.emplace_back("returned");
    }

    void on_store_restored(record_kind) override {
        this->events.emplace_back("restored");
    }

    void on_watch_silent(record_kind) override {
        ++this->silent_watches;
    }

    std::vector<std::string> events{};
    /*! @brief When the reads of the current data began. */
    std::vector<core::time_point> exact_reads{};
    unsigned silent_watches{};
};

class recording_log final : public log_sink {
public:
    void write(const log_line& line) override {
        this->events.emplace_back(line.event());
    }

    std::vector<std::string> events{};
};

struct record_watcher_fixture {
    void run() {
        record_watcher watcher{this->store, this->observer, this->backoff, this->clock, this->log,
            {.kind = record_kind::upstreams,
                .watch_timeout = watch_timeout,
                .drawn_timeout_min = this->drawn_timeout_min,
                .seed = this->seed,
                .probe_timeout = probe_timeout,
                .first_watch_delay = this->first_watch_delay,
                .required_freshness = [this] { return this->required_freshness; },
                .exact_watch_limit =
                    [this] {
                        return this->exact_watch_limit;
                    }}};
        asio::co_spawn(
            this->context, [&watcher] { return watcher.run(); }, asio::detached);
        this->context.run();
    }

    [[nodiscard]] static record_page page(std::uint64_t revision, bool change) {
        record_page value{.revision = revision};
        if(change) {
            value.records.push_back({.name = "u"});
        }
        return value;
    }

    using string_list = std::vector<std::string>;
    static constexpr std::chrono::milliseconds watch_timeout{2'000};
    static constexpr std::chrono::milliseconds probe_timeout{1};

    asio::io_context context{};
    core::manual_clock clock{};
    scripted_store store{this->context};
    recording_observer observer{};
    store_backoff backoff{this->context};
    recording_log log{};
    freshness required_freshness{freshness::exact};
    std::chrono::milliseconds first_watch_delay{0};
    std::chrono::milliseconds exact_watch_limit{std::chrono::milliseconds::max()};
    std::optional<std::chrono::milliseconds> drawn_timeout_min{};
    std::uint32_t seed{1u};
};

} // namespace

// Guards against missed changes: a conflict means that the store no longer has the history since the last revision.
TEST_CASE_FIXTURE(record_watcher_fixture, "run_history_gone_lists_again") {
    this->store.responses.emplace_back(page(5u, true));
    this->store.responses.emplace_back(page(7u, true));
    this->store.responses.emplace_back(core::fail(core::reason::conflict, "history gone"));
    this->store.responses.emplace_back(page(9u, true));
    this->run();
    CHECK(this->store.calls == string_list{"list", "watch 5", "watch 7", "list", "watch 9"});
    CHECK(this->observer.events == string_list{"listed 5", "changed 7", "listed 9"});
}

// Guards against lists without a pause from a store whose every watch says that its history is gone.
TEST_CASE_FIXTURE(record_watcher_fixture, "run_history_gone_again_waits_before_the_next_list") {
    for(const auto revision : {5u, 6u}) {
        this->store.responses.emplace_back(page(revision, true));
        this->store.responses.emplace_back(core::fail(core::reason::conflict, "history gone"));
    }
    const auto begin = std::chrono::steady_clock::now();
    this->run();
    // Half of the shortest delay of the backoff, which draws between half and all of it.
    CHECK(std::chrono::steady_clock::now() - begin >= store_backoff_options{}.delay_min / 2);
    CHECK(this->store.calls == string_list{"list", "watch 5", "list", "watch 6", "list"});
}

// Guards against records behind an entry that ended a list: changes of them since the last revision, which a later list
// may lack too, and what never changes.
TEST_CASE_FIXTURE(record_watcher_fixture, "run_truncated_list_is_read_again_and_leaves_the_revision") {
    const auto truncated_page = [](std::uint64_t revision) {
        auto value = page(revision, true);
        value.truncated_after = "t";
        return value;
    };
    this->store.responses.emplace_back(truncated_page(5u));
    this->store.responses.emplace_back(page(6u, true));
    this->store.responses.emplace_back(truncated_page(9u));
    this->store.responses.emplace_back(page(7u, true));
    this->store.responses.emplace_back(page(10u, true));
    this->store.responses.emplace_back(page(11u, true));
    // As much as the longest time until a truncated list is read again.
    this->store.takes_time = [this] {
        this->clock.advance(std::chrono::seconds{15});
    };
    this->run();
    CHECK(this->store.calls == string_list{"list", "watch 5", "list", "watch 6", "list", "watch 10", "watch 11"});
    CHECK(std::ranges::count(this->log.events, "store_list_truncated") == 2);
}

// Guards against a restore of the store that no log line shows.
TEST_CASE_FIXTURE(record_watcher_fixture, "run_restored_store_is_logged_once") {
    for(const auto epoch : {1u, 1u, 2u, 2u}) {
        this->store.responses.emplace_back(record_page{.revision = 5u, .epoch = epoch});
    }
    this->run();
    CHECK(std::ranges::count(this->log.events, "store_restored") == 1);
}

// Guards against changes that a restored store wrote below the last revision: a watch from there would skip them.
TEST_CASE_FIXTURE(record_watcher_fixture, "run_restored_store_lists_again") {
    this->store.responses.emplace_back(record_page{.records = {{.name = "u"}}, .revision = 5u, .epoch = 1u});
    this->store.responses.emplace_back(record_page{.records = {{.name = "u"}}, .revision = 7u, .epoch = 2u});
    this->store.responses.emplace_back(record_page{.records = {{.name = "u"}}, .revision = 8u, .epoch = 2u});
    this->run();
    CHECK(this->store.calls == string_list{"list", "watch 5", "list", "watch 8"});
    CHECK(this->observer.events == string_list{"listed 5", "restored", "listed 8"});
}

// Guards against changes that a restore has undone: a stale read may return them after it.
TEST_CASE_FIXTURE(record_watcher_fixture, "run_page_of_earlier_epoch_is_ignored") {
    this->store.responses.emplace_back(record_page{.records = {{.name = "u"}}, .revision = 5u, .epoch = 2u});
    this->store.responses.emplace_back(record_page{.records = {{.name = "u"}}, .revision = 9u, .epoch = 1u});
    this->run();
    CHECK(this->store.calls == string_list{"list", "watch 5", "watch 5"});
    CHECK(this->observer.events == string_list{"listed 5"});
}

// Guards against removing upstreams whose entries expired during an outage: the observer has to learn of the recovery
// before it receives the changes.
TEST_CASE_FIXTURE(record_watcher_fixture, "run_after_outage_reports_recovery_before_changes") {
    this->store.responses.emplace_back(page(5u, true));
    this->store.responses.emplace_back(core::fail(core::reason::timeout, "silent"));
    this->store.responses.emplace_back(page(6u, true));
    this->required_freshness = freshness::stale;
    this->run();
    CHECK(this->store.calls == string_list{"list", "watch 5 stale", "watch 5 stale", "watch 6 stale"});
    CHECK(this->observer.events == string_list{"listed 5", "returned", "changed 6"});
}

// Guards against records that are late after an outage: a long watch that begins before the store returns may hang.
TEST_CASE_FIXTURE(record_watcher_fixture, "run_after_failure_watches_briefly_until_store_answers") {
    this->store.responses.emplace_back(page(5u, true));
    this->store.responses.emplace_back(core::fail(core::reason::timeout, "silent"));
    this->store.responses.emplace_back(core::fail(core::reason::timeout, "silent"));
    this->store.responses.emplace_back(page(5u, false));
    this->run();
    CHECK(this->store.watch_timeouts ==
          std::vector<std::chrono::milliseconds>{watch_timeout, probe_timeout, probe_timeout, watch_timeout});
}

// Guards against a watch that waits on a silent connection although another watch of the node has shown the silence.
TEST_CASE_FIXTURE(record_watcher_fixture, "begin_anew_open_watch_is_given_up_for_a_short_one") {
    record_watcher watcher{this->store, this->observer, this->backoff, this->clock, this->log,
        {.kind = record_kind::versions, .watch_timeout = watch_timeout, .probe_timeout = probe_timeout}};
    this->store.hangs = true;
    this->store.hung = [this, &watcher] {
        asio::post(this->context, [&watcher] {
            watcher.begin_anew();
            watcher.begin_anew();
        });
    };
    this->store.responses.emplace_back(page(5u, true));
    this->store.responses.emplace_back(page(6u, true));
    this->store.responses.emplace_back(core::fail(core::reason::timeout, "silent"));
    asio::co_spawn(
        this->context, [&watcher] { return watcher.run(); }, asio::detached);
    this->context.run();
    CHECK(this->store.calls == string_list{"list", "watch 5", "watch 5", "watch 6", "watch 6"});
    CHECK(this->store.watch_timeouts ==
          std::vector<std::chrono::milliseconds>{watch_timeout, probe_timeout, watch_timeout, probe_timeout});
    CHECK(this->observer.events == string_list{"listed 5", "changed 6"});
    CHECK(this->observer.silent_watches == 1u);
}

// Guards against nodes whose watches all end late together after connections went silent: nodes that start together, or
// that have received the same change.
TEST_CASE("run_many_nodes_watch_for_different_times_after_records") {
    constexpr auto half = record_watcher_fixture::watch_timeout / 2;
    // Small seeds give small first numbers.
    constexpr std::uint32_t seed_step{67108859u};
    std::array<std::set<std::chrono::milliseconds>, 3u> timeouts{};
    for(std::uint32_t node{1u}; node <= 32u; ++node) {
        record_watcher_fixture fixture{};
        fixture.drawn_timeout_min = half;
        fixture.seed = node * seed_step;
        fixture.store.responses.emplace_back(record_watcher_fixture::page(5u, true));
        fixture.store.responses.emplace_back(record_watcher_fixture::page(6u, true));
        fixture.store.responses.emplace_back(record_watcher_fixture::page(6u, false));
        fixture.run();
        REQUIRE(fixture.store.watch_timeouts.size() == timeouts.size());
        for(std::size_t call{}; call < timeouts.size(); ++call) {
            timeouts.at(call).insert(fixture.store.watch_timeouts[call]);
        }
    }
    for(const auto call : {0u, 1u}) {
        CHECK(timeouts.at(call).size() > 16u);
        CHECK(*timeouts.at(call).begin() >= half);
        CHECK(*timeouts.at(call).begin() < half + half / 4);
        CHECK(*timeouts.at(call).rbegin() <= record_watcher_fixture::watch_timeout);
    }
    CHECK(timeouts.at(2u) == std::set{record_watcher_fixture::watch_timeout});
}

// Guards against exact reads by all nodes of a large fleet at its start, when they have not met each other yet.
TEST_CASE_FIXTURE(record_watcher_fixture, "run_first_watch_waits_until_the_fleet_is_known") {
    this->first_watch_delay = std::chrono::milliseconds{60};
    this->required_freshness = freshness::exact;
    asio::steady_timer joined{this->context, std::chrono::milliseconds{30}};
    joined.async_wait([this](const boost::system::error_code&) { this->required_freshness = freshness::stale; });
    this->store.responses.emplace_back(page(5u, false));
    this->store.responses.emplace_back(page(7u, true));
    this->run();
    CHECK(this->store.calls == string_list{"list", "watch 5 stale", "watch 7 stale"});
}

// Guards against data that pass for newer than they are: a watch tells the state at its begin, and a stale or failed
// one, or one from before the store was restored, tells nothing.
TEST_CASE_FIXTURE(record_watcher_fixture, "run_exact_read_is_reported_with_its_begin") {
    using std::chrono::seconds;
    this->clock.advance(seconds{100});
    const auto begin = this->clock.now();
    this->store.takes_time = [this] {
        this->clock.advance(seconds{1});
        this->required_freshness = this->store.calls.size() >= 4u ? freshness::stale : freshness::exact;
    };
    this->store.responses.emplace_back(record_page{.revision = 5u, .epoch = 2u});
    this->store.responses.emplace_back(record_page{.revision = 5u, .epoch = 2u});
    this->store.responses.emplace_back(core::fail(core::reason::timeout, "silent"));
    this->store.responses.emplace_back(record_page{.records = {{.name = "u"}}, .revision = 9u, .epoch = 1u});
    this->store.responses.emplace_back(record_page{.records = {{.name = "u"}}, .revision = 6u, .epoch = 2u});
    this->store.responses.emplace_back(record_page{.revision = 6u, .epoch = 2u});
    this->run();
    CHECK(this->store.calls ==
          string_list{"list", "watch 5", "watch 5", "watch 5", "watch 5", "watch 6 stale", "watch 6 stale"});
    CHECK(this->observer.exact_reads == std::vector<core::time_point>{begin, begin, begin + seconds{3}});
}

// Guards against a watch that confirms the configuration too late since it waits for long, also after records.
TEST_CASE_FIXTURE(record_watcher_fixture, "run_exact_watch_waits_no_longer_than_its_limit") {
    this->drawn_timeout_min = watch_timeout / 2;
    this->exact_watch_limit = std::chrono::milliseconds{300};
    this->store.responses.emplace_back(page(5u, true));
    this->store.responses.emplace_back(page(5u, false));
    this->run();
    CHECK(this->store.watch_timeouts == std::vector<std::chrono::milliseconds>(2u, this->exact_watch_limit));
    record_watcher_fixture stale{};
    stale.exact_watch_limit = this->exact_watch_limit;
    stale.required_freshness = freshness::stale;
    stale.store.responses.emplace_back(page(5u, false));
    stale.run();
    CHECK(stale.store.watch_timeouts == std::vector{watch_timeout});
}

} // namespace lagoonsaddle::edge
