#ifndef LAGOONSADDLE_STANDINS_ENGINE_MODEL_HPP
#define LAGOONSADDLE_STANDINS_ENGINE_MODEL_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/core/error.hpp>
#include <lagoonsaddle/core/model_name.hpp>
#include <lagoonsaddle/standins/change_listener.hpp>

namespace lagoonsaddle::standins {

/*! @brief Options of an engine model. */
struct engine_model_options {
    std::string name{"engine"};
    std::string model{"base"};
    std::string role{"mixed"};
    std::size_t slots{4u};
    std::size_t batch_limit{8u};
    /*! @brief Maximum number of requests that wait for a place in the batch. */
    std::size_t queue_limit{256u};
    bool checks_fencing_token{true};
    /*! @brief Time for which an ended request can still be resumed. */
    core::duration retention{std::chrono::seconds{30}};
};

/*! @brief State of a request on the engine. */
enum class generation_state { waiting, running, finished, cancelled, aborted };

/*! @brief A completion request and its progress on the engine. */
struct generation_request {
    std::string id{};
    core::adapter_version target{};
    /*! @brief Result of `short_digest` for the prompt; part of the text of each token. */
    std::string prompt_digest{};
    /*! @brief Digest of the first part of the prompt, as it appears in cache events. */
    std::string prefix_digest{};
    std::size_t max_tokens{16u};
    unsigned priority{5u};
    bool chat{false};
    bool streamed{false};
    /*! @brief The engine crashes when it starts to run this request. */
    bool crashes_engine{false};

    generation_state state{generation_state::waiting};
    std::size_t produced_tokens{};
    bool stream_broken_once{false};
    core::time_point ended_at{};
    std::vector<std::weak_ptr<change_listener>> listeners{};
};

/*! @brief An order from the engine's owner. */
struct engine_order {
    std::string kind{};
    core::adapter_version target{};
    std::string model{};
    std::string role{};
    std::uint64_t fencing_token{};
};

/*! @brief A load in progress; the adapter becomes resident at `finish_load`. */
struct load_ticket {
    core::adapter_version target{};
    std::uint64_t boot_number{};
    bool already_resident{false};
};

/*! @brief Status report of an engine. */
struct engine_report {
    struct resident_adapter {
        core::adapter_version target{};
        std::size_t in_flight{};
    };

    std::string boot_id{};
    std::string model{};
    std::string role{};
    std::vector<resident_adapter> resident{};
    std::vector<core::adapter_version> loading{};
    std::size_t running{};
    std::size_t waiting{};
    double batch_fill{};
    std::uint64_t fencing_token{};
};

/*! @brief Counters of an engine since its start; a crash does not reset them. */
struct engine_counts {
    std::map<std::string, std::uint64_t> executions{};
    std::uint64_t evicted_in_use{};
    std::uint64_t steps{};
    /*! @brief Sum of the batch sizes of all steps. */
    std::uint64_t batched_requests{};
    std::uint64_t tokens{};
    std::uint64_t loads{};
    std::uint64_t load_failures{};
    std::uint64_t evictions{};
    std::uint64_t crashes{};
    std::uint64_t stale_orders{};
};

/**
 * @brief Model of the continuous batching, adapter slots and fencing of an engine. Not thread-safe.
 *
 * Each step produces one token for each running request. Free places in the batch are given to waiting requests by
 * priority, then by arrival.
 */
class engine_model {
public:
    /**
     * @brief Constructs an engine without resident adapters.
     * @param values Options.
     */
    explicit engine_model(engine_model_options values);

    /**
     * @brief Accepts a request.
     * @param request The request; `state` and `produced_tokens` are set by the model.
     * @return The request, or `adapter_not_resident` or `overloaded`, both `not_run`.
     */
    core::result<std::shared_ptr<generation_request>> submit(generation_request request);

    /**
     * @brief Runs one step.
     * @param now Time of the step.
     * @return Whether a request crashed the engine; the caller then calls `crash`.
     */
    [[nodiscard]] bool step(core::time_point now);

