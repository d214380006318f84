#ifndef LAGOONSADDLE_POLICY_LOAD_SCHEDULER_HPP
#define LAGOONSADDLE_POLICY_LOAD_SCHEDULER_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/core/model_name.hpp>

namespace lagoonsaddle::policy {

/*! @brief Options of `load_scheduler`. */
struct load_scheduler_options {
    /*! @brief Largest number of permits that are valid at the same time. */
    std::size_t concurrent_permits{1u};
    /*! @brief Largest number of permits granted within any second. */
    std::size_t grants_per_second{3u};
    /*! @brief Time after which a permit expires if it was not released. Its holder must not load after that. */
    core::duration permit_validity{std::chrono::seconds{5}};
    /*! @brief Load time assumed for a request without one. */
    core::duration default_load_time{std::chrono::milliseconds{350}};
    /*! @brief Wait after which a request is eligible for the grants reserved for aged requests. */
    core::duration aging_threshold{std::chrono::seconds{3}};
    /*! @brief One in this many grants is reserved for the oldest aged request. */
    std::size_t aged_grant_interval{3u};
    /*! @brief Time after which a request that was not renewed is dropped, as its requester may have failed. */
    core::duration request_expiry{std::chrono::seconds{30}};
    /*! @brief Slack to the nearest deadline below which a request counts as urgent. */
    core::duration deadline_horizon{std::chrono::seconds{5}};
    /*! @brief Weight of a deadline without slack, in waiting requests. */
    double deadline_weight{2.};
    /*! @brief Largest number of queued requests; new ones above it are dropped. */
    std::size_t requests_max{65'536u};
};

/*! @brief Request to load an adapter on an engine. Replaces an earlier request with the same engine and adapter. */
struct load_request {
    /*! @brief Name of the requesting node, which owns the engine. */
    std::string requester{};
    std::string engine{};
    core::adapter_version adapter{};
    /*! @brief Inference requests that wait for the load. 0 for a preload, such as after a restart. */
    std::size_t waiting{1u};
    std::optional<core::time_point> nearest_deadline{};
    /*! @brief Expected load time, if known. */
    std::optional<core::duration> load_time{};
};

/*! @brief Permission to run one load. */
struct load_permit {
    std::uint64_t id{};
    std::string requester{};
    std::string engine{};
    core::adapter_version adapter{};
    core::time_point expires_at{};
};

/*! @brief Reason why a request left the load queue without a permit. */
enum class load_drop_reason { deadline_passed, not_renewed, queue_full };

/*! @brief A request that left the load queue without a permit. */
struct dropped_load {
    load_request request{};
    load_drop_reason reason{load_drop_reason::deadline_passed};
};

/*! @brief Result of `load_scheduler::poll`. */
struct load_actions {
    std::vector<load_permit> granted{};
    /*! @brief Permits that expired without a release. Their engine and adapter may be requested again. */
    std::vector<load_permit> expired{};
    std::vector<dropped_load> dropped{};
    /*! @brief Latest time at which to call `poll` again if there is no other event. */
    std::optional<core::time_point> next_poll{};
};

/*! @brief A queued request with its position in the load queue, for state dumps and load-stall estimates. */
struct ranked_load {
    std::string engine{};
    core::adapter_version adapter{};
    std::size_t position{};
    std::size_t waiting{};
    core::duration age{};
};

/**
 * @brief Fleet-wide load queue, which limits the loads from the weight store. Runs on the owner of the weight store.
 * Not thread-safe.
 *
 * Requests are ranked by waiting requests and nearest deadline per second of load time. The rank is computed when a
 * request is made or renewed, so that a grant needs no search through all requests; renew a request at least once a
 * second. Every `aged_grant_interval`-th grant goes to the oldest request that has waited longer than
 * `aging_threshold`, so that a load with a single waiting request is not starved.
 */
class load_scheduler {
public:
    explicit load_scheduler(load_scheduler_options options = {});

