#include "fleet/schema_migration/owner.h"

#include <algorithm>

namespace ochrehub::schema_migration {

void Owner::handle(TimePoint now, const OwnerEvent& event, OwnerActions& actions) {
    now_ = now;
    std::visit([&](const auto& e) { handle_event(e); }, event);
    if (is_owner_ && now_ >= until_) is_owner_ = false;  // the session has expired
    produce_actions(actions);
}

void Owner::handle_event(const NewsReceived& event) {
    const wire::News& news = event.news;
    const wire::Status& status = news.migration();
    // Responses may be late and out of order: older ones than the known state are ignored.
    if (status.id() < status_.id() ||
        (status.id() == status_.id() &&
         (status.revision() < status_.revision() || status.epoch() < status_.epoch())))
        return;
    until_ = std::max(until_, event.until);
    wants_ownership_ = settings_.can_own && news.asked() && !news.refused();
    bool is_new_stage = status.id() != status_.id() || status.revision() != status_.revision() ||
                        status.epoch() != status_.epoch();
    bool owns = news.mine() && !news.refused() && works(Stage(status.stage()));
    if (owns && (is_new_stage || !is_owner_)) {
        shards_.assign(status.shards(), {});
        current_shard_ = 0;
    }
    status_ = status;
    is_owner_ = owns;
    for (std::uint32_t i = 0; owns && i < status.shards() && i / 8 < status.done().size(); ++i)
        if (std::uint8_t(status.done()[i / 8]) >> (i % 8) & 1)
            shards_[i].done = true, shards_[i].pending_report.reset();
}

void Owner::handle_event(const ReplyReceived& event) {
    const wire::Reply& reply = event.reply;
    if (!is_owner_ || reply.migration() != status_.id() || reply.epoch() != status_.epoch() ||
        reply.revision() != status_.revision() || reply.shard() >= shards_.size())
        return;
    load_ = reply.load() / 100.0;
    Shard& shard = shards_[reply.shard()];
    if (shard.done || shard.pending_report) return;
    shard.is_order_pending = false;
    shard.next_at = now_;
    if (!reply.error()) {
        std::uint64_t groups = reply.counts().groups();
        if (shard.is_state_known && groups > shard.groups)
            next_order_ = std::max(next_order_, now_) + pacing_delay(groups - shard.groups);
        shard.groups = groups;
        shard.is_state_known = true, shard.failures = 0;
        if (!reply.done()) return;
        wire::Did& did = *shard.pending_report.emplace().mutable_did();
        did.set_migration(reply.migration()), did.set_epoch(reply.epoch()),
            did.set_revision(reply.revision());
        did.set_shard(reply.shard());
        *did.mutable_counts() = reply.counts();
        return;
    }
    Error error = from_wire(reply.error());
    if (error == Error::Stale) {  // there is a later owner; the coordinators' news will confirm it
        is_owner_ = false;
        return;
    }
    Duration wait = std::min(settings_.max_retry_delay,
                             settings_.initial_retry_delay * double(1 << std::min(shard.failures, 10)));
    shard.next_at = now_ + wait;
    if (row(error).passes && ++shard.failures < settings_.max_attempts) return;
    shard.failures = 0;
    wire::Trouble& trouble = *shard.pending_report.emplace().mutable_trouble();
    trouble.set_migration(reply.migration()), trouble.set_epoch(reply.epoch()),
        trouble.set_revision(reply.revision());
    trouble.set_shard(reply.shard());
    trouble.set_error(reply.error()), trouble.set_about(reply.about());
}

/// The time for this number of groups at the current pace.
Duration Owner::pacing_delay(std::uint64_t groups) const {
    double pace = 1 - (load_ - settings_.slowdown_start_load) /
                          std::max(0.001, settings_.slowdown_end_load - settings_.slowdown_start_load);
    return Duration{1000 * double(groups) /
                    (settings_.groups_per_second * std::clamp(pace, settings_.min_pace, 1.0))};
}

void Owner::send_order(std::uint32_t number, OwnerActions& actions) {
    Shard& shard = shards_[number];
    wire::Order order;
    order.set_migration(status_.id()), order.set_epoch(status_.epoch()),
        order.set_revision(status_.revision());
    order.set_kind(status_.kind()), order.set_shard(number), order.set_from(status_.from()),
        order.set_to(status_.to());
    order.set_stage(status_.stage()), order.set_most(shard.is_state_known ? settings_.groups_per_order : 0);
    shard.is_order_pending = true, shard.next_at = now_ + settings_.response_timeout;
    ++orders_sent_;
    actions.emplace_back(SendOrder{std::move(order)});
}

void Owner::produce_actions(OwnerActions& actions) {
    if (wants_ownership_ && !is_owner_ &&
        (!has_requested_ || now_ >= requested_at_ + settings_.response_timeout)) {
        has_requested_ = true, requested_at_ = now_;
        wire::Command want;
        want.mutable_want();
        actions.emplace_back(SubmitCommand{std::move(want)});
    }
    if (!is_owner_) {
        if (wants_ownership_) actions.emplace_back(SetTimer{requested_at_ + settings_.response_timeout});
        return;
    }
    TimePoint next = until_;
    std::size_t pending_orders = 0;
    for (Shard& shard : shards_) {
        if (shard.is_order_pending && now_ >= shard.next_at)
            shard.is_order_pending = shard.is_state_known =
                false;  // first query whether the order was executed
        if (shard.is_order_pending) ++pending_orders, next = std::min(next, shard.next_at);
        if (!shard.pending_report) continue;
        if (now_ >= shard.next_at) {
            actions.emplace_back(SubmitCommand{*shard.pending_report});
            shard.next_at = now_ + settings_.response_timeout;
            if (shard.pending_report->has_trouble())
                shard.pending_report.reset();  // sent once; the coordinators' news shows its effect
        }
        next = std::min(next, shard.next_at);
    }
    if (!status_.paused()) {
        for (std::uint32_t i = 0, size = std::uint32_t(shards_.size());
             i < size && pending_orders < settings_.max_concurrent_shards; ++i) {
            std::uint32_t number = (current_shard_ + i) % size;
            Shard& shard = shards_[number];
            if (shard.done || shard.is_order_pending || shard.pending_report) continue;
            if (now_ < shard.next_at) {
                next = std::min(next, shard.next_at);
                continue;
            }
            if (shard.is_state_known && now_ < next_order_) {
                next = std::min(next, next_order_);
                continue;
            }
            send_order(number, actions);
            current_shard_ =
                number;  // continues with the same shard while possible, so that shards complete early
            ++pending_orders;
            next = std::min(next, shard.next_at);
        }
    }
    actions.emplace_back(SetTimer{next});
}

}  // namespace ochrehub::schema_migration
