#include "fleet/schema/schema.h"

namespace ochrehub::schema {

const fleet::ErrorRow& row(Error error) {
    static constexpr fleet::ErrorRow kRows[kErrors] = {
        {"schema.unknown-kind", "no kind of shared record has this name", false,
         "see `ochrehub fleet migrate status` for the kinds"},
        {"schema.unknown-schema", "this release has no schema of this number", false,
         "upgrade this process; it must not read such records before"},
        {"schema.malformed", "is no record of the schema that it claims", false,
         "keep the record's octets and report them; it was left as it is"},
        {"schema.does-not-fit", "holds a value that the other schema has no room for", false,
         "correct or drop this record, then start the migration again"},
        {"schema.too-large", "has more records or octets than a group may have", false,
         "drop sessions or clients of this group that are over"},
        {"schema.empty-range", "the range of schemas holds none", false, "install a release that is whole"},
        {"schema.apart", "two releases that have no schema in common cannot work side by side", false,
         "upgrade by one release at a time: first to the one between"},
    };
    return kRows[std::size_t(error)];
}

std::string_view name(Kind kind) {
    static constexpr std::string_view kNames[kKindCount] = {"sessions", "rates", "rules", "fences",
                                                            "snapshots"};
    return kNames[std::size_t(kind)];
}

bool parse_kind(std::string_view text, Kind& kind) {
    for (std::size_t i = 0; i < kKindCount; ++i)
        if (name(Kind(i)) == text) {
            kind = Kind(i);
            return true;
        }
    return false;
}

Ranges ranges_of_newest(const std::array<Version, kKindCount>& newest) {
    Ranges ranges;
    for (std::size_t i = 0; i < kKindCount; ++i) ranges[i] = {newest[i] > 1 ? newest[i] - 1 : 1, newest[i]};
    return ranges;
}

std::variant<std::monostate, Failure> compatible(const Ranges& one, const Ranges& other) {
    auto words = [](Range r) { return std::to_string(r.min) + " to " + std::to_string(r.max); };
    for (std::size_t i = 0; i < kKindCount; ++i) {
        std::string kind(name(Kind(i)));
        for (const Range& r : {one[i], other[i]})
            if (r.min == 0 || r.min > r.max) return Failure{Error::EmptyRange, kind + ", " + words(r)};
        if (one[i].max < other[i].min || other[i].max < one[i].min)
            return Failure{Error::Apart, kind + ", " + words(one[i]) + " and " + words(other[i])};
    }
    return {};
}

}  // namespace ochrehub::schema
