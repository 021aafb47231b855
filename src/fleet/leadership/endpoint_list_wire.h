// Mapping between the endpoint list's types and endpoint_list.proto. Internal to this module.
#pragma once

#include <endpoint_list.pb.h>

#include <optional>

#include "fleet/leadership/endpoint_list.h"

namespace ochrehub::leadership::endpoint_list {

namespace wire = ochrehub::endpoint_list::wire;

wire::Change to_wire(const Change& change);
Change from_wire(const wire::Change& in);
/// None: the digest is not that of the endpoints.
std::optional<FullList> from_wire(const wire::FullList& in);
void add_endpoints(const Endpoints& endpoints, google::protobuf::RepeatedPtrField<wire::Endpoint>& out);

}  // namespace ochrehub::leadership::endpoint_list
