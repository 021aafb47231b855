#include "lab/sim/sim_watch.h"

#include <unordered_set>
#include <utility>

namespace ochrehub::lab {
namespace {

Phase phase_of(ToldPhase phase) {
    if (phase == ToldPhase::InService) return Phase::Ready;
    return phase == ToldPhase::Terminating ? Phase::Draining : Phase::Removed;
}

}  // namespace

SimWatch::SimWatch(const Day& day, Scheduler& scheduler, NodeWorld& world, std::uint64_t seed, Heard heard)
    : day_(day), scheduler_(scheduler), world_(world), heard_(std::move(heard)), watch_({}, seed) {}

void SimWatch::cached(const ListOut& known) {
    EndpointList listing = listing_of(known);
    listing.update.kind = UpdateKind::Cached;
    if (known.complete && !known.members.empty()) happens(discovery::Known{known.revision});
    heard_(listing);
}

void SimWatch::watch() {
    scheduler_.post([this] { happens(discovery::Asked{}); });
}

void SimWatch::move() {
    happens(discovery::Moved{});
}

void SimWatch::listed(ListCall call, const ListOut& list) {
    if (discovery::CallNo no = number(call)) happens(discovery::Answered{no, list.revision}, &list);
}

void SimWatch::failed(ListCall call) {
    if (discovery::CallNo no = number(call)) happens(discovery::Ended{no, discovery::End::Refused});
}

discovery::CallNo SimWatch::number(ListCall call) const {
    for (const auto& [no, at_world] : out_)
        if (at_world == call) return no;
    return 0;
}

void SimWatch::happens(const discovery::WatchEvent& event, const ListOut* list) {
    discovery::WatchActions actions;
    auto over = [&](discovery::CallNo no) {
        std::erase_if(out_, [no](const auto& out) { return out.first == no; });
    };
    if (const auto* answered = std::get_if<discovery::Answered>(&event)) over(answered->call);
    if (const auto* ended = std::get_if<discovery::Ended>(&event)) over(ended->call);
    watch_.handle(scheduler_.now(), event, actions);
    bool take = false, failed = false;
    for (const discovery::WatchAction& action : actions) {
        if (const auto* call = std::get_if<discovery::MakeCall>(&action))
            out_.emplace_back(call->call, world_.ask_list(call->index, call->wait));
        if (const auto* dropped = std::get_if<discovery::DropCall>(&action)) {
            for (const auto& [no, at_world] : out_)
                if (no == dropped->call) world_.drop_list_call(at_world);
            over(dropped->call);
        }
        if (const auto* wake = std::get_if<discovery::WatchWakeAt>(&action)) {
            scheduler_.cancel(timer_);
            timer_ = scheduler_.call_at(wake->at, [this] {
                timer_ = 0;
                happens(discovery::WatchWoken{});
            });
        }
        take = take || std::holds_alternative<discovery::TakeList>(action);
        failed = failed || std::holds_alternative<discovery::TellFailed>(action);
    }
    if (take && list) heard_(listing_of(*list));
    if (!failed) return;
    EndpointList listing;
    listing.update.kind = UpdateKind::Failed;
    heard_(listing);
}

EndpointList SimWatch::listing_of(const ListOut& list) {
    EndpointList listing;
    listing.update.kind = list.complete ? UpdateKind::Full : UpdateKind::Delta;
    listing.update.entries.reserve(list.members.size());
    listing.addresses.reserve(list.members.size());
    for (const Listed& member : list.members) {
        const ServerFigures& figures = day_.servers[std::size_t(member.server)];
        EndpointEntry& entry = listing.update.entries.emplace_back();
        auto [known, fresh] = ids_.try_emplace(member.server, next_id_ + 1);
        if (fresh) ++next_id_;
        entry.endpoint = known->second;
        entry.key = std::uint64_t(member.server) + 1;
        entry.zone = figures.zone;
        entry.kind = figures.kind;
        entry.cell = figures.cell;
        entry.weight = figures.size;
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
