#include "lab/coordinator/judge.h"

#include <algorithm>
#include <sstream>

namespace ochrehub::lab {

std::string ListMachine::apply(const coordinator::Command& command) {
    std::string body(command.body);
    if (body.starts_with("hold ")) {
        if (command.session == 0) return "0";
        holds_[command.session] = {++revision_, std::stod(body.substr(5))};
        return std::to_string(revision_);
    }
    if (body.starts_with("over ")) {
        std::istringstream in(body.substr(5));
        std::uint64_t key = 0, revision = 0;
        in >> key >> revision;
        auto found = holds_.find(key);
        if (found != holds_.end() && found->second.revision == revision) {
            holds_.erase(found);
            judge_->time_over(revision);
        }
        return {};
    }
    judge_->appended(at_, list_.size(), body);
    list_.push_back(body);
    return std::to_string(list_.size() - 1);
}

std::string ListMachine::query(std::string_view) const {
    return std::to_string(list_.size()) + " " + (list_.empty() ? "" : list_.back());
}

void ListMachine::session_ended(coordinator::SessionId session) {
    judge_->session_ended(session);
    holds_.erase(session);
}

void ListMachine::timeouts(std::vector<coordinator::Timeout>& armed) const {
    for (const auto& [session, hold] : holds_)
        armed.push_back({session, hold.revision, Duration{hold.length}});
}

std::string ListMachine::on_timeout(std::uint64_t key, std::uint64_t revision) const {
    return "over " + std::to_string(key) + " " + std::to_string(revision);
}

std::string ListMachine::snapshot() const {
    std::ostringstream out;
    out << revision_ << " " << holds_.size();
    for (const auto& [session, hold] : holds_)
        out << " " << session << " " << hold.revision << " " << hold.length;
    out << " " << list_.size();
    for (const std::string& tag : list_) out << " " << tag;
    return out.str();
}

bool ListMachine::restore(std::uint32_t schema, std::string_view bytes) {
    if (schema != 1) return false;
    std::istringstream in{std::string(bytes)};
    std::size_t many = 0;
    in >> revision_ >> many;
    for (std::size_t i = 0; i < many; ++i) {
        coordinator::SessionId session = 0;
        Hold hold;
        in >> session >> hold.revision >> hold.length;
        holds_[session] = hold;
    }
    in >> many;
    for (std::size_t i = 0; i < many; ++i) {
        std::string tag;
        in >> tag;
        judge_->appended(at_, list_.size(), tag);
        list_.push_back(tag);
    }
    return true;
}

void KeeperJudge::crashed(std::size_t process) {
    for (auto* all : {&times_})
        for (auto& [key, belief] : *all)
            if (belief.process == process) belief.given_up = true;
    for (auto& [key, belief] : sessions_)
        if (belief.process == process) belief.given_up = true;
}

void KeeperJudge::session_ended(coordinator::SessionId session) {
    ++ended;
    auto found = sessions_.find(session);
    if (found == sessions_.end() || found->second.given_up) return;
    TimePoint own_time = own(world, found->second.process);
    if (own_time < found->second.until)
        wrong("session " + std::to_string(session) + " is over at a keeper, and held by process " +
              std::to_string(found->second.process) + " for " +
              std::to_string((found->second.until - own_time).count()) + " ms more");
}

void KeeperJudge::time_over(std::uint64_t revision) {
    ++armed_over;
    auto found = times_.find(revision);
    if (found == times_.end() || found->second.given_up) return;
    TimePoint own_time = own(world, found->second.process);
    if (own_time < found->second.until)
        wrong("time " + std::to_string(revision) + " is over at a keeper, and held for " +
              std::to_string((found->second.until - own_time).count()) + " ms more");
}

void KeeperJudge::appended(std::size_t keeper, std::uint64_t place, const std::string& tag) {
    if (place < list_.size() && list_[place] != tag)
        wrong("keeper " + std::to_string(keeper + 1) + " has " + tag + " where another has " + list_[place]);
    if (place == list_.size()) list_.push_back(tag);
    if (place > list_.size()) wrong("a list with a hole");
}

void KeeperJudge::state(std::size_t keeper, std::uint64_t index, std::uint64_t hash) {
    auto [at, fresh] = states_.emplace(index, hash);
    if (!fresh && at->second != hash)
        wrong("keeper " + std::to_string(keeper + 1) + " holds something else as of entry " +
              std::to_string(index));
}

std::size_t KeeperJudge::ask(TimePoint now, bool append, const std::string& tag) {
    Op op;
    op.asked = now, op.append = append, op.tag = tag;
    ops_.push_back(op);
    return ops_.size() - 1;
}

void KeeperJudge::answer(std::size_t op, TimePoint now, std::uint64_t place, const std::string& last) {
    Op& one = ops_[op];
    one.answered = now, one.done = true, one.place = place, one.last = last;
}

/// After Wing and Gong's definition, which for a list with unique elements needs no search: the list is the
/// order.
void KeeperJudge::finish() {
    std::map<std::string, std::uint64_t> places;
    for (std::size_t i = 0; i < list_.size(); ++i)
        if (!places.emplace(list_[i], i).second) wrong(list_[i] + " was carried out twice");
    std::vector<std::pair<TimePoint, std::uint64_t>> complete;  // and how long the list was then, at least
    for (Op& op : ops_) {
        auto at = places.find(op.tag);
        if (op.append && op.done && (at == places.end() || at->second != op.place))
            wrong(op.tag + " was answered, and is not in its place");
        if (!op.append && op.done) {
            if (op.place > list_.size() || (op.place > 0 && list_[op.place - 1] != op.last))
                wrong("a read of what nobody wrote: " + op.last);
        }
        if (op.append && !op.done && at != places.end()) op.place = at->second;
        if (op.done) complete.emplace_back(op.answered, op.append ? op.place + 1 : op.place);
    }
    std::sort(complete.begin(), complete.end());
    for (std::size_t i = 1; i < complete.size(); ++i)
        complete[i].second = std::max(complete[i].second, complete[i - 1].second);
    for (const Op& op : ops_) {
        if (!op.done && (!op.append || !places.contains(op.tag))) continue;
        auto before = std::lower_bound(complete.begin(), complete.end(),
                                       std::pair<TimePoint, std::uint64_t>{op.asked, 0});
        if (before == complete.begin()) continue;
        std::uint64_t least = std::prev(before)->second;
        if (op.place < least)
            wrong((op.append ? op.tag : "a read") + " has place " + std::to_string(op.place) + ", and " +
                  std::to_string(least) + " were complete before it was asked for");
    }
}

}  // namespace ochrehub::lab
