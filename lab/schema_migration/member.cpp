// A process of a fleet with shared sessions, for tests with real processes: a session at the coordinators,
// the holder of some shards, a node that writes, and a possible owner of a migration.
//     member FOLDER INDEX HOLDERS SHARDS GROUPS COORDINATOR...
// Linked twice: with the schema versions of this release and with those of the previous one.
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/random/taus88.hpp>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>

#include "base/asio_scheduler.h"
#include "fleet/channel/peer_connections.h"
#include "fleet/coordinator/session_thread.h"
#include "fleet/schema_migration/migration_state_machine.h"
#include "fleet/schema_migration/owner.h"
#include "fleet/schema_migration/receiver.h"
#include "lab/schema_migration/file_records.h"
#include "lab/schema_migration/nodes.h"

namespace ochrehub::lab::migration {
namespace {

namespace m = ochrehub::schema_migration;
namespace wire = m::wire;
constexpr Kind kKind = Kind::Sessions;
constexpr Duration kOperationTimeout{2000}, kOperationInterval{20};

class Member {
public:
    Member(std::string folder, std::size_t index, std::size_t holders, std::uint32_t shards,
           std::size_t groups, std::vector<std::string> coordinators)
        : folder_(std::move(folder)),
          index_(index),
          holders_(holders),
          shards_(shards),
          groups_(groups),
          records_(path("disk", index)),
          history_(path("book", index)),
          receiver_({kKind, m::MigrationStateMachine::kInitialVersions[std::size_t(kKind)], 50,
                     schema::convert, [this](std::uint32_t shard) { return shard % holders_ == index_; }},
                    records_),
          owner_(owner_settings()),
          random_(unsigned(getpid())) {
        fill();
        std::uint64_t instance = std::uint64_t(getpid()) << 20 | index;
        channel::PeerConnectionsSettings set;
        set.channel.self.name = "member-" + std::to_string(index), set.channel.self.instance = instance;
        set.channel.cluster = fleet::fingerprint("migration");
        peer_connections_ = std::make_unique<channel::PeerConnections>(
            io_, scheduler_,
            channel::PeerConnections::Endpoint(boost::asio::ip::make_address("127.0.0.1"), 0), set, instance);
        peer_connections_->on_message = [this](const channel::Peer& peer, channel::MessageKind,
                                               std::string body) { deliver(peer.instance, std::move(body)); };
        std::ostringstream at;
        at << peer_connections_->listen_address();
        std::ofstream(path("new", index)) << at.str();
        std::filesystem::rename(path("new", index), path("address", index));
        coordinator::SessionThreadSettings side;
        side.session.coordinators = std::move(coordinators),
        side.session.name = "member-" + std::to_string(index), side.session.zone = "lab";
        side.session.lease = Duration{3000}, side.cluster = "migration";
        session_ = std::make_unique<coordinator::SessionThread>(side, clock_);
        session_->add_listener([this](const coordinator::SessionThread::Notification& told) {
            boost::asio::post(io_, [this, told] { handle_notification(told); });
        });
        session_->start();
        connect_to_holders();
        next_operation();
    }
    void run() { io_.run(); }

private:
    static m::OwnerSettings owner_settings() {
        m::OwnerSettings set;
        set.groups_per_order = 2, set.groups_per_second = 60,
        set.max_concurrent_shards = 2;  // slow enough to kill a process during the migration
        return set;
    }
    std::string path(const char* what, std::size_t index) const {
        return folder_ + "/" + what + "." + std::to_string(index);
    }
    std::uint32_t shard_of(const std::string& group) const {
        return std::uint32_t(std::stoul(group.substr(1)) * 7 % shards_);
    }
    std::uint64_t below(std::uint64_t n) { return random_() % n; }

    void fill() {
        if (records_.any() || index_ >= holders_) return;
        for (std::size_t i = 0; i < groups_; ++i) {
            std::string name = "c" + std::to_string(i);
            if (shard_of(name) % holders_ != index_) continue;
            wire::Ask put;
            put.set_shard(shard_of(name)), put.set_group(name), put.set_writes(true);
            put.set_schema(m::MigrationStateMachine::kInitialVersions[0]);
            for (const auto& r : initial_group(kKind, put.schema(), name, i)) {
                auto& to = *put.add_records();
                to.set_key(r.key), to.set_value(r.value);
            }
            if (receiver_.handle(put).error()) std::abort();
        }
    }

