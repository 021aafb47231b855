// What a node does with documents that its fleet agrees on ([keepers] in its file): servers out by hand, and
// rules for headers. Where there is no such table nothing of it is there.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "config/table.h"
#include "engine/types.h"
#include "fleet/config_distribution/config_subscriber_thread.h"
#include "fleet/coordinator/session_thread.h"
#include "ochrehub/balancer.h"
#include "rewrite/rewrites.h"

namespace ochrehub::app {

struct KeepersTold {
    bool on = false;
    std::vector<std::string> ask;
    std::string cluster, key_file, folder;
    std::vector<std::string> keys;  ///< from `key_file`
    Duration lease{3000};
    double stated = 0;  ///< milliseconds; zero: whatever the lease makes of it
};
config::Table<KeepersTold> keepers_settings();

/// On the node's loop, but where it says otherwise.
class Rules {
public:
    struct Node {
        std::function<void(std::uint64_t key, bool out, TimePoint since)> by_hand;
        std::function<void(const std::string& detail)> record;  ///< a line of the audit
    };
    Rules(boost::asio::io_context& io, Clock clock, const KeepersTold& told, const std::string& name,
          const std::string& zone, Node node);
    ~Rules();
    void start();

    /// Before each decision: what no permit holds any more is no longer acted on. Cheap.
    void look() { acting_.check_expiry(clock_.now()); }
    void listed(const EndpointList& listing);
    /// What operators said at the second address: a server is out while they or a document say so.
    void by_desk(std::uint64_t key, bool out, TimePoint since);
    /// The operators' own rules for headers, which come before those of documents.
    void own_rewrites(const rewrite::Rewrites& own);
    /// What stands for them all: whoever applies it goes by what counts at that moment.
    std::shared_ptr<const rewrite::Rewrites> rewrites();
    void use(const std::vector<std::string>& keys) { session_->set_keys(keys); }

    /// From any thread.
    std::string figures() const { return side_->metrics(); }

private:
    void changed(const std::string& document, const config_distribution::EffectiveConfig& acted);
    void servers();
    void join_rewrites();
    void arm();

    boost::asio::io_context& io_;
    Clock clock_;
    Node node_;
    config_distribution::EffectiveConfigs acting_;
    boost::asio::steady_timer ends_;
    TimePoint armed_ = TimePoint::max();
    std::set<std::string> listed_;
    std::map<std::string, config_distribution::Servers> hands_;  // by document
    std::set<std::uint64_t> desk_out_, rules_out_;
    std::map<std::string, std::vector<rewrite::Rule>> header_rules_;  // by document
    rewrite::Rewrites own_;
    std::shared_ptr<const rewrite::Rewrites> joined_;
    std::optional<config_distribution::ConfigSubscriberThread> side_;
    std::optional<coordinator::SessionThread> session_;
};

}  // namespace ochrehub::app
