// A tier whose nodes go by the agreed list, in virtual time: keepers, nodes with every core as shipped,
// discovery that answers calls at a limited rate. Judged from what discovery told whom and when, and from
// what drained servers were still sent.
#pragma once

#include <memory>
#include <vector>

#include "fleet/leadership/endpoint_list_follower.h"
#include "fleet/leadership/endpoint_list_publisher.h"
#include "fleet/leadership/lease_holder.h"
#include "lab/leadership/keepers.h"
#include "lab/leadership/process.h"

namespace ochrehub::lab::leadership {

/// What errs on purpose, and what shows it.
enum class ListSaboteur {
    None,
    NeverAsksItself,   // an owner that hangs and goes on renewing
    CountsFromNews,    // a list counts as of when it was heard: an owner that hangs and goes on renewing
    ReportsUnasked,    // the owner reports the list as unchanged without having asked: nothing more is needed
    AsksAtOnce,        // no spread: discovery is flooded as the keepers go
    OwnerIgnoresTold,  // the owner goes by the agreed list alone: cut off from the keepers one way
};
inline constexpr std::size_t kListSaboteurs = 6;  ///< with None
std::string_view name(ListSaboteur saboteur);

struct ListSettings {
    std::size_t keepers = 3, nodes = 5, servers = 20;
    bool real = false;     ///< Raft, replicas and sessions as shipped; else their stand-in
    bool agreed = true;    ///< false: each node watches discovery by itself, as without keepers
    Duration every{3000};  ///< a server drains, is gone 3 s later, and another comes
    double calls_per_s = 200;
    Duration owner_wait{2000}, silence{6000}, own_wait{5000};
    Duration told_limit{2000}, ask_within{10'000};
    std::uint64_t seed = 1;
    ListSaboteur saboteur = ListSaboteur::None;
};

enum class Hit {
    Kill,
    Stop,
    CutToKeepers,
    CutFromKeepers,
    CutToDiscovery,
    CutFromDiscovery,
    Hang,
    KeepersGone,
    KeepersAndBack
};

struct ListOutcome {
    std::uint64_t calls = 0, failed = 0, drains = 0, requests_late = 0;
    double seconds = 0;
    std::vector<Duration> learnt;  ///< from discovery's listing to the last request a node sent there, sorted
    std::vector<std::string> wrong;
};

class ListWorld {
public:
    explicit ListWorld(const ListSettings& settings);
    ~ListWorld();
    void run_to(TimePoint at);
    /// Whoever owns the list when event n comes.
    void hit_at(std::uint64_t n, Hit hit, Duration back);
    void hit(Hit hit, Duration back);
    std::uint64_t events() const { return events_; }
    TimePoint now() const { return net_.now(); }
    std::optional<std::size_t> owner() const;
    std::uint64_t calls() const { return outcome_.calls; }
    ListOutcome outcome();

private:
    struct Node;
    struct Discovery;
    void event(std::size_t process);
    void undo_due();
    std::size_t discovery() const { return set_.keepers + set_.nodes; }

    ListSettings set_;
    Network net_;
    std::unique_ptr<House> keepers_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::unique_ptr<Discovery> discovery_;
    struct Plan {
        std::uint64_t event = 0;
        Hit hit{};
        Duration back{};
    };
    struct Undo {
        TimePoint at{};
        std::size_t process = 0;
        Hit hit{};
    };
    std::vector<Plan> plans_;
    std::vector<Undo> undos_;
    std::uint64_t events_ = 0;
    std::map<std::size_t, TimePoint> excused_;  // nodes that were stopped or killed, until when
    ListOutcome outcome_;
};

struct ListTrial {
    std::uint64_t runs = 0, drains = 0, wrong = 0, calls = 0, failed = 0;
    double seconds = 0;
    Duration worst{};
    std::string first;
    void add(ListWorld& world, const std::string& which);
};
/// The list's owner is hit at event `from`, `from + stride`, ... between the 5th and the 15th second; 45 s
/// each.
ListTrial hit_each(const ListSettings& settings, Hit hit, Duration back, std::uint64_t from,
                   std::uint64_t stride);
std::string_view name(Hit hit);
ListTrial list_shown_by(ListSaboteur what_for, ListSaboteur in_it);

}  // namespace ochrehub::lab::leadership
