#include "audit/chain.h"

#include <nettle/sha2.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <utility>
#include <vector>

namespace ochrehub::audit {
namespace {

constexpr std::size_t kDetailMost = 900;  // a whole line fits into one write to a pipe

std::string hash_of(std::string_view text) {
    std::array<std::uint8_t, SHA256_DIGEST_SIZE> digest;
    sha256_ctx state;
    sha256_init(&state);
    sha256_update(&state, text.size(), reinterpret_cast<const std::uint8_t*>(text.data()));
    sha256_digest(&state, digest.size(), digest.data());
    std::string hex;
    for (std::uint8_t byte : digest)
        for (int half : {byte >> 4, byte & 15}) hex += "0123456789abcdef"[half];
    return hex;
}

/// So that a line stays one line, a quoted text ends where it should, and `by` is one word.
std::string escaped(std::string_view text, bool quoted) {
    std::string out;
    for (unsigned char c : text.substr(0, kDetailMost)) {
        if (c < 0x20 || c == 0x7f || (c == ' ' && !quoted)) {
            std::array<char, 8> code;
            std::snprintf(code.data(), code.size(), "\\x%02x", c);
            out += code.data();
        } else {
            if (c == '"' || c == '\\') out += '\\';
            out += char(c);
        }
    }
    return out.empty() && !quoted ? "-" : out;
}

bool is_digit(char c) {
    return c >= '0' && c <= '9';
}
bool is_hex(char c) {
    return is_digit(c) || (c >= 'a' && c <= 'f');
}

enum class Shape { Whole, Cut, Bad };

/// Reads a line from its start. Cut: it is sound as far as it goes, but ends before it should.
struct Line {
    Shape shape = Shape::Whole;
    std::uint64_t seq = 0;
    std::string_view event, prev, hash;
    std::string_view covered;  ///< what the hash is of

    explicit Line(std::string_view text) : rest_(text) {
        literal("seq=");
        std::string_view number = run(is_digit);
        if (shape == Shape::Whole) {
            auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), seq);
            if (error != std::errc{}) shape = Shape::Bad;
        }
        literal(" t=");
        run(is_digit);
        literal(" event=");
        event = run([](char c) { return c >= 'a' && c <= 'z'; });
        literal(" by=");
        run([](char c) { return c != ' '; });
        literal(" detail=\"");
        quoted();
        literal(" prev=");
        prev = run(is_hex);
        covered = text.substr(0, text.size() - rest_.size());
        literal(" hash=");
        if (shape != Shape::Whole) return;
        hash = rest_;
        if (!std::all_of(hash.begin(), hash.end(), is_hex) || hash.size() > 64)
            shape = Shape::Bad;
        else if (hash.size() < 64)
            shape = Shape::Cut;
    }

private:
    void literal(std::string_view want) {
        if (shape != Shape::Whole) return;
        if (rest_.starts_with(want))
            rest_.remove_prefix(want.size());
        else
            shape = want.starts_with(rest_) ? Shape::Cut : Shape::Bad;
    }
    template <class Fits>
    std::string_view run(Fits fits) {
        if (shape != Shape::Whole) return {};
        auto end = std::find_if_not(rest_.begin(), rest_.end(), fits);
        std::string_view taken = rest_.substr(0, std::size_t(end - rest_.begin()));
        rest_.remove_prefix(taken.size());
        if (rest_.empty())
            shape = Shape::Cut;
        else if (taken.empty())
            shape = Shape::Bad;
        return shape == Shape::Whole ? taken : std::string_view{};
    }
    void quoted() {
        if (shape != Shape::Whole) return;
        std::size_t at = 0;
        while (at < rest_.size() && rest_[at] != '"') at += rest_[at] == '\\' ? 2 : 1;
        if (at >= rest_.size())
            shape = Shape::Cut;
        else
            rest_.remove_prefix(at + 1);
    }

    std::string_view rest_;
};

