#ifndef LAGOONSADDLE_STANDINS_OBJECT_STORE_HPP
#define LAGOONSADDLE_STANDINS_OBJECT_STORE_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/standins/change_listener.hpp>
#include <lagoonsaddle/standins/object_table.hpp>
#include <lagoonsaddle/standins/standin_handler.hpp>

namespace lagoonsaddle::standins {

/*! @brief Stand-in of the platform's object API, described in docs/standins.md. */
class object_store final : public standin_handler {
public:
    /**
     * @brief Constructs an empty store.
     * @param source Clock for watch timeouts; must outlive the store.
     */
    explicit object_store(const core::clock& source);

private:
    struct counts {
        std::uint64_t reads{};
        std::uint64_t writes{};
        std::uint64_t watches{};
        std::uint64_t conflicts{};
        std::uint64_t unchanged{};
    };

    boost::asio::awaitable<void> serve(http::request& message, const http::target_parts& parts,
        core::duration hang_duration, http::response_writer& writer) override;

    [[nodiscard]] nlohmann::json counters() const override;

    void faults_changed() override;

    [[nodiscard]] http::response get(const std::string& name, const http::fields& headers);
    [[nodiscard]] http::response put(const std::string& name, http::request& message);
    [[nodiscard]] http::response list(std::string_view prefix);
    boost::asio::awaitable<void> watch(
        std::string name, const http::target_parts& parts, http::response_writer& writer);

    void add_watcher(const std::string& name, const std::shared_ptr<change_listener>& watcher);

    const core::clock& clock;
    mutable std::mutex mutex{};
    object_table objects{};
    std::map<std::string, std::vector<std::weak_ptr<change_listener>>, std::less<>> watchers{};
    counts totals{};
};

} // namespace lagoonsaddle::standins

#endif
