#ifndef LAGOONSADDLE_EDGE_LOAD_ADMISSION_HPP
#define LAGOONSADDLE_EDGE_LOAD_ADMISSION_HPP

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/load_window.hpp>

namespace lagoonsaddle::edge {

/*! @brief An adapter on an upstream. */
struct load_key {
    std::string upstream{};
    /*! @brief `model/adapter`. */
    std::string adapter{};

    [[nodiscard]] friend auto operator<=>(const load_key&, const load_key&) = default;
};

/*! @brief A request that waits for an adapter. */
struct load_request {
    load_key key{};
    /*! @brief 0 is the most urgent. */
    unsigned priority{1u};
    /*! @brief When the latency objective ends; nothing when the sender states none. */
    std::optional<core::time_point> objective{};
    /*! @brief When the request ends; nothing when the sender states none. Such a request is never refused. */
    std::optional<core::time_point> deadline{};
    /*! @brief Prompt tokens that have to be prefilled. */
    std::uint64_t prompt_tokens{};
    std::uint64_t output_tokens{};
};

/*! @brief Options of `load_admission`. */
struct load_admission_options {
    load_window_options window{};
    /*! @brief Tokens that an upstream of nominal speed prefills per millisecond. */
    double prefill_tokens_per_ms{40.0};
    /*! @brief Time of an output token on an upstream of nominal speed. */
    core::duration token_time{std::chrono::milliseconds{5}};
    /*! @brief Share of the nominal run time that is certain to be needed: upstreams may be faster, and requests may end
     * early. */
    double certain_work{0.5};
    /*! @brief Latency objective of a request that states none. */
    core::duration objective_default{std::chrono::seconds{1}};
    /*! @brief One of this many loads is the one that has been waited for longest. */
    unsigned loads_per_oldest{8u};
    /*! @brief A load that takes longer than both this and `overdue_factor` times the mean is no longer counted. */
    core::duration overdue_min{std::chrono::seconds{2}};
    unsigned overdue_factor{4u};
    /*! @brief Time for which an upstream that could begin a load is remembered; upstreams ask more often. */
    core::duration denial_retention{std::chrono::milliseconds{400}};
    /*! @brief Age at which the order is computed again although nothing was added or removed. */
    core::duration order_lifetime{std::chrono::milliseconds{20}};
    /*! @brief Requests that may wait; further ones are refused. */
    std::size_t requests_max{10'000u};
    /*! @brief Bounds of the retry-after time of a refusal. */
    core::duration retry_after_min{std::chrono::milliseconds{100}};
    core::duration retry_after_max{std::chrono::seconds{5}};
};

/*! @brief Why a request for an adapter is refused. */
enum class load_refusal_reason {
    /*! @brief Its deadline could not be met when it arrived. */
    deadline,
    /*! @brief Its deadline can no longer be met because more urgent requests arrived or loads became slower. */
    displaced,
    /*! @brief Too many requests wait. */
    queue_full
};

inline constexpr std::size_t load_refusal_reason_count{3u};

[[nodiscard]] std::string_view to_string(load_refusal_reason value) noexcept;

/*! @brief A request that cannot be served before its deadline. */
struct load_refusal {
    load_refusal_reason reason{};
    /*! @brief Time until the load of the adapter could begin, and by which the request would miss its deadline. */
    core::duration wait{};
    core::duration retry_after{};
};

/*! @brief State of the loads of an availability zone. */
struct load_admission_state {
    std::size_t window{};
    std::size_t loads_in_progress{};
    /*! @brief Adapters that wait for a load, and those of them that only the window delays. */
    std::size_t loads_waiting{};
    std::size_t loads_delayed{};
    std::size_t requests_waiting{};
    core::duration load_duration{};
    std::array<std::uint64_t, load_refusal_reason_count> refusals{};
};

/**
 * @brief Order of the adapter loads of all upstreams of an availability zone, and admission of the requests that wait
 * for them.
 *
 * Bounds the loads from the weight store in progress by a `load_window`. While fewer are in progress, every upstream
 * loads what it can; otherwise loads are ordered by what their delay costs callers: first those with a request that can
 * still meet its latency objective, then by priority, number of requests, latest start and least work. One in
 * `loads_per_oldest` loads is the one waited for longest, so that none waits without end. A request whose deadline
 * cannot be met because of the loads ahead of it is refused; never while the window has room. What is safe on an
 * upstream is decided by its `slot_scheduler`. Not thread-safe.
 */
class load_admission {
public:
    using ticket_type = std::uint64_t;

    explicit load_admission(load_admission_options options = {});

    /*! @brief Adds a request that waits for an adapter; nothing when too many wait. Paired with `remove_request`. */
    [[nodiscard]] std::optional<ticket_type> add_request(load_request request, core::time_point now);

    void remove_request(ticket_type ticket);

    /*! @brief Returns why a waiting request is to be refused, or nothing while it can be served. */
    [[nodiscard]] std::optional<load_refusal> find_refusal(ticket_type ticket, core::time_point now);

    /*! @brief Counts a refusal. */
    void record_refusal(load_refusal_reason reason) noexcept;

    /*! @brief Returns the upstreams with requests that are to be refused since the last call. */
    [[nodiscard]] std::set<std::string> take_refused_upstreams(core::time_point now);

    /*! @brief Returns whether the load of an adapter is in progress, or only delayed by other loads. */
    [[nodiscard]] bool is_advancing(const load_key& key, core::time_point now) const;

