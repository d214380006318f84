// Requests for adapters whose versions follow each other, on a paused clock.
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "forwarder_fixture.hpp"

namespace lagoonsaddle::edge {

namespace {

using namespace std::chrono_literals;

/*! @brief Bound of the platform: from then on no request may begin at a version older than an announced one. */
constexpr std::chrono::milliseconds version_bound{5'000};
constexpr std::chrono::milliseconds step{500};

/*! @brief Versions of adapters that follow each other at one pace. */
struct version_series {
    std::chrono::milliseconds pace{};
    std::uint64_t newest{};
    std::size_t adapters{};
};

struct forwarder_versions_fixture : forwarder_fixture {
    forwarder_versions_fixture() {
        this->clock.pause();
    }

    /*! @brief Makes the upstreams hold adapters; no lease holder is live, so that nothing else is ever loaded. */
    void hold(const std::vector<std::string>& adapters, std::uint64_t version) {
        this->run_on_node([&] {
            for(const auto* id : {"u1", "u2"}) {
                auto entry = this->upstreams.find(id)->entry;
                entry.models["m"].adapters.clear();
                for(const auto& adapter : adapters) {
                    entry.models["m"].adapters.emplace(adapter, version);
                }
                this->upstreams.update(entry, this->clock.now());
            }
        });
    }

    void announce(const std::vector<std::string>& adapters, std::uint64_t version) {
        this->run_on_node([&] {
            for(const auto& adapter : adapters) {
                this->placement->on_version_announced({.model = "m", .adapter = adapter, .version = version});
            }
        });
    }

    /*! @brief Sends a request for an adapter; returns its status. */
    [[nodiscard]] unsigned send_for(const std::string& adapter) {
        auto message = this->make_request("safe");
        message.headers.set("adapter", adapter);
        return this->send(std::move(message))->status;
    }

    /*! @brief Plays a series before upstreams that keep version 1; returns for how long after version 2 requests were
     * served, which may not reach the bound. */
    [[nodiscard]] std::chrono::milliseconds play(const version_series& series) {
        std::vector<std::string> adapters{};
        for(std::size_t index{}; index < series.adapters; ++index) {
            adapters.push_back("a" + std::to_string(index) + "-" + std::to_string(++this->series_count));
        }
        this->hold(adapters, 1u);
        this->announce(adapters, 1u);
        this->clock.advance(version_bound);
        std::chrono::milliseconds last_served{-1};
        const auto end = series.pace * static_cast<std::int64_t>(series.newest) + version_bound;
        std::uint64_t announced{1u};
        for(std::chrono::milliseconds elapsed{0}; elapsed <= end; elapsed += step) {
            while(announced < series.newest && series.pace * static_cast<std::int64_t>(announced - 1u) <= elapsed) {
                this->announce(adapters, ++announced);
            }
            for(const auto& adapter : adapters) {
                last_served = this->send_for(adapter) == 200u ? elapsed : last_served;
            }
            this->clock.advance(step);
        }
        return last_served;
    }

    std::size_t series_count{};
};

} // namespace

// Guards against requests that begin at a version which was replaced longer ago than the bound because further versions
// have followed, and against refusals while the load of the next version can still be waited for.
TEST_CASE_FIXTURE(forwarder_versions_fixture, "handle_further_versions_do_not_extend_time_of_replaced_one") {
    for(const auto pace : {0ms, 500ms, 2'000ms, 2'250ms, 2'500ms, 3'000ms, 4'500ms}) {
        for(const auto newest : {2u, 3u, 10u}) {
            for(const auto adapters : {1u, 3u}) {
                CAPTURE(pace.count());
                CAPTURE(newest);
                CAPTURE(adapters);
                const auto served_for = this->play({.pace = pace, .newest = newest, .adapters = adapters});
                CHECK(served_for < version_bound);
                CHECK(served_for >= 1s);
            }
        }
    }
}

} // namespace lagoonsaddle::edge
