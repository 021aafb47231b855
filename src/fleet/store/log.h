// The durable log of a consensus server: entries, its vote, snapshots. Responsible for what is readable after
// a crash or damage, and for telling a torn tail from lost data; the format is format.h's, disk access
// files.h's. Not thread-safe; calls block as long as the disk does. No clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/store/files.h"
#include "fleet/store/format.h"

namespace ochrehub::store {

/// The directory can't be used. what() names the file and what is wrong with it.
struct StoreError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Entry {
    std::uint64_t term = 0;
    std::string data;
    friend bool operator==(const Entry&, const Entry&) = default;
};
/// The paper's currentTerm and votedFor.
struct HardState {
    std::uint64_t term = 0;
    std::string voted_for;  ///< in this term; empty: nobody
    friend bool operator==(const HardState&, const HardState&) = default;
};
struct Snapshot {
    std::uint64_t last_included_index = 0;
    std::uint64_t last_included_term = 0;
    std::string data;
    friend bool operator==(const Snapshot&, const Snapshot&) = default;
};

/// What was found when the directory was opened.
enum class RecoveryResult {
    Empty,  ///< nothing was ever stored
    Intact,
    TornTail,  ///< a crash tore the end: nothing that was synced is missing
    DataLost,  ///< synced data is missing. Remains so, over restarts, until mark_recovered()
};

/// A log in segments, and at most one snapshot.
///
///     open -> appending -- sync() or save_snapshot() fails --> failed
///
/// What is appended is readable at once and durable once sync() returns true, all of it together (group
/// commit). After a failure nothing more is written, because the disk's content is unknown: every later sync
/// fails too.
///
/// Each record holds the number of the last record that was durable when it was written. That tells apart a
/// tail that a crash tore, which was never acknowledged, from a record that had been synced and is gone.
class Log {
public:
    struct Settings {
        std::uint64_t cluster_fingerprint = 0;   ///< files of another cluster are rejected
        std::size_t segment_bytes = 8 << 20;     ///< a new segment begins after a sync beyond this
        std::size_t max_record_bytes = 4 << 20;  ///< of an entry's data
    };

    /// Locks the directory and reads it. `files` must outlive the log. Throws StoreError: locked, of another
    /// cluster or version, unreadable, or not writable.
    Log(Files& files, const Settings& settings);

    RecoveryResult recovery_result() const { return recovery_result_; }
    /// The server holds again all that it may have acknowledged. False: failed.
    bool mark_recovered();
    /// The caller knows that acknowledged data is missing: DataLost from now on. False: failed.
    bool mark_data_lost();

    // The log's content, including what is not synced.
    std::uint64_t first_index() const { return first_index_; }  ///< may be last_index() + 1
    std::uint64_t last_index() const { return first_index_ + entries_.size() - 1; }
    /// `index`: from first_index() to last_index(); throws std::out_of_range elsewhere.
    const Entry& entry(std::uint64_t index) const { return entries_.at(index - first_index_); }
    /// Also of the snapshot's last included entry; zero: unknown.
    std::uint64_t term_at(std::uint64_t index) const;
    const HardState& hard_state() const { return hard_state_; }
    const std::optional<Snapshot>& snapshot() const { return snapshot_; }

    // Changes, durable after the next sync(). Each throws std::length_error where its data is too long.
    void append(Entry entry);           ///< at last_index() + 1
    void truncate(std::uint64_t from);  ///< deletes the entries from `from` on
    void set_hard_state(HardState hard_state);
    /// Makes all changes durable. False: failed.
    bool sync();
    /// Replaces the entries up to the snapshot's index; all of them where the log has another entry there, or
    /// none. Durable when it returns true. False: failed.
    bool save_snapshot(Snapshot snapshot);

    bool failed() const { return failure_ != 0; }
    Error failure() const { return failure_; }  ///< what failed first; zero: nothing

    struct Report {
        std::string text;        ///< one line for each file, then one for the log
        bool data_lost = false;  ///< see RecoveryResult::DataLost
    };
    /// Reads a directory without locking or changing it. Throws StoreError.
    static Report verify(Files& files, const Settings& settings);

private:
    struct Segment {
        std::string name;
        std::uint64_t max_index = 0;  ///< the highest index of an entry that it may hold
    };
    /// What reading the directory has found.
    struct ReadResult {
        std::string report;
        bool torn = false;  ///< a segment has an incomplete end that was never synced
        bool data_lost = false;
        bool any_file = false;
        std::string damaged_segment;              ///< the first that is not whole; empty: none
        std::string intact_prefix;                ///< of the damaged segment; empty: not a record
        std::vector<std::string> later_segments;  ///< after the damaged one: not used
    };

    /// Reads without locking or changing anything.
    Log(Files& files, const Settings& settings, ReadResult& result);

    // log_recovery.cpp
    void read(ReadResult& result);
    void read_snapshot(const std::string& name, ReadResult& result);
    void read_segment(const std::string& name, ReadResult& result);
    std::size_t replay_segment(std::string_view bytes, ReadResult& result);
    void replay(const Record& record, ReadResult& result);
    void replay_entry(const Record& record, ReadResult& result);
    bool shows_synced_data(std::string_view rest) const;
    void set_aside_damage(const ReadResult& result);
    std::string read_file(const std::string& name);

    // log.cpp
    void add_record(Record record);
    bool begin_segment();
    bool remove_if_exists(const std::string& name);
    bool drop_unneeded_files(const std::string& old_snapshot);
    ParseLimits parse_limits() const { return {settings_.cluster_fingerprint, settings_.max_record_bytes}; }
    bool succeeded(Error error);

    Files& files_;
    Settings settings_;
    RecoveryResult recovery_result_ = RecoveryResult::Empty;
    std::uint64_t first_index_ = 1;  ///< of entries_[0]
    std::deque<Entry> entries_;
    HardState hard_state_;
    std::optional<Snapshot> snapshot_;
    std::uint64_t last_number_ = 0;    ///< of the last record that was read or added
    std::uint64_t synced_number_ = 0;  ///< records up to this number are durable
    std::deque<Segment> segments_;     ///< by name; the last one is written to
    std::string segment_name_;         ///< of the one that is written to
    std::size_t segment_size_ = 0;     ///< of the same, bytes
    std::string pending_;              ///< encoded records that are not written yet
    Error failure_ = 0;                ///< see failure()
};

}  // namespace ochrehub::store
