#include <algorithm>
#include <cctype>
#include <cerrno>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

#include <lagoonsaddle/edge/decision_log.hpp>

namespace lagoonsaddle::edge {

namespace {

/*! @brief Returns whether a value can be written without quotes. */
[[nodiscard]] bool is_plain(std::string_view value) {
    return !value.empty() && std::ranges::all_of(value, [](unsigned char character) {
        return std::isgraph(character) != 0 && character != '"' && character != '=';
    });
}

} // namespace

log_line::log_line(std::string_view event) : content{"event="}, event_name{event} {
    this->content += event;
}

log_line& log_line::add(std::string_view key, std::string_view value) {
    if(key == "outcome") {
        this->outcome_name = value;
    }
    this->content += ' ';
    this->content += key;
    this->content += '=';
    if(is_plain(value)) {
        this->content += value;
        return *this;
    }
    this->content += '"';
    for(const char character : value) {
        const auto byte = static_cast<unsigned char>(character);
        this->content += std::iscntrl(byte) != 0 || character == '"' ? '\'' : character;
    }
    this->content += '"';
    return *this;
}

log_line& log_line::add(std::string_view key, std::int64_t value) {
    return this->add(key, std::to_string(value));
}

decision_log::decision_log(int descriptor, const core::clock& runtime_clock, decision_log_options options)
    : output_descriptor{descriptor},
      clock{runtime_clock},
      settings{std::move(options)},
      tokens{options.burst_lines},
      last_refill{runtime_clock.now()} {
    const int flags = ::fcntl(this->output_descriptor, F_GETFL);
    if(flags >= 0) {
        ::fcntl(this->output_descriptor, F_SETFL, flags | O_NONBLOCK);
    }
}

bool decision_log::take_token() {
    const auto now = this->clock.now();
    const std::chrono::duration<double> elapsed{now - this->last_refill};
    this->last_refill = now;
    this->tokens =
        std::min(this->settings.burst_lines, this->tokens + elapsed.count() * this->settings.lines_per_second);
    if(this->tokens < 1.0) {
        return false;
    }
    this->tokens -= 1.0;
    return true;
}

void decision_log::append(const std::string& text) {
    this->buffer += "time_ms=" + std::to_string(core::unix_time().count());
    if(!this->settings.node.empty()) {
        this->buffer += " node=" + this->settings.node;
    }
    this->buffer += ' ' + text + '\n';
}

void decision_log::write(const log_line& line) {
    if(!this->take_token() || this->buffer.size() + line.text().size() > this->settings.buffer_bytes) {
        ++this->dropped_unreported;
        ++this->dropped_total;
        return;
    }
    if(this->dropped_unreported > 0u) {
        this->append(
            log_line{"log_lines_dropped"}.add("count", static_cast<std::int64_t>(this->dropped_unreported)).text());
        this->dropped_unreported = 0u;
    }
    this->append(line.text());
}

void decision_log::flush() {
    while(!this->buffer.empty()) {
        const auto written = ::write(this->output_descriptor, this->buffer.data(), this->buffer.size());
        if(written > 0) {
            this->buffer.erase(0u, static_cast<std::size_t>(written));
        } else if(written == 0 || errno != EINTR) {
            // The output is not ready or has no reader; requests must not wait for it.
            return;
        }
    }
}

} // namespace lagoonsaddle::edge
