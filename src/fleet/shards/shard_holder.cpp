#include "fleet/shards/shard_holder.h"

#include <algorithm>
#include <utility>

#include "fleet/shards/wire.h"

namespace ochrehub::shards {
namespace {

using Key = std::pair<std::uint16_t, std::string>;

}  // namespace

struct ShardHolder::ClientRequest {
    RequesterId from = 0;
    wire::Ask message;
};
// A prepared write that waits until every required holder has acknowledged it.
struct ShardHolder::PendingWrite {
    Prepared prepared;
    ClientRequest request;
    TimePoint prepared_at{};
    std::vector<std::pair<SessionId, std::uint64_t>> needs;  // receiver and step number of its stream
};
// A stream of steps to the backup, or to the holder that catches up.
struct ShardHolder::CopyStream {
    SessionId receiver = 0;
    std::uint64_t assigned_view = 0;  // backup_since or catching_up_since of the map
    std::uint64_t stream = 0, version = 0;
    bool keeps_contents = false;
    std::deque<wire::Step> steps;  // the ones after `acked`
    std::uint64_t acked = 0, sent = 0;
    std::optional<std::size_t> next_page_from = 0;  // position in the table; nothing: all pages were read
    std::uint64_t page_end = 0;                     // number of the last step of the last page
    bool synced = false;  // all pages are acknowledged: from now on every write waits for this receiver
    std::uint64_t synced_at =
        0;  // the last step when `synced` was set; no write waited for the steps up to it
    TimePoint resend_at{}, proposed_at{};
    std::uint64_t last() const { return acked + steps.size(); }
    std::uint64_t add(wire::Step step) {
        steps.push_back(std::move(step));
        return last();
    }
    bool is_caught_up() const { return synced && acked >= synced_at; }
};
struct ShardHolder::LocalShard {
    ShardAssignment assignment;
    std::uint64_t newest_view = 0;  // the newest view in the map or in any message
    Role role = Role::None;
    std::uint64_t origin = 0;
    bool is_complete = false;   // the table has all contents since `origin`
    TimePoint unknown_until{};  // until then, a missing record may have been lost
    // As primary:
    std::vector<CopyStream> streams;
    std::deque<PendingWrite> pending;
    std::map<Key, std::deque<ClientRequest>> busy_keys;  // requests that wait, by the key of a pending write
    std::size_t queued_requests = 0;
    bool is_stepping_down = false;
    TimePoint step_down_proposed_at{};
    // As backup, or while catching up:
    SessionId stream_source = 0;
    std::uint64_t stream = 0, received_up_to = 0;
};
struct ShardHolder::Outbox {
    std::map<SessionId, wire::Message> holders;
    std::map<RequesterId, wire::Message> peers;
    std::vector<std::string> proposals;
    bool needs_map = false;
};

ShardHolder::ShardHolder(const Settings& settings, Table& table)
    : set_(settings), table_(table), shards_(table.shards()), out_(std::make_unique<Outbox>()) {}
ShardHolder::~ShardHolder() = default;
bool ShardHolder::is_local(std::uint32_t n) const {
    return n < shards_.size() && n % set_.worker_count == set_.worker_index;
}

void ShardHolder::handle(TimePoint now, const Event& event, Actions& actions) {
    std::visit(
        [&](const auto& e) {
            using E = std::decay_t<decltype(e)>;
            if constexpr (std::is_same_v<E, SessionRenewed>)
                renewed(now, e);
            else if constexpr (std::is_same_v<E, SessionExpired>)
                reset();
            else if constexpr (std::is_same_v<E, MessageReceived>)
                received(now, e);
            else if constexpr (std::is_same_v<E, Leave>)
                leaving_ = true, proposed_at_ = {};
            else {
                tick(now);
                actions.push_back(SetTimer{now + set_.tick_interval});
            }
        },
        event);
    flush(actions);
}

bool ShardHolder::is_released() const {
    for (const ShardAssignment& entry : map_.entries)
        for (SessionId who : {entry.primary, entry.backup, entry.catching_up})
            if (who != 0 && who == session_) return false;
    return true;
}

// Session and map

void ShardHolder::renewed(TimePoint now, const SessionRenewed& event) {
    if (event.session != session_) {
        if (event.session < session_) return;  // a late event of an expired session
        reset();
        session_ = event.session;
    }
    valid_until_ = std::max(valid_until_, event.until);
    ShardMap map;
    if (!event.map.empty()) {
        if (!decode(event.map, map) || map.entries.size() != shards_.size())
            ++counts_.malformed;
        else if (map.number >= map_.number) {
            map_ = std::move(map);
            for (std::uint32_t n = 0; n < shards_.size(); ++n)
                if (is_local(n)) apply_assignment(now, n, map_.entries[n]);
        }
    }
    tick(now);
}

void ShardHolder::reset() {
    for (std::uint32_t n = 0; n < shards_.size(); ++n) {
        if (!is_local(n)) continue;
        drop(n, shards_[n]);
        shards_[n] = {};
    }
    session_ = 0;
    valid_until_ = proposed_at_ = {};
}

void ShardHolder::apply_assignment(TimePoint now, std::uint32_t n, const ShardAssignment& entry) {
    LocalShard& shard = shards_[n];
    if (entry.view < shard.newest_view) return;
    if (entry.view != shard.assignment.view) shard.is_stepping_down = false;
    shard.newest_view = entry.view;
    shard.assignment = entry;
    if (entry.primary == session_) {
        become_primary(now, n, shard);
    } else if (entry.backup == session_ || entry.catching_up == session_) {
        if (shard.role == Role::Primary) step_down(shard);
    } else if (shard.role != Role::None) {
        drop(n, shard);
    }
}

void ShardHolder::become_primary(TimePoint now, std::uint32_t n, LocalShard& shard) {
    const ShardAssignment& entry = shard.assignment;
    if (shard.role != Role::Primary) {
        if (shard.origin != entry.origin || !shard.is_complete) {
            // The shard starts empty. Its versions are above all that were assigned in earlier views. An
            // incomplete copy isn't used: the coordinators make no holder primary that has one, and if they
            // did, it would be reported as a loss.
            bool lost = entry.lost || (shard.role == Role::Replica && shard.origin == entry.origin);
            drop(n, shard);
            table_.clear(n, entry.origin << 32);
            shard.origin = entry.origin;
            shard.is_complete = true;
            shard.unknown_until = lost ? now + table_.settings().max_lifetime : TimePoint{};
            counts_.lost += lost;
        }
        shard.role = Role::Primary;
        shard.stream_source = shard.stream = shard.received_up_to = 0;
    }
    std::erase_if(shard.streams, [&](const CopyStream& t) {
        return !(t.receiver == entry.backup && t.assigned_view == entry.backup_since) &&
               !(t.receiver == entry.catching_up && t.assigned_view == entry.catching_up_since);
    });
    auto has_stream = [&](SessionId who) {
        return std::any_of(shard.streams.begin(), shard.streams.end(),
                           [who](const CopyStream& t) { return t.receiver == who; });
    };
    // A backup without a stream was the primary of the view before, which had all records when it stepped
    // down.
    if (entry.backup != 0 && !has_stream(entry.backup))
        start_stream(n, shard, entry.backup, entry.backup_since, true);
    if (entry.catching_up != 0 && !has_stream(entry.catching_up))
        start_stream(n, shard, entry.catching_up, entry.catching_up_since, false);
}

void ShardHolder::step_down(LocalShard& shard) {
    for (PendingWrite& p : shard.pending) table_.abandon(p.prepared);
    for (auto& [key, waiting] : shard.busy_keys)
        for (const ClientRequest& request : waiting)
            respond(request, Error::NotPrimary);  // these were never executed
    shard.pending.clear();
    shard.busy_keys.clear();
    shard.queued_requests = 0;
    shard.streams.clear();
    shard.is_stepping_down = false;
    shard.role = Role::Replica;
}

void ShardHolder::drop(std::uint32_t n, LocalShard& shard) {
    if (shard.role == Role::Primary) step_down(shard);
    if (shard.role != Role::None) table_.clear(n);
    shard.role = Role::None;
    shard.origin = shard.stream_source = shard.stream = shard.received_up_to = 0;
    shard.is_complete = false;
    shard.unknown_until = {};
}

// Messages

void ShardHolder::received(TimePoint now, const MessageReceived& event) {
    wire::Message message;
    if (!message.ParseFromArray(event.body.data(), int(event.body.size()))) {
        ++counts_.malformed;
        return;
    }
    for (wire::Ask& a : *message.mutable_asks()) handle_request(now, {event.from, std::move(a)});

    for (const wire::Copy& c : message.copies()) {
        if (c.to() != session_ || session_ == 0 || !is_local(c.shard())) continue;  // to an earlier session
        LocalShard& shard = shards_[c.shard()];
        wire::Copied& reply = *out_->holders[c.from()].add_copied();
        reply.set_shard(c.shard());
        reply.set_from(session_);
        reply.set_to(c.from());
        reply.set_stream(c.stream());
        if (c.view() < shard.newest_view ||
            (shard.role == Role::Primary && c.view() <= shard.assignment.view)) {
            ++counts_.older_view;
            reply.set_view(shard.newest_view);
            reply.set_older(true);
            continue;
        }
        shard.newest_view = c.view();
        reply.set_view(shard.newest_view);
        if (shard.role == Role::Primary) step_down(shard);  // it has stepped down, and this is the next view
        std::uint64_t number = c.number();
        if (shard.stream_source != c.from() || shard.stream != c.stream()) {
            bool begins = number == 1 && c.steps_size() > 0 && c.steps(0).what() == wire::Step::BEGIN;
            bool kept = shard.is_complete && shard.origin == c.origin();
            if (!begins || (shard.stream_source == c.from() && c.stream() < shard.stream) ||
                (c.keeps() && !kept))
                continue;
            if (!c.keeps()) {
                drop(c.shard(), shard);
                table_.clear(c.shard(), c.version());
                shard.origin = c.origin();
            }
            shard.role = Role::Replica;
            shard.stream_source = c.from();
            shard.stream = c.stream();
            shard.received_up_to = 0;
            shard.unknown_until = c.unknown() > 0 ? now + Duration(c.unknown()) * 1.02 : TimePoint{};
        }
        for (const wire::Step& step : c.steps()) {
            if (number++ != shard.received_up_to + 1)
                continue;  // already received, or an earlier step is missing
            ++shard.received_up_to;
            Record record;
            if (step.what() == wire::Step::END) shard.is_complete = true;
            if (!step.has_record()) continue;
            if (!from_wire(step.record(), record) || table_.shard_of(record.kind, record.key) != c.shard())
                ++counts_.malformed;
            else if (step.what() == wire::Step::ERASE)
                table_.erase_copy(record.kind, record.key, record.version);
            else
                table_.copy(record, now);
        }
        reply.set_upto(shard.received_up_to);
    }

    for (const wire::Copied& c : message.copied()) {
        if (c.to() != session_ || session_ == 0 || !is_local(c.shard())) continue;
        LocalShard& shard = shards_[c.shard()];
        shard.newest_view = std::max(
            shard.newest_view, c.view());  // if above its own, it stops serving until it receives that view
        out_->needs_map |= shard.newest_view > shard.assignment.view;
        if (c.older() || shard.role != Role::Primary) continue;
        for (CopyStream& stream : shard.streams) {
            if (stream.receiver != c.from() || stream.stream != c.stream() || c.upto() <= stream.acked ||
                c.upto() > stream.last())
                continue;
            stream.steps.erase(stream.steps.begin(),
                               stream.steps.begin() + std::ptrdiff_t(c.upto() - stream.acked));
            stream.acked = c.upto();
            stream.sent = std::max(stream.sent, stream.acked);
            stream.resend_at = now + set_.resend_after;
        }
        advance_streams(now, c.shard(), shard);
        complete(now, c.shard(), shard);
    }
}

// Requests

void ShardHolder::respond(const ClientRequest& request, std::optional<Error> error, const Record* record,
                          std::uint64_t version) {
    wire::Answer& a = *out_->peers[request.from].add_answers();
    a.set_id(request.message.id());
    a.set_shard(request.message.shard());
    a.set_holder(session_);
    a.set_version(version);
    if (record) to_wire(*record, *a.mutable_record());
    if (error) {
        a.set_error(std::uint32_t(*error));
        ++counts_.rejected;
    }
    if (!is_local(request.message.shard())) return;
    const ShardAssignment& entry = shards_[request.message.shard()].assignment;
    a.set_view(entry.view);
    if (error && request.message.view() != entry.view)
        to_wire(request.message.shard(), entry, *a.mutable_entry());
}

void ShardHolder::handle_request(TimePoint now, const ClientRequest& request) {
    ++counts_.requests;
    const wire::Ask& a = request.message;
    Record record;
    if (!is_local(a.shard()) || !from_wire(a.record(), record) ||
        table_.shard_of(record.kind, record.key) != a.shard())
        return respond(request, Error::Malformed);
    if (!is_serving(now)) return respond(request, Error::SessionExpired);
    LocalShard& shard = shards_[a.shard()];
    if (a.view() > shard.assignment.view || shard.newest_view > shard.assignment.view) {
        out_->needs_map = true;
        return respond(request, Error::NewerView);
    }
    if (a.view() < shard.assignment.view) return respond(request, Error::OlderView);
    if (shard.role != Role::Primary || shard.is_stepping_down) return respond(request, Error::NotPrimary);
    if (auto busy = shard.busy_keys.find(Key(record.kind, record.key)); busy != shard.busy_keys.end()) {
        if (shard.queued_requests >= set_.max_waiting_writes) return respond(request, Error::Busy);
        ++shard.queued_requests;
        busy->second.push_back(request);
        return;
    }
    execute(now, shard, request);
    complete(now, a.shard(), shard);
    advance_streams(now, a.shard(), shard);
}

void ShardHolder::execute(TimePoint now, LocalShard& shard, const ClientRequest& request) {
    const wire::Ask& a = request.message;
    Write write;
    if (!from_wire(a.record(), write.record)) return respond(request, Error::Malformed);
    Record found;
    bool unknown = now < shard.unknown_until && (!a.writes() || a.has_expect()) &&
                   !table_.find(write.record.kind, write.record.key, now, found);
    if (unknown) return respond(request, Error::BothHoldersLost);
    if (!a.writes()) {
        bool has_stream = table_.find(write.record.kind, write.record.key, now, found);
        return respond(request, {}, has_stream ? &found : nullptr);
    }
    if (shard.pending.size() >= set_.max_waiting_writes) return respond(request, Error::Busy);
    if (a.has_expect()) write.expected_version = a.expect();
    write.erase = a.erases();
    PendingWrite pending;
    Outcome outcome = table_.prepare(write, now, pending.prepared);
    if (outcome.error) return respond(request, outcome.error, outcome.current ? &*outcome.current : nullptr);
    pending.request = request;
    pending.prepared_at = now;
    shard.busy_keys.try_emplace(Key(write.record.kind, write.record.key));
    for (CopyStream& stream : shard.streams) append_to_stream(pending, stream, now);
    shard.pending.push_back(std::move(pending));
}

/// Commits the writes that every required holder has acknowledged, responds to them, and executes the
/// requests that waited for their keys.
void ShardHolder::complete(TimePoint now, std::uint32_t, LocalShard& shard) {
    while (!shard.pending.empty() && is_serving(now) && shard.newest_view <= shard.assignment.view) {
        for (const CopyStream& stream : shard.streams) {
            if (stream.receiver != shard.assignment.backup && !stream.synced) continue;
            for (const auto& [who, step] : shard.pending.front().needs)
                if (who == stream.receiver && step > stream.acked) return;
        }
        PendingWrite pending = std::move(shard.pending.front());
        shard.pending.pop_front();
        Key key(pending.prepared.record.kind, pending.prepared.record.key);
        std::uint64_t version = pending.prepared.record.version;
        table_.commit(std::move(pending.prepared), pending.prepared_at);
        respond(pending.request, {}, nullptr, version);
        auto waiting = std::move(shard.busy_keys.find(key)->second);
        shard.busy_keys.erase(key);
        while (!waiting.empty()) {
            --shard.queued_requests;
            execute(now, shard, waiting.front());
            waiting.pop_front();
            if (auto again = shard.busy_keys.find(key); again != shard.busy_keys.end()) {
                again->second = std::move(waiting);
                break;
            }
        }
    }
}

// Streams

void ShardHolder::start_stream(std::uint32_t n, LocalShard& shard, SessionId who, std::uint64_t since,
                               bool keeps) {
    ++counts_.streams;
    CopyStream stream;
    stream.receiver = who;
    stream.assigned_view = since;
    stream.stream = ++last_stream_;
    stream.keeps_contents = keeps;
    stream.version = table_.version(n);
    stream.add({});  // BEGIN
    if (keeps) {
        stream.next_page_from.reset();
        stream.synced = true;
        stream.synced_at = 1;
    }
    for (PendingWrite& pending : shard.pending) append_to_stream(pending, stream, pending.prepared_at);
    shard.streams.push_back(std::move(stream));
}

void ShardHolder::append_to_stream(PendingWrite& pending, CopyStream& stream, TimePoint) {
    wire::Step step;
    step.set_what(pending.prepared.erase ? wire::Step::ERASE : wire::Step::PUT);
    to_wire(pending.prepared.record, *step.mutable_record());
    std::uint64_t number = stream.add(std::move(step));
    std::erase_if(pending.needs, [&](const auto& need) { return need.first == stream.receiver; });
    pending.needs.emplace_back(stream.receiver, number);
}

void ShardHolder::read_next_page(TimePoint now, std::uint32_t n, LocalShard& shard, CopyStream& stream) {
    std::vector<Record> records;
    stream.next_page_from = table_.scan(n, set_.page_records, *stream.next_page_from, now, records);
    ++counts_.pages;
    for (const Record& record : records) {
        if (shard.busy_keys.contains(Key(record.kind, record.key)))
            continue;  // the pending write is already in the stream, and newer
        wire::Step step;
        step.set_what(wire::Step::PAGE);
        to_wire(record, *step.mutable_record());
        stream.add(std::move(step));
    }
    if (!stream.next_page_from) {
        wire::Step end;
        end.set_what(wire::Step::END);
        stream.add(std::move(end));
    }
    stream.page_end = stream.last();
}

void ShardHolder::advance_streams(TimePoint now, std::uint32_t n, LocalShard& shard) {
    if (shard.role != Role::Primary || !is_serving(now) || shard.newest_view > shard.assignment.view) return;
    for (std::size_t i = 0; i < shard.streams.size(); ++i) {
        if (!shard.streams[i].synced && shard.streams[i].steps.size() > set_.max_queued_steps) {
            // The receiver doesn't keep up, and its queue is limited.
            SessionId who = shard.streams[i].receiver;
            std::uint64_t since = shard.streams[i].assigned_view;
            shard.streams.erase(shard.streams.begin() + std::ptrdiff_t(i--));
            ++counts_.stream_restarts;
            start_stream(n, shard, who, since, false);
            continue;
        }
        CopyStream& stream = shard.streams[i];
        if (stream.next_page_from && stream.acked >= stream.page_end) read_next_page(now, n, shard, stream);
        if (!stream.synced && !stream.next_page_from && stream.acked >= stream.page_end) {
            stream.synced = true;
            stream.synced_at = stream.last();
        }
        if (stream.is_caught_up() && stream.receiver == shard.assignment.catching_up &&
            now >= stream.proposed_at) {
            stream.proposed_at = now + set_.command_retry;
            out_->proposals.push_back(ShardMapPlanner::caught_up_command(n, shard.assignment.view));
        }
        send_steps(now, n, shard, stream);
    }
    if (shard.assignment.stepping_down && !shard.is_stepping_down)
        shard.is_stepping_down = true, shard.step_down_proposed_at = {};
    if (!shard.is_stepping_down || !shard.pending.empty() || now < shard.step_down_proposed_at) return;
    bool all = std::all_of(shard.streams.begin(), shard.streams.end(), [&](const CopyStream& t) {
        return t.receiver != shard.assignment.backup || t.steps.empty();
    });
    if (all && shard.assignment.backup != 0) {
        shard.step_down_proposed_at = now + set_.command_retry;
        out_->proposals.push_back(ShardMapPlanner::stepped_down_command(n, shard.assignment.view));
    }
}

void ShardHolder::send_steps(TimePoint now, std::uint32_t n, LocalShard& shard, CopyStream& stream) {
    if (stream.sent > stream.acked && now >= stream.resend_at) {
        stream.sent = stream.acked;
        ++counts_.resent;
    }
    while (stream.sent < stream.last() && stream.sent - stream.acked < set_.max_unacked_steps) {
        if (stream.sent == stream.acked) stream.resend_at = now + set_.resend_after;
        wire::Copy& copy = *out_->holders[stream.receiver].add_copies();
        copy.set_shard(n);
        copy.set_view(shard.assignment.view);
        copy.set_from(session_);
        copy.set_to(stream.receiver);
        copy.set_origin(shard.origin);
        copy.set_stream(stream.stream);
        copy.set_number(stream.sent + 1);
        copy.set_keeps(stream.keeps_contents);
        copy.set_version(stream.version);
        if (shard.unknown_until > now) copy.set_unknown((shard.unknown_until - now).count());
        for (std::size_t i = 0; i < set_.batch_steps && stream.sent < stream.last(); ++i)
            *copy.add_steps() = stream.steps[std::size_t(stream.sent++ - stream.acked)];
    }
}

void ShardHolder::tick(TimePoint now) {
    if (session_ == 0) return;
    for (std::uint32_t n = 0; n < shards_.size(); ++n) {
        if (!is_local(n)) continue;
        LocalShard& shard = shards_[n];
        if (shard.role != Role::None) table_.expire(n, now, set_.max_expired_per_tick);
        advance_streams(now, n, shard);
        complete(now, n, shard);
    }
    if (!is_serving(now) || now < proposed_at_ || set_.worker_index != 0) return;
    auto place = map_.holders.find(session_);
    if (leaving_ ? place != map_.holders.end() && !place->second.leaving : place == map_.holders.end()) {
        proposed_at_ = now + set_.command_retry;
        out_->proposals.push_back(leaving_ ? ShardMapPlanner::leave_command()
                                           : ShardMapPlanner::offer_command(set_.address));
    }
}

void ShardHolder::flush(Actions& actions) {
    for (auto& [to, message] : out_->holders) actions.push_back(SendMessage{to, message.SerializeAsString()});
    for (auto& [to, message] : out_->peers) actions.push_back(SendResponse{to, message.SerializeAsString()});
    for (std::string& body : out_->proposals) actions.push_back(SubmitCommand{std::move(body)});
    if (std::exchange(out_->needs_map, false)) actions.push_back(QueryMap{});
    out_->holders.clear(), out_->peers.clear(), out_->proposals.clear();
}

}  // namespace ochrehub::shards
