// The replicated endpoint list: what discovery lists, agreed on by the coordinators. One publisher, the
// holder of the role "list", polls discovery for all nodes and reports each response
// (endpoint_list_publisher.h); nodes receive changes with their session renewals (endpoint_list_follower.h).
// Holds the state machine, its commands and its errors; it decides nothing about who publishes.
//
// The state machine has no clock. It is itself a receiver of commands under an epoch: the highest epoch
// counts. Not thread-safe.
//
// How recent is a node's list? No clock is compared. The state machine counts rounds: each report closes the
// open round and opens the next, and a publisher polls discovery only once it knows the open round. So if a
// node was notified that round r is open, and later that r + 1 is closed, then discovery was polled after the
// node had sent its own first request: its list is as of that moment, by its own clock, whichever process was
// slow or stopped in between.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/coordinator/state_machine.h"
#include "fleet/error/error.h"

namespace ochrehub::leadership::endpoint_list {

using coordinator::Epoch;

inline constexpr std::uint32_t kSchema = 1;        ///< of commands and snapshots
inline constexpr std::string_view kRole = "list";  ///< the role whose holder publishes

/// Part of the replicated rules: the same at every coordinator.
struct Limits {
    std::size_t max_endpoints = 20'000;
    std::size_t max_id_bytes = 128;
    std::size_t max_body_bytes = 1024;
    /// Changes in one session update. A node that lacks more fetches the full list.
    std::size_t max_update_bytes = 16 << 10;
    std::uint64_t retained_rounds = 8;  ///< changes are sent for this many rounds
};

/// Why a command was rejected. A rejected command changes nothing.
enum class Error {
    Malformed,        ///< cannot be decoded, or holds no command
    StaleEpoch,       ///< a newer publisher has opened its epoch
    EpochNotOpened,   ///< the publisher has not opened this epoch
    RoundClosed,      ///< the report belongs to a round that is closed
    VersionMismatch,  ///< the report was made on another version of the list
    LimitExceeded,    ///< more endpoints than Limits allows, or one that is too long
};
inline constexpr std::size_t kErrors = 6;
/// The stable code and the texts for operators.
const fleet::ErrorRow& row(Error error);

/// By an endpoint's id, all that discovery sent of it.
using Endpoints = std::map<std::string, std::string, std::less<>>;
/// The same for equal lists, at every coordinator and node.
std::uint64_t digest(const Endpoints& endpoints);

/// The difference between two successive versions.
struct Change {
    std::uint64_t version = 0;  ///< of the list with this change
    Endpoints upserted;
    std::vector<std::string> removed;
};

/// A response of discovery.
struct DiscoveryResult {
    std::uint64_t revision = 0;  ///< discovery's
    bool is_full = false;        ///< endpoints that are not in `upserted` are removed
    Endpoints upserted;
    std::vector<std::string> removed;
};

// Commands, encoded.

/// The publisher begins under its epoch: commands of older epochs are rejected from here on.
std::string open_epoch_command(Epoch epoch);

/// Where a report belongs, as the last CommandResponse or SessionUpdate showed it.
struct ReportPosition {
    Epoch epoch = 0;
    std::uint64_t version = 0;
    std::uint64_t round = 0;
};
std::string report_command(const ReportPosition& position, const DiscoveryResult& result);

/// The response to a command.
struct CommandResponse {
    std::optional<Error> error;  ///< none: success
    Epoch epoch = 0;             ///< the highest that was opened
    std::uint64_t version = 0;
    std::uint64_t open_round = 0;
};
/// None: malformed.
std::optional<CommandResponse> decode_command_response(std::string_view bytes);

/// What each node receives with its session renewals.
struct SessionUpdate {
    std::uint64_t version = 0;
    std::uint64_t digest = 0;  ///< of the list at `version`
    std::uint64_t open_round = 0;
    std::uint64_t confirmed_round = 0;  ///< the last one that a report closed; below open_round
    std::vector<Change> changes;        ///< the latest, oldest first; not necessarily all that a node lacks
};
/// None: malformed.
std::optional<SessionUpdate> decode_session_update(std::string_view bytes);

/// The response to a query.
struct FullList {
    std::uint64_t version = 0;
    std::uint64_t digest = 0;
    std::uint64_t revision = 0;  ///< discovery's
    Endpoints endpoints;
};
/// None: malformed, or the digest is not that of the endpoints.
std::optional<FullList> decode_full_list(std::string_view bytes);

/// Each round passes through: open --a report of the current epoch, round and version--> confirmed.
/// OpenEpoch opens another round, so that no report of an older publisher can close it.
class StateMachine : public coordinator::StateMachine {
public:
    explicit StateMachine(const Limits& limits = {}) : limits_(limits) {}

    /// The kind is part of the stored format.
    std::string_view kind() const override { return "list"; }
    std::uint32_t schema() const override { return kSchema; }
    std::string apply(const coordinator::Command& command) override;
    /// An encoded FullList, whatever the query.
    std::string query(std::string_view query) const override;
    void session_opened(coordinator::SessionId, std::string_view, std::string_view) override {}
    void session_ended(coordinator::SessionId) override {}
    /// An encoded SessionUpdate, the same for all sessions.
    std::string session_update(coordinator::SessionId session) const override;
    void timeouts(std::vector<coordinator::Timeout>&) const override {}
    std::string on_timeout(std::uint64_t, std::uint64_t) const override { return {}; }
    std::string snapshot() const override;
    bool restore(std::uint32_t schema, std::string_view bytes) override;

    const Endpoints& endpoints() const { return endpoints_; }
    std::uint64_t version() const { return version_; }

private:
    struct RetainedChange {
        std::uint64_t round = 0;  ///< that the change opened
        Change change;
    };
    std::optional<Error> open_epoch(Epoch epoch);
    std::optional<Error> apply_report(const ReportPosition& position, const DiscoveryResult& result);
    std::optional<Error> check_position(const ReportPosition& position) const;
    bool fits_limits(const DiscoveryResult& result) const;
    Change change_by(const DiscoveryResult& result) const;

    Limits limits_;
    Epoch epoch_ = 0;             ///< the highest that was opened; zero: none
    std::uint64_t version_ = 0;   ///< zero: no report was applied yet
    std::uint64_t revision_ = 0;  ///< discovery's, of the last report
    std::uint64_t open_round_ = 1;
    std::uint64_t confirmed_round_ = 0;
    std::uint64_t digest_ = digest({});  ///< of endpoints_
    Endpoints endpoints_;
    std::deque<RetainedChange> retained_;  ///< the changes of the last Limits::retained_rounds, oldest first
};

}  // namespace ochrehub::leadership::endpoint_list
