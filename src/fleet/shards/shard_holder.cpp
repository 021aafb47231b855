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
    wire::Ask ask;
};
// A write that has its version and waits until all who must have it do.
struct ShardHolder::PendingWrite {
    Prepared prepared;
    ClientRequest asked;
    TimePoint prepared_at{};
    std::vector<std::pair<SessionId, std::uint64_t>> needs;  // step of a stream
};
// A stream to the second holder, or to the one that is being filled.
struct ShardHolder::CopyStream {
    SessionId who = 0;
    std::uint64_t since = 0;  // as the map has it
    std::uint64_t stream = 0, version = 0;
    bool keeps = false;
    std::deque<wire::Step> steps;  // those behind `acked`
    std::uint64_t acked = 0, sent = 0;
    std::optional<std::size_t> page = 0;  // where the next one begins; nothing: there is none
    std::uint64_t page_end = 0;           // step that ends the last one
    bool synced = false;                  // has all that was there: every write waits for it from now on
    std::uint64_t synced_at = 0;          // the last step that no write has waited for
    TimePoint resend{}, proposed{};
    std::uint64_t last() const { return acked + steps.size(); }
    std::uint64_t add(wire::Step step) {
        steps.push_back(std::move(step));
        return last();
    }
    bool ready() const { return synced && acked >= synced_at; }
};
struct ShardHolder::LocalShard {
    ShardAssignment entry;
    std::uint64_t seen = 0;  // the newest view that anybody has named
    Role role = Role::None;
    std::uint64_t origin = 0;
    bool whole = false;         // all of that origin's contents are here
    TimePoint unknown_until{};  // what is not here may have been lost
    // As first:
    std::vector<CopyStream> targets;
    std::deque<PendingWrite> pending;
    std::map<Key, std::deque<ClientRequest>> busy;  // keys with a pending write, and who waits behind it
    std::size_t queued = 0;
    bool yielding = false;
    TimePoint yield_proposed{};
    // As a copy:
    SessionId from = 0;
    std::uint64_t stream = 0, upto = 0;
};
struct ShardHolder::Outbox {
    std::map<SessionId, wire::Message> holders;
    std::map<RequesterId, wire::Message> peers;
    std::vector<std::string> proposals;
    bool news = false;
};

ShardHolder::ShardHolder(const Settings& settings, Table& table)
    : set_(settings), table_(table), parts_(table.shards()), out_(std::make_unique<Outbox>()) {}
ShardHolder::~ShardHolder() = default;
bool ShardHolder::mine(std::uint32_t n) const {
    return n < parts_.size() && n % set_.parts == set_.part;
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
                leaving_ = true, proposed_ = {};
            else {
                look(now);
                actions.push_back(SetTimer{now + set_.tick});
            }
        },
        event);
    flush(actions);
}

bool ShardHolder::free() const {
    for (const ShardAssignment& entry : map_.entries)
        for (SessionId who : {entry.primary, entry.backup, entry.catching_up})
            if (who != 0 && who == session_) return false;
    return true;
}

// ---- The session and the map

void ShardHolder::renewed(TimePoint now, const SessionRenewed& event) {
    if (event.session != session_) {
        if (event.session < session_) return;  // late word of one that is over
        reset();
        session_ = event.session;
    }
    valid_until_ = std::max(valid_until_, event.until);
    ShardMap map;
    if (!event.news.empty()) {
        if (!decode(event.news, map) || map.entries.size() != parts_.size())
            ++counts_.malformed;
        else if (map.number >= map_.number) {
            map_ = std::move(map);
            for (std::uint32_t n = 0; n < parts_.size(); ++n)
                if (mine(n)) take(now, n, map_.entries[n]);
        }
    }
    look(now);
}

void ShardHolder::reset() {
    for (std::uint32_t n = 0; n < parts_.size(); ++n) {
        if (!mine(n)) continue;
        drop(n, parts_[n]);
        parts_[n] = {};
    }
    session_ = 0;
    valid_until_ = proposed_ = {};
}

