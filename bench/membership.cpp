// Cost of the membership of one node by the number of members, and detection times of small simulated fleets.

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <malloc.h>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include <lagoonsaddle/fleet/membership.hpp>
#include <lagoonsaddle/fleet/membership_codec.hpp>

namespace {

using namespace std::chrono_literals;
using namespace lagoonsaddle;
using fleet::datagram;
using fleet::internal::message;
using fleet::internal::message_kind;

constexpr std::array<std::size_t, 5u> sizes{9u, 100u, 300u, 950u, 2000u};
constexpr auto protocol_time = 600s;
constexpr auto tick_interval = 50ms;
constexpr int repetitions = 3;
// Ordinary day of the design size: restarted, replaced and failed VMs per 950 nodes, and configuration changes.
constexpr double member_events_per_day = 2596.0;
constexpr double design_members = 950.0;
constexpr double config_changes_per_day = 4100.0;
constexpr double seconds_per_day = 86400.0;
constexpr double poisson_99th_percentile = 4.605;

[[nodiscard]] double cpu_seconds() {
    timespec value{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
    return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_nsec) * 1e-9;
}

[[nodiscard]] fleet::member_info info_of(std::size_t index, std::uint64_t boot_id) {
    const auto address = "10.20." + std::to_string(index / 250u) + "." + std::to_string(index % 250u);
    return {"entry-node-" + std::to_string(index), "zone-" + std::to_string(index % 7u), {address, 7946u},
        {address, 7947u}, boot_id};
}

struct cost {
    double bytes_per_second{};
    double cpu_share{};
    double memory{};
    std::size_t live{};
    fleet::membership_counters counters{};
};

/*! @brief One instance that receives what it would receive as one of `count` members. */
class loaded_instance {
public:
    loaded_instance(std::size_t count, std::uint64_t seed) : random{seed} {
        // The table of the members comes first, so that the memory in use grows by the instance alone.
        for(std::size_t index{}; index < count; ++index) {
            this->members.push_back({info_of(index, 1'700'000'000u), fleet::member_state::alive, 1u});
        }
        const auto before = mallinfo2().uordblks;
        this->node.emplace(fleet::membership_settings{}, this->members[0].info,
            std::vector<core::endpoint>{this->members[1].info.udp}, seed);
        this->fill(*this->node, 1u);
        (void)this->node->take_changes();
        this->memory = static_cast<double>(mallinfo2().uordblks - before);
        // Plays the rest of the fleet in exchanges. It stands for all other members, so it neither probes nor is it
        // bound to the budget of one node.
        fleet::membership_settings unbounded{};
        unbounded.probe_interval = 24h;
        unbounded.reconnect_interval = 24h;
        unbounded.byte_rate = 1'000'000'000u;
        unbounded.byte_burst = 1'000'000'000u;
        this->rest.emplace(
            unbounded, this->members[1].info, std::vector<core::endpoint>{this->members[0].info.udp}, seed + 1u);
        this->fill(*this->rest, 0u);
    }

    [[nodiscard]] cost run() {
        this->advance(60s); // Until the updates of the fill have been sent often enough.
        const auto before = this->node->counters().bytes_sent;
        this->used = 0.0;
        this->advance(protocol_time);
        const auto seconds = std::chrono::duration<double>(protocol_time).count();
        return {static_cast<double>(this->node->counters().bytes_sent - before) / seconds, this->used / seconds,
            this->memory, this->node->live_members().size(), this->node->counters()};
    }

private:
    void fill(fleet::membership& target, std::size_t sender) {
        message page{};
        page.kind = message_kind::page;
        page.sender = {this->members[sender], true};
        for(const auto& value : this->members) {
            (void)target.receive(
                this->now, value.info.udp, fleet::internal::encode(page, {fleet::internal::encode(value, true)}, {}));
        }
    }

    void advance(core::duration length) {
        const auto settings = fleet::membership_settings{};
        const auto steps_per_probe =
            static_cast<double>(tick_interval / 1ms) / static_cast<double>(settings.probe_interval / 1ms);
        const auto steps_per_sync =
            static_cast<double>(tick_interval / 1ms) / static_cast<double>(settings.sync_interval / 1ms);
        const auto step_seconds = std::chrono::duration<double>(tick_interval).count();
        for(const auto end = this->now + length; this->now < end;) {
            this->now += tick_interval;
            this->churn(step_seconds);
            if(this->chance(steps_per_probe)) {
                this->deliver_ping();
            }
            if(this->chance(steps_per_sync)) {
                this->deliver_sync();
            }
            this->handle(this->measured([this] { return this->node->tick(this->now); }));
            (void)this->rest->tick(this->now);
            (void)this->node->take_items();
            (void)this->node->take_changes();
        }
    }

    [[nodiscard]] bool chance(double probability) {
        return std::uniform_real_distribution<>{}(this->random) < probability;
    }

    [[nodiscard]] std::size_t any_peer() {
        return 1u + this->random() % (this->members.size() - 1u);
    }

    template<typename Call>
    std::vector<datagram> measured(Call call) {
        const auto start = cpu_seconds();
        auto out = call();
        this->used += cpu_seconds() - start;
        return out;
    }

    void churn(double seconds) {
        const auto scale = static_cast<double>(this->members.size()) / design_members;
        if(this->chance(member_events_per_day * scale / seconds_per_day * seconds) && this->members.size() > 2u) {
            auto& value = this->members[2u + this->random() % (this->members.size() - 2u)];
            ++value.info.boot_id;
            ++value.incarnation;
            this->tell_rest({fleet::internal::encode(value, true)}, {});
            this->news.emplace_back(false, fleet::internal::encode(value, true));
        }
        if(this->chance(config_changes_per_day / seconds_per_day * seconds)) {
            const fleet::gossip_item value{"config", "rules", ++this->version, {}, {}};
            this->tell_rest({}, {fleet::internal::encode(value)});
            this->news.emplace_back(true, fleet::internal::encode(value));
        }
        // An update arrives about as often as each node sends it.
        if(this->news.size() > 16u) {
            this->news.erase(this->news.begin());
        }
    }

    void tell_rest(const std::vector<std::string>& records, const std::vector<std::string>& items) {
        message page{};
        page.kind = message_kind::page;
        page.sender = {this->members[0], true};
        (void)this->rest->receive(this->now, this->members[0].info.udp, fleet::internal::encode(page, records, items));
    }

    void deliver(message head, std::size_t from) {
        std::vector<std::string> records{};
        std::vector<std::string> items{};
        // The youngest two updates are still on their way through the fleet.
        for(auto update = this->news.rbegin(); update != this->news.rend() && update - this->news.rbegin() < 2;
            ++update) {
            (update->first ? items : records).push_back(update->second);
        }
        head.sender = {this->members[from], head.kind == message_kind::ping};
        const auto bytes = fleet::internal::encode(head, records, items);
        this->handle(
            this->measured([&] { return this->node->receive(this->now, this->members[from].info.udp, bytes); }));
    }

    void deliver_ping() {
        message head{};
        head.kind = message_kind::ping;
        head.sequence = ++this->sequence;
        head.target = this->members[0].info.name;
        this->deliver(std::move(head), this->any_peer());
    }

    void deliver_sync() {
        // The digest of the rest of the fleet is what its answer to an empty exchange carries.
        message request{};
        request.kind = message_kind::sync;
        request.sequence = ++this->sequence;
        request.sender = {this->members[0], true};
        request.digest.assign(64u, 0u);
        for(const auto& answer :
            this->rest->receive(this->now, this->members[0].info.udp, fleet::internal::encode(request, {}, {}))) {
            auto decoded = fleet::internal::decode(answer.bytes);
            if(decoded && decoded->kind == message_kind::sync_reply) {
                decoded->kind = message_kind::sync;
                const auto bytes = fleet::internal::encode(*decoded, {}, {});
                this->handle(
                    this->measured([&] { return this->node->receive(this->now, this->members[1].info.udp, bytes); }));
            }
        }
    }

    /*! @brief Answers what the instance has sent, as the rest of the fleet would. */
    void handle(const std::vector<datagram>& out) {
        for(const auto& value : out) {
            const auto decoded = fleet::internal::decode(value.bytes);
            if(!decoded) {
                continue;
            }
            if(decoded->kind == message_kind::ping) {
                message head{};
                head.kind = message_kind::ack;
                head.sequence = decoded->sequence;
                const auto found = std::find_if(this->members.begin(), this->members.end(),
                    [&value](const auto& member) { return member.info.udp == value.to; });
                this->deliver(std::move(head), static_cast<std::size_t>(found - this->members.begin()));
            } else if(decoded->kind == message_kind::sync) {
                for(const auto& answer : this->rest->receive(this->now, this->members[0].info.udp, value.bytes)) {
                    this->handle(this->measured(
                        [&] { return this->node->receive(this->now, this->members[1].info.udp, answer.bytes); }));
                }
            }
        }
    }

    std::mt19937_64 random;
    core::time_point now{1h};
    std::vector<fleet::member> members{};
    std::optional<fleet::membership> node{};
    std::optional<fleet::membership> rest{};
    std::vector<std::pair<bool, std::string>> news{};
    std::uint64_t version{};
    std::uint64_t sequence{std::uint64_t{1u} << 40u};
    double memory{};
    double used{};
};

/*! @brief Fits y = intercept + slope * x and prints it with the largest residual. */
void print_fit(const char* name, std::span<const double> x, std::span<const double> y, const char* unit) {
    const auto count = static_cast<double>(x.size());
    double sum_x{};
    double sum_y{};
    double sum_xx{};
    double sum_xy{};
    for(std::size_t index{}; index < x.size(); ++index) {
        sum_x += x[index];
        sum_y += y[index];
        sum_xx += x[index] * x[index];
        sum_xy += x[index] * y[index];
    }
    const auto slope = (count * sum_xy - sum_x * sum_y) / (count * sum_xx - sum_x * sum_x);
    const auto intercept = (sum_y - slope * sum_x) / count;
    double largest{};
    double squares{};
    for(std::size_t index{}; index < x.size(); ++index) {
        const auto residual = y[index] - intercept - slope * x[index];
        largest = std::max(largest, std::abs(residual));
        squares += residual * residual;
    }
    std::printf("fit %-10s intercept %.5g, slope %.5g per member, residual rms %.3g, largest %.3g (%s)\n", name,
        intercept, slope, std::sqrt(squares / count), largest, unit);
}

/*! @brief Simulated fleet on a network with 1 ms delay, to measure detection. */
class simulated_fleet {
public:
    explicit simulated_fleet(std::size_t count, std::uint64_t seed) : random{seed} {
        for(std::size_t index{}; index < count; ++index) {
            this->start(index, 1u);
        }
        for(int step{}; step < 6000 && !this->converged(); ++step) {
            this->step();
        }
        this->join_time = this->now - core::time_point{1h};
    }

    void settle() {
        for(int step{}; step < 2000; ++step) {
            this->step();
        }
    }

    /*! @brief Kills a node; returns the times until the first and until the last other node declares it dead. */
    [[nodiscard]] std::pair<double, double> kill_and_restart(std::uint64_t boot_id) {
        const auto victim = this->random() % this->nodes.size();
        const auto name = info_of(victim, 0u).name;
        this->nodes[victim].reset();
        const auto killed = this->now;
        std::optional<core::time_point> first{};
        for(std::size_t dead{}; dead + 1u < this->nodes.size() && this->now < killed + 60s;) {
            this->step();
            dead = static_cast<std::size_t>(
                std::count_if(this->nodes.begin(), this->nodes.end(), [&name](const auto& node) {
                    const auto* known = node ? node->find(name) : nullptr;
                    return known != nullptr && known->state == fleet::member_state::dead;
                }));
            if(dead > 0u && !first) {
                first = this->now;
            }
        }
        const auto last = this->now;
        this->start(victim, boot_id);
        for(int step{}; step < 500; ++step) {
            this->step();
        }
        return {std::chrono::duration<double>(first.value_or(last) - killed).count(),
            std::chrono::duration<double>(last - killed).count()};
    }

    [[nodiscard]] double seconds_to_converge() const {
        return std::chrono::duration<double>(this->join_time).count();
    }

    [[nodiscard]] std::uint64_t deaths() const {
        std::uint64_t sum{};
        for(const auto& node : this->nodes) {
            sum += node->counters().deaths;
        }
        return sum;
    }

    [[nodiscard]] std::uint64_t over_budget() const {
        std::uint64_t sum{};
        for(const auto& node : this->nodes) {
            sum += node->counters().over_budget;
        }
        return sum;
    }

private:
    void start(std::size_t index, std::uint64_t boot_id) {
        if(this->nodes.size() <= index) {
            this->nodes.resize(index + 1u);
        }
        const auto info = info_of(index, boot_id);
        this->by_address[info.udp.address] = index;
        this->nodes[index].emplace(fleet::membership_settings{}, info,
            std::vector<core::endpoint>{info_of(0u, 0u).udp, info_of(1u, 0u).udp, info_of(2u, 0u).udp}, this->random());
    }

    [[nodiscard]] bool converged() const {
        return std::all_of(this->nodes.begin(), this->nodes.end(),
            [this](const auto& node) { return node->live_members().size() == this->nodes.size(); });
    }

    void step() {
        this->now += 10ms;
        auto arrived = std::exchange(this->in_flight, {});
        for(const auto& [from, value] : arrived) {
            const auto index = this->by_address.at(value.to.address);
            if(this->nodes[index]) {
                this->send(index, this->nodes[index]->receive(this->now, from, value.bytes));
            }
        }
        for(std::size_t index{}; index < this->nodes.size(); ++index) {
            if(this->nodes[index] && this->now >= this->nodes[index]->next_tick()) {
                this->send(index, this->nodes[index]->tick(this->now));
            }
        }
    }

    void send(std::size_t from, std::vector<datagram> out) {
        for(auto& value : out) {
            this->in_flight.emplace_back(info_of(from, 0u).udp, std::move(value));
        }
    }

    std::mt19937_64 random;
    core::time_point now{1h};
    core::duration join_time{};
    std::vector<std::optional<fleet::membership>> nodes{};
    std::map<std::string, std::size_t> by_address{};
    std::vector<std::pair<core::endpoint, datagram>> in_flight{};
};

void print_costs() {
    std::vector<double> members{};
    std::vector<double> bytes{};
    std::vector<double> cpu{};
    std::vector<double> memory{};
    std::printf("%8s %12s %16s %12s %10s %12s %6s\n", "members", "bytes/s", "cpu us/s", "core share", "memory kB",
        "over budget", "live");
    for(const auto size : sizes) {
        std::vector<cost> costs{};
        for(int repetition{}; repetition < repetitions; ++repetition) {
            costs.push_back(loaded_instance{size, static_cast<std::uint64_t>(repetition) + 1u}.run());
        }
        std::sort(costs.begin(), costs.end(),
            [](const cost& left, const cost& right) { return left.cpu_share < right.cpu_share; });
        const auto& median = costs[repetitions / 2];
        std::printf("%8zu %12.1f %7.1f (%.0f-%.0f) %11.4f%% %10.1f %12llu %6zu\n", size, median.bytes_per_second,
            median.cpu_share * 1e6, costs.front().cpu_share * 1e6, costs.back().cpu_share * 1e6,
            median.cpu_share * 100.0, median.memory / 1024.0,
            static_cast<unsigned long long>(median.counters.over_budget), median.live);
        members.push_back(static_cast<double>(size));
        bytes.push_back(median.bytes_per_second);
        cpu.push_back(median.cpu_share * 1e6);
        memory.push_back(median.memory / 1024.0);
    }
    print_fit("bytes", members, bytes, "bytes/s");
    print_fit("cpu", members, cpu, "us of CPU per second");
    print_fit("memory", members, memory, "kB");
}

void print_bounds() {
    const fleet::membership_settings settings{};
    const auto seconds = [](core::duration value) {
        return std::chrono::duration<double>(value).count();
    };
    const auto interval = seconds(settings.probe_interval);
    const auto suspicion = seconds(settings.suspicion_timeout);
    std::printf(
        "\ndetection by the settings: mean %.2f s, 99th percentile %.2f s, at least %.2f s after the first probe\n",
        2.0 * interval + suspicion, (1.0 + poisson_99th_percentile) * interval + suspicion, interval + suspicion);
    for(const auto loss : {0.001, 0.01, 0.05}) {
        const auto direct = 1.0 - std::pow(1.0 - loss, 2.0);
        const auto indirect = std::pow(1.0 - std::pow(1.0 - loss, 4.0), static_cast<double>(settings.indirect_probes));
        const auto suspected = direct * indirect;
        const auto dead = suspected * std::pow(direct, std::floor(suspicion / interval));
        std::printf("datagram loss %4.1f%%: false suspicion %.2g per probe, false death %.2g per probe;", loss * 100.0,
            suspected, dead);
        for(const auto size : sizes) {
            std::printf(" %zu: %.2g/day", size, dead * static_cast<double>(size) / interval * seconds_per_day);
        }
        std::printf("\n");
    }
}

void print_starts() {
    std::printf("\n%8s %6s %30s %6s\n", "members", "starts", "start median/p95/max (s)", "false");
    for(const auto& [size, starts] : {std::pair<std::size_t, int>{9u, 300}, {100u, 20}, {300u, 3}}) {
        std::vector<double> times{};
        std::uint64_t deaths{};
        for(int seed{}; seed < starts; ++seed) {
            const simulated_fleet simulation{size, static_cast<std::uint64_t>(seed) + 1u};
            times.push_back(simulation.seconds_to_converge());
            deaths += simulation.deaths();
        }
        std::sort(times.begin(), times.end());
        std::printf("%8zu %6d %14.2f/%6.2f/%6.2f s %6llu\n", size, starts, times[times.size() / 2u],
            times[times.size() * 95u / 100u], times.back(), static_cast<unsigned long long>(deaths));
    }
}

void print_detection() {
    std::printf("\n%8s %6s %14s %26s %26s %6s %6s\n", "members", "kills", "start (s)", "first dead mean/p95/max",
        "all dead mean/p95/max", "false", "held");
    for(const auto& [size, kills] : {std::pair<std::size_t, int>{9u, 100}, {100u, 40}, {300u, 20}}) {
        simulated_fleet simulation{size, 1u};
        simulation.settle();
        const auto before = simulation.deaths();
        std::vector<double> first{};
        std::vector<double> all{};
        for(int kill{}; kill < kills; ++kill) {
            const auto [one, last] = simulation.kill_and_restart(static_cast<std::uint64_t>(kill) + 2u);
            first.push_back(one);
            all.push_back(last);
        }
        const auto print = [](std::vector<double> values) {
            std::sort(values.begin(), values.end());
            double sum{};
            for(const auto value : values) {
                sum += value;
            }
            std::printf(" %10.2f/%6.2f/%6.2f s", sum / static_cast<double>(values.size()),
                values[values.size() * 95u / 100u], values.back());
        };
        std::printf("%8zu %6d %14.2f", size, kills, simulation.seconds_to_converge());
        print(first);
        print(all);
        std::printf(" %6llu %6llu\n", static_cast<unsigned long long>(before),
            static_cast<unsigned long long>(simulation.over_budget()));
    }
}

} // namespace

int main() {
    print_costs();
    print_bounds();
    print_starts();
    print_detection();
    return 0;
}
