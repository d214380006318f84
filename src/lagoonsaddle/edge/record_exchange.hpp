#ifndef LAGOONSADDLE_EDGE_RECORD_EXCHANGE_HPP
#define LAGOONSADDLE_EDGE_RECORD_EXCHANGE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <lagoonsaddle/cluster/peer_directory.hpp>
#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/decision_log.hpp>
#include <lagoonsaddle/edge/exchange_partners.hpp>
#include <lagoonsaddle/edge/unanswered_nodes.hpp>
#include <lagoonsaddle/wire/messages.hpp>

namespace lagoonsaddle::edge {

/*! @brief What a node knows of the records of the store. */
class record_holder {
public:
    record_holder() = default;
    record_holder(const record_holder&) = delete;
    record_holder& operator=(const record_holder&) = delete;
    virtual ~record_holder() = default;

    /*! @brief Returns whether the last call to the store was answered. */
    [[nodiscard]] virtual bool reads_store() const = 0;

    /*! @brief Returns what this node knows, in brief. */
    [[nodiscard]] virtual wire::records_summary summarize_records() const = 0;

    /*! @brief Returns the records that a peer lacks, judged by its summary. */
    [[nodiscard]] virtual wire::records_reply copy_records(const wire::records_summary& known) const = 0;

    /**
     * @brief Adds what a peer knows to the records of this node.
     * @param reply Records of the peer.
     * @param peer Name of the peer.
     * @return True when this node has learned something.
     */
    virtual bool merge_records(const wire::records_reply& reply, std::string_view peer) = 0;

    /*! @brief Records that a peer has a configuration. */
    virtual void announce_configuration(std::uint64_t version, std::string_view peer) = 0;
};

/*! @brief Dependencies of `record_exchange`, all of which must outlive it. */
struct record_exchange_context {
    boost::asio::io_context& io;
    const core::clock& clock;
    log_sink& log;
    record_holder& records;
    cluster::peer_directory& peers;
    unanswered_nodes& unanswered;
};

/*! @brief Options of `record_exchange`. */
struct record_exchange_options {
    /*! @brief Time between two questions while this node does not know the upstreams or has no answer yet, and between
     * two looks at whether the store answers. */
    std::chrono::milliseconds start_interval{100};
    /*! @brief Time between two questions otherwise. */
    std::chrono::milliseconds interval{300};
    /*! @brief Longest time between two questions when the answers tell nothing new, although records differ. */
    std::chrono::milliseconds interval_max{2'400};
    std::chrono::milliseconds timeout{300};
    /*! @brief Number of peers that are told when this node has learned something. Each node tells them once, so that a
     * share of exp(-5) of the fleet is not told at all, and has to ask. */
    std::size_t notified_peers{5u};
    /*! @brief Largest number of peers without the store that are told when this node has read something new. */
    std::size_t notified_unanswered_peers{16u};
};

/**
 * @brief Obtains the records of the store from peers while the store does not answer this node.
 *
 * The store may turn away most nodes of a fleet, also when these have just started. A node then compares its records
 * with those of one peer after the other, and what it learns makes its way through the fleet in a number of steps that
 * grows with the logarithm of its size. Must only be used from the thread that runs the `io_context`.
 */
class record_exchange : public std::enable_shared_from_this<record_exchange> {
public:
    record_exchange(record_exchange_context context, record_exchange_options options);

    void start();

    /*! @brief Answers the question of a peer that the store does not answer. */
    [[nodiscard]] wire::records_reply make_reply(std::string_view peer, const wire::records_summary& known);

    /*! @brief Applies the summary of a peer that has learned something, and asks it for what this node lacks. */
    void apply_notice(std::string_view peer, const wire::records_summary& known);

    /*! @brief Tells a few peers what this node knows, as it has received something from a peer. */
    void notify_peers();

    /*! @brief Tells a few peers what this node has read when its upstreams or leases, which are not broadcast, have
     * changed since it did so last. Peers that read the store themselves ignore it. */
    void notify_read_changes();

private:
    [[nodiscard]] boost::asio::awaitable<void> run();
    enum class question_result { unanswered, equal, known_differences, learned };

    /*! @brief Asks a peer for what this node lacks. */
    [[nodiscard]] boost::asio::awaitable<question_result> ask(std::string peer);
    /*! @brief Asks a peer that is drawn, and sets the time of the next such question. */
    [[nodiscard]] boost::asio::awaitable<void> ask_next_peer();
    [[nodiscard]] std::chrono::milliseconds next_interval() const;
    /*! @brief Returns what this node knows, with the readers of the store. */
    [[nodiscard]] wire::records_summary summarize() const;
    [[nodiscard]] std::vector<wire::store_reader> name_readers() const;
    void record_readers(const std::vector<wire::store_reader>& readers);
    /*! @brief Tells the named peers what this node knows. */
    void notify(std::span<const std::string> names);
    [[nodiscard]] bool lacks(const wire::records_summary& known) const;

    record_exchange_context context;
    record_exchange_options settings;
    exchange_partners partners{};
    std::chrono::milliseconds interval;
    core::time_point next_question_at{};
    /*! @brief Digests of the upstreams and the leases when peers were last told of what this node had read. */
    std::optional<std::pair<std::uint64_t, std::uint64_t>> told_digests{};
};

} // namespace lagoonsaddle::edge

#endif
