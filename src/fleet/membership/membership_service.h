// Runs a node's membership (udp.h) on a thread and an event loop of its own, so that a busy node is not taken
// for dead. The node's event loop reports its progress by heartbeat(); without it for `stalled_ms` the member
// reports itself as stalled, and others do not count on it. Decides nothing else.
//
// Threads: public methods from any thread; callbacks on the service's own. One mutex, for the published view.
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
    /// File descriptors that it holds: its socket, what its loop needs, and some to spare.
    static constexpr std::size_t kDescriptors = 6;
    /// The divisor (FleetSizeDivisor) and the index of this node among so many, from 0, or kNone: unknown.
    /// Called when either changes, on the service's own thread.
    using DivisorCallback = std::function<void(int divisor, int index)>;

    /// Throws boost::system::system_error if it cannot listen. Nothing is sent before start().
    MembershipService(const MembershipConfig& config, const std::string& name, int nodes,
                      DivisorCallback on_divisor_changed);
    /// Waits until its thread has ended.
    ~MembershipService();
    MembershipService(const MembershipService&) = delete;
    MembershipService& operator=(const MembershipService&) = delete;

    void start();

    /// The node's event loop makes progress. To be called every quarter of a second.
    void heartbeat() {
        last_heartbeat_.store(clock_.now().time_since_epoch().count(), std::memory_order_relaxed);
    }
    /// Takes effect with the next datagram.
    void set_keys(const std::vector<std::string>& keys);
    /// Announces the departure to other members, without waiting for that.
    void leave();
    /// The view of all members, for operators.
    std::string members_json() const;
    /// In the text format of Prometheus.
    std::string metrics_text() const;

private:
    static membership::Settings core_settings(const MembershipConfig& config, const std::string& name,
                                              std::uint32_t instance);
    void tick();
    void publish();
    void log_change(const MemberChanged& change) const;
    std::shared_ptr<const MembershipView> view() const;

    Clock clock_;
    std::string cluster_;
    Duration stalled_after_;
    DivisorCallback on_divisor_changed_;
    boost::asio::io_context io_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    AsioScheduler scheduler_;
    UdpMember member_;
    FleetSizeDivisor divisor_;
    int reported_divisor_;        ///< as last passed to on_divisor_changed_
    int reported_index_ = kNone;  ///< as last passed to on_divisor_changed_
    bool reports_stalled_ = false;
    bool left_ = false;
    TimePoint tick_due_{};
    std::atomic<double> last_heartbeat_{0};  ///< ms of clock_
    mutable std::mutex publishing_;
    std::shared_ptr<const MembershipView> published_;  ///< guarded by publishing_; never null
    std::thread thread_;
};

}  // namespace ochrehub::membership
