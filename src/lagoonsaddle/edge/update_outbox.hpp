#ifndef LAGOONSADDLE_EDGE_UPDATE_OUTBOX_HPP
#define LAGOONSADDLE_EDGE_UPDATE_OUTBOX_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/types.hpp>
#include <lagoonsaddle/wire/messages.hpp>

namespace lagoonsaddle::edge {

/*! @brief Options of `update_outbox`. */
struct update_outbox_options {
    /*! @brief Shortest delay before a node that is no chosen reader tells its peers what it has read. */
    std::chrono::milliseconds delay_min{100};
    /*! @brief Longest such delay. The delays differ, so that few nodes tell the same. */
    std::chrono::milliseconds delay_max{300};
    /*! @brief Seed of the delays. */
    std::uint32_t seed{std::random_device{}()};
};

/**
 * @brief Changes that this node has read in the store and that its peers may not know yet.
 *
 * The chosen readers of a large fleet tell all peers at once. The store may turn just these away, so that the other
 * nodes tell them too, after a delay in which nobody else has. Not thread-safe.
 */
class update_outbox {
public:
    explicit update_outbox(update_outbox_options options = {});

    void add_configuration(std::uint64_t version);
    void add_leaving(const std::string& upstream, std::uint64_t started_ms);
    void add_removed(const std::string& upstream, std::uint64_t started_ms);
    void add_version(const version_record& record);

    /*! @brief Removes what a peer has told all nodes. */
    void remove_told(const wire::store_news& told);

    /*! @brief Removes everything. */
    void clear() noexcept;

    /**
     * @brief Takes what has to be told to all peers now.
     * @param is_chosen_reader Whether this node tells without a delay.
     * @param now Current time.
     * @return The changes, or nothing when there are none or their delay has not passed.
     */
    [[nodiscard]] std::optional<wire::store_news> take(bool is_chosen_reader, core::time_point now);

    /*! @brief Returns whether there is nothing to tell. */
    [[nodiscard]] bool empty() const noexcept;

private:
    [[nodiscard]] core::duration draw_delay();

    update_outbox_options settings;
    std::minstd_rand random;
    wire::store_news pending{};
    /*! @brief When the pending changes are told by a node that is no chosen reader. */
    std::optional<core::time_point> due{};
};

} // namespace lagoonsaddle::edge

#endif
