#ifndef LAGOONSADDLE_EDGE_UPSTREAM_SELECTOR_HPP
#define LAGOONSADDLE_EDGE_UPSTREAM_SELECTOR_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/reservation_ledger.hpp>
#include <lagoonsaddle/edge/upstream_table.hpp>

namespace lagoonsaddle::edge {

/*! @brief What a request needs of an upstream. */
struct selection_request {
    std::string_view service{};
    std::string_view model{};
    std::string_view adapter{};
    std::uint64_t prompt_tokens{};
    /*! @brief Hash of the leading parts of the prompt that other requests share; 0 when nothing is shared. */
    std::uint64_t shared_prefix{};
    /*! @brief Tokens of these parts. */
    std::uint64_t shared_tokens{};
    /*! @brief Oldest version of the adapter that may serve. */
    std::uint64_t version_min{};
    /*! @brief Availability zone to choose in; all when empty. */
    std::string_view zone{};
    /*! @brief Upstreams that have failed this request. */
    const std::set<std::string>* excluded{};
    /*! @brief Live nodes of the fleet. */
    std::size_t nodes{1u};
    /*! @brief Tells whether some node can order loads in an availability zone at present. */
    std::function<bool(std::string_view)> can_load{};
    /*! @brief Delay at the upstreams of an availability zone in milliseconds, as its holder said. */
    std::function<double(std::string_view)> zone_delay_ms{};
    /*! @brief All requests that were placed on the upstreams, where this node places them. */
    const reservation_ledger* exact_load{};
    /*! @brief Tells whether an upstream has a place for the adapter, where this node orders its loads. */
    std::function<bool(const std::string&)> has_place{};
};

/*! @brief A chosen upstream. */
struct selection {
    std::string upstream{};
    /*! @brief False when the adapter has to be loaded first. */
    bool resident{true};
    /*! @brief Estimated time until the upstream can begin, in milliseconds. */
    double cost_ms{};
    /*! @brief Mean delay by requests in progress over the upstreams that were looked at, in milliseconds. */
    double mean_wait_ms{};
    /*! @brief Prompt tokens that the upstream probably has to read, as it does not keep them. */
    std::uint64_t cold_tokens{};
};

/*! @brief Options of `upstream_selector`. */
struct upstream_selector_options {
    std::string availability_zone{};
    /*! @brief Requests per second of one adapter for each upstream that should hold it. */
    double requests_per_home{1.5};
};

/**
 * @brief Chooses the upstream of a request by the least estimated delay, in milliseconds.
 *
 * Requests for an adapter meet on few upstreams, its homes, by rendezvous hashing, so that adapters stay resident; the
 * number of homes grows with the rate of the adapter. Among the homes, requests that share the leading parts of their
 * prompts meet again on few, so that these parts are read once. Answers skewed load (a few adapters receive most
 * requests), long shared prompts, and upstreams that fail or fall behind. Not thread-safe.
 */
class upstream_selector {
public:
    explicit upstream_selector(upstream_selector_options options) : settings{std::move(options)} {}

    /*! @brief Counts a request for an adapter, and for the shared prefix of its prompt unless that is 0. */
    void record_request(
        std::string_view model, std::string_view adapter, std::uint64_t shared_prefix, core::time_point now);

    /**
     * @brief Chooses an upstream.
     * @param table The upstreams.
     * @param wanted What the request needs.
     * @param now Current time.
     * @return The choice, or nothing when no upstream may serve the request.
     */
    [[nodiscard]] std::optional<selection> choose(
        const upstream_table& table, const selection_request& wanted, core::time_point now) const;

private:
    struct rate {
        double per_second{};
        core::time_point updated{};
    };

    using ranked_upstreams = std::vector<std::pair<std::uint64_t, const known_upstream*>>;

    void count(const std::string& key, core::time_point now);
    [[nodiscard]] std::size_t homes(std::string_view key, std::size_t nodes, core::time_point now) const;
    [[nodiscard]] ranked_upstreams rank(const upstream_table& table, const selection_request& wanted) const;
    [[nodiscard]] std::set<std::string_view> prefix_homes(std::span<const ranked_upstreams::value_type> adapter_homes,
        const selection_request& wanted, core::time_point now) const;

    upstream_selector_options settings;
    std::map<std::string, rate, std::less<>> rates{};
};

} // namespace lagoonsaddle::edge

#endif
