#include "lab/model/server.h"

#include <algorithm>
#include <boost/unordered/unordered_flat_map.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "lab/model/cpu.h"
#include "lab/model/key_memory.h"
#include "lab/model/load_report.h"
#include "lab/model/mixer.h"
#include "lab/model/slots.h"

namespace ochrehub::lab {
namespace {

using Slot = std::uint32_t;

constexpr double kRepeatPoll = 5;  ///< ms between looks whether another server has finished a repeat's first
constexpr double kMostCrowdLoss = 0.9;

double ms(TimePoint at) {
    return at.time_since_epoch().count();
}

enum Salt : std::uint64_t {
    kResets = 1,
    kResetsWhen,
    kFails,
    kFailsRan,
    kErrors,
    kSpoilt,
    kSpoiltHow,
    kPauses
};

}  // namespace

// Between two steps all rates are constant, the cold climb apart, which is known ahead. A step is an event
// from outside or whatever was due first; those that have become due are taken in the order of their times,
// however late the host calls, and of the same time in the order of `Due`. What is due goes before an event
// of the same time.
class Server::State {
public:
    State(ServerFigures figures, const std::vector<ClassFigures>& classes, const Limits& limits,
          std::shared_ptr<KeyMemory> memory, std::uint64_t seed)
        : figures_(std::move(figures)),
          memory_(std::move(memory)),
          seed_(seed),
          speed_(figures_.speed > 0 ? figures_.speed : 1),
          tip_span_(limits.tip_after),
          cpu_(figures_.cores),
          budget_(limits.overload_factor, limits.tip_after.count()),
          reports_(figures_.report_period.count(), figures_.report_delay.count(), figures_.report_noise,
                   seed) {
        for (const ClassFigures& c : classes) windows_.push_back(c.window.count());
        figures_.slots = std::max(1, figures_.slots);
        if (figures_.crowd_cost > 0) crowd_slope_ = figures_.crowd_cost / std::max(1.0, figures_.crowd_from);
        if (figures_.connections_most > 0) tax_ = figures_.connections_tax / figures_.connections_most;
        probes_.set_capacity(static_cast<std::size_t>(std::max(0, figures_.probes_most)));
    }
    ~State() { stop_runs(); }

    void handle(TimePoint at, const ServerEvent& event, ServerActions& actions) {
        actions_ = &actions;
        const double now = std::max(ms(at), cpu_.now());
        const bool woken = std::holds_alternative<ServerWoken>(event);
        if (woken) armed_ = kNever;
        run(now);
        if (!woken) {
            step_to(now);
            std::visit([this](const auto& e) { on(e); }, event);
            settle();
            run(now);  // what takes no time
        }
        if (next_ < armed_) {
            armed_ = next_;
            actions.emplace_back(WakeServerAt{TimePoint(Duration(next_))});
        }
    }

    int held() const { return static_cast<int>(requests_.live()); }
    bool running() const { return up_; }
    double warmth(TimePoint now) const { return up_ ? cpu_.climb.at(ms(now)) : 0; }

private:
    enum class Due { None, Warm, Pause, Small, Work, Wait, Overdue, Poll, Idle };
    enum class Phase : std::uint8_t {
        Held,    // its connection's handshake is not done
        Room,    // behind others
        Work,    // on the cores
        Wait,    // on others, no CPU
        Repeat,  // for the end of the first request with its key
    };
    struct Request {
        AttemptNo attempt = 0;
        std::uint64_t key = 0;
        KeyMemory::Run run = 0;
        double work = 0, wait = 0;
        double arrived = 0, began = 0, overdue = kNever;
        Slot connection = kNoSlot;  // none: nobody waits for it any more
        Slot previous = kNoSlot, next = kNoSlot;
        int cls = 0;
        Phase phase = Phase::Held;
        bool keyed = false, breaks_halfway = false;
    };
    enum class Use : std::uint8_t { Free, Opening, Idle, Request, Probe };
    struct Connection {
        ConnectionNo number = 0;
        double idle_since = 0;
        Slot request = kNoSlot;
        Slot previous = kNoSlot, next = kNoSlot;
        Use use = Use::Free;
        bool probe_held = false;  // came before the handshake was done
    };

