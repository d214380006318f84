#ifndef LAGOONSADDLE_EDGE_EVENT_SPLITTER_HPP
#define LAGOONSADDLE_EDGE_EVENT_SPLITTER_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lagoonsaddle::edge {

/*! @brief Splits the body of an event stream after whole events, so that a stream can be continued after the last one.
 */
class event_splitter {
public:
    /**
     * @brief Adds received bytes.
     * @param bytes The bytes.
     * @return The whole events received since the last call, in one piece; may be empty.
     */
    [[nodiscard]] std::string feed(std::string_view bytes);

    /*! @brief Takes the bytes after the last whole event. */
    [[nodiscard]] std::string take_rest();

    /*! @brief Returns the id of the last whole event, or nothing. */
    [[nodiscard]] std::optional<std::uint64_t> last_id() const noexcept {
        return this->last;
    }

    /*! @brief Drops an event that was received in part. */
    void discard_rest() noexcept {
        this->pending.clear();
    }

private:
    void note_ids(std::string_view events);

    std::string pending{};
    std::optional<std::uint64_t> last{};
};

} // namespace lagoonsaddle::edge

#endif
