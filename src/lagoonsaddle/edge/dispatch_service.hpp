#ifndef LAGOONSADDLE_EDGE_DISPATCH_SERVICE_HPP
#define LAGOONSADDLE_EDGE_DISPATCH_SERVICE_HPP

#include <chrono>
#include <cstdint>
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

/*! @brief What the service uses; everything must outlive it. */
struct dispatch_context {
    boost::asio::io_context& io;
    const core::clock& time;
    upstream_table& upstreams;
    placement_service& placement;
    cluster::peer_directory& peers;
};

/*! @brief A request placed on an upstream that holds its adapter. */
struct dispatched {
    std::string upstream{};
    std::uint64_t cold_tokens{};
    /*! @brief Node that counts the request; empty when nobody does. */
    std::string holder{};
    std::uint64_t ticket{};
};

/*! @brief Why a request could not be placed, and on which upstream. */
struct dispatch_failure {
    core::error failure{};
    std::string upstream{};
};

/**
 * @brief Places requests for models through the node that holds the lease of the availability zone.
 *
 * The holder knows all requests that were placed there, so that it chooses by the exact load and makes the adapter
 * resident in the same step. Without a holder that answers, a request goes to the sender's own choice if that holds the
 * adapter. All state is used from the one thread that runs the `io_context`.
 */
class dispatch_service : public std::enable_shared_from_this<dispatch_service> {
public:
    explicit dispatch_service(dispatch_context context, std::string self);

    /*! @brief Starts to look after the reservations. */
    void start();

    /**
     * @brief Places a request.
     * @param wanted What the request needs; zone and ticket are filled in.
     * @param choice The sender's own choice, which decides the availability zone.
     * @return Where the request goes, or why it was not sent.
     */
    [[nodiscard]] boost::asio::awaitable<tl::expected<dispatched, dispatch_failure>> place(
        wire::place_request wanted, const selection& choice);

    /*! @brief Places a request of a node on an upstream whose loads this node orders. */
    [[nodiscard]] boost::asio::awaitable<wire::placement> place_here(std::string node, wire::place_request wanted);

    /*! @brief Notes that the upstream has begun to answer. */
    void started(const dispatched& request);

    /*! @brief Notes that a request has ended, for whatever reason. */
    void ended(const dispatched& request);

    /*! @brief Takes over what a node says about its requests. */
    void receive_progress(const std::string& node, const wire::request_progress& progress);

    /*! @brief Forgets the requests of a node that is gone. */
    void node_gone(std::string_view node);

    /*! @brief Returns the delay at the upstreams of an availability zone, as its holder last said, in milliseconds. */
    [[nodiscard]] double zone_delay_ms(std::string_view zone, core::time_point now) const;

    /*! @brief Returns the number of requests that this node has placed and that have not ended. */
    [[nodiscard]] std::size_t reservations() const noexcept {
        return this->ledger.all().size();
    }

private:
    [[nodiscard]] boost::asio::awaitable<void> look_after_reservations();
    [[nodiscard]] boost::asio::awaitable<void> send_progress(std::string holder);
    [[nodiscard]] boost::asio::awaitable<core::result<wire::placement>> ask(
        std::string holder, wire::place_request wanted, bool resident);
    /*! @brief Chooses an upstream of the zone by the exact load, and counts the request there. */
    [[nodiscard]] std::optional<selection> reserve(const reservation_table::key_type& key,
        const wire::place_request& wanted, const std::set<std::string>& excluded);
    [[nodiscard]] wire::request_progress& notes_for(const std::string& holder);
    [[nodiscard]] upstream_selector& selector_of(const std::string& zone);
    void learn(const std::string& zone, const wire::place_request& wanted, const wire::placement& reply);

    dispatch_context context;
    std::string self;
    std::uint64_t last_ticket{};
    reservation_table ledger{};
    /*! @brief Chooses among the upstreams of one availability zone that this node orders. */
    std::map<std::string, upstream_selector, std::less<>> selectors{};
    /*! @brief What holders have not been told yet. */
    std::map<std::string, wire::request_progress, std::less<>> notes{};

    /*! @brief What is known of the holder of an availability zone. */
    struct zone_state {
        double delay_ms{};
        core::time_point delay_at{};
        /*! @brief Until when the holder is not asked, as it did not answer. */
        core::time_point avoid_until{};
    };

    std::map<std::string, zone_state, std::less<>> zones{};
};

} // namespace lagoonsaddle::edge

#endif
