#ifndef LAGOONSADDLE_EDGE_QUOTA_ACCOUNT_HPP
#define LAGOONSADDLE_EDGE_QUOTA_ACCOUNT_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/quota_ledger.hpp>
#include <lagoonsaddle/edge/quota_tolerance.hpp>
#include <lagoonsaddle/edge/types.hpp>
#include <lagoonsaddle/edge/windowed_sum.hpp>

namespace lagoonsaddle::edge {

/*! @brief What an admitted request has used of the quota of its tenant. */
struct quota_charge {
    std::string tenant{};
    double units{};
    /*! @brief Until when the units can be used by another request, if this one is not sent to any upstream. */
    core::time_point expires{};
};

/*! @brief A request that waits for a grant and has got its units. */
struct quota_admission {
    std::uint64_t ticket{};
    quota_charge charge{};
};

/**
 * @brief What a node may admit of the quotas of tenants: granted units that have not been used, and requests that wait.
 *
 * Granted units expire, so that the nodes cannot save up more than the tolerance of a quota. Not thread-safe.
 */
class quota_account {
public:
    /**
     * @brief Constructs an empty account.
     * @param values What all nodes together may admit.
     * @param now Current time. Requests are admitted without a grant only one window later, since an earlier process of
     * the node may have done so.
     */
    quota_account(quota_bounds values, core::time_point now) noexcept;

    /*! @brief Charges a request that has just arrived. Returns nothing when the balance is too small for it, or others
     * wait already. */
    [[nodiscard]] std::optional<quota_charge> charge(const tenant& owner, double units, core::time_point now);

    /**
     * @brief Charges a request within the share of this node in the tolerance, so that a small one need not wait.
     * @param owner Its tenant.
     * @param units What it needs.
     * @param nodes Largest number of nodes that this node has known; 0 when unknown.
     * @param now Current time.
     * @return The charge, or nothing when the share is used up or too small.
     */
    [[nodiscard]] std::optional<quota_charge> charge_without_grant(
        const tenant& owner, double units, std::size_t nodes, core::time_point now);

    /**
     * @brief Adds a request that waits for a grant.
     * @param owner Its tenant.
     * @param units What it needs.
     * @param priority 0 is the most urgent.
     * @return Number of the request.
     */
    [[nodiscard]] std::uint64_t add_waiting(const tenant& owner, double units, unsigned priority);

    /*! @brief Removes a request that no longer waits. */
    void remove_waiting(std::string_view name, std::uint64_t ticket);

    /*! @brief Returns the number of requests of a tenant that wait. */
    [[nodiscard]] std::size_t waiting_count(std::string_view name) const;

    /*! @brief Returns what the requests that wait need beyond the balance, and what will be needed soon. From now on
     * these requests count as asked for. */
    [[nodiscard]] quota_need take_need(const tenant& owner, core::time_point now);

    /*! @brief Adds granted units; `asked_at` is the time of the question, since the grant may have been made then. */
    void add_grant(const tenant& owner, double units, core::time_point asked_at);

    /*! @brief Admits the requests that the balance covers: those that were asked for before others, for which it was
     * not granted; among them more urgent ones first, then those that need less. */
    [[nodiscard]] std::vector<quota_admission> admit_waiting(const tenant& owner, core::time_point now);

    /**
     * @brief Admits requests that were asked for without a grant, within the share of this node in the tolerance.
     * @param owner Their tenant.
     * @param nodes Number of nodes that may do the same.
     * @param now Current time.
     * @return The admitted requests.
     */
    [[nodiscard]] std::vector<quota_admission> admit_without_grant(
        const tenant& owner, std::size_t nodes, core::time_point now);

    /*! @brief Lets the requests that were asked for wait for another answer. */
    void ask_again(std::string_view name);

    /*! @brief Removes the requests that were asked for, and returns their numbers. */
    [[nodiscard]] std::vector<std::uint64_t> remove_asked(std::string_view name);

    /*! @brief Removes all requests of a tenant that wait, and returns their numbers. */
    [[nodiscard]] std::vector<std::uint64_t> remove_all(std::string_view name);

    /*! @brief Returns the units of a request that was not sent to any upstream, as far as they have not expired. */
    void credit(const quota_charge& unused, core::time_point now);

    /*! @brief Drops the balances of tenants whose limit a new configuration has lowered or removed. */
    void apply(const configuration& config);

    /*! @brief Returns the units that can be used now. */
    [[nodiscard]] double balance(std::string_view name, core::time_point now) const;

private:
    struct lot {
        double units{};
        core::time_point expires{};
    };

    struct waiting_request {
        std::uint64_t ticket{};
        double units{};
        unsigned priority{};
        bool asked{false};
    };

    struct tenant_state {
        tenant_quota quota{};
        std::deque<lot> lots{};
        std::vector<waiting_request> waiting{};
        /*! @brief Requests and their units, with an exponential decay. */
        double recent_requests{};
        double recent_units{};
        core::time_point decayed_at{};
        windowed_sum admitted_without_grant;
    };

    [[nodiscard]] tenant_state& state_of(const tenant& owner);
    static void decay(tenant_state& state, core::time_point now);
    /*! @brief Takes units from the lots that expire first; returns nothing when they are too few. */
    [[nodiscard]] static std::optional<quota_charge> take(
        const std::string& name, tenant_state& state, double units, core::time_point now);

    quota_bounds bounds;
    core::time_point started;
    std::uint64_t last_ticket{};
    std::map<std::string, tenant_state, std::less<>> states{};
};

} // namespace lagoonsaddle::edge

#endif
