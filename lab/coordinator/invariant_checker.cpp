#include "lab/coordinator/invariant_checker.h"

#include <algorithm>

namespace ochrehub::lab {
namespace {

constexpr std::size_t kMaxViolations = 8;

}  // namespace

void CoordinatorInvariantChecker::violated(const std::string& what) {
    if (violations_.size() < kMaxViolations) violations_.push_back(what);
}

void CoordinatorInvariantChecker::session_held(coordinator::SessionId session, std::size_t process,
                                               TimePoint until) {
    Belief& belief = sessions_[session];
    belief.process = process;
    belief.until = std::max(belief.until, until);
}

void CoordinatorInvariantChecker::timeout_held(std::uint64_t revision, std::size_t process, TimePoint until) {
    timeouts_[revision] = {until, process, false};
}

void CoordinatorInvariantChecker::process_crashed(std::size_t process) {
    for (auto& [revision, belief] : timeouts_)
        if (belief.process == process) belief.is_given_up = true;
    for (auto& [session, belief] : sessions_)
        if (belief.process == process) belief.is_given_up = true;
}

void CoordinatorInvariantChecker::session_ended(coordinator::SessionId session) {
    ++sessions_ended_;
    auto found = sessions_.find(session);
    if (found != sessions_.end()) check_expired("session " + std::to_string(session), found->second);
}

void CoordinatorInvariantChecker::timeout_expired(std::uint64_t revision) {
    ++timeouts_expired_;
    auto found = timeouts_.find(revision);
    if (found != timeouts_.end()) check_expired("timeout " + std::to_string(revision), found->second);
}

void CoordinatorInvariantChecker::check_expired(const std::string& what, const Belief& belief) {
    if (belief.is_given_up) return;
    const TimePoint own_time = own_clock_(belief.process);
    if (own_time >= belief.until) return;
    const std::string remaining = std::to_string((belief.until - own_time).count());
    violated(what + " has expired at a coordinator, and process " + std::to_string(belief.process) +
             " holds it for another " + remaining + " ms");
}

void CoordinatorInvariantChecker::appended(std::size_t coordinator, std::uint64_t place,
                                           const std::string& tag) {
    if (place < list_.size() && list_[place] != tag)
        violated("coordinator " + std::to_string(coordinator + 1) + " has " + tag + " where another has " +
                 list_[place]);
    if (place == list_.size()) list_.push_back(tag);
    if (place > list_.size()) violated("a list with a gap");
}

void CoordinatorInvariantChecker::state_hash(std::size_t coordinator, std::uint64_t index,
                                             std::uint64_t hash) {
    auto [known, is_first] = state_hashes_.emplace(index, hash);
    if (!is_first && known->second != hash)
        violated("coordinator " + std::to_string(coordinator + 1) + " differs from another after entry " +
                 std::to_string(index));
}

std::size_t CoordinatorInvariantChecker::requested(TimePoint now, bool is_append, const std::string& tag) {
    Operation operation;
    operation.requested_at = now;
    operation.is_append = is_append;
    operation.tag = tag;
    operations_.push_back(operation);
    return operations_.size() - 1;
}

void CoordinatorInvariantChecker::completed(std::size_t id, TimePoint now, std::uint64_t place,
                                            const std::string& last) {
    Operation& operation = operations_[id];
    operation.completed_at = now;
    operation.is_completed = true;
    operation.place = place;
    operation.last = last;
}

/// Linearizability after Wing and Gong's definition. For a list with unique elements it needs no search: the
/// list is the order.
void CoordinatorInvariantChecker::check_history() {
    const std::map<std::string, std::uint64_t> places = check_places();
    for (Operation& operation : operations_) check_response(operation, places);
    check_order(places);
}

std::map<std::string, std::uint64_t> CoordinatorInvariantChecker::check_places() {
    std::map<std::string, std::uint64_t> places;
    for (std::size_t i = 0; i < list_.size(); ++i)
        if (!places.emplace(list_[i], i).second) violated(list_[i] + " was applied twice");
    return places;
}

/// An append without a response takes the place that it has, if it was applied.
void CoordinatorInvariantChecker::check_response(Operation& operation,
                                                 const std::map<std::string, std::uint64_t>& places) {
    if (operation.is_append) {
        auto place = places.find(operation.tag);
        if (operation.is_completed && (place == places.end() || place->second != operation.place))
            violated(operation.tag + " was confirmed, and is not in its place");
        if (!operation.is_completed && place != places.end()) operation.place = place->second;
    } else if (operation.is_completed) {
        const bool is_known = operation.place <= list_.size() &&
                              (operation.place == 0 || list_[operation.place - 1] == operation.last);
        if (!is_known) violated("a query returned what nobody appended: " + operation.last);
    }
}

std::vector<CoordinatorInvariantChecker::MinLength> CoordinatorInvariantChecker::min_lengths() const {
    std::vector<MinLength> lengths;
    for (const Operation& operation : operations_)
        if (operation.is_completed)
            lengths.push_back(
                {operation.completed_at, operation.is_append ? operation.place + 1 : operation.place});
    std::sort(lengths.begin(), lengths.end(), [](const MinLength& a, const MinLength& b) {
        return a.at != b.at ? a.at < b.at : a.length < b.length;
    });
    for (std::size_t i = 1; i < lengths.size(); ++i)
        lengths[i].length = std::max(lengths[i].length, lengths[i - 1].length);
    return lengths;
}

/// No operation's place is below what was complete before it was requested.
void CoordinatorInvariantChecker::check_order(const std::map<std::string, std::uint64_t>& places) {
    const std::vector<MinLength> lengths = min_lengths();
    for (const Operation& operation : operations_) {
        const bool was_applied = operation.is_append && places.contains(operation.tag);
        if (!operation.is_completed && !was_applied) continue;
        auto after = std::lower_bound(
            lengths.begin(), lengths.end(), operation.requested_at,
            [](const MinLength& length, TimePoint requested_at) { return length.at < requested_at; });
        if (after == lengths.begin()) continue;
        const std::uint64_t min_length = std::prev(after)->length;
        if (operation.place < min_length)
            violated((operation.is_append ? operation.tag : "a query") + " has place " +
                     std::to_string(operation.place) + ", and " + std::to_string(min_length) +
                     " were complete before it was requested");
    }
}

}  // namespace ochrehub::lab
