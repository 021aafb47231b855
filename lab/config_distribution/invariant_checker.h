// Who acted on what, and when, as seen from outside: each decision of a node is told to it with the world's
// time. It holds documents to their promise: strict ones are never acted on by two in contents that
// contradict each other, quick ones at most for the stated time.
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
    /// `contradict`: another one proves that this judge needs it.
    explicit ConfigInvariantChecker(Contradict contradict = config_distribution::conflicts)
        : contradict_(std::move(contradict)) {}

    void record(std::size_t node, const std::string& document,
                const config_distribution::EffectiveConfig& effective, TimePoint now);
    /// Its process is gone: it acts on nothing.
    void node_stopped(std::size_t node);
    /// A version that is tried out in a part of the fleet for so long.
    void canary(const std::string& document, std::uint64_t version, Duration length) {
        canaries_[{document, version}] = length;
    }
    /// Some node's own check did not take it: nobody may ever act on it, where that node is there all the
    /// time.
    void refused(const std::string& document, std::uint64_t version) { refused_.emplace(document, version); }

    struct Conflict {
        std::string document;
        std::size_t a = 0, b = 0;  ///< nodes
        std::uint64_t version_a = 0, version_b = 0;
        config_distribution::ConfigMode mode_a{}, mode_b{};
        TimePoint from{};
        Duration length{};
        Duration canary_allowance{};  ///< by a canary's length
    };
    /// Each time in which two nodes acted on contents that contradict each other, without those that chose to
    /// go on (Keep).
    std::vector<Conflict> conflicts() const;
    std::uint64_t decisions() const { return decisions_; }
    /// By How.
    const std::map<config_distribution::ConfigMode, std::uint64_t>& by_mode() const { return by_mode_; }
    /// Versions that were acted on by anybody as such.
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
