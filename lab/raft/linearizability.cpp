#include "lab/raft/linearizability.h"

#include <algorithm>
#include <map>
#include <unordered_set>
#include <utility>

namespace ochrehub::lab {

std::string apply_operation(const RegisterOperation& operation, std::string& register_value) {
    switch (operation.kind) {
        case RegisterOperation::Kind::Read:
            return register_value;
        case RegisterOperation::Kind::Write:
            register_value = operation.value;
            return {};
        case RegisterOperation::Kind::CompareAndSet:
            if (register_value != operation.expected) return "0";
            register_value = operation.value;
            return "1";
        case RegisterOperation::Kind::Append:
            return register_value += operation.value;
    }
    return {};
}

namespace {

bool has_response(const RegisterOperation& operation) {
    return operation.responded_at != RegisterOperation::kNoResponse;
}

/// Linearizes one operation after another: any that was invoked before the first response among those that
/// are left, as long as its response agrees; backtracks where none does.
class RegisterSearch {
public:
    explicit RegisterSearch(const std::vector<RegisterOperation>& operations)
        : operations_(operations),
          response_event_(operations.size(), kHead),
          linearized_(operations.size(), '0') {
        collect_events();
        link_events();
    }

    Linearizability run(std::uint64_t max_steps) {
        std::size_t event = events_[kHead].next;
        while (responses_left_ > 0) {
            if (max_steps-- == 0) return Linearizability::Undecided;
            bool invocation = event != kHead && !events_[event].is_response;
            if (invocation) {
                event = try_linearize(event) ? events_[kHead].next : events_[event].next;
                continue;
            }
            if (path_.empty()) return Linearizability::NotLinearizable;
            event = events_[undo_last()].next;
        }
        return Linearizability::Linearizable;
    }

private:
    static constexpr std::size_t kHead = 0;  ///< of the list of events

    /// Invocations and responses form a doubly linked list, so that one which is removed can be put back.
    struct Event {
        double at = 0;
        bool is_response = false;
        std::size_t operation = 0;
        std::size_t previous = 0;
        std::size_t next = 0;
    };
    struct Step {
        std::size_t invocation = 0;
        std::string previous_value;
    };

    void collect_events() {
        events_.resize(1);
        for (std::size_t i = 0; i < operations_.size(); ++i) {
            const RegisterOperation& operation = operations_[i];
            // A read without a response says nothing.
            if (!has_response(operation) && operation.kind == RegisterOperation::Kind::Read) continue;
            events_.push_back({operation.invoked_at, false, i, 0, 0});
            if (!has_response(operation)) continue;
            events_.push_back({operation.responded_at, true, i, 0, 0});
            ++responses_left_;
        }
        // At one instant invocations come first: the operations may overlap.
        std::stable_sort(events_.begin() + 1, events_.end(), [](const Event& a, const Event& b) {
            return a.at != b.at ? a.at < b.at : a.is_response < b.is_response;
        });
    }

    void link_events() {
        std::size_t count = events_.size();
        for (std::size_t i = 0; i < count; ++i) {
            events_[i].previous = (i + count - 1) % count;
            events_[i].next = (i + 1) % count;
            if (i != kHead && events_[i].is_response) response_event_[events_[i].operation] = i;
        }
    }

    void unlink(std::size_t event) {
        events_[events_[event].previous].next = events_[event].next;
        events_[events_[event].next].previous = events_[event].previous;
    }
    void relink(std::size_t event) {
        events_[events_[event].previous].next = event;
        events_[events_[event].next].previous = event;
    }

    bool try_linearize(std::size_t invocation) {
        std::size_t index = events_[invocation].operation;
        const RegisterOperation& operation = operations_[index];
        std::string next_value = value_;
        std::string response = apply_operation(operation, next_value);
        if (has_response(operation) && response != operation.response) return false;
        linearized_[index] = '1';
        if (!visited_.insert(linearized_ + next_value).second) {
            linearized_[index] = '0';
            return false;
        }
        path_.push_back({invocation, std::exchange(value_, std::move(next_value))});
        unlink(invocation);
        if (has_response(operation)) {
            unlink(response_event_[index]);
            --responses_left_;
        }
        return true;
    }

    /// Returns the invocation that was undone.
    std::size_t undo_last() {
        Step last = std::move(path_.back());
        path_.pop_back();
        std::size_t index = events_[last.invocation].operation;
        if (response_event_[index] != kHead) {
            relink(response_event_[index]);
            ++responses_left_;
        }
        relink(last.invocation);
        linearized_[index] = '0';
        value_ = std::move(last.previous_value);
        return last.invocation;
    }

    const std::vector<RegisterOperation>& operations_;
    std::vector<Event> events_;                ///< events_[kHead] is the list's head
    std::vector<std::size_t> response_event_;  ///< by operation; kHead: it has none
    std::size_t responses_left_ = 0;           ///< of operations that are not linearized yet
    std::string value_;                        ///< of the register after path_
    std::string linearized_;                   ///< by operation, '1' where it is in path_
    std::vector<Step> path_;
    std::unordered_set<std::string> visited_;  ///< linearized_ and value_ of states that were searched
};

}  // namespace

Linearizability check_register(const std::vector<RegisterOperation>& operations, std::uint64_t max_steps) {
    return RegisterSearch(operations).run(max_steps);
}

HistoryResult check_history(const std::vector<RegisterOperation>& operations) {
    std::map<std::string, std::vector<RegisterOperation>> by_key;
    for (const RegisterOperation& operation : operations) by_key[operation.key].push_back(operation);
    HistoryResult result;
    result.operations = operations.size();
    result.keys = by_key.size();
    for (const auto& [key, of_key] : by_key) {
        Linearizability verdict = check_register(of_key);
        if (verdict == Linearizability::Linearizable) continue;
        result.key = key;
        result.verdict = verdict;
        if (verdict == Linearizability::NotLinearizable) break;
    }
    return result;
}

}  // namespace ochrehub::lab
