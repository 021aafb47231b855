#include "lab/play/discovery_shell.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>

namespace ochrehub::lab {

namespace asio = boost::asio;
namespace json = boost::json;
using boost::system::error_code;

namespace {

constexpr unsigned kMachine = 10;
constexpr Duration kAcceptAgain{20};

std::optional<std::uint64_t> query_number(std::string_view target, std::string_view name) {
    std::size_t at = target.find('?');
    std::string_view query = at == std::string_view::npos ? "" : target.substr(at + 1);
    while (!query.empty()) {
        std::string_view one = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), one.size() + 1));
        if (one.substr(0, name.size()) != name || one.size() <= name.size() || one[name.size()] != '=')
            continue;
        one.remove_prefix(name.size() + 1);
        std::uint64_t number = 0;
        auto [end, error] = std::from_chars(one.data(), one.data() + one.size(), number);
        if (error == std::errc{} && end == one.data() + one.size()) return number;
    }
    return std::nullopt;
}

const char* word(ToldPhase phase) {
    return phase == ToldPhase::InService     ? "in_service"
           : phase == ToldPhase::Terminating ? "terminating"
                                             : "terminated";
}

}  // namespace

class DiscoveryShell::Connection : public Link {
public:
    Connection(DiscoveryShell& shell, NodeNo node, asio::ip::tcp::socket socket)
        : Link(shell.loop_, std::move(socket)), shell_(shell), node_(node) {}

    NodeNo node() const { return node_; }
    void answer(const ListOut& list) {
        auto held = std::make_shared<ListOut>(list);
        call_ = 0;
        send(answer_text(200, "Content-Type: application/json\r\n", shell_.json(list, node_)), false,
             [self = self_of(), held] {
                 self->shell_.told(*held);
                 self->shell_.loop_.note(Asked{self->shell_.loop_.now(), self->node_, Asked::What::Answered});
             });
        if (open()) proceed();
    }
    void fail(bool hard) {
        call_ = 0;
        shell_.loop_.note(Asked{shell_.loop_.now(), node_, Asked::What::Failed});
        if (!hard) {
            send(answer_text(503, "", ""));
            if (open()) proceed();
            return;
        }
        break_off();
    }
    void break_off() {
        end(true);
        shell_.connections_.erase(self_of());
    }
    ListCall call() const { return call_; }

private:
    std::shared_ptr<Connection> self_of() { return std::static_pointer_cast<Connection>(shared_from_this()); }
    bool ready() const override { return call_ == 0; }
    void request(Message message, TimePoint, TimePoint) override {
        if (message->method != "GET" || http::path_of(message->target) != "/v1/servers")
            return send(answer_text(404, "", ""));
        call_ = ++shell_.last_call_;
        shell_.calls_[call_] = self_of();
        shell_.loop_.note(Asked{shell_.loop_.now(), node_, Asked::What::Called});
        ListAsked asked{call_, node_, query_number(message->target, "index"), {}};
        asked.wait = Duration{double(query_number(message->target, "wait").value_or(0))};
        // Later: an answer at once must not come from inside the reading.
        shell_.loop_.scheduler().post([self = self_of(), asked] {
            if (self->call_ == asked.call) self->shell_.event(asked);
        });
    }
    void unreadable() override { send(answer_text(400, "Connection: close\r\n", ""), true); }
    void gone() override {
        auto self = self_of();
        shell_.connections_.erase(self);
        if (call_ != 0) {
            shell_.calls_.erase(call_);
            shell_.event(ListCallGone{std::exchange(call_, 0)});
        }
    }

    DiscoveryShell& shell_;
    const NodeNo node_;
    ListCall call_ = 0;
};

DiscoveryShell::DiscoveryShell(Loop& loop, const Day& day, TimePoint start, std::uint64_t seed,
                               AddressOf address_of)
    : loop_(loop),
      day_(day),
      address_of_(std::move(address_of)),
      core_(day, start, seed),
      cuts_(day),
      addresses_(day.nodes.size()) {
    open_listeners();
}

DiscoveryShell::~DiscoveryShell() = default;

void DiscoveryShell::open_listeners() {
    for (std::size_t node = 0; node < day_.nodes.size(); ++node) {
        auto& listener = listeners_.emplace_back(std::make_unique<Listener>());
        listener->held = std::make_unique<Held>(loop_.io(), machine(kMachine));
        listener->acceptor.emplace(listen_at(loop_.io(), listener->held->at()));
        addresses_[node] = listener->held.get();
        accept(listeners_.size() - 1, NodeNo(node));
    }
}

void DiscoveryShell::accept(std::size_t place, NodeNo node) {
    auto& acceptor = listeners_[place]->acceptor;
    if (!acceptor || closed_) return;
    acceptor->async_accept([this, place, node](error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted || closed_) return;
        if (error) {
            loop_.scheduler().call_at(loop_.now() + kAcceptAgain,
                                      [this, place, node] { accept(place, node); });
            return;
        }
        auto made = std::make_shared<Connection>(*this, node, std::move(socket));
        connections_.insert(made);
        made->start();
        made->pass(passage(node));
        accept(place, node);
    });
}

