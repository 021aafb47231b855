#include "lab/scenario/settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>
#include <stdexcept>

namespace ochrehub::lab::scenario {

namespace {

constexpr double kAnyShare = 1000;
constexpr double kTenMinutes = 600, kMinuteMs = 60000;

std::vector<const char*> fault_names() {
    std::vector<const char*> names;
    for (const FaultRule& rule : fault_rules()) names.push_back(rule.name);
    return names;
}

// clang-format off: as tables, an entry after the other
std::vector<Section> make_sections() {
    using enum Type;
    return {
        {"",
         false,
         "The top of the file, before any section.",
         {
             {"summary", Text, 0, 0, "", "", "What the scenario shows, in one line, for lists of scenarios.",
              "\"A server hangs for 10 s\""},
         }},
        {"day",
         false,
         "How long it lasts.",
         {
             {"length_s", Number, 0.1, kLongest, "s", "20",
              "Arrivals end here; then the day runs on until all is answered.", "30"},
             {"counted_from_s", Number, 0, kLongest, "s", "",
              "Worth is counted from here on: before that, nodes know nothing yet. Default: 1, of a day of "
              "less than 4 s "
              "a quarter.",
              "2"},
         }},
        {"load",
         false,
         "What is asked of the fleet. Arrivals wait for nobody (an open loop, Poisson).",
         {
             {"rate", Number, 0, kMostRate, "requests/s", "320",
              "First tries a second, over all zones. Counts where `utilisation` is not given.", "[280, 360]"},
             {"utilisation", Number, 0, 10, "part of the fleet's capacity", "",
              "The rate as a part of what the fleet at the start can do for this mix (cores x speed over the "
              "mean "
              "CPU work). Stands instead of `rate`.",
              "0.75"},
             {"shape",
              Choice,
              0,
              0,
              "",
              "\"steady\"",
              "Whether the rate stays or swings round its mean.",
              "[\"steady\", \"wave\"]",
              {"steady", "wave"}},
             {"swing", Number, 0, 0.95, "part of the rate", "[0.07, 0.2]", "How far a wave goes up and down.",
              "0.3"},
             {"period_s", Number, 0.1, kLongest, "s", "[10, 20]", "From crest to crest of a wave.", "12"},
             {"zone_skew", Number, 0, 0.95, "part", "[0.25, 0.6]",
              "How unevenly traffic is spread over the zones: the zone furthest off has so much more or less "
              "than "
              "its `traffic` says.",
              "0"},
             {"quota_of_capacity", Number, 0.01, 100, "part of the fleet's capacity", "[0.71, 0.94]",
              "All tenants' quotas together; each has its share of that.", "0.8"},
             {"quota_burst_s", Number, 0.01, 60, "s of quota", "1",
              "Depth of the token bucket that finds which arrivals are beyond a tenant's share.", "0.5"},
             {"repeat_keys", Number, 0, 1, "part of keyed calls", "0",
              "Calls that carry the key of the latest call of the same class and tenant, if that began "
              "within the "
              "class's window. All other keys are unique.",
              "0.05"},
         }},
        {"fleet",
         false,
         "The servers: how many, how they lie, and what they have in common.",
         {
             {"servers", Whole, 1, kMostServers, "servers", "[10, 13]", "Servers at the start.", "12"},
             {"cell_size", Window, 1, 1000, "servers", "[3, 5]",
              "A cell holds at least and at most so many servers of one zone, where the zone's number allows "
              "it.",
              "[3, 4]"},
             {"zone_skew", Number, 0, 0.95, "part", "[0.1, 0.4]",
              "How unevenly servers are spread over the zones, drawn apart from the traffic's.", "0"},
             {"cold_part", Number, 0, 1, "part of the servers", "0",
              "Servers that are cold as the day begins.", "0.3"},
             {"connections_most", Whole, 1, 65535, "connections", "[600, 900]",
              "Open connections that a server accepts.", "40"},
             {"handshake_work_ms", Number, 0, 1000, "ms of work", "[3.2, 6]",
              "What a new connection costs a server.", "5"},
             {"connections_tax", Number, 0, 0.9, "part of its speed", "[0.26, 0.4]",
              "What a server loses with a full connection table, and in proportion below.", "0"},
             {"report_period_ms", Number, 1, kMinuteMs, "ms", "[320, 1500]",
              "Load reports are renewed so often.", "500"},
             {"report_delay_ms", Number, 0, kMinuteMs, "ms", "[120, 470]",
              "... and are so old when they are.", "200"},
             {"report_noise", Number, 0, 1, "part of a value", "[0.006, 0.07]",
              "How far a reported value is off.", "0.02"},
             {"probe_work_ms", Number, 0, 1000, "ms of work", "[0.16, 0.32]", "What a probe costs a server.",
              "0.2"},
             {"probes_per_s", Whole, 0, 1000, "probes/s", "[1, 4]",
              "Probes that a server answers; further ones are told 503.", "3"},
             {"cancel_running", Switch, 0, 1, "", "[false, true]",
              "A connection closed by the node stops work on it; waiting work always goes.", "false"},
             {"drops_overdue", Switch, 0, 1, "", "[false, true]",
              "What waits past its X-Expires-In is turned away unseen.", "true"},
         }},
        {"kind",
         true,
         "A model of server. Naming any replaces both that are there otherwise; one with the name of "
         "a built-in one has that one's figures where it says nothing.",
         {
             {"name", Name, 0, 0, "", "", "As it is listed. Needed.", "\"fast-box\""},
             {"share", Number, 0, kAnyShare, "weight", "1", "Its part of the servers, over the sum of all.",
              "0.47"},
             {"cores", Number, 0.1, 256, "cores", "1", "Cores of one server.", "2"},
             {"speed", Number, 0.01, 100, "times", "[0.85, 1.1]",
              "Speed of a core; work is told for a speed of 1.", "[1.3, 1.7]"},
             {"speed_cv", Number, 0, 1, "coefficient of variation", "[0.1, 0.22]",
              "How much the servers of the kind differ in speed.", "0"},
             {"slots_per_core", Whole, 1, 10000, "requests", "[9, 23]", "Requests in work together.", "12"},
             {"room_per_core", Whole, 0, 100000, "requests", "[310, 630]",
              "Requests that wait behind them; more are turned away.", "400"},
             {"crowd_from_per_core", Number, 1, 100000, "requests", "[29, 63]",
              "Requests held from which a server works less efficiently.", "40"},
             {"crowd_cost", Number, 0, 1, "part of its speed", "0", "What it loses at twice that many.",
              "0.2"},
             {"cold_from", Number, 0.01, 1, "part of its capacity", "[0.31, 0.58]",
              "What a server can do as it starts; no less than `limits.cold_from`.", "0.4"},
             {"cold_s", Number, 0, kTenMinutes, "s", "[4, 7.6]",
              "From its start until it is warm; no longer than `limits.cold_s`.", "6"},
             {"error_rate", Number, 0, 1, "part of the requests", "[0, 0.0005]",
              "Requests that fail without any fault of the timeline.", "0"},
         },
         64},
        {"class",
         true,
         "A class of request. Naming any replaces all four that are there otherwise; one with the "
         "name of a built-in one has that one's figures where it says nothing.",
         {
             {"name", Name, 0, 0, "", "", "The first part of its path. Needed.", "\"stock-check\""},
             {"share", Number, 0, kAnyShare, "weight", "1", "Its part of the arrivals, over the sum of all.",
              "0.36"},
             {"work_ms", Number, 0.01, kMinuteMs, "ms of work", "15", "Mean CPU work on a core of speed 1.",
              "[11, 21]"},
             {"wait_ms", Number, 0, kMinuteMs, "ms", "35", "Mean wait on others, which takes no CPU.",
              "[26, 48]"},
             {"spread", Number, 0, 10, "coefficient of variation", "1",
              "Of work and of wait, both lognormal.", "[0.89, 1.4]"},
             {"aim_ms", Number, 1, kMinuteMs, "ms", "150", "An answer within this earns the full worth.",
              "150"},
             {"give_up_ms", Number, 1, kMinuteMs, "ms", "600", "How long a client waits over all its tries.",
              "600"},
             {"worth", Number, 0, kAnyShare, "points", "1", "Of an answer within the aim.", "5"},
             {"late_worth", Number, 0, 1, "part of the worth", "0.5", "... of one after it.", "0.25"},
             {"effect",
              Choice,
              0,
              0,
              "",
              "\"free\"",
              "`free`: may be repeated. `guarded`: carries a key, repeats are dropped for a while by the "
              "servers of "
              "one group. `single_shot`: must never run twice.",
              "\"guarded\"",
              {"free", "guarded", "single_shot"}},
             {"scope",
              Choice,
              0,
              0,
              "",
              "\"all\"",
              "`guarded`: the group that drops repeats.",
              "\"cell\"",
              {"all", "zone", "cell"}},
             {"window_ms", Number, 0, kTenMinutes * 1000, "ms", "5000", "`guarded`: how long it drops them.",
              "6000"},
         },
         64},
        {"tenant",
         true,
         "A customer. Naming any replaces all six that are there otherwise; one with the name of a "
         "built-in one has that one's figures where it says nothing.",
         {
             {"name", Name, 0, 0, "", "", "As X-Customer tells it. Needed.", "\"kayuh-utama\""},
             {"share", Number, 0, kAnyShare, "weight", "1", "Its part of all quotas, over the sum of all.",
              "0.36"},
             {"usage", Number, 0, 100, "times", "1",
              "What it asks for beside what its share says: arrivals are split by share x usage.",
              "[0.5, 1.4]"},
         },
         256},
        {"zone",
         true,
         "A data centre. Naming any replaces the three that are there otherwise. Where none is named "
         "and there are fewer nodes than three, so many of them are there.",
         {
             {"name", Name, 0, 0, "", "", "Needed.", "\"shah-alam\""},
             {"traffic", Number, 0, kAnyShare, "weight", "1",
              "Its part of the arrivals, over the sum of all, before `load.zone_skew`.", "3"},
             {"servers", Number, 0, kAnyShare, "weight", "1",
              "Its part of the servers, over the sum of all, before `fleet.zone_skew`.", "1"},
         },
         64},
        {"nodes",
         false,
         "The nodes. They stand in the zones in turn, those with traffic first.",
         {
             {"count", Whole, 1, kMostNodes, "nodes", "3", "Nodes; at least one for each zone with traffic.",
              "6"},
             {"sockets", Whole, 16, 1048576, "descriptors", "1024", "File descriptors that a node may hold.",
              "256"},
             {"memory_mb", Whole, 16, 1048576, "MB", "192", "Memory over which a node is killed.", "96"},
             {"event_cpu_us", Number, 0, 1e6, "us", "0",
              "In `simulate`: what each request, answer and close that comes to a node holds it up; a "
              "connection half as "
              "long, and what is sent away unread 0.35. "
              "A try takes two to four of them, so a node that has 0.3 of a core and needs 66 us a try has "
              "about "
              "80.",
              "80"},
         }},
        {"front",
         false,
         "The plain front layer that spreads clients over the nodes of their zone.",
         {
             {"notice_s", Number, 0, kTenMinutes, "s", "[0.93, 2.9]", "Until it sees that a node has died.",
              "2"},
         }},
        {"network",
         false,
         "Delays one way, without loss but where faults say so.",
         {
             {"same_ms", Number, 0, 1000, "ms", "[0.085, 0.33]", "Within a zone.", "0.2"},
             {"cross_ms", Number, 0, 1000, "ms", "[1.4, 2.6]", "Between two zones, drawn for each pair.",
              "2"},
             {"client_ms", Number, 0, 1000, "ms", "[0.32, 1.2]", "Between clients and nodes.", "0.7"},
             {"jitter", Number, 0, 10, "part of the delay", "[0.05, 0.25]", "Mean of what comes on top.",
              "0"},
             {"datagram_loss", Number, 0, 1, "part of the datagrams", "0", "Lost between nodes at all times.",
              "0.01"},
         }},
        {"clients",
         false,
         "What clients do.",
         {
             {"tries", Whole, 0, 20, "tries", "[2, 3]", "Further tries after the first, at most.", "3"},
             {"try_share", Number, 0.01, 1, "part of the give-up time", "[0.5, 0.6]",
              "A try is given up after this.", "0.55"},
             {"backoff",
              Choice,
              0,
              0,
              "",
              "[\"none\", \"fixed\"]",
              "Whether a further try waits.",
              "\"fixed\"",
              {"none", "fixed"}},
             {"backoff_ms", Number, 0, kMinuteMs, "ms", "[7.5, 60]", "The wait where it is `fixed`.", "20"},
             {"honours", Number, 0, 1, "part of the clients", "[0.34, 0.68]",
              "Come back when they are told to, up to `limits.max_retry_after_ms`.", "1"},
             {"impatient", Number, 0, 1, "part of the clients", "[0.02, 0.06]",
              "Leave before their time is up.", "0"},
             {"marks_repeats", Switch, 0, 1, "", "true", "A further try says so (X-Second-Try).", "false"},
             {"connections_kept", Whole, 0, 100000, "connections", "64",
              "Idle ones kept to each node by the clients of a zone, at most.", "16"},
             {"once", Number, 0, 1, "part of the clients", "0",
              "Open a connection for a single request and keep it for good.", "0.02"},
             {"population", Whole, 0, 100000, "clients", "0",
              "A closed crowd beside the arrivals: each asks again after its think time.", "150"},
             {"think_ms", Number, 0, kMinuteMs, "ms", "1000", "The crowd's, after each end of a call.",
              "500"},
             {"think_spread", Number, 0, 1, "part of that time", "0",
              "Each time is drawn, evenly, from so much less to so much more: a crowd that was served "
              "together "
              "does not stay in step.",
              "1"},
             {"again_ms", Number, 0, kMinuteMs, "ms", "",
              "The crowd's, after a call that was not served, in place of `think_ms`: people who press the "
              "key "
              "again. One who honours advice comes no sooner than advised, even where that is past the "
              "call's "
              "time.",
              "1500"},
         }},
        {"discovery",
         false,
         "The service that lists servers. It answers only when it is asked.",
         {
             {"notice_s", Number, 0, kTenMinutes, "s", "[0.97, 4.5]", "Until it knows of a change.", "2"},
             {"silent_notice_s", Number, 0, kTenMinutes, "s", "[4.7, 13]",
              "... of a process that does not answer any more.", "9"},
             {"add_s", Number, 0, kTenMinutes, "s", "[0.6, 1.8]", "... of a new one.", "1"},
             {"calls_per_s", Number, 0.1, 1e6, "calls/s", "200", "Its capacity; calls wait in turn.", "50"},
             {"call_most_ms", Number, 1, kMinuteMs, "ms", "1000", "A call that waits longer fails.", "500"},
             {"watch_most_s", Number, 1, kTenMinutes, "s", "60", "The longest watch.", "20"},
         }},
        {"limits",
         false,
         "The rules of the deployment and what nodes are told of them.",
         {
             {"max_attempts", Whole, 1, 100, "attempts", "5", "For a request.", "3"},
             {"connect_timeout_ms", Number, 1, kMinuteMs, "ms", "75",
              "A connection not up by then has failed.", "100"},
             {"conn_idle_s", Number, 0.1, kTenMinutes, "s", "10",
              "Servers close what has been idle for so long.", "5"},
             {"grace_ms", Number, 0, 1000, "ms", "8", "How late after its deadline an answer still counts.",
              "8"},
             {"max_retry_after_ms", Number, 0, kMinuteMs, "ms", "1200",
              "The longest advice that clients honour.", "1200"},
             {"second_copies", Switch, 0, 1, "", "false", "Two attempts may be out together.", "false"},
             {"cancel", Switch, 0, 1, "", "true", "Attempts may be called off.", "true"},
             {"probes", Switch, 0, 1, "", "true", "Servers answer probes.", "false"},
             {"retry_after", Switch, 0, 1, "", "true", "Refusals may say when to come back.", "true"},
             {"must_ask", Switch, 0, 1, "", "true", "Discovery tells only those who ask.", "true"},
             {"stop_sending_ms", Number, 0, kMinuteMs, "ms", "2000",
              "Nothing new goes to a server so long after the node was told that it drains or is gone.",
              "2000"},
             {"ask_within_s", Number, 0.1, kTenMinutes, "s", "10",
              "A node that has asked nothing for so long counts as told.", "10"},
             {"cold_from", Number, 0.01, 1, "part of the capacity", "0.3",
              "What a server can do at least as it starts.", "0.3"},
             {"cold_s", Number, 0, kTenMinutes, "s", "8.2", "It is warm by then.", "8.2"},
             {"overload_factor", Number, 1, 100, "times", "3",
              "A cold server sent more than this times what it can do, for `tip_after_ms`, falls over for "
              "good.",
              "3"},
             {"tip_after_ms", Number, 1, kMinuteMs, "ms", "1500", "See `overload_factor`.", "1500"},
             {"over_share_worth", Number, 0, 1, "part of the worth", "0.05",
              "Of traffic beyond a tenant's share.", "0.05"},
             {"price_probe", Number, 0, 1, "points of 1", "0.03", "Taken off for one probe a request.",
              "0.03"},
             {"price_cross_zone", Number, 0, 1, "points of 1", "0.02",
              "... each request crossing zones once.", "0.02"},
             {"price_handshake", Number, 0, 1, "points of 1", "0.02",
              "... a new connection for each request.", "0.02"},
             {"price_waste", Number, 0, 1, "points of 1", "0.05", "... as much work wasted as was asked for.",
              "0.05"},
             {"price_late_fail", Number, 0, 1, "points of 1", "0.05",
              "... all failing only after the wanted time.", "0.05"},
         }},
        {"faults",
         false,
         "Faults drawn from the seed, beside those spelt out as [[fault]].",
         {
             {"random", Names, 0, 0, "", "[]", "Kinds, of which one is drawn for each.",
              "[\"hang\", \"pauses\"]", fault_names()},
             {"count", Whole, 1, 100, "faults", "[1, 3]", "How many.", "2"},
             {"within_s", Window, 0, kLongest, "s", "",
              "Each begins in this span of the day. Default: from 15% to 60% of the day.", "[5, 12]"},
         }},
        {"fault",
         true,
         "A fault on the timeline. Which keys may stand, and what holds where they don't, depends on "
         "its kind: see the table of kinds.",
         {
             {"kind", Choice, 0, 0, "", "", "What happens. Needed, and a single one.", "\"hang\"",
              fault_names()},
             {"at_s", Number, 0, kLongest, "s", "",
              "When it begins. Needed, but for limits that hold all day.", "5"},
             {"for_s", Number, 0, kLongest, "s", "",
              "How long it lasts; it must end with the day. A length by default is cut at the day's end.",
              "[8, 12]"},
             {"servers", Targets, 0, kMostServers, "servers", "",
              "So many servers, drawn; or, as a list, those by their places in the fleet at the start, from "
              "0. A "
              "list is no range here.",
              "[0, 3]"},
             {"part", Number, 0, 1, "part of the servers", "",
              "So many servers of the fleet at the start (or of the `zones`), rounded down, but one at "
              "least.",
              "0.15"},
             {"zones", Names, 0, 0, "", "", "Only servers, nodes or traffic of these.", "[\"shah-alam\"]"},
             {"nodes", Targets, 0, kMostNodes, "nodes", "",
              "So many nodes, drawn; or, as a list, those, from 0.", "1"},
             {"size", Number, 0, 1e6, "by kind", "", "How bad it is: see the table of kinds.", "[0.4, 0.8]"},
             {"every_s", Number, 0.01, kLongest, "s", "",
              "From one pause, or one step of a release, to the next.", "3"},
             {"count", Whole, 1, 20000, "servers or connections", "",
              "Servers replaced in one step; connections of a flood.", "2"},
             {"tenant", Name, 0, 0, "", "", "A surge of this tenant alone.", "\"kayuh-utama\""},
             {"between", Text, 0, 0, "", "",
              "One side of a partition: `nodes`, `servers`, `discovery`, `clients` or `zone:NAME`. `nodes` "
              "and "
              "`servers` as keys narrow the side of that name.",
              "\"nodes\""},
             {"and", Text, 0, 0, "", "", "The other side.", "\"zone:cyberjaya\""},
             {"one_way", Switch, 0, 1, "", "false", "Only what goes from `between` to `and` is lost.",
              "true"},
             {"doubled", Number, 0, 1, "part of the datagrams", "0", "Datagrams that come twice.", "0.1"},
             {"reordered", Number, 0, 1, "part of the datagrams", "0", "Datagrams that are overtaken.",
              "0.1"},
             {"late_ms", Number, 0, kMinuteMs, "ms", "0", "Datagrams' delay beyond the usual.", "200"},
             {"drain_s", Number, 0.1, kTenMinutes, "s", "[2.5, 4]",
              "A replaced server drains for so long and is gone then.", "3"},
             {"start_s", Number, 0, kTenMinutes, "s", "[0.3, 1]",
              "So long after that the one in its place starts.", "0.5"},
             {"reuse_addresses", Number, 0, 1, "part of the new servers", "0.5",
              "New servers that take the old one's address.", "1"},
             {"again", Switch, 0, 1, "", "false",
              "Once all are replaced, go on with those that replaced them, until the span ends.", "true"},
         },
         1000},
    };
}

std::vector<FaultRule> make_rules() {
    using enum Hits;
    using K = FaultKind;
    const std::vector<const char*> servers = {"at_s", "for_s", "servers", "part", "zones"};
    const std::vector<const char*> nodes = {"at_s", "for_s", "nodes", "zones"};
    auto with = [](std::vector<const char*> keys, std::initializer_list<const char*> more) {
        keys.insert(keys.end(), more);
        return keys;
    };
    return {
        {"hang",
         K::Hang,
         SomeServers,
         servers,
         {"at_s"},
         "for_s = [8, 23]\npart = [0.051, 0.16]",
         0,
         0,
         "",
         true,
         "Servers take requests and answer none; probes are answered."},
        {"fast_errors",
         K::FastErrors,
         SomeServers,
         with(servers, {"size"}),
         {"at_s"},
         "for_s = [5.3, 30]\npart = [0.057, 0.2]\nsize = [0.44, 0.86]",
         0,
         1,
         "part of the requests",
         true,
         "Servers fail a part of their requests at once."},
        {"pauses",
         K::Pauses,
         SomeServers,
         with(servers, {"size", "every_s"}),
         {"at_s"},
         "for_s = [16, 31]\npart = [0.1, 0.5]\nsize = [38, 140]\nevery_s = [2, 4]",
         1,
         60000,
         "ms of a pause",
         true,
         "Servers stand still again and again."},
        {"slow",
         K::Slow,
         AllServers,
         with(servers, {"size"}),
         {"at_s"},
         "for_s = [3.1, 11]\nsize = [1.3, 2.6]",
         1,
         1000,
         "times slower",
         true,
         "Something that servers depend on makes them slower."},
        {"crash",
         K::Crash,
         SomeServers,
         servers,
         {"at_s"},
         "for_s = [2, 6]\nservers = 1",
         0,
         0,
         "",
         true,
         "A server's process dies and comes back cold at the span's end; never, where `for_s` is 0."},
        {"silent",
         K::Silent,
         SomeServers,
         servers,
         {"at_s"},
         "for_s = [6, 15]\nservers = 1",
         0,
         0,
         "",
         true,
         "A server's machine says nothing any more: connections stay open or never come up."},
        {"resets",
         K::Resets,
         SomeServers,
         with(servers, {"size"}),
         {"at_s"},
         "for_s = [5, 15]\npart = [0.05, 0.2]\nsize = [0.05, 0.3]",
         0,
         1,
         "part of the requests",
         true,
         "Servers break connections with a request on them."},
        {"spoilt",
         K::Spoilt,
         AllServers,
         with(servers, {"size"}),
         {"at_s"},
         "for_s = [5, 15]\nsize = [0.01, 0.1]",
         0,
         1,
         "part of the answers",
         true,
         "Answers cannot be used."},
        {"drain",
         K::Drain,
         SomeServers,
         servers,
         {"at_s"},
         "for_s = [3, 6]\nservers = 1",
         0,
         0,
         "",
         true,
         "A server is listed as terminating, and gone at the span's end."},
        {"replace",
         K::Replace,
         AllServers,
         with(servers, {"every_s", "count", "drain_s", "start_s", "reuse_addresses", "again"}),
         {"at_s"},
         "every_s = [2, 3]\ncount = 1",
         0,
         0,
         "",
         true,
         "A release: servers drain and others come in their place under new ids, cold, `count` at a time. "
         "Steps "
         "begin within the span (default: the rest of the day), as long as one ends within the day."},
        {"partition",
         K::Partition,
         Nothing,
         {"at_s", "for_s", "nodes", "servers", "between", "and", "one_way"},
         {"at_s", "between", "and"},
         "for_s = [3, 10]",
         0,
         0,
         "",
         true,
         "Nothing passes between two sides. At random: nodes and discovery, or two zones."},
        {"datagrams",
         K::Datagrams,
         AllNodes,
         with(nodes, {"size", "doubled", "reordered", "late_ms"}),
         {"at_s"},
         "for_s = [5, 15]\nsize = [0.05, 0.3]",
         0,
         1,
         "part lost",
         true,
         "Datagrams between nodes are lost, doubled, overtaken or late."},
        {"discovery_down",
         K::DiscoveryDown,
         Nothing,
         {"at_s", "for_s"},
         {"at_s"},
         "for_s = [3, 10]",
         0,
         0,
         "",
         true,
         "Discovery answers nobody."},
        {"discovery_moves",
         K::DiscoveryMoves,
         Nothing,
         {"at_s"},
         {"at_s"},
         "",
         0,
         0,
         "",
         true,
         "Discovery goes to another address, of which nodes are told by a reload."},
        {"discovery_stale",
         K::DiscoveryStale,
         Nothing,
         {"at_s", "for_s"},
         {"at_s"},
         "for_s = [5, 12]",
         0,
         0,
         "",
         true,
         "Discovery answers by the list as it was at the span's beginning, old revision included."},
        {"discovery_empty",
         K::DiscoveryEmpty,
         Nothing,
         {"at_s", "for_s"},
         {"at_s"},
         "for_s = [1, 4]",
         0,
         0,
         "",
         true,
         "Discovery lists no server, and then all of them again."},
        {"node_kill",
         K::NodeKill,
         SomeNodes,
         nodes,
         {"at_s"},
         "for_s = [1, 3]\nnodes = 1",
         0,
         0,
         "",
         true,
         "A node's process is gone at once; another starts at the span's end, or never where `for_s` is 0."},
        {"node_stall",
         K::NodeStall,
         SomeNodes,
         nodes,
         {"at_s"},
         "for_s = [0.5, 2]\nnodes = 1",
         0,
         0,
         "",
         true,
         "A node is stopped and continued (SIGSTOP, SIGCONT)."},
        {"node_restart",
         K::NodeRestart,
         SomeNodes,
         nodes,
         {"at_s"},
         "for_s = [3.8, 4.2]\nnodes = 1",
         0,
         0,
         "",
         true,
         "A planned restart: SIGTERM; the new process starts at the span's end, and the old one is killed by "
         "then "
         "if it has not ended."},
        {"node_reload",
         K::NodeReload,
         AllNodes,
         {"at_s", "nodes", "zones"},
         {"at_s"},
         "",
         0,
         0,
         "",
         true,
         "SIGHUP with the same configuration."},
        {"node_memory",
         K::NodeMemory,
         AllNodes,
         {"nodes", "zones", "size"},
         {"size"},
         "",
         16,
         1e6,
         "MB",
         false,
         "A memory limit that binds all day, instead of `nodes.memory_mb`."},
        {"node_sockets",
         K::NodeSockets,
         AllNodes,
         {"nodes", "zones", "size"},
         {"size"},
         "",
         16,
         1e6,
         "descriptors",
         false,
         "A descriptor limit that binds all day, instead of `nodes.sockets`."},
        {"surge",
         K::Surge,
         Nothing,
         {"at_s", "for_s", "zones", "size", "tenant"},
         {"at_s"},
         "for_s = [3, 10]\nsize = [1.3, 2]",
         0,
         1000,
         "times the arrivals",
         true,
         "Arrivals are more, or fewer below 1, in all or of a tenant or some zones."},
        {"connection_flood",
         K::ConnectionFlood,
         AllNodes,
         with(nodes, {"count"}),
         {"at_s"},
         "for_s = [5, 15]\ncount = [200, 400]",
         0,
         0,
         "",
         true,
         "Connections that never ask, renewed when they are closed."},
        {"hostile",
         K::Hostile,
         AllNodes,
         with(nodes, {"size"}),
         {"at_s"},
         "for_s = [5, 15]\nsize = [5, 50]",
         0.01,
         10000,
         "a second",
         true,
         "Clients that send what cannot be read."},
    };
}

// clang-format on

/// Edits that make one word of the other; two letters that changed places count as one.
std::size_t distance(std::string_view a, std::string_view b) {
    std::vector<std::size_t> before(b.size() + 1), last(b.size() + 1), row(b.size() + 1);
    std::iota(last.begin(), last.end(), 0);
    for (std::size_t i = 1; i <= a.size(); ++i) {
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            row[j] = std::min({last[j] + 1, row[j - 1] + 1, last[j - 1] + (a[i - 1] != b[j - 1])});
            if (i > 1 && j > 1 && a[i - 1] == b[j - 2] && a[i - 2] == b[j - 1])
                row[j] = std::min(row[j], before[j - 2] + 1);
        }
        before = last;
        last = row;
    }
    return last.back();
}

}  // namespace

