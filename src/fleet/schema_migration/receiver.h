// The shard holder's side of a migration, for the records of one kind: what is written in which form, and
// what an owner's orders do. A core without clock, threads or I/O of its own; all calls for one shard are
// made under its lock.
//
//     form       takes writes in    writes          left by
//     Plain      its schema         that            Widen
//     Wide       both               both, in one    Switch, Unwiden
//     Switched   the new one        both, in one    Narrow, Unswitch
//     Narrowing  the new one        the new one     its end: Plain
//     Unwidening the old one        the old one     its end: Plain
//
// Orders of an older epoch, stage or migration are refused; what a shard is told first under a new one is
// written down before it is acted on. A step is bounded, does no harm when it is done twice, and goes on
// behind the last that was written down.
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
        schema::Version initial_version = 1;       ///< the level of a shard that was never migrated
        std::uint32_t max_groups_per_step = 1000;  ///< groups in one step, whatever the owner asks for
        Convert convert = schema::convert;         ///< what it throws is a conversion that failed
        std::function<bool(std::uint32_t shard)> holds_shard = nullptr;  ///< none: all
    };
    Receiver(Settings settings, Records& records);

    wire::Reply handle(const wire::Order& order);
    wire::Given handle(const wire::Ask& ask);

    ShardForm form(std::uint32_t shard) const;
    /// Of a shard: what it takes writes in.
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
    /// One bounded step; false: it could not go on, and `reply` says why.
    bool run_step(const wire::Order& order, State& state, wire::Reply& reply);
    bool convert_group(std::uint32_t shard, const State& state, const std::string& name,
                       const Records::StoredGroup& held, wire::Reply& reply);
    void compare_group(State& state, const std::string& name, const Records::StoredGroup& held) const;
    bool drop_version(std::uint32_t shard, const std::string& name, const Records::StoredGroup& held,
                      schema::Version stays, wire::Reply& reply);

    Settings settings_;
    Records& records_;
    std::map<std::uint32_t, std::uint64_t> refusals_by_shard_;  ///< by shard, since this one began
    std::uint64_t refusals_ = 0;
};

}  // namespace ochrehub::schema_migration