    // Other members

    void connect_to_holders() {
        for (std::size_t i = 0; i < holders_; ++i) {
            std::ifstream in(path("address", i));
            std::string address;
            if (i == index_ || !(in >> address) || address == addresses_[i]) continue;
            if (!addresses_[i].empty()) peer_connections_->drop(addresses_[i]);
            peer_connections_->dial(addresses_[i] = address);
        }
        scheduler_.call_at(scheduler_.now() + Duration{100}, [this] { connect_to_holders(); });
    }
    void send(std::uint32_t shard, char what, const std::string& body) {
        std::size_t holder = shard % holders_;
        if (holder == index_)
            return boost::asio::post(io_, [this, whole = what + body] { deliver(0, whole); });
        if (std::uint64_t instance = peer_connections_->instance_at(addresses_[holder]))
            peer_connections_->send(instance, channel::MessageKind::Migration, what + body);
    }
    void answer(std::uint64_t to, char what, const std::string& body) {
        if (to == 0) return boost::asio::post(io_, [this, whole = what + body] { deliver(0, whole); });
        peer_connections_->send(to, channel::MessageKind::Migration, what + body);
    }
    void deliver(std::uint64_t from, std::string body) {
        if (body.empty()) return;
        char what = body[0];
        body.erase(0, 1);
        wire::Order order;
        wire::Ask ask;
        wire::Reply reply;
        wire::Given given;
        if (what == 'O' && order.ParseFromString(body))
            answer(from, 'R', receiver_.handle(order).SerializeAsString());
        if (what == 'A' && ask.ParseFromString(body))
            answer(from, 'G', receiver_.handle(ask).SerializeAsString());
        if (what == 'R' && reply.ParseFromString(body)) own(m::ReplyReceived{std::move(reply)});
        if (what == 'G' && given.ParseFromString(body)) take(given);
    }

    // Coordinators

    void handle_notification(const coordinator::SessionThread::Notification& told) {
        if (const auto* held = std::get_if<coordinator::SessionRenewed>(&told)) {
            until_ = held->until;
            if (held->session == session_id_) return;
            session_id_ = held->session, said_ = false;
            wire::Command says;
            for (const schema::Range& range : schema::supported_ranges()) {
                auto& to = *says.mutable_says()->add_ranges();
                to.set_least(range.min), to.set_most(range.max);
            }
            submit(says);
        } else if (const auto* news = std::get_if<coordinator::SessionUpdate>(&told)) {
            wire::News is;
            if (news->kind == "migration" && is.ParseFromString(news->bytes)) handle_news(is);
        } else {
            session_id_ = 0, said_ = false;
            owner_ = m::Owner(owner_settings());
        }
    }
    void submit(const wire::Command& command) {
        session_->submit("migration", command.SerializeAsString(),
                         [this](coordinator::Error error, const std::string& result) {
                             boost::asio::post(io_, [this, error, result] {
                                 wire::Answer answer;
                                 if (error == coordinator::Error::None && answer.ParseFromString(result))
                                     handle_news(answer.news());
                             });
                         });
    }
    void handle_news(const wire::News& news) {
        if (news.levels_size() != int(schema::kKindCount)) return;
        if (news.refused() && news.refused() != refused_)
            std::printf("refused: %s\n",
                        fleet::sentence(m::row(m::from_wire(news.refused())), news.about()).c_str()),
                std::fflush(stdout);
        refused_ = news.refused();
        said_ = said_ || refused_ != m::on_wire(m::Error::Silent);
        const auto& is = news.migration();
        if (is.revision() >= revision_ && !refused_) level_ = news.levels(0), revision_ = is.revision();
        own(m::NewsReceived{news, until_});
    }
    void own(const m::OwnerEvent& event) {
        m::OwnerActions actions;
        owner_.handle(scheduler_.now(), event, actions);
        for (m::OwnerAction& action : actions) {
            if (auto* give = std::get_if<m::SendOrder>(&action))
                send(give->order.shard(), 'O', give->order.SerializeAsString());
            if (auto* propose = std::get_if<m::SubmitCommand>(&action)) submit(propose->command);
            if (auto* wake = std::get_if<m::SetTimer>(&action)) {
                if (timer_) scheduler_.cancel(timer_);
                timer_ = scheduler_.call_at(std::max(wake->at, scheduler_.now() + Duration{1}),
                                            [this] { timer_ = 0, own(m::TimerFired{}); });
            }
        }
    }

