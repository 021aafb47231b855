// Jobs by the reading of a clock at which each is due: a binary heap that knows where each job stands, so
// that any of them can be taken out again.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace ochrehub::lab {

/// Jobs are small numbers that are used again, each in the heap at most once. Of equal tags the one pushed
/// first comes first.
class TagHeap {
public:
    using Job = std::uint32_t;

    bool empty() const { return entries_.empty(); }
    std::size_t size() const { return entries_.size(); }
    double top_tag() const { return entries_.front().tag; }
    Job top() const { return entries_.front().job; }

    void push(Job job, double tag) {
        if (job >= places_.size()) places_.resize(job + 1 + places_.size());
        entries_.push_back({tag, pushed_++, job});
        rise(entries_.size() - 1);
    }
    Job pop() {
        const Job job = entries_.front().job;
        take(0);
        return job;
    }
    /// The job must be in the heap.
    void remove(Job job) { take(places_[job]); }
    void clear() { entries_.clear(); }

private:
    struct Entry {
        double tag;
        std::uint32_t order;
        Job job;
        bool before(const Entry& other) const {
            // The difference, since the count of pushes comes round.
            return tag != other.tag ? tag < other.tag : static_cast<std::int32_t>(order - other.order) < 0;
        }
    };

    void put(std::size_t place, const Entry& entry) {
        entries_[place] = entry;
        places_[entry.job] = static_cast<std::uint32_t>(place);
    }
    void rise(std::size_t place) {
        const Entry entry = entries_[place];
        while (place > 0) {
            const std::size_t parent = (place - 1) / 2;
            if (!entry.before(entries_[parent])) break;
            put(place, entries_[parent]);
            place = parent;
        }
        put(place, entry);
    }
    void sink(std::size_t place) {
        const Entry entry = entries_[place];
        for (;;) {
            std::size_t child = 2 * place + 1;
            if (child >= entries_.size()) break;
            if (child + 1 < entries_.size() && entries_[child + 1].before(entries_[child])) ++child;
            if (!entries_[child].before(entry)) break;
            put(place, entries_[child]);
            place = child;
        }
        put(place, entry);
    }
    void take(std::size_t place) {
        const Entry last = entries_.back();
        entries_.pop_back();
        if (place == entries_.size()) return;
        put(place, last);
        sink(place);
        rise(places_[last.job]);
    }

    std::vector<Entry> entries_;
    std::vector<std::uint32_t> places_;  // by job
    std::uint32_t pushed_ = 0;
};

}  // namespace ochrehub::lab
