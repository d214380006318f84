#include <charconv>
#include <utility>

#include <lagoonsaddle/edge/event_splitter.hpp>

namespace lagoonsaddle::edge {

std::string event_splitter::feed(std::string_view bytes) {
    // Lines that are complete are not searched again, so that a long event costs no more than its length.
    auto searched = this->pending.size();
    this->pending += bytes;
    std::size_t length{};
    for(auto end = this->pending.find('\n', searched); end != std::string::npos;
        end = this->pending.find('\n', searched)) {
        const auto line = std::string_view{this->pending}.substr(this->line_begin, end - this->line_begin);
        searched = end + 1u;
        this->line_begin = searched;
        if(this->end_line(line)) {
            length = searched;
        }
    }
    auto events = this->pending.substr(0u, length);
    this->pending.erase(0u, length);
    this->line_begin -= length;
    this->update_last_id(events);
    return events;
}

bool event_splitter::end_line(std::string_view line) noexcept {
    if(!line.empty() && line != "\r") {
        this->block_has_field = this->block_has_field || line.front() != ':';
        return false;
    }
    this->complete_events += this->block_has_field ? 1u : 0u;
    this->block_has_field = false;
    return true;
}

bool event_splitter::is_complete(bool close_delimited) const noexcept {
    const bool inside_event = this->pending.find_first_not_of("\r\n") != std::string::npos;
    const bool has_event = this->complete_events > this->earlier_events;
    return !inside_event && (!close_delimited || has_event);
}

void event_splitter::begin_response() noexcept {
    this->pending.clear();
    this->line_begin = 0u;
    this->block_has_field = false;
    this->earlier_events = this->complete_events;
}

std::string event_splitter::take_remainder() {
    this->line_begin = 0u;
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
