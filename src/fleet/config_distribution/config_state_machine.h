// The coordinators' state machine for documents: which version is in force, which is proposed, which sessions
// have acknowledged it and which may still use an older one. It has no clock
// (fleet/coordinator/state_machine.h).
//
// A proposal is based on the version in force; a second one on the same base is rejected. First it is staged:
// each active session receives its content and acknowledges or rejects it. With Bounded consistency it is
// then in force. With Strict consistency older versions are drained first: every session that may use an
// older version releases it or ends. The right to use a version depends on the session alone. Version numbers
// are never reused, also those of aborted proposals.
//
// Only sessions that subscribe use documents; the sessions of tools and of other processes have no leases on
// documents and block nothing.
//
// A canary is used in its scope only and ends by itself; until then the document accepts no other proposal.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/config_distribution/document.h"
#include "fleet/coordinator/state_machine.h"

namespace ochrehub::config_distribution {

namespace wire {
class Back;
class Command;
class DocumentState;
class Propose;
}  // namespace wire

inline constexpr std::size_t kMaxDocuments = 64, kMaxHistory = 8, kMaxAborted = 8;
inline constexpr std::size_t kMaxTotalContentBytes = 16 << 20;  ///< sum over all stored contents
inline constexpr std::size_t kMaxReasonBytes = 200;
inline constexpr std::size_t kMaxUpdateBytes =
    512 << 10;  ///< contents in one session update; the rest follows with later ones
inline constexpr Duration kMinStagingTimeout{1000}, kMaxStagingTimeout{600'000};

struct Proposal {
    Document document;               ///< its version is assigned by the state machine
    std::uint64_t base_version = 0;  ///< version in force that it is based on; 0: no version yet
    std::uint64_t token =
        0;  ///< random, of the proposer; a repeated token marks a retry of the same proposal
    bool any_nack_aborts = true;       ///< false: only if all nodes reject it
    Duration staging_timeout{30'000};  ///< within which all nodes must accept it
};

// Encoded commands
std::string propose_command(const Proposal& proposal);
std::string rollback_command(std::string_view name, std::uint64_t to,
                             const Proposal& as);  ///< the content of `as` is ignored
std::string ack_command(std::string_view name, std::uint64_t version, bool acked, std::string_view reason);
std::string release_command(std::string_view name, std::uint64_t next);
std::string content_received_command(std::string_view name, std::uint64_t version, const Content& content);
std::string withdraw_command(std::string_view name, std::uint64_t version, std::string_view by);
std::string subscribe_command();
/// For `query`. An empty name requests all documents, without contents.
std::string status_query(std::string_view name);

enum class Phase : std::uint8_t { None, Staging, Draining, Canary };
enum class AckStatus : std::uint8_t { Pending, Ack, Nack };

struct AbortedVersion {  ///< a version that never came into force
    std::uint64_t version = 0;
    Failure failure;
    std::string proposer;
};
struct NodeStatus {
    std::string name, zone;
    std::uint64_t version = 0;           ///< newest version whose content the node has
    AckStatus ack = AckStatus::Pending;  ///< for the staged version
    std::string reason;
    bool blocks_drain = false;  ///< older versions are not released yet
};
struct DocumentStatus {
    std::string name;
    std::optional<Document> in_force, next;
    Phase phase = Phase::None;
    std::vector<Document> history;        ///< newest first
    std::vector<AbortedVersion> aborted;  ///< newest last
    std::vector<NodeStatus> nodes;
};
struct ConfigResponse {
    std::optional<Failure> failure;
    std::uint64_t version = 0;              ///< assigned to the proposal
    std::vector<DocumentStatus> documents;  ///< for a status query; without contents if for all documents
};
std::optional<ConfigResponse> decode_response(std::string_view bytes);

class ConfigStateMachine : public coordinator::StateMachine {
public:
    std::string_view kind() const override { return "rules"; }
    std::uint32_t schema() const override { return 1; }
    std::string apply(const coordinator::Command& command) override;
    std::string query(std::string_view request) const override;
    void session_opened(coordinator::SessionId session, std::string_view name,
                        std::string_view zone) override;
    void session_ended(coordinator::SessionId session) override;
    std::string session_update(coordinator::SessionId session) const override;
    void timeouts(std::vector<coordinator::Timeout>& armed) const override;
    std::string on_timeout(std::uint64_t key, std::uint64_t revision) const override;
    std::string snapshot() const override;
    bool restore(std::uint32_t schema, std::string_view bytes) override;

    // For metrics
    std::size_t documents() const { return documents_.size(); }
    std::uint64_t in_force(std::string_view name) const;  ///< version; 0: none

private:
    struct Session {
        std::string name, zone;
        bool subscribed = false;  ///< others have no leases and are not addressed
    };
    struct NodeAck {
        AckStatus ack = AckStatus::Pending;
        std::string reason;
    };
    struct DocumentState {
        std::uint64_t key = 0, last_version = 0;
        std::optional<Document> in_force;
        std::deque<Document> history;  ///< newest first
        Phase phase = Phase::None;
        Document next;
        bool any_nack_aborts = true;
        Duration staging_timeout{};
        std::uint64_t armed_revision = 0;
        std::map<coordinator::SessionId, NodeAck> acks;
        std::set<coordinator::SessionId> awaiting_release;
        std::map<coordinator::SessionId, std::set<std::uint64_t>> received;
        std::deque<AbortedVersion> aborted;
        std::deque<std::pair<std::uint64_t, std::uint64_t>>
            tokens;  ///< recent tokens with the versions assigned
    };
    using DocumentStates = std::map<std::string, DocumentState, std::less<>>;

    ConfigResponse handle(const wire::Command& command, coordinator::SessionId session);
    ConfigResponse handle(const wire::Propose& propose);
    ConfigResponse handle(const wire::Back& back);
    ConfigResponse start_staging(Proposal&& proposal);
    std::optional<Failure> check_proposal(const Proposal& proposal, const DocumentState* state) const;
    ConfigResponse status(std::string_view name) const;
    /// Whether the session must acknowledge `next`: all subscribed sessions, or those in its canary scope.
    bool is_addressed(const DocumentState& state, const Session& session) const;
    void advance(DocumentState& state);
    void put_in_force(DocumentState& state);
    void abort_proposal(DocumentState& state, Failure why);
    void forget_received(DocumentState& state);
    std::size_t total_content_bytes() const;
    void encode_state(const std::string& name, const DocumentState& state, wire::DocumentState& into) const;
    static bool decode_state(const wire::DocumentState& from, DocumentState& state);

    std::uint64_t revision_ = 0, last_key_ = 0;
    DocumentStates documents_;
    std::map<coordinator::SessionId, Session> sessions_;
};

}  // namespace ochrehub::config_distribution
