// Opening a log and writing to it.
#include "fleet/store/log.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace ochrehub::store {
namespace {

RecoveryResult combined_result(bool data_lost, bool torn, bool any_file) {
    if (data_lost) return RecoveryResult::DataLost;
    if (torn) return RecoveryResult::TornTail;
    return any_file ? RecoveryResult::Intact : RecoveryResult::Empty;
}

}  // namespace

Log::Log(Files& files, const Settings& settings) : files_(files), settings_(settings) {
    if (Error error = files_.lock())
        throw StoreError(error == EWOULDBLOCK ? std::string("the directory is locked by another process")
                                              : std::string("LOCK: ") + std::strerror(error));
    ReadResult result;
    read(result);
    recovery_result_ = combined_result(result.data_lost, result.torn, result.any_file);
    if (result.data_lost) mark_data_lost();
    set_aside_damage(result);
    if (!begin_segment()) throw StoreError(segment_name_ + ": " + std::strerror(failure_));
}

Log::Log(Files& files, const Settings& settings, ReadResult& result) : files_(files), settings_(settings) {
    read(result);
}

Log::Report Log::verify(Files& files, const Settings& settings) {
    ReadResult result;
    Log log(files, settings, result);
    Report report;
    report.data_lost = result.data_lost;
    report.text = result.report + "entries " + std::to_string(log.first_index()) + " to " +
                  std::to_string(log.last_index()) + ", term " + std::to_string(log.hard_state_.term) + ": ";
    if (result.data_lost)
        report.text += "LOST: synced data is missing\n";
    else if (result.torn)
        report.text += "sound except for a torn tail that was never synced\n";
    else
        report.text += "sound\n";
    return report;
}

bool Log::succeeded(Error error) {
    if (error != 0 && failure_ == 0) failure_ = error;
    return failure_ == 0;
}

bool Log::remove_if_exists(const std::string& name) {
    Error error = files_.remove(name);
    return error == 0 || error == ENOENT || succeeded(error);
}

std::uint64_t Log::term_at(std::uint64_t index) const {
    if (index >= first_index_ && index <= last_index()) return entry(index).term;
    bool in_snapshot = snapshot_ && snapshot_->last_included_index == index;
    return in_snapshot ? snapshot_->last_included_term : 0;
}

// ---- Changes

void Log::add_record(Record record) {
    if (record.data.size() > settings_.max_record_bytes)
        throw std::length_error("a record of " + std::to_string(record.data.size()) +
                                " bytes; the limit is " + std::to_string(settings_.max_record_bytes));
    record.number = ++last_number_;
    record.synced_number = synced_number_;
    pending_ += encode(record, settings_.cluster_fingerprint);
}

void Log::append(Entry entry) {
    Record record;
    record.kind = RecordKind::Entry;
    record.index = last_index() + 1;
    record.term = entry.term;
    record.data = entry.data;
    add_record(record);
    entries_.push_back(std::move(entry));
}

void Log::truncate(std::uint64_t from) {
    Record record;
    record.kind = RecordKind::Truncation;
    record.index = from;
    add_record(record);
    while (!entries_.empty() && last_index() >= from) entries_.pop_back();
}

void Log::set_hard_state(HardState hard_state) {
    Record record;
    record.kind = RecordKind::HardState;
    record.term = hard_state.term;
    record.data = hard_state.voted_for;
    add_record(record);
    hard_state_ = std::move(hard_state);
}

bool Log::sync() {
    if (failed()) return false;
    if (pending_.empty()) return true;
    if (!succeeded(files_.append(segment_name_, pending_))) return false;
    if (!succeeded(files_.sync(segment_name_))) return false;
    segment_size_ += pending_.size();
    segments_.back().max_index = std::max(segments_.back().max_index, last_index());
    pending_.clear();
    synced_number_ = last_number_;
    return segment_size_ < settings_.segment_bytes || begin_segment();
}

/// Each segment begins with the hard state, so that older ones can be removed.
bool Log::begin_segment() {
    if (failed()) return false;
    std::string held = std::exchange(pending_, file_header(settings_.cluster_fingerprint));
    segment_name_ = store::segment_name(last_number_ + 1);
    // A file of this name can only be a segment that was never completed.
    if (!remove_if_exists(segment_name_)) return false;
    std::erase_if(segments_, [this](const Segment& segment) { return segment.name == segment_name_; });
    set_hard_state(hard_state_);
    if (!succeeded(files_.append(segment_name_, pending_))) return false;
    if (!succeeded(files_.sync(segment_name_))) return false;
    if (!succeeded(files_.sync_names())) return false;
    segment_size_ = pending_.size();
    segments_.push_back({segment_name_, 0});
    pending_ = std::move(held);
    synced_number_ = last_number_;
    return true;
}

// ---- Snapshots

bool Log::save_snapshot(Snapshot snapshot) {
    std::uint64_t index = snapshot.last_included_index;
    // Entries of another history than the snapshot's don't continue it.
    bool conflicts =
        index >= first_index_ && index <= last_index() && entry(index).term != snapshot.last_included_term;
    if (conflicts) truncate(index + 1);
    if (!sync()) return false;
    Record record;
    record.index = index;
    record.term = snapshot.last_included_term;
    record.data = snapshot.data;
    std::string file = file_header(settings_.cluster_fingerprint);
    file += encode(record, settings_.cluster_fingerprint);
    if (!remove_if_exists(kTemporaryName)) return false;
    if (!succeeded(files_.append(kTemporaryName, file))) return false;
    if (!succeeded(files_.sync(kTemporaryName))) return false;
    if (!succeeded(files_.rename(kTemporaryName, snapshot_name(index)))) return false;
    bool replaces = snapshot_ && snapshot_->last_included_index != index;
    std::string old_snapshot = replaces ? snapshot_name(snapshot_->last_included_index) : "";
    while (!entries_.empty() && first_index_ <= index) {
        entries_.pop_front();
        ++first_index_;
    }
    first_index_ = index + 1;
    snapshot_ = std::move(snapshot);
    return begin_segment() && drop_unneeded_files(old_snapshot);
}

/// Only after the new snapshot and a segment that continues it are durable.
bool Log::drop_unneeded_files(const std::string& old_snapshot) {
    if (!old_snapshot.empty() && !succeeded(files_.remove(old_snapshot))) return false;
    while (segments_.size() > 1 && segments_.front().max_index <= snapshot_->last_included_index) {
        if (!succeeded(files_.remove(segments_.front().name))) return false;
        segments_.pop_front();
    }
    return succeeded(files_.sync_names());
}

// ---- Lost data

bool Log::mark_data_lost() {
    recovery_result_ = RecoveryResult::DataLost;
    return succeeded(files_.append(kDataLostMarkName, "x")) && succeeded(files_.sync(kDataLostMarkName)) &&
           succeeded(files_.sync_names());
}

bool Log::mark_recovered() {
    if (recovery_result_ != RecoveryResult::DataLost) return !failed();
    if (!sync() || !remove_if_exists(kDataLostMarkName)) return false;
    if (!succeeded(files_.sync_names())) return false;
    recovery_result_ = RecoveryResult::Intact;
    return true;
}

}  // namespace ochrehub::store
