#include "lab/config_distribution/invariant_checker.h"

#include <algorithm>

namespace ochrehub::lab {

using config_distribution::ConfigMode;
using config_distribution::EffectiveConfig;

void Judge::acts(std::size_t node, const std::string& name, const EffectiveConfig& acted, TimePoint now) {
    ++decisions_;
    ++by_mode_[acted.mode];
    if (!acted.content) return;
    Document& d = documents_[name];
    auto known = known_.find(acted.content.get());
    if (known == known_.end()) {
        std::string key = config_distribution::encode(*acted.content);
        const auto* servers = std::get_if<config_distribution::Servers>(acted.content.get());
        key += servers && servers->partial ? "p" : "w";
        auto [id, fresh] = d.ids.emplace(key, d.contents.size());
        if (fresh) d.contents.push_back(*acted.content);
        known = known_.emplace(acted.content.get(), std::pair{acted.content, id->second}).first;
    }
    std::size_t content = known->second.second;
    if (acted.mode == ConfigMode::Full) versions_.emplace(name, acted.version);
    auto last = d.last.find(node);
    if (last != d.last.end()) {
        Spell& spell = d.spells[last->second];
        if (!spell.over && spell.content == content && spell.mode == acted.mode &&
            spell.version == acted.version) {
            spell.to = now;
            return;
        }
    }
    d.last[node] = d.spells.size();
    d.spells.push_back({node, content, acted.version, acted.mode, now, now, false});
}

void Judge::gone(std::size_t node) {
    for (auto& [name, d] : documents_)
        if (auto last = d.last.find(node); last != d.last.end()) d.spells[last->second].over = true;
}

std::vector<Judge::Clash> Judge::clashes() const {
    std::vector<Clash> out;
    for (const auto& [name, d] : documents_) {
        std::vector<std::vector<int>> clash(d.contents.size(), std::vector<int>(d.contents.size(), -1));
        std::vector<const Spell*> order;
        for (const Spell& s : d.spells)
            if (s.mode != ConfigMode::KeepCurrent) order.push_back(&s);
        std::sort(order.begin(), order.end(),
                  [](const Spell* a, const Spell* b) { return a->from < b->from; });
        std::vector<const Spell*> open;
        for (const Spell* s : order) {
            std::erase_if(open, [&](const Spell* o) { return o->to < s->from; });
            for (const Spell* o : open) {
                if (o->node == s->node) continue;
                int& known = clash[o->content][s->content];
                if (known < 0) known = contradict_(d.contents[o->content], d.contents[s->content]);
                if (!known) continue;
                Clash c{name,       o->node,    s->node,
                        o->version, s->version, o->mode,
                        s->mode,    s->from,    std::min(o->to, s->to) - s->from,
                        {}};
                for (std::uint64_t version : {o->version, s->version})
                    if (auto canary = canaries_.find({name, version}); canary != canaries_.end())
                        c.allowed_more += canary->second;
                out.push_back(c);
            }
            open.push_back(s);
        }
    }
    return out;
}

}  // namespace ochrehub::lab
