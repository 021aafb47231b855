#include "fleet/schema_migration/owner.h"

#include <algorithm>

namespace ochrehub::schema_migration {

void Owner::handle(TimePoint now, const OwnerEvent& event, OwnerActions& actions) {
    now_ = now;
    std::visit([&](const auto& e) { on(e); }, event);
    if (owns_ && now_ >= until_) owns_ = false;  // whatever it was that it had in hand
    act(actions);
}

void Owner::on(const Told& told) {
    const wire::News& news = told.news;
    const wire::Status& status = news.migration();
    // Answers come late and out of order: one that is behind what is known says nothing.
    if (status.id() < status_.id() ||
        (status.id() == status_.id() &&
         (status.revision() < status_.revision() || status.epoch() < status_.epoch())))
        return;
    until_ = std::max(until_, told.until);
    asks_ = set_.willing && news.asked() && !news.refused();
    bool anew = status.id() != status_.id() || status.revision() != status_.revision() ||
                status.epoch() != status_.epoch();
    bool owns = news.mine() && !news.refused() && works(Stage(status.stage()));
    if (owns && (anew || !owns_)) {
        shards_.assign(status.shards(), {});
        at_ = 0;
    }
    status_ = status;
    owns_ = owns;
    for (std::uint32_t i = 0; owns && i < status.shards() && i / 8 < status.done().size(); ++i)
        if (std::uint8_t(status.done()[i / 8]) >> (i % 8) & 1)
            shards_[i].done = true, shards_[i].said.reset();
}

void Owner::on(const Replied& replied) {
    const wire::Reply& reply = replied.reply;
    if (!owns_ || reply.migration() != status_.id() || reply.epoch() != status_.epoch() ||
        reply.revision() != status_.revision() || reply.shard() >= shards_.size())
        return;
    load_ = reply.load() / 100.0;
    Shard& shard = shards_[reply.shard()];
    if (shard.done || shard.said) return;
    shard.out = false;
    shard.next = now_;
    if (!reply.error()) {
        std::uint64_t groups = reply.counts().groups();
        if (shard.looked && groups > shard.groups)
            next_order_ = std::max(next_order_, now_) + pause(groups - shard.groups);
        shard.groups = groups;
        shard.looked = true, shard.failed = 0;
        if (!reply.done()) return;
        wire::Did& did = *shard.said.emplace().mutable_did();
        did.set_migration(reply.migration()), did.set_epoch(reply.epoch()),
            did.set_revision(reply.revision());
        did.set_shard(reply.shard());
        *did.mutable_counts() = reply.counts();
        return;
    }
    Error error = from_wire(reply.error());
    if (error == Error::Stale) {  // somebody owns it who came later: the keepers will say so
        owns_ = false;
        return;
    }
    Duration wait = std::min(set_.again_most, set_.again * double(1 << std::min(shard.failed, 10)));
    shard.next = now_ + wait;
    if (row(error).passes && ++shard.failed < set_.tries) return;
    shard.failed = 0;
    wire::Trouble& trouble = *shard.said.emplace().mutable_trouble();
    trouble.set_migration(reply.migration()), trouble.set_epoch(reply.epoch()),
        trouble.set_revision(reply.revision());
    trouble.set_shard(reply.shard());
    trouble.set_error(reply.error()), trouble.set_about(reply.about());
}

/// As long as so many groups may take at the pace of now.
Duration Owner::pause(std::uint64_t groups) const {
    double part = 1 - (load_ - set_.yields_from) / std::max(0.001, set_.yields_to - set_.yields_from);
    return Duration{1000 * double(groups) / (set_.per_s * std::clamp(part, set_.least, 1.0))};
}

void Owner::order(std::uint32_t number, OwnerActions& actions) {
    Shard& shard = shards_[number];
    wire::Order order;
    order.set_migration(status_.id()), order.set_epoch(status_.epoch()),
        order.set_revision(status_.revision());
    order.set_kind(status_.kind()), order.set_shard(number), order.set_from(status_.from()),
        order.set_to(status_.to());
    order.set_stage(status_.stage()), order.set_most(shard.looked ? set_.batch : 0);
    shard.out = true, shard.next = now_ + set_.patience;
    ++orders_;
    actions.emplace_back(Give{std::move(order)});
}

void Owner::act(OwnerActions& actions) {
    if (asks_ && !owns_ && (!asked_once_ || now_ >= asked_ + set_.patience)) {
        asked_once_ = true, asked_ = now_;
        wire::Command want;
        want.mutable_want();
        actions.emplace_back(Propose{std::move(want)});
    }
    if (!owns_) {
        if (asks_) actions.emplace_back(WakeAt{asked_ + set_.patience});
        return;
    }
    TimePoint next = until_;
    std::size_t out = 0;
    for (Shard& shard : shards_) {
        if (shard.out && now_ >= shard.next)
            shard.out = shard.looked = false;  // whether it was done is asked first
        if (shard.out) ++out, next = std::min(next, shard.next);
        if (!shard.said) continue;
        if (now_ >= shard.next) {
            actions.emplace_back(Propose{*shard.said});
            shard.next = now_ + set_.patience;
            if (shard.said->has_trouble()) shard.said.reset();  // once: what they think of it, they tell
        }
        next = std::min(next, shard.next);
    }
    if (!status_.paused()) {
        for (std::uint32_t i = 0, size = std::uint32_t(shards_.size()); i < size && out < set_.window; ++i) {
            std::uint32_t number = (at_ + i) % size;
            Shard& shard = shards_[number];
            if (shard.done || shard.out || shard.said) continue;
            if (now_ < shard.next) {
                next = std::min(next, shard.next);
                continue;
            }
            if (shard.looked && now_ < next_order_) {
                next = std::min(next, next_order_);
                continue;
            }
            order(number, actions);
            at_ = number;  // it goes on with this one while it may: a shard at a time is what is compared
                           // soonest
            ++out;
            next = std::min(next, shard.next);
        }
    }
    actions.emplace_back(WakeAt{next});
}

}  // namespace ochrehub::schema_migration
