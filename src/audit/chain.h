// The lines of the audit: each holds the hash of the one before, so that a changed one shows. Knows no files.
#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <string_view>

namespace ochrehub::audit {

inline constexpr std::string_view kPrefix = "audit:";  ///< before a line on standard error

/// Makes the lines of one chain, from `seq=1` on.
class Chain {
public:
    /// The next line, without its end. What may not stand in `by` or `detail` as it is gets escaped.
    std::string next(std::uint64_t unix_ms, std::string_view event, std::string_view by,
                     std::string_view detail);

private:
    std::uint64_t seq_ = 0;
    std::string prev_ = std::string(64, '0');
};

struct Finding {
    std::size_t lines = 0;   ///< of the audit, sound ones
    std::size_t broken = 0;  ///< the first broken line's number in the file; zero: none
    std::string what;        ///< "tampered: ..." or "truncated: ..."
};

/// Goes through an audit_file or a captured standard error, in which lines without the prefix are passed
/// over.
Finding verify(std::istream& in);

}  // namespace ochrehub::audit
