// A node's side of documents: what it may act on, by its session with the keepers. A core without I/O: handed
// the session's renewals, the local check's verdicts and times, it says what to act on, what to tell the
// keepers and what to keep on disk.
//
// A permit is as long as the session's lease, which whoever runs the session counts from before it asked,
// less its margin
// (`until`). What is acted on is handed out together with what takes its place at that time (`Permit`), and
// whoever decides something asks the permit with the time first: a process that stood still finds out before
// it decides, not after.
//
// Older versions are given back only once whoever acts says that it has switched (`Switched`).
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fleet/config_distribution/document.h"
#include "fleet/coordinator/state_machine.h"

namespace ochrehub::config_distribution {

namespace wire {
class DocumentNews;
}

enum class ConfigMode : std::uint8_t {
    None,  ///< no version was ever known: the node's own settings
    Full,
    Transitional,  ///< what contradicts neither the older version nor the next one
    KeepCurrent,   ///< its permit is over, and the operators' choice is to go on
    Conservative,
    DenyAll,
};
std::string_view name(ConfigMode mode);

struct EffectiveConfig {
    ConfigMode mode = ConfigMode::None;
    std::uint64_t version = 0;               ///< that it is, or is a part of
    std::shared_ptr<const Content> content;  ///< never null but with Nothing
};
/// What to act on, by the process's own clock. Copied freely; whoever decides asks it with the time of the
/// decision.
struct Permit {
    EffectiveConfig now, then;  ///< then: once `until` or `most` is there
    TimePoint until{};
    TimePoint most = TimePoint::max();  ///< a canary's own end, which no renewal puts off
    const EffectiveConfig& at(TimePoint time) const { return time < until && time < most ? now : then; }
};

struct HolderSettings {
    /// After its start a node that keeps on (`Choice::Keep`) is cautious for so long: others may be ahead of
    /// what its disk says.
    Duration patience{5000};
};

// ---- What happens
/// The session's lease was renewed, or the first of a new session. `news`: what this machine had to tell with
/// that same answer; empty: nothing.
struct Renewed {
    coordinator::SessionId session = 0;
    TimePoint until{};
    std::string news;
};
/// The keepers say that it is over, whatever is left of its lease.
struct Lost {};
/// To a Check.
struct Verdict {
    std::string document;
    std::uint64_t version = 0;
    bool yes = true;
    std::string reason;
};
/// Whoever acts does so by the permit with this serial, and by no older one.
struct Switched {
    std::uint64_t serial = 0;
};
struct Woken {};
using Event = std::variant<Renewed, Lost, Verdict, Switched, Woken>;

// ---- What is to be done about it
/// From now on act by this. `how` of `permit.now` says whether on a version, between two, or without a
/// permit.
struct Apply {
    std::string document;
    std::uint64_t serial = 0;
    Permit permit;
};
/// All permits count until then. Whoever acts carries out Apply and Extend in their order, by one and the
/// same path: a permit that is longer before what replaces it has come would be acted on for too long.
struct Extend {
    TimePoint until{};
};
struct Check {
    Document document;
};
struct Say {
    std::string command;  ///< to the machine, on this session
};
struct Write {
    std::string octets;  ///< to holder_file; not needed for anything that follows
};
struct WakeAt {
    TimePoint at;
};
using Action = std::variant<Apply, Extend, Check, Say, Write, WakeAt>;
using Actions = std::vector<Action>;

class Holder {
public:
    /// `kept`: from its file, as far as the local check takes them. It acts on these by their choice until
    /// the keepers have said more.
    Holder(const HolderSettings& settings, std::vector<Document> kept, TimePoint now, Actions& actions);

    void handle(TimePoint now, const Event& event, Actions& actions);

    std::uint64_t refused_news() const { return refused_news_; }  ///< that could not be read, or were old
    std::uint64_t lapses() const { return lapses_; }
    /// Each document's version in force as far as is known, and how it is acted on.
    struct Status {
        std::string document;
        std::uint64_t in_force = 0;
        ConfigMode mode = ConfigMode::None;
        std::uint64_t acted = 0;
    };
    std::vector<Status> status(TimePoint now) const;

private:
    struct Held {
        std::optional<Document> in_force;  ///< the last that is known with its content
        bool told = false;                 ///< in this session: it may be acted on
        std::optional<Document> next;
        std::uint64_t next_version = 0;  ///< also where its content is not known
        bool draining = false, canary = false, said = false, gave_back = false;
        std::uint64_t canary_version = 0;
        TimePoint canary_ends{};  ///< counted from when this process first heard that it is to act on it
        std::map<std::uint64_t, std::optional<bool>> verdicts;  ///< by version; without a value: asked for
        std::map<std::uint64_t, std::string> reasons;
        Permit permit;
        std::uint64_t beside = 0;                ///< with Between: the version that is coming
        std::uint64_t serial = 0, switched = 0;  ///< of its last Apply, and the last that was confirmed
    };

    void lapse(TimePoint now, Actions& actions);
    void take(TimePoint now, const Renewed& renewed, Actions& actions);
    void take(const std::string& name, const wire::DocumentNews& news, Actions& actions, bool& changed);
    void settle(TimePoint now, const std::string& name, Held& held, Actions& actions);
    void say(const std::string& name, Held& held, Actions& actions);
    ConfigMode without(const Held& held) const;
    static std::shared_ptr<const Content> whole(const Document& document, ConfigMode mode);
    void apply(const std::string& name, Held& held, EffectiveConfig acted, TimePoint most, Actions& actions);
    void write(Actions& actions) const;
    void wake(TimePoint now, Actions& actions) const;
    bool held(TimePoint now) const { return session_ != 0 && now < until_; }

    HolderSettings set_;
    TimePoint patient_until_;
    bool patient_ = true;
    coordinator::SessionId session_ = 0;
    TimePoint until_{};
    std::uint64_t revision_ = 0;
    coordinator::SessionId least_ = 1;  ///< sessions before this one are over
    std::uint64_t serial_ = 0, refused_news_ = 0, lapses_ = 0;
    std::map<std::string, Held> documents_;
};

}  // namespace ochrehub::config_distribution
