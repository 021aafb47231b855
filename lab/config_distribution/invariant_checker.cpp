#include "lab/config_distribution/invariant_checker.h"

#include <algorithm>

namespace ochrehub::lab {

using config_distribution::ConfigMode;
using config_distribution::EffectiveConfig;

void ConfigInvariantChecker::record(std::size_t node, const std::string& name,
                                    const EffectiveConfig& effective, TimePoint now) {
    ++decisions_;
    ++by_mode_[effective.mode];
    if (!effective.content) return;
    Document& d = documents_[name];
    auto known = known_.find(effective.content.get());
    if (known == known_.end()) {
        std::string key = config_distribution::encode(*effective.content);
        const auto* servers = std::get_if<config_distribution::Servers>(effective.content.get());
        key += servers && servers->partial ? "p" : "w";
        auto [id, fresh] = d.ids.emplace(key, d.contents.size());
        if (fresh) d.contents.push_back(*effective.content);
        known = known_.emplace(effective.content.get(), std::pair{effective.content, id->second}).first;
    }
    std::size_t content = known->second.second;
    if (effective.mode == ConfigMode::Full) versions_.emplace(name, effective.version);
    auto last = d.last.find(node);
    if (last != d.last.end()) {
        Interval& interval = d.intervals[last->second];
        if (!interval.over && interval.content == content && interval.mode == effective.mode &&
            interval.version == effective.version) {
            interval.to = now;
            return;
        }
    }
    d.last[node] = d.intervals.size();
    d.intervals.push_back({node, content, effective.version, effective.mode, now, now, false});
}

void ConfigInvariantChecker::node_stopped(std::size_t node) {
    for (auto& [name, d] : documents_)
        if (auto last = d.last.find(node); last != d.last.end()) d.intervals[last->second].over = true;
}

std::vector<ConfigInvariantChecker::Conflict> ConfigInvariantChecker::conflicts() const {
    std::vector<Conflict> out;
    for (const auto& [name, d] : documents_) {
        std::vector<std::vector<int>> known_conflicts(d.contents.size(),
                                                      std::vector<int>(d.contents.size(), -1));
        std::vector<const Interval*> order;
        for (const Interval& s : d.intervals)
            if (s.mode != ConfigMode::KeepCurrent) order.push_back(&s);
        std::sort(order.begin(), order.end(),
                  [](const Interval* a, const Interval* b) { return a->from < b->from; });
        std::vector<const Interval*> open;
        for (const Interval* s : order) {
            std::erase_if(open, [&](const Interval* o) { return o->to < s->from; });
            for (const Interval* o : open) {
                if (o->node == s->node) continue;
                int& known = known_conflicts[o->content][s->content];
                if (known < 0) known = contradict_(d.contents[o->content], d.contents[s->content]);
                if (!known) continue;
                Conflict c{name,       o->node,    s->node,
                           o->version, s->version, o->mode,
                           s->mode,    s->from,    std::min(o->to, s->to) - s->from,
                           {}};
                for (std::uint64_t version : {o->version, s->version})
                    if (auto canary = canaries_.find({name, version}); canary != canaries_.end())
                        c.canary_allowance += canary->second;
                out.push_back(c);
            }
            open.push_back(s);
        }
    }
    return out;
}

}  // namespace ochrehub::lab
