#include "lab/coordinator/list_state_machine.h"

#include <sstream>

namespace ochrehub::lab {
namespace {

constexpr std::string_view kHold = "hold ";
constexpr std::string_view kExpired = "over ";

}  // namespace

std::string ListStateMachine::apply(const coordinator::Command& command) {
    const std::string body(command.body);
    if (body.starts_with(kHold)) return set_hold(command.session, std::stod(body.substr(kHold.size())));
    if (body.starts_with(kExpired)) {
        expire_hold(body.substr(kExpired.size()));
        return {};
    }
    checker_.appended(coordinator_, list_.size(), body);
    list_.push_back(body);
    return std::to_string(list_.size() - 1);
}

std::string ListStateMachine::set_hold(coordinator::SessionId session, double length_ms) {
    if (session == 0) return "0";
    holds_[session] = {++revision_, length_ms};
    return std::to_string(revision_);
}

void ListStateMachine::expire_hold(const std::string& key_and_revision) {
    std::istringstream in(key_and_revision);
    std::uint64_t key = 0;
    std::uint64_t revision = 0;
    in >> key >> revision;
    auto found = holds_.find(key);
    if (found == holds_.end() || found->second.revision != revision) return;
    holds_.erase(found);
    checker_.timeout_expired(revision);
}

std::string ListStateMachine::query(std::string_view) const {
    return std::to_string(list_.size()) + " " + (list_.empty() ? "" : list_.back());
}

void ListStateMachine::session_ended(coordinator::SessionId session) {
    checker_.session_ended(session);
    holds_.erase(session);
}

void ListStateMachine::timeouts(std::vector<coordinator::Timeout>& timeouts) const {
    for (const auto& [session, hold] : holds_)
        timeouts.push_back({session, hold.revision, Duration{hold.length_ms}});
}

std::string ListStateMachine::on_timeout(std::uint64_t key, std::uint64_t revision) const {
    return std::string(kExpired) + std::to_string(key) + " " + std::to_string(revision);
}

std::string ListStateMachine::snapshot() const {
    std::ostringstream out;
    out << revision_ << " " << holds_.size();
    for (const auto& [session, hold] : holds_)
        out << " " << session << " " << hold.revision << " " << hold.length_ms;
    out << " " << list_.size();
    for (const std::string& tag : list_) out << " " << tag;
    return out.str();
}

bool ListStateMachine::restore(std::uint32_t schema, std::string_view bytes) {
    if (schema != 1) return false;
    std::istringstream in{std::string(bytes)};
    std::size_t holds = 0;
    in >> revision_ >> holds;
    for (std::size_t i = 0; i < holds; ++i) {
        coordinator::SessionId session = 0;
        Hold hold;
        in >> session >> hold.revision >> hold.length_ms;
        holds_[session] = hold;
    }
    std::size_t length = 0;
    in >> length;
    for (std::size_t i = 0; i < length; ++i) {
        std::string tag;
        in >> tag;
        checker_.appended(coordinator_, list_.size(), tag);
        list_.push_back(tag);
    }
    return true;
}

}  // namespace ochrehub::lab
