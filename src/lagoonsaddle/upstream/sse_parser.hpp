#ifndef LAGOONSADDLE_UPSTREAM_SSE_PARSER_HPP
#define LAGOONSADDLE_UPSTREAM_SSE_PARSER_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lagoonsaddle::upstream {

/*! @brief Incremental parser that extracts the data of server-sent events (SSE). */
class sse_parser {
public:
    /**
     * @brief Appends received bytes to the buffer.
     * @param bytes Bytes as received; events may be split at any position.
     */
    void feed(std::string_view bytes);

    /**
     * @brief Removes the next complete event from the buffer; events without data are skipped.
     * @return Value of the data field, or nothing when more bytes are needed.
     */
    [[nodiscard]] std::optional<std::string> next();

    /*! @brief Returns the number of buffered bytes in which no event is known to end. */
    [[nodiscard]] std::size_t unfinished_bytes() const noexcept {
        return this->searched;
    }

private:
    std::string buffer{};
    /*! @brief Bytes at the begin of the buffer in which no event ends. */
    std::size_t searched{};
};

} // namespace lagoonsaddle::upstream

#endif
