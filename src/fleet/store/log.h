// What a keeper has written down: entries, its vote, snapshots. Records with checksums in segments; what is
// appended counts once `sync` has said so, all of it at once (group commit). A sync that failed is fatal:
// nothing goes on as though it were written. Not for two threads; calls block as long as the disk does.
//
// A record: length 4, checksum 8 (xxHash64, seeded by the cluster), then its payload: kind 1, number 8,
// synced 8, index 8, term 8, data. Numbers rise by one over all segments. `synced` is the last number that
// was known to be on the disk when the record was written: that is what tells a tail that a crash tore, which
// nobody was promised, from a record that was promised and is gone.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fleet/store/files.h"

namespace ochrehub::store {

/// what() names the file and what is wrong with it.
struct StoreError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Entry {
    std::uint64_t term = 0;
    std::string data;
    friend bool operator==(const Entry&, const Entry&) = default;
};
struct Vote {
    std::uint64_t term = 0;
    std::string who;  ///< empty: nobody, in this term
    friend bool operator==(const Vote&, const Vote&) = default;
};
struct Snapshot {
    std::uint64_t index = 0, term = 0;  ///< of the last entry that is in it
    std::string data;
    friend bool operator==(const Snapshot&, const Snapshot&) = default;
};

/// How it was found.
enum class Found {
    Empty,  ///< nothing was ever written here
    Whole,
    Torn,  ///< its tail was: nothing that was promised is missing
    Lost,  ///< something that was promised is gone. Stays so, over restarts, until `caught_up`
};

class Log {
public:
    struct Settings {
        std::uint64_t cluster = 0;  ///< a fingerprint: a folder of another cluster's is not read
        std::size_t segment = 8 << 20, record_most = 4 << 20;  ///< octets
    };

    /// Locks the folder and reads it. Throws StoreError: locked, another cluster's, of another version,
    /// unreadable.
    Log(Files& files, const Settings& settings);

    Found found() const { return found_; }
    /// It has all again that it may have promised, by another's word.
    bool caught_up();
    /// Whoever has it knows that something was promised which is not here: Lost from now on, until
    /// `caught_up`.
    bool lose();

    // What is there, appended things included, synced or not.
    std::uint64_t first() const {
        return first_;
    }  ///< index of the first entry; above `last` where there is none
    std::uint64_t last() const { return first_ + entries_.size() - 1; }
    const Entry& entry(std::uint64_t index) const { return entries_.at(index - first_); }
    std::uint64_t term(std::uint64_t index) const;  ///< also of the snapshot's last; 0: not known
    const Vote& vote() const { return vote_; }
    const std::optional<Snapshot>& snapshot() const { return snapshot_; }

    // To be made good by the next sync.
    void append(Entry entry);      ///< at last() + 1
    void cut(std::uint64_t from);  ///< entries from this index on are gone
    void vote(Vote vote);
    /// All before is on the disk. False: it is not, and nothing ever will be: `broken`.
    bool sync();
    /// Takes the place of the entries up to its index; of all where it goes beyond them. On the disk when it
    /// returns true.
    bool save(Snapshot snapshot);

    bool broken() const { return why_ != 0; }
    int why() const { return why_; }  ///< the errno that broke it

    /// For `verify`: reads a folder without changing it. One line a file, then what is found.
    static std::string verify(Files& files, const Settings& settings);

private:
    enum class Kind : std::uint8_t { Entry = 1, Cut, Vote };
    struct Record {
        Kind kind = Kind::Entry;
        std::uint64_t number = 0, synced = 0, index = 0, term = 0;
        std::string_view data;
    };
    struct Look {  ///< what a reading came to
        std::string report;
        bool torn = false, lost = false, any = false;
        std::string damaged, prefix;      ///< the first segment that is not whole, and what of it is
        std::vector<std::string> behind;  ///< segments that are not believed since
    };

    Log(Files& files, const Settings& settings, Look& look);
    static std::optional<Record> parse(std::string_view bytes, std::size_t at, std::uint64_t cluster,
                                       std::size_t most, std::size_t& size);
    void read(Look& look);
    void read_segment(const std::string& name, bool first, Look& look);
    void set_aside(const Look& look);
    bool promised(std::string_view rest) const;
    void take(const Record& record, Look& look);
    void read_snapshot(const std::string& name, Look& look);
    void put(Kind kind, std::uint64_t index, std::uint64_t term, std::string_view data);
    bool begin_segment();
    bool must(Error error) {
        if (error != 0 && why_ == 0) why_ = error;
        return why_ == 0;
    }

    Files& files_;
    Settings set_;
    Found found_ = Found::Empty;
    std::uint64_t first_ = 1, number_ = 0, synced_ = 0;
    std::deque<Entry> entries_;
    Vote vote_;
    std::optional<Snapshot> snapshot_;
    std::string segment_, pending_;
    std::size_t segment_size_ = 0;
    std::deque<std::pair<std::string, std::uint64_t>>
        segments_;  // names, and the highest index that each may hold
    int why_ = 0;
};

}  // namespace ochrehub::store
