// Three members under every order of delivery, loss, wake-up and one crash, to a depth: as they ship no
// promise is broken, and each seeded fault is found.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

#include "lab/swarm/explore.h"

namespace ochrehub::lab {
namespace {

using From = Exploration::From;
using membership::DatagramKind;
using membership::SendDatagram;

class Explored3 : public ::testing::TestWithParam<From> {};

TEST_P(Explored3, NoPromiseIsBroken) {
    Exploration all;
    all.from = GetParam();
    all.depth = GetParam() == From::Cut ? 8 : 6;  // where nearly nothing is on its way at first
    Explored found = explore(all);
    EXPECT_GT(found.states, 1500u);
    EXPECT_EQ(found.broken_count, 0u);
    for (const std::string& broken : found.broken) ADD_FAILURE() << broken;
    EXPECT_EQ(explore(all).states, found.states);  // nothing is drawn
}
TEST_P(Explored3, NoPromiseIsBrokenWhereAWayIsCutAndAMemberPauses) {
    Exploration all;
    all.from = GetParam();
    all.depth = 4;
    all.losses = all.cuts = all.pauses = 1;
    Explored found = explore(all);
    EXPECT_GT(found.states, 1500u);
    for (const std::string& broken : found.broken) ADD_FAILURE() << broken;
}
INSTANTIATE_TEST_SUITE_P(All, Explored3,
                         ::testing::Values(From::Start, From::Settled, From::Suspicion, From::Death,
                                           From::Cut));

void drop_word_on(membership::MemberAddress who, membership::Datagram& datagram) {
    auto& updates = datagram.updates;
    updates.erase(std::remove_if(updates.begin(), updates.end(),
                                 [&](const auto& update) { return update.address == who; }),
                  updates.end());
}

std::uint64_t broken_by(From from, std::function<bool(SendDatagram&)> meddles) {
    Exploration all;
    all.from = from;
    all.depth = 4;
    all.meddles = std::move(meddles);
    return explore(all).broken_count;
}

TEST(SeededFaults, AMemberThatIsNotToldOfItsDeathIsMissed) {
    EXPECT_GT(broken_by(From::Cut,
                        [](SendDatagram& send) {
                            drop_word_on(send.to, send.datagram);
                            return true;
                        }),
              0u);
}

TEST(SeededFaults, RefutationsThatForgetTheIncarnationAreMissed) {
    EXPECT_GT(broken_by(From::Suspicion,
                        [](SendDatagram& send) {
                            send.datagram.from.incarnation = 0;
                            drop_word_on(send.datagram.from.address, send.datagram);
                            return true;
                        }),
              0u);
}

TEST(SeededFaults, WithoutKnocksACutNeverHeals) {
    // Neither lists nor pings to those that are dead.
    EXPECT_GT(broken_by(From::Cut,
                        [](SendDatagram& send) {
                            if (send.datagram.kind == DatagramKind::ListRequest) return false;
                            for (const auto& update : send.datagram.updates)
                                if (send.datagram.kind == DatagramKind::Ping && update.address == send.to &&
                                    update.state == membership::MemberState::Dead)
                                    return false;
                            return true;
                        }),
              0u);
}

TEST(SeededFaults, AnAnswerThatDiesInAHelperBlamesNobodyForGood) {
    // A weakness that the protocol is to stand: helpers never pass an answer on.
    EXPECT_EQ(broken_by(From::Settled,
                        [](SendDatagram& send) {
                            return send.datagram.kind != DatagramKind::Ack ||
                                   send.datagram.about == send.datagram.from.address;
                        }),
              0u);
}

}  // namespace
}  // namespace ochrehub::lab
