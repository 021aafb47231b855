// The interface of the decision module (src/rules.cpp): settings, events, actions, Balancer.
//
// One Balancer decides for one gateway. It is a pure state machine: the caller hands it every event with the
// time it happened and carries out the actions it returns, in order. It reads no clock, starts no thread and
// shares nothing. Servers, classes, tenants, zones and kinds are integers; whatever they are called stays
// with the caller.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ochrehub {

/// Marks the gateway's own clock, which only moves with the events handed in.
struct GatewayClock {};
using Duration = std::chrono::duration<double, std::milli>;
using TimePoint = std::chrono::time_point<GatewayClock, Duration>;

using RequestId = std::uint64_t;  ///< chosen by the caller, never reused within one Balancer's life
using ServerId = std::uint32_t;
inline constexpr int kNone = -1;  ///< index of an absent zone, kind or tenant

enum class Effect { Free, Guarded, SingleShot };  ///< safe to repeat / keyed / must never run twice
enum class Scope { All, Zone, Cell };             ///< which servers discard repeats of a keyed request

struct ClassSettings {
    Duration aim{};      ///< an answer within this earns the full worth
    Duration give_up{};  ///< how long a client waits over all its tries
    Duration window{};   ///< keyed: how long repeats are discarded, from the first attempt that may have run
    double late_worth = 0;
    double gain = 1;
    double aim_stretch = 0;
    Effect effect = Effect::SingleShot;
    Scope scope = Scope::All;
    bool stream = false;
};

struct TenantSettings {
    double quota_rps = 0;  ///< over all gateways
    double share = 0;
};

struct Settings {
    int balancers = 1;
    int me = kNone;    ///< this gateway's number among them, from 0; none: it is not told
    int zone = kNone;  ///< this gateway's own
    std::vector<ClassSettings> classes;
    std::vector<TenantSettings> tenants;
    bool must_ask = false;  ///< the server list is sent only to those who ask, and one place answers them all
    bool watches =
        false;  ///< changes come on a watch alone: also where an agent beside the node has the list already
    bool probes = true;
    bool probes_report_load = false;
    bool cancel = false;
    bool second_copies = false;
    bool retry_after = false;
    bool removal_not_binding = false;
    bool live_sizes =
        false;  ///< a listed size falls with what the server holds, and says nothing of what it can bear
    int max_attempts = 1;
    Duration max_retry_after{};
    Duration granularity{1};
    Duration connect_timeout{1000};  ///< a connection not up within this has failed
    Duration conn_idle{10000};       ///< servers close a connection that stood idle for this
    Duration grace_to_answer{};      ///< how late after the client's deadline a final answer still counts
    Duration cold_time{};
    double cold_from = 1;
    double overload_factor = 1;
    Duration tip_after{1000};
    double over_share_worth = 1;
    double price_cross_zone = 0;
    double price_probe = 0;       ///< for each probe, per first try
    double price_connection = 0;  ///< for 100 open connections a server
};

enum class Phase { Draining, Gone, Ready };

struct ListEntry {
    ServerId server = 0;
    std::uint64_t key = 0;  ///< the same number at every gateway; 0: `server` is that
    int zone = kNone;
    int kind = kNone;
    int cell = 0;
    Phase phase = Phase::Ready;
    double size = 1;
    std::optional<TimePoint> last_start;
};

struct LoadReport {
    std::optional<double> inflight;
    std::optional<double> queue;
    std::optional<double> util;
};

enum class Outcome { Ok, Error, Full, Timeout, ConnectFailed, Reset, Cancelled, Moot };

// Events.
enum class ListKind { Delta, Full, Cached, Failed };
struct ListUpdate {
    ListKind kind = ListKind::Full;
    std::vector<ListEntry> entries;
};
struct RequestArrived {
    RequestId request = 0;
    int class_index = 0;
    int tenant = kNone;
    std::optional<std::uint64_t> key;
    TimePoint give_up_at{};
    bool client_repeat = false;
    std::optional<Duration> effort;
    /// Its body is still coming, and goes to a server as it comes: nothing is late before it is there.
    bool uploading = false;
};
/// The last byte of such a request has come: its client's time runs from now.
struct Uploaded {
    RequestId request = 0;
    TimePoint give_up_at{};
};
struct AttemptEnded {
    RequestId request = 0;
    int attempt = 0;
    ServerId server = 0;
    Outcome outcome = Outcome::Ok;
    Duration elapsed{};
    bool concluded = false;  ///< the request has its final answer
    LoadReport report;
    bool replayable = true;  ///< the request can be sent again whole
};
struct StreamStarted {
    RequestId request = 0;
    int attempt = 0;
};
struct ProbeEnded {
    ServerId server = 0;
    Outcome outcome = Outcome::Ok;
    Duration elapsed{};
    LoadReport report;
};
struct ClientGone {
    RequestId request = 0;
};
struct Woken {};
/// Operators take a server out at `since`, whatever lists say of it from then on, or put it back. It returns
/// cold: started then, or where a list tells of a start while it was out, at that.
struct ByHand {
    std::uint64_t key = 0;  ///< that of its list entry, or its number where that has none
    bool out = false;
    TimePoint since{};
};
/// Another process of this gateway has begun to live beside this one, or has ended: budgets are for both.
struct Twinned {
    bool twin = false;
};
/// By how many gateways the tier's limits, budgets and quotas are divided from now on, and which of them this
/// one is (kNone: it is not known). Without it the settings' numbers count.
struct Sharers {
    int gateways = 1;  ///< 1 at least
    int me = kNone;
};
using Event = std::variant<ListUpdate, RequestArrived, AttemptEnded, StreamStarted, ProbeEnded, ClientGone,
                           Woken, ByHand, Twinned, Uploaded, Sharers>;

// Actions, to be carried out in order.
struct Forward {  ///< start the next attempt (numbered 0, 1, ... per request)
    RequestId request;
    ServerId server;
    Duration limit;  ///< its own time-out; zero: until the client gives up
    /// A repeat of what may have run: written by then or not at all, however late its connection comes up.
    TimePoint begin_by = TimePoint::max();
};
struct Refuse {  ///< final answer: the client may safely try again, best after retry_after (zero: no advice)
    RequestId request;
    Duration retry_after;
};
struct Fail {  ///< final answer: no assurance about its effect
    RequestId request;
};
struct Cancel {
    RequestId request;
    int attempt;
};
struct Probe {
    ServerId server;
    Duration limit;  ///< when to stop waiting for its answer
};
struct Close {  ///< close the idle connections to it
    ServerId server;
};
struct WatchList {};  ///< ask for the server list and its changes from now on
struct WakeAt {       ///< hand in Woken at the first chance at or after this time
    TimePoint at;
};
struct Log {
    std::string text;
};
using Action = std::variant<Forward, Refuse, Fail, Cancel, Probe, Close, WatchList, WakeAt, Log>;
using Actions = std::vector<Action>;

class Balancer {
public:
    Balancer(Settings settings, std::uint64_t seed);
    ~Balancer();
    Balancer(Balancer&&) noexcept;
    Balancer& operator=(Balancer&&) noexcept;

    /// Takes one event that happened at `now` (never earlier than the last) and appends what is to be done.
    void handle(TimePoint now, const Event& event, Actions& actions);

    /// Listed servers that are sent nothing new: out by hand, draining or Unhealthy. As of the last event.
    std::size_t avoided() const;

private:
    class Rules;
    std::unique_ptr<Rules> rules_;
};

}  // namespace ochrehub
