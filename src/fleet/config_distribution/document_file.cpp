#include "fleet/config_distribution/document_file.h"

#include <algorithm>
#include <cerrno>

#include "fleet/config_distribution/config_state_machine.h"
#include "fleet/config_distribution/wire_codec.h"

namespace ochrehub::config_distribution {
namespace {
constexpr std::string_view kHead = "ochrehub rules 1\n";
}

std::string file_octets(const std::vector<Document>& documents) {
    wire::Kept kept;
    for (const Document& d : documents) write(d, true, *kept.add_documents());
    std::string body = kept.SerializeAsString();
    Digest sum = digest(body);
    return std::string(kHead).append(sum.begin(), sum.end()).append(body);
}

std::variant<std::vector<Document>, Failure> read_file(std::string_view octets) {
    auto bad = [](std::string why) { return Failure{Error::FileDamaged, std::move(why)}; };
    if (!octets.starts_with(kHead)) return bad("its first line");
    octets.remove_prefix(kHead.size());
    Digest sum{};
    if (octets.size() < sum.size()) return bad("its end");
    std::string_view body = octets.substr(sum.size());
    sum = digest(body);
    if (!std::equal(sum.begin(), sum.end(), octets.begin(),
                    [](std::uint8_t a, char b) { return char(a) == b; }))
        return bad("its digest");
    wire::Kept kept;
    if (!kept.ParseFromArray(body.data(), int(body.size())) ||
        std::size_t(kept.documents_size()) > kDocumentsMost)
        return bad("its documents");
    std::vector<Document> out;
    for (const auto& d : kept.documents()) {
        auto document = read(d);
        if (!document || validate(document->content))
            return bad("document `" + d.name().substr(0, kNameMost) + "`");
        out.push_back(std::move(*document));
    }
    return out;
}

std::optional<Failure> save(store::Files& files, const std::string& name, std::string_view octets) {
    std::string fresh = name + ".new";
    store::Error why = files.remove(fresh);  // what an earlier attempt left
    if (why == 0 || why == ENOENT) why = files.append(fresh, octets);
    if (why == 0) why = files.sync(fresh);
    if (why == 0) why = files.rename(fresh, name);
    if (why == 0) why = files.sync_names();
    if (why == 0) return {};
    return Failure{Error::FileFailed, name + ": errno " + std::to_string(why)};
}

std::variant<std::vector<Document>, Failure> load(store::Files& files, const std::string& name) {
    std::string octets;
    store::Error why = files.read(name, octets);
    if (why == ENOENT) return std::vector<Document>{};
    if (why != 0) return Failure{Error::FileFailed, name + ": errno " + std::to_string(why)};
    auto read = read_file(octets);
    if (auto* bad = std::get_if<Failure>(&read)) bad->about = name + ": " + bad->about;
    return read;
}

}  // namespace ochrehub::config_distribution
