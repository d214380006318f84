#ifndef LAGOONSADDLE_PLATFORM_CONFIG_STORE_HPP
#define LAGOONSADDLE_PLATFORM_CONFIG_STORE_HPP

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <tl/expected.hpp>

#include <lagoonsaddle/core/error.hpp>
#include <lagoonsaddle/platform/object_store.hpp>

namespace lagoonsaddle::platform {

/*! @brief One accepted value of a configuration object. */
struct config_revision {
    object_version version{};
    /*! @brief Text of the value; not interpreted by the store. */
    std::string value{};
    std::string author{};
    /*! @brief Time of the change since the Unix epoch. */
    std::chrono::milliseconds changed_at{};
    /*! @brief Unique id of the change; determines the outcome of a write whose response was lost. */
    std::string change_id{};

    friend bool operator==(const config_revision&, const config_revision&) = default;
};

/*! @brief A configuration object: the current value and the last few earlier ones. */
struct config_document {
    std::string name{};
    config_revision current{};
    /*! @brief Earlier values, newest first. */
    std::vector<config_revision> history{};
};

/*! @brief A change of a configuration object. */
struct config_change {
    /*! @brief Name without prefix, such as `rules`. */
    std::string name{};
    std::string value{};
    /*! @brief Version that the object must have; 0 if it must not exist. */
    object_version expected{};
    std::string author{};
    /*! @brief Time of the change since the Unix epoch. */
    std::chrono::milliseconds changed_at{};
};

/*! @brief Failure of a change. */
struct save_failure {
    core::error error{};
    /*! @brief With `conflict`: the current document; empty if the object does not exist. */
    std::optional<config_document> current{};
};

/*! @brief Options of the configuration store. */
struct config_store_options {
    /*! @brief Number of earlier values kept in an object. */
    std::size_t history_entries{8u};
    /*! @brief Size limit of the encoded object; the oldest values are dropped to stay below it. */
    std::size_t object_limit_bytes{900'000u};
    /*! @brief Maximum number of writes per change, including those whose responses were lost. */
    unsigned write_attempts{3u};
};

/**
 * @brief Returns the name of the object that holds a configuration.
 * @param name Name such as `rules`.
 * @return Name such as `config/rules`.
 */
[[nodiscard]] std::string config_object_name(std::string_view name);

/**
 * @brief Decodes a configuration object read from the store or received from a peer.
 * @param source The object, with its `config/` name, body and version.
 * @return The document, or `protocol_error`.
 */
[[nodiscard]] core::result<config_document> decode_config(const object& source);

/*! @brief Reads and changes configuration objects. Thread-safe. */
class config_store {
public:
    /**
     * @brief Constructs a store.
     * @param objects Holds the objects; must outlive the store.
     * @param options Options.
     */
    explicit config_store(object_store& objects, config_store_options options = {});

    /**
     * @brief Reads a configuration.
     * @param name Name such as `rules`.
     * @param known Version that the caller holds; 0 if none.
     * @return The document, nothing if it is unchanged, or an error, such as `not_found`.
     */
    [[nodiscard]] boost::asio::awaitable<core::result<std::optional<config_document>>> load(
        std::string name, object_version known);

    /**
     * @brief Stores a new value. If a response is lost, the object is read back and searched for the change id.
     * @param change The change.
     * @return The new version, or `conflict` with the current document, or another error. The verdict `may_have_run`
     * means that the change may have taken effect or may still do so.
     */
    [[nodiscard]] boost::asio::awaitable<tl::expected<object_version, save_failure>> save(config_change change);

    /**
     * @brief Stores the value of an earlier version as a new version.
     * @param change The change; its value is replaced by the earlier one.
     * @param version Earlier version, which must still be in the object's history.
     * @return As for `save`, or `not_found` if that version is no longer in the object's history.
     */
    [[nodiscard]] boost::asio::awaitable<tl::expected<object_version, save_failure>> undo(
        config_change change, object_version version);

private:
    object_store& store;
    config_store_options settings;
};

} // namespace lagoonsaddle::platform

#endif