class Verifier {
public:
    Finding run(const std::vector<std::string>& lines) {
        auto prefixed = [](std::string_view line) { return line.starts_with(kPrefix); };
        bool file = lines.empty() || is_ours(lines.front());
        captured_ = !file && std::any_of(lines.begin(), lines.end(), prefixed);
        for (std::size_t i = 0; i < lines.size() && finding_.broken == 0; ++i) {
            std::string_view line = lines[i];
            bool marked = prefixed(line);
            if (marked) line.remove_prefix(kPrefix.size());
            if (marked && line.starts_with(' ')) line.remove_prefix(1);
            // In an audit_file nothing is unrelated. Elsewhere a line that lost its prefix is no log line.
            if (!captured_ || marked || is_ours(line)) check(i + 1, line, marked);
        }
        if (finding_.broken == 0 && cut_ > 0) truncated();
        return finding_;
    }

private:
    void check(std::size_t number, std::string_view text, bool marked) {
        Line line(text);
        bool begins = line.shape == Shape::Whole && line.seq == 1 && line.event == "start" &&
                      line.prev.find_first_not_of('0') == std::string_view::npos;
        if (cut_ > 0) return begins ? truncated() : tampered(cut_, "the line is not whole");
        if (marked != captured_) return tampered(number, "its prefix does not fit the other lines");
        if (line.shape == Shape::Bad || text.empty()) return tampered(number, "no line of an audit");
        // As far as a cut line goes it must fit, or it was not only cut.
        bool next = line.seq == seq_ + 1 && seq_ > 0;
        if (!begins && line.shape == Shape::Whole && !next) return tampered(number, "seq does not follow");
        if (!begins && line.shape == Shape::Whole && line.prev != hash_)
            return tampered(number, "prev is not the hash of the line before");
        if (line.shape == Shape::Cut) {
            bool known = line.seq > 0, fits = next || line.seq == 1;
            if (known && !fits) return tampered(number, "seq does not follow");
            if (has_hash(text)) return tampered(number, "no line of an audit");
            cut_ = number;
            return;
        }
        if (line.prev.size() != 64 || hash_of(line.covered) != line.hash)
            return tampered(number, "hash is not that of the line");
        seq_ = line.seq;
        hash_ = line.hash;
        ++finding_.lines;
    }
    /// It has its end: if it still reads as cut, a quote was taken away.
    static bool has_hash(std::string_view text) {
        if (text.size() < 70) return false;
        std::string_view hash = text.substr(text.size() - 64);
        return text.substr(text.size() - 70, 6) == " hash=" && std::all_of(hash.begin(), hash.end(), is_hex);
    }
    void tampered(std::size_t number, const char* why) {
        finding_.broken = number;
        finding_.what = std::string("tampered: ") + why;
    }
    void truncated() {
        finding_.broken = cut_;
        finding_.what = "truncated: the line was only half written";
    }

    static bool is_ours(std::string_view line) { return line.starts_with("seq="); }

    Finding finding_;
    bool captured_ = false;
    std::size_t cut_ = 0;  // ends too early: truncated if it is the last line, or the last before a start
    std::uint64_t seq_ = 0;
    std::string hash_;
};

}  // namespace

std::string Chain::next(std::uint64_t unix_ms, std::string_view event, std::string_view by,
                        std::string_view detail) {
    std::string line = "seq=" + std::to_string(++seq_) + " t=" + std::to_string(unix_ms) + " event=";
    line.append(event).append(" by=").append(escaped(by, false));
    line.append(" detail=\"").append(escaped(detail, true)).append("\" prev=").append(prev_);
    prev_ = hash_of(line);
    return line + " hash=" + prev_;
}

Finding verify(std::istream& in) {
    std::vector<std::string> lines;
    for (std::string line; std::getline(in, line);) lines.push_back(std::move(line));
    return Verifier().run(lines);
}

}  // namespace ochrehub::audit
