#include "lab/model/clients.h"

#include <algorithm>
#include <utility>

#include "lab/model/alarms.h"
#include "lab/model/front_layer.h"
#include "lab/model/mixer.h"

namespace ochrehub::lab {
namespace {

using Place = std::uint32_t;
constexpr Place kNoPlace = ~Place{0};

/// A TryId is its call's place and a serial number, mixed one to one: unlike any other, and found without a
/// table.
constexpr int kPlaceBits = 26;
constexpr std::uint64_t kPlaceMask = (std::uint64_t{1} << kPlaceBits) - 1;

/// A closed crowd that does not think at all would ask for ever at one instant where no node is there.
constexpr Duration kLeastThink{1};
constexpr Duration kFloodStep{10};
constexpr std::size_t kFloodBatch = std::size_t(kFloodOpensPerSecond / 100);
constexpr double kHostileMostPerSecond = 10000;

enum Salt : std::uint64_t {
    kIds = 10,
    kHabits,
    kLeaving,
    kCrowdStart,
    kCrowdZone,
    kCrowdCall,
    kCrowdKey,
    kChoice,
    kHostileChoice,
    kCrowdThink
};

/// What a try came to, as far as it decides whether the call may be tried again.
enum class Came {
    Refused,      ///< trying again is harmless
    Unreachable,  ///< the node has not read it
    Failed,       ///< it may have run
};

/// Where connections of one use stand, the one that was put in last behind.
struct Line {
    Place first = kNoPlace, last = kNoPlace;
    std::size_t count = 0;
};

struct Call {
    enum class Stage : std::uint8_t { Over, Out, Waiting };

    CallId id = 0;
    std::uint64_t serial = 0;  ///< of the try that is out
    std::uint64_t key = 0;
    TimePoint ends_at{};        ///< no try goes on beyond it
    TimePoint try_ends_at{};    ///< of the try that is out; Waiting: when the next one begins
    TimePoint leaves_at{};      ///< kNever: it is patient
    TimePoint tried_at{};       ///< when the last try was sent
    TimePoint may_run_since{};  ///< when the first one that may have run was sent; kNever: none
    Duration work{}, wait{};
    Place connection = kNoPlace;
    Place member = kNoPlace;  ///< of the crowd
    int cls = 0, tenant = kNobody, zone = 0;
    int tries = 0;
    Stage stage = Stage::Over;
    bool honours = false, once = false;
    Heard heard = Heard::Failed;
    Duration advised{};  ///< by the last refusal, to one who honours it
};

struct Connection {
    enum class Use : std::uint8_t { None, Try, Idle, ForGood, Member, Flood, Hostile, GivenUp };

