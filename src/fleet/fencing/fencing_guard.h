// Fencing at the receiver: whether the effect of a lease holder's request may happen. A holder can be paused
// between checking its lease and sending, and no clock closes that gap, so the receiver rejects every epoch
// below the highest that it has seen. Not responsible for granting leases (fleet/leadership) nor for storing
// its records. A core without I/O: not thread-safe, no clock, no random numbers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fleet/fencing/record.h"

namespace ochrehub::fencing {

struct Settings {
    std::size_t max_leases = 10'000;          ///< that are not retired
    std::size_t max_steps = 100'000;          ///< over all leases: begun or done, and not settled
    std::size_t max_outcome_bytes = 256;      ///< of one step
    std::size_t max_name_bytes = 64;          ///< of a lease; at most 255
    std::size_t max_retired_leases = 10'000;  ///< known by name; older ones by their highest epoch alone
    /// True: the receiver stores no records. After a start it rejects everything until it has learned the
    /// current epochs (learn_epoch, finish_learning).
    bool learns_epochs_at_start = false;
};

enum class Verdict {
    Execute,           ///< once the records are durable; complete_step() follows
    Executed,          ///< before, with Response::outcome
    PossiblyExecuted,  ///< it was begun: it is running, or the receiver crashed meanwhile
    NotExecuted,       ///< of query_step: nor will it be under any earlier epoch
    StaleEpoch,        ///< a holder with a higher epoch has been seen
    Settled,           ///< a holder declared that the step would not be requested any more
    CapacityExceeded,  ///< retry when steps have been settled or leases retired
    NotReady,          ///< the current epochs are not learned yet
    Malformed,         ///< epoch or step zero, name empty or longer than Settings::max_name_bytes
    EpochForgotten,    ///< the lease is unknown, and was perhaps retired: acquire it again for a higher epoch
    Retired,           ///< of retire: done
};
std::string_view name(Verdict verdict);

struct Response {
    Verdict verdict = Verdict::Execute;
    std::uint64_t current_epoch = 0;  ///< of the lease, so that a holder with an older one stops; zero: none
    std::string outcome;              ///< of Executed
};

/// What a receiver knows of the leases under which it is sent requests.
///
/// A step of a lease:  unknown -> begun -> done -> settled; begun -> settled.
/// A lease:            unknown -> current (under rising epochs) -> retired;
///                     retired -> forgotten;
///                     retired -> current again under a higher epoch.
///
/// A step is executed at most once. The next holder queries the steps that may be open under its own epoch,
/// which from then on fences off the previous one: a step that is NotExecuted can only come from itself.
/// Nothing is forgotten that may still be requested: a holder settles steps, and what exceeds the capacity is
/// rejected.
///
/// A lease that ended for good is retired. Of the latest ones name and last epoch are kept; of older ones
/// only the highest epoch: an unknown lease is rejected under any epoch up to it. That may also hit a live
/// lease that is new here; its holder acquires it again under a higher epoch. This costs a change of holders,
/// never an effect, and is correct where the epochs of all leases come from one counter.
///
/// Every call may add records. They have to be durable before its response is acted on or sent: an effect
/// that is begun in memory alone happens twice when the receiver restarts.
class FencingGuard {
public:
    explicit FencingGuard(const Settings& settings)
        : settings_(settings), ready_(!settings.learns_epochs_at_start) {}

    /// Before an effect. Steps and epochs are from 1 on.
    Response begin_step(std::string_view lease, std::uint64_t epoch, std::uint64_t step);
    /// After the effect of a step that Execute was returned for; the lease may have another holder by now.
    /// False: the step is not open, or the outcome is too long.
    bool complete_step(std::string_view lease, std::uint64_t step, std::string_view outcome);
    /// By the next holder: NotExecuted, PossiblyExecuted, Executed or Settled; its epoch is current from now
    /// on.
    Response query_step(std::string_view lease, std::uint64_t epoch, std::uint64_t step);
    /// By the holder: no step up to this one will be requested any more.
    Response settle_steps(std::string_view lease, std::uint64_t epoch, std::uint64_t step);
    /// By the last holder of a lease, once the quorum has recorded its end.
    Response retire(std::string_view lease, std::uint64_t epoch);

    /// The quorum's current epoch of a lease. Ignored where it is not higher than the one known here.
    void learn_epoch(std::string_view lease, std::uint64_t epoch);
    /// All current epochs have been passed to learn_epoch.
    void finish_learning() { ready_ = true; }

    /// The records since the last call, in order.
    std::vector<std::string> take_records() { return std::exchange(records_, {}); }
    /// At a start, before anything else: each stored record in order. False: it is malformed and ignored.
    bool replay(std::string_view bytes);
    /// The state as records, fewer than those that led to it.
    std::vector<std::string> snapshot() const;

    /// Zero: the lease is unknown.
    std::uint64_t current_epoch(std::string_view lease) const;
    std::size_t lease_count() const { return leases_.size(); }            ///< not retired
    std::size_t step_count() const { return step_count_; }                ///< begun or done, not settled
    std::size_t retired_count() const { return retired_epochs_.size(); }  ///< known by name
    std::uint64_t forgotten_epoch() const { return forgotten_epoch_; }    ///< see EpochForgotten; zero: none
    std::uint64_t rejected_count() const { return rejected_count_; }      ///< requests

private:
    struct Step {
        bool done = false;
        std::string outcome;
    };
    struct Lease {
        std::uint64_t epoch = 0;
        std::uint64_t settled_step = 0;       ///< no step up to here is in `steps`
        std::map<std::uint64_t, Step> steps;  ///< begun or done
    };
    /// Retired leases are forgotten in this order.
    struct RetiredLease {
        std::uint64_t epoch = 0;
        std::string name;
        friend bool operator<(const RetiredLease& left, const RetiredLease& right) {
            return std::tie(left.epoch, left.name) < std::tie(right.epoch, right.name);
        }
    };
    struct NameHash {
        using is_transparent = void;  // NOLINT(readability-identifier-naming): the standard library's name
        std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>()(text); }
    };
    template <class Value>
    using ByName = std::unordered_map<std::string, Value, NameHash, std::equal_to<>>;

    Lease* admit(std::string_view lease, std::uint64_t epoch, std::uint64_t step, Response& response);
    Verdict check_epoch(std::string_view lease, std::uint64_t epoch, std::uint64_t& current_epoch) const;
    bool is_valid_name(std::string_view lease) const;
    void change(const Record& record);
    void apply(const Record& record);
    void apply_to_lease(const Record& record);
    void apply_retirement(const Record& record);
    void erase_retired(std::string_view lease);

    Settings settings_;
    bool ready_;                               ///< false: the current epochs are not learned yet
    ByName<Lease> leases_;                     ///< not retired; its order is that of snapshot() alone
    ByName<std::uint64_t> retired_epochs_;     ///< last epoch of retired leases that are known by name
    std::set<RetiredLease> retired_by_epoch_;  ///< the same leases, the lowest epoch first
    std::size_t step_count_ = 0;               ///< in `steps` of all leases
    std::uint64_t forgotten_epoch_ = 0;        ///< see forgotten_epoch()
    std::uint64_t rejected_count_ = 0;
    std::vector<std::string> records_;  ///< since the last take_records()
};

}  // namespace ochrehub::fencing
