// The pairs of neighbours that differ in more than their keys: what a field of the one is in the other.
#pragma once

#include <records.pb.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <optional>
#include <string>

#include "fleet/schema/schema.h"

namespace ochrehub::schema {

namespace wire = records::wire;
__extension__ typedef unsigned __int128 Wide;
inline constexpr std::uint64_t kMost = std::numeric_limits<std::uint64_t>::max();

inline std::uint64_t rounded_up(Wide of, Wide by) {
    return std::uint64_t((of + by - 1) / by);
}

/// Sessions 2 and 3: what counted the time since the client was seen counts what is left of its lease.
struct IdleToLease {
    using Old = wire::Binding;
    using New = wire::Session3;
    static std::uint64_t left(std::uint64_t idle) {
        return idle < kBindingLeaseMs ? kBindingLeaseMs - idle : 0;
    }

    template <class From, class To>
    static void rest(const From& from, To& to) {
        to.set_cell(from.cell()), to.set_server(from.server());
        *to.mutable_under_way() = from.under_way();
    }
    static std::optional<Error> up(const Old& x, New& y) {
        rest(x, y);
        y.set_left_ms(left(x.idle_ms()));
        return {};
    }
    static std::optional<Error> down(const New& y, Old& x) {
        rest(y, x);
        x.set_idle_ms(left(y.left_ms()));  // it is its own inverse up to the lease's whole length
        return {};
    }
    static std::optional<Error> merge_up(const New& as, const Old& was, const Old& now, New& y) {
        y = as;
        rest(now, y);
        // Who has no place has no lease to keep.
        if (now.idle_ms() != was.idle_ms() || (!y.cell() && y.server().empty()))
            y.set_left_ms(left(now.idle_ms()));
        return {};
    }
    static std::optional<Error> merge_down(const Old& as, const New& was, const New& now, Old& x) {
        x = as;
        rest(now, x);
        if (now.left_ms() != was.left_ms() || (!x.cell() && x.server().empty()))
            x.set_idle_ms(left(now.left_ms()));
        return {};
    }
};

/// Sessions 3 and 4: a cell's number becomes its name.
struct CellToName {
    using Old = wire::Session3;
    using New = wire::Session4;
    static constexpr std::uint32_t kOther = 0xffffffff;  ///< a cell whose name is no number's

    static std::string name(std::uint32_t cell) {
        return cell ? "cell-" + std::to_string(cell) : std::string();
    }
    static std::uint32_t number(const std::string& text) {
        if (text.empty()) return 0;
        std::uint32_t cell = 0;
        if (text.size() > 5) std::from_chars(text.data() + 5, text.data() + text.size(), cell);
        return cell && name(cell) == text ? cell : kOther;
    }
    template <class From, class To>
    static void rest(const From& from, To& to) {
        to.set_server(from.server()), to.set_left_ms(from.left_ms());
        *to.mutable_under_way() = from.under_way();
    }
    static std::optional<Error> up(const Old& x, New& y) {
        rest(x, y);
        y.set_cell(name(x.cell()));
        return {};
    }
    static std::optional<Error> down(const New& y, Old& x) {
        rest(y, x);
        x.set_cell(number(y.cell()));
        return {};
    }
    static std::optional<Error> merge_up(const New& as, const Old& was, const Old& now, New& y) {
        y = as;
        rest(now, y);
        if (now.cell() != was.cell()) y.set_cell(name(now.cell()));
        return {};
    }
    static std::optional<Error> merge_down(const Old& as, const New& was, const New& now, Old& x) {
        x = as;
        rest(now, x);
        if (now.cell() != was.cell()) x.set_cell(number(now.cell()));
        return {};
    }
};

/// Rates 2 and 3: windows counted become a bucket in millionths. No partner gains: what is spent is rounded
/// up, its rate down.
struct WindowsToBucket {
    using Old = wire::Use;
    using New = wire::Bucket3;

