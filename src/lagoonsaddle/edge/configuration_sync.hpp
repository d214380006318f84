#ifndef LAGOONSADDLE_EDGE_CONFIGURATION_SYNC_HPP
#define LAGOONSADDLE_EDGE_CONFIGURATION_SYNC_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <lagoonsaddle/cluster/membership_service.hpp>
#include <lagoonsaddle/cluster/peer_directory.hpp>
#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/decision_log.hpp>
#include <lagoonsaddle/edge/protocol.hpp>
#include <lagoonsaddle/edge/route_table.hpp>
#include <lagoonsaddle/wire/messages.hpp>

namespace lagoonsaddle::edge {

/*! @brief How far the configuration of this node can be trusted. */
enum class configuration_state {
    /*! @brief A newer one may be in force: the node has started and not yet compared its version with its peers. */
    unknown,
    /*! @brief A peer has announced a newer version, which this node does not have yet. */
    behind,
    current
};

/*! @brief Dependencies of `configuration_sync`, all of which must outlive it. */
struct configuration_sync_context {
    boost::asio::io_context& io;
    const core::clock& clock;
    log_sink& log;
    record_store& store;
    const route_table& routes;
    const cluster::membership_service& membership;
    cluster::peer_directory& peers;
};

/*! @brief Options of `configuration_sync`. */
struct configuration_sync_options {
    /*! @brief Interval between two rounds of the store, or of the peers. */
    std::chrono::milliseconds retry_interval{150};
    std::chrono::milliseconds peer_timeout{300};
    /*! @brief Number of peers that are asked in one round. */
    std::size_t peers_per_round{3u};
    /*! @brief Number of peers that are asked at once, outside of the rounds, as they have announced the version. */
    std::size_t holders_asked_max{3u};
    /*! @brief Time after the start in which the node waits until it has joined the fleet. */
    std::chrono::milliseconds join_wait_max{1'000};
    /*! @brief Time after the start in which a node that is behind refuses all requests. */
    std::chrono::milliseconds catch_up_max{5'000};
    /*! @brief Seed of the choice of peers. */
    std::uint32_t seed{std::random_device{}()};
};

/**
 * @brief Obtains the newest configuration that any node knows of.
 *
 * A store that was restored from a copy has an older configuration than the nodes until the operator writes again, and
 * one that does not answer holds up whoever waits for it. A version that a peer has announced is therefore read from
 * the store and from the peers at the same time, until this node has it: at once from those that have announced it, and
 * in rounds from peers drawn at random, since all nodes of a fleet look for it at the same time. Must only be used from
 * the thread that runs the `io_context`.
 */
class configuration_sync : public std::enable_shared_from_this<configuration_sync> {
public:
    /*! @brief Applies a configuration that was read from the store or from a peer. */
    using apply_function = std::function<void(configuration value, std::string_view source)>;

    configuration_sync(configuration_sync_context context, configuration_sync_options options, apply_function apply);

    /**
     * @brief Records that a version exists, and obtains it unless this node has it or a newer one.
     * @param version The version.
     * @param holder Name of a peer that has it; empty when unknown.
     */
    void announce(std::uint64_t version, std::string_view holder = {});

    /*! @brief Called with the configurations of an exact read of the store, after they have been applied, and with the
     * time at which the read began. */
    using read_function = std::function<void(const record_page& page, core::time_point begun)>;

    /*! @brief Sets what is called after each read of the store; nothing by default. */
    void on_read(read_function receiver) {
        this->receive_read = std::move(receiver);
    }

    [[nodiscard]] configuration_state state() const;

    /*! @brief Returns the newest announced version; 0 when none was announced. */
    [[nodiscard]] std::uint64_t announced() const noexcept {
        return this->announced_version;
    }

    /*! @brief Returns the configuration of this node for a peer; version 0 when there is none. */
    [[nodiscard]] wire::config_reply make_reply() const;

private:
    [[nodiscard]] bool is_behind() const noexcept;
    /*! @brief One attempt to obtain the newest version from a source. */
    using round_type = boost::asio::awaitable<void> (configuration_sync::*)();

    /*! @brief Repeats rounds until this node is no longer behind, unless they are already running. */
    void start(bool& running, round_type round);
    [[nodiscard]] boost::asio::awaitable<void> repeat_while_behind(bool& running, round_type round);
    [[nodiscard]] boost::asio::awaitable<void> read_store();
    [[nodiscard]] boost::asio::awaitable<void> ask_peers();
    [[nodiscard]] boost::asio::awaitable<void> ask_holder(std::string holder);
    /*! @brief Draws the peers of a round: those that have announced the version before others. */
    [[nodiscard]] std::vector<std::string> draw_peers();
    void apply_reply(const wire::config_reply& reply);
    void log_behind(std::string_view reason);

    configuration_sync_context context;
    configuration_sync_options settings;
    apply_function apply;
    read_function receive_read{};
    core::time_point started{};
    std::uint64_t announced_version{};
    /*! @brief Announced version of the last log line. */
    std::uint64_t logged_version{};
    /*! @brief Peers that have the announced version and have not failed to answer. */
    std::set<std::string, std::less<>> holders{};
    std::size_t holders_being_asked{};
    std::minstd_rand random;
    bool reading_store{false};
    bool asking_peers{false};
};

} // namespace lagoonsaddle::edge

#endif
