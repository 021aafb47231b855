// A node's file of the last versions in force. A damaged file is not used at all.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fleet/config_distribution/document.h"
#include "fleet/store/files.h"

namespace ochrehub::config_distribution {

/// Format: the line `ochrehub rules 1`, the digest of the rest, the documents as wire::Kept.
std::string encode_file(const std::vector<Document>& documents);
std::variant<std::vector<Document>, Failure> decode_file(std::string_view bytes);

/// Blocks on the disk. Empty once the file is durable; the old file stays until the new one is complete.
std::optional<Failure> save(store::Files& files, const std::string& name, std::string_view bytes);
/// Without a file: no documents.
std::variant<std::vector<Document>, Failure> load(store::Files& files, const std::string& name);

}  // namespace ochrehub::config_distribution
