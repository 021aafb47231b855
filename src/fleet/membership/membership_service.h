// A node's membership: a thread and a loop of its own, so that a node that is busy is not called dead. It
// hears from the node's loop that that turns; where it does not for `stalled_ms`, the node says so of itself,
// and others do not count on it. That word wins over the thread's own liveness.
#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "base/asio_scheduler.h"
#include "fleet/membership/fleet_size_divisor.h"
#include "fleet/membership/settings.h"
#include "fleet/membership/udp.h"
#include "fleet/membership/view.h"

namespace ochrehub::membership {

class MembershipService {
public:
    /// Descriptors that it holds: its socket and what its loop needs, and some to spare.
    static constexpr std::size_t kDescriptors = 6;
    /// By how many nodes this one divides, and which of them it is, from 0, or kNone: not known. Called where
    /// either changes, on the side's own thread.
    using DivisorCallback = std::function<void(int gateways, int me)>;

    /// Throws boost::system::system_error where it cannot listen; nothing is sent before `start`.
    MembershipService(const MembershipConfig& told, const std::string& name, int nodes,
                      DivisorCallback shares);
    /// Waits for its thread's end.
    ~MembershipService();

    void start();

    // From any thread:
    /// The node's loop turns. To be called every quarter of a second or so.
    void heartbeat() {
        last_heartbeat_.store(clock_.now().time_since_epoch().count(), std::memory_order_relaxed);
    }
    void set_keys(const std::vector<std::string>& keys);
    /// Tells others that it leaves. Does not wait for that.
    void leave();
    std::string members_json() const;
    std::string metrics_text() const;

private:
    static membership::Settings core_settings(const MembershipConfig& told, const std::string& name,
                                              std::uint32_t instance);
    void tick();
    void publish();
    void log_change(const MemberChanged& change) const;
    std::shared_ptr<const MembershipView> view() const;

    Clock clock_;
    std::string cluster_;
    Duration stalled_;
    DivisorCallback tell_;
    boost::asio::io_context io_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    AsioScheduler scheduler_;
    UdpMember member_;
    int told_gateways_, told_me_ = kNone;
    FleetSizeDivisor divisor_;
    bool says_stalled_ = false, left_ = false;
    TimePoint due_{};
    std::atomic<double> last_heartbeat_{0};
    mutable std::mutex publishing_;
    std::shared_ptr<const MembershipView> published_;
    std::thread thread_;
};

}  // namespace ochrehub::membership
