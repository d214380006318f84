#ifndef LAGOONSADDLE_HTTP_REQUEST_FRAMING_HPP
#define LAGOONSADDLE_HTTP_REQUEST_FRAMING_HPP

#include <optional>
#include <string>
#include <string_view>

#include <lagoonsaddle/http/fields.hpp>
#include <lagoonsaddle/http/message.hpp>

namespace lagoonsaddle::http {

/*! @brief Why a request is rejected before its body is read. */
struct framing_rejection {
    unsigned status{400u};
    std::string message{};
};

/*! @brief Target of a request without the authority that an absolute form names. */
struct request_target {
    /*! @brief Path with query. */
    std::string path{};
    /*! @brief Host and port of an absolute form; empty for an origin form. */
    std::string host{};
};

/**
 * @brief Checks that the fields of a request state the end of its body without doubt (RFC 9112, 6.1 and 6.3).
 *
 * A request whose end another party may see elsewhere would let bytes of its body be run as the next request.
 *
 * @param headers Fields of the request, repeated lines joined.
 * @param version HTTP version, 11 for HTTP/1.1.
 * @return Nothing, or the status and the reason: 501 for a transfer coding that is not decoded, otherwise 400.
 */
[[nodiscard]] std::optional<framing_rejection> check_framing(const fields& headers, unsigned version);

/**
 * @brief Parses the target of a request (RFC 9112, 3.2).
 * @param target Target in origin form or in absolute form.
 * @return Path and host.
 */
[[nodiscard]] request_target parse_target(std::string_view target);

/**
 * @brief Returns whether the target and the fields of a request stand in one head as they are.
 *
 * A blank or a line break in a target, or a line break in a field, would end it early: what follows would be read as a
 * field or as another request.
 *
 * @param message A request that is to be sent.
 */
[[nodiscard]] bool has_valid_head(const request& message) noexcept;

} // namespace lagoonsaddle::http

#endif
