#ifndef LAGOONSADDLE_EDGE_EVENT_SPLITTER_HPP
#define LAGOONSADDLE_EDGE_EVENT_SPLITTER_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lagoonsaddle::edge {

/**
 * @brief Splits a stream of server-sent events at event boundaries, so that it can be resumed after the last one.
 *
 * What is no event, such as an error message that follows the events of a response, makes the response malformed: a
 * line that is no field, or an id that is not above the one before. Where a response goes on with a stream, all its
 * events need an id, and nothing is returned before the first one.
 */
class event_splitter {
public:
    /*! @brief Most bytes of comments and empty lines between two events; a response with more is malformed. */
    static constexpr std::size_t comment_limit_bytes{64u * 1024u};

    /**
     * @brief Adds received bytes.
     * @param bytes The bytes.
     * @return The events completed by these bytes, concatenated; may be empty. Nothing that follows a malformed block.
     */
    [[nodiscard]] std::string feed(std::string_view bytes);

    /*! @brief Returns whether the current response holds a block that is no event. */
    [[nodiscard]] bool is_malformed() const noexcept {
        return this->malformed;
    }

    /*! @brief Returns the number of bytes after the last complete event. */
    [[nodiscard]] std::size_t pending_size() const noexcept {
        return this->pending.size();
    }

    /**
     * @brief Returns whether a response that has ended holds all events that its upstream had to send.
     *
     * A stream that ends inside an event has been broken off. Line breaks between events begin none. The end of a
     * connection completes a stream only after an event: an upstream that fails before it looks the same. So does a
     * response that goes on with a stream: without an event, it does not show that the last one had arrived.
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

    /*! @brief Returns whether another response can go on after the last complete event. */
    [[nodiscard]] bool is_resumable() const noexcept {
        return !this->last_event_without_id;
    }

    /*! @brief Starts the first response of a stream; discards the bytes after the last complete event. */
    void begin_response() noexcept;

    /**
     * @brief Starts a response that goes on with a stream; discards the bytes after the last complete event.
     * @param last_id Id of the last event that the caller has.
     */
    void begin_continuation(std::uint64_t last_id) noexcept;

private:
    /*! @brief Lines since the end of the last block. */
    struct block {
        bool has_field{};
        bool is_malformed{};
        std::optional<std::uint64_t> id{};
    };

    void add_line(std::string_view line) noexcept;
    /*! @brief Counts the block of a size that an empty line ends; returns whether it is passed on. */
    [[nodiscard]] bool end_block(std::size_t size) noexcept;

    [[nodiscard]] bool has_event() const noexcept {
        return this->complete_events > this->earlier_events;
    }

    std::string pending{};
    /*! @brief Position in `pending` of the first line whose end has not arrived. */
    std::size_t line_begin{};
    block current{};
    bool malformed{false};
    /*! @brief Whether the current response goes on with a stream. */
    bool continuation{false};
    bool last_event_without_id{false};
    std::size_t complete_events{};
    /*! @brief Number of complete events before the current response. */
    std::size_t earlier_events{};
    std::optional<std::uint64_t> last_event_id{};
    /*! @brief Bytes of blocks without a field since the last event. */
    std::size_t comment_bytes{};
};

} // namespace lagoonsaddle::edge

#endif
