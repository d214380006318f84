#ifndef LAGOONSADDLE_EDGE_STREAM_ORIGIN_TABLE_HPP
#define LAGOONSADDLE_EDGE_STREAM_ORIGIN_TABLE_HPP

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <lagoonsaddle/core/clock.hpp>

namespace lagoonsaddle::edge {

/*! @brief Where a stream began. Only upstreams of the same service and software version may go on with it. */
struct stream_origin {
    std::string service{};
    /*! @brief Nothing when it could not be told. */
    std::optional<std::string> software_version{};

    [[nodiscard]] friend bool operator==(const stream_origin&, const stream_origin&) = default;
};

/*! @brief Options of `stream_origin_table`. */
struct stream_origin_table_options {
    /*! @brief Number of records above which those that expire first are dropped. */
    std::size_t records_max{16'384u};
};

/*! @brief Origins of streams that may be resumed, by the id of the request that brought the first event. Not
 * thread-safe. */
class stream_origin_table {
public:
    explicit stream_origin_table(stream_origin_table_options options = {}) : settings{options} {}

    /**
     * @brief Records where a stream began. A known origin is kept, and kept for longer when it is recorded again.
     * @param request Id of the request that brought the first event.
     * @param origin Where it began.
     * @param expires Time at which the stream can no longer be resumed.
     */
    void record(std::string_view request, stream_origin origin, core::time_point expires);

    /*! @brief Returns where a stream began, or null when it is not known. */
    [[nodiscard]] const stream_origin* find(std::string_view request) const;

    /*! @brief Removes the records of streams that can no longer be resumed. */
    void remove_expired(core::time_point now);

    [[nodiscard]] std::size_t size() const noexcept {
        return this->records.size();
    }

private:
    struct entry {
        stream_origin origin{};
        core::time_point expires{};
    };

    stream_origin_table_options settings;
    std::map<std::string, entry, std::less<>> records{};
};

} // namespace lagoonsaddle::edge

#endif
