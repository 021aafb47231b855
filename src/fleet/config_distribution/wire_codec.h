// Conversion of documents to and from proto/config_distribution.proto. Private to this module and its tests.
#pragma once

#include <config_distribution.pb.h>

#include <optional>

#include "fleet/config_distribution/document.h"

namespace ochrehub::config_distribution {

/// Includes the content only if `with_content`, the digest always.
void to_wire(const Document& document, bool with_content, wire::Document& into);
/// Empty if name, mode, scope or content is invalid. `empty_content`: accepts a missing content, as Limits{}.
std::optional<Document> from_wire(const wire::Document& from, bool empty_content = false);
std::string content_digest(const Content& content);

}  // namespace ochrehub::config_distribution
