// Keyed records in shards, `Shard = {mutex, records, deadlines}`, for several threads at once. A shard is
// picked by the key's hash. One shard's lock is taken at a time, or two in the order of their numbers;
// nothing is called back under one, and nothing waits under one.
//
// A record is octets that the table does not read, with a kind, the number of their schema, and a version
// that rises for ever within its shard: whoever read version v may write only if it still is v. Records end
// by themselves. Memory is bounded shard by shard, in all and for each partner, so that bounds are the same
// at both holders of a shard and no count is shared by all threads. What does not fit is refused; nothing is
// forgotten before its end.
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
    std::size_t max_bytes = 256 << 20;         ///< of all shards: each has its equal part
    std::size_t max_partner_bytes = 32 << 20;  ///< ... and each partner has at most this much of them
    std::size_t max_key_bytes = 256;           ///< octets of one
    std::size_t max_payload_bytes = 16 << 10;  ///< octets of one
    Duration max_lifetime{86'400'000};         ///< the longest that a record lives behind its last write
};
/// What a record costs beyond the octets of its key and content.
inline constexpr std::size_t kRecordOverheadBytes = 160;

/// Who a record's memory is counted for.
std::uint64_t partner_id(std::string_view name);
/// `shards` is a power of two.
std::size_t shard_of(std::uint16_t kind, std::string_view key, std::size_t shards);

struct Record {
    std::uint16_t kind = 0;
    std::uint32_t schema = 0;
    std::uint64_t partner = 0, version = 0;
    std::uint64_t request = 0;  ///< of the last write, chosen by whoever wrote it
    Duration lifetime{};        ///< what is left of it
    std::string key, payload;
    friend bool operator==(const Record&, const Record&) = default;
};

struct Write {
    Record record;  ///< version is not read
    std::optional<std::uint64_t>
        expected_version;  ///< the version that must be there; zero: no record. Nothing: whatever is there
    bool erase = false;
};
struct Outcome {
    std::optional<Error> error;
    std::uint64_t version = 0;      ///< of what was written; erased: that of the erasing
    std::optional<Record> current;  ///< Changed: what is there
};
/// A write that was found possible and has its version and memory, and is not done yet.
struct Prepared {
    std::size_t shard = 0;
    Record record;
    bool erase = false;
    std::size_t reserved_bytes = 0;  ///< set aside
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

    /// False: none, or its end has come. `record` keeps its memory from call to call.
    bool find(std::uint16_t kind, std::string_view key, TimePoint now, Record& record) const;
    Outcome write(const Write& write, TimePoint now);
    /// Both or neither; two keys that are not the same.
    std::optional<Error> write_two(const Write& a, const Write& b, TimePoint now);

    // A holder's way: the version and the memory first, the record once the second holder has it. Between the
    // two nobody else may write the key.
    Outcome prepare(const Write& write, TimePoint now, Prepared& prepared);
    void commit(Prepared&& prepared, TimePoint now);
    void abandon(const Prepared& prepared);

    /// A copy of what another holder has written: as it is, bounds aside, unless what is here is as new.
    void copy(const Record& record, TimePoint now);
    void erase_copy(std::uint16_t kind, std::string_view key, std::uint64_t version);

    /// At most `limit` records from place `from` on, appended; returns the place to go on from, nothing at
    /// the end. What is there from a scan's beginning to its end is seen once; what comes and goes meanwhile
    /// may be.
    std::optional<std::size_t> scan(std::size_t n, std::size_t limit, std::size_t from, TimePoint now,
                                    std::vector<Record>& records) const;
    /// Ends at most `limit` records whose time has come.
    std::size_t expire(std::size_t n, TimePoint now, std::size_t limit);
    /// Versions go on from `version` at least. Nothing of it may be prepared.
    void clear(std::size_t n, std::uint64_t version = 0);

    std::uint64_t version(std::size_t n) const;  ///< the highest that was given or taken
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
