#ifndef LAGOONSADDLE_HTTP_MEDIA_TYPE_HPP
#define LAGOONSADDLE_HTTP_MEDIA_TYPE_HPP

#include <string>

#include <lagoonsaddle/http/fields.hpp>

namespace lagoonsaddle::http {

/*! @brief Returns the media type of a message in lower case, without its parameters; empty when none is stated. */
[[nodiscard]] std::string media_type(const fields& headers);

} // namespace lagoonsaddle::http

#endif
