#include "lab/play/play.h"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <random>
#include <stdexcept>

#include "lab/play/client_shell.h"
#include "lab/play/fleet.h"
#include "lab/play/health_check.h"
#include "lab/play/node_lives.h"
#include "lab/play/node_process.h"
#include "lab/play/temporary_folder.h"
#include "lab/referee/referee.h"

namespace ochrehub::lab {
namespace {

constexpr Duration kSlack{50};         // what PROTOCOL adds to each time limit
constexpr Duration kReadyMost{30000};  // then clients come, whoever is ready
constexpr Duration kTick{10}, kSample{100}, kProgress{1000};
constexpr Duration kAfterLast{150};  // what servers still have to tell when the last client is done
constexpr Duration kOverMost{5000};  // beyond the day's length and the longest wait of a client
constexpr Duration kPlannedLeast{3000}, kPlannedMore{700};  // from SIGTERM to SIGKILL
constexpr Duration kFrontNews{300};                         // ... to the front's last new connection
constexpr Duration kOldDiscovery{
    1500};                        // how long it is heard at its old address, where the fault does not say
constexpr double kCatchUp = 0.5;  // of the time that was lost, until all is as before
constexpr std::size_t kServersMost = 2000, kNodesMost = 100;

TimePoint time_of(const Record& record) {
    return std::visit([](const auto& r) { return r.at; }, record);
}

class Play {
public:
    Play(const Day& day, const PlayOptions& options)
        : day_(day), options_(options), random_(day.seed * 0x9e3779b97f4a7c15 + 1), lives_(day.nodes.size()) {
        if (day.nodes.empty() || day.nodes.size() > kNodesMost || day.servers.size() > kServersMost)
            throw std::invalid_argument("a day is played with 1 to 100 nodes and at most 2000 servers");
        raise_descriptor_limit();
        folder_.emplace(options.log_dir);
        std::vector<Endpoint> listen;
        for (std::size_t i = 0; i < day.nodes.size(); ++i) {
            Node& node = *nodes_.emplace_back(std::make_unique<Node>());
            node.held = std::make_unique<Held>(control_.io(), machine(unsigned(1 + i % 8)));
            listen.push_back(node.held->at());
        }
        listen_ = listen;
        fleet_.emplace(fleet_loop_, day, day.seed, listen, true);
    }

    ~Play() {  // where a fault has cut the run short
        fleet_loop_.join();
        if (crowd_loop_) crowd_loop_->join();
    }

    Result run() {
        if (options_.threads > 1) crowd_loop_.emplace(clock_);
        fleet_loop_.start();
        if (crowd_loop_) crowd_loop_->start();
        fleet_loop_.post([this] { fleet_loop_.watch_gaps(); });
        if (crowd_loop_) crowd_loop_->post([this] { crowd_loop_->watch_gaps(); });
        control_.watch_gaps();
        for (std::size_t i = 0; i < nodes_.size(); ++i) start(NodeNo(i));
        ready_until_ = control_.now() + kReadyMost;
        tick();
        sample();
        control_.run();
        for (auto& node : nodes_) {
            if (node->check) node->check->stop();
            node->usage = node->process->usage();
            node->process->stop();
        }
        control_.finish();
        // Answers that came after the end count no more: first those who note stop, then those who write.
        crowd().call([this] {
            if (clients_) clients_->close();
        });
        fleet_loop_.call([this] { fleet_->close(); });
        fleet_loop_.finish();
        if (crowd_loop_) crowd_loop_->finish();
        return judged();
    }

private:
    struct Node {
        enum class Stage { Starting, Ready, Stopping, Killed, Dead } stage = Stage::Starting;
        std::unique_ptr<Held> held;
        std::unique_ptr<NodeProcess> process;
        std::shared_ptr<HealthCheck> check;
        std::string config;
        NodeUsage usage;
        TimePoint starts_again_at{}, kill_at{};
        bool starts_again = false, overdue = false;
        std::uint64_t starts = 0;
        std::size_t descriptors_peak = 0;
    };

