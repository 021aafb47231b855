#include "fleet/leadership/endpoint_list_follower.h"

#include <algorithm>

namespace ochrehub::leadership::endpoint_list {

void Follower::handle(TimePoint now, const FollowerEvent& event, FollowerActions& actions) {
    if (auto* news = std::get_if<Heard>(&event)) {
        heard(now, *news, actions);
    } else if (auto* all = std::get_if<HeardWhole>(&event)) {
        whole(now, *all, actions);
    } else if (std::get_if<OwnTold>(&event)) {
        own_at_ = now;
        following_ = false;
    }
    if (asking_) return;
    TimePoint due = std::max(fresh_, own_at_) + set_.silence + set_.spread * set_.part;
    if (now >= due) {
        asking_ = true;
        since_ = now;
        actions.push_back(AskSelf{});
    } else {
        actions.push_back(FollowerWakeAt{due});
    }
}

void Follower::heard(TimePoint now, const Heard& event, FollowerActions& actions) {
    std::optional<News> news = read_news(event.news);
    if (!news || news->confirmed < confirmed_ || news->version < told_version_) return;  // it was late
    confirmed_ = news->confirmed;
    told_version_ = news->version, told_digest_ = news->digest;
    const std::uint64_t before = version_;
    for (const Change& change : news->changes) {
        if (change.version != version_ + 1) continue;
        for (const auto& [id, body] : change.put) entries_[id] = body;
        for (const std::string& id : change.gone) entries_.erase(id);
        version_ = change.version;
        if (following_) actions.push_back(UseChange{change.put, change.gone});
    }
    if (version_ != before) digest_ = digest(entries_);
    if (rounds_.empty() || rounds_.back().second < news->round)
        rounds_.emplace_back(event.asked, news->round);
    else
        rounds_.back().first = std::max(rounds_.back().first, event.asked);
    settle(now, actions);
    if (version_ != told_version_ || digest_ != told_digest_) actions.push_back(Fetch{});
}

void Follower::whole(TimePoint now, const HeardWhole& event, FollowerActions& actions) {
    std::optional<Whole> all = read_whole(event.whole);
    if (!all || all->version < told_version_ || (all->version == version_ && digest_ == all->digest)) return;
    entries_ = all->entries;
    version_ = told_version_ = all->version;
    digest_ = told_digest_ = all->digest;
    if (following_) actions.push_back(UseWhole{entries_});
    settle(now, actions);
}

void Follower::settle(TimePoint now, FollowerActions& actions) {
    if (version_ == 0 || version_ != told_version_ || digest_ != told_digest_) return;
    // Round r was open when it was asked for, so r + 1 was opened later, and discovery asked later still.
    while (!rounds_.empty() && rounds_.front().second < confirmed_) {
        fresh_ = std::max(fresh_, rounds_.front().first);
        rounds_.pop_front();
    }
    if (asking_ && fresh_ > since_ && now - fresh_ < set_.silence) {
        asking_ = false;
        actions.push_back(LetBe{});
    }
    if (following_ || fresh_ <= own_at_) return;
    following_ = true;
    actions.push_back(UseWhole{entries_});
}

}  // namespace ochrehub::leadership::endpoint_list
