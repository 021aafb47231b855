// Fuzzes the parsers and conversion steps of all schema versions (libFuzzer, Clang), including kept fields
// that no step has written. Any input is refused, or its normal form is stable, up and down is the identity
// except for what is kept, and nothing spent is lost.
#include <cstdint>
#include <cstdlib>
#include <string>

#include "fleet/schema/schema.h"
#include "tests/fleet/schema_world.h"

extern "C" std::size_t LLVMFuzzerMutate(std::uint8_t* data, std::size_t size, std::size_t most);

namespace {

using namespace ochrehub::schema;

void must(bool holds) {
    if (!holds) std::abort();
}
const Group* group(const Result& result) {
    return std::get_if<Group>(&result);
}
/// The input is kind and version, then records: the key up to a byte 0xff, two bytes of size, the value.
Group read(const std::uint8_t* data, std::size_t size) {
    Group records;
    std::string key;
    for (std::size_t i = 0; i < size; ++i) {
        if (data[i] != 0xff) {
            key += char(data[i]);
            continue;
        }
        if (i + 2 >= size) break;
        std::size_t length = std::min<std::size_t>(std::size_t(data[i + 1]) << 8 | data[i + 2], size - i - 3);
        records.push_back({key, std::string(reinterpret_cast<const char*>(data) + i + 3, length)});
        key.clear(), i += 2 + length;
    }
    return records;
}
std::string written(Kind kind, Version schema, const Group& records) {
    std::string out{char(kind), char(schema)};
    for (const Record& r : records)
        out += r.key + '\xff' + char(r.value.size() >> 8) + char(r.value.size()) + r.value;
    return out;
}

}  // namespace

extern "C" std::size_t LLVMFuzzerCustomMutator(std::uint8_t* data, std::size_t size, std::size_t most,
                                               unsigned int seed) {
    if (size > 2 && seed % 16) return LLVMFuzzerMutate(data, size, most);
    // The initial input is the result of a step, so that it has kept data.
    std::uint64_t state = seed;
    Draw draw = [&](std::uint64_t below) {
        return ((state = state * 6364136223846793005u + 1442695040888963407u) >> 33) % below;
    };
    Kind kind = Kind(draw(3));
    Version schema = Version(1 + draw(newest_version(kind))), from = Version(1 + draw(newest_version(kind)));
    Group records = fresh(kind, from, draw);
    if (Result at = convert(kind, from, schema, records); group(at))
        records = written_on(kind, schema, *group(at), draw);
    std::string octets = written(kind, schema, records);
    if (octets.size() > most) return LLVMFuzzerMutate(data, size, most);
    std::copy(octets.begin(), octets.end(), data);
    return octets.size();
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    if (size < 2) return 0;
    Kind kind = Kind(data[0] % kKindCount);
    Version schema = data[1] % 6;
    Group given = read(data + 2, size - 2);
    for (const Record& r : given) group_of(kind, schema, r.key);
    Result taken = canonical(kind, schema, given);
    if (!group(taken)) return 0;
    const Group& records = *group(taken);
    Result again = canonical(kind, schema, records);
    must(group(again) && *group(again) == records);
    auto sum = [&](Version at, const Group& of) {
        auto result = spent(kind, at, of);
        return result.index() == 0 ? std::get<Spent>(result) : Spent();
    };
    for (bool rises : {true, false}) {
        Version to = rises ? schema + 1 : schema - 1;
        Result made = rises ? up(kind, schema, given) : down(kind, schema, given);
        if (!group(made)) continue;
        again = canonical(kind, to, *group(made));
        must(group(again) && *group(again) == *group(made));
        Result back = rises ? down(kind, to, *group(made)) : up(kind, to, *group(made));
        must(group(back) && alone(kind, schema, *group(back)) == alone(kind, schema, records));
        for (const auto& [tenant, was] : sum(schema, records)) must(sum(to, *group(made))[tenant] >= was);
    }
    return 0;
}
