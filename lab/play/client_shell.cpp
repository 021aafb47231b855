#include "lab/play/client_shell.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <charconv>
#include <cmath>

#include "lab/play/forms.h"
#include "lab/play/spoilt.h"

namespace ochrehub::lab {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr Duration kConnectMost{3000};
constexpr int kRepeatsMost = 20;  // of one noise on one connection
constexpr std::size_t kUnreadMost = std::size_t{1} << 20;

std::optional<Duration> advice_of(const http::HttpMessage& answer) {
    std::string_view text = answer.header("Retry-After");
    double seconds = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size() || !(seconds >= 0))
        return std::nullopt;
    return Duration{seconds * 1000};
}

}  // namespace

class ClientShell::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(ClientShell& shell, const OpenConnection& open)
        : shell_(shell),
          number_(open.connection),
          node_(open.node),
          hostile_(open.hostile),
          socket_(shell.loop_.io()),
          messages_(shell.loop_.pool()) {
        if (!open.hostile || open.noise < 0) return;
        const auto& classes = shell.day_.classes;
        Noise made = noise(open.noise, ++shell.noises_, classes.empty() ? "x" : classes.front().name);
        out_ = made.bytes;
        if (made.repeats) again_ = made.bytes;
        closes_ = made.closes;
    }

    NodeNo node() const { return node_; }
    bool open() const { return !ended_; }

    void connect() {
        if (ended_ || connecting_ || shell_.cut(node_, true) || shell_.cut(node_, false)) return;
        connecting_ = true;
        const Endpoint& to = shell_.nodes_[std::size_t(node_)];
        life_ = shell_.lives_.latest(node_);
        error_code error;
        socket_.open(to.protocol(), error);
        if (!error) socket_.non_blocking(true, error);
        if (!error) socket_.set_option(asio::ip::tcp::no_delay(true), error);
        if (error) return lose_later();  // no descriptor, say
        socket_.async_connect(to, [self = shared_from_this()](error_code failed) {
            if (self->ended_) return;
            if (failed) return self->lost(false);
            // Another process was started meanwhile: who knows which of the two this one is with.
            if (self->shell_.lives_.latest(self->node_) != self->life_) return self->lost(false);
            self->up_ = true;
            self->shell_.loop_.note(ClientConnected{self->shell_.loop_.now(), self->node_, self->hostile_});
            self->wait_to_read();
            self->write();
        });
        shell_.loop_.scheduler().call_at(shell_.loop_.now() + kConnectMost, [self = shared_from_this()] {
            if (!self->ended_ && !self->up_) self->lost(false);
        });
    }
    void ask(const Ask& ask) {
        ask_ = ask;
        give_up_at_ = shell_.loop_.now() + ask.patience;
        shell_.tries_[ask.id] = weak_from_this();
        cut_ = shell_.cuts_.any() && (shell_.cut(node_, true) || shell_.cut(node_, false));
        sent_ = heard_some_ = false;
        shell_.loop_.scheduler().call_at(shell_.loop_.now() + shell_.one_way(),
                                         [self = shared_from_this(), id = ask.id] {
                                             if (self->ended_ || !self->ask_ || self->ask_->id != id) return;
                                             self->to_write_ = true;
                                             if (self->up_) self->write();
                                         });
    }
    /// What passes has changed.
    void pass() {
        if (ended_) return;
        if (shell_.cut(node_, true) || shell_.cut(node_, false)) cut_ = true;
        connect();
        if (!up_) return;
        write();
        if (!ended_) read_on();
    }
    bool was_cut() const { return cut_; }
    /// By the client.
    void close() {
        if (ended_) return;
        ended_ = true;
        forget_try();
        error_code ignored;
        socket_.close(ignored);
    }