    std::uint32_t life = 0;
    NodeNo node = 0;
    int zone = 0;
    Place owner = kNoPlace;                      ///< the call whose try is out, the member or the attack
    Place before = kNoPlace, behind = kNoPlace;  ///< in its line
    TimePoint since{};                           ///< Hostile: opened; GivenUp: its try was given up
    TryId tried = 0;                             ///< GivenUp: the try that is still out on it
    Use use = Use::None;
    bool answered =
        false;  ///< it has carried a whole answer: from then on the node may close it between requests
};

struct Member {
    Place connection = kNoPlace;  ///< while no try is out on it
    int zone = 0;
    bool thinking = true;
};

struct Attack {
    const Fault* fault = nullptr;
    TimePoint from{}, until{};
    bool flood = false, over = false;
    Line open;
    std::uint64_t opened = 0, turn = 0;
    TimePoint next{};  ///< Flood: no connection before this
};

}  // namespace

class Clients::State {
public:
    State(const Day& day, TimePoint start, std::uint64_t seed)
        : day_(day),
          start_(start),
          ends_(start + day.length),
          seed_(seed),
          id_seed_(drawn(seed, kIds, 0)),
          front_(day) {
        std::size_t zones = std::max<std::size_t>(1, day.network.zones.size());
        for (const NodeFigures& node : day.nodes)
            zones = std::max(zones, std::size_t(std::max(0, node.zone)) + 1);
        zones_ = zones;
        idle_.resize(zones * day.nodes.size());
        next_crowd_call_ = day.arrivals.size();
        for (int i = 0; i < day.clients.population; ++i) {
            members_.push_back({kNoPlace, crowd_zone(std::uint64_t(i)), true});
            double at = part_of(drawn(seed, kCrowdStart, std::uint64_t(i)));
            crowd_.set(Place(i), start_ + at * std::max(day.clients.think, kLeastThink));
        }
        asking_ = members_.size();
        for (const Fault& fault : day.faults) {
            bool flood = fault.kind == FaultKind::ConnectionFlood;
            if (!flood && fault.kind != FaultKind::Hostile) continue;
            if (flood ? fault.count <= 0 : !(fault.size > 0)) continue;
            Attack attack;
            attack.fault = &fault;
            attack.flood = flood;
            attack.from = start_ + fault.at;
            attack.until = fault.length > Duration{} ? std::min(start_ + fault.end(), ends_) : ends_;
            if (attack.until <= attack.from) continue;
            alarms_.set(Place(attacks_.size()), attack.from);
            attacks_.push_back(attack);
        }
    }

    void handle(TimePoint now, const ClientEvent& event, ClientActions& actions) {
        now_ = now;
        out_ = &actions;
        std::visit([this](const auto& e) { on(e); }, event);
        TimePoint due = next_due();
        if (due < armed_) {
            armed_ = due;
            out_->emplace_back(WakeClientsAt{due});
        }
        out_ = nullptr;
    }

    bool done() const {
        return open_calls_ == 0 && given_up_.count == 0 && next_arrival_ == day_.arrivals.size() &&
               asking_ == 0;
    }
    std::size_t connections() const { return connections_.size() - free_connections_.size(); }
    std::size_t open_calls() const { return open_calls_; }
    std::size_t places() const { return calls_.size() + connections_.size(); }

private:
    // ---- events

    void on(const NodeUp& e) { front_.up(e.node); }
    void on(const NodeDown& e) { front_.down(now_, e.node, e.told); }

    void on(const Answered& e) {
        std::uint64_t raw = unmixed(e.id) ^ id_seed_;
        Place place = Place(raw & kPlaceMask);
        // A try that was given up meanwhile: its answer crossed the close of the connection.
        if (place >= calls_.size()) return;
        Call& call = calls_[place];
        if (call.stage != Call::Stage::Out || call.serial != raw >> kPlaceBits) return came_late(e.id);
        Place connection = call.connection;
        call.connection = kNoPlace;
        connections_[connection].answered = true;
        if (e.closes)
            close(connection);
        else
            rest(connection, call);
        call.heard = e.heard;
        if (e.heard == Heard::Served)
            finish(place);
        else
            go_on(place, e.heard == Heard::Refused ? Came::Refused : Came::Failed, e.advice);
    }

    void on(const ConnectionLost& e) {
        Place place = Place(e.connection);
        if (place >= connections_.size()) return;
        Connection& lost = connections_[place];
        if (lost.use == Connection::Use::None || lost.life != e.connection >> 32) return;
        Connection::Use use = lost.use;
        Place owner = lost.owner;
        NodeNo node = lost.node;
        bool answered = lost.answered;
        TryId tried = lost.tried;
        forget(place);
        switch (use) {
            case Connection::Use::Try:
                lost_try(owner, e, answered);
                break;
            case Connection::Use::Member:
                lost_by_member(owner, e.node_gone || !front_.is_up(node));
                break;
            case Connection::Use::GivenUp:
                note(TryLost{now_, tried, e.node_gone || e.before_any});
                break;
            case Connection::Use::Flood:
                if (!attacks_[owner].over) {
                    Attack& attack = attacks_[owner];
                    alarms_.set(owner, std::min(attack.until, std::max(now_, attack.next)));
                }
                break;
            default:
                break;
        }
    }

