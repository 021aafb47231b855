// The pairs of adjacent versions that differ in more than their keys: the conversion of each field.
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
inline constexpr std::uint64_t kMaxUint64 = std::numeric_limits<std::uint64_t>::max();

inline std::uint64_t rounded_up(Wide of, Wide by) {
    return std::uint64_t((of + by - 1) / by);
}

/// Sessions 2 and 3: the idle time of a client becomes the remaining time of its lease.
struct IdleToLease {
    using Old = wire::Binding;
    using New = wire::Session3;
    static std::uint64_t left(std::uint64_t idle) {
        return idle < kBindingLeaseMs ? kBindingLeaseMs - idle : 0;
    }

    template <class From, class To>
    static void copy_other_fields(const From& from, To& to) {
        to.set_cell(from.cell()), to.set_server(from.server());
        *to.mutable_under_way() = from.under_way();
    }
    static std::optional<Error> up(const Old& x, New& y) {
        copy_other_fields(x, y);
        y.set_left_ms(left(x.idle_ms()));
        return {};
    }
    static std::optional<Error> down(const New& y, Old& x) {
        copy_other_fields(y, x);
        x.set_idle_ms(left(y.left_ms()));  // its own inverse up to the full length of the lease
        return {};
    }
    static std::optional<Error> merge_up(const New& as, const Old& was, const Old& now, New& y) {
        y = as;
        copy_other_fields(now, y);
        // A client without a place has no lease to keep.
        if (now.idle_ms() != was.idle_ms() || (!y.cell() && y.server().empty()))
            y.set_left_ms(left(now.idle_ms()));
        return {};
    }
    static std::optional<Error> merge_down(const Old& as, const New& was, const New& now, Old& x) {
        x = as;
        copy_other_fields(now, x);
        if (now.left_ms() != was.left_ms() || (!x.cell() && x.server().empty()))
            x.set_idle_ms(left(now.left_ms()));
        return {};
    }
};

/// Sessions 3 and 4: the number of a cell becomes its name.
struct CellToName {
    using Old = wire::Session3;
    using New = wire::Session4;
    static constexpr std::uint32_t kOther = 0xffffffff;  ///< a cell whose name stands for no number

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
    static void copy_other_fields(const From& from, To& to) {
        to.set_server(from.server()), to.set_left_ms(from.left_ms());
        *to.mutable_under_way() = from.under_way();
    }
    static std::optional<Error> up(const Old& x, New& y) {
        copy_other_fields(x, y);
        y.set_cell(name(x.cell()));
        return {};
    }
    static std::optional<Error> down(const New& y, Old& x) {
        copy_other_fields(y, x);
        x.set_cell(number(y.cell()));
        return {};
    }
    static std::optional<Error> merge_up(const New& as, const Old& was, const Old& now, New& y) {
        y = as;
        copy_other_fields(now, y);
        if (now.cell() != was.cell()) y.set_cell(name(now.cell()));
        return {};
    }
    static std::optional<Error> merge_down(const Old& as, const New& was, const New& now, Old& x) {
        x = as;
        copy_other_fields(now, x);
        if (now.cell() != was.cell()) x.set_cell(number(now.cell()));
        return {};
    }
};

/// Rates 2 and 3: the counts of windows become a token bucket in millionths. No tenant gains by it: spent
/// amounts are rounded up, rates down.
struct WindowsToBucket {
    using Old = wire::Use;
    using New = wire::Bucket3;

    /// By the rule of the sliding window: the count of this window, and the part of the previous one that
    /// still counts.
    static bool spent_in_window(const Old& x, std::uint64_t& spent) {
        if (!x.window_ms()) return false;
        Wide all = Wide(x.counted()) * kMillion;
        Wide before = Wide(x.previous()) * x.left_ms();  // fits, as both are below 2^64
        // In two parts, since the product with a million would not fit.
        Wide whole = before / x.window_ms(), part = before % x.window_ms();
        if (all > kMaxUint64 || whole > kMaxUint64 / kMillion) return false;
        all += whole * kMillion + rounded_up(part * kMillion, x.window_ms());
        if (all > kMaxUint64) return false;
        spent = std::uint64_t(all);
        return true;
    }
    static bool rate(const Old& x, New& y) {
        Wide burst = Wide(x.limit()) * kMillion;
        if (burst > kMaxUint64 || !x.window_ms()) return false;
        Wide per_s = burst * 1000 / x.window_ms();
        if (per_s > kMaxUint64) return false;
        y.set_burst(std::uint64_t(burst)), y.set_per_s(std::uint64_t(per_s));
        return true;
    }
    static std::optional<Error> up(const Old& x, New& y) {
        std::uint64_t spent = 0;
        if (!rate(x, y) || !spent_in_window(x, spent)) return Error::DoesNotFit;
        y.set_spent(spent);
        return {};
    }
    static std::optional<Error> down(const New& y, Old& x) {
        x.set_limit(y.burst() / kMillion);
        Wide window = y.per_s() ? (Wide(y.burst()) * 1000 + y.per_s() - 1) / y.per_s() : Wide(60'000);
        x.set_window_ms(std::uint64_t(std::clamp(window, Wide(1), Wide(kMaxUint64))));
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
            if (sum > kMaxUint64) return Error::DoesNotFit;
            spent = std::uint64_t(sum);
        } else if (!spent_in_window(now, spent)) {
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
            if (more > kMaxUint64 - as.counted()) return Error::DoesNotFit;
            x.set_counted(as.counted() + more);
        } else {
            x.set_counted(rounded_up(now.spent(), kMillion)), x.set_previous(0);
        }
        return {};
    }
};

/// Rules 1 and 2: a hexadecimal digest becomes its bytes.
struct HexToBytes {
    using Old = wire::Rules1;
    using New = wire::Rules2;

    static std::string hex(const std::string& from) {
        static constexpr char kDigits[] = "0123456789abcdef";
        std::string text;
        for (unsigned char c : from) text += kDigits[c >> 4], text += kDigits[c & 15];
        return text;
    }
    static std::string bytes_of_hex(const std::string& text) {
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
    static void copy_other_fields(const From& from, To& to) {
        to.set_version(from.version()), to.set_content(from.content());
    }
    static std::optional<Error> up(const Old& x, New& y) {
        copy_other_fields(x, y);
        y.set_digest(bytes_of_hex(x.digest()));
        return {};
    }
    static std::optional<Error> down(const New& y, Old& x) {
        copy_other_fields(y, x);
        x.set_digest(hex(y.digest()));
        return {};
    }
    static std::optional<Error> merge_up(const New& as, const Old& was, const Old& now, New& y) {
        y = as;
        copy_other_fields(now, y);
        if (now.digest() != was.digest()) y.set_digest(bytes_of_hex(now.digest()));
        return {};
    }
    static std::optional<Error> merge_down(const Old& as, const New& was, const New& now, Old& x) {
        x = as;
        copy_other_fields(now, x);
        if (now.digest() != was.digest()) x.set_digest(hex(now.digest()));
        return {};
    }
};

}  // namespace ochrehub::schema
