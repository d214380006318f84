#ifndef LAGOONSADDLE_WIRE_CODEC_HPP
#define LAGOONSADDLE_WIRE_CODEC_HPP

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>

#include <msgpack.hpp>

#include <lagoonsaddle/core/error.hpp>

namespace lagoonsaddle::wire {

namespace internal {

/*! @brief Largest array of a message, such as the resident adapters of a report. */
inline constexpr std::size_t array_limit{65'536u};
/*! @brief Deepest nesting of a message. */
inline constexpr std::size_t depth_limit{16u};

/**
 * @brief Returns limits for unpacking. Without them, a few bytes that claim a large array allocate it.
 * @param bytes Size of the packed message.
 * @return The limits.
 */
[[nodiscard]] inline msgpack::unpack_limit unpack_limits(std::size_t bytes) {
    // Each element takes at least one byte, so that a longer array is not in the message.
    const auto elements = std::min(bytes, array_limit);
    return msgpack::unpack_limit{elements, elements, bytes, bytes, bytes, depth_limit};
}

} // namespace internal

/**
 * @brief Packs a message with msgpack.
 * @tparam Type Message with a msgpack definition.
 * @param message The message.
 * @return The packed bytes.
 */
template<typename Type>
[[nodiscard]] std::string pack(const Type& message) {
    msgpack::sbuffer buffer{};
    msgpack::pack(buffer, message);
    return std::string{buffer.data(), buffer.size()};
}

/**
 * @brief Unpacks a message.
 * @tparam Type Message with a msgpack definition.
 * @param bytes Packed bytes.
 * @return The message, or `protocol_error`.
 */
template<typename Type>
[[nodiscard]] core::result<Type> unpack(std::string_view bytes) {
    try {
        const auto handle =
            msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, internal::unpack_limits(bytes.size()));
        return handle.get().as<Type>();
    } catch(const std::exception& exception) {
        return core::fail(core::reason::protocol_error, std::string{"message cannot be decoded: "} + exception.what());
    }
}

} // namespace lagoonsaddle::wire

#endif
