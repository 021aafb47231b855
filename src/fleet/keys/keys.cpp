#include "fleet/keys/keys.h"

#include <nettle/memops.h>

#include "ochrehub/hash.h"

namespace ochrehub::fleet {
namespace {

const std::uint8_t* octets_of(std::string_view text) {
    return reinterpret_cast<const std::uint8_t*>(text.data());
}

}  // namespace

std::uint32_t fingerprint(std::string_view cluster) {
    std::uint64_t whole = hashed(cluster);
    return std::uint32_t(whole ^ whole >> 32);
}

Mac::Mac(std::string_view key) {
    hmac_sha256_set_key(&context_, key.size(), octets_of(key));
}

Mac& Mac::update(std::string_view octets) {
    hmac_sha256_update(&context_, octets.size(), octets_of(octets));
    return *this;
}

Mac& Mac::update(std::uint64_t number) {
    std::array<std::uint8_t, 8> octets;
    for (std::size_t i = 0; i < octets.size(); ++i) octets[i] = std::uint8_t(number >> (56 - 8 * i));
    hmac_sha256_update(&context_, octets.size(), octets.data());
    return *this;
}

Tag Mac::tag() {
    Tag tag;
    hmac_sha256_digest(&context_, tag.size(), tag.data());
    return tag;
}

std::string Mac::digest() {
    std::string whole(SHA256_DIGEST_SIZE, '\0');
    hmac_sha256_digest(&context_, whole.size(), reinterpret_cast<std::uint8_t*>(whole.data()));
    return whole;
}

bool tags_equal(const Tag& tag, std::string_view octets) {
    return octets.size() == kTagBytes && memeql_sec(tag.data(), octets.data(), kTagBytes);
}

void Keys::sign(std::string& octets) const {
    if (keys_.empty()) return;
    Tag tag = Mac(keys_.front()).update(octets).tag();
    octets.append(reinterpret_cast<const char*>(tag.data()), tag.size());
}

std::optional<std::string_view> Keys::verify(std::string_view octets) const {
    if (keys_.empty()) return octets;
    if (octets.size() < kTagBytes) return std::nullopt;
    std::string_view signed_part = octets.substr(0, octets.size() - kTagBytes);
    for (const std::string& key : keys_)
        if (tags_equal(Mac(key).update(signed_part).tag(), octets.substr(signed_part.size())))
            return signed_part;
    return std::nullopt;
}

}  // namespace ochrehub::fleet