void DiscoveryShell::hear(const ServerIs& what) {
    event(what);
}

void DiscoveryShell::event(const DiscoveryEvent& event) {
    if (closed_) return;
    DiscoveryActions actions;
    core_.handle(loop_.now(), event, actions);
    for (const DiscoveryAction& action : actions) carry_out(action);
}

void DiscoveryShell::carry_out(const DiscoveryAction& action) {
    auto take = [this](ListCall call) {
        auto it = calls_.find(call);
        if (it == calls_.end()) return std::shared_ptr<Connection>();
        auto found = it->second;
        calls_.erase(it);
        return found;
    };
    if (auto* out = std::get_if<ListOut>(&action)) {
        if (auto to = take(out->call)) to->answer(*out);
    } else if (auto* failed = std::get_if<ListFailed>(&action)) {
        if (auto to = take(failed->call)) to->fail(failed->reset);
    } else if (auto* wake = std::get_if<WakeDiscoveryAt>(&action)) {
        TimePoint at = wake->at;
        if (!wakes_.insert(at).second) return;
        loop_.scheduler().call_at(at, [this, at] {
            wakes_.erase(at);
            event(DiscoveryWoken{});
        });
    }
}

void DiscoveryShell::told(const ListOut& list) {
    bool first = list.complete;
    for (const Listed& one : list.members)
        loop_.note(
            Told{loop_.now(), list.node, one.server, one.phase, one.started, std::exchange(first, false)});
}

std::string DiscoveryShell::tell_known(NodeNo node) {
    ListOut list = core_.known();
    list.node = node;
    told(list);
    return json(list, node);
}

std::string DiscoveryShell::json(const ListOut& list, NodeNo node) const {
    json::array members;
    for (const Listed& one : list.members) {
        const ServerFigures& server = day_.servers[std::size_t(one.server)];
        auto name = [](const std::vector<std::string>& names, int place) {
            return place >= 0 && std::size_t(place) < names.size() ? names[std::size_t(place)]
                                                                   : std::string();
        };
        members.push_back(
            json::object{{"id", server.id},
                         {"host_port", address_of_(one.server, node)},
                         {"locality", name(day_.network.zones, server.zone)},
                         {"flavor", name(day_.kinds, server.kind)},
                         {"cell", server.cell},
                         {"phase", word(one.phase)},
                         {"size", server.size},
                         {"up_since_ms", std::int64_t(one.started.time_since_epoch().count())}});
    }
    return json::serialize(json::object{
        {"revision", list.revision}, {"complete", list.complete}, {"members", std::move(members)}});
}

Passage DiscoveryShell::passage(NodeNo node) const {
    Place there{Place::Of::Discovery, kNobody, kNone};
    Place here{Place::Of::Node, node, day_.nodes[std::size_t(node)].zone};
    return {!cuts_.cut(here, there), !cuts_.cut(there, here), false};
}

void DiscoveryShell::fault(int number, bool on) {
    const Fault& fault = day_.faults[std::size_t(number)];
    if (on)
        faults_.insert(number);
    else
        faults_.erase(number);
    if (fault.kind == FaultKind::Partition) {
        cuts_.set(number, on);
        for (std::size_t i = 0; i < listeners_.size(); ++i) {
            Passage now = passage(NodeNo(i % day_.nodes.size()));
            if (listeners_[i]->acceptor)
                deafen(listeners_[i]->acceptor->native_handle(), !now.in || !now.out);
        }
        auto all = connections_;
        for (const auto& connection : all) connection->pass(passage(connection->node()));
    }
    if (fault.kind == FaultKind::DiscoveryDown || fault.kind == FaultKind::DiscoveryStale) down_or_stale();
}

void DiscoveryShell::down_or_stale() {
    DiscoveryIs now;
    for (int number : faults_) {
        FaultKind kind = day_.faults[std::size_t(number)].kind;
        now.down = now.down || kind == FaultKind::DiscoveryDown;
        now.stale = now.stale || kind == FaultKind::DiscoveryStale;
    }
    event(now);
}

void DiscoveryShell::move() {
    open_listeners();
}

void DiscoveryShell::leave_old() {
    std::size_t current = listeners_.size() - day_.nodes.size();
    std::set<Endpoint> old;
    for (std::size_t i = 0; i < current; ++i) {
        listeners_[i]->acceptor.reset();
        old.insert(listeners_[i]->held->at());
    }
    auto all = connections_;
    for (const auto& connection : all) {
        if (!old.count(connection->local())) continue;
        ListCall call = connection->call();
        connection->break_off();
        if (call == 0) continue;
        calls_.erase(call);
        loop_.note(Asked{loop_.now(), connection->node(), Asked::What::Failed});
        event(ListCallGone{call});
    }
}

void DiscoveryShell::close() {
    closed_ = true;
    for (auto& listener : listeners_) listener->acceptor.reset();
    auto all = std::move(connections_);
    connections_.clear();
    calls_.clear();
    for (const auto& connection : all) connection->end(true);
}

}  // namespace ochrehub::lab
