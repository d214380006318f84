#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <lagoonsaddle/platform/memory_object_store.hpp>

namespace lagoonsaddle::platform {

namespace asio = boost::asio;

/*! @brief Timer of one pending watch; used only on the strand of the watch. */
struct memory_object_store::watcher {
    asio::steady_timer timer;
};

asio::awaitable<void> memory_object_store::apply_latency() {
    const auto executor = co_await asio::this_coro::executor;
    const auto injected = this->faults();
    for(unsigned step{}; step < injected.latency_steps; ++step) {
        co_await asio::post(executor, asio::use_awaitable);
    }
    if(injected.latency.count() > 0) {
        asio::steady_timer timer{executor, injected.latency};
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<core::result<std::optional<object>>> memory_object_store::get(std::string name, object_version known) {
    co_await this->apply_latency();
    co_return this->get_sync(name, known);
}

asio::awaitable<core::result<object_version>> memory_object_store::put(
    std::string name, std::string body, object_version expected) {
    co_await this->apply_latency();
    co_return this->put_sync(name, std::move(body), expected);
}

asio::awaitable<core::result<std::vector<object>>> memory_object_store::list(std::string prefix) {
    co_await this->apply_latency();
    co_return this->list_sync(prefix);
}

asio::awaitable<core::result<std::optional<object>>> memory_object_store::watch(
    std::string name, object_version known, std::chrono::milliseconds timeout) {
    co_await this->apply_latency();
    const auto executor = co_await asio::this_coro::executor;
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    for(bool counted{false};; counted = true) {
        auto pending = std::make_shared<watcher>(watcher{asio::steady_timer{executor, deadline}});
        {
            const std::lock_guard lock{this->mutex};
            this->calls.watches += counted ? 0u : 1u;
            auto value = this->read_locked(name, known);
            // A watch with known version 0 waits for a missing object to be created.
            const bool missing = !value && value.error().cause == core::reason::not_found;
            const bool changed = value ? value->has_value() : !(missing && known == 0u);
            if(changed) {
                co_return value;
            }
            this->watchers.emplace(name, pending);
        }
        boost::system::error_code cancelled{};
        co_await pending->timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
        const std::lock_guard lock{this->mutex};
        std::erase_if(this->watchers, [&pending](const auto& entry) {
            const auto owned = entry.second.lock();
            return !owned || owned == pending;
        });
        if(!cancelled) {
            ++this->calls.unchanged;
            co_return std::optional<object>{};
        }
    }
}

core::result<std::optional<object>> memory_object_store::get_sync(const std::string& name, object_version known) {
    const std::lock_guard lock{this->mutex};
    ++this->calls.reads;
    auto value = this->read_locked(name, known);
    if(value && !*value) {
        ++this->calls.unchanged;
    }
    return value;
}

core::result<std::optional<object>> memory_object_store::read_locked(const std::string& name, object_version known) {
    if(this->active_faults.outage) {
        ++this->calls.failures;
        return core::fail(core::reason::unavailable, "the object store is unavailable");
    }
    const auto found = this->objects.find(name);
    if(found == this->objects.end()) {
        return core::fail(core::reason::not_found, "the object does not exist");
    }
    if(found->second.version == known) {
        return std::optional<object>{};
    }
    return std::optional<object>{found->second};
}

core::result<object_version> memory_object_store::put_sync(
    const std::string& name, std::string body, object_version expected) {
    const std::lock_guard lock{this->mutex};
    ++this->calls.writes;
    if(this->active_faults.outage) {
        ++this->calls.failures;
        return core::fail(core::reason::unavailable, "the object store is unavailable");
    }
    if(body.size() > body_limit_bytes) {
        return core::fail(core::reason::payload_too_large, "the object is larger than one megabyte");
    }
    if(this->active_faults.drop_writes > 0u) {
        --this->active_faults.drop_writes;
        ++this->calls.failures;
        return core::fail(core::reason::connection_lost, core::verdict::may_have_run, "the response was lost");
    }
    auto found = this->objects.find(name);
    if(this->active_faults.conflicts > 0u) {
        --this->active_faults.conflicts;
        if(found != this->objects.end()) {
            ++found->second.version;
            this->notify_watchers(name);
        }
        ++this->calls.conflicts;
        return core::fail(core::reason::conflict, "the object has another version");
    }
    const auto current = (found == this->objects.end()) ? object_version{} : found->second.version;
    if(current != expected) {
        ++this->calls.conflicts;
        return core::fail(core::reason::conflict, "the object has another version");
    }
    if(found == this->objects.end()) {
        found = this->objects.emplace(name, object{.name = name, .body = {}, .version = 0u}).first;
    }
    found->second.body = std::move(body);
    ++found->second.version;
    const auto written = found->second.version;
    this->notify_watchers(name);
    if(this->active_faults.drop_answers > 0u) {
        --this->active_faults.drop_answers;
        ++this->calls.failures;
        return core::fail(core::reason::connection_lost, core::verdict::may_have_run, "the response was lost");
    }
    return written;
}

core::result<std::vector<object>> memory_object_store::list_sync(const std::string& prefix) {
    const std::lock_guard lock{this->mutex};
    ++this->calls.lists;
    if(this->active_faults.outage) {
        ++this->calls.failures;
        return core::fail(core::reason::unavailable, "the object store is unavailable");
    }
    std::vector<object> found{};
    for(auto entry = this->objects.lower_bound(prefix);
        entry != this->objects.end() && entry->first.starts_with(prefix); ++entry) {
        found.push_back(object{.name = entry->first, .body = {}, .version = entry->second.version});
    }
    return found;
}

void memory_object_store::notify_watchers(const std::string& name) {
    const auto [first, last] = this->watchers.equal_range(name);
    for(auto entry = first; entry != last; ++entry) {
        // A timer is not thread-safe, so it is cancelled on its own executor.
        if(const auto pending = entry->second.lock(); pending) {
            asio::post(pending->timer.get_executor(), [weak = entry->second] {
                if(const auto still_pending = weak.lock(); still_pending) {
                    still_pending->timer.cancel();
                }
            });
        }
    }
}

void memory_object_store::set_faults(memory_store_faults new_faults) {
    const std::lock_guard lock{this->mutex};
    this->active_faults = new_faults;
}

memory_store_faults memory_object_store::faults() const {
    const std::lock_guard lock{this->mutex};
    return this->active_faults;
}

call_counts memory_object_store::counts() const {
    const std::lock_guard lock{this->mutex};
    return this->calls;
}

} // namespace lagoonsaddle::platform