    // Time.

    void run(double now) {
        while (next_ <= now) {
            step_to(next_);
            switch (due_) {
                case Due::None:
                    break;
                case Due::Warm:
                    end_climb();
                    break;
                case Due::Pause:
                    switch_pause();
                    break;
                case Due::Small:
                    end_small(cpu_.small.pop());
                    break;
                case Due::Work:
                    end_work(cpu_.requests.pop());
                    break;
                case Due::Wait:
                    end_wait();
                    break;
                case Due::Overdue:
                    end_overdue();
                    break;
                case Due::Poll:
                    poll_at_ = kNever;
                    look_at_repeats();
                    break;
                case Due::Idle:
                    break_connection(idle_.front());
                    break;
            }
            settle();
        }
    }
    void step_to(double at) {
        at = std::max(at, cpu_.now());
        if (up_) reports_.pass(at, room_.size());
        if (!hangs_) waited_ += (at - cpu_.now()) * pace_;
        cpu_.advance(at);
    }
    void consider(double at, Due due) {
        if (at < next_) {
            next_ = at;
            due_ = due;
        }
    }
    /// After every step: how fast everything goes from here on, and what comes next.
    void settle() {
        next_ = kNever;
        due_ = Due::None;
        if (!up_) return;
        if (cpu_.climb.cold()) consider(cpu_.climb.ends(), Due::Warm);
        consider(pause_at_, Due::Pause);
        if (paused_) return cpu_.settle(0, hangs_);
        double speed = speed_ * pace_;
        const double crowd = static_cast<double>(requests_.live()) - figures_.crowd_from;
        if (crowd > 0) speed *= 1 - std::min(kMostCrowdLoss, crowd_slope_ * crowd);
        speed *= std::max(0.0, 1 - tax_ * static_cast<double>(connections_.live()));
        cpu_.settle(speed, hangs_);
        consider(cpu_.small_due(), Due::Small);
        consider(cpu_.requests_due(), Due::Work);
        if (!hangs_) {
            if (!waits_.empty()) consider(cpu_.now() + (waits_.top_tag() - waited_) / pace_, Due::Wait);
            if (!overdue_.empty()) consider(overdue_.top_tag(), Due::Overdue);
            consider(poll_at_, Due::Poll);
        }
        if (!idle_.empty()) {
            consider(connections_[idle_.front()].idle_since + figures_.idle_most.count(), Due::Idle);
        }
    }

    // Events.

