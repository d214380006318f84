#ifndef LAGOONSADDLE_EDGE_CONFIRMATION_SERVICE_HPP
#define LAGOONSADDLE_EDGE_CONFIRMATION_SERVICE_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <lagoonsaddle/cluster/membership_service.hpp>
#include <lagoonsaddle/cluster/peer_directory.hpp>
#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/configuration_confirmation.hpp>
#include <lagoonsaddle/edge/configuration_sync.hpp>
#include <lagoonsaddle/edge/confirmation_polling.hpp>
#include <lagoonsaddle/edge/decision_log.hpp>
#include <lagoonsaddle/edge/route_table.hpp>
#include <lagoonsaddle/wire/messages.hpp>

namespace lagoonsaddle::edge {

/*! @brief How a node reads the configuration in the store. */
class configuration_reader {
public:
    configuration_reader() = default;
    configuration_reader(const configuration_reader&) = delete;
    configuration_reader& operator=(const configuration_reader&) = delete;
    virtual ~configuration_reader() = default;

    /*! @brief Returns whether this node watches the configuration with exact reads at present. */
    [[nodiscard]] virtual bool reads_exactly() const = 0;

    /*! @brief Reads the configuration exactly, if the store answers, and records what the read confirms. */
    [[nodiscard]] virtual boost::asio::awaitable<void> read_configuration() = 0;
};

/*! @brief Dependencies of `confirmation_service`, all of which must outlive it. */
struct confirmation_context {
    boost::asio::io_context& io;
    const core::clock& clock;
    log_sink& log;
    const route_table& routes;
    const cluster::membership_service& membership;
    cluster::peer_directory& peers;
    configuration_sync& configuration;
    configuration_confirmation& confirmation;
    configuration_reader& reader;
};

/*! @brief Options of `confirmation_service`. */
struct confirmation_service_options {
    std::string availability_zone{};
    std::chrono::milliseconds check_interval{100};
    std::chrono::milliseconds peer_timeout{300};
    /*! @brief Longest age that is taken from a peer. */
    std::chrono::milliseconds peer_age_max{600'000};
    confirmation_polling_options polling{};
};

/**
 * @brief Keeps the confirmation of the configuration young.
 *
 * A node that reads the store exactly confirms by its own reads; the others ask peers. Does nothing unless a bound is
 * set and the configuration has tenants. Must only be used from the thread that runs the `io_context`.
 */
class confirmation_service : public std::enable_shared_from_this<confirmation_service> {
public:
    confirmation_service(confirmation_context context, confirmation_service_options options);

    void start();

    /*! @brief Returns whether requests with a key need a confirmation on this node. */
    [[nodiscard]] bool in_force() const;

    /**
     * @brief Records an exact read of the store by this node.
     * @param begun Time at which the read began.
     * @param version Newest version that it has shown; 0 when there was no configuration.
     */
    void record_read(core::time_point begun, std::uint64_t version);

    /*! @brief Counts a confirmation of a version that this node has had to obtain first. */
    void on_configuration_changed();

    /*! @brief Answers the question of a peer. */
    [[nodiscard]] wire::confirmation_reply make_reply(const wire::confirmation_get& question, std::string_view peer);

private:
    [[nodiscard]] boost::asio::awaitable<void> run();
    /*! @brief Asks a peer, or reads the store, when either is due. */
    void refresh(core::time_point now);
    [[nodiscard]] boost::asio::awaitable<void> ask(std::string name);
    void apply_reply(const wire::confirmation_reply& reply, const std::string& peer, core::time_point asked_at);
    [[nodiscard]] confirmation_peers find_peers() const;
    /*! @brief Logs that requests with a key are served from now on, or no longer. */
    void log_change(core::time_point now);

    confirmation_context context;
    confirmation_service_options settings;
    confirmation_polling polling;
    /*! @brief Whether requests with a key were served at the last check; nothing while no confirmation is needed. */
    std::optional<bool> permitted{};
};

} // namespace lagoonsaddle::edge

#endif
