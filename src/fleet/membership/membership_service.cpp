#include "fleet/membership/membership_service.h"

#include <boost/asio/post.hpp>
#include <random>
#include <utility>

#include "base/log.h"
#include "base/side_thread.h"

namespace ochrehub::membership {
namespace {

constexpr Duration kTick{100};
constexpr Duration kTickLate{
    500};  // behind its time: the whole process stood still, which says nothing of the node's loop

std::uint32_t draw() {
    return std::random_device{}();
}

MemberAddress place_of(const MembershipConfig::Endpoint& at) {
    return {at.address().to_v4().to_uint(), at.port()};
}

}  // namespace

Settings MembershipService::core_settings(const MembershipConfig& told, const std::string& name,
                                          std::uint32_t instance) {
    Settings set;
    if (told.advertise.port() != 0) set.self = place_of(told.advertise);
    set.instance = instance;
    set.name.assign(name.begin(), name.end());
    set.zone_name.assign(told.zone.begin(), told.zone.end());
    for (const MembershipConfig::Endpoint& one : told.join) set.seeds.push_back(place_of(one));
    set.probe_timeout = 0.3 * told.interval;
    set.probe_interval = told.interval;
    set.isolated_after = told.isolated;
    return set;
}

MembershipService::MembershipService(const MembershipConfig& told, const std::string& name, int nodes,
                                     DivisorCallback shares)
    : cluster_(told.cluster),
      stalled_(told.stalled),
      tell_(std::move(shares)),
      work_(io_.get_executor()),
      scheduler_(io_, clock_),
      member_(io_, scheduler_, told.listen, core_settings(told, name, draw()), Keys(told.keys), draw(),
              fingerprint(told.cluster)),
      told_gateways_(nodes),
      divisor_({nodes, told.nodes_least > 0 ? told.nodes_least : (nodes + 1) / 2, Duration{5000},
                Duration{1000}}) {
    member_.changed = [this](const MemberChanged& change) { log_change(change); };
    member_.restarted = [](const MemberRestarted& other) {
        std::string place = text(other.address);
        log(other.duplicate ? LogLevel::Warn : LogLevel::Info,
            other.duplicate ? "two processes speak from one place" : "another process at a member's place",
            {{"place", place}, {"instance", other.instance}});
    };
    member_.of_itself = [](const SelfUpdate& itself) {
        std::string says = self_report_text(itself.self_report);
        log(itself.self_report == 0 ? LogLevel::Info : LogLevel::Warn,
            "this member of the fleet now says of itself:",
            {{"says", says.empty() ? std::string_view("well") : std::string_view(says)},
             {"isolated", (itself.self_report & kReportsIsolated) != 0}});
    };
    heartbeat();
    publish();
}

MembershipService::~MembershipService() {
    io_.stop();
    if (thread_.joinable()) thread_.join();
}

void MembershipService::start() {
    heartbeat();
    due_ = clock_.now();
    member_.start();
    tick();
    thread_ = side_thread(io_, [](const std::exception& error) {
        log_line(LogLevel::Error, "fleet: %s: this node takes part no more", error.what());
    });
}

void MembershipService::set_keys(const std::vector<std::string>& keys) {
    boost::asio::post(io_, [this, keys] { member_.use(Keys(keys)); });
}

void MembershipService::leave() {
    boost::asio::post(io_, [this] {
        if (std::exchange(left_, true)) return;
        member_.leave([] {});
    });
}

void MembershipService::tick() {
    TimePoint now = clock_.now();
    bool late = now - due_ > kTickLate;
    TimePoint last_heartbeat{Duration{last_heartbeat_.load(std::memory_order_relaxed)}};
    if (late)
        heartbeat();
    else if (bool stalled = now - last_heartbeat > stalled_; stalled != std::exchange(says_stalled_, stalled))
        member_.says(stalled);
    publish();
    due_ = now + kTick;
    scheduler_.call_at(due_, [this] { tick(); });
}

void MembershipService::publish() {
    TimePoint now = clock_.now();
    MembershipView view = make_view(member_.core(), now);
    view.cluster = cluster_;
    view.unsent = member_.unsent();
    view.held = member_.held();
    for (std::size_t i = 0; i < kDecodeErrors; ++i) view.refused[i] = member_.refused(DecodeError(i));
    view.sharing = divisor_.update(now, view.here);
    int me = 0;
    for (const MembershipView::One& one : view.members)
        me += one.update.state <= MemberState::Suspect && (one.update.self_report & kReportsStalled) == 0 &&
              one.update.address < view.self.address;
    // While it does not see as many as it counts on, its number among them would be another's too.
    if (view.here != view.sharing) me = kNone;
    bool other = std::exchange(told_gateways_, view.sharing) != view.sharing;
    if (std::exchange(told_me_, me) != me || other) tell_(view.sharing, me);
    auto fresh = std::make_shared<const MembershipView>(std::move(view));
    std::lock_guard lock(publishing_);
    published_ = std::move(fresh);
}

void MembershipService::log_change(const MemberChanged& change) const {
    if (change.update.state == MemberState::Suspect || change.previous_state == MemberState::Suspect) {
        if (change.update.state != MemberState::Dead) return;  // comes and goes where datagrams are lost
    }
    const auto* member = member_.core().find(change.update.address);
    std::string called = member ? std::string(member->name.begin(), member->name.end()) : std::string();
    std::string place = text(change.update.address), says = self_report_text(change.update.self_report);
    bool news = change.previous_state != change.update.state;
    log(change.update.state == MemberState::Dead ? LogLevel::Warn : LogLevel::Info,
        news ? "a member of the fleet is now:" : "a member of the fleet now says of itself:",
        {{"state", name(change.update.state)},
         {"member", called},
         {"place", place},
         {"incarnation", change.update.incarnation},
         {"says", says}});
}

std::shared_ptr<const MembershipView> MembershipService::view() const {
    std::lock_guard lock(publishing_);
    return published_;
}

std::string MembershipService::members_json() const {
    return to_json(*view(), clock_.now());
}

std::string MembershipService::metrics_text() const {
    return metrics(*view());
}

}  // namespace ochrehub::membership
