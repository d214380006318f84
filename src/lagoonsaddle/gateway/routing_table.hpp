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

/*! @brief A candidate of a request, with names in place of indices. */
struct routed_candidate {
    std::string upstream{};
    std::string availability_zone{};
    bool resident{};
    policy::routing_cost cost{};
};

/*! @brief Candidates of a request, best first, and why others were left out. */
struct route {
    std::vector<routed_candidate> candidates{};
    std::vector<std::pair<std::string, policy::exclusion_reason>> excluded{};
};

/*! @brief What a request needs of its upstream. */
struct route_request {
    /*! @brief Base model of the adapter; empty for plain services. */
    std::string_view base_model{};
    /*! @brief Name of the plain service; empty for model calls. */
    std::string_view service{};
    core::adapter_version adapter{};
    std::string_view prefix_digest{};
    bool isolated{};
    std::span<const std::string> excluded{};
};

/*! @brief What an entry node knows of all upstreams, in one shard per base model or service. Thread-safe. */
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
     * @brief Adds and removes upstreams, and takes over which ones are leaving.
     * @param upstreams All known upstreams.
     */
    void update(const upstream_directory::descriptions_type& upstreams);

    /**
     * @brief Applies the report of an owner.
     * @param report The report. One with a lower fencing token than the last is ignored.
     */
    void apply(const wire::upstream_report& report);

    /**
     * @brief Marks an upstream as leaving, from whichever source says so first.
     * @param upstream Name of the upstream.
     */
    void mark_leaving(std::string_view upstream);

    /**
     * @brief Ranks the upstreams for a request.
     * @param request What the request needs.
     * @return The candidates.
     */
    [[nodiscard]] route rank(const route_request& request) const;

    /**
     * @brief Counts a request that is sent to an upstream.
     * @param upstream Name of the upstream.
     * @param adapter Adapter of the request.
     * @return Ticket for `finished`; 0 when the upstream is unknown.
     */
    std::uint64_t sent(std::string_view upstream, const core::adapter_version& adapter);

    /**
     * @brief Counts the end of a request.
     * @param upstream Name of the upstream.
     * @param ticket Ticket of `sent`.
     */
    void finished(std::string_view upstream, std::uint64_t ticket);

    /*! @brief Returns the last reports of all upstreams, for state dumps. */
    [[nodiscard]] std::vector<wire::upstream_report> reports() const;

private:
    struct entry {
        policy::upstream_view view;
        wire::upstream_report last{};
        bool marked_leaving{false};
    };

    struct group {
        mutable std::mutex mutex{};
        std::map<std::string, entry, std::less<>> entries{};
    };

    using group_pointer = std::shared_ptr<group>;

    [[nodiscard]] group_pointer group_of(std::string_view upstream) const;

    policy::router router;
    const core::clock& time;
    std::string zone;
    mutable std::mutex mutex{};
    /*! @brief Shards by `model/NAME` or `service/NAME`. */
    std::map<std::string, group_pointer, std::less<>> groups{};
    std::map<std::string, group_pointer, std::less<>> by_upstream{};
};

} // namespace lagoonsaddle::gateway

#endif
