#include <deque>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <lagoonsaddle/edge/record_watcher.hpp>

namespace lagoonsaddle::edge {

namespace {

namespace asio = boost::asio;

/*! @brief Answers calls from a script and stops the context at its end. */
class scripted_store final : public record_store {
public:
    explicit scripted_store(asio::io_context& io) : context{io} {}

    asio::awaitable<core::result<record_page>> list(record_kind) override {
        this->calls.emplace_back("list");
        co_return this->next();
    }

    asio::awaitable<core::result<record_page>> watch(
        record_kind, std::uint64_t revision, std::chrono::milliseconds, freshness age) override {
        this->calls.push_back("watch " + std::to_string(revision) + (age == freshness::stale ? " stale" : ""));
        co_return this->next();
    }

    asio::awaitable<core::result<stored_lease>> read_lease(std::string) override {
        co_return core::fail(core::reason::not_found, "not used");
    }

    asio::awaitable<core::result<stored_lease>> write_lease(lease_record, std::uint64_t) override {
        co_return core::fail(core::reason::not_found, "not used");
    }

    std::deque<core::result<record_page>> answers{};
    std::vector<std::string> calls{};

private:
    [[nodiscard]] core::result<record_page> next() {
        if(this->answers.empty()) {
            this->context.stop();
            return core::fail(core::reason::unavailable, "the script has ended");
        }
        auto answer = std::move(this->answers.front());
        this->answers.pop_front();
        return answer;
    }

    asio::io_context& context;
};

class recording_observer final : public record_observer {
public:
    void listed(record_kind, const record_page& page) override {
        this->events.push_back("listed " + std::to_string(page.revision));
    }

    void changed(record_kind, const record_page& page) override {
        this->events.push_back("changed " + std::to_string(page.revision));
    }

    void store_returned(record_kind, core::duration) override {
        this->events.emplace_back("returned");
    }

    std::vector<std::string> events{};
};

class silent_log final : public log_sink {
public:
    void write(const log_line&) override {}
};

struct record_watcher_fixture {
    void run() {
        record_watcher watcher{this->store, this->observer, this->gate, this->clock, this->log,
            {.kind = record_kind::upstreams, .age = [this] {
                 return this->age;
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

    using strings = std::vector<std::string>;

    asio::io_context context{};
    core::manual_clock clock{};
    scripted_store store{this->context};
    recording_observer observer{};
    store_backoff gate{this->context};
    silent_log log{};
    freshness age{freshness::exact};
};

} // namespace

// Guards against changes that are missed because the history of the store is gone.
TEST_CASE_FIXTURE(record_watcher_fixture, "run_history_gone_lists_again") {
    this->store.answers.emplace_back(page(5u, true));
    this->store.answers.emplace_back(page(7u, true));
    this->store.answers.emplace_back(core::fail(core::reason::conflict, "history gone"));
    this->store.answers.emplace_back(page(9u, true));
    this->run();
    CHECK(this->store.calls == strings{"list", "watch 5", "watch 7", "list", "watch 9"});
    CHECK(this->observer.events == strings{"listed 5", "changed 7", "listed 9"});
}

// Guards against entries that lapsed in an outage and count as gone: the return is announced before them.
TEST_CASE_FIXTURE(record_watcher_fixture, "run_after_outage_announces_return_first") {
    this->store.answers.emplace_back(page(5u, true));
    this->store.answers.emplace_back(core::fail(core::reason::timeout, "silent"));
    this->store.answers.emplace_back(page(6u, true));
    this->age = freshness::stale;
    this->run();
    CHECK(this->store.calls == strings{"list", "watch 5 stale", "watch 5 stale", "watch 6 stale"});
    CHECK(this->observer.events == strings{"listed 5", "returned", "changed 6"});
}

} // namespace lagoonsaddle::edge
