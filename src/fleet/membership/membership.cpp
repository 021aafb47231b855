#include "fleet/membership/membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/slots.h"

namespace ochrehub::membership {
namespace {

constexpr int kGossipsAnInterval = 2;  // while there is news that cannot wait: who is new, back or gone
constexpr std::size_t kGossipTo = 2;
constexpr double kTellings = 4;  // of one update, times the decimal logarithm of the members
// After the first list: again behind waits that double, and on at the longest while a whole list brings
// somebody new.
constexpr Duration kFetchAgain{1000}, kFetchAgainMost{32'000};
constexpr Duration kKnock{10'000};  // between looks for those that are gone, and for seeds that are not seen
constexpr double kNackAfter = 0.8;  // of a helper's time-out: before whoever asked has ended its probe
constexpr int kPageTries = 4;
// Behind a return others that are taken for dead are most likely back too: three at a time, twice an
// interval.
constexpr std::size_t kKnocksAtOnce = 3, kHurriedMost = 64;
constexpr double kAskAt = 0.6;  // of the time to isolation: from then on others are asked whether it is heard
constexpr std::size_t kAskOf = 3;          // ... so many an interval
constexpr std::uint32_t kOwnRecent = 256;  // of its own sequence numbers, so many last ones may be answered
constexpr Duration kDoubledWithin{60'000};
constexpr int kLastCalls = 2;  // one datagram or its answer is lost now and then
constexpr int kGoodbyes = 4;
constexpr std::size_t kGoodbyeTo = 4;
// Incarnations rise by one with each refutation. One that is beyond this was made up, and refuting it would
// end in the last number there is, after which nobody could refute anything.
constexpr std::uint32_t kMostIncarnation = 1u << 31;

}  // namespace

Membership::Membership(const Settings& settings, std::uint64_t seed) : set_(settings) {
    random_.seed(std::uint32_t(seed * 0x9E3779B97F4A7C15ull >> 32) | 16);
    self_.address = set_.self;
    self_.role = set_.role;
    self_.zone = set_.zone;
    self_.plan_version = set_.plan_version;
    sequence_ =
        set_.instance;  // what answered an earlier process at this place answers nothing of this one's
    probe_.slot = kNobody;
}

void Membership::handle(TimePoint now, const Event& event, Actions& actions) {
    if (over_) return;
    now_ = now;
    actions_ = &actions;
    // It stood still: what it did not hear in that time says nothing of others.
    if (woken_for_ && now - *woken_for_ > set_.probe_timeout) {
        Duration lost = now - *woken_for_;
        ++counts_.late_timers;
        heard_at_ += lost;
        answered_at_ += lost;
        if (set_.lifeguard) {
            doubt(1);
            probe_.slot = kNobody;
            relays_.clear();
            for (std::uint32_t slot : suspects_) members_[slot].until += lost;
        }
        woken_for_.reset();
    }
    std::visit([this](const auto& e) { on(e); }, event);
    if (over_) return;
    // Never before now: what has been counted as lost time once is not to be counted with each datagram that
    // waited too.
    TimePoint next = std::max(next_wake(), now_);
    if (woken_for_ == next || (woken_for_ && *woken_for_ <= now_ && next == now_)) return;
    woken_for_ = next;
    actions.push_back(SetTimer{next});
}

const Membership::Member* Membership::find(const MemberAddress& place) const {
    std::uint32_t slot = slot_of(place);
    return slot == kNobody ? nullptr : &members_[slot];
}

// ---- Time

void Membership::on(const TimerFired&) {
    woken_for_.reset();
    if (!started_) {
        started_ = true;
        next_probe_ = now_ + uniform() * set_.probe_interval;
        next_gossip_ = now_;
        next_knock_ = now_ + (0.5 + uniform()) * kKnock;
        heard_at_ = answered_at_ = now_;
        fetch_wait_ = kFetchAgain;
        if (!set_.seeds.empty()) fetch(set_.seeds[seed_at_ = below(std::uint32_t(set_.seeds.size()))], {});
    }
    for (std::size_t i = 0; i < relays_.size(); ++i) {
        Relay& relay = relays_[i];
        if (!relay.nacked && now_ >= relay.nack_at) {
            relay.nacked = true;
            send(relay.who, make(DatagramKind::Nack, relay.theirs, relay.about));
        }
    }
    std::erase_if(relays_, [this](const Relay& relay) { return now_ >= relay.end; });
    if (probe_.slot != kNobody && !probe_.answered && !probe_.asked && now_ >= probe_.ask_others)
        ask_others();
    if (now_ >= next_probe_ && goodbyes_ < 0) {
        probe_ends();
        next_probe_ = now_ + set_.probe_interval * (1 + doubt_);
        probe_next();
    }
    expire();
    if (goodbyes_ < 0) look_at_itself();
    if (now_ >= next_gossip_) gossip();
    if (now_ >= next_knock_ && goodbyes_ < 0) knock();
    if (now_ >= fetch_again_) {
        fetch_again_ = TimePoint::max();
        auto one = some_here(1, {});
        if (!one.empty() && fetching_ == 0) fetch(members_[one[0]].update.address, {});
    }
    if (now_ >= fetch_until_) {
        // A page is asked for again where it was lost; a seed that stays silent gives way to the next. Where
        // all do, the knocks ask on.
        fetching_ = 0;
        fetch_until_ = TimePoint::max();
        if (++page_tries_ < kPageTries)
            fetch(fetched_from_, fetched_to_);
        else if (page_tries_ = 0; ++fetch_tries_ < 3 * int(set_.seeds.size()))
            fetch(set_.seeds[seed_at_ = (seed_at_ + 1) % set_.seeds.size()], {});
        else if (here_ > 0)
            fetch_again_ = now_ + fetch_wait_;
    }
}

TimePoint Membership::next_wake() const {
    TimePoint next = goodbyes_ < 0 ? std::min(next_probe_, next_knock_) : TimePoint::max();
    next = std::min({next, next_gossip_, fetch_until_, fetch_again_});
    if (goodbyes_ < 0 && !isolated())
        next = std::min({next, answered_at_ + set_.isolated_after,
                         std::max(next_ask_, answered_at_ + kAskAt * set_.isolated_after)});
    if (probe_.slot != kNobody && !probe_.answered && !probe_.asked) next = std::min(next, probe_.ask_others);
    for (std::uint32_t slot : suspects_) next = std::min(next, members_[slot].until);
    for (const Relay& relay : relays_) next = std::min(next, relay.nacked ? relay.end : relay.nack_at);
    return next;
}

// ---- Probes

void Membership::probe_next() {
    for (std::size_t tried = 0; tried < ring_.size(); ++tried) {
        if (ring_at_ >= ring_.size()) {
            ring_at_ = 0;
            for (std::size_t i = ring_.size(); i > 1; --i)
                std::swap(ring_[i - 1], ring_[below(std::uint32_t(i))]);
        }
        std::uint32_t slot = ring_[ring_at_++];
        if (!is_live(members_[slot].update.state)) continue;
        probe_ = Probe{};
        probe_.slot = slot;
        probe_.who = members_[slot].update.address;
        probe_.sequence = ++sequence_;
        probe_.ask_others = now_ + set_.probe_timeout * (1 + doubt_);
        probe_.end = next_probe_;
        ++counts_.probes;
        // A suspect hears of it at once, with the question that it may still answer.
        Update belief = members_[slot].update;
        send(probe_.who, make(DatagramKind::Ping, probe_.sequence, probe_.who),
             belief.state == MemberState::Suspect ? &belief : nullptr);
        return;
    }
}

void Membership::ask_others() {
    probe_.asked = true;
    send(probe_.who,
         make(DatagramKind::Ping, probe_.sequence, probe_.who));  // one lost datagram is no silence
    for (std::uint32_t slot : some_here(std::size_t(set_.indirect_probes), probe_.who)) {
        send(members_[slot].update.address, make(DatagramKind::PingRequest, probe_.sequence, probe_.who));
        ++probe_.nacks_due;
    }
}

void Membership::probe_ends() {
    Probe probe = std::exchange(probe_, Probe{});
    if (probe.slot == kNobody) return;
    if (probe.answered) return doubt(-1);
    ++counts_.failed_probes;
    // Helpers that are silent too speak against this one, not against whom it asked for.
    doubt(probe.nacks_due > 0 ? probe.nacks_due - probe.nacks : 1);
    if (slot_of(probe.who) != probe.slot) return;
    Update update = members_[probe.slot].update;
    update.accuser = set_.self.short_hash();
    if (update.state == MemberState::Alive) {
        update.state = MemberState::Suspect;
        suspect(probe.slot, update);
        send(probe.who, make(DatagramKind::Ping, ++sequence_, probe.who), &update);
    } else if (update.state == MemberState::Suspect) {
        confirm(members_[probe.slot], update.accuser);
    }
}

void Membership::relay(const Datagram& d) {
    if (relays_.size() >= kRelays || d.about == set_.self || !d.about.known()) return;
    Relay relay{++sequence_, d.sequence, d.from.address, d.about, {}, {}, false};
    relay.nack_at = now_ + kNackAfter * set_.probe_timeout;
    relay.end = now_ + 2 * set_.probe_interval;
    relays_.push_back(relay);
    const Member* member = find(d.about);
    Update belief = member ? member->update : Update{};
    send(d.about, make(DatagramKind::Ping, relay.sequence, d.about),
         member && belief.state != MemberState::Alive ? &belief : nullptr);
}

// ---- What others say

void Membership::on(const DatagramReceived& event) {
    if (!started_) return;
    receive(event.datagram);
}

void Membership::receive(const Datagram& d) {
    if (d.from.address == set_.self) return;
    ++counts_.received;
    heard_at_ = now_;
    take(d.from, true);
    met(d);
    bool answers =
        d.kind == DatagramKind::Ack || d.kind == DatagramKind::Nack || d.kind == DatagramKind::ListPage;
    if (answers && sequence_ - d.sequence < kOwnRecent) answered();
    // What a list holds is told by lists: to gossip of all of it takes a minute where many join at once.
    listing_ = d.kind == DatagramKind::ListPage;
    for (const Update& update : d.updates) take(update, false);
    listing_ = false;
    if (d.kind == DatagramKind::Gossip) correct(d);
    switch (d.kind) {
        case DatagramKind::Ping: {
            if (d.about != set_.self) {
                ++counts_.misaddressed;
                return;
            }
            // What it may refute it must hear, or it would be here and gone at once.
            const Member* member = find(d.from.address);
            bool believed = !member ||
                            (member->update.state == MemberState::Alive &&
                             member->update.incarnation <= d.from.incarnation) ||
                            d.from.state == MemberState::Left;
            Update belief = member ? member->update : Update{};
            send(d.from.address, make(DatagramKind::Ack, d.sequence, set_.self),
                 believed ? nullptr : &belief);
            return;
        }
        case DatagramKind::PingRequest:
            return relay(d);
        case DatagramKind::Ack: {
            if (probe_.slot != kNobody && d.sequence == probe_.sequence && d.about == probe_.who) {
                probe_.answered = true;
                return;
            }
            auto relay = std::find_if(relays_.begin(), relays_.end(), [&](const Relay& r) {
                return r.sequence == d.sequence && r.about == d.about && d.from.address == d.about;
            });
            if (relay == relays_.end()) return;
            Relay done = *relay;
            relays_.erase(relay);
            send(done.who, make(DatagramKind::Ack, done.theirs, done.about));
            return;
        }
        case DatagramKind::Nack:
            if (probe_.slot != kNobody && d.sequence == probe_.sequence && d.about == probe_.who)
                probe_.nacks = std::min(probe_.nacks + 1, probe_.nacks_due);
            return;
        case DatagramKind::Gossip:
            return;
        case DatagramKind::ListRequest:
            return list(d);
        case DatagramKind::ListPage:
            if (fetching_ == 0 || d.sequence != fetching_ || d.from.address != fetched_from_) return;
            fetching_ = 0;
            page_tries_ = 0;
            fetch_until_ = TimePoint::max();
            // Pages come in order; one that does not would be asked for without end.
            if (d.about.known() && d.about > fetched_to_) return fetch(fetched_from_, d.about);
            // Where many join at once, gossip takes longer to tell of them all than lists do, and misses
            // some.
            if (fetched_new_ == 0 && fetch_wait_ >= kFetchAgainMost) return;
            fetch_again_ = now_ + (0.5 + uniform()) * fetch_wait_;
            fetch_wait_ = std::min(2 * fetch_wait_, kFetchAgainMost);
            return;
    }
}

// Who accuses a member has missed that it refuted that: gossip reaches nearly all.
void Membership::correct(const Datagram& d) {
    Datagram answer = make(DatagramKind::Gossip, 0, {});
    for (const Update& update : d.updates) {
        if (update.state != MemberState::Suspect && update.state != MemberState::Dead) continue;
        const Member* member = find(update.address);
        if (member && is_live(member->update.state) && member->update.incarnation > update.incarnation)
            answer.updates.push_back(member->update);
    }
    if (answer.updates.empty() || isolated()) return;
    ++counts_.sent;
    actions_->push_back(SendDatagram{d.from.address, std::move(answer)});
}

void Membership::met(const Datagram& d) {
    std::uint32_t slot = slot_of(d.from.address);
    if (slot == kNobody) return;
    Slot& member = members_[slot];
    member.plan = d.plan;
    member.heard = now_;
    member.name = d.name;
    member.zone_name = d.zone;
    if (std::exchange(member.met, true) && d.instance != member.instance) {
        // One that goes back to who it was before is two.
        bool doubled = d.instance == member.instance_before && member.restarts > 0;
        bool known = doubled && member.doubled != TimePoint{} && now_ - member.doubled < kDoubledWithin;
        member.instance_before = member.instance;
        if (!doubled) ++member.restarts;
        if (doubled) member.doubled = now_, ++counts_.duplicates;
        if (!known) actions_->push_back(MemberRestarted{d.from.address, d.instance, doubled});
    }
    member.instance = d.instance;
}

// ---- Itself

/// Somebody is there to be heard, or should be.
bool Membership::anybody() const {
    if (index_.empty()) return !set_.seeds.empty();
    return std::any_of(index_.begin(), index_.end(), [this](const auto& one) {
        return members_[one.second].update.state != MemberState::Left;
    });
}

void Membership::answered() {
    answered_at_ = now_;
    next_ask_ = TimePoint::max();
    if (!isolated()) return;
    say(self_.self_report & std::uint8_t(~kReportsIsolated));
    // Whom it did not hear while nobody heard it has done nothing: their time begins anew.
    for (std::uint32_t slot : suspects_) {
        Slot& member = members_[slot];
        member.began = now_;
        member.accused = member.last_calls = 0;
        confirm(member, set_.self.short_hash());
    }
    hurry();  // whom it took for dead meanwhile hears of it, and nobody else
}

// Found alone: others cannot tell it whom it does not hear, nor one that they do not hear. MembershipConfig
// to all once it can be.
void Membership::look_at_itself() {
    std::uint8_t word = now_ - heard_at_ >= kAskAt * set_.isolated_after ? kReportsDeaf : kReportsUnheard;
    // What it heard last may have come long behind the last answer: which of the two it is shows later.
    if (isolated()) return say(std::uint8_t((self_.self_report & kReportsStalled) | word));
    // In the very terms of next_wake: a difference that rounds the other way would have it woken for now
    // without end.
    if (now_ < answered_at_ + kAskAt * set_.isolated_after) return;
    if (!anybody()) {
        answered_at_ = now_;
        return;
    }
    if (now_ >= answered_at_ + set_.isolated_after) {
        ++counts_.isolated;
        next_ask_ = TimePoint::max();
        say(std::uint8_t((self_.self_report & kReportsStalled) | word));
        next_knock_ = std::min(next_knock_, now_ + 2 * set_.probe_interval);
    } else if (next_ask_ == TimePoint::max() || now_ >= next_ask_) {
        next_ask_ = now_ + set_.probe_interval;
        for (std::uint32_t slot : some_here(kAskOf, {}))
            send(members_[slot].update.address,
                 make(DatagramKind::Ping, ++sequence_, members_[slot].update.address));
    }
}

void Membership::say(std::uint8_t said) {
    if (self_.self_report == said) return;
    self_.self_report = said;
    ++self_.incarnation;
    self_news_ = refuting_ = true;
    self_told_ = 0;
    next_gossip_ = std::min(next_gossip_, now_);
    actions_->push_back(SelfUpdate{said});
}

void Membership::hurry() {
    std::size_t dead = index_.size() - std::min(index_.size(), here_);
    hurried_ = std::min(2 * dead, kHurriedMost);
    if (dead > 0) next_knock_ = std::min(next_knock_, now_ + uniform() * set_.probe_interval / 2);
}

void Membership::take(const Update& update, bool by_itself) {
    if (update.incarnation > kMostIncarnation) return;
    if (update.address == set_.self) return take_of_self(update);
    std::uint32_t slot = slot_of(update.address);
    if (slot == kNobody) {
        if (!is_live(update.state)) return;  // of those gone only who knew them needs to remember
        slot = add(update);
        if (slot != kNobody && update.state == MemberState::Suspect) suspect(slot, update);
        return;
    }
    Slot& member = members_[slot];
    if (update.state == MemberState::Suspect && member.update.state == MemberState::Suspect &&
        update.incarnation == member.update.incarnation)
        return confirm(member, update.accuser);
    // Its own word on what it is counts without a new incarnation: whoever restarts may come back as another.
    if (by_itself && update.incarnation == member.update.incarnation && update.state == member.update.state) {
        member.update.role = update.role;
        member.update.zone = update.zone;
        member.update.plan_version = update.plan_version;
        member.update.self_report = update.self_report;
        return;
    }
    if (!supersedes(update, member.update)) return;
    // One that hears nobody has not heard that it is suspected, or dead: its word on itself refutes nothing.
    bool accused = member.update.state == MemberState::Suspect || member.update.state == MemberState::Dead;
    if (accused && update.state == MemberState::Alive && (update.self_report & kReportsDeaf) != 0) {
        bool says_else = member.update.self_report != update.self_report;
        member.update.incarnation = update.incarnation;
        member.update.self_report = update.self_report;
        tell_of(slot, false);
        if (says_else) actions_->push_back(MemberChanged{member.update, member.update.state});
        return;
    }
    if (update.state == MemberState::Suspect)
        suspect(slot, update);
    else
        set(slot, update);
}

void Membership::take_of_self(const Update& update) {
    if (goodbyes_ >= 0) return;
    if (update.state == MemberState::Alive) {
        if (update.incarnation > self_.incarnation) refute(update.incarnation, false);  // of an earlier run
    } else if (update.incarnation >= self_.incarnation) {
        refute(update.incarnation, update.state != MemberState::Left);
    }
}

void Membership::refute(std::uint32_t above, bool doubts) {
    self_.incarnation = above + 1;
    ++counts_.refutations;
    if (doubts) doubt(1);
    self_news_ = refuting_ = true;
    self_told_ = 0;
    next_gossip_ = std::min(next_gossip_, now_);
}

void Membership::set(std::uint32_t slot, const Update& update) {
    Slot& member = members_[slot];
    MemberState was = member.update.state;
    if (was == MemberState::Suspect) std::erase(suspects_, slot);
    bool says_else = member.update.self_report != update.self_report;
    here_ += std::size_t(is_live(update.state)) - std::size_t(is_live(was));
    member.update = update;
    member.alone = false;
    tell_of(slot, !is_live(update.state) || !is_live(was));
    if (was == update.state && !says_else) return;
    if (was != update.state) member.changed = now_;
    actions_->push_back(MemberChanged{update, was});
    if (!is_live(was) && is_live(update.state)) hurry();
}

void Membership::suspect(std::uint32_t slot, const Update& update) {
    set(slot, update);
    Slot& member = members_[slot];
    suspects_.push_back(slot);
    member.began = now_;
    member.accused = 0;
    member.last_calls = 0;
    confirm(member, update.accuser);
}

Duration Membership::suspicion_least() const {
    return set_.suspicion_multiplier * std::max(1.0, std::log10(double(here_ + 1))) * set_.probe_interval;
}

// The time that a suspect has falls with each other member that finds it silent too: a lone accuser may be
// the one that is cut off.
void Membership::confirm(Slot& member, std::uint16_t accuser) {
    if (!set_.lifeguard) {  // one accuser is as good as four
        if (member.accused++ == 0) member.until = member.began + suspicion_least();
        return;
    }
    int most = std::clamp(int(here_) - 1, 1, kConfirmations + 1);  // the first included
    auto end = member.accusers + member.accused;
    if (std::find(member.accusers, end, accuser) != end || member.accused >= most || member.last_calls > 0)
        return;
    member.accusers[member.accused++] = accuser;
    Duration least = suspicion_least(), span = least * (set_.max_suspicion_factor - 1);
    double part = most > 1 ? std::log(double(member.accused)) / std::log(double(most)) : 1;
    member.until = member.began + least + span * (1 - part);
    member.update.accuser = accuser;
    tell_of(slot_of(member.update.address), false);
}

void Membership::expire() {
    for (std::size_t i = 0; i < suspects_.size();) {
        std::uint32_t slot = suspects_[i];
        if (now_ < members_[slot].until) {
            ++i;
            continue;
        }
        Update update = members_[slot].update;
        // Gossip misses somebody now and then, also with what was refuted long ago: it is asked once more
        // before all hear that it is dead.
        if (set_.confirm_before_dead && members_[slot].last_calls < kLastCalls) {
            ++members_[slot].last_calls;
            members_[slot].until = now_ + 2 * set_.probe_timeout;
            send(update.address, make(DatagramKind::Ping, ++sequence_, update.address), &update);
            // Whoever knows better says so: see `correct`.
            for (std::uint32_t slot_of_other : some_here(std::size_t(set_.indirect_probes), update.address))
                send(members_[slot_of_other].update.address, make(DatagramKind::Gossip, 0, {}), &update);
            continue;
        }
        update.state = MemberState::Dead;
        update.accuser = 0;
        set(slot, update);  // takes it off suspects_
        // Guards against one that hears nobody: all others are dead to it, and it may still be heard.
        if (isolated()) members_[slot].alone = true;
    }
}

// ---- News

void Membership::tell_of(std::uint32_t slot, bool urgent) {
    Slot& member = members_[slot];
    member.told = 0;
    if (!std::exchange(member.news, true)) news_.push_back(slot);
    urgent_ += int(urgent) - int(std::exchange(member.urgent, urgent));
    if (urgent && next_gossip_ == TimePoint::max())
        next_gossip_ = now_ + uniform() * set_.probe_interval / kGossipsAnInterval;
}

int Membership::tellings() const {
    return std::max(8, int(std::ceil(kTellings * std::log10(double(here_ + 2)))));
}

void Membership::gossip() {
    bool leaving = goodbyes_ >= 0;
    if (!leaving && urgent_ == 0 && !(self_news_ && refuting_)) {
        next_gossip_ = TimePoint::max();
        return;
    }
    next_gossip_ = now_ + set_.probe_interval / kGossipsAnInterval;
    for (std::uint32_t slot : some_here(leaving ? kGoodbyeTo : kGossipTo, {}))
        send(members_[slot].update.address, make(DatagramKind::Gossip, 0, {}));
    if (!leaving || --goodbyes_ > 0) return;
    over_ = true;
    actions_->push_back(LeaveCompleted{});
}

void Membership::on(const Leave&) {
    if (goodbyes_ >= 0) return;
    goodbyes_ = kGoodbyes;
    self_.state = MemberState::Left;
    self_news_ = true;
    self_told_ = 0;
    probe_.slot = kNobody;
    next_gossip_ = now_;
}

Datagram Membership::make(DatagramKind kind, std::uint32_t sequence, const MemberAddress& about) const {
    Datagram d;
    d.kind = kind;
    d.sequence = sequence;
    d.from = self_;
    d.instance = set_.instance;
    d.name = set_.name;
    d.zone = set_.zone_name;
    d.plan = plan_;
    d.about = about;
    return d;
}

void Membership::send(const MemberAddress& to, Datagram datagram, const Update* first) {
    if (first) datagram.updates.push_back(*first);
    std::size_t room = kMaxUpdates - datagram.updates.size();
    int most = tellings();
    if (self_news_ && room > 0) {
        datagram.updates.push_back(self_);
        --room;
        if (++self_told_ >= most && goodbyes_ < 0) self_news_ = false;
    }
    if (isolated()) room = 0;   // whatever it has found since then is its own trouble
    if (news_.size() > room) {  // what was told least goes first
        std::nth_element(news_.begin(), news_.begin() + std::ptrdiff_t(room), news_.end(),
                         [this](std::uint32_t a, std::uint32_t b) {
                             int of_a = members_[a].told, of_b = members_[b].told;
                             return of_a != of_b ? of_a < of_b : a < b;
                         });
    }
    std::size_t told = std::min(room, news_.size());
    for (std::size_t i = 0; i < told; ++i) {
        Slot& member = members_[news_[i]];
        if (member.alone) {
            member.told = most;
            continue;
        }
        datagram.updates.push_back(member.update);
        ++member.told;
    }
    std::erase_if(news_, [this, most](std::uint32_t slot) {
        bool over = members_[slot].told >= most;
        if (over) {
            members_[slot].news = false;
            urgent_ -= int(std::exchange(members_[slot].urgent, false));
        }
        return over;
    });
    ++counts_.sent;
    actions_->push_back(SendDatagram{to, std::move(datagram)});
}

// ---- Joining, and finding again

void Membership::fetch(const MemberAddress& from, const MemberAddress& behind) {
    if (from == set_.self) return;
    fetching_ = ++sequence_;
    fetched_from_ = from;
    fetched_to_ = behind;
    if (!behind.known()) fetched_new_ = 0;
    fetch_until_ = now_ + 2 * set_.probe_timeout * (1 + doubt_);
    send(from, make(DatagramKind::ListRequest, fetching_, behind));
}

void Membership::list(const Datagram& d) {
    Datagram listed = make(DatagramKind::ListPage, d.sequence, {});
    for (auto it = index_.upper_bound(d.about); it != index_.end(); ++it) {
        const Update& update = members_[it->second].update;
        if (!is_live(update.state) || update.address == d.from.address) continue;
        if (listed.updates.size() == kMaxUpdates) {
            listed.about = listed.updates.back().address;
            break;
        }
        listed.updates.push_back(update);
    }
    ++counts_.sent;
    actions_->push_back(SendDatagram{d.from.address, std::move(listed)});
}

// A partition that has healed shows only if someone asks those that it took for dead. Each asks one now and
// then, so that all together ask for each as often, whatever the size of the tier.
void Membership::knock() {
    bool hurried = hurried_ > 0 || isolated();
    hurried_ -= hurried_ > 0;
    next_knock_ = now_ + (0.75 + 0.5 * uniform()) * (hurried_ > 0 ? set_.probe_interval / 2
                                                     : isolated() ? 2 * set_.probe_interval
                                                                  : kKnock);
    std::vector<std::uint32_t> old;
    std::vector<std::uint32_t> dead;
    for (const auto& [place, slot] : index_) {
        const Slot& member = members_[slot];
        if (is_live(member.update.state)) continue;
        if (now_ - member.changed > set_.dead_retention)
            old.push_back(slot);
        else if (member.update.state == MemberState::Dead)
            dead.push_back(slot);
    }
    for (std::uint32_t slot : old) drop(slot);
    fetch_tries_ = page_tries_ = 0;
    std::vector<MemberAddress> unseen;
    for (const MemberAddress& seed : set_.seeds) {
        const Member* member = find(seed);
        if (seed != set_.self && (!member || !is_live(member->update.state))) unseen.push_back(seed);
    }
    if (fetching_ == 0 && !unseen.empty()) {
        fetch_tries_ = 3 * int(set_.seeds.size());  // once: the next knock is soon enough
        fetch(unseen[below(std::uint32_t(unseen.size()))], {});
    }
    if (dead.empty()) hurried_ = 0;
    if (dead.empty()) return;
    // In the order of their places where many are asked, so that none is left out.
    std::size_t first = below(std::uint32_t(dead.size()));
    if (hurried)
        first = std::size_t(
            std::find_if(dead.begin(), dead.end(),
                         [this](std::uint32_t slot) { return members_[slot].update.address > knocked_; }) -
            dead.begin());
    for (std::size_t i = 0; i < std::min(dead.size(), hurried ? kKnocksAtOnce : 1); ++i) {
        Update belief = members_[dead[(first + i) % dead.size()]].update;
        knocked_ = belief.address;
        send(belief.address, make(DatagramKind::Ping, ++sequence_, belief.address), &belief);
    }
}

// ---- The table

std::uint32_t Membership::slot_of(const MemberAddress& place) const {
    auto it = index_.find(place);
    return it == index_.end() ? kNobody : it->second;
}

std::uint32_t Membership::add(const Update& update) {
    if (index_.size() >= set_.max_members) {
        ++counts_.rejected_table_full;
        return kNobody;
    }
    std::uint32_t slot = take_slot(members_, free_);
    members_[slot] = Slot{};
    members_[slot].update = update;
    members_[slot].update.state = MemberState::Alive;
    members_[slot].changed = now_;
    index_.emplace(update.address, slot);
    ++here_;
    std::uint32_t at = below(std::uint32_t(ring_.size()) + 1);
    ring_.insert(ring_.begin() + at, slot);
    if (at < ring_at_) ++ring_at_;
    if (!listing_) tell_of(slot, true);
    ++fetched_new_;
    actions_->push_back(MemberChanged{members_[slot].update, std::nullopt});
    return slot;
}

void Membership::drop(std::uint32_t slot) {
    Slot& member = members_[slot];
    index_.erase(member.update.address);
    auto at = std::find(ring_.begin(), ring_.end(), slot);
    if (std::size_t(at - ring_.begin()) < ring_at_) --ring_at_;
    ring_.erase(at);
    if (member.news) std::erase(news_, slot);
    urgent_ -= int(member.urgent);
    member = Slot{};
    free_.push_back(slot);
}

std::vector<std::uint32_t> Membership::some_here(std::size_t count, const MemberAddress& but) {
    std::vector<std::uint32_t> some;
    auto fits = [&](std::uint32_t slot) {
        const Update& update = members_[slot].update;
        return is_live(update.state) && update.address != but &&
               std::find(some.begin(), some.end(), slot) == some.end();
    };
    if (ring_.empty()) return some;
    for (std::size_t tries = 4 * count; tries > 0 && some.size() < count; --tries) {
        std::uint32_t slot = ring_[below(std::uint32_t(ring_.size()))];
        if (fits(slot)) some.push_back(slot);
    }
    // Where most are gone, or few there at all, draws miss.
    for (std::size_t i = 0; i < ring_.size() && some.size() < count; ++i)
        if (fits(ring_[i])) some.push_back(ring_[i]);
    return some;
}

void Membership::doubt(int by) {
    if (!set_.lifeguard) return;
    doubt_ = std::clamp(doubt_ + by, 0, kMaxLocalHealthScore);
}

std::uint32_t Membership::below(std::uint32_t n) {
    return std::uint32_t(std::uint64_t(random_()) * n >> 32);
}

}  // namespace ochrehub::membership
