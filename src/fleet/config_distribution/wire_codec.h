// Documents as they are kept and sent (proto/agreement.proto). For this module and its tests alone.
#pragma once

#include <config_distribution.pb.h>

#include <optional>

#include "fleet/config_distribution/document.h"

namespace ochrehub::config_distribution {

/// With or without its content; its digest always.
void to_wire(const Document& document, bool with_content, wire::Document& into);
/// Nothing where name, mode, scope or content are none. `empty_content`: a content that is left out is taken
/// as Limits{}.
std::optional<Document> from_wire(const wire::Document& from, bool empty_content = false);
std::string content_digest(const Content& content);

}  // namespace ochrehub::config_distribution
