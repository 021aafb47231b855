// What the virtual processes share: timers of their own, and a session with the keepers that stand in.
#pragma once

#include <algorithm>
#include <functional>
#include <map>

#include "fleet/coordinator/session.h"
#include "lab/leadership/keepers.h"
#include "lab/record/decision_recorder.h"

namespace ochrehub::lab::leadership {

/// By the process's own clock. Each is an event of its own, so that a fault can come between any two.
class Timers {
public:
    void at(TimePoint own, std::function<void(TimePoint)> then) { all_.emplace(own, std::move(then)); }
    void run_one(TimePoint own) {
        if (all_.empty() || all_.begin()->first > own + Duration{1e-6})
            return;  // clocks are computed, and a hair off
        auto first = all_.extract(all_.begin());
        first.mapped()(std::max(own, first.key()));
    }
    void arm(Network& net, std::size_t self) const {
        if (!all_.empty()) net.wake_at(self, all_.begin()->first);
    }
    void clear() { all_.clear(); }

private:
    std::multimap<TimePoint, std::function<void(TimePoint)>> all_;
};

struct SessionSettings {
    std::size_t keepers = 3;
    Duration lease{3000}, patience{400};
    bool from_the_answer =
        false;  ///< a saboteur: the lease is counted from when it was granted, not from when it was asked for
};

struct SessionHooks {
    std::function<void(TimePoint own, coordinator::SessionId, TimePoint until)> held;
    std::function<void(TimePoint own)> lost;
    std::function<void(TimePoint own, coordinator::SessionId, const std::string& kind,
                       const std::string& news)>
        news;
    std::function<void(TimePoint own, const std::string& kind, std::uint64_t number,
                       const std::string& answer)>
        answered;
};

/// A process's session with whoever plays the keepers.
class Member {
public:
    virtual ~Member() = default;
    virtual void begin(TimePoint own) = 0;
    virtual void say(TimePoint own, std::uint64_t number, coordinator::SessionId session,
                     const std::string& what, const std::string& body) = 0;
    /// True: it was the session's.
    virtual bool received(std::size_t from, TimePoint own, const Message& m) = 0;
    /// The machine's `read`; the answer comes as Kind::List.
    virtual void read(TimePoint own, const std::string& what) = 0;
    virtual TimePoint asked() const = 0;  ///< when the renewal was asked for whose news is being told
};

class SessionClient : public Member {
public:
    using Hooks = SessionHooks;
    SessionClient(const SessionSettings& settings, Network& net, Timers& timers, std::size_t self,
                  Hooks hooks)
        : set_(settings),
          net_(net),
          timers_(timers),
          self_(self),
          keeper_(self % settings.keepers),
          hooks_(std::move(hooks)) {}

    void begin(TimePoint own) override { renew(own); }
    void say(TimePoint, std::uint64_t number, coordinator::SessionId session, const std::string& what,
             const std::string& body) override {
        Message m;
        m.kind = Message::Kind::Do;
        m.call = number, m.session = session, m.what = what, m.body = body;
        net_.send(self_, keeper_, m);
    }
    void read(TimePoint, const std::string& what) override {
        Message m;
        m.kind = Message::Kind::Ask;
        m.what = what;
        net_.send(self_, keeper_, m);
    }
    /// True: it was the session's.
    bool received(std::size_t, TimePoint own, const Message& m) override {
        switch (m.kind) {
            case Message::Kind::Renewed:
                renewed(own, m);
                return true;
            case Message::Kind::NotLeader:
                if (m.index < set_.keepers && asked_.contains(m.call) && m.what.empty()) {
                    keeper_ = m.index;
                    asked_.clear();
                    timers_.at(own + Duration{20}, [this](TimePoint t) { renew_if_idle(t); });
                }
                return true;
            case Message::Kind::Did:
                if (!m.body.empty()) hooks_.answered(own, m.what, m.call, m.body);
                return true;
            default:
                return false;
        }
    }
    TimePoint asked() const override { return asked_at_; }

private:
    void renew_if_idle(TimePoint own) {
        if (asked_.empty()) renew(own);
    }
    void renew(TimePoint own) {
        Message m;
        m.kind = Message::Kind::Renew;
        m.call = ++calls_;
        m.session = session_;
        asked_.clear();
        asked_[m.call] = own;
        net_.send(self_, keeper_, m);
        timers_.at(own + set_.patience, [this, call = m.call](TimePoint t) {
            if (!asked_.contains(call)) return;
            keeper_ = (keeper_ + 1) % set_.keepers;
            renew(t);
        });
    }
    void renewed(TimePoint own, const Message& m) {
        // A renewal that was given up may be answered late: what it grants counts from when it was asked for,
        // and it is not taken.
        auto found = asked_.find(m.call);
        if (found == asked_.end()) return;
        TimePoint asked = asked_at_ = found->second;
        asked_.clear();
        if (m.session == 0 || (session_ != 0 && m.session != session_)) {
            session_ = 0;
            hooks_.lost(own);
            return renew(own);
        }
        session_ = m.session;
        hooks_.held(own, session_, (set_.from_the_answer ? own : asked) + set_.lease);
        for (const auto& [kind, news] : m.news) hooks_.news(own, session_, kind, news);
        timers_.at(own + set_.lease / 3, [this](TimePoint t) { renew_if_idle(t); });
    }