    void on(const ServerWoken&) {}
    void on(const Connecting& e) {
        if (defer(e)) return;
        if (!up_ || !arrives(e.node, figures_.handshake_work, WorkKind::Handshake))
            return say(ConnectionRefused{e.connection});
        if (drains_ || static_cast<int>(connections_.live()) >= figures_.connections_most) {
            return say(ConnectionRefused{e.connection});
        }
        const Slot slot = connections_.take();
        connections_[slot].number = e.connection;
        connections_[slot].use = Use::Opening;
        by_number_[e.connection] = slot;
        cpu_.small.push(slot, figures_.handshake_work.count());
    }
    void on(const RequestIn& e) {
        if (defer(e)) return;
        const Slot slot = find(e.connection);
        if (!up_ || slot == kNoSlot) {
            // The connection went while this was under way to it.
            return say(AnswerOut{e.connection, e.attempt, Ended::Reset, false, 0, std::nullopt, true});
        }
        if (!arrives(e.node, e.work, WorkKind::Request)) return;
        if (!free_for_one(slot)) {
            say(AnswerOut{e.connection, e.attempt, Ended::Reset, false, 0, std::nullopt, true});
            return break_connection(slot);
        }
        const Slot r = requests_.take();
        Request& request = requests_[r];
        request.attempt = e.attempt;
        request.cls = e.cls;
        request.work = e.work.count();
        request.wait = e.wait.count();
        request.arrived = cpu_.now();
        request.connection = slot;
        request.keyed = e.key && memory_ && window(e.cls) > 0;
        request.key = e.key.value_or(0);
        if (figures_.drops_overdue && e.expires_in.count() >= 0) {
            request.overdue = cpu_.now() + e.expires_in.count();
        }
        Connection& connection = connections_[slot];
        connection.request = r;
        if (connection.use == Use::Opening) return;
        idle_.remove(connections_, slot);
        connection.use = Use::Request;
        take_up(r);
    }
    void on(const ProbeIn& e) {
        if (defer(e)) return;
        const Slot slot = find(e.connection);
        if (!up_ || slot == kNoSlot || !arrives(e.node, figures_.probe_work, WorkKind::Probe)) return;
        if (!free_for_one(slot)) return break_connection(slot);
        if (connections_[slot].use == Use::Opening) {
            connections_[slot].probe_held = true;
            return;
        }
        idle_.remove(connections_, slot);
        take_probe(slot);
    }
    void on(const ConnectionClosed& e) {
        if (defer(e)) return;
        const Slot slot = find(e.connection);
        if (slot != kNoSlot) drop_connection(slot, Ended::Dropped);
    }
    void on(const Start& e) {
        die();
        up_ = true;
        drains_ = false;
        cpu_.climb.start(cpu_.now(), figures_.cold_from, e.warm ? 0 : figures_.cold_time.count());
        budget_.clear();
        reports_.restart(cpu_.now());
        probes_.clear();
        if (pause_size_ > 0) draw_pause();
        if (cpu_.climb.cold()) say(Became{ServerState::Cold, Duration{}});
    }
    void on(const Trouble& e) {
        const double size = e.on ? e.size : 0;
        switch (e.kind) {
            case FaultKind::Crash:
                if (e.on) die();
                break;
            case FaultKind::Drain:
                drains_ = e.on;
                break;
            case FaultKind::Slow:
                pace_ = size > 0 ? 1 / size : 1;
                break;
            case FaultKind::FastErrors:
                fails_ = size;
                break;
            case FaultKind::Resets:
                resets_ = size;
                break;
            case FaultKind::Spoilt:
                spoilt_ = size;
                break;
            case FaultKind::Pauses:
                if (paused_) end_pause();
                pause_at_ = kNever;
                pause_size_ = size;
                pause_every_ = std::max(size, e.every.count());
                if (up_ && size > 0) draw_pause();
                break;
            case FaultKind::Hang:
                hangs_ = e.on;
                break;
            default:
                break;  // of the network, of discovery, or of others
        }
    }

    // Starts, ends, pauses.

    /// A piece of work has come, whatever becomes of it. False: it was one too many for a cold server.
    bool arrives(NodeNo node, Duration work, WorkKind kind) {
        const Duration own = work / speed_;
        say(Worked{node, own, kind});
        if (!cpu_.climb.cold() || budget_.take(cpu_.climb, figures_.cores, cpu_.now(), own.count()))
            return true;
        say(Became{ServerState::FellOver, tip_span_});
        die();
        return false;
    }
    void die() {
        if (!up_) return;
        up_ = false;
        stop_runs();
        for (Slot slot = 0; slot < connections_.places(); ++slot) {
            if (connections_[slot].use != Use::Free) say(ConnectionBroken{connections_[slot].number});
        }
        requests_.clear();
        connections_.clear();
        by_number_.clear();
        room_.clear();
        idle_.clear();
        cpu_.clear(cpu_.now());
        waits_.clear();
        overdue_.clear();
        repeats_.clear();
        working_ = 0;
        poll_at_ = pause_at_ = kNever;
        if (paused_) end_pause();
    }
    /// Of a process that is gone no work goes on: its keys are free again.
    void stop_runs() {
        for (Slot r = 0; r < requests_.places(); ++r) stop_run(requests_[r]);
    }
    void stop_run(Request& request) {
        if (request.run != 0) memory_->stop(request.cls, request.key, request.run);
        request.run = 0;
    }
    void end_climb() {
        cpu_.climb.end();
        budget_.clear();
        say(Became{ServerState::Warm, Duration{}});
    }
    /// Not all servers that have this trouble stand still together.
    void draw_pause() { pause_at_ = cpu_.now() + pause_every_ * part_of(drawn(seed_, kPauses, ++pauses_)); }
    void switch_pause() {
        if (paused_) {
            pause_at_ += pause_every_ - pause_size_;
            end_pause();
        } else {
            paused_ = true;
            pause_at_ = cpu_.now() + pause_size_;
        }
    }
    /// What has come meanwhile is read now, in its order.
    void end_pause() {
        paused_ = false;
        for (const ServerEvent& event : deferred_) {
            std::visit([this](const auto& e) { on(e); }, event);
        }
        deferred_.clear();
    }
    template <class Event>
    bool defer(const Event& event) {
        if (paused_) deferred_.emplace_back(event);
        return paused_;
    }

