// Documents on which a fleet agrees: a kind, a name, a content, and a version that rises for ever. What it
// means that two contents contradict each other, what of two contradicts neither, and what of one contradicts
// no possible successor is code, for each kind. Functions without state; a content that `checked` took is
// what all of them expect.
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

inline constexpr std::size_t kMaxContentBytes =
    256 << 10;  ///< octets of a content; with room for it in one message of a channel
inline constexpr std::size_t kMaxEntries = 20'000, kMaxNameBytes = 64, kMaxValueBytes = 1024,
                             kMaxKeysPerPartner = 16;
inline constexpr std::uint64_t kMaxRate = 1'000'000'000'000;  ///< thousandths of a request a second

enum class Kind : std::uint8_t { Limits = 1, Classes, Headers, Partners, Servers };
enum class ConsistencyMode : std::uint8_t {
    Strict,   ///< no two processes ever act on versions that contradict each other
    Bounded,  ///< at most for the stated time
};
/// What a process does whose permit is over.
enum class ExpiryPolicy : std::uint8_t {
    KeepCurrent,   ///< goes on: what the mode promises then holds only for those whom a majority of keepers
                   ///< reaches
    Conservative,  ///< acts on the part that contradicts no possible successor
    DenyAll,       ///< acts on nothing that the document allows
};

/// The most that whoever it names may use over the whole fleet. `floor` is what a process out of reach goes
/// on with; it never falls.
struct Limit {
    std::string name;
    std::uint64_t rate = 0;  ///< thousandths of a request a second
    std::uint64_t burst = 0, floor = 0;
    friend bool operator==(const Limit&, const Limit&) = default;
};
struct Limits {
    std::uint64_t budget = 0;  ///< the sum of rates that is never passed; zero: nothing is said of it
    std::vector<Limit> limits;
    friend bool operator==(const Limits&, const Limits&) = default;
};

enum class RetryRule : std::uint8_t {
    Unspecified,  ///< is not repeated, and no other is forbidden to
    Allowed,
    Forbidden,
};
struct ClassRule {
    std::string name;
    RetryRule retry = RetryRule::Forbidden;
    std::uint32_t max_attempts = 1;  ///< at most; of May alone more than one
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
    std::vector<HeaderRule> rules;  ///< carried out in this order
    friend bool operator==(const Headers&, const Headers&) = default;
};

enum class PartnerStatus : std::uint8_t {
    OnHold,  ///< told to come back later, which contradicts nothing
    Open,
    Closed,
};
struct Partner {
    std::string name;
    PartnerStatus status = PartnerStatus::Open;
    std::vector<std::string> keys;  ///< a key is one partner's
    friend bool operator==(const Partner&, const Partner&) = default;
};
struct Partners {
    std::vector<Partner> partners;
    friend bool operator==(const Partners&, const Partners&) = default;
};

enum class ServerUse : std::uint8_t {
    Unspecified,  ///< not used, and no other is forbidden to
    In,
    Out,
    LastResort,  ///< used where nothing else is there
};
enum class ListSource : std::uint8_t {
    Static,     ///< a whole list: who is not in it is out
    Operator,   ///< what operators have said: who is not in it is in, as far as this list goes
    Discovery,  ///< a whole list, proposed by the one that watches discovery
};
struct Server {
    std::string name;
    ServerUse use = ServerUse::In;
    std::string zone;
    friend bool operator==(const Server&, const Server&) = default;
};
struct Servers {
    ListSource source = ListSource::Static;
    std::uint64_t revision = 0;  ///< discovery's own
    std::vector<Server> servers;
    bool partial =
        false;  ///< what `caution` leaves: others are neither in nor out, they are used last. Never proposed
    friend bool operator==(const Servers&, const Servers&) = default;
};

using Content = std::variant<Limits, Classes, Headers, Partners, Servers>;
using Digest = std::array<std::uint8_t, 16>;

/// Where a canary is acted on, and for how long: it ends by itself.
struct CanaryScope {
    std::string zone, node;  ///< one of the two
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
    std::uint64_t proposed_at_s = 0;  ///< seconds since 1970 by the proposer's clock: for people
    std::optional<CanaryScope> canary_scope;
    std::uint64_t rollback_of = 0;  ///< a step back: the version whose content this is
    friend bool operator==(const Document&, const Document&) = default;
};

Kind kind(const Content& content);
std::string_view name(Kind kind);
std::optional<Kind> kind_from_name(std::string_view name);
std::string_view name(ConsistencyMode mode);
std::string_view name(ExpiryPolicy expiry_policy);

/// Lists are quick, as drains must not wait; whether something runs twice is strict.
bool is_mode_allowed(const Content& content, ConsistencyMode mode);
bool is_valid_name(std::string_view name);

/// Nothing where it is sound: sizes, doubles, values, sums; else what is wrong, and where in it.
std::optional<Failure> validate(const Content& content);
/// Whether `next` may come behind `old` under one name: the same kind, and nothing below a floor.
std::optional<Failure> check_successor(const Content& old, const Content& next);

/// Two processes that act on one each do harm: see docs/design/agreement.md for each kind. Symmetric; of two
/// kinds, never.
bool conflicts(const Content& a, const Content& b);
/// The part that contradicts neither, nor what `caution` leaves of either.
Content intersection(const Content& a, const Content& b);
/// The part that contradicts no content that `follows` it, whenever.
Content conservative_subset(const Content& content);
/// What acts on nothing that the document allows.
Content deny_all(const Content& content);

/// How the lists of one fleet join: who is out by hand is out, whatever discovery says; else discovery's
/// word, else the static list's.
Servers merge_lists(const Servers& list, const Servers& operator_list);

/// Entries by name (header rules by their order), so that equal contents are equal octets.
Content canonical(Content content);
std::string encode(const Content& content);
/// Nothing where the octets are not what `encode` gives for it: cut, changed, of an unknown kind or of a
/// later release.
std::optional<Content> decode(std::string_view bytes);
Digest digest(std::string_view bytes);

/// One entry a line, `kind limits` first.
std::string to_text(const Content& content);
/// Reads what `text` writes, and files by hand: blank lines and `#` are skipped. `Failure::about` names the
/// line.
std::variant<Content, Failure> parse_text(std::string_view text);
/// Lines of `b` that are not in `a` behind `+ `, the reverse behind `- `. Empty: the same.
std::string diff(const Content& a, const Content& b);

}  // namespace ochrehub::config_distribution
