#include "fleet/fencing/fencing_guard.h"

#include <algorithm>
#include <iterator>

namespace ochrehub::fencing {

std::string_view name(Verdict verdict) {
    constexpr std::string_view kNames[] = {
        "execute",           "executed",  "possibly executed", "not executed",    "stale epoch", "settled",
        "capacity exceeded", "not ready", "malformed",         "epoch forgotten", "retired"};
    return kNames[std::size_t(verdict)];
}

// ---- Requests

bool FencingGuard::is_valid_name(std::string_view lease) const {
    return !lease.empty() && lease.size() <= settings_.max_name_bytes;
}

/// Execute: the epoch may act on the lease.
Verdict FencingGuard::check_epoch(std::string_view lease, std::uint64_t epoch,
                                  std::uint64_t& current_epoch) const {
    if (!ready_) return Verdict::NotReady;
    auto known = leases_.find(lease);
    if (known != leases_.end()) {
        current_epoch = known->second.epoch;
        return epoch < current_epoch ? Verdict::StaleEpoch : Verdict::Execute;
    }
    auto retired = retired_epochs_.find(lease);
    if (retired != retired_epochs_.end()) {
        current_epoch = retired->second;
        if (epoch <= current_epoch) return Verdict::StaleEpoch;
    } else if (epoch <= forgotten_epoch_) {
        current_epoch = forgotten_epoch_;
        return Verdict::EpochForgotten;
    }
    return leases_.size() < settings_.max_leases ? Verdict::Execute : Verdict::CapacityExceeded;
}

/// The lease, whose current epoch is this one from now on. Null: the response says why it is rejected.
FencingGuard::Lease* FencingGuard::admit(std::string_view lease, std::uint64_t epoch, std::uint64_t step,
                                         Response& response) {
    bool well_formed = epoch != 0 && step != 0 && is_valid_name(lease);
    response.verdict = well_formed ? check_epoch(lease, epoch, response.current_epoch) : Verdict::Malformed;
    if (response.verdict != Verdict::Execute) {
        ++rejected_count_;
        return nullptr;
    }
    if (epoch > response.current_epoch) change({Record::Kind::Epoch, lease, epoch});
    response.current_epoch = epoch;
    return &leases_.find(lease)->second;
}

Response FencingGuard::begin_step(std::string_view lease, std::uint64_t epoch, std::uint64_t step) {
    Response response;
    Lease* admitted = admit(lease, epoch, step, response);
    if (!admitted) return response;
    auto known = admitted->steps.find(step);
    if (step <= admitted->settled_step) {
        response.verdict = Verdict::Settled;
    } else if (known != admitted->steps.end()) {
        response.verdict = known->second.done ? Verdict::Executed : Verdict::PossiblyExecuted;
        response.outcome = known->second.outcome;
    } else if (step_count_ >= settings_.max_steps) {
        response.verdict = Verdict::CapacityExceeded;
        ++rejected_count_;
    } else {
        change({Record::Kind::Begun, lease, step});
        response.verdict = Verdict::Execute;
    }
    return response;
}

bool FencingGuard::complete_step(std::string_view lease, std::uint64_t step, std::string_view outcome) {
    auto known = leases_.find(lease);
    if (known == leases_.end() || outcome.size() > settings_.max_outcome_bytes) return false;
    auto open = known->second.steps.find(step);
    if (open == known->second.steps.end() || open->second.done) return false;
    change({Record::Kind::Done, lease, step, outcome});
    return true;
}

Response FencingGuard::query_step(std::string_view lease, std::uint64_t epoch, std::uint64_t step) {
    Response response;
    Lease* admitted = admit(lease, epoch, step, response);
    if (!admitted) return response;
    auto known = admitted->steps.find(step);
    if (known != admitted->steps.end()) {
        response.verdict = known->second.done ? Verdict::Executed : Verdict::PossiblyExecuted;
        response.outcome = known->second.outcome;
    } else {
        response.verdict = Verdict::NotExecuted;
    }
    if (step <= admitted->settled_step) response.verdict = Verdict::Settled;
    return response;
}

Response FencingGuard::settle_steps(std::string_view lease, std::uint64_t epoch, std::uint64_t step) {
    Response response;
    Lease* admitted = admit(lease, epoch, step, response);
    if (!admitted) return response;
    if (step > admitted->settled_step) change({Record::Kind::Settled, lease, step});
    response.verdict = Verdict::Settled;
    return response;
}

Response FencingGuard::retire(std::string_view lease, std::uint64_t epoch) {
    Response response;
    response.current_epoch = current_epoch(lease);
    if (epoch == 0 || !is_valid_name(lease)) {
        response.verdict = Verdict::Malformed;
    } else if (!ready_) {
        response.verdict = Verdict::NotReady;
    } else if (epoch < response.current_epoch) {
        response.verdict = Verdict::StaleEpoch;
    } else {
        // Also a lease that is unknown here: late requests under it would be taken for new ones.
        bool recorded = retired_epochs_.contains(lease) && epoch == response.current_epoch;
        if (!recorded) change({Record::Kind::Retired, lease, epoch});
        response.verdict = Verdict::Retired;
        response.current_epoch = epoch;
        return response;
    }
    ++rejected_count_;
    return response;
}

void FencingGuard::learn_epoch(std::string_view lease, std::uint64_t epoch) {
    if (epoch == 0 || !is_valid_name(lease) || current_epoch(lease) >= epoch) return;
    if (!leases_.contains(lease) && leases_.size() >= settings_.max_leases) return;
    change({Record::Kind::Epoch, lease, epoch});
}

std::uint64_t FencingGuard::current_epoch(std::string_view lease) const {
    auto known = leases_.find(lease);
    if (known != leases_.end()) return known->second.epoch;
    auto retired = retired_epochs_.find(lease);
    return retired == retired_epochs_.end() ? 0 : retired->second;
}

// ---- State

void FencingGuard::change(const Record& record) {
    records_.push_back(encode(record));
    apply(record);
}

void FencingGuard::apply(const Record& record) {
    if (record.kind == Record::Kind::Retired)
        apply_retirement(record);
    else if (record.kind == Record::Kind::ForgottenEpoch)
        forgotten_epoch_ = std::max(forgotten_epoch_, record.number);
    else
        apply_to_lease(record);
}

void FencingGuard::apply_to_lease(const Record& record) {
    erase_retired(record.lease);  // it is current again, under a higher epoch
    Lease& lease = leases_.try_emplace(std::string(record.lease)).first->second;
    if (record.kind == Record::Kind::Epoch) {
        lease.epoch = std::max(lease.epoch, record.number);
        return;
    }
    if (record.kind == Record::Kind::Settled) {
        lease.settled_step = std::max(lease.settled_step, record.number);
        auto first_open = lease.steps.upper_bound(record.number);
        step_count_ -= std::size_t(std::distance(lease.steps.begin(), first_open));
        lease.steps.erase(lease.steps.begin(), first_open);
        return;
    }
    auto [step, added] = lease.steps.try_emplace(record.number);
    step_count_ += added;
    if (record.kind == Record::Kind::Done) step->second = {true, std::string(record.outcome)};
}

void FencingGuard::apply_retirement(const Record& record) {
    auto known = leases_.find(record.lease);
    if (known != leases_.end()) {
        step_count_ -= known->second.steps.size();
        leases_.erase(known);
    }
    erase_retired(record.lease);
    retired_epochs_.emplace(std::string(record.lease), record.number);
    retired_by_epoch_.insert({record.number, std::string(record.lease)});
    while (retired_by_epoch_.size() > settings_.max_retired_leases) {
        auto oldest = retired_by_epoch_.begin();
        forgotten_epoch_ = std::max(forgotten_epoch_, oldest->epoch);
        retired_epochs_.erase(oldest->name);
        retired_by_epoch_.erase(oldest);
    }
}

void FencingGuard::erase_retired(std::string_view lease) {
    auto retired = retired_epochs_.find(lease);
    if (retired == retired_epochs_.end()) return;
    retired_by_epoch_.erase({retired->second, retired->first});
    retired_epochs_.erase(retired);
}

bool FencingGuard::replay(std::string_view bytes) {
    std::optional<Record> record = decode(bytes);
    if (record) apply(*record);
    return record.has_value();
}

std::vector<std::string> FencingGuard::snapshot() const {
    std::vector<std::string> records;
    if (forgotten_epoch_ > 0)
        records.push_back(encode({Record::Kind::ForgottenEpoch, "-", forgotten_epoch_}));
    for (const RetiredLease& retired : retired_by_epoch_)
        records.push_back(encode({Record::Kind::Retired, retired.name, retired.epoch}));
    for (const auto& [lease_name, lease] : leases_) {
        if (lease.epoch > 0) records.push_back(encode({Record::Kind::Epoch, lease_name, lease.epoch}));
        if (lease.settled_step > 0)
            records.push_back(encode({Record::Kind::Settled, lease_name, lease.settled_step}));
        for (const auto& [number, step] : lease.steps) {
            Record::Kind kind = step.done ? Record::Kind::Done : Record::Kind::Begun;
            records.push_back(encode({kind, lease_name, number, step.outcome}));
        }
    }
    return records;
}

}  // namespace ochrehub::fencing
