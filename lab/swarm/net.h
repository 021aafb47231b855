// One virtual network for cores of any kind: processes with clocks of their own, messages that are lost,
// late, doubled, out of order or in order, links cut one way, pauses, crashes, restarts. Every draw comes
// from the seed; the same seed gives the same run. Whoever uses it owns the cores: it is told what arrives at
// whom and when, by the process's own clock.
#pragma once

#include <algorithm>
#include <boost/random/taus88.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <utility>
#include <vector>

#include "ochrehub/balancer.h"

namespace ochrehub::lab {

struct NetSettings {
    std::size_t processes = 3;
    Duration delay_least{0.2}, delay_most{2};
    double loss = 0, doubled = 0;
    bool in_order = false;  ///< what one sends another arrives in order or not at all, as over TCP
    std::uint64_t seed = 1;
};

/// `Message` is copied; make it a std::string to have what crosses links encoded and decoded.
template <class Message>
class Net {
public:
    struct Hooks {
        std::function<void(std::size_t process, TimePoint own)> woken;
        std::function<void(std::size_t to, std::size_t from, TimePoint own, const Message&)> received;
        /// For saboteurs and records: may change what is sent; false: it is not.
        std::function<bool(std::size_t from, std::size_t to, Message&)> meddles = nullptr;
    };

    Net(const NetSettings& settings, Hooks hooks)
        : set_(settings), hooks_(std::move(hooks)), random_(unsigned(settings.seed * 2654435761u + 17)) {
        for (std::size_t i = 0; i < set_.processes; ++i) add();
    }

    std::size_t add() {
        nodes_.emplace_back();
        return nodes_.size() - 1;
    }
    std::size_t size() const { return nodes_.size(); }
    TimePoint now() const { return now_; }  ///< the world's, which no process sees
    TimePoint own(std::size_t process) const {
        const Node& n = nodes_[process];
        return n.own + n.rate * (now_ - n.since);
    }

    void send(std::size_t from, std::size_t to, Message message) {
        if (!nodes_[from].up || (hooks_.meddles && !hooks_.meddles(from, to, message))) return;
        if (cut_.contains({from, to}) || uniform() < set_.loss) return;
        int copies = uniform() < set_.doubled ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            Duration held = late(
                from, to);  // by itself: compilers differ in which of two draws in one expression comes first
            TimePoint at = now_ + set_.delay_least + (set_.delay_most - set_.delay_least) * uniform() + held;
            if (set_.in_order) {
                TimePoint& last = last_[{from, to}];
                last = at = std::max(at, last);
            }
            queue_.push({at, ++order_, to, from, nodes_[to].life, false, 0, message});
        }
    }
    /// What happens to a process of itself, as the end of a write: never lost, late or doubled; from itself,
    /// in this order. A crash forgets it, a pause keeps it waiting.
    void later(std::size_t process, Duration after, Message message) {
        queue_.push(
            {now_ + after, ++order_, process, process, nodes_[process].life, false, 0, std::move(message)});
    }
    /// By its own clock; takes the place of what it asked for before.
    void wake_at(std::size_t process, TimePoint own_time) {
        Node& n = nodes_[process];
        TimePoint at = std::max(now_, n.since + (own_time - n.own) / n.rate);
        n.asked = own_time;
        queue_.push({at, ++order_, process, process, n.life, true, ++n.wake, Message{}});
    }

    // Faults.
    void crash(std::size_t process) {
        nodes_[process].up = false, ++nodes_[process].life, nodes_[process].waiting.clear(),
        nodes_[process].stopped = false;
    }
    void start(std::size_t process) { nodes_[process].up = true; }
    /// As SIGSTOP: what comes waits, its own clock runs on.
    void stop(std::size_t process) { nodes_[process].stopped = true; }
    void go_on(std::size_t process) {
        Node& n = nodes_[process];
        if (!std::exchange(n.stopped, false)) return;
        for (Happening& h : std::exchange(n.waiting, {}))
            h.at = now_, h.order = ++order_, queue_.push(std::move(h));
    }
    void cut(std::size_t from, std::size_t to, bool on = true) {
        if (on)
            cut_[{from, to}] = true;
        else
            cut_.erase({from, to});
    }
    bool is_cut(std::size_t from, std::size_t to) const { return cut_.contains({from, to}); }
    void heal() { cut_.clear(), late_.clear(); }
    void delay(std::size_t from, std::size_t to, Duration most) { late_[{from, to}] = most; }
    void loss(double part) { set_.loss = part; }
    void doubled(double part) { set_.doubled = part; }
    /// Its monotonic clock runs at `rate` from now on.
    void clock(std::size_t process, double rate) {
        Node& n = nodes_[process];
        n.own = own(process), n.since = now_, n.rate = rate;
        if (n.asked > n.own) wake_at(process, n.asked);
    }
    bool up(std::size_t process) const { return nodes_[process].up; }
    bool stopped(std::size_t process) const { return nodes_[process].stopped; }

    /// The next thing that happens. False: nothing will.
    bool step() {
        if (queue_.empty()) return false;
        Happening h = queue_.top();
        queue_.pop();
        now_ = std::max(now_, h.at);
        Node& n = nodes_[h.to];
        if (h.life != n.life || !n.up || (h.wakes && h.wake != n.wake)) return true;
        if (n.stopped) {
            n.waiting.push_back(std::move(h));
            return true;
        }
        ++happened_;
        if (h.wakes)
            hooks_.woken(h.to,
                         std::max(own(h.to),
                                  n.asked));  // rounding of another rate must not wake it too early for ever
        else
            hooks_.received(h.to, h.from, own(h.to), h.message);
        return true;
    }
    void run_to(TimePoint at) {
        while (!queue_.empty() && queue_.top().at <= at) step();
        now_ = std::max(now_, at);
    }
    std::uint64_t happened() const { return happened_; }
    double uniform() { return double(random_()) * 0x1p-32; }

private:
    struct Happening {
        TimePoint at;
        std::uint64_t order = 0;
        std::size_t to = 0, from = 0;
        std::uint64_t life = 0;
        bool wakes = false;
        std::uint64_t wake = 0;
        Message message{};
        bool operator<(const Happening& o) const { return at != o.at ? at > o.at : order > o.order; }
    };
    struct Node {
        bool up = true, stopped = false;
        std::uint64_t life = 0, wake = 0;
        TimePoint since{}, own{}, asked{};
        double rate = 1;
        std::vector<Happening> waiting;
    };
    Duration late(std::size_t from, std::size_t to) {
        auto found = late_.find({from, to});
        return found == late_.end() ? Duration{0} : found->second * uniform();
    }

    NetSettings set_;
    Hooks hooks_;
    boost::random::taus88 random_;
    TimePoint now_{};
    std::uint64_t order_ = 0, happened_ = 0;
    std::vector<Node> nodes_;
    std::priority_queue<Happening> queue_;
    std::map<std::pair<std::size_t, std::size_t>, bool> cut_;
    std::map<std::pair<std::size_t, std::size_t>, Duration> late_;
    std::map<std::pair<std::size_t, std::size_t>, TimePoint> last_;
};

}  // namespace ochrehub::lab
