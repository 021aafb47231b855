// A shard holder's part of a migration, for the records of one kind: which versions are accepted and stored,
// and the execution of the owner's orders. A core without clock, threads or I/O; the caller holds the shard's
// lock in all calls.
//
//     form       accepts writes in  stores          left by
//     Plain      its schema         that            Widen
//     Wide       both               both, in one    Switch, Unwiden
//     Switched   the new one        both, in one    Narrow, Unswitch
//     Narrowing  the new one        the new one     its end: Plain
//     Unwidening the old one        the old one     its end: Plain
// Orders of an older epoch, stage or migration are refused. The first order of a newer one is stored before
// it is executed. A step is bounded and idempotent, and continues after the last stored cursor.
#pragma once

#include <schema_migration.pb.h>

#include <functional>
#include <string>
#include <string_view>

#include "fleet/schema/schema.h"
#include "fleet/schema_migration/error.h"
#include "fleet/schema_migration/records.h"

namespace ochrehub::schema_migration {

enum class ShardForm : std::uint8_t { Plain, Wide, Switched, Narrowing, Unwidening };

class Receiver {
public:
    using Convert =
        std::function<schema::Result(schema::Kind, schema::Version from, schema::Version to, schema::Group)>;
    struct Settings {
        schema::Kind kind = schema::Kind::Sessions;
        schema::Version initial_version = 1;       ///< of a shard without any migration
        std::uint32_t max_groups_per_step = 1000;  ///< limits what an order asks for
        Convert convert = schema::convert;         ///< an exception is a failed conversion
        std::function<bool(std::uint32_t shard)> holds_shard = nullptr;  ///< null: holds all shards
    };
    Receiver(Settings settings, Records& records);

    wire::Reply handle(const wire::Order& order);
    wire::Given handle(const wire::Ask& ask);

    ShardForm form(std::uint32_t shard) const;
    /// The version that counts in a shard: writes in it are accepted.
    schema::Version writes(std::uint32_t shard) const;
    std::uint64_t refusals() const { return refusals_; }

private:
    using State = wire::Shard;
    State state(std::uint32_t shard) const;
    bool store_state(std::uint32_t shard, const State& state);
    bool accepts(const State& state, schema::Version schema, Error& why) const;
    schema::Result convert(schema::Version from, schema::Version to, const schema::Group& group) const;
    void read_group(const State& state, const wire::Ask& ask, wire::Given& given) const;
    void write_group(const State& state, const wire::Ask& ask, wire::Given& given);
    bool enter_stage(State& state, const wire::Order& order, wire::Reply& reply) const;
    /// One bounded step. False: it failed, and `reply` has the error.
    bool run_step(const wire::Order& order, State& state, wire::Reply& reply);
    bool convert_group(std::uint32_t shard, const State& state, const std::string& name,
                       const Records::StoredGroup& held, wire::Reply& reply);
    void compare_group(State& state, const std::string& name, const Records::StoredGroup& held) const;
    bool drop_version(std::uint32_t shard, const std::string& name, const Records::StoredGroup& held,
                      schema::Version stays, wire::Reply& reply);

    Settings settings_;
    Records& records_;
    std::map<std::uint32_t, std::uint64_t> refusals_by_shard_;  ///< since the start of this process
    std::uint64_t refusals_ = 0;
};

}  // namespace ochrehub::schema_migration
