// What borrower and lender say to each other. All amounts of a lease are sums since it began, so that a
// message that is lost, late, doubled or out of order changes nothing that the next one does not put right.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/quota/budget.h"

namespace ochrehub::quota {

/// A partner's budget is lent in two trees: the federation's part, and each site's floor, which the site
/// mints itself.
struct Account {
    std::string partner;
    bool floor = false;
    friend auto operator<=>(const Account&, const Account&) = default;
};

struct BorrowRequestLine {
    Account account;
    std::uint64_t lease = 0;  ///< that the sums are of; zero: none yet
    Amount spent = 0, returned = 0;
    Amount demand = 0;  ///< a second, refused requests included
    Amount floor_surplus =
        0;  ///< of a floor that its site does not need, to the federation: a sum since the instance began
    friend bool operator==(const BorrowRequestLine&, const BorrowRequestLine&) = default;
};
struct BorrowRequest {
    std::uint64_t instance = 0;  ///< drawn at each start of the borrower
    std::uint64_t seq = 0;       ///< rises with each
    std::vector<BorrowRequestLine> lines;
    friend bool operator==(const BorrowRequest&, const BorrowRequest&) = default;
};

struct BorrowResponseLine {
    Account account;
    std::uint64_t lease = 0;
    Amount granted = 0;
    std::int64_t remaining_us = 0;  ///< microseconds, counted by the borrower from before it asked
    Amount share = 0;               ///< a second: what it may reckon with
    bool recalled = false;          ///< what is unspent is to be given back now
    bool frozen = false;
    friend bool operator==(const BorrowResponseLine&, const BorrowResponseLine&) = default;
};
struct BorrowResponse {
    std::uint64_t instance = 0, seq = 0;
    std::vector<BorrowResponseLine> lines;
    friend bool operator==(const BorrowResponse&, const BorrowResponse&) = default;
};

/// As protobuf (proto/quota.proto).
std::string encode(const BorrowRequest& request);
std::string encode(const BorrowResponse& response);
/// Nothing where the octets are none, or say what cannot be (negative amounts, more than `kMaxAmount` lines
/// or amounts).
std::optional<BorrowRequest> decode_borrow_request(std::string_view bytes);
std::optional<BorrowResponse> decode_borrow_response(std::string_view bytes);

}  // namespace ochrehub::quota