    // The node

    void next_operation() {
        TimePoint now = scheduler_.now();
        if (busy_ && now >= op_ends_) busy_ = false;
        // Writes with the version it knew, without checking its session: a holder must refuse an old version.
        if (!busy_ && level_ && said_once()) {
            write_ = {};
            write_.id = (std::uint64_t(getpid()) << 24) + ++writes_;
            write_.group = "c" + std::to_string(below(groups_)), write_.tenant = kTenants[below(3)];
            write_.moves = below(3) == 0;
            busy_ = true, writing_ = false, op_ends_ = now + kOperationTimeout;
            ask();
        }
        scheduler_.call_at(now + kOperationInterval, [this] { next_operation(); });
    }
    bool said_once() { return said_ || (level_ && schema::supported_ranges()[0].contains(level_)); }
    void ask() {
        wire::Ask ask;
        ask.set_id(ask_ = ++asks_), ask.set_shard(shard_of(write_.group)), ask.set_group(write_.group),
            ask.set_schema(asked_in_ = level_);
        send(ask.shard(), 'A', ask.SerializeAsString());
    }
    void take(const wire::Given& given) {
        if (!busy_ || given.id() != ask_) return;
        std::ostringstream line;
        if (given.error()) {
            line << "r " << std::string(m::row(m::from_wire(given.error())).code) << '\n';
            history_.add(line.str());
            busy_ = false;
            if (schema::supported_ranges()[0].contains(given.schema()) && !refused_) level_ = given.schema();
            return;
        }
        if (writing_) {
            line << "a " << write_.id << ' ' << given.version() << ' ' << asked_in_ << '\n';
            history_.add(line.str());
            busy_ = false;
            return;
        }
        Group group;
        for (const auto& r : given.records()) group.push_back({r.key(), r.value()});
        Contents contents;
        if (!schema::supported_ranges()[0].contains(asked_in_) ||
            !parse_contents(kKind, asked_in_, group, contents)) {
            history_.add("x " + std::to_string(asked_in_) + '\n');
            busy_ = false;
            return;
        }
        wire::Ask put;
        put.set_id(ask_ = ++asks_), put.set_shard(shard_of(write_.group)), put.set_group(write_.group),
            put.set_schema(asked_in_);
        put.set_writes(true), put.set_version(given.version());
        for (const auto& r : applied(kKind, asked_in_, group, write_)) {
            auto& to = *put.add_records();
            to.set_key(r.key), to.set_value(r.value);
        }
        line << "t " << write_.id << ' ' << write_.group << ' ' << write_.tenant << ' ' << write_.moves
             << '\n';
        if (!history_.add(line.str())) std::abort();
        writing_ = true;
        send(put.shard(), 'A', put.SerializeAsString());
    }

    std::string folder_;
    std::size_t index_, holders_;
    std::uint32_t shards_;
    std::size_t groups_;
    Clock clock_;
    boost::asio::io_context io_{1};
    AsioScheduler scheduler_{io_, clock_};
    FileRecords records_;
    Appender history_;
    m::Receiver receiver_;
    m::Owner owner_;
    boost::random::taus88 random_;
    std::unique_ptr<channel::PeerConnections> peer_connections_;
    std::unique_ptr<coordinator::SessionThread> session_;
    std::map<std::size_t, std::string> addresses_;
    coordinator::SessionId session_id_ = 0;
    TimePoint until_{}, op_ends_{};
    bool said_ = false, busy_ = false, writing_ = false;
    std::uint32_t refused_ = 0;
    Version level_ = 0, asked_in_ = 0;
    std::uint64_t revision_ = 0, writes_ = 0, ask_ = 0, asks_ = 0;
    TimerId timer_ = 0;
    Write write_;
};

}  // namespace
}  // namespace ochrehub::lab::migration

int main(int argc, char** argv) {
    if (argc < 7) return 2;
    std::vector<std::string> coordinators(argv + 6, argv + argc);
    ochrehub::lab::migration::Member member(
        argv[1], std::strtoul(argv[2], nullptr, 10), std::strtoul(argv[3], nullptr, 10),
        std::uint32_t(std::strtoul(argv[4], nullptr, 10)), std::strtoul(argv[5], nullptr, 10), coordinators);
    member.run();
}
