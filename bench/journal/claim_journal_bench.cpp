// Measures the journal over an object store in memory with a fixed latency: claims per second, calls to the object API
// per claim and write sizes, and the size of a shard by entry. Takes about 25 seconds.

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/journal/claim_journal.hpp>
#include <lagoonsaddle/platform/memory_object_store.hpp>

namespace {

namespace asio = boost::asio;
namespace core = lagoonsaddle::core;
namespace journal = lagoonsaddle::journal;
namespace platform = lagoonsaddle::platform;

constexpr std::chrono::milliseconds store_latency{3};
constexpr std::chrono::milliseconds run_time{1'000};
// Short, so that the objects reach their steady size within the run.
constexpr std::chrono::milliseconds base_retention{200};
constexpr std::size_t thread_count{2u};

struct totals {
    std::atomic<std::uint64_t> claimed{};
    std::atomic<std::uint64_t> refused{};
    std::atomic<std::int64_t> wait_us{};
};

asio::awaitable<void> claimant(
    journal::claim_journal& target, const core::clock& clock, core::time_point end, std::string name, totals& sums) {
    for(std::uint64_t number{}; clock.now() < end; ++number) {
        const auto started = clock.now();
        auto key = name + std::to_string(number);
        journal::claim_request request{};
        request.key = key;
        request.request_digest = core::digest(key);
        request.claimant = "entry-vm-017";
        request.deadline = started + std::chrono::seconds{5};
        request.now = core::unix_time();
        const auto answer = co_await target.claim(std::move(request));
        sums.wait_us += std::chrono::duration_cast<std::chrono::microseconds>(clock.now() - started).count();
        if(!answer) {
            ++sums.refused;
            continue;
        }
        ++sums.claimed;
        journal::outcome result{};
        result.status = 200u;
        result.content_type = "application/json";
        result.body = std::string(200u, 'x');
        static_cast<void>(
            co_await target.store_outcome(std::move(key), answer->claim_id, std::move(result), core::unix_time()));
    }
}

void measure_rates(std::size_t shards, std::size_t claimants, std::chrono::milliseconds commit_interval) {
    const auto retention = base_retention + 2 * commit_interval;
    asio::io_context context{};
    platform::memory_object_store store{};
    store.set_faults({.latency = store_latency});
    const core::boot_clock clock{};
    totals sums{};
    journal::journal_counters counts{};
    {
        journal::claim_journal target{context.get_executor(), store, clock,
            journal::claim_journal_options{.shards = shards,
                .shard = {.retention = retention,
                    .clock_skew = std::chrono::milliseconds{0},
                    .run_limit = retention,
                    .commit_interval = commit_interval}}};
        const auto end = clock.now() + run_time;
        for(std::size_t index{}; index < claimants; ++index) {
            asio::co_spawn(asio::make_strand(context),
                claimant(target, clock, end, "claimant-" + std::to_string(index) + "-", sums), asio::detached);
        }
        std::vector<std::thread> threads{};
        for(std::size_t index{}; index < thread_count; ++index) {
            threads.emplace_back([&context] { context.run(); });
        }
        for(auto& thread : threads) {
            thread.join();
        }
        counts = target.counters();
    }
    const auto claims = std::max<double>(1.0, static_cast<double>(sums.claimed));
    const auto seconds = std::chrono::duration<double>{run_time}.count();
    std::printf("%9lld %6zu %9zu %10.0f %8llu %9.2f %11.3f %11.3f %12.0f %10llu\n",
        static_cast<long long>(commit_interval.count()), shards, claimants, claims / seconds,
        static_cast<unsigned long long>(sums.refused.load()),
        static_cast<double>(sums.wait_us.load()) / 1'000.0 /
            std::max<double>(1.0, static_cast<double>(sums.claimed + sums.refused)),
        static_cast<double>(counts.writes) / claims, static_cast<double>(counts.reads) / claims,
        static_cast<double>(counts.bytes_written) / std::max<double>(1.0, static_cast<double>(counts.writes)),
        static_cast<unsigned long long>(counts.object_bytes));
}

void measure_sizes() {
    constexpr std::size_t sample{1'000u};
    constexpr double limit_bytes{900'000.0};
    constexpr std::array<int, 5u> bodies{-1, 0, 200, 1'000, 2'048};
    constexpr std::array<double, 3u> retentions_s{600.0, 3'600.0, 86'400.0};
    constexpr double skew_s{60.0};
    std::printf("\n%-16s %11s %12s %30s\n", "entry", "bytes/entry", "entries/900K", "claims/s per shard at retention");
    std::printf("%-16s %11s %12s %10s %9s %9s\n", "", "", "", "10 min", "1 h", "24 h");
    for(const auto body : bodies) {
        journal::claim_table table{};
        for(std::size_t index{}; index < sample; ++index) {
            const auto id = core::digest(std::to_string(index));
            journal::claim_entry entry{};
            entry.claim_id = id;
            entry.request_digest = id.substr(0u, 16u);
            entry.claimant = "entry-vm-017";
            entry.run_until = journal::wall_time{1'800'000'000'000};
            entry.expires_at = entry.run_until;
            if(body >= 0) {
                entry.result = journal::outcome{};
                entry.result->status = 200u;
                entry.result->content_type = "application/json";
                entry.result->body = std::string(static_cast<std::size_t>(body), 'x');
            }
            table.emplace(id.substr(16u), std::move(entry));
        }
        const auto bytes = static_cast<double>(journal::encode_claims(table).size()) / static_cast<double>(sample);
        const auto label = body < 0 ? std::string{"running"} : "outcome " + std::to_string(body) + " B";
        std::printf("%-16s %11.1f %12.0f", label.c_str(), bytes, limit_bytes / bytes);
        for(const auto seconds : retentions_s) {
            std::printf(" %9.3f", limit_bytes / bytes / (seconds + skew_s));
        }
        std::printf("\n");
    }
}

} // namespace

int main() {
    std::printf("%9s %6s %9s %10s %8s %9s %11s %11s %12s %10s\n", "interval", "shards", "claimants", "claims/s",
        "refused", "wait ms", "writes/clm", "reads/clm", "bytes/write", "object B");
    for(const std::chrono::milliseconds interval : {std::chrono::milliseconds{0}, std::chrono::milliseconds{200}}) {
        for(const std::size_t shards : {1u, 8u, 64u}) {
            for(const std::size_t claimants : {1u, 16u, 256u}) {
                measure_rates(shards, claimants, interval);
            }
        }
    }
    measure_sizes();
    return 0;
}
