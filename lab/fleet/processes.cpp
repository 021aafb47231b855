#include "lab/fleet/processes.h"

#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <boost/json/parse.hpp>
#include <chrono>
#include <csignal>
#include <fstream>
#include <mutex>
#include <thread>
#include <unordered_map>

#include "fleet/membership/member.h"
#include "lab/fleet/ask.h"
#include "lab/fleet/links.h"
#include "lab/fleet/relays.h"
#include "lab/fleet/virtual.h"
#include "lab/play/node_process.h"
#include "lab/play/plain_server.h"
#include "lab/play/temporary_folder.h"

namespace ochrehub::lab::fleet {
namespace {

namespace json = boost::json;
using What = Event::What;
using std::chrono::duration;
using std::chrono::steady_clock;

std::string key(char letter) {
    return std::string("a-key-of-the-lab-for-one-run-") + letter;
}
constexpr unsigned kMembersMachine = 1, kServersRelays = 201;
constexpr std::chrono::milliseconds kTick{5};
constexpr double kAnswerWithin_s = 1, kRequestEvery_s = 0.02;

/// Ports that nobody has just now, at addresses that are this process's own. All are held until the last has
/// been found: one that is let go may be the next that the system gives.
class FreePorts {
public:
    template <class Socket, class At>
    std::string find(At& at) {
        auto socket = std::make_shared<Socket>(io_, at);
        at = socket->local_endpoint();
        held_.push_back(socket);
        return at.address().to_string() + ":" + std::to_string(at.port());
    }

private:
    boost::asio::io_context io_;
    std::vector<std::shared_ptr<void>> held_;
};

class Run {
public:
    Run(const Day& day, const ProcessOptions& options)
        : day_(day),
          options_(options),
          folder_(options.logs.string()),
          loop_{Clock()},
          links_(day),
          watch_(std::size_t(day.members)) {
        for (const Fault& fault : day.faults)
            if (fault.kind == FaultKind::Clock)
                throw std::invalid_argument(
                    "processes have one clock: a fault of clocks is for --world virtual");
        program_ = options.program;
        if (program_.empty())
            program_ = std::filesystem::canonical("/proc/self/exe").parent_path() / "ochrehub";
        if (!std::filesystem::exists(program_))
            throw std::invalid_argument(program_.string() + " is not there: --node names the program");
        raise_descriptor_limit();
        std::vector<boost::asio::ip::udp::endpoint> places;
        auto ports = std::make_unique<FreePorts>();
        for (int i = 0; i < day.members; ++i) {
            One& one = *members_.emplace_back(std::make_unique<One>());
            boost::asio::ip::udp::endpoint place(machine(kMembersMachine), 0);
            one.place = ports->find<boost::asio::ip::udp::socket>(place);
            places.push_back(place);
            for (auto [into, text] :
                 {std::pair(&one.serve, &one.serve_text), std::pair(&one.control, &one.control_text)}) {
                *into = Endpoint(machine(kMembersMachine), 0);
                *text = ports->find<boost::asio::ip::tcp::socket>(*into);
            }
        }
        ports.reset();
        relays_.emplace(loop_, links_, places);
        relays_->seen = [this](std::size_t from, std::string_view octets) { look_into(from, octets); };
        if (options.meddles)
            relays_->meddles = [this](std::size_t from, std::string& octets) {
                membership::SendDatagram send;
                if (membership::decode(octets, keys_, send.datagram, cluster_) !=
                    membership::DecodeError::None)
                    return true;
                if (!options_.meddles(from, send)) return false;
                octets = membership::encode(send.datagram, keys_, cluster_);
                return true;
            };
        for (int s = 0; s < day.servers; ++s) servers_.push_back(std::make_unique<PlainServer>(1));
        for (int i = 0; i < day.members; ++i) {
            places_[relays_->shown(std::size_t(i))] = std::size_t(i);
            for (int s = 0; s < day.servers; ++s)
                members_[std::size_t(i)]->to_servers.push_back(std::make_unique<ConnectionRelay>(
                    loop_, links_, i, day.members + s, servers_[std::size_t(s)]->address(),
                    machine(kServersRelays + unsigned(s) % 50)));
        }
        for (std::size_t i = 0; i < members_.size(); ++i) {
            prepare(i);
            write_keys(i, "a");
            NodeCommand command;
            command.program = program_.string();
            command.arguments = {"node", "--config", (home(i) / "node.toml").string()};
            command.environment = {"TMPDIR=" + home(i).string()};
            command.log = beside(i, ".log").string();
            members_[i]->process.emplace(std::move(command));
        }
    }
    ~Run() {
        over_ = true;
        for (auto& one : members_) {
            for (std::thread* thread : {&one->looks, &one->asks})
                if (thread->joinable()) thread->join();
            one->process->stop();
        }
        loop_.join();
        relays_->close();
        for (auto& one : members_)
            for (auto& relay : one->to_servers) relay->close();
        for (auto& server : servers_) server->stop();
    }

