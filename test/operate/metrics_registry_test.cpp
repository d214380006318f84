#include <chrono>
#include <cmath>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/operate/metrics_registry.hpp>

namespace lagoonsaddle::operate {

namespace {

struct metrics_registry_fixture {
    // Runs `work` on several threads; each thread records in its own shard.
    static void run_in_threads(std::size_t count, const auto& work) {
        std::vector<std::thread> running{};
        for(std::size_t index{}; index < count; ++index) {
            running.emplace_back([&work, index] { work(index); });
        }
        for(auto& one : running) {
            one.join();
        }
    }

    core::manual_clock clock{};
    metrics_registry registry{this->clock, {.window = std::chrono::seconds{60}, .max_series = 3u}};
};

} // namespace

// Guards against lost increments from concurrent threads.
TEST_CASE_FIXTURE(metrics_registry_fixture, "counter_several_threads_counts_all") {
    auto& requests = this->registry.counter("requests_total", "Requests.");
    run_in_threads(12u, [&requests](std::size_t) {
        for(int index{}; index < 1'000; ++index) {
            requests.add();
        }
    });
    CHECK(requests.value() == 12'000u);
}

// Guards against averaging the quantiles of shards: here each shard gets another part of the distribution.
TEST_CASE_FIXTURE(metrics_registry_fixture, "summary_unequal_shards_returns_quantiles_of_all_samples") {
    auto& latency = this->registry.summary("latency_ms", "Latency.");
    run_in_threads(4u, [&latency](std::size_t thread) {
        std::mt19937_64 random{thread + 1u};
        std::uniform_real_distribution<double> part{
            250.0 * static_cast<double>(thread), 250.0 * (static_cast<double>(thread) + 1.0)};
        for(int index{}; index < 20'000; ++index) {
            latency.record(part(random));
        }
    });
    CHECK(std::abs(latency.quantile(0.5) - 500.0) < 20.0);
    CHECK(std::abs(latency.quantile(0.95) - 950.0) < 20.0);
    CHECK(std::abs(latency.quantile(0.99) - 990.0) < 10.0);
    CHECK(latency.count() == 80'000u);
    CHECK(std::abs(latency.sum() / 80'000.0 - 500.0) < 5.0);
}

// Guards against estimates from fewer samples than the algorithm has markers.
TEST_CASE_FIXTURE(metrics_registry_fixture, "summary_few_samples_returns_exact_quantiles") {
    auto& latency = this->registry.summary("latency_ms", "Latency.");
    CHECK(std::isnan(latency.quantile(0.5)));
    for(int value = 1; value <= 20; ++value) {
        latency.record(value);
    }
    CHECK(std::abs(latency.quantile(0.5) - 10.0) < 1e-6);
    CHECK(std::abs(latency.quantile(0.95) - 19.0) < 1e-6);
    CHECK(std::abs(latency.quantile(0.99) - 20.0) < 1e-6);
}

// Guards against quantiles that include expired windows, and against totals that decrease.
TEST_CASE_FIXTURE(metrics_registry_fixture, "summary_expired_window_is_excluded") {
    auto& latency = this->registry.summary("latency_ms", "Latency.");
    latency.record(1'000.0);
    this->clock.advance(std::chrono::seconds{60});
    latency.record(1.0);
    CHECK(std::abs(latency.quantile(0.99) - 1'000.0) < 1e-6);
    this->clock.advance(std::chrono::seconds{60});
    CHECK(std::abs(latency.quantile(0.99) - 1.0) < 1e-6);
    this->clock.advance(std::chrono::seconds{600});
    CHECK(std::isnan(latency.quantile(0.99)));
    CHECK(latency.count() == 2u);
    CHECK(latency.sum() == 1'001.0);
}

// Guards against output that a Prometheus scraper rejects.
TEST_CASE_FIXTURE(metrics_registry_fixture, "registry_text_follows_prometheus_format") {
    this->registry.counter("requests_total", "Requests.", {{"reason", "a\"b\\c\nd"}}).add(3u);
    this->registry.gauge("queue", "Queue length.").set(2.5);
    this->registry.summary("wait_ms", "Wait.", {{"upstream", "e1"}}).record(4.0);
    CHECK(this->registry.to_prometheus_text() == "# HELP requests_total Requests.\n"
                                                 "# TYPE requests_total counter\n"
                                                 "requests_total{reason=\"a\\\"b\\\\c\\nd\"} 3\n"
                                                 "# HELP queue Queue length.\n"
                                                 "# TYPE queue gauge\n"
                                                 "queue 2.5\n"
                                                 "# HELP wait_ms Wait.\n"
                                                 "# TYPE wait_ms summary\n"
                                                 "wait_ms{upstream=\"e1\",quantile=\"0.5\"} 4\n"
                                                 "wait_ms{upstream=\"e1\",quantile=\"0.95\"} 4\n"
                                                 "wait_ms{upstream=\"e1\",quantile=\"0.99\"} 4\n"
                                                 "wait_ms_sum{upstream=\"e1\"} 4\n"
                                                 "wait_ms_count{upstream=\"e1\"} 1\n");
}

// Guards against memory that grows with label values chosen by callers.
TEST_CASE_FIXTURE(metrics_registry_fixture, "registry_many_label_sets_share_overflow_series") {
    for(int index{}; index < 10; ++index) {
        this->registry.counter("requests_total", "Requests.", {{"caller", std::to_string(index)}}).add();
    }
    this->registry.counter("requests_total", "Requests.", {{"caller", "0"}}).add();
    const auto text = this->registry.to_prometheus_text();
    CHECK(text.find("requests_total{caller=\"0\"} 2\n") != std::string::npos);
    CHECK(text.find("requests_total{overflow=\"true\"} 7\n") != std::string::npos);
    CHECK(text.find("caller=\"3\"") == std::string::npos);
}

} // namespace lagoonsaddle::operate