    /*! @brief Returns the position of a load in the order of those that wait. */
    [[nodiscard]] std::size_t position(const load_key& key, core::time_point now);

    /*! @brief Returns whether a load will begin so soon that a slot may be freed for it. */
    [[nodiscard]] bool may_evict_for(const load_key& key, core::time_point now);

    /*! @brief Called when an upstream could begin a load. Returns whether it does; the load then counts as in progress.
     */
    [[nodiscard]] bool begin_load(const load_key& key, core::time_point now);

    /*! @brief Records that an upstream is loading an adapter. Does nothing when that is known. */
    void record_started(const load_key& key, core::time_point now);

    /*! @brief Records that an adapter is resident. Does nothing when no load of it is in progress. */
    void record_completed(const load_key& key, core::time_point now);

    /*! @brief Records that an adapter is not being loaded after all. */
    void record_failed(const load_key& key);

    /*! @brief Applies what an upstream is loading by its report; loads that it lacks have ended at an unknown time. */
    void synchronize(std::string_view upstream, std::span<const std::string> loading, core::time_point now);

    /*! @brief Removes the loads of an upstream that has ended. */
    void remove_upstream(std::string_view upstream);

    /*! @brief Returns the upstreams that can begin a load and may do so now. */
    [[nodiscard]] std::vector<std::string> ready_upstreams(core::time_point now);

    /*! @brief Returns how long loads delay a new load, or the load of an adapter that is waited for; 0 while the window
     * has room. */
    [[nodiscard]] core::duration load_wait(core::time_point now);
    [[nodiscard]] core::duration load_wait(const load_key& key, core::time_point now);

    /*! @brief Returns the size from which the window has shrunk considerably, once for each such decrease. */
    [[nodiscard]] std::optional<std::size_t> take_window_decrease() noexcept {
        return this->window.take_decrease();
    }

    /*! @brief Starts with the initial window, because another node may have ordered loads meanwhile. */
    void reset_window();

    [[nodiscard]] load_admission_state state(core::time_point now);

private:
    struct waiting_request {
        load_request request{};
        core::time_point arrived{};
        std::optional<load_refusal> refusal{};
        /*! @brief Whether the request has been found servable before. */
        bool was_servable{};
    };

    struct waiting_load {
        std::set<ticket_type> requests{};
        core::time_point arrived{};
        /*! @brief Until when the upstream is taken to be able to begin the load. */
        core::time_point ready_until{core::time_point::min()};
        std::size_t position{};
        core::duration wait{};
    };

    struct load_in_progress {
        core::time_point started{};
        /*! @brief Whether the start was observed, so that the duration is known. */
        bool start_known{};
        bool window_full{};
    };

    /*! @brief Urgency of a load; the least is ordered first. */
    struct load_rank;

    using loads_map = std::map<load_key, load_in_progress>;

    void compute_order(core::time_point now);
    /*! @brief Computes the order unless the last one still holds. */
    void update_order(core::time_point now);
    void move_oldest_to_front();
    /*! @brief Computes how long each load waits, and which requests cannot be served therefore. */
    void estimate_waits(core::time_point now);
    /*! @brief Decides which requests for a load are refused; returns whether any is not. */
    bool review_requests(const waiting_load& load, core::time_point now);
    [[nodiscard]] load_rank rank_of(const waiting_load& load, core::time_point now) const;
    [[nodiscard]] core::time_point objective_of(const waiting_request& entry) const;
    [[nodiscard]] core::duration prefill_time(const load_request& request) const;
    [[nodiscard]] core::duration run_time(const load_request& request) const;
    [[nodiscard]] bool is_overdue(const load_in_progress& load, core::time_point now) const;
    [[nodiscard]] bool is_delayed(std::string_view upstream, core::time_point now) const;
    /*! @brief Records that the window delays the loads of an upstream. */
    void delay_upstream(const std::string& upstream, core::time_point now);
    [[nodiscard]] std::size_t loads_in_progress(core::time_point now) const;
    /*! @brief Returns the number of loads that may begin now. */
    [[nodiscard]] std::size_t free_loads(core::time_point now) const;
    /*! @brief Returns how long a load waits behind others when a number of loads may begin now. */
    [[nodiscard]] core::duration wait_behind(std::size_t loads_ahead, std::size_t free, std::size_t limit) const;
    void record_ended(loads_map::iterator entry, core::time_point now);

    load_admission_options settings;
    load_window window;
    ticket_type last_ticket{};
    std::map<ticket_type, waiting_request> requests{};
    std::map<load_key, waiting_load> waiting{};
    loads_map loads{};
    /*! @brief Until when the window is taken to delay the loads of an upstream. */
    std::map<std::string, core::time_point, std::less<>> delayed_until{};
    /*! @brief Waiting loads that are not in progress, the next one first; valid until `waiting` changes. */
    std::vector<std::map<load_key, waiting_load>::iterator> order{};
    std::optional<core::time_point> order_computed{};
    /*! @brief Waiting loads that only the window delays. */
    std::size_t delayed_count{};
    core::duration new_load_wait{};
    std::set<std::string> refused_upstreams{};
    unsigned loads_since_oldest{};
    /*! @brief Mean time for which a load, also one from the upstream's memory, occupies the window. */
    core::duration mean_occupancy;
    std::array<std::uint64_t, load_refusal_reason_count> refusals{};
};

} // namespace lagoonsaddle::edge

#endif
