// The writes of simulated nodes to shared records, and the invariant checker's history of them.
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

/// One write to a group, independent of the schema version.
struct Write {
    std::uint64_t id = 0;  ///< unique; also the id of the order that it opens and of the server that it sets
    std::uint64_t closes = 0;  ///< the order that it closes; zero: none
    std::string group, tenant;
    bool moves = false;  ///< it also changes the cell
};
std::string server_of(const Write& write);
/// The name of the cell that a write sets, as far as its version can express it.
std::string cell_of(const Write& write, Version schema);

Group applied(Kind kind, Version schema, Group group, const Write& write);
/// The initial records of a group, for each tenant, with a fraction of a request spent if the version has
/// such.
Group initial_group(Kind kind, Version schema, const std::string& name, std::uint64_t seed);

/// The contents of a group, independent of its version.
struct Contents {
    struct Tenant {
        std::multiset<std::uint64_t> orders;
        std::string server, cell;
        std::uint64_t spent = 0;  ///< millionths of a request
        int records = 0;
    };
    std::map<std::string, Tenant> tenants;
};
bool parse_contents(Kind kind, Version schema, const Group& group, Contents& contents);

/// Records the nodes' writes and responses, and checks what is read against them.
class WriteHistory {
public:
    WriteHistory(Kind kind) : kind_(kind) {}

    void set_initial(const std::string& group, const Contents& contents) { first_[group] = contents; }
    void attempted(const Write& write);
    void acked(const Write& write, std::uint64_t version, Version schema);
    /// Checks what a node has read in this version. `acked_before`: writes acknowledged before the request.
    void read(const std::string& group, Version schema, const Contents& contents,
              const std::set<std::uint64_t>& acked_before);
    void violation(std::string what) {
        if (broken_.size() < 20) broken_.push_back(std::move(what));
    }
    const std::set<std::uint64_t>& acked_of(const std::string& group) const;
    /// Checks all groups at the end. `exact_cells`: the version can express the names of all written cells.
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
        last_;  ///< by group and tenant: the acknowledged write with the highest version
    std::vector<std::string> broken_;
    std::uint64_t acks_ = 0;
};

}  // namespace ochrehub::lab::migration
