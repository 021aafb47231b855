// Datagrams between members: encoding, authentication and bounds.
#include "fleet/membership/datagram.h"

#include <gtest/gtest.h>

#include <string>

namespace ochrehub::membership {
namespace {

MemberAddress address(std::uint32_t n) {
    return {0x7f000000 + n, 7000};
}
Update alive(std::uint32_t n, std::uint32_t incarnation = 0) {
    Update update;
    update.address = address(n);
    update.incarnation = incarnation;
    return update;
}
Update accused(std::uint32_t n, MemberState state, std::uint32_t incarnation = 0, std::uint16_t accuser = 9) {
    Update update = alive(n, incarnation);
    update.state = state;
    if (state == MemberState::Suspect) update.accuser = accuser;
    return update;
}

Datagram full() {
    Datagram d;
    d.kind = DatagramKind::Ack;
    d.sequence = 0xfedcba98;
    d.from = alive(1, 3);
    d.from.role = Role::Planner;
    d.plan = {4, 5};
    d.from.self_report = kReportsDeaf | kReportsStalled;
    d.instance = 0x89abcdef;
    d.name.assign(kMaxNameBytes, 'n');
    d.zone.assign(kMaxZoneBytes, 'z');
    d.about = address(7);
    for (std::uint32_t n = 0; n < kMaxUpdates; ++n)
        d.updates.push_back(accused(n + 2, MemberState(n % 4), n, 500));
    return d;
}

TEST(Datagram, DecodesWhatItEncodesWithinTheMaximumSize) {
    for (const Keys& keys : {Keys(), Keys({"one"})}) {
        Datagram d = full(), back;
        std::string bytes = encode(d, keys);
        EXPECT_LE(bytes.size(), kMaxDatagramBytes);
        ASSERT_EQ(decode(bytes, keys, back), DecodeError::None);
        EXPECT_EQ(back.kind, d.kind);
        EXPECT_EQ(back.sequence, d.sequence);
        EXPECT_EQ(back.from, d.from);
        EXPECT_EQ(back.plan, d.plan);
        EXPECT_EQ(back.about, d.about);
        EXPECT_EQ(back.instance, d.instance);
        EXPECT_TRUE(back.name == d.name && back.zone == d.zone);
        EXPECT_TRUE(back.updates == d.updates);
        EXPECT_EQ(encode(back, keys), bytes);
    }
}

TEST(Datagram, RejectsTruncatedAndExtendedDatagrams) {
    for (const Keys& keys : {Keys(), Keys({"one"})}) {
        std::string bytes = encode(full(), keys);
        Datagram back;
        for (std::size_t n = 0; n < bytes.size(); ++n)
            EXPECT_NE(decode(bytes.substr(0, n), keys, back), DecodeError::None) << n;
        EXPECT_NE(decode(bytes + 'x', keys, back), DecodeError::None);
    }
}

TEST(Datagram, DetectsEachFlippedBitIfThereIsAKey) {
    Keys keys({"one"});
    std::string bytes = encode(full(), keys);
    Datagram back;
    for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
        std::string changed = bytes;
        changed[bit / 8] = char(changed[bit / 8] ^ 1 << bit % 8);
        EXPECT_EQ(decode(changed, keys, back), DecodeError::AuthenticationFailed) << bit;
    }
    // Without a key what is decoded is at least within its bounds.
    std::string bare = encode(full(), {});
    for (std::size_t bit = 0; bit < bare.size() * 8; ++bit) {
        std::string changed = bare;
        changed[bit / 8] = char(changed[bit / 8] ^ 1 << bit % 8);
        if (decode(changed, {}, back) != DecodeError::None) continue;
        EXPECT_LE(back.from.role, Role::Planner);
        EXPECT_LE(back.updates.size(), kMaxUpdates);
    }
}

TEST(Datagram, RejectsOtherClustersAndUnprintableNames) {
    Datagram back;
    std::uint32_t ours = fingerprint("shop"), theirs = fingerprint("shop2");
    EXPECT_NE(ours, theirs);
    EXPECT_EQ(decode(encode(full(), {}, theirs), {}, back, ours), DecodeError::WrongCluster);
    EXPECT_EQ(decode(encode(full(), {}, ours), {}, back, ours), DecodeError::None);
    Datagram odd = full();
    odd.name[3] = '\x1b';
    EXPECT_EQ(decode(encode(odd, {}), {}, back), DecodeError::Malformed);
}

TEST(Datagram, AcceptsBothKeysWhileTheyAreRolled) {
    Keys old_one({"old"}), both_old_first({"old", "new"}), both_new_first({"new", "old"}), new_one({"new"});
    Datagram back;
    auto read = [&](const Keys& by, const Keys& to) {
        return decode(encode(full(), by), to, back) == DecodeError::None;
    };
    EXPECT_TRUE(read(old_one, both_old_first) && read(both_old_first, old_one));
    EXPECT_TRUE(read(both_old_first, both_new_first) && read(both_new_first, both_old_first));
    EXPECT_TRUE(read(both_new_first, new_one) && read(new_one, both_new_first));
    EXPECT_FALSE(read(old_one, new_one) || read(new_one, old_one));
    EXPECT_FALSE(read(Keys(), new_one));
}

}  // namespace
}  // namespace ochrehub::membership
