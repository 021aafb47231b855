// Parsing of this module's protobuf messages, with a bound on their size.
#pragma once

#include <google/protobuf/message_lite.h>

#include <cstddef>
#include <string_view>

namespace ochrehub::leadership {

inline constexpr std::size_t kMaxEncodedBytes = 64 << 20;  ///< of any message that is parsed

/// False: too long, or not an encoding of `message`.
inline bool parse(google::protobuf::MessageLite& message, std::string_view bytes) {
    return bytes.size() <= kMaxEncodedBytes && message.ParseFromArray(bytes.data(), int(bytes.size()));
}

}  // namespace ochrehub::leadership
