#include "lab/sim/sim_front.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace ochrehub::lab {
namespace {

constexpr Duration kIdleMost{2000};  // without a request
constexpr Duration kLingerMost{1000};
constexpr Duration kSweep{100};

}  // namespace

class SimFront::Session : public ResponseSink, public std::enable_shared_from_this<Session> {
public:
    enum class State { Reading, Waiting, Leaving, Closed };

    Session(SimFront& front, ClientConnection connection, bool over)
        : front_(front), connection_(connection), over_(over), since_(front.scheduler_.now()) {}

    void entered(Table::Place place) { place_ = place; }
    State state() const { return state_; }
    ClientConnection connection() const { return connection_; }

    std::chrono::nanoseconds stood() const {
        return std::chrono::duration_cast<std::chrono::nanoseconds>(front_.scheduler_.now() - since_);
    }
    /// Nothing is lost where it closes: as in ClientSession, not if a request lies unread in its socket.
    bool spare() const {
        return state_ == State::Leaving ||
               (state_ == State::Reading && !front_.world_.has_unread_request(connection_));
    }
    bool late() const {
        Duration most = state_ == State::Leaving ? kLingerMost : kIdleMost;
        return spare() && front_.scheduler_.now() - since_ > most;
    }

    void ask(const Ask& ask, TimePoint came) {
        if (state_ != State::Reading) return;  // clients send one request at a time
        TimePoint now = front_.scheduler_.now();
        front_.lag_.read(now, now - came);
        bool again = !std::exchange(first_, false);
        again_ = again;
        stand(Standing::Busy);
        IncomingRequest call;
        auto message = std::make_shared<SimMessage>();
        message->id = ask.id;
        message->call = ask.call;
        message->cls = ask.cls;
        message->key = ask.key;
        message->work = ask.work;
        message->wait = ask.wait;
        message->give_up_at = came + ask.patience;
        message_ = message;
        admission_request_ = {ask.cls, ask.tenant, ask.marked, connection_};
        if (over_) {
            close_after_ = true;
            return turn_away(
                front_.admission_.reject_connection(front_.scheduler_.now(), admission_request_));
        }
        if (now - came >= front_.lag_.most(ask.patience)) {
            front_.scheduler_.was_cheap();
            return turn_away(front_.admission_.reject_connection(now, admission_request_));
        }
        if (auto back = front_.admission_.admit(front_.scheduler_.now(), admission_request_))
            return turn_away(*back);
        call.request.class_index = ask.cls;
        call.request.tenant = ask.tenant;
        call.request.is_client_retry = ask.marked;
        call.request.deadline = came + ask.patience;
        call.message = std::move(message);
        enter(State::Waiting);
        request_ = front_.engine_.submit(std::move(call), shared_from_this());
        submitted_ = true;
    }

    void noise() {
        if (state_ != State::Reading) return;
        first_ = false;
        stand(Standing::Starting);
        SimReply reply;
        reply.heard = Heard::Failed;
        reply.status = 400;
        reply.closes = true;
        front_.world_.reply(connection_, 0, reply);
        leave();
    }

    void respond(FinalResponse reply) override {
        if (state_ == State::Closed || state_ == State::Leaving) return;
        bool entered = std::exchange(submitted_, false);
        if (entered) {
            TimePoint now = front_.scheduler_.now();
            front_.admission_.complete(now, admission_request_, reply.status == FinalStatus::Served,
                                       now - since_, reply.server_took);
            if (reply.status == FinalStatus::Rejected)
                reply.retry_after = front_.admission_.reject(now, admission_request_);
        }
        SimReply out;
        out.heard = reply.status == FinalStatus::Served     ? Heard::Served
                    : reply.status == FinalStatus::Rejected ? Heard::Refused
                                                            : Heard::Failed;
        out.status = out.heard == Heard::Served    ? 200
                     : out.heard == Heard::Refused ? 503
                     : reply.timed_out             ? 504
                                                   : 502;
        out.advice = reply.retry_after;
        if (reply.message) out.answer = static_cast<const SimAnswer&>(*reply.message).attempt;
        out.closes = close_after_ || front_.draining_;
        bool send = true;
        std::shared_ptr<const SimMessage> message = std::move(message_);
        if (front_.meddler_) send = front_.meddler_->replying(front_.hands_, connection_, *message, out);
        if (send) front_.world_.reply(connection_, message->id, out);
        if (out.closes) return leave();
        enter(State::Reading);
        stand(again_ ? Standing::Idle : Standing::Once);
    }

    void leave() {
        enter(State::Leaving);
        stand(Standing::Leaving);
    }

    /// By the node.
    void close() {
        if (state_ == State::Closed) return;
        front_.world_.close_client(connection_);
        left();
    }

