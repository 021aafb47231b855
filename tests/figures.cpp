// What no exchange shows of the figures: what a tag may hold, and the bound on what waits for a collector.
#include "figures/figures.h"

#include <fcntl.h>
#include <sys/ioctl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <string>

#undef NDEBUG
#include <cassert>

using namespace ochrehub;
using namespace ochrehub::figures;

namespace {

std::string drained(int fd) {
    std::string all, part(65536, '\0');
    for (ssize_t got; (got = read(fd, part.data(), part.size())) > 0;) all.append(part, 0, std::size_t(got));
    return all;
}

std::size_t count(const std::string& text, const std::string& of) {
    std::size_t found = 0;
    for (std::size_t at = 0; (at = text.find(of, at)) != std::string::npos; ++at) ++found;
    return found;
}

}  // namespace

int main() {
    assert(tag_value(Format::Statsd, "a,b|c:d#e\nf\\") == "a_b_c_d_e_f_" &&
           tag_value(Format::Statsd, "") == "_");
    assert(tag_value(Format::Influx, "a,b=c d\te\\") == "a\\,b\\=c\\ d_e_");
    std::string line;
    append_line(line, Format::Statsd,
                {Kind::Timer, "ochrehub.latency_ms", 212, "price-look", "gear-pantai", 200}, 5);
    assert(line == "ochrehub.latency_ms:212|ms|#class:price-look,tenant:gear-pantai,code:200\n");
    line.clear();
    append_line(line, Format::Influx, {Kind::Gauge, "ochrehub.inflight", 3, "price-look", "a\\=b", 0}, 5);
    assert(line == "ochrehub.inflight,class=price-look,tenant=a\\=b value=3i 5\n");

    // A pipe that nobody reads takes its share, then the oldest batches go, then all that waits.
    char made[] = "/tmp/figures.XXXXXX";
    std::string directory = mkdtemp(made);
    Told told;
    told.on = true;
    told.to = Told::To::File;
    told.file = directory + "/fifo";
    assert(mkfifo(told.file.c_str(), 0600) == 0);
    int reader = open(told.file.c_str(), O_RDONLY | O_NONBLOCK);
    boost::asio::io_context io;
    Names names;
    names.classes = {"look", "other", "a|b", "a_b"};
    Figures figures(io, names);
    figures.use(told);
    constexpr std::size_t kAll = 20000;
    auto play = [&](std::size_t times, int class_index) {
        for (std::size_t i = 0; i < times; ++i)
            figures.answered(figures.came(class_index, kNone, Figures::Steady::now()),
                             int(i % 2 ? 200 : 503));
    };
    play(1, 0);
    figures.flush();
    std::string first = drained(reader);
    assert(first.starts_with("ochrehub.latency_ms:") &&
           first.ends_with("ochrehub.inflight:0|g|#class:look,tenant:other\n"));
    play(kAll, 0);
    figures.flush();
    std::string in_pipe = drained(reader);
    figures.flush();
    std::string waited;
    for (std::string more; count(more = drained(reader), "|ms|") > 0; figures.flush()) waited += more;
    assert(in_pipe.size() + waited.size() < kAll * 50);
    // All of the queue's room was used but for the last batch, and a few lines more came with each flush.
    assert(waited.size() > Figures::kBufferMost * 4 / 5 && waited.size() < Figures::kBufferMost + 65536);
    // Whole lines alone; each batch that is missing is told of. One holds 24 or 25 of these lines.
    for (const std::string& text : {in_pipe, waited})
        assert(text.ends_with("\n") && text.starts_with("ochrehub."));
    assert(count(waited, "ochrehub.requests:10000|c|#class:look,tenant:other,code:503\n") == 1);
    std::size_t missing = kAll - count(in_pipe, "|ms|") - count(waited, "|ms|");
    std::size_t at = waited.find("ochrehub.figures_dropped:"), lost = 0;
    for (; at != std::string::npos; at = waited.find("ochrehub.figures_dropped:", at + 1))
        lost += std::strtoul(waited.c_str() + at + 25, nullptr, 10);
    assert(missing >= lost * 23 && missing <= lost * 26 && lost > 100);

    // What a tag cannot tell apart is one series, and so is what is not known and what is called like it.
    play(2, 1);
    play(2, kNone);
    play(2, 2);
    play(2, 3);
    figures.flush();
    std::string merged = drained(reader);
    assert(count(merged, "ochrehub.requests:2|c|#class:other,tenant:other,code:200\n") == 1);
    assert(count(merged, "ochrehub.requests:2|c|#class:a_b,tenant:other,code:200\n") == 1);
    assert(count(merged, "ochrehub.inflight:0|g|#class:other,") == 1 &&
           count(merged, "ochrehub.inflight:0|g|#class:a_b,") == 1);

    // Without a reader batches are lost; with one again they go.
    close(reader);
    figures.flush();
    figures.flush();
    reader = open(told.file.c_str(), O_RDONLY | O_NONBLOCK);
    figures.flush();
    assert(count(drained(reader), "ochrehub.figures_dropped:2|c\n") == 1);
    std::filesystem::remove_all(directory);

    // Of a pipe on standard error, that nobody reads, most is left to the log.
    int ends[2], unread = 0, kept = dup(2);
    assert(pipe(ends) == 0 && dup2(ends[1], 2) == 2);
    told.to = Told::To::Stderr;
    figures.use(told);
    play(2000, 0);
    assert(ioctl(ends[0], FIONREAD, &unread) == 0 && unread > 0 && unread <= 65536 / 4);
    dup2(kept, 2);
}
