#include "lab/swarm/explore.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace ochrehub::lab {
namespace {

using membership::MemberAddress;
using membership::Membership;
using membership::MemberState;

constexpr Duration kRightWithin{120'000};  // long enough for a knock at each that is dead
constexpr std::size_t kTold = 5;

MemberAddress place(std::size_t i) {
    return {0x7f000001 + std::uint32_t(i), 7946};
}

/// The members and all that is on its way. A copy goes on by itself.
class Few {
public:
    explicit Few(const Exploration& how) : how_(&how), members_(how.members) {
        for (std::size_t i = 0; i < members_.size(); ++i) start(i);
    }

    struct Flying {
        std::size_t to;
        membership::Datagram datagram;
    };

    void start(std::size_t i) {
        membership::Settings set;
        set.self = place(i);
        for (std::size_t k = 0; k < members_.size(); ++k)
            if (k != i) set.seeds.push_back(place(k));
        members_[i].core.emplace(set, how_->seed * 100 + i);
        members_[i].wake = now;
    }
    void crash(std::size_t i) {
        members_[i].core.reset();
        members_[i].stopped = false;
        members_[i].waiting.clear();
    }
    bool stopped(std::size_t i) const { return members_[i].stopped; }
    void stop(std::size_t i) { members_[i].stopped = true; }
    void go_on(std::size_t i) {
        members_[i].stopped = false;
        std::vector<membership::Datagram> waiting = std::move(members_[i].waiting);
        members_[i].waiting.clear();
        for (membership::Datagram& one : waiting) hand(i, membership::DatagramReceived{std::move(one)});
    }
    bool cut(std::size_t from, std::size_t to) const { return !cut_.empty() && cut_[from * size() + to]; }
    void cut(std::size_t from, std::size_t to, bool on) {
        cut_.resize(size() * size());
        cut_[from * size() + to] = on;
    }
    void mend() {
        cut_.clear();
        for (std::size_t i = 0; i < size(); ++i)
            if (members_[i].stopped) go_on(i);
    }
    bool up(std::size_t i) const { return members_[i].core.has_value(); }
    std::size_t size() const { return members_.size(); }

    void deliver(std::size_t which) {
        Flying one = std::move(flying[which]);
        lose(which);
        if (up(one.to) && members_[one.to].stopped)
            members_[one.to].waiting.push_back(std::move(one.datagram));
        else if (up(one.to))
            hand(one.to, membership::DatagramReceived{std::move(one.datagram)});
    }
    void lose(std::size_t which) { flying.erase(flying.begin() + std::ptrdiff_t(which)); }

    std::optional<std::size_t> next_to_wake() const {
        std::optional<std::size_t> next;
        for (std::size_t i = 0; i < members_.size(); ++i)
            if (up(i) && !members_[i].stopped && members_[i].wake < TimePoint::max() &&
                (!next || members_[i].wake < members_[*next].wake))
                next = i;
        return next;
    }
    void wake(std::size_t i) {
        now = std::max(now, members_[i].wake);
        members_[i].wake = TimePoint::max();
        hand(i, membership::TimerFired{});
    }
    /// All arrives at once, and nothing is late.
    void go_on_to(TimePoint until) {
        while (true) {
            while (!flying.empty()) deliver(0);
            auto next = next_to_wake();
            if (!next || members_[*next].wake > until) break;
            wake(*next);
        }
        now = std::max(now, until);
    }
    bool right() const {
        for (std::size_t of = 0; of < size(); ++of)
            for (std::size_t about = 0; about < size(); ++about) {
                if (of == about || !up(of)) continue;
                const auto* found = members_[of].core->find(place(about));
                bool here = found && found->update.state <= MemberState::Suspect;
                if (up(about) ? !found || found->update.state != MemberState::Alive : here) return false;
            }
        return true;
    }
    /// Each member of the second group is cut off from the first.
    std::vector<bool> apart;

    TimePoint now{Duration{1000}};
    std::vector<Flying> flying;
    std::string broken;  ///< the first promise, if any

private:
    struct One {
        std::optional<Membership> core;
        TimePoint wake{};
        bool stopped = false;
        std::vector<membership::Datagram> waiting;
    };

    void hand(std::size_t i, const membership::Event& event) {
        Membership& core = *members_[i].core;
        std::vector<membership::Update> before;
        core.for_each_member([&](const Membership::Member& member) { before.push_back(member.update); });
        std::uint32_t incarnation = core.incarnation();
        membership::Actions actions;
        core.handle(now, event, actions);
        if (core.incarnation() < incarnation) broken = "an incarnation fell";
        for (const membership::Update& was : before) {
            const auto* is = core.find(was.address);
            if (is && membership::supersedes(was, is->update)) broken = "an older word replaced a newer one";
        }
        for (membership::Action& action : actions) {
            if (auto* send = std::get_if<membership::SendDatagram>(&action)) {
                std::size_t to = send->to.host - place(0).host;
                bool cut = !apart.empty() && to < size() && apart[to] != apart[i];
                if (to >= size() || cut || this->cut(i, to) || (how_->meddles && !how_->meddles(*send)))
                    continue;
                flying.push_back({to, std::move(send->datagram)});
            } else if (auto* wake = std::get_if<membership::SetTimer>(&action)) {
                members_[i].wake = wake->at;
            }
        }
    }

    const Exploration* how_;
    std::vector<One> members_;
    std::vector<bool> cut_;  // by sender and receiver; empty: none is
};

class Explorer {
public:
    explicit Explorer(const Exploration& how) : how_(how) {}

    Explored run() {
        Few few(how_);
        begin(few);
        go(few, how_.depth, {how_.losses, how_.crashes, how_.cuts, how_.pauses});
        return std::move(found_);
    }

private:
    void begin(Few& few) const {
        using From = Exploration::From;
        if (how_.from == From::Start) return;
        few.go_on_to(TimePoint{Duration{12'000}});
        std::size_t last = few.size() - 1;
        if (how_.from == From::Suspicion || how_.from == From::Cut) {
            few.apart.assign(few.size(), false);
            few.apart[last] = true;
            // Until they have begun to suspect each other; or until that has made them dead.
            few.go_on_to(TimePoint{Duration{how_.from == From::Cut ? 40'000.0 : 14'000.0}});
            few.apart.clear();
        } else if (how_.from == From::Death) {
            few.crash(last);
            few.go_on_to(TimePoint{Duration{40'000}});
        }
    }

    struct Left {  ///< of what may go wrong
        int losses, crashes, cuts, pauses;
    };
    void go(const Few& from, int depth, const Left& left) {
        ++found_.states;
        if (depth == 0) return end(from);
        auto then = [&](const std::string& what, const Left& fewer, auto&& happens) {
            Few few = from;
            happens(few);
            path_.push_back(what);
            if (few.broken.empty())
                go(few, depth - 1,
                   {left.losses - fewer.losses, left.crashes - fewer.crashes, left.cuts - fewer.cuts,
                    left.pauses - fewer.pauses});
            else
                tell(few.broken);
            path_.pop_back();
        };
        for (std::size_t i = 0; i < from.flying.size(); ++i) {
            std::string which = std::to_string(int(from.flying[i].datagram.kind)) + " to " +
                                std::to_string(from.flying[i].to);
            then("deliver " + which, kNothing, [i](Few& few) { few.deliver(i); });
            if (left.losses > 0) then("lose " + which, {1, 0, 0, 0}, [i](Few& few) { few.lose(i); });
        }
        if (auto next = from.next_to_wake())
            then("wake " + std::to_string(*next), kNothing, [i = *next](Few& few) { few.wake(i); });
        for (std::size_t i = 0; i < from.size(); ++i) {
            std::string who = std::to_string(i);
            if (!from.up(i)) {
                then("start " + who, kNothing, [i](Few& few) { few.start(i); });
                continue;
            }
            if (left.crashes > 0) then("crash " + who, {0, 1, 0, 0}, [i](Few& few) { few.crash(i); });
            if (from.stopped(i))
                then("go on " + who, kNothing, [i](Few& few) { few.go_on(i); });
            else if (left.pauses > 0)
                then("stop " + who, {0, 0, 0, 1}, [i](Few& few) { few.stop(i); });
            for (std::size_t k = 0; k < from.size(); ++k) {
                if (i == k) continue;
                if (from.cut(i, k))
                    then("mend " + who + " to " + std::to_string(k), kNothing,
                         [i, k](Few& few) { few.cut(i, k, false); });
                else if (left.cuts > 0)
                    then("cut " + who + " to " + std::to_string(k), {0, 0, 1, 0},
                         [i, k](Few& few) { few.cut(i, k, true); });
            }
        }
    }

    void end(const Few& from) {
        ++found_.ends;
        Few few = from;
        few.mend();
        TimePoint began = few.now;
        while (!few.right() && few.now - began < kRightWithin) {
            few.go_on_to(few.now + Duration{250});
            if (!few.broken.empty()) return tell(few.broken);
        }
        found_.slowest_ms = std::max(found_.slowest_ms, (few.now - began).count());
        if (!few.right()) tell("not all is known long after the last loss");
    }

    void tell(const std::string& promise) {
        if (++found_.broken_count > kTold) return;
        std::string text = promise + ":";
        for (const std::string& what : path_) text += " " + what + ";";
        found_.broken.push_back(std::move(text));
    }

    static constexpr Left kNothing{0, 0, 0, 0};
    const Exploration& how_;
    Explored found_;
    std::vector<std::string> path_;
};

}  // namespace

Explored explore(const Exploration& exploration) {
    return Explorer(exploration).run();
}

}  // namespace ochrehub::lab
