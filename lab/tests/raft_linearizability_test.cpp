// The history checker on histories whose verdict is known, and compared with a search of all orders.
#include <gtest/gtest.h>

#include <algorithm>
#include <boost/random/taus88.hpp>
#include <functional>
#include <string>
#include <vector>

#include "lab/raft/linearizability.h"

namespace ochrehub::lab {
namespace {

using Kind = RegisterOperation::Kind;

RegisterOperation operation(Kind kind, double invoked_at, double responded_at, std::string value,
                            std::string response = {}, std::string expected = {}) {
    return {kind, "k", std::move(value), std::move(expected), invoked_at, responded_at, std::move(response)};
}
RegisterOperation write(double invoked_at, double responded_at, std::string value) {
    return operation(Kind::Write, invoked_at, responded_at, std::move(value));
}
RegisterOperation read(double invoked_at, double responded_at, std::string response) {
    return operation(Kind::Read, invoked_at, responded_at, {}, std::move(response));
}

TEST(RaftLinearizability, AcceptsLinearizableHistories) {
    EXPECT_EQ(check_register({}), Linearizability::Linearizable);
    EXPECT_EQ(check_register({write(0, 1, "a"), read(2, 3, "a")}), Linearizability::Linearizable);
    EXPECT_EQ(check_register({write(0, 5, "a"), read(1, 2, ""), read(3, 4, "a")}),
              Linearizability::Linearizable);
    EXPECT_EQ(
        check_register({write(0, RegisterOperation::kNoResponse, "a"), read(1, 2, ""), read(3, 4, "a")}),
        Linearizability::Linearizable);
    EXPECT_EQ(check_register({write(0, RegisterOperation::kNoResponse, "a"), read(1, 2, "")}),
              Linearizability::Linearizable);
    EXPECT_EQ(check_register({write(0, 10, "a"), write(0, 10, "b"), read(1, 2, "b"), read(3, 4, "a")}),
              Linearizability::Linearizable);
    EXPECT_EQ(check_register({operation(Kind::CompareAndSet, 0, 9, "a", "1"),
                              operation(Kind::CompareAndSet, 0, 9, "b", "1", "a"), read(10, 11, "b")}),
              Linearizability::Linearizable);
    EXPECT_EQ(
        check_register({operation(Kind::Append, 0, 9, "a", "ba"), operation(Kind::Append, 0, 9, "b", "b")}),
        Linearizability::Linearizable);
}

TEST(RaftLinearizability, RejectsHistoriesThatAreNotLinearizable) {
    EXPECT_EQ(check_register({write(0, 1, "a"), read(2, 3, "")}),
              Linearizability::NotLinearizable);  // an old read
    EXPECT_EQ(check_register({write(0, 9, "a"), read(1, 2, "a"), read(3, 4, "")}),
              Linearizability::NotLinearizable);  // back in time
    EXPECT_EQ(check_register({read(0, 1, "a"), write(2, 3, "a")}),
              Linearizability::NotLinearizable);  // from the future
    EXPECT_EQ(check_register({write(0, 1, "a"), write(2, 3, "b"), read(4, 5, "a")}),
              Linearizability::NotLinearizable);  // a lost write
    EXPECT_EQ(check_register({operation(Kind::CompareAndSet, 0, 1, "a", "1"),
                              operation(Kind::CompareAndSet, 2, 3, "b", "1")}),
              Linearizability::NotLinearizable);  // both won
    EXPECT_EQ(
        check_register({operation(Kind::Append, 0, 1, "a", "a"), operation(Kind::Append, 2, 3, "b", "b")}),
        Linearizability::NotLinearizable);
    EXPECT_EQ(check_register({operation(Kind::Append, 0, 1, "a", "aa")}),
              Linearizability::NotLinearizable);  // applied twice
    EXPECT_EQ(check_register(
                  {write(0, 9, "a"), write(0, 9, "b"), read(1, 2, "a"), read(3, 4, "b"), read(5, 6, "a")}),
              Linearizability::NotLinearizable);
    EXPECT_EQ(
        check_register({write(0, RegisterOperation::kNoResponse, "a"), read(1, 2, "a"), read(3, 4, "")}),
        Linearizability::NotLinearizable);  // an open one undone
    EXPECT_EQ(check_register({write(0, 9, "a"), read(1, 2, "a")}, 1), Linearizability::Undecided);
}

TEST(RaftLinearizability, DecidesEachKeyAlone) {
    std::vector<RegisterOperation> operations{write(0, 1, "a"), read(2, 3, "")};
    operations[1].key = "other";
    EXPECT_EQ(check_history(operations).verdict, Linearizability::Linearizable);
    operations.push_back(read(4, 5, ""));
    EXPECT_EQ(check_history(operations).verdict, Linearizability::NotLinearizable);
    EXPECT_EQ(check_history(operations).key, "k");
}

/// The order respects real time, and each response agrees.
bool is_valid_order(const std::vector<RegisterOperation>& operations, const std::vector<std::size_t>& order) {
    std::string register_value;
    for (std::size_t i = 0; i < order.size(); ++i) {
        const RegisterOperation& current = operations[order[i]];
        for (std::size_t later = i + 1; later < order.size(); ++later)
            if (operations[order[later]].responded_at < current.invoked_at) return false;
        std::string response = apply_operation(current, register_value);
        bool has_response = current.responded_at != RegisterOperation::kNoResponse;
        if (has_response && response != current.response) return false;
    }
    return true;
}

/// Tries every order of up to five operations, those without a response executed or not.
bool some_order_is_valid(const std::vector<RegisterOperation>& operations) {
    for (unsigned left_out = 0; left_out < 1u << operations.size(); ++left_out) {
        std::vector<std::size_t> order;
        bool allowed = true;
        for (std::size_t i = 0; i < operations.size(); ++i) {
            if ((left_out >> i & 1) == 0)
                order.push_back(i);
            else
                allowed = allowed && operations[i].responded_at == RegisterOperation::kNoResponse;
        }
        if (!allowed) continue;
        do {
            if (is_valid_order(operations, order)) return true;
        } while (std::next_permutation(order.begin(), order.end()));
    }
    return false;
}

std::string random_response(RegisterOperation::Kind kind, const std::function<unsigned(unsigned)>& below) {
    if (kind == Kind::Write) return "";
    if (kind == Kind::CompareAndSet) return std::string(1, char('0' + below(2)));
    if (below(3) == 0) return "";
    return std::string(1, char('a' + below(2)));
}

RegisterOperation random_operation(const std::function<unsigned(unsigned)>& below) {
    RegisterOperation operation;
    operation.kind = Kind(below(4));
    operation.key = "k";
    operation.value = std::string(1, char('a' + below(2)));
    operation.expected = below(2) == 0 ? "" : std::string(1, char('a' + below(2)));
    operation.invoked_at = below(12);
    operation.responded_at =
        below(6) == 0 ? RegisterOperation::kNoResponse : operation.invoked_at + 1 + below(6);
    operation.response = random_response(operation.kind, below);
    if (operation.kind == Kind::Append && below(2) == 0) operation.response = "a" + operation.value;
    return operation;
}

TEST(RaftLinearizability, AgreesWithASearchOfAllOrders) {
    boost::random::taus88 random(5);
    auto below = [&](unsigned limit) { return unsigned(random()) % limit; };
    int linearizable = 0;
    int not_linearizable = 0;
    for (int round = 0; round < 3000; ++round) {
        std::vector<RegisterOperation> operations;
        unsigned count = 2 + below(4);
        for (unsigned i = 0; i < count; ++i) operations.push_back(random_operation(below));
        bool expected = some_order_is_valid(operations);
        ASSERT_EQ(check_register(operations) == Linearizability::Linearizable, expected) << round;
        ++(expected ? linearizable : not_linearizable);
    }
    EXPECT_GT(linearizable, 300);
    EXPECT_GT(not_linearizable, 300);
}

}  // namespace
}  // namespace ochrehub::lab
