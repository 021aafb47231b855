// Looks at keepers from outside at each event: what they send, write and apply, and what lies on their disks.
// It holds to Raft's promises (Ongaro 2014, figure 3.2) and to those of the core's header; never to a
// keeper's own word where its disk, or what all together did, says more.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/raft/raft.h"
#include "lab/raft/disk.h"

namespace ochrehub::lab {

/// The state that keepers hold: registers by key.
class Registers {
public:
    /// What a Propose bears, and its answer.
    static std::string command(char kind, const std::string& key, const std::string& value,
                               const std::string& expected);
    std::string apply(const std::string& command);
    std::string read(const std::string& key) const;
    std::string snapshot() const;
    void restore(const std::string& snapshot);

private:
    std::map<std::string, std::string> values_;
};

class Judge {
public:
    struct Side {  ///< one keeper as it is now
        raft::NodeId id = 0;
        const raft::Raft* core = nullptr;
        const VirtualDisk* disk = nullptr;
    };
    using Disks = std::map<raft::NodeId, const VirtualDisk*>;

    void members(const raft::Members& first) { members_[0] = first; }
    /// A keeper has begun anew.
    void started(raft::NodeId id);
    /// Behind each event, with what came of it, before any of it is done: `disks` as they are now.
    void after(const Side& side, const raft::Actions& actions, const Disks& disks);
    /// What this disk holds is about to be lost. That it was there counts for what is agreed on by an answer
    /// under way; who has lost it must not vote before it has it again.
    void loses(raft::NodeId id, const VirtualDisk& disk) { lost_[id].push_back(disk); }
    /// A proposal or a read was asked of `id`.
    void asked(std::uint64_t id, bool read) { open_[id] = read ? agreed_last() : 0; }

    std::uint64_t agreed_last() const { return agreed_.empty() ? 0 : agreed_.rbegin()->first; }
    std::uint64_t leaders() const { return leaders_.size(); }
    const std::vector<std::string>& broken() const { return broken_; }
    void fault(const std::string& what) {
        if (broken_.size() < 8) broken_.push_back(what);
    }

private:
    struct Agreed {
        std::uint64_t term = 0, by_term = 0;
        raft::Entry::Kind kind{};
        std::string data;
    };
    struct Seen {
        std::uint64_t previous_term = 0;
        raft::Entry::Kind kind{};
        std::string data;
    };

    void appended(const Side& side, const raft::Write& write);
    void led(const Side& side);
    void lacks(std::uint64_t term, std::uint64_t index);
    void committed(const Side& side, const Disks& disks);
    void sent(const Side& side, const raft::SendMessage& send);
    void answered(std::uint64_t id, const char* how);
    const raft::Members& members_at(std::uint64_t index) const {
        return std::prev(members_.upper_bound(index))->second;
    }

    struct Leader {
        raft::NodeId id = 0;
        std::uint64_t first = 1;
        std::vector<std::uint64_t> terms;  ///< of its entries from `first` on, when it began
        bool has(std::uint64_t index, std::uint64_t term) const {
            return index < first ||
                   (index - first < terms.size() && terms[std::size_t(index - first)] == term);
        }
    };
    std::map<std::uint64_t, Leader> leaders_;
    std::map<std::pair<std::uint64_t, std::uint64_t>, Seen> entries_;
    std::map<std::pair<raft::NodeId, std::uint64_t>, raft::NodeId> votes_;
    std::map<std::uint64_t, Agreed> agreed_;
    std::map<std::uint64_t, raft::Members> members_;  // that are agreed on, by their index
    std::map<std::uint64_t, std::uint64_t> states_;   // what the state as of an index comes to
    Registers state_;
    std::map<raft::NodeId, std::uint64_t> committed_, applied_;
    std::map<std::uint64_t, std::uint64_t>
        open_;  // asked and not answered; of a read: what was agreed on then
    std::map<raft::NodeId, std::vector<VirtualDisk>> lost_;
    std::map<std::uint64_t, std::uint64_t> sizes_;  // of snapshots that were sent, by index
    std::vector<std::string> broken_;
};

}  // namespace ochrehub::lab
