#ifndef LAGOONSADDLE_GATEWAY_ROUTING_TABLE_HPP
#define LAGOONSADDLE_GATEWAY_ROUTING_TABLE_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/core/model_name.hpp>
#include <lagoonsaddle/gateway/upstream_directory.hpp>
#include <lagoonsaddle/policy/router.hpp>
#include <lagoonsaddle/policy/upstream_view.hpp>
#include <lagoonsaddle/wire/messages.hpp>

namespace lagoonsaddle::gateway {

/*! @brief Upstream that can serve a request, with its routing cost. */
struct route_candidate {
    std::string upstream{};
    std::string availability_zone{};
    bool resident{};
    policy::routing_cost cost{};
};

/*! @brief Candidates of a request, best first, and the excluded upstreams with the reason of each. */
struct routing_result {
    std::vector<route_candidate> candidates{};
    std::vector<std::pair<std::string, policy::exclusion_reason>> excluded{};
};

/*! @brief Properties of a request that determine its candidates. */
struct route_request {
    /*! @brief Base model of the adapter; empty for plain services. */
    std::string_view base_model{};
    /*! @brief Name of the plain service; empty for model calls. */
    std::string_view service{};
    core::adapter_version adapter{};
    std::string_view prefix_digest{};
    /*! @brief The request is suspected of crashing upstreams and only runs with nothing else in flight. */
    bool isolated{};
    /*! @brief Names of upstreams that must not be candidates. */
    std::span<const std::string> excluded{};
};

/**
 * @brief State of all upstreams at an entry node, from the reports of their owners and the requests that this node
 * sent. Thread-safe. Has one shard per base model or service.
 */
class routing_table {
public:
    /**
     * @brief Makes an empty table.
     * @param options Options of the router.
     * @param clock Runtime clock; must outlive the table.
     * @param zone Availability zone of this node.
     */
    routing_table(policy::router_options options, const core::clock& clock, std::string zone);

    /**
     * @brief Adds and removes upstreams, and updates which of them are leaving.
     * @param upstreams All known upstreams.
     */
    void update(const upstream_directory::description_map& upstreams);

    /**
     * @brief Applies the report of an owner.
     * @param report The report. One with a lower fencing token than the last is ignored.
     */
    void apply_report(const wire::upstream_report& report);

    /**
     * @brief Marks an upstream as leaving. `update` does not clear the mark.
     * @param upstream Name of the upstream.
     */
    void mark_leaving(std::string_view upstream);

    /**
     * @brief Ranks the upstreams for a request.
     * @param request The request.
     * @return Candidates and exclusions; empty if there is no upstream for the base model or service.
     */
    [[nodiscard]] routing_result rank(const route_request& request) const;

    /**
     * @brief Records that a request is sent to an upstream.
     * @param upstream Name of the upstream.
     * @param adapter Adapter of the request.
     * @return Ticket for `request_finished`; 0 if the upstream is unknown.
     */
    std::uint64_t request_sent(std::string_view upstream, const core::adapter_version& adapter);

    /**
     * @brief Records the end of a request, with any outcome.
     * @param upstream Name of the upstream.
     * @param ticket Ticket that `request_sent` returned; 0 is ignored.
     */
    void request_finished(std::string_view upstream, std::uint64_t ticket);

    /*! @brief Returns the last report of each upstream, for state dumps. */
    [[nodiscard]] std::vector<wire::upstream_report> reports() const;

private:
    struct entry {
        policy::upstream_view view;
        wire::upstream_report last_report{};
        /*! @brief Set by a report or by `mark_leaving`; the upstream stays leaving until it is removed. */
        bool marked_leaving{false};
    };

    struct shard_state {
        mutable std::mutex mutex{};
        std::map<std::string, entry, std::less<>> entries{};
    };

    using shard_pointer = std::shared_ptr<shard_state>;

    [[nodiscard]] shard_pointer find_shard(std::string_view upstream) const;

    policy::router router;
    const core::clock& clock;
    std::string zone;
    mutable std::mutex mutex{};
    /*! @brief Shards by `model/NAME` or `service/NAME`. */
    std::map<std::string, shard_pointer, std::less<>> shards_by_key{};
    std::map<std::string, shard_pointer, std::less<>> shards_by_upstream{};
};

} // namespace lagoonsaddle::gateway

#endif
