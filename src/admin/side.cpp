#include "admin/side.h"

#include <utility>

#include "admin/metrics.h"
#include "base/log.h"
#include "base/side_thread.h"
#include "ochrehub/hash.h"

namespace ochrehub::admin {

namespace {

constexpr std::chrono::milliseconds kLook{100};  // for what the other process of this node was told
constexpr std::chrono::seconds kBeat{1};

}  // namespace

Side::Side(const boost::asio::ip::tcp::endpoint& control, Counters& counters,
           std::vector<std::string> classes, takeover::Store store, ByHand by_hand, Fleet fleet)
    : counters_(counters),
      classes_(std::move(classes)),
      store_(std::move(store)),
      by_hand_(std::move(by_hand)),
      look_(io_),
      server_(io_, control,
              {[this] { return serves_.load(std::memory_order_relaxed); },
               [this, figures = fleet.figures] {
                   return metrics(counters_, classes_) + (figures ? figures() : std::string());
               },
               [this](const std::string& id, bool out) { return take(id, out); }, fleet.members}) {
    tell({});
    look();
}

void Side::start() {
    thread_ = side_thread(io_, [](const std::exception& error) {
        log_line(LogLevel::Error, "control: %s: it answers no more", error.what());
    });
}

Side::~Side() {
    io_.stop();
    if (thread_.joinable()) thread_.join();
}

void Side::listed(const EndpointList& listing) {
    const EndpointUpdate& update = listing.update;
    if (update.kind == UpdateKind::Failed) return;
    if (update.kind != UpdateKind::Delta) ids_.clear();
    for (std::size_t i = 0; i < update.entries.size(); ++i)
        if (update.entries[i].phase == Phase::Removed)
            ids_.erase(listing.ids[i]);
        else
            ids_.insert(listing.ids[i]);
    counters_.listed_endpoints.set(std::int64_t(ids_.size()));
    auto fresh = std::make_shared<const Ids>(ids_);
    std::lock_guard lock(publishing_);
    published_ = std::move(fresh);
}

bool Side::known(const std::string& id) {
    std::shared_ptr<const Ids> ids;
    {
        std::lock_guard lock(publishing_);
        ids = published_;
    }
    return ids->contains(id) || store_.overrides().out.contains(id);
}

// Kept first: once it is said, it holds over an upgrade too.
bool Side::take(const std::string& id, bool out) {
    store_changed_elsewhere();
    if (!known(id)) return false;
    takeover::ManualOverrides before = store_.overrides();
    bool changed = out ? store_.take_out(id) : store_.put_back(id);
    if (changed)
        log(LogLevel::Info, out ? "server out by hand" : "server put back by hand", {{"server", id}});
    tell(before);
    return true;
}

void Side::store_changed_elsewhere() {
    takeover::ManualOverrides before = store_.overrides();
    if (store_.refresh()) tell(before);
}

void Side::tell(const takeover::ManualOverrides& before) {
    const takeover::ManualOverrides& now = store_.overrides();
    for (const auto& [id, since] : now.out)
        if (!before.out.contains(id)) by_hand_(hashed(id), true, since);
    for (const auto& [id, interval] : now.back) {
        if (auto was = before.back.find(id); was != before.back.end() && was->second == interval) continue;
        by_hand_(hashed(id), true, interval.from);  // it may be news that it was out at all
        by_hand_(hashed(id), false, interval.till);
    }
    for (const auto& [id, since] : before.out)  // put back so long ago that the file has forgotten it
        if (!now.out.contains(id) && !now.back.contains(id)) by_hand_(hashed(id), false, since);
}

void Side::look() {
    store_changed_elsewhere();
    if (auto now = std::chrono::steady_clock::now(); now - beat_at_ >= kBeat) {
        beat_at_ = now;
        store_.beat();
    }
    look_.expires_after(kLook);
    look_.async_wait([this](boost::system::error_code stopped) {
        if (!stopped) look();
    });
}

}  // namespace ochrehub::admin
