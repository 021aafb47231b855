// Records which node used which content when, in the simulation's time, and finds the intervals in which two
// nodes used conflicting contents. Strict documents must have none; for Bounded documents they last at most
// max_inconsistency.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fleet/config_distribution/config_subscriber.h"

namespace ochrehub::lab {

class ConfigInvariantChecker {
public:
    using Contradict =
        std::function<bool(const config_distribution::Content&, const config_distribution::Content&)>;
    /// `contradict`: replaced by a test, to show that the checker depends on it.
    explicit ConfigInvariantChecker(Contradict contradict = config_distribution::conflicts)
        : contradict_(std::move(contradict)) {}

    void record(std::size_t node, const std::string& document,
                const config_distribution::EffectiveConfig& effective, TimePoint now);
    /// The node has stopped and uses nothing.
    void node_stopped(std::size_t node);
    /// The version is a canary of this duration.
    void canary(const std::string& document, std::uint64_t version, Duration length) {
        canaries_[{document, version}] = length;
    }
    /// A node's local check rejected the version: no node may use it, if that node is up all the time.
    void refused(const std::string& document, std::uint64_t version) { refused_.emplace(document, version); }

    struct Conflict {
        std::string document;
        std::size_t a = 0, b = 0;  ///< nodes
        std::uint64_t version_a = 0, version_b = 0;
        config_distribution::ConfigMode mode_a{}, mode_b{};
        TimePoint from{};
        Duration length{};
        Duration canary_allowance{};  ///< additional time that a canary's duration permits
    };
    /// All intervals in which two nodes used conflicting contents, except under KeepCurrent.
    std::vector<Conflict> conflicts() const;
    std::uint64_t decisions() const { return decisions_; }
    /// Decisions by mode.
    const std::map<config_distribution::ConfigMode, std::uint64_t>& by_mode() const { return by_mode_; }
    /// Versions that any node used in full.
    const std::set<std::pair<std::string, std::uint64_t>>& versions() const { return versions_; }
    const std::set<std::pair<std::string, std::uint64_t>>& refused() const { return refused_; }

private:
    struct Interval {
        std::size_t node = 0, content = 0;
        std::uint64_t version = 0;
        config_distribution::ConfigMode mode{};
        TimePoint from{}, to{};
        bool over = false;
    };
    struct Document {
        std::map<std::string, std::size_t> ids;
        std::vector<config_distribution::Content> contents;
        std::vector<Interval> intervals;
        std::map<std::size_t, std::size_t> last;  ///< by node
    };

    Contradict contradict_;
    std::map<std::string, Document> documents_;
    std::map<std::pair<std::string, std::uint64_t>, Duration> canaries_;
    std::map<const config_distribution::Content*,
             std::pair<std::shared_ptr<const config_distribution::Content>, std::size_t>>
        known_;
    std::uint64_t decisions_ = 0;
    std::map<config_distribution::ConfigMode, std::uint64_t> by_mode_;
    std::set<std::pair<std::string, std::uint64_t>> versions_, refused_;
};

}  // namespace ochrehub::lab
