#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>

#include <lagoonsaddle/operate/metrics_registry.hpp>

namespace lagoonsaddle::operate {

namespace {

namespace acc = boost::accumulators;

// The additional probabilities limit the error of combined distributions; 0.5, 0.95 and 0.99 are exported.
constexpr std::array estimated_probabilities{0.01, 0.05, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999};
constexpr std::array exported_probabilities{0.5, 0.95, 0.99};

// P-square uses 2n + 3 markers for n probabilities and needs as many samples before it can estimate.
constexpr std::size_t max_first_samples = 2u * estimated_probabilities.size() + 3u;

constexpr int bisection_steps = 60;

[[nodiscard]] std::string format_number(double value) {
    if(std::isnan(value)) {
        return "NaN";
    }
    std::array<char, 64u> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), value);
    return {text.data(), end.ptr};
}

void append_escaped(std::string& target, std::string_view value) {
    for(const char c : value) {
        if(c == '\\' || c == '"') {
            target.push_back('\\');
        }
        target.append(c == '\n' ? std::string_view{"\\n"} : std::string_view{&c, 1u});
    }
}

[[nodiscard]] std::string format_labels(const metric_labels& labels) {
    std::string text{};
    for(const auto& [name, value] : labels) {
        text.append(text.empty() ? "" : ",").append(name).append("=\"");
        append_escaped(text, value);
        text.push_back('"');
    }
    return text;
}

void append_sample(std::string& text, std::string_view name, std::string_view labels, std::string_view value) {
    text.append(name);
    if(!labels.empty()) {
        text.append("{").append(labels).append("}");
    }
    text.append(" ").append(value).append("\n");
}

void append_metric_header(std::string& text, std::string_view name, std::string_view help, std::string_view type) {
    text.append("# HELP ").append(name).append(" ").append(help).append("\n");
    text.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

} // namespace

namespace internal {

std::size_t metric_shard_index() noexcept {
    static std::atomic<std::size_t> threads{0u};
    thread_local const std::size_t index = threads.fetch_add(1u, std::memory_order_relaxed) % metric_shard_count;
    return index;
}

} // namespace internal

void counter::add(std::uint64_t amount) {
    auto& local_shard = this->shards[internal::metric_shard_index()];
    const std::lock_guard lock{local_shard.mutex};
    local_shard.accumulator(amount);
}

std::uint64_t counter::value() const {
    std::uint64_t total{};
    for(const auto& shard : this->shards) {
        const std::lock_guard lock{shard.mutex};
        total += acc::sum(shard.accumulator);
    }
    return total;
}

summary::window_samples::window_samples(std::int64_t index)
    : index{index}, accumulator{acc::extended_p_square_probabilities = estimated_probabilities} {}

summary::summary(const core::clock& clock, core::duration window) noexcept : clock{clock}, window{window} {}

void summary::record(double value) {
    if(std::isnan(value)) {
        return;
    }
    const auto index = this->window_index();
    auto& local_shard = this->shards[internal::metric_shard_index()];
    const std::lock_guard lock{local_shard.mutex};
    auto& samples = local_shard.windows[static_cast<std::size_t>(index & 1)];
    if(!samples || samples->index != index) {
        samples = std::make_unique<window_samples>(index);
    }
    samples->accumulator(value);
    if(samples->first_samples.size() < max_first_samples) {
        samples->first_samples.push_back(value);
    }
    local_shard.total(value);
}

double summary::quantile(double probability) const {
    const auto index = this->window_index();
    std::vector<distribution> parts{};
    for(const auto& shard : this->shards) {
        const std::lock_guard lock{shard.mutex};
        for(const auto& samples : shard.windows) {
            if(samples && (samples->index == index || samples->index + 1 == index)) {
                parts.push_back(estimate_distribution(*samples));
            }
        }
    }
    if(parts.empty()) {
        return std::numeric_limits<double>::quiet_NaN();
    }

    double total{};
    auto low = std::numeric_limits<double>::max();
    auto high = std::numeric_limits<double>::lowest();
    for(const auto& part : parts) {
        total += part.samples;
        low = std::min(low, part.points.front().first);
        high = std::max(high, part.points.back().first);
    }
    for(int step{}; step < bisection_steps && low < high; ++step) {
        const auto middle = low + (high - low) / 2.0;
        double below{};
        for(const auto& part : parts) {
            below += part.samples * part.cumulative_probability(middle);
        }
        (below >= probability * total ? high : low) = middle;
    }
    return high;
}

std::uint64_t summary::count() const {
    std::uint64_t total{};
    for(const auto& shard : this->shards) {
        const std::lock_guard lock{shard.mutex};
        total += acc::count(shard.total);
    }
    return total;
}

