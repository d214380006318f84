#ifndef LAGOONSADDLE_EDGE_UPSTREAM_PATHS_HPP
#define LAGOONSADDLE_EDGE_UPSTREAM_PATHS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <lagoonsaddle/cluster/membership_service.hpp>
#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/decision_log.hpp>
#include <lagoonsaddle/edge/partitioned_nodes.hpp>
#include <lagoonsaddle/edge/path_monitor.hpp>
#include <lagoonsaddle/edge/upstream_table.hpp>
#include <lagoonsaddle/http/client.hpp>
#include <lagoonsaddle/http/connector.hpp>
#include <lagoonsaddle/relay/relay_server.hpp>

namespace lagoonsaddle::edge {

/*! @brief Dependencies of `upstream_paths`, all of which must outlive it. */
struct upstream_paths_context {
    boost::asio::io_context& io;
    const core::clock& clock;
    log_sink& log;
    const upstream_table& upstreams;
    cluster::membership_service& membership;
    http::client& client;
    partitioned_nodes& partitions;
};

/*! @brief Options of `upstream_paths`. */
struct upstream_paths_options {
    std::string node_name{};
    std::string availability_zone{};
    /*! @brief Address of this node for connections to the relays of peers; empty to leave it to the system. */
    std::string local_address{};
    /*! @brief Port of the relays, the same on all nodes. */
    std::uint16_t relay_port{};
};

/*! @brief A peer that relays one exchange. The exchange counts as the peer's until this is destroyed. */
class relayed_exchange {
public:
    relayed_exchange() = default;
    relayed_exchange(const relayed_exchange&) = delete;
    relayed_exchange& operator=(const relayed_exchange&) = delete;
    virtual ~relayed_exchange() = default;

    /*! @brief Returns the name of the peer. */
    [[nodiscard]] virtual const std::string& peer() const noexcept = 0;
    /*! @brief Returns what connects to the upstream through the peer. */
    [[nodiscard]] virtual std::shared_ptr<http::connector> connector() const = 0;
};

/*! @brief An exchange over this node's own path, from its start until this is destroyed. */
class direct_exchange {
public:
    direct_exchange() = default;
    direct_exchange(const direct_exchange&) = delete;
    direct_exchange& operator=(const direct_exchange&) = delete;
    virtual ~direct_exchange() = default;

    /*! @brief Records that bytes of the upstream have arrived. */
    virtual void record_received() = 0;
};

/**
 * @brief Paths from this node to the upstreams: its own, or through a peer while it is partitioned from them.
 *
 * Also decides which connections this node relays for peers. Must only be used from the thread that runs the
 * `io_context`.
 */
class upstream_paths final : public relay::relay_policy, public std::enable_shared_from_this<upstream_paths> {
public:
    upstream_paths(upstream_paths_context context, upstream_paths_options options);
    upstream_paths(const upstream_paths&) = delete;
    upstream_paths& operator=(const upstream_paths&) = delete;
    ~upstream_paths() override;

    /*! @brief Starts to look for partitions, and for their end. */
    void start();

    /*! @brief Refuses to relay further connections, because the process is about to stop. */
    void begin_stop() noexcept {
        this->stopping = true;
    }

    [[nodiscard]] bool partitioned() const noexcept {
        return this->monitor.partitioned();
    }

    /*! @brief Returns the longest idle time of a connection of this node that may be reused now. */
    [[nodiscard]] std::chrono::milliseconds reuse_limit(std::chrono::milliseconds usual) const;

    /**
     * @brief Records the start of an exchange over this node's own path.
     * @param upstream Where the exchange goes.
     * @param control Ends the exchange when it is silent and this node is found to be partitioned, so that it can be
     * repeated through a peer; null for an exchange that cannot be repeated.
     * @return The exchange.
     */
    [[nodiscard]] std::unique_ptr<direct_exchange> begin_direct(
        const std::string& upstream, const std::shared_ptr<http::exchange_control>& control);

    /**
     * @brief Finds out whether this node reaches its upstreams, after a sign that it does not reach one of them.
     * @param suspect Upstream to which a connection failed or was lost.
     * @return False when this node is partitioned.
     */
    [[nodiscard]] boost::asio::awaitable<bool> reaches_upstreams(std::string suspect);

    /**
     * @brief Chooses a peer that relays an exchange.
     * @param upstream Where the exchange goes.
     * @param excluded Names of peers that are not chosen.
     * @param lifetime Longest duration of the exchange.
     * @param control Ends the exchange when the peer dies.
     * @return The peer, or null when there is none.
     */
    [[nodiscard]] std::unique_ptr<relayed_exchange> choose_relay(const upstream_entry& upstream,
        const std::set<std::string>& excluded, std::chrono::milliseconds lifetime,
        const std::shared_ptr<http::exchange_control>& control);

    /*! @brief Ends the exchanges that a peer relays, because it is dead. */
    void cancel_exchanges(std::string_view peer);

    [[nodiscard]] core::result<core::endpoint> admit(
        const relay::open_request& request, std::string_view remote_address) override;
    void on_listening() override;
    void on_connect(const relay::open_request& request, bool connected) override;
    [[nodiscard]] boost::asio::awaitable<bool> reset_by_upstream(std::string upstream) override;

private:
    class counted_exchange;
    class watched_exchange;

    [[nodiscard]] boost::asio::awaitable<void> maintain();
    /*! @brief Connects to a few upstreams and applies the result. One sample runs at a time. */
    [[nodiscard]] boost::asio::awaitable<void> run_sample(std::string suspect);
    void apply_sample(const path_sample& sample);
    /*! @brief Ends the exchanges over this node's own path that are silent and can be repeated. */
    void cancel_silent_exchanges();
    [[nodiscard]] std::vector<fleet::member> relays(const std::set<std::string>& excluded) const;

    upstream_paths_context context;
    upstream_paths_options settings;
    path_monitor monitor{};
    std::uint64_t last_exchange{};
    /*! @brief Exchanges over this node's own path that can be repeated. */
    std::map<std::uint64_t, std::weak_ptr<http::exchange_control>> repeatable{};
    bool sampling{false};
    /*! @brief Cancelled at the end of each sample. */
    boost::asio::steady_timer sample_timer;
    /*! @brief Exchanges that peers relay, by name of the peer. */
    std::multimap<std::string, std::weak_ptr<http::exchange_control>, std::less<>> relayed{};
    bool stopping{false};
};

} // namespace lagoonsaddle::edge

#endif