    // Connections.

    Slot find(ConnectionNo number) const {
        const auto found = by_number_.find(number);
        return found == by_number_.end() ? kNoSlot : found->second;
    }
    /// Each carries one request or probe at a time; one that comes too early counts.
    bool free_for_one(Slot slot) {
        const Connection& connection = connections_[slot];
        return connection.use == Use::Idle ||
               (connection.use == Use::Opening && connection.request == kNoSlot && !connection.probe_held);
    }
    void rest(Slot slot) {
        Connection& connection = connections_[slot];
        connection.use = Use::Idle;
        connection.request = kNoSlot;
        connection.idle_since = cpu_.now();
        idle_.push_back(connections_, slot);
    }
    /// A handshake or a probe has had its CPU.
    void end_small(Slot slot) {
        Connection& connection = connections_[slot];
        if (connection.use == Use::Probe) {
            say(AnswerOut{connection.number, 0, Ended::Served, true, 0, reports_.seen(cpu_.now()), true});
            return rest(slot);
        }
        say(Connected{connection.number});
        if (connection.request != kNoSlot) {
            connection.use = Use::Request;
            take_up(connection.request);
        } else if (std::exchange(connection.probe_held, false)) {
            take_probe(slot);
        } else {
            rest(slot);
        }
    }
    void take_probe(Slot slot) {
        Connection& connection = connections_[slot];
        while (!probes_.empty() && probes_.front() <= cpu_.now() - 1000) probes_.pop_front();
        if (drains_ || probes_.full()) {
            say(AnswerOut{connection.number, 0, Ended::NeverRan, false, 0, reports_.seen(cpu_.now()), false});
            return rest(slot);
        }
        probes_.push_back(cpu_.now());
        connection.use = Use::Probe;
        cpu_.small.push(slot, figures_.probe_work.count());
    }
    void break_connection(Slot slot) { drop_connection(slot, Ended::Reset); }
    /// Forgets the connection, broken by the server or dropped by the node; the request on it has ended so.
    void drop_connection(Slot slot, Ended how) {
        Connection& connection = connections_[slot];
        const Slot r = connection.request;
        if (connection.use == Use::Opening || connection.use == Use::Probe) cpu_.small.jobs.remove(slot);
        if (connection.use == Use::Idle) idle_.remove(connections_, slot);
        if (r != kNoSlot) {
            say(AnswerOut{connection.number, requests_[r].attempt, how, has_slot(r), 0, std::nullopt, true});
        }
        if (how == Ended::Reset) say(ConnectionBroken{connection.number});
        by_number_.erase(connection.number);
        connection.use = Use::Free;
        connections_.give(slot);
        if (r != kNoSlot) abandon(r);
    }

    // Requests.

    double window(int cls) const {
        return cls >= 0 && cls < static_cast<int>(windows_.size()) ? windows_[static_cast<std::size_t>(cls)]
                                                                   : 0;
    }
    bool has_slot(Slot r) { return requests_[r].phase == Phase::Work || requests_[r].phase == Phase::Wait; }
    /// Whether a draw for this attempt falls within the part. By its number: no other request's fate hangs on
    /// it.
    bool hit(double part, Salt salt, AttemptNo attempt) const {
        return part > 0 && part_of(drawn(seed_, salt, attempt)) < part;
    }

