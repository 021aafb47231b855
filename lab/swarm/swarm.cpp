#include "lab/swarm/swarm.h"
#include "lab/record/decision_recorder.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "base/slots.h"

namespace ochrehub::lab {

using membership::Place;
using membership::State;

namespace {
constexpr std::uint32_t kHost = 0x7f400000;  // 127.64.0.0, and a port that all share
constexpr std::uint16_t kPort = 7946;
}  // namespace

Swarm::Swarm(const Settings& settings) : set_(settings), nodes_(settings.members) {
    random_.seed(std::uint32_t(settings.seed * 0x9E3779B97F4A7C15ull >> 32) | 16);
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        nodes_[i].cut_to.resize(nodes_.size());
        if (!set_.start_all) continue;
        start(i);
        queue_.push(
            {now_ + uniform() * set_.start_within, ++order_, std::uint32_t(i), kWake, nodes_[i].wake});
    }
}

Place Swarm::place(std::size_t member) const {
    return {kHost + std::uint32_t(member) + 1, kPort};
}

std::optional<std::size_t> Swarm::index(const Place& place) const {
    std::size_t i = place.host - kHost - 1;
    return place.port == kPort && i < nodes_.size() ? std::optional(i) : std::nullopt;
}

void Swarm::start(std::size_t member) {
    Node& node = nodes_[member];
    membership::Settings each = set_.each;
    each.self = place(member);
    for (std::size_t i = 0; i < std::min(set_.seeds, nodes_.size()); ++i)
        if (i != member) each.seeds.push_back(place(i));
    node.core.emplace(each, set_.seed * 1'000'003 + ++lives_);
    ++node.life;
    ++node.wake;
    node.stopped = false;
    for (std::uint32_t datagram : std::exchange(node.waiting, {})) free_.push_back(datagram);
    if (now_ > TimePoint{} || !set_.start_all)
        queue_.push({now_, ++order_, std::uint32_t(member), kWake, node.wake});
}

void Swarm::clock(std::size_t member, double rate, Duration jump) {
    Node& node = nodes_[member];
    node.own = own(node) + jump;
    node.since = now_;
    node.rate = rate;
    if (!node.core || node.asked == TimePoint::max()) return;
    queue_.push(
        {std::max(now_, ours(node, node.asked)), ++order_, std::uint32_t(member), kWake, ++node.wake});
}

void Swarm::crash(std::size_t member) {
    Node& node = nodes_[member];
    node.core.reset();
    ++node.wake;
    for (std::uint32_t datagram : std::exchange(node.waiting, {})) free_.push_back(datagram);
}

void Swarm::stop(std::size_t member) {
    nodes_[member].stopped = true;
    nodes_[member].woken = false;
}

void Swarm::go_on(std::size_t member) {
    Node& node = nodes_[member];
    node.stopped = false;
    // Sockets and timers are ready at once; which a loop takes first is not said. Here it is the datagrams.
    for (std::uint32_t datagram : std::exchange(node.waiting, {})) deliver(member, datagram);
    if (std::exchange(node.woken, false)) hand(member, membership::Woken{});
}

void Swarm::leave(std::size_t member) {
    hand(member, membership::Leave{});
}

void Swarm::run_to(Duration at) {
    TimePoint until{at};
    while (!queue_.empty() && queue_.top().at <= until) step();
    now_ = until;
}

std::optional<Duration> Swarm::run_until(Duration most, const std::function<bool()>& done) {
    for (Duration at = now(); at < most; at += look_every) {
        run_to(at);
        if (done()) return at;
    }
    return std::nullopt;
}

void Swarm::step() {
    Happening next = queue_.top();
    queue_.pop();
    now_ = next.at;
    ++events_;
    Node& node = nodes_[next.node];
    if (next.datagram != kWake) {
        if (!node.core || node.waiting.size() >= kKernelHolds)
            free_.push_back(next.datagram);
        else if (node.stopped)
            node.waiting.push_back(next.datagram);
        else
            deliver(next.node, next.datagram);
    } else if (node.core && next.wake == node.wake) {
        if (node.stopped)
            node.woken = true;
        else
            hand(next.node, membership::Woken{});
    }
}