private:
    void write() {
        if (ended_ || !up_ || shell_.cut(node_, true)) return;
        if (to_write_) {
            to_write_ = false;
            if (closed_by_node()) return lost(false);
            TimePoint now = shell_.loop_.now();
            out_ = request_text(shell_.day_, *ask_, give_up_at_ - now);
            written_ = 0;
            asking_ = true;
        }
        while (written_ < out_.size()) {
            error_code error;
            TimePoint now =
                shell_.loop_.now();  // before the bytes are there: nothing that they cause is earlier
            written_ += socket_.write_some(asio::buffer(out_) + written_, error);
            if (error == asio::error::would_block) {
                if (waiting_to_write_) return;
                waiting_to_write_ = true;
                socket_.async_wait(asio::ip::tcp::socket::wait_write,
                                   [self = shared_from_this()](error_code) {
                                       self->waiting_to_write_ = false;
                                       self->write();
                                   });
                return;
            }
            if (error)
                return lost(error == asio::error::connection_reset || error == asio::error::broken_pipe);
            if (written_ == out_.size() && std::exchange(asking_, false)) note_sent(now);
        }
        if (closes_) {
            close();
            tell_lost(false);
        }
    }
    void note_sent(TimePoint at) {
        sent_ = true;
        sent_at_ = at;
        TrySent record;
        record.at = at;
        record.id = ask_->id;
        record.call = ask_->call;
        record.node = node_;
        record.cls = ask_->cls;
        record.tenant = ask_->tenant;
        record.key = ask_->key;
        record.give_up_at = give_up_at_;
        record.repeat = ask_->repeat;
        record.marked = ask_->marked;
        shell_.loop_.note(record);
    }

    // A node may close between requests. Seen before the request is written, nothing was ever sent.
    bool closed_by_node() {
        char byte = 0;
        error_code error;
        std::size_t got = socket_.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
        return got == 0 && error && error != asio::error::would_block;
    }

    void wait_to_read() {
        socket_.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
            if (!self->ended_ && !error) self->read_on();
        });
    }
    void read_on() {
        if (ended_ || shell_.cut(node_, false)) return;  // read when it passes again
        std::array<char, 16384> bytes;
        while (!ended_) {
            error_code error;
            std::size_t got = socket_.read_some(asio::buffer(bytes), error);
            if (error == asio::error::would_block) return wait_to_read();
            if (error) return ended_by_node(error);
            if (hostile_) {
                if (!again_.empty() && ++repeats_ <= kRepeatsMost) {
                    out_ = again_;
                    written_ = 0;
                    write();
                }
                continue;
            }
            heard_some_ = true;
            messages_.add({bytes.data(), got});
            take(shell_.loop_.now());
            if (messages_.unread() > kUnreadMost && !ended_) lost(false);
        }
    }
    void take(TimePoint now) {
        while (!ended_) {
            auto state = messages_.next();
            if (state == Messages<false>::State::NeedMore) return;
            if (state == Messages<false>::State::Bad) return lost(false);
            bool closes = !messages_.keep_alive();
            auto answer = messages_.take();
            if (answer->status >= 100 && answer->status < 200) continue;
            heard(*answer, closes, now);
        }
    }
    void heard(const http::HttpMessage& answer, bool closes, TimePoint now) {
        Heard what = answer.status == 200                           ? Heard::Served
                     : answer.status == 429 || answer.status == 503 ? Heard::Refused
                                                                    : Heard::Failed;
        bool expected = ask_ && sent_;
        TryAnswered record;
        record.at = now;
        record.id = expected ? ask_->id : last_;
        record.heard = what;
        record.status = answer.status;
        if (what == Heard::Served) record.answer = read_answer(answer.body_view());
        record.advice = advice_of(answer);
        if (record.id != 0) shell_.loop_.note(record);
        if (!expected) return lost(false);  // nobody asked: a second answer to the last request
        last_ = ask_->id;
        forget_try();
        ask_.reset();
        heard_some_ = sent_ = false;
        ++answered_;
        auto told =
            std::make_shared<Answered>(Answered{record.id, what, answer.status, record.advice, closes});
        heard_at_ = now + shell_.one_way();
        shell_.loop_.scheduler().call_at(heard_at_, [self = shared_from_this(), told] {
            if (self->shell_.find(self->number_) == self) self->shell_.handle(*told);
        });
    }
    void ended_by_node(const error_code& error) {
        if (ask_ && sent_ && messages_.end()) {
            auto answer = messages_.take();
            heard(*answer, true, shell_.loop_.now());
            return lost(false);
        }
        bool by_reset = error == asio::error::connection_reset || error == asio::error::broken_pipe;
        if (!by_reset) {  // an end, and a reset behind it for what the node did not read?
            int pending = 0;
            socklen_t size = sizeof pending;
            getsockopt(socket_.native_handle(), SOL_SOCKET, SO_ERROR, &pending, &size);
            by_reset = pending == EPIPE || pending == ECONNRESET;
        }
        lost(by_reset);
    }
    /// Not by the client. `by_reset`: what was written last was not read by the node.
    void lost(bool by_reset) {
        if (ended_) return;
        bool crossed = by_reset && answered_ > 0 && !heard_some_ &&
                       shell_.loop_.now() - sent_at_ < shell_.crossing_most_;
        bool unread = !sent_ || crossed;
        close();
        TimePoint at =
            std::max(shell_.loop_.now() + shell_.one_way(), heard_at_);  // behind what came ahead of it
        shell_.loop_.scheduler().call_at(at,
                                         [self = shared_from_this(), unread] { self->tell_lost(unread); });
    }
    void lose_later() {
        close();
        shell_.loop_.scheduler().post([self = shared_from_this()] { self->tell_lost(true); });
    }
    void tell_lost(bool unread) {
        if (shell_.closed_) return;
        auto gone = shell_.connections_.find(number_);
        if (gone == shell_.connections_.end()) return;  // the client has closed it meanwhile
        shell_.connections_.erase(gone);
        shell_.handle(ConnectionLost{number_, unread, shell_.lives_.killed(node_, life_)});
    }
    void forget_try() {
        if (!ask_) return;
        auto it = shell_.tries_.find(ask_->id);
        if (it != shell_.tries_.end() && it->second.lock().get() == this) shell_.tries_.erase(it);
    }

    ClientShell& shell_;
    const ClientConnection number_;
    const NodeNo node_;
    const bool hostile_;
    NodeLives::Life life_ = 0;  ///< the node's process at the other end
    asio::ip::tcp::socket socket_;
    Messages<false> messages_;
    std::optional<Ask> ask_;
    TimePoint give_up_at_{}, sent_at_{}, heard_at_{};
    std::string out_, again_;
    std::size_t written_ = 0;
    TryId last_ = 0;
    std::uint64_t answered_ = 0;
    int repeats_ = 0;
    bool connecting_ = false, up_ = false, ended_ = false;
    bool to_write_ = false, asking_ = false, waiting_to_write_ = false;
    bool sent_ = false, heard_some_ = false;
    bool cut_ = false;  ///< the way was cut at some time since the request came to it
    bool closes_ = false;
};