    /// As the window's rule counts: those of this window, and of the one before the part that still counts.
    static bool face(const Old& x, std::uint64_t& spent) {
        if (!x.window_ms()) return false;
        Wide all = Wide(x.counted()) * kMillion;
        Wide before = Wide(x.previous()) * x.left_ms();  // fits: each is below 2^64
        // In two parts, since a million times it would not fit.
        Wide whole = before / x.window_ms(), part = before % x.window_ms();
        if (all > kMost || whole > kMost / kMillion) return false;
        all += whole * kMillion + rounded_up(part * kMillion, x.window_ms());
        if (all > kMost) return false;
        spent = std::uint64_t(all);
        return true;
    }
    static bool rate(const Old& x, New& y) {
        Wide burst = Wide(x.limit()) * kMillion;
        if (burst > kMost || !x.window_ms()) return false;
        Wide per_s = burst * 1000 / x.window_ms();
        if (per_s > kMost) return false;
        y.set_burst(std::uint64_t(burst)), y.set_per_s(std::uint64_t(per_s));
        return true;
    }
    static std::optional<Error> up(const Old& x, New& y) {
        std::uint64_t spent = 0;
        if (!rate(x, y) || !face(x, spent)) return Error::DoesNotFit;
        y.set_spent(spent);
        return {};
    }
    static std::optional<Error> down(const New& y, Old& x) {
        x.set_limit(y.burst() / kMillion);
        Wide window = y.per_s() ? (Wide(y.burst()) * 1000 + y.per_s() - 1) / y.per_s() : Wide(60'000);
        x.set_window_ms(std::uint64_t(std::clamp(window, Wide(1), Wide(kMost))));
        x.set_counted(rounded_up(y.spent(), kMillion));
        x.set_left_ms(x.window_ms());
        return {};
    }
    static std::optional<Error> merge_up(const New& as, const Old& was, const Old& now, New& y) {
        y = as;
        if ((now.limit() != was.limit() || now.window_ms() != was.window_ms()) && !rate(now, y))
            return Error::DoesNotFit;
        std::uint64_t spent = 0;
        if (now.rolls() == was.rolls() && now.previous() == was.previous() &&
            now.window_ms() == was.window_ms() && now.counted() >= was.counted()) {
            Wide sum = as.spent() + Wide(now.counted() - was.counted()) * kMillion;
            if (sum > kMost) return Error::DoesNotFit;
            spent = std::uint64_t(sum);
        } else if (!face(now, spent)) {
            return Error::DoesNotFit;
        }
        y.set_spent(spent);
        return {};
    }
    static std::optional<Error> merge_down(const Old& as, const New& was, const New& now, Old& x) {
        if (now.burst() != was.burst() || now.per_s() != was.per_s()) return down(now, x);
        x = as;
        if (now.spent() >= was.spent()) {
            std::uint64_t more = rounded_up(now.spent() - was.spent(), kMillion);
            if (more > kMost - as.counted()) return Error::DoesNotFit;
            x.set_counted(as.counted() + more);
        } else {
            x.set_counted(rounded_up(now.spent(), kMillion)), x.set_previous(0);
        }
        return {};
    }
};

/// Rules 1 and 2: a digest in hexadecimal becomes its octets.
struct HexToOctets {
    using Old = wire::Rules1;
    using New = wire::Rules2;

    static std::string hex(const std::string& from) {
        static constexpr char kDigits[] = "0123456789abcdef";
        std::string text;
        for (unsigned char c : from) text += kDigits[c >> 4], text += kDigits[c & 15];
        return text;
    }
    static std::string octets_of(const std::string& text) {
        auto digit = [](char c) {
            return c >= '0' && c <= '9' ? c - '0' : c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
        };
        std::string out;
        for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
            if (digit(text[i]) < 0 || digit(text[i + 1]) < 0) return {};
            out += char(digit(text[i]) << 4 | digit(text[i + 1]));
        }
        return text.size() % 2 ? std::string() : out;
    }
    template <class From, class To>
    static void rest(const From& from, To& to) {
        to.set_version(from.version()), to.set_content(from.content());
    }
    static std::optional<Error> up(const Old& x, New& y) {
        rest(x, y);
        y.set_digest(octets_of(x.digest()));
        return {};
    }
    static std::optional<Error> down(const New& y, Old& x) {
        rest(y, x);
        x.set_digest(hex(y.digest()));
        return {};
    }
    static std::optional<Error> merge_up(const New& as, const Old& was, const Old& now, New& y) {
        y = as;
        rest(now, y);
        if (now.digest() != was.digest()) y.set_digest(octets_of(now.digest()));
        return {};
    }
    static std::optional<Error> merge_down(const Old& as, const New& was, const New& now, Old& x) {
        x = as;
        rest(now, x);
        if (now.digest() != was.digest()) x.set_digest(hex(now.digest()));
        return {};
    }
};

}  // namespace ochrehub::schema
