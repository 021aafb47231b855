#include "fleet/fencing/record.h"

#include <cstddef>

namespace ochrehub::fencing {
namespace {

// Layout: kind (1 byte), number (8 bytes, big-endian), length of the name (1 byte), name, outcome.
constexpr std::size_t kNumberAt = 1;
constexpr std::size_t kNameLengthAt = 9;
constexpr std::size_t kNameAt = 10;

bool is_known(Record::Kind kind) {
    switch (kind) {
        case Record::Kind::Epoch:
        case Record::Kind::Begun:
        case Record::Kind::Done:
        case Record::Kind::Settled:
        case Record::Kind::Retired:
        case Record::Kind::ForgottenEpoch:
            return true;
    }
    return false;
}

}  // namespace

std::string encode(const Record& record) {
    std::string bytes(1, char(record.kind));
    for (int shift = 56; shift >= 0; shift -= 8) bytes += char(record.number >> shift);
    bytes += char(record.lease.size());
    bytes += record.lease;
    bytes += record.outcome;
    return bytes;
}

std::optional<Record> decode(std::string_view bytes) {
    if (bytes.size() <= kNameAt) return std::nullopt;
    Record record;
    record.kind = Record::Kind(bytes[0]);
    if (!is_known(record.kind)) return std::nullopt;
    for (std::size_t i = kNumberAt; i < kNameLengthAt; ++i)
        record.number = record.number << 8 | static_cast<unsigned char>(bytes[i]);
    std::size_t name_length = static_cast<unsigned char>(bytes[kNameLengthAt]);
    if (record.number == 0 || name_length == 0 || name_length > bytes.size() - kNameAt) return std::nullopt;
    record.lease = bytes.substr(kNameAt, name_length);
    record.outcome = bytes.substr(kNameAt + name_length);
    if (record.kind != Record::Kind::Done && !record.outcome.empty()) return std::nullopt;
    return record;
}

}  // namespace ochrehub::fencing
