#ifndef LAGOONSADDLE_PLATFORM_OBJECT_STORE_HPP
#define LAGOONSADDLE_PLATFORM_OBJECT_STORE_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include <lagoonsaddle/core/error.hpp>

namespace lagoonsaddle::platform {

/*! @brief Version of an object. Increases with each write; 0 means that the object does not exist. */
using object_version = std::uint64_t;

/*! @brief An object of the platform's object API. */
struct object {
    std::string name{};
    std::string body{};
    object_version version{};
};

/**
 * @brief The platform's object API. Thread-safe.
 *
 * Errors carry a verdict: with `not_run` a write did not take effect, with `may_have_run` it may have, and the caller
 * must read the object back before it acts.
 */
class object_store {
public:
    object_store() = default;
    object_store(const object_store&) = delete;
    object_store& operator=(const object_store&) = delete;
    virtual ~object_store() = default;

    /**
     * @brief Reads an object.
     * @param name Name, such as `ownership/maradana`.
     * @param known Version that the caller holds; 0 if none.
     * @return The object, nothing if its version is still `known`, or an error: `not_found`, `unavailable`, `timeout`.
     */
    [[nodiscard]] virtual boost::asio::awaitable<core::result<std::optional<object>>> get(
        std::string name, object_version known) = 0;

    /**
     * @brief Writes an object if it has the expected version.
     * @param name Name of the object.
     * @param body New body, at most one megabyte.
     * @param expected Version that the object must have; 0 if it must not exist.
     * @return The new version, or an error: `conflict`, `payload_too_large`, `unavailable`, `timeout`.
     */
    [[nodiscard]] virtual boost::asio::awaitable<core::result<object_version>> put(
        std::string name, std::string body, object_version expected) = 0;

    /**
     * @brief Waits until an object's version differs from the known one.
     * @param name Name of the object.
     * @param known Version that the caller holds; 0 if none.
     * @param timeout Maximum time to wait.
     * @return The object, nothing after the timeout, or an error.
     */
    [[nodiscard]] virtual boost::asio::awaitable<core::result<std::optional<object>>> watch(
        std::string name, object_version known, std::chrono::milliseconds timeout) = 0;

    /**
     * @brief Lists the names and versions of all objects with a prefix; the bodies are empty.
     * @param prefix Prefix, such as `config/`.
     * @return The objects, sorted by name, or an error.
     */
    [[nodiscard]] virtual boost::asio::awaitable<core::result<std::vector<object>>> list(std::string prefix) = 0;
};

} // namespace lagoonsaddle::platform

#endif
