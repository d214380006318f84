#include <array>
#include <cstdlib>
#include <future>
#include <map>
#include <random>
#include <string>
#include <utility>

#include <boost/asio/detached.hpp>

#include "loopback_server.hpp"
#include <lagoonsaddle/platform/config_store.hpp>

namespace lagoonsaddle::platform {

namespace {

using save_result = tl::expected<object_version, save_failure>;

/*! @brief Forwards calls with random faults and records every stored value by its version. */
class recording_store final : public object_store {
public:
    explicit recording_store(memory_object_store& store, std::mt19937_64& generator)
        : target{store}, random{generator} {}

    boost::asio::awaitable<core::result<std::optional<object>>> get(std::string name, object_version known) override {
        this->inject_random_faults(false);
        return this->target.get(std::move(name), known);
    }

    boost::asio::awaitable<core::result<object_version>> put(
        std::string name, std::string body, object_version expected) override {
        this->inject_random_faults(true);
        const auto object_name = name;
        auto written = co_await this->target.put(std::move(name), std::move(body), expected);
        this->record_current_value(object_name);
        co_return written;
    }

    boost::asio::awaitable<core::result<std::optional<object>>> watch(
        std::string name, object_version known, std::chrono::milliseconds timeout) override {
        return this->target.watch(std::move(name), known, timeout);
    }

    boost::asio::awaitable<core::result<std::vector<object>>> list(std::string prefix) override {
        return this->target.list(std::move(prefix));
    }

    std::map<object_version, std::string> stored_values{};

private:
    void inject_random_faults(bool write) {
        const auto drawn = std::uniform_int_distribution<unsigned>{0u, 9u}(this->random);
        memory_store_faults faults{};
        faults.latency_steps = drawn;
        faults.drop_answers = (write && drawn < 3u) ? 1u : 0u;
        faults.drop_writes = (write && drawn == 9u) ? 1u : 0u;
        faults.outage = !write && drawn == 8u;
        this->target.set_faults(faults);
    }

    void record_current_value(const std::string& name) {
        const auto faults = this->target.faults();
        this->target.set_faults({});
        if(const auto now = this->target.get_sync(name, 0u); now && *now) {
            const auto document = decode_config(**now).value();
            this->stored_values.emplace(document.current.version, document.current.value);
        }
        this->target.set_faults(faults);
    }

    memory_object_store& target;
    std::mt19937_64& random;
};

struct config_store_fixture {
    template<typename Type>
    Type await(boost::asio::awaitable<Type> operation) {
        this->context.restart();
        auto done = boost::asio::co_spawn(this->context, std::move(operation), boost::asio::use_future);
        this->context.run();
        return done.get();
    }

    save_result save(std::string value, object_version expected, std::string author = "anu") {
        return this->await(this->store.save(config_change{.name = "rules",
            .value = std::move(value),
            .expected = expected,
            .author = std::move(author),
            .changed_at = std::chrono::milliseconds{7}}));
    }

    config_document load() {
        return this->await(this->store.load("rules", 0u)).value().value();
    }

