#include "lab/shards/history_checker.h"

#include <algorithm>
#include <cstdio>
#include <set>
#include <utility>

namespace ochrehub::lab::shards {
namespace {

class Search {
public:
    explicit Search(std::vector<Operation> operations)
        : all_(std::move(operations)), taken_(all_.size(), '0') {
        std::sort(all_.begin(), all_.end(), [](const auto& a, const auto& b) { return a.called < b.called; });
        for (const Operation& o : all_) sure_ += o.sure;
    }
    bool run() {
        if (sure_ == 0) return true;
        if (!tried_.emplace(taken_, value_).second) return false;
        // An operation that was called after another's response can't take effect before that one.
        TimePoint bound{Duration{std::numeric_limits<double>::infinity()}};
        for (std::size_t i = 0; i < all_.size(); ++i)
            if (taken_[i] == '0' && all_[i].sure) bound = std::min(bound, all_[i].answered);
        for (std::size_t i = 0; i < all_.size() && all_[i].called <= bound; ++i) {
            const Operation& o = all_[i];
            if (taken_[i] != '0') continue;
            std::uint64_t was = value_;
            // After a loss, an erased record can't be told from a lost one.
            bool unknown = losses_ > 0 && value_ == kAbsent && o.value == kLost;
            if (o.what == Operation::What::Read ? value_ != o.value && !unknown
                                                : o.what == Operation::What::Swap && value_ != o.expected)
                continue;
            if (o.what != Operation::What::Read) value_ = o.what == Operation::What::Loss ? kLost : o.value;
            bool loss = o.what == Operation::What::Loss;
            taken_[i] = '1';
            sure_ -= o.sure;
            losses_ += loss;
            if (run()) return true;
            losses_ -= loss;
            sure_ += o.sure;
            taken_[i] = '0';
            value_ = was;
        }
        return false;
    }

private:
    std::vector<Operation> all_;
    std::string taken_;
    std::size_t sure_ = 0;
    int losses_ = 0;
    std::uint64_t value_ = kAbsent;
    std::set<std::pair<std::string, std::uint64_t>> tried_;
};

}  // namespace

bool linearizable(std::vector<Operation> operations) {
    return Search(std::move(operations)).run();
}

std::string text(const std::vector<Operation>& operations) {
    std::string out;
    char line[160];
    for (const Operation& o : operations) {
        const char* kNames[] = {"read", "write", "swap", "loss"};
        std::snprintf(line, sizeof line, "%10.2f %10.2f %s %llx (expected %llx)%s\n",
                      o.called.time_since_epoch().count(), o.answered.time_since_epoch().count(),
                      kNames[std::size_t(o.what)], static_cast<unsigned long long>(o.value),
                      static_cast<unsigned long long>(o.expected), o.sure ? "" : " ?");
        out += line;
    }
    return out;
}

}  // namespace ochrehub::lab::shards