    std::vector<Event> run() {
        loop_.start();
        begin_ = steady_clock::now();
        for (std::size_t i = 0; i < members_.size(); ++i) start(i);
        for (std::size_t i = 0; i < members_.size(); ++i) {
            members_[i]->looks = std::thread([this, i] { look_on(i); });
            if (day_.servers > 0) members_[i]->asks = std::thread([this, i] { ask_on(i); });
        }
        while (!settled() && now_s() < day_.settle_s) tick();
        if (!settled()) return over();
        {
            std::lock_guard lock(mutex_);
            watch_.begin(now_s(), day_.servers > 0);
            begin_ = steady_clock::now();
        }
        counting_ = true;
        std::vector<Step> all = steps(day_);
        const double calm = day_.calm_from_s();
        std::size_t next = 0;
        while (now_s() < day_.length_s) {
            while (next < all.size() && all[next].at_s <= now_s()) take(all[next++]);
            if (next == all.size() && now_s() > calm && settled() && enough()) break;
            tick();
        }
        return over();
    }

private:
    struct One {
        std::string place, serve_text, control_text;
        Endpoint serve, control;
        std::optional<NodeProcess> process;
        std::vector<std::unique_ptr<ConnectionRelay>> to_servers;
        std::thread looks, asks;
        std::atomic<bool> up{false}, stopped{false};
        std::atomic<int> life{0};
    };

    double now_s() const { return duration<double>(steady_clock::now() - begin_).count(); }
    std::filesystem::path home(std::size_t i) const {
        return folder_.path() / std::string("m").append(std::to_string(i));
    }
    std::filesystem::path beside(std::size_t i, const char* ending) const {
        std::filesystem::path path = home(i);
        return path += ending;
    }
    bool enough() const {
        return day_.expect.whole_s < 0 || now_s() > day_.calm_from_s() + day_.expect.whole_s;
    }
    bool settled() {
        std::lock_guard lock(mutex_);
        return watch_.now().settled();
    }
    void note(What what, int who = -1, int value = 0) {
        std::lock_guard lock(mutex_);
        watch_.note({now_s(), what, who, -1, value});
    }
    std::vector<Event> over() {
        for (auto& one : members_) one->up = false;
        over_ = true;
        for (auto& one : members_)
            for (std::thread* thread : {&one->looks, &one->asks})
                if (thread->joinable()) thread->join();
        note(What::Over);
        loop_.finish();
        return watch_.taken();
    }

