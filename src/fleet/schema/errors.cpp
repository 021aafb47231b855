#include "fleet/schema/schema.h"

namespace ochrehub::schema {

const fleet::ErrorRow& row(Error error) {
    static constexpr fleet::ErrorRow kRows[kErrors] = {
        {"schema.unknown-kind", "no kind of shared records has this name", false,
         "see `ochrehub fleet migrate status` for the kinds"},
        {"schema.unknown-schema", "this release does not know this schema version", false,
         "upgrade this process; it must not read such records before that"},
        {"schema.malformed", "is not a valid record of its schema version", false,
         "keep the record's bytes and report them; the record was not changed"},
        {"schema.does-not-fit", "has a value that the other schema version can't represent", false,
         "correct or drop this record, then start the migration again"},
        {"schema.too-large", "exceeds the limit of records or bytes of a group", false,
         "drop expired sessions or clients of this group"},
        {"schema.empty-range", "the range of schema versions is empty", false, "install a complete release"},
        {"schema.apart", "two releases without a common schema version can't run together", false,
         "upgrade by one release at a time: first to the release in between"},
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
