#ifndef LAGOONSADDLE_STANDINS_ENGINE_HPP
#define LAGOONSADDLE_STANDINS_ENGINE_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/core/endpoint.hpp>
#include <lagoonsaddle/http/client.hpp>
#include <lagoonsaddle/standins/cache_model.hpp>
#include <lagoonsaddle/standins/engine_model.hpp>
#include <lagoonsaddle/standins/history.hpp>
#include <lagoonsaddle/standins/standin_handler.hpp>

namespace lagoonsaddle::standins {

/*! @brief Options of the engine stand-in. */
struct engine_standin_options {
    engine_model_options engine{};
    std::chrono::milliseconds step_interval{20};
    std::chrono::milliseconds report_lag{200};
    std::chrono::milliseconds restart_duration{1'000};
    /*! @brief Weight store that loads fetch from; without one, a load takes `load_duration`. */
    std::optional<core::endpoint> weight_store{};
    std::chrono::milliseconds load_duration{300};
    std::size_t cache_limit{1'000u};
    /*! @brief Seed of the random faults. */
    std::uint64_t seed{1u};
};

/*! @brief Stand-in of a model engine, described in docs/standins.md. */
class engine final : public standin_handler {
public:
    /**
     * @brief Constructs an engine; `start` begins its steps.
     * @param context Runs the steps; must outlive the requests of the engine.
     * @param source Clock; must outlive the engine.
     * @param values Options.
     */
    engine(boost::asio::io_context& context, const core::clock& source, engine_standin_options values);

    /**
     * @brief Starts to run steps.
     * @param crashed Called when the engine crashes, with the time for which the server must refuse connections.
     */
    void start(std::function<void(core::duration)> crashed);

private:
    boost::asio::awaitable<void> serve(http::request& message, const http::target_parts& parts,
        core::duration hang_duration, http::response_writer& writer) override;

    [[nodiscard]] nlohmann::json counters() const override;

    void faults_changed() override;

    boost::asio::awaitable<void> run_steps();
    void crash();
    /*! @brief Returns whether the engine has crashed and not started again. */
    [[nodiscard]] bool is_down() const;

    boost::asio::awaitable<void> handle_completion(
        const http::request& message, bool chat, http::response_writer& writer);
    boost::asio::awaitable<void> stream_tokens(
        std::shared_ptr<generation_request> request, std::size_t offset, http::response_writer& writer);
    boost::asio::awaitable<void> send_completion(
        std::shared_ptr<generation_request> request, http::response_writer& writer);
    boost::asio::awaitable<void> execute_order(
        const http::request& message, core::duration hang_duration, http::response_writer& writer);
    boost::asio::awaitable<core::result<void>> load(core::adapter_version target);
    boost::asio::awaitable<bool> fetch_weights(core::adapter_version target);

    [[nodiscard]] core::result<generation_request> parse_generation_request(const http::request& message, bool chat);
    [[nodiscard]] http::fields stream_headers(const generation_request& request);
    [[nodiscard]] http::response status();
    [[nodiscard]] http::response cache_events(std::uint64_t after);
    [[nodiscard]] http::response transfer_kv_cache(const http::request& message, bool exports);
    [[nodiscard]] bool with_probability(double rate);

    boost::asio::io_context& context;
    const core::clock& clock;
    engine_standin_options settings;
    http::client http_client{http::client_options{}};
    std::function<void(core::duration)> on_crash{};

    mutable std::mutex mutex{};
    engine_model model;
    cache_model cache;
    history<engine_report> reports;
    core::time_point last_report{};
    /*! @brief End of the time that the last restart takes. */
    core::time_point down_until{core::time_point::min()};
    std::mt19937_64 random;
    std::uint64_t next_request_number{};
};

} // namespace lagoonsaddle::standins

#endif
