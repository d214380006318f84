#ifndef LAGOONSADDLE_GATEWAY_UPSTREAM_DIRECTORY_HPP
#define LAGOONSADDLE_GATEWAY_UPSTREAM_DIRECTORY_HPP

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <lagoonsaddle/upstream/description.hpp>

namespace lagoonsaddle::gateway {

/*! @brief Zone whose ownership object holds the upstreams without an availability zone, such as the weight store. */
inline constexpr std::string_view global_zone{"global"};

/*! @brief Upstreams from the settings and the VM list. Settings take precedence for equal names. Thread-safe. */
class upstream_directory {
public:
    using description_map = std::map<std::string, upstream::description, std::less<>>;
    using change_callback = std::function<void()>;

    /**
     * @brief Makes a directory.
     * @param configured Upstreams from the settings; always present.
     */
    explicit upstream_directory(std::vector<upstream::description> configured);

    /**
     * @brief Replaces the upstreams from the VM list. Calls the callbacks if the directory changed.
     * @param listed Upstreams in the VM list.
     */
    void replace_vm_list_upstreams(std::vector<upstream::description> listed);

    /**
     * @brief Registers a callback for changes.
     * @param callback Called after each change, on the thread that called `replace_vm_list_upstreams`.
     */
    void on_change(change_callback callback);

    /*! @brief Returns an immutable snapshot of all upstreams by name. */
    [[nodiscard]] std::shared_ptr<const description_map> all() const;

    /**
     * @brief Finds an upstream.
     * @param name Its name.
     * @return The description, or nothing.
     */
    [[nodiscard]] std::optional<upstream::description> find(std::string_view name) const;

private:
    std::vector<upstream::description> configured;
    mutable std::mutex mutex{};
    std::shared_ptr<const description_map> current{};
    std::vector<change_callback> callbacks{};
};

} // namespace lagoonsaddle::gateway

#endif