    void on(const ClientsWoken&) {
        if (now_ >= armed_) armed_ = kNever;
        // At one instant: what calls wait for, then the crowd, then the hostile, then arrivals. An arrival of
        // that instant so finds the connections that have just come free.
        while (true) {
            TimePoint due = next_due();
            if (due > now_) break;
            if (given_up_due() == due) {
                hang_up(given_up_.first);
            } else if (waits_.due() == due) {
                Place place = waits_.first();
                waits_.clear(place);
                time_is_up(place);
            } else if (crowd_.due() == due) {
                Place member = crowd_.first();
                crowd_.clear(member);
                member_asks(member);
            } else if (alarms_.due() == due) {
                Place attack = alarms_.first();
                alarms_.clear(attack);
                if (attacks_[attack].flood)
                    flood(attack);
                else
                    hostile(attack);
            } else {
                CallId id = next_arrival_++;
                const Arrival& arrival = day_.arrivals[id];
                begin(id, arrival, start_ + arrival.at, kNoPlace);
            }
        }
    }

    TimePoint next_due() const {
        TimePoint due = std::min({given_up_due(), waits_.due(), crowd_.due(), alarms_.due()});
        if (next_arrival_ < day_.arrivals.size())
            due = std::min(due, start_ + day_.arrivals[next_arrival_].at);
        return due;
    }

    // ---- calls

    void begin(CallId id, const Arrival& arrival, TimePoint begun, Place member) {
        const ClassFigures& cls = day_.classes[std::size_t(arrival.cls)];
        Place place;
        if (free_calls_.empty()) {
            place = Place(calls_.size());
            calls_.emplace_back();
        } else {
            place = free_calls_.back();
            free_calls_.pop_back();
        }
        ++open_calls_;
        Call& call = calls_[place];
        call = Call{};
        call.id = id;
        call.key = arrival.key;
        call.ends_at = begun + cls.give_up;
        call.may_run_since = kNever;
        call.work = cls.work * double(arrival.work);
        call.wait = cls.wait * double(arrival.wait);
        call.member = member;
        call.cls = arrival.cls;
        call.tenant = arrival.tenant;
        call.zone = arrival.zone;
        // One draw holds the three habits, 21 bits for each.
        std::uint64_t habits = drawn(seed_, kHabits, id);
        auto habit = [&](int which, double part) {
            return double(habits >> (21 * which) & 0x1fffff) * 0x1p-21 < part;
        };
        call.once = member == kNoPlace && habit(0, day_.clients.once);
        call.honours = habit(1, day_.clients.honours);
        call.leaves_at = habit(2, day_.clients.impatient)
                             ? begun + part_of(drawn(seed_, kLeaving, id)) * cls.give_up
                             : kNever;
        note(CallBegan{begun, id, arrival.cls, arrival.tenant, arrival.zone, arrival.over_share,
                       call.honours});
        if (now_ >= call.leaves_at)  // the wake came later than this client would have stayed
            finish(place);
        else
            try_it(place);
    }

    /// Tries until one is out, or the call waits for its next one, or is over.
    void try_it(Place place) {
        Call& call = calls_[place];
        while (true) {
            if (now_ >= call.ends_at) return finish(place);
            const ClassFigures& cls = day_.classes[std::size_t(call.cls)];
            call.try_ends_at = std::min(now_ + day_.clients.try_share * cls.give_up, call.ends_at);
            call.tried_at = now_;
            ++call.tries;
            do call.serial = ++serial_;
            while (id_of(place) == 0);
            if (send(place, false)) {
                call.stage = Call::Stage::Out;
                waits_.set(place, std::min(call.try_ends_at, call.leaves_at));
                return;
            }
            call.heard = Heard::Failed;
            if (!again(place, Came::Unreachable, std::nullopt)) return;
        }
    }

