#ifndef LAGOONSADDLE_STANDINS_LOAD_PLAN_HPP
#define LAGOONSADDLE_STANDINS_LOAD_PLAN_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <lagoonsaddle/core/model_name.hpp>
#include <lagoonsaddle/http/message.hpp>

namespace lagoonsaddle::standins {

/*! @brief Options of the generated calls. Shares are between 0 and 1. */
struct load_plan_options {
    std::size_t adapters{100u};
    /*! @brief Exponent of the Zipf popularity; 0 makes all adapters equally popular. */
    double zipf_exponent{1.};
    /*! @brief Base model in the `model` field; when empty, the field is `adapter@version`, the format of engines. */
    std::string base_model{"base"};
    double streamed_share{.5};
    double chat_share{.3};
    double service_share{.1};
    /*! @brief Share of the service calls that must not be repeated. */
    double non_idempotent_share{.5};
    std::vector<std::string> services{"scheduling"};
    std::size_t tokens_min{4u};
    std::size_t tokens_max{32u};
    std::size_t callers{20u};
    std::chrono::milliseconds deadline{10'000};
    /*! @brief Prefix of the request ids and idempotency keys. */
    std::string run_id{"load"};
    std::uint64_t seed{1u};
};

/*! @brief Kind of a call. */
enum class call_kind { completion, chat, service };

/*! @brief One call of the load, with the expected contents of its response. */
struct planned_call {
    call_kind kind{call_kind::completion};
    bool streamed{false};
    bool non_idempotent{false};
    core::adapter_version target{};
    /*! @brief Result of `short_digest` for the prompt; part of the text of each token. */
    std::string prompt_digest{};
    std::size_t tokens{};
    std::string request_id{};
    /*! @brief Idempotency key; empty for calls that may be repeated. */
    std::string key{};
    http::request message{};
};

/*! @brief Reproducible pseudo-random sequence of calls. Not thread-safe. */
class load_plan {
public:
    /**
     * @brief Constructs a plan.
     * @param values Options; equal options generate equal calls.
     */
    explicit load_plan(load_plan_options values);

    /*! @brief Returns the next call. */
    [[nodiscard]] planned_call next();

private:
    [[nodiscard]] bool with_probability(double share);
    [[nodiscard]] std::size_t random_below(std::size_t limit);
    void plan_service(planned_call& call);
    void plan_generation(planned_call& call);

    load_plan_options mix;
    std::mt19937_64 random;
    std::discrete_distribution<std::size_t> popularity{};
    std::uint64_t count{};
};

} // namespace lagoonsaddle::standins

#endif
