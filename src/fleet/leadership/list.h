// Discovery's list, agreed on: the owner of the duty "list" watches discovery for the tier and reports each
// revision; nodes hear of it with their renewals. A machine of the keepers'; it holds no time and is itself a
// receiver: of owners the highest epoch counts.
//
// How old is what a node knows? The machine counts rounds. Each report closes the round that is open and
// opens the next, and an owner asks discovery only once it knows which round is open. So a node that was told
// that round r is open, and later hears that r + 1 is closed, knows that discovery was asked after the node
// itself had asked the first time: its list is as of then, by its own clock, whoever was slow or stopped in
// between.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/coordinator/state_machine.h"
#include "fleet/error/error.h"

namespace ochrehub::leadership::list {

using coordinator::Epoch;

inline constexpr std::uint32_t kSchema = 1;
inline constexpr std::string_view kDuty = "list";

struct Limits {
    std::size_t servers = 20'000;
    std::size_t id = 128, body = 1024;  ///< octets
    std::size_t news =
        16 << 10;  ///< octets of changes in one renewal's answer; who lacks more asks for the whole list
    std::uint64_t rounds = 8;  ///< changes are told for so many rounds
};

enum class Error {
    Malformed,  ///< a command that cannot be read, or says nothing
    Stale,      ///< a newer owner has opened
    NotOpen,    ///< this epoch has not opened
    Round,      ///< it belongs to a round that is closed
    Version,    ///< it was made on another version
    TooMuch,    ///< more servers than are taken, or one that is too long
};
inline constexpr std::size_t kErrors = 6;
const fleet::ErrorRow& row(Error error);

using Entries =
    std::map<std::string, std::string, std::less<>>;  ///< a server's id, and all that discovery says of it
std::uint64_t digest(const Entries& entries);

struct Change {
    std::uint64_t version = 0;
    Entries put;
    std::vector<std::string> gone;
};
struct Listing {  ///< an answer of discovery's
    std::uint64_t revision = 0;
    bool whole = false;
    Entries put;
    std::vector<std::string> gone;
};

// Commands as octets, and what comes back.
std::string open(Epoch epoch);
std::string report(Epoch epoch, std::uint64_t version, std::uint64_t round, const Listing& listing);

struct Answer {
    std::optional<Error> error;
    Epoch epoch = 0;  ///< that stands
    std::uint64_t version = 0, round = 0;
};
std::optional<Answer> read_answer(std::string_view bytes);
struct News {
    std::uint64_t version = 0, digest = 0, round = 0, confirmed = 0;
    std::vector<Change> changes;
};
std::optional<News> read_news(std::string_view bytes);
struct Whole {
    std::uint64_t version = 0, digest = 0, revision = 0;
    Entries entries;
};
std::optional<Whole> read_whole(std::string_view bytes);

class Machine : public coordinator::StateMachine {
public:
    explicit Machine(const Limits& limits = {}) : limits_(limits) {}

    std::string_view kind() const override { return "list"; }
    std::uint32_t schema() const override { return kSchema; }
    std::string apply(const coordinator::Command& command) override;
    std::string query(std::string_view question) const override;  ///< the whole list, whatever is asked
    void session_opened(coordinator::SessionId, std::string_view, std::string_view) override {}
    void session_ended(coordinator::SessionId) override {}
    std::string session_update(coordinator::SessionId session) const override;
    void timeouts(std::vector<coordinator::Timeout>&) const override {}
    std::string on_timeout(std::uint64_t, std::uint64_t) const override { return {}; }
    std::string snapshot() const override;
    bool restore(std::uint32_t schema, std::string_view bytes) override;

    const Entries& entries() const { return entries_; }
    std::uint64_t version() const { return version_; }

private:
    struct Kept {
        std::uint64_t round = 0;
        Change change;
    };
    std::optional<Error> take(Epoch epoch, std::uint64_t version, std::uint64_t round,
                              const Listing& listing);

    Limits limits_;
    Epoch epoch_ = 0;
    std::uint64_t version_ = 0, revision_ = 0, round_ = 1, confirmed_ = 0, digest_ = digest({});
    Entries entries_;
    std::deque<Kept> kept_;
};

}  // namespace ochrehub::leadership::list