    void go_on(Place place, Came came, std::optional<Duration> advice) {
        if (again(place, came, advice)) try_it(place);
    }

    /// True: the next try goes out now. False: the call is over, or waits for it.
    bool again(Place place, Came came, std::optional<Duration> advice) {
        Call& call = calls_[place];
        const ClientFigures& habits = day_.clients;
        const ClassFigures& cls = day_.classes[std::size_t(call.cls)];
        // What was refused may have run too where a keyed class's group is all: its window begins with it.
        if (came != Came::Unreachable && call.may_run_since == kNever) call.may_run_since = call.tried_at;
        Duration wait = habits.retry_after_wait;
        call.advised = Duration{};
        if (came == Came::Refused && advice && call.honours)
            wait = call.advised = std::clamp(*advice, Duration{}, std::max(Duration{}, habits.most_honoured));
        TimePoint at = now_ + std::max(wait, Duration{});
        bool may = came != Came::Failed || cls.effect == Idempotency::Idempotent ||
                   (cls.effect == Idempotency::IdempotentWithKey && cls.scope == DeduplicationScope::All &&
                    at < call.may_run_since + cls.window);
        // One that would come back after its time does not wait for it either.
        if (!may || call.tries > habits.tries || at >= call.ends_at) {
            finish(place);
            return false;
        }
        if (at <= now_) return true;
        call.stage = Call::Stage::Waiting;
        call.try_ends_at = at;
        waits_.set(place, std::min(at, call.leaves_at));
        return false;
    }

    void time_is_up(Place place) {
        Call& call = calls_[place];
        bool leaves = now_ >= call.leaves_at;
        if (call.stage == Call::Stage::Waiting) return leaves ? finish(place) : try_it(place);
        Place connection = call.connection;
        call.connection = kNoPlace;
        if (leaves) {
            note(TryLeft{now_, id_of(place)});
            close(connection);
        } else {
            give_up(connection, id_of(place));
        }
        call.heard = Heard::Failed;
        if (leaves)
            finish(place);
        else
            go_on(place, Came::Failed, std::nullopt);
    }

    // A try that is given up is over for its call. Its connection stays for a moment more, so that an answer
    // that comes too late is heard, and can be told from one that never comes.
    void give_up(Place connection, TryId id) {
        Connection& it = connections_[connection];
        it.use = Connection::Use::GivenUp;
        it.since = now_;
        it.tried = id;
        put_in(given_up_, connection);
    }
    TimePoint given_up_due() const {
        return given_up_.first == kNoPlace ? kNever : connections_[given_up_.first].since + kGivenUpStays;
    }
    void hang_up(Place connection) {
        note(TryLeft{now_, connections_[connection].tried});
        close(connection);
    }
    void came_late(TryId id) {
        for (Place place = given_up_.first; place != kNoPlace; place = connections_[place].behind)
            if (connections_[place].tried == id) return close(place);
    }

    void lost_try(Place place, const ConnectionLost& e, bool answered) {
        Call& call = calls_[place];
        call.connection = kNoPlace;
        // The node closed the connection between requests and this one crossed the close: it goes out once
        // more. A fresh connection has carried no answer, so that there is no third time.
        if (e.before_any && answered && now_ < call.try_ends_at && send(place, true)) return;
        note(TryLost{now_, id_of(place), e.node_gone || e.before_any});
        call.heard = Heard::Failed;
        go_on(place, e.before_any ? Came::Unreachable : Came::Failed, std::nullopt);
    }