    void take_up(Slot r) {
        Request& request = requests_[r];
        if (drains_ || request.overdue <= cpu_.now()) return answer(r, Ended::NeverRan, false);
        if (request.keyed && is_repeat(r)) return;
        if (hit(resets_, kResets, request.attempt)) {
            if (hit(0.5, kResetsWhen, request.attempt)) return break_connection(request.connection);
            request.breaks_halfway = true;
        }
        if (!hangs_ && hit(fails_, kFails, request.attempt)) {
            const bool ran = hit(0.5, kFailsRan, request.attempt);
            if (ran && request.keyed) memory_->finish(request.cls, request.key, begin_run(request));
            return answer(r, Ended::Error, ran);
        }
        place(r);
    }
    void place(Slot r) {
        if (working_ < figures_.slots) return begin(r);
        if (static_cast<int>(room_.size()) >= figures_.room) return answer(r, Ended::NeverRan, false);
        Request& request = requests_[r];
        request.phase = Phase::Room;
        room_.push_back(requests_, r);
        if (request.overdue < kNever) overdue_.push(r, request.overdue);
    }
    void leave_room(Slot r) {
        room_.remove(requests_, r);
        if (requests_[r].overdue < kNever) overdue_.remove(r);
    }
    void begin(Slot r) {
        Request& request = requests_[r];
        ++working_;
        request.phase = Phase::Work;
        request.began = cpu_.now();
        if (request.keyed) request.run = begin_run(request);
        cpu_.requests.push(r, request.work);
    }
    void begin_next() {
        while (working_ < figures_.slots && !room_.empty()) {
            const Slot r = room_.front();
            leave_room(r);
            if (requests_[r].overdue < cpu_.now() && !hangs_) {
                answer(r, Ended::NeverRan, false);
            } else if (!requests_[r].keyed || !is_repeat(r)) {
                begin(r);
            }
        }
    }
    void end_overdue() {
        const Slot r = overdue_.top();
        leave_room(r);
        answer(r, Ended::NeverRan, false);
    }
    void end_work(Slot r) {
        Request& request = requests_[r];
        if (request.breaks_halfway && request.connection != kNoSlot) {
            request.phase = Phase::Wait;
            push_wait(r);
            return break_connection(request.connection);
        }
        if (request.wait <= 0) return finish(r);
        request.phase = Phase::Wait;
        push_wait(r);
    }
    void push_wait(Slot r) {
        if (waits_.empty()) waited_ = 0;  // keeps its digits
        waits_.push(r, waited_ + std::max(0.0, requests_[r].wait));
    }
    void end_wait() {
        waited_ = std::max(waited_, waits_.top_tag());
        finish(waits_.pop());
    }
    /// All its work is done. The effect of a keyed request takes place here, also of one that nobody waits
    /// for.
    void finish(Slot r) {
        Request& request = requests_[r];
        --working_;
        const KeyMemory::Run run = std::exchange(request.run, 0);
        if (run != 0) memory_->finish(request.cls, request.key, run);
        reports_.count(cpu_.now() - request.began);
        if (request.connection == kNoSlot) {
            requests_.give(r);
        } else {
            const bool error = hit(figures_.error_rate, kErrors, request.attempt);
            const bool spoilt = !error && hit(spoilt_, kSpoilt, request.attempt);
            answer(r, error ? Ended::Error : spoilt ? Ended::Spoilt : Ended::Served, true);
        }
        begin_next();
        if (run != 0) look_at_repeats();
    }
    /// The request is over.
    void answer(Slot r, Ended how, bool ran) {
        const Request& request = requests_[r];
        const int way = how == Ended::Spoilt
                            ? static_cast<int>(drawn(seed_, kSpoiltHow, request.attempt) % kSpoiltWays)
                            : 0;
        const Slot connection = request.connection;
        say(AnswerOut{connections_[connection].number, request.attempt, how, ran, way,
                      reports_.seen(cpu_.now()), true});
        requests_.give(r);
        rest(connection);
    }
    /// Its connection is gone.
    void abandon(Slot r) {
        Request& request = requests_[r];
        request.connection = kNoSlot;
        const Phase phase = request.phase;
        if (phase == Phase::Room) leave_room(r);
        if (phase == Phase::Repeat) repeats_.erase(std::find(repeats_.begin(), repeats_.end(), r));
        if (phase == Phase::Work || phase == Phase::Wait) {
            if (!figures_.cancel_running) return;
            if (phase == Phase::Work) {
                cpu_.requests.jobs.remove(r);
            } else {
                waits_.remove(r);
            }
            --working_;
            stop_run(request);
            requests_.give(r);
            return begin_next();
        }
        requests_.give(r);
    }

