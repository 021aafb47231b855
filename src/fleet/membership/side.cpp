#include "fleet/membership/side.h"

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

Place place_of(const Told::Endpoint& at) {
    return {at.address().to_v4().to_uint(), at.port()};
}

}  // namespace

Settings Side::core_settings(const Told& told, const std::string& name, std::uint32_t instance) {
    Settings set;
    if (told.advertise.port() != 0) set.self = place_of(told.advertise);
    set.instance = instance;
    set.name.assign(name.begin(), name.end());
    set.zone_name.assign(told.zone.begin(), told.zone.end());
    for (const Told::Endpoint& one : told.join) set.seeds.push_back(place_of(one));
    set.timeout = 0.3 * told.interval;
    set.interval = told.interval;
    set.isolated_after = told.isolated;
    return set;
}

Side::Side(const Told& told, const std::string& name, int nodes, Shares shares)
    : cluster_(told.cluster),
      stalled_(told.stalled),
      tell_(std::move(shares)),
      work_(io_.get_executor()),
      scheduler_(io_, clock_),
      member_(io_, scheduler_, told.listen, core_settings(told, name, draw()), Keys(told.keys), draw(),
              fingerprint(told.cluster)),
      told_gateways_(nodes),
      share_({nodes, told.nodes_least > 0 ? told.nodes_least : (nodes + 1) / 2, Duration{5000},
              Duration{1000}}) {
    member_.changed = [this](const Changed& change) { log_change(change); };
    member_.restarted = [](const Restarted& other) {
        std::string place = text(other.who);
        log(other.doubled ? LogLevel::Warn : LogLevel::Info,
            other.doubled ? "two processes speak from one place" : "another process at a member's place",
            {{"place", place}, {"instance", other.instance}});
    };
    member_.of_itself = [](const OfItself& itself) {
        std::string says = words(itself.said);
        log(itself.said == 0 ? LogLevel::Info : LogLevel::Warn,
            "this member of the fleet now says of itself:",
            {{"says", says.empty() ? std::string_view("well") : std::string_view(says)},
             {"isolated", (itself.said & kSaysIsolated) != 0}});
    };
    beat();
    publish();
}

Side::~Side() {
    io_.stop();
    if (thread_.joinable()) thread_.join();
}

void Side::start() {
    beat();
    due_ = clock_.now();
    member_.start();
    tick();
    thread_ = side_thread(io_, [](const std::exception& error) {
        log_line(LogLevel::Error, "fleet: %s: this node takes part no more", error.what());
    });
}

void Side::use(const std::vector<std::string>& keys) {
    boost::asio::post(io_, [this, keys] { member_.use(Keys(keys)); });
}

void Side::leave() {
    boost::asio::post(io_, [this] {
        if (std::exchange(left_, true)) return;
        member_.leave([] {});
    });
}

void Side::tick() {
    TimePoint now = clock_.now();
    bool late = now - due_ > kTickLate;
    TimePoint beat{Duration{beat_.load(std::memory_order_relaxed)}};
    if (late)
        this->beat();
    else if (bool stalled = now - beat > stalled_; stalled != std::exchange(says_stalled_, stalled))
        member_.says(stalled);
    publish();
    due_ = now + kTick;
    scheduler_.call_at(due_, [this] { tick(); });
}

void Side::publish() {
    TimePoint now = clock_.now();
    View view = view_of(member_.core(), now);
    view.cluster = cluster_;
    view.unsent = member_.unsent();
    view.held = member_.held();
    for (std::size_t i = 0; i < kFaults; ++i) view.refused[i] = member_.refused(Fault(i));
    view.sharing = share_.see(now, view.here);
    int me = 0;
    for (const View::One& one : view.members)
        me += one.update.state <= State::Suspect && (one.update.said & kSaysStalled) == 0 &&
              one.update.who < view.self.who;
    // While it does not see as many as it counts on, its number among them would be another's too.
    if (view.here != view.sharing) me = kNone;
    bool other = std::exchange(told_gateways_, view.sharing) != view.sharing;
    if (std::exchange(told_me_, me) != me || other) tell_(view.sharing, me);
    auto fresh = std::make_shared<const View>(std::move(view));
    std::lock_guard lock(publishing_);
    published_ = std::move(fresh);
}

void Side::log_change(const Changed& change) const {
    if (change.now.state == State::Suspect || change.was == State::Suspect) {
        if (change.now.state != State::Dead) return;  // comes and goes where datagrams are lost
    }
    const auto* member = member_.core().find(change.now.who);
    std::string called = member ? std::string(member->name.begin(), member->name.end()) : std::string();
    std::string place = text(change.now.who), says = words(change.now.said);
    bool news = change.was != change.now.state;
    log(change.now.state == State::Dead ? LogLevel::Warn : LogLevel::Info,
        news ? "a member of the fleet is now:" : "a member of the fleet now says of itself:",
        {{"state", name(change.now.state)},
         {"member", called},
         {"place", place},
         {"incarnation", change.now.incarnation},
         {"says", says}});
}

std::shared_ptr<const View> Side::view() const {
    std::lock_guard lock(publishing_);
    return published_;
}

std::string Side::members() const {
    return to_json(*view(), clock_.now());
}

std::string Side::figures() const {
    return metrics(*view());
}

}  // namespace ochrehub::membership
