#ifndef LAGOONSADDLE_POLICY_ROUTER_HPP
#define LAGOONSADDLE_POLICY_ROUTER_HPP

#include <chrono>
#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/core/model_name.hpp>
#include <lagoonsaddle/policy/upstream_view.hpp>

namespace lagoonsaddle::policy {

/*! @brief Options of `router`. */
struct router_options {
    /*! @brief Weight of a load stall relative to queue wait. */
    double stall_weight{1.};
    /*! @brief Weight of the batch fill. */
    double batch_weight{1.};
    /*! @brief Cost reduction for joining a full batch instead of an empty one, at a `batch_weight` of 1. */
    core::duration batch_fill_value{std::chrono::milliseconds{300}};
    /*! @brief Time saved by a cached prompt prefix. */
    core::duration prefix_hint_value{std::chrono::milliseconds{100}};
    /*! @brief Load time at the full speed of the weight store. */
    core::duration load_time{std::chrono::milliseconds{350}};
    /*! @brief Upper limit of the load queue length in the cost. A replica of a hot adapter accumulates waiting requests
     * and overtakes other loads; without the limit, hot adapters would get no replica under overload. */
    std::size_t load_queue_length_max{4u};
    /*! @brief Transfer time between two availability zones for which none was set. */
    core::duration zone_transfer_time_default{std::chrono::milliseconds{1}};
    /*! @brief Cost of a load on an upstream that has neither a free nor an evictable slot. */
    core::duration no_slot_penalty{std::chrono::seconds{2}};
    /*! @brief Number of preferred upstreams of an adapter, selected by rendezvous hashing. One gives the fewest loads,
     * as its request rates then cover all requests for the adapter; more give fuller batches. */
    std::size_t preferred_upstreams{2u};
    /*! @brief Time after an eviction in which a request for the evicted adapter adds to the cost of the eviction. */
    core::duration eviction_horizon{std::chrono::seconds{20}};
    /*! @brief Cost of a load on an upstream that is not a preferred one. */
    core::duration non_preferred_penalty{std::chrono::milliseconds{50}};
    /*! @brief Age of a report at which a listed adapter is assumed to be still resident with a probability of one half.
     */
    core::duration residency_half_life{std::chrono::seconds{60}};
    /*! @brief Service time assumed until one is reported. */
    core::duration service_time_default{std::chrono::milliseconds{500}};
    /*! @brief Largest number of candidates returned. */
    std::size_t candidates_max{8u};
};

/*! @brief Properties of a request that affect routing. */
struct routing_request {
    /*! @brief Adapter of the request; empty for a service without adapters. */
    core::adapter_version adapter{};
    std::string_view prefix_digest{};
    /*! @brief Availability zone of the entry node. */
    std::string_view zone{};
    /*! @brief The request is suspected of crashing upstreams and only runs on an upstream with nothing else in flight.
     */
    bool isolated{};
    /*! @brief Length of the fleet-wide load queue, for an adapter whose load is not requested on any candidate yet. */
    std::size_t load_queue_length{};
    /*! @brief Names of upstreams that must not be selected, such as those that failed this request. */
    std::span<const std::string> excluded{};
};

/*! @brief Components of a routing cost in milliseconds. */
struct routing_cost {
    /*! @brief Added. */
    double queue_wait{};
    /*! @brief Added; already multiplied by `stall_weight`. */
    double load_stall{};
    /*! @brief Added. */
    double zone_transfer{};
    /*! @brief Added; penalty for an upstream without a slot for the load. */
    double no_slot{};
    /*! @brief Added; expected load stall of the evicted adapter, already multiplied by `stall_weight`. */
    double eviction{};
    /*! @brief Added; penalty for a load on an upstream that is not a preferred one of the adapter. */
    double non_preferred{};
    /*! @brief Subtracted; already multiplied by `batch_weight`. */
    double batch_gain{};
    /*! @brief Subtracted. */
    double prefix_hint{};

    [[nodiscard]] double total() const noexcept {
        return this->queue_wait + this->load_stall + this->zone_transfer + this->no_slot + this->eviction +
               this->non_preferred - this->batch_gain - this->prefix_hint;
    }
};

/*! @brief A candidate upstream with its cost. */
struct ranked_candidate {
    /*! @brief Index into the `candidates` argument of `router::rank`. */
    std::size_t index{};
    bool resident{};
    routing_cost cost{};
};

/*! @brief Reason why a candidate was excluded. */
enum class exclusion_reason { leaving, unhealthy, excluded, busy };

/*! @brief A candidate that was excluded. */
struct excluded_candidate {
    std::size_t index{};
    exclusion_reason reason{exclusion_reason::leaving};
};

/*! @brief Result of `router::rank`, with all data for an explain record. */
struct ranking {
    /*! @brief Best first. */
    std::vector<ranked_candidate> candidates{};
    std::vector<excluded_candidate> excluded{};
};

/*! @brief Ranks the upstreams for a request by routing cost. Not thread-safe. */
class router {
public:
    explicit router(router_options options = {});

    /**
     * @brief Sets the one-way transfer time between two availability zones, in both directions.
     * @param first An availability zone.
     * @param second Another availability zone.
     * @param transfer_time Transfer time.
     */
    void set_zone_transfer_time(const std::string& first, const std::string& second, core::duration transfer_time);

    /**
     * @brief Ranks the candidates.
     *
     * Excludes leaving upstreams, and unhealthy ones unless no other remains. An isolated request only gets upstreams
     * with nothing else in flight; if there is none, it gets the one with the fewest outstanding requests, whose owner
     * then stops the dispatch of others until it has run. Equal costs are ordered by a hash of adapter and upstream, so
     * that all entry nodes load an adapter on the same engine.
     *
     * @param request Properties of the request.
     * @param candidates Views of the candidates; not null. Only used during the call.
     * @param now Current time.
     * @return The best candidates with the components of their cost, and the excluded candidates.
     */
    [[nodiscard]] ranking rank(
        const routing_request& request, std::span<const upstream_view* const> candidates, core::time_point now) const;

private:
    router_options options{};
    std::map<std::pair<std::string, std::string>, core::duration> zone_transfer_times{};
};

} // namespace lagoonsaddle::policy

#endif
