#include <lagoonsaddle/upstream/sse_parser.hpp>

namespace lagoonsaddle::upstream {

namespace {

constexpr std::string_view event_delimiter{"\n\n"};
constexpr std::string_view data_field{"data:"};

} // namespace

void sse_parser::feed(std::string_view bytes) {
    this->buffer.append(bytes);
}

std::optional<std::string> sse_parser::next() {
    while(true) {
        const auto end = this->buffer.find(event_delimiter, this->searched);
        if(end == std::string::npos) {
            // The delimiter may have begun with the last byte.
            this->searched = this->buffer.empty() ? 0u : this->buffer.size() - 1u;
            return std::nullopt;
        }
        this->searched = 0u;
        auto event = this->buffer.substr(0u, end);
        this->buffer.erase(0u, end + event_delimiter.size());
        if(event.starts_with(data_field)) {
            event.erase(0u, data_field.size());
            event.erase(0u, event.find_first_not_of(' '));
            return event;
        }
    }
}

} // namespace lagoonsaddle::upstream
