// A node's file of the last versions in force: whole, or not used.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fleet/config_distribution/document.h"
#include "fleet/store/files.h"

namespace ochrehub::config_distribution {

/// `ochrehub rules 1`, a line's end, the digest of what follows, the documents.
std::string encode_file(const std::vector<Document>& documents);
std::variant<std::vector<Document>, Failure> decode_file(std::string_view bytes);

/// Blocks as long as the disk does. Nothing where it lasts. The old file stands until the new one does.
std::optional<Failure> save(store::Files& files, const std::string& name, std::string_view bytes);
/// No file: no documents.
std::variant<std::vector<Document>, Failure> load(store::Files& files, const std::string& name);

}  // namespace ochrehub::config_distribution