void ShardHolder::take(TimePoint now, std::uint32_t n, const ShardAssignment& entry) {
    LocalShard& part = parts_[n];
    if (entry.view < part.seen) return;
    if (entry.view != part.entry.view) part.yielding = false;
    part.seen = entry.view;
    part.entry = entry;
    if (entry.primary == session_) {
        become_first(now, n, part);
    } else if (entry.backup == session_ || entry.catching_up == session_) {
        if (part.role == Role::Primary) step_down(part);
    } else if (part.role != Role::None) {
        drop(n, part);
    }
}

void ShardHolder::become_first(TimePoint now, std::uint32_t n, LocalShard& part) {
    const ShardAssignment& entry = part.entry;
    if (part.role != Role::Primary) {
        if (part.origin != entry.origin || !part.whole) {
            // Its contents begin here. Versions are above all that were given in any view before. A part of a
            // copy is no contents: the keepers name nobody first who has no more, and if they did, it would
            // be told as a loss.
            bool lost = entry.lost || (part.role == Role::Replica && part.origin == entry.origin);
            drop(n, part);
            table_.clear(n, entry.origin << 32);
            part.origin = entry.origin;
            part.whole = true;
            part.unknown_until = lost ? now + table_.settings().life : TimePoint{};
            counts_.lost += lost;
        }
        part.role = Role::Primary;
        part.from = part.stream = part.upto = 0;
    }
    std::erase_if(part.targets, [&](const CopyStream& t) {
        return !(t.who == entry.backup && t.since == entry.backup_since) &&
               !(t.who == entry.catching_up && t.since == entry.catching_up_since);
    });
    auto there = [&](SessionId who) {
        return std::any_of(part.targets.begin(), part.targets.end(),
                           [who](const CopyStream& t) { return t.who == who; });
    };
    // A second without a stream is the first of the view before, which had all when it yielded.
    if (entry.backup != 0 && !there(entry.backup)) begin(n, part, entry.backup, entry.backup_since, true);
    if (entry.catching_up != 0 && !there(entry.catching_up))
        begin(n, part, entry.catching_up, entry.catching_up_since, false);
}

void ShardHolder::step_down(LocalShard& part) {
    for (PendingWrite& p : part.pending) table_.abandon(p.prepared);
    for (auto& [key, waiting] : part.busy)
        for (const ClientRequest& asked : waiting) answer(asked, Error::NotPrimary);  // these never ran
    part.pending.clear();
    part.busy.clear();
    part.queued = 0;
    part.targets.clear();
    part.yielding = false;
    part.role = Role::Replica;
}

void ShardHolder::drop(std::uint32_t n, LocalShard& part) {
    if (part.role == Role::Primary) step_down(part);
    if (part.role != Role::None) table_.clear(n);
    part.role = Role::None;
    part.origin = part.from = part.stream = part.upto = 0;
    part.whole = false;
    part.unknown_until = {};
}

// ---- Messages

