#include "fleet/keys/keys.h"

#include <nettle/memops.h>

#include "ochrehub/hash.h"

namespace ochrehub::fleet {
namespace {

const std::uint8_t* bytes_of(std::string_view text) {
    return reinterpret_cast<const std::uint8_t*>(text.data());
}

}  // namespace

std::uint32_t fingerprint(std::string_view cluster) {
    std::uint64_t hash = hashed(cluster);
    return std::uint32_t(hash ^ hash >> 32);
}

Mac::Mac(std::string_view key) {
    hmac_sha256_set_key(&context_, key.size(), bytes_of(key));
}

Mac& Mac::update(std::string_view bytes) {
    hmac_sha256_update(&context_, bytes.size(), bytes_of(bytes));
    return *this;
}

Mac& Mac::update(std::uint64_t number) {
    std::array<std::uint8_t, 8> bytes;
    for (std::size_t i = 0; i < bytes.size(); ++i) bytes[i] = std::uint8_t(number >> (56 - 8 * i));
    hmac_sha256_update(&context_, bytes.size(), bytes.data());
    return *this;
}

Tag Mac::tag() {
    Tag tag;
    hmac_sha256_digest(&context_, tag.size(), tag.data());
    return tag;
}

std::string Mac::digest() {
    std::string digest(SHA256_DIGEST_SIZE, '\0');
    hmac_sha256_digest(&context_, digest.size(), reinterpret_cast<std::uint8_t*>(digest.data()));
    return digest;
}

bool tags_equal(const Tag& tag, std::string_view bytes) {
    return bytes.size() == kTagBytes && memeql_sec(tag.data(), bytes.data(), kTagBytes);
}

void Keys::sign(std::string& bytes) const {
    if (keys_.empty()) return;
    Tag tag = Mac(keys_.front()).update(bytes).tag();
    bytes.append(reinterpret_cast<const char*>(tag.data()), tag.size());
}

std::optional<std::string_view> Keys::verify(std::string_view bytes) const {
    if (keys_.empty()) return bytes;
    if (bytes.size() < kTagBytes) return std::nullopt;
    std::string_view signed_part = bytes.substr(0, bytes.size() - kTagBytes);
    for (const std::string& key : keys_)
        if (tags_equal(Mac(key).update(signed_part).tag(), bytes.substr(signed_part.size())))
            return signed_part;
    return std::nullopt;
}

}  // namespace ochrehub::fleet
