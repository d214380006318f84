#ifndef LAGOONSADDLE_EDGE_DISPATCH_SERVICE_HPP
#define LAGOONSADDLE_EDGE_DISPATCH_SERVICE_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <lagoonsaddle/cluster/peer_directory.hpp>
#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/placement_service.hpp>
#include <lagoonsaddle/edge/reservation_table.hpp>
#include <lagoonsaddle/edge/upstream_selector.hpp>
#include <lagoonsaddle/edge/upstream_table.hpp>
#include <lagoonsaddle/wire/messages.hpp>

namespace lagoonsaddle::edge {

/*! @brief Dependencies of the service, all of which must outlive it. */
struct dispatch_context {
    boost::asio::io_context& io;
    const core::clock& clock;
    upstream_table& upstreams;
    placement_service& placement;
    cluster::peer_directory& peers;
};

/*! @brief A request that was assigned to an upstream. Its adapter, if it needs one, is resident there. */
struct placed_request {
    std::string upstream{};
    /*! @brief Prompt tokens that the upstream probably has to prefill, as they are not in its prompt cache. */
    std::uint64_t cold_tokens{};
    /*! @brief Node that keeps the reservation of the request; empty when there is none. */
    std::string holder{};
    /*! @brief Identifies the reservation, together with the name of the sending node. */
    std::uint64_t ticket{};
};

/*! @brief Why a request could not be placed, and the upstream that was tried. */
struct placement_failure {
    core::error failure{};
    std::string upstream{};
    /*! @brief Whether no upstream of the availability zone can load the adapter before the deadline. */
    bool unservable{};
};

using placement_result = tl::expected<placed_request, placement_failure>;

/**
 * @brief Assigns requests for models to upstreams through the node that holds the lease of the availability zone.
 *
 * The lease holder keeps a reservation for every request that was placed in the zone. It therefore chooses by the exact
 * load, and loads the adapter in the same call. When no holder responds, the request is sent to the upstream that the
 * sender has chosen, provided that the adapter is resident there. Must only be used from the thread that runs the
 * `io_context`.
 */
class dispatch_service : public std::enable_shared_from_this<dispatch_service> {
public:
    explicit dispatch_service(dispatch_context context, std::string node_name);

    /*! @brief Starts the periodic maintenance of the reservations. */
    void start();

    /*! @brief Returns a ticket that no other request of this node has. */
    [[nodiscard]] std::uint64_t next_ticket() noexcept {
        return ++this->last_ticket;
    }

    /**
     * @brief Places a request of this node.
     * @param request The request with its ticket; `zone` is set by this function.
     * @param local_choice Upstream chosen by this node, whose availability zone is used.
     * @return The placement, or the reason why the request was not sent.
     */
    [[nodiscard]] boost::asio::awaitable<placement_result> place(wire::place_request request, selection local_choice);

    /*! @brief Tells the lease holder that a request, whose placement has not ended yet, is no longer wanted. */
    void withdraw(std::uint64_t ticket);

    /*! @brief Called with the upstream when a request has to wait for the load of its adapter. */
    using pending_callback = std::function<void(const std::string& upstream)>;

    /**
     * @brief Places a request of any node in an availability zone whose lease this node holds.
     * @param node Node that received the request from its caller.
     * @param request The request.
     * @param on_pending Called for each upstream whose load the request waits for; may be empty.
     * @return The placement, or why there is none.
     */
    [[nodiscard]] boost::asio::awaitable<wire::placement> place_as_holder(
        std::string node, wire::place_request request, pending_callback on_pending = {});

    /*! @brief Records that the upstream has begun to respond. */
    void record_start(const placed_request& request);

    /*! @brief Releases the reservation of a request that has ended, for whatever reason. */
    void record_end(const placed_request& request);

    /*! @brief Applies a progress message of another node to its reservations. */
    void apply_progress(const std::string& node, const wire::request_progress& progress);

    /*! @brief Removes the reservations of a node that has left the fleet. */
    void remove_node(std::string_view node);

