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
struct ConfigLease {
    EffectiveConfig current, after_expiry;  ///< then: once `until` or `most` is there
    TimePoint expires_at{};
    TimePoint canary_ends_at = TimePoint::max();  ///< a canary's own end, which no renewal puts off
    const EffectiveConfig& at(TimePoint time) const {
        return time < expires_at && time < canary_ends_at ? current : after_expiry;
    }
};

struct ConfigSubscriberSettings {
    /// After its start a node that keeps on (`Choice::Keep`) is cautious for so long: others may be ahead of
    /// what its disk says.
    Duration conservative_startup{5000};
};

// ---- What happens
/// The session's lease was renewed, or the first of a new session. `news`: what this machine had to tell with
/// that same answer; empty: nothing.
struct LeaseRenewed {
    coordinator::SessionId session = 0;
    TimePoint expires_at{};
    std::string update;
};
/// The keepers say that it is over, whatever is left of its lease.
struct SessionLost {};
/// To a Check.
struct CheckCompleted {
    std::string document;
    std::uint64_t version = 0;
    bool accepted = true;
    std::string reason;
};
/// Whoever acts does so by the permit with this serial, and by no older one.
struct ConfigApplied {
    std::uint64_t serial = 0;
};
struct TimerFired {};
using Event = std::variant<LeaseRenewed, SessionLost, CheckCompleted, ConfigApplied, TimerFired>;

// ---- What is to be done about it
/// From now on act by this. `how` of `permit.now` says whether on a version, between two, or without a
/// permit.
struct ApplyConfig {
    std::string document;
    std::uint64_t serial = 0;
    ConfigLease lease;
};
/// All permits count until then. Whoever acts carries out Apply and Extend in their order, by one and the
/// same path: a permit that is longer before what replaces it has come would be acted on for too long.
struct ExtendLeases {
    TimePoint expires_at{};
};
struct CheckDocument {
    Document document;
};
struct SendCommand {
    std::string command;  ///< to the machine, on this session
};
struct WriteFile {
    std::string bytes;  ///< to holder_file; not needed for anything that follows
};
struct SetTimer {
    TimePoint at;
};
using Action = std::variant<ApplyConfig, ExtendLeases, CheckDocument, SendCommand, WriteFile, SetTimer>;
using Actions = std::vector<Action>;

class ConfigSubscriber {
public:
    /// `kept`: from its file, as far as the local check takes them. It acts on these by their choice until
    /// the keepers have said more.
    ConfigSubscriber(const ConfigSubscriberSettings& settings, std::vector<Document> stored, TimePoint now,
                     Actions& actions);

    void handle(TimePoint now, const Event& event, Actions& actions);

    std::uint64_t rejected_updates() const {
        return rejected_updates_;
    }  ///< that could not be read, or were old
    std::uint64_t lease_expirations() const { return lease_expirations_; }
    /// Each document's version in force as far as is known, and how it is acted on.
    struct Status {
        std::string document;
        std::uint64_t in_force = 0;
        ConfigMode mode = ConfigMode::None;
        std::uint64_t effective_version = 0;
    };
    std::vector<Status> status(TimePoint now) const;

private:
    struct DocumentState {
        std::optional<Document> in_force;  ///< the last that is known with its content
        bool confirmed = false;            ///< in this session: it may be acted on
        std::optional<Document> next;
        std::uint64_t next_version = 0;  ///< also where its content is not known
        bool draining = false, canary = false, acked = false, released = false;
        std::uint64_t canary_version = 0;
        TimePoint canary_ends_at{};  ///< counted from when this process first heard that it is to act on it
        std::map<std::uint64_t, std::optional<bool>>
            check_results;  ///< by version; without a value: asked for
        std::map<std::uint64_t, std::string> nack_reasons;
        ConfigLease lease;
        std::uint64_t transition_to = 0;               ///< with Between: the version that is coming
        std::uint64_t serial = 0, applied_serial = 0;  ///< of its last Apply, and the last that was confirmed
    };

    void expire_lease(TimePoint now, Actions& actions);
    void handle_renewal(TimePoint now, const LeaseRenewed& renewed, Actions& actions);
    void update_document(const std::string& name, const wire::DocumentNews& news, Actions& actions,
                         bool& changed);
    void update_config(TimePoint now, const std::string& name, DocumentState& state, Actions& actions);
    void send_commands(const std::string& name, DocumentState& state, Actions& actions);
    ConfigMode mode_without_lease(const DocumentState& state) const;
    static std::shared_ptr<const Content> content_for(const Document& document, ConfigMode mode);
    void apply_config(const std::string& name, DocumentState& state, EffectiveConfig effective,
                      TimePoint canary_ends_at, Actions& actions);
    void write_file(Actions& actions) const;
    void set_timer(TimePoint now, Actions& actions) const;
    bool has_session(TimePoint now) const { return session_ != 0 && now < expires_at_; }

    ConfigSubscriberSettings settings_;
    TimePoint startup_ends_at_;
    bool in_startup_ = true;
    coordinator::SessionId session_ = 0;
    TimePoint expires_at_{};
    std::uint64_t revision_ = 0;
    coordinator::SessionId min_session_ = 1;  ///< sessions before this one are over
    std::uint64_t serial_ = 0, rejected_updates_ = 0, lease_expirations_ = 0;
    std::map<std::string, DocumentState> documents_;
};

}  // namespace ochrehub::config_distribution
