#include "fleet/quota/message.h"

#include <quota.pb.h>

namespace ochrehub::quota {
namespace {

constexpr int kLines = 20'000;
constexpr Amount kSum = std::int64_t(1) << 62;  // of a lease since it began
bool sound(Amount amount, Amount most) {
    return amount >= 0 && amount <= most;
}

void put(const Account& account, wire::Account& to) {
    to.set_partner(account.partner), to.set_floor(account.floor);
}
Account get(const wire::Account& from) {
    return {from.partner(), from.floor()};
}

}  // namespace

std::string encode(const BorrowRequest& ask) {
    wire::Ask to;
    to.set_instance(ask.instance), to.set_seq(ask.seq);
    for (const BorrowRequestLine& l : ask.lines) {
        wire::AskLine& line = *to.add_lines();
        put(l.account, *line.mutable_account());
        line.set_lease(l.lease), line.set_spent(l.spent), line.set_returned(l.returned);
        line.set_demand(l.demand), line.set_given(l.given);
    }
    return to.SerializeAsString();
}
std::string encode(const BorrowResponse& answer) {
    wire::Answer to;
    to.set_instance(answer.instance), to.set_seq(answer.seq);
    for (const BorrowResponseLine& l : answer.lines) {
        wire::AnswerLine& line = *to.add_lines();
        put(l.account, *line.mutable_account());
        line.set_lease(l.lease), line.set_granted(l.granted), line.set_length(l.length);
        line.set_share(l.share), line.set_recalled(l.recalled), line.set_frozen(l.frozen);
    }
    return to.SerializeAsString();
}

std::optional<BorrowRequest> decode_borrow_request(std::string_view octets) {
    wire::Ask from;
    if (!from.ParseFromArray(octets.data(), int(octets.size())) || from.lines_size() > kLines)
        return std::nullopt;
    BorrowRequest ask{from.instance(), from.seq(), {}};
    if (ask.instance == 0 || ask.seq == 0) return std::nullopt;
    for (const wire::AskLine& l : from.lines()) {
        if (!sound(l.spent(), kSum) || !sound(l.returned(), kSum) || !sound(l.given(), kSum) ||
            l.demand() < 0 || l.account().partner().size() > 64)
            return std::nullopt;
        ask.lines.push_back({get(l.account()), l.lease(), l.spent(), l.returned(),
                             std::min(l.demand(), kMaxAmount), l.given()});
    }
    return ask;
}
std::optional<BorrowResponse> decode_borrow_response(std::string_view octets) {
    wire::Answer from;
    if (!from.ParseFromArray(octets.data(), int(octets.size())) || from.lines_size() > kLines)
        return std::nullopt;
    BorrowResponse answer{from.instance(), from.seq(), {}};
    for (const wire::AnswerLine& l : from.lines()) {
        if (!sound(l.granted(), kSum) || !sound(l.length(), 3'600'000'000) || !sound(l.share(), kMaxAmount) ||
            l.account().partner().size() > 64)
            return std::nullopt;
        answer.lines.push_back(
            {get(l.account()), l.lease(), l.granted(), l.length(), l.share(), l.recalled(), l.frozen()});
    }
    return answer;
}

}  // namespace ochrehub::quota
