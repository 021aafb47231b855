// Runs of fleets as one HTML page.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include "fleet/membership/view.h"
#include "lab/fleet/outcome.h"
#include "lab/result/svg.h"

namespace ochrehub::lab::fleet {
namespace {

using What = Event::What;

constexpr double kWidth = 1100, kLeft = 90, kRight = 10, kTop = 24, kBottom = 22;
constexpr int kRowsEach = 16;  // up to so many members each one's view has a row; beyond, how many see what
constexpr std::size_t kRunsMost = 8;  // that are drawn; figures are of all

constexpr const char* kCss = R"css(
:root{color-scheme:light dark;--bg:#fff;--fg:#1b1f24;--soft:#57606a;--rule:#d8dee4;--band:#b4232318;--alive:#9fd5b5;
--suspect:#e0a020;--dead:#b42323;--left:#8a93a0;--unknown:#e6e9ec;--down:#1b1f24;--stopped:#6f42c1}
@media (prefers-color-scheme:dark){:root{--bg:#14171a;--fg:#e6e9ec;--soft:#a4adb6;--rule:#363d44;--band:#ff8a8a26;
--alive:#2c6b48;--suspect:#dcb365;--dead:#ff6b6b;--left:#7d8590;--unknown:#262b30;--down:#e6e9ec;--stopped:#b58cff}}
body{margin:0 auto;max-width:1160px;padding:16px;background:var(--bg);color:var(--fg);font:15px/1.45 system-ui,sans-serif}
h1{font-size:1.5rem}h2{font-size:1.15rem;border-top:1px solid var(--rule);padding-top:.7em}.soft{color:var(--soft)}
.bad{color:var(--dead);font-weight:600}svg{display:block;width:100%;height:auto;font:11px system-ui,sans-serif}
svg text{fill:var(--fg)}.band{fill:var(--band)}.bandedge{stroke:var(--dead);stroke-width:.6;opacity:.5}
.alive{fill:var(--alive)}.suspect{fill:var(--suspect)}.dead{fill:var(--dead)}.left{fill:var(--left)}
.unknown{fill:var(--unknown)}.down{fill:var(--down)}.stopped{fill:var(--stopped)}
table{border-collapse:collapse;font-variant-numeric:tabular-nums}td,th{padding:3px 14px 3px 0;text-align:right;
border-bottom:1px solid var(--rule)}th:first-child{text-align:left}pre{overflow-x:auto;font-size:13px}
.key span{display:inline-block;width:14px;height:11px;margin:0 5px 0 14px}.key .alive{background:var(--alive)}
.key .suspect{background:var(--suspect)}.key .dead{background:var(--dead)}.key .left{background:var(--left)}
.key .unknown{background:var(--unknown)}.key .down{background:var(--down)}.key .stopped{background:var(--stopped)}
)css";

class Drawing {
public:
    explicit Drawing(const Outcome& run) : run_(run), members_(std::size_t(run.day.members)) {
        for (const Event& event : run.events)
            to_ = std::max(to_, event.at_s), from_ = std::min(from_, event.at_s);
        if (to_ <= from_) to_ = from_ + 1;
        each_ = run.day.members <= kRowsEach;
        row_ = each_ ? 3.5 : 10;
        block_ = each_ ? 6 + row_ * double(members_ - 1) + 4 : 12;
    }
    std::string svg() {
        const double height = kTop + block_ * double(members_) + kBottom;
        put("<svg viewBox=\"0 0 %.0f %.0f\" role=\"img\" aria-label=\"members by time\">\n", kWidth, height);
        bands(height);
        std::vector<std::vector<Seen>> seen(members_, std::vector<Seen>(members_, Seen::Unknown));
        std::vector<std::vector<double>> since(members_, std::vector<double>(members_, from_));
        std::vector<std::pair<const char*, double>> life(members_, {"down", from_});
        auto see = [&](std::size_t of, std::size_t about, Seen now, double at) {
            if (each_ && of != about) box(of, about, name(seen[of][about]), since[of][about], at);
            seen[of][about] = now;
            since[of][about] = at;
        };
        auto live = [&](std::size_t who, const char* now, double at) {
            if (*life[who].first) own(who, life[who].first, life[who].second, at);
            life[who] = {now, at};
        };
        for (const Event& event : run_.events) {
            const auto who = std::size_t(std::max(0, event.who));
            if (event.what == What::Sees) see(who, std::size_t(event.about), Seen(event.value), event.at_s);
            if (event.what == What::Up || event.what == What::GoesOn) live(who, "", event.at_s);
            if (event.what == What::Down || event.what == What::Ended) live(who, "down", event.at_s);
            if (event.what == What::Stopped) live(who, "stopped", event.at_s);
            if (event.what == What::Up || event.what == What::Down)
                for (std::size_t about = 0; about < members_; ++about)
                    see(who, about, Seen::Unknown, event.at_s);
            if (event.what == What::Says && event.value != 0)
                put("<text x=\"%.1f\" y=\"%.1f\" font-size=\"9\">%s</text>\n", x(event.at_s) + 2,
                    top(who) + 5, membership::self_report_text(std::uint8_t(event.value)).c_str());
        }
        for (std::size_t of = 0; of < members_; ++of) {
            for (std::size_t about = 0; about < members_; ++about) see(of, about, seen[of][about], to_);
            live(of, "", to_);
            put("<text x=\"4\" y=\"%.1f\">member %zu</text>\n", top(of) + std::min(block_ - 2, 14.0), of);
        }
        for (double at = 0, step = std::max(1.0, std::ceil((to_ - from_) / 12)); at <= to_; at += step)
            put("<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"middle\">%.0f s</text>\n", x(at), height - 6, at);
        out_ += "</svg>\n";
        return std::move(out_);
    }

private:
    template <class... Args>
    void put(const char* format, Args... args) {
        char line[400];
        std::snprintf(line, sizeof line, format, args...);
        out_ += line;
    }
    double x(double at) const { return kLeft + (kWidth - kLeft - kRight) * (at - from_) / (to_ - from_); }
    double top(std::size_t about) const { return kTop + block_ * double(about); }
    void bands(double height) {
        for (std::size_t i = 0; i < run_.day.faults.size(); ++i) {
            const Fault& fault = run_.day.faults[i];
            double end = fault.for_s > 0    ? fault.at_s + fault.for_s
                         : fault.of_links() ? to_
                                            : fault.at_s + std::max(0.0, fault.back_s);
            end = std::min(end, to_);
            if (fault.at_s > to_) continue;
            put("<rect class=\"band\" x=\"%.1f\" y=\"%.0f\" width=\"%.1f\" height=\"%.1f\"/>", x(fault.at_s),
                kTop, x(end) - x(fault.at_s), height - kTop - kBottom);
            put("<line class=\"bandedge\" x1=\"%.1f\" x2=\"%.1f\" y1=\"%.0f\" y2=\"%.1f\"/>", x(fault.at_s),
                x(fault.at_s), kTop, height - kBottom);
            put("<text x=\"%.1f\" y=\"%.0f\" font-size=\"9\">%s</text>\n", x(fault.at_s) + 1,
                10.0 + 9 * double(i % 2), name(fault.kind));
        }
    }
    /// What `of` shows of `about`: a thin row in the block of `about`.
    void box(std::size_t of, std::size_t about, const char* what, double from, double to) {
        if (to <= from || std::string_view(what) == "unknown") return;
        std::size_t row = of < about ? of : of - 1;
        put("<rect class=\"%s\" x=\"%.1f\" y=\"%.1f\" width=\"%.2f\" height=\"%.1f\"><title>%zu shows %zu as "
            "%s, %.2f to %.2f s</title></rect>\n",
            what, x(from), top(about) + 7 + row_ * double(row), x(to) - x(from), row_ - 0.7, of, about, what,
            from, to);
    }
    /// Its own row: down, stopped.
    void own(std::size_t who, const char* what, double from, double to) {
        if (to <= from) return;
        put("<rect class=\"%s\" x=\"%.1f\" y=\"%.1f\" width=\"%.2f\" height=\"%.1f\"/>\n", what, x(from),
            top(who), x(to) - x(from), each_ ? 5.0 : 8.0);
    }

    const Outcome& run_;
    std::size_t members_;
    double from_ = 0, to_ = 0, row_ = 0, block_ = 0;
    bool each_ = true;
    std::string out_;
};

}  // namespace

std::string page(const std::vector<Outcome>& outcomes) {
    if (outcomes.empty()) throw std::runtime_error("no run to show");
    const Outcome& first = outcomes.front();
    std::string out =
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><meta name=\"viewport\" "
        "content=\"width=device-width,initial-scale=1\"><title>" +
        escaped(first.day.name) + "</title><style>" + kCss + "</style></head><body>\n<h1>" +
        escaped(first.day.name) + ", " + escaped(first.world) + "</h1>\n<p class=\"soft\">" +
        std::to_string(outcomes.size()) + " runs of " + std::to_string(first.day.members) +
        " members, from seed " + std::to_string(first.day.seed) + " on.</p>\n<h2>Figures</h2>\n<pre>" +
        escaped(summary(outcomes)) + "</pre>\n";
    out += "<p class=\"key soft\">What each member shows of the one whose block it is:";
    for (const char* one : {"alive", "suspect", "dead", "left"})
        out += std::string("<span class=\"") + one + "\"></span>" + one;
    out +=
        "; the block's first row, of the member itself:<span class=\"down\"></span>down<span "
        "class=\"stopped\"></span>stopped. Faults are the "
        "bands behind.</p>\n";
    for (std::size_t i = 0; i < std::min(outcomes.size(), kRunsMost); ++i) {
        const Outcome& run = outcomes[i];
        out += "<h2>Seed " + std::to_string(run.day.seed) +
               (run.verdict.broken.empty() ? "" : " <span class=\"bad\">broken</span>") + "</h2>\n";
        out += Drawing(run).svg();
    }
    if (outcomes.size() > kRunsMost)
        out +=
            "<p class=\"soft\">" + std::to_string(outcomes.size() - kRunsMost) + " more are not drawn.</p>\n";
    return out + "</body></html>\n";
}

void write_page(const std::vector<Outcome>& outcomes, const std::string& folder) {
    std::filesystem::create_directories(folder);
    std::filesystem::path path = std::filesystem::path(folder) / "index.html";
    std::ofstream file(path, std::ios::binary);
    file << page(outcomes);
    file.close();
    if (!file) throw std::runtime_error("cannot write " + path.string());
}

}  // namespace ochrehub::lab::fleet
