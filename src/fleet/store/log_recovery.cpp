// Reading a log's directory, after a crash and with damaged files too.
#include <algorithm>
#include <cstring>
#include <utility>

#include "fleet/store/log.h"

namespace ochrehub::store {

std::string Log::read_file(const std::string& name) {
    std::string bytes;
    if (Error error = files_.read(name, bytes)) throw StoreError(name + ": " + std::strerror(error));
    std::string reason = incompatibility(bytes, settings_.cluster_fingerprint);
    if (!reason.empty()) throw StoreError(name + ": " + reason);
    return bytes;
}

void Log::read(ReadResult& result) {
    std::vector<std::string> names;
    if (Error error = files_.list(names))
        throw StoreError(std::string("the directory: ") + std::strerror(error));
    std::sort(names.begin(), names.end());
    std::vector<std::string> segments;
    std::vector<std::string> snapshots;
    for (const std::string& name : names) {
        if (name == kDataLostMarkName) result.data_lost = true;
        if (segment_number(name)) segments.push_back(name);
        if (snapshot_index(name)) snapshots.push_back(name);
    }
    // A snapshot gets its name when it is complete, so that older ones are not needed.
    if (!snapshots.empty()) read_snapshot(snapshots.back(), result);
    if (snapshot_) first_index_ = snapshot_->last_included_index + 1;
    if (!segments.empty()) last_number_ = *segment_number(segments.front()) - 1;
    for (const std::string& name : segments) read_segment(name, result);
}

void Log::read_snapshot(const std::string& name, ReadResult& result) {
    std::string bytes = read_file(name);
    result.any_file = true;
    bool has_header = bytes.starts_with(file_header(settings_.cluster_fingerprint));
    std::string_view content = std::string_view(bytes).substr(std::min(file_header_size(), bytes.size()));
    // A snapshot may be of any size.
    std::optional<ParsedRecord> parsed = parse_record(content, {settings_.cluster_fingerprint, bytes.size()});
    if (!has_header || !parsed || parsed->size != content.size()) {
        result.data_lost = true;
        result.report += name + ": damaged\n";
        return;
    }
    const Record& record = parsed->record;
    snapshot_ = Snapshot{record.index, record.term, std::string(record.data)};
    result.report += name + ": whole\n";
}

void Log::read_segment(const std::string& name, ReadResult& result) {
    bool after_damage = !result.damaged_segment.empty();
    std::string bytes = read_file(name);
    result.any_file = true;
    segments_.push_back({name, 0});
    bool has_header = bytes.starts_with(file_header(settings_.cluster_fingerprint));
    bool continues = *segment_number(name) == last_number_ + 1;
    std::size_t intact = 0;
    if (!after_damage && has_header && continues) {
        intact = replay_segment(bytes, result);
        if (intact == bytes.size()) {
            result.report += name + ": whole\n";
            return;
        }
    }
    // What follows is not used, but may show that what is missing had been synced.
    bool data_lost = shows_synced_data(std::string_view(bytes).substr(intact));
    (data_lost ? result.data_lost : result.torn) = true;
    if (after_damage) {
        result.later_segments.push_back(name);
    } else {
        result.damaged_segment = name;
        if (intact > file_header_size()) result.intact_prefix = bytes.substr(0, intact);
    }
    result.report +=
        name + ": " + (data_lost ? "damaged" : "torn") + " from byte " + std::to_string(intact) + " on\n";
}

/// Returns how many bytes were header and intact records.
std::size_t Log::replay_segment(std::string_view bytes, ReadResult& result) {
    std::size_t at = file_header_size();
    while (at < bytes.size()) {
        std::optional<ParsedRecord> parsed = parse_record(bytes.substr(at), parse_limits());
        if (!parsed || parsed->record.number != last_number_ + 1) break;
        replay(parsed->record, result);
        at += parsed->size;
    }
    return at;
}

void Log::replay(const Record& record, ReadResult& result) {
    last_number_ = record.number;
    synced_number_ = std::max(synced_number_, record.synced_number);
    switch (record.kind) {
        case RecordKind::HardState:
            hard_state_ = {record.term, std::string(record.data)};
            break;
        case RecordKind::Truncation:
            while (!entries_.empty() && last_index() >= record.index) entries_.pop_back();
            break;
        case RecordKind::Entry:
            replay_entry(record, result);
            break;
    }
}

void Log::replay_entry(const Record& record, ReadResult& result) {
    segments_.back().max_index = std::max(segments_.back().max_index, record.index);
    std::uint64_t in_snapshot = snapshot_ ? snapshot_->last_included_index : 0;
    if (record.index <= in_snapshot) return;
    if (record.index == last_index() + 1)
        entries_.push_back({record.term, std::string(record.data)});
    else
        result.data_lost = true;  // the entries between them are missing
}

/// A later record says that a record which could not be read had been synced.
bool Log::shows_synced_data(std::string_view rest) const {
    for (std::size_t at = 0; at + min_record_size() <= rest.size(); ++at) {
        std::optional<ParsedRecord> parsed = parse_record(rest.substr(at), parse_limits());
        if (!parsed) continue;
        const Record& record = parsed->record;
        if (record.number > last_number_ && record.synced_number > last_number_) return true;
    }
    return false;
}

/// Damaged bytes are neither appended to nor followed by anything that is written from now on.
void Log::set_aside_damage(const ReadResult& result) {
    if (failed() || result.damaged_segment.empty()) return;
    if (!remove_if_exists(kTemporaryName)) return;
    auto forget = [this](const std::string& name) {
        std::erase_if(segments_, [&](const Segment& segment) { return segment.name == name; });
    };
    // Later segments first: should this be interrupted, the damaged one still shows that they are not to be
    // used.
    for (const std::string& name : result.later_segments) {
        if (!succeeded(files_.rename(name, kSetAsidePrefix + name))) return;
        forget(name);
    }
    if (!succeeded(files_.sync_names())) return;
    const std::string& damaged = result.damaged_segment;
    if (result.intact_prefix.empty()) {
        forget(damaged);
        succeeded(files_.rename(damaged, kSetAsidePrefix + damaged));
    } else if (succeeded(files_.append(kTemporaryName, result.intact_prefix)) &&
               succeeded(files_.sync(kTemporaryName))) {
        succeeded(files_.rename(kTemporaryName, damaged));
    }
    if (!failed()) succeeded(files_.sync_names());
}

}  // namespace ochrehub::store
