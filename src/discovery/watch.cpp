#include "discovery/watch.h"

#include <algorithm>
#include <utility>

namespace ochrehub::discovery {
namespace {

constexpr int kSpoiltMost = 3;        // answers in a row that cannot be read, before the module hears of it
constexpr Duration kSpoiltAgain{50};  // least wait behind one
// Least time from a call that has brought nothing new to the next: of a discovery that ends watches at once.
// Less than the 200 ms after which a watch counts as another.
constexpr Duration kNothingNew{100};

}  // namespace

void Watch::handle(TimePoint now, const WatchEvent& event, WatchActions& actions) {
    now_ = now;
    actions_ = &actions;
    TimePoint before = std::min(limit_, again_);
    std::visit([this](const auto& e) { on(e); }, event);
    TimePoint due = std::min(limit_, again_);
    if (due != TimePoint::max() && (due != before || std::holds_alternative<WatchWoken>(event)))
        actions.emplace_back(WatchWakeAt{due});
    actions_ = nullptr;
}

void Watch::on(const Asked&) {
    if (std::exchange(calling_, true)) return;  // the call that is out answers this one too
    call();
}

void Watch::on(const Moved&) {
    // An address that is left before it has answered has told nothing: the one before it goes on counting.
    if (kept_elsewhere_ && kept_ != 0 && !has_list_) drop(out_);
    has_list_ = false;
    silent_since_.reset();
    // What is out at the old address counts until the new one has answered: no change is missed between them.
    if (out_ != 0) {
        drop(kept_);
        kept_ = std::exchange(out_, 0);
    }
    kept_elsewhere_ = kept_ != 0;
    calling_ = true;  // at once, even where the module waits before it asks again
    call();
}

void Watch::on(const Answered& e) {
    if (e.call == kept_ && kept_ != 0) {
        kept_ = 0;
        if (!kept_elsewhere_) {  // late, not silent
            revision_ = std::max(revision_, e.revision);
            silent_since_.reset();
        }
        actions_->emplace_back(TakeList{});
        return;
    }
    if (e.call != out_ || out_ == 0) return;
    out_ = 0;
    drop(kept_);
    bool news = !has_list_ || e.revision > revision_;
    // Changes behind an older revision than the one that was asked about: revisions have begun anew, and what
    // changed before it is not among them.
    has_list_ = e.whole || !has_list_ || e.revision >= revision_;
    revision_ = e.revision;
    spoilt_ = 0;
    silent_since_.reset();
    limit_ = TimePoint::max();
    if (news || now_ >= began_ + kNothingNew)
        call();  // at once: the watch goes on
    else
        again_ = began_ + kNothingNew;
    if (has_list_) actions_->emplace_back(TakeList{});
}

void Watch::on(const Ended& e) {
    if (e.call == kept_) kept_ = 0;
    if (e.call != out_ || out_ == 0) return;
    out_ = 0;
    limit_ = TimePoint::max();
    if (e.how == End::Unheard && has_list_ && now_ - began_ >= set_.connect) silent(began_);
    if (silent_since_ && now_ < *silent_since_ + set_.wait + set_.persist) return ask_again(set_.spread / 5);
    if (e.how == End::Spoilt && ++spoilt_ < kSpoiltMost) return ask_again(kSpoiltAgain);
    fail();
}

void Watch::on(const WatchWoken&) {
    if (now_ >= again_) return call();
    if (now_ < limit_ || out_ == 0) return;
    limit_ = TimePoint::max();
    if (!has_list_) {
        drop(out_);
        return fail();
    }
    silent(began_);
    if (now_ >= *silent_since_ + set_.wait + set_.persist) {
        drop(out_);
        return fail();
    }
    drop(kept_);
    kept_ = std::exchange(out_, 0);
    kept_elsewhere_ = false;
    ask_again(Duration{0});
}

void Watch::silent(TimePoint since) {
    ++silences_;
    if (!silent_since_) silent_since_ = since;
}

void Watch::ask_again(Duration least) {
    again_ = now_ + least + uniform() * set_.spread;
}

void Watch::call() {
    again_ = TimePoint::max();
    began_ = now_;
    out_ = ++last_;
    limit_ = now_ + (has_list_ ? set_.wait + set_.late : set_.first);
    actions_->emplace_back(has_list_ ? MakeCall{out_, revision_, set_.wait}
                                     : MakeCall{out_, std::nullopt, Duration{0}});
}

void Watch::drop(CallNo& call) {
    if (call != 0) actions_->emplace_back(DropCall{call});
    call = 0;
}

void Watch::fail() {
    limit_ = again_ = TimePoint::max();
    if (!kept_elsewhere_) drop(kept_);
    silent_since_.reset();
    spoilt_ = 0;
    calling_ = false;
    actions_->emplace_back(TellFailed{});
}

}  // namespace ochrehub::discovery