const Setting* Section::find(std::string_view key) const {
    for (const Setting& setting : settings)
        if (key == setting.name) return &setting;
    return nullptr;
}

const std::vector<Section>& sections() {
    static const std::vector<Section> all = make_sections();
    return all;
}

const Section& section(std::string_view name) {
    for (const Section& each : sections())
        if (name == each.name) return each;
    throw std::logic_error("no section " + std::string(name));
}

bool FaultRule::may(std::string_view key) const {
    return std::any_of(takes.begin(), takes.end(), [&](const char* each) { return key == each; });
}

const std::vector<FaultRule>& fault_rules() {
    static const std::vector<FaultRule> all = make_rules();
    return all;
}

const FaultRule* fault_rule(std::string_view name) {
    for (const FaultRule& rule : fault_rules())
        if (name == rule.name) return &rule;
    return nullptr;
}

std::string nearest(std::string_view word, const std::vector<std::string>& known) {
    std::string best;
    std::size_t least = std::max<std::size_t>(2, word.size() / 3) + 1;
    for (const std::string& name : known) {
        std::size_t far = distance(word.substr(0, 64), name);
        if (far < least && far < name.size()) {
            least = far;
            best = name;
        }
    }
    return best;
}

std::string plain(double value) {
    std::string text = fmt::format("{:.6f}", value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.') text.pop_back();
    return text;
}

const char* const kDeployment = R"(
[[kind]]
name = "fast-box"
share = [0.4, 0.54]
speed = [1.3, 1.7]
speed_cv = [0.087, 0.23]
room_per_core = [220, 530]
cold_from = [0.3, 0.45]
cold_s = [4.7, 8.2]
error_rate = [0, 0.002]
[[kind]]
name = "std-box"
share = [0.45, 0.61]

[[class]]
name = "stock-check"
share = 0.36
work_ms = [11, 21]
wait_ms = [26, 48]
spread = [0.89, 1.4]
aim_ms = 150
give_up_ms = 600
worth = 5
late_worth = 0.5
[[class]]
name = "price-look"
share = 0.3
work_ms = [17, 32]
wait_ms = [20, 36]
spread = [1.1, 1.5]
aim_ms = 200
give_up_ms = 500
worth = 3
late_worth = 0.25
[[class]]
name = "place-order"
share = 0.18
work_ms = [42, 77]
wait_ms = [95, 180]
spread = [0.78, 1.5]
aim_ms = 600
give_up_ms = 2500
worth = 8
late_worth = 0.3
effect = "single_shot"
[[class]]
name = "order-change"
share = 0.16
work_ms = [43, 77]
wait_ms = [96, 180]
spread = [0.71, 1.4]
aim_ms = 600
give_up_ms = 1200
worth = 3
late_worth = 0.25
effect = "guarded"
scope = "cell"
window_ms = 6000

[[tenant]]
name = "kayuh-utama"
share = 0.36
usage = [0.53, 1.3]
[[tenant]]
name = "pedal-selatan"
share = 0.3
usage = [0.66, 1.4]
[[tenant]]
name = "basikal-timur"
share = 0.1
usage = [0.53, 1.4]
[[tenant]]
name = "gear-pantai"
share = 0.09
usage = [0.5, 1.4]
[[tenant]]
name = "sprocket-utara"
share = 0.08
usage = [0.54, 1.3]
[[tenant]]
name = "jalan-kecil"
share = 0.07
usage = [0.71, 1.2]

[[zone]]
name = "shah-alam"
[[zone]]
name = "cyberjaya"
[[zone]]
name = "seremban"
)";

}  // namespace ochrehub::lab::scenario
