#ifndef LAGOONSADDLE_EDGE_PROTOCOL_HPP
#define LAGOONSADDLE_EDGE_PROTOCOL_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include <lagoonsaddle/core/error.hpp>
#include <lagoonsaddle/edge/types.hpp>
#include <lagoonsaddle/http/message.hpp>

namespace lagoonsaddle::edge {

/*! @brief Converts requests and responses between callers, this node and upstreams. */
class request_format {
public:
    request_format() = default;
    request_format(const request_format&) = delete;
    request_format& operator=(const request_format&) = delete;
    virtual ~request_format() = default;

    /**
     * @brief Parses the metadata of a caller's request.
     * @param message The request.
     * @return Its metadata, or `invalid_argument` with the name of the field.
     */
    [[nodiscard]] virtual core::result<request_metadata> parse_request(const http::request& message) const = 0;

    /**
     * @brief Builds the request that is sent to an upstream.
     * @param message The caller's request.
     * @param metadata Metadata that the node adds.
     * @return The request.
     */
    [[nodiscard]] virtual http::request make_upstream_request(
        const http::request& message, const forwarding_metadata& metadata) const = 0;

    /*! @brief Parses the status and the header fields of an upstream's response. */
    [[nodiscard]] virtual response_metadata parse_response_head(unsigned status, const http::fields& headers) const = 0;

    /*! @brief Returns the header fields of an upstream's response that are passed on to the caller. */
    [[nodiscard]] virtual http::fields caller_headers(const http::fields& headers) const = 0;

    /*! @brief Builds an error response of the node. `retry_after` is sent only with the verdict `not_run`. */
    [[nodiscard]] virtual http::response make_refusal(
        unsigned status, const core::error& failure, std::string_view request_id) const = 0;
};

/*! @brief Kinds of records that the node reads from the platform's store. */
enum class record_kind { configuration, upstreams, versions, leases, streams };

/*! @brief Number of values of `record_kind`. */
inline constexpr std::size_t record_kind_count{5u};

/*! @brief Returns the name of a kind for logs and metrics. */
[[nodiscard]] std::string_view to_string(record_kind value) noexcept;

/*! @brief A record that was added, changed or removed. */
struct record_change {
    std::string name{};
    std::uint64_t revision{};
    /*! @brief Empty when the record was removed or cannot be decoded. */
    std::variant<std::monostate, configuration, upstream_entry, version_record, lease_record, stream_record> value{};
};

/*! @brief All records of a kind, or the changes since a revision. */
struct record_page {
    std::vector<record_change> records{};
    /*! @brief Revision from which to watch for further changes. */
    std::uint64_t revision{};
    /*! @brief Epoch of the store in which the revision was issued. */
    std::uint64_t epoch{};
    /*! @brief Set when a list could not be read to its end: name of the record after which records may be missing,
     * empty for the beginning. */
    std::optional<std::string> truncated_after{};

    /*! @brief Returns whether a record that is not on the page does not exist, or has not changed. */
    [[nodiscard]] bool is_complete() const noexcept {
        return !this->truncated_after.has_value();
    }
};

/*! @brief A lease with the revision of its record. */
struct stored_lease {
    lease_record lease{};
    std::uint64_t revision{};
    /*! @brief Epoch of the store in which the revision was issued. */
    std::uint64_t epoch{};
};

/*! @brief How old the data returned by a read may be. */
enum class freshness {
    /*! @brief The current data. */
    exact,
    /*! @brief Up to a few seconds old; costs a tenth of an exact read and does not count towards the rate limit. */
    stale
};

/**
 * @brief Client interface of the platform's store. Errors of writes carry a verdict.
 *
 * The store can be restored from a copy that lacks its latest writes. It then issues revisions again that it had
 * already issued, so that revisions are comparable only within one epoch; the epoch rises with each restore.
 */
class record_store {
public:
    record_store() = default;
    record_store(const record_store&) = delete;
    record_store& operator=(const record_store&) = delete;
    virtual ~record_store() = default;

    /*! @brief Reads all records of a kind, or those of the pages that can be read: see `record_page::truncated_after`.
     */
    [[nodiscard]] virtual boost::asio::awaitable<core::result<record_page>> list(record_kind kind) = 0;

