#include "discovery/watcher.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <string_view>
#include <unordered_set>
#include <utility>

#include "config/json.h"
#include "base/log.h"
#include "ochrehub/hash.h"

namespace ochrehub::discovery {

namespace asio = boost::asio;
using http::Connection;

namespace {

constexpr std::chrono::milliseconds kWait{5000};  // what a watch asks for: a silent discovery shows after it
constexpr std::chrono::milliseconds kLate{2500};  // how much later an answer may come: discovery queues calls for 2 s
constexpr Duration kConnectTimeout{1000};

}  // namespace

Watcher::Watcher(asio::io_context& io, BufferPool& pool, Names names, bool gone_stays,
                 const asio::ip::tcp::endpoint& discovery, Listed listed)
    : io_(io),
      pool_(pool),
      names_(std::move(names)),
      discovery_(discovery),
      listed_(std::move(listed)),
      limit_(io),
      gone_stays_(gone_stays) {}

void Watcher::cached(const ServerList& known) {
    Listing listing = listing_of(known);
    listing.update.kind = ListKind::Cached;
    // The watch starts from there: it costs discovery the changes since, where the whole list and then a watch are
    // two calls, one of every line. Guards against a fleet that starts together and fills discovery's queue.
    if (known.complete && !known.members.empty()) {
        revision_ = known.revision;
        has_list_ = true;
    }
    listed_(listing);
}

void Watcher::watch() {
    if (calling_) return;  // the call that is out answers this one too
    calling_ = true;
    asio::post(io_, [this] { call(); });
}

void Watcher::move_to(const asio::ip::tcp::endpoint& discovery) {
    if (discovery == discovery_) return;
    discovery_ = discovery;
    has_list_ = false;  // its revisions may mean nothing there
    drop(old_);
    if (calling_ && connection_)
        old_ = std::move(connection_);
    else
        drop(connection_);
    calling_ = true;  // at once, even where the module waits before it asks again
    call();
}

void Watcher::drop(std::shared_ptr<Connection>& connection) {
    if (connection) connection->close();
    connection.reset();
}

void Watcher::call() {
    std::string target = "/v1/servers";
    if (has_list_) target += "?index=" + std::to_string(revision_) + "&wait=" + std::to_string(kWait.count());
    if (!connection_ || connection_->seen_closed())
        connection_ = std::make_shared<Connection>(io_, pool_, discovery_, kConnectTimeout);
    // Guards against a discovery that takes the call and says nothing: the module would wait for ever.
    limit_.expires_after(has_list_ ? kWait + kLate : kLate);
    limit_.async_wait([this](boost::system::error_code stopped) {
        if (!stopped) failed("no answer in time");
    });
    connection_->exchange("GET " + target + " HTTP/1.1\r\nHost: discovery\r\n\r\n", nullptr,
                          [this](const std::shared_ptr<Connection>& from, const Connection::Result& result) {
                              answered(from, result);
                          });
}

void Watcher::answered(const std::shared_ptr<Connection>& from, const Connection::Result& result) {
    bool old = from == old_;
    const char* wrong = nullptr;
    ServerList list;
    std::string unread;
    if (result.end != Connection::End::Answered) {
        wrong = "the call broke";
    } else if (result.answer->status != 200) {
        wrong = "the call was turned away";
    } else {
        try {
            std::vector<std::string> pairs = flatten_json(result.answer->body_view());
            list = read_server_list(pairs_below(pairs, ""), names_);
        } catch (const std::runtime_error& error) {
            unread = error.what();
            wrong = unread.c_str();
        }
    }
    if (old) {  // one that broke is no failure: the call that counts is out
        drop(old_);
        if (!wrong) listed_(listing_of(list));
        return;
    }
    limit_.cancel();
    if (!result.reusable) connection_.reset();
    if (wrong) return failed(wrong);  // the version did not move: it is asked for again
    drop(old_);
    revision_ = list.revision;
    has_list_ = true;
    call();  // at once: the watch goes on
    listed_(listing_of(list));
}

void Watcher::failed(const char* why) {
    log_line(LogLevel::Warn, "discovery: %s", why);
    limit_.cancel();
    drop(connection_);
    drop(old_);
    calling_ = false;
    Listing listing;
    listing.update.kind = ListKind::Failed;
    listed_(listing);
}

Listing Watcher::listing_of(const ServerList& list) {
    Listing listing;
    listing.update.kind = list.complete ? ListKind::Full : ListKind::Delta;
    for (const ServerList::Member& member : list.members) {
        ListEntry& entry = listing.update.entries.emplace_back(member.entry);
        auto [known, fresh] = ids_.try_emplace(member.id, next_id_ + 1);
        if (fresh) ++next_id_;
        entry.key = hashed(member.id);  // numbers are given as servers come, and differ from node to node
        entry.server = known->second;
        listing.addresses.push_back(member.address);
        listing.ids.push_back(member.id);
    }
    if (!gone_stays_) forget_gone(list);
    return listing;
}

// Servers are replaced by new ones under new ids for as long as the node runs. One that comes back under an id
// that had gone is another process.
void Watcher::forget_gone(const ServerList& list) {
    std::unordered_set<std::string_view> named;
    for (const ServerList::Member& member : list.members)
        if (member.entry.phase != Phase::Gone)
            named.insert(member.id);
        else
            ids_.erase(member.id);
    if (list.complete) std::erase_if(ids_, [&](const auto& id) { return !named.contains(id.first); });
}

}  // namespace ochrehub::discovery