void ShardHolder::received(TimePoint now, const MessageReceived& event) {
    wire::Message message;
    if (!message.ParseFromArray(event.body.data(), int(event.body.size()))) {
        ++counts_.malformed;
        return;
    }
    for (wire::Ask& a : *message.mutable_asks()) ask(now, {event.from, std::move(a)});

    for (const wire::Copy& c : message.copies()) {
        if (c.to() != session_ || session_ == 0 || !mine(c.shard())) continue;  // to another life
        LocalShard& part = parts_[c.shard()];
        wire::Copied& reply = *out_->holders[c.from()].add_copied();
        reply.set_shard(c.shard());
        reply.set_from(session_);
        reply.set_to(c.from());
        reply.set_stream(c.stream());
        if (c.view() < part.seen || (part.role == Role::Primary && c.view() <= part.entry.view)) {
            ++counts_.older;
            reply.set_view(part.seen);
            reply.set_older(true);
            continue;
        }
        part.seen = c.view();
        reply.set_view(part.seen);
        if (part.role == Role::Primary) step_down(part);  // it has yielded, and this is the view behind that
        std::uint64_t number = c.number();
        if (part.from != c.from() || part.stream != c.stream()) {
            bool begins = number == 1 && c.steps_size() > 0 && c.steps(0).what() == wire::Step::BEGIN;
            bool kept = part.whole && part.origin == c.origin();
            if (!begins || (part.from == c.from() && c.stream() < part.stream) || (c.keeps() && !kept))
                continue;
            if (!c.keeps()) {
                drop(c.shard(), part);
                table_.clear(c.shard(), c.version());
                part.origin = c.origin();
            }
            part.role = Role::Replica;
            part.from = c.from();
            part.stream = c.stream();
            part.upto = 0;
            part.unknown_until = c.unknown() > 0 ? now + Duration(c.unknown()) * 1.02 : TimePoint{};
        }
        for (const wire::Step& step : c.steps()) {
            if (number++ != part.upto + 1) continue;  // it is there, or one before it is not
            ++part.upto;
            Record record;
            if (step.what() == wire::Step::END) part.whole = true;
            if (!step.has_record()) continue;
            if (!from_wire(step.record(), record) || table_.shard_of(record.kind, record.key) != c.shard())
                ++counts_.malformed;
            else if (step.what() == wire::Step::ERASE)
                table_.erase_copy(record.kind, record.key, record.version);
            else
                table_.copy(record, now);
        }
        reply.set_upto(part.upto);
    }

    for (const wire::Copied& c : message.copied()) {
        if (c.to() != session_ || session_ == 0 || !mine(c.shard())) continue;
        LocalShard& part = parts_[c.shard()];
        part.seen = std::max(part.seen, c.view());  // above its own: it stops until it has heard of that view
        out_->news |= part.seen > part.entry.view;
        if (c.older() || part.role != Role::Primary) continue;
        for (CopyStream& target : part.targets) {
            if (target.who != c.from() || target.stream != c.stream() || c.upto() <= target.acked ||
                c.upto() > target.last())
                continue;
            target.steps.erase(target.steps.begin(),
                               target.steps.begin() + std::ptrdiff_t(c.upto() - target.acked));
            target.acked = c.upto();
            target.sent = std::max(target.sent, target.acked);
            target.resend = now + set_.resend;
        }
        pump(now, c.shard(), part);
        complete(now, c.shard(), part);
    }
}

// ---- Asks

void ShardHolder::answer(const ClientRequest& asked, std::optional<Error> error, const Record* record,
                         std::uint64_t version) {
    wire::Answer& a = *out_->peers[asked.from].add_answers();
    a.set_id(asked.ask.id());
    a.set_shard(asked.ask.shard());
    a.set_holder(session_);
    a.set_version(version);
    if (record) to_wire(*record, *a.mutable_record());
    if (error) {
        a.set_error(std::uint32_t(*error));
        ++counts_.refused;
    }
    if (!mine(asked.ask.shard())) return;
    const ShardAssignment& entry = parts_[asked.ask.shard()].entry;
    a.set_view(entry.view);
    if (error && asked.ask.view() != entry.view) to_wire(asked.ask.shard(), entry, *a.mutable_entry());
}

void ShardHolder::ask(TimePoint now, const ClientRequest& asked) {
    ++counts_.asks;
    const wire::Ask& a = asked.ask;
    Record record;
    if (!mine(a.shard()) || !from_wire(a.record(), record) ||
        table_.shard_of(record.kind, record.key) != a.shard())
        return answer(asked, Error::Malformed);
    if (!serving(now)) return answer(asked, Error::SessionExpired);
    LocalShard& part = parts_[a.shard()];
    if (a.view() > part.entry.view || part.seen > part.entry.view) {
        out_->news = true;
        return answer(asked, Error::NewerView);
    }
    if (a.view() < part.entry.view) return answer(asked, Error::OlderView);
    if (part.role != Role::Primary || part.yielding) return answer(asked, Error::NotPrimary);
    if (auto busy = part.busy.find(Key(record.kind, record.key)); busy != part.busy.end()) {
        if (part.queued >= set_.waiting) return answer(asked, Error::Busy);
        ++part.queued;
        busy->second.push_back(asked);
        return;
    }
    execute(now, part, asked);
    complete(now, a.shard(), part);
    pump(now, a.shard(), part);
}