    /// The folder and what the member is told: of others, only where their relays are.
    void prepare(std::size_t i) {
        std::filesystem::create_directories(home(i));
        const One& one = *members_[i];
        std::ofstream out(home(i) / "node.toml");
        out << "listen = \"" << one.serve_text << "\"\ncontrol = \"" << one.control_text << "\"\nname = \"m"
            << i << "\"\nnodes = " << day_.members << "\n"
            << day_.settings << "\n[[class]]\nname = \"read\"\neffect = \"free\"\n";
        for (const auto& relay : one.to_servers)
            out << "[[server]]\naddress = \"" << text_of(relay->shown()) << "\"\n";
        if (one.to_servers.empty())
            out << "[[server]]\naddress = \"" << one.serve.address().to_string()
                << ":9\"\n[health]\nprobes = false\n";
        out << "[fleet]\nlisten = \"" << one.place << "\"\nadvertise = \"" << relays_->shown(i)
            << "\"\njoin = [";
        for (std::size_t s = 0; s < std::size_t(day_.seeds); ++s)
            out << (s > 0 ? ", " : "") << '"' << relays_->shown(s) << '"';
        out << "]\nkey_file = \"" << beside(i, ".keys").string() << "\"\ninterval_ms = " << day_.interval_ms
            << "\nisolated_ms = " << day_.isolated_ms << "\n";
        out.close();
        if (!out) throw std::runtime_error("cannot write " + (home(i) / "node.toml").string());
    }
    void write_keys(std::size_t i, const std::string& letters) {
        std::filesystem::path path = beside(i, ".keys"), fresh = beside(i, ".keys.new");
        std::ofstream out(fresh);
        for (char letter : letters) out << key(letter) << "\n";
        out.close();
        chmod(fresh.c_str(), 0600);
        std::filesystem::rename(fresh, path);  // whole at any moment
    }
    void start(std::size_t i) {
        One& one = *members_[i];
        one.process->start();
        if (!options_.logs.empty())
            std::ofstream(folder_.path() / "pids", std::ios::app) << one.process->pid() << "\n";
        note(What::Up, int(i));
        one.stopped = false;
        ++one.life;
        one.up = true;
    }
    void gone(std::size_t i, What how) {
        members_[i]->up = false;
        members_[i]->stopped = false;
        note(how, int(i));
    }

    void tick() {
        std::this_thread::sleep_for(kTick);
        if (options_.stop && *options_.stop) throw Interrupted("interrupted");
        if (loop_.failed()) loop_.finish();
        for (std::size_t i = 0; i < members_.size(); ++i) {
            auto how = members_[i]->process->ended();
            if (!how) continue;
            bool asked;
            {
                std::lock_guard lock(mutex_);
                asked = watch_.now().leaving[i];
            }
            if (options_.progress && !asked) options_.progress("member " + std::to_string(i) + ": " + *how);
            gone(i, asked && *how == "exit status 0" ? What::Down : What::Ended);
        }
    }

    void take(const Step& step) {
        using Do = Step::Do;
        const auto who = std::size_t(std::max(0, step.who));
        One& one = *members_[who];
        const bool up = one.process->running();
        switch (step.what) {
            case Do::FaultOn:
            case Do::FaultOff: {
                bool on = step.what == Do::FaultOn;
                // Both sides of its begin: what crossed before is not touched, what comes behind it is.
                loop_.call([this, &step, on] {
                    links_.set(step.fault, on);
                    for (auto& member : members_)
                        for (auto& relay : member->to_servers) relay->look_again();
                    return 0;
                });
                note(on ? What::FaultOn : What::FaultOff, -1, step.fault);
                if (options_.progress)
                    options_.progress(day_.faults[std::size_t(step.fault)].text() +
                                      (on ? ": begins" : ": over"));
                break;
            }
            case Do::Stop:
                if (!up) break;
                note(What::Stopped, step.who);
                one.stopped = true;
                one.process->signal(SIGSTOP);
                break;
            case Do::GoOn:
                if (!up || !one.stopped) break;
                one.process->signal(SIGCONT);
                one.stopped = false;
                note(What::GoesOn, step.who);
                break;
            case Do::Kill:
                if (!up) break;
                one.process->stop();
                gone(who, What::Down);
                break;
            case Do::Start:
                if (up) break;
                if (day_.faults[std::size_t(step.fault)].empty) std::filesystem::remove_all(home(who));
                prepare(who);
                start(who);
                break;
            case Do::Leave:
                if (!up) break;
                note(What::Leaves, step.who);
                one.process->signal(SIGTERM);
                break;
            case Do::Replay:
                loop_.call([this] { return relays_->replay(), 0; });
                break;
            case Do::Rekey:
                write_keys(who, day_.faults[std::size_t(step.fault)].keys);
                one.process->signal(SIGHUP);
                break;
            case Do::ClockOn:
            case Do::ClockOff:
                break;
        }
    }

