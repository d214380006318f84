#ifndef LAGOONSADDLE_EDGE_EXCHANGE_PARTNERS_HPP
#define LAGOONSADDLE_EDGE_EXCHANGE_PARTNERS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <lagoonsaddle/core/clock.hpp>

namespace lagoonsaddle::edge {

/*! @brief Options of `exchange_partners`. */
struct exchange_partners_options {
    /*! @brief Time for which a node is taken for a reader after it has said so. */
    std::chrono::milliseconds reader_lifetime{3'000};
    /*! @brief Largest number of readers that a node names to others. */
    std::size_t named_readers_max{3u};
    /*! @brief Seed of the choices. */
    std::uint32_t seed{std::random_device{}()};
};

/**
 * @brief Chooses the peers that a node asks for what it cannot read in the store. Not thread-safe.
 *
 * Every second choice is a known reader of the store, which has the newest records; the others are drawn from all
 * peers, so that neither one reader serves a whole fleet, nor a node depends on readers that it has not heard of.
 */
class exchange_partners {
public:
    explicit exchange_partners(exchange_partners_options options = {});

    /**
     * @brief Records that the store answers a node.
     * @param node Name of the node.
     * @param said_at When the node itself has said so; names that nodes repeat to each other keep it, and so expire.
     */
    void record_reader(std::string_view node, core::time_point said_at);

    /**
     * @brief Forgets a reader that has not answered or that the store no longer answers. What other nodes repeat of its
     * earlier words is not believed any more.
     */
    void remove_reader(std::string_view node, core::time_point now);

    /*! @brief A reader, and when it has said so. */
    struct reader {
        std::string node{};
        core::time_point said_at{};
    };

    /*! @brief Returns the latest readers, for other nodes. */
    [[nodiscard]] std::vector<reader> named_readers(core::time_point now) const;

    /*! @brief Chooses a live peer to ask; nothing when there is none. */
    [[nodiscard]] std::optional<std::string> choose(std::span<const std::string> live_peers, core::time_point now);

    /*! @brief Draws up to `count` different live peers. */
    [[nodiscard]] std::vector<std::string> draw(std::span<const std::string> live_peers, std::size_t count);

private:
    [[nodiscard]] std::vector<std::string> live_readers(
        std::span<const std::string> live_peers, core::time_point now) const;

    exchange_partners_options settings;
    std::minstd_rand random;
    std::map<std::string, core::time_point, std::less<>> said_at{};
    /*! @brief When a node was found not to be a reader. */
    std::map<std::string, core::time_point, std::less<>> removed_at{};
    bool next_is_reader{true};
};

} // namespace lagoonsaddle::edge

#endif
