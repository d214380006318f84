#ifndef LAGOONSADDLE_EDGE_PATH_MONITOR_HPP
#define LAGOONSADDLE_EDGE_PATH_MONITOR_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <lagoonsaddle/core/clock.hpp>

namespace lagoonsaddle::edge {

/*! @brief Options of `path_monitor`. */
struct path_monitor_options {
    /*! @brief Time without a byte from any upstream, while exchanges wait, after which the paths are in doubt. A single
     * upstream may pause for longer. */
    core::duration silence_max{std::chrono::milliseconds{500}};
    /*! @brief Time between two samples that silence alone causes. */
    core::duration silence_sample_interval{std::chrono::milliseconds{500}};
    /*! @brief Time for which a sample that reached an upstream answers further doubts. */
    core::duration sample_validity{std::chrono::milliseconds{200}};
    /*! @brief Time between two samples while this node is partitioned. */
    core::duration probe_interval{std::chrono::milliseconds{300}};
    /*! @brief Number of upstreams in a sample. */
    std::size_t sample_size{3u};
};

/*! @brief Result of connecting to a few upstreams at the same time. */
struct path_sample {
    core::time_point started{};
    std::size_t tried{};
    bool reached{};
};

/**
 * @brief Tells whether this node is partitioned from its upstreams.
 *
 * A failed connection, or silence, may be the fault of one upstream or of this node's own paths. Connecting to a few
 * other upstreams tells them apart: when none of them can be reached, this node is partitioned, until one can. Does no
 * I/O. Not thread-safe.
 */
class path_monitor {
public:
    explicit path_monitor(path_monitor_options options = {}) : settings{options} {}

    /*! @brief Records that an exchange over this node's own path begins to wait for bytes of its upstream. */
    void begin_exchange(std::uint64_t id, core::time_point now);

    /*! @brief Records that bytes of an exchange have arrived. */
    void record_received(std::uint64_t id, const std::string& upstream, core::time_point now);

    /*! @brief Records that an exchange has ended. */
    void end_exchange(std::uint64_t id);

    /*! @brief Returns whether exchanges wait and no upstream has sent anything for too long. */
    [[nodiscard]] bool is_silent(core::time_point now) const;

    /*! @brief Returns the exchanges that have waited for too long. */
    [[nodiscard]] std::vector<std::uint64_t> silent_exchanges(core::time_point now) const;

    /*! @brief Returns whether a sample is due without a failed connection. */
    [[nodiscard]] bool is_sample_due(core::time_point now) const;

    /*! @brief Returns whether the last sample still shows that this node reaches upstreams. */
    [[nodiscard]] bool is_sample_valid(core::time_point now) const;

    /**
     * @brief Chooses the upstreams of a sample: those from which bytes arrived last, as they are the most likely to be
     * sound; while this node is partitioned, other ones each time.
     * @param upstreams Ids of the known upstreams.
     * @param suspect Upstream whose failure is the reason; chosen only when it is the only one.
     * @return The ids.
     */
    [[nodiscard]] std::vector<std::string> choose_sample(
        std::span<const std::string> upstreams, std::string_view suspect);

    /*! @brief Applies a sample; returns true when this node is now partitioned and was not before, or the reverse. */
    bool apply(const path_sample& sample, core::time_point now);

    /*! @brief Returns whether this node is partitioned from its upstreams. */
    [[nodiscard]] bool partitioned() const noexcept {
        return this->lost_since.has_value();
    }

    /**
     * @brief Returns the longest idle time of a connection that may be reused.
     *
     * While this node is partitioned, only connections that were in use since are known to live.
     *
     * @return The time, or nothing for no limit.
     */
    [[nodiscard]] std::optional<core::duration> reuse_limit(core::time_point now) const;

private:
    path_monitor_options settings;
    /*! @brief When each exchange that waits began to, or last received bytes. */
    std::map<std::uint64_t, core::time_point> waiting{};
    /*! @brief When bytes of an upstream last arrived. */
    std::map<std::string, core::time_point, std::less<>> heard{};
    core::time_point last_received{core::time_point::min()};
    std::optional<path_sample> last_sample{};
    std::optional<core::time_point> lost_since{};
    /*! @brief Position in the list of upstreams at which the next sample begins while this node is partitioned. */
    std::size_t next_probe{};
};

} // namespace lagoonsaddle::edge

#endif