void ShardHolder::execute(TimePoint now, LocalShard& part, const ClientRequest& asked) {
    const wire::Ask& a = asked.ask;
    Write write;
    if (!from_wire(a.record(), write.record)) return answer(asked, Error::Malformed);
    Record found;
    bool unknown = now < part.unknown_until && (!a.writes() || a.has_expect()) &&
                   !table_.find(write.record.kind, write.record.key, now, found);
    if (unknown) return answer(asked, Error::BothHoldersLost);
    if (!a.writes()) {
        bool there = table_.find(write.record.kind, write.record.key, now, found);
        return answer(asked, {}, there ? &found : nullptr);
    }
    if (part.pending.size() >= set_.waiting) return answer(asked, Error::Busy);
    if (a.has_expect()) write.expect = a.expect();
    write.erase = a.erases();
    PendingWrite pending;
    Outcome outcome = table_.prepare(write, now, pending.prepared);
    if (outcome.error) return answer(asked, outcome.error, outcome.current ? &*outcome.current : nullptr);
    pending.asked = asked;
    pending.prepared_at = now;
    part.busy.try_emplace(Key(write.record.kind, write.record.key));
    for (CopyStream& target : part.targets) enter(pending, target, now);
    part.pending.push_back(std::move(pending));
}

/// What all who must have it have is done, answered, and lets those behind it go on.
void ShardHolder::complete(TimePoint now, std::uint32_t, LocalShard& part) {
    while (!part.pending.empty() && serving(now) && part.seen <= part.entry.view) {
        for (const CopyStream& target : part.targets) {
            if (target.who != part.entry.backup && !target.synced) continue;
            for (const auto& [who, step] : part.pending.front().needs)
                if (who == target.who && step > target.acked) return;
        }
        PendingWrite pending = std::move(part.pending.front());
        part.pending.pop_front();
        Key key(pending.prepared.record.kind, pending.prepared.record.key);
        std::uint64_t version = pending.prepared.record.version;
        table_.commit(std::move(pending.prepared), pending.prepared_at);
        answer(pending.asked, {}, nullptr, version);
        auto waiting = std::move(part.busy.find(key)->second);
        part.busy.erase(key);
        while (!waiting.empty()) {
            --part.queued;
            execute(now, part, waiting.front());
            waiting.pop_front();
            if (auto again = part.busy.find(key); again != part.busy.end()) {
                again->second = std::move(waiting);
                break;
            }
        }
    }
}

// ---- Streams

void ShardHolder::begin(std::uint32_t n, LocalShard& part, SessionId who, std::uint64_t since, bool keeps) {
    ++counts_.streams;
    CopyStream target;
    target.who = who;
    target.since = since;
    target.stream = ++streams_;
    target.keeps = keeps;
    target.version = table_.version(n);
    target.add({});  // BEGIN
    if (keeps) {
        target.page.reset();
        target.synced = true;
        target.synced_at = 1;
    }
    for (PendingWrite& pending : part.pending) enter(pending, target, pending.prepared_at);
    part.targets.push_back(std::move(target));
}

void ShardHolder::enter(PendingWrite& pending, CopyStream& target, TimePoint) {
    wire::Step step;
    step.set_what(pending.prepared.erase ? wire::Step::ERASE : wire::Step::PUT);
    to_wire(pending.prepared.record, *step.mutable_record());
    std::uint64_t number = target.add(std::move(step));
    std::erase_if(pending.needs, [&](const auto& need) { return need.first == target.who; });
    pending.needs.emplace_back(target.who, number);
}

void ShardHolder::next_page(TimePoint now, std::uint32_t n, LocalShard& part, CopyStream& target) {
    std::vector<Record> records;
    target.page = table_.for_shard(n, set_.page, *target.page, now, records);
    ++counts_.pages;
    for (const Record& record : records) {
        if (part.busy.contains(Key(record.kind, record.key)))
            continue;  // its write is in the stream, and newer
        wire::Step step;
        step.set_what(wire::Step::PAGE);
        to_wire(record, *step.mutable_record());
        target.add(std::move(step));
    }
    if (!target.page) {
        wire::Step end;
        end.set_what(wire::Step::END);
        target.add(std::move(end));
    }
    target.page_end = target.last();
}

