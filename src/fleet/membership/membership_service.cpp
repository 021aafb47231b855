#include "fleet/membership/membership_service.h"

#include <boost/asio/post.hpp>
#include <random>
#include <utility>

#include "base/log.h"
#include "base/side_thread.h"

namespace ochrehub::membership {
namespace {

constexpr Duration kTick{100};
constexpr Duration kPauseThreshold{500};  ///< a tick that is later shows a pause of the whole process

std::uint32_t random_number() {
    return std::random_device{}();
}

MemberAddress address_of(const MembershipConfig::Endpoint& at) {
    return {at.address().to_v4().to_uint(), at.port()};
}

}  // namespace

Settings MembershipService::core_settings(const MembershipConfig& config, const std::string& name,
                                          std::uint32_t instance) {
    Settings set;
    if (config.advertise.port() != 0) set.self = address_of(config.advertise);
    set.instance = instance;
    set.name.assign(name.begin(), name.end());
    set.zone_name.assign(config.zone.begin(), config.zone.end());
    for (const MembershipConfig::Endpoint& one : config.join) set.seeds.push_back(address_of(one));
    set.probe_timeout = 0.3 * config.interval;
    set.probe_interval = config.interval;
    set.isolated_after = config.isolated;
    return set;
}

MembershipService::MembershipService(const MembershipConfig& config, const std::string& name, int nodes,
                                     DivisorCallback on_divisor_changed)
    : cluster_(config.cluster),
      stalled_after_(config.stalled),
      on_divisor_changed_(std::move(on_divisor_changed)),
      work_(io_.get_executor()),
      scheduler_(io_, clock_),
      member_(io_, scheduler_,
              {config.listen, core_settings(config, name, random_number()), Keys(config.keys),
               random_number(), fingerprint(config.cluster)}),
      divisor_({nodes, config.nodes_least > 0 ? config.nodes_least : (nodes + 1) / 2, Duration{5000},
                Duration{1000}}),
      reported_divisor_(nodes) {
    member_.on_changed = [this](const MemberChanged& change) { log_change(change); };
    member_.on_restarted = [](const MemberRestarted& other) {
        std::string address = to_string(other.address);
        log(other.duplicate ? LogLevel::Warn : LogLevel::Info,
            other.duplicate ? "two processes send from one address" : "a member restarted",
            {{"place", address}, {"instance", other.instance}});
    };
    member_.on_self_update = [](const SelfUpdate& update) {
        std::string says = self_report_text(update.self_report);
        log(update.self_report == 0 ? LogLevel::Info : LogLevel::Warn, "this member now reports of itself:",
            {{"says", says.empty() ? std::string_view("well") : std::string_view(says)},
             {"isolated", (update.self_report & kReportsIsolated) != 0}});
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
    tick_due_ = clock_.now();
    member_.start();
    tick();
    thread_ = side_thread(io_, [](const std::exception& error) {
        log_line(LogLevel::Error, "fleet: %s: membership ended, expected it to run as long as the process",
                 error.what());
    });
}

void MembershipService::set_keys(const std::vector<std::string>& keys) {
    boost::asio::post(io_, [this, keys] { member_.set_keys(Keys(keys)); });
}

void MembershipService::leave() {
    boost::asio::post(io_, [this] {
        if (std::exchange(left_, true)) return;
        member_.leave([] {});
    });
}

void MembershipService::tick() {
    TimePoint now = clock_.now();
    bool was_paused = now - tick_due_ > kPauseThreshold;
    TimePoint last_heartbeat{Duration{last_heartbeat_.load(std::memory_order_relaxed)}};
    if (was_paused)
        heartbeat();
    else if (bool stalled = now - last_heartbeat > stalled_after_;
             stalled != std::exchange(reports_stalled_, stalled))
        member_.set_stalled(stalled);
    publish();
    tick_due_ = now + kTick;
    scheduler_.call_at(tick_due_, [this] { tick(); });
}

void MembershipService::publish() {
    TimePoint now = clock_.now();
    MembershipView view = make_view(member_.core(), now);
    view.cluster = cluster_;
    view.unsent = member_.send_failures();
    view.held = member_.throttled_reads();
    for (std::size_t i = 0; i < kDecodeErrors; ++i) view.refused[i] = member_.rejected(DecodeError(i));
    view.sharing = divisor_.update(now, view.here);
    int index = 0;
    for (const MembershipView::Member& one : view.members)
        index += one.update.state <= MemberState::Suspect &&
                 (one.update.self_report & kReportsStalled) == 0 && one.update.address < view.self.address;
    // While the divisor is not the number of live nodes, another node may have the same index.
    if (view.here != view.sharing) index = kNone;
    bool is_new_divisor = std::exchange(reported_divisor_, view.sharing) != view.sharing;
    if (std::exchange(reported_index_, index) != index || is_new_divisor)
        on_divisor_changed_(view.sharing, index);
    auto fresh = std::make_shared<const MembershipView>(std::move(view));
    std::lock_guard lock(publishing_);
    published_ = std::move(fresh);
}

void MembershipService::log_change(const MemberChanged& change) const {
    if (change.update.state == MemberState::Suspect || change.previous_state == MemberState::Suspect) {
        if (change.update.state != MemberState::Dead) return;  // frequent where datagrams are lost
    }
    const auto* member = member_.core().find(change.update.address);
    std::string member_name = member ? std::string(member->name.begin(), member->name.end()) : std::string();
    std::string address = to_string(change.update.address);
    std::string says = self_report_text(change.update.self_report);
    bool is_state_change = change.previous_state != change.update.state;
    log(change.update.state == MemberState::Dead ? LogLevel::Warn : LogLevel::Info,
        is_state_change ? "member state changed" : "a member now reports of itself:",
        {{"state", name(change.update.state)},
         {"member", member_name},
         {"place", address},
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
