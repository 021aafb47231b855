// A node's subscription to the fleet's documents: decides which configuration the node may use, under its
// session with the coordinators. A core without I/O: it receives the session's renewals, the results of the
// local check and timers, and returns what to apply, what to send to the coordinators and what to store.
//
// A ConfigLease lasts as long as the session's lease, which the session counts from before it sent the
// renewal, less a margin. It carries the configuration in effect together with the one that replaces it at
// expiry, and the node compares it with the clock before each decision: a process that was paused notices the
// expiry before it decides, not after.
//
// Older versions are released only after the node has reported that it uses the new lease (`ConfigApplied`).
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
    None,  ///< no version is known: the node's own settings apply
    Full,
    Transitional,  ///< the part that conflicts with neither the version in force nor the next one
    KeepCurrent,   ///< the lease has expired, and the expiry policy keeps the last version
    Conservative,
    DenyAll,
};
std::string_view name(ConfigMode mode);

struct EffectiveConfig {
    ConfigMode mode = ConfigMode::None;
    std::uint64_t version = 0;               ///< that `content` is, or is a part of
    std::shared_ptr<const Content> content;  ///< null with mode None only
};
/// Which configuration is in effect, by the process's own clock. Cheap to copy; must be evaluated with the
/// time of each decision.
struct ConfigLease {
    EffectiveConfig current, after_expiry;  ///< `after_expiry`: from `expires_at` or `canary_ends_at` on
    TimePoint expires_at{};
    TimePoint canary_ends_at = TimePoint::max();  ///< end of a canary; renewals do not extend it
    const EffectiveConfig& at(TimePoint time) const {
        return time < expires_at && time < canary_ends_at ? current : after_expiry;
    }
};

struct ConfigSubscriberSettings {
    /// Time after the start in which ExpiryPolicy::KeepCurrent acts as Conservative: other nodes may already
    /// use a newer version than the one in this node's file.
    Duration conservative_startup{5000};
};

// Events
/// The session was opened or renewed. `update`: the state machine's session_update in the same response;
/// empty: none.
struct LeaseRenewed {
    coordinator::SessionId session = 0;
    TimePoint expires_at{};
    std::string update;
};
/// The coordinators have ended the session, even if its lease has not expired yet.
struct SessionLost {};
/// Result of a CheckDocument.
struct CheckCompleted {
    std::string document;
    std::uint64_t version = 0;
    bool accepted = true;
    std::string reason;
};
/// The node uses the lease with this serial, and no older one.
struct ConfigApplied {
    std::uint64_t serial = 0;
};
struct TimerFired {};
using Event = std::variant<LeaseRenewed, SessionLost, CheckCompleted, ConfigApplied, TimerFired>;

// Actions
/// Replaces the lease of the document. `lease.current.mode` tells whether it is a version, the common part of
/// two, or the configuration without a lease.
struct ApplyConfig {
    std::string document;
    std::uint64_t serial = 0;
    ConfigLease lease;
};
/// Extends all leases. ApplyConfig and ExtendLeases must be executed in their order, on the same path: a
/// lease that is extended before its replacement has arrived would be used for too long.
struct ExtendLeases {
    TimePoint expires_at{};
};
struct CheckDocument {
    Document document;
};
struct SendCommand {
    std::string command;  ///< for the state machine, on this session
};
struct WriteFile {
    std::string bytes;  ///< for document_file.h; no later action depends on it
};
struct SetTimer {
    TimePoint at;
};
using Action = std::variant<ApplyConfig, ExtendLeases, CheckDocument, SendCommand, WriteFile, SetTimer>;
using Actions = std::vector<Action>;

class ConfigSubscriber {
public:
    /// `stored`: the documents of the node's file that the local check accepts. They apply under their expiry
    /// policy until the coordinators have sent an update.
    ConfigSubscriber(const ConfigSubscriberSettings& settings, std::vector<Document> stored, TimePoint now,
                     Actions& actions);

    void handle(TimePoint now, const Event& event, Actions& actions);

    std::uint64_t rejected_updates() const { return rejected_updates_; }  ///< malformed or stale
    std::uint64_t lease_expirations() const { return lease_expirations_; }
    /// The version of each document in force, as far as known, and the one in effect.
    struct Status {
        std::string document;
        std::uint64_t in_force = 0;
        ConfigMode mode = ConfigMode::None;
        std::uint64_t effective_version = 0;
    };
    std::vector<Status> status(TimePoint now) const;

private:
    struct DocumentState {
        std::optional<Document> in_force;  ///< the last version whose content is known
        bool confirmed = false;            ///< by the coordinators, in this session
        std::optional<Document> next;
        std::uint64_t next_version = 0;  ///< known even if the content is not
        bool draining = false, canary = false, acked = false, released = false;
        std::uint64_t canary_version = 0;
        TimePoint canary_ends_at{};  ///< counted from when this process was first notified of the canary
        std::map<std::uint64_t, std::optional<bool>> check_results;  ///< by version; no value: check pending
        std::map<std::uint64_t, std::string> nack_reasons;
        ConfigLease lease;
        std::uint64_t transition_to = 0;  ///< with Transitional: the next version
        std::uint64_t serial = 0,
                      applied_serial =
                          0;  ///< of the last ApplyConfig, and the last one reported by ConfigApplied
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
