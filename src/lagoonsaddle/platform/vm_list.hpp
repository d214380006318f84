#ifndef LAGOONSADDLE_PLATFORM_VM_LIST_HPP
#define LAGOONSADDLE_PLATFORM_VM_LIST_HPP

#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include <lagoonsaddle/core/endpoint.hpp>
#include <lagoonsaddle/core/error.hpp>

namespace lagoonsaddle::platform {

/*! @brief State of a VM in the platform's list, which lags behind the actual state. */
enum class vm_state { live, leaving };

/*! @brief Role of a VM. */
enum class vm_kind { entry, engine, service };

/*! @brief One row of the VM list. */
struct vm {
    std::string name{};
    core::endpoint endpoint{};
    std::string availability_zone{};
    vm_state state{vm_state::live};
    vm_kind kind{vm_kind::entry};
    /*! @brief Labels of upstreams: `service`, `base_model`, `checks_fencing_token`. */
    std::map<std::string, std::string> labels{};

    friend bool operator==(const vm&, const vm&) = default;
};

/*! @brief The VM list as it was `age` ago. */
struct vm_snapshot {
    std::vector<vm> vms{};
    std::chrono::milliseconds age{};
    /*! @brief Number of rows skipped because a field is missing or invalid. */
    std::size_t invalid_rows{};
};

/*! @brief The platform's list of VMs. Thread-safe. */
class vm_list {
public:
    vm_list() = default;
    vm_list(const vm_list&) = delete;
    vm_list& operator=(const vm_list&) = delete;
    virtual ~vm_list() = default;

    /**
     * @brief Reads the list.
     * @return The list, or an error: `unavailable`, `timeout`, `protocol_error`.
     */
    [[nodiscard]] virtual boost::asio::awaitable<core::result<vm_snapshot>> read() = 0;
};

} // namespace lagoonsaddle::platform

#endif
