// Documents that are distributed to a fleet: a kind, a name, a content and an increasing version. Each kind
// defines which contents conflict, the part of two contents that conflicts with neither, and the part of one
// that conflicts with no possible successor. All functions are stateless and expect contents that `validate`
// accepts.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fleet/config_distribution/error.h"
#include "ochrehub/balancer.h"

namespace ochrehub::config_distribution {

inline constexpr std::size_t kMaxContentBytes = 256
                                                << 10;  ///< encoded size; fits into one message of a channel
inline constexpr std::size_t kMaxEntries = 20'000, kMaxNameBytes = 64, kMaxValueBytes = 1024,
                             kMaxKeysPerPartner = 16;
inline constexpr std::uint64_t kMaxRate = 1'000'000'000'000;  ///< thousandths of a request per second

enum class Kind : std::uint8_t { Limits = 1, Classes, Headers, Partners, Servers };
enum class ConsistencyMode : std::uint8_t {
    Strict,   ///< no two processes ever use conflicting versions
    Bounded,  ///< written "quick": conflicting versions are used for at most max_inconsistency
};
/// What a process uses once its lease has expired.
enum class ExpiryPolicy : std::uint8_t {
    KeepCurrent,   ///< the last version: the consistency mode then only holds among processes that reach a
                   ///< majority of coordinators
    Conservative,  ///< the part that conflicts with no possible successor
    DenyAll,       ///< nothing that the document allows
};

/// The maximum rate of one name over the whole fleet. `floor` is the rate that a disconnected process keeps;
/// it never decreases.
struct Limit {
    std::string name;
    std::uint64_t rate = 0;  ///< thousandths of a request per second
    std::uint64_t burst = 0, floor = 0;
    friend bool operator==(const Limit&, const Limit&) = default;
};
struct Limits {
    std::uint64_t budget = 0;  ///< limit of the sum of rates; 0: unlimited
    std::vector<Limit> limits;
    friend bool operator==(const Limits&, const Limits&) = default;
};

enum class RetryRule : std::uint8_t {
    Unspecified,  ///< not retried here, but allowed elsewhere
    Allowed,
    Forbidden,
};
struct ClassRule {
    std::string name;
    RetryRule retry = RetryRule::Forbidden;
    std::uint32_t max_attempts = 1;  ///< more than 1 only if retries are Allowed
    friend bool operator==(const ClassRule&, const ClassRule&) = default;
};
struct Classes {
    std::vector<ClassRule> classes;
    friend bool operator==(const Classes&, const Classes&) = default;
};

enum class HeaderAction : std::uint8_t { Set, Add, Remove };
struct HeaderRule {
    HeaderAction action = HeaderAction::Set;
    std::string name, value;
    friend bool operator==(const HeaderRule&, const HeaderRule&) = default;
};
struct Headers {
    std::vector<HeaderRule> rules;  ///< applied in this order
    friend bool operator==(const Headers&, const Headers&) = default;
};

enum class PartnerStatus : std::uint8_t {
    OnHold,  ///< asked to retry later; conflicts with nothing
    Open,
    Closed,
};
struct Partner {
    std::string name;
    PartnerStatus status = PartnerStatus::Open;
    std::vector<std::string> keys;  ///< each key belongs to one partner
    friend bool operator==(const Partner&, const Partner&) = default;
};
struct Partners {
    std::vector<Partner> partners;
    friend bool operator==(const Partners&, const Partners&) = default;
};

enum class ServerUse : std::uint8_t {
    Unspecified,  ///< not used here, but allowed elsewhere
    In,
    Out,
    LastResort,  ///< used only if no other server is available
};
enum class ListSource : std::uint8_t {
    Static,     ///< a complete list: other servers are out
    Operator,   ///< operators' overrides, written "hand": servers not listed are in, as far as this list
                ///< decides
    Discovery,  ///< a complete list, proposed by the process that watches discovery
};
struct Server {
    std::string name;
    ServerUse use = ServerUse::In;
    std::string zone;
    friend bool operator==(const Server&, const Server&) = default;
};
struct Servers {
    ListSource source = ListSource::Static;
    std::uint64_t revision = 0;  ///< of discovery
    std::vector<Server> servers;
    bool partial =
        false;  ///< result of conservative_subset: servers not listed are a last resort. Never proposed
    friend bool operator==(const Servers&, const Servers&) = default;
};

using Content = std::variant<Limits, Classes, Headers, Partners, Servers>;
using Digest = std::array<std::uint8_t, 16>;

/// Where a canary applies, and for how long; it ends by itself.
struct CanaryScope {
    std::string zone, node;  ///< exactly one of the two is set
    Duration duration{};
    friend bool operator==(const CanaryScope&, const CanaryScope&) = default;
};
inline constexpr Duration kMaxCanaryDuration{24 * 3600 * 1000.0};

struct Document {
    std::string name;
    std::uint64_t version = 0;
    Content content;
    ConsistencyMode mode = ConsistencyMode::Strict;
    ExpiryPolicy expiry_policy = ExpiryPolicy::Conservative;
    std::string proposer;
    std::uint64_t proposed_at_s = 0;  ///< Unix time in seconds by the proposer's clock; informative
    std::optional<CanaryScope> canary_scope;
    std::uint64_t rollback_of = 0;  ///< of a rollback: the version whose content this is; else 0
    friend bool operator==(const Document&, const Document&) = default;
};

Kind kind(const Content& content);
std::string_view name(Kind kind);
std::optional<Kind> kind_from_name(std::string_view name);
std::string_view name(ConsistencyMode mode);
std::string_view name(ExpiryPolicy expiry_policy);

/// Discovery lists must be Bounded, as drains must not wait; retry rules must be Strict.
bool is_mode_allowed(const Content& content, ConsistencyMode mode);
bool is_valid_name(std::string_view name);

/// Checks sizes, duplicates, values and sums. Returns what is wrong and where, or nothing.
std::optional<Failure> validate(const Content& content);
/// Whether `next` may succeed `old` under one name: it needs the same kind, and no floor may decrease.
std::optional<Failure> check_successor(const Content& old, const Content& next);

/// Whether two processes that use one content each do harm; docs/design/agreement.md defines it for each
/// kind. Symmetric; false for different kinds.
bool conflicts(const Content& a, const Content& b);
/// The part that conflicts with neither content, nor with the conservative_subset of either.
Content intersection(const Content& a, const Content& b);
/// The part that conflicts with no valid successor of the content.
Content conservative_subset(const Content& content);
/// What nothing that the document allows.
Content deny_all(const Content& content);

/// Applies the operators' list to another list: a server that operators put out is out, else the other list
/// decides.
Servers merge_lists(const Servers& list, const Servers& operator_list);

/// Sorts entries by name, except header rules, so that equal contents have equal encodings.
Content canonical(Content content);
std::string encode(const Content& content);
/// Empty if the bytes are not an exact result of `encode`: truncated, changed, or of an unknown kind or later
/// release.
std::optional<Content> decode(std::string_view bytes);
Digest digest(std::string_view bytes);

/// One entry per line; the first line is the kind, such as `kind limits`.
std::string to_text(const Content& content);
/// Parses the output of `to_text`, and handwritten files: blank lines and `#` comments are skipped.
/// `Failure::about` names the line.
std::variant<Content, Failure> parse_text(std::string_view text);
/// Lines only in `b` are prefixed with `+ `, lines only in `a` with `- `. Empty if equal.
std::string diff(const Content& a, const Content& b);

}  // namespace ochrehub::config_distribution
