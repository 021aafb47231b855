#include "fleet/shards/table.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <boost/unordered/unordered_flat_map.hpp>
#include <mutex>

#include "fleet/shards/ordered_mutex.h"

namespace ochrehub::shards {
namespace {

std::uint64_t hash(std::uint16_t kind, std::string_view key) {
    return XXH64(key.data(), key.size(), kind);
}

constexpr std::uint32_t kNoSlot = ~0u;
constexpr std::size_t kExpireOnFullRecords = 16;  // checked for expiry by a write over a limit

}  // namespace

std::uint64_t partner_id(std::string_view name) {
    return XXH64(name.data(), name.size(), 0);
}
std::size_t shard_of(std::uint16_t kind, std::string_view key, std::size_t shards) {
    return hash(kind, key) & (shards - 1);
}

// A record stays in its slot. The index uses open addressing with linear probing, 8 bytes per entry; erasing
// shifts entries back instead of leaving tombstones, so that it never needs a rebuild. Expiry times are a
// heap of slots; a record whose expiry moves to a later time keeps its place in the heap until it reaches the
// top.
struct alignas(64) Table::Shard {
    struct Slot {
        std::uint64_t hash = 0, partner = 0, version = 0, request = 0;
        TimePoint expires_at{}, heap_due{};  // heap_due: the heap's key, never after expires_at
        std::uint32_t schema = 0, heap_index = 0, next_free = kNoSlot;
        std::uint16_t kind = 0;
        bool used = false;
        std::string key, payload;
        std::size_t bytes() const { return kRecordOverheadBytes + key.size() + payload.size(); }
    };
    struct IndexEntry {
        std::uint32_t slot = kNoSlot, tag = 0;
    };

    mutable OrderedMutex mutex;
    std::vector<Slot> slots;
    std::vector<IndexEntry> index;
    std::vector<std::uint32_t> heap;
    boost::unordered_flat_map<std::uint64_t, std::size_t> partners;
    std::size_t count = 0, bytes = 0;
    std::uint64_t version = 0;
    std::uint32_t free_slot = kNoSlot;

    static std::uint32_t tag(std::uint64_t hash) { return std::uint32_t(hash >> 32); }

    std::uint32_t find(std::uint64_t hash, std::uint16_t kind, std::string_view key) const {
        if (index.empty()) return kNoSlot;
        std::size_t mask = index.size() - 1;
        for (std::size_t at = tag(hash) & mask;; at = (at + 1) & mask) {
            const IndexEntry& place = index[at];
            if (place.slot == kNoSlot) return kNoSlot;
            if (place.tag != tag(hash)) continue;
            const Slot& slot = slots[place.slot];
            if (slot.hash == hash && slot.kind == kind && slot.key == key) return place.slot;
        }
    }
    void insert_index(std::uint32_t slot, std::uint64_t hash) {
        if ((count + 1) * 4 > index.size() * 3) {
            std::vector<IndexEntry> old(std::max<std::size_t>(16, index.size() * 2));
            old.swap(index);
            for (const IndexEntry& place : old)
                if (place.slot != kNoSlot) place_in_index(place);
        }
        place_in_index({slot, tag(hash)});
    }
    void place_in_index(IndexEntry place) {
        std::size_t mask = index.size() - 1, at = place.tag & mask;
        while (index[at].slot != kNoSlot) at = (at + 1) & mask;
        index[at] = place;
    }
    void erase_index(std::uint32_t slot) {
        std::size_t mask = index.size() - 1, at = tag(slots[slot].hash) & mask;
        while (index[at].slot != slot) at = (at + 1) & mask;
        // Shifts the entries after it back, but none before the position of its hash.
        for (std::size_t next = (at + 1) & mask; index[next].slot != kNoSlot; next = (next + 1) & mask) {
            std::size_t home = index[next].tag & mask;
            if (((next - home) & mask) >= ((next - at) & mask)) index[at] = index[next], at = next;
        }
        index[at] = {};
    }

