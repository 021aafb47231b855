#include "fleet/quota/quota_allocator.h"

#include <cmath>

namespace ochrehub::quota {
namespace {

std::int64_t micros(TimePoint at) {
    return std::int64_t(std::floor(at.time_since_epoch().count() * 1000));
}
std::int64_t micros(Duration length) {
    return std::int64_t(std::floor(length.count() * 1000));
}
Amount over(Amount rate, Duration length) {
    Amount carry = 0;
    return accrued(rate, micros(length), carry);
}
/// Lengths of clocks that are too fast mint less than they say.
Amount cautious(Amount rate, const Timing& timing) {
    return rate - rate / 2000 * timing.drift;
}
/// Numbers that are not given twice by different instances.
std::uint64_t mixed(std::uint64_t x) {
    x += 0x9e3779b97f4a7c15;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9;
    x = (x ^ (x >> 27)) * 0x94d049bb133111eb;
    return (x ^ (x >> 31)) | 1;
}
constexpr Duration kShares{50};

}  // namespace

QuotaAllocator::QuotaAllocator(const QuotaAllocatorSettings& settings) : set_(settings) {}

void QuotaAllocator::handle(TimePoint now, const QuotaAllocatorEvent& event, QuotaAllocatorActions& actions) {
    // Before anything else: what has ended meanwhile has ended, however late this is looked at.
    if (owned_ && !owns(now)) on(now, OwnershipLost{}, actions);
    std::visit([&](const auto& e) { on(now, e, actions); }, event);
    flush(actions);
}

// ---- What is here

Amount QuotaAllocator::here(TimePoint now, const Tree& tree) const {
    return tree.root ? tree.here : tree.pot.balance(now);
}

/// What comes back; of a budget that has shrunk only what it still has room for.
void QuotaAllocator::bring(Tree& tree, Amount amount) {
    if (tree.root)
        tree.here += std::clamp<Amount>(tree.cap - tree.here - tree.lent_sum - tree.lost_sum, 0, amount);
    else
        tree.pot.put_back(amount);
}

void QuotaAllocator::mint(TimePoint now, Tree& tree) {
    std::int64_t at = micros(now);
    if (at <= tree.minted) return;
    // Longer than it takes to fill all of it makes no difference, and would not fit a number.
    std::int64_t passed = std::min<std::int64_t>(at - tree.minted, 3'600'000'000);
    tree.minted = at;
    Amount room = tree.cap - tree.here - tree.lent_sum - tree.lost_sum;
    Amount more = accrued(cautious(tree.rate, set_.timing), passed, tree.carry);
    if (tree.frozen || room <= 0 || now < waits_until_) return;
    tree.here += std::min(more, room);
}

void QuotaAllocator::lose(const Account& account, Tree& tree, const std::string& name, Child& child) {
    if (child.lent() > 0) {
        tree.lost.push_back({name, child.instance, child.lease, child.lent(), child.ends});
        tree.lost_sum += child.lent();
    } else {
        forget(account, tree, name, child.instance, child.lease);
    }
    tree.lent_sum -= child.lent();
    child.granted = child.spent = child.returned = 0;
    child.lease = 0;
}

void QuotaAllocator::forget(const Account& account, Tree& tree, const std::string& name,
                            std::uint64_t instance, std::uint64_t lease) {
    if (!durable(tree) || lease == 0) return;
    to_record_.erase({account, name});
    closed_.push_back({account, name, instance, lease, 0, 0, 0, true});
}

void QuotaAllocator::tick(TimePoint now, const Account& account, Tree& tree) {
    if (!tree.root && !tree.pot.live(now)) {
        // Nothing below outlives this; whatever was not told as spent is counted so.
        tree.pot.count_spent(tree.lent_sum + tree.lost_sum);
        tree.pot.look(now);
        for (auto& [name, child] : tree.children)
            child.granted = child.spent = child.returned = 0, child.lease = 0;
        tree.lost.clear();
        tree.lent_sum = tree.lost_sum = 0;
    }
    for (auto it = tree.children.begin(); it != tree.children.end();) {
        auto& [name, child] = *it;
        if (child.lease != 0 && child.ends <= now) lose(account, tree, name, child);
        if (child.lease == 0 && now - child.asked > set_.timing.lease * 2) {
            it = tree.children.erase(it);
            continue;
        }
        ++it;
    }
    std::erase_if(tree.lost, [&](const Lost& lost) {
        if (lost.ends > now) return false;
        tree.lost_sum -= lost.amount;
        if (!tree.root) tree.pot.count_spent(lost.amount);
        forget(account, tree, lost.child, lost.instance, lost.lease);
        return true;
    });
    if (tree.root) mint(now, tree);
    if (tree.recalling && tree.here + tree.lent_sum + tree.lost_sum <= tree.cap) tree.recalling = false;
}

// ---- Who gets how much

/// Weighted max-min of what comes in over what children are believed to need; what is left over by weight, so
/// that who grows need not ask first.
void QuotaAllocator::share_out(TimePoint now, Tree& tree) {
    Duration passed = now - tree.shared;
    if (passed < kShares) return;
    tree.shared = now;
    Amount income = tree.root ? tree.rate : tree.pot.share();
    Amount asked = 0;
    std::uint64_t weights = 0;
    std::vector<Child*> open;
    for (auto& [name, child] : tree.children) {
        if (child.demand == 0 || now - child.asked > set_.timing.lease) {
            child.share = child.believed = 0;
            continue;
        }
        asked += child.demand;
        weights += child.weight;
        open.push_back(&child);
    }
    // Where there is not enough for all, who asks for more than its fair part is believed four times what it
    // uses: it neither takes what others need by saying so, nor is it kept from growing.
    for (Child* child : open) {
        Amount fair = weights ? Amount(income / Amount(weights) * child->weight) : 0;
        child->believed = asked <= income
                              ? child->demand
                              : std::min(child->demand, std::max(fair, 4 * child->used) + tree.dearest);
    }
    std::vector<Child*> by_need = open;
    std::stable_sort(by_need.begin(), by_need.end(), [](const Child* a, const Child* b) {
        return a->believed / a->weight < b->believed / b->weight;
    });
    Amount left = income;
    std::uint64_t still = weights;
    for (Child* child : by_need) {
        Amount fair = still ? left / Amount(still) * child->weight : 0;
        child->share = std::min(child->believed, fair);
        left -= child->share;
        still -= child->weight;
    }
    Duration counted = std::min(passed, Duration{1000});
    for (Child* child : open) {
        child->share += weights ? left / Amount(weights) * child->weight : 0;
        child->credit = std::min(child->credit + accrued(child->share, micros(counted), child->credit_carry),
                                 std::max(over(child->share, cover()), tree.dearest));
    }
}

/// What it is short of.
Amount QuotaAllocator::wanted(const Tree& tree, const Child& child) const {
    if (child.demand == 0 || child.recalled) return 0;
    Amount target = over(child.believed, cover()) + tree.dearest;
    return std::max<Amount>(0, target - child.lent());
}

void QuotaAllocator::lend(TimePoint now, const Account& account, Tree& tree, const std::string& name,
                          Child& child) {
    if (tree.frozen || tree.recalling || now < waits_until_ ||
        (!tree.root && (tree.pot.recalled() || tree.pot.frozen())))
        return;
    Amount want = wanted(tree, child);
    if (want <= 0) return;
    Amount there = here(now, tree), others = 0;
    for (const auto& [other, c] : tree.children)
        if (&c != &child && c.demand > 0) others += std::min(c.credit, wanted(tree, c));
    Amount may = std::min({want, there, std::max(child.credit, there - others)});
    may -= may % tree.cheapest;
    if (may <= 0) return;
    if (tree.root)
        tree.here -= may;
    else if (!tree.pot.take(now, may))
        return;
    child.granted += may;
    tree.lent_sum += may;
    child.credit = std::max<Amount>(0, child.credit - may);
    if (durable(tree)) note(account, name, child);
}

void QuotaAllocator::note(const Account& account, const std::string& name, const Child& child) {
    to_record_[{account, name}] = {account,       name,        child.instance, child.lease,
                                   child.granted, child.spent, child.returned, false};
}

// ---- What happens

void QuotaAllocator::on(TimePoint now, const TimerFired&, QuotaAllocatorActions& actions) {
    for (auto& [account, tree] : trees_) tick(now, account, tree);
    if (now >= asks_at_) {
        asks_at_ = now + set_.timing.ask;
        if (!set_.site.empty() && owns(now)) ask_up(now, actions);
    }
    actions.push_back(SetTimer{asks_at_});
}

void QuotaAllocator::ask_up(TimePoint now, QuotaAllocatorActions& actions) {
    BorrowRequest ask{set_.instance, ++seq_, {}};
    for (auto& [account, tree] : trees_) {
        if (account.floor) continue;
        share_out(now, tree);
        Amount demand = 0;
        for (const auto& [name, child] : tree.children)
            if (now - child.asked <= set_.timing.lease) demand += child.demand;
        demand = std::min(demand, kMaxAmount);
        // What is more than the children may ask for soon goes back.
        if (tree.pot.recalled() || tree.pot.frozen()) {
            tree.pot.give_up(tree.pot.balance(now));
        } else {
            Amount keeps = over(demand, cover()) + (demand > 0 ? 2 * tree.dearest : 0);
            tree.pot.give_up(tree.pot.balance(now) - keeps);
        }
        // A floor that is not needed is lent to the others, as long as they hear of it.
        auto floor = trees_.find({account.partner, true});
        if (floor != trees_.end() && floor->second.root && now - answered_ < 5 * set_.timing.ask) {
            Tree& own = floor->second;
            Amount spare = own.here - own.cap / 2;
            if (spare > 0) own.here -= spare, own.given += spare;
        }
        Amount given = floor == trees_.end() ? 0 : floor->second.given;
        if (demand == 0 && tree.pot.lease() == 0 && given == 0) continue;
        ask.lines.push_back(
            {account, tree.pot.lease(), tree.pot.spent(), tree.pot.returned(), demand, given});
    }
    asked_[seq_] = now;
    while (asked_.size() > 64) asked_.erase(asked_.begin());
    actions.push_back(SendRequest{std::move(ask)});
}

void QuotaAllocator::on(TimePoint now, const ResponseReceived& answered, QuotaAllocatorActions&) {
    if (answered.answer.instance != set_.instance) return;
    auto asked = asked_.find(answered.answer.seq);
    if (asked == asked_.end()) return;
    answered_ = now;
    for (const BorrowResponseLine& line : answered.answer.lines) {
        auto found = trees_.find(line.account);
        if (found == trees_.end() || found->second.root) continue;
        Tree& tree = found->second;
        tick(now, line.account, tree);
        if (tree.pot.answered(now, asked->second, answered.answer.seq, line, set_.timing) !=
            BorrowedBudget::Taken::Anew)
            continue;
        // Whatever was lent on of the lease before is not of this one.
        for (auto& [name, child] : tree.children)
            child.granted = child.spent = child.returned = 0, child.lease = 0;
        tree.lost.clear();
        tree.lent_sum = tree.lost_sum = 0;
    }
}

/// What a child says of its lease. False: that cannot be.
bool QuotaAllocator::heard(Tree& tree, Child& child, const BorrowRequestLine& line, TimePoint now) {
    Amount spent = line.spent - child.spent, back = line.returned - child.returned;
    if (spent < 0 || back < 0 || spent + back > child.lent()) return false;
    child.spent += spent, child.returned += back;
    tree.lent_sum -= spent + back;
    if (!tree.root) tree.pot.count_spent(spent);
    bring(tree, back);
    Duration passed = now - child.asked;
    if (passed > Duration{0}) {
        Amount used = Amount(double(spent) / std::max(passed.count(), 1.0) * 1000);
        child.used = std::max(used, child.used - child.used / 8);
    }
    return true;
}

void QuotaAllocator::on(TimePoint now, const RequestReceived& asked, QuotaAllocatorActions&) {
    if (!owns(now)) return;
    const BorrowRequest& ask = asked.ask;
    BorrowResponse answer{ask.instance, ask.seq, {}};
    for (const BorrowRequestLine& line : ask.lines) {
        auto found = trees_.find(line.account);
        if (found == trees_.end()) continue;
        Tree& tree = found->second;
        tick(now, line.account, tree);
        Child& child = tree.children[asked.child];
        if (child.instance != ask.instance) {
            if (std::any_of(tree.lost.begin(), tree.lost.end(), [&](const Lost& l) {
                    return l.child == asked.child && l.instance == ask.instance;
                }))
                continue;  // from before its next start, and late
            lose(line.account, tree, asked.child, child);
            child = {};
            child.instance = ask.instance;
            auto weight = tree.weights.find(asked.child);
            child.weight = weight == tree.weights.end() ? 1 : weight->second;
        }
        if (ask.seq <= child.seq) continue;
        child.seq = ask.seq;
        if (child.lease != 0 && line.lease == child.lease && !heard(tree, child, line, now)) {
            ++refused_;
            continue;
        }
        child.asked = now;
        child.demand = tree.frozen ? 0 : line.demand;
        if (child.recalled && line.lease == child.lease && child.lent() == 0) child.recalled = false;
        Given& gift = tree.gifts[asked.child];
        if (gift.instance != ask.instance)
            gift = {ask.instance, line.given};  // what was given before is not known to be new
        else if (tree.root && line.given > gift.seen)
            bring(tree, line.given - std::exchange(gift.seen, line.given));
        share_out(now, tree);
        // Its end is told to the child with what is left of this one's own, from before it asked: it ends
        // before.
        Duration length = set_.timing.lease;
        if (!tree.root) length = std::min(length, std::max(Duration{0}, tree.pot.ends() - now));
        if (length <= 2 * set_.timing.margin) length = Duration{0};
        if (length > Duration{0}) {
            if (child.lease == 0) child.lease = mixed(set_.instance ^ mixed(++leases_));
            lend(now, line.account, tree, asked.child, child);
            child.ends = std::max(child.ends, now + length);
        }
        bool back = child.recalled || tree.recalling || (!tree.root && tree.pot.recalled());
        bool frozen = tree.frozen || (!tree.root && tree.pot.frozen());
        answer.lines.push_back(
            {line.account, child.lease, child.granted, micros(length), child.share, back || frozen, frozen});
    }
    std::uint64_t behind = to_record_.empty() ? (waiting_.empty() ? recorded_ : recording_) : recording_ + 1;
    waiting_.push_back({behind, {asked.child, std::move(answer)}});
}

/// One RecordLeases at a time; what comes meanwhile goes with the next.
void QuotaAllocator::flush(QuotaAllocatorActions& actions) {
    if (recorded_ == recording_ && (!to_record_.empty() || !closed_.empty())) {
        RecordLeases record{++recording_, std::move(closed_)};
        closed_.clear();
        for (auto& [key, book] : to_record_) record.books.push_back(std::move(book));
        to_record_.clear();
        actions.push_back(std::move(record));
    }
    std::size_t out = 0;
    for (; out < waiting_.size() && waiting_[out].behind <= recorded_; ++out)
        actions.push_back(std::move(waiting_[out].reply));
    waiting_.erase(waiting_.begin(), waiting_.begin() + std::ptrdiff_t(out));
}

void QuotaAllocator::on(TimePoint, const LeasesRecorded& recorded, QuotaAllocatorActions&) {
    recorded_ = std::max(recorded_, std::min(recorded.number, recording_));
}

void QuotaAllocator::on(TimePoint now, const OwnershipConfirmed& owned, QuotaAllocatorActions& actions) {
    if (!owned_) {
        owned_ = true;
        if (owned.books) {
            for (const OutstandingLease& book : *owned.books) {
                auto found = trees_.find(book.account);
                if (found == trees_.end() || !found->second.root || book.closed) continue;
                Tree& tree = found->second;
                Child& child = tree.children[book.child];
                if (child.lease != 0) lose(book.account, tree, book.child, child);
                child = {};
                child.instance = book.instance, child.lease = book.lease;
                child.granted = book.granted, child.spent = book.spent, child.returned = book.returned;
                // Whatever the owner before it answered last was asked for before now.
                child.ends = now + set_.timing.lease, child.asked = now;
                tree.lent_sum += child.lent();
            }
        } else if (!owned.fresh) {
            waits_until_ = now + set_.timing.lease;
        }
        for (auto& [account, tree] : trees_) tree.minted = micros(now), tree.carry = 0;
        asks_at_ = now;
        actions.push_back(SetTimer{now});
    }
    owned_until_ = std::max(owned_until_, owned.until);
}

/// Somebody else may lend from here on: nothing of what was held may be used again.
void QuotaAllocator::on(TimePoint, const OwnershipLost&, QuotaAllocatorActions&) {
    owned_ = false;
    owned_until_ = {};
    waiting_.clear(), to_record_.clear(), closed_.clear(), asked_.clear();
    recorded_ = recording_;
    for (auto& [account, tree] : trees_) {
        tree.children.clear(), tree.lost.clear(), tree.gifts.clear();
        tree.here = tree.lent_sum = tree.lost_sum = tree.given = 0;
        tree.pot = {};
    }
    // As after a restart: whoever is above knows this one by another name from here on.
    set_.instance = mixed(set_.instance);
}

void QuotaAllocator::shape(Tree& tree, TimePoint now, bool root, Amount rate, Amount cap,
                           const Budget& budget) {
    bool fresh = tree.minted == 0 && tree.rate == 0;
    if (fresh)
        tree.minted = micros(now);
    else if (tree.root && root)
        mint(now, tree);
    tree.root = root, tree.rate = rate, tree.cap = cap;
    tree.dearest = budget.dearest(), tree.cheapest = kUnit;
    for (const Cost& c : budget.costs) tree.cheapest = std::min(tree.cheapest, c.cost);
    // A smaller budget takes at once what is here, and the rest as leases come back or end.
    if (root) {
        tree.here = std::clamp<Amount>(tree.cap - tree.lent_sum - tree.lost_sum, 0, tree.here);
        tree.recalling = tree.here + tree.lent_sum + tree.lost_sum > tree.cap;
    }
    tree.weights.clear();
    for (const Weight& w : budget.weights) tree.weights[w.site] = w.weight;
    for (auto& [name, child] : tree.children) {
        auto weight = tree.weights.find(name);
        child.weight = weight == tree.weights.end() ? 1 : weight->second;
    }
}

void QuotaAllocator::on(TimePoint now, const BudgetsConfigured& configured, QuotaAllocatorActions&) {
    std::set<Account> named;
    for (const Budget& b : configured.budgets) {
        Amount rate = b.rate, burst = b.burst + b.bound;
        for (const Floor& f : b.floors) {
            rate -= f.rate, burst -= f.burst;
            if (f.site != set_.site || set_.site.empty()) continue;
            shape(trees_[{b.partner, true}], now, true, f.rate, f.burst, b);
            named.insert({b.partner, true});
        }
        shape(trees_[{b.partner, false}], now, set_.site.empty(), rate, burst, b);
        named.insert({b.partner, false});
    }
    // One that is gone lends no more; what it lent is still counted, should it come back soon.
    for (auto& [account, tree] : trees_)
        if (!named.contains(account) && tree.root)
            tree.rate = tree.cap = tree.here = 0, tree.recalling = tree.lent_sum > 0;
}

void QuotaAllocator::on(TimePoint now, const OperatorOrder& ordered, QuotaAllocatorActions&) {
    for (auto& [account, tree] : trees_) {
        if (account.partner != ordered.partner) continue;
        tick(now, account, tree);
        if (ordered.what == OperatorOrder::What::Freeze) tree.frozen = true;
        if (ordered.what == OperatorOrder::What::Thaw) tree.frozen = false;
        for (auto& [name, child] : tree.children) {
            if (!ordered.child.empty() && ordered.child != name) continue;
            if (ordered.what == OperatorOrder::What::Recall) child.recalled = child.lent() > 0;
            if (ordered.what == OperatorOrder::What::Lend) child.credit += ordered.amount;
        }
    }
}

std::vector<QuotaAllocatorStatus> QuotaAllocator::show(TimePoint now, std::string_view partner) const {
    std::vector<QuotaAllocatorStatus> all;
    for (const auto& [account, tree] : trees_) {
        if (!partner.empty() && account.partner != partner) continue;
        QuotaAllocatorStatus status{account,  tree.root,       tree.frozen,   !tree.recalling, tree.rate,
                                    tree.cap, here(now, tree), tree.lent_sum, tree.lost_sum,   {}};
        if (!tree.root) status.rate = tree.pot.share();
        for (const auto& [name, child] : tree.children)
            status.children.push_back(
                {name, child.lent(), child.demand, child.believed, child.share, child.spent});
        all.push_back(std::move(status));
    }
    return all;
}

}  // namespace ochrehub::quota
