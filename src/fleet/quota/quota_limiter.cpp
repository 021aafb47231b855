#include "fleet/quota/quota_limiter.h"

#include <cmath>
#include <cstddef>

namespace ochrehub::quota {
namespace {

std::int64_t micros(Duration length) {
    return std::int64_t(std::floor(length.count() * 1000));
}
Amount over(Amount rate, Duration length) {
    Amount carry = 0;
    return accrued(rate, micros(length), carry);
}
constexpr Duration kUp{150}, kDown{600};  // how fast what is measured follows what is asked for
constexpr Amount kLeast = kUnit / 1000;   // of a demand that is any

}  // namespace

QuotaLimiter::QuotaLimiter(const QuotaLimiterSettings& settings)
    : set_(settings), shards_(new Shard[kShards]) {
    set_.timing.settle = std::clamp(set_.timing.settle, 0, int(kTurns) - 1);
}

void QuotaLimiter::configure(const std::vector<Budget>& budgets) {
    for (Entry& entry : entries_) entry.gone = true;
    for (const Budget& b : budgets) {
        auto [at, fresh] = names_.try_emplace(b.partner, std::uint32_t(entries_.size()));
        if (fresh) entries_.emplace_back();
        Entry& entry = entries_[at->second];
        entry.partner = b.partner, entry.gone = false, entry.dearest = b.dearest();
        entry.floors = !b.floors.empty();
        entry.costs.clear();
        for (const std::string& kind : set_.kinds) entry.costs.push_back(b.cost(kind));
    }
    std::size_t size = 16;
    while (size < entries_.size() * 2) size *= 2;
    slots_.assign(size, {});
    for (std::uint32_t i = 0; i < entries_.size(); ++i) {
        std::size_t hash = Hash()(entries_[i].partner), at = hash;
        while (slots_[at & (size - 1)].number != 0) ++at;
        slots_[at & (size - 1)] = {hash, i + 1};
    }
}

/// Of a partner that was not here for a while nothing is in the caches: all of it is fetched at once, not
/// line by line.
void QuotaLimiter::fetch(const Entry& entry) {
    for (std::size_t line = 0; line < sizeof(Entry); line += 64)
        __builtin_prefetch(reinterpret_cast<const char*>(&entry) + line);
}

std::optional<std::uint32_t> QuotaLimiter::find(std::string_view partner) const {
    if (slots_.empty()) return std::nullopt;
    std::size_t hash = Hash()(partner), mask = slots_.size() - 1;
    for (std::size_t at = hash; slots_[at & mask].number != 0; ++at) {
        const Slot& slot = slots_[at & mask];
        if (slot.hash != hash) continue;
        const Entry& entry = entries_[slot.number - 1];
        fetch(entry);
        if (entry.partner == partner) return entry.gone ? std::nullopt : std::optional(slot.number - 1);
    }
    return std::nullopt;
}

bool QuotaLimiter::spend(TimePoint now, Purse& purse, Amount cost, Charge& receipt) {
    if (!purse.pot.take(now, cost)) return false;
    purse.pot.count_spent(cost);
    purse.untold[purse.turn % kTurns] += cost;
    receipt.lease_ = purse.pot.lease(), receipt.turn_ = purse.turn, receipt.cost_ = cost;
    return true;
}

QuotaLimiter::Outcome QuotaLimiter::charge(TimePoint now, std::uint32_t partner, int kind) {
    Entry& entry = entries_[partner];
    fetch(entry);
    auto lock = locked(partner);
    Amount cost =
        kind >= 0 && std::size_t(kind) < entry.costs.size() ? entry.costs[std::size_t(kind)] : kUnit;
    entry.offered += cost;
    entry.last = now;
    bool frozen = entry.shared.pot.frozen();
    Charge receipt;
    receipt.partner_ = partner;
    receipt.floor_ = entry.floors && !frozen && spend(now, entry.floor, cost, receipt);
    bool allowed = receipt.floor_ || (!frozen && spend(now, entry.shared, cost, receipt));
    // By its use, what is left does not last until an ask from now would be answered.
    Amount left = entry.shared.pot.balance(now) + (entry.floors ? entry.floor.pot.balance(now) : 0);
    bool dries = !entry.dry && !frozen && (!allowed || left < over(entry.demand, set_.timing.ask / 2)) &&
                 now - entry.asked >= set_.timing.ask / 5;
    entry.dry = entry.dry || dries;
    ++(allowed ? entry.counts.allowed : entry.counts.refused);
    Duration back = allowed ? Duration{} : slot(now, entry, cost);
    lock.unlock();
    if (dries) {
        std::unique_lock asks(asks_);
        dry_.push_back(partner);
        early_.store(true, std::memory_order_relaxed);
    }
    if (allowed) return receipt;
    return Rejection{frozen ? Error::Frozen : Error::Exhausted, back};
}

/// Each that is refused is told a moment of its own, as far apart as this node's part lets them in. More than
/// fit before the last moment are strewn over the later half, each where the gaps are widest.
Duration QuotaLimiter::slot(TimePoint now, Entry& entry, Amount cost) {
    Amount share = entry.floor.pot.share() + entry.shared.pot.share();
    Duration apart = share > 0 ? Duration{double(cost) / double(share) * 1000} : set_.back_least;
    TimePoint at = std::max(entry.next_slot, now + set_.back_least);
    if (at + apart <= now + set_.back_most) {
        entry.next_slot = at + apart;
        return at - now;
    }
    entry.strewn += 0x9e3779b97f4a7c15;  // the golden part of all there is
    return set_.back_most * (0.5 + 0.5 * double(entry.strewn >> 11) * 0x1p-53);
}

bool QuotaLimiter::give_back(TimePoint now, Charge receipt) {
    if (!receipt) return false;
    auto lock = locked(receipt.partner_);
    Entry& entry = entries_[receipt.partner_];
    Purse& purse = receipt.floor_ ? entry.floor : entry.shared;
    Amount& untold = purse.untold[receipt.turn_ % kTurns];
    if (purse.pot.lease() != receipt.lease_ ||
        receipt.turn_ + std::uint64_t(set_.timing.settle) < purse.turn || untold < receipt.cost_ ||
        !purse.pot.live(now)) {
        ++entry.counts.forfeited;
        return false;
    }
    untold -= receipt.cost_;
    purse.pot.count_spent(-receipt.cost_);
    purse.pot.put_back(receipt.cost_);
    ++entry.counts.given_back;
    return true;
}

void QuotaLimiter::measure(TimePoint now, Entry& entry) {
    Duration passed = now - entry.measured;
    if (passed < set_.timing.ask / 5) return;
    std::int64_t length = std::max<std::int64_t>(1, micros(std::min(passed, Duration{10'000})));
    Amount rate = std::min(kMaxAmount,
                           entry.offered / length * 1'000'000 + entry.offered % length * 1'000'000 / length);
    std::int64_t follows = micros(rate > entry.demand ? kUp : kDown);
    entry.demand +=
        std::int64_t(double(rate - entry.demand) * double(std::min(length, follows)) / double(follows));
    entry.offered = 0, entry.measured = now;
    if (now - entry.last > set_.timing.linger || entry.last == TimePoint{})
        entry.demand = 0;
    else
        entry.demand = std::max(entry.demand, kLeast);
}

void QuotaLimiter::line(TimePoint now, const Entry& entry, Purse& purse, bool floor, bool turns,
                        std::vector<BorrowRequestLine>& lines) {
    purse.pot.look(now);
    Amount demand = entry.demand;
    if (!floor && entry.floors) demand = std::max<Amount>(0, demand - entry.floor.pot.share());
    Amount keeps = demand == 0 ? 0 : over(demand, set_.timing.cover) + 2 * entry.dearest;
    if (purse.pot.recalled() || purse.pot.frozen()) keeps = 0;
    purse.pot.give_up(purse.pot.balance(now) - keeps);
    if (turns) purse.untold[++purse.turn % kTurns] = 0;
    // Charges of older turns than may be given back count as spent from here on.
    for (std::uint64_t back = std::uint64_t(set_.timing.settle) + 1; back < kTurns && back <= purse.turn;
         ++back)
        purse.untold[(purse.turn - back) % kTurns] = 0;
    bool idle = demand == 0 && purse.pot.balance(now) == 0 && purse.told() == purse.pot.spent();
    purse.idle = idle ? purse.idle + 1 : 0;
    if (idle && (purse.pot.lease() == 0 || purse.idle > 3)) return;
    lines.push_back(
        {{entry.partner, floor}, purse.pot.lease(), purse.told(), purse.pot.returned(), demand, 0});
}

BorrowRequest QuotaLimiter::ask(TimePoint now, bool all) {
    BorrowRequest ask{set_.instance, 0, {}};
    std::vector<std::uint32_t> dry;
    {
        std::unique_lock lock(asks_);
        early_.store(false, std::memory_order_relaxed);
        dry.swap(dry_);
        ask.seq = ++seq_;
        asked_[ask.seq] = now;
        while (asked_.size() > 256) asked_.erase(asked_.begin());
    }
    auto add = [&](std::uint32_t partner) {
        auto lock = locked(partner);
        Entry& entry = entries_[partner];
        if (entry.last == TimePoint{}) return;  // never asked for here
        measure(now, entry);
        entry.dry = false;
        entry.asked = now;
        if (entry.floors) line(now, entry, entry.floor, true, all, ask.lines);
        line(now, entry, entry.shared, false, all, ask.lines);
    };
    if (all)
        for (std::uint32_t i = 0; i < entries_.size(); ++i) add(i);
    else
        for (std::uint32_t i : dry) add(i);
    return ask;
}

void QuotaLimiter::answered(TimePoint now, const BorrowResponse& answer) {
    if (answer.instance != set_.instance) return;
    TimePoint asked;
    {
        std::unique_lock lock(asks_);
        auto found = asked_.find(answer.seq);
        if (found == asked_.end()) return;
        asked = found->second;
    }
    for (const BorrowResponseLine& l : answer.lines) {
        auto named = names_.find(l.account.partner);
        if (named == names_.end()) continue;
        auto lock = locked(named->second);
        Purse& purse = l.account.floor ? entries_[named->second].floor : entries_[named->second].shared;
        if (purse.pot.answered(now, asked, answer.seq, l, set_.timing) == BorrowedBudget::Taken::Anew)
            purse.untold.fill(0);
    }
}

PartnerCounters QuotaLimiter::counts(TimePoint now, std::uint32_t partner) const {
    auto lock = locked(partner);
    const Entry& entry = entries_[partner];
    PartnerCounters counts = entry.counts;
    counts.spent = entry.floor.pot.spent() + entry.shared.pot.spent();
    counts.balance = entry.floor.pot.balance(now) + entry.shared.pot.balance(now);
    counts.share = entry.floor.pot.share() + entry.shared.pot.share();
    counts.demand = entry.demand;
    return counts;
}

std::vector<std::string> QuotaLimiter::partners() const {
    std::vector<std::string> names;
    for (const Entry& entry : entries_)
        if (!entry.gone) names.push_back(entry.partner);
    return names;
}

}  // namespace ochrehub::quota
