// A process's side of its session with the keepers, without I/O: finds the keeper that leads, opens, renews
// at a third of the lease, and sends commands in order under numbers that do not change when they are sent
// again, so that each is carried out once. Not for two threads; it never makes anybody wait.
//
// The lease is counted from before it was asked for, on the process's own clock, and ends a margin early (a
// hundredth and 50 ms). Whatever happens, the clock is looked at first: behind a pause `SessionLost` is the
// first that its owner hears. Whoever acts on a session compares `until` with the clock himself before each
// act; `SessionLost` only tells him sooner.
#pragma once

#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "fleet/coordinator/error.h"
#include "fleet/coordinator/state_machine.h"
#include "ochrehub/balancer.h"

namespace ochrehub::coordinator {

namespace wire {
class Response;
class Request;
}  // namespace wire

struct SessionSettings {
    std::vector<std::string> coordinators;  ///< addresses of some; others are learnt from answers
    std::string name, zone;
    std::uint64_t instance = 0;  ///< drawn at the process's start
    std::uint32_t release = 0, min_schema = 0, max_schema = 0;
    Duration lease{3000};
    Duration response_timeout{400};  ///< with one keeper that does not answer
    Duration min_backoff{50}, max_backoff{300};
    Duration resend_interval{1000};             ///< a command or question without an answer goes out again
    Duration query_timeout{5000};               ///< after which a question is told Unreachable
    std::size_t max_inflight_commands = 32;     ///< commands on their way; keepers keep the answers of 64
    std::size_t max_pending_calls = 4096;       ///< commands and questions not answered; more are told Busy
    std::size_t max_command_bytes = 768 << 10;  ///< octets of a command
    std::uint64_t seed = 1;
};

// ---- What happens
struct SessionTimerFired {};
struct ResponseReceived {
    std::string from, body;  ///< an address; wire::Response
};
struct Disconnected {  ///< the connection to this address is gone, or there was none to be had
    std::string from;
};
struct CommandRequested {    ///< a command for a machine, under the session that is held
    std::uint64_t call = 0;  ///< chosen by whoever asks; comes back in CallCompleted, once
    std::string kind, body;
};
struct QueryRequested {  ///< StateMachine::read at the leader; needs no session
    std::uint64_t call = 0;
    std::string kind, body;
};
struct CloseRequested {};  ///< hand it back; nothing is opened any more
using SessionEvent = std::variant<SessionTimerFired, ResponseReceived, Disconnected, CommandRequested,
                                  QueryRequested, CloseRequested>;

// ---- What is to be done about it
struct SendRequest {  ///< connecting first where there is no connection
    std::string to, body;
};
struct SessionRenewed {  ///< from now on, or longer
    SessionId session = 0;
    TimePoint until;
};
struct SessionLost {  ///< nothing may be done under it any more
    SessionId session = 0;
};
struct SessionUpdate {  ///< as of the last renewal; each kind that has any, each time
    std::string kind, bytes;
};
struct CallCompleted {
    std::uint64_t call = 0;
    Error error = Error::None;  ///< NoSession: never sent; Uncertain: sent, and the session is over since
    std::string result;
};
struct SetSessionTimer {  ///< replaces what was asked for before
    TimePoint at;
};
using SessionAction =
    std::variant<SendRequest, SessionRenewed, SessionLost, SessionUpdate, CallCompleted, SetSessionTimer>;
using SessionActions = std::vector<SessionAction>;

class Session {
public:
    /// Begins with SessionTimerFired.
    explicit Session(const SessionSettings& settings);

    void handle(TimePoint now, const SessionEvent& event, SessionActions& actions);

    SessionId id() const { return session_; }
    TimePoint until() const { return until_; }
    const std::string& leader() const { return target_; }  ///< as far as is known
    bool found() const { return found_; }
    std::size_t waiting() const { return commands_.size() + questions_.size(); }
    std::uint64_t renewals() const { return renewals_; }
    std::uint64_t lost() const { return lost_; }

private:
    struct Sending {
        std::uint64_t call = 0;    // the owner's
        std::uint64_t ours = 0;    // on the wire, each time it is sent
        std::uint64_t number = 0;  // of a command
        std::string kind, body;
        bool sent = false, ever = false;
        TimePoint at{}, ends{};  // sent; of a question: after which nobody waits
    };
    struct Probe {  // the one Open or Renew that is out
        std::uint64_t call = 0;
        TimePoint asked{};
        bool out = false, open = false;
    };

    void heard(const ResponseReceived& heard);
    void answered_probe(const std::string& from, const wire::Response& answer);
    void answered_command(const std::string& from, const wire::Response& answer);
    void answered_question(const std::string& from, const wire::Response& answer);
    void not_accepted(const std::string& from, const wire::Response& answer);
    void lose();
    void not_there(bool silent, const std::string& hint);
    void probe();
    void end_questions();
    void send_waiting();
    void say(const wire::Request& ask);
    void learn(const wire::Response& answer);
    void wake();
    Duration backoff();
    double uniform() { return double(random_() >> 11) * 0x1p-53; }

    SessionSettings set_;
    std::mt19937_64 random_;
    TimePoint now_{}, wake_ = TimePoint::max();
    SessionActions* out_ = nullptr;

    std::vector<std::string> keepers_;
    std::string target_, silent_;
    TimePoint silent_at_{};
    bool found_ = false, closed_ = false;
    int hops_ = 0, failures_ = 0;
    SessionId session_ = 0;
    TimePoint until_{}, try_at_{}, resend_at_{};
    Probe probe_;
    std::uint64_t attempt_ = 1, next_call_ = 1, next_number_ = 1;
    std::deque<Sending> commands_;
    std::deque<Sending> questions_;
    std::uint64_t renewals_ = 0, lost_ = 0;
};

}  // namespace ochrehub::coordinator
