#include "fleet/leadership/endpoint_list.h"

#include <utility>

#include "fleet/leadership/endpoint_list_wire.h"
#include "fleet/leadership/parse.h"
#include "ochrehub/hash.h"

namespace ochrehub::leadership::endpoint_list {

namespace {

ReportPosition position_of(const wire::Report& in) {
    return {in.epoch(), in.version(), in.round()};
}

DiscoveryResult result_of(const wire::Report& in) {
    DiscoveryResult result{in.revision(), in.is_full(), {}, {}};
    for (const wire::Endpoint& endpoint : in.upserted()) result.upserted[endpoint.id()] = endpoint.body();
    result.removed.assign(in.removed().begin(), in.removed().end());
    return result;
}

}  // namespace

const fleet::ErrorRow& row(Error error) {
    static constexpr fleet::ErrorRow kRows[kErrors] = {
        {"list.malformed", "the command cannot be decoded", false,
         "compare the releases of this process and the coordinators"},
        {"list.stale", "a newer publisher watches discovery", false, "nothing: the old publisher stops"},
        {"list.not-open", "the publisher has not opened this epoch", true,
         "nothing: it opens the epoch and polls discovery again"},
        {"list.round", "the report belongs to a round that is closed", true,
         "nothing: it opens the epoch and polls discovery again"},
        {"list.version", "the report was made on another version of the list", true,
         "nothing: it opens the epoch and polls discovery again"},
        {"list.too-much", "discovery lists more than the coordinators accept", false,
         "check what discovery lists: at most 20,000 servers"},
    };
    return kRows[std::size_t(error)];
}

std::uint64_t digest(const Endpoints& endpoints) {
    std::uint64_t hash = kNoText;
    for (const auto& [id, body] : endpoints) {
        hash = hashed(id, mixed(hash ^ id.size()));
        hash = hashed(body, mixed(hash ^ body.size()));
    }
    return hash;
}

std::string StateMachine::apply(const coordinator::Command& command) {
    wire::Command in;
    std::optional<Error> error = Error::Malformed;
    const bool is_parsed = parse(in, command.body);
    if (is_parsed && in.has_open_epoch())
        error = open_epoch(in.open_epoch().epoch());
    else if (is_parsed && in.has_report())
        error = apply_report(position_of(in.report()), result_of(in.report()));
    wire::Response out;
    out.set_error(error ? 1 + std::uint32_t(*error) : 0);
    out.set_epoch(epoch_);
    out.set_version(version_);
    out.set_open_round(open_round_);
    return out.SerializeAsString();
}

std::optional<Error> StateMachine::open_epoch(Epoch epoch) {
    if (epoch == 0) return Error::Malformed;
    if (epoch < epoch_) return Error::StaleEpoch;
    epoch_ = epoch;
    ++open_round_;
    return std::nullopt;
}

std::optional<Error> StateMachine::check_position(const ReportPosition& position) const {
    if (position.epoch < epoch_) return Error::StaleEpoch;
    if (position.epoch > epoch_) return Error::EpochNotOpened;
    if (position.round != open_round_) return Error::RoundClosed;
    if (position.version != version_) return Error::VersionMismatch;
    return std::nullopt;
}

bool StateMachine::fits_limits(const DiscoveryResult& result) const {
    for (const auto& [id, body] : result.upserted)
        if (id.empty() || id.size() > limits_.max_id_bytes || body.size() > limits_.max_body_bytes)
            return false;
    return true;
}

/// What of `result` differs from the current list.
Change StateMachine::change_by(const DiscoveryResult& result) const {
    Change change{version_ + 1, {}, {}};
    for (const auto& [id, body] : result.upserted) {
        auto known = endpoints_.find(id);
        if (known == endpoints_.end() || known->second != body) change.upserted.emplace(id, body);
    }
    if (result.is_full) {
        for (const auto& [id, body] : endpoints_)
            if (!result.upserted.contains(id)) change.removed.push_back(id);
    } else {
        for (const std::string& id : result.removed)
            if (endpoints_.contains(id) && !result.upserted.contains(id)) change.removed.push_back(id);
    }
    return change;
}

std::optional<Error> StateMachine::apply_report(const ReportPosition& position,
                                                const DiscoveryResult& result) {
    if (std::optional<Error> error = check_position(position)) return error;
    if (!fits_limits(result)) return Error::LimitExceeded;
    Change change = change_by(result);
    Endpoints next = endpoints_;
    for (const auto& [id, body] : change.upserted) next[id] = body;
    for (const std::string& id : change.removed) next.erase(id);
    if (next.size() > limits_.max_endpoints) return Error::LimitExceeded;
    confirmed_round_ = open_round_;
    ++open_round_;
    revision_ = result.revision;
    while (!retained_.empty() && retained_.front().round + limits_.retained_rounds < open_round_)
        retained_.pop_front();
    // The first report makes a version even if it lists nothing: before it there is no list.
    if (change.upserted.empty() && change.removed.empty() && version_ > 0) return std::nullopt;
    endpoints_ = std::move(next);
    digest_ = digest(endpoints_);
    version_ = change.version;
    retained_.push_back({open_round_, std::move(change)});
    return std::nullopt;
}

std::string StateMachine::query(std::string_view /*query*/) const {
    wire::FullList out;
    out.set_version(version_);
    out.set_digest(digest_);
    out.set_revision(revision_);
    add_endpoints(endpoints_, *out.mutable_endpoints());
    return out.SerializeAsString();
}

std::string StateMachine::session_update(coordinator::SessionId /*session*/) const {
    wire::SessionUpdate out;
    out.set_version(version_);
    out.set_digest(digest_);
    out.set_open_round(open_round_);
    out.set_confirmed_round(confirmed_round_);
    // The latest changes that fit.
    std::size_t bytes = 0;
    std::deque<wire::Change> changes;
    for (auto retained = retained_.rbegin(); retained != retained_.rend(); ++retained) {
        wire::Change change = to_wire(retained->change);
        bytes += change.ByteSizeLong();
        if (bytes > limits_.max_update_bytes) break;
        changes.push_front(std::move(change));
    }
    for (wire::Change& change : changes) *out.add_changes() = std::move(change);
    return out.SerializeAsString();
}

std::string StateMachine::snapshot() const {
    wire::Snapshot out;
    out.set_epoch(epoch_);
    out.set_open_round(open_round_);
    out.set_confirmed_round(confirmed_round_);
    out.mutable_list()->ParseFromString(query({}));
    for (const RetainedChange& retained : retained_) {
        wire::RetainedChange& stored = *out.add_retained();
        stored.set_round(retained.round);
        *stored.mutable_change() = to_wire(retained.change);
    }
    return out.SerializeAsString();
}

bool StateMachine::restore(std::uint32_t schema, std::string_view bytes) {
    wire::Snapshot in;
    if (schema != kSchema || !parse(in, bytes) || in.open_round() <= in.confirmed_round()) return false;
    std::optional<FullList> list = from_wire(in.list());
    if (!list) return false;
    epoch_ = in.epoch();
    open_round_ = in.open_round();
    confirmed_round_ = in.confirmed_round();
    version_ = list->version;
    revision_ = list->revision;
    digest_ = list->digest;
    endpoints_ = std::move(list->endpoints);
    retained_.clear();
    for (const wire::RetainedChange& stored : in.retained())
        retained_.push_back({stored.round(), from_wire(stored.change())});
    return true;
}

}  // namespace ochrehub::leadership::endpoint_list