    Node& of(NodeNo node) { return *nodes_[std::size_t(node)]; }
    Loop& crowd() { return crowd_loop_ ? *crowd_loop_ : fleet_loop_; }
    void note(NodeNo node, NodeState state) { control_.note(NodeChanged{control_.now(), node, state}); }
    void say(const std::string& what) {
        if (options_.progress) options_.progress(what);
    }

    // ---- nodes

    void write_config(NodeNo number, std::uint64_t seed) {
        Node& node = of(number);
        node.config = (folder_->path() / (node_name(number) + ".json")).string();
        std::string text = fleet_loop_.call([this, number, seed] { return fleet_->config(number, seed); });
        std::ofstream(node.config) << text;
    }
    void start(NodeNo number) {
        Node& node = of(number);
        write_config(number, random_());
        if (!node.process) {
            NodeCommand command;
            command.program = options_.node.empty() ? default_node() : options_.node;
            command.log = (folder_->path() / (node_name(number) + ".log")).string();
            command.sockets = limits_of(day_, number).sockets;
            node.process = std::make_unique<NodeProcess>(std::move(command));
        }
        std::string discovery =
            fleet_loop_.call([this, number] { return text_of(fleet_->discovery().address(number)); });
        node.process->command().environment = {"GW_CONFIG=" + node.config, "GW_NAME=" + node_name(number),
                                               "GW_LISTEN=" + text_of(node.held->at()),
                                               "GW_DISCOVERY=" + discovery};
        note(number, NodeState::Started);
        lives_.start(number);
        node.process->start();
        ++node.starts;
        node.stage = Node::Stage::Starting;
        node.starts_again = node.overdue = false;
        node.check = HealthCheck::begin(control_, node.held->at(), [this, number] {
            of(number).stage = Node::Stage::Ready;
            of(number).check.reset();
            note(number, NodeState::Ready);
            tell_clients(NodeUp{number});
        });
    }
    void kill_node(NodeNo number, std::optional<TimePoint> again_at) {
        Node& node = of(number);
        if (!node.process->running()) return;
        if (node.check) node.check->stop();
        lives_.kill(number);  // before the first connection can break by it
        node.stage = Node::Stage::Killed;
        node.starts_again = again_at.has_value();
        node.starts_again_at = again_at.value_or(TimePoint{});
        node.usage = node.process->usage();
        // It goes on until the signal has come to it, and what it holds is closed later still: Killed is
        // noted ahead of that, Ended behind it.
        note(number, NodeState::Killed);
        say(node_name(number) + " is killed");
        node.process->signal(SIGKILL);
        tell_clients(NodeDown{number});
    }
    void restart(NodeNo number, TimePoint again_at) {
        Node& node = of(number);
        if (!node.process->running() || node.stage == Node::Stage::Stopping) return;
        Duration longest{};
        for (const ClassFigures& c : day_.classes) longest = std::max(longest, c.give_up);
        node.stage = Node::Stage::Stopping;
        node.kill_at = control_.now() + std::max(longest, kPlannedLeast) + kPlannedMore;
        node.starts_again = true;
        node.starts_again_at = again_at;
        node.process->signal(SIGTERM);
        note(number, NodeState::Stopping);  // behind the signal: from here on it can know, and is held to it
        // The front is told of a planned stop: clients still come for a while, and not until it notices by
        // itself.
        control_.scheduler().call_at(control_.now() + kFrontNews, [this, number] {
            if (of(number).stage == Node::Stage::Stopping) tell_clients(NodeDown{number, true});
        });
    }
    void reload(NodeNo number) {
        Node& node = of(number);
        if (!node.process->running()) return;
        write_config(number, random_());
        note(number, NodeState::Reloaded);
        node.process->signal(SIGHUP);
    }
    void look_after(NodeNo number) {
        Node& node = of(number);
        if (node.stage == Node::Stage::Stopping && !node.overdue && control_.now() >= node.kill_at) {
            node.overdue = true;
            note(number, NodeState::Killed);
            node.process->signal(SIGKILL);
        }
        if (auto how = node.process->ended()) {
            bool meant = node.stage == Node::Stage::Killed || node.stage == Node::Stage::Stopping;
            note(number, NodeState::Ended);
            if (!meant) {
                if (node.check) node.check->stop();
                node.stage = Node::Stage::Dead;
                crashed(number, *how);
                tell_clients(NodeDown{number});
            }
        }
        bool wanted = node.starts_again && !node.process->running();
        if (wanted && control_.now() >= node.starts_again_at) start(number);
    }
    void crashed(NodeNo number, const std::string& how) {
        crashes_.push_back({control_.now(), number, how + last_line(number)});
        say(node_name(number) + " crashed: " + how);
    }
    std::string last_line(NodeNo number) const {
        std::ifstream log(folder_->path() / (node_name(number) + ".log"));
        std::string line, last;
        while (std::getline(log, line))
            if (!line.empty()) last = line.substr(0, 300);
        return last.empty() ? "" : "; its log ends: " + last;
    }
    void sample() {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            Node& node = *nodes_[i];
            if (!node.process->running()) continue;
            NodeUsage now = node.process->usage();
            node.descriptors_peak = std::max(node.descriptors_peak, now.descriptors);
            auto most = double(limits_of(day_, NodeNo(i)).memory_mb);
            if (!options_.enforce_memory || now.memory_mb <= most) continue;
            if (node.stage == Node::Stage::Killed) continue;
            crashed(NodeNo(i), fmt::format("killed: {:.1f} MB held, {:g} allowed", now.memory_mb, most));
            kill_node(NodeNo(i), std::nullopt);
        }
        control_.scheduler().call_at(control_.now() + kSample, [this] { sample(); });
    }

