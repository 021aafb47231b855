#include "figures/figures.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ochrehub::figures {
namespace {

constexpr std::string_view kUnknown = "other";
constexpr std::size_t kBatchOverhead = 128;  // of the memory for a queued batch, beside its text

}  // namespace

config::Table<Told> settings() {
    using To = Told::To;
    return {
        config::flag({.name = "on", .fallback = "off", .help = "the switch"}, &Told::on),
        config::word({.name = "format",
                      .fallback = "statsd",
                      .help = "`statsd` (with DogStatsD's tags) or `influx` (line protocol)"},
                     &Told::format, {{"statsd", Format::Statsd}, {"influx", Format::Influx}}),
        config::word({.name = "to",
                      .fallback = "stderr",
                      .help = "`stderr`, `file` or `udp`; the last two need the setting below",
                      .needs =
                          [](std::string_view value) {
                              return value == "file" || value == "udp" ? std::vector<std::string_view>{value}
                                                                       : std::vector<std::string_view>{};
                          }},
                     &Told::to, {{"stderr", To::Stderr}, {"file", To::File}, {"udp", To::Udp}}),
        config::text({.name = "file", .help = "a path, appended to"}, &Told::file),
        config::address({.name = "udp", .help = "the collector, `a.b.c.d:port`"}, &Told::udp),
        config::number<Told, double>({.name = "interval", .fallback = "10", .help = "seconds, 0.1 to 3600"},
                                     0.1, 3600, config::kSeconds,
                                     [](Told& told, double seconds) {
                                         told.interval =
                                             std::chrono::milliseconds(std::lround(seconds * 1000));
                                     }),
        // A line fits in, and a datagram holds no more.
        config::number<Told, std::size_t>(
            {.name = "batch", .fallback = "1400", .help = "bytes, 256 to 65507"}, 256, 65507, config::kBytes,
            [](Told& told, std::size_t bytes) { told.batch = bytes; })};
}

Figures::Axis::Axis(std::vector<std::string> given) {
    given.emplace_back(kUnknown);
    std::map<std::string, std::size_t> known;  // by StatsD's values: it tells fewer names apart than influx
    for (std::string& name : given) {
        auto [at, fresh] = known.try_emplace(tag_value(Format::Statsd, name), names.size());
        if (fresh) names.push_back(std::move(name));
        slots.push_back(at->second);
    }
    write_for(Format::Statsd);
}

void Figures::Axis::write_for(Format format) {
    values.clear();
    for (const std::string& name : names) values.push_back(tag_value(format, name));
}

Figures::Figures(boost::asio::io_context& io, const Names& names, Counters* counters)
    : io_(io),
      counters_(counters),
      classes_(names.classes),
      tenants_(names.tenants),
      gauges_(classes_.names.size() * tenants_.names.size()),
      interval_(io) {}

void Figures::use(const Told& told) {
    if (told_.on) flush();
    bool same = told == told_;
    if (!same) {
        // What would not go by the old settings fits neither the new form nor the new place.
        for (; !queue_.empty(); queue_.pop_front()) lose(queue_.front().told_lost);
        told_ = told;
        for (Axis* axis : {&classes_, &tenants_}) axis->write_for(told.format);
    }
    if (!told_.on) {
        outlet_.reset();
        counts_.clear();
        interval_.cancel();
        return;
    }
    // A file that was moved away is opened anew. A collector's socket stays: it may still tell of a refusal.
    if (!same || told_.to == Told::To::File)
        outlet_ = told_.to == Told::To::Stderr ? to_stderr()
                  : told_.to == Told::To::File ? to_file(told_.file)
                                               : to_udp(io_, told_.udp);
    each_interval();
}

void Figures::each_interval() {
    interval_.expires_after(told_.interval);
    interval_.async_wait([this](boost::system::error_code stopped) {
        if (stopped || !told_.on) return;
        flush();
        each_interval();
    });
}

