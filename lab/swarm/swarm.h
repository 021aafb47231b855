// Members by the hundred in virtual time, as they ship, on a network that loses, delays and reorders
// datagrams and can be cut. Every draw comes from the seed; the same seed gives the same run.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

#include "fleet/membership/membership.h"

namespace ochrehub::lab {

class Swarm {
public:
    struct Settings {
        std::size_t members = 3;
        std::size_t seeds = 3;  ///< the first ones, which all know
        double loss = 0;        ///< part of the datagrams
        Duration delay_least{0.2}, delay_most{2};
        Duration start_within{1000};
        bool octets = false;    ///< encode and decode each datagram, as sockets would
        bool start_all = true;  ///< else each is to be started
        std::uint64_t seed = 1;
        membership::Settings each;  ///< but for self and seeds
    };
    explicit Swarm(const Settings& settings);

    void run_to(Duration at);
    Duration look_every{10};
    /// Until `done`, looked at as often; nothing where that is not before `most`.
    std::optional<Duration> run_until(Duration most, const std::function<bool()>& done);
    Duration now() const { return now_ - TimePoint{}; }

    void crash(std::size_t member);
    /// Anew, where it was: it remembers nothing.
    void start(std::size_t member);
    /// As a process that is stopped: what comes for it waits, up to a kernel's buffer.
    void stop(std::size_t member);
    void go_on(std::size_t member);
    void leave(std::size_t member);
    /// Members of different groups do not hear each other; an empty list heals all.
    void cut(std::vector<int> groups) { groups_ = std::move(groups); }
    /// What `from` sends to `to` is lost; the other way is as it was.
    void cut_way(std::size_t from, std::size_t to, bool cut) { nodes_[from].cut_to[to] = cut; }
    void loss(double part) { set_.loss = part; }
    /// Its clock, which is all that its core knows of time, runs at `rate` from now on and is ahead by `jump`
    /// more.
    void clock(std::size_t member, double rate, Duration jump);
    /// Takes the place of loss and cuts where it is set: how late each copy of a datagram sets out. None: it
    /// is lost.
    std::function<std::vector<Duration>(std::size_t from, std::size_t to)> way;
    /// May change what a member sends, or (false) withhold it: for saboteurs. `seen` has what crosses a link.
    std::function<bool(std::size_t from, membership::SendDatagram&)> meddles;
    std::function<void(std::size_t from, const membership::Datagram&)> seen;
    /// What crossed links last, up to so many, is delivered once more.
    void replay();
    static constexpr std::size_t kRemembered = 300;
    /// The datagrams of one alone are lost by this part, whichever way they go.
    void loss_of(std::size_t member, double part) { nodes_[member].loss = part; }

    std::size_t size() const { return nodes_.size(); }
    bool up(std::size_t member) const { return nodes_[member].core.has_value(); }
    const membership::Membership& core(std::size_t member) const { return *nodes_[member].core; }
    membership::MemberAddress place(std::size_t member) const;
    /// What one member believes of another; nothing: it does not know it.
    std::optional<membership::MemberState> belief(std::size_t of, std::size_t about) const;
    /// All that are up and running believe so of that one.
    bool all_believe(std::size_t about,
                     const std::function<bool(std::optional<membership::MemberState>)>& what) const;
    /// All that are up know all that are up as Alive, and nobody else as here.
    bool settled() const;
    /// The same, but a suspect counts as known: where datagrams are lost there is always one.
    bool all_known() const;

    std::uint64_t sent() const { return sent_; }
    std::uint64_t most_octets() const { return most_octets_; }
    std::uint64_t events() const { return events_; }
    /// How often a member that was up and running was called dead, by anyone.
    std::uint64_t called_dead() const { return called_dead_; }
    std::function<void(std::size_t by, const membership::MemberChanged&)> heard;
    std::optional<std::size_t> index(const membership::MemberAddress& place) const;

private:
    struct Node {
        std::optional<membership::Membership> core;
        std::uint64_t life = 0, wake = 0;
        double loss = 0;
        bool stopped = false, woken = false;
        std::vector<std::uint32_t> waiting;
        std::vector<bool> cut_to;
        TimePoint since{}, own{}, asked = TimePoint::max();
        double rate = 1;
    };
    struct Happening {
        TimePoint at;
        std::uint64_t order;
        std::uint32_t node, datagram;  // no datagram: it is woken
        std::uint64_t wake;
        bool operator<(const Happening& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    static constexpr std::uint32_t kWake = ~std::uint32_t{0};
    static constexpr std::size_t kKernelHolds = 300;

    void step();
    void hand(std::size_t node, const membership::Event& event);
    void deliver(std::size_t node, std::uint32_t datagram);
    void carry(std::size_t from, const membership::SendDatagram& send);
    bool all_right(membership::MemberState most) const;
    void set_out(std::size_t to, const membership::Datagram& datagram, Duration late);
    // A member's own time and the swarm's.
    TimePoint own(const Node& node) const { return node.own + node.rate * (now_ - node.since); }
    TimePoint ours(const Node& node, TimePoint own) const {
        return node.since + (own - node.own) / node.rate;
    }
    double uniform() { return double(random_()) * 0x1p-32; }

    Settings set_;
    boost::random::taus88 random_;
    TimePoint now_{};
    std::uint64_t order_ = 0, sent_ = 0, most_octets_ = 0, events_ = 0, called_dead_ = 0, lives_ = 0;
    std::vector<Node> nodes_;
    std::vector<int> groups_;
    std::priority_queue<Happening> queue_;
    std::vector<membership::Datagram> datagrams_;
    std::vector<std::uint32_t> free_;
    std::deque<std::pair<std::size_t, membership::Datagram>> remembered_;
    membership::Actions actions_;
    membership::Keys keys_{{"a key of the lab's"}};
};

}  // namespace ochrehub::lab
