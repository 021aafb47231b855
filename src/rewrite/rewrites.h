// The operators' rules for headers, and what a proxy owes them by RFC 9110 and RFC 7239. Knows headers, not
// sockets.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "config/table.h"
#include "fields/fields.h"

namespace ochrehub::rewrite {

struct Rule {
    enum class Verb { Add, Drop, Rename };

    bool in = true;  ///< of requests on their way to a server; else of servers' answers
    Verb verb = Verb::Add;
    std::string name;
    std::string value;             ///< of an Add; the new name of a Rename
    std::string class_glob = "*";  ///< both must fit
    std::string path_glob = "*";
};

/// Reads a rule as the operators write it, such as `in add X-Desk wholesale if class=place-order`. Returns
/// what is wrong with it, worded to follow it, or nothing. `classes` may be null: then any class is taken for
/// known.
std::string read_rule(std::string_view text, const std::vector<std::string>* classes, Rule& rule);

struct Rewrites {
    bool on = false;
    bool forwarded = true;  ///< append `Forwarded: for=`
    std::vector<Rule> rules;
    /// Where what counts may end by itself: whoever applies these goes by what this gives at that moment,
    /// nothing included.
    std::function<std::shared_ptr<const Rewrites>()> now = nullptr;

    /// What concerns the client's connection alone goes, its address comes in, then the rules count in their
    /// order.
    void request(Headers& headers, std::string_view class_name, std::string_view path,
                 const std::string& client) const;
    void answer(Headers& headers, std::string_view class_name, std::string_view path) const;

private:
    void apply(bool in, Headers& headers, std::string_view class_name, std::string_view path) const;
};

/// What operators may set of them. `classes` as for read_rule; it must outlive the table.
config::Table<Rewrites> settings(const std::vector<std::string>* classes);

/// `*` stands for any run of characters, `?` for one.
bool glob_fits(std::string_view glob, std::string_view text);

}  // namespace ochrehub::rewrite
