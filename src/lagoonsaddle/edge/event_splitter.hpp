#ifndef LAGOONSADDLE_EDGE_EVENT_SPLITTER_HPP
#define LAGOONSADDLE_EDGE_EVENT_SPLITTER_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lagoonsaddle::edge {

/*! @brief Splits a stream of server-sent events at event boundaries, so that it can be resumed after the last one. */
class event_splitter {
public:
    /**
     * @brief Adds received bytes.
     * @param bytes The bytes.
     * @return The events completed by these bytes, concatenated; may be empty.
     */
    [[nodiscard]] std::string feed(std::string_view bytes);

    /*! @brief Returns the number of bytes after the last complete event. */
    [[nodiscard]] std::size_t pending_size() const noexcept {
        return this->pending.size();
    }

    /**
     * @brief Returns whether a response that has ended holds all events that its upstream had to send.
     *
     * A stream that ends inside an event has been broken off. Line breaks between events begin none. The end of a
     * connection completes a stream only after an event: an upstream that fails before it looks the same.
     *
     * @param close_delimited Whether nothing but the end of the connection has ended the response.
     */
    [[nodiscard]] bool is_complete(bool close_delimited) const noexcept;

    /*! @brief Returns the number of complete events so far. Blocks without a field, such as comments, are none. */
    [[nodiscard]] std::size_t event_count() const noexcept {
        return this->complete_events;
    }

    /*! @brief Returns and removes the bytes after the last complete event. */
    [[nodiscard]] std::string take_remainder();

    /*! @brief Returns the last numeric id among the complete events, or nothing. */
    [[nodiscard]] std::optional<std::uint64_t> last_id() const noexcept {
        return this->last_event_id;
    }

    /*! @brief Starts a response that goes on after the last complete event; discards the bytes after that event. */
    void begin_response() noexcept;

private:
    /*! @brief Counts an event at the empty line that ends it; returns whether the line is empty. */
    [[nodiscard]] bool end_line(std::string_view line) noexcept;
    void update_last_id(std::string_view events);

    std::string pending{};
    /*! @brief Position in `pending` of the first line whose end has not arrived. */
    std::size_t line_begin{};
    /*! @brief Whether a line of the block that has begun holds a field. */
    bool block_has_field{false};
    std::size_t complete_events{};
    /*! @brief Number of complete events before the current response. */
    std::size_t earlier_events{};
    std::optional<std::uint64_t> last_event_id{};
};

} // namespace lagoonsaddle::edge

#endif
