// What nodes do to shared records and what they were answered: the judge's own book.
#pragma once

#include <records.pb.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fleet/schema/schema.h"

namespace ochrehub::lab::migration {

using schema::Group;
using schema::Kind;
using schema::Version;

inline constexpr const char* kTenants[] = {"dealers", "market", "workshops"};

/// What one write does to a group, by whichever schema.
struct Write {
    std::uint64_t id = 0;      ///< of the order that it begins, and of the place it sets; unique
    std::uint64_t closes = 0;  ///< an order that it ends; zero: none
    std::string group, tenant;
    bool moves = false;  ///< it sets another cell too
};
std::string server_of(const Write& write);
/// The cell's name that a write sets, as far as its schema can say it.
std::string cell_of(const Write& write, Version schema);

Group applied(Kind kind, Version schema, Group group, const Write& write);
/// As a group is at the beginning: of every tenant something, with a part of a request spent where the schema
/// has such.
Group initial_group(Kind kind, Version schema, const std::string& name, std::uint64_t seed);

/// What a group says, whatever its schema. Nothing: it is no group of this schema.
struct Contents {
    struct Tenant {
        std::multiset<std::uint64_t> orders;
        std::string server, cell;
        std::uint64_t spent = 0;  ///< millionths
        int records = 0;
    };
    std::map<std::string, Tenant> tenants;
};
bool parse_contents(Kind kind, Version schema, const Group& group, Contents& contents);

/// The judge's book.
class WriteHistory {
public:
    WriteHistory(Kind kind) : kind_(kind) {}

    void set_initial(const std::string& group, const Contents& contents) { first_[group] = contents; }
    void attempted(const Write& write);
    void acked(const Write& write, std::uint64_t version, Version schema);
    /// A node was given this, having read it in `schema`. `since`: writes acknowledged before it asked.
    void read(const std::string& group, Version schema, const Contents& contents,
              const std::set<std::uint64_t>& acked_before);
    void violation(std::string what) {
        if (broken_.size() < 20) broken_.push_back(std::move(what));
    }
    const std::set<std::uint64_t>& acked_of(const std::string& group) const;
    /// What stands in the end, of all groups. `exact_cells`: the level has names for all cells that were
    /// written.
    void end(const std::map<std::string, Contents>& groups, Version level, bool exact_cells);

    const std::vector<std::string>& faults() const { return broken_; }
    std::uint64_t acks() const { return acks_; }

private:
    struct Done {
        Write write;
        bool acked = false;
        std::uint64_t version = 0;
        Version schema = 0;
    };
    void compare(const std::string& group, const Contents& contents, const std::set<std::uint64_t>& sure,
                 const char* when);

    Kind kind_;
    std::map<std::string, Contents> first_;
    std::map<std::uint64_t, Done> writes_;
    std::map<std::string, std::set<std::uint64_t>> acked_by_group_, tried_by_group_;
    std::map<std::string, std::map<std::string, std::uint64_t>>
        last_;  ///< by group and tenant: the acknowledged write of the highest version
    std::vector<std::string> broken_;
    std::uint64_t acks_ = 0;
};

}  // namespace ochrehub::lab::migration