    bool is_due_before(std::uint32_t a, std::uint32_t b) const {
        return slots[a].heap_due < slots[b].heap_due;
    }
    void place(std::size_t at, std::uint32_t slot) {
        heap[at] = slot;
        slots[slot].heap_index = std::uint32_t(at);
    }
    void sift_up(std::size_t at) {
        std::uint32_t slot = heap[at];
        for (; at > 0 && is_due_before(slot, heap[(at - 1) / 2]); at = (at - 1) / 2)
            place(at, heap[(at - 1) / 2]);
        place(at, slot);
    }
    void sift_down(std::size_t at) {
        std::uint32_t slot = heap[at];
        for (std::size_t child; (child = 2 * at + 1) < heap.size(); at = child) {
            if (child + 1 < heap.size() && is_due_before(heap[child + 1], heap[child])) ++child;
            if (!is_due_before(heap[child], slot)) break;
            place(at, heap[child]);
        }
        place(at, slot);
    }

    void charge(std::uint64_t partner, std::ptrdiff_t change) {
        if (change == 0) return;
        bytes += std::size_t(change);
        auto it = partners.try_emplace(partner, 0).first;
        it->second += std::size_t(change);
        if (it->second == 0) partners.erase(it);
    }
    std::size_t bytes_of(std::uint64_t partner) const {
        auto it = partners.find(partner);
        return it == partners.end() ? 0 : it->second;
    }

