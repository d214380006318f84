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
#include <lagoonsaddle/edge/reservation_table.hpp>
#include <lagoonsaddle/edge/upstream_table.hpp>

namespace lagoonsaddle::edge {

/*! @brief Requirements of a request, and the state that the choice of its upstream depends on. */
struct selection_request {
    std::string_view service{};
    std::string_view model{};
    std::string_view adapter{};
    std::uint64_t prompt_tokens{};
    /*! @brief Hash of the prompt prefix that other requests share; 0 when there is none. */
    std::uint64_t shared_prefix{};
    /*! @brief Length of the shared prefix in tokens. */
    std::uint64_t shared_tokens{};
    /*! @brief Oldest acceptable version of the adapter. */
    std::uint64_t version_min{};
    /*! @brief Version that the software of the upstream must have; any when not set. */
    std::optional<std::string_view> software_version{};
    /*! @brief Availability zone to choose in; any when empty. */
    std::string_view zone{};
    /*! @brief Upstreams that have failed this request; may be null. */
    const std::set<std::string>* excluded{};
    /*! @brief Number of live nodes in the fleet. */
    std::size_t nodes{1u};
    /*! @brief Returns whether a live node can order loads in an availability zone; true when not set. */
    std::function<bool(std::string_view)> zone_can_load{};
    /*! @brief Returns the delay at the upstreams of an availability zone in milliseconds, as reported by the lease
     * holder. */
    std::function<double(std::string_view)> zone_delay_ms{};
    /*! @brief Returns by which factor the upstreams of an availability zone are slower than those of the others, as
     * reported by the lease holder; 1 everywhere when not set. */
    std::function<double(std::string_view)> zone_slowness{};
    /*! @brief Number that differs between requests and spreads them over upstreams of a service without models whose
     * speeds differ; 0 for none. */
    std::uint64_t draw{};
    /*! @brief All requests that are placed on the upstreams; null unless this node holds the lease of the zone. */
    const reservation_table* reservations{};
    /*! @brief Returns how long other loads delay the load of the adapter on an upstream in milliseconds; no delay when
     * not set. Makes resident copies preferred to further ones while loads are scarce. */
    std::function<double(const upstream_entry&)> load_wait_ms{};
    /*! @brief Returns whether an upstream has a slot for the adapter; set only where this node orders the loads. */
    std::function<bool(const std::string&)> has_adapter_slot{};
};

/*! @brief The upstream chosen for a request. */
struct selection {
    std::string upstream{};
    /*! @brief False when the adapter has to be loaded first. */
    bool resident{true};
    /*! @brief Estimated cost of the upstream, in milliseconds of delay. */
    double cost_ms{};
    /*! @brief Mean delay caused by the requests in progress on all candidates, in milliseconds. */
    double mean_wait_ms{};
    /*! @brief Prompt tokens that the upstream probably has to prefill because its prompt cache does not hold them. */
    std::uint64_t cold_tokens{};
    /*! @brief Mean duration of prefills on the candidates relative to the nominal one; nothing without observations,
     * and unless this node holds the lease of the zone. */
    std::optional<double> mean_slowness{};
};

/*! @brief Options of `upstream_selector`. */
struct upstream_selector_options {
    std::string availability_zone{};
    /*! @brief Request rate of an adapter, per second, for which one more upstream is preferred. */
    double requests_per_preferred_upstream{1.5};
};

/**
 * @brief Chooses the upstream with the lowest estimated delay for a request.
 *
 * Rendezvous hashing assigns each adapter a few preferred upstreams, so that adapters stay resident; their number grows
 * with the request rate of the adapter. Among them, requests with the same shared prompt prefix prefer the same few
 * upstreams, so that the prefix is prefilled once and then cached. Copes with skewed load (a few adapters receive most
 * requests), long shared prefixes, upstreams of uneven speed, and those that fail or fall behind. Not thread-safe.
 */
class upstream_selector {
public:
    explicit upstream_selector(upstream_selector_options options) : settings{std::move(options)} {}

    /*! @brief Updates the request rates of an adapter and of a shared prefix; an empty adapter or a prefix of 0 is
     * skipped. */
    void record_request(
        std::string_view model, std::string_view adapter, std::uint64_t shared_prefix, core::time_point now);

    /**
     * @brief Chooses an upstream.
     * @param table The known upstreams.
     * @param request The requirements.
     * @param now Current time.
     * @return The choice, or nothing when no upstream can serve the request.
     */
    [[nodiscard]] std::optional<selection> choose(
        const upstream_table& table, const selection_request& request, core::time_point now) const;

private:
    struct rate {
        double per_second{};
        core::time_point updated{};
    };

    using ranked_upstreams = std::vector<std::pair<std::uint64_t, const upstream_state*>>;

    /*! @brief Returns whether an upstream of the service meets the requirements that do not depend on its load. */
    [[nodiscard]] static bool is_candidate(const upstream_table& table, const upstream_state& upstream,
        const selection_request& request, core::time_point now);
    void update_rate(const std::string& key, core::time_point now);
    [[nodiscard]] std::size_t preferred_count(std::string_view key, std::size_t nodes, core::time_point now) const;
    [[nodiscard]] ranked_upstreams rank_upstreams(
        const upstream_table& table, const selection_request& request, core::time_point now) const;
    [[nodiscard]] std::set<std::string_view> preferred_for_prefix(
        std::span<const ranked_upstreams::value_type> preferred_upstreams, const selection_request& request,
        core::time_point now) const;

    upstream_selector_options settings;
    std::map<std::string, rate, std::less<>> rates{};
};

} // namespace lagoonsaddle::edge

#endif
