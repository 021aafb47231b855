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
    using Changed = std::function<void(const std::string& document, const EffectiveConfig&)>;
    explicit EffectiveConfigs(Changed changed) : changed_(std::move(changed)) {}

    void take(const Apply& apply, TimePoint now);
    void take(const Extend& extend);
    /// The clock first: cheap where no permit has ended meanwhile.
    void look(TimePoint now) {
        if (now >= next_) over(now);
    }
    TimePoint next() const { return next_; }  ///< when a permit ends

private:
    struct One {
        Permit permit;
        bool ended = false;
    };
    void over(TimePoint now);
    void find_next();

    Changed changed_;
    std::map<std::string, One> documents_;
    TimePoint next_ = TimePoint::max();
};

class ConfigSubscriberThread {
public:
    static constexpr std::size_t kDescriptors = 8;  ///< its loop's, the session's, the folder's

    struct Calls {
        /// Whether this node can act on it: empty, or why not. On the side's own thread.
        std::function<std::string(const Document&)> check;
        /// Runs what it is given on the acting loop, in order.
        std::function<void(std::function<void()>)> post;
    };
    /// `folder` may be empty: nothing is kept. `acting` is touched through `post` alone. `session` must not
    /// have been started.
    ConfigSubscriberThread(coordinator::SessionThread& session, Clock clock, std::string folder,
                           EffectiveConfigs& acting, Calls calls);
    ~ConfigSubscriberThread() { stop(); }
    /// Waits for its thread's end; nothing is said on the session any more. To be called before the session
    /// goes, which goes before this.
    void stop();

    /// For the metrics of the node: versions in force, how they are acted on, how often a permit ended. From
    /// any thread.
    std::string figures() const;

private:
    void told(const coordinator::SessionThread::Notification& told);
    void renewed(const coordinator::SessionRenewed& held, std::string news);
    void handle(const Event& event);
    void carry_out(Actions actions);

    coordinator::SessionThread& session_;
    Clock clock_;
    EffectiveConfigs& acting_;
    Calls calls_;
    std::unique_ptr<store::Files> files_;
    // On the session's thread.
    std::optional<coordinator::SessionRenewed> held_;
    bool had_news_ = false;
    // On the side's.
    boost::asio::io_context io_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    boost::asio::steady_timer wake_;
    std::optional<Holder> holder_;
    bool complained_ = false;
    mutable std::mutex showing_;
    std::string shown_;
    std::thread thread_;
};

}  // namespace ochrehub::config_distribution