Figures::Request Figures::came(int class_index, int tenant, Steady::time_point heard, bool whole) {
    Request request{classes_.slot(class_index), tenants_.slot(tenant), heard, class_index, whole};
    if (counters_ && whole) counters_->active_requests.add();
    ++inflight(request);
    gauges_[request.class_slot * tenants_.names.size() + request.tenant_slot].seen = true;
    return request;
}

void Figures::answered(const Request& request, int code) {
    left(request);
    if (counters_ && request.whole && request.counted != kNone) {
        Counters::Class& c = counters_->classes[std::size_t(request.counted)];
        (code < 400 ? c.succeeded : code == 429 || code == 503 ? c.rejected : c.failed).add();
    }
    if (!told_.on) return;
    ++counts_[{request.class_slot, request.tenant_slot, code}];
    auto took = std::chrono::round<std::chrono::milliseconds>(Steady::now() - request.heard);
    append({Kind::Timer, "ochrehub.latency_ms", std::uint64_t(std::max<std::int64_t>(0, took.count())),
            classes_.values[request.class_slot], tenants_.values[request.tenant_slot], code});
}

void Figures::left(const Request& request) {
    --inflight(request);
    if (counters_ && request.whole) counters_->active_requests.add(-1);
}

void Figures::append(const Figure& figure) {
    if (told_.format == Format::Influx) {  // two points of one series with one time stamp would be one to it
        auto now = std::chrono::system_clock::now().time_since_epoch();
        std::int64_t ns = std::chrono::duration_cast<std::chrono::nanoseconds>(now).count();
        stamp_ = std::max(stamp_ + 1, std::uint64_t(ns));
    }
    line_.clear();
    append_line(line_, told_.format, figure, stamp_);
    if (line_.size() > told_.batch) return lose(0);  // it can go in none
    if (filling_.text.size() + line_.size() > told_.batch) {
        finish_batch();
        send();
    }
    if (filling_.text.empty()) filling_.text.reserve(told_.batch);
    filling_.text += line_;
}

void Figures::finish_batch() {
    if (filling_.text.empty()) return;
    // The batch that is being filled counts too.
    std::size_t most = kBufferMost / (told_.batch + kBatchOverhead) - 1;
    for (; queue_.size() >= most; queue_.pop_front()) lose(queue_.front().told_lost);
    queue_.push_back(std::exchange(filling_, {}));
}

void Figures::append_totals() {
    for (const auto& [series, count] : counts_) {
        auto [class_slot, tenant_slot, code] = series;
        append({Kind::Counter, "ochrehub.requests", count, classes_.values[class_slot],
                tenants_.values[tenant_slot], code});
    }
    counts_.clear();
    // Those at zero too: a gauge stays at what the collector heard last, and that batch may have been lost.
    for (std::size_t i = 0; i < gauges_.size(); ++i)
        if (gauges_[i].seen)
            append({Kind::Gauge, "ochrehub.inflight", gauges_[i].inflight,
                    classes_.values[i / tenants_.names.size()], tenants_.values[i % tenants_.names.size()]});
    if (lost_ == 0) return;
    std::uint64_t told = std::exchange(lost_, 0);
    append({Kind::Counter, "ochrehub.figures_dropped", told, {}, {}});
    filling_.told_lost = told;
}

void Figures::flush() {
    if (!told_.on) return;
    if (outlet_->earlier_refused()) lose(std::exchange(last_told_lost_, 0));
    append_totals();
    finish_batch();
    send();
}

void Figures::send() {
    while (!queue_.empty()) {
        Batch& batch = queue_.front();
        Outlet::Sent end = outlet_->send(batch.text, batch.sent);
        if (end == Outlet::Sent::Blocked) return;
        if (end == Outlet::Sent::EarlierRefused) {  // this one goes now: the collector may be back
            lose(std::exchange(last_told_lost_, 0));
            continue;
        }
        if (end == Outlet::Sent::Lost)
            lose(batch.told_lost);
        else
            last_told_lost_ = batch.told_lost;
        queue_.pop_front();
    }
}

}  // namespace ochrehub::figures
