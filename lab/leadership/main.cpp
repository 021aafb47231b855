// ochrehub_duty_lab: the long runs of duties, and their figures.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "lab/leadership/list_world.h"
#include "lab/leadership/trial.h"

using namespace ochrehub;
using namespace ochrehub::lab::leadership;

namespace {

int failed = 0;

void tell(const char* what, const Trial& trial) {
    std::printf("%-44s %7llu runs, %9llu events, %8llu effects, %6llu owners, %6llu refused: %llu wrong %s\n",
                what, static_cast<unsigned long long>(trial.runs),
                static_cast<unsigned long long>(trial.events), static_cast<unsigned long long>(trial.effects),
                static_cast<unsigned long long>(trial.owners), static_cast<unsigned long long>(trial.refused),
                static_cast<unsigned long long>(trial.wrong), trial.first.c_str());
    std::fflush(stdout);
    failed += trial.wrong > 0;
}

void gaps(bool real) {
    std::printf("time without an owner, lease 3 s, renewed each second, by the receivers (ms)%s\n",
                real ? ", real keepers" : "");
    constexpr std::pair<Change, const char*> kAll[] = {
        {Change::Kill, "killed"},
        {Change::Stop, "stopped"},
        {Change::CutToKeepers, "cut off from the keepers one way"},
        {Change::Move, "handed over"}};
    for (auto [change, what] : kAll) {
        Gaps all = without_owner(change, 400, Duration{3000}, real);
        std::printf("%-34s median %5.0f  worst %5.0f  (%zu runs)\n", what, all.median().count(),
                    all.worst().count(), all.each.size());
    }
}

TimePoint at(double ms) {
    return TimePoint{Duration{ms}};
}

void calls_of(const char* what, ListSettings settings, Duration every) {
    settings.every = every;
    ListWorld world(settings);
    world.run_to(at(66'000));
    ListOutcome out = world.outcome();
    Duration median = out.learnt.empty() ? Duration{0} : out.learnt[out.learnt.size() / 2];
    std::printf(
        "%-44s every %6.0f ms: %6llu calls, %5llu failed, drains learnt: median %5.0f  worst %5.0f ms, %zu "
        "wrong\n",
        what, every.count(), static_cast<unsigned long long>(out.calls),
        static_cast<unsigned long long>(out.failed), median.count(),
        out.learnt.empty() ? 0 : out.learnt.back().count(), out.wrong.size());
    failed += !out.wrong.empty() && settings.agreed;
}

void the_list(std::uint64_t stride) {
    for (Duration every : {Duration{1e9}, Duration{10'000}, Duration{3000}}) {
        ListSettings tier, one, each;
        tier.nodes = each.nodes = 100, one.nodes = 1;
        one.agreed = each.agreed = false;
        calls_of("100 nodes, agreed", tier, every);
        calls_of("one node by itself", one, every);
        calls_of("100 nodes, each by itself", each, every);
        each.calls_per_s = tier.calls_per_s = 22;
        calls_of("100 nodes, agreed, 22 calls a second", tier, every);
        calls_of("100 nodes, each by itself, 22 calls a second", each, every);
    }
    for (Hit hit : {Hit::Kill, Hit::Stop, Hit::CutToKeepers, Hit::CutFromKeepers, Hit::CutToDiscovery,
                    Hit::CutFromDiscovery, Hit::Hang, Hit::KeepersGone, Hit::KeepersAndBack}) {
        ListTrial trial = hit_each({}, hit, Duration{9000}, 1, stride);
        std::printf(
            "owner: %-22s %llu runs, %llu drains, longest %6.0f ms, %.2f calls a second, %llu wrong %s\n",
            std::string(name(hit)).c_str(), static_cast<unsigned long long>(trial.runs),
            static_cast<unsigned long long>(trial.drains), trial.worst.count(),
            double(trial.calls) / trial.seconds, static_cast<unsigned long long>(trial.wrong),
            trial.first.c_str());
        std::fflush(stdout);
        failed += trial.wrong > 0;
        ListSettings real;
        real.real = true;
        ListTrial over = hit_each(real, hit, Duration{9000}, 1, 7 * stride);
        std::printf("owner: %-22s real keepers: %llu runs, longest %6.0f ms, %llu wrong %s\n",
                    std::string(name(hit)).c_str(), static_cast<unsigned long long>(over.runs),
                    over.worst.count(), static_cast<unsigned long long>(over.wrong), over.first.c_str());
        failed += over.wrong > 0;
    }
    for (std::size_t i = 1; i < kListSaboteurs; ++i) {
        ListTrial with = list_shown_by(ListSaboteur(i), ListSaboteur(i)),
                  without = list_shown_by(ListSaboteur(i), ListSaboteur::None);
        std::printf("%s | %llu of %llu | without it %llu | %s\n", std::string(name(ListSaboteur(i))).c_str(),
                    static_cast<unsigned long long>(with.wrong), static_cast<unsigned long long>(with.runs),
                    static_cast<unsigned long long>(without.wrong), with.first.c_str());
        failed += with.wrong == 0 || without.wrong > 0;
    }
}

}  // namespace

int main(int count, char** words) {
    std::string what = count > 1 ? words[1] : "";
    if (what == "each") {
        for (auto [blow, name] : {std::pair{Blow::Kill, "killed at each event"},
                                  {Blow::Stop, "stopped behind each event"},
                                  {Blow::CutToKeepers, "cut off one way at each event"}}) {
            tell(name, strike_each(scripted(20), blow, 1, 1));
            WorldSettings real = scripted(20);
            real.real = true;
            tell((std::string(name) + ", real keepers").c_str(), strike_each(real, blow, 1, 1));
            tell((std::string(name) + ", and again").c_str(), strike_each(scripted(4), blow, 1, 1, true));
        }
    } else if (what == "seeds") {
        const std::uint64_t most = 1 + std::uint64_t(count > 2 ? std::atoi(words[2]) : 1000);
        tell("everything at once", chaos(1, most));
        tell("everything at once, real keepers", chaos(1, most, true));
    } else if (what == "gaps") {
        gaps(false), gaps(true);
    } else if (what == "saboteurs") {
        for (std::size_t i = 1; i < kSaboteurs; ++i) {
            Trial with = shown_by(Saboteur(i), Saboteur(i)), without = shown_by(Saboteur(i), Saboteur::None);
            std::printf("%s | %s | %llu of %llu | without it %llu | %s\n",
                        std::string(name(Saboteur(i))).c_str(), std::string(fault_for(Saboteur(i))).c_str(),
                        static_cast<unsigned long long>(with.wrong),
                        static_cast<unsigned long long>(with.runs),
                        static_cast<unsigned long long>(without.wrong), with.first.c_str());
            failed += with.wrong == 0 || without.wrong > 0;
        }
    } else if (what == "list") {
        the_list(count > 2 ? std::uint64_t(std::max(1, std::atoi(words[2]))) : 1);
    } else {
        std::printf("ochrehub_duty_lab each | seeds [N] | gaps | saboteurs | list [STRIDE]\n");
        return 2;
    }
    return failed > 0;
}