    /// On a connection that is free or on a new one; false where there is no node at all.
    bool send(Place place, bool resent) {
        Call& call = calls_[place];
        Place connection = kNoPlace;
        if (call.member != kNoPlace) std::swap(connection, members_[call.member].connection);
        if (connection == kNoPlace) {
            // A repeat and a second sending come anew, as other connections do.
            std::uint64_t number =
                call.id << 10 | std::uint64_t(call.tries & 511) << 1 | std::uint64_t(resent);
            NodeNo node = front_.choose(now_, call.zone, drawn(seed_, kChoice, number));
            if (node == kNobody) return false;
            if (call.member == kNoPlace && !call.once && !resent) connection = idle(call.zone, node).last;
            if (connection == kNoPlace)
                connection = open(node, call.zone, false, -1);
            else
                take_out(connection);
        }
        Connection& on = connections_[connection];
        on.use = Connection::Use::Try;
        on.owner = place;
        call.connection = connection;
        const ClassFigures& cls = day_.classes[std::size_t(call.cls)];
        Ask ask;
        ask.connection = name_of(connection);
        ask.node = on.node;
        ask.id = id_of(place);
        ask.call = call.id;
        ask.cls = call.cls;
        ask.tenant = call.tenant;
        if (cls.effect == Idempotency::IdempotentWithKey) ask.key = call.key;
        ask.work = call.work;
        ask.wait = call.wait;
        ask.patience = call.try_ends_at - now_;
        ask.repeat = call.tries > 1;
        ask.marked = ask.repeat && day_.clients.marks_repeats;
        ask.resent = resent;
        out_->emplace_back(ask);
        return true;
    }

    void finish(Place place) {
        waits_.clear(place);
        Call& call = calls_[place];
        note(CallEnded{now_, call.id, call.heard});
        call.stage = Call::Stage::Over;
        Place member = call.member;
        Duration wait = day_.clients.think;
        if (call.heard != Heard::Served && day_.clients.again >= Duration{}) wait = day_.clients.again;
        Duration least = call.advised;
        free_calls_.push_back(place);
        --open_calls_;
        if (member != kNoPlace) member_thinks(member, wait, least);
    }

    TryId id_of(Place place) const { return mixed((calls_[place].serial << kPlaceBits | place) ^ id_seed_); }

    // ---- the crowd

    int crowd_zone(std::uint64_t member) const {
        std::uint64_t bits = drawn(seed_, kCrowdZone, member);
        if (!day_.arrivals.empty()) return day_.arrivals[bits % day_.arrivals.size()].zone;
        return int(bits % zones_);
    }

    void member_thinks(Place place, Duration wait, Duration least) {
        Member& member = members_[place];
        member.thinking = true;
        double lot = 2 * part_of(drawn(seed_, kCrowdThink, thought_++)) - 1;
        TimePoint at = now_ + std::max({wait * (1 + day_.clients.think_spread * lot), least, kLeastThink});
        if (at < ends_)
            crowd_.set(place, at);
        else
            member_stops(place);
    }

    void member_stops(Place place) {
        Member& member = members_[place];
        member.thinking = false;
        --asking_;
        if (member.connection != kNoPlace) close(std::exchange(member.connection, kNoPlace));
    }

    void member_asks(Place place) {
        if (now_ >= ends_) return member_stops(place);
        members_[place].thinking = false;
        CallId id = next_crowd_call_++;
        Arrival call = crowd_call(id);
        call.zone = members_[place].zone;
        begin(id, call, now_, place);
    }

    /// Like one of the day's arrivals; where it has none, by the shares of classes and tenants.
    Arrival crowd_call(CallId id) const {
        std::uint64_t bits = drawn(seed_, kCrowdCall, id);
        Arrival call;
        if (!day_.arrivals.empty()) {
            call = day_.arrivals[bits % day_.arrivals.size()];
        } else {
            auto by_share = [](const auto& of, double part, auto share) {
                double sum = 0;
                for (const auto& it : of) sum += share(it);
                double left = part * sum;
                for (std::size_t i = 0; i < of.size(); ++i)
                    if ((left -= share(of[i])) < 0) return int(i);
                return int(of.size()) - 1;  // nobody, or the last by rounding
            };
            call.cls = by_share(day_.classes, part_of(bits), [](const ClassFigures& c) { return c.share; });
            call.tenant = by_share(day_.tenants, part_of(mixed(bits)),
                                   [](const TenantFigures& t) { return t.share * t.usage; });
        }
        // A change is a new one, whatever arrival it is like. Keys are below 2^53.
        call.key = std::max<std::uint64_t>(1, drawn(seed_, kCrowdKey, id) >> 11);
        return call;
    }

