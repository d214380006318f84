#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include <lagoonsaddle/edge/event_splitter.hpp>

namespace lagoonsaddle::edge {

namespace {

/*! @brief Returns whether a line is a field: a name, and a value after a colon unless the name stands alone. */
[[nodiscard]] bool is_field(std::string_view line) noexcept {
    constexpr std::array<std::string_view, 4u> standard_names{"data", "event", "id", "retry"};
    const auto colon = line.find(':');
    if(colon == std::string_view::npos) {
        return std::ranges::find(standard_names, line) != standard_names.end();
    }
    constexpr std::string_view name_characters{"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_"};
    const auto name = line.substr(0u, colon);
    return name.find_first_not_of(name_characters) == std::string_view::npos;
}

/*! @brief Returns the number in an id field, or nothing when the line is another field. */
[[nodiscard]] std::optional<std::uint64_t> read_id(std::string_view line) noexcept {
    constexpr std::string_view id_field{"id:"};
    if(!line.starts_with(id_field)) {
        return std::nullopt;
    }
    line.remove_prefix(id_field.size());
    line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
    std::uint64_t id{};
    const auto parsed = std::from_chars(line.data(), line.data() + line.size(), id);
    return parsed.ec == std::errc{} ? std::optional{id} : std::nullopt;
}

} // namespace

std::string event_splitter::feed(std::string_view bytes) {
    if(this->malformed) {
        return {};
    }
    // Lines that are complete are not searched again, so that a long event costs no more than its length.
    auto searched = this->pending.size();
    this->pending += bytes;
    std::string events{};
    std::size_t block_begin{};
    for(auto end = this->pending.find('\n', searched); end != std::string::npos && !this->malformed;
        end = this->pending.find('\n', searched)) {
        const auto line = std::string_view{this->pending}.substr(this->line_begin, end - this->line_begin);
        searched = end + 1u;
        this->line_begin = searched;
        if(!line.empty() && line != "\r") {
            this->add_line(line);
            continue;
        }
        if(this->end_block(searched - block_begin)) {
            events += std::string_view{this->pending}.substr(block_begin, searched - block_begin);
        }
        block_begin = searched;
    }
    this->pending.erase(0u, block_begin);
    this->line_begin -= block_begin;
    return events;
}

void event_splitter::add_line(std::string_view line) noexcept {
    if(line.ends_with('\r')) {
        line.remove_suffix(1u);
    }
    if(line.front() == ':') {
        return;
    }
    this->current.has_field = true;
    this->current.is_malformed = this->current.is_malformed || !is_field(line);
    if(const auto id = read_id(line)) {
        this->current.id = id;
    }
}

bool event_splitter::end_block(std::size_t size) noexcept {
    const auto ended = std::exchange(this->current, {});
    if(!ended.has_field) {
        this->comment_bytes += size;
        this->malformed = this->comment_bytes > comment_limit_bytes;
        return !this->malformed && (!this->continuation || this->has_event());
    }
    this->comment_bytes = 0u;
    const bool is_late = ended.id && this->last_event_id && *ended.id <= *this->last_event_id;
    if(ended.is_malformed || is_late || (this->continuation && !ended.id)) {
        this->malformed = true;
        return false;
    }
    ++this->complete_events;
    this->last_event_without_id = !ended.id.has_value();
    this->last_event_id = ended.id ? ended.id : this->last_event_id;
    return true;
}

bool event_splitter::is_complete(bool close_delimited) const noexcept {
    const bool inside_event = this->pending.find_first_not_of("\r\n") != std::string::npos;
    const bool needs_event = close_delimited || this->continuation;
    return !this->malformed && !inside_event && (!needs_event || this->has_event());
}

void event_splitter::begin_response() noexcept {
    this->pending.clear();
    this->line_begin = 0u;
    this->current = {};
    this->malformed = false;
    this->comment_bytes = 0u;
    this->continuation = false;
    this->earlier_events = this->complete_events;
}

void event_splitter::begin_continuation(std::uint64_t last_id) noexcept {
    this->begin_response();
    this->continuation = true;
    this->last_event_id = last_id;
}

std::string event_splitter::take_remainder() {
    this->line_begin = 0u;
    return std::exchange(this->pending, {});
}

} // namespace lagoonsaddle::edge