    /**
     * @brief Waits for changes.
     * @param kind Kind of the records.
     * @param revision Revision of the last page.
     * @param timeout Maximum time to wait.
     * @param required How old the data may be.
     * @return The changes, an empty page after `timeout`, `conflict` when the store no longer has the history since
     * `revision`, or another error.
     */
    [[nodiscard]] virtual boost::asio::awaitable<core::result<record_page>> watch(
        record_kind kind, std::uint64_t revision, std::chrono::milliseconds timeout, freshness required) = 0;

    /*! @brief Reads the lease of an availability zone; returns `not_found` when it does not exist. */
    [[nodiscard]] virtual boost::asio::awaitable<core::result<stored_lease>> read_lease(std::string zone) = 0;

    /**
     * @brief Writes a lease if its record still has the given revision.
     * @param lease New value.
     * @param revision Expected revision; 0 when the record must not exist.
     * @return The stored lease, or `conflict`, or another error with a verdict.
     */
    [[nodiscard]] virtual boost::asio::awaitable<core::result<stored_lease>> write_lease(
        lease_record lease, std::uint64_t revision) = 0;

    /**
     * @brief Writes the record of a node's streams if it still has the given revision.
     * @param record New value.
     * @param revision Expected revision; 0 when the record must not exist.
     * @return The new revision, or `conflict`, or another error with a verdict.
     */
    [[nodiscard]] virtual boost::asio::awaitable<core::result<std::uint64_t>> write_streams(
        stream_record record, std::uint64_t revision) = 0;

    /*! @brief Returns the highest epoch of the store in any answer so far, also in errors; 0 when none was stated. */
    [[nodiscard]] virtual std::uint64_t epoch() const noexcept = 0;
};

/*! @brief An order to an upstream to load or unload a base model or an adapter. */
struct upstream_order {
    core::endpoint address{};
    std::string upstream{};
    /*! @brief False to unload. */
    bool load{true};
    std::string model{};
    /*! @brief Empty for the base model itself. */
    std::string adapter{};
    /*! @brief Version to load; the newest one when not set. */
    std::optional<std::uint64_t> version{};
    /*! @brief Number of orders that the upstream must have accepted so far, so that it refuses a delayed order. */
    std::uint64_t expected_orders{};
    /*! @brief Node that holds the lease of the upstream's availability zone. */
    std::string holder{};
    std::uint64_t fencing_token{};
};

/*! @brief Response of an upstream to an order. */
enum class order_outcome {
    /*! @brief The upstream executes the order. */
    accepted,
    /*! @brief The ordered state is already reached. */
    done,
    /*! @brief Another order is in progress, or the number of accepted orders is not the expected one. */
    out_of_turn,
    /*! @brief A holder with a higher fencing token has given an order. */
    stale_token,
    /*! @brief The address belongs to another upstream. */
    misdirected,
    invalid
};

/*! @brief Returns the name of an outcome for logs and metrics. */
[[nodiscard]] std::string_view to_string(order_outcome value) noexcept;

/*! @brief State that an upstream reports on request; it may be some hundred milliseconds old. */
struct upstream_report {
    std::uint64_t orders_accepted{};
    bool busy{};
    /*! @brief Requests in progress. */
    unsigned running{};
    /*! @brief Queued requests. */
    unsigned waiting{};
    std::map<std::string, resident_model> models{};
    /*! @brief Adapters that are being loaded, as `model/name`. */
    std::vector<std::string> loading{};
};

/*! @brief Sends orders to upstreams and fetches their state. */
class upstream_control {
public:
    upstream_control() = default;
    upstream_control(const upstream_control&) = delete;
    upstream_control& operator=(const upstream_control&) = delete;
    virtual ~upstream_control() = default;

    /**
     * @brief Sends an order.
     * @param value The order.
     * @return The upstream's response. Without one, the error has the verdict `may_have_run`: the order may still take
     * effect seconds later.
     */
    [[nodiscard]] virtual boost::asio::awaitable<core::result<order_outcome>> send_order(upstream_order value) = 0;

    /*! @brief Fetches the state of an upstream. */
    [[nodiscard]] virtual boost::asio::awaitable<core::result<upstream_report>> fetch_report(
        core::endpoint address) = 0;
};

} // namespace lagoonsaddle::edge

#endif
