#include "fleet/schema_migration/receiver.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <exception>
#include <limits>
#include <optional>
#include <utility>

namespace ochrehub::schema_migration {
namespace {

using schema::Group;
using schema::Version;

Group to_group(const google::protobuf::RepeatedPtrField<wire::Rec>& records) {
    Group group;
    group.reserve(std::size_t(records.size()));
    for (const wire::Rec& record : records) group.push_back({record.key(), record.value()});
    return group;
}
void write_records(const Group& group, google::protobuf::RepeatedPtrField<wire::Rec>& records) {
    records.Clear();
    for (const schema::Record& record : group) {
        wire::Rec& to = *records.Add();
        to.set_key(record.key), to.set_value(record.value);
    }
}
/// A stored group: its records in one schema version or in two.
class SchemaVersions {
public:
    explicit SchemaVersions(const std::string& bytes) : is_valid_(stored_.ParseFromString(bytes)) {}
    bool is_valid() const { return is_valid_; }
    bool has(Version schema) const { return find(schema) != nullptr; }
    Group get(Version schema) const {
        const wire::Form* form = find(schema);
        return form ? to_group(form->records()) : Group();
    }
    void set(Version schema, const Group& group) {
        for (wire::Form& form : *stored_.mutable_forms())
            if (form.schema() == schema) return write_records(group, *form.mutable_records());
        wire::Form& form = *stored_.add_forms();
        form.set_schema(schema);
        write_records(group, *form.mutable_records());
    }
    /// Erases all versions but this one. False: there was no other.
    bool keep_only(Version schema) {
        auto& forms = *stored_.mutable_forms();
        int before = forms.size();
        forms.erase(std::remove_if(forms.begin(), forms.end(),
                                   [&](const wire::Form& form) { return form.schema() != schema; }),
                    forms.end());
        return forms.size() != before;
    }
    /// Empty if no version has a record.
    std::string bytes() const {
        bool any = std::any_of(stored_.forms().begin(), stored_.forms().end(),
                               [](const auto& form) { return form.records_size() > 0; });
        return any ? stored_.SerializeAsString() : std::string();
    }

private:
    const wire::Form* find(Version schema) const {
        for (const wire::Form& form : stored_.forms())
            if (form.schema() == schema) return &form;
        return nullptr;
    }
    wire::Stored stored_;
    bool is_valid_;
};

std::uint64_t digest(std::string_view name, const Group& group) {
    std::uint64_t hash = XXH64(name.data(), name.size(), group.size());
    for (const schema::Record& record : group) {
        hash = XXH64(record.key.data(), record.key.size(), hash);
        hash = XXH64(record.value.data(), record.value.size(), hash);
    }
    return hash;
}
std::uint64_t saturating_add(std::uint64_t a, std::uint64_t b) {
    return b > std::numeric_limits<std::uint64_t>::max() - a ? std::numeric_limits<std::uint64_t>::max()
                                                             : a + b;
}
void set_error(wire::Reply& reply, Error error, std::string_view about = {}) {
    reply.set_error(on_wire(error)), reply.set_about(std::string(about));
}
void set_error(wire::Given& given, Error error, std::string_view about = {}) {
    given.set_error(on_wire(error)), given.set_about(std::string(about));
}
/// A name for logs. Clients' names are arbitrary bytes.
std::string printable(std::string_view name) {
    std::string text;
    for (char c : name.substr(0, 64)) text += c >= ' ' && c <= '~' ? c : '?';
    return text;
}

}  // namespace

Receiver::Receiver(Settings settings, Records& records) : settings_(std::move(settings)), records_(records) {}

Receiver::State Receiver::state(std::uint32_t shard) const {
    State state;
    std::string bytes = records_.state(shard);
    if (bytes.empty() || !state.ParseFromString(bytes)) {
        state.Clear();
        state.set_from(settings_.initial_version), state.set_to(settings_.initial_version);
    }
    return state;
}
bool Receiver::store_state(std::uint32_t shard, const State& state) {
    return records_.set_state(shard, state.SerializeAsString());
}
ShardForm Receiver::form(std::uint32_t shard) const {
    return ShardForm(state(shard).form());
}
Version Receiver::writes(std::uint32_t shard) const {
    State s = state(shard);
    auto form = ShardForm(s.form());
    return form == ShardForm::Switched || form == ShardForm::Narrowing ? s.to() : s.from();
}

schema::Result Receiver::convert(Version from, Version to, const Group& group) const {
    try {
        return settings_.convert(settings_.kind, from, to, group);
    } catch (const std::exception& e) {
        return schema::Failure{schema::Error::Malformed, e.what()};
    }
}

// Readers and writers

bool Receiver::accepts(const State& state, Version schema, Error& why) const {
    Version min = state.from(), max = state.from();
    switch (ShardForm(state.form())) {
        case ShardForm::Plain:
        case ShardForm::Unwidening:
            break;
        case ShardForm::Wide:
            min = std::min(state.from(), state.to()), max = std::max(state.from(), state.to());
            break;
        case ShardForm::Switched:
        case ShardForm::Narrowing:
            min = max = state.to();
            break;
    }
    why = schema < min ? Error::OldLevel : Error::NewLevel;
    return min <= schema && schema <= max;
}

wire::Given Receiver::handle(const wire::Ask& ask) {
    wire::Given given;
    given.set_id(ask.id());
    if (settings_.holds_shard && !settings_.holds_shard(ask.shard())) {
        set_error(given, Error::Elsewhere);
        return given;
    }
    State now = state(ask.shard());
    given.set_schema(writes(ask.shard()));
    Error why{};
    if (ask.kind() != std::uint32_t(settings_.kind) || ask.group().empty())
        set_error(given, Error::Malformed);
    else if (!accepts(now, ask.schema(), why))
        set_error(given, why,
                  "writes " + std::to_string(given.schema()) + ", not " + std::to_string(ask.schema()));
    else if (ask.writes())
        write_group(now, ask, given);
    else
        read_group(now, ask, given);
    if (given.error() && ask.writes() && from_wire(given.error()) != Error::Changed)
        ++refusals_, ++refusals_by_shard_[ask.shard()];
    return given;
}

void Receiver::read_group(const State& state, const wire::Ask& ask, wire::Given& given) const {
    Records::StoredGroup held = records_.read(ask.shard(), ask.group());
    given.set_version(held.version);
    if (held.bytes.empty()) return;
    SchemaVersions versions(held.bytes);
    if (!versions.is_valid()) return set_error(given, Error::Malformed, printable(ask.group()));
    if (versions.has(ask.schema()))
        return write_records(versions.get(ask.schema()), *given.mutable_records());
    // Not converted yet, or dropped already: converted from the other version.
    Version other = ask.schema() == state.from() ? state.to() : state.from();
    schema::Result converted = convert(other, ask.schema(), versions.get(other));
    if (const Group* group = std::get_if<Group>(&converted))
        return write_records(*group, *given.mutable_records());
    set_error(given, Error::Conversion, printable(ask.group()));
}

void Receiver::write_group(const State& state, const wire::Ask& ask, wire::Given& given) {
    Group written = to_group(ask.records());
    for (const schema::Record& record : written)
        if (schema::group_of(settings_.kind, ask.schema(), record.key) != ask.group())
            return set_error(given, Error::Malformed, printable(ask.group()));
    schema::Result taken = schema::canonical(settings_.kind, ask.schema(), written);
    if (!std::holds_alternative<Group>(taken))
        return set_error(given, Error::Malformed, printable(ask.group()));
    const Group& group = std::get<Group>(taken);
    SchemaVersions versions{std::string()};
    versions.set(ask.schema(), group);
    auto form = ShardForm(state.form());
    if (form == ShardForm::Wide || form == ShardForm::Switched) {
        Version other = ask.schema() == state.from() ? state.to() : state.from();
        schema::Result converted = convert(ask.schema(), other, group);
        if (const Group* both = std::get_if<Group>(&converted)) {
            versions.set(other, *both);
        } else if (form == ShardForm::Switched || ask.schema() != state.from()) {
            // Going back would lose the write without the other version.
            return set_error(given, Error::Conversion, printable(ask.group()));
        }
        // Otherwise it is stored in the version that counts. The stage Convert fails at it later.
    }
    switch (records_.write(ask.shard(), ask.group(), ask.version(), versions.bytes())) {
        case Records::WriteResult::Done:
            given.set_version(records_.read(ask.shard(), ask.group()).version);
            break;
        case Records::WriteResult::Changed:
            set_error(given, Error::Changed);
            break;
        case Records::WriteResult::Full:
            set_error(given, Error::Full);
            break;
    }
}

// The owner's orders

/// The first order of a new migration, epoch or stage fences all earlier ones. False: the order is fenced or
/// invalid.
bool Receiver::enter_stage(State& state, const wire::Order& order, wire::Reply& reply) const {
    if (order.kind() != std::uint32_t(settings_.kind) || order.stage() > std::uint32_t(Stage::Undone) ||
        !works(Stage(order.stage()))) {
        set_error(reply, Error::Malformed);
        return false;
    }
    if (order.migration() < state.migration() || order.epoch() < state.epoch() ||
        order.revision() < state.revision()) {
        set_error(reply, Error::Stale);
        return false;
    }
    bool is_new_stage = order.revision() > state.revision();
    state.set_migration(order.migration()), state.set_epoch(order.epoch()),
        state.set_revision(order.revision());
    if (!is_new_stage) return true;
    state.clear_cursor(), state.set_done(false), state.clear_counts();
    auto form = ShardForm(state.form());
    bool has_both = form == ShardForm::Wide || form == ShardForm::Switched;
    auto become = [&](ShardForm next) { state.set_form(std::uint32_t(next)); };
    Version plain = form == ShardForm::Plain ? state.from() : 0;
    // A stage may restart: a shard that is in it or has completed it is accepted.
    switch (Stage(order.stage())) {
        case Stage::Widen:
            if (form == ShardForm::Wide) return true;
            if (plain == order.from()) {
                state.set_from(order.from()), state.set_to(order.to());
                become(ShardForm::Wide);
                return true;
            }
            break;
        case Stage::Convert:
        case Stage::Compare:
            if (form == ShardForm::Wide) return true;
            break;
        case Stage::Switch:
            if (has_both) return become(ShardForm::Switched), true;
            break;
        case Stage::Unswitch:
            if (has_both) return become(ShardForm::Wide), true;
            break;
        case Stage::Narrow:
            if (form == ShardForm::Switched || form == ShardForm::Narrowing)
                return become(ShardForm::Narrowing), true;
            if (plain == order.to()) return state.set_done(true), true;
            break;
        case Stage::Unwiden:
            // The shard may never have entered Widen.
            if (form == ShardForm::Wide || form == ShardForm::Unwidening)
                return become(ShardForm::Unwidening), true;
            if (plain == order.from()) return state.set_done(true), true;
            break;
        default:
            break;
    }
    set_error(reply, Error::Malformed,
              "shard " + std::to_string(order.shard()) + " is in the wrong form for stage " +
                  std::string(name(Stage(order.stage()))));
    return false;
}

wire::Reply Receiver::handle(const wire::Order& order) {
    wire::Reply reply;
    reply.set_migration(order.migration()), reply.set_epoch(order.epoch()),
        reply.set_revision(order.revision());
    reply.set_shard(order.shard()), reply.set_looked(order.most() == 0);
    if (settings_.holds_shard && !settings_.holds_shard(order.shard())) {
        set_error(reply, Error::Elsewhere);
        return reply;
    }
    State before = state(order.shard()), now = before;
    if (!enter_stage(now, order, reply)) return reply;
    bool is_done = order.most() == 0 || now.done() || run_step(order, now, reply);
    // The progress before a failure is kept. If it can't be stored, the step is repeated.
    if (now.SerializeAsString() != before.SerializeAsString() && !store_state(order.shard(), now)) {
        set_error(reply, Error::Full);
        is_done = false;
    }
    if (is_done) {
        reply.set_done(now.done());
        *reply.mutable_counts() = now.counts();
    }
    reply.mutable_counts()->set_refusals(refusals_by_shard_[order.shard()]);
    return reply;
}

bool Receiver::run_step(const wire::Order& order, State& state, wire::Reply& reply) {
    auto stage = Stage(order.stage());
    if (stage == Stage::Widen || stage == Stage::Switch || stage == Stage::Unswitch) {
        state.set_done(true);  // only the form changes
        return true;
    }
    std::size_t max_groups = std::min(order.most(), settings_.max_groups_per_step);
    Records::Page page;
    records_.scan(order.shard(), state.cursor(), max_groups, page);
    // The caller holds the shard's lock; without it, the version detects a concurrent write between the scan
    // and this write.
    for (const auto& [name, held] : page) {
        bool is_done = true;
        if (stage == Stage::Convert) is_done = convert_group(order.shard(), state, name, held, reply);
        if (stage == Stage::Compare) compare_group(state, name, held);
        if (stage == Stage::Narrow) is_done = drop_version(order.shard(), name, held, state.to(), reply);
        if (stage == Stage::Unwiden) is_done = drop_version(order.shard(), name, held, state.from(), reply);
        if (!is_done) return false;
        state.set_cursor(name);
        if (stage != Stage::Compare) state.mutable_counts()->set_groups(state.counts().groups() + 1);
    }
    if (page.size() == max_groups) return true;
    state.set_done(true);
    if (stage == Stage::Narrow || stage == Stage::Unwiden) {
        if (stage == Stage::Narrow) state.set_from(state.to());
        state.set_to(state.from());
        state.set_form(std::uint32_t(ShardForm::Plain));
    }
    return true;
}

bool Receiver::convert_group(std::uint32_t shard, const State& state, const std::string& name,
                             const Records::StoredGroup& held, wire::Reply& reply) {
    SchemaVersions versions(held.bytes);
    schema::Result converted = schema::Failure{};
    if (versions.is_valid() && versions.has(state.from()))
        converted = convert(state.from(), state.to(), versions.get(state.from()));
    const Group* group = std::get_if<Group>(&converted);
    if (!group) {
        set_error(reply, Error::Conversion, printable(name));
        return false;
    }
    if (versions.has(state.to()) && versions.get(state.to()) == *group) return true;
    versions.set(state.to(), *group);
    switch (records_.write(shard, name, held.version, versions.bytes())) {
        case Records::WriteResult::Done:
            return true;
        case Records::WriteResult::Changed:
            set_error(reply, Error::Changed, printable(name));
            return false;
        case Records::WriteResult::Full:
            set_error(reply, Error::Full, printable(name));
            return false;
    }
    return false;
}

void Receiver::compare_group(State& state, const std::string& name, const Records::StoredGroup& held) const {
    wire::Counts& counts = *state.mutable_counts();
    SchemaVersions versions(held.bytes);
    Group from = versions.get(state.from()), to = versions.get(state.to());
    schema::Result converted = convert(state.from(), state.to(), from);
    const Group* as = std::get_if<Group>(&converted);
    auto sums_from = schema::spent(settings_.kind, state.from(), from),
         sums_to = schema::spent(settings_.kind, state.to(), to);
    // And back: a conversion that loses data would produce the same loss twice, and compare as equal.
    schema::Result back = convert(state.to(), state.from(), to);
    if (const Group* group = std::get_if<Group>(&back))
        back = schema::bare(settings_.kind, state.from(), *group);
    schema::Result bare = schema::bare(settings_.kind, state.from(), from);
    bool returns = std::holds_alternative<Group>(back) && std::holds_alternative<Group>(bare) &&
                   std::get<Group>(back) == std::get<Group>(bare);
    bool same =
        versions.is_valid() && as && *as == to && returns && sums_from.index() == 0 && sums_to.index() == 0;
    if (sums_from.index() == 0 && sums_to.index() == 0) {
        // Per tenant, so that a loss of one isn't hidden by a gain of another.
        const auto &before = std::get<schema::Spent>(sums_from), &behind = std::get<schema::Spent>(sums_to);
        for (const auto& [tenant, sum] : before) {
            auto found = behind.find(tenant);
            if (found == behind.end() || found->second < sum) same = false;
            counts.set_spent_from(saturating_add(counts.spent_from(), sum));
        }
        for (const auto& [tenant, sum] : behind) counts.set_spent_to(saturating_add(counts.spent_to(), sum));
    }
    counts.set_groups(counts.groups() + 1);
    counts.set_records_from(counts.records_from() + from.size()),
        counts.set_records_to(counts.records_to() + to.size());
    counts.set_digest_from(counts.digest_from() + digest(name, as ? *as : Group()));
    counts.set_digest_to(counts.digest_to() + digest(name, to));
    if (same) return;
    if (counts.differ() == 0) counts.set_differs(printable(name));
    counts.set_differ(counts.differ() + 1);
}

bool Receiver::drop_version(std::uint32_t shard, const std::string& name, const Records::StoredGroup& held,
                            Version stays, wire::Reply& reply) {
    SchemaVersions versions(held.bytes);
    if (!versions.is_valid() || !versions.has(stays)) {  // keeps what would be lost, and reports it
        set_error(reply, Error::Conversion, printable(name));
        return false;
    }
    if (!versions.keep_only(stays)) return true;
    if (records_.write(shard, name, held.version, versions.bytes()) == Records::WriteResult::Done)
        return true;
    set_error(reply, Error::Changed, printable(name));
    return false;
}

}  // namespace ochrehub::schema_migration
