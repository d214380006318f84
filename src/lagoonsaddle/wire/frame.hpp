#ifndef LAGOONSADDLE_WIRE_FRAME_HPP
#define LAGOONSADDLE_WIRE_FRAME_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <lagoonsaddle/core/error.hpp>

namespace lagoonsaddle::wire {

/*! @brief Largest payload of a frame. */
inline constexpr std::size_t frame_limit_bytes{1024u * 1024u};

/*! @brief Kind of a message between nodes. The values are part of the protocol. */
enum class message_type : unsigned char {
    hello = 1,
    submit = 2,
    answer_head = 3,
    answer_data = 4,
    answer_end = 5,
    cancel = 6,
    config_get = 9,
    config_reply = 10,
    load_request = 11,
    load_permit = 12,
    load_done = 13,
    upstream_report = 14,
    explain_get = 15,
    explain_reply = 16,
    ownership_get = 17,
    ownership_reply = 18,
    quarantine_update = 19,
    place_request = 20,
    placement = 21,
    request_progress = 22,
    store_news = 23,
    prompt_part_update = 24,
    stream_origin_update = 25,
    stream_origin_get = 26,
    stream_origin_reply = 27,
    upstream_full = 28,
    records_get = 29,
    records_reply = 30,
    records_notice = 31,
    placement_pending = 32,
    confirmation_get = 33,
    confirmation_reply = 34,
    quota_request = 35,
    quota_grant = 36
};

/*! @brief Newest type of message that this node knows. */
inline constexpr message_type newest_message_type{message_type::quota_grant};

/*! @brief Newest type of message that a node knows which does not state it. */
inline constexpr message_type baseline_message_type{message_type::prompt_part_update};

/*! @brief One message between nodes. */
struct frame {
    message_type type{message_type::hello};
    /*! @brief Identifies the exchange that the frame belongs to; unique per connection. */
    std::uint64_t exchange_id{};
    /*! @brief Position of the frame in its direction of the exchange, from 0 without gaps. */
    std::uint64_t sequence{};
    /*! @brief Message, packed with msgpack. */
    std::string body{};
};

/**
 * @brief Encodes a frame: a 4-byte big-endian length and a msgpack array of type, exchange id, sequence and body.
 * @param value The frame.
 * @param output Receives the bytes at its end.
 */
void encode(const frame& value, std::string& output);

/*! @brief Splits a byte stream into frames. */
class frame_decoder {
public:
    frame_decoder() = default;

    /**
     * @brief Constructs a decoder.
     * @param first_limit_bytes Limit of the first frame's body; later ones have `frame_limit_bytes`.
     */
    explicit frame_decoder(std::size_t first_limit_bytes) noexcept : limit{first_limit_bytes} {}

    /**
     * @brief Adds received bytes.
     * @param bytes The bytes.
     */
    void feed(std::string_view bytes);

    /**
     * @brief Takes the next whole frame.
     * @return A frame, nothing when more bytes are needed, or `protocol_error`, after which the stream is unusable.
     */
    [[nodiscard]] core::result<std::optional<frame>> next();

private:
    std::string pending{};
    std::size_t consumed{};
    /*! @brief Limit of the next frame's body. */
    std::size_t limit{frame_limit_bytes};
};

} // namespace lagoonsaddle::wire

#endif
