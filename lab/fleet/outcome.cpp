#include "lab/fleet/outcome.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <map>
#include <stdexcept>

namespace ochrehub::lab::fleet {
namespace {

namespace json = boost::json;

/// In the order of their names: all values of all runs.
std::map<std::string, std::vector<double>> figures(const std::vector<Outcome>& outcomes) {
    std::map<std::string, std::vector<double>> all;
    for (const Outcome& one : outcomes)
        for (const auto& [what, values] : one.verdict.figures)
            all[what].insert(all[what].end(), values.begin(), values.end());
    return all;
}

json::value of(const Fault& fault) {
    return {{"kind", name(fault.kind)},
            {"at_s", fault.at_s},
            {"for_s", fault.for_s},
            {"back_s", fault.back_s},
            {"text", fault.text()}};
}

std::string whole(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    if (!in) throw std::runtime_error(path + ": cannot be read");
    return {std::istreambuf_iterator<char>(in), {}};
}

FaultKind kind_of(const std::string& word) {
    for (int i = 0; i <= int(FaultKind::Rekey); ++i)
        if (word == name(FaultKind(i))) return FaultKind(i);
    throw std::runtime_error("no kind of fault: " + word);
}

}  // namespace

std::string summary(const std::vector<Outcome>& outcomes) {
    std::string out;
    char line[300];
    for (auto& [what, values] : figures(outcomes)) {
        std::vector<double> sound;
        for (double v : values)
            if (v >= 0) sound.push_back(v);
        std::sort(sound.begin(), sound.end());
        const char* unit = what == "deaths" || what == "served" || what == "parts" ? "" : " s";
        if (sound.empty())
            std::snprintf(line, sizeof line, "%-9s never, %zu times\n", what.c_str(), values.size());
        else
            std::snprintf(line, sizeof line, "%-9s median %.3f%s, least %.3f, most %.3f, %zu times%s\n",
                          what.c_str(), sound[sound.size() / 2], unit, sound.front(), sound.back(),
                          sound.size(),
                          sound.size() < values.size()
                              ? (", never " + std::to_string(values.size() - sound.size())).c_str()
                              : "");
        out += line;
    }
    std::size_t broken = 0;
    for (const Outcome& one : outcomes) {
        broken += !one.verdict.broken.empty();
        for (const Broken& promise : one.verdict.broken) {
            std::snprintf(line, sizeof line, "seed %llu, at %.2f s: broken: %s\n",
                          static_cast<unsigned long long>(one.day.seed), promise.at_s,
                          promise.promise.c_str());
            out += line;
            for (const std::string& proof : promise.proof) out += "    " + proof + "\n";
        }
    }
    std::snprintf(line, sizeof line, "%zu runs, %zu with a broken promise\n", outcomes.size(), broken);
    return out + line;
}

std::string to_json(const std::vector<Outcome>& outcomes) {
    json::array runs;
    for (const Outcome& one : outcomes) {
        json::array faults, broken, events;
        for (const Fault& fault : one.day.faults) faults.push_back(of(fault));
        for (const Broken& promise : one.verdict.broken) {
            json::array proof(promise.proof.begin(), promise.proof.end());
            broken.push_back(
                {{"promise", promise.promise}, {"at_s", promise.at_s}, {"proof", std::move(proof)}});
        }
        for (const Event& event : one.events) {
            if (event.what == Event::What::Served) continue;  // by the thousand; the figure says how many
            events.push_back(
                {std::round(event.at_s * 1000) / 1000, int(event.what), event.who, event.about, event.value});
        }
        json::object values;
        for (const auto& [what, list] : one.verdict.figures)
            values[what] = json::array(list.begin(), list.end());
        runs.push_back({{"scenario", one.day.name},
                        {"seed", one.day.seed},
                        {"world", one.world},
                        {"members", one.day.members},
                        {"faults", std::move(faults)},
                        {"figures", std::move(values)},
                        {"broken", std::move(broken)},
                        {"events", std::move(events)}});
    }
    return json::serialize(json::object{{"kind", "fleet"}, {"runs", std::move(runs)}}) + "\n";
}

bool is_outcomes(const std::string& path) {
    std::string text = whole(path).substr(0, 20);
    return text.starts_with("{\"kind\":\"fleet\"");
}

std::vector<Outcome> read_outcomes(const std::string& path) {
    std::vector<Outcome> all;
    try {
        json::value root = json::parse(whole(path));
        for (const json::value& run : root.at("runs").as_array()) {
            Outcome& one = all.emplace_back();
            one.day.name = run.at("scenario").as_string().c_str();
            one.day.seed = run.at("seed").to_number<std::uint64_t>();
            one.day.members = run.at("members").to_number<int>();
            if (one.day.members < 1 || one.day.members > 4096)
                throw std::runtime_error("so many members: " + std::to_string(one.day.members));
            one.world = run.at("world").as_string().c_str();
            for (const json::value& fault : run.at("faults").as_array()) {
                Fault& into = one.day.faults.emplace_back();
                into.kind = kind_of(fault.at("kind").as_string().c_str());
                into.at_s = fault.at("at_s").to_number<double>();
                into.for_s = fault.at("for_s").to_number<double>();
                into.back_s = fault.at("back_s").to_number<double>();
            }
            for (const auto& [what, list] : run.at("figures").as_object())
                for (const json::value& value : list.as_array())
                    one.verdict.figures[what].push_back(value.to_number<double>());
            for (const json::value& promise : run.at("broken").as_array()) {
                Broken& into = one.verdict.broken.emplace_back();
                into.promise = promise.at("promise").as_string().c_str();
                into.at_s = promise.at("at_s").to_number<double>();
                for (const json::value& line : promise.at("proof").as_array())
                    into.proof.emplace_back(line.as_string().c_str());
            }
            for (const json::value& event : run.at("events").as_array()) {
                const json::array& e = event.as_array();
                Event into{e.at(0).to_number<double>(), Event::What(e.at(1).to_number<int>()),
                           e.at(2).to_number<int>(), e.at(3).to_number<int>(), e.at(4).to_number<int>()};
                bool sound = into.what >= Event::What::Up && into.what <= Event::What::Over &&
                             into.who < one.day.members && into.about < one.day.members &&
                             (into.what != Event::What::Sees || (into.value >= 0 && into.value <= 4));
                bool whose = into.what <= Event::What::Leaves ||
                             (into.what >= Event::What::Sees && into.what <= Event::What::Unserved);
                if (!sound || (whose && into.who < 0) || (into.what == Event::What::Sees && into.about < 0))
                    throw std::runtime_error("an event that cannot be");
                one.events.push_back(into);
            }
        }
    } catch (const std::exception& error) {
        throw std::runtime_error(path + ": is no result of a fleet: " + error.what());
    }
    return all;
}

}  // namespace ochrehub::lab::fleet
