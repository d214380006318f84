#ifndef LAGOONSADDLE_EDGE_QUOTA_SERVICE_HPP
#define LAGOONSADDLE_EDGE_QUOTA_SERVICE_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <lagoonsaddle/cluster/membership_service.hpp>
#include <lagoonsaddle/cluster/peer_directory.hpp>
#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/decision_log.hpp>
#include <lagoonsaddle/edge/placement_service.hpp>
#include <lagoonsaddle/edge/quota_account.hpp>
#include <lagoonsaddle/edge/quota_ledger.hpp>
#include <lagoonsaddle/edge/route_table.hpp>
#include <lagoonsaddle/operate/metrics_registry.hpp>
#include <lagoonsaddle/wire/messages.hpp>

namespace lagoonsaddle::edge {

/*! @brief Dependencies of the service, which must outlive it. */
struct quota_context {
    boost::asio::io_context& io;
    const core::clock& clock;
    log_sink& log;
    operate::metrics_registry& metrics;
    const route_table& routes;
    const placement_service& placement;
    const cluster::membership_service& membership;
    cluster::peer_directory& peers;
};

/*! @brief State of a tenant's quota on a node, for diagnosis. */
struct quota_state {
    std::string tenant{};
    /*! @brief Granted units that can be used. */
    double balance{};
    /*! @brief Requests that wait for a grant. */
    std::size_t waiting{};
    /*! @brief Whether this node has refused requests lately. */
    bool limited{};
    /*! @brief Units in the bucket, on the node that grants the quota. */
    std::optional<double> level{};
};

/**
 * @brief Keeps the tenants to their quotas over all nodes.
 *
 * The holders of leases grant units of quotas to the nodes: the authority of a tenant is the holder for the
 * availability zone that rendezvous hashing of its name ranks first, and its deputy the holder for the second one. A
 * request without enough units on its node waits for the answer of the authority; when that does not answer or cannot
 * grant enough yet, for that of the deputy. Calls are made only when requests wait.
 *
 * Must be used only from the thread that runs the `io_context`.
 */
class quota_service : public std::enable_shared_from_this<quota_service> {
public:
    /**
     * @brief Creates the service.
     * @param context Dependencies.
     * @param bounds What all nodes together may admit.
     * @param name Name of this node.
     */
    quota_service(quota_context context, quota_bounds bounds, std::string name);

    /**
     * @brief Charges a request, and waits for a grant if necessary.
     * @param owner Tenant with a limited quota; must live until the end of the call.
     * @param units What the request needs.
     * @param priority 0 is the most urgent.
     * @return The charge, or `rate_limited` with a retry time.
     */
    [[nodiscard]] boost::asio::awaitable<core::result<quota_charge>> admit(
        const tenant& owner, double units, unsigned priority);

    /*! @brief Returns the units of a request that ended without having been sent to an upstream. */
    void credit(const quota_charge& unused);

    /*! @brief Answers a node that asks for units. */
    [[nodiscard]] wire::quota_grant make_grant(const wire::quota_request& request);

    /*! @brief Returns the state of the quotas that this node uses. */
    [[nodiscard]] std::vector<quota_state> states() const;

private:
    /*! @brief A request that waits for a grant. */
    struct waiting_request {
        explicit waiting_request(boost::asio::io_context& io) : timer{io} {}

        boost::asio::steady_timer timer;
        std::optional<core::result<quota_charge>> outcome{};
    };

    /*! @brief Node that grants a tenant's quota, and the lease by which it does. */
    struct grantor {
        std::string node{};
        std::string zone{};
        std::uint64_t fencing_token{};
        bool is_deputy{false};
    };

    struct question {
        std::string tenant{};
        quota_service::grantor grantor{};
        std::uint64_t needed{};
    };

    /*! @brief Calls to one node: one is in flight at a time. */
    struct peer_calls {
        bool in_flight{false};
        std::deque<question> questions{};
        /*! @brief The node is not called before this time, because it did not answer. */
        core::time_point skip_until{};
    };

    /*! @brief What a node has refused of a tenant's requests. */
    struct limitation {
        std::uint64_t refused{};
        core::time_point last_refusal{};
    };

    /*! @brief What this node knows as the holder of a zone's lease. */
    struct held_zone {
        explicit held_zone(quota_bounds bounds) noexcept : ledger{bounds} {}