    SessionSettings set_;
    Network& net_;
    Timers& timers_;
    std::size_t self_, keeper_;
    Hooks hooks_;
    coordinator::SessionId session_ = 0;
    std::uint64_t calls_ = 0;
    TimePoint asked_at_{};
    std::map<std::uint64_t, TimePoint> asked_;
};

/// coordinator::Session as shipped.
class RealMember : public Member {
public:
    RealMember(const SessionSettings& settings, Network& net, Timers& timers, std::size_t self,
               std::uint64_t instance, SessionHooks hooks)
        : net_(net),
          timers_(timers),
          self_(self),
          lease_(settings.lease),
          hooks_(std::move(hooks)),
          session_([&] {
              coordinator::SessionSettings set;
              for (std::size_t i = 0; i < settings.keepers; ++i) set.coordinators.push_back(address(i));
              set.name = address(self), set.instance = instance, set.seed = instance;
              set.lease = settings.lease, set.response_timeout = settings.patience;
              return set;
          }()) {}
    /// As the real keepers name themselves.
    static std::string address(std::size_t keeper) { return std::to_string(keeper + 1).insert(0, 1, 'k'); }

    void begin(TimePoint own) override { handle(own, coordinator::SessionTimerFired{}); }
    void say(TimePoint own, std::uint64_t number, coordinator::SessionId session, const std::string& what,
             const std::string& body) override {
        if (session != session_.id()) return;
        calls_[++call_] = {what, number};
        handle(own, coordinator::CommandRequested{call_, what, body});
    }
    void read(TimePoint own, const std::string& what) override {
        calls_[++call_] = {what, 0};
        handle(own, coordinator::QueryRequested{call_, what, ""});
    }
    bool received(std::size_t from, TimePoint own, const Message& m) override {
        if (m.kind != Message::Kind::Answered) return false;
        handle(own, coordinator::ResponseReceived{address(from), m.body});
        return true;
    }
    TimePoint asked() const override { return asked_; }
    std::function<void(TimePoint own, const std::string& whole)> whole = nullptr;

private:
    void handle(TimePoint own, const coordinator::SessionEvent& event) {
        coordinator::SessionActions actions;
        session_.handle(own, event, actions);
        record_decision("session", own, event, actions);
        for (coordinator::SessionAction& action : actions) {
            if (auto* say = std::get_if<coordinator::SendRequest>(&action)) {
                Message m;
                m.kind = Message::Kind::Asked;
                m.body = say->body;
                net_.send(self_, std::stoul(say->to.substr(1)) - 1, m);
            } else if (const auto* held = std::get_if<coordinator::SessionRenewed>(&action)) {
                asked_ = held->until - lease_ * 0.99 + Duration{50};
                hooks_.held(own, held->session, held->until);
            } else if (std::get_if<coordinator::SessionLost>(&action)) {
                hooks_.lost(own);
            } else if (const auto* news = std::get_if<coordinator::SessionUpdate>(&action)) {
                hooks_.news(own, session_.id(), news->kind, news->bytes);
            } else if (const auto* answered = std::get_if<coordinator::CallCompleted>(&action)) {
                auto found = calls_.extract(answered->call);
                if (found.empty() || answered->error != coordinator::Error::None) continue;
                if (found.mapped().second == 0)
                    whole(own, answered->result);
                else
                    hooks_.answered(own, found.mapped().first, found.mapped().second, answered->result);
            } else if (const auto* wake = std::get_if<coordinator::SetSessionTimer>(&action)) {
                const std::uint64_t number = ++wakes_;
                if (wake->at != TimePoint::max())
                    timers_.at(std::max(wake->at, own + Duration{1e-6}), [this, number](TimePoint t) {
                        if (number == wakes_) handle(t, coordinator::SessionTimerFired{});
                    });
            }
        }
    }

    Network& net_;
    Timers& timers_;
    std::size_t self_;
    Duration lease_;
    SessionHooks hooks_;
    coordinator::Session session_;
    TimePoint asked_{};
    std::uint64_t call_ = 0, wakes_ = 0;
    std::map<std::uint64_t, std::pair<std::string, std::uint64_t>> calls_;
};

}  // namespace ochrehub::lab::leadership
