#include "lab/result/report.h"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <functional>
#include <limits>
#include <stdexcept>

#include "lab/result/latency_buckets.h"
#include "lab/result/svg.h"

namespace ochrehub::lab {
namespace {

constexpr double kNoNumber = std::numeric_limits<double>::quiet_NaN();
constexpr std::size_t kMostPoints =
    400;  // of a line over time; longer days are shown in means of several seconds
constexpr std::size_t kMostBars = 40;   // servers one by one; more are shown by how many have which load
constexpr std::size_t kMostRows = 100;  // of faults and breaches
constexpr std::size_t kMostBands = 40;  // faults drawn

constexpr const char* kCss = R"css(
:root{color-scheme:light dark;--bg:#fff;--fg:#1b1f24;--soft:#57606a;--rule:#d8dee4;--panel:#f6f8fa;
--band:#b4232322;
--bandtext:#8a1c1c;--bad:#b42323;--c0:#0b62b5;--c1:#b84a00;--c2:#0a7a4b;--c3:#8338a8;--c4:#c2203c;
--c5:#00747f;
--c6:#7a5a00;--c7:#5d646c}
@media (prefers-color-scheme:dark){:root{--bg:#14171a;--fg:#e6e9ec;--soft:#a4adb6;--rule:#363d44;
--panel:#1d2125;
--band:#ff8a8a26;--bandtext:#ffb0b0;--bad:#ff8f8f;--c0:#6db5ff;--c1:#ffa057;--c2:#4fd19b;--c3:#d79bf0;
--c4:#ff8095;
--c5:#54cfdc;--c6:#dcb365;--c7:#a9b1ba}}
*{box-sizing:border-box}
body{margin:0 auto;max-width:1320px;padding:16px;background:var(--bg);color:var(--fg);
font:15px/1.45 system-ui,"Segoe UI",Roboto,"DejaVu Sans",sans-serif;overflow-wrap:anywhere}
h1{font-size:1.5rem;margin:.2em 0}h2{font-size:1.2rem;margin:1.8em 0 .4em;border-top:1px solid var(--rule);
padding-top:.7em}h3{font-size:1rem;margin:0 0 .3em}p{margin:.3em 0 .8em;max-width:75ch}
.soft{color:var(--soft)}
.bad{color:var(--bad);font-weight:600}
.grid{display:grid;grid-template-columns:repeat(auto-fit,minmax(min(100%,560px),1fr));gap:16px}
figure:only-of-type{max-width:720px}
figure{margin:0;padding:12px;background:var(--panel);border:1px solid var(--rule);border-radius:8px;
min-width:0}
svg{display:block;width:100%;height:auto;font:11px system-ui,"Segoe UI",Roboto,"DejaVu Sans",sans-serif}
svg text{fill:var(--fg)}svg .what{fill:var(--soft)}svg .fault{fill:var(--bandtext);font-weight:600}
.narrow{display:none}
svg .rule{stroke:var(--rule);stroke-width:1}svg .axis{stroke:var(--soft);stroke-width:1}
svg .band{fill:var(--band)}svg .line{fill:none;stroke-width:1.8;stroke-linejoin:round}
svg .spread{stroke:none!important;opacity:.16}
svg .bar{fill:var(--c0)}svg .peak{stroke:var(--c1);stroke-width:3}svg .one{stroke:var(--bad);
stroke-width:1.5;
stroke-dasharray:5 3}
.s0{stroke:var(--c0)}.s1{stroke:var(--c1);stroke-dasharray:7 3}.s2{stroke:var(--c2)}
.s3{stroke:var(--c3);stroke-dasharray:2 3}.s4{stroke:var(--c4);stroke-dasharray:9 3 2 3}
.s5{stroke:var(--c5)}
.s6{stroke:var(--c6);stroke-dasharray:5 5}.s7{stroke:var(--c7);stroke-dasharray:3 2}
.spread.s0{fill:var(--c0)}.spread.s1{fill:var(--c1)}.spread.s2{fill:var(--c2)}.spread.s3{fill:var(--c3)}
.spread.s4{fill:var(--c4)}.spread.s5{fill:var(--c5)}.spread.s6{fill:var(--c6)}.spread.s7{fill:var(--c7)}
.legend{list-style:none;margin:0 0 6px;padding:0;display:flex;flex-wrap:wrap;gap:2px 16px;font-size:13px}
.legend li{display:flex;align-items:center;gap:6px}.legend svg{width:30px;height:10px;flex:none}
.legend line{stroke-width:2.4}.legend .box{width:14px;height:12px;background:var(--band)}
.legend .barbox{background:var(--c0)}.legend .peakbox{width:4px;background:var(--c1)}
table{border-collapse:collapse;width:100%;font-variant-numeric:tabular-nums;margin:.2em 0 1.2em}
caption{text-align:left;font-weight:600;padding:.3em 0}
th,td{padding:4px 10px 4px 0;text-align:right;border-bottom:1px solid var(--rule);vertical-align:top}
th:first-child,td.words{text-align:left}thead th{color:var(--soft);font-weight:600}tbody th{font-weight:400}
.scroll{overflow-x:auto}.spreadtext{color:var(--soft);white-space:nowrap;font-size:13px}
@media (max-width:640px){body{padding:10px}figure{padding:8px}.wide{display:none}.narrow{display:block}
table.cards thead{position:absolute;width:1px;height:1px;overflow:hidden;clip-path:inset(50%)}
table.cards tr{display:block;border-bottom:2px solid var(--rule);padding:4px 0}
table.cards th,table.cards td{display:flex;justify-content:space-between;gap:12px;border:0;padding:2px 0;
text-align:right}table.cards tbody th{font-weight:600;text-align:left}
table.cards td.words{text-align:right}
table.cards td::before{content:attr(data-label);color:var(--soft);text-align:left;flex:none;max-width:50%}
.spreadtext{white-space:normal}}
)css";

struct Spread {
    double mean = kNoNumber, least = kNoNumber, greatest = kNoNumber;
    std::size_t count = 0;

    void add(double value) {
        if (std::isnan(value)) return;
        // What never came makes a mean without end; a difference of two such would be no number.
        if (count == 0)
            mean = value;
        else if (!std::isinf(mean))
            mean += (value - mean) / static_cast<double>(count + 1);
        least = count == 0 ? value : std::min(least, value);
        greatest = count == 0 ? value : std::max(greatest, value);
        ++count;
    }
};

using Print = std::string (*)(double);

// Prices are small: their first digits stand far behind the point.
std::string price(double value) {
    return std::isfinite(value) ? std::to_string(value).substr(0, 6) : "–";
}

std::string cell_text(const Spread& spread, Print print) {
    std::string text = print(spread.mean);
    if (spread.count > 1 && spread.greatest > spread.least)
        text += " <span class=\"spreadtext\">(" + print(spread.least) + " to " + print(spread.greatest) +
                ")</span>";
    return text;
}

struct Run {
    std::string name;
    const std::vector<Result>& results;
    int style = 0;

    const Result& first() const { return results.front(); }
    bool many() const { return results.size() > 1; }
    std::size_t seconds() const {
        std::size_t most = 0;
        for (const Result& result : results) most = std::max(most, result.seconds.size());
        return most;
    }
    template <class Value>  // double(const Result&)
    Spread over(Value value) const {
        Spread spread;
        for (const Result& result : results) spread.add(value(result));
        return spread;
    }
    Spread of(const std::string& path) const {
        return over([&](const Result& result) { return figure(result, path).value_or(kNoNumber); });
    }
    /// The same faults at the same times in all seeds: else no band stands for all of them.
    bool faults_shared() const {
        for (const Result& result : results) {
            if (result.faults.size() != first().faults.size()) return false;
            for (std::size_t i = 0; i < result.faults.size(); ++i) {
                const FaultResult &one = result.faults[i], &model = first().faults[i];
                if (one.kind != model.kind || std::abs(one.began_s - model.began_s) > 0.25 ||
                    std::abs(one.ended_s - model.ended_s) > 0.25)
                    return false;
            }
        }
        return true;
    }
    std::vector<Band> bands() const {
        std::vector<Band> bands;
        if (!faults_shared() || first().faults.size() > kMostBands) return bands;
        for (std::size_t i = 0; i < first().faults.size(); ++i) {
            const FaultResult& fault = first().faults[i];
            bands.push_back({fault.began_s, fault.ended_s, std::to_string(i + 1), fault.kind});
        }
        return bands;
    }
};

using OfSecond = std::function<double(const SecondResult&)>;

Series over_time(const Run& run, const std::string& name, int style, const OfSecond& value) {
    Series series{name, style, {}, run.many()};
    const std::size_t seconds = run.seconds();
    const std::size_t together = 1 + seconds / kMostPoints;
    for (std::size_t from = 0; from < seconds; from += together) {
        // Each seed's mean over the stretch first: the spread is that between seeds.
        Spread spread;
        const std::size_t to = std::min(seconds, from + together);
        for (const Result& result : run.results) {
            Spread stretch;
            for (std::size_t i = from; i < std::min(to, result.seconds.size()); ++i)
                stretch.add(value(result.seconds[i]));
            spread.add(stretch.mean);
        }
        series.points.push_back(
            {static_cast<double>(from + to) / 2, spread.mean, spread.least, spread.greatest});
    }
    return series;
}

double per_call(std::uint64_t count, const SecondResult& second) {
    return second.calls == 0 ? kNoNumber : static_cast<double>(count) / static_cast<double>(second.calls);
}

class Page {
public:
    explicit Page(std::vector<Run> runs) : runs_(std::move(runs)) {}

    std::string html() {
        summary();
        over_the_day();
        latencies();
        servers();
        groups("Classes", "class", &Result::classes);
        groups("Tenants", "tenant", &Result::tenants);
        faults();
        breaches();
        nodes();
        std::string title;
        for (const Run& run : runs_) title += (title.empty() ? "" : ", ") + run.name;
        return "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"/>"
               "<meta name=\"viewport\" content=\"width=device-width,initial-scale=1\"/><title>" +
               escaped(title) + " – ochrehub lab</title><style>" + kCss + "</style></head><body>\n" +
               "<main>\n" + body_ + "</main>\n</body></html>\n";
    }

private:
    void add(const std::string& html) { body_ += html; }
    void heading(const std::string& words, const std::string& id) {
        add("<h2 id=\"" + id + "\">" + escaped(words) + "</h2>\n");
    }
    void paragraph(const std::string& words) { add("<p class=\"soft\">" + escaped(words) + "</p>\n"); }

    // Roles are spelt out: a browser forgets that a table is one where its rows are laid out as cards.
    void table(const std::string& caption, const std::vector<std::string>& head,
               const std::vector<std::vector<std::string>>& rows, std::size_t words = 1) {
        const bool cards = head.size() > 4;
        add("<div class=\"scroll\"><table role=\"table\"" + std::string(cards ? " class=\"cards\"" : "") +
            "><caption>" + escaped(caption) + "</caption><thead role=\"rowgroup\"><tr role=\"row\">");
        for (const std::string& name : head)
            add("<th scope=\"col\" role=\"columnheader\">" + escaped(name) + "</th>");
        add("</tr></thead><tbody role=\"rowgroup\">\n");
        for (const auto& row : rows) {
            add("<tr role=\"row\"><th scope=\"row\" role=\"rowheader\">" + row[0] + "</th>");
            for (std::size_t i = 1; i < row.size(); ++i)
                add("<td role=\"cell\"" + std::string(i < words ? " class=\"words\"" : "") +
                    " data-label=\"" + escaped(head[i]) + "\"><span>" + row[i] + "</span></td>");
            add("</tr>\n");
        }
        add("</tbody></table></div>\n");
    }

    void legend(const std::vector<Series>& series, bool bands, bool spread) {
        add("<ul class=\"legend\">");
        for (const Series& one : series)
            add("<li><svg aria-hidden=\"true\" viewBox=\"0 0 30 10\"><line x1=\"0\" y1=\"5\" x2=\"30\" "
                "y2=\"5\" "
                "class=\"s" +
                std::to_string(one.style % kStyles) + "\"/></svg>" + escaped(one.name) + "</li>");
        if (spread) add("<li class=\"soft\">shaded about a line: least to greatest of all seeds</li>");
        if (bands) add("<li><span class=\"box\"></span>fault, numbered as in the table of faults</li>");
        add("</ul>");
    }
    template <class Draw>  // std::string(double width)
    void both_widths(Draw draw) {
        add("<div class=\"wide\">" + draw(620.0) + "</div><div class=\"narrow\">" + draw(354.0) + "</div>");
    }
    void figure_of(const std::string& caption, const LineChart& chart) {
        bool spread = false;
        for (const Series& one : chart.series) spread |= one.spread;
        add("<figure><h3>" + escaped(caption) + "</h3>");
        legend(chart.series, !chart.bands.empty(), spread);
        both_widths([&](double width) { return chart.svg(width, width < 500 ? 260 : 290); });
        add("</figure>\n");
    }
    /// Where runs stand side by side, each chart says whose it is.
    std::string titled(const Run& run, const std::string& words) const {
        return runs_.size() == 1 ? words : words + ": " + run.name;
    }
    double longest() const {
        std::size_t most = 1;
        for (const Run& run : runs_) most = std::max(most, run.seconds());
        return static_cast<double>(most);
    }
    LineChart time_chart(const std::string& title, const std::string& y_label) const {
        LineChart chart;
        chart.title = title;
        chart.x_label = "second of the day";
        chart.y_label = y_label;
        chart.x_to = longest();
        return chart;
    }
    // In a chart of several runs, bands stand for all of them or are not there.
    std::vector<Band> shared_bands() const {
        const auto bands = runs_.front().bands();
        for (const Run& run : runs_) {
            const auto others = run.bands();
            if (others.size() != bands.size()) return {};
            for (std::size_t i = 0; i < bands.size(); ++i)
                if (others[i].label != bands[i].label || std::abs(others[i].from - bands[i].from) > 0.25)
                    return {};
        }
        return bands;
    }

    void summary();
    void over_the_day();
    void latencies();
    void servers();
    void server_bars(const Run& run);
    void server_columns(const Run& run);
    void groups(const std::string& title, const std::string& what, std::vector<GroupResult> Result::*list);
    void faults();
    void breaches();
    void nodes();

    std::vector<Run> runs_;
    std::string body_;
};

void Page::summary() {
    add("<h1>");
    for (std::size_t i = 0; i < runs_.size(); ++i) add((i > 0 ? ", " : "") + escaped(runs_[i].name));
    add("</h1>\n");
    for (const Run& run : runs_) {
        const Result& first = run.first();
        std::string seeds = "seed " + std::to_string(first.seed);
        if (run.many())
            seeds = std::to_string(run.results.size()) + " seeds from " + std::to_string(first.seed) + " on";
        paragraph(run.name + ": scenario " + first.scenario + ", world " + first.world + ", " + seeds + ", " +
                  std::to_string(first.nodes) + " nodes, " + std::to_string(first.servers) + " servers, " +
                  short_number(first.length_s) + " s.");
    }
    heading("Summary", "summary");
    struct Line {
        const char* name;
        const char* path;
        Print print;
    };
    static constexpr Line kLines[] = {
        {"Score: service less prices", "score", short_number},
        {"Service", "service", short_number},
        {"Worth: whole run", "worth.whole", percent},
        {"Worth: worst 10 s", "worth.worst_10s", percent},
        {"Worth: worst class", "worth.worst_class", percent},
        {"Worth: least of all floors", "worth.least_floor", percent},
        {"Worth: worst tenant", "worth.worst_tenant", percent},
        {"Prices taken off", "prices", price},
        {"... wasted work", "prices.waste", price},
        {"... failing late", "prices.late_fail", price},
        {"... probes", "prices.probes", price},
        {"... new connections", "prices.handshakes", price},
        {"... crossing zones", "prices.cross_zone", price},
        {"Rules broken", "breaches", short_number},
        {"Calls", "calls", short_number},
        {"Served in time", "in_time_share", percent},
        {"Served", "served_share", percent},
        {"Refused", "refused_share", percent},
        {"Failed", "failed_share", percent},
        {"Client left", "left_share", percent},
        {"Tries a call", "tries_per_call", short_number},
        {"Attempts a call", "attempts_per_call", short_number},
        {"Latency p50, ms", "latency.p50_ms", short_number},
        {"Latency p99, ms", "latency.p99_ms", short_number},
        {"Latency p99.9, ms", "latency.p999_ms", short_number},
        {"Latency greatest, ms", "latency.max_ms", short_number},
        {"Load of a server, mean", "fleet.mean_load", percent},
        {"Load of the busiest server", "fleet.most_load", percent},
        {"Load in any server's busiest second", "fleet.peak_load", percent},
        {"CPU of all nodes, s", "node.cpu_s", short_number},
        {"Memory of a node, most, MB", "node.memory_peak_mb", short_number},
    };
    std::vector<std::string> head = {"figure"};
    for (const Run& run : runs_) head.push_back(run.name);
    std::vector<std::vector<std::string>> rows;
    for (const Line& line : kLines) {
        std::vector<std::string> row = {escaped(line.name)};
        bool any = false;
        for (const Run& run : runs_) {
            const Spread spread = run.of(line.path);
            any |= spread.mean > 0;
            std::string text = cell_text(spread, line.print);
            // Of breaches the sum: a mean of 0.2 would look like none.
            if (std::string(line.path) == "breaches") {
                std::uint64_t total = 0;
                for (const Result& result : run.results) total += result.breach_count;
                text = std::to_string(total);
                if (total > 0) text = "<span class=\"bad\">" + text + "</span>";
            }
            row.push_back(text);
        }
        // Nodes of the simulation have neither CPU nor memory of their own.
        if (!any && std::string(line.path).starts_with("node.")) continue;
        rows.push_back(std::move(row));
    }
    table(runs_.size() > 1 ? "The runs side by side" : "The run in figures", head, rows);
}

void Page::over_the_day() {
    heading("Over the day", "time");
    for (const Run& run : runs_)
        if (!run.faults_shared())
            paragraph(run.name + ": its seeds have other faults at other times, so none are drawn.");
    add("<div class=\"grid\">\n");
    for (const Run& run : runs_) {
        LineChart chart =
            time_chart(titled(run, "Calls a second by how they ended, over the day"), "a second");
        const auto count = [](auto member) {
            return [member](const SecondResult& second) { return static_cast<double>(second.*member); };
        };
        chart.series = {
            over_time(run, "calls begun", 7, count(&SecondResult::calls)),
            over_time(run, "tries", 3, count(&SecondResult::tries)),
            over_time(run, "served", 0, count(&SecondResult::served)),
            over_time(run, "served in time", 2, count(&SecondResult::in_time)),
            over_time(run, "refused", 1, count(&SecondResult::refused)),
            over_time(
                run, "failed or left", 4,
                [](const SecondResult& second) { return static_cast<double>(second.failed + second.left); }),
        };
        chart.bands = run.bands();
        figure_of(titled(run, "Goodput, refusals, failures and tries"), chart);
    }
    LineChart worth =
        time_chart("Worth got of worth asked for, by when the call began, over the day", "share");
    worth.y_least_top = 1;
    LineChart attempts = time_chart("Attempts for each call, over the day", "attempts a call");
    attempts.y_least_top = 1.5;
    for (const Run& run : runs_) {
        worth.series.push_back(over_time(run, run.name, run.style, [](const SecondResult& second) {
            return second.worth_asked > 0 ? second.worth_got / second.worth_asked : kNoNumber;
        }));
        attempts.series.push_back(over_time(run, run.name, run.style, [](const SecondResult& second) {
            return per_call(second.attempts, second);
        }));
    }
    worth.bands = attempts.bands = shared_bands();
    figure_of("Worth a second", worth);
    figure_of("Attempts a call", attempts);
    for (const Run& run : runs_) {
        LineChart chart = time_chart(titled(run, "Latency of calls by when they began, over the day"), "ms");
        chart.y_scale = Scale::Log;
        const auto or_gap = [](double ms) { return ms > 0 ? ms : kNoNumber; };
        chart.series = {
            over_time(run, "p50", 0, [&](const SecondResult& second) { return or_gap(second.p50_ms); }),
            over_time(run, "p99", 1, [&](const SecondResult& second) { return or_gap(second.p99_ms); }),
        };
        chart.bands = run.bands();
        figure_of(titled(run, "Latency over time"), chart);
    }
    add("</div>\n");
}

void Page::latencies() {
    heading("Latency by class", "latency");
    paragraph(
        "How many of the served calls were answered within a time. The upper lines of the scale are the "
        "slowest "
        "tenth, hundredth and thousandth.");
    add("<div class=\"grid\">\n");
    for (const Run& run : runs_) {
        LineChart chart;
        chart.title = titled(run, "Share of served calls answered within a time, by class");
        chart.x_label = "ms, from the call's begin to its answer";
        chart.y_label = "answered";
        chart.x_scale = Scale::Log;
        chart.y_scale = Scale::Nines;
        for (std::size_t i = 0; i < run.first().classes.size(); ++i) {
            Latencies all;
            const std::string& name = run.first().classes[i].name;
            for (const Result& result : run.results)
                for (const GroupResult& group : result.classes)
                    if (group.name == name) merge(all, group.latency);
            Series series{name, static_cast<int>(i), {}, false};
            std::uint64_t seen = 0;
            for (std::size_t bucket = 0; bucket < all.counts.size(); ++bucket) {
                if (seen == 0 && all.counts[bucket] == 0) continue;
                if (seen == 0) series.points.push_back({bucket_begins_ms(bucket), 0, 0, 0});
                seen += all.counts[bucket];
                const double share = static_cast<double>(seen) / static_cast<double>(all.total);
                series.points.push_back({bucket_begins_ms(bucket + 1), share, share, share});
            }
            chart.series.push_back(std::move(series));
        }
        figure_of(titled(run, "Latency by class"), chart);
    }
    add("</div>\n");
}

void Page::servers() {
    heading("Servers", "servers");
    paragraph(
        "Load is the work that reached a server over what it could do while it ran; above 100% it was asked "
        "for "
        "more than it can do. The peak is its busiest second.");
    add("<div class=\"grid\">\n");
    for (const Run& run : runs_) {
        bool same = run.first().fleet.size() <= kMostBars;
        for (const Result& result : run.results) {
            same &= result.fleet.size() == run.first().fleet.size();
            for (std::size_t i = 0; same && i < result.fleet.size(); ++i)
                same = result.fleet[i].id == run.first().fleet[i].id;
        }
        if (same)
            server_bars(run);
        else
            server_columns(run);
    }
    add("</div>\n");
}

void Page::server_bars(const Run& run) {
    BarChart chart;
    chart.title = titled(run, "Load of each server, with its busiest second");
    chart.x_label = "load, 1 is all that it can do";
    chart.one_label = "capacity";
    for (std::size_t i = 0; i < run.first().fleet.size(); ++i) {
        Spread load, peak;
        for (const Result& result : run.results) {
            load.add(result.fleet[i].load);
            peak.add(result.fleet[i].load_peak);
        }
        const std::string& id = run.first().fleet[i].id;
        chart.bars.push_back({id, id + ": load " + percent(load.mean) + ", peak " + percent(peak.greatest),
                              load.mean, peak.greatest});
    }
    add("<figure><h3>" + escaped(titled(run, "Load of each server")) +
        "</h3><ul class=\"legend\"><li><span class=\"box barbox\"></span>load" +
        (run.many() ? ", mean of seeds" : "") + "</li><li><span class=\"box peakbox\"></span>busiest second" +
        (run.many() ? " of any seed" : "") + "</li></ul>");
    both_widths([&](double width) { return chart.svg(width); });
    add("</figure>\n");
}

void Page::server_columns(const Run& run) {
    Columns chart;
    chart.title = titled(run, "How many servers had which load");
    chart.x_label = "load, 1 is all that a server can do";
    chart.y_label = run.many() ? "servers of all seeds" : "servers";
    chart.step = 0.05;
    constexpr std::size_t kMost = 40;  // a load of 2 and more
    chart.values.assign(20, 0);
    for (const Result& result : run.results)
        for (const ServerResult& server : result.fleet) {
            const auto place =
                std::min<std::size_t>(kMost - 1, static_cast<std::size_t>(server.load / chart.step));
            if (place >= chart.values.size()) chart.values.resize(place + 1);
            ++chart.values[place];
        }
    add("<figure><h3>" + escaped(titled(run, "Servers by load")) + "</h3>");
    both_widths([&](double width) { return chart.svg(width, width < 500 ? 240 : 290); });
    add("</figure>\n");
}

void Page::groups(const std::string& title, const std::string& what, std::vector<GroupResult> Result::*list) {
    heading(title, what == "class" ? "classes" : "tenants");
    for (const Run& run : runs_) {
        const auto& model = run.first().*list;
        if (model.empty()) {
            paragraph(run.name + ": none.");
            continue;
        }
        std::vector<std::vector<std::string>> rows;
        for (const GroupResult& group : model) {
            const std::string path = (what == "class" ? "classes." : "tenants.") + group.name + ".";
            std::vector<std::string> row = {escaped(group.name)};
            for (const char* name :
                 {"calls", "worth", "in_time_share", "refused_share", "failed_share", "left_share"})
                row.push_back(
                    cell_text(run.of(path + name), std::string(name) == "calls" ? short_number : percent));
            for (const char* name : {"p50_ms", "p99_ms", "p999_ms"})
                row.push_back(cell_text(run.of(path + name), short_number));
            rows.push_back(std::move(row));
        }
        table(
            titled(run, what == "class" ? "By class" : "By tenant; worth within its share"),
            {what, "calls", "worth", "in time", "refused", "failed", "left", "p50 ms", "p99 ms", "p99.9 ms"},
            rows);
    }
}

void Page::faults() {
    heading("Faults", "faults");
    paragraph(
        "Noticed: until no more than a tenth of the usual attempts went to the servers hit. Back: after its "
        "end, "
        "until worth was at 95% of the five seconds before it.");
    const auto print = [](double seconds) {
        return std::isfinite(seconds) ? short_number(seconds) + " s" : short_number(seconds);
    };
    for (const Run& run : runs_) {
        const bool together = run.faults_shared();
        const std::size_t sets = together ? 1 : run.results.size();
        std::vector<std::vector<std::string>> rows;
        std::size_t left_out = 0;
        for (std::size_t set = 0; set < sets; ++set) {
            const auto& list = run.results[set].faults;
            for (std::size_t i = 0; i < list.size(); ++i) {
                if (rows.size() == kMostRows) {
                    ++left_out;
                    continue;
                }
                Spread noticed, back;
                for (std::size_t k = 0; k < run.results.size(); ++k) {
                    if (!together && k != set) continue;
                    const FaultResult& one = run.results[k].faults[i];
                    // A node's fault, or one of all servers, has nobody to stay away from.
                    const bool of_servers = one.what.find(" server") != std::string::npos &&
                                            one.what[0] >= '1' && one.what[0] <= '9';
                    noticed.add(one.detect_s >= 0 ? one.detect_s
                                : of_servers      ? std::numeric_limits<double>::infinity()
                                                  : kNoNumber);
                    back.add(one.return_s >= 0 ? one.return_s : std::numeric_limits<double>::infinity());
                }
                const std::string number =
                    together ? std::to_string(i + 1)
                             : "seed " + std::to_string(run.results[set].seed) + ", " + std::to_string(i + 1);
                rows.push_back({number + " " + escaped(list[i].kind), escaped(list[i].what),
                                short_number(list[i].began_s) + " s", short_number(list[i].ended_s) + " s",
                                cell_text(noticed, print), cell_text(back, print)});
            }
        }
        if (rows.empty()) {
            paragraph(run.name + ": none.");
            continue;
        }
        table(titled(run, "Faults, by when they began"),
              {"fault", "whom", "from", "to", "noticed after", "back after"}, rows, 2);
        if (left_out > 0) paragraph(std::to_string(left_out) + " further ones are in the results file.");
    }
}

void Page::breaches() {
    heading("Rules broken", "breaches");
    for (const Run& run : runs_) {
        std::uint64_t total = 0;
        std::vector<std::vector<std::string>> rows;
        for (const Result& result : run.results) {
            total += result.breach_count;
            for (const BreachResult& breach : result.breaches)
                if (rows.size() < kMostRows)
                    rows.push_back({escaped(breach.rule),
                                    breach.number == 0 ? "–" : std::to_string(breach.number),
                                    std::to_string(result.seed), short_number(breach.at_s) + " s",
                                    escaped(breach.id), escaped(breach.proof)});
        }
        if (total == 0) {
            paragraph(run.name + ": none.");
            continue;
        }
        add("<p class=\"bad\">" + escaped(run.name) + ": " + std::to_string(total) + "</p>\n");
        table(titled(run, "The first " + std::to_string(rows.size())),
              {"what", "rule", "seed", "at", "request", "proof"}, rows, 6);
    }
}

void Page::nodes() {
    for (const Run& run : runs_) {
        if (!(run.of("node.cpu_s").greatest > 0)) continue;
        heading(titled(run, "Nodes"), "nodes" + std::to_string(run.style));
        std::vector<std::vector<std::string>> rows;
        for (std::size_t i = 0; i < run.first().node.size(); ++i) {
            std::vector<std::string> row = {"node " + std::to_string(i)};
            for (const char* name : {"tries", "starts", "cpu_s", "memory_peak_mb", "descriptors_peak"})
                row.push_back(cell_text(run.of("node." + std::to_string(i) + "." + name), short_number));
            rows.push_back(std::move(row));
        }
        table("Processes of the nodes",
              {"node", "tries", "starts", "CPU s", "most memory MB", "most descriptors"}, rows);
    }
}

}  // namespace

std::string report_html(const std::vector<std::vector<Result>>& runs, const std::vector<std::string>& names) {
    if (runs.empty()) throw std::runtime_error("report: no results");
    if (runs.size() != names.size()) throw std::runtime_error("report: not a name for each run");
    std::vector<Run> all;
    for (std::size_t i = 0; i < runs.size(); ++i) {
        if (runs[i].empty()) throw std::runtime_error("report: " + names[i] + " holds no results");
        all.push_back({names[i], runs[i], static_cast<int>(i)});
    }
    return Page(std::move(all)).html();
}

void write_report(const std::vector<std::vector<Result>>& runs, const std::vector<std::string>& names,
                  const std::string& folder) {
    const std::string html = report_html(runs, names);
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    const std::string path = folder + "/index.html";
    std::ofstream file(path, std::ios::binary | std::ios::trunc);
    file << html;
    file.close();
    if (!file) throw std::runtime_error(path + ": cannot be written");
}

}  // namespace ochrehub::lab
