#include "fleet/raft/entries.h"

#include <utility>

namespace ochrehub::raft {

Entries::Entries(const Members& members, const std::optional<Snapshot>& snapshot, std::uint64_t first,
                 const std::vector<Entry>& entries) {
    members_[0] = members;
    if (snapshot) reset(*snapshot);
    if (first == 0 || first > base_ + 1) return;
    for (std::size_t i = std::size_t(base_ + 1 - first); i < entries.size(); ++i) append(entries[i]);
}

std::optional<std::uint64_t> Entries::term(std::uint64_t index) const {
    if (index == base_) return base_term_;
    if (index < base_ || index > last()) return std::nullopt;
    return at(index).term;
}

void Entries::append(Entry entry) {
    if (entry.kind == Entry::Kind::Configuration)
        if (auto members = decode_members(entry.data)) members_[last() + 1] = std::move(*members), ++changes_;
    entries_.push_back(std::move(entry));
}

void Entries::cut(std::uint64_t from) {
    if (from > last()) return;
    entries_.erase(entries_.begin() + std::ptrdiff_t(from - base_ - 1), entries_.end());
    auto gone = members_.lower_bound(from);
    if (gone != members_.end()) members_.erase(gone, members_.end()), ++changes_;
}

void Entries::drop_to(std::uint64_t index) {
    Members standing = members_at(index);
    base_term_ = *term(index);
    entries_.erase(entries_.begin(), entries_.begin() + std::ptrdiff_t(index - base_));
    base_ = index;
    members_.erase(members_.begin(), members_.upper_bound(index));
    members_[index] = std::move(standing);
}

void Entries::compact(std::uint64_t index, std::string state, std::size_t kept) {
    snapshot_ =
        std::make_shared<const Snapshot>(Snapshot{index, *term(index), members_at(index), std::move(state)});
    std::uint64_t to = index;
    for (std::size_t octets = 0; to > base_; --to) {
        octets += at(to).data.size() + sizeof(Entry);
        if (octets > kept) break;
    }
    drop_to(to);
}

void Entries::reset(Snapshot snapshot) {
    auto here = term(snapshot.last_included_index);
    if (snapshot.last_included_index > base_ && here == snapshot.last_included_term) {
        drop_to(snapshot.last_included_index);
    } else {
        entries_.clear();
        members_.clear();
        base_ = snapshot.last_included_index, base_term_ = snapshot.last_included_term;
    }
    members_[base_] = snapshot.members;
    ++changes_;
    snapshot_ = std::make_shared<const Snapshot>(std::move(snapshot));
}

}  // namespace ochrehub::raft
