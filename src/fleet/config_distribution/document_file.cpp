#include "fleet/config_distribution/document_file.h"

#include <algorithm>
#include <cerrno>

#include "fleet/config_distribution/config_state_machine.h"
#include "fleet/config_distribution/wire_codec.h"

namespace ochrehub::config_distribution {
namespace {
constexpr std::string_view kFileHeader = "ochrehub rules 1\n";
}

std::string encode_file(const std::vector<Document>& documents) {
    wire::Kept stored;
    for (const Document& d : documents) to_wire(d, true, *stored.add_documents());
    std::string body = stored.SerializeAsString();
    Digest sum = digest(body);
    return std::string(kFileHeader).append(sum.begin(), sum.end()).append(body);
}

std::variant<std::vector<Document>, Failure> decode_file(std::string_view bytes) {
    auto damaged = [](std::string why) { return Failure{Error::FileDamaged, std::move(why)}; };
    if (!bytes.starts_with(kFileHeader)) return damaged("its first line");
    bytes.remove_prefix(kFileHeader.size());
    Digest sum{};
    if (bytes.size() < sum.size()) return damaged("its end");
    std::string_view body = bytes.substr(sum.size());
    sum = digest(body);
    if (!std::equal(sum.begin(), sum.end(), bytes.begin(),
                    [](std::uint8_t a, char b) { return char(a) == b; }))
        return damaged("its digest");
    wire::Kept stored;
    if (!stored.ParseFromArray(body.data(), int(body.size())) ||
        std::size_t(stored.documents_size()) > kMaxDocuments)
        return damaged("its documents");
    std::vector<Document> out;
    for (const auto& d : stored.documents()) {
        auto document = from_wire(d);
        if (!document || validate(document->content))
            return damaged("document `" + d.name().substr(0, kMaxNameBytes) + "`");
        out.push_back(std::move(*document));
    }
    return out;
}

std::optional<Failure> save(store::Files& files, const std::string& name, std::string_view bytes) {
    std::string fresh = name + ".new";
    store::Error why = files.remove(fresh);  // left by an earlier attempt
    if (why == 0 || why == ENOENT) why = files.append(fresh, bytes);
    if (why == 0) why = files.sync(fresh);
    if (why == 0) why = files.rename(fresh, name);
    if (why == 0) why = files.sync_names();
    if (why == 0) return {};
    return Failure{Error::FileFailed, name + ": errno " + std::to_string(why)};
}

std::variant<std::vector<Document>, Failure> load(store::Files& files, const std::string& name) {
    std::string bytes;
    store::Error why = files.read(name, bytes);
    if (why == ENOENT) return std::vector<Document>{};
    if (why != 0) return Failure{Error::FileFailed, name + ": errno " + std::to_string(why)};
    auto read = decode_file(bytes);
    if (auto* bad = std::get_if<Failure>(&read)) bad->about = name + ": " + bad->about;
    return read;
}

}  // namespace ochrehub::config_distribution
