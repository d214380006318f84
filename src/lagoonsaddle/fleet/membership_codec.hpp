#ifndef LAGOONSADDLE_FLEET_MEMBERSHIP_CODEC_HPP
#define LAGOONSADDLE_FLEET_MEMBERSHIP_CODEC_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <lagoonsaddle/fleet/member.hpp>

namespace lagoonsaddle::fleet::internal {

/*! @brief Kind of a membership datagram. */
enum class message_kind : std::uint8_t {
    ping,
    /*! @brief Asks the receiver to probe `target`. */
    ping_request,
    ack,
    /*! @brief Starts an anti-entropy sync with the sender's digest; the receiver replies with pages and its digest. */
    sync,
    /*! @brief Digest sent in reply to a `sync`; the receiver replies with pages only. */
    sync_reply,
    /*! @brief Records and items of the digest buckets that differ. */
    page
};

/*! @brief Encoded state of a member. Compact records omit the availability zone and the endpoints. */
struct member_record {
    fleet::member member{};
    bool is_full{};
};

/*! @brief Decoded membership datagram. */
struct message {
    message_kind kind{};
    std::uint64_t sequence{};
    member_record sender{};
    /*! @brief Name of the probed member; empty when any receiver of the ping shall respond. */
    std::string target{};
    std::uint64_t page_index{};
    std::uint64_t page_count{};
    /*! @brief Whether the pages hold all records and items of the buckets that differ. */
    bool is_complete{};
    /*! @brief Hash of each bucket of records and items; an empty digest stands for zeros in every bucket. */
    std::vector<std::uint64_t> digest{};
    std::vector<member_record> records{};
    std::vector<gossip_item> items{};
};

/**
 * @brief Encodes a record.
 * @param value Member to encode.
 * @param full Whether the availability zone and the endpoints are included.
 * @return msgpack bytes.
 */
[[nodiscard]] std::string encode(const member& value, bool full);

/**
 * @brief Encodes an item.
 * @param value Item with its remaining lifetime.
 * @return msgpack bytes.
 */
[[nodiscard]] std::string encode(const gossip_item& value);

/**
 * @brief Encodes a datagram from its header and encoded parts; `records` and `items` of the header are ignored.
 * @param header Message without records and items.
 * @param records Encoded records.
 * @param items Encoded items.
 * @return msgpack bytes.
 */
[[nodiscard]] std::string encode(
    const message& header, const std::vector<std::string>& records, const std::vector<std::string>& items);

/**
 * @brief Decodes a datagram.
 * @param bytes Payload.
 * @return The message, or an empty value when the bytes are not exactly one valid message.
 */
[[nodiscard]] std::optional<message> decode(std::string_view bytes);

/*! @brief Returns whether the lengths of an item's strings are within the limits. */
[[nodiscard]] bool has_valid_lengths(const gossip_item& value) noexcept;

} // namespace lagoonsaddle::fleet::internal

#endif