    void remove(std::uint32_t n) {
        Slot& slot = slots[n];
        charge(slot.partner, -std::ptrdiff_t(slot.bytes()));
        erase_index(n);
        std::size_t at = slot.heap_index;
        std::uint32_t last = heap.back();
        heap.pop_back();
        if (last != n) {
            place(at, last);
            sift_up(at);
            sift_down(slots[last].heap_index);
        }
        slot.used = false;
        if (slot.payload.capacity() > 1024)
            std::string().swap(slot.payload);  // small buffers are kept for the slot's next record
        slot.next_free = free_slot;
        free_slot = n;
        --count;
    }
    void set(std::uint64_t hash, const Record& record, TimePoint now, bool is_copy) {
        Duration lifetime = is_copy ? record.lifetime * 1.02 : record.lifetime;
        std::uint32_t n = find(hash, record.kind, record.key);
        bool is_new = n == kNoSlot;
        if (is_new) {
            if (free_slot != kNoSlot) {
                n = free_slot;
                free_slot = slots[n].next_free;
            } else {
                n = std::uint32_t(slots.size());
                slots.emplace_back();
            }
            Slot& slot = slots[n];
            slot.hash = hash, slot.kind = record.kind, slot.key = record.key, slot.used = true;
            insert_index(n, hash);
            ++count;
        } else {
            charge(slots[n].partner, -std::ptrdiff_t(slots[n].bytes()));
        }
        Slot& slot = slots[n];
        slot.partner = record.partner, slot.version = record.version, slot.request = record.request;
        slot.schema = record.schema, slot.payload = record.payload, slot.expires_at = now + lifetime;
        version = std::max(version, record.version);
        charge(slot.partner, std::ptrdiff_t(slot.bytes()));
        if (is_new) {
            slot.heap_due = slot.expires_at;
            heap.push_back(n);
            sift_up(heap.size() - 1);
        } else if (slot.expires_at < slot.heap_due) {
            slot.heap_due = slot.expires_at;
            sift_up(slot.heap_index);
        }
    }
    std::size_t expire(TimePoint now, std::size_t limit) {
        std::size_t ended = 0;
        for (std::size_t checked = 0; checked < limit && !heap.empty(); ++checked) {
            Slot& top = slots[heap.front()];
            if (top.heap_due > now) break;
            if (top.expires_at > now) {
                top.heap_due = top.expires_at;
                sift_down(0);
            } else {
                remove(heap.front());
                ++ended;
            }
        }
        return ended;
    }
    static void read_slot(const Slot& slot, TimePoint now, Record& record) {
        record.kind = slot.kind, record.schema = slot.schema, record.partner = slot.partner;
        record.version = slot.version, record.request = slot.request, record.lifetime = slot.expires_at - now;
        record.key = slot.key, record.payload = slot.payload;
    }
};

Table::Table(const TableSettings& settings) : set_(settings) {
    set_.shard_count = std::bit_ceil(std::max<std::size_t>(1, set_.shard_count));
    shards_ = std::make_unique<Shard[]>(set_.shard_count);
    for (std::size_t n = 0; n < set_.shard_count; ++n) shards_[n].mutex.number(std::uint32_t(n));
}
Table::~Table() = default;

std::optional<Error> Table::too_long(const Write& write) const {
    const Record& r = write.record;
    if (r.key.empty() || r.key.size() > set_.max_key_bytes || r.payload.size() > set_.max_payload_bytes)
        return Error::TooLong;
    if (!write.erase && !(r.lifetime > Duration{0} && r.lifetime <= set_.max_lifetime)) return Error::TooLong;
    return {};
}

bool Table::find(std::uint16_t kind, std::string_view key, TimePoint now, Record& record) const {
    std::uint64_t h = hash(kind, key);
    const Shard& shard = shards_[h & (set_.shard_count - 1)];
    std::lock_guard lock(shard.mutex);
    std::uint32_t n = shard.find(h, kind, key);
    if (n == kNoSlot || shard.slots[n].expires_at <= now) return false;
    Shard::read_slot(shard.slots[n], now, record);
    return true;
}

Outcome Table::prepare_in(Shard& shard, std::uint64_t h, const Write& write, TimePoint now,
                          Prepared& prepared) {
    Outcome outcome;
    std::uint32_t n = shard.find(h, write.record.kind, write.record.key);
    bool exists = n != kNoSlot && shard.slots[n].expires_at > now;
    if (write.expected_version && *write.expected_version != (exists ? shard.slots[n].version : 0)) {
        outcome.error = Error::Changed;
        if (exists) Shard::read_slot(shard.slots[n], now, outcome.current.emplace());
        return outcome;
    }
    prepared.erase = write.erase;
    prepared.shard = h & (set_.shard_count - 1);
    prepared.reserved_bytes = 0;
    if (!write.erase) {
        std::size_t size = kRecordOverheadBytes + write.record.key.size() + write.record.payload.size();
        auto check_limits = [&]() -> std::optional<Error> {
            std::size_t old = n == kNoSlot ? 0 : shard.slots[n].bytes();
            std::size_t old_own = old > 0 && shard.slots[n].partner == write.record.partner ? old : 0;
            if (shard.bytes_of(write.record.partner) - old_own + size >
                set_.max_partner_bytes / set_.shard_count)
                return Error::PartnerFull;
            if (shard.bytes - old + size > set_.max_bytes / set_.shard_count) return Error::Full;
            prepared.reserved_bytes = size > old_own ? size - old_own : 0;
            return {};
        };
        outcome.error = check_limits();
        if (outcome.error && shard.expire(now, kExpireOnFullRecords) > 0) {
            n = shard.find(h, write.record.kind, write.record.key);
            outcome.error = check_limits();
        }
        if (outcome.error) return outcome;
    }
    prepared.record = write.record;
    prepared.record.version = outcome.version = ++shard.version;
    shard.charge(write.record.partner, std::ptrdiff_t(prepared.reserved_bytes));
    return outcome;
}

Outcome Table::prepare(const Write& write, TimePoint now, Prepared& prepared) {
    Outcome outcome;
    if ((outcome.error = too_long(write))) return outcome;
    std::uint64_t h = hash(write.record.kind, write.record.key);
    Shard& shard = shards_[h & (set_.shard_count - 1)];
    std::lock_guard lock(shard.mutex);
    return prepare_in(shard, h, write, now, prepared);
}

void Table::commit(Prepared&& prepared, TimePoint now) {
    std::uint64_t h = hash(prepared.record.kind, prepared.record.key);
    Shard& shard = shards_[prepared.shard];
    std::lock_guard lock(shard.mutex);
    shard.charge(prepared.record.partner, -std::ptrdiff_t(prepared.reserved_bytes));
    if (!prepared.erase)
        shard.set(h, prepared.record, now, false);
    else if (std::uint32_t n = shard.find(h, prepared.record.kind, prepared.record.key); n != kNoSlot)
        shard.remove(n);
}

void Table::abandon(const Prepared& prepared) {
    Shard& shard = shards_[prepared.shard];
    std::lock_guard lock(shard.mutex);
    shard.charge(prepared.record.partner, -std::ptrdiff_t(prepared.reserved_bytes));
}

Outcome Table::write(const Write& write, TimePoint now) {
    Outcome outcome;
    if ((outcome.error = too_long(write))) return outcome;
    std::uint64_t h = hash(write.record.kind, write.record.key);
    Shard& shard = shards_[h & (set_.shard_count - 1)];
    thread_local Prepared prepared;
    std::lock_guard lock(shard.mutex);
    outcome = prepare_in(shard, h, write, now, prepared);
    if (outcome.error) return outcome;
    shard.charge(write.record.partner, -std::ptrdiff_t(prepared.reserved_bytes));
    if (!write.erase)
        shard.set(h, prepared.record, now, false);
    else if (std::uint32_t n = shard.find(h, write.record.kind, write.record.key); n != kNoSlot)
        shard.remove(n);
    return outcome;
}

std::optional<Error> Table::write_two(const Write& a, const Write& b, TimePoint now) {
    if (auto error = too_long(a)) return error;
    if (auto error = too_long(b)) return error;
    std::uint64_t ha = hash(a.record.kind, a.record.key), hb = hash(b.record.kind, b.record.key);
    std::size_t na = ha & (set_.shard_count - 1), nb = hb & (set_.shard_count - 1);
    std::unique_lock low(shards_[std::min(na, nb)].mutex);
    std::unique_lock high(shards_[std::max(na, nb)].mutex, std::defer_lock);
    if (na != nb) high.lock();
    Prepared pa, pb;
    Outcome first = prepare_in(shards_[na], ha, a, now, pa);
    if (first.error) return first.error;
    Outcome second = prepare_in(shards_[nb], hb, b, now, pb);
    auto release_reservation = [&](const Prepared& p) {
        shards_[p.shard].charge(p.record.partner, -std::ptrdiff_t(p.reserved_bytes));
    };
    release_reservation(pa);
    if (second.error) return second.error;
    release_reservation(pb);
    for (const auto& [p, h] : {std::pair(&pa, ha), std::pair(&pb, hb)}) {
        Shard& shard = shards_[p->shard];
        if (!p->erase)
            shard.set(h, p->record, now, false);
        else if (std::uint32_t n = shard.find(h, p->record.kind, p->record.key); n != kNoSlot)
            shard.remove(n);
    }
    return {};
}

void Table::copy(const Record& record, TimePoint now) {
    std::uint64_t h = hash(record.kind, record.key);
    Shard& shard = shards_[h & (set_.shard_count - 1)];
    std::lock_guard lock(shard.mutex);
    std::uint32_t n = shard.find(h, record.kind, record.key);
    // A copy lives longer: it must not expire before the primary's record, whichever clock runs faster.
    if (n == kNoSlot || shard.slots[n].version < record.version) shard.set(h, record, now, true);
}

void Table::erase_copy(std::uint16_t kind, std::string_view key, std::uint64_t version) {
    std::uint64_t h = hash(kind, key);
    Shard& shard = shards_[h & (set_.shard_count - 1)];
    std::lock_guard lock(shard.mutex);
    shard.version = std::max(shard.version, version);
    std::uint32_t n = shard.find(h, kind, key);
    if (n != kNoSlot && shard.slots[n].version < version) shard.remove(n);
}

std::optional<std::size_t> Table::scan(std::size_t n, std::size_t limit, std::size_t from, TimePoint now,
                                       std::vector<Record>& records) const {
    const Shard& shard = shards_[n];
    std::lock_guard lock(shard.mutex);
    // Empty slots take time too, so the number of checked slots is limited.
    for (std::size_t checked = 0; from < shard.slots.size() && limit > 0 && checked < 4096;
         ++from, ++checked) {
        const Shard::Slot& slot = shard.slots[from];
        if (!slot.used || slot.expires_at <= now) continue;
        Shard::read_slot(slot, now, records.emplace_back());
        --limit;
    }
    if (from >= shard.slots.size()) return {};
    return from;
}

std::size_t Table::expire(std::size_t n, TimePoint now, std::size_t limit) {
    std::lock_guard lock(shards_[n].mutex);
    return shards_[n].expire(now, limit);
}

void Table::clear(std::size_t n, std::uint64_t version) {
    Shard& shard = shards_[n];
    std::lock_guard lock(shard.mutex);
    shard.slots = {}, shard.index = {}, shard.heap = {}, shard.partners = {};
    shard.count = shard.bytes = 0;
    shard.free_slot = kNoSlot;
    shard.version = std::max(shard.version, version);
}

std::uint64_t Table::version(std::size_t n) const {
    std::lock_guard lock(shards_[n].mutex);
    return shards_[n].version;
}
std::size_t Table::records(std::size_t n) const {
    std::lock_guard lock(shards_[n].mutex);
    return shards_[n].count;
}
std::size_t Table::bytes(std::size_t n) const {
    std::lock_guard lock(shards_[n].mutex);
    return shards_[n].bytes;
}
std::size_t Table::bytes_of_partner(std::size_t n, std::uint64_t partner) const {
    std::lock_guard lock(shards_[n].mutex);
    return shards_[n].bytes_of(partner);
}

}  // namespace ochrehub::shards
