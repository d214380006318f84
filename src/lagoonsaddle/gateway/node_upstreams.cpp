// Upstreams of a gateway node: what the list of VMs names, and the owners of those that this node owns.
#include <set>
#include <string>
#include <vector>

#include <glog/logging.h>

#include <lagoonsaddle/gateway/node.hpp>
#include <lagoonsaddle/wire/codec.hpp>

namespace lagoonsaddle::gateway {

namespace {

[[nodiscard]] upstream_owner_options owner_options(const settings::node_settings& settings) {
    upstream_owner_options options{};
    options.slots.minimum_residency = settings.policy.minimum_residency;
    options.slots.default_load_time = settings.policy.load_estimate;
    options.queue.capacity = settings.policy.queue_limit;
    options.load_estimate = settings.policy.load_estimate;
    options.order_validity = settings.ownership.order_validity;
    return options;
}

} // namespace

// Creates an `upstream_owner` for each upstream that this node owns, and retires those of upstreams that it no longer
// owns.
void node::reconcile_owners() {
    const auto owned = this->owner_assignments->owned_upstreams();
    const std::set<std::string> owned_names{owned.begin(), owned.end()};
    const auto known = this->known_upstreams.all();
    for(const auto& name : owned_names) {
        const auto description = known->find(name);
        if(description == known->end() || description->second.kind == upstream::kind::weight_store) {
            continue;
        }
        auto owner = this->local_owners.find(name);
        if(!owner) {
            LOG(INFO) << "event=upstream_taken upstream=" << name;
            this->observer.on_event("upstream_taken", name, "this node is its owner now");
            owner = std::make_shared<upstream_owner>(upstream_owner_context{.io = this->context,
                                                         .clock = this->clock,
                                                         .http_client = this->http_client,
                                                         .authority = *this->owner_assignments,
                                                         .permits = *this->load_scheduling,
                                                         .quarantine = this->quarantine,
                                                         .observer = this->observer},
                description->second, owner_options(this->configured_settings),
                [this](const wire::upstream_report& report, bool broadcast) {
                    this->apply_upstream_report(report, broadcast);
                });
            owner->start();
            this->local_owners.add(name, owner);
        }
        owner->set_leaving(description->second.leaving || this->active_rules.is_drained(name));
    }
    for(const auto& [name, owner] : this->local_owners.all()) {
        if(!owned_names.contains(name)) {
            LOG(INFO) << "event=upstream_given_up upstream=" << name;
            this->observer.on_event("upstream_given_up", name, "another node is its owner now");
            this->local_owners.remove(name);
            owner->retire();
            const std::lock_guard lock{this->retiring_owners_mutex};
            this->retiring_owners.push_back(owner);
        }
    }
    const std::lock_guard lock{this->retiring_owners_mutex};
    std::erase_if(this->retiring_owners, [](const auto& owner) {
        if(owner->is_idle()) {
            owner->stop();
            return true;
        }
        return false;
    });
}

void node::apply_vm_list(const platform::vm_snapshot& snapshot) {
    std::vector<upstream::description> listed{};
    std::vector<core::endpoint> entries{};
    for(const auto& vm : snapshot.vms) {
        if(vm.kind == platform::vm_kind::entry) {
            if(vm.state == platform::vm_state::live) {
                entries.push_back(vm.endpoint);
            }
            continue;
        }
        const auto find_label = [&vm](const char* name) {
            const auto found = vm.labels.find(name);
            return found == vm.labels.end() ? std::string{} : found->second;
        };
        listed.push_back(upstream::description{.name = vm.name,
            .kind = vm.kind == platform::vm_kind::engine ? upstream::kind::engine : upstream::kind::service,
            .endpoint = vm.endpoint,
            .availability_zone = vm.availability_zone,
            .service = find_label("service"),
            .base_model = find_label("base_model"),
            .checks_fencing_token = find_label("checks_fencing_token") == "true",
            .leaving = vm.state == platform::vm_state::leaving});
    }
    this->members->add_seeds(entries);
    this->known_upstreams.replace_vm_list_upstreams(std::move(listed));
}

void node::apply_upstream_report(const wire::upstream_report& report, bool broadcast) {
    this->routing.apply_report(report);
    if(broadcast) {
        this->peer_connections.broadcast(wire::message_type::upstream_report, wire::pack(report));
    }
}

} // namespace lagoonsaddle::gateway
