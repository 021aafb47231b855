#include "fleet/shards/shard_client.h"

#include <algorithm>

#include "fleet/shards/wire.h"

namespace ochrehub::shards {
namespace {

/// Spreads request ids over 64 bits, so that those of two processes don't collide.
std::uint64_t mixed(std::uint64_t x) {
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
    return x ^ (x >> 31);
}

}  // namespace

ShardClient::ShardClient(const Settings& settings)
    : set_(settings), random_(unsigned(mixed(settings.instance)) | 64u) {
    map_.entries.resize(set_.shard_count);
}

void ShardClient::handle(TimePoint now, const Event& event, Actions& actions) {
    std::visit(
        [&](const auto& e) {
            using E = std::decay_t<decltype(e)>;
            if constexpr (std::is_same_v<E, Request>) {
                if (open_.contains(e.id) || open_.size() >= set_.max_open_requests) {
                    Completed done;
                    done.id = e.id, done.error = Error::Busy;
                    actions.push_back(std::move(done));
                    return;
                }
                auto& open = *open_.try_emplace(e.id).first;
                open.second.request = e;
                open.second.request.write.record.request =
                    mixed(set_.instance + ++number_ * 0x9e3779b97f4a7c15ull);
                open.second.shard =
                    std::uint32_t(shard_of(e.write.record.kind, e.write.record.key, set_.shard_count));
                route(now, open, actions);
            } else if constexpr (std::is_same_v<E, MessageReceived>) {
                received(now, e.body, actions);
            } else if constexpr (std::is_same_v<E, MapReceived>) {
                ShardMap map;
                if (!decode(e.map, map) || map.entries.size() != map_.entries.size())
                    ++counts_.malformed;
                else if (map.number >= map_.number) {
                    std::vector<ShardAssignment> known = std::move(map_.entries);
                    map_ = std::move(map);
                    // Holders may have reported newer assignments than the coordinators' map has.
                    for (std::uint32_t n = 0; n < known.size(); ++n) adopt(n, known[n]);
                }
            }
        },
        event);
    fire_timers(now, actions);
}

void ShardClient::adopt(std::uint32_t shard, const ShardAssignment& entry) {
    if (entry.view > map_.entries[shard].view) map_.entries[shard] = entry;
}

void ShardClient::set_due(OpenRequests::value_type& open, TimePoint at) {
    due_.erase({open.second.due, open.first});
    open.second.due = std::min(at, open.second.request.deadline);
    due_.emplace(open.second.due, open.first);
}

void ShardClient::route(TimePoint now, OpenRequests::value_type& open, Actions& actions) {
    SessionId primary = map_.entries[open.second.shard].primary;
    if (primary == 0) return retry_later(now, open);
    open.second.state = State::Queued;
    std::vector<std::uint64_t>& queue = queued_[primary];
    queue.push_back(open.first);
    set_due(open, open.second.request.deadline);
    if (queue.size() >= set_.max_batch)
        flush(now, primary, actions);
    else if (!flush_at_)
        flush_at_ = now + set_.batch_delay;
}

void ShardClient::retry_later(TimePoint now, OpenRequests::value_type& open) {
    open.second.state = State::AwaitingRetry;
    id_by_number_.erase(std::exchange(open.second.number, 0));
    Duration backoff =
        std::min(set_.initial_backoff * double(1 << std::min(open.second.attempts++, 10)), set_.max_backoff);
    set_due(open, now + backoff * (0.5 + 0.5 * double(random_()) * 0x1p-32));
    ++counts_.retries;
}

void ShardClient::flush(TimePoint now, SessionId to, Actions& actions) {
    auto queue = queued_.find(to);
    wire::Message message;
    for (std::uint64_t id : queue->second) {
        auto found = open_.find(id);
        if (found == open_.end() || found->second.state != State::Queued) continue;
        OpenRequest& open = found->second;
        open.state = State::Sent;
        open.number = ++number_;
        id_by_number_[open.number] = id;
        wire::Ask& ask = *message.add_asks();
        ask.set_id(open.number);
        ask.set_shard(open.shard);
        ask.set_view(map_.entries[open.shard].view);
        to_wire(open.request.write.record, *ask.mutable_record());
        ask.set_writes(open.request.writes);
        ask.set_erases(open.request.write.erase);
        if (open.request.write.expected_version) ask.set_expect(*open.request.write.expected_version);
        // Any other write is sent once, and waits for its response until the deadline.
        bool is_repeatable = !open.request.writes || open.request.write.expected_version.value_or(0) != 0 ||
                             (open.request.write.expected_version && open.request.never_erased);
        set_due(*found, is_repeatable ? now + set_.response_timeout : open.request.deadline);
        ++counts_.requests;
    }
    queued_.erase(queue);
    if (message.asks_size() == 0) return;
    ++counts_.messages;
    actions.push_back(SendMessage{to, message.SerializeAsString()});
}

void ShardClient::finish(OpenRequests::iterator open, Completed done, Actions& actions) {
    id_by_number_.erase(open->second.number);
    due_.erase({open->second.due, open->first});
    open_.erase(open);
    actions.push_back(std::move(done));
}

void ShardClient::received(TimePoint now, std::string_view body, Actions& actions) {
    wire::Message message;
    if (!message.ParseFromArray(body.data(), int(body.size()))) {
        ++counts_.malformed;
        return;
    }
    for (const wire::Answer& a : message.answers()) {
        if (a.has_entry() && a.entry().shard() < map_.entries.size())
            adopt(a.entry().shard(), from_wire(a.entry()));
        auto number = id_by_number_.find(a.id());
        if (number == id_by_number_.end()) continue;
        auto it = open_.find(number->second);
        OpenRequest& open = it->second;
        Completed done;
        done.id = it->first, done.version = a.version(), done.view = a.view(), done.holder = a.holder();
        if (a.error() > std::uint32_t(kErrors)) {
            ++counts_.malformed;
            continue;
        }
        if (a.error() != 0) done.error = Error(a.error());
        if (a.has_record() && !from_wire(a.record(), done.record.emplace())) {
            ++counts_.malformed;
            continue;
        }
        switch (done.error.value_or(Error::Unknown)) {
            case Error::NotPrimary:
            case Error::OlderView:
            case Error::NewerView:
            case Error::SessionExpired:
            case Error::Busy:  // this attempt was not executed; an earlier one may have been
                retry_later(now, *it);
                continue;
            case Error::Changed:
                // The current record may be the result of an earlier attempt of this request.
                if (done.record && done.record->request == open.request.write.record.request) {
                    done.error.reset();
                    done.version = done.record->version;
                    done.record.reset();
                } else if (open.may_have_executed) {
                    done.error = Error::Unknown;
                }
                break;
            default:
                if (done.error && open.may_have_executed) done.error = Error::Unknown;
        }
        finish(it, std::move(done), actions);
    }
}

void ShardClient::fire_timers(TimePoint now, Actions& actions) {
    while (!due_.empty() && due_.begin()->first <= now) {
        auto it = open_.find(due_.begin()->second);
        OpenRequest& open = it->second;
        bool was_sent_write = open.state == State::Sent && open.request.writes;
        if (now >= open.request.deadline) {
            Completed done;
            done.id = it->first;
            done.error = open.may_have_executed || was_sent_write ? Error::Unknown : Error::Unavailable;
            finish(it, std::move(done), actions);
        } else if (open.state == State::Sent) {
            open.may_have_executed |= was_sent_write;
            retry_later(now, *it);
        } else {
            route(now, *it, actions);
        }
    }
    if (flush_at_ && *flush_at_ <= now) {
        flush_at_.reset();
        while (!queued_.empty()) flush(now, queued_.begin()->first, actions);
    }
    std::optional<TimePoint> at = flush_at_;
    if (!due_.empty()) at = at ? std::min(*at, due_.begin()->first) : due_.begin()->first;
    if (at) actions.push_back(SetTimer{*at});
}

}  // namespace ochrehub::shards
