// The fleet's shared keys, for datagrams and for connections: messages are signed with the first key and
// verified with any of them. A tag is the first half of an HMAC-SHA256.
#pragma once

#include <nettle/hmac.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ochrehub::fleet {

inline constexpr std::size_t kTagBytes = 16;
using Tag = std::array<std::uint8_t, kTagBytes>;

/// A hash of the cluster's name, which distinguishes two fleets on one network.
std::uint32_t fingerprint(std::string_view cluster);

/// HMAC-SHA256 under one key. The key is set up once, for any number of messages.
class Mac {
public:
    explicit Mac(std::string_view key);

    Mac& update(std::string_view bytes);
    Mac& update(std::uint64_t number);  ///< eight bytes, big-endian
    /// The tag of all bytes since the last tag() or digest().
    Tag tag();
    /// Instead of tag(): the whole digest, for use as a key.
    std::string digest();

private:
    hmac_sha256_ctx context_;
};

/// Compares in a time that doesn't depend on the position of a difference. False if `bytes` is not kTagBytes
/// long.
bool tags_equal(const Tag& tag, std::string_view bytes);

/// The first key signs and any key verifies, so that a key can be rotated one instance at a time. Without
/// keys, messages carry no tag and every sender that reaches the port is trusted.
class Keys {
public:
    Keys() = default;
    explicit Keys(std::vector<std::string> keys) : keys_(std::move(keys)) {}

    bool empty() const { return keys_.empty(); }
    const std::vector<std::string>& keys() const { return keys_; }
    /// Appends the tag.
    void sign(std::string& bytes) const;
    /// The signed part without its tag, or nullopt if no key matches.
    std::optional<std::string_view> verify(std::string_view bytes) const;

private:
    std::vector<std::string> keys_;
};

}  // namespace ochrehub::fleet