void ShardHolder::pump(TimePoint now, std::uint32_t n, LocalShard& part) {
    if (part.role != Role::Primary || !serving(now) || part.seen > part.entry.view) return;
    for (std::size_t i = 0; i < part.targets.size(); ++i) {
        if (!part.targets[i].synced && part.targets[i].steps.size() > set_.stream) {
            // It does not keep up, and what waits for it is bounded.
            SessionId who = part.targets[i].who;
            std::uint64_t since = part.targets[i].since;
            part.targets.erase(part.targets.begin() + std::ptrdiff_t(i--));
            ++counts_.begun_anew;
            begin(n, part, who, since, false);
            continue;
        }
        CopyStream& target = part.targets[i];
        if (target.page && target.acked >= target.page_end) next_page(now, n, part, target);
        if (!target.synced && !target.page && target.acked >= target.page_end) {
            target.synced = true;
            target.synced_at = target.last();
        }
        if (target.ready() && target.who == part.entry.catching_up && now >= target.proposed) {
            target.proposed = now + set_.propose;
            out_->proposals.push_back(ShardMapPlanner::caught_up_command(n, part.entry.view));
        }
        send(now, n, part, target);
    }
    if (part.entry.stepping_down && !part.yielding) part.yielding = true, part.yield_proposed = {};
    if (!part.yielding || !part.pending.empty() || now < part.yield_proposed) return;
    bool all = std::all_of(part.targets.begin(), part.targets.end(), [&](const CopyStream& t) {
        return t.who != part.entry.backup || t.steps.empty();
    });
    if (all && part.entry.backup != 0) {
        part.yield_proposed = now + set_.propose;
        out_->proposals.push_back(ShardMapPlanner::stepped_down_command(n, part.entry.view));
    }
}

void ShardHolder::send(TimePoint now, std::uint32_t n, LocalShard& part, CopyStream& target) {
    if (target.sent > target.acked && now >= target.resend) {
        target.sent = target.acked;
        ++counts_.resent;
    }
    while (target.sent < target.last() && target.sent - target.acked < set_.ahead) {
        if (target.sent == target.acked) target.resend = now + set_.resend;
        wire::Copy& copy = *out_->holders[target.who].add_copies();
        copy.set_shard(n);
        copy.set_view(part.entry.view);
        copy.set_from(session_);
        copy.set_to(target.who);
        copy.set_origin(part.origin);
        copy.set_stream(target.stream);
        copy.set_number(target.sent + 1);
        copy.set_keeps(target.keeps);
        copy.set_version(target.version);
        if (part.unknown_until > now) copy.set_unknown((part.unknown_until - now).count());
        for (std::size_t i = 0; i < set_.batch && target.sent < target.last(); ++i)
            *copy.add_steps() = target.steps[std::size_t(target.sent++ - target.acked)];
    }
}

void ShardHolder::look(TimePoint now) {
    if (session_ == 0) return;
    for (std::uint32_t n = 0; n < parts_.size(); ++n) {
        if (!mine(n)) continue;
        LocalShard& part = parts_[n];
        if (part.role != Role::None) table_.expire(n, now, set_.sweep);
        pump(now, n, part);
        complete(now, n, part);
    }
    if (!serving(now) || now < proposed_ || set_.part != 0) return;
    auto place = map_.holders.find(session_);
    if (leaving_ ? place != map_.holders.end() && !place->second.leaving : place == map_.holders.end()) {
        proposed_ = now + set_.propose;
        out_->proposals.push_back(leaving_ ? ShardMapPlanner::leave_command()
                                           : ShardMapPlanner::offer_command(set_.address));
    }
}

void ShardHolder::flush(Actions& actions) {
    for (auto& [to, message] : out_->holders) actions.push_back(SendMessage{to, message.SerializeAsString()});
    for (auto& [to, message] : out_->peers) actions.push_back(SendResponse{to, message.SerializeAsString()});
    for (std::string& body : out_->proposals) actions.push_back(SubmitCommand{std::move(body)});
    if (std::exchange(out_->news, false)) actions.push_back(QueryMap{});
    out_->holders.clear(), out_->peers.clear(), out_->proposals.clear();
}

}  // namespace ochrehub::shards