    /// What crosses a relay: on the loop.
    void look_into(std::size_t from, std::string_view octets) {
        membership::Datagram datagram;
        if (membership::decode(octets, keys_, datagram, cluster_) != membership::DecodeError::None) return;
        for (const membership::Update& update : datagram.updates) {
            if (update.state != membership::MemberState::Dead) continue;
            auto about = places_.find(boost::asio::ip::address_v4(update.address.host).to_string() + ":" +
                                      std::to_string(update.address.port));
            if (about == places_.end()) continue;
            std::lock_guard lock(mutex_);  // also for the time, which begins anew
            watch_.claim(now_s(), from, about->second, update.incarnation);
        }
    }

    /// What operators are shown, again and again: a thread for each member.
    void look_on(std::size_t i) {
        One& one = *members_[i];
        while (!over_) {
            std::this_thread::sleep_for(duration<double>(kLookEvery_s));
            if (!one.up || one.stopped) continue;
            const int life = one.life;
            std::string answer =
                ask(one.control, "GET /ops/members HTTP/1.1\r\nHost: o\r\n\r\n", kAnswerWithin_s).body;
            if (answer.empty() || one.stopped || life != one.life) continue;
            boost::system::error_code error;
            json::value all = json::parse(answer, error);
            if (error) continue;
            Watch::Look look;
            look.of.assign(members_.size(), Seen::Unknown);
            try {
                const json::object& root = all.as_object();
                std::string_view says = root.at("self").at("says").as_string();
                for (auto [word, bit] : {std::pair("deaf", membership::kReportsDeaf),
                                         std::pair("unheard", membership::kReportsUnheard),
                                         std::pair("stalled", membership::kReportsStalled)})
                    if (says.find(word) != std::string_view::npos) look.said |= bit;
                look.shares = int(root.at("sharing").to_number<int>());
                for (const json::value& member : root.at("members").as_array()) {
                    auto about = places_.find(std::string(member.at("place").as_string()));
                    if (about == places_.end()) continue;
                    for (Seen seen : {Seen::Alive, Seen::Suspect, Seen::Dead, Seen::Left})
                        if (member.at("state").as_string() == name(seen)) look.of[about->second] = seen;
                }
            } catch (const std::exception&) {
                continue;  // not what operators are shown: it will not settle
            }
            std::lock_guard lock(mutex_);
            watch_.look(now_s(), i, look);
        }
    }

    /// A client that asks one member steadily: a thread for each.
    void ask_on(std::size_t i) {
        One& one = *members_[i];
        std::uint64_t id = 1 + i * 1'000'000;
        auto next = steady_clock::now();
        while (!over_) {
            next += std::chrono::duration_cast<steady_clock::duration>(duration<double>(kRequestEvery_s));
            std::this_thread::sleep_until(next);
            if (!one.up || one.stopped || !counting_) {
                next = steady_clock::now();
                continue;
            }
            const int life = one.life;
            std::string request =
                "GET /read HTTP/1.1\r\nHost: n\r\nX-Trace-Id: " + std::to_string(id++) + "\r\n\r\n";
            int status = ask(one.serve, request, kAnswerWithin_s).status;
            // Who was stopped or killed meanwhile is no server's or member's loss.
            if (over_ || !one.up || one.stopped || life != one.life) continue;
            note(status == 200 ? What::Served : What::Unserved, int(i), 1);
        }
    }

    const Day& day_;
    const ProcessOptions& options_;
    std::filesystem::path program_;
    TemporaryFolder folder_;
    Loop loop_;
    Links links_;
    std::mutex mutex_;  // guards watch_: looks, relays and the timeline note on threads of their own
    Watch watch_;
    std::vector<std::unique_ptr<One>> members_;
    std::vector<std::unique_ptr<PlainServer>> servers_;
    std::optional<DatagramRelays> relays_;
    std::unordered_map<std::string, std::size_t> places_;
    membership::Keys keys_{{key('a'), key('b'), key('c'), key('d')}};
    const std::uint32_t cluster_ = membership::fingerprint("ochrehub");
    std::atomic<bool> over_{false}, counting_{false};
    steady_clock::time_point begin_{};
};

}  // namespace

std::vector<Event> run_processes(const Day& day, const ProcessOptions& options) {
    Run run(day, options);
    return run.run();
}

}  // namespace ochrehub::lab::fleet
