#ifndef LAGOONSADDLE_EDGE_CONFIGURATION_CODEC_HPP
#define LAGOONSADDLE_EDGE_CONFIGURATION_CODEC_HPP

#include <string>
#include <string_view>

#include <lagoonsaddle/core/error.hpp>
#include <lagoonsaddle/edge/types.hpp>

namespace lagoonsaddle::edge {

/*! @brief Packs a configuration for another node. */
[[nodiscard]] std::string pack_configuration(const configuration& value);

/*! @brief Unpacks a configuration of another node, or returns `protocol_error`. */
[[nodiscard]] core::result<configuration> unpack_configuration(std::string_view packed);

} // namespace lagoonsaddle::edge

#endif
