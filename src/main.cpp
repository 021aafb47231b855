// The command line: which command is meant, and what its exit status is.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "app/commands.h"
#include "app/node_config.h"

namespace {

using namespace ochrehub;

constexpr const char* kUsage = "usage: ochrehub [-f FILE] | check FILE | audit verify FILE\n";

/// Help that fits a screen: the options in lines of their own, without a heading, then `more`.
class Brief : public CLI::Formatter {
public:
    std::string make_help(const CLI::App* app, std::string name, CLI::AppFormatMode mode) const override {
        std::string help = CLI::Formatter::make_help(app, std::move(name), mode);
        std::string out;
        for (std::size_t i = 0; i < help.size(); ++i)  // no empty lines
            if (help[i] != '\n' || (!out.empty() && out.back() != '\n')) out += help[i];
        constexpr std::string_view kHeading = "\nOptions:\n";
        if (std::size_t at = out.find(kHeading); at != std::string::npos) out.erase(at, kHeading.size() - 1);
        return out;
    }
};

int run(int count, char** texts) {
    // As they always were: what the platform and the operators' scripts call. Nothing else is looked at.
    std::vector<std::string_view> arguments(texts + 1, texts + count);
    auto are = [&](std::size_t many, std::string_view first) {
        return arguments.size() == many && arguments.front() == first;
    };
    if (arguments.empty()) return app::serve_platform("");
    if (are(2, "-f")) return app::serve_platform(std::string(arguments[1]));

    CLI::App app("A load-balancing node for HTTP/1.1 services.", "ochrehub");
    app.formatter(std::make_shared<Brief>());
    app.set_version_flag("--version", "ochrehub " OCHREHUB_VERSION, "Print the version and end");
    app.set_help_flag("-h,--help", "Print this help and end; COMMAND --help says more");
    app.get_formatter()->column_width(26);
    app.require_subcommand(1);

    std::string config, other, section;
    int status = 0;
    CLI::App* node = app.add_subcommand("node", "Serve by a TOML file until SIGTERM; SIGHUP reads it again");
    node->add_option("--config", config, "the file")->required()->type_name("FILE");
    node->footer([] {
        return "Settings with their defaults, by the file's sections (`ochrehub settings` explains them):\n" +
               app::settings_in_short();
    });
    node->callback([&] { status = app::serve_file(config); });

    CLI::App* check = app.add_subcommand("check", "Name all faults of a file, then every value in force");
    check->add_option("FILE", config, "FILE.toml, or an operators' file, which goes with GW_CONFIG")
        ->required()
        ->type_name("");
    check->add_option("OTHER", other, "FILE.json in place of GW_CONFIG, or one more file")->type_name("");
    check->footer("It has no settings but these. Exit status: 0 no fault, 1 some.");
    check->callback([&] {
        std::vector<std::string> files{config};
        if (!other.empty()) files.push_back(other);
        status = app::check(files);
    });

    CLI::App* audit = app.add_subcommand("audit", "Work on the audit's lines");
    audit->require_subcommand(1);
    audit->footer("It has no settings.");
    CLI::App* verify = audit->add_subcommand("verify", "Go through an audit, name the first broken line");
    verify->add_option("FILE", config, "an audit's file, or a captured standard error")
        ->required()
        ->type_name("");
    verify->footer("It has no settings but this. Exit status: 0 sound, 1 broken, 2 cannot be read.");
    verify->callback([&] { status = app::verify_audit(config); });

    CLI::App* settings = app.add_subcommand("settings", "Explain the settings of the TOML file");
    settings->add_option("SECTION", section, "this one alone, such as http; default: all")->type_name("");
    settings->footer("It has no settings but this.");
    settings->callback([&] { status = app::print_settings(section); });

    std::string control;
    bool json = false, watch = false;
    CLI::App* fleet = app.add_subcommand("fleet", "What the nodes of a fleet know of each other");
    fleet->require_subcommand(1);
    fleet->footer(
        "It has no settings. The file's [fleet] joins a node to a fleet: `ochrehub settings fleet`.");
    CLI::App* members = fleet->add_subcommand("members", "The members, as one node sees them");
    members->add_option("--control", control, "the second address of that node")
        ->required()
        ->type_name("ADDR");
    members->add_flag("--json", json, "as the node has it, in JSON");
    members->add_flag("--watch", watch, "again each second, until it is stopped");
    members->footer("It has no settings but these. Exit status: 0 done, 1 the node could not be asked.");
    members->callback([&] { status = app::fleet_members(control, json, watch); });

    app::KeeperBegins begins;
    std::string folder, cluster = "ochrehub";
    CLI::App* keeper = app.add_subcommand("keeper", "Serve as one of three or five keepers until SIGTERM");
    keeper->add_option("--config", config, "its file: [keeper], [[member]] for each")->type_name("FILE");
    CLI::Option* anew =
        keeper->add_flag("--new", begins.anew, "first start, with its cluster; its number never ran");
    CLI::Option* join =
        keeper->add_flag("--join", begins.join, "first start, of one more; its number never ran");
    CLI::Option* lost = keeper->add_flag("--lost", begins.lost, "its number ran, and its folder is gone");
    anew->excludes(join)->excludes(lost), join->excludes(lost);
    keeper->footer(
        "An empty folder is refused without one of --new, --join, --lost; one that has begun, with any.\n"
        "Exit status: 0 stopped, 1 cannot go on, 2 a fault in usage or settings, or its folder is refused.");
    CLI::App* look = keeper->add_subcommand("verify", "Go through a keeper's folder without changing it");
    look->add_option("DIR", folder, "the folder")->required()->type_name("");
    look->add_option("--cluster", cluster, "the cluster's name; default: ochrehub")->type_name("NAME");
    look->footer(
        "It has no settings but these. Exit status: 0 sound, 1 a promise is lost, 2 cannot be read.");
    look->callback([&] { status = app::verify_keeper(folder, cluster); });
    keeper->callback([&] {
        if (look->parsed()) return;
        if (config.empty()) throw CLI::RequiredError("--config");
        status = app::serve_keeper(config, begins);
    });

    app::KeepersAt at;
    int number = 0;
    std::string address;
    auto asked = [&](CLI::App* command) {
        command->add_option("--config", at.config, "a keeper's file: all its members are asked")
            ->type_name("FILE");
        command->add_option("--ask", at.ask, "or one keeper's address")->type_name("ADDR");
        command->add_option("--cluster", at.cluster, "with --ask: the cluster's name; default: ochrehub")
            ->type_name("NAME");
        command->add_option("--key-file", at.key_file, "with --ask: the fleet's keys")->type_name("FILE");
    };
    CLI::App* keepers = fleet->add_subcommand("keepers", "Which keeper leads, the members, the sessions");
    asked(keepers);
    keepers->add_flag("--json", json, "in JSON");
    keepers->footer("It has no settings but these. Exit status: 0 one leads, 1 none that leads was found.");
    keepers->callback([&] { status = app::fleet_keepers(at, json); });
    CLI::App* change = fleet->add_subcommand("keeper", "Add or remove a keeper while the others serve");
    change->require_subcommand(1);
    change->footer("It has no settings. docs/keepers.md shows a replacement step by step.");
    auto changes = [&](const char* name, const char* what) {
        CLI::App* one = change->add_subcommand(name, what);
        asked(one);
        one->add_option("--number", number, "the keeper's")
            ->required()
            ->type_name("N")
            ->check(CLI::Range(1, 65535));
        one->footer("It has no settings but these. Exit status: 0 done, 1 refused or not done in time.");
        return one;
    };
    CLI::App* add = changes("add", "One more: it learns first, and votes once it has caught up");
    add->add_option("--address", address, "where it is reached")->required()->type_name("ADDR");
    add->callback([&] { status = app::fleet_keeper_add(at, number, address); });
    changes("remove", "One less")->callback([&] { status = app::fleet_keeper_remove(at, number); });
    changes("lead", "Have this one lead from now on")->callback([&] {
        status = app::fleet_keeper_lead(at, number);
    });

    std::string kind;
    int to = 0, shards = 256, refusals = 1000;
    double groups = 0;
    bool narrows = false;
    CLI::App* migrate =
        fleet->add_subcommand("migrate", "Change the schema of shared records while all serve");
    migrate->require_subcommand(1);
    migrate->footer("It has no settings. docs/upgrades.md shows an upgrade step by step.");
    auto migrates = [&](const char* name, const char* what) {
        CLI::App* one = migrate->add_subcommand(name, what);
        asked(one);
        one->footer(
            "It has no settings but these. Exit status: 0 done, 1 refused, or none that leads was found.");
        return one;
    };
    auto where_to = [&](CLI::App* one) {
        one->add_option("KIND", kind, "sessions, rates, rules, fences or snapshots")
            ->required()
            ->type_name("");
        one->add_option("--to", to, "the schema's number; default: the level and one")
            ->type_name("N")
            ->check(CLI::Range(1, 1000));
    };
    CLI::App* plan = migrates("plan", "Who can and who cannot, and what it would take; changes nothing");
    where_to(plan);
    plan->add_option("--groups", groups, "how many there are, for the time that it would take")
        ->type_name("N");
    plan->add_flag("--json", json, "in JSON");
    plan->callback([&] { status = app::migrate_plan(at, kind, to, groups, json); });
    CLI::App* start = migrates("start", "Begin one; it waits behind the switch until `narrow`");
    where_to(start);
    start->add_option("--shards", shards, "that the records are in; default: 256")
        ->type_name("N")
        ->check(CLI::Range(1, 4096));
    start->add_option("--refusals", refusals, "more refused writes stop it; default: 1000")->type_name("N");
    start->add_flag("--narrow", narrows, "do not wait: drop the old form behind the switch");
    start->callback([&] { status = app::migrate_start(at, kind, to, shards, refusals, narrows); });
    CLI::App* shows = migrates("status", "How far it is, and why it stopped");
    shows->add_flag("--json", json, "in JSON");
    shows->add_flag("--watch", watch, "again each second, until it is over or stopped");
    shows->callback([&] { status = app::migrate_status(at, json, watch); });
    migrates("pause", "Hold it where it is")->callback([&] { status = app::migrate_steer(at, "pause"); });
    migrates("go-on", "Go on behind a pause or a stop")->callback([&] {
        status = app::migrate_steer(at, "go-on");
    });
    migrates("back", "Take it back; nothing is lost that was written since")->callback([&] {
        status = app::migrate_steer(at, "back");
    });
    migrates("narrow", "Drop the old form behind the switch: no way back from there")->callback([&] {
        status = app::migrate_steer(at, "narrow");
    });
    app::RulesAsk rules_ask;
    CLI::App* rules =
        fleet->add_subcommand("rules", "Documents that the nodes agree on: see and change them");
    rules->require_subcommand(1);
    rules->footer("It has no settings. docs/rules.md shows a change and its way back, step by step.");
    auto rules_command = [&](const char* name, const char* what, bool needs_document) {
        CLI::App* one = rules->add_subcommand(name, what);
        asked(one);
        auto* document = one->add_option("DOCUMENT", rules_ask.document, "its name")->type_name("");
        if (needs_document) document->required();
        one->add_flag("--json", rules_ask.json, "in JSON");
        one->footer("It has no settings but these. Exit status: 0 done, 1 refused, and why is told.");
        one->callback([&, name] {
            rules_ask.at = at;
            status = app::fleet_rules(name, rules_ask);
        });
        return one;
    };
    rules_command("show", "What is in force and under way, and each node's word", false);
    CLI::App* propose =
        rules_command("propose", "A new version, from a file; waits for what becomes of it", true);
    propose->add_option("FILE", rules_ask.file, "its content, an entry a line")->required()->type_name("");
    propose->add_option("--mode", rules_ask.mode, "strict, or quick")
        ->check(CLI::IsMember({"strict", "quick"}))
        ->type_name("MODE");
    propose->add_option("--without-permit", rules_ask.choice, "what cut off nodes do")
        ->check(CLI::IsMember({"keep", "caution", "refuse"}))
        ->type_name("CHOICE");
    propose->add_option("--base", rules_ask.base, "the version it was made on; default: the one in force")
        ->type_name("N");
    propose->add_option("--within", rules_ask.within_s, "seconds for all nodes to take it; default: 30")
        ->type_name("S")
        ->check(CLI::Range(1, 600));
    propose->add_option("--zone", rules_ask.zone, "a canary: in this zone alone")->type_name("ZONE");
    propose->add_option("--node", rules_ask.node, "a canary: at this node alone")->type_name("NODE");
    propose->add_option("--for", rules_ask.for_s, "seconds until a canary ends; default: 60")
        ->type_name("S")
        ->check(CLI::Range(1, 86400));
    propose->add_flag("--some-may-refuse", rules_ask.some_may_refuse, "one node's no does not stop it");
    CLI::App* diff =
        rules_command("diff", "What would change: against what is proposed, a file or a version", true);
    diff->add_option("FILE", rules_ask.file, "a content")->type_name("");
    diff->add_option("--version", rules_ask.to, "an older version")->type_name("N");
    rules_command("history", "The last versions, and those that were stopped", true);
    CLI::App* back = rules_command("back", "A new version with an older one's content; waits for it", true);
    back->add_option("--to", rules_ask.to, "the older version; default: the one before")->type_name("N");
    std::string partner, child, budgets;
    double amount = 0;
    bool off = false;
    CLI::App* quota = fleet->add_subcommand("quota", "Partners' budgets, which all gateways share");
    quota->require_subcommand(1);
    quota->footer("It has no settings. docs/quota.md shows a partner's quota day by day.");
    auto quotas = [&](const char* name, const char* what, bool of_one) {
        CLI::App* one = quota->add_subcommand(name, what);
        asked(one);
        CLI::Option* whose = one->add_option("PARTNER", partner, "its name")->type_name("");
        if (of_one) whose->required();
        one->footer(
            "It has no settings but these. Exit status: 0 done, 1 refused or none that leads was found.");
        return one;
    };
    CLI::App* show = quotas("show", "Budgets, whose the lender is, what is lent to whom", false);
    show->add_flag("--json", json, "in JSON");
    show->callback([&] { status = app::fleet_quota_show(at, partner, json); });
    CLI::App* set = quota->add_subcommand("set", "All budgets anew, from a file");
    asked(set);
    set->add_option("FILE", budgets, "[[partner]], [[floor]], [[cost]]")->required()->type_name("");
    set->footer("It has no settings but these. Exit status: 0 done, 1 refused, 2 a fault in the file.");
    set->callback([&] { status = app::fleet_quota_set(at, budgets); });
    CLI::App* freeze = quotas("freeze", "Let nothing of a partner's in from now on", true);
    freeze->add_flag("--off", off, "let it go on");
    freeze->callback([&] {
        status =
            app::fleet_quota_order(at, off ? app::QuotaOrder::Thaw : app::QuotaOrder::Freeze, partner, {}, 0);
    });
    CLI::App* recall = quotas("recall", "Have what is lent and unspent given back", true);
    recall->add_option("--from", child, "of this site or node alone")->type_name("NAME");
    recall->callback(
        [&] { status = app::fleet_quota_order(at, app::QuotaOrder::Recall, partner, child, 0); });
    CLI::App* lend = quotas("lend", "Lend so much, once it is there, before others' turn", true);
    lend->add_option("--to", child, "this site or node")->required()->type_name("NAME");
    lend->add_option("--amount", amount, "requests")->required()->type_name("N");
    lend->callback(
        [&] { status = app::fleet_quota_order(at, app::QuotaOrder::Lend, partner, child, amount); });

    // Behind them all: commands take it over from here where they have none yet.
    app.footer(
        "Without a command it serves as the platform says in GW_CONFIG (and GW_NAME, GW_LISTEN,\n"
        "GW_DISCOVERY), and the operators' file: ochrehub [-f FILE]. Default: none.\n"
        "Exit status: 0 done, 1 a fault was found or the node cannot serve, 2 a fault in usage or settings.");

    try {
        app.parse(count, texts);
    } catch (const CLI::ParseError& error) {
        if (error.get_exit_code() == 0) return app.exit(error);  // --help and --version
        std::fputs(kUsage, stderr);
        std::fprintf(stderr,
                     "or: ochrehub node --config FILE.toml | check FILE [FILE] | settings [SECTION] | "
                     "fleet members --control ADDR | keeper --config FILE.toml | fleet keepers --config FILE "
                     "| --help | --version\n%s\n",
                     error.what());
        return 2;
    }
    return status;
}

}  // namespace

int main(int count, char** texts) {
    try {
        return run(count, texts);
    } catch (const ochrehub::app::ConfigError& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 2;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "cannot serve: %s\n", error.what());
        return 1;
    }
}
