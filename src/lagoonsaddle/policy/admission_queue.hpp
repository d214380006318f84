#ifndef LAGOONSADDLE_POLICY_ADMISSION_QUEUE_HPP
#define LAGOONSADDLE_POLICY_ADMISSION_QUEUE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/core/error.hpp>
#include <lagoonsaddle/core/model_name.hpp>

namespace lagoonsaddle::policy {

/*! @brief Options of `admission_queue`. */
struct admission_queue_options {
    /*! @brief Largest number of queued requests. */
    std::size_t capacity{256u};
    /*! @brief Head start per priority level, in requests of one caller. Bounded, so that a caller that marks all of its
     * requests as urgent cannot starve the others. */
    double priority_credit{4.};
    /*! @brief Time after which a waiting isolated request stops the dispatch of other requests. */
    core::duration isolation_wait{std::chrono::seconds{1}};
    /*! @brief Time between two dispatched requests, assumed until it has been measured. */
    core::duration dequeue_interval_default{std::chrono::milliseconds{50}};
    /*! @brief Factor on the expected service time, as about half of all requests take longer than the mean. An
     * overloaded queue starts requests close to their latest start, so that without a margin many of them miss their
     * deadline. */
    double service_time_factor{1.5};
    /*! @brief Smallest `retry_after` of a refusal. */
    std::chrono::milliseconds retry_after_min{50};
};

/*! @brief A request in the queue of an upstream. */
struct queued_request {
    /*! @brief Assigned by the user of the queue; unique within it. */
    std::uint64_t id{};
    /*! @brief Adapter of the request; empty for a service without adapters. */
    core::adapter_version adapter{};
    std::string caller{};
    /*! @brief 0 to 9; 9 is the most urgent. */
    int priority{5};
    core::time_point deadline{};
    /*! @brief Expected execution time on the upstream; 0 if unknown. A request that is expected to miss its deadline is
     * not started. */
    core::duration service_time{};
    /*! @brief The request is suspected of crashing upstreams and only runs with nothing else in flight. */
    bool isolated{};
};

/*! @brief A refused or removed request, with the error for its caller. The verdict is always `not_run`. */
struct refused_request {
    queued_request request{};
    core::error error{};
};

/*! @brief Result of `admission_queue::push`. */
struct admission_result {
    /*! @brief Empty if the request was accepted. */
    std::optional<core::error> refusal{};
    /*! @brief Request that was removed from the full queue to make room: one of a caller above its fair share, or a
     * less urgent one of the same caller. Fail it at once. */
    std::optional<refused_request> displaced{};

    [[nodiscard]] bool accepted() const noexcept {
        return !this->refusal.has_value();
    }
};

/*! @brief Queued requests for one adapter, the input of a load request. */
struct adapter_demand {
    core::adapter_version adapter{};
    std::size_t waiting{};
    core::time_point nearest_deadline{};
};

/**
 * @brief Bounded queue of one upstream with priorities, fair shares per caller and deadlines. Not thread-safe.
 *
 * Shares the upstream between callers by start-time fair queueing. Priority orders the requests of one caller and
 * gives them a bounded head start over those of other callers.
 */
class admission_queue {
public:
    /*! @brief Returns whether requests for an adapter can be dispatched now. */
    using residency_predicate = std::function<bool(const core::adapter_version&)>;

    explicit admission_queue(admission_queue_options options = {});

    /**
     * @brief Enqueues or refuses a request.
     * @param request The request.
     * @param load_wait Expected time until its adapter is resident; 0 if it is resident.
     * @param now Current time.
     * @return The result. Reasons of a refusal: `overloaded` (the queue is full), `deadline_exceeded` (the deadline
     * cannot be met) and `conflict` (the id is already queued).
     */
    [[nodiscard]] admission_result push(queued_request request, core::duration load_wait, core::time_point now);

