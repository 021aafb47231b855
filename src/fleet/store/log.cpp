#include "fleet/store/log.h"

#define XXH_INLINE_ALL  // a header alone: the platform has no library of it to load
#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <vector>

namespace ochrehub::store {
namespace {

constexpr std::size_t kHead = 12, kFixed = 33;  // length and checksum; a payload without its data
constexpr std::string_view kLog = "log-", kSnapshot = "snapshot-", kFresh = "fresh", kLostMark = "lost";
// A file's first octets: this, the cluster's fingerprint and a checksum of both, 16 digits each. All versions
// have it so: a title that is torn is not to be taken for another version's.
constexpr std::string_view kFormat = "ochrehub-store 1 ";
constexpr std::size_t kTitle = kFormat.size() + 34;

void put(std::string& out, std::uint64_t value, int octets) {
    for (int shift = 8 * (octets - 1); shift >= 0; shift -= 8) out += char(value >> shift);
}
std::uint64_t get(std::string_view bytes, std::size_t at, int octets) {
    std::uint64_t value = 0;
    for (int i = 0; i < octets; ++i)
        value = value << 8 | static_cast<unsigned char>(bytes[at + std::size_t(i)]);
    return value;
}
std::string digits(std::uint64_t value) {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
    return text;
}
std::string title(std::uint64_t cluster) {
    std::string text = std::string(kFormat) + digits(cluster) + " ";
    return text + digits(XXH64(text.data(), text.size(), 0)) + "\n";
}
/// Why a file whose title is sound is not this one's to read; empty: it is, or its title is damaged.
std::string foreign(std::string_view bytes, std::uint64_t cluster) {
    if (bytes.size() < kTitle || bytes.starts_with(title(cluster))) return "";
    std::string_view text = bytes.substr(0, kTitle - 17);
    if (bytes.substr(kTitle - 17, 16) != digits(XXH64(text.data(), text.size(), 0))) return "";
    return bytes.starts_with(kFormat) ? ": is another cluster's"
                                      : ": is of a version that this program does not read";
}
std::optional<std::uint64_t> number_of(const std::string& name, std::string_view prefix) {
    if (!name.starts_with(prefix) || name.size() != prefix.size() + 16) return std::nullopt;
    char* end = nullptr;
    std::uint64_t value = std::strtoull(name.c_str() + prefix.size(), &end, 16);
    return *end == 0 ? std::optional(value) : std::nullopt;
}
std::string worded(Error error) {
    return std::strerror(error);
}

}  // namespace

Log::Log(Files& files, const Settings& settings) : files_(files), set_(settings) {
    if (Error why = files_.lock())
        throw StoreError(why == EWOULDBLOCK ? "the folder is another process's: it holds the lock"
                                            : "LOCK: " + worded(why));
    Look look;
    read(look);
    found_ = look.lost ? Found::Lost : look.torn ? Found::Torn : look.any ? Found::Whole : Found::Empty;
    if (look.lost) lose();
    set_aside(look);
    if (!begin_segment()) throw StoreError(segment_ + ": " + worded(why_));
}

Log::Log(Files& files, const Settings& settings, Look& look) : files_(files), set_(settings) {
    read(look);
}

std::string Log::verify(Files& files, const Settings& settings) {
    Look look;
    Log log(files, settings, look);
    char line[200];
    std::snprintf(line, sizeof line, "entries %llu to %llu, term %llu: %s\n",
                  static_cast<unsigned long long>(log.first()), static_cast<unsigned long long>(log.last()),
                  static_cast<unsigned long long>(log.vote_.term),
                  look.lost   ? "LOST: something that was promised is gone"
                  : look.torn ? "sound but for a tail that nobody was promised"
                              : "sound");
    return look.report + line;
}

// ---- Reading

std::optional<Log::Record> Log::parse(std::string_view bytes, std::size_t at, std::uint64_t cluster,
                                      std::size_t most, std::size_t& size) {
    if (at > bytes.size() || bytes.size() - at < kHead + kFixed) return std::nullopt;
    std::size_t length = std::size_t(get(bytes, at, 4));
    if (length < kFixed || length > most + kFixed || length > bytes.size() - at - kHead) return std::nullopt;
    std::string_view payload = bytes.substr(at + kHead, length);
    if (XXH64(payload.data(), payload.size(), cluster) != get(bytes, at + 4, 8)) return std::nullopt;
    Record record;
    record.kind = Kind(payload[0]);
    if (record.kind < Kind::Entry || record.kind > Kind::Vote) return std::nullopt;
    record.number = get(payload, 1, 8);
    record.synced = get(payload, 9, 8);
    record.index = get(payload, 17, 8);
    record.term = get(payload, 25, 8);
    record.data = payload.substr(kFixed);
    size = kHead + length;
    return record;
}

void Log::read(Look& look) {
    std::vector<std::string> names;
    if (Error why = files_.list(names)) throw StoreError("the folder: " + worded(why));
    std::sort(names.begin(), names.end());
    std::vector<std::string> segments, snapshots;
    for (const std::string& name : names) {
        if (name == kLostMark) look.lost = true;
        if (number_of(name, kLog)) segments.push_back(name);
        if (number_of(name, kSnapshot)) snapshots.push_back(name);
    }
    // The newest is whole, or it would not have its name; an older one is a leftover.
    if (!snapshots.empty()) read_snapshot(snapshots.back(), look);
    if (snapshot_) first_ = snapshot_->index + 1;
    for (std::size_t i = 0; i < segments.size(); ++i) read_segment(segments[i], i == 0, look);
}

/// What was damaged is not appended to, and what is written from now on must not stand behind it.
void Log::set_aside(const Look& look) {
    if (broken() || look.damaged.empty()) return;
    const std::string fresh(kFresh);
    Error gone = files_.remove(fresh);
    if (gone != 0 && gone != ENOENT && !must(gone)) return;
    // Those behind it go first: it is what shows, should this not come to its end, that they are not to be
    // believed.
    for (const std::string& name : look.behind) {
        if (!must(files_.rename(name, "aside-" + name))) return;
        std::erase_if(segments_, [&](const auto& one) { return one.first == name; });
    }
    if (!must(files_.sync_names())) return;
    if (look.prefix.empty()) {
        std::erase_if(segments_, [&](const auto& one) { return one.first == look.damaged; });
        must(files_.rename(look.damaged, "aside-" + look.damaged));
    } else if (must(files_.append(fresh, look.prefix)) && must(files_.sync(fresh))) {
        must(files_.rename(fresh, look.damaged));
    }
    if (!broken()) must(files_.sync_names());
}

void Log::read_snapshot(const std::string& name, Look& look) {
    std::string bytes;
    if (Error why = files_.read(name, bytes)) throw StoreError(name + ": " + worded(why));
    std::size_t size = 0;
    std::string head = title(set_.cluster);
    if (std::string why = foreign(bytes, set_.cluster); !why.empty()) throw StoreError(name + why);
    look.any = true;
    auto record = parse(bytes, kTitle, set_.cluster, bytes.size(), size);  // as large as it is
    if (!record || !bytes.starts_with(head) || kTitle + size != bytes.size()) {
        look.lost = true;
        look.report += name + ": damaged\n";
        return;
    }
    snapshot_ = Snapshot{record->index, record->term, std::string(record->data)};
    look.report += name + ": whole\n";
}

void Log::read_segment(const std::string& name, bool first, Look& look) {
    const bool over = !look.damaged.empty();
    std::string bytes;
    if (Error why = files_.read(name, bytes)) throw StoreError(name + ": " + worded(why));
    look.any = true;
    std::uint64_t begins = *number_of(name, kLog);
    if (first) number_ = begins - 1;
    std::string head = title(set_.cluster);
    segments_.emplace_back(name, 0);
    if (std::string why = foreign(bytes, set_.cluster); !why.empty()) throw StoreError(name + why);
    std::size_t at = kTitle;
    bool title_sound = bytes.starts_with(head), gap = begins != number_ + 1;
    if (!over && title_sound && !gap) {
        std::size_t size = 0;
        while (at < bytes.size()) {
            auto record = parse(bytes, at, set_.cluster, set_.record_most, size);
            if (!record || record->number != number_ + 1) break;
            take(*record, look);
            at += size;
        }
        if (at == bytes.size()) {
            look.report += name + ": whole\n";
            return;
        }
    } else {
        at = 0;
    }
    // Whatever is behind the clean prefix is not believed, but may tell that what is missing had been
    // promised.
    bool lost = promised(std::string_view(bytes).substr(at));
    (lost ? look.lost : look.torn) = true;
    if (over) {
        look.behind.push_back(name);
    } else {
        look.damaged = name;
        if (at > kTitle) look.prefix = bytes.substr(0, at);
    }
    look.report += name + ": " + (lost ? "damaged" : "torn") + " from octet " + std::to_string(at) + " on\n";
}

bool Log::promised(std::string_view rest) const {
    std::size_t size = 0;
    for (std::size_t at = 0; at + kHead + kFixed <= rest.size(); ++at) {
        auto record = parse(rest, at, set_.cluster, set_.record_most, size);
        if (record && record->number > number_ && record->synced > number_) return true;
    }
    return false;
}

void Log::take(const Record& record, Look& look) {
    number_ = record.number;
    synced_ = std::max(synced_, record.synced);
    if (record.kind == Kind::Vote) {
        vote_ = {record.term, std::string(record.data)};
    } else if (record.kind == Kind::Cut) {
        while (!entries_.empty() && last() >= record.index) entries_.pop_back();
    } else {
        std::uint64_t in_snapshot = snapshot_ ? snapshot_->index : 0;
        if (record.index > in_snapshot) {
            if (record.index != last() + 1) look.lost = true;  // what was between them is gone
            if (record.index == last() + 1) entries_.push_back({record.term, std::string(record.data)});
        }
        segments_.back().second = std::max(segments_.back().second, record.index);
    }
}

// ---- Writing

std::uint64_t Log::term(std::uint64_t index) const {
    if (index >= first_ && index <= last()) return entry(index).term;
    return snapshot_ && snapshot_->index == index ? snapshot_->term : 0;
}

void Log::put(Kind kind, std::uint64_t index, std::uint64_t term, std::string_view data) {
    if (data.size() > set_.record_most)
        throw std::length_error("a record of " + std::to_string(data.size()) + " octets");
    std::string payload;
    payload.reserve(kFixed + data.size());
    payload += char(kind);
    store::put(payload, ++number_, 8);
    store::put(payload, synced_, 8);
    store::put(payload, index, 8);
    store::put(payload, term, 8);
    payload += data;
    store::put(pending_, payload.size(), 4);
    store::put(pending_, XXH64(payload.data(), payload.size(), set_.cluster), 8);
    pending_ += payload;
}

void Log::append(Entry entry) {
    put(Kind::Entry, last() + 1, entry.term, entry.data);
    entries_.push_back(std::move(entry));
}

void Log::cut(std::uint64_t from) {
    put(Kind::Cut, from, 0, {});
    while (!entries_.empty() && last() >= from) entries_.pop_back();
}

void Log::vote(Vote vote) {
    put(Kind::Vote, 0, vote.term, vote.who);
    vote_ = std::move(vote);
}

bool Log::sync() {
    if (broken()) return false;
    if (pending_.empty()) return true;
    if (!must(files_.append(segment_, pending_)) || !must(files_.sync(segment_))) return false;
    segment_size_ += pending_.size();
    segments_.back().second = std::max(segments_.back().second, last());
    pending_.clear();
    synced_ = number_;
    return segment_size_ < set_.segment || begin_segment();
}

/// The vote stands in each one, so that older ones can go.
bool Log::begin_segment() {
    if (broken()) return false;
    std::string held = std::move(pending_);
    pending_ = title(set_.cluster);
    segment_ = std::string(kLog) + digits(number_ + 1);
    // A segment of this name can only be one that was begun and never finished.
    Error gone = files_.remove(segment_);
    if (gone != 0 && gone != ENOENT && !must(gone)) return false;
    std::erase_if(segments_, [this](const auto& one) { return one.first == segment_; });
    put(Kind::Vote, 0, vote_.term, vote_.who);
    if (!must(files_.append(segment_, pending_)) || !must(files_.sync(segment_)) ||
        !must(files_.sync_names()))
        return false;
    segment_size_ = pending_.size();
    segments_.emplace_back(segment_, 0);
    pending_ = std::move(held);
    synced_ = number_;
    return true;
}

bool Log::save(Snapshot snapshot) {
    // Entries of another history than the snapshot's are not its continuation.
    if (snapshot.index >= first_ && snapshot.index <= last() && entry(snapshot.index).term != snapshot.term)
        cut(snapshot.index + 1);
    if (!sync()) return false;
    std::string payload, bytes = title(set_.cluster);
    payload += char(Kind::Entry);
    store::put(payload, 0, 8);
    store::put(payload, 0, 8);
    store::put(payload, snapshot.index, 8);
    store::put(payload, snapshot.term, 8);
    payload += snapshot.data;
    store::put(bytes, payload.size(), 4);
    store::put(bytes, XXH64(payload.data(), payload.size(), set_.cluster), 8);
    bytes += payload;
    const std::string fresh(kFresh), name = std::string(kSnapshot) + digits(snapshot.index);
    Error gone = files_.remove(fresh);
    if (gone != 0 && gone != ENOENT && !must(gone)) return false;
    if (!must(files_.append(fresh, bytes)) || !must(files_.sync(fresh)) || !must(files_.rename(fresh, name)))
        return false;
    std::string old = snapshot_ && snapshot_->index != snapshot.index
                          ? std::string(kSnapshot) + digits(snapshot_->index)
                          : "";
    while (!entries_.empty() && first_ <= snapshot.index) entries_.pop_front(), ++first_;
    first_ = snapshot.index + 1;
    snapshot_ = std::move(snapshot);
    if (!begin_segment()) return false;
    // Only now is nothing older needed.
    if (!old.empty() && !must(files_.remove(old))) return false;
    while (segments_.size() > 1 && segments_.front().second <= snapshot_->index) {
        if (!must(files_.remove(segments_.front().first))) return false;
        segments_.pop_front();
    }
    return must(files_.sync_names());
}

bool Log::lose() {
    found_ = Found::Lost;
    return must(files_.append(std::string(kLostMark), "x")) && must(files_.sync(std::string(kLostMark))) &&
           must(files_.sync_names());
}

bool Log::caught_up() {
    if (found_ != Found::Lost) return !broken();
    if (!sync()) return false;
    Error gone = files_.remove(std::string(kLostMark));
    if ((gone != 0 && gone != ENOENT && !must(gone)) || !must(files_.sync_names())) return false;
    found_ = Found::Whole;
    return true;
}

}  // namespace ochrehub::store
