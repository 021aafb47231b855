// Encoders and decoders of what processes exchange with the endpoint list's state machine.
#include <endpoint_list.pb.h>

#include "fleet/leadership/endpoint_list.h"
#include "fleet/leadership/endpoint_list_wire.h"
#include "fleet/leadership/parse.h"

namespace ochrehub::leadership::endpoint_list {

wire::Change to_wire(const Change& change) {
    wire::Change out;
    out.set_version(change.version);
    add_endpoints(change.upserted, *out.mutable_upserted());
    for (const std::string& id : change.removed) out.add_removed(id);
    return out;
}

Change from_wire(const wire::Change& in) {
    Change change{in.version(), {}, {}};
    for (const wire::Endpoint& endpoint : in.upserted()) change.upserted[endpoint.id()] = endpoint.body();
    change.removed.assign(in.removed().begin(), in.removed().end());
    return change;
}

std::optional<FullList> from_wire(const wire::FullList& in) {
    FullList list{in.version(), in.digest(), in.revision(), {}};
    for (const wire::Endpoint& endpoint : in.endpoints()) list.endpoints[endpoint.id()] = endpoint.body();
    if (digest(list.endpoints) != list.digest) return std::nullopt;
    return list;
}

void add_endpoints(const Endpoints& endpoints, google::protobuf::RepeatedPtrField<wire::Endpoint>& out) {
    for (const auto& [id, body] : endpoints) {
        wire::Endpoint& endpoint = *out.Add();
        endpoint.set_id(id);
        endpoint.set_body(body);
    }
}

std::string open_epoch_command(Epoch epoch) {
    wire::Command command;
    command.mutable_open_epoch()->set_epoch(epoch);
    return command.SerializeAsString();
}

std::string report_command(const ReportPosition& position, const DiscoveryResult& result) {
    wire::Command command;
    wire::Report& report = *command.mutable_report();
    report.set_epoch(position.epoch);
    report.set_version(position.version);
    report.set_round(position.round);
    report.set_revision(result.revision);
    report.set_is_full(result.is_full);
    add_endpoints(result.upserted, *report.mutable_upserted());
    for (const std::string& id : result.removed) report.add_removed(id);
    return command.SerializeAsString();
}

std::optional<CommandResponse> decode_command_response(std::string_view bytes) {
    wire::Response in;
    if (!parse(in, bytes) || in.error() > kErrors) return std::nullopt;
    CommandResponse response{std::nullopt, in.epoch(), in.version(), in.open_round()};
    if (in.error() > 0) response.error = Error(in.error() - 1);
    return response;
}

std::optional<SessionUpdate> decode_session_update(std::string_view bytes) {
    wire::SessionUpdate in;
    if (!parse(in, bytes) || in.open_round() <= in.confirmed_round()) return std::nullopt;
    SessionUpdate update{in.version(), in.digest(), in.open_round(), in.confirmed_round(), {}};
    for (const wire::Change& change : in.changes()) update.changes.push_back(from_wire(change));
    return update;
}

std::optional<FullList> decode_full_list(std::string_view bytes) {
    wire::FullList in;
    if (!parse(in, bytes)) return std::nullopt;
    return from_wire(in);
}

}  // namespace ochrehub::leadership::endpoint_list
