#include "fleet/quota/message.h"

#include <quota.pb.h>

namespace ochrehub::quota {
namespace {

/// Limit of the lines in a message.
constexpr int kMaxLines = 20'000;
/// Limit of a lease's sums since it began.
constexpr Amount kMaxSum = std::int64_t(1) << 62;
bool is_within(Amount amount, Amount max) {
    return amount >= 0 && amount <= max;
}

void put(const Account& account, wire::Account& to) {
    to.set_partner(account.partner), to.set_floor(account.floor);
}
Account get(const wire::Account& from) {
    return {from.partner(), from.floor()};
}

}  // namespace

std::string encode(const BorrowRequest& request) {
    wire::Ask to;
    to.set_instance(request.instance), to.set_seq(request.seq);
    for (const BorrowRequestLine& l : request.lines) {
        wire::AskLine& line = *to.add_lines();
        put(l.account, *line.mutable_account());
        line.set_lease(l.lease), line.set_spent(l.spent), line.set_returned(l.returned);
        line.set_demand(l.demand), line.set_given(l.floor_surplus);
    }
    return to.SerializeAsString();
}
std::string encode(const BorrowResponse& response) {
    wire::Answer to;
    to.set_instance(response.instance), to.set_seq(response.seq);
    for (const BorrowResponseLine& l : response.lines) {
        wire::AnswerLine& line = *to.add_lines();
        put(l.account, *line.mutable_account());
        line.set_lease(l.lease), line.set_granted(l.granted), line.set_length(l.remaining_us);
        line.set_share(l.share), line.set_recalled(l.recalled), line.set_frozen(l.frozen);
    }
    return to.SerializeAsString();
}

std::optional<BorrowRequest> decode_borrow_request(std::string_view bytes) {
    wire::Ask from;
    if (!from.ParseFromArray(bytes.data(), int(bytes.size())) || from.lines_size() > kMaxLines)
        return std::nullopt;
    BorrowRequest request{from.instance(), from.seq(), {}};
    if (request.instance == 0 || request.seq == 0) return std::nullopt;
    for (const wire::AskLine& l : from.lines()) {
        if (!is_within(l.spent(), kMaxSum) || !is_within(l.returned(), kMaxSum) ||
            !is_within(l.given(), kMaxSum) || l.demand() < 0 || l.account().partner().size() > 64)
            return std::nullopt;
        request.lines.push_back({get(l.account()), l.lease(), l.spent(), l.returned(),
                                 std::min(l.demand(), kMaxAmount), l.given()});
    }
    return request;
}
std::optional<BorrowResponse> decode_borrow_response(std::string_view bytes) {
    wire::Answer from;
    if (!from.ParseFromArray(bytes.data(), int(bytes.size())) || from.lines_size() > kMaxLines)
        return std::nullopt;
    BorrowResponse response{from.instance(), from.seq(), {}};
    for (const wire::AnswerLine& l : from.lines()) {
        if (!is_within(l.granted(), kMaxSum) || !is_within(l.length(), 3'600'000'000) ||
            !is_within(l.share(), kMaxAmount) || l.account().partner().size() > 64)
            return std::nullopt;
        response.lines.push_back(
            {get(l.account()), l.lease(), l.granted(), l.length(), l.share(), l.recalled(), l.frozen()});
    }
    return response;
}

}  // namespace ochrehub::quota
