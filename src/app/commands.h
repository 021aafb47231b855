// The commands. Each returns its exit status; what it throws is told by main().
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ochrehub::app {

/// Serves until SIGTERM by what the platform says in GW_CONFIG, and the operators' file, if its path is not
/// empty.
int serve_platform(const std::string& operators_path);
/// Serves until SIGTERM by a TOML file.
int serve_file(const std::string& path);

/// All that is wrong with a file, then every value in force, on standard output. Opens no socket and no file
/// but those it names. A TOML file stands alone; an operators' file is read with GW_CONFIG, or with the JSON
/// file that is named beside it.
int check(const std::vector<std::string>& paths);

/// Goes through an audit's lines.
int verify_audit(const std::string& path);

/// What the node at this second address knows of its fleet: a table, or as it came; `watch`: again each
/// second until the process is stopped. 1: it could not be asked.
int fleet_members(const std::string& control, bool json, bool watch);

/// How a keeper's folder begins, where it is to: one of them, or none.
struct KeeperBegins {
    bool anew = false, join = false, lost = false;
};
/// Serves as a keeper until SIGTERM by a TOML file. 2: its folder is not to be used so.
int serve_keeper(const std::string& path, KeeperBegins begins);
/// Goes through a keeper's folder without changing it. 1: something that was promised is gone.
int verify_keeper(const std::string& folder, const std::string& cluster);

/// Which keepers are asked, and how they know who asks: by a keeper's file, or by an address.
struct KeepersAt {
    std::string config, ask, cluster, key_file;
};
/// Who leads, who is a member, which sessions there are. 1: none of them answered, or none leads.
int fleet_keepers(const KeepersAt& at, bool json);
/// Adds or removes a keeper while the others serve, or has another one lead. 1: refused, or not done in time.
int fleet_keeper_add(const KeepersAt& at, int number, const std::string& address);
int fleet_keeper_remove(const KeepersAt& at, int number);
int fleet_keeper_lead(const KeepersAt& at, int number);

/// A migration of one kind of shared record. `way`: pause, go-on, back, narrow. 1: refused, or none that
/// leads was found.
int migrate_plan(const KeepersAt& at, const std::string& kind, int to, double groups, bool json);
int migrate_start(const KeepersAt& at, const std::string& kind, int to, int shards, int refusals,
                  bool narrows);
int migrate_steer(const KeepersAt& at, const std::string& way);
int migrate_status(const KeepersAt& at, bool json, bool watch);
/// What `fleet rules` is asked for.
struct RulesAsk {
    KeepersAt at;
    std::string document, file, mode, choice, zone, node;
    std::uint64_t to = 0, base = 0;
    double within_s = 30, for_s = 60;
    bool json = false, some_may_refuse = false;
};
/// `what`: show, propose, diff, history, back. 1: refused, and why is told.
int fleet_rules(const std::string& what, const RulesAsk& ask);
/// Partners' budgets, as these keepers have them. 1: refused, or none that leads was found.
int fleet_quota_show(const KeepersAt& at, const std::string& partner, bool json);
/// All of them anew, from a file, where nobody else has set them meanwhile.
int fleet_quota_set(const KeepersAt& at, const std::string& file);
enum class QuotaOrder { Freeze, Thaw, Recall, Lend };
int fleet_quota_order(const KeepersAt& at, QuotaOrder order, const std::string& partner,
                      const std::string& to, double amount);

/// The reference of the TOML file's settings, of one section or all, on standard output.
int print_settings(const std::string& section);
/// Every setting of the TOML file with its default, in few lines.
std::string settings_in_short();

}  // namespace ochrehub::app
