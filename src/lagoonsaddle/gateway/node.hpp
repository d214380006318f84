#ifndef LAGOONSADDLE_GATEWAY_NODE_HPP
#define LAGOONSADDLE_GATEWAY_NODE_HPP

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <lagoonsaddle/cluster/membership_service.hpp>
#include <lagoonsaddle/cluster/peer_directory.hpp>
#include <lagoonsaddle/cluster/quarantine_service.hpp>
#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/core/error.hpp>
#include <lagoonsaddle/gateway/adapter_catalogue.hpp>
#include <lagoonsaddle/gateway/caller_handler.hpp>
#include <lagoonsaddle/gateway/config_service.hpp>
#include <lagoonsaddle/gateway/load_permit_service.hpp>
#include <lagoonsaddle/gateway/owner_registry.hpp>
#include <lagoonsaddle/gateway/ownership_service.hpp>
#include <lagoonsaddle/gateway/request_record.hpp>
#include <lagoonsaddle/gateway/routing_table.hpp>
#include <lagoonsaddle/gateway/rule_service.hpp>
#include <lagoonsaddle/gateway/upstream_directory.hpp>
#include <lagoonsaddle/http/client.hpp>
#include <lagoonsaddle/http/server.hpp>
#include <lagoonsaddle/journal/claim_journal.hpp>
#include <lagoonsaddle/platform/http_object_store.hpp>
#include <lagoonsaddle/platform/vm_list.hpp>
#include <lagoonsaddle/settings/node_settings.hpp>
#include <lagoonsaddle/wire/peer_server.hpp>

namespace lagoonsaddle::gateway {

/*! @brief Source of the explain records that peers request. */
class explain_source {
public:
    explain_source() = default;
    explain_source(const explain_source&) = delete;
    explain_source& operator=(const explain_source&) = delete;
    virtual ~explain_source() = default;

    /**
     * @brief Finds an explain record of this node.
     * @param request_id Identifier of the request.
     * @return The record as JSON text; empty when there is none.
     */
    [[nodiscard]] virtual std::string find_record(const std::string& request_id) const = 0;
};

/*! @brief Ports that a node listens on. */
struct node_ports {
    std::uint16_t caller_api{};
    std::uint16_t peer{};
    std::uint16_t membership{};
};

/*! @brief Gateway node: owns and connects the services of the process. */
class node {
public:
    /**
     * @brief Constructs a node.
     * @param context I/O context that runs the node; must outlive it.
     * @param clock Runtime clock; must outlive the node.
     * @param settings Settings of the node.
     * @param observer Receives the records of finished requests and the events of the node; must outlive it.
     */
    node(boost::asio::io_context& context, const core::clock& clock, settings::node_settings settings,
        request_observer& observer);
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    ~node();

    /**
     * @brief Binds the listeners, joins the fleet and starts the services.
     * @return The bound ports, or an error that names the address that cannot be bound.
     */
    [[nodiscard]] core::result<node_ports> start();

    /**
     * @brief Stops gracefully: makes readiness fail, releases ownership and waits for requests in flight.
     * @return True when all requests had finished within the stop timeout.
     */
    [[nodiscard]] boost::asio::awaitable<bool> stop();

    /*! @brief Sets the source of explain records; null for none. It must outlive the node. */
    void set_explain_source(const explain_source* source) noexcept {
        this->explain_records = source;
    }

    [[nodiscard]] const settings::node_settings& node_settings() const noexcept {
        return this->configured_settings;
    }

    [[nodiscard]] cluster::membership_service& membership() noexcept {
        return *this->members;
    }

    [[nodiscard]] cluster::peer_directory& peers() noexcept {
        return this->peer_connections;
    }

    [[nodiscard]] config_service& config() noexcept {
        return *this->config_objects;
    }

    [[nodiscard]] rule_service& rules() noexcept {
        return this->active_rules;
    }

    [[nodiscard]] routing_table& routes() noexcept {
        return this->routing;
    }

    [[nodiscard]] upstream_directory& upstreams() noexcept {
        return this->known_upstreams;
    }

    [[nodiscard]] ownership_service& ownership() noexcept {
        return *this->owner_assignments;
    }

    [[nodiscard]] adapter_catalogue& catalogue() noexcept {
        return this->known_adapters;
    }

    [[nodiscard]] const owner_registry& owned_upstreams() const noexcept {
        return this->local_owners;
    }

    [[nodiscard]] bool ready() const noexcept {
        return this->request_handler.is_ready();
    }

    /*! @brief Returns the state of the process for the debug API. Contains no secrets. */
    [[nodiscard]] nlohmann::json dump() const;

private:
    class peer_message_handler;
    class membership_liveness;

    boost::asio::awaitable<void> run_maintenance();
    boost::asio::awaitable<void> run_vm_list_refresh();
    void reconcile_owners();
    void apply_vm_list(const platform::vm_snapshot& snapshot);
    void apply_upstream_report(const wire::upstream_report& report, bool broadcast);
    [[nodiscard]] bool has_requests_in_flight() const;

    boost::asio::io_context& context;
    const core::clock& clock;
    request_observer& observer;
    settings::node_settings configured_settings;
    std::uint64_t boot_id;
    http::client http_client;
    platform::http_object_store objects;
    std::unique_ptr<platform::vm_list> vm_list_client;
    std::shared_ptr<cluster::membership_service> members;
    cluster::peer_directory peer_connections;
    upstream_directory known_upstreams;
    std::shared_ptr<ownership_service> owner_assignments;
    std::shared_ptr<config_service> config_objects;
    std::shared_ptr<load_permit_service> load_scheduling;
    cluster::quarantine_service quarantine;
    rule_service active_rules;
    adapter_catalogue known_adapters{};
    routing_table routing;
    owner_registry local_owners;
    std::unique_ptr<membership_liveness> claimant_liveness;
    journal::claim_journal idempotency_journal;
    caller_handler request_handler;
    http::server caller_server;
    std::unique_ptr<peer_message_handler> message_handler;
    std::unique_ptr<wire::peer_server> peer_listener{};
    const explain_source* explain_records{nullptr};
    std::atomic<bool> stopping{false};
    mutable std::mutex retiring_owners_mutex{};
    std::vector<std::shared_ptr<upstream_owner>> retiring_owners{};
};

} // namespace lagoonsaddle::gateway

#endif
