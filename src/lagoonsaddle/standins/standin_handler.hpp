#ifndef LAGOONSADDLE_STANDINS_STANDIN_HANDLER_HPP
#define LAGOONSADDLE_STANDINS_STANDIN_HANDLER_HPP

#include <atomic>
#include <cstddef>
#include <string>
#include <type_traits>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <nlohmann/json.hpp>

#include <lagoonsaddle/http/json.hpp>
#include <lagoonsaddle/http/server.hpp>
#include <lagoonsaddle/standins/fault_table.hpp>

namespace lagoonsaddle::standins {

/*! @brief Base class of the HTTP handlers of the stand-ins: serves `/faults` and `/counters` and applies the fault
 * `hang`. */
class standin_handler : public http::handler {
public:
    boost::asio::awaitable<void> handle(http::request message, http::response_writer& writer) final;

    /*! @brief Returns the number of requests that are blocked by the fault `hang`. */
    [[nodiscard]] std::size_t hung_requests() const noexcept;

protected:
    /**
     * @brief Constructs a handler.
     * @param defaults All faults with their initial values; `hang` is added.
     */
    explicit standin_handler(nlohmann::json defaults);

    /**
     * @brief Serves a request other than `/faults` and `/counters`.
     * @param message The request.
     * @param parts Path segments and query of its target.
     * @param hang_duration Time for which the fault `hang` delayed the request.
     * @param writer Takes the response.
     */
    virtual boost::asio::awaitable<void> serve(http::request& message, const http::target_parts& parts,
        core::duration hang_duration, http::response_writer& writer) = 0;

    /*! @brief Returns the counters since the start. */
    [[nodiscard]] virtual nlohmann::json counters() const = 0;

    /*! @brief Called after the response to a change of the faults was sent. */
    virtual void faults_changed();

    /**
     * @brief Sends a complete response; ignores a closed connection.
     * @param writer Takes the response.
     * @param message The response.
     */
    static boost::asio::awaitable<void> send_response(http::response_writer& writer, http::response message);

    fault_table faults;

private:
    boost::asio::awaitable<void> serve_faults(const http::request& message, http::response_writer& writer);

    std::atomic<std::size_t> hung_request_count{0u};
};

/**
 * @brief Reads an optional member of a JSON object.
 * @param body A JSON value.
 * @param key Name of the member.
 * @param fallback Value for a member that is missing or has another type.
 * @return The value.
 */
template<typename Type>
[[nodiscard]] Type member_or(const nlohmann::json& body, const char* key, Type fallback) {
    const auto found = body.is_object() ? body.find(key) : body.end();
    if(!body.is_object() || found == body.end()) {
        return fallback;
    }
    if constexpr(std::is_same_v<Type, std::string>) {
        return found->is_string() ? found->template get<Type>() : fallback;
    } else if constexpr(std::is_same_v<Type, bool>) {
        return found->is_boolean() ? found->template get<Type>() : fallback;
    } else {
        return found->is_number() ? found->template get<Type>() : fallback;
    }
}

} // namespace lagoonsaddle::standins

#endif
