#include <utility>
#include <variant>

#include <boost/asio/co_spawn.hpp>

#include <lagoonsaddle/core/task.hpp>
#include <lagoonsaddle/edge/sleep.hpp>
#include <lagoonsaddle/edge/unseen_versions.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

std::set<std::string, std::less<>> software_versions_in(const record_page& changes, std::string_view service) {
    std::set<std::string, std::less<>> versions{};
    for(const auto& change : changes.records) {
        const auto* entry = std::get_if<upstream_entry>(&change.value);
        if(entry != nullptr && entry->service == service) {
            versions.insert(entry->software_version);
        }
    }
    return versions;
}

unseen_versions::unseen_versions(
    asio::io_context& io, const core::clock& runtime_clock, read_function read, unseen_versions_options options)
    : context{io}, clock{runtime_clock}, read_changes{std::move(read)}, settings{options} {}

asio::awaitable<std::optional<unseen_versions::version_set>> unseen_versions::read(std::string service) {
    const auto answer = std::make_shared<queue_type>();
    this->waiting.push_back(answer);
    if(!this->reading) {
        this->reading = true;
        asio::co_spawn(
            this->context, [self = this->shared_from_this()] { return self->answer_questions(); },
            core::task_end{"unseen_versions"});
    }
    const auto page = co_await answer->pop(this->settings.timeout);
    if(!page || !**page) {
        co_return std::nullopt;
    }
    co_return software_versions_in(***page, service);
}

asio::awaitable<void> unseen_versions::answer_questions() {
    while(!this->waiting.empty()) {
        const auto questions = std::exchange(this->waiting, {});
        const auto begin = this->clock.now();
        auto changes = co_await this->read_changes();
        const auto page = std::make_shared<const core::result<record_page>>(std::move(changes));
        for(const auto& question : questions) {
            question->push(page);
        }
        const auto next = begin + this->settings.read_interval;
        if(const auto now = this->clock.now(); now < next) {
            co_await sleep_for(next - now);
        }
    }
    this->reading = false;
}

} // namespace lagoonsaddle::edge