    /**
     * @brief Returns the delay at the upstreams of an availability zone, as last reported by its lease holder.
     * @return The delay in milliseconds, which decays exponentially with the age of the report.
     */
    [[nodiscard]] double zone_delay_ms(std::string_view zone, core::time_point now) const;

    /*! @brief Returns by which factor prefills in an availability zone are slower than in the others, as last reported
     * by its lease holder; 1 without a recent report. */
    [[nodiscard]] double zone_slowness(std::string_view zone, core::time_point now) const;
    /*! @brief Returns the delay of new loads in an availability zone in the same way. */
    [[nodiscard]] double zone_load_wait_ms(std::string_view zone, core::time_point now) const;

    /*! @brief Returns the number of requests that this node has placed as lease holder and that have not ended. */
    [[nodiscard]] std::size_t reservation_count() const noexcept {
        return this->reservations.all().size();
    }

private:
    /*! @brief State of the lease holder of an availability zone. */
    struct zone_state {
        double delay_ms{};
        double load_wait_ms{};
        core::time_point delay_updated{};
        /*! @brief The holder is not called before this time, because it did not respond. */
        core::time_point skip_holder_until{};
        /*! @brief Reported durations of prefills relative to the nominal one. */
        upstream_speed speed{};
    };

    [[nodiscard]] boost::asio::awaitable<void> maintain_reservations();
    /*! @brief Sends the pending progress to a holder after a short delay that batches updates. */
    [[nodiscard]] boost::asio::awaitable<void> send_progress(std::string holder);
    [[nodiscard]] boost::asio::awaitable<core::result<wire::placement>> call_holder(
        std::string holder, wire::place_request request, bool resident);
    /*! @brief Chooses an upstream of the zone by the exact load and reserves capacity there. */
    [[nodiscard]] std::optional<selection> reserve(const reservation_table::key_type& key,
        const wire::place_request& request, const std::set<std::string>& excluded);
    /*! @brief Returns the software version of an upstream, or nothing when it is gone or may have started again. */
    [[nodiscard]] std::optional<std::string> certain_version(std::string_view upstream) const;
    /*! @brief Records the speed of an upstream that has begun to answer a request, and that its prompt is prefilled. */
    void mark_prefilled(const reservation_table::key_type& key);
    /*! @brief Adds to an answer what this node knows of the speeds of upstreams. */
    void add_speeds(wire::placement& reply, const selection& choice) const;
    [[nodiscard]] wire::request_progress& pending_progress_for(const std::string& holder);
    /*! @brief Makes the request for the adapter of a request that was placed on an upstream. */
    [[nodiscard]] adapter_request make_load(const reservation_table::key_type& key, const wire::place_request& request,
        const selection& choice, core::time_point begin, const pending_callback& on_pending) const;
    /*! @brief Returns how long other loads delay a new one in an availability zone of this node, in milliseconds. */
    [[nodiscard]] std::uint64_t load_wait_of(std::string_view zone) const;
    [[nodiscard]] upstream_selector& selector_for(const std::string& zone);
    void record_placement(const std::string& zone, const wire::place_request& request, const wire::placement& reply);
    /*! @brief Returns a delay that was reported by a lease holder, which decays with the age of the report. */
    [[nodiscard]] double decayed_delay_ms(std::string_view zone, double zone_state::*delay, core::time_point now) const;

    dispatch_context context;
    std::string node_name;
    std::uint64_t last_ticket{};
    /*! @brief Lease holders that are placing requests of this node, by ticket. */
    std::map<std::uint64_t, std::string> calls_in_progress{};
    reservation_table reservations{};
    /*! @brief Selectors by availability zone, for the zones whose lease this node holds or has held. */
    std::map<std::string, upstream_selector, std::less<>> selectors{};
    /*! @brief Progress that has not been sent yet, by lease holder. */
    std::map<std::string, wire::request_progress, std::less<>> pending_progress{};
    std::map<std::string, zone_state, std::less<>> zones{};
};

} // namespace lagoonsaddle::edge

#endif
