#include "fleet/coordinator/process.h"

#include <boost/asio/post.hpp>
#include <cstring>
#include <random>
#include <utility>

#include "base/log.h"
#include "fleet/store/posix_files.h"

namespace ochrehub::coordinator {
namespace {

std::uint64_t draw() {
    std::random_device device;
    std::uint64_t number = std::uint64_t(device()) << 32 | device();
    return number == 0 ? 1 : number;
}

const char* worded(raft::Role role) {
    switch (role) {
        case raft::Role::Follower:
            return "follows";
        case raft::Role::PreCandidate:
            return "asks whether it might lead";
        case raft::Role::Candidate:
            return "asks for votes";
        case raft::Role::Leader:
            return "leads";
        case raft::Role::Learner:
            return "learns";
    }
    return "";
}

}  // namespace

channel::MeshSettings KeeperProcess::mesh_settings(const ProcessSettings& settings, std::uint64_t instance) {
    channel::MeshSettings mesh;
    mesh.channel.self = {settings.name, settings.zone, instance, settings.raft.self, settings.release, 0, 0};
    mesh.channel.cluster = fleet::fingerprint(settings.cluster);
    mesh.channel.keys = settings.keys;
    mesh.channel.idle = settings.raft.election_timeout,
    mesh.channel.dead = settings.raft.election_timeout * 3;
    mesh.dial.first = settings.raft.heartbeat_interval;
    mesh.dial.most = settings.raft.election_timeout;
    mesh.dial.limit = settings.raft.election_timeout * 2;
    mesh.accepted = settings.asking;
    return mesh;
}

KeeperProcess::KeeperProcess(boost::asio::io_context& io, Scheduler& scheduler,
                             const ProcessSettings& settings, MakeMachines machines)
    : io_(io),
      scheduler_(scheduler),
      set_(settings),
      storing_(std::make_unique<Storing>(
          std::make_unique<store::PosixFiles>(settings.folder),
          Storing::Settings{{folder_cluster(settings.cluster)}, settings.begin, settings.members})),
      disk_(storing_->disk()),
      raft_(settings.raft, disk_, draw()),
      replica_(
          settings.replica, std::move(machines),
          [this](TimePoint now, const raft::Event& event, raft::Actions& actions) {
              raft_.handle(now, event, actions);
          },
          disk_),
      mesh_(io, scheduler, settings.listen, mesh_settings(settings, draw()), draw()) {
    if (!disk_.trusted)
        log(LogLevel::Warn,
            "keeper: something that was promised is not in the folder: it does not vote until others have "
            "told what they know",
            {{"folder", set_.folder}});
    disk_ = {};
    mesh_.up = [this](const channel::Peer& peer) {
        if (peer.keeper != 0) instances_[peer.keeper] = peer.instance;
    };
    mesh_.down = [this](const channel::Peer& peer, channel::Error) {
        auto found = instances_.find(peer.keeper);
        if (found != instances_.end() && found->second == peer.instance) instances_.erase(found);
    };
    mesh_.deliver = [this](const channel::Peer& peer, channel::Kind kind, std::string body) {
        if (kind == channel::Kind::Ask) return handle(Asked{peer.instance, std::move(body)});
        if (kind != channel::Kind::Raft || peer.keeper == 0 || peer.keeper == set_.raft.self) return;
        if (auto message = raft::decode(body)) handle(FromKeeper{peer.keeper, std::move(*message)});
    };
}

KeeperProcess::~KeeperProcess() {
    *alive_ = false;
    scheduler_.cancel(timer_);
    storing_.reset();
    mesh_.close();
}

void KeeperProcess::start() {
    auto on_loop = [this, alive = alive_](auto what) {
        boost::asio::post(io_, [alive, what] {
            if (*alive) what();
        });
    };
    storing_->start(
        [this, on_loop](std::uint64_t number) { on_loop([this, number] { handle(Written{number}); }); },
        [this, on_loop](int why) {
            on_loop([this, why] { stop(Error::Broken, set_.folder + ": " + std::strerror(why)); });
        });
    meet(raft_.members().empty() ? set_.members : raft_.members());
    handle(Woken{});
}

void KeeperProcess::handle(const ReplicaEvent& event) {
    if (stopped_) return;
    ReplicaActions actions;
    replica_.handle(scheduler_.now(), event, actions);
    for (ReplicaAction& action : actions) carry_out(action);
}

void KeeperProcess::carry_out(ReplicaAction& action) {
    if (stopped_) return;
    if (const auto* send = std::get_if<raft::SendMessage>(&action)) {
        // What is not sent is as good as lost: Raft sends again.
        if (auto found = instances_.find(send->to); found != instances_.end())
            mesh_.send(found->second, channel::Kind::Raft, raft::encode(send->message));
    } else if (auto* write = std::get_if<raft::Write>(&action)) {
        storing_->write(std::move(*write));
    } else if (auto* answer = std::get_if<Answer>(&action)) {
        mesh_.send(answer->who, channel::Kind::Answer, std::move(answer->body));
    } else if (const auto* became = std::get_if<raft::RoleChanged>(&action)) {
        log(became->role == raft::Role::Leader ? LogLevel::Info : LogLevel::Debug, "keeper: this one now",
            {{"role", worded(became->role)}, {"term", became->term}, {"leader", became->leader}});
    } else if (const auto* are = std::get_if<raft::MembershipChanged>(&action)) {
        meet(are->members);
    } else if (const auto* wake = std::get_if<raft::SetTimer>(&action)) {
        scheduler_.cancel(timer_);
        timer_ = scheduler_.call_at(wake->at, [this] {
            timer_ = 0;
            handle(Woken{});
        });
    } else if (const auto* over = std::get_if<Stop>(&action)) {
        stop(over->error, over->about);
    }
}

void KeeperProcess::meet(const raft::Members& members) {
    std::map<raft::NodeId, std::string> wanted;
    bool among = false;
    for (const raft::Member& member : members) {
        among |= member.id == set_.raft.self;
        if (member.id == set_.raft.self) continue;
        auto reach = set_.reach.find(member.id);
        wanted[member.id] = reach == set_.reach.end() ? member.address : reach->second;
    }
    if (!among) log(LogLevel::Info, "keeper: not among the members", {{"number", set_.raft.self}});
    for (const auto& [id, address] : dialled_)
        if (auto still = wanted.find(id); still == wanted.end() || still->second != address)
            mesh_.drop(address);
    for (const auto& [id, address] : wanted)
        if (auto was = dialled_.find(id); was == dialled_.end() || was->second != address)
            if (!mesh_.dial(address))
                log(LogLevel::Error, "keeper: no address:", {{"number", id}, {"address", address}});
    dialled_ = std::move(wanted);
}

void KeeperProcess::stop(Error error, const std::string& about) {
    if (std::exchange(stopped_, true)) return;
    log_line(LogLevel::Error, "%s", fleet::sentence(row(error), about).c_str());
    if (stopped) stopped(error, about);
}

}  // namespace ochrehub::coordinator
