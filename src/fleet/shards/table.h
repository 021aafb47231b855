// Keyed records in shards, each with its own mutex, index and expiry heap. Thread safe. A shard is picked by
// the key's hash. One shard is locked at a time, or two in ascending order of their numbers; there are no
// callbacks and no waits while a lock is held.
//
// A record is bytes that the table doesn't interpret, with a kind, a schema number, and a version that only
// rises within its shard: a write can require the version that its writer read. Records expire by themselves.
// Memory is limited per shard, in total and per partner, so that the limits are the same at both holders of a
// shard and no counter is shared by all threads. A write over a limit is rejected; no record is evicted
// before it expires.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/shards/error.h"
#include "ochrehub/balancer.h"

namespace ochrehub::shards {

struct TableSettings {
    std::size_t shard_count = 256;             ///< a power of two
    std::size_t max_bytes = 256 << 20;         ///< of all shards; each has an equal part
    std::size_t max_partner_bytes = 32 << 20;  ///< of one partner in all shards; an equal part in each
    std::size_t max_key_bytes = 256;
    std::size_t max_payload_bytes = 16 << 10;
    Duration max_lifetime{86'400'000};  ///< limit from a record's last write to its expiry
};
/// Memory that is counted for a record beyond its key and payload.
inline constexpr std::size_t kRecordOverheadBytes = 160;

/// Id of the partner that a record's memory is counted for.
std::uint64_t partner_id(std::string_view name);
/// `shards` is a power of two.
std::size_t shard_of(std::uint16_t kind, std::string_view key, std::size_t shards);

struct Record {
    std::uint16_t kind = 0;
    std::uint32_t schema = 0;
    std::uint64_t partner = 0, version = 0;
    std::uint64_t request = 0;  ///< id of the last write, chosen by its client
    Duration lifetime{};        ///< time left until it expires
    std::string key, payload;
    friend bool operator==(const Record&, const Record&) = default;
};

struct Write {
    Record record;  ///< its version is ignored
    std::optional<std::uint64_t>
        expected_version;  ///< required current version; zero: no record; nothing: any
    bool erase = false;
};
struct Outcome {
    std::optional<Error> error;
    std::uint64_t version = 0;      ///< of the write; an erasure has one too
    std::optional<Record> current;  ///< with Changed: the current record
};
/// A write that was checked and has its version and reserved memory, but isn't applied yet.
struct Prepared {
    std::size_t shard = 0;
    Record record;
    bool erase = false;
    std::size_t reserved_bytes = 0;
};

class Table {
public:
    explicit Table(const TableSettings& settings);
    ~Table();

    const TableSettings& settings() const { return set_; }
    std::size_t shards() const { return set_.shard_count; }
    std::size_t shard_of(std::uint16_t kind, std::string_view key) const {
        return shards::shard_of(kind, key, set_.shard_count);
    }

    /// False: there is none, or it has expired. `record` can be reused, which saves allocations.
    bool find(std::uint16_t kind, std::string_view key, TimePoint now, Record& record) const;
    Outcome write(const Write& write, TimePoint now);
    /// Applies both or neither. The two keys must differ.
    std::optional<Error> write_two(const Write& a, const Write& b, TimePoint now);

    // A primary's writes: prepare assigns the version and reserves memory, commit applies the write once the
    // backup has it, abandon drops it. Until then the caller must not write the key again.
    Outcome prepare(const Write& write, TimePoint now, Prepared& prepared);
    void commit(Prepared&& prepared, TimePoint now);
    void abandon(const Prepared& prepared);

    /// Stores a record that another holder has written, without regard to limits, unless the present version
    /// is as new.
    void copy(const Record& record, TimePoint now);
    void erase_copy(std::uint16_t kind, std::string_view key, std::uint64_t version);

    /// Appends at most `limit` records, from position `from` on. Returns the position to continue from;
    /// nothing at the end. A record that exists during the whole scan is seen once; one that is added or
    /// removed meanwhile may be seen or not.
    std::optional<std::size_t> scan(std::size_t n, std::size_t limit, std::size_t from, TimePoint now,
                                    std::vector<Record>& records) const;
    /// Removes at most `limit` expired records; returns how many.
    std::size_t expire(std::size_t n, TimePoint now, std::size_t limit);
    /// Removes all records of a shard without prepared writes. Later versions are above `version`.
    void clear(std::size_t n, std::uint64_t version = 0);

    std::uint64_t version(std::size_t n) const;  ///< the highest that was assigned or received
    std::size_t records(std::size_t n) const;
    std::size_t bytes(std::size_t n) const;
    std::size_t bytes_of_partner(std::size_t n, std::uint64_t partner) const;

private:
    struct Shard;
    std::optional<Error> too_long(const Write& write) const;
    Outcome prepare_in(Shard& shard, std::uint64_t hash, const Write& write, TimePoint now,
                       Prepared& prepared);

    TableSettings set_;
    std::unique_ptr<Shard[]> shards_;
};

}  // namespace ochrehub::shards
