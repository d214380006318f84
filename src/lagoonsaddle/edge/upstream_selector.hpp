#ifndef LAGOONSADDLE_EDGE_UPSTREAM_SELECTOR_HPP
#define LAGOONSADDLE_EDGE_UPSTREAM_SELECTOR_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/upstream_table.hpp>

namespace lagoonsaddle::edge {

/*! @brief What a request needs of an upstream. */
struct selection_request {
    std::string_view service{};
    std::string_view model{};
    std::string_view adapter{};
    std::uint64_t prompt_tokens{};
    /*! @brief Oldest version of the adapter that may serve. */
    std::uint64_t version_min{};
    /*! @brief Upstreams that have failed this request. */
    const std::set<std::string>* excluded{};
    /*! @brief Live nodes of the fleet. */
    std::size_t nodes{1u};
    /*! @brief Tells whether some node can order loads in an availability zone at present. */
    std::function<bool(std::string_view)> can_load{};
};

/*! @brief A chosen upstream. */
struct selection {
    std::string upstream{};
    /*! @brief False when the adapter has to be loaded first. */
    bool resident{true};
    /*! @brief Estimated time until the upstream can begin, in milliseconds. */
    double cost_ms{};
};

/*! @brief Options of `upstream_selector`. */
struct upstream_selector_options {
    std::string availability_zone{};
    /*! @brief Requests per second of one adapter for each upstream that should hold it. */
    double requests_per_home{3.0};
};

/**
 * @brief Chooses the upstream of a request by the least estimated delay, in milliseconds.
 *
 * Requests for an adapter meet on few upstreams, by rendezvous hashing, so that adapters and
 * shared prompt parts stay resident; the number of these upstreams grows with the rate of the adapter. Answers skewed
 * load (a few adapters receive most requests) and upstreams that fail or fall behind. Not thread-safe.
 */
class upstream_selector {
public:
    explicit upstream_selector(upstream_selector_options options) : settings{std::move(options)} {}

    /*! @brief Counts a request for an adapter. */
    void record_request(std::string_view model, std::string_view adapter, core::time_point now);

    /**
     * @brief Chooses an upstream.
     * @param table The upstreams.
     * @param wanted What the request needs.
     * @param now Current time.
     * @return The choice, or nothing when no upstream may serve the request.
     */
    [[nodiscard]] std::optional<selection> choose(
        upstream_table& table, const selection_request& wanted, core::time_point now) const;

private:
    struct rate {
        double per_second{};
        core::time_point updated{};
    };

    [[nodiscard]] std::size_t homes(const selection_request& wanted, core::time_point now) const;

    upstream_selector_options settings;
    std::map<std::string, rate, std::less<>> rates{};
};

} // namespace lagoonsaddle::edge

#endif