    // ---- the day

    void tell_clients(const ClientEvent& event) {
        if (!clients_) return;
        crowd().post([this, event] { clients_->handle(event); });
    }
    void tick() {
        TimePoint now = control_.now();
        for (std::size_t i = 0; i < nodes_.size(); ++i) look_after(NodeNo(i));
        if (!begun_) {
            bool ready = std::all_of(nodes_.begin(), nodes_.end(),
                                     [](const auto& node) { return node->stage != Node::Stage::Starting; });
            if (ready || now >= ready_until_) begin_day();
        } else {
            if (now >= next_say_) tell_progress();
            watch_end();
        }
        if (!over_) control_.scheduler().call_at(now + kTick, [this] { tick(); });
    }
    void begin_day() {
        begun_ = true;
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            if (nodes_[i]->stage == Node::Stage::Starting) crashed(NodeNo(i), "not ready in 30 s");
        start_ = control_.now() + kTick;
        Duration longest{};
        for (const ClassFigures& c : day_.classes) longest = std::max(longest, c.give_up);
        ends_most_ = start_ + day_.length + longest + kOverMost;
        next_say_ = start_ + kProgress;
        crowd().call([this] { clients_.emplace(crowd(), day_, start_, day_.seed, listen_, lives_); });
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            if (nodes_[i]->stage == Node::Stage::Ready) tell_clients(NodeUp{NodeNo(i)});
        crowd().post([this] { clients_->begin(); });
        schedule_faults(control_, day_, start_, [this](int number, bool on) { turn(number, on); });
        for (std::size_t i = 0; i < day_.servers.size(); ++i) {
            if (day_.servers[i].exists_from <= Duration{0}) continue;
            control_.scheduler().call_at(start_ + day_.servers[i].exists_from, [this, i] {
                fleet_loop_.post([this, i] { fleet_->add(ServerNo(i)); });
            });
        }
        say("the day begins");
    }
    void turn(int number, bool on) {
        const Fault& fault = day_.faults[std::size_t(number)];
        control_.note(FaultMark{control_.now(), number, on});
        auto again_at = [&]() -> TimePoint { return control_.now() + fault.length; };
        bool with_end = fault.length > Duration{0};
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            auto node = NodeNo(i);
            if (!fault.nodes.empty() &&
                std::find(fault.nodes.begin(), fault.nodes.end(), node) == fault.nodes.end())
                continue;
            if (fault.kind == FaultKind::NodeKill && on)
                kill_node(node, with_end ? std::optional(again_at()) : std::nullopt);
            if (fault.kind == FaultKind::NodeRestart && on) restart(node, again_at());
            if (fault.kind == FaultKind::NodeReload && on) reload(node);
            if (fault.kind == FaultKind::NodeStall && of(node).process->running()) {
                // The two are noted outside of all that it stood still.
                if (on) note(node, NodeState::Stalled);
                of(node).process->signal(on ? SIGSTOP : SIGCONT);
                if (!on) note(node, NodeState::Resumed);
            }
        }
        if (fault.kind == FaultKind::DiscoveryMoves && on) {
            fleet_loop_.call([this] { fleet_->discovery().move(); });
            for (std::size_t i = 0; i < nodes_.size(); ++i) reload(NodeNo(i));
            if (!with_end)
                control_.scheduler().call_at(control_.now() + kOldDiscovery,
                                             [this] { leave_old_discovery(); });
        }
        if (fault.kind == FaultKind::DiscoveryMoves && !on) leave_old_discovery();
        fleet_loop_.post([this, number, on] { fleet_->fault(number, on); });
        crowd().post([this, number, on] { clients_->fault(number, on); });
    }
    void leave_old_discovery() {
        fleet_loop_.post([this] { fleet_->discovery().leave_old(); });
    }
    void tell_progress() {
        next_say_ += kProgress;
        say(fmt::format("{:.0f} s of {:.0f}", (control_.now() - start_).count() / 1000,
                        day_.length.count() / 1000));
    }
    void watch_end() {
        TimePoint now = control_.now();
        crowd().post([this] { clients_done_ = clients_->done(); });
        if (!clients_done_ || now < start_ + day_.length) last_busy_ = now;
        bool failed = fleet_loop_.failed() || crowd().failed();
        if (!failed && now < ends_most_ && now - last_busy_ < kAfterLast) return;
        over_ = true;
        end_ = now;
        control_.stop();
    }

