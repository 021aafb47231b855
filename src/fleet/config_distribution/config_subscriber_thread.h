// Runs a ConfigSubscriber on its own thread and event loop: connects it to the session, stores its file, and
// posts leases to the event loop that uses the configuration, which never waits for this thread. Decides
// nothing itself.
#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "base/clock.h"
#include "fleet/config_distribution/config_subscriber.h"
#include "fleet/coordinator/session_thread.h"
#include "fleet/store/files.h"

namespace ochrehub::config_distribution {

/// The leases on the event loop that uses the configuration. Used on that loop only; checked before each
/// decision.
class EffectiveConfigs {
public:
    /// Called when the configuration in effect changes: by a new lease, or because a lease has expired.
    using ChangeCallback = std::function<void(const std::string& document, const EffectiveConfig&)>;
    explicit EffectiveConfigs(ChangeCallback on_change) : on_change_(std::move(on_change)) {}

    void apply(const ApplyConfig& action, TimePoint now);
    void extend(const ExtendLeases& action);
    /// Call before each decision. Cheap if no lease has expired.
    void check_expiry(TimePoint now) {
        if (now >= next_expiry_) expire(now);
    }
    TimePoint next_expiry() const { return next_expiry_; }  ///< earliest expiry of a lease

private:
    struct Entry {
        ConfigLease lease;
        bool expired = false;
    };
    void expire(TimePoint now);
    void update_next_expiry();

    ChangeCallback on_change_;
    std::map<std::string, Entry> documents_;
    TimePoint next_expiry_ = TimePoint::max();
};

class ConfigSubscriberThread {
public:
    static constexpr std::size_t kDescriptors = 8;  ///< of its event loop, the session and the folder

    struct Callbacks {
        /// Empty if this node can apply the document, else the reason. Called on the subscriber's thread.
        std::function<std::string(const Document&)> check;
        /// Runs the function on the event loop that owns `configs`, in order.
        std::function<void(std::function<void()>)> post;
    };
    /// `folder` may be empty: nothing is stored. `configs` is not owned, and used through `post` only.
    /// `session` must not have been started.
    ConfigSubscriberThread(coordinator::SessionThread& session, Clock clock, std::string folder,
                           EffectiveConfigs& configs, Callbacks callbacks);
    ~ConfigSubscriberThread() { stop(); }
    /// Joins the thread; no command is sent on the session afterwards. Must be called before the session is
    /// destroyed, which must happen before this object is.
    void stop();

    /// Prometheus text: versions in force, versions in effect with their mode, lease expirations. From any
    /// thread.
    std::string metrics() const;

private:
    void on_notification(const coordinator::SessionThread::Notification& notification);
    void on_renewal(const coordinator::SessionRenewed& renewal, std::string update);
    void handle(const Event& event);
    void execute(Actions actions);

    coordinator::SessionThread& session_;
    Clock clock_;
    EffectiveConfigs& configs_;
    Callbacks callbacks_;
    std::unique_ptr<store::Files> files_;
    // Used on the session's thread
    std::optional<coordinator::SessionRenewed> last_renewal_;
    bool had_update_ = false;
    // Used on the subscriber's thread
    boost::asio::io_context io_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_guard_;
    boost::asio::steady_timer timer_;
    std::optional<ConfigSubscriber> subscriber_;
    bool file_error_logged_ = false;
    mutable std::mutex metrics_mutex_;
    std::string metrics_;
    std::thread thread_;
};

}  // namespace ochrehub::config_distribution
