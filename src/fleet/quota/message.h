// The messages between a borrower and its lender. All amounts of a lease are sums since the lease began, so
// that a message that is lost, late, duplicated or out of order is made good by the next one.
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
    std::uint64_t lease = 0;  ///< the lease that the sums belong to; zero: none yet
    Amount spent = 0;
    Amount returned = 0;
    Amount demand = 0;  ///< per second, rejected requests included
    /// What a site has passed from its floor to the federation because it did not need it: a sum since the
    /// instance started.
    Amount floor_surplus = 0;
    friend bool operator==(const BorrowRequestLine&, const BorrowRequestLine&) = default;
};
struct BorrowRequest {
    std::uint64_t instance = 0;  ///< random id of the borrower's process
    std::uint64_t seq = 0;       ///< increases with each request of the instance
    std::vector<BorrowRequestLine> lines;
    friend bool operator==(const BorrowRequest&, const BorrowRequest&) = default;
};

struct BorrowResponseLine {
    Account account;
    std::uint64_t lease = 0;
    Amount granted = 0;
    std::int64_t remaining_us = 0;  ///< of the lease; the borrower counts it from before it sent the request
    Amount share = 0;               ///< per second: the rate that the borrower can expect
    bool recalled = false;          ///< the borrower is to return what is unspent now
    bool frozen = false;
    friend bool operator==(const BorrowResponseLine&, const BorrowResponseLine&) = default;
};
struct BorrowResponse {
    std::uint64_t instance = 0;  ///< BorrowRequest::instance
    std::uint64_t seq = 0;       ///< BorrowRequest::seq
    std::vector<BorrowResponseLine> lines;
    friend bool operator==(const BorrowResponse&, const BorrowResponse&) = default;
};

/// As protobuf (proto/quota.proto).
std::string encode(const BorrowRequest& request);
std::string encode(const BorrowResponse& response);
/// Empty where the bytes cannot be parsed or hold an impossible value: a negative amount, or an amount or a
/// number of lines above its limit.
std::optional<BorrowRequest> decode_borrow_request(std::string_view bytes);
std::optional<BorrowResponse> decode_borrow_response(std::string_view bytes);

}  // namespace ochrehub::quota