    /// A client whose node goes away connects again at once, and asks; one whose idle connection is closed by
    /// a node that stays waits until it wants something.
    void lost_by_member(Place place, bool node_gone) {
        members_[place].connection = kNoPlace;
        if (!node_gone || !members_[place].thinking) return;
        crowd_.clear(place);
        member_asks(place);
    }

    // ---- the hostile

    void flood(Place place) {
        Attack& attack = attacks_[place];
        if (now_ >= attack.until) {
            attack.over = true;
            while (attack.open.first != kNoPlace) close(attack.open.first);
            return;
        }
        attack.next = now_ + kFloodStep;
        std::size_t wanted = std::size_t(attack.fault->count);
        for (std::size_t i = 0; i < kFloodBatch && attack.open.count < wanted; ++i)
            if (!open_hostile(place, -1)) break;
        bool full = attack.open.count >= wanted;
        alarms_.set(place, full ? attack.until : std::min(attack.until, attack.next));
    }

    void hostile(Place place) {
        Attack& attack = attacks_[place];
        while (attack.open.first != kNoPlace && connections_[attack.open.first].since + kHostileMost <= now_)
            close(attack.open.first);
        double rate = std::min(attack.fault->size, kHostileMostPerSecond);
        auto at = [&] { return attack.from + Duration{double(attack.opened) * 1000 / rate}; };
        while (at() <= now_ && at() < attack.until) open_hostile(place, int(attack.opened++ & 0x7fffffff));
        TimePoint next = at() < attack.until ? at() : kNever;
        if (attack.open.first != kNoPlace)
            next = std::min(next, connections_[attack.open.first].since + kHostileMost);
        if (next != kNever) alarms_.set(place, next);
    }

    bool open_hostile(Place place, int noise) {
        NodeNo node = kNobody;
        int zone = 0;
        {
            Attack& attack = attacks_[place];
            const Fault& fault = *attack.fault;
            if (fault.nodes.empty()) {
                std::uint64_t turn = attack.turn++;
                zone = fault.zones.empty() ? int(turn % zones_) : fault.zones[turn % fault.zones.size()];
                node = front_.choose(now_, zone, drawn(seed_, kHostileChoice + place, turn));
            }
            for (std::size_t i = 0; i < fault.nodes.size() && node == kNobody; ++i) {
                NodeNo wanted = fault.nodes[attack.turn++ % fault.nodes.size()];
                if (!front_.believes(now_, wanted)) continue;
                node = wanted;
                zone = day_.nodes[std::size_t(wanted)].zone;
            }
        }
        if (node == kNobody) return false;
        Place connection = open(node, zone, true, noise);
        Connection& made = connections_[connection];
        made.use = attacks_[place].flood ? Connection::Use::Flood : Connection::Use::Hostile;
        made.owner = place;
        made.since = now_;
        put_in(attacks_[place].open, connection);
        return true;
    }

    // ---- connections

    ClientConnection name_of(Place place) const {
        return ClientConnection{connections_[place].life} << 32 | place;
    }

    Place open(NodeNo node, int zone, bool hostile, int noise) {
        Place place;
        if (free_connections_.empty()) {
            place = Place(connections_.size());
            connections_.emplace_back();
        } else {
            place = free_connections_.back();
            free_connections_.pop_back();
        }
        Connection& made = connections_[place];
        std::uint32_t life = made.life + 1;
        made = Connection{};
        made.life = life;
        made.node = node;
        made.zone = zone;
        out_->emplace_back(OpenConnection{name_of(place), node, hostile, noise});
        return place;
    }

