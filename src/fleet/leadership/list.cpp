#include "fleet/leadership/list.h"

#include <list.pb.h>

#include "ochrehub/hash.h"

namespace ochrehub::leadership::list {

namespace wire = ochrehub::list::wire;

namespace {

constexpr std::size_t kMost = 64 << 20;  // octets of anything that is read

bool parse(google::protobuf::MessageLite& message, std::string_view bytes) {
    return bytes.size() <= kMost && message.ParseFromArray(bytes.data(), int(bytes.size()));
}
template <class Message>
void put_entries(const Entries& entries, Message& out) {
    for (const auto& [id, body] : entries) {
        wire::Entry& entry = *out.add_put();
        entry.set_id(id), entry.set_body(body);
    }
}
wire::Change written(const Change& change) {
    wire::Change out;
    out.set_version(change.version);
    put_entries(change.put, out);
    for (const std::string& id : change.gone) out.add_gone(id);
    return out;
}
Change read(const wire::Change& in) {
    Change change{in.version(), {}, {}};
    for (const wire::Entry& entry : in.put()) change.put[entry.id()] = entry.body();
    change.gone.assign(in.gone().begin(), in.gone().end());
    return change;
}
std::optional<Whole> read(const wire::Whole& in) {
    Whole whole{in.version(), in.digest(), in.revision(), {}};
    for (const wire::Entry& entry : in.entries()) whole.entries[entry.id()] = entry.body();
    if (digest(whole.entries) != whole.digest) return std::nullopt;
    return whole;
}

}  // namespace

const fleet::ErrorRow& row(Error error) {
    static constexpr fleet::ErrorRow kRows[kErrors] = {
        {"list.malformed", "the command cannot be read", false,
         "compare the releases of this process and the keepers"},
        {"list.stale", "another watches discovery by now", false, "nothing: the old owner stops"},
        {"list.not-open", "its owner has not opened it", true, "nothing: it opens and asks discovery anew"},
        {"list.round", "the report belongs to a round that is closed", true,
         "nothing: it opens and asks discovery anew"},
        {"list.version", "the report was made on another version of the list", true,
         "nothing: it opens and asks discovery anew"},
        {"list.too-much", "discovery lists more than the keepers take", false,
         "see what discovery lists: 20,000 servers at the most"},
    };
    return kRows[std::size_t(error)];
}

std::uint64_t digest(const Entries& entries) {
    std::uint64_t all = kNoText;
    for (const auto& [id, body] : entries) {
        all = hashed(id, mixed(all ^ id.size()));
        all = hashed(body, mixed(all ^ body.size()));
    }
    return all;
}

std::string open(Epoch epoch) {
    wire::Command command;
    command.mutable_open()->set_epoch(epoch);
    return command.SerializeAsString();
}
std::string report(Epoch epoch, std::uint64_t version, std::uint64_t round, const Listing& listing) {
    wire::Command command;
    wire::Report& out = *command.mutable_report();
    out.set_epoch(epoch), out.set_version(version), out.set_round(round);
    out.set_revision(listing.revision), out.set_whole(listing.whole);
    put_entries(listing.put, out);
    for (const std::string& id : listing.gone) out.add_gone(id);
    return command.SerializeAsString();
}

std::optional<Answer> read_answer(std::string_view bytes) {
    wire::Answer in;
    if (!parse(in, bytes) || in.error() > kErrors) return std::nullopt;
    Answer answer{std::nullopt, in.epoch(), in.version(), in.round()};
    if (in.error() > 0) answer.error = Error(in.error() - 1);
    return answer;
}
std::optional<News> read_news(std::string_view bytes) {
    wire::News in;
    if (!parse(in, bytes) || in.round() <= in.confirmed()) return std::nullopt;
    News news{in.version(), in.digest(), in.round(), in.confirmed(), {}};
    for (const wire::Change& change : in.changes()) news.changes.push_back(read(change));
    return news;
}
std::optional<Whole> read_whole(std::string_view bytes) {
    wire::Whole in;
    if (!parse(in, bytes)) return std::nullopt;
    return read(in);
}

std::string Machine::apply(const coordinator::Command& command) {
    wire::Command in;
    std::optional<Error> error;
    if (!parse(in, command.body) || (!in.has_open() && !in.has_report())) {
        error = Error::Malformed;
    } else if (in.has_open()) {
        if (in.open().epoch() == 0)
            error = Error::Malformed;
        else if (in.open().epoch() < epoch_)
            error = Error::Stale;
        else
            epoch_ = in.open().epoch(), ++round_;
    } else {
        Listing listing{in.report().revision(), in.report().whole(), {}, {}};
        for (const wire::Entry& entry : in.report().put()) listing.put[entry.id()] = entry.body();
        listing.gone.assign(in.report().gone().begin(), in.report().gone().end());
        error = take(in.report().epoch(), in.report().version(), in.report().round(), listing);
    }
    wire::Answer out;
    out.set_error(error ? 1 + std::uint32_t(*error) : 0);
    out.set_epoch(epoch_), out.set_version(version_), out.set_round(round_);
    return out.SerializeAsString();
}

std::optional<Error> Machine::take(Epoch epoch, std::uint64_t version, std::uint64_t round,
                                   const Listing& listing) {
    if (epoch < epoch_) return Error::Stale;
    if (epoch > epoch_) return Error::NotOpen;
    if (round != round_) return Error::Round;
    if (version != version_) return Error::Version;
    Change change{version_ + 1, {}, {}};
    for (const auto& [id, body] : listing.put) {
        if (id.empty() || id.size() > limits_.id || body.size() > limits_.body) return Error::TooMuch;
        auto known = entries_.find(id);
        if (known == entries_.end() || known->second != body) change.put.emplace(id, body);
    }
    if (listing.whole) {
        for (const auto& [id, body] : entries_)
            if (!listing.put.contains(id)) change.gone.push_back(id);
    } else {
        for (const std::string& id : listing.gone)
            if (entries_.contains(id) && !listing.put.contains(id)) change.gone.push_back(id);
    }
    Entries next = entries_;
    for (const auto& [id, body] : change.put) next[id] = body;
    for (const std::string& id : change.gone) next.erase(id);
    if (next.size() > limits_.servers) return Error::TooMuch;
    confirmed_ = round_++;
    revision_ = listing.revision;
    while (!kept_.empty() && kept_.front().round + limits_.rounds < round_) kept_.pop_front();
    // The first report is a version too, though it lists nobody: until then there is no list.
    if (change.put.empty() && change.gone.empty() && version_ > 0) return std::nullopt;
    entries_ = std::move(next);
    digest_ = digest(entries_);
    version_ = change.version;
    kept_.push_back({round_, std::move(change)});
    return std::nullopt;
}

std::string Machine::query(std::string_view) const {
    wire::Whole out;
    out.set_version(version_), out.set_digest(digest_), out.set_revision(revision_);
    for (const auto& [id, body] : entries_) {
        wire::Entry& entry = *out.add_entries();
        entry.set_id(id), entry.set_body(body);
    }
    return out.SerializeAsString();
}

std::string Machine::session_update(coordinator::SessionId) const {
    wire::News out;
    out.set_version(version_), out.set_digest(digest_), out.set_round(round_), out.set_confirmed(confirmed_);
    std::size_t octets = 0, first = kept_.size();
    std::deque<wire::Change> changes;
    while (first > 0) {  // the newest, as many as there is room for
        wire::Change change = written(kept_[first - 1].change);
        octets += change.ByteSizeLong();
        if (octets > limits_.news) break;
        changes.push_front(std::move(change));
        --first;
    }
    for (wire::Change& change : changes) *out.add_changes() = std::move(change);
    return out.SerializeAsString();
}

std::string Machine::snapshot() const {
    wire::Snapshot out;
    out.set_epoch(epoch_), out.set_round(round_), out.set_confirmed(confirmed_);
    out.mutable_list()->ParseFromString(query({}));
    for (const Kept& kept : kept_) {
        wire::Kept& one = *out.add_kept();
        one.set_round(kept.round);
        *one.mutable_change() = written(kept.change);
    }
    return out.SerializeAsString();
}

bool Machine::restore(std::uint32_t schema, std::string_view bytes) {
    wire::Snapshot in;
    if (schema != kSchema || !parse(in, bytes) || in.round() <= in.confirmed()) return false;
    std::optional<Whole> whole = list::read(in.list());
    if (!whole) return false;
    epoch_ = in.epoch(), round_ = in.round(), confirmed_ = in.confirmed();
    version_ = whole->version, revision_ = whole->revision, digest_ = whole->digest;
    entries_ = std::move(whole->entries);
    kept_.clear();
    for (const wire::Kept& one : in.kept()) kept_.push_back({one.round(), list::read(one.change())});
    return true;
}

}  // namespace ochrehub::leadership::list
