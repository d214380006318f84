#include <charconv>
#include <utility>

#include <lagoonsaddle/edge/event_splitter.hpp>

namespace lagoonsaddle::edge {

namespace {

/*! @brief Returns the length up to the end of the last blank line. */
[[nodiscard]] std::size_t whole_events(std::string_view text) noexcept {
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
    const auto length = whole_events(this->pending);
    auto events = this->pending.substr(0u, length);
    this->pending.erase(0u, length);
    this->note_ids(events);
    return events;
}

std::string event_splitter::take_rest() {
    return std::exchange(this->pending, {});
}

void event_splitter::note_ids(std::string_view events) {
    constexpr std::string_view field{"id:"};
    while(!events.empty()) {
        const auto end = events.find('\n');
        auto line = events.substr(0u, end);
        events.remove_prefix(end == std::string_view::npos ? events.size() : end + 1u);
        if(!line.starts_with(field)) {
            continue;
        }
        line.remove_prefix(field.size());
        while(!line.empty() && line.front() == ' ') {
            line.remove_prefix(1u);
        }
        std::uint64_t id{};
        if(std::from_chars(line.data(), line.data() + line.size(), id).ec == std::errc{}) {
            this->last = id;
        }
    }
}

} // namespace lagoonsaddle::edge
