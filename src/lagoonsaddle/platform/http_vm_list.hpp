#ifndef LAGOONSADDLE_PLATFORM_HTTP_VM_LIST_HPP
#define LAGOONSADDLE_PLATFORM_HTTP_VM_LIST_HPP

#include <chrono>
#include <string_view>
#include <utility>

#include <boost/asio/awaitable.hpp>

#include <lagoonsaddle/core/endpoint.hpp>
#include <lagoonsaddle/http/client.hpp>
#include <lagoonsaddle/platform/vm_list.hpp>

namespace lagoonsaddle::platform {

/*! @brief Options of the VM list client. */
struct http_vm_list_options {
    /*! @brief Address of the VM list. */
    core::endpoint server{};
    std::chrono::milliseconds call_timeout{1'000};
};

/**
 * @brief Parses the body of the VM list. Invalid rows are skipped and counted.
 * @param body JSON text.
 * @return The list, or `protocol_error` if the text is not a VM list.
 */
[[nodiscard]] core::result<vm_snapshot> parse_vm_list(std::string_view body);

/*! @brief Client of the VM list. Thread-safe. */
class http_vm_list final : public vm_list {
public:
    /**
     * @brief Constructs a client.
     * @param client Sends the requests; must outlive this object.
     * @param options Options.
     */
    http_vm_list(http::client& client, http_vm_list_options options);

    [[nodiscard]] boost::asio::awaitable<core::result<vm_snapshot>> read() override;

private:
    http::client& http_client;
    http_vm_list_options settings;
};

} // namespace lagoonsaddle::platform

#endif
