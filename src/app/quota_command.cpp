// The commands for partners' budgets, which ask the keepers that keep them.
#include <boost/json.hpp>
#include <cmath>
#include <cstdio>
#include <map>
#include <set>

#include "app/ask_keepers.h"
#include "app/commands.h"
#include "app/node_config.h"
#include "config/toml_file.h"
#include "fleet/coordinator/error.h"
#include "fleet/quota/quota_state_machine.h"

namespace ochrehub::app {
namespace {

namespace json = boost::json;
using quota::Amount;
using quota::kUnit;

struct PartnerTold {
    std::string name;
    double rate = 0, burst = 0, bound = 0;
};
struct FloorTold {
    std::string partner, site;
    double rate = 0, burst = 0;
};
struct CostTold {
    std::string partner, kind;
    double cost = 0;
};
struct BudgetsTold {
    std::vector<PartnerTold> partners;
    std::vector<FloorTold> floors;
    std::vector<CostTold> costs;
};

constexpr double kMostRequests = double(quota::kMaxAmount) / double(kUnit);
Amount amount(double requests) {
    return Amount(std::llround(requests * double(kUnit)));
}
double requests(Amount amount) {
    return double(amount) / double(kUnit);
}

std::vector<config::Section> sections(BudgetsTold& into) {
    using config::number;
    using config::text;
    return {
        config::Section::list(
            "partner",
            {text({.name = "name", .help = "as requests name it", .needed = true}, &PartnerTold::name),
             number({.name = "rate", .help = "requests a second over all gateways", .needed = true},
                    &PartnerTold::rate, 0.0, kMostRequests),
             number({.name = "burst", .help = "at once, over all gateways", .needed = true},
                    &PartnerTold::burst, 0.0, kMostRequests),
             number({.name = "bound", .fallback = "0", .help = "how far the burst may be passed; 0: hard"},
                    &PartnerTold::bound, 0.0, kMostRequests)},
            into.partners),
        config::Section::list(
            "floor",
            {text({.name = "partner", .help = "whose", .needed = true}, &FloorTold::partner),
             text({.name = "site", .help = "where", .needed = true}, &FloorTold::site),
             number({.name = "rate", .help = "a second, whoever is out of reach", .needed = true},
                    &FloorTold::rate, 0.0, kMostRequests),
             number({.name = "burst", .help = "of it, at once", .needed = true}, &FloorTold::burst, 0.0,
                    kMostRequests)},
            into.floors),
        config::Section::list(
            "cost",
            {text({.name = "partner", .help = "whose", .needed = true}, &CostTold::partner),
             text({.name = "class", .help = "of the requests", .needed = true}, &CostTold::kind),
             number({.name = "cost", .help = "of one; 1 where nothing is said", .needed = true},
                    &CostTold::cost, 0.0, kMostRequests)},
            into.costs)};
}

/// Throws ConfigError with a line for each fault.
std::vector<quota::Budget> read_budgets(const std::string& path) {
    config::TomlFile file(path);
    BudgetsTold told;
    file.read(sections(told));
    std::vector<quota::Budget> budgets;
    std::map<std::string, std::size_t> numbers;
    if (file.readable()) {
        for (const PartnerTold& p : told.partners) {
            numbers.try_emplace(p.name, budgets.size());
            budgets.push_back({p.name, amount(p.rate), amount(p.burst), amount(p.bound), {}, {}, {}});
        }
        auto whose = [&](const char* list, std::size_t i, const std::string& partner) -> quota::Budget* {
            auto found = numbers.find(partner);
            if (found != numbers.end()) return &budgets[found->second];
            file.wrong(std::string(list) + "[" + std::to_string(i) + "].partner",
                       "is no [[partner]]'s name: '" + partner + "'");
            return nullptr;
        };
        for (std::size_t i = 0; i < told.floors.size(); ++i)
            if (auto* b = whose("floor", i, told.floors[i].partner))
                b->floors.push_back(
                    {told.floors[i].site, amount(told.floors[i].rate), amount(told.floors[i].burst)});
        for (std::size_t i = 0; i < told.costs.size(); ++i)
            if (auto* b = whose("cost", i, told.costs[i].partner))
                b->costs.push_back({told.costs[i].kind, amount(told.costs[i].cost)});
        if (budgets.empty())
            file.wrong("partner", "is missing: a [[partner]] with name, rate and burst for each");
        for (const quota::Failure& fault : quota::validate(budgets, {}, {})) {
            auto found = numbers.find(fault.about.substr(0, fault.about.find(',')));
            file.wrong(
                found == numbers.end() ? "partner" : "partner[" + std::to_string(found->second) + "].name",
                fleet::sentence(fault));
        }
    }
    std::string all;
    for (const std::string& fault : file.faults()) all += (all.empty() ? "" : "\n") + fault;
    if (!all.empty()) throw ConfigError(all);
    return budgets;
}

int refused(const fleet::ErrorRow& row, const std::string& about) {
    std::fprintf(stderr, "%s\n", fleet::sentence(row, about).c_str());
    return 1;
}

/// What the machine answered. Nothing: told already why not.
std::optional<quota::CommandResponse> ask_machine(const KeepersAt& at, std::string body) {
    coordinator::wire::Request ask;
    ask.mutable_command()->set_kind("quota"), ask.mutable_command()->set_body(std::move(body));
    auto answer = ask_leader(at, ask);
    if (!answer || answer->error() != 0) {
        refused(
            coordinator::row(answer ? coordinator::Error(answer->error()) : coordinator::Error::Unreachable),
            "quota");
        return std::nullopt;
    }
    auto reply = quota::decode_command_response(answer->result());
    if (!reply) refused(quota::row(quota::Error::Malformed), "the keepers' answer");
    if (reply && reply->error) {
        refused(quota::row(*reply->error), reply->about);
        return std::nullopt;
    }
    return reply;
}

json::object as_json(const quota::State& state, const quota::Budget& budget) {
    json::array floors, lent;
    for (const quota::Floor& f : budget.floors)
        floors.push_back(
            json::object{{"site", f.site}, {"rate", requests(f.rate)}, {"burst", requests(f.burst)}});
    for (const quota::OutstandingLease& b : state.leases)
        if (b.account.partner == budget.partner)
            lent.push_back(json::object{{"to", b.child},
                                        {"floor", b.account.floor},
                                        {"lent", requests(b.granted - b.spent - b.returned)},
                                        {"spent", requests(b.spent)}});
    bool frozen = std::find(state.frozen.begin(), state.frozen.end(), budget.partner) != state.frozen.end();
    return {{"partner", budget.partner},
            {"rate", requests(budget.rate)},
            {"burst", requests(budget.burst)},
            {"bound", requests(budget.bound)},
            {"frozen", frozen},
            {"floors", std::move(floors)},
            {"lent", std::move(lent)}};
}

}  // namespace

int fleet_quota_show(const KeepersAt& at, const std::string& partner, bool as_json_text) {
    auto reply = ask_machine(at, quota::command_get());
    if (!reply || !reply->state) return 1;
    const quota::State& state = *reply->state;
    json::array partners;
    for (const quota::Budget& b : state.budgets)
        if (partner.empty() || b.partner == partner) partners.push_back(as_json(state, b));
    if (!partner.empty() && partners.empty())
        return refused(quota::row(quota::Error::UnknownPartner), partner);
    if (as_json_text) {
        std::printf("%s\n", json::serialize(json::object{{"version", state.version},
                                                         {"epoch", state.epoch},
                                                         {"owner", state.owner_name},
                                                         {"partners", std::move(partners)}})
                                .c_str());
        return 0;
    }
    std::printf("version %llu; the lender is %s's, epoch %llu\n",
                static_cast<unsigned long long>(state.version),
                state.owner_name.empty() ? "nobody" : state.owner_name.c_str(),
                static_cast<unsigned long long>(state.epoch));
    std::printf("%-24s %12s %12s %10s %12s  %s\n", "PARTNER", "RATE", "BURST", "BOUND", "LENT", "");
    for (const json::value& each : partners) {
        const json::object& one = each.as_object();
        auto number = [](const json::object& of, const char* key) { return of.at(key).to_number<double>(); };
        double lent = 0;
        for (const json::value& l : one.at("lent").as_array()) lent += number(l.as_object(), "lent");
        std::printf("%-24s %10.2f/s %12.2f %10.2f %12.2f  %s\n", one.at("partner").as_string().c_str(),
                    number(one, "rate"), number(one, "burst"), number(one, "bound"), lent,
                    one.at("frozen").as_bool() ? "frozen" : "");
        if (partner.empty()) continue;
        for (const json::value& f : one.at("floors").as_array())
            std::printf("  floor of %-16s %10.2f/s %12.2f\n", f.as_object().at("site").as_string().c_str(),
                        number(f.as_object(), "rate"), number(f.as_object(), "burst"));
        for (const json::value& l : one.at("lent").as_array())
            std::printf("  lent to %-17s %12.2f, of which spent before %.2f\n",
                        l.as_object().at("to").as_string().c_str(), number(l.as_object(), "lent"),
                        number(l.as_object(), "spent"));
    }
    return 0;
}

int fleet_quota_set(const KeepersAt& at, const std::string& file) {
    std::vector<quota::Budget> budgets = read_budgets(file);
    auto reply = ask_machine(at, quota::command_get());
    if (!reply) return 1;
    reply = ask_machine(at, quota::command_set(reply->version, budgets));
    if (!reply) return 1;
    std::printf("done: version %llu, %zu partners\n", static_cast<unsigned long long>(reply->version),
                budgets.size());
    return 0;
}

int fleet_quota_order(const KeepersAt& at, QuotaOrder order, const std::string& partner,
                      const std::string& to, double many) {
    using What = quota::OperatorOrder::What;
    What what = order == QuotaOrder::Freeze   ? What::Freeze
                : order == QuotaOrder::Thaw   ? What::Thaw
                : order == QuotaOrder::Recall ? What::Recall
                                              : What::Lend;
    if (many < 0 || many > kMostRequests)
        throw ConfigError("--amount: from 0 to " + std::to_string(Amount(kMostRequests)));
    auto reply = ask_machine(at, quota::command_order({what, partner, to, amount(many)}));
    if (!reply) return 1;
    std::printf("done: %s\n", partner.c_str());
    return 0;
}

}  // namespace ochrehub::app
