#ifndef LAGOONSADDLE_STANDINS_WEIGHT_STORE_HPP
#define LAGOONSADDLE_STANDINS_WEIGHT_STORE_HPP

#include <mutex>
#include <utility>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/standins/standin_handler.hpp>
#include <lagoonsaddle/standins/weight_store_model.hpp>

namespace lagoonsaddle::standins {

/*! @brief Stand-in of the weight store, described in docs/standins.md. */
class weight_store final : public standin_handler {
public:
    /**
     * @brief Constructs a store without active loads.
     * @param source Clock; must outlive the store.
     * @param values Options.
     */
    weight_store(const core::clock& source, weight_store_options values);

private:
    boost::asio::awaitable<void> serve(http::request& message, const http::target_parts& parts,
        core::duration hang_duration, http::response_writer& writer) override;

    [[nodiscard]] nlohmann::json counters() const override;

    boost::asio::awaitable<core::result<void>> load(std::string name);

    const core::clock& clock;
    mutable std::mutex mutex{};
    weight_store_model model;
};

} // namespace lagoonsaddle::standins

#endif
