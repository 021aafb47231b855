// The fleet's keys, for datagrams and for connections: what one signs with the first of them, others open
// with any. HMAC-SHA256, of which the first half is sent along.
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

/// What tells two fleets on one network apart: made of the cluster's name.
std::uint32_t fingerprint(std::string_view cluster);

/// HMAC-SHA256 under one key, set up once for as many messages as come.
class Mac {
public:
    explicit Mac(std::string_view key);

    Mac& update(std::string_view bytes);
    Mac& update(std::uint64_t number);  ///< eight bytes, big-endian
    /// The tag of all that was given since the last one.
    Tag tag();
    /// The whole digest instead, to serve as a key.
    std::string digest();

private:
    hmac_sha256_ctx context_;
};

/// In a time that does not depend on where they differ. False as well where `octets` are not kTagBytes many.
bool tags_equal(const Tag& tag, std::string_view bytes);

/// The first signs, any is taken, so that a key can be rolled one instance after the other. None: what is
/// sent bears no tag, and whoever reaches the port is believed.
class Keys {
public:
    Keys() = default;
    explicit Keys(std::vector<std::string> keys) : keys_(std::move(keys)) {}

    bool empty() const { return keys_.empty(); }
    const std::vector<std::string>& keys() const { return keys_; }
    void sign(std::string& bytes) const;
    /// What was signed, without its tag; nothing where no key fits.
    std::optional<std::string_view> verify(std::string_view bytes) const;

private:
    std::vector<std::string> keys_;
};

}  // namespace ochrehub::fleet
