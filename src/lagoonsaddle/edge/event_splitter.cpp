#include <charconv>
#include <utility>

#include <lagoonsaddle/edge/event_splitter.hpp>

namespace lagoonsaddle::edge {

namespace {

/*! @brief Returns the length of the text up to the end of the last complete event, which a blank line ends. */
[[nodiscard]] std::size_t complete_events_length(std::string_view text) noexcept {
    for(std::size_t end = text.size(); end >= 2u; --end) {
        if(text[end - 1u] != '\n') {
            continue;
        }
        if(text[end - 2u] == '\n' || (end >= 4u && text.substr(end - 4u, 4u) == "\r\n\r\n")) {
            return end;
        }
    }
    return 0u;
}

} // namespace

std::string event_splitter::feed(std::string_view bytes) {
    this->pending += bytes;
    const auto length = complete_events_length(this->pending);
    auto events = this->pending.substr(0u, length);
    this->pending.erase(0u, length);
    this->update_last_id(events);
    return events;
}

std::string event_splitter::take_remainder() {
    return std::exchange(this->pending, {});
}

void event_splitter::update_last_id(std::string_view events) {
    constexpr std::string_view id_field{"id:"};
    while(!events.empty()) {
        const auto end = events.find('\n');
        auto line = events.substr(0u, end);
        events.remove_prefix(end == std::string_view::npos ? events.size() : end + 1u);
        if(!line.starts_with(id_field)) {
            continue;
        }
        line.remove_prefix(id_field.size());
        while(!line.empty() && line.front() == ' ') {
            line.remove_prefix(1u);
        }
        std::uint64_t id{};
        if(std::from_chars(line.data(), line.data() + line.size(), id).ec == std::errc{}) {
            this->last_event_id = id;
        }
    }
}

} // namespace lagoonsaddle::edge