    /**
     * @brief Removes requests from the queue to fill the batch. Skips requests for adapters that are not resident and
     * requests past their latest start.
     * @param batch_headroom Number of requests that the batch can still take.
     * @param in_flight Requests in flight on the upstream.
     * @param resident Returns whether an adapter is resident.
     * @param now Current time.
     * @return Requests to dispatch, at most `batch_headroom`. An isolated request is returned alone, and only when
     * nothing is in flight.
     */
    [[nodiscard]] std::vector<queued_request> pop(
        std::size_t batch_headroom, std::size_t in_flight, const residency_predicate& resident, core::time_point now);

    /**
     * @brief Removes the requests that would miss their deadline even if they started now.
     * @param now Current time.
     * @return The removed requests; fail them at once.
     */
    [[nodiscard]] std::vector<refused_request> expire(core::time_point now);

    /**
     * @brief Removes a request that was cancelled by its caller.
     * @param id Id of the request.
     * @return The request, or nothing if it is not queued.
     */
    std::optional<queued_request> cancel(std::uint64_t id);

    /**
     * @brief Removes all requests for an adapter, such as after its load failed.
     * @param adapter An adapter.
     * @return The removed requests.
     */
    [[nodiscard]] std::vector<queued_request> remove_adapter(const core::adapter_version& adapter);

    /*! @brief Removes and returns all requests, for an upstream that is leaving or has failed. */
    [[nodiscard]] std::vector<queued_request> drain();

    /*! @brief Returns the earliest time at which `expire` has a request to remove. */
    [[nodiscard]] std::optional<core::time_point> next_expiry() const;

    /*! @brief Returns the queued requests by adapter, most requests first. */
    [[nodiscard]] std::vector<adapter_demand> demand() const;

    /**
     * @brief Returns the expected queue wait of a new request whose adapter is resident.
     * @return Number of queued requests times the average time between two dispatched requests.
     */
    [[nodiscard]] core::duration expected_wait() const noexcept;

    [[nodiscard]] std::size_t size() const noexcept;
    [[nodiscard]] bool empty() const noexcept;

private:
    /*! @brief Dispatch order within one caller: priority (negated), latest start, arrival number, id. */
    using sort_key = std::tuple<int, core::time_point, std::uint64_t, std::uint64_t>;

    struct entry {
        queued_request request{};
        core::time_point queued_at{};
        sort_key key{};
    };

    struct caller_state {
        std::set<sort_key> waiting{};
        /*! @brief Virtual start time of its next request. Advances by one with each dispatched request. */
        double virtual_start{};
    };

    struct adapter_queue {
        /*! @brief Requests that are not isolated, by caller. */
        std::map<caller_state*, std::set<sort_key>> by_caller{};
        std::set<std::pair<core::time_point, std::uint64_t>> deadlines{};
    };

    [[nodiscard]] core::duration service_time(const queued_request& request) const noexcept;
    void insert(queued_request request, core::time_point now);
    /*! @brief Removes a request. `charge_caller` is true if it counts against the fair share of its caller. */
    queued_request remove(std::uint64_t id, bool charge_caller);
    [[nodiscard]] double requests_ahead(const queued_request& request) const;
    [[nodiscard]] core::error make_refusal(core::reason cause, std::string message, core::duration retry_after) const;

    admission_queue_options options{};
    std::unordered_map<std::uint64_t, entry> entries{};
    std::map<std::string, caller_state> callers{};
    std::unordered_map<core::adapter_version, adapter_queue> adapter_queues{};
    std::set<std::pair<core::time_point, std::uint64_t>> by_latest_start{};
    /*! @brief Isolated requests, oldest first. */
    std::set<std::pair<core::time_point, std::uint64_t>> isolated_requests{};
    std::multiset<double> virtual_starts{};
    double virtual_time{};
    std::uint64_t arrival_count{};
    bool isolated_running{};
    /*! @brief Time of the last `pop`, if it filled the batch and left requests in the queue. */
    std::optional<core::time_point> last_full_pop{};
    core::duration dequeue_interval{};
};

} // namespace lagoonsaddle::policy

#endif
