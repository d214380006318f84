#ifndef LAGOONSADDLE_EDGE_CONFIRMATION_POLLING_HPP
#define LAGOONSADDLE_EDGE_CONFIRMATION_POLLING_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <lagoonsaddle/core/clock.hpp>

namespace lagoonsaddle::edge {

/*! @brief Options of `confirmation_polling`. */
struct confirmation_polling_options {
    /*! @brief Mean time between two questions; the times are drawn, so that nodes do not ask in step. */
    std::chrono::milliseconds interval{700};
    /*! @brief Time between two questions while the confirmation is old or missing. */
    std::chrono::milliseconds urgent_interval{200};
    /*! @brief Age from which on a confirmation is old; an answer of such an age is not fresh. */
    std::chrono::milliseconds urgent_age{2'500};
    /*! @brief Time for which a reader without a fresh answer is not preferred to other peers. */
    std::chrono::milliseconds avoidance{2'000};
    /*! @brief Age from which on this node reads the store itself. Each such read is billed, and in a fleet whose
     * readers are answered, confirmations stay below this age. */
    std::chrono::milliseconds read_age{3'000};
    /*! @brief Longest random delay before this node reads the store itself although others are to do so: the nodes of
     * a fleet find their confirmations old at the same time, and the first read is enough for many. */
    std::chrono::milliseconds read_delay_max{400};
    /*! @brief Shortest time between two such reads. */
    std::chrono::milliseconds read_interval{1'000};
    /*! @brief Seed of the choices. */
    std::uint32_t seed{std::random_device{}()};
};

/*! @brief Returns options whose times leave room for several questions in the time of a bound. */
[[nodiscard]] confirmation_polling_options make_polling_options(std::chrono::milliseconds bound) noexcept;

/*! @brief Peers that may be asked for a confirmation. */
struct confirmation_peers {
    /*! @brief Nodes of the own availability zone that read the store exactly. */
    std::vector<std::string> zone_readers{};
    /*! @brief All live peers. */
    std::vector<std::string> live{};
};

/**
 * @brief Decides when a node asks for a confirmation of its configuration, and whom. Not thread-safe.
 *
 * The exact readers of the availability zone are asked first, each equally often, and the reader that the last answer
 * has named. One whose answer is missing or not fresh is avoided for a while. Without such a reader any peer is asked,
 * and while the confirmation is old, one beside the reader: what one node learns then reaches a fleet in a number of
 * rounds that grows with the logarithm of its size.
 */
class confirmation_polling {
public:
    explicit confirmation_polling(confirmation_polling_options options = {});

    /*! @brief Returns whether a confirmation is so old that each way to a younger one is tried. */
    [[nodiscard]] bool is_urgent(std::optional<core::duration> age) const noexcept;

    /**
     * @brief Returns whether a question is due, and sets the time of the next one.
     * @param age Age of the confirmation; nothing when there is none.
     * @param now Current time.
     */
    [[nodiscard]] bool begin_question(std::optional<core::duration> age, core::time_point now);

    /**
     * @brief Returns whether this node has to read the store itself, and sets the time of the next such read.
     * @param age Age of the confirmation; nothing when there is none.
     * @param now Current time.
     */
    [[nodiscard]] bool begin_read(std::optional<core::duration> age, core::time_point now);

    /**
     * @brief Chooses the peers to ask.
     * @param peers The peers.
     * @param age Age of the confirmation; nothing when there is none.
     * @param now Current time.
     * @return Two peers at most when the confirmation is old, otherwise one at most.
     */
    [[nodiscard]] std::vector<std::string> choose(
        const confirmation_peers& peers, std::optional<core::duration> age, core::time_point now);

    /**
     * @brief Records the answer of a peer.
     * @param peer The peer.
     * @param age Age of its confirmation; nothing when it has none, or has not answered.
     * @param reader Node that has read the store.
     * @param now Current time.
     */
    void record_answer(
        std::string_view peer, std::optional<core::duration> age, std::string_view reader, core::time_point now);

private:
    [[nodiscard]] bool is_avoided(std::string_view peer, core::time_point now) const;
    /*! @brief Draws a name; nothing when there is none. */
    [[nodiscard]] std::optional<std::string> draw(std::span<const std::string> names);
    [[nodiscard]] core::duration draw_time(std::chrono::milliseconds least, std::chrono::milliseconds most);

    confirmation_polling_options settings;
    std::minstd_rand random;
    core::time_point next_question_at{};
    std::optional<core::time_point> next_read_at{};
    /*! @brief Peers that are not preferred, and until when. */
    std::map<std::string, core::time_point, std::less<>> avoided_until{};
    /*! @brief Reader that the last fresh answer has named. */
    std::string named_reader{};
};

} // namespace lagoonsaddle::edge

#endif