    // Repeats of keyed requests.

    KeyMemory::Run begin_run(const Request& request) {
        return memory_->begin(request.cls, request.key, request.arrived, window(request.cls), cpu_.now());
    }
    /// If so it is answered, or waits for its first; in a hang for the end of that too.
    bool is_repeat(Slot r) {
        Request& request = requests_[r];
        const KeyMemory::Seen seen = memory_->look(request.cls, request.key, request.arrived);
        if (seen == KeyMemory::Seen::New) return false;
        if (seen == KeyMemory::Seen::Done && !hangs_) {
            answer(r, Ended::Served, false);
        } else {
            request.phase = Phase::Repeat;
            repeats_.push_back(r);
            if (poll_at_ == kNever) poll_at_ = cpu_.now() + kRepeatPoll;
        }
        return true;
    }
    void look_at_repeats() {
        if (repeats_.empty()) return;
        repeats_looked_at_.swap(repeats_);
        for (const Slot r : repeats_looked_at_) {
            if (!is_repeat(r)) place(r);  // its first was stopped: it is the first now
        }
        repeats_looked_at_.clear();
        if (repeats_.empty()) poll_at_ = kNever;
    }

    template <class Action>
    void say(Action&& action) {
        actions_->emplace_back(std::forward<Action>(action));
    }

    ServerFigures figures_;
    const std::shared_ptr<KeyMemory> memory_;
    const std::uint64_t seed_;
    const double speed_;
    const Duration tip_span_;
    std::vector<double> windows_;  // by class
    double crowd_slope_ = 0, tax_ = 0;

    bool up_ = false, drains_ = false, hangs_ = false, paused_ = false;
    double pace_ = 1, fails_ = 0, resets_ = 0, spoilt_ = 0;
    double pause_size_ = 0, pause_every_ = 0, pause_at_ = kNever;
    std::uint64_t pauses_ = 0;
    std::vector<ServerEvent> deferred_;  // came while the machine stood still

    Cpu cpu_;
    ColdBudget budget_;
    LoadReports reports_;
    boost::circular_buffer<double> probes_;  // times of the last second's

    Slots<Request> requests_;
    SlotList<Request> room_;
    TagHeap waits_, overdue_;
    double waited_ = 0;  // by a request that has waited on others from the beginning
    int working_ = 0;    // slots taken
    std::vector<Slot> repeats_, repeats_looked_at_;
    double poll_at_ = kNever;

    Slots<Connection> connections_;
    SlotList<Connection> idle_;                                // by how long
    boost::unordered_flat_map<ConnectionNo, Slot> by_number_;  // never walked

    double next_ = kNever, armed_ = kNever;
    Due due_ = Due::None;
    ServerActions* actions_ = nullptr;
};

Server::Server(ServerFigures figures, const std::vector<ClassFigures>& classes, const Limits& limits,
               std::shared_ptr<KeyMemory> duplicates, std::uint64_t seed)
    : state_(std::make_unique<State>(std::move(figures), classes, limits, std::move(duplicates), seed)) {}
Server::~Server() = default;
Server::Server(Server&&) noexcept = default;

void Server::handle(TimePoint now, const ServerEvent& event, ServerActions& actions) {
    state_->handle(now, event, actions);
}
int Server::held() const {
    return state_->held();
}
bool Server::running() const {
    return state_->running();
}
double Server::warmth(TimePoint now) const {
    return state_->warmth(now);
}
std::shared_ptr<Server::KeyMemory> Server::make_memory() {
    return std::make_shared<KeyMemory>();
}

}  // namespace ochrehub::lab