    void close(Place place) {
        out_->emplace_back(CloseConnection{name_of(place)});
        forget(place);
    }

    void forget(Place place) {
        take_out(place);
        connections_[place].use = Connection::Use::None;
        free_connections_.push_back(place);
    }

    /// Where a connection goes whose try has been answered.
    void rest(Place place, const Call& call) {
        Connection& it = connections_[place];
        if (call.member != kNoPlace) {
            it.use = Connection::Use::Member;
            it.owner = call.member;
            members_[call.member].connection = place;
            return;
        }
        it.use = call.once ? Connection::Use::ForGood : Connection::Use::Idle;
        Line& line = call.once ? for_good_ : idle(it.zone, it.node);
        std::size_t most =
            call.once ? kMostKeptForGood : std::size_t(std::max(0, day_.clients.connections_kept));
        put_in(line, place);
        if (line.count > most) close(line.first);
    }

    Line& idle(int zone, NodeNo node) {
        // A client of a zone that the day does not name shares those of the first.
        std::size_t at = zone >= 0 && std::size_t(zone) < zones_ ? std::size_t(zone) : 0;
        return idle_[at * day_.nodes.size() + std::size_t(node)];
    }

    Line* line_of(const Connection& it) {
        switch (it.use) {
            case Connection::Use::Idle:
                return &idle(it.zone, it.node);
            case Connection::Use::ForGood:
                return &for_good_;
            case Connection::Use::GivenUp:
                return &given_up_;
            case Connection::Use::Flood:
            case Connection::Use::Hostile:
                return &attacks_[it.owner].open;
            default:
                return nullptr;
        }
    }
    void put_in(Line& line, Place place) {
        Connection& it = connections_[place];
        it.before = line.last;
        it.behind = kNoPlace;
        (line.last == kNoPlace ? line.first : connections_[line.last].behind) = place;
        line.last = place;
        ++line.count;
    }
    void take_out(Place place) {
        Connection& it = connections_[place];
        Line* line = line_of(it);
        if (!line) return;
        (it.before == kNoPlace ? line->first : connections_[it.before].behind) = it.behind;
        (it.behind == kNoPlace ? line->last : connections_[it.behind].before) = it.before;
        --line->count;
    }

    void note(const Record& record) { out_->emplace_back(ClientsNote{record}); }

    const Day& day_;
    TimePoint start_, ends_;
    std::uint64_t seed_, id_seed_;
    FrontLayer front_;
    std::size_t zones_ = 1;

    TimePoint now_{}, armed_ = kNever;
    ClientActions* out_ = nullptr;

    std::size_t next_arrival_ = 0;
    CallId next_crowd_call_ = 0;
    std::uint64_t serial_ = 0;
    std::vector<Call> calls_;
    std::vector<Place> free_calls_;
    std::size_t open_calls_ = 0;
    Alarms waits_;  ///< by call: the try's end, the next try, or the moment it leaves

    std::vector<Connection> connections_;
    std::vector<Place> free_connections_;
    std::vector<Line> idle_;  ///< by zone and node
    Line for_good_;
    Line given_up_;  ///< the oldest first

    std::vector<Member> members_;
    Alarms crowd_;
    std::uint64_t thought_ = 0;
    std::size_t asking_ = 0;  ///< members that have not stopped

    std::vector<Attack> attacks_;
    Alarms alarms_;  ///< by attack
};

Clients::Clients(const Day& day, TimePoint start, std::uint64_t seed)
    : state_(std::make_unique<State>(day, start, seed)) {}
Clients::~Clients() = default;
void Clients::handle(TimePoint now, const ClientEvent& event, ClientActions& actions) {
    state_->handle(now, event, actions);
}
bool Clients::done() const {
    return state_->done();
}
std::size_t Clients::connections() const {
    return state_->connections();
}
std::size_t Clients::open_calls() const {
    return state_->open_calls();
}
std::size_t Clients::places() const {
    return state_->places();
}

}  // namespace ochrehub::lab
