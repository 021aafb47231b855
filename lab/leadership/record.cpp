#include "lab/leadership/record.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace ochrehub::lab::leadership {

std::vector<std::string> judge(const Records& records, const JudgeSettings& settings) {
    std::vector<std::string> wrong;
    auto said = [&](const EffectSeen& e, const char* what) {
        wrong.push_back(std::string(what) + ": " + e.duty + " item " + std::to_string(e.item) +
                        " under epoch " + std::to_string(e.epoch) + " at receiver " +
                        std::to_string(e.receiver) + ", from " + std::to_string(e.sender) + ", at " +
                        std::to_string(int(e.at.time_since_epoch().count())) + " ms");
    };
    std::map<std::pair<std::string, std::uint64_t>, std::size_t> items, senders;
    std::map<std::pair<std::string, std::size_t>, std::uint64_t> at_receiver;
    std::map<std::string, std::uint64_t> anywhere;
    for (const EffectSeen& e : records.effects) {
        if (++items[{e.duty, e.item}] > 1) said(e, "twice");
        std::uint64_t& here = at_receiver[{e.duty, e.receiver}];
        std::uint64_t& all = anywhere[e.duty];
        if (e.epoch < here)
            said(e, "behind a newer owner's");
        else if (e.epoch < all)
            said(e, "beside a newer owner's");
        here = std::max(here, e.epoch), all = std::max(all, e.epoch);
        auto [known, fresh] = senders.try_emplace({e.duty, e.epoch}, e.sender);
        if (!fresh && known->second != e.sender) said(e, "two owners under one epoch");
    }
    std::map<std::tuple<std::string, std::uint64_t, std::size_t>, std::size_t> late;
    for (const RefusedSeen& r : records.refused)
        if (r.since > settings.on_the_way && ++late[{r.duty, r.epoch, r.sender}] == settings.late + 1)
            wrong.push_back("went on: " + r.duty + " under epoch " + std::to_string(r.epoch) + " from " +
                            std::to_string(r.sender) + ", " + std::to_string(int(r.since.count())) +
                            " ms behind a newer owner");
    for (const std::string& one : records.undone) wrong.push_back("undone: " + one);
    return wrong;
}

}  // namespace ochrehub::lab::leadership
