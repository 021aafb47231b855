#include "lab/sim/sim_watch.h"

#include <unordered_set>
#include <utility>

namespace ochrehub::lab {
namespace {

constexpr Duration kWait{5000};
constexpr Duration kLate{2500};

Phase phase_of(ToldPhase phase) {
    if (phase == ToldPhase::InService) return Phase::Ready;
    return phase == ToldPhase::Terminating ? Phase::Draining : Phase::Gone;
}

}  // namespace

SimWatch::SimWatch(const Day& day, Scheduler& scheduler, NodeWorld& world, Heard heard)
    : day_(day), scheduler_(scheduler), world_(world), heard_(std::move(heard)) {}

void SimWatch::cached(const ListOut& known) {
    Listing listing = listing_of(known);
    listing.update.kind = ListKind::Cached;
    if (known.complete && !known.members.empty()) {
        revision_ = known.revision;
        has_list_ = true;
    }
    heard_(listing);
}

void SimWatch::watch() {
    if (std::exchange(calling_, true)) return;  // the call that is out answers this one too
    scheduler_.post([this] { call(); });
}

void SimWatch::move() {
    has_list_ = false;  // its revisions may mean nothing there
    if (old_ != 0) world_.drop_list_call(old_);
    old_ = std::exchange(out_, 0);
    calling_ = true;
    call();
}

void SimWatch::call() {
    scheduler_.cancel(late_);
    late_ = scheduler_.call_at(scheduler_.now() + (has_list_ ? kWait + kLate : kLate), [this] {
        late_ = 0;
        give_up();
    });
    out_ = world_.ask_list(has_list_ ? std::optional(revision_) : std::nullopt, has_list_ ? kWait : Duration{0});
}

void SimWatch::listed(ListCall call_no, const ListOut& list) {
    if (call_no == old_ && old_ != 0) {
        old_ = 0;
        return heard_(listing_of(list));
    }
    if (call_no != out_) return;
    scheduler_.cancel(std::exchange(late_, 0));
    if (old_ != 0) world_.drop_list_call(std::exchange(old_, 0));
    out_ = 0;
    revision_ = list.revision;
    has_list_ = true;
    call();  // at once: the watch goes on
    heard_(listing_of(list));
}

void SimWatch::failed(ListCall call_no) {
    if (call_no == old_) old_ = 0;
    if (call_no == out_ && out_ != 0) give_up();
}

void SimWatch::give_up() {
    scheduler_.cancel(std::exchange(late_, 0));
    if (out_ != 0) world_.drop_list_call(std::exchange(out_, 0));
    if (old_ != 0) world_.drop_list_call(std::exchange(old_, 0));
    calling_ = false;
    Listing listing;
    listing.update.kind = ListKind::Failed;
    heard_(listing);
}

Listing SimWatch::listing_of(const ListOut& list) {
    Listing listing;
    listing.update.kind = list.complete ? ListKind::Full : ListKind::Delta;
    listing.update.entries.reserve(list.members.size());
    listing.addresses.reserve(list.members.size());
    for (const Listed& member : list.members) {
        const ServerFigures& figures = day_.servers[std::size_t(member.server)];
        ListEntry& entry = listing.update.entries.emplace_back();
        auto [known, fresh] = ids_.try_emplace(member.server, next_id_ + 1);
        if (fresh) ++next_id_;
        entry.server = known->second;
        entry.key = std::uint64_t(member.server) + 1;
        entry.zone = figures.zone;
        entry.kind = figures.kind;
        entry.cell = figures.cell;
        entry.size = figures.size;
        entry.phase = phase_of(member.phase);
        if (member.started != TimePoint{}) entry.last_start = member.started;
        listing.addresses.push_back(std::to_string(member.server));
    }
    std::unordered_set<ServerNo> named;
    for (const Listed& member : list.members) {
        if (member.phase == ToldPhase::Terminated)
            ids_.erase(member.server);
        else if (list.complete)
            named.insert(member.server);
    }
    if (list.complete) std::erase_if(ids_, [&](const auto& id) { return !named.contains(id.first); });
    return listing;
}

}  // namespace ochrehub::lab
