#ifndef LAGOONSADDLE_HTTP_MESSAGE_HPP
#define LAGOONSADDLE_HTTP_MESSAGE_HPP

#include <string>

#include <lagoonsaddle/http/fields.hpp>

namespace lagoonsaddle::http {

/*! @brief HTTP/1.1 as a number, ten times the major version and the minor one. */
inline constexpr unsigned http_1_1{11u};

/*! @brief An HTTP request with its whole body. */
struct request {
    /*! @brief Method in upper case, such as `POST`. */
    std::string method{"GET"};
    /*! @brief Path with query. */
    std::string target{"/"};
    fields headers{};
    std::string body{};
};

/*! @brief An HTTP response with its whole body. */
struct response {
    unsigned status{200u};
    fields headers{};
    std::string body{};
};

} // namespace lagoonsaddle::http

#endif