    /**
     * @brief Looks up a running or recently finished request.
     * @param id Identifier of the request.
     * @return The request or null.
     */
    [[nodiscard]] std::shared_ptr<generation_request> find(const std::string& id) const;

    /**
     * @brief Cancels a request.
     * @param id Identifier of the request.
     * @param now Current time.
     * @return Whether the request was waiting or running.
     */
    bool cancel(const std::string& id, core::time_point now);

    /**
     * @brief Rejects an order whose fencing token is older than the highest one seen, else records the token.
     * @param order The order.
     * @return Nothing, or `stale_fencing_token`.
     */
    core::result<void> check_fencing_token(const engine_order& order);

    /**
     * @brief Reserves a slot for an adapter.
     * @param target The adapter.
     * @return A ticket, `conflict` when no slot is free, or `in_progress` when the adapter is being loaded.
     */
    core::result<load_ticket> begin_load(const core::adapter_version& target);

    /**
     * @brief Ends a load.
     * @param ticket Ticket that `begin_load` returned.
     * @param succeeded Whether the weights were delivered.
     * @return Nothing, or `adapter_load_failed`, also when the engine has restarted meanwhile.
     */
    core::result<void> finish_load(const load_ticket& ticket, bool succeeded);

    /**
     * @brief Frees the slot of an adapter and aborts the requests that use it.
     * @param target The adapter.
     * @param now Current time.
     * @return Whether the adapter was resident.
     */
    bool evict(const core::adapter_version& target, core::time_point now);

    /**
     * @brief Replaces the base model, which evicts all adapters.
     * @param model Name of the base model.
     * @param now Current time.
     */
    void load_model(std::string model, core::time_point now);

    void set_role(std::string role);

    /**
     * @brief Aborts all requests, drops all adapters and changes the boot id.
     * @param now Current time.
     */
    void crash(core::time_point now);

    /**
     * @brief Reports the current state.
     * @param now Current time.
     * @return The report.
     */
    [[nodiscard]] engine_report report(core::time_point now) const;

    [[nodiscard]] const engine_counts& counts() const noexcept;

    [[nodiscard]] const engine_model_options& options() const noexcept;

    [[nodiscard]] std::string boot_id() const;

    [[nodiscard]] bool idle() const noexcept;

private:
    struct batch_sample {
        core::time_point time{};
        std::size_t running{};
    };

    using request_ptr = std::shared_ptr<generation_request>;

    void end_request(generation_request& request, generation_state state, core::time_point now);
    void abort_requests(const core::adapter_version* target, core::time_point now);
    void remove_expired_requests(core::time_point now);

    engine_model_options settings;
    std::uint64_t boot_number{1u};
    std::uint64_t highest_fencing_token{};
    std::map<core::adapter_version, std::size_t> resident{};
    std::vector<core::adapter_version> loading{};
    std::vector<request_ptr> running{};
    /*! @brief Waiting requests by priority, most urgent first, each in order of arrival. */
    std::map<unsigned, std::deque<request_ptr>, std::greater<>> waiting{};
    std::size_t waiting_count{};
    std::unordered_map<std::string, request_ptr> requests{};
    std::deque<request_ptr> ended_requests{};
    std::deque<batch_sample> batch_samples{};
    std::size_t batch_sample_sum{};
    engine_counts totals{};
};

/**
 * @brief Returns the text of a token, which names its adapter, prompt and position.
 * @param request The request.
 * @param index Position of the token.
 * @return `adapter@version/DIGEST/index ` with a space at the end.
 */
[[nodiscard]] std::string token_text(const generation_request& request, std::size_t index);

/**
 * @brief Returns a short digest of a prompt, used in the text of each token.
 * @param prompt The prompt.
 * @return 8 hexadecimal digits.
 */
[[nodiscard]] std::string short_digest(std::string_view prompt);

} // namespace lagoonsaddle::standins

#endif