ClientShell::ClientShell(Loop& loop, const Day& day, TimePoint start, std::uint64_t seed,
                         std::vector<Endpoint> nodes, const NodeLives& lives, Duration crossing_most)
    : loop_(loop),
      day_(day),
      core_(day, start, seed),
      nodes_(std::move(nodes)),
      lives_(lives),
      crossing_most_(crossing_most),
      cuts_(day),
      random_(seed ^ 0x9e3779b97f4a7c15) {
    for (const Endpoint& node : nodes_) must_be_loopback(node.address());
}

ClientShell::~ClientShell() = default;

void ClientShell::begin() {
    handle(ClientsWoken{});
}

void ClientShell::handle(const ClientEvent& event) {
    if (closed_) return;
    ClientActions actions;
    core_.handle(loop_.now(), event, actions);
    for (const ClientAction& action : actions) carry_out(action);
}

void ClientShell::carry_out(const ClientAction& action) {
    if (auto* open = std::get_if<OpenConnection>(&action)) {
        auto made = std::make_shared<Connection>(*this, *open);
        connections_[open->connection] = made;
        made->connect();
    } else if (auto* ask = std::get_if<Ask>(&action)) {
        // One that is lost already will be told so.
        if (auto at = find(ask->connection); at && at->open()) at->ask(*ask);
    } else if (auto* close = std::get_if<CloseConnection>(&action)) {
        if (auto at = find(close->connection)) {
            at->close();
            connections_.erase(close->connection);
        }
    } else if (auto* note = std::get_if<ClientsNote>(&action)) {
        if (auto* left = std::get_if<TryLeft>(&note->record)) note_left(*left);
        loop_.note(note->record);
    } else if (auto* wake_at = std::get_if<WakeClientsAt>(&action)) {
        wake(wake_at->at);
    }
}

// What the network kept from arriving no node owes.
void ClientShell::note_left(const TryLeft& left) {
    auto it = tries_.find(left.id);
    if (it == tries_.end()) return;
    if (auto at = it->second.lock(); at && at->was_cut()) loop_.note(TryLost{left.at, left.id, true});
}

std::shared_ptr<ClientShell::Connection> ClientShell::find(ClientConnection number) const {
    auto it = connections_.find(number);
    return it == connections_.end() ? nullptr : it->second;
}

void ClientShell::wake(TimePoint at) {
    loop_.scheduler().cancel(wake_timer_);  // the latest counts, even where it is a later one
    wake_timer_ = loop_.scheduler().call_at(at, [this] { handle(ClientsWoken{}); });
}

Duration ClientShell::one_way() {
    double drawn = double(random_() >> 11) * 0x1p-53;
    return Duration{day_.network.client_ms} * (1 + day_.network.jitter * -std::log1p(-drawn));
}

bool ClientShell::cut(NodeNo node, bool towards_node) const {
    if (!cuts_.any()) return false;
    int zone = day_.nodes[std::size_t(node)].zone;
    Place client{Place::Of::Client, kNobody, zone}, there{Place::Of::Node, node, zone};
    return towards_node ? cuts_.cut(client, there) : cuts_.cut(there, client);
}

void ClientShell::fault(int number, bool on) {
    if (day_.faults[std::size_t(number)].kind != FaultKind::Partition) return;
    cuts_.set(number, on);
    std::vector<std::shared_ptr<Connection>> all;
    for (const auto& [key, connection] : connections_) all.push_back(connection);
    for (const auto& connection : all) connection->pass();
}

void ClientShell::close() {
    closed_ = true;
    loop_.scheduler().cancel(wake_timer_);
    for (auto& [number, connection] : connections_) connection->close();
    connections_.clear();
}

}  // namespace ochrehub::lab