        quota_ledger ledger;
        /*! @brief Highest fencing token of the lease that a node has stated, and when it was first heard of. */
        std::uint64_t newest_token{};
        core::time_point newest_token_at{};
        int weight_percent{-1};
        core::time_point weight_logged_at{};
    };

    /*! @brief Applies a new configuration, and the zones and nodes that are known now. */
    void refresh();
    /*! @brief Counts the nodes that are live, and those that may be. */
    void count_nodes();
    /*! @brief Returns a tenant whose quota is limited in the configuration in force, or null. */
    [[nodiscard]] const tenant* find_limited(std::string_view name) const;
    /*! @brief Returns the zones with leases in the order in which they are responsible for a tenant. */
    [[nodiscard]] std::vector<std::string> ranked_zones(std::string_view name) const;
    [[nodiscard]] std::optional<grantor> find_grantor(std::string_view name, bool as_deputy);
    /*! @brief Asks for the units that the waiting requests of a tenant need, unless that is under way. */
    void ask(const std::string& name, bool as_deputy);
    /*! @brief Asks after a pause in which the requests of a limited tenant are collected. */
    [[nodiscard]] boost::asio::awaitable<void> ask_later(std::string name, core::duration pause);
    [[nodiscard]] boost::asio::awaitable<void> call_peer(std::string node);
    /*! @brief Sends questions in one message; fails when the peer gave no answer. */
    [[nodiscard]] boost::asio::awaitable<core::result<wire::quota_grant>> send_questions(
        std::string node, std::vector<question>& questions);
    [[nodiscard]] wire::quota_demand make_demand(question& asked);
    /*! @brief Decides what another node, or this one, is granted. */
    [[nodiscard]] wire::quota_share decide(const wire::quota_demand& demand);
    [[nodiscard]] std::optional<quota_standing> standing_of(const wire::quota_demand& demand, held_zone& zone);
    /*! @brief Applies an answer; null when there was none. */
    void apply_share(const question& asked, const wire::quota_share* share, core::time_point asked_at);
    /*! @brief Returns the number of nodes that share the tolerance; 0 while they are not known. */
    [[nodiscard]] std::size_t nodes_sharing() const;
    /*! @brief Counts units that were admitted without a grant. */
    void count_without_grant(const std::optional<quota_charge>& charged);
    /*! @brief Admits what can be admitted without a grant, and refuses the other requests that were asked for. */
    void end_question(const tenant& owner, std::chrono::milliseconds retry_after);
    void admit_all(const std::string& name);
    void complete(const std::vector<quota_admission>& admitted);
    void complete(std::uint64_t ticket, core::result<quota_charge> outcome);
    /*! @brief Counts a decision, and logs when a tenant begins and ceases to be limited on this node. */
    void record(const std::string& name, double units, const core::result<quota_charge>& outcome);
    /*! @brief Returns the name of a tenant as the label of a metric, whose number of values is bounded. */
    [[nodiscard]] std::string tenant_label(const std::string& name);
    void log_weight(const std::string& zone, held_zone& held, double weight);

    quota_context context;
    quota_bounds bounds;
    std::string node_name;
    quota_account account;
    route_table::configuration_type applied_config{};
    std::map<std::uint64_t, std::shared_ptr<waiting_request>> waiting{};
    /*! @brief Tenants whose waiting requests have been asked for, or will be after a pause. */
    std::set<std::string, std::less<>> asked_tenants{};
    /*! @brief When refused tenants may be asked for again. */
    std::map<std::string, core::time_point, std::less<>> paused_until{};
    std::map<std::string, peer_calls, std::less<>> peers_called{};
    std::map<std::string, held_zone, std::less<>> held_zones{};
    std::map<std::string, limitation, std::less<>> limitations{};
    /*! @brief Nodes that granted last, by availability zone. */
    std::map<std::string, std::string, std::less<>> last_grantors{};
    std::set<std::string, std::less<>> labelled_tenants{};
    std::vector<std::string> zones{};
    core::time_point zones_changed_at{core::time_point::min()};
    cluster::membership_service::member_snapshot counted_members{};
    std::size_t nodes_live{};
    /*! @brief Nodes that have been live since the start and have not left as planned. Nodes beyond a partition must not
     * be forgotten, as they may admit requests too. */
    std::set<std::string, std::less<>> known_nodes{};
};

} // namespace lagoonsaddle::edge

#endif
