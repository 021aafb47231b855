// The commands. Each returns its exit status; what it throws is told by main().
#pragma once

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

/// What the node at this second address knows of its fleet: a table, or as it came; `watch`: again each second until the
/// process is stopped. 1: it could not be asked.
int fleet_members(const std::string& control, bool json, bool watch);

/// The reference of the TOML file's settings, of one section or all, on standard output.
int print_settings(const std::string& section);
/// Every setting of the TOML file with its default, in few lines.
std::string settings_in_short();

}  // namespace ochrehub::app