void Swarm::deliver(std::size_t to, std::uint32_t datagram) {
    membership::Datagram d = std::move(datagrams_[datagram]);
    free_.push_back(datagram);
    hand(to, membership::Received{std::move(d)});
}

void Swarm::hand(std::size_t to, const membership::Event& event) {
    Node& node = nodes_[to];
    membership::Actions actions = std::move(actions_);
    actions.clear();
    // A clock that runs at a rate of its own may be a rounding short of the time that was asked for.
    TimePoint at = own(node);
    if (std::holds_alternative<membership::Woken>(event) && node.asked < TimePoint::max())
        at = std::max(at, node.asked);
    node.core->handle(at, event, actions);
    record_decision("membership", at, event, actions);
    for (membership::Action& action : actions) {
        if (auto* send = std::get_if<membership::Send>(&action)) {
            carry(to, *send);
        } else if (auto* wake = std::get_if<membership::WakeAt>(&action)) {
            node.asked = wake->at;
            if (node.asked < TimePoint::max())
                queue_.push(
                    {std::max(now_, ours(node, wake->at)), ++order_, std::uint32_t(to), kWake, ++node.wake});
        } else if (auto* changed = std::get_if<membership::Changed>(&action)) {
            auto about = index(changed->now.who);
            if (changed->now.state == State::Dead && about && up(*about) && !nodes_[*about].stopped)
                ++called_dead_;
            if (heard) heard(to, *changed);
        } else if (std::holds_alternative<membership::Over>(action)) {
            node.core.reset();
            break;
        }
    }
    actions_ = std::move(actions);
}

void Swarm::carry(std::size_t from, const membership::Send& send) {
    ++sent_;
    membership::Send meddled;
    const membership::Send* out = &send;
    if (meddles) {
        meddled = send;
        if (!meddles(from, meddled)) return;
        out = &meddled;
    }
    auto to = index(out->to);
    if (!to) return;
    if (seen) seen(from, out->datagram);
    if (way) {
        remembered_.emplace_back(*to, out->datagram);
        if (remembered_.size() > kRemembered) remembered_.pop_front();
        for (Duration late : way(from, *to)) set_out(*to, out->datagram, late);
        return;
    }
    double draw = uniform();
    bool cut = !groups_.empty() && groups_[from] != groups_[*to];
    double arrives = (1 - set_.loss) * (1 - nodes_[from].loss) * (1 - nodes_[*to].loss);
    if (cut || nodes_[from].cut_to[*to] || draw >= arrives) return;
    set_out(*to, out->datagram, Duration{0});
}

void Swarm::set_out(std::size_t to, const membership::Datagram& datagram, Duration late) {
    std::uint32_t slot = take_slot(datagrams_, free_);
    datagrams_[slot] = datagram;
    if (set_.octets) {
        std::string octets = membership::encode(datagram, keys_);
        most_octets_ = std::max<std::uint64_t>(most_octets_, octets.size());
        if (membership::decode(octets, keys_, datagrams_[slot]) != membership::Fault::None)
            throw std::logic_error("a datagram that was sent cannot be read");
    }
    TimePoint at = now_ + late + set_.delay_least + uniform() * (set_.delay_most - set_.delay_least);
    queue_.push({at, ++order_, std::uint32_t(to), slot, 0});
}

void Swarm::replay() {
    for (const auto& [to, datagram] : remembered_) set_out(to, datagram, Duration{0});
}

std::optional<State> Swarm::belief(std::size_t of, std::size_t about) const {
    const auto* member = nodes_[of].core->find(place(about));
    return member ? std::optional(member->update.state) : std::nullopt;
}

bool Swarm::all_believe(std::size_t about, const std::function<bool(std::optional<State>)>& what) const {
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        if (i != about && up(i) && !nodes_[i].stopped && !what(belief(i, about))) return false;
    return true;
}

bool Swarm::settled() const {
    return all_right(State::Alive);
}

bool Swarm::all_known() const {
    return all_right(State::Suspect);
}

bool Swarm::all_right(State most) const {
    for (std::size_t about = 0; about < nodes_.size(); ++about) {
        auto right = [here = up(about), most](std::optional<State> state) {
            return here ? state && *state <= most : !state || *state >= State::Dead;
        };
        if (!all_believe(about, right)) return false;
    }
    return true;
}

}  // namespace ochrehub::lab
