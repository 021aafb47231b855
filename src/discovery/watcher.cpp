#include "discovery/watcher.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <string_view>
#include <unordered_set>
#include <utility>

#include "base/log.h"
#include "config/json.h"
#include "ochrehub/hash.h"

namespace ochrehub::discovery {

namespace asio = boost::asio;
using http::Connection;

namespace {

constexpr WatchSettings kWatch{};
// Within a list that has begun. One may come in pieces, and machines stand still for up to 0.6 s; the watch's
// own clock bounds the whole.
constexpr std::chrono::milliseconds kPieceMost{1000};
// Some 8,000 servers where the list comes indented. Guards against a fleet that outgrows a buffer: its list
// could never be read, and the one from before would stay for good.
constexpr std::uint64_t kListBytes = 2 << 20;

}  // namespace

Watcher::Watcher(asio::io_context& io, Scheduler& scheduler, BufferPool& pool, Names names, bool gone_stays,
                 const asio::ip::tcp::endpoint& discovery, std::uint64_t seed, Listed listed)
    : io_(io),
      scheduler_(scheduler),
      pool_(pool),
      names_(std::move(names)),
      discovery_(discovery),
      listed_(std::move(listed)),
      watch_(kWatch, seed),
      gone_stays_(gone_stays) {}

Watcher::~Watcher() {
    scheduler_.cancel(timer_);
    for (Out& out : out_) out.connection->close();
}

void Watcher::cached(const ServerList& known) {
    EndpointList listing = listing_of(known);
    listing.update.kind = UpdateKind::Cached;
    // The watch starts from there: it costs discovery the changes since, where the whole list and then a
    // watch are two calls, one of every line. Guards against a fleet that starts together and fills
    // discovery's queue.
    if (known.complete && !known.members.empty()) happens(Known{known.revision});
    listed_(listing);
}

void Watcher::watch() {
    asio::post(io_, [this] { happens(Asked{}); });
}

void Watcher::move_to(const asio::ip::tcp::endpoint& discovery) {
    if (discovery == discovery_) return;
    discovery_ = discovery;
    if (idle_) idle_->close();
    idle_.reset();
    happens(Moved{});
}

void Watcher::happens(const WatchEvent& event, const ServerList* list) {
    WatchActions actions;
    watch_.handle(scheduler_.now(), event, actions);
    bool take = false, failed = false;
    for (const WatchAction& action : actions) {
        if (const auto* call = std::get_if<MakeCall>(&action)) make(*call);
        if (const auto* dropped = std::get_if<DropCall>(&action)) drop(dropped->call);
        if (const auto* wake = std::get_if<WatchWakeAt>(&action)) {
            scheduler_.cancel(timer_);
            timer_ = scheduler_.call_at(wake->at, [this] {
                timer_ = 0;
                why_ = "no answer in time";
                happens(WatchWoken{});
            });
        }
        take = take || std::holds_alternative<TakeList>(action);
        failed = failed || std::holds_alternative<TellFailed>(action);
    }
    if (take && list) listed_(listing_of(*list));
    if (!failed) return;
    log_line(LogLevel::Warn, "discovery: %s", why_);
    EndpointList listing;
    listing.update.kind = UpdateKind::Failed;
    listed_(listing);
}

void Watcher::make(const MakeCall& call) {
    std::string target = "/v1/servers";
    if (call.index)
        target += "?index=" + std::to_string(*call.index) +
                  "&wait=" + std::to_string(std::int64_t(call.wait.count()));
    auto connection = std::exchange(idle_, nullptr);
    if (!connection || connection->seen_closed())
        connection = std::make_shared<Connection>(io_, pool_, discovery_, kWatch.connect, kPieceMost);
    connection->hold_whole(kListBytes);
    out_.push_back({call.call, connection});
    connection->exchange(
        "GET " + target + " HTTP/1.1\r\nHost: discovery\r\n\r\n", nullptr,
        [this, number = call.call](const std::shared_ptr<Connection>&, const Connection::Result& result) {
            ended(number, result);
        });
}

void Watcher::drop(CallNo call) {
    auto out = std::find_if(out_.begin(), out_.end(), [call](const Out& o) { return o.call == call; });
    if (out == out_.end()) return;
    out->connection->close();
    out_.erase(out);
}

void Watcher::ended(CallNo call, const Connection::Result& result) {
    auto out = std::find_if(out_.begin(), out_.end(), [call](const Out& o) { return o.call == call; });
    if (out == out_.end()) return;
    std::shared_ptr<Connection> connection = std::move(out->connection);
    out_.erase(out);
    bool here = connection->to() == discovery_;
    if (result.end != Connection::End::Answered || result.answer->status != 200) {
        why_ = result.end == Connection::End::Answered ? "the call was turned away" : "the call broke";
        bool spoilt = result.end == Connection::End::Garbage || result.end == Connection::End::TooLarge ||
                      result.end == Connection::End::Stalled;
        End how = result.end == Connection::End::NotSent ? End::Unheard : spoilt ? End::Spoilt : End::Refused;
        return happens(Ended{call, how});
    }
    ServerList list;
    std::string unread;
    try {
        std::vector<std::string> pairs = flatten_json(result.answer->body_view());
        list = read_server_list(pairs_below(pairs, ""), names_);
    } catch (const std::runtime_error& error) {  // the version did not move: it is asked for again
        unread = error.what();
        why_ = unread.c_str();
        happens(Ended{call, End::Spoilt});
        why_ = "";
        return;
    }
    if (result.reusable && here && !idle_) idle_ = std::move(connection);
    happens(Answered{call, list.revision, list.complete}, &list);
}

EndpointList Watcher::listing_of(const ServerList& list) {
    EndpointList listing;
    listing.update.kind = list.complete ? UpdateKind::Full : UpdateKind::Delta;
    for (const ServerList::Member& member : list.members) {
        EndpointEntry& entry = listing.update.entries.emplace_back(member.entry);
        auto [known, fresh] = ids_.try_emplace(member.id, next_id_ + 1);
        if (fresh) ++next_id_;
        entry.key = hashed(member.id);  // numbers are given as servers come, and differ from node to node
        entry.endpoint = known->second;
        listing.addresses.push_back(member.address);
        listing.ids.push_back(member.id);
        // At once: the same list may name another process under its id.
        if (!gone_stays_ && member.entry.phase == Phase::Removed) ids_.erase(known);
    }
    if (!gone_stays_ && list.complete) forget_unnamed(list);
    return listing;
}

// Servers are replaced by new ones under new ids for as long as the node runs. One that comes back under an
// id that had gone is another process.
void Watcher::forget_unnamed(const ServerList& list) {
    std::unordered_set<std::string_view> named;
    for (const ServerList::Member& member : list.members) named.insert(member.id);
    std::erase_if(ids_, [&](const auto& id) { return !named.contains(id.first); });
}

}  // namespace ochrehub::discovery
