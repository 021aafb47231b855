// Documents in a process: a Holder on a thread and a loop of its own beside the session's, its file, and what
// it hands to the loop that acts. The shell of Holder; it decides nothing, and nobody who acts waits for it.
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

/// What the acting loop knows: asked before each decision, on that loop alone.
class EffectiveConfigs {
public:
    /// Called where what is to be acted on has become another: by word of the holder, or since a permit is
    /// over.
    using ChangeCallback = std::function<void(const std::string& document, const EffectiveConfig&)>;
    explicit EffectiveConfigs(ChangeCallback on_change) : on_change_(std::move(on_change)) {}

    void apply(const ApplyConfig& action, TimePoint now);
    void extend(const ExtendLeases& action);
    /// The clock first: cheap where no permit has ended meanwhile.
    void check_expiry(TimePoint now) {
        if (now >= next_expiry_) expire(now);
    }
    TimePoint next_expiry() const { return next_expiry_; }  ///< when a permit ends

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
    static constexpr std::size_t kDescriptors = 8;  ///< its loop's, the session's, the folder's

    struct Callbacks {
        /// Whether this node can act on it: empty, or why not. On the side's own thread.
        std::function<std::string(const Document&)> check;
        /// Runs what it is given on the acting loop, in order.
        std::function<void(std::function<void()>)> post;
    };
    /// `folder` may be empty: nothing is kept. `acting` is touched through `post` alone. `session` must not
    /// have been started.
    ConfigSubscriberThread(coordinator::SessionThread& session, Clock clock, std::string folder,
                           EffectiveConfigs& configs, Callbacks callbacks);
    ~ConfigSubscriberThread() { stop(); }
    /// Waits for its thread's end; nothing is said on the session any more. To be called before the session
    /// goes, which goes before this.
    void stop();

    /// For the metrics of the node: versions in force, how they are acted on, how often a permit ended. From
    /// any thread.
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
    // On the session's thread.
    std::optional<coordinator::SessionRenewed> last_renewal_;
    bool had_update_ = false;
    // On the side's.
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