    boost::asio::io_context context{};
    memory_object_store objects{};
    config_store store{this->objects, config_store_options{.history_entries = 3u}};
};

} // namespace

// Guards against a lost update: an operator overwrites a change that they have not read.
TEST_CASE_FIXTURE(config_store_fixture, "save_stale_version_returns_conflict_with_current_value") {
    REQUIRE(this->save("one", 0u) == 1u);
    REQUIRE(this->save("two", 1u, "nimal") == 2u);
    for(const object_version stale : {0u, 1u, 3u}) {
        const auto refused = this->save("three", stale);
        REQUIRE_FALSE(refused.has_value());
        CHECK(refused.error().error.cause == core::reason::conflict);
        CHECK(refused.error().error.verdict == core::verdict::not_run);
        REQUIRE(refused.error().current.has_value());
        CHECK(refused.error().current->current.value == "two");
        CHECK(refused.error().current->current.author == "nimal");
        CHECK(refused.error().current->current.version == 2u);
    }
    CHECK(this->load().current.value == "two");
    CHECK_FALSE(this->await(this->store.load("rules", 2u)).value().has_value());
}

// Guards against reporting failure for a change that took effect, or success for one that did not.
TEST_CASE_FIXTURE(config_store_fixture, "save_lost_response_is_resolved_by_change_id") {
    this->objects.set_faults({.drop_answers = 1u});
    CHECK(this->save("one", 0u) == 1u);
    this->objects.set_faults({.drop_writes = 2u});
    CHECK(this->save("two", 1u) == 2u);
    this->objects.set_faults({.drop_writes = 3u});
    const auto lost = this->save("three", 2u);
    REQUIRE_FALSE(lost.has_value());
    CHECK(lost.error().error.verdict == core::verdict::may_have_run);
    this->objects.set_faults({.outage = true});
    const auto down = this->save("three", 2u);
    REQUIRE_FALSE(down.has_value());
    CHECK(down.error().error.cause == core::reason::unavailable);
    CHECK(down.error().error.verdict == core::verdict::not_run);
    this->objects.set_faults({});
    CHECK(this->load().current.value == "two");
    CHECK(this->load().history.size() == 1u);
}

// Guards against a false result when several operators change one object concurrently and responses are lost.
TEST_CASE_FIXTURE(config_store_fixture, "save_concurrent_operators_with_lost_responses_reports_true_outcome") {
    const char* wanted = std::getenv("LAGOONSADDLE_SEEDS");
    const auto seeds = (wanted == nullptr) ? 1'000u : std::strtoull(wanted, nullptr, 10);
    for(std::uint64_t seed{1u}; seed <= seeds; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random{seed};
        memory_object_store memory{};
        recording_store recorder{memory, random};
        // With a history of one value, a change is often dropped from it before its outcome is determined.
        config_store shared{recorder, config_store_options{.history_entries = 1u}};
        std::map<std::string, save_result> reports{};
        const auto run_operator = [&](std::string name) -> boost::asio::awaitable<void> {
            object_version known{};
            for(int number{}; number < 4; ++number) {
                const auto value = name + std::to_string(number);
                config_change change{};
                change.name = "rules";
                change.value = value;
                change.expected = known;
                auto report = co_await shared.save(std::move(change));
                if(report) {
                    known = *report;
                } else if(report.error().current) {
                    known = report.error().current->current.version;
                }
                reports.emplace(value, std::move(report));
            }
        };
        boost::asio::io_context local{};
        for(const std::string name : {"a", "b", "c"}) {
            boost::asio::co_spawn(local, run_operator(name), boost::asio::detached);
        }
        local.run();
        REQUIRE(reports.size() == 12u);
        for(const auto& [value, report] : reports) {
            CAPTURE(value);
            if(report) {
                REQUIRE(recorder.stored_values.contains(*report));
                CHECK(recorder.stored_values.at(*report) == value);
            } else if(report.error().error.verdict == core::verdict::not_run) {
                for(const auto& [version, stored] : recorder.stored_values) {
                    CHECK(stored != value);
                }
            }
        }
    }
}

// Guards against an undo that removes a version from the history or restores the wrong value.
TEST_CASE_FIXTURE(config_store_fixture, "undo_kept_version_writes_its_value_as_new_version") {
    const std::array<const char*, 5u> values{"one", "two", "three", "four", "five"};
    for(object_version version{}; version < values.size(); ++version) {
        REQUIRE(this->save(values[version], version) == version + 1u);
    }
    CHECK(this->load().history.size() == 3u);
    config_change change{.name = "rules", .expected = 5u, .author = "nimal"};
    const auto gone = this->await(this->store.undo(change, 1u));
    REQUIRE_FALSE(gone.has_value());
    CHECK(gone.error().error.cause == core::reason::not_found);
    CHECK(this->await(this->store.undo(change, 3u)) == 6u);
    CHECK(this->load().current.value == "three");
    CHECK(this->load().current.author == "nimal");
    CHECK(this->load().history.front().value == "five");
    CHECK(this->load().history.front().version == 5u);
}

// Guards against a history that grows until the object API rejects the object.
TEST_CASE_FIXTURE(config_store_fixture, "save_large_values_drop_oldest_history_first") {
    const std::string large(400'000u, 'x');
    CHECK(this->save(large, 0u) == 1u);
    CHECK(this->save(large, 1u) == 2u);
    CHECK(this->save(large + "y", 2u) == 3u);
    REQUIRE(this->load().history.size() == 1u);
    CHECK(this->load().history.front().version == 2u);
    const auto refused = this->save(std::string(900'000u, 'x'), 3u);
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().error.cause == core::reason::payload_too_large);
    CHECK(this->load().current.value == large + "y");
}

// Guards against decoding a body that is not a configuration.
TEST_CASE_FIXTURE(config_store_fixture, "decode_config_other_body_returns_protocol_error") {
    for(const std::string body : {"", "[]", "{}", R"({"value": 1, "author": "", "change_id": "", "changed_at_ms": 1})",
            R"({"value": "", "author": "", "change_id": "", "changed_at_ms": 1, "history": [1]})"}) {
        CAPTURE(body);
        const auto decoded = decode_config(object{.name = "config/rules", .body = body, .version = 1u});
        REQUIRE_FALSE(decoded.has_value());
        CHECK(decoded.error().cause == core::reason::protocol_error);
    }
}

} // namespace lagoonsaddle::platform