    /// Whoever closed it.
    void left() {
        if (state_ == State::Closed) return;
        state_ = State::Closed;
        if (std::exchange(submitted_, false)) {
            front_.engine_.client_disconnected(request_);
            TimePoint now = front_.scheduler_.now();
            front_.admission_.complete(now, admission_request_, false, now - since_);
        }
        std::shared_ptr<Session> self = front_.table_.leave(place_, standing_);
        front_.sessions_.erase(connection_);
        front_.scheduler_.post([front = &front_] { front->accept_waiting(); });
    }

private:
    void turn_away(Duration back) { respond({FinalStatus::Rejected, back, false, nullptr}); }
    void enter(State state) {
        state_ = state;
        since_ = front_.scheduler_.now();
    }
    void stand(Standing standing) {
        front_.table_.stands(place_, standing_, standing);
        standing_ = standing;
    }

    SimFront& front_;
    ClientConnection connection_;
    bool over_, first_ = true, again_ = false, close_after_ = false, submitted_ = false;
    State state_ = State::Reading;
    Standing standing_ = Standing::Silent;
    Table::Place place_{};
    TimePoint since_;
    RequestId request_ = 0;
    AdmissionController::AdmissionRequest admission_request_;
    std::shared_ptr<const SimMessage> message_;
};

SimFront::SimFront(NodeScheduler& scheduler, NodeWorld& world, Engine& engine, AdmissionController admission,
                   DescriptorBudget budget, Meddler* meddler, const Meddler::Hands& hands,
                   LoadStateHeard load_state)
    : scheduler_(scheduler),
      world_(world),
      engine_(engine),
      meddler_(meddler),
      hands_(hands),
      admission_(std::move(admission)),
      load_state_(std::move(load_state)),
      table_(budget) {
    sweep();
}

SimFront::~SimFront() = default;

void SimFront::opened(ClientConnection connection) {
    if (!backlog_.empty() || !table_.may_accept()) {
        backlog_.push_back({.connection = connection, .ask = {}, .ask_came = {}, .noise = false});
        return;
    }
    accept(connection);
}

void SimFront::accept(ClientConnection connection) {
    bool over = table_.over();
    admission_.connection_opened(scheduler_.now());
    auto session = std::make_shared<Session>(*this, connection, over);
    session->entered(table_.enter(session));
    sessions_[connection] = std::move(session);
}

void SimFront::accept_waiting() {
    while (!backlog_.empty() && table_.may_accept()) {
        Backlogged next = std::move(backlog_.front());
        backlog_.pop_front();
        accept(next.connection);
        if (next.ask) read(*next.ask, next.ask_came);
        if (next.noise) noise(next.connection);
    }
}

void SimFront::asked(const Ask& ask) {
    TimePoint came = scheduler_.sheds() ? scheduler_.came() : scheduler_.now();
    if (read(ask, came)) return;
    if (scheduler_.sheds()) scheduler_.was_cheap();  // its client has gone
    for (Backlogged& waiting : backlog_) {
        if (waiting.connection != ask.connection) continue;
        waiting.ask = ask;
        waiting.ask_came = came;
    }
}

bool SimFront::read(const Ask& ask, TimePoint came) {
    auto it = sessions_.find(ask.connection);
    if (it == sessions_.end()) return false;
    std::shared_ptr<Session> session = it->second;  // its close may come from inside
    session->ask(ask, came);
    return true;
}

void SimFront::noise(ClientConnection connection) {
    if (auto it = sessions_.find(connection); it != sessions_.end()) {
        std::shared_ptr<Session> session = it->second;
        return session->noise();
    }
    for (Backlogged& waiting : backlog_)
        if (waiting.connection == connection) waiting.noise = true;
}

void SimFront::closed(ClientConnection connection) {
    if (auto it = sessions_.find(connection); it != sessions_.end()) {
        std::shared_ptr<Session> session = it->second;
        session->left();
    }
    std::erase_if(backlog_, [&](const Backlogged& waiting) { return waiting.connection == connection; });
}

bool SimFront::quiet() const {
    auto all_spare = [this](Standing standing) {
        const auto& sessions = table_.standing(standing);
        return std::all_of(sessions.begin(), sessions.end(), [](const auto& s) { return s->spare(); });
    };
    return table_.standing(Standing::Starting).empty() && table_.standing(Standing::Busy).empty() &&
           all_spare(Standing::Silent) && all_spare(Standing::Once) && all_spare(Standing::Idle) &&
           std::none_of(backlog_.begin(), backlog_.end(), [](const auto& b) { return b.ask.has_value(); });
}

void SimFront::sweep() {
    std::vector<std::shared_ptr<Session>> late;
    table_.each([&](const auto& session) {
        if (session->late()) late.push_back(session);
    });
    for (const auto& session : late) session->close();
    std::optional<LoadState::Change> change = admission_.poll_state_change(scheduler_.now());
    if (change && load_state_) load_state_(*change);
    scheduler_.call_at(scheduler_.now() + kSweep, [this] { sweep(); });
}

}  // namespace ochrehub::lab
