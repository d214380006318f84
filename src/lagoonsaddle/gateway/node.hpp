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
#include <lagoonsaddle/gateway/caller_handler.hpp>
#include <lagoonsaddle/gateway/catalogue.hpp>
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

/*! @brief Answers requests of peers for explain records. */
class explain_source {
public:
    explain_source() = default;
    explain_source(const explain_source&) = delete;
    explain_source& operator=(const explain_source&) = delete;
    virtual ~explain_source() = default;

    /**
     * @brief Finds an explain record of this node.
     * @param request_id Identifier of the request.
     * @return The record as JSON text, or an empty text.
     */
    [[nodiscard]] virtual std::string find_record(const std::string& request_id) const = 0;
};

/*! @brief Ports that a node listens on. */
struct node_ports {
    std::uint16_t caller_api{};
    std::uint16_t peer{};
    std::uint16_t membership{};
};

/*! @brief One node of the system: all services of the process, put together. */
class node {
public:
    /**
     * @brief Makes a node.
     * @param context Runs the node; must outlive it.
     * @param clock Runtime clock; must outlive the node.
     * @param settings Settings.
     * @param observer Receives the records of finished requests and what the node did on its own; must outlive it.
     */
    node(boost::asio::io_context& context, const core::clock& clock, settings::node_settings settings,
        request_observer& observer);
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    ~node();

    /**
     * @brief Starts to listen and to take part in the fleet.
     * @return The ports, or an error that names the address that cannot be bound.
     */
    [[nodiscard]] core::result<node_ports> start();

    /**
     * @brief Stops as planned: readiness fails, ownership is handed over, requests in flight finish.
     * @return True when everything had ended within the stop timeout.
     */
    [[nodiscard]] boost::asio::awaitable<bool> stop();

    /*! @brief Sets the source of explain records; null for none. It must outlive the node. */
    void set_explain_source(const explain_source* source) noexcept {
        this->explains = source;
    }

    [[nodiscard]] const settings::node_settings& configuration() const noexcept {
        return this->values;
    }

    [[nodiscard]] cluster::membership_service& membership() noexcept {
        return *this->members;
    }

    [[nodiscard]] cluster::peer_directory& peers() noexcept {
        return this->connections;
    }

    [[nodiscard]] config_service& config() noexcept {
        return *this->configurations;
    }

    [[nodiscard]] rule_service& rules() noexcept {
        return this->rule_sets;
    }

    [[nodiscard]] routing_table& routes() noexcept {
        return this->routing;
    }

    [[nodiscard]] upstream_directory& upstreams() noexcept {
        return this->directory;
    }

    [[nodiscard]] ownership_service& ownership() noexcept {
        return *this->owners;
    }

    [[nodiscard]] catalogue& adapters() noexcept {
        return this->adapter_catalogue;
    }

    [[nodiscard]] const owner_registry& owned_upstreams() const noexcept {
        return this->registry;
    }

    [[nodiscard]] bool ready() const noexcept {
        return this->callers.is_ready();
    }

    /*! @brief Returns the state of the whole process for a dump. Holds no secrets. */
    [[nodiscard]] nlohmann::json dump() const;

private:
    class peer_messages;
    class claimants;

    boost::asio::awaitable<void> run_maintenance();
    boost::asio::awaitable<void> run_vm_list();
    void reconcile_owners();
    void apply_vm_list(const platform::vm_snapshot& snapshot);
    void take_report(const wire::upstream_report& report, bool broadcast);
    [[nodiscard]] bool in_flight() const;

    boost::asio::io_context& context;
    const core::clock& time;
    request_observer& events;
    settings::node_settings values;
    std::uint64_t boot_id;
    http::client requester;
    platform::http_object_store objects;
    std::unique_ptr<platform::vm_list> vms;
    std::shared_ptr<cluster::membership_service> members;
    cluster::peer_directory connections;
    upstream_directory directory;
    std::shared_ptr<ownership_service> owners;
    std::shared_ptr<config_service> configurations;
    std::shared_ptr<load_permit_service> loads;
    cluster::quarantine_service quarantine;
    rule_service rule_sets;
    catalogue adapter_catalogue{};
    routing_table routing;
    owner_registry registry;
    std::unique_ptr<claimants> claimant_states;
    journal::claim_journal claims;
    caller_handler callers;
    http::server caller_server;
    std::unique_ptr<peer_messages> messages;
    std::unique_ptr<wire::peer_server> peer_listener{};
    const explain_source* explains{nullptr};
    std::atomic<bool> stopping{false};
    mutable std::mutex retiring_mutex{};
    std::vector<std::shared_ptr<upstream_owner>> retiring{};
};

} // namespace lagoonsaddle::gateway

#endif
