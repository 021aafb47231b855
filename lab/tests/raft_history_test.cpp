// The judge of histories on histories that are known to be right, and wrong; and beside a search of all
// orders.
#include <gtest/gtest.h>

#include <algorithm>
#include <boost/random/taus88.hpp>
#include <numeric>

#include "lab/raft/history.h"

namespace ochrehub::lab {
namespace {

using Kind = Call::Kind;

Call call(Kind kind, double began, double ended, std::string value, std::string answer = {},
          std::string expected = {}) {
    return {kind, "k", std::move(value), std::move(expected), began, ended, std::move(answer)};
}
Call write(double began, double ended, std::string value) {
    return call(Kind::Write, began, ended, std::move(value));
}
Call read(double began, double ended, std::string answer) {
    return call(Kind::Read, began, ended, {}, std::move(answer));
}

TEST(RaftHistory, RightOnesPass) {
    EXPECT_EQ(judge_register({}), Judged::Linearizable);
    EXPECT_EQ(judge_register({write(0, 1, "a"), read(2, 3, "a")}), Judged::Linearizable);
    EXPECT_EQ(judge_register({write(0, 5, "a"), read(1, 2, ""), read(3, 4, "a")}), Judged::Linearizable);
    EXPECT_EQ(judge_register({write(0, Call::kOpen, "a"), read(1, 2, ""), read(3, 4, "a")}),
              Judged::Linearizable);
    EXPECT_EQ(judge_register({write(0, Call::kOpen, "a"), read(1, 2, "")}), Judged::Linearizable);
    EXPECT_EQ(judge_register({write(0, 10, "a"), write(0, 10, "b"), read(1, 2, "b"), read(3, 4, "a")}),
              Judged::Linearizable);
    EXPECT_EQ(judge_register(
                  {call(Kind::Cas, 0, 9, "a", "1"), call(Kind::Cas, 0, 9, "b", "1", "a"), read(10, 11, "b")}),
              Judged::Linearizable);
    EXPECT_EQ(judge_register({call(Kind::Append, 0, 9, "a", "ba"), call(Kind::Append, 0, 9, "b", "b")}),
              Judged::Linearizable);
}

TEST(RaftHistory, WrongOnesDoNot) {
    EXPECT_EQ(judge_register({write(0, 1, "a"), read(2, 3, "")}), Judged::NotLinearizable);  // an old read
    EXPECT_EQ(judge_register({write(0, 9, "a"), read(1, 2, "a"), read(3, 4, "")}),
              Judged::NotLinearizable);  // back in time
    EXPECT_EQ(judge_register({read(0, 1, "a"), write(2, 3, "a")}),
              Judged::NotLinearizable);  // from the future
    EXPECT_EQ(judge_register({write(0, 1, "a"), write(2, 3, "b"), read(4, 5, "a")}),
              Judged::NotLinearizable);  // a lost write
    EXPECT_EQ(judge_register({call(Kind::Cas, 0, 1, "a", "1"), call(Kind::Cas, 2, 3, "b", "1")}),
              Judged::NotLinearizable);  // both won
    EXPECT_EQ(judge_register({call(Kind::Append, 0, 1, "a", "a"), call(Kind::Append, 2, 3, "b", "b")}),
              Judged::NotLinearizable);
    EXPECT_EQ(judge_register({call(Kind::Append, 0, 1, "a", "aa")}),
              Judged::NotLinearizable);  // applied twice
    EXPECT_EQ(judge_register(
                  {write(0, 9, "a"), write(0, 9, "b"), read(1, 2, "a"), read(3, 4, "b"), read(5, 6, "a")}),
              Judged::NotLinearizable);
    EXPECT_EQ(judge_register({write(0, Call::kOpen, "a"), read(1, 2, "a"), read(3, 4, "")}),
              Judged::NotLinearizable);  // an open one undone
    EXPECT_EQ(judge_register({write(0, 9, "a"), read(1, 2, "a")}, 1), Judged::Undecided);
}

TEST(RaftHistory, KeysStandAlone) {
    std::vector<Call> calls{write(0, 1, "a"), read(2, 3, "")};
    calls[1].key = "other";
    EXPECT_EQ(judge_history(calls).judged, Judged::Linearizable);
    calls.push_back(read(4, 5, ""));
    EXPECT_EQ(judge_history(calls).judged, Judged::NotLinearizable);
    EXPECT_EQ(judge_history(calls).key, "k");
}

/// Every order of up to five calls, those that are open taken or left out.
bool some_order(const std::vector<Call>& calls) {
    for (unsigned left_out = 0; left_out < 1u << calls.size(); ++left_out) {
        std::vector<std::size_t> order;
        bool may = true;
        for (std::size_t i = 0; i < calls.size(); ++i) {
            if ((left_out >> i & 1) == 0)
                order.push_back(i);
            else
                may = may && calls[i].ended == Call::kOpen;
        }
        if (!may) continue;
        do {
            std::string stands;
            bool fits = true;
            for (std::size_t i = 0; i < order.size() && fits; ++i) {
                const Call& c = calls[order[i]];
                for (std::size_t j = i + 1; j < order.size(); ++j)
                    fits = fits && !(calls[order[j]].ended < c.began);
                std::string answer = apply_call(c.kind, c.value, c.expected, stands);
                fits = fits && (c.ended == Call::kOpen || answer == c.answer);
            }
            if (fits) return true;
        } while (std::next_permutation(order.begin(), order.end()));
    }
    return false;
}

TEST(RaftHistory, AgreesWithASearchOfAllOrders) {
    boost::random::taus88 random(5);
    auto draw = [&](unsigned below) { return unsigned(random()) % below; };
    int right = 0, wrong = 0;
    for (int round = 0; round < 3000; ++round) {
        std::vector<Call> calls;
        for (unsigned i = 0, n = 2 + draw(4); i < n; ++i) {
            Call c;
            c.kind = Kind(draw(4));
            c.key = "k";
            c.value = std::string(1, char('a' + draw(2)));
            c.expected = draw(2) == 0 ? "" : std::string(1, char('a' + draw(2)));
            c.began = draw(12);
            c.ended = draw(6) == 0 ? Call::kOpen : c.began + 1 + draw(6);
            c.answer = c.kind == Kind::Write ? ""
                       : c.kind == Kind::Cas ? std::string(1, char('0' + draw(2)))
                       : draw(3) == 0        ? ""
                                             : std::string(1, char('a' + draw(2)));
            if (c.kind == Kind::Append && draw(2) == 0) c.answer = "a" + c.value;
            calls.push_back(c);
        }
        bool expected = some_order(calls);
        ASSERT_EQ(judge_register(calls) == Judged::Linearizable, expected) << round;
        ++(expected ? right : wrong);
    }
    EXPECT_GT(right, 300);
    EXPECT_GT(wrong, 300);
}

}  // namespace
}  // namespace ochrehub::lab
