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

/*! @brief Formats of requests and responses between callers, this node and upstreams. */
class request_format {
public:
    request_format() = default;
    request_format(const request_format&) = delete;
    request_format& operator=(const request_format&) = delete;
    virtual ~request_format() = default;

    /**
     * @brief Reads what a caller's request says about itself.
     * @param message The request.
     * @return Its terms, or `invalid_argument` that names the field.
     */
    [[nodiscard]] virtual core::result<request_metadata> read_request(const http::request& message) const = 0;

    /**
     * @brief Makes the request that is sent to an upstream.
     * @param message The caller's request.
     * @param terms What the node adds.
     * @return The request.
     */
    [[nodiscard]] virtual http::request make_upstream_request(
        const http::request& message, const forwarding_metadata& terms) const = 0;

    /*! @brief Reads the head of an upstream's response. */
    [[nodiscard]] virtual response_metadata read_answer(unsigned status, const http::fields& headers) const = 0;

    /*! @brief Returns the fields of an upstream's response that the caller receives. */
    [[nodiscard]] virtual http::fields caller_fields(const http::fields& headers) const = 0;

    /*! @brief Makes a response of the node itself. A retry-after time is sent only with the verdict `not_run`. */
    [[nodiscard]] virtual http::response make_refusal(
        unsigned status, const core::error& failure, std::string_view request_id) const = 0;
};

/*! @brief Kinds of records in the platform's store that the node reads. */
enum class record_kind { configuration, upstreams, versions, leases };

/*! @brief Number of values of `record_kind`. */
inline constexpr std::size_t record_kind_count{4u};

/*! @brief Returns the name of a kind for logs and metrics. */
[[nodiscard]] std::string_view to_string(record_kind value) noexcept;

/*! @brief A record that exists, or one that was removed or cannot be read. */
struct record_change {
    std::string name{};
    std::uint64_t revision{};
    /*! @brief Empty when the record was removed or cannot be read. */
    std::variant<std::monostate, configuration, upstream_entry, version_record, lease_record> value{};
};

/*! @brief All records of a kind, or the changes since a revision. */
struct record_page {
    std::vector<record_change> records{};
    /*! @brief Revision to watch from. */
    std::uint64_t revision{};
};

/*! @brief A lease with the revision of its record. */
struct stored_lease {
    lease_record lease{};
    std::uint64_t revision{};
};

/*! @brief How old the data of a read may be. */
enum class freshness {
    exact,
    /*! @brief Some seconds old, at a tenth of the price and outside of the store's rate. */
    stale
};

/*! @brief The platform's store. Errors of writes carry a verdict. */
class record_store {
public:
    record_store() = default;
    record_store(const record_store&) = delete;
    record_store& operator=(const record_store&) = delete;
    virtual ~record_store() = default;

    /*! @brief Reads all records of a kind. */
    [[nodiscard]] virtual boost::asio::awaitable<core::result<record_page>> list(record_kind kind) = 0;

    /**
     * @brief Waits for changes.
     * @param kind Kind of the records.
     * @param revision Revision of the last page.
     * @param wait Longest time to wait.
     * @param age How old the data may be.
     * @return The changes, an empty page after `wait`, `conflict` when the history is gone, or another error.
     */
    [[nodiscard]] virtual boost::asio::awaitable<core::result<record_page>> watch(
        record_kind kind, std::uint64_t revision, std::chrono::milliseconds wait, freshness age) = 0;

    /*! @brief Reads a lease: `not_found` when it does not exist. */
    [[nodiscard]] virtual boost::asio::awaitable<core::result<stored_lease>> read_lease(std::string zone) = 0;

    /**
     * @brief Writes a lease on condition of its revision.
     * @param lease New value.
     * @param revision Revision that the record must have; 0 when it must not exist.
     * @return The stored lease, or `conflict`, or another error with a verdict.
     */
    [[nodiscard]] virtual boost::asio::awaitable<core::result<stored_lease>> write_lease(
        lease_record lease, std::uint64_t revision) = 0;
};

/*! @brief An order to an upstream. */
struct upstream_order {
    core::endpoint address{};
    std::string upstream{};
    bool load{true};
    std::string model{};
    /*! @brief Empty for the model itself. */
    std::string adapter{};
    /*! @brief Version to load; nothing for the newest one. */
    std::optional<std::uint64_t> version{};
    /*! @brief Orders that the upstream must have accepted so far, so that a late order is refused. */
    std::uint64_t expected_orders{};
    std::string holder{};
    std::uint64_t fencing_token{};
};

/*! @brief Answer to an order. */
enum class order_outcome {
    /*! @brief The upstream carries it out. */
    accepted,
    /*! @brief What was ordered already holds. */
    done,
    /*! @brief Another order is in progress, or the upstream has accepted another number of orders. */
    out_of_turn,
    stale_token,
    /*! @brief Another upstream has the address. */
    misdirected,
    invalid
};

/*! @brief Returns the name of an outcome for logs and metrics. */
[[nodiscard]] std::string_view to_string(order_outcome value) noexcept;

/*! @brief State that an upstream reports on request; some hundred milliseconds old. */
struct upstream_report {
    std::uint64_t orders_accepted{};
    bool busy{};
    unsigned running{};
    unsigned waiting{};
    std::map<std::string, resident_model> models{};
    /*! @brief Adapters on their way, as `model/name`. */
    std::vector<std::string> coming{};
};

/*! @brief Gives orders to upstreams and asks for their state. */
class upstream_control {
public:
    upstream_control() = default;
    upstream_control(const upstream_control&) = delete;
    upstream_control& operator=(const upstream_control&) = delete;
    virtual ~upstream_control() = default;

    /*! @brief Gives an order. Without an answer, the error is `may_have_run`: the order may take effect seconds later.
     */
    [[nodiscard]] virtual boost::asio::awaitable<core::result<order_outcome>> order(upstream_order value) = 0;

    /*! @brief Asks an upstream for its state. */
    [[nodiscard]] virtual boost::asio::awaitable<core::result<upstream_report>> report(core::endpoint address) = 0;
};

} // namespace lagoonsaddle::edge

#endif
