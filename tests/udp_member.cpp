// Members on real sockets: they find each other, a dead one is found, one leaves, and what cannot be read is
// counted.
#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "base/asio_scheduler.h"
#include "fleet/membership/udp.h"

#define CHECK(what)                                                         \
    do {                                                                    \
        if (!(what)) {                                                      \
            std::fprintf(stderr, "%s:%d: %s\n", __FILE__, __LINE__, #what); \
            std::exit(1);                                                   \
        }                                                                   \
    } while (false)

using namespace ochrehub;
using namespace ochrehub::membership;

namespace {

/// Stands still till it is told otherwise.
class Still : public Scheduler {
public:
    TimePoint now() const override { return now_; }
    void post(Task task) override { task(); }
    TimerId call_at(TimePoint at, Task task) override {
        waiting_.emplace_back(at, std::move(task));
        return waiting_.size();
    }
    void cancel(TimerId) override {}
    void go_to(TimePoint at) {
        now_ = at;
        auto all = std::exchange(waiting_, {});
        for (auto& [due, task] : all)
            if (due <= at) task();
    }

private:
    TimePoint now_{Duration{1000}};
    std::vector<std::pair<TimePoint, Task>> waiting_;
};

// However many are there, so many are read in a tenth of a second, and then as many again.
void a_flood_waits() {
    boost::asio::io_context io;
    Still clock;
    UdpMember::Endpoint any(boost::asio::ip::address_v4::loopback(), 0);
    UdpMember member(io, clock, any, {}, Keys(), 1);
    UdpMember::Endpoint at(boost::asio::ip::address_v4(member.address().host), member.address().port);
    boost::asio::ip::udp::socket noise(io, any);
    char octet = 0;
    for (std::size_t i = 0; i < UdpMember::kMaxReads + 50; ++i)
        noise.send_to(boost::asio::buffer(&octet, 1), at);
    io.poll();
    CHECK(member.rejected(DecodeError::UnsupportedVersion) == UdpMember::kMaxReads &&
          member.throttled_reads() == 1);
    io.restart();
    io.poll();
    CHECK(member.rejected(DecodeError::UnsupportedVersion) == UdpMember::kMaxReads);
    clock.go_to(clock.now() + UdpMember::kReadWindow);
    io.restart();
    io.poll();
    CHECK(member.rejected(DecodeError::UnsupportedVersion) == UdpMember::kMaxReads + 50);
    member.close();
    io.restart();
    io.poll();
}

}  // namespace

int main() {
    a_flood_waits();
    boost::asio::io_context io;
    AsioScheduler scheduler(io);
    UdpMember::Endpoint any(boost::asio::ip::address_v4::loopback(), 0);
    std::vector<std::unique_ptr<UdpMember>> members;
    ochrehub::membership::Settings set;
    set.probe_interval = Duration{100};
    set.probe_timeout = Duration{30};
    // Two keys are rolled; the fourth has another one.
    std::vector<Keys> keys{Keys({"new", "old"}), Keys({"old", "new"}), Keys({"new", "old"}), Keys({"other"})};
    for (std::size_t i = 0; i < keys.size(); ++i) {
        members.push_back(std::make_unique<UdpMember>(io, scheduler, any, set, keys[i], i));
        if (i == 0) set.seeds = {members[0]->address()};
    }
    for (auto& member : members) member->start();
    // Waits for what it is told; a hang ends with the test's time.
    auto until = [&](const std::function<bool()>& done) {
        while (!done()) {
            io.restart();
            CHECK(io.run_one() > 0);
        }
    };
    auto state = [&](std::size_t of, std::size_t about) {
        const auto* found = members[of]->core().find(members[about]->address());
        return found ? int(found->update.state) : -1;
    };
    until([&] { return state(0, 1) == 0 && state(1, 0) == 0 && state(0, 2) == 0 && state(2, 1) == 0; });
    until([&] { return members[0]->rejected(DecodeError::AuthenticationFailed) > 0; });
    CHECK(state(0, 3) == -1 && state(3, 0) == -1);

    // Noise is counted, and answered by nobody.
    boost::asio::ip::udp::socket noise(io, any);
    UdpMember::Endpoint first(boost::asio::ip::address_v4(members[0]->address().host),
                              members[0]->address().port);
    std::vector<char> zeros(300);
    auto forged = members[0]->rejected(DecodeError::AuthenticationFailed);
    for (std::size_t size : {0u, 1u, 60u, 256u, 300u})
        noise.send_to(boost::asio::buffer(zeros.data(), size), first);
    until([&] {
        return members[0]->rejected(DecodeError::AuthenticationFailed) >= forged + 4 &&
               members[0]->rejected(DecodeError::TooLong) >= 1;
    });

    ActivePlan plan{3, 9};
    members[1]->set_plan(plan);
    until([&] { return members[0]->core().find(members[1]->address())->plan == plan; });

    members[1]->close();
    until([&] { return state(0, 1) == int(MemberState::Dead) && state(2, 1) == int(MemberState::Dead); });
    bool over = false;
    members[2]->leave([&] { over = true; });
    until([&] { return over && state(0, 2) == int(MemberState::Left); });
    for (auto& member : members) member->close();
    io.restart();
    io.poll();
    std::puts("members on sockets: all as expected");
}
