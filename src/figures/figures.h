// What buyers judge the node by: counts, times and gauges of each class and tenant, sent in batches.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "config/table.h"
#include "engine/counters.h"
#include "engine/names.h"
#include "figures/lines.h"
#include "figures/outlet.h"

namespace ochrehub::figures {

struct Told {
    enum class To { Stderr, File, Udp };

    bool on = false;
    Format format = Format::Statsd;
    To to = To::Stderr;
    std::string file;
    boost::asio::ip::udp::endpoint udp;
    std::chrono::milliseconds interval{10000};
    std::size_t batch = 1400;
    bool operator==(const Told&) const = default;
};

config::Table<Told> settings();

class Figures {
public:
    using Steady = std::chrono::steady_clock;
    static constexpr std::size_t kBufferMost = std::size_t{512} * 1024;

    /// Off until it is told otherwise.
    Figures(boost::asio::io_context& io, const Names& names, Counters* counters = nullptr);

    /// What the operators' file says, at the start and on a reload. Sends first what there is by the old
    /// settings.
    void use(const Told& told);

    /// A request that is owed an answer. Each ends in exactly one of answered() and left().
    struct Request {
        std::size_t class_slot, tenant_slot;
        Steady::time_point heard;  ///< its last byte
        int counted = kNone;       ///< the class that the counters have it under, if they do
        bool whole = true;
    };
    /// kNone: no known class or tenant. `whole`: all of it was read; the counters have none but such.
    Request came(int class_index, int tenant, Steady::time_point heard, bool whole = true);
    /// The last byte of its answer has gone out.
    void answered(const Request& request, int code);
    /// It gets no answer, or not all of one.
    void left(const Request& request);

    /// A request was ended before its own deadline, as the process stops. Counted beside the request's own
    /// end.
    void given_up_for_stop() {
        if (counters_) counters_->given_up_for_stop.add();
    }
    /// A server did not take a request's body in time. Counted beside the request's own end.
    void upload_given_up() {
        if (counters_) counters_->uploads_given_up.add();
    }

    /// A request that was not whole was refused for lack of memory.
    void refused_for_memory() {
        if (counters_) counters_->refused_for_memory.add();
    }
    void stalled_closed(Resource shortage, std::size_t clients) {
        if (counters_) counters_->closed_stalled[std::size_t(shortage)].add(std::int64_t(clients));
    }

    /// Sends all there is, as far as it goes without waiting.
    void flush();

private:
    /// The values of one tag. Names that a tag cannot tell apart share a slot, as what is not known does with
    /// one that is called like it: two lines of one series would contradict each other.
    struct Axis {
        std::vector<std::string> names;   // of each slot, as the configuration has them
        std::vector<std::string> values;  // of each slot, as the format wants them
        std::vector<std::size_t> slots;   // of each index, and last of what is not known
        explicit Axis(std::vector<std::string> given);
        std::size_t slot(int index) const { return index < 0 ? slots.back() : slots[std::size_t(index)]; }
        void write_for(Format format);
    };
    struct Batch {
        std::string text;
        std::size_t sent = 0;
        std::uint64_t told_lost = 0;  // what it says of figures_dropped: not told after all if it is lost
    };
    struct Gauge {
        std::uint32_t inflight = 0;
        bool seen = false;
    };

    std::uint32_t& inflight(const Request& r) {
        return gauges_[r.class_slot * tenants_.names.size() + r.tenant_slot].inflight;
    }
    void append(const Figure& figure);
    void append_totals();
    void finish_batch();
    void send();
    void lose(std::uint64_t told_lost) { lost_ += 1 + told_lost; }
    void each_interval();

    boost::asio::io_context& io_;
    Counters* counters_;
    Told told_;
    Axis classes_, tenants_;
    std::vector<Gauge> gauges_;  // of each class and tenant
    std::map<std::tuple<std::size_t, std::size_t, int>, std::uint64_t>
        counts_;  // since the last interval's end
    std::unique_ptr<Outlet> outlet_;
    Batch filling_;
    std::deque<Batch> queue_;
    std::uint64_t last_told_lost_ = 0;  // of the batch that went last, should it turn out refused
    std::uint64_t lost_ = 0;            // batches, not yet told
    std::uint64_t stamp_ = 0;
    std::string line_;
    boost::asio::steady_timer interval_;
};

}  // namespace ochrehub::figures
