#include <algorithm>
#include <cctype>
#include <cerrno>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

#include <lagoonsaddle/edge/decision_log.hpp>

namespace lagoonsaddle::edge {

namespace {

[[nodiscard]] bool plain(std::string_view value) {
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
    if(plain(value)) {
        this->content += value;
        return *this;
    }
    this->content += '"';
    for(const char character : value) {
        const auto code = static_cast<unsigned char>(character);
        this->content += std::iscntrl(code) != 0 || character == '"' ? '\'' : character;
    }
    this->content += '"';
    return *this;
}

log_line& log_line::add(std::string_view key, std::int64_t value) {
    return this->add(key, std::to_string(value));
}

decision_log::decision_log(int descriptor, const core::clock& clock, decision_log_options options)
    : output{descriptor}, time{clock}, settings{std::move(options)}, tokens{options.burst}, refilled{clock.now()} {
    const int flags = ::fcntl(this->output, F_GETFL);
    if(flags >= 0) {
        ::fcntl(this->output, F_SETFL, flags | O_NONBLOCK);
    }
}

bool decision_log::admit() {
    const auto now = this->time.now();
    const std::chrono::duration<double> passed{now - this->refilled};
    this->refilled = now;
    this->tokens = std::min(this->settings.burst, this->tokens + passed.count() * this->settings.lines_per_second);
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
    if(!this->admit() || this->buffer.size() + line.text().size() > this->settings.buffer_bytes) {
        ++this->dropped_since;
        ++this->dropped_total;
        return;
    }
    if(this->dropped_since > 0u) {
        this->append(log_line{"log_lines_dropped"}.add("count", static_cast<std::int64_t>(this->dropped_since)).text());
        this->dropped_since = 0u;
    }
    this->append(line.text());
}

void decision_log::flush() {
    while(!this->buffer.empty()) {
        const auto written = ::write(this->output, this->buffer.data(), this->buffer.size());
        if(written > 0) {
            this->buffer.erase(0u, static_cast<std::size_t>(written));
        } else if(written == 0 || errno != EINTR) {
            // A reader that is slow or gone must not delay requests.
            return;
        }
    }
}

} // namespace lagoonsaddle::edge