    // ---- what came of it

    Result judged() {
        std::vector<Record> records = std::move(fleet_loop_.records());
        auto add = [&](Loop& loop) {
            records.insert(records.end(), std::make_move_iterator(loop.records().begin()),
                           std::make_move_iterator(loop.records().end()));
            loop.records().clear();
        };
        if (crowd_loop_) add(*crowd_loop_);
        add(control_);
        std::erase_if(records, [this](const Record& record) { return time_of(record) > end_; });
        std::stable_sort(records.begin(), records.end(),
                         [](const Record& a, const Record& b) { return time_of(a) < time_of(b); });
        if (options_.witness) options_.witness(records, start_);
        Referee referee(day_, start_, kSlack);
        Tally tally(day_, start_);
        std::vector<Record> excuses = stood_still(records);
        auto excuse = excuses.begin();
        for (const Record& record : records) {
            while (excuse != excuses.end() && time_of(*excuse) <= time_of(record)) referee.note(*excuse++);
            referee.note(record);
            tally.note(record);
        }
        referee.finish(end_);
        Result result = tally.result(referee, "play");
        add_nodes(result);
        return result;
    }
    // Where the machine that all of this runs on stood still, or the lab itself was late, no node is to
    // blame. For the referee that is as if every node had been stopped for so long and a little longer. One
    // that was stopped then anyway is left as it is.
    std::vector<Record> stood_still(const std::vector<Record>& records) {
        std::vector<Loop::Gap> gaps = control_.gaps(), merged;
        for (Loop* loop : {&fleet_loop_, &crowd()})
            gaps.insert(gaps.end(), loop->gaps().begin(), loop->gaps().end());
        std::sort(gaps.begin(), gaps.end(), [](const auto& a, const auto& b) { return a.from < b.from; });
        for (Loop::Gap gap : gaps) {
            gap.to += (gap.to - gap.from) * kCatchUp;
            if (!merged.empty() && gap.from <= merged.back().to)
                merged.back().to = std::max(merged.back().to, gap.to);
            else
                merged.push_back(gap);
        }
        std::vector<Record> excuses;
        for (const Loop::Gap& gap : merged) {
            if (gap.to < start_ || gap.from > end_) continue;
            say(fmt::format("this machine stood still from {:.3f} s to {:.3f} s: nodes are excused",
                            (gap.from - start_).count() / 1000, (gap.to - start_).count() / 1000));
            std::vector<NodeNo> excused;
            for (std::size_t i = 0; i < nodes_.size(); ++i)
                if (!stopped_within(records, NodeNo(i), gap)) excused.push_back(NodeNo(i));
            for (NodeNo node : excused) excuses.emplace_back(NodeChanged{gap.from, node, NodeState::Stalled});
            for (NodeNo node : excused) excuses.emplace_back(NodeChanged{gap.to, node, NodeState::Resumed});
        }
        return excuses;
    }
    static bool stopped_within(const std::vector<Record>& records, NodeNo node, const Loop::Gap& gap) {
        bool stopped = false;
        for (const Record& record : records) {
            auto* change = std::get_if<NodeChanged>(&record);
            if (!change || change->node != node) continue;
            if (change->at > gap.to) break;
            if (change->at >= gap.from && change->state == NodeState::Resumed) return true;
            stopped = change->state == NodeState::Stalled;
        }
        return stopped;
    }
    void add_nodes(Result& result) {
        result.node.resize(nodes_.size());
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            const Node& node = *nodes_[i];
            result.node[i].cpu_s = node.usage.cpu_s;
            result.node[i].memory_peak_mb = node.usage.memory_peak_mb;
            result.node[i].starts = node.starts;
            result.node[i].descriptors_peak = double(node.descriptors_peak);
        }
        auto broken = [&](const char* rule, double at_s, NodeNo node, std::string proof) {
            ++result.breach_count;
            result.breaches.push_back({rule, 0, at_s, node_name(node), std::move(proof)});
        };
        for (const Crash& crash : crashes_)
            broken("node-crashed", (crash.at - start_).count() / 1000, crash.node, crash.how);
        const auto& too_long = fleet_->datagrams().too_long();
        for (std::size_t i = 0; i < too_long.size(); ++i)
            if (too_long[i] > 0)
                broken("datagram-too-long", 0, NodeNo(i),
                       fmt::format("{} of more than 256 bytes", too_long[i]));
    }

    struct Crash {
        TimePoint at;
        NodeNo node;
        std::string how;
    };

    const Day& day_;
    const PlayOptions& options_;
    std::mt19937_64 random_;
    NodeLives lives_;
    std::optional<TemporaryFolder> folder_;
    Clock clock_;
    Loop control_{clock_}, fleet_loop_{clock_};
    std::optional<Loop> crowd_loop_;
    std::optional<Fleet> fleet_;
    std::optional<ClientShell> clients_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::vector<Endpoint> listen_;
    std::atomic<bool> clients_done_ = false;
    std::vector<Crash> crashes_;
    TimePoint ready_until_{}, start_{}, ends_most_{}, end_{}, next_say_{}, last_busy_{};
    bool begun_ = false, over_ = false;
};

}  // namespace

std::string default_node() {
    std::error_code unknown;
    auto self = std::filesystem::read_symlink("/proc/self/exe", unknown);
    return (self.parent_path() / "ochrehub").string();
}

Result play(const Day& day, const PlayOptions& options) {
    std::string program = options.node.empty() ? default_node() : options.node;
    if (access(program.c_str(), X_OK) != 0) throw std::invalid_argument(program + ": no program of a node");
    return Play(day, options).run();
}

}  // namespace ochrehub::lab