    /**
     * @brief Blocks grants on a new owner of the weight store, as permits of the previous owner may still be valid.
     * @param until Time at which all permits of the previous owner have expired.
     */
    void block_grants_until(core::time_point until) noexcept;

    /**
     * @brief Adds or renews a request. Ignored while a permit for the same engine and adapter is valid.
     * @param request The request.
     * @param now Current time.
     */
    void request_load(load_request request, core::time_point now);

    /**
     * @brief Removes a request that is no longer needed.
     * @param engine Engine of the request.
     * @param adapter Adapter of the request.
     * @return False if there is no such request.
     */
    bool withdraw(std::string_view engine, const core::adapter_version& adapter);

    /**
     * @brief Releases a permit after the load completed, failed or was not started.
     * @param permit Permit id.
     * @param now Current time.
     * @return False if the permit is unknown or has expired.
     */
    bool release(std::uint64_t permit, core::time_point now);

    /**
     * @brief Removes the requests of a failed node. Its permits remain valid until they expire, because an engine may
     * still be loading.
     * @param requester Name of the node.
     * @return Number of removed requests.
     */
    std::size_t remove_requester(std::string_view requester);

    /**
     * @brief Expires and grants permits. Call after each event and at `load_actions::next_poll`.
     * @param now Current time.
     * @return Granted and expired permits, and dropped requests.
     */
    [[nodiscard]] load_actions poll(core::time_point now);

    /*! @brief Number of requests that wait for a permit. */
    [[nodiscard]] std::size_t waiting_count() const noexcept;
    /*! @brief Number of valid permits. */
    [[nodiscard]] std::size_t permit_count() const noexcept;

    /**
     * @brief Returns the queued requests by rank, without regard to aging.
     * @param now Current time.
     * @param limit Largest number of requests to return.
     * @return Requests, highest rank first.
     */
    [[nodiscard]] std::vector<ranked_load> ranked_loads(core::time_point now, std::size_t limit) const;

private:
    using key_type = std::pair<std::string, core::adapter_version>;

    struct entry {
        load_request request{};
        core::time_point requested_at{};
        /*! @brief Sequence number of the request. Makes the order deterministic for equal ranks and times. */
        std::uint64_t arrival{};
        core::time_point drop_at{};
        load_drop_reason drop_reason{load_drop_reason::not_renewed};
        /*! @brief Waiting requests and deadline weight per second of load time. */
        double rank{};
    };

    using entry_iterator = std::map<key_type, entry>::iterator;

    /*! @brief Orders by rank (negated), then by age. */
    using rank_key = std::tuple<double, core::time_point, std::uint64_t, const key_type*>;
    using time_key = std::tuple<core::time_point, std::uint64_t, const key_type*>;

    [[nodiscard]] double compute_rank(const load_request& request, core::time_point now) const noexcept;
    void add_to_indexes(entry_iterator position);
    void remove_from_indexes(entry_iterator position);
    void remove(entry_iterator position);
    void expire_permits(core::time_point now);
    void grant_permit(entry_iterator position, core::time_point now, load_actions& actions);

    load_scheduler_options options{};
    core::time_point grants_allowed_from{core::time_point::min()};
    std::map<key_type, entry> entries{};
    std::set<rank_key> by_rank{};
    /*! @brief Requests subject to aging, which excludes preloads. */
    std::set<time_key> by_age{};
    std::set<time_key> by_drop_time{};
    std::vector<dropped_load> rejected{};
    std::map<std::uint64_t, load_permit> active_permits{};
    std::set<key_type> permitted_loads{};
    std::vector<load_permit> expired_permits{};
    std::deque<core::time_point> recent_grants{};
    std::uint64_t next_permit{1u};
    std::uint64_t arrival_count{};
    std::size_t grant_count{};
};

} // namespace lagoonsaddle::policy

#endif
