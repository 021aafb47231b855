// A day: everything that an emulated run is made of, as concrete figures drawn from a scenario and a seed.
// Both worlds, virtual time and sockets, play the same days.
#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

#include "ochrehub/balancer.h"

namespace ochrehub::lab {

// Times of a day count from its beginning at zero, in ms; a world puts its own beginning under them.

struct ClassFigures {
    std::string name;
    Idempotency effect = Idempotency::Idempotent;
    DeduplicationScope scope = DeduplicationScope::All;
    double share = 1;             ///< of first tries
    Duration work{15}, wait{35};  ///< CPU on a core of speed 1; waiting on others, which takes no CPU
    double spread = 1;            ///< coefficient of variation of both, lognormal
    Duration aim{150}, give_up{600}, window{};
    double worth = 1, late_worth = 0.5;
};
struct TenantFigures {
    std::string name;
    double share = 1;      ///< of what the fleet can do: its quota
    double usage = 1;      ///< what it asks for, as a multiple of that share
    double quota_rps = 0;  ///< over all nodes
};

struct ServerFigures {
    std::string id;  ///< as discovery names it
    int zone = 0, kind = 0, cell = 0;
    double size = 1;  ///< as listed
    double cores = 1, speed = 1;
    int slots = 14;            ///< requests in work together
    int room = 350;            ///< ... and waiting behind them; beyond that requests are turned away
    double crowd_from = 40;    ///< requests held from which it works less efficiently
    double crowd_cost = 0;     ///< part of its speed lost at twice that many; more beyond, up to 0.9
    double cold_from = 0.4;    ///< capacity at its start, as a part of the whole
    Duration cold_time{6000};  ///< until it is warm, at a steady climb
    bool starts_cold = false;  ///< at the beginning of the day, or when it is added
    int connections_most = 700;
    Duration handshake_work{4.5};
    double connections_tax = 0.3;  ///< part of its speed lost with a full connection table
    bool cancel_running =
        false;  ///< a connection closed by the node stops work on it; waiting work always goes
    bool drops_overdue = true;  ///< what waits past its X-Expires-In is turned away unseen
    Duration report_period{700}, report_delay{250};
    double report_noise = 0.03;
    Duration probe_work{0.24};
    int probes_most = 3;  ///< a second; further ones are answered 503
    double error_rate = 0.001;
    Duration idle_most{10000};
    Duration exists_from{0};  ///< before this time of the day there is no such process
    std::string address_of;   ///< takes the address of this id, which has gone; empty: one of its own
};

struct Arrival {
    Duration at{};
    int cls = 0, tenant = kNone, zone = 0;
    float work = 1, wait = 1;  ///< times the class's mean
    std::uint64_t key = 0;     ///< keyed classes: the change's; never zero
    bool over_share = false;
};

enum class FaultKind {
    Hang,        ///< servers take requests and answer none; probes are answered
    FastErrors,  ///< servers fail a part (size) of their requests at once
    Pauses,      ///< servers stand still for size ms every `every` s
    Slow,        ///< servers (all where none is named) are size times slower
    Crash,      ///< a server's process dies at `at` and comes back cold `length` later; gone where it is zero
    Silent,     ///< a server's machine says nothing any more: connections stay open or never come up
    Resets,     ///< servers break a part (size) of connections with a request on them
    Spoilt,     ///< a part (size) of answers of all servers cannot be used
    Drain,      ///< a server drains: listed as terminating, then gone at the end of the span
    Replace,    ///< a release: servers drain and are replaced by others under new ids, `count` at a time
    Partition,  ///< nothing passes between the two sides; one way only where `one_way`
    Datagrams,  ///< between nodes: a part (size) lost, or late, doubled, reordered by the other figures
    DiscoveryDown,
    DiscoveryMoves,  ///< to another address, told to nodes by reload
    DiscoveryStale,  ///< answers by a list as it was at the span's beginning, old revision included
    DiscoveryEmpty,  ///< lists nothing, under a new revision, and all of it again under another
    NodeKill,     ///< the process is gone at once; it starts again at the end of the span, if that is given
    NodeStall,    ///< stopped and continued (SIGSTOP, SIGCONT)
    NodeRestart,  ///< planned: SIGTERM, then a new process
    NodeReload,   ///< SIGHUP with the same configuration
    NodeMemory,   ///< a limit that binds: size MB from the start of the day
    NodeSockets,  ///< ... size descriptors
    Surge,        ///< arrivals times size; of one tenant only where `tenant` is given
    ConnectionFlood,  ///< `count` connections that never ask, renewed when closed
    Hostile,          ///< clients that send what cannot be read, size a second
};
struct Fault {
    FaultKind kind{};
    Duration at{}, length{};
    std::vector<int> servers, nodes, zones;  ///< whom it hits; empty: all where the kind allows it
    double size = 0;
    Duration every{};  ///< Pauses, Replace: the step
    int count = 0;
    int tenant = kNone;
    bool one_way = false;
    std::string between, and_;  ///< Partition: "nodes", "servers", "discovery", "clients" or "zone:NAME"
    double doubled = 0, reordered = 0;
    Duration late{};
    Duration end() const { return at + length; }
};

struct ClientFigures {
    int tries = 3;                 ///< further ones after the first
    double try_share = 0.55;       ///< a try is given up after this part of the class's give-up time
    Duration retry_after_wait{0};  ///< fixed wait before a repeat; zero: at once
    double honours = 0.5;          ///< part of the clients that come back when they are told to
    Duration most_honoured{1200};
    double impatient = 0.04;  ///< leave before their time is up
    bool marks_repeats = true;
    int connections_kept = 64;  ///< idle ones a node and zone, at most
    double once = 0;            ///< part that opens a connection for one request and keeps it for good
    int population = 0;    ///< a closed crowd of this many that reconnects and asks again; 0: open loop only
    Duration think{1000};  ///< ... this long after each end of a call
    double think_spread = 0;  ///< each such time is drawn, evenly, from so much less to so much more of it
    Duration again{-1};       ///< ... but so long after one that was not served; negative: as after any
};

struct DiscoveryFigures {
    Duration notice{2500};         ///< until it knows of a change
    Duration silent_notice{9000};  ///< ... of a process that does not answer any more
    Duration add{1200};            ///< ... of a new one
    double calls_per_s = 200;      ///< capacity; calls wait in turn
    Duration call_most{1000};      ///< a call that waits longer fails
    Duration watch_most{60000};
};

struct NetworkFigures {
    std::vector<std::string> zones;
    std::vector<std::vector<double>> ms;  ///< one way between zones
    double client_ms = 0.7;
    double jitter = 0.15;  ///< part of each delay, exponential on top
    double datagram_loss = 0;
};

struct NodeFigures {
    int zone = 0;
    std::size_t sockets = 1024, memory_mb = 192;
    Duration event_cpu{
        0};  ///< virtual time: what each thing that comes to it holds it up; zero: nothing does
};

struct Limits {
    int max_attempts = 5;
    Duration connect_timeout{75}, conn_idle{10000}, grace{8}, max_retry_after{1200};
    bool second_copies = false, cancel = true, probes = true, retry_after = true, must_ask = true;
    Duration stop_sending{2000}, ask_within{10000};
    double cold_from = 0.3, overload_factor = 3;
    Duration cold_time{8200}, tip_after{1500};
    double over_share_worth = 0.05;
    double price_probe = 0.03, price_cross_zone = 0.02, price_handshake = 0.02, price_waste = 0.05,
           price_late_fail = 0.05;
};

/// What the scenario promises: judged at the end, on the mean over seeds unless `each`.
struct Expectation {
    std::string figure;  ///< a path into the result, such as "worth.whole" or "classes.place-order.worth"
    enum class How { AtLeast, AtMost } how = How::AtLeast;
    double bound = 0;
    bool each = false;
    int line = 0;
};

struct Day {
    std::string scenario;
    std::uint64_t seed = 0;
    Duration length{20000};       ///< arrivals end here; then a day runs on until all is answered
    Duration counted_from{1000};  ///< worth is counted from here on
    std::vector<ClassFigures> classes;
    std::vector<TenantFigures> tenants;
    std::vector<std::string> kinds;
    std::vector<ServerFigures> servers;  ///< those that replacements bring too
    std::vector<NodeFigures> nodes;
    NetworkFigures network;
    DiscoveryFigures discovery;
    ClientFigures clients;
    Limits limits;
    std::vector<Fault> faults;      ///< by time; Replace is spelt out as drains and additions by the drawing
    std::vector<Arrival> arrivals;  ///< by time
    double capacity_rps = 0;        ///< what the fleet at the start can do, for this mix
    Duration front_notice{2000};    ///< until the front layer sees that a node has died
};

}  // namespace ochrehub::lab
