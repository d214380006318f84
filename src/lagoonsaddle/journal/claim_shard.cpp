#include <algorithm>
#include <utility>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/journal/claim_shard.hpp>
#include <lagoonsaddle/journal/internal_codec.hpp>

namespace lagoonsaddle::journal {

namespace {

constexpr std::chrono::milliseconds unfinished_retry_after{1'000};
constexpr std::chrono::milliseconds refusal_retry_after{200};
constexpr std::chrono::milliseconds full_shard_retry_after{5'000};

[[nodiscard]] core::error make_refusal(core::reason cause, std::string message, std::chrono::milliseconds retry_after) {
    return core::error{
        .cause = cause, .verdict = core::verdict::not_run, .message = std::move(message), .retry_after = retry_after};
}

/*! @brief Returns the digest of a text as 16 bytes, half the size of its hexadecimal form. */
[[nodiscard]] std::string binary_digest(std::string_view text) {
    const auto digits = core::digest(text);
    const auto nibble = [](char digit) {
        return (digit <= '9') ? digit - '0' : digit - 'a' + 10;
    };
    std::string bytes{};
    for(std::size_t index{}; index + 1u < digits.size(); index += 2u) {
        bytes += static_cast<char>(nibble(digits[index]) * 16 + nibble(digits[index + 1u]));
    }
    return bytes;
}

[[nodiscard]] outcome without_body(outcome value) {
    value.content_type.clear();
    value.body.clear();
    value.body_omitted = true;
    return value;
}

} // namespace

claim_shard::claim_shard(claim_shard_options options, const claimant_liveness* claimants)
    : settings{options}, liveness{claimants} {}

void claim_shard::claim(operation_id id, claim_request request, core::time_point now) {
    ++this->counter_values.claims;
    this->last_wall_time = request.now;
    pending_claim pending{.id = id, .key_digest = binary_digest(request.key)};
    pending.request = std::move(request);
    pending.request.request_digest = binary_digest(pending.request.request_digest);
    pending.sequence = ++this->last_sequence;
    if(pending.request.deadline <= now) {
        this->refuse_claim(pending, make_refusal(core::reason::deadline_exceeded,
                                        "the deadline passed before the claim was stored", refusal_retry_after));
        return;
    }
    if(this->pending_claims.size() >= this->settings.pending_claim_limit) {
        this->refuse_claim(pending, make_refusal(core::reason::overloaded,
                                        "too many claims are waiting for this journal shard", refusal_retry_after));
        return;
    }
    if(!this->resolve_claim(pending)) {
        this->pending_claims.push_back(std::move(pending));
    }
}

void claim_shard::store_outcome(
    operation_id id, std::string_view key, std::string claim_id, outcome value, wall_time now) {
    this->last_wall_time = now;
    if(value.body.size() > outcome_body_limit_bytes || value.content_type.size() > outcome_body_limit_bytes) {
        value = without_body(std::move(value));
    }
    this->pending_updates.push_back(pending_update{.id = id,
        .key_digest = binary_digest(key),
        .claim_id = std::move(claim_id),
        .result = std::move(value),
        .sequence = ++this->last_sequence,
        .unresolved_base = std::nullopt});
    this->resolve_claims();
    this->resolve_waiters();
}

void claim_shard::release(operation_id id, std::string_view key, std::string claim_id, wall_time now) {
    this->last_wall_time = now;
    this->pending_updates.push_back(pending_update{.id = id,
        .key_digest = binary_digest(key),
        .claim_id = std::move(claim_id),
        .result = std::nullopt,
        .sequence = ++this->last_sequence,
        .unresolved_base = std::nullopt});
}

void claim_shard::wait_for_outcome(operation_id id, std::string_view key, core::time_point deadline, wall_time now) {
    this->last_wall_time = now;
    this->waiters.push_back(outcome_waiter{
        .id = id, .key_digest = binary_digest(key), .deadline = deadline, .sequence = ++this->last_sequence});
    this->resolve_waiters();
}

std::optional<claim_shard::store_call> claim_shard::next_call(core::time_point now) {
    if(this->call_in_flight != call_kind::none) {
        return std::nullopt;
    }
    const bool backing_off = this->retry_at && now < *this->retry_at;
    const bool updates_due = !this->pending_updates.empty() && !backing_off;
    const bool poll_due =
        !this->waiters.empty() && ((this->waiters.back().sequence > this->call_sequence && !backing_off) ||
                                      !this->next_poll_at || now >= *this->next_poll_at);
    if(this->pending_claims.empty() && !updates_due && !poll_due) {
        return std::nullopt;
    }
    if(!this->read_required && (!this->pending_claims.empty() || updates_due)) {
        if(this->next_write_at && now < *this->next_write_at) {
            return std::nullopt;
        }
        if(auto write = this->prepare_write(); write) {
            this->next_write_at = now + this->settings.commit_interval;
            return write;
        }
        if(this->pending_claims.empty() && this->pending_updates.empty() && !poll_due) {
            return std::nullopt;
        }
    }
    this->call_in_flight = call_kind::read;
    this->call_sequence = this->last_sequence;
    ++this->counter_values.reads;
    return store_call{read_call{.known = this->loaded ? this->version : platform::object_version{}}};
}

std::optional<claim_shard::store_call> claim_shard::prepare_write() {
    claim_table candidate{};
    std::size_t size{internal::table_overhead_bytes};
    for(const auto& [key_digest, entry] : this->table) {
        if(this->is_retained(entry)) {
            size += internal::encoded_entry_bytes(key_digest, entry);
            candidate.emplace_hint(candidate.end(), key_digest, entry);
        }
    }
    bool write_needed{false};
    for(const auto& update : this->pending_updates) {
        const auto found = candidate.find(update.key_digest);
        if(found == candidate.end() || found->second.claim_id != update.claim_id || found->second.result) {
            // The update does not apply, but a new version is needed while a lost write may still store the claim.
            write_needed = write_needed || this->is_write_unresolved(update.unresolved_base);
            continue;
        }
        write_needed = true;
        size -= internal::encoded_entry_bytes(update.key_digest, found->second);
        if(!update.result) {
            candidate.erase(found);
            continue;
        }
        found->second.result = update.result;
        auto bytes = internal::encoded_entry_bytes(update.key_digest, found->second);
        if(size + bytes > this->settings.object_limit_bytes) {
            found->second.result = without_body(*update.result);
            bytes = internal::encoded_entry_bytes(update.key_digest, found->second);
        }
        size += bytes;
    }
    std::deque<pending_claim> remaining_claims{};
    for(auto& pending : this->pending_claims) {
        pending.in_current_write = false;
        if(!candidate.contains(pending.key_digest)) {
            const auto& request = pending.request;
            const auto run_until =
                request.run_until.count() > 0 ? request.run_until : request.now + this->settings.run_limit;
            // The entry must outlive the run, even by the wall clock of a node that is ahead.
            claim_entry entry{.claim_id = request.claim_id,
                .request_digest = request.request_digest,
                .claimant = request.claimant,
                .run_until = run_until,
                .expires_at = std::max(request.now + this->settings.retention, run_until + this->settings.clock_skew),
                .result = std::nullopt};
            const auto bytes = internal::encoded_entry_bytes(pending.key_digest, entry);
            if(size + bytes > this->settings.object_limit_bytes) {
                this->refuse_claim(pending,
                    make_refusal(core::reason::overloaded, "the journal shard is full", full_shard_retry_after));
                continue;
            }
            size += bytes;
            candidate.emplace(pending.key_digest, std::move(entry));
            pending.in_current_write = true;
            write_needed = true;
        }
        remaining_claims.push_back(std::move(pending));
    }
    this->pending_claims = std::move(remaining_claims);
    if(!write_needed) {
        return std::nullopt;
    }
    this->write_table = std::move(candidate);
    this->write_base_version = this->version;
    this->call_in_flight = call_kind::write;
    this->call_sequence = this->last_sequence;
    auto body = encode_claims(this->write_table);
    ++this->counter_values.writes;
    this->counter_values.bytes_written += body.size();
    this->counter_values.object_bytes = body.size();
    return store_call{write_call{.body = std::move(body), .expected = this->write_base_version}};
}

void claim_shard::on_read(const core::result<std::optional<platform::object>>& result, core::time_point now) {
    this->expire(now);
    this->call_in_flight = call_kind::none;
    this->next_poll_at = now + this->settings.poll_interval;
    if(result && *result) {
        auto entries = decode_claims((*result)->body);
        if(!entries) {
            ++this->counter_values.failures;
            this->fail_pending_operations(entries.error());
            this->back_off(now);
            return;
        }
        this->counter_values.object_bytes = (*result)->body.size();
        this->set_confirmed_state(std::move(*entries), (*result)->version);
    } else if(result && this->loaded) {
        this->set_confirmed_state(std::move(this->table), this->version);
    } else if(!result && result.error().cause == core::reason::not_found) {
        this->set_confirmed_state({}, 0u);
    } else {
        ++this->counter_values.failures;
        this->fail_pending_operations(result ? make_refusal(core::reason::protocol_error,
                                                   "the object API returned no journal object", refusal_retry_after)
                                             : result.error());
        this->back_off(now);
        return;
    }
    this->resolve_operations();
    std::erase_if(this->pending_claims, [this](const pending_claim& pending) {
        if(pending.failed_writes < this->settings.conflict_limit) {
            return false;
        }
        this->refuse_claim(
            pending, make_refusal(core::reason::conflict,
                         "the claim reached the limit of write conflicts with other nodes on its journal shard",
                         refusal_retry_after));
        return true;
    });
}

void claim_shard::on_write(const core::result<platform::object_version>& result, core::time_point now) {
    // This node may have been paused past the deadline; by then the entry may have expired and another node may have
    // claimed the key.
    this->expire(now);
    this->call_in_flight = call_kind::none;
    if(result) {
        this->retry_delay = {};
        this->retry_at.reset();
        this->set_confirmed_state(std::move(this->write_table), *result);
        this->resolve_operations();
        return;
    }
    const bool conflict = result.error().cause == core::reason::conflict;
    if(!conflict && result.error().verdict == core::verdict::not_run) {
        ++this->counter_values.failures;
        for(auto& pending : this->pending_claims) {
            pending.in_current_write = false;
        }
        this->fail_pending_operations(result.error());
        this->back_off(now);
        return;
    }
    // A conflict is handled like a lost response: the write may have been sent twice, and the first one stored.
    this->read_required = true;
    this->next_write_at.reset();
    for(auto& pending : this->pending_claims) {
        if(pending.in_current_write) {
            ++pending.failed_writes;
            pending.in_current_write = false;
            pending.unresolved_base = std::max(pending.unresolved_base.value_or(0u), this->write_base_version);
        }
    }
    if(conflict) {
        ++this->counter_values.conflicts;
    } else {
        ++this->counter_values.unknown_writes;
        this->back_off(now);
    }
}

void claim_shard::set_confirmed_state(claim_table entries, platform::object_version current_version) {
    this->table = std::move(entries);
    this->version = current_version;
    this->loaded = true;
    this->read_required = false;
    this->confirmed_sequence = this->call_sequence;
    this->counter_values.entries = this->table.size();
}

void claim_shard::resolve_operations() {
    this->resolve_updates();
    this->resolve_claims();
    this->resolve_waiters();
}

bool claim_shard::is_retained(const claim_entry& entry) const noexcept {
    return this->last_wall_time <= entry.expires_at + this->settings.clock_skew;
}

bool claim_shard::is_write_unresolved(const std::optional<platform::object_version>& unresolved_base) const noexcept {
    return unresolved_base && this->version <= *unresolved_base;
}

const outcome* claim_shard::known_outcome(const std::string& key_digest, const claim_entry& entry) const {
    if(entry.result) {
        return &*entry.result;
    }
    for(const auto& update : this->pending_updates) {
        if(update.result && update.key_digest == key_digest && update.claim_id == entry.claim_id) {
            return &*update.result;
        }
    }
    return nullptr;
}

core::error claim_shard::unfinished_error(const claim_entry& entry) const {
    core::error failure{.cause = core::reason::in_progress,
        .verdict = core::verdict::may_have_run,
        .message = "a request with this key is still running",
        .retry_after = unfinished_retry_after};
    if(this->last_wall_time > entry.run_until + this->settings.clock_skew ||
        (this->liveness != nullptr && this->liveness->is_gone(entry.claimant))) {
        failure.cause = core::reason::outcome_unknown;
        failure.message = "the node that ran the request with this key is gone; the request may have run";
        failure.retry_after.reset();
    }
    return failure;
}

void claim_shard::resolve_updates() {
    std::erase_if(this->pending_updates, [this](const pending_update& update) {
        const auto found = this->table.find(update.key_digest);
        // An expired entry counts as removed, because the next write omits it.
        const bool present =
            found != this->table.end() && found->second.claim_id == update.claim_id && this->is_retained(found->second);
        if(present && !found->second.result) {
            return false;
        }
        if(!present &&
            (this->is_write_unresolved(update.unresolved_base) || update.sequence > this->confirmed_sequence)) {
            return false;
        }
        if(update.result) {
            this->counter_values.finished += present ? 1u : 0u;
        } else {
            this->counter_values.released += present ? 0u : 1u;
        }
        if(update.id && present == update.result.has_value()) {
            this->complete(*update.id, claim_result{.claim_id = update.claim_id, .first_outcome = std::nullopt});
        } else if(update.id) {
            this->complete(*update.id, present ? core::fail(core::reason::conflict, core::verdict::ran,
                                                     "a request that has an outcome cannot be released")
                                               : core::fail(core::reason::not_found, core::verdict::may_have_run,
                                                     "the journal no longer contains the claim"));
        }
        return true;
    });
}

void claim_shard::resolve_claims() {
    std::erase_if(this->pending_claims, [this](const pending_claim& pending) { return this->resolve_claim(pending); });
}

bool claim_shard::resolve_claim(const pending_claim& pending) {
    const auto found = this->table.find(pending.key_digest);
    if(found == this->table.end() || !this->is_retained(found->second)) {
        return false;
    }
    const auto& entry = found->second;
    const bool same_request = entry.request_digest == pending.request.request_digest;
    if(same_request && entry.claim_id == pending.request.claim_id) {
        ++this->counter_values.claimed;
        this->complete(pending.id, claim_result{.claim_id = entry.claim_id, .first_outcome = std::nullopt});
        return true;
    }
    if(const auto* first_outcome = this->known_outcome(pending.key_digest, entry);
        same_request && first_outcome != nullptr) {
        ++this->counter_values.repeated;
        this->complete(pending.id, claim_result{.claim_id = entry.claim_id, .first_outcome = *first_outcome});
        return true;
    }
    if(pending.sequence > this->confirmed_sequence || this->read_required) {
        // The entry may have changed since it was read.
        return false;
    }
    ++this->counter_values.repeated;
    if(same_request) {
        this->complete(pending.id, tl::make_unexpected(this->unfinished_error(entry)));
    } else {
        this->complete(
            pending.id, core::fail(core::reason::key_reused, "the idempotency key was used with another request"));
    }
    return true;
}

void claim_shard::resolve_waiters() {
    if(!this->loaded) {
        return;
    }
    std::erase_if(this->waiters, [this](const outcome_waiter& waiter) {
        const auto found = this->table.find(waiter.key_digest);
        const bool current = waiter.sequence <= this->confirmed_sequence;
        if(found == this->table.end()) {
            if(current) {
                this->complete(waiter.id, core::fail(core::reason::not_found, "the journal has no claim for this key"));
            }
            return current;
        }
        if(const auto* first_outcome = this->known_outcome(waiter.key_digest, found->second);
            first_outcome != nullptr) {
            this->complete(
                waiter.id, claim_result{.claim_id = found->second.claim_id, .first_outcome = *first_outcome});
            return true;
        }
        auto failure = this->unfinished_error(found->second);
        if(!current || failure.cause == core::reason::in_progress) {
            return false;
        }
        this->complete(waiter.id, tl::make_unexpected(std::move(failure)));
        return true;
    });
}

void claim_shard::withdraw_claim(const pending_claim& pending) {
    auto unresolved_base = pending.unresolved_base;
    if(pending.in_current_write && this->call_in_flight == call_kind::write) {
        unresolved_base = std::max(unresolved_base.value_or(0u), this->write_base_version);
    }
    // A later version without the claim proves that the unresolved write can no longer take effect.
    if(unresolved_base && (this->read_required || this->version <= *unresolved_base)) {
        this->pending_updates.push_back(pending_update{.id = std::nullopt,
            .key_digest = pending.key_digest,
            .claim_id = pending.request.claim_id,
            .result = std::nullopt,
            .sequence = ++this->last_sequence,
            .unresolved_base = unresolved_base});
    }
}

void claim_shard::refuse_claim(const pending_claim& pending, core::error failure) {
    ++this->counter_values.refused;
    this->withdraw_claim(pending);
    failure.verdict = core::verdict::not_run;
    if(!failure.retry_after) {
        failure.retry_after = refusal_retry_after;
    }
    this->complete(pending.id, tl::make_unexpected(std::move(failure)));
}

void claim_shard::fail_pending_operations(const core::error& failure) {
    const auto refused_claims = std::exchange(this->pending_claims, {});
    for(const auto& pending : refused_claims) {
        this->refuse_claim(pending, failure);
    }
    for(auto& update : this->pending_updates) {
        if(update.id) {
            auto not_stored = failure;
            not_stored.verdict = core::verdict::may_have_run;
            this->complete(*std::exchange(update.id, std::nullopt), tl::make_unexpected(std::move(not_stored)));
        }
    }
}

void claim_shard::back_off(core::time_point now) {
    this->retry_delay = std::clamp(this->retry_delay * 2, this->settings.retry_delay_min,
        std::max(this->settings.retry_delay_min, this->settings.retry_delay_max));
    this->retry_at = now + this->retry_delay;
    this->next_poll_at = now + std::max(this->retry_delay, this->settings.poll_interval);
}

void claim_shard::expire(core::time_point now) {
    std::erase_if(this->pending_claims, [this, now](const pending_claim& pending) {
        if(pending.request.deadline > now) {
            return false;
        }
        this->refuse_claim(pending, make_refusal(core::reason::deadline_exceeded,
                                        "the deadline passed before the claim was stored", refusal_retry_after));
        return true;
    });
    std::erase_if(this->waiters, [this, now](const outcome_waiter& waiter) {
        if(waiter.deadline > now) {
            return false;
        }
        core::error failure{.cause = this->loaded ? core::reason::in_progress : core::reason::unavailable,
            .verdict = core::verdict::may_have_run,
            .message = "the outcome was not known by the deadline",
            .retry_after = unfinished_retry_after};
        this->complete(waiter.id, tl::make_unexpected(std::move(failure)));
        return true;
    });
}

std::optional<core::time_point> claim_shard::next_wakeup() const {
    std::optional<core::time_point> earliest{};
    const auto consider = [&earliest](core::time_point candidate) {
        earliest = earliest ? std::min(*earliest, candidate) : candidate;
    };
    for(const auto& pending : this->pending_claims) {
        consider(pending.request.deadline);
    }
    for(const auto& waiter : this->waiters) {
        consider(waiter.deadline);
    }
    if(this->call_in_flight == call_kind::none) {
        if(!this->pending_updates.empty() && this->retry_at) {
            consider(*this->retry_at);
        }
        if((!this->pending_claims.empty() || !this->pending_updates.empty()) && this->next_write_at) {
            consider(std::max(*this->next_write_at, this->retry_at.value_or(*this->next_write_at)));
            if(!this->pending_claims.empty()) {
                consider(*this->next_write_at);
            }
        }
        if(!this->waiters.empty() && this->next_poll_at) {
            consider(*this->next_poll_at);
        }
    }
    return earliest;
}

void claim_shard::shut_down() {
    const auto draining = make_refusal(core::reason::draining, "the node is stopping", unfinished_retry_after);
    this->fail_pending_operations(draining);
    this->pending_updates.clear();
    for(const auto& waiter : std::exchange(this->waiters, {})) {
        auto failure = draining;
        failure.verdict = core::verdict::may_have_run;
        this->complete(waiter.id, tl::make_unexpected(std::move(failure)));
    }
}

void claim_shard::complete(operation_id id, core::result<claim_result> result) {
    this->completions.push_back(completion{.id = id, .result = std::move(result)});
}

std::vector<claim_shard::completion> claim_shard::take_completions() {
    return std::exchange(this->completions, {});
}

journal_counters claim_shard::counters() const noexcept {
    auto counters = this->counter_values;
    counters.backlog = this->pending_updates.size();
    return counters;
}

} // namespace lagoonsaddle::journal
