// A process's side of its session with the keepers, without I/O: finds the keeper that leads, opens, renews
// at a third of the lease, and sends commands in order under numbers that do not change when they are sent
// again, so that each is carried out once. Not for two threads; it never makes anybody wait.
//
// The lease is counted from before it was asked for, on the process's own clock, and ends a margin early (a
// hundredth and 50 ms). Whatever happens, the clock is looked at first: behind a pause `Lost` is the first
// that its owner hears. Whoever acts on a session compares `until` with the clock himself before each act;
// `Lost` only tells him sooner.
#pragma once

#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "fleet/coordinator/error.h"
#include "fleet/coordinator/machine.h"
#include "ochrehub/balancer.h"

namespace ochrehub::coordinator {

namespace wire {
class Answer;
class Ask;
}  // namespace wire

struct SessionSettings {
    std::vector<std::string> keepers;  ///< addresses of some; others are learnt from answers
    std::string name, zone;
    std::uint64_t instance = 0;  ///< drawn at the process's start
    std::uint32_t release = 0, schema_least = 0, schema_most = 0;
    Duration lease{3000};
    Duration patience{400};  ///< with one keeper that does not answer
    Duration backoff_least{50}, backoff_most{300};
    Duration resend{1000};         ///< a command or question without an answer goes out again
    Duration question{5000};       ///< after which a question is told Unreachable
    std::size_t window = 32;       ///< commands on their way; keepers keep the answers of 64
    std::size_t waiting = 4096;    ///< commands and questions not answered; more are told Busy
    std::size_t body = 768 << 10;  ///< octets of a command
    std::uint64_t seed = 1;
};

// ---- What happens
struct SessionWoken {};
struct Heard {
    std::string from, body;  ///< an address; wire::Answer
};
struct Cut {  ///< the connection to this address is gone, or there was none to be had
    std::string from;
};
struct Submit {              ///< a command for a machine, under the session that is held
    std::uint64_t call = 0;  ///< chosen by whoever asks; comes back in Answered, once
    std::string kind, body;
};
struct Question {  ///< Machine::read at the leader; needs no session
    std::uint64_t call = 0;
    std::string kind, body;
};
struct CloseSession {};  ///< hand it back; nothing is opened any more
using SessionEvent = std::variant<SessionWoken, Heard, Cut, Submit, Question, CloseSession>;

// ---- What is to be done about it
struct Say {  ///< connecting first where there is no connection
    std::string to, body;
};
struct Held {  ///< from now on, or longer
    SessionId session = 0;
    TimePoint until;
};
struct Lost {  ///< nothing may be done under it any more
    SessionId session = 0;
};
struct News {  ///< as of the last renewal; each kind that has any, each time
    std::string kind, bytes;
};
struct Answered {
    std::uint64_t call = 0;
    Error error = Error::None;  ///< NoSession: never sent; Uncertain: sent, and the session is over since
    std::string result;
};
struct SessionWakeAt {  ///< replaces what was asked for before
    TimePoint at;
};
using SessionAction = std::variant<Say, Held, Lost, News, Answered, SessionWakeAt>;
using SessionActions = std::vector<SessionAction>;

class Session {
public:
    /// Begins with SessionWoken.
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

    void heard(const Heard& heard);
    void answered_probe(const std::string& from, const wire::Answer& answer);
    void answered_command(const std::string& from, const wire::Answer& answer);
    void answered_question(const std::string& from, const wire::Answer& answer);
    void not_accepted(const std::string& from, const wire::Answer& answer);
    void lose();
    void not_there(bool silent, const std::string& hint);
    void probe();
    void end_questions();
    void send_waiting();
    void say(const wire::Ask& ask);
    void learn(const wire::Answer& answer);
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
