// What the keepers agree on about documents: which version is in force, which is on its way, who has said
// what of it and who may still act on an older one. A machine of theirs (fleet/coordinator/state_machine.h),
// so it knows no time.
//
// A proposal is made on a version in force; another that was made on the same one is told that it came
// second. It is staged: each live session has its octets and says yes or no. A `quick` one is in force then.
// A `strict` one is drained first: every session that may act on what is older says that it does not any
// more, or is over. The permit to act on a version hangs on the session and on nothing else. A version's
// number is never given twice, whatever becomes of it.
//
// A session that acts on documents attends: others, of tools and of processes of other kinds, hold no permits
// and hold nothing up.
//
// A canary is acted on in its scope alone, and ends by itself; meanwhile the document takes no other
// proposal.
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
inline constexpr std::size_t kMaxTotalContentBytes = 16 << 20;  ///< of all contents that are kept
inline constexpr std::size_t kMaxReasonBytes = 200;
inline constexpr std::size_t kMaxUpdateBytes =
    512 << 10;  ///< octets of contents in one renewal's answer; others follow
inline constexpr Duration kMinStagingTimeout{1000}, kMaxStagingTimeout{600'000};

struct Proposal {
    Document document;                 ///< its version is given by the machine
    std::uint64_t base_version = 0;    ///< the version in force that it was made on; zero: the first
    std::uint64_t token = 0;           ///< drawn by whoever asks: the same one again is the same proposal
    bool any_nack_aborts = true;       ///< else only the no of all
    Duration staging_timeout{30'000};  ///< in which every live node must have taken it
};

// Commands, as octets.
std::string propose_command(const Proposal& proposal);
std::string rollback_command(std::string_view name, std::uint64_t to,
                             const Proposal& as);  ///< of `as` all but its content counts
std::string ack_command(std::string_view name, std::uint64_t version, bool acked, std::string_view reason);
std::string release_command(std::string_view name, std::uint64_t next);
std::string content_received_command(std::string_view name, std::uint64_t version, const Content& content);
std::string withdraw_command(std::string_view name, std::uint64_t version, std::string_view by);
std::string subscribe_command();
/// For `read`. Empty: all documents, without their contents.
std::string status_query(std::string_view name);

enum class Phase : std::uint8_t { None, Staging, Draining, Canary };
enum class AckStatus : std::uint8_t { Pending, Ack, Nack };

struct AbortedVersion {  ///< a version that never came in force
    std::uint64_t version = 0;
    Failure failure;
    std::string proposer;
};
struct NodeStatus {
    std::string name, zone;
    std::uint64_t version = 0;           ///< the newest whose content it has
    AckStatus ack = AckStatus::Pending;  ///< on what is staged
    std::string reason;
    bool blocks_drain = false;  ///< older versions are not given back yet
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
    std::uint64_t version = 0;              ///< what was proposed is now called
    std::vector<DocumentStatus> documents;  ///< to a question; of all documents without contents
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

    // For figures.
    std::size_t documents() const { return documents_.size(); }
    std::uint64_t in_force(std::string_view name) const;  ///< its version; zero: none

private:
    struct Session {
        std::string name, zone;
        bool subscribed = false;  ///< others hold no permits and are not asked
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
        std::deque<std::pair<std::uint64_t, std::uint64_t>> tokens;  ///< and their versions
    };
    using DocumentStates = std::map<std::string, DocumentState, std::less<>>;

    ConfigResponse handle(const wire::Command& command, coordinator::SessionId session);
    ConfigResponse handle(const wire::Propose& propose);
    ConfigResponse handle(const wire::Back& back);
    ConfigResponse start_staging(Proposal&& proposal);
    std::optional<Failure> check_proposal(const Proposal& proposal, const DocumentState* state) const;
    ConfigResponse status(std::string_view name) const;
    /// Whoever must take `next` of this document: all, or who is in its scope.
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