double summary::sum() const {
    double total{};
    for(const auto& shard : this->shards) {
        const std::lock_guard lock{shard.mutex};
        total += acc::sum(shard.total);
    }
    return total;
}

double summary::distribution::cumulative_probability(double value) const noexcept {
    const auto above = std::upper_bound(this->points.begin(), this->points.end(), value,
        [](double left, const auto& right) { return left < right.first; });
    if(above == this->points.begin()) {
        return 0.0;
    }
    const auto& left = *std::prev(above);
    if(above == this->points.end() || this->exact) {
        return left.second;
    }
    return left.second + (above->second - left.second) * (value - left.first) / (above->first - left.first);
}

std::int64_t summary::window_index() const noexcept {
    return this->clock.now().time_since_epoch() / this->window;
}

summary::distribution summary::estimate_distribution(const window_samples& samples) {
    distribution result{.samples = static_cast<double>(acc::count(samples.accumulator))};
    result.exact = acc::count(samples.accumulator) <= max_first_samples;
    if(result.exact) {
        auto sorted = samples.first_samples;
        std::sort(sorted.begin(), sorted.end());
        for(std::size_t index{}; index < sorted.size(); ++index) {
            result.points.emplace_back(sorted[index], static_cast<double>(index + 1u) / result.samples);
        }
        return result;
    }
    result.points.emplace_back(acc::min(samples.accumulator), 0.0);
    for(const auto probability : estimated_probabilities) {
        const auto estimate = acc::quantile(samples.accumulator, acc::quantile_probability = probability);
        // The estimates are not always monotonic.
        result.points.emplace_back(std::max(result.points.back().first, estimate), probability);
    }
    result.points.emplace_back(std::max(result.points.back().first, acc::max(samples.accumulator)), 1.0);
    return result;
}

metrics_registry::metrics_registry(const core::clock& clock, metrics_options options)
    : clock{clock}, options{options} {}

template<typename Metric, typename... Args>
Metric& metrics_registry::find_or_create(families_type<Metric>& families, std::string_view name, std::string_view help,
    const metric_labels& labels, const Args&... args) {
    auto key = format_labels(labels);
    const std::lock_guard lock{this->mutex};
    auto& metric_family = families[std::string{name}];
    if(metric_family.help.empty()) {
        metric_family.help = help;
    }
    auto found = metric_family.series.find(key);
    if(found == metric_family.series.end()) {
        // Label values may come from callers, so the number of series must be bounded.
        if(metric_family.series.size() >= this->options.max_series) {
            key = "overflow=\"true\"";
        }
        found = metric_family.series.emplace(std::move(key), nullptr).first;
        if(!found->second) {
            found->second = std::make_unique<Metric>(args...);
        }
    }
    return *found->second;
}

operate::counter& metrics_registry::counter(std::string_view name, std::string_view help, const metric_labels& labels) {
    return this->find_or_create(this->counters, name, help, labels);
}

operate::gauge& metrics_registry::gauge(std::string_view name, std::string_view help, const metric_labels& labels) {
    return this->find_or_create(this->gauges, name, help, labels);
}

operate::summary& metrics_registry::summary(std::string_view name, std::string_view help, const metric_labels& labels) {
    return this->find_or_create(this->summaries, name, help, labels, this->clock, core::duration{this->options.window});
}

std::string metrics_registry::to_prometheus_text() const {
    std::string text{};
    const std::lock_guard lock{this->mutex};
    for(const auto& [name, family] : this->counters) {
        append_metric_header(text, name, family.help, "counter");
        for(const auto& [labels, metric] : family.series) {
            append_sample(text, name, labels, std::to_string(metric->value()));
        }
    }
    for(const auto& [name, family] : this->gauges) {
        append_metric_header(text, name, family.help, "gauge");
        for(const auto& [labels, metric] : family.series) {
            append_sample(text, name, labels, format_number(metric->value()));
        }
    }
    for(const auto& [name, family] : this->summaries) {
        append_metric_header(text, name, family.help, "summary");
        for(const auto& [labels, metric] : family.series) {
            for(const auto probability : exported_probabilities) {
                auto with_quantile = labels + (labels.empty() ? "" : ",");
                with_quantile.append("quantile=\"").append(format_number(probability)).append("\"");
                append_sample(text, name, with_quantile, format_number(metric->quantile(probability)));
            }
            append_sample(text, name + "_sum", labels, format_number(metric->sum()));
            append_sample(text, name + "_count", labels, std::to_string(metric->count()));
        }
    }
    return text;
}

} // namespace lagoonsaddle::operate
