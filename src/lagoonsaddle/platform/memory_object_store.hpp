#ifndef LAGOONSADDLE_PLATFORM_MEMORY_OBJECT_STORE_HPP
#define LAGOONSADDLE_PLATFORM_MEMORY_OBJECT_STORE_HPP

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include <lagoonsaddle/platform/call_counts.hpp>
#include <lagoonsaddle/platform/object_store.hpp>

namespace lagoonsaddle::platform {

/*! @brief Faults injected into the in-memory object store. Each affected write decrements its counter. */
struct memory_store_faults {
    /*! @brief All calls fail with `unavailable` and have no effect. */
    bool outage{false};
    /*! @brief Time before a call takes effect. */
    std::chrono::milliseconds latency{0};
    /*! @brief Number of times a call is reposted to its executor before it takes effect. */
    unsigned latency_steps{0u};
    /*! @brief Number of writes that take effect but whose responses are lost. */
    unsigned drop_answers{0u};
    /*! @brief Number of writes lost before they take effect; the caller cannot tell this from a lost response. */
    unsigned drop_writes{0u};
    /*! @brief Number of writes that fail with a conflict, as if another writer had just stored the same body. */
    unsigned conflicts{0u};
};

/**
 * @brief In-memory object store for tests and benchmarks. Thread-safe.
 *
 * The `_sync` functions are the same operations without latency, for tests that have no executor.
 */
class memory_object_store final : public object_store {
public:
    /*! @brief Maximum size of a body, as for the object API. */
    static constexpr std::size_t body_limit_bytes{1'000'000u};

    memory_object_store() = default;

    [[nodiscard]] boost::asio::awaitable<core::result<std::optional<object>>> get(
        std::string name, object_version known) override;
    [[nodiscard]] boost::asio::awaitable<core::result<object_version>> put(
        std::string name, std::string body, object_version expected) override;
    [[nodiscard]] boost::asio::awaitable<core::result<std::optional<object>>> watch(
        std::string name, object_version known, std::chrono::milliseconds timeout) override;
    [[nodiscard]] boost::asio::awaitable<core::result<std::vector<object>>> list(std::string prefix) override;

    [[nodiscard]] core::result<std::optional<object>> get_sync(const std::string& name, object_version known);
    [[nodiscard]] core::result<object_version> put_sync(
        const std::string& name, std::string body, object_version expected);
    [[nodiscard]] core::result<std::vector<object>> list_sync(const std::string& prefix);

    /**
     * @brief Replaces the faults.
     * @param new_faults New faults.
     */
    void set_faults(memory_store_faults new_faults);

    /*! @brief Returns the faults that remain. */
    [[nodiscard]] memory_store_faults faults() const;

    /*! @brief Returns the call counts since construction. */
    [[nodiscard]] call_counts counts() const;

private:
    struct watcher;

    [[nodiscard]] boost::asio::awaitable<void> apply_latency();
    /*! @brief Reads an object; the caller holds the mutex. */
    [[nodiscard]] core::result<std::optional<object>> read_locked(const std::string& name, object_version known);
    /*! @brief Wakes the watches of an object; the caller holds the mutex. */
    void notify_watchers(const std::string& name);

    mutable std::mutex mutex{};
    std::map<std::string, object> objects{};
    /*! @brief The waiting coroutines own the entries, since a timer must not outlive its executor. */
    std::multimap<std::string, std::weak_ptr<watcher>> watchers{};
    memory_store_faults active_faults{};
    call_counts calls{};
};

} // namespace lagoonsaddle::platform

#endif
